package scheduler

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// worker is what this host knows of one worker.
type worker struct {
	host   connector.WorkerHost
	listed bool
	lease  identifier.Lease
	reopen bool
	busy   bool
	silent int
	// fenced is the epoch under which the worker answered last.
	fenced       identifier.Epoch
	reportSentAt time.Time
	calledAt     time.Time
	nextCall     time.Time
	reported     map[identifier.Task]connector.WorkerTask
	reserved     map[identifier.Task]identifier.Size
	used         identifier.Size
}

func newWorker(host connector.WorkerHost) *worker {
	return &worker{host: host, reserved: map[identifier.Task]identifier.Size{}, calledAt: time.Now()}
}

// room returns what is left on the worker. Attempts that it reports and that
// nothing reserved count as used until it has stopped them.
func (w *worker) room() identifier.Size {
	room := w.host.Capacity.Sub(w.used)
	for id, t := range w.reported {
		if _, ok := w.reserved[id]; !ok && t.Phase == connector.PhaseRunning {
			room = room.Sub(t.Size)
		}
	}
	return room
}

func (s *Scheduler) worker(id identifier.Worker) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = newWorker(connector.WorkerHost{ID: id, DataCentre: s.dc})
		s.workers[id] = w
	}
	return w
}

func (s *Scheduler) reserve(id identifier.Worker, task identifier.Task, size identifier.Size) {
	w := s.worker(id)
	s.release(id, task)
	w.reserved[task] = size
	w.used = w.used.Add(size)
}

func (s *Scheduler) release(id identifier.Worker, task identifier.Task) {
	w := s.worker(id)
	if size, ok := w.reserved[task]; ok {
		delete(w.reserved, task)
		w.used = w.used.Sub(size)
	}
}

// listWorkers takes the platform's list. A worker that left the list stays
// known while tasks are claimed on it.
func (s *Scheduler) listWorkers(hosts []connector.WorkerHost) {
	for _, w := range s.workers {
		w.listed = false
	}
	for _, h := range hosts {
		if h.DataCentre != s.dc {
			continue
		}
		w := s.worker(h.ID)
		if w.host.Address != h.Address {
			w.lease = ""
		}
		w.host, w.listed = h, true
	}
	for id, w := range s.workers {
		if !w.listed && len(w.reserved) == 0 {
			delete(s.workers, id)
		}
	}
}

// forgetLeases drops what an earlier epoch knew of the workers.
func (s *Scheduler) forgetLeases() {
	for _, w := range s.workers {
		w.lease = ""
		w.reported = nil
		w.silent = 0
		w.busy = false
		w.nextCall = time.Time{}
		w.calledAt = time.Now()
	}
	for _, l := range s.locals {
		*l = local{}
	}
}

// renewWorkers opens or renews the leases that are due.
func (s *Scheduler) renewWorkers() {
	now := time.Now()
	for _, w := range s.workers {
		if w.busy || w.host.Address == "" || now.Before(w.nextCall) || s.mustStaySilent(w, now) {
			continue
		}
		w.busy = true
		w.calledAt = now
		w.nextCall = now.Add(s.callInterval(w))
		if w.lease == "" || w.reopen {
			s.emit(OpenLease{w.host, s.lease.Epoch})
			continue
		}
		s.emit(RenewLease{w.host, w.lease, s.lease.Epoch})
	}
}

// backlogCalls is how many times more often a worker is called while tasks wait
// for its room: an end is noticed by the next call only.
const backlogCalls = 4

// callInterval returns the time until the next call of a worker.
func (s *Scheduler) callInterval(w *worker) time.Duration {
	if s.waiting.len() > 0 && len(w.reserved) > 0 && w.silent == 0 {
		return s.times.WorkerRenewInterval / backlogCalls
	}
	return s.times.WorkerRenewInterval
}

// mustStaySilent reports whether a worker must not be called, so that its lease
// certainly runs out.
func (s *Scheduler) mustStaySilent(w *worker, now time.Time) bool {
	return w.silent >= maxSilentCalls && len(w.reserved) > 0 && now.Sub(w.calledAt) < probeAfterTTLs*s.times.WorkerTTL
}

// lost reports whether an attempt on a worker has certainly stopped. Until the
// worker has answered under this epoch, an earlier holder that is cut off from
// the log may still renew its lease, for as long as the task's grace.
func (s *Scheduler) lost(w *worker, t tracker.Task, now time.Time) bool {
	if w.host.Address != "" && w.silent < maxSilentCalls {
		return false
	}
	if now.Sub(w.calledAt) < lostAfterTTLs*s.times.WorkerTTL {
		return false
	}
	grace := time.Duration(t.GraceMs) * time.Millisecond
	return w.fenced == s.lease.Epoch || now.Sub(s.heldSince) > certainlyOver(grace)
}

