package loader

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// ScheduleSettings holds the settings of a scheduling host.
type ScheduleSettings struct {
	Name       identifier.Entry      `yaml:"name"`
	DataCentre identifier.DataCentre `yaml:"dataCentre"`
	Listen     struct {
		// Admin is the address for callers and operators, Peers that for other hosts.
		Admin string `yaml:"admin"`
		Peers string `yaml:"peers"`
	} `yaml:"listen"`
	Platform struct {
		// Store and Directory are the addresses of the store and of the directory of workers.
		Store     string `yaml:"store"`
		Directory string `yaml:"directory"`
	} `yaml:"platform"`
	// Cells is the number of shards of the jobs, the same on all hosts.
	Cells  int `yaml:"cells"`
	Leases struct {
		// Member is how long the store keeps the membership of a host that sends nothing.
		Member identifier.Duration `yaml:"member"`
		// Worker is the duration of the lease that covers the runs on a worker.
		Worker identifier.Duration `yaml:"worker"`
		// Grace is how long the leases on workers are still renewed after the last successful
		// call of the store.
		Grace identifier.Duration `yaml:"grace"`
	} `yaml:"leases"`
	// Freshness is the maximum age of the directory for tasks to be started.
	Freshness identifier.Duration `yaml:"freshness"`
	// Retention is how long jobs are kept after they have ended.
	Retention identifier.Duration `yaml:"retention"`
	Log       Log                 `yaml:"log"`
}

// DefaultSchedule returns the values of settings that a file does not set.
func DefaultSchedule() ScheduleSettings {
	s := ScheduleSettings{
		Cells: 1, Freshness: duration(time.Second), Retention: duration(2 * time.Minute), Log: Log{Level: defaultLevel},
	}
	s.Leases.Member = duration(1200 * time.Millisecond)
	s.Leases.Worker = duration(5 * time.Second)
	s.Leases.Grace = duration(3 * time.Second)
	return s
}

// LoadSchedule reads the settings of a scheduling host from a file. The error is that of reading
// the file, or a *parser.InvalidError that lists every problem.
func LoadSchedule(path string) (ScheduleSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return ScheduleSettings{}, errors.Wrap(err, "read settings")
	}
	s := DefaultSchedule()
	fields, problems := parser.Decode(path, data, &s)
	v := &validator{fields: fields, problems: problems}
	v.validateSchedule(&s)
	parser.Sort(v.problems)
	if len(v.problems) > 0 {
		return ScheduleSettings{}, &parser.InvalidError{Problems: v.problems}
	}
	return s, nil
}

// maxCells is the upper limit of the setting cells.
const maxCells = 64

func (v *validator) validateSchedule(s *ScheduleSettings) {
	v.require(s.Name != "", "name", "missing", "the name of this scheduling host")
	v.require(s.DataCentre != "", "dataCentre", "missing", "the name of a data centre")
	v.validateAddress("listen.admin", s.Listen.Admin)
	v.validateAddress("listen.peers", s.Listen.Peers)
	v.validateAddress("platform.store", s.Platform.Store)
	v.validateAddress("platform.directory", s.Platform.Directory)
	v.require(s.Cells > 0 && s.Cells <= maxCells, "cells", "out of range", "1 to 64")
	for field, value := range map[string]identifier.Duration{
		"leases.member": s.Leases.Member, "leases.worker": s.Leases.Worker, "freshness": s.Freshness, "retention": s.Retention,
	} {
		v.require(value > 0, field, "zero", "a duration above zero")
	}
}
