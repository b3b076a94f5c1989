// Package submitter describes jobs: several steps of many tasks each, as callers
// hand them in, and checks them.
package submitter

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// The limits of one job.
const (
	// MaxSpecBytes bounds the text that is passed to every task.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of a job, so that one job's state stays below
	// the size of a stored record.
	MaxSteps = 256
	// MaxTasks bounds the tasks of one occurrence of a job, for the same reason.
	MaxTasks = 4096
	// MaxOccurrences bounds the repeats of a job.
	MaxOccurrences = 10_000
	// MaxIDBytes bounds the identity of a job, which is a part of a key in the store.
	MaxIDBytes = 128
	// MaxNameBytes bounds labels, racks and images.
	MaxNameBytes = 255
	// MaxSpan bounds estimates, targets and periods, and with maxSchedule what they add up
	// to; both are far below the largest time.Duration.
	MaxSpan     = 10 * 365 * 24 * time.Hour
	maxSchedule = 100 * 365 * 24 * time.Hour
	// maxUnixMillis is the end of the year 9999.
	maxUnixMillis identifier.UnixMillis = 253_402_300_799_999
)

// MaxSize bounds what a task may reserve, so that the sizes of all tasks add up: a million
// cores, an exbibyte, a million accelerators.
var MaxSize = identifier.Size{Processors: 1_000_000_000, Memory: 1 << 40, Accelerators: 1_000_000}

// Job is what a caller hands in.
type Job struct {
	ID    identifier.Job   `yaml:"id" json:"id" cbor:"1,keyasint"`
	Queue identifier.Queue `yaml:"queue" json:"queue" cbor:"2,keyasint"`
	// Spec is passed unchanged to every task.
	Spec  string `yaml:"spec" json:"spec" cbor:"3,keyasint,omitempty"`
	Steps []Step `yaml:"steps" json:"steps" cbor:"4,keyasint"`
	// Schedule is nil for a job that runs once, as soon as it can.
	Schedule *Schedule `yaml:"schedule" json:"schedule,omitempty" cbor:"5,keyasint,omitempty"`
}

// Schedule repeats the steps of a job at fixed times of day. Occurrences may
// overlap.
type Schedule struct {
	First  identifier.UnixMillis `yaml:"first" json:"first" cbor:"1,keyasint"`
	Period identifier.Duration   `yaml:"period" json:"period" cbor:"2,keyasint"`
	Times  int                   `yaml:"times" json:"times" cbor:"3,keyasint"`
}

// Due returns when an occurrence, counted from zero, is due.
func (s Schedule) Due(occurrence int) time.Time {
	return s.First.Time().Add(time.Duration(occurrence) * s.Period.Std())
}

// Step is a group of tasks that run alike.
type Step struct {
	// Count is the number of tasks.
	Count int `yaml:"count" json:"count" cbor:"1,keyasint"`
	// Size is what each task reserves on its worker.
	Size identifier.Size `yaml:"size" json:"size" cbor:"2,keyasint"`
	// Estimate is the caller's rough guess of a task's run time.
	Estimate identifier.Duration `yaml:"estimate" json:"estimate,omitempty" cbor:"3,keyasint,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `yaml:"after" json:"after,omitempty" cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if a task saves its progress as it runs.
	Checkpoints bool `yaml:"checkpoints" json:"checkpoints,omitempty" cbor:"5,keyasint,omitempty"`
	// Gang is set if the tasks work only while all of them run.
	Gang bool `yaml:"gang" json:"gang,omitempty" cbor:"6,keyasint,omitempty"`
	// SameRack is set if the tasks are slower when they run on several racks.
	SameRack bool `yaml:"sameRack" json:"sameRack,omitempty" cbor:"7,keyasint,omitempty"`
	// Label is one that the worker must have.
	Label identifier.Label `yaml:"label" json:"label,omitempty" cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the data; elsewhere tasks are slower.
	DataRack identifier.Rack `yaml:"dataRack" json:"dataRack,omitempty" cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on a worker; zero means
	// no bound.
	MaxPerWorker int `yaml:"maxPerWorker" json:"maxPerWorker,omitempty" cbor:"10,keyasint,omitempty"`
	// Copies is set if several runs of a task may go on at the same time.
	Copies bool `yaml:"copies" json:"copies,omitempty" cbor:"11,keyasint,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `yaml:"longRunning" json:"longRunning,omitempty" cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run.
	Image identifier.Image `yaml:"image" json:"image,omitempty" cbor:"13,keyasint,omitempty"`
	// TailTarget is the bound of the tail latency that the tasks offer to their
	// own users; zero for tasks that serve nobody.
	TailTarget identifier.Duration `yaml:"tailTarget" json:"tailTarget,omitempty" cbor:"14,keyasint,omitempty"`
	// Scavenger is set if the tasks use only processor time that others leave;
	// their processors are not reserved.
	Scavenger bool `yaml:"scavenger" json:"scavenger,omitempty" cbor:"15,keyasint,omitempty"`
	// MaxUnavailable bounds the tasks that the scheduler may take out of service
	// at the same time; zero means no bound.
	MaxUnavailable int `yaml:"maxUnavailable" json:"maxUnavailable,omitempty" cbor:"16,keyasint,omitempty"`
}

