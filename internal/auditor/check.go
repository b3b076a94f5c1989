// Package auditor checks the recorded history of a soak run against docs/GUARANTEES.md.
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

// The time limits of the checks. Names in brackets are those of SYSTEM.md, unless a file is given.
const (
	// visibleWithin is the time after its acceptance within which every host must know a job
	// (visible_ms).
	visibleWithin = 3 * time.Second
	// evacuatedWithin is the time after the acknowledgement of an evacuation from which on no
	// task may start in the data centre (evacMs).
	evacuatedWithin = 5 * time.Second
	// cancelledWithin is the time after the acknowledgement of a cancellation from which on no
	// task of the job may start (cancel_ms).
	cancelledWithin = 3 * time.Second
	// recoveryTime is the time after its end for which a fault still excuses delays
	// (contactMs).
	recoveryTime = 3 * time.Second
	// maxStartLag is the time after a prohibition in which an earlier order may still start a
	// run, whatever faults are active: the maximum age of the directory plus the worker lease
	// (examples/schedule.yaml). Every order carries the end of its lease on the worker's clock.
	maxStartLag = time.Second + 5*time.Second
	// maxUnknownQueueRefusal limits the time to refuse a job that can never run. The host can
	// tell without a call, so this is one second of allowance for a busy machine.
	maxUnknownQueueRefusal = time.Second
	// maxNotRunRefusal limits the time to other refusals with effect notRun: one append
	// (connector.SharedAppendTimeout), and a second for a busy machine.
	maxNotRunRefusal = 2500 * time.Millisecond
	// StopGracePeriod limits the time from SIGTERM to the exit of a host (graceS).
	StopGracePeriod = 6 * time.Second
	// settleTime is the time after the last fault and submission within which all jobs that
	// can run must have ended: finish_s, and a chain of three steps of 0.7 s. As with LOST in
	// RULES.md, time in which at least half of the capacity is in use does not count, up to
	// MaxSettleTime.
	settleTime    = 14*time.Second + 3*700*time.Millisecond
	MaxSettleTime = time.Minute
)

// The final states of a job.
const (
	stateCompleted = string(planner.StateCompleted)
	stateFailed    = string(planner.StateFailed)
	stateCancelled = string(planner.StateCancelled)
)

// Breach is a violated guarantee.
type Breach struct {
	Check string `json:"check"`
	What  string `json:"what"`
}

// checks maps the names of the checks, as they appear in results, to their functions. Each returns
// a description of every violation.
var checks = map[string]func(r *jobIndex) []string{
	"workers":    func(r *jobIndex) []string { return r.Breaches },
	"lost":       findLostJobs,
	"states":     findStateRegressions,
	"completed":  findFalseCompletions,
	"failed":     findFalseFailures,
	"notRun":     findRunsOfRefusedJobs,
	"refused":    findWrongRefusals,
	"hopeless":   findUnknownQueueBreaches,
	"evacuated":  findStartsAfterEvacuation,
	"cancelled":  findStartsAfterCancel,
	"processes":  findWrongExits,
	"settled":    findUnsettledJobs,
	"lastingRun": findStoppedLongRunning,
	"config":     findConfigRegressions,
	"inForce":    findLateConfigs,
}

// Check runs all checks and returns the violations, ordered by check.
func Check(h History) []Breach {
	r := indexHistory(h)
	var out []Breach
	for _, name := range slices.Sorted(maps.Keys(checks)) {
		for _, what := range checks[name](r) {
			out = append(out, Breach{name, what})
		}
	}
	return out
}

// findLostJobs finds accepted jobs that a host did not know after visibleWithin.
func findLostJobs(r *jobIndex) (out []string) {
	for _, j := range r.jobsInOrder {
		for _, c := range j.statusCalls {
			if j.accepted.IsZero() || c.Refusal == nil || c.Refusal.Code != refuser.CodeNotFound || c.Sent.Before(j.accepted.Add(visibleWithin)) {
				continue
			}
			out = append(out, fmt.Sprintf("%s was accepted at %v, host %d does not know it at %v", j.Job.ID, r.elapsed(j.accepted), c.Host, r.elapsed(c.Answered)))
		}
	}
	return out
}

