package emulator

import (
	"fmt"
	"sort"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// CheckRuns returns what the recorded steps of all workers show to be wrong: a
// task that ran in two places at once, or that started again after it was done
// although it is not repeatable.
func CheckRuns(events []Event, repeatable func(identifier.Task) bool) []string {
	byTask := map[identifier.Task][]Event{}
	for _, e := range events {
		byTask[e.Task] = append(byTask[e.Task], e)
	}
	var out []string
	for task, list := range byTask {
		sort.SliceStable(list, func(i, j int) bool { return list[i].before(list[j]) })
		out = append(out, checkTask(task, list, repeatable(task))...)
	}
	sort.Strings(out)
	return out
}

// before orders steps by time; of those at the same time, ends come first.
func (e Event) before(o Event) bool {
	if e.AtUnixNano != o.AtUnixNano {
		return e.AtUnixNano < o.AtUnixNano
	}
	return e.Step != StepStart && o.Step == StepStart
}

func checkTask(task identifier.Task, list []Event, repeatable bool) []string {
	var out []string
	running := map[identifier.Worker]identifier.Attempt{}
	done := 0
	for _, e := range list {
		if e.Step != StepStart {
			delete(running, e.Worker)
			if e.Step == StepDone {
				done++
			}
			continue
		}
		for w, attempt := range running {
			out = append(out, fmt.Sprintf("task %s: attempt %d started on %s while attempt %d ran on %s", task, e.Attempt, e.Worker, attempt, w))
		}
		if done > 0 && !repeatable {
			out = append(out, fmt.Sprintf("task %s: attempt %d started on %s after it was done", task, e.Attempt, e.Worker))
		}
		running[e.Worker] = e.Attempt
	}
	return out
}
