package auditor

import (
	"slices"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"

	"github.com/balsamcove/balsamcove/internal/drafter"
)

// startTime is the start of the histories in these tests.
var startTime = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func sec(s float64) time.Time { return startTime.Add(time.Duration(s * float64(time.Second))) }

const (
	plainJob        identifier.Job = "job-1"
	longRunningJob  identifier.Job = "lasting-job-2"
	unknownQueueJob identifier.Job = "job-3" // Its queue does not exist.
	refusedJob      identifier.Job = "job-4" // Refused as not run.
	cancelledJob    identifier.Job = "job-5"
	secondTask                     = 1
)

func call(kind CallKind, id identifier.Job, sent, answered float64, state string) Call {
	return Call{Kind: kind, Job: id, Sent: sec(sent), Answered: sec(answered), State: state}
}

func refusal(kind CallKind, id identifier.Job, sent, answered float64, code refuser.Code, effect refuser.Effect) Call {
	c := call(kind, id, sent, answered, "")
	c.Refusal = &refuser.Refusal{Code: code, Effect: effect}
	return c
}

func event(id identifier.Job, task int, attempt identifier.Attempt, at float64, how connector.RunEnd) simulator.RunEvent {
	return simulator.RunEvent{
		At: sec(at), Run: connector.RunID{Task: identifier.JobTask{Job: id, Index: task}, Attempt: attempt},
		Worker: "a-w0", DataCentre: "a", How: how,
	}
}

func jobEvent(id identifier.Job, q identifier.Queue) drafter.JobEvent {
	return drafter.JobEvent{Job: submitter.Job{ID: id, Queue: q, Steps: []submitter.Step{{Count: 2}}}}
}

// validHistory returns a history without violations, in which the last fault ends at 30 s.
func validHistory() History {
	return History{
		Plan: drafter.Plan{
			Options: drafter.Options{Hosts: 2, Workers: 3, Span: 30 * time.Second},
			Jobs:    []drafter.JobEvent{jobEvent(plainJob, drafter.Queue), jobEvent(longRunningJob, drafter.Queue), jobEvent(unknownQueueJob, drafter.UnknownQueue), jobEvent(refusedJob, drafter.Queue), jobEvent(cancelledJob, drafter.Queue)},
		},
		Began: startTime, FaultsEnded: sec(30),
		Calls: []Call{
			call(CallSubmit, plainJob, 1, 1.1, ""), call(CallStatus, plainJob, 2, 2.1, "queued"), call(CallStatus, plainJob, 3, 3.1, "running"),
			call(CallStatus, plainJob, 5, 5.1, "completed"), call(CallStatus, plainJob, 7, 7.1, "completed"),
			call(CallSubmit, longRunningJob, 1, 1.1, ""), call(CallStatus, longRunningJob, 5, 5.1, "running"),
			call(CallCancel, longRunningJob, 40, 40.1, ""), call(CallStatus, longRunningJob, 42, 42.1, "cancelled"),
			refusal(CallSubmit, unknownQueueJob, 1, 1.1, refuser.CodeNotFound, refuser.NotRun),
			refusal(CallSubmit, refusedJob, 1, 1.5, refuser.CodeUnavailable, refuser.NotRun),
			call(CallSubmit, cancelledJob, 1, 1.1, ""), call(CallCancel, cancelledJob, 1.2, 1.3, ""), call(CallStatus, cancelledJob, 5, 5.1, "cancelled"),
		},
		Events: []simulator.RunEvent{
			event(plainJob, 0, 1, 2.5, ""), event(plainJob, 1, 1, 2.6, ""),
			event(plainJob, 0, 1, 3, connector.EndDone), event(plainJob, 1, 1, 3, connector.EndFailed),
			event(plainJob, 1, 2, 3.5, ""), event(plainJob, 1, 2, 4, connector.EndDone),
			event(longRunningJob, 0, 1, 2, ""), event(longRunningJob, 1, 1, 2, ""),
			event(longRunningJob, 0, 1, 40.5, connector.EndStopped), event(longRunningJob, 1, 1, 40.5, connector.EndStopped),
		},
		Exits: []Exit{
			{Process: "h0", At: sec(10), Killed: true},
			{Process: "h1", At: sec(11), Killed: true, StopRequested: true, Took: time.Minute},
			{Process: "h1", At: sec(45), StopRequested: true, OK: true, Took: time.Second},
		},
		Evacuations: []Evacuation{{DataCentre: "a", Acked: sec(4), Ended: sec(20)}},
	}
}

