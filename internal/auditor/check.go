// Package auditor checks the promises of docs/GUARANTEES.md on what was seen of a soak.
package auditor

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"

	"github.com/balsamcove/balsamcove/internal/drafter"
)

// The bounds of the checks. Those with a name in brackets are from SYSTEM.md.
const (
	// visibleWithin is how soon after its acceptance a job is known (visible_ms).
	visibleWithin = 3 * time.Second
	// evacuatedWithin is from when on nothing starts in an evacuated data centre (evacMs).
	evacuatedWithin = 5 * time.Second
	// cancelledWithin is from when on nothing of a cancelled job starts (cancel_ms).
	cancelledWithin = 3 * time.Second
	// inTouchAfter is for how long trouble counts after its end (contactMs).
	inTouchAfter = 3 * time.Second
	// startLagMost is how long after it was allowed an order may still begin a run, whatever
	// happens to links and processes: the age of the directory and the lease of a worker
	// (examples/schedule.yaml), which every order carries on the worker's clock.
	startLagMost = time.Second + 5*time.Second
	// hopelessWithin is how soon what can never be served is refused: what a host knows
	// without asking, and a second for a busy machine.
	hopelessWithin = time.Second
	// refusedWithin is how soon other refusals that say not run come: one append
	// (intake.appendTimeout), and a second for a busy machine.
	refusedWithin = 2500 * time.Millisecond
	// StopGracePeriod is how long a host may take to end after SIGTERM (graceS).
	StopGracePeriod = 6 * time.Second
	// settledWithin is how soon after the last fault and submission everything has run that
	// can (finish_s), and a chain of three steps of 0.7 s. As with LOST in RULES.md, time in
	// which half of the service is in use or more does not count, up to SettledAtMost.
	settledWithin = 14*time.Second + 3*700*time.Millisecond
	MaxSettleTime = time.Minute
)

// The states that a job keeps.
const (
	stateCompleted = string(planner.StateCompleted)
	stateFailed    = string(planner.StateFailed)
	stateCancelled = string(planner.StateCancelled)
)

// Breach is a promise that was not kept.
type Breach struct {
	Check string `json:"check"`
	What  string `json:"what"`
}

// checks are all checks by their names.
var checks = map[string]func(r *record) []string{
	"workers":    func(r *record) []string { return r.Breaches },
	"lost":       lost,
	"states":     states,
	"completed":  completed,
	"failed":     failed,
	"notRun":     notRun,
	"refused":    refused,
	"hopeless":   hopeless,
	"evacuated":  evacuated,
	"cancelled":  cancelled,
	"processes":  processes,
	"settled":    settled,
	"lastingRun": lastingRun,
}

// Check returns every promise that a history shows as broken.
func Check(h History) []Breach {
	r := index(h)
	var out []Breach
	for _, name := range slices.Sorted(maps.Keys(checks)) {
		for _, what := range checks[name](r) {
			out = append(out, Breach{name, what})
		}
	}
	return out
}

// lost finds jobs that were accepted and are not known later.
func lost(r *record) (out []string) {
	for _, j := range r.order {
		for _, c := range j.asks {
			if j.accepted.IsZero() || c.Refusal == nil || c.Refusal.Code != refuser.CodeNotFound || c.Sent.Before(j.accepted.Add(visibleWithin)) {
				continue
			}
			out = append(out, fmt.Sprintf("%s was accepted at %v, host %d does not know it at %v", j.Job.ID, r.at(j.accepted), c.Host, r.at(c.Answered)))
		}
	}
	return out
}

// states finds jobs whose state went back: of two questions, the second was sent once the
// first was answered.
func states(r *record) (out []string) {
	rank := map[string]int{string(planner.StateQueued): 0, string(planner.StateRunning): 1, stateCompleted: 2, stateFailed: 2, stateCancelled: 2}
	for _, j := range r.order {
		var last Call // The highest state, and of these the one that was told first.
		for _, c := range j.asks {
			if c.Refusal != nil {
				continue
			}
			before := last.State != "" && !c.Sent.Before(last.Answered)
			if before && (rank[c.State] < rank[last.State] || ended(last.State) && c.State != last.State) {
				out = append(out, fmt.Sprintf("%s was %s at %v and %s at %v", j.Job.ID, last.State, r.at(last.Answered), c.State, r.at(c.Answered)))
			}
			if last.State == "" || rank[c.State] > rank[last.State] {
				last = c
			}
		}
	}
	return out
}

