package submitter

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// TestInvalidJobsAreRejected checks that a job is rejected if its numbers would overflow in the
// scheduler or its texts cannot be stored.
func TestInvalidJobsAreRejected(t *testing.T) {
	long := strings.Repeat("x", 70_000)
	tests := map[string]func(j *Job){
		"counts whose sum overflows":   func(j *Job) { j.Steps[0].Count, j.Steps[1].Count = math.MaxInt64, math.MaxInt64 },
		"counts whose sum is zero":     func(j *Job) { j.Steps[0].Count, j.Steps[1].Count = math.MaxInt64, math.MinInt64+1 },
		"processors that overflow":     func(j *Job) { j.Steps[0].Size.Processors = math.MaxInt64 },
		"memory that overflows":        func(j *Job) { j.Steps[0].Size.Memory = math.MaxInt64 },
		"accelerators that overflow":   func(j *Job) { j.Steps[0].Size.Accelerators = math.MaxInt64 },
		"estimate that overflows":      func(j *Job) { j.Steps[0].Estimate = math.MaxInt64 },
		"tail target below zero":       func(j *Job) { j.Steps[0].TailTarget = -1 },
		"tail target that overflows":   func(j *Job) { j.Steps[0].TailTarget = math.MaxInt64 },
		"more dependencies than steps": func(j *Job) { j.Steps[1].After = make([]int, 100_000) },
		"long label":                   func(j *Job) { j.Steps[0].Label = identifier.Label(long) },
		"long rack":                    func(j *Job) { j.Steps[0].DataRack = identifier.Rack(long) },
		"long image":                   func(j *Job) { j.Steps[0].Image = identifier.Image(long) },
		"long identity":                func(j *Job) { j.ID = identifier.Job(long) },
		"identity with a dot":          func(j *Job) { j.ID = "a.0" },
		"identity with a line break":   func(j *Job) { j.ID = "a\r\nb" },
		"identity that is not UTF-8":   func(j *Job) { j.ID = "a\xff" },
		"spec that is not UTF-8":       func(j *Job) { j.Spec = "\xff" },
		"period that overflows":        func(j *Job) { j.Schedule = &Schedule{Period: math.MaxInt64, Times: 2} },
		"occurrences beyond a century": func(j *Job) {
			j.Schedule = &Schedule{Period: identifier.Duration(9 * 365 * 24 * time.Hour), Times: 10_000}
		},
		"period below zero":               func(j *Job) { j.Schedule = &Schedule{Period: -1, Times: 1} },
		"first occurrence that overflows": func(j *Job) { j.Schedule = &Schedule{First: math.MaxInt64, Period: 1, Times: 2} },
		"first occurrence below zero":     func(j *Job) { j.Schedule = &Schedule{First: math.MinInt64, Period: 1, Times: 2} },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			j := Job{ID: "a", Queue: "q", Steps: []Step{{Count: 1}, {Count: 1, After: []int{0}}}}
			if err := j.Check(); err != nil {
				t.Fatal(err)
			}
			change(&j)
			var invalid *parser.InvalidError
			if err := j.Check(); !errors.As(err, &invalid) {
				t.Fatalf("error %v, want a *parser.InvalidError", err)
			}
		})
	}
}

// TestJobsWithinLimitsAreAccepted checks that large jobs and long schedules are accepted.
func TestJobsWithinLimitsAreAccepted(t *testing.T) {
	tests := map[string]Job{
		"all tasks in a step": {Steps: []Step{{Count: MaxTasks}}},
		"monthly":             {Steps: []Step{{Count: 1}}, Schedule: &Schedule{First: 1_700_000_000_000, Period: identifier.Duration(31 * 24 * time.Hour), Times: 120}},
		"every second":        {Steps: []Step{{Count: 1}}, Schedule: &Schedule{Period: identifier.Duration(time.Second), Times: MaxOccurrences}},
		"larger than workers": {Steps: []Step{{Count: 1, Size: identifier.Size{Processors: 10_000_000, Memory: 1 << 30, Accelerators: 1000}}}},
		"after the same step": {Steps: []Step{{Count: 1}, {Count: 1}, {Count: 1, After: []int{0, 1}}}},
	}
	for name, j := range tests {
		t.Run(name, func(t *testing.T) {
			j.ID, j.Queue = "0123456789abcdef", "q"
			if err := j.Check(); err != nil {
				t.Fatal(err)
			}
		})
	}
}