// findStateRegressions finds jobs whose state went back. Two status calls are compared only if the
// second was sent after the first was answered.
func findStateRegressions(r *jobIndex) (out []string) {
	rank := map[string]int{string(planner.StateQueued): 0, string(planner.StateRunning): 1, stateCompleted: 2, stateFailed: 2, stateCancelled: 2}
	for _, j := range r.jobsInOrder {
		var last Call // The first answer with the highest state so far.
		for _, c := range j.statusCalls {
			if c.Refusal != nil {
				continue
			}
			before := last.State != "" && !c.Sent.Before(last.Answered)
			if before && (rank[c.State] < rank[last.State] || isFinal(last.State) && c.State != last.State) {
				out = append(out, fmt.Sprintf("%s was %s at %v and %s at %v", j.Job.ID, last.State, r.elapsed(last.Answered), c.State, r.elapsed(c.Answered)))
			}
			if last.State == "" || rank[c.State] > rank[last.State] {
				last = c
			}
		}
	}
	return out
}

// firstStatus returns the first status call that was answered with the given state.
func (j *jobRecord) firstStatus(state string) (Call, bool) {
	i := slices.IndexFunc(j.statusCalls, func(c Call) bool { return c.Refusal == nil && c.State == state })
	if i < 0 {
		return Call{}, false
	}
	return j.statusCalls[i], true
}

// findFalseCompletions finds jobs that were reported as completed before all tasks were done.
func findFalseCompletions(r *jobIndex) (out []string) {
	for _, j := range r.jobsInOrder {
		c, ok := j.firstStatus(stateCompleted)
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
			out = append(out, fmt.Sprintf("%s is completed at %v, %d of %d tasks are done", j.Job.ID, r.elapsed(c.Answered), len(done), j.Job.Tasks()))
		}
	}
	return out
}

// findFalseFailures finds jobs that were reported as failed although no task failed MaxAttempts
// times, or as cancelled although no caller cancelled them.
func findFalseFailures(r *jobIndex) (out []string) {
	for _, j := range r.jobsInOrder {
		if c, ok := j.firstStatus(stateCancelled); ok && len(j.cancels) == 0 {
			out = append(out, fmt.Sprintf("%s is cancelled at %v, nobody asked for that", j.Job.ID, r.elapsed(c.Answered)))
		}
		c, ok := j.firstStatus(stateFailed)
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
			out = append(out, fmt.Sprintf("%s is failed at %v, no task failed more than %d times", j.Job.ID, r.elapsed(c.Answered), most))
		}
	}
	return out
}

// findRunsOfRefusedJobs finds jobs that ran although every submission was refused as not run.
func findRunsOfRefusedJobs(r *jobIndex) (out []string) {
	for _, j := range r.jobsInOrder {
		told := len(j.submits) > 0
		for _, c := range j.submits {
			told = told && c.Refusal != nil && c.Refusal.Effect == refuser.NotRun
		}
		if told && len(j.starts) > 0 {
			out = append(out, fmt.Sprintf("%s was refused as not run, and started at %v", j.Job.ID, r.elapsed(j.starts[0].At)))
		}
	}
	return out
}

// findWrongRefusals finds valid jobs that were refused with a permanent error, and refusals as not
// run that came too late from hosts without faults.
func findWrongRefusals(r *jobIndex) (out []string) {
	for _, j := range r.jobsInOrder {
		if j.Job.Queue == drafter.UnknownQueue {
			continue
		}
		for _, c := range j.submits {
			if c.Refusal == nil {
				continue
			}
			switch c.Refusal.Code {
			case refuser.CodeNotFound, refuser.CodeInvalid, refuser.CodeTooLarge, refuser.CodeNeverFits, refuser.CodeUnsupported, refuser.CodeConflict:
				out = append(out, fmt.Sprintf("%s was refused by host %d at %v as if it could never run: %v", j.Job.ID, c.Host, r.elapsed(c.Answered), c.Refusal))
			}
			took := r.responseTime(c)
			if c.Refusal.Effect == refuser.NotRun && took > maxNotRunRefusal && !r.hostDisturbed(c.Host, c.Sent, c.Answered) {
				out = append(out, fmt.Sprintf("%s was refused by host %d at %v after %v: %v", j.Job.ID, c.Host, r.elapsed(c.Answered), took, c.Refusal))
			}
		}
	}
	return out
}

