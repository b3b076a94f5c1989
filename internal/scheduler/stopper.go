package scheduler

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// stopUnwanted stops the tasks that must not go on here: those that were
// cancelled, those of a drained data centre, at its rate, and those whose grace
// has run out while the log cannot be reached.
func (s *Scheduler) stopUnwanted(tasks map[identifier.Task]bool) {
	for id := range tasks {
		t := s.tasks[id]
		w := s.worker(t.Worker)
		l := s.local(id)
		if l.stopping == "" {
			l.stopping = s.wantStopped(t)
		}
		if l.stopping != "" {
			s.unsettled[id] = true
			s.stopBecause(w, t, l.stopping)
		}
	}
}

// wantStopped returns why a task must stop, or nothing.
func (s *Scheduler) wantStopped(t tracker.Task) encoder.Reason {
	switch {
	case t.Cancelled:
		return encoder.ReasonCancelled
	case t.GraceMs > 0 && time.Since(s.lease.RenewedAt) > time.Duration(t.GraceMs)*time.Millisecond:
		return encoder.ReasonCutOff
	case !s.inService() && s.drainTurn():
		return encoder.ReasonDrained
	default:
		return ""
	}
}

// drainTurn reports whether the drain rate allows one more task to stop.
func (s *Scheduler) drainTurn() bool {
	dc, ok := s.set.DataCentres[s.dc]
	if !ok {
		return false
	}
	now := time.Now()
	if now.Before(s.drainNext) {
		return false
	}
	interval := time.Second / time.Duration(max(dc.DrainRate, 1))
	s.drainNext = later(s.drainNext, now.Add(-maxDrainBurst*interval)).Add(interval)
	return true
}

// maxDrainBurst is how many tasks a drain may stop at once after a pause.
const maxDrainBurst = 4

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stopBecause stops an attempt and, once the worker certainly does not run it
// and cannot start it any more, releases it.
func (s *Scheduler) stopBecause(w *worker, t tracker.Task, reason encoder.Reason) {
	l := s.local(t.ID)
	l.stopping = reason
	if w.lease == "" || l.startBusy {
		return
	}
	r, reported := w.reported[t.ID]
	switch {
	case reported && r.Attempt == t.Attempt && r.Phase != connector.PhaseRunning:
		return
	case reported:
		s.stop(w, t.ID, t.Attempt)
	case l.startSent == w.lease:
		s.reopen(w)
	case s.lease.Held && l.seen:
		s.releaseUnknown(t, encoder.ReasonWorkerLost)
	case s.lease.Held:
		s.append(t, encoder.Release{Task: t.ID, Attempt: t.Attempt, Reason: reason})
	}
}

// reopen replaces the lease on a worker, so that a start that is still on its
// way under the old one is refused.
func (s *Scheduler) reopen(w *worker) {
	if !w.reopen {
		w.reopen = true
		w.nextCall = time.Time{}
	}
}

// stop asks a worker to checkpoint and stop an attempt, again after a while.
func (s *Scheduler) stop(w *worker, id identifier.Task, attempt identifier.Attempt) {
	l := s.local(id)
	if time.Since(l.stopSentAt) < s.times.ResendInterval {
		return
	}
	l.stopSentAt = time.Now()
	w.nextCall = time.Now().Add(stopReportDelay)
	s.emit(StopTask{w.host, s.lease.Epoch, id, attempt})
}

// stopReportDelay is the wait between a stop and the report that shows it.
const stopReportDelay = 50 * time.Millisecond

// certainlyOver returns how long another holder waits until a cut-off one has
// certainly stopped a task of the given grace.
func certainlyOver(grace time.Duration) time.Duration { return grace + grace/8 + cutOffMargin }

// releaseCutOff releases the tasks of data centres that have not renewed their
// cell lease for longer than the tasks were allowed to go on.
func (s *Scheduler) releaseCutOff() {
	now := time.Now()
	for id := range s.remote {
		t := s.tasks[id]
		seen, ok := s.cells[t.DataCentre]
		if !ok || t.GraceMs == 0 {
			continue
		}
		grace := time.Duration(t.GraceMs) * time.Millisecond
		if now.Sub(seen) > certainlyOver(grace) {
			s.releaseUnknown(t, encoder.ReasonCutOff)
		}
	}
}