// Serves reports whether the tasks have users whose latency matters.
func (s Step) Serves() bool { return s.TailTarget > 0 }

// Tasks returns the number of tasks of one occurrence.
func (j Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// fewTasks reports whether an occurrence has at most MaxTasks tasks, however large the
// counts of its steps are.
func (j Job) fewTasks() bool {
	left := MaxTasks
	for _, s := range j.Steps {
		if s.Count > left {
			return false
		}
		left -= max(s.Count, 0)
	}
	return true
}

// Check returns a *parser.InvalidError that lists every mistake of a job, or
// nil.
func (j Job) Check() error {
	c := checker{}
	c.require(j.ID != "", "id", "is missing")
	c.require(isID(j.ID), "id", "is no text without dots of at most %d bytes", MaxIDBytes)
	c.require(j.Queue != "", "queue", "is missing")
	c.require(len(j.Spec) <= MaxSpecBytes, "spec", "has more than %d bytes", MaxSpecBytes)
	c.require(utf8.ValidString(j.Spec), "spec", "is not UTF-8")
	c.require(len(j.Steps) > 0, "steps", "is empty")
	c.require(len(j.Steps) <= MaxSteps, "steps", "has more than %d entries", MaxSteps)
	c.require(j.fewTasks(), "steps", "has more than %d tasks", MaxTasks)
	for i, s := range j.Steps[:min(len(j.Steps), MaxSteps)] {
		c.step(i, s)
	}
	if j.Schedule != nil {
		c.schedule(*j.Schedule)
	}
	if len(c.problems) == 0 {
		return nil
	}
	return &parser.InvalidError{Problems: c.problems}
}

type checker struct{ problems []parser.Problem }

func (c *checker) require(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	c.problems = append(c.problems, parser.Problem{Field: field, Wrong: fmt.Sprintf(format, args...)})
}

// isID reports whether an identity can be a part of the names of tasks, of keys and of
// lines.
func isID(id identifier.Job) bool {
	return len(id) <= MaxIDBytes && isName(string(id)) && !strings.Contains(string(id), ".")
}

// isName reports whether a name can be stored and shown.
func isName(name string) bool {
	return len(name) <= MaxNameBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, unicode.IsControl)
}

func (c *checker) schedule(s Schedule) {
	c.require(s.Times > 0 && s.Times <= MaxOccurrences, "schedule.times", "is not between 1 and %d", MaxOccurrences)
	c.require(s.Times == 1 || s.Period > 0, "schedule.period", "is not positive")
	c.span("schedule.period", s.Period)
	c.require(s.Times <= 0 || s.Period.Std() <= maxSchedule/time.Duration(s.Times), "schedule", "lasts longer than %v", maxSchedule)
	c.require(s.First >= 0 && s.First <= maxUnixMillis, "schedule.first", "is no time")
}

// span refuses times below zero and beyond MaxSpan.
func (c *checker) span(field string, d identifier.Duration) {
	c.require(d >= 0, field, "is negative")
	c.require(d.Std() <= MaxSpan, field, "is more than %v", MaxSpan)
}

func (c *checker) step(i int, s Step) {
	at := fmt.Sprintf("steps[%d].", i)
	c.require(s.Count > 0, at+"count", "is not positive")
	c.require(s.Size.Processors >= 0 && s.Size.Memory >= 0 && s.Size.Accelerators >= 0, at+"size", "is negative")
	c.require(s.Size.Fits(MaxSize), at+"size", "is more than %s", MaxSize)
	c.span(at+"estimate", s.Estimate)
	c.span(at+"tailTarget", s.TailTarget)
	c.require(s.MaxPerWorker >= 0, at+"maxPerWorker", "is negative")
	c.require(s.MaxUnavailable >= 0, at+"maxUnavailable", "is negative")
	c.require(!s.Gang || !s.Copies, at+"copies", "cannot be set for a gang")
	c.require(isName(string(s.Label)), at+"label", "is no name")
	c.require(isName(string(s.DataRack)), at+"dataRack", "is no name")
	c.require(isName(string(s.Image)), at+"image", "is no name")
	c.require(len(s.After) <= MaxSteps, at+"after", "has more than %d entries", MaxSteps)
	for _, a := range s.After[:min(len(s.After), MaxSteps)] {
		c.require(a >= 0 && a < i, at+"after", "names step %d, which is not an earlier one", a)
	}
}