// findUnknownQueueBreaches finds jobs with an unknown queue that were accepted, or refused too late
// by hosts without faults.
func findUnknownQueueBreaches(r *jobIndex) (out []string) {
	for _, j := range r.jobsInOrder {
		if j.Job.Queue != drafter.UnknownQueue {
			continue
		}
		if !j.accepted.IsZero() {
			out = append(out, fmt.Sprintf("%s was accepted at %v, its queue does not exist", j.Job.ID, r.elapsed(j.accepted)))
		}
		for _, c := range j.submits {
			if took := r.responseTime(c); took > maxUnknownQueueRefusal && !r.hostDisturbed(c.Host, c.Sent, c.Answered) {
				out = append(out, fmt.Sprintf("%s was refused by host %d at %v after %v", j.Job.ID, c.Host, r.elapsed(c.Answered), took))
			}
		}
	}
	return out
}

// hostDisturbed reports whether a fault of a host or of its callers' link was active between from
// and to, or had ended within recoveryTime before from.
func (r *jobIndex) hostDisturbed(host int, from, to time.Time) bool {
	return slices.ContainsFunc(r.Plan.Faults, func(e drafter.FaultEvent) bool {
		switch f := e.Fault.(type) {
		case drafter.HostsKilled:
			return slices.Contains(f.Hosts, host) && r.activeNear(e, from, to)
		case drafter.HostsStopped:
			// A host may take the whole grace period to stop.
			e.For = max(e.For, StopGracePeriod)
			return slices.Contains(f.Hosts, host) && r.activeNear(e, from, to)
		case drafter.HostsPaused:
			return slices.Contains(f.Hosts, host) && r.activeNear(e, from, to)
		case drafter.LinksBroken:
			return slices.Contains(f.Links, drafter.CallersLink(host)) && r.activeNear(e, from, to)
		case drafter.LinksReset:
			return slices.Contains(f.Links, drafter.CallersLink(host)) && r.activeNear(e, from, to)
		}
		return false
	})
}

// activeNear reports whether a fault was active between from and to, or had ended within
// recoveryTime before from.
func (r *jobIndex) activeNear(e drafter.FaultEvent, from, to time.Time) bool {
	return r.Began.Add(e.At).Before(to) && r.Began.Add(e.At+e.For).After(from.Add(-recoveryTime))
}

