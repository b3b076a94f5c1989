package emulator

import (
	"fmt"
	"math"
	"sort"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// execution is an attempt on a worker. Times are Unix nanoseconds, and end is math.MaxInt64 while
// the attempt runs.
type execution struct {
	worker  identifier.Worker
	attempt identifier.Attempt
	start   int64
	end     int64
	done    bool
}

func (e execution) overlaps(o execution) bool { return e.start < o.end && o.start < e.end }

// CheckRuns returns the violations in the recorded events of all workers: tasks with overlapping
// executions, and tasks that started again after they were done without being repeatable. The
// events of each worker must be in the order in which it recorded them, since several may have the
// same time.
func CheckRuns(events []Event, repeatable func(identifier.Task) bool) []string {
	var out []string
	for task, list := range executions(events) {
		sort.Slice(list, func(i, j int) bool { return list[i].attempt < list[j].attempt })
		out = append(out, checkTask(task, list, repeatable(task))...)
	}
	sort.Strings(out)
	return out
}

// executions pairs the start of every attempt with its end and groups the results by task.
func executions(events []Event) map[identifier.Task][]execution {
	out := map[identifier.Task][]execution{}
	for _, e := range events {
		list := out[e.Task]
		if e.Step == StepStart {
			out[e.Task] = append(list, execution{worker: e.Worker, attempt: e.Attempt, start: e.AtUnixNano, end: math.MaxInt64})
			continue
		}
		for i := range list {
			if list[i].worker == e.Worker && list[i].attempt == e.Attempt && list[i].end == math.MaxInt64 {
				list[i].end, list[i].done = e.AtUnixNano, e.Step == StepDone
			}
		}
	}
	return out
}

func checkTask(task identifier.Task, list []execution, repeatable bool) []string {
	var out []string
	for i, later := range list {
		for _, earlier := range list[:i] {
			if later.overlaps(earlier) {
				out = append(out, fmt.Sprintf("task %s: attempt %d ran on %s while attempt %d ran on %s", task, later.attempt, later.worker, earlier.attempt, earlier.worker))
			}
			if earlier.done && !repeatable {
				out = append(out, fmt.Sprintf("task %s: attempt %d started on %s after attempt %d was done", task, later.attempt, later.worker, earlier.attempt))
			}
		}
	}
	return out
}
