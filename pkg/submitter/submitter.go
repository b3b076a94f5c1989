// Package submitter defines the jobs that callers submit, each of several steps of many tasks, and
// validates them.
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
	// MaxSteps bounds the steps of a job, so that one job's state stays below the size limit of a
	// record in the store.
	MaxSteps = 256
	// MaxTasks bounds the tasks of one occurrence of a job, for the same reason.
	MaxTasks = 4096
	// MaxOccurrences bounds the occurrences of a scheduled job.
	MaxOccurrences = 10_000
	// MaxIDBytes bounds the ID of a job, which is part of a key in the store.
	MaxIDBytes = 128
	// MaxNameBytes bounds labels, racks and images.
	MaxNameBytes = 255
	// MaxSpan bounds estimates, tail targets and periods, and maxScheduleSpan the sum of a
	// schedule's periods. Both are far below the largest time.Duration, so that sums of them do
	// not overflow.
	MaxSpan         = 10 * 365 * 24 * time.Hour
	maxScheduleSpan = 100 * 365 * 24 * time.Hour
	// maxUnixMillis is the end of the year 9999.
	maxUnixMillis identifier.UnixMillis = 253_402_300_799_999
)

// MaxSize bounds what a task may reserve, so that the sum of the sizes of all tasks does not
// overflow: a million cores, an exbibyte, a million accelerators.
var MaxSize = identifier.Size{Processors: 1_000_000_000, Memory: 1 << 40, Accelerators: 1_000_000}

// Job is a job as callers submit it.
type Job struct {
	ID    identifier.Job   `yaml:"id" json:"id" cbor:"1,keyasint"`
	Queue identifier.Queue `yaml:"queue" json:"queue" cbor:"2,keyasint"`
	// Spec is passed unchanged to every task.
	Spec  string `yaml:"spec" json:"spec" cbor:"3,keyasint,omitempty"`
	Steps []Step `yaml:"steps" json:"steps" cbor:"4,keyasint"`
	// Schedule is nil for a job that runs once, as soon as possible.
	Schedule *Schedule `yaml:"schedule" json:"schedule,omitempty" cbor:"5,keyasint,omitempty"`
}

// Schedule repeats the steps of a job at fixed wall-clock times: Times occurrences, one every
// Period from First on. Occurrences may overlap.
type Schedule struct {
	First  identifier.UnixMillis `yaml:"first" json:"first" cbor:"1,keyasint"`
	Period identifier.Duration   `yaml:"period" json:"period" cbor:"2,keyasint"`
	Times  int                   `yaml:"times" json:"times" cbor:"3,keyasint"`
}

// Due returns the time at which an occurrence, counted from zero, is due.
func (s Schedule) Due(occurrence int) time.Time {
	return s.First.Time().Add(time.Duration(occurrence) * s.Period.Std())
}

