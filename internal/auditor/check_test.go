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

// began is when the histories of these tests begin.
var began = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func sec(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }

const (
	plain    identifier.Job = "job-1"
	lasting  identifier.Job = "lasting-job-2"
	hopeful  identifier.Job = "job-3" // Its queue does not exist.
	dropped  identifier.Job = "job-4" // Refused as not run.
	cancels  identifier.Job = "job-5"
	lastTask                = 1
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

func jobOf(id identifier.Job, q identifier.Queue) drafter.JobEvent {
	return drafter.JobEvent{Job: submitter.Job{ID: id, Queue: q, Steps: []submitter.Step{{Count: 2}}}}
}

// kept returns a history in which all promises were kept; the last fault is over at 30 s.
func kept() History {
	return History{
		Plan: drafter.Plan{
			Options: drafter.Options{Hosts: 2, Workers: 3, Span: 30 * time.Second},
			Jobs:    []drafter.JobEvent{jobOf(plain, drafter.Queue), jobOf(lasting, drafter.Queue), jobOf(hopeful, drafter.UnknownQueue), jobOf(dropped, drafter.Queue), jobOf(cancels, drafter.Queue)},
		},
		Began: began, FaultsEnded: sec(30),
		Calls: []Call{
			call(CallSubmit, plain, 1, 1.1, ""), call(CallStatus, plain, 2, 2.1, "queued"), call(CallStatus, plain, 3, 3.1, "running"),
			call(CallStatus, plain, 5, 5.1, "completed"), call(CallStatus, plain, 7, 7.1, "completed"),
			call(CallSubmit, lasting, 1, 1.1, ""), call(CallStatus, lasting, 5, 5.1, "running"),
			call(CallCancel, lasting, 40, 40.1, ""), call(CallStatus, lasting, 42, 42.1, "cancelled"),
			refusal(CallSubmit, hopeful, 1, 1.1, refuser.CodeNotFound, refuser.NotRun),
			refusal(CallSubmit, dropped, 1, 1.5, refuser.CodeUnavailable, refuser.NotRun),
			call(CallSubmit, cancels, 1, 1.1, ""), call(CallCancel, cancels, 1.2, 1.3, ""), call(CallStatus, cancels, 5, 5.1, "cancelled"),
		},
		Events: []simulator.RunEvent{
			event(plain, 0, 1, 2.5, ""), event(plain, 1, 1, 2.6, ""),
			event(plain, 0, 1, 3, connector.EndDone), event(plain, 1, 1, 3, connector.EndFailed),
			event(plain, 1, 2, 3.5, ""), event(plain, 1, 2, 4, connector.EndDone),
			event(lasting, 0, 1, 2, ""), event(lasting, 1, 1, 2, ""),
			event(lasting, 0, 1, 40.5, connector.EndStopped), event(lasting, 1, 1, 40.5, connector.EndStopped),
		},
		Exits: []Exit{
			{Process: "h0", At: sec(10), Killed: true},
			{Process: "h1", At: sec(11), Killed: true, StopRequested: true, Took: time.Minute},
			{Process: "h1", At: sec(45), StopRequested: true, OK: true, Took: time.Second},
		},
		Evacuations: []Evacuation{{DataCentre: "a", Acked: sec(4), Ended: sec(20)}},
	}
}

// TestHistoryWithoutBreaches checks that no check complains about a sound history.
func TestHistoryWithoutBreaches(t *testing.T) {
	if got := Check(kept()); len(got) > 0 {
		t.Errorf("breaches %v, want none", got)
	}
}

// TestBreachesAreFound breaks one promise of a sound history after the other: what the run
// of a scheduler without the guard in question would show.
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
	slowRefusal := add(refusal(CallSubmit, dropped, 2, 6, refuser.CodeUnavailable, refuser.NotRun))
	slowHopeless := add(refusal(CallSubmit, hopeful, 2, 4, refuser.CodeNotFound, refuser.NotRun))
	tests := map[string]struct {
		change func(*History)
		want   []string
	}{
		"workers saw a task twice":                 {func(h *History) { h.Breaches = []string{"runs twice"} }, []string{"workers"}},
		"job that nobody handed in":                {events(event("other", 0, 1, 5, "")), []string{"workers"}},
		"accepted job is not known":                {add(refusal(CallStatus, plain, 6, 6.1, refuser.CodeNotFound, refuser.NotRun)), []string{"lost"}},
		"accepted job is not known yet":            {add(refusal(CallStatus, plain, 3, 3.1, refuser.CodeNotFound, refuser.NotRun)), nil},
		"completed job runs again":                 {add(call(CallStatus, plain, 8, 8.1, "running")), []string{"states"}},
		"running job is queued again":              {add(call(CallStatus, plain, 3.2, 3.3, "queued")), []string{"states"}},
		"older answer comes late":                  {add(call(CallStatus, plain, 2.9, 4, "queued")), nil},
		"completed job is cancelled":               {add(call(CallCancel, plain, 7, 7.1, ""), call(CallStatus, plain, 8, 8.1, "cancelled")), []string{"states"}},
		"completed before its tasks are done":      {add(call(CallStatus, plain, 3.5, 3.6, "completed")), []string{"completed"}},
		"failed without failed runs":               {func(h *History) { h.Calls[13].State = "failed" }, []string{"failed"}},
		"cancelled by nobody":                      {without(CallCancel, cancels), []string{"failed"}},
		"refused as not run, and run":              {events(event(dropped, 0, 1, 5, "")), []string{"notRun"}},
		"refused as unknown, and run":              {both(add(refusal(CallSubmit, dropped, 2, 2.5, refuser.CodeUnavailable, refuser.Unknown)), events(event(dropped, 0, 1, 5, ""))), nil},
		"refused as if its queue were none":        {add(refusal(CallSubmit, plain, 0.5, 0.6, refuser.CodeNotFound, refuser.NotRun)), []string{"refused"}},
		"refused late":                             {slowRefusal, []string{"refused"}},
		"refused late by a host that is slow":      {disturbed(slowRefusal, drafter.HostsPaused{Hosts: []int{0}}), nil},
		"refused late beside another's pause":      {disturbed(slowRefusal, drafter.HostsPaused{Hosts: []int{1}}), []string{"refused"}},
		"refused late by a soak that stands still": {both(slowRefusal, stall(2.5, 5)), nil},
		"refused late by more than that":           {both(slowRefusal, stall(2.5, 3)), []string{"refused"}},
		"host ends late in a soak that stands still": {
			both(func(h *History) { h.Exits[2].Took = 7 * time.Second }, stall(40, 42)), nil,
		},
		"hopeless job is refused late":         {slowHopeless, []string{"hopeless"}},
		"hopeless job is refused behind a cut": {disturbed(slowHopeless, drafter.LinksBroken{Links: []drafter.LinkID{drafter.CallersLink(0)}}), nil},
		"hopeless job is accepted":             {add(call(CallSubmit, hopeful, 2, 2.1, ""), call(CallStatus, hopeful, 5, 5.1, "cancelled"), call(CallCancel, hopeful, 3, 3.1, "")), []string{"hopeless"}},
		"start after an evacuation":            {events(event(plain, 1, 3, 9.2, ""), event(plain, 1, 3, 9.3, connector.EndStopped)), []string{"evacuated"}},
		"start soon after an evacuation":       {events(event(plain, 1, 3, 8.9, ""), event(plain, 1, 3, 9.3, connector.EndStopped)), nil},
		"start once it was taken back":         {events(event(plain, 1, 3, 20.2, ""), event(plain, 1, 3, 20.3, connector.EndStopped)), nil},
		"start beside trouble":                 {disturbed(events(event(plain, 1, 3, 9.2, ""), event(plain, 1, 3, 9.3, connector.EndStopped)), drafter.HostsPaused{Hosts: []int{0}}), nil},
		"start beside trouble, beyond a lease": {disturbed(events(event(plain, 1, 3, 10.1, ""), event(plain, 1, 3, 10.3, connector.EndStopped)), drafter.HostsPaused{Hosts: []int{0}}), []string{"evacuated"}},
		"start after a cancellation":           {events(event(cancels, 0, 1, 4.4, "")), []string{"cancelled"}},
		"start soon after a cancellation":      {events(event(cancels, 0, 1, 4.2, "")), nil},
		"host ends by itself":                  {func(h *History) { h.Exits = append(h.Exits, Exit{Process: "h0", At: sec(20), Status: "exit status 2"}) }, []string{"processes"}},
		"host fails when it is asked to end":   {func(h *History) { h.Exits[2].OK = false }, []string{"processes"}},
		"host takes too long to end":           {func(h *History) { h.Exits[2].Took = 7 * time.Second }, []string{"processes"}},
		"job never ends":                       {func(h *History) { h.Calls[13].State = "running" }, []string{"settled"}},
		"job ends too late":                    {func(h *History) { h.Calls[13].Sent, h.Calls[13].Answered = sec(47), sec(47.1) }, []string{"settled"}},
		"job waits for room":                   {both(busy, func(h *History) { h.Calls[13].Sent, h.Calls[13].Answered = sec(60), sec(60.1) }), nil},
		"job waits for room for too long":      {both(busy, func(h *History) { h.Calls[13].Sent, h.Calls[13].Answered = sec(91), sec(91.1) }), []string{"settled"}},
		"nobody answers for a job":             {without(CallStatus, plain), []string{"settled"}},
		"lasting task does not run":            {events(event(lasting, lastTask, 1, 20, connector.EndLeaseExpired)), []string{"lastingRun"}},
		"lasting task runs again":              {events(event(lasting, lastTask, 1, 20, connector.EndLeaseExpired), event(lasting, lastTask, 2, 28, "")), nil},
		"lasting job does not end":             {without(CallStatus, lasting), []string{"settled"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := kept()
			tt.change(&h)
			var got []string
			for _, b := range Check(h) {
				got = append(got, b.Check)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("checks that complain %v, want %v: %v", got, tt.want, Check(h))
			}
		})
	}
}

// busy keeps all workers in use by a job that lasts.
func busy(h *History) {
	for i := range 3 * drafter.TasksPerWorker {
		h.Events = append(h.Events, event(lasting, 10+i, 1, 30, ""))
	}
}

// stall lets the soak stand still for some seconds.
func stall(from, to float64) func(*History) {
	return func(h *History) { h.Stalls = append(h.Stalls, Stall{sec(from), sec(to)}) }
}

func both(a, b func(*History)) func(*History) {
	return func(h *History) {
		a(h)
		b(h)
	}
}