func (s *Scheduler) workerAnswered(e WorkerAnswered) {
	w, ok := s.workers[e.Worker]
	if !ok || e.Epoch != s.lease.Epoch {
		return
	}
	w.busy = false
	w.silent = 0
	w.fenced = s.lease.Epoch
	w.reportSentAt = e.SentAt
	if e.Report.Lease != w.lease {
		w.lease, w.reopen = e.Report.Lease, false
	}
	w.reported = make(map[identifier.Task]connector.WorkerTask, len(e.Report.Tasks))
	for _, t := range e.Report.Tasks {
		w.reported[t.Task] = t
	}
	s.recordReport(w)
}

func (s *Scheduler) workerFailed(e WorkerCallFailed) {
	w, ok := s.workers[e.Worker]
	if !ok || e.Epoch != s.lease.Epoch {
		return
	}
	w.busy = false
	if e.Expired {
		w.lease = ""
		w.nextCall = time.Time{}
		return
	}
	if !e.Fenced {
		w.silent++
	}
}

// recordReports looks again at the last report of every worker, for records
// that the log has not shown.
func (s *Scheduler) recordReports() {
	for _, w := range s.workers {
		s.recordReport(w)
	}
}

// recordReport turns the report of a worker into records of the log, and lets
// the worker drop what the log has.
func (s *Scheduler) recordReport(w *worker) {
	if !s.lease.Held || !s.tick.TasksCaughtUpAt.After(s.heldSince) {
		return
	}
	var forget []connector.WorkerTask
	for _, r := range w.reported {
		t, ok := s.tasks[r.Task]
		if ok && t.State == tracker.StateClaimed && t.Attempt == r.Attempt && t.Worker == w.host.ID {
			s.recordTask(w, t, r)
			continue
		}
		if r.Phase == connector.PhaseRunning {
			s.stop(w, r.Task, r.Attempt)
			continue
		}
		forget = append(forget, r)
		delete(w.reported, r.Task)
		if !ok {
			delete(s.locals, r.Task)
		}
	}
	if len(forget) > 0 {
		s.emit(ForgetTasks{w.host, s.lease.Epoch, forget})
	}
}

// recordTask notes what a worker says about an attempt that the log gave it.
func (s *Scheduler) recordTask(w *worker, t tracker.Task, r connector.WorkerTask) {
	l := s.local(t.ID)
	if !l.seen {
		l.seen, l.seenAt = true, w.reportSentAt
	}
	switch r.Phase {
	case connector.PhaseRunning:
		return
	case connector.PhaseDone:
		s.append(t, encoder.End{Task: t.ID, Attempt: t.Attempt, Outcome: encoder.OutcomeDone, Detail: r.Detail})
	case connector.PhaseFailed:
		s.append(t, encoder.Release{
			Task: t.ID, Attempt: t.Attempt, Reason: encoder.ReasonFailed,
			Detail: r.Detail, MaxAttempts: s.maxAttempts(t),
		})
	case connector.PhaseStopped:
		s.append(t, encoder.Release{Task: t.ID, Attempt: t.Attempt, Reason: stopReason(l), Checkpoint: r.Checkpoint})
	}
}

func (s *Scheduler) maxAttempts(t tracker.Task) int {
	if pool := s.set.Pools[t.Pool]; pool != nil {
		return pool.MaxAttempts
	}
	return 1
}

// stopReason returns why a stopped attempt was stopped; an attempt that nobody
// stopped lost its lease.
func stopReason(l *local) encoder.Reason {
	if l.stopping == "" {
		return encoder.ReasonWorkerLost
	}
	return l.stopping
}

// append writes a record about a task, unless it was written a moment ago.
func (s *Scheduler) append(t tracker.Task, body encoder.Body) {
	l := s.local(t.ID)
	if time.Since(l.recordedAt) < s.times.ResendInterval {
		return
	}
	l.recordedAt = time.Now()
	s.emit(Append{t.ID, body})
}

// settleLostWorkers releases the tasks of workers that have been silent for so
// long that their leases have certainly run out.
func (s *Scheduler) settleLostWorkers() {
	now := time.Now()
	for id := range s.here {
		t := s.tasks[id]
		if s.lost(s.worker(t.Worker), t, now) {
			s.releaseUnknown(t, encoder.ReasonWorkerLost)
		}
	}
}

// releaseUnknown releases a task of which nobody can tell whether its attempt
// has finished, if it may be executed again. Others stay with their worker, for
// its report or an operator to decide.
func (s *Scheduler) releaseUnknown(t tracker.Task, reason encoder.Reason) {
	if t.Repeatable {
		s.append(t, encoder.Release{Task: t.ID, Attempt: t.Attempt, Reason: reason})
	}
}