// Step is a group of tasks with the same requirements.
type Step struct {
	// Count is the number of tasks.
	Count int `yaml:"count" json:"count" cbor:"1,keyasint"`
	// Size is what each task reserves on its worker.
	Size identifier.Size `yaml:"size" json:"size" cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate identifier.Duration `yaml:"estimate" json:"estimate,omitempty" cbor:"3,keyasint,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `yaml:"after" json:"after,omitempty" cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if the tasks save their progress while they run.
	Checkpoints bool `yaml:"checkpoints" json:"checkpoints,omitempty" cbor:"5,keyasint,omitempty"`
	// Gang is set if the tasks make progress only while all of them run.
	Gang bool `yaml:"gang" json:"gang,omitempty" cbor:"6,keyasint,omitempty"`
	// SameRack is set if the tasks are slower when they run on several racks.
	SameRack bool `yaml:"sameRack" json:"sameRack,omitempty" cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have.
	Label identifier.Label `yaml:"label" json:"label,omitempty" cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the tasks' data; on other racks the tasks are slower.
	DataRack identifier.Rack `yaml:"dataRack" json:"dataRack,omitempty" cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on a worker; zero means no limit.
	MaxPerWorker int `yaml:"maxPerWorker" json:"maxPerWorker,omitempty" cbor:"10,keyasint,omitempty"`
	// Copies is set if a task may have several runs at the same time.
	Copies bool `yaml:"copies" json:"copies,omitempty" cbor:"11,keyasint,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `yaml:"longRunning" json:"longRunning,omitempty" cbor:"12,keyasint,omitempty"`
	// Image names the program that the tasks run.
	Image identifier.Image `yaml:"image" json:"image,omitempty" cbor:"13,keyasint,omitempty"`
	// TailTarget is the tail latency that the tasks should not exceed towards their own users;
	// zero for tasks that have none.
	TailTarget identifier.Duration `yaml:"tailTarget" json:"tailTarget,omitempty" cbor:"14,keyasint,omitempty"`
	// Scavenger is set if the tasks use only processor time that other tasks leave idle. No
	// processors are reserved for them.
	Scavenger bool `yaml:"scavenger" json:"scavenger,omitempty" cbor:"15,keyasint,omitempty"`
	// MaxUnavailable bounds the tasks that the scheduler may take out of service at the same
	// time; zero means no limit.
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

// withinTaskLimit reports whether an occurrence has at most MaxTasks tasks. Unlike Tasks it does
// not overflow, however large the counts of the steps are.
func (j Job) withinTaskLimit() bool {
	remaining := MaxTasks
	for _, s := range j.Steps {
		if s.Count > remaining {
			return false
		}
		remaining -= max(s.Count, 0)
	}
	return true
}

// Check validates the job. It returns nil or a *parser.InvalidError that lists every problem.
func (j Job) Check() error {
	v := validator{}
	v.require(j.ID != "", "id", "is missing")
	v.require(isValidID(j.ID), "id", "is no text without dots of at most %d bytes", MaxIDBytes)
	v.require(j.Queue != "", "queue", "is missing")
	v.require(len(j.Spec) <= MaxSpecBytes, "spec", "has more than %d bytes", MaxSpecBytes)
	v.require(utf8.ValidString(j.Spec), "spec", "is not UTF-8")
	v.require(len(j.Steps) > 0, "steps", "is empty")
	v.require(len(j.Steps) <= MaxSteps, "steps", "has more than %d entries", MaxSteps)
	v.require(j.withinTaskLimit(), "steps", "has more than %d tasks", MaxTasks)
	for i, s := range j.Steps[:min(len(j.Steps), MaxSteps)] {
		v.validateStep(i, s)
	}
	if j.Schedule != nil {
		v.validateSchedule(*j.Schedule)
	}
	if len(v.problems) == 0 {
		return nil
	}
	return &parser.InvalidError{Problems: v.problems}
}

// validator collects the problems of a job.
type validator struct{ problems []parser.Problem }

// require records a problem of a field unless ok is set.
func (v *validator) require(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	v.problems = append(v.problems, parser.Problem{Field: field, Wrong: fmt.Sprintf(format, args...)})
}

// isValidID reports whether a job ID can be part of task names, whose parts are separated by dots,
// and of keys in the store and lines of text.
func isValidID(id identifier.Job) bool {
	return len(id) <= MaxIDBytes && isValidName(string(id)) && !strings.Contains(string(id), ".")
}

// isValidName reports whether a name can be stored and printed: whether it has at most MaxNameBytes
// of valid UTF-8 without control characters.
func isValidName(name string) bool {
	return len(name) <= MaxNameBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, unicode.IsControl)
}

func (v *validator) validateSchedule(s Schedule) {
	v.require(s.Times > 0 && s.Times <= MaxOccurrences, "schedule.times", "is not between 1 and %d", MaxOccurrences)
	v.require(s.Times == 1 || s.Period > 0, "schedule.period", "is not positive")
	v.validateDuration("schedule.period", s.Period)
	v.require(s.Times <= 0 || s.Period.Std() <= maxScheduleSpan/time.Duration(s.Times), "schedule", "lasts longer than %v", maxScheduleSpan)
	v.require(s.First >= 0 && s.First <= maxUnixMillis, "schedule.first", "is no time")
}

// validateDuration rejects durations below zero or above MaxSpan.
func (v *validator) validateDuration(field string, d identifier.Duration) {
	v.require(d >= 0, field, "is negative")
	v.require(d.Std() <= MaxSpan, field, "is more than %v", MaxSpan)
}

func (v *validator) validateStep(i int, s Step) {
	prefix := fmt.Sprintf("steps[%d].", i)
	v.require(s.Count > 0, prefix+"count", "is not positive")
	v.require(s.Size.Processors >= 0 && s.Size.Memory >= 0 && s.Size.Accelerators >= 0, prefix+"size", "is negative")
	v.require(s.Size.Fits(MaxSize), prefix+"size", "is more than %s", MaxSize)
	v.validateDuration(prefix+"estimate", s.Estimate)
	v.validateDuration(prefix+"tailTarget", s.TailTarget)
	v.require(s.MaxPerWorker >= 0, prefix+"maxPerWorker", "is negative")
	v.require(s.MaxUnavailable >= 0, prefix+"maxUnavailable", "is negative")
	v.require(!s.Gang || !s.Copies, prefix+"copies", "cannot be set for a gang")
	v.require(isValidName(string(s.Label)), prefix+"label", "is no name")
	v.require(isValidName(string(s.DataRack)), prefix+"dataRack", "is no name")
	v.require(isValidName(string(s.Image)), prefix+"image", "is no name")
	v.require(len(s.After) <= MaxSteps, prefix+"after", "has more than %d entries", MaxSteps)
	for _, dep := range s.After[:min(len(s.After), MaxSteps)] {
		v.require(dep >= 0 && dep < i, prefix+"after", "names step %d, which is not an earlier one", dep)
	}
}