// shown returns the first answer that told a state of a job.
func (j *jobRecord) shown(state string) (Call, bool) {
	i := slices.IndexFunc(j.asks, func(c Call) bool { return c.Refusal == nil && c.State == state })
	if i < 0 {
		return Call{}, false
	}
	return j.asks[i], true
}

// completed finds jobs that are shown as completed while a task has not ended as done.
func completed(r *record) (out []string) {
	for _, j := range r.order {
		c, ok := j.shown(stateCompleted)
		if !ok {
			continue
		}
		done := map[identifier.JobTask]bool{}
		for _, e := range j.ends {
			if e.How == connector.EndDone && !e.At.After(c.Answered) {
				done[e.Run.Task] = true
			}
		}
		if len(done) < j.Job.Tasks() {
			out = append(out, fmt.Sprintf("%s is completed at %v, %d of %d tasks are done", j.Job.ID, r.at(c.Answered), len(done), j.Job.Tasks()))
		}
	}
	return out
}

// failed finds jobs that are shown as failed or cancelled without a cause.
func failed(r *record) (out []string) {
	for _, j := range r.order {
		if c, ok := j.shown(stateCancelled); ok && len(j.cancels) == 0 {
			out = append(out, fmt.Sprintf("%s is cancelled at %v, nobody asked for that", j.Job.ID, r.at(c.Answered)))
		}
		c, ok := j.shown(stateFailed)
		if !ok {
			continue
		}
		failures, most := map[identifier.JobTask]int{}, 0
		for _, e := range j.ends {
			if e.How == connector.EndFailed {
				failures[e.Run.Task]++
				most = max(most, failures[e.Run.Task])
			}
		}
		if most < drafter.MaxAttempts {
			out = append(out, fmt.Sprintf("%s is failed at %v, no task failed more than %d times", j.Job.ID, r.at(c.Answered), most))
		}
	}
	return out
}

// notRun finds tasks of jobs whose callers were always told that nothing was done.
func notRun(r *record) (out []string) {
	for _, j := range r.order {
		told := len(j.submits) > 0
		for _, c := range j.submits {
			told = told && c.Refusal != nil && c.Refusal.Effect == refuser.NotRun
		}
		if told && len(j.starts) > 0 {
			out = append(out, fmt.Sprintf("%s was refused as not run, and started at %v", j.Job.ID, r.at(j.starts[0].At)))
		}
	}
	return out
}

// refused finds refusals of jobs that could be served as if they never could, and those that
// say not run and come late, from hosts in touch.
func refused(r *record) (out []string) {
	for _, j := range r.order {
		if j.Job.Queue == drafter.UnknownQueue {
			continue
		}
		for _, c := range j.submits {
			if c.Refusal == nil {
				continue
			}
			switch c.Refusal.Code {
			case refuser.CodeNotFound, refuser.CodeInvalid, refuser.CodeTooLarge, refuser.CodeNeverFits, refuser.CodeUnsupported, refuser.CodeConflict:
				out = append(out, fmt.Sprintf("%s was refused by host %d at %v as if it could never run: %v", j.Job.ID, c.Host, r.at(c.Answered), c.Refusal))
			}
			took := r.took(c)
			if c.Refusal.Effect == refuser.NotRun && took > refusedWithin && !r.troubled(c.Host, c.Sent, c.Answered) {
				out = append(out, fmt.Sprintf("%s was refused by host %d at %v after %v: %v", j.Job.ID, c.Host, r.at(c.Answered), took, c.Refusal))
			}
		}
	}
	return out
}

