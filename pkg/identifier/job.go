package identifier

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Job identifies one submitted job; it doubles as its idempotency key.
	Job string
	// Queue names the queue that a job was handed in to.
	Queue string
	// Rack names a group of workers that fail together and share data.
	Rack string
	// Label names a property that a worker has and a task may require.
	Label string
	// Image names what a task runs; tasks of one image behave alike.
	Image string
	// Cell numbers a shard of jobs that one host at a time schedules.
	Cell int
	// UnixMillis is a time of day, in milliseconds since 1970.
	UnixMillis int64
	// Checkpoint is a worker's opaque name for the progress that a task saved.
	Checkpoint string
	// EndNumber numbers the ended runs of one life of a worker, from one.
	EndNumber uint64
)

// Time returns the time of day as a time.Time.
func (m UnixMillis) Time() time.Time { return time.UnixMilli(int64(m)) }

// ErrTaskName marks a text that is not the name of a job's task.
var ErrTaskName = errors.New("malformed task name")

// JobTask names one task of a job.
type JobTask struct {
	Job        Job `json:"job"`
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Index      int `json:"index"`
}

// String returns the name as JOB.OCCURRENCE.STEP.INDEX.
func (t JobTask) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseJobTask reads a name that String wrote; the error is marked
// ErrTaskName.
func ParseJobTask(text string) (JobTask, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return JobTask{}, errors.Mark(errors.Newf("task name %q has not four parts", text), ErrTaskName)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return JobTask{}, errors.Mark(errors.Newf("task name %q has part %q", text, p), ErrTaskName)
		}
		n[i] = v
	}
	return JobTask{Job: Job(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// CellOf returns the cell, below cells, that schedules a job.
func CellOf(id Job, cells int) Cell { return Cell(HomeShard(Task(id), cells)) }
