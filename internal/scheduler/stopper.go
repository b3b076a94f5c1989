package scheduler

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// stopUnwanted stops the given tasks that must not go on here: cancelled tasks, tasks of a drained
// data centre, at its drain rate, and tasks whose cut-off grace has run out because the cell lease
// could not be renewed.
func (s *Scheduler) stopUnwanted(tasks map[identifier.Task]bool) {
	for id := range tasks {
		t := s.tasks[id]
		w := s.worker(t.Worker)
		a := s.attempt(id)
		if a.stopReason == "" {
			a.stopReason = s.reasonToStop(t)
		}
		if a.stopReason != "" {
			s.toReconcile[id] = true
			s.stopAttempt(w, t, a.stopReason)
		}
	}
}

// reasonToStop returns why a task must stop, or "" if it need not. The reason "drained" takes a
// drain token.
func (s *Scheduler) reasonToStop(t tracker.Task) encoder.Reason {
	switch {
	case t.Cancelled:
		return encoder.ReasonCancelled
	case t.GraceMs > 0 && time.Since(s.cellLease.RenewedAt) > time.Duration(t.GraceMs)*time.Millisecond:
		return encoder.ReasonCutOff
	case !s.inService() && s.takeDrainToken():
		return encoder.ReasonDrained
	default:
		return ""
	}
}

// takeDrainToken reports whether the drain rate allows one more task to stop, and counts that stop.
func (s *Scheduler) takeDrainToken() bool {
	dc, ok := s.config.DataCentres[s.dc]
	if !ok {
		return false
	}
	now := time.Now()
	if now.Before(s.nextDrainAt) {
		return false
	}
	interval := time.Second / time.Duration(max(dc.DrainRate, 1))
	s.nextDrainAt = later(s.nextDrainAt, now.Add(-maxDrainBurst*interval)).Add(interval)
	return true
}

// maxDrainBurst is how many unused intervals of the drain rate accumulate during a pause. As many
// extra tasks may then stop at once.
const maxDrainBurst = 4

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stopAttempt stops an attempt and, once the worker certainly does not run it and can no longer
// start it, releases the task.
func (s *Scheduler) stopAttempt(w *worker, t tracker.Task, reason encoder.Reason) {
	a := s.attempt(t.ID)
	a.stopReason = reason
	if w.lease == "" || a.startPending {
		return
	}
	r, reported := w.reported[t.ID]
	switch {
	case reported && r.Attempt == t.Attempt && r.Phase != connector.PhaseRunning:
		return
	case reported:
		s.sendStop(w, t.ID, t.Attempt)
	case a.startLease == w.lease:
		s.replaceLease(w)
	case s.cellLease.Held && a.confirmed:
		s.releaseIfRepeatable(t, encoder.ReasonWorkerLost)
	case s.cellLease.Held:
		s.appendRecord(t, encoder.Release{Task: t.ID, Attempt: t.Attempt, Reason: reason})
	}
}

// replaceLease makes the next call to a worker open a new lease, so that a start call that is still
// under way with the old lease is refused.
func (s *Scheduler) replaceLease(w *worker) {
	if !w.replaceLease {
		w.replaceLease = true
		w.nextCallAt = time.Time{}
	}
}

// sendStop asks a worker to checkpoint and stop an attempt, at most once per ResendInterval.
func (s *Scheduler) sendStop(w *worker, id identifier.Task, attempt identifier.Attempt) {
	a := s.attempt(id)
	if time.Since(a.stopSentAt) < s.timing.ResendInterval {
		return
	}
	a.stopSentAt = time.Now()
	w.nextCallAt = time.Now().Add(stopReportDelay)
	s.emit(StopTask{w.host, s.cellLease.Epoch, id, attempt})
}

// stopReportDelay is the wait between a stop call and the call that fetches the worker's report.
const stopReportDelay = 50 * time.Millisecond

// takeoverDelay returns the time after the last sign of a cut-off lease holder by which it has
// certainly stopped a task with the given cut-off grace.
func takeoverDelay(grace time.Duration) time.Duration { return grace + grace/8 + cutOffMargin }

// releaseCutOffTasks releases the tasks of other data centres that have not renewed their cell
// lease for longer than the tasks may go on while cut off.
func (s *Scheduler) releaseCutOffTasks() {
	now := time.Now()
	for id := range s.claimedElsewhere {
		t := s.tasks[id]
		seen, ok := s.cellRenewedAt[t.DataCentre]
		if !ok || t.GraceMs == 0 {
			continue
		}
		grace := time.Duration(t.GraceMs) * time.Millisecond
		if now.Sub(seen) > takeoverDelay(grace) {
			s.releaseIfRepeatable(t, encoder.ReasonCutOff)
		}
	}
}