// hopeless finds jobs of a queue that does not exist which are accepted, or refused late by
// hosts in touch.
func hopeless(r *record) (out []string) {
	for _, j := range r.order {
		if j.Job.Queue != drafter.UnknownQueue {
			continue
		}
		if !j.accepted.IsZero() {
			out = append(out, fmt.Sprintf("%s was accepted at %v, its queue does not exist", j.Job.ID, r.at(j.accepted)))
		}
		for _, c := range j.submits {
			if took := r.took(c); took > hopelessWithin && !r.troubled(c.Host, c.Sent, c.Answered) {
				out = append(out, fmt.Sprintf("%s was refused by host %d at %v after %v", j.Job.ID, c.Host, r.at(c.Answered), took))
			}
		}
	}
	return out
}

// troubled reports whether a host or its callers' link was in trouble from inTouchAfter
// before a time until another.
func (r *record) troubled(host int, from, to time.Time) bool {
	return slices.ContainsFunc(r.Plan.Faults, func(e drafter.FaultEvent) bool {
		switch f := e.Fault.(type) {
		case drafter.HostsKilled:
			return slices.Contains(f.Hosts, host) && r.near(e, from, to)
		case drafter.HostsStopped:
			// A host that stops may take its whole grace.
			e.For = max(e.For, StopGracePeriod)
			return slices.Contains(f.Hosts, host) && r.near(e, from, to)
		case drafter.HostsPaused:
			return slices.Contains(f.Hosts, host) && r.near(e, from, to)
		case drafter.LinksBroken:
			return slices.Contains(f.Links, drafter.CallersLink(host)) && r.near(e, from, to)
		case drafter.LinksReset:
			return slices.Contains(f.Links, drafter.CallersLink(host)) && r.near(e, from, to)
		}
		return false
	})
}

// near reports whether a fault was active from inTouchAfter before a time until another.
func (r *record) near(e drafter.FaultEvent, from, to time.Time) bool {
	return r.Began.Add(e.At).Before(to) && r.Began.Add(e.At+e.For).After(from.Add(-inTouchAfter))
}

// stalled returns for how long the soak stood still from one time until another. As with
// requests that are held up in RULES.md, that is no time of the hosts.
func (r *record) stalled(from, to time.Time) (sum time.Duration) {
	for _, s := range r.Stalls {
		begin, end := s.From, s.To
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(end.Sub(begin), 0)
	}
	return sum
}

// took returns how long a caller waited for an answer while the soak ran.
func (r *record) took(c Call) time.Duration {
	return c.Answered.Sub(c.Sent) - r.stalled(c.Sent, c.Answered)
}

// calm reports whether nothing but evacuations was active or had just been.
func (r *record) calm(from, to time.Time) bool {
	return r.stalled(from.Add(-inTouchAfter), to) == 0 && !slices.ContainsFunc(r.Plan.Faults, func(e drafter.FaultEvent) bool {
		_, evacuation := e.Fault.(drafter.Evacuated)
		return !evacuation && r.near(e, from, to)
	})
}

// tooLate reports whether a start came too long after it was forbidden.
func (r *record) tooLate(forbidden time.Time, start simulator.RunEvent, calmBound time.Duration) bool {
	late := start.At.Sub(forbidden)
	return late > max(startLagMost, calmBound) || late > calmBound && !start.Late && r.calm(forbidden, start.At)
}

// evacuated finds starts in data centres that were evacuated.
func evacuated(r *record) (out []string) {
	for _, e := range r.Evacuations {
		for _, s := range r.Events {
			if s.How == "" && s.DataCentre == e.DataCentre && s.At.Before(e.Ended) && r.tooLate(e.Acked, s, evacuatedWithin) {
				out = append(out, fmt.Sprintf("%s started on %s at %v, %v after the evacuation", s.Run.Task, s.Worker, r.at(s.At), s.At.Sub(e.Acked)))
			}
		}
	}
	return out
}

// cancelled finds starts of jobs that were cancelled.
func cancelled(r *record) (out []string) {
	for _, j := range r.order {
		for _, s := range j.starts {
			if !j.cancelAcked.IsZero() && r.tooLate(j.cancelAcked, s, cancelledWithin) {
				out = append(out, fmt.Sprintf("%s started at %v, %v after its job was cancelled", s.Run.Task, r.at(s.At), s.At.Sub(j.cancelAcked)))
			}
		}
	}
	return out
}

