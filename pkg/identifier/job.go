package identifier

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Job identifies a submitted job and is its idempotency key.
	Job string
	// Queue names the queue that a job is submitted to.
	Queue string
	// Rack names a group of workers that share a failure domain and local data.
	Rack string
	// Label names a property that a worker has and a task may require.
	Label string
	// Image names the program that a task runs; tasks with the same image are expected to behave
	// alike.
	Image string
	// Cell is the number of a shard of jobs. One host at a time schedules the jobs of a cell.
	Cell int
	// UnixMillis is a wall-clock time, in milliseconds since the Unix epoch.
	UnixMillis int64
	// Checkpoint is a worker's opaque name for saved progress of a task.
	Checkpoint string
	// EndNumber numbers the ended runs of one incarnation of a worker, from one.
	EndNumber uint64
)

// Time returns m as a time.Time.
func (m UnixMillis) Time() time.Time { return time.UnixMilli(int64(m)) }

// ErrTaskName marks errors about malformed task names.
var ErrTaskName = errors.New("malformed task name")

// JobTask identifies a task of a job by its occurrence, its step and its index within the step.
type JobTask struct {
	Job        Job `json:"job"`
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Index      int `json:"index"`
}

// String formats the name as JOB.OCCURRENCE.STEP.INDEX.
func (t JobTask) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseJobTask parses a name in the format of JobTask.String. Its errors are marked with
// ErrTaskName.
func ParseJobTask(text string) (JobTask, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return JobTask{}, errors.Mark(errors.Newf("task name %q is not of the form JOB.OCCURRENCE.STEP.INDEX", text), ErrTaskName)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return JobTask{}, errors.Mark(errors.Newf("task name %q: %q is not a whole number of zero or more", text, p), ErrTaskName)
		}
		n[i] = v
	}
	return JobTask{Job: Job(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// CellOf returns the cell, from 0 to cells-1, that schedules a job.
func CellOf(id Job, cells int) Cell { return Cell(HomeShard(Task(id), cells)) }
