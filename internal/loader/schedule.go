package loader

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// ScheduleSettings are what a scheduling host is started with.
type ScheduleSettings struct {
	Name       identifier.Entry      `yaml:"name"`
	DataCentre identifier.DataCentre `yaml:"dataCentre"`
	Listen     struct {
		// Admin serves callers and operators, Peers the other hosts.
		Admin string `yaml:"admin"`
		Peers string `yaml:"peers"`
	} `yaml:"listen"`
	Platform struct {
		// Store and Directory are the addresses of the store and of the directory
		// of workers.
		Store     string `yaml:"store"`
		Directory string `yaml:"directory"`
	} `yaml:"platform"`
	// Cells is the number of shards of the jobs, the same on all hosts.
	Cells  int `yaml:"cells"`
	Leases struct {
		// Member is how long the store keeps a host that sends nothing.
		Member identifier.Duration `yaml:"member"`
		// Worker is the longest lease of the runs on a worker.
		Worker identifier.Duration `yaml:"worker"`
		// Grace is how long leases are renewed without an answer of the store.
		Grace identifier.Duration `yaml:"grace"`
	} `yaml:"leases"`
	// Freshness is how old the directory may be for a start.
	Freshness identifier.Duration `yaml:"freshness"`
	// Retention is how long ended jobs are remembered.
	Retention identifier.Duration `yaml:"retention"`
	Log       Log                 `yaml:"log"`
}

// DefaultSchedule returns the settings that hold where a file says nothing.
func DefaultSchedule() ScheduleSettings {
	s := ScheduleSettings{
		Cells: 1, Freshness: duration(time.Second), Retention: duration(2 * time.Minute), Log: Log{Level: defaultLevel},
	}
	s.Leases.Member = duration(1200 * time.Millisecond)
	s.Leases.Worker = duration(5 * time.Second)
	s.Leases.Grace = duration(3 * time.Second)
	return s
}

// LoadSchedule reads the settings of a file. The error is a *parser.InvalidError
// that lists every problem, or that of reading the file.
func LoadSchedule(path string) (ScheduleSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return ScheduleSettings{}, errors.Wrap(err, "read settings")
	}
	s := DefaultSchedule()
	fields, problems := parser.Decode(path, data, &s)
	c := &settingsCheck{fields: fields, problems: problems}
	c.checkSchedule(&s)
	parser.Sort(c.problems)
	if len(c.problems) > 0 {
		return ScheduleSettings{}, &parser.InvalidError{Problems: c.problems}
	}
	return s, nil
}

// maxCells is the largest number of cells.
const maxCells = 64

func (c *settingsCheck) checkSchedule(s *ScheduleSettings) {
	c.require(s.Name != "", "name", "missing", "the name of this scheduling host")
	c.require(s.DataCentre != "", "dataCentre", "missing", "the name of a data centre")
	c.address("listen.admin", s.Listen.Admin)
	c.address("listen.peers", s.Listen.Peers)
	c.address("platform.store", s.Platform.Store)
	c.address("platform.directory", s.Platform.Directory)
	c.require(s.Cells > 0 && s.Cells <= maxCells, "cells", "out of range", "1 to 64")
	for field, value := range map[string]identifier.Duration{
		"leases.member": s.Leases.Member, "leases.worker": s.Leases.Worker, "freshness": s.Freshness, "retention": s.Retention,
	} {
		c.require(value > 0, field, "zero", "a duration above zero")
	}
}
