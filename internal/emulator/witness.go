package emulator

import (
	"fmt"
	"math"
	"sort"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// execution is one attempt on one worker, from its start to its end.
type execution struct {
	worker  identifier.Worker
	attempt identifier.Attempt
	from    int64
	to      int64
	done    bool
}

func (e execution) overlaps(o execution) bool { return e.from < o.to && o.from < e.to }

// CheckRuns returns what the recorded steps of all workers show to be wrong: a
// task that ran in two places at once, or that started again after it was done
// although it is not repeatable. The steps of each worker are in its own order,
// which counts where several carry the same time.
func CheckRuns(events []Event, repeatable func(identifier.Task) bool) []string {
	var out []string
	for task, list := range executions(events) {
		sort.Slice(list, func(i, j int) bool { return list[i].attempt < list[j].attempt })
		out = append(out, checkTask(task, list, repeatable(task))...)
	}
	sort.Strings(out)
	return out
}

// executions pairs the start of every attempt with its end.
func executions(events []Event) map[identifier.Task][]execution {
	out := map[identifier.Task][]execution{}
	for _, e := range events {
		list := out[e.Task]
		if e.Step == StepStart {
			out[e.Task] = append(list, execution{worker: e.Worker, attempt: e.Attempt, from: e.AtUnixNano, to: math.MaxInt64})
			continue
		}
		for i := range list {
			if list[i].worker == e.Worker && list[i].attempt == e.Attempt && list[i].to == math.MaxInt64 {
				list[i].to, list[i].done = e.AtUnixNano, e.Step == StepDone
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