// stallTime returns the time between from and to in which the machine did not run the soak. As
// with requests that are held up in RULES.md, it is not counted against the hosts.
func (r *jobIndex) stallTime(from, to time.Time) (sum time.Duration) {
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

// responseTime returns the time that a call took, less the time in which the soak stalled.
func (r *jobIndex) responseTime(c Call) time.Duration {
	return c.Answered.Sub(c.Sent) - r.stallTime(c.Sent, c.Answered)
}

// undisturbed reports whether between from and to, and recoveryTime before, the soak did not stall
// and no fault other than evacuations was active.
func (r *jobIndex) undisturbed(from, to time.Time) bool {
	return r.stallTime(from.Add(-recoveryTime), to) == 0 && !slices.ContainsFunc(r.Plan.Faults, func(e drafter.FaultEvent) bool {
		_, evacuation := e.Fault.(drafter.Evacuated)
		return !evacuation && r.activeNear(e, from, to)
	})
}

// tooLate reports whether a run started too long after it was forbidden. The limit is
// limitWithoutFaults if there were no faults and the order was not delayed, else the larger of it
// and maxStartLag.
func (r *jobIndex) tooLate(forbidden time.Time, start simulator.RunEvent, limitWithoutFaults time.Duration) bool {
	late := start.At.Sub(forbidden)
	return late > max(maxStartLag, limitWithoutFaults) || late > limitWithoutFaults && !start.Late && r.undisturbed(forbidden, start.At)
}

// findStartsAfterEvacuation finds runs that started in an evacuated data centre.
func findStartsAfterEvacuation(r *jobIndex) (out []string) {
	for _, e := range r.Evacuations {
		for _, s := range r.Events {
			if s.How == "" && s.DataCentre == e.DataCentre && s.At.Before(e.Ended) && r.tooLate(e.Acked, s, evacuatedWithin) {
				out = append(out, fmt.Sprintf("%s started on %s at %v, %v after the evacuation", s.Run.Task, s.Worker, r.elapsed(s.At), s.At.Sub(e.Acked)))
			}
		}
	}
	return out
}

// findStartsAfterCancel finds runs that started after their job was cancelled.
func findStartsAfterCancel(r *jobIndex) (out []string) {
	for _, j := range r.jobsInOrder {
		for _, s := range j.starts {
			if !j.cancelAcked.IsZero() && r.tooLate(j.cancelAcked, s, cancelledWithin) {
				out = append(out, fmt.Sprintf("%s started at %v, %v after its job was cancelled", s.Run.Task, r.elapsed(s.At), s.At.Sub(j.cancelAcked)))
			}
		}
	}
	return out
}

// findWrongExits finds processes that exited without a signal from the soak, failed after SIGTERM,
// or took longer than StopGracePeriod to exit.
func findWrongExits(r *jobIndex) (out []string) {
	for _, e := range r.Exits {
		switch {
		case e.Killed:
		case !e.StopRequested:
			out = append(out, fmt.Sprintf("%s ended by itself at %v: %s", e.Process, r.elapsed(e.At), e.Status))
		case !e.OK || e.Took-r.stallTime(e.At.Add(-e.Took), e.At) > StopGracePeriod:
			out = append(out, fmt.Sprintf("%s ended at %v, %v after SIGTERM: %s", e.Process, r.elapsed(e.At), e.Took, e.Status))
		}
	}
	return out
}

// findUnsettledJobs finds accepted jobs that did not end within settleTime of the last fault, or of
// their cancellation if they are long-running. Long-running jobs without one are left out.
func findUnsettledJobs(r *jobIndex) (out []string) {
	for _, j := range r.jobsInOrder {
		if j.accepted.IsZero() || drafter.IsLongRunning(j.Job.ID) && len(j.cancels) == 0 {
			continue
		}
		from := r.FaultsEnded
		if drafter.IsLongRunning(j.Job.ID) {
			from = j.cancels[0].Sent
		}
		i := slices.IndexFunc(j.statusCalls, func(c Call) bool { return c.Refusal == nil && isFinal(c.State) })
		switch {
		case i < 0:
			out = append(out, fmt.Sprintf("%s has not ended: %s", j.Job.ID, lastAnswer(j)))
		case j.statusCalls[i].Sent.Sub(from) > MaxSettleTime || r.timeWithRoom(from, j.statusCalls[i].Sent) > settleTime:
			out = append(out, fmt.Sprintf("%s ended only at %v, the last fault was over at %v", j.Job.ID, r.elapsed(j.statusCalls[i].Answered), r.elapsed(r.FaultsEnded)))
		}
	}
	return out
}

// timeWithRoom returns the time between from and until in which less than half of the capacity was
// in use, less the time in which the soak stalled.
func (r *jobIndex) timeWithRoom(from, until time.Time) (roomy time.Duration) {
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
	return roomy - r.stallTime(from, until)
}

// IsSettled reports whether all jobs have ended and all long-running tasks run. With over set, all
// long-running jobs must have been cancelled too.
func IsSettled(h History, over bool) bool {
	r := indexHistory(h)
	notCancelled := func(j *jobRecord) bool {
		return !j.accepted.IsZero() && drafter.IsLongRunning(j.Job.ID) && len(j.cancels) == 0
	}
	return len(findUnsettledJobs(r))+len(findStoppedLongRunning(r)) == 0 && (!over || !slices.ContainsFunc(r.jobsInOrder, notCancelled))
}

// lastAnswer describes the answer to the last status call for a job.
func lastAnswer(j *jobRecord) string {
	switch n := len(j.statusCalls); {
	case n == 0:
		return "nobody asked"
	case j.statusCalls[n-1].Refusal != nil:
		return j.statusCalls[n-1].Refusal.Error()
	default:
		return j.statusCalls[n-1].State
	}
}

// findStoppedLongRunning finds long-running jobs that did not have all tasks running when they were
// cancelled, which happens once everything else has settled.
func findStoppedLongRunning(r *jobIndex) (out []string) {
	for _, j := range r.jobsInOrder {
		if j.accepted.IsZero() || !drafter.IsLongRunning(j.Job.ID) {
			continue
		}
		running := 0
		for _, e := range j.starts {
			running += countBeforeCancel(j, e)
		}
		for _, e := range j.ends {
			running -= countBeforeCancel(j, e)
		}
		if running < j.Job.Tasks() {
			out = append(out, fmt.Sprintf("%s has %d of %d tasks running after the last fault", j.Job.ID, running, j.Job.Tasks()))
		}
	}
	return out
}

// countBeforeCancel returns 1 for an event up to the first cancel call of its job, and 0 for a
// later one.
func countBeforeCancel(j *jobRecord, e simulator.RunEvent) int {
	if len(j.cancels) > 0 && e.At.After(j.cancels[0].Sent) {
		return 0
	}
	return 1
}