// TestHistoryWithoutBreaches checks that a valid history passes all checks.
func TestHistoryWithoutBreaches(t *testing.T) {
	if got := Check(validHistory()); len(got) > 0 {
		t.Errorf("breaches %v, want none", got)
	}
}

// TestBreachesAreFound changes a valid history to violate one guarantee at a time, as a scheduler
// without the corresponding protection would, and checks that only the right check reports it.
func TestBreachesAreFound(t *testing.T) {
	add := func(calls ...Call) func(*History) {
		return func(h *History) { h.Calls = append(h.Calls, calls...) }
	}
	events := func(events ...simulator.RunEvent) func(*History) {
		return func(h *History) { h.Events = append(h.Events, events...) }
	}
	without := func(kind CallKind, id identifier.Job) func(*History) {
		return func(h *History) {
			h.Calls = slices.DeleteFunc(h.Calls, func(c Call) bool { return c.Kind == kind && c.Job == id })
		}
	}
	disturbed := func(change func(*History), f drafter.Fault) func(*History) {
		return func(h *History) {
			change(h)
			h.Plan.Faults = append(h.Plan.Faults, drafter.FaultEvent{At: 0, For: 30 * time.Second, Fault: f})
		}
	}
	slowRefusal := add(refusal(CallSubmit, refusedJob, 2, 6, refuser.CodeUnavailable, refuser.NotRun))
	slowUnknownQueue := add(refusal(CallSubmit, unknownQueueJob, 2, 4, refuser.CodeNotFound, refuser.NotRun))
	tests := map[string]struct {
		change func(*History)
		want   []string
	}{
		"workers saw a task twice":              {func(h *History) { h.Breaches = []string{"runs twice"} }, []string{"workers"}},
		"job that was never submitted":          {events(event("other", 0, 1, 5, "")), []string{"workers"}},
		"accepted job is not known":             {add(refusal(CallStatus, plainJob, 6, 6.1, refuser.CodeNotFound, refuser.NotRun)), []string{"lost"}},
		"accepted job is not known yet":         {add(refusal(CallStatus, plainJob, 3, 3.1, refuser.CodeNotFound, refuser.NotRun)), nil},
		"completed job runs again":              {add(call(CallStatus, plainJob, 8, 8.1, "running")), []string{"states"}},
		"running job is queued again":           {add(call(CallStatus, plainJob, 3.2, 3.3, "queued")), []string{"states"}},
		"older answer comes late":               {add(call(CallStatus, plainJob, 2.9, 4, "queued")), nil},
		"completed job is cancelled":            {add(call(CallCancel, plainJob, 7, 7.1, ""), call(CallStatus, plainJob, 8, 8.1, "cancelled")), []string{"states"}},
		"completed before its tasks are done":   {add(call(CallStatus, plainJob, 3.5, 3.6, "completed")), []string{"completed"}},
		"failed without failed runs":            {func(h *History) { h.Calls[13].State = "failed" }, []string{"failed"}},
		"cancelled without a request":           {without(CallCancel, cancelledJob), []string{"failed"}},
		"refused as not run, and run":           {events(event(refusedJob, 0, 1, 5, "")), []string{"notRun"}},
		"refused as unknown, and run":           {combine(add(refusal(CallSubmit, refusedJob, 2, 2.5, refuser.CodeUnavailable, refuser.Unknown)), events(event(refusedJob, 0, 1, 5, ""))), nil},
		"refused as if its queue were none":     {add(refusal(CallSubmit, plainJob, 0.5, 0.6, refuser.CodeNotFound, refuser.NotRun)), []string{"refused"}},
		"refused late":                          {slowRefusal, []string{"refused"}},
		"refused late by a host that is slow":   {disturbed(slowRefusal, drafter.HostsPaused{Hosts: []int{0}}), nil},
		"refused late beside another's pause":   {disturbed(slowRefusal, drafter.HostsPaused{Hosts: []int{1}}), []string{"refused"}},
		"refused late because the soak stalled": {combine(slowRefusal, addStall(2.5, 5)), nil},
		"refused late by more than the stall":   {combine(slowRefusal, addStall(2.5, 3)), []string{"refused"}},
		"host ends late because the soak stalled": {
			combine(func(h *History) { h.Exits[2].Took = 7 * time.Second }, addStall(40, 42)), nil,
		},
		"job of unknown queue is refused late":         {slowUnknownQueue, []string{"hopeless"}},
		"job of unknown queue is refused behind a cut": {disturbed(slowUnknownQueue, drafter.LinksBroken{Links: []drafter.LinkID{drafter.CallersLink(0)}}), nil},
		"job of unknown queue is accepted":             {add(call(CallSubmit, unknownQueueJob, 2, 2.1, ""), call(CallStatus, unknownQueueJob, 5, 5.1, "cancelled"), call(CallCancel, unknownQueueJob, 3, 3.1, "")), []string{"hopeless"}},
		"start after an evacuation":                    {events(event(plainJob, 1, 3, 9.2, ""), event(plainJob, 1, 3, 9.3, connector.EndStopped)), []string{"evacuated"}},
		"start soon after an evacuation":               {events(event(plainJob, 1, 3, 8.9, ""), event(plainJob, 1, 3, 9.3, connector.EndStopped)), nil},
		"start once it was taken back":                 {events(event(plainJob, 1, 3, 20.2, ""), event(plainJob, 1, 3, 20.3, connector.EndStopped)), nil},
		"late start beside a fault":                    {disturbed(events(event(plainJob, 1, 3, 9.2, ""), event(plainJob, 1, 3, 9.3, connector.EndStopped)), drafter.HostsPaused{Hosts: []int{0}}), nil},
		"late start beside a fault, beyond a lease":    {disturbed(events(event(plainJob, 1, 3, 10.1, ""), event(plainJob, 1, 3, 10.3, connector.EndStopped)), drafter.HostsPaused{Hosts: []int{0}}), []string{"evacuated"}},
		"start after a cancellation":                   {events(event(cancelledJob, 0, 1, 4.4, "")), []string{"cancelled"}},
		"start soon after a cancellation":              {events(event(cancelledJob, 0, 1, 4.2, "")), nil},
		"host ends by itself":                          {func(h *History) { h.Exits = append(h.Exits, Exit{Process: "h0", At: sec(20), Status: "exit status 2"}) }, []string{"processes"}},
		"host fails when it is asked to end":           {func(h *History) { h.Exits[2].OK = false }, []string{"processes"}},
		"host takes too long to end":                   {func(h *History) { h.Exits[2].Took = 7 * time.Second }, []string{"processes"}},
		"job never ends":                               {func(h *History) { h.Calls[13].State = "running" }, []string{"settled"}},
		"job ends too late":                            {func(h *History) { h.Calls[13].Sent, h.Calls[13].Answered = sec(47), sec(47.1) }, []string{"settled"}},
		"job waits for room":                           {combine(fillWorkers, func(h *History) { h.Calls[13].Sent, h.Calls[13].Answered = sec(60), sec(60.1) }), nil},
		"job waits for room for too long":              {combine(fillWorkers, func(h *History) { h.Calls[13].Sent, h.Calls[13].Answered = sec(91), sec(91.1) }), []string{"settled"}},
		"no status of a job is known":                  {without(CallStatus, plainJob), []string{"settled"}},
		"long-running task does not run":               {events(event(longRunningJob, secondTask, 1, 20, connector.EndLeaseExpired)), []string{"lastingRun"}},
		"long-running task runs again":                 {events(event(longRunningJob, secondTask, 1, 20, connector.EndLeaseExpired), event(longRunningJob, secondTask, 2, 28, "")), nil},
		"long-running job does not end":                {without(CallStatus, longRunningJob), []string{"settled"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			tt.change(&h)
			var got []string
			for _, b := range Check(h) {
				got = append(got, b.Check)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("failed checks %v, want %v: %v", got, tt.want, Check(h))
			}
		})
	}
}

// fillWorkers occupies all workers with the tasks of a long-running job.
func fillWorkers(h *History) {
	for i := range 3 * drafter.TasksPerWorker {
		h.Events = append(h.Events, event(longRunningJob, 10+i, 1, 30, ""))
	}
}

// addStall records a stall of the soak, with times in seconds.
func addStall(from, to float64) func(*History) {
	return func(h *History) { h.Stalls = append(h.Stalls, Stall{sec(from), sec(to)}) }
}

func combine(a, b func(*History)) func(*History) {
	return func(h *History) {
		a(h)
		b(h)
	}
}