// processes finds processes that ended by themselves or too long after they were asked to.
func processes(r *record) (out []string) {
	for _, e := range r.Exits {
		switch {
		case e.Killed:
		case !e.StopRequested:
			out = append(out, fmt.Sprintf("%s ended by itself at %v: %s", e.Process, r.at(e.At), e.Status))
		case !e.OK || e.Took-r.stalled(e.At.Add(-e.Took), e.At) > StopGracePeriod:
			out = append(out, fmt.Sprintf("%s ended at %v, %v after SIGTERM: %s", e.Process, r.at(e.At), e.Took, e.Status))
		}
	}
	return out
}

// settled finds jobs that were accepted and have not ended in time after the last fault;
// those that last have that time from when they were cancelled.
func settled(r *record) (out []string) {
	for _, j := range r.order {
		if j.accepted.IsZero() || drafter.IsLongRunning(j.Job.ID) && len(j.cancels) == 0 {
			continue
		}
		from := r.FaultsEnded
		if drafter.IsLongRunning(j.Job.ID) {
			from = j.cancels[0].Sent
		}
		i := slices.IndexFunc(j.asks, func(c Call) bool { return c.Refusal == nil && ended(c.State) })
		switch {
		case i < 0:
			out = append(out, fmt.Sprintf("%s has not ended: %s", j.Job.ID, lastAnswer(j)))
		case j.asks[i].Sent.Sub(from) > MaxSettleTime || r.roomFor(from, j.asks[i].Sent) > settledWithin:
			out = append(out, fmt.Sprintf("%s ended only at %v, the last fault was over at %v", j.Job.ID, r.at(j.asks[i].Answered), r.at(r.FaultsEnded)))
		}
	}
	return out
}

// roomFor returns for how long, from one time until another, under half of the service was
// in use.
func (r *record) roomFor(from, until time.Time) (roomy time.Duration) {
	running, last := 0, from
	half := drafter.WorkersPerDataCentre(r.Plan.Options) * len(drafter.DataCentres) * drafter.TasksPerWorker / 2
	for _, e := range r.Events {
		if e.At.After(until) {
			break
		}
		if e.At.After(last) {
			if running < half {
				roomy += e.At.Sub(last)
			}
			last = e.At
		}
		if e.How == "" {
			running++
		} else {
			running--
		}
	}
	if running < half && until.After(last) {
		roomy += until.Sub(last)
	}
	return roomy - r.stalled(from, until)
}

// IsSettled reports whether a run has nothing left to wait for; over is set once jobs that last
// are being cancelled.
func IsSettled(h History, over bool) bool {
	r := index(h)
	uncancelled := func(j *jobRecord) bool {
		return !j.accepted.IsZero() && drafter.IsLongRunning(j.Job.ID) && len(j.cancels) == 0
	}
	return len(settled(r))+len(lastingRun(r)) == 0 && (!over || !slices.ContainsFunc(r.order, uncancelled))
}

func lastAnswer(j *jobRecord) string {
	switch n := len(j.asks); {
	case n == 0:
		return "nobody asked"
	case j.asks[n-1].Refusal != nil:
		return j.asks[n-1].Refusal.Error()
	default:
		return j.asks[n-1].State
	}
}

// lastingRun finds tasks that last and did not run when they were cancelled, which is done
// once everything has settled.
func lastingRun(r *record) (out []string) {
	for _, j := range r.order {
		if j.accepted.IsZero() || !drafter.IsLongRunning(j.Job.ID) {
			continue
		}
		running := 0
		for _, e := range j.starts {
			running += counts(j, e)
		}
		for _, e := range j.ends {
			running -= counts(j, e)
		}
		if running < j.Job.Tasks() {
			out = append(out, fmt.Sprintf("%s has %d of %d tasks running after the last fault", j.Job.ID, running, j.Job.Tasks()))
		}
	}
	return out
}

// counts returns 1 for an event of a job before it was cancelled, and 0 for a later one.
func counts(j *jobRecord, e simulator.RunEvent) int {
	if len(j.cancels) > 0 && e.At.After(j.cancels[0].Sent) {
		return 0
	}
	return 1
}
