// Package submitter describes jobs: several steps of many tasks each, as callers
// hand them in, and checks them.
package submitter

import (
	"fmt"
	"time"

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
)

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

// Check returns a *parser.InvalidError that lists every mistake of a job, or
// nil.
func (j Job) Check() error {
	c := checker{}
	c.require(j.ID != "", "id", "is missing")
	c.require(j.Queue != "", "queue", "is missing")
	c.require(len(j.Spec) <= MaxSpecBytes, "spec", "has more than %d bytes", MaxSpecBytes)
	c.require(len(j.Steps) > 0, "steps", "is empty")
	c.require(len(j.Steps) <= MaxSteps, "steps", "has more than %d entries", MaxSteps)
	c.require(j.Tasks() <= MaxTasks, "steps", "has more than %d tasks", MaxTasks)
	for i, s := range j.Steps {
		c.step(i, s)
	}
	if j.Schedule != nil {
		c.require(j.Schedule.Times > 0 && j.Schedule.Times <= MaxOccurrences, "schedule.times", "is not between 1 and %d", MaxOccurrences)
		c.require(j.Schedule.Times == 1 || j.Schedule.Period > 0, "schedule.period", "is not positive")
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

func (c *checker) step(i int, s Step) {
	at := fmt.Sprintf("steps[%d].", i)
	c.require(s.Count > 0, at+"count", "is not positive")
	c.require(s.Size.Processors >= 0 && s.Size.Memory >= 0 && s.Size.Accelerators >= 0, at+"size", "is negative")
	c.require(s.Estimate >= 0, at+"estimate", "is negative")
	c.require(s.MaxPerWorker >= 0, at+"maxPerWorker", "is negative")
	c.require(s.MaxUnavailable >= 0, at+"maxUnavailable", "is negative")
	c.require(!s.Gang || !s.Copies, at+"copies", "cannot be set for a gang")
	for _, a := range s.After {
		c.require(a >= 0 && a < i, at+"after", "names step %d, which is not an earlier one", a)
	}
}
