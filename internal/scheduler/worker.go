package scheduler

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// worker is what this host knows about one worker.
type worker struct {
	host connector.WorkerHost
	// listed reports whether the worker is in the platform's present host list.
	listed bool
	// lease is empty while this host knows of no lease on the worker.
	lease identifier.Lease
	// replaceLease makes the next call open a new lease instead of renewing the present one.
	replaceLease bool
	// callPending is set while a call that opens or renews a lease is under way.
	callPending bool
	// unanswered counts the lease calls without an answer since the last report.
	unanswered int
	// answeredEpoch is the epoch under which the worker answered last.
	answeredEpoch identifier.Epoch
	// reportSentAt is when the call was sent that the last report answers.
	reportSentAt time.Time
	// calledAt is when the last call that opens or renews a lease was sent.
	calledAt   time.Time
	nextCallAt time.Time
	// reported holds the tasks of the last report.
	reported map[identifier.Task]connector.WorkerTask
	// reserved holds the sizes of claims and pending claims; reservedTotal is their sum.
	reserved      map[identifier.Task]identifier.Size
	reservedTotal identifier.Size
}

// newWorker returns a worker without a lease. Its time since the last call counts from now, because
// an earlier lease holder may have called the worker just before.
func newWorker(host connector.WorkerHost) *worker {
	return &worker{host: host, reserved: map[identifier.Task]identifier.Size{}, calledAt: time.Now()}
}

// freeRoom returns the capacity left on the worker. Running attempts that it reports without a
// reservation here count as used until it has stopped them.
func (w *worker) freeRoom() identifier.Size {
	room := w.host.Capacity.Sub(w.reservedTotal)
	for id, t := range w.reported {
		if _, ok := w.reserved[id]; !ok && t.Phase == connector.PhaseRunning {
			room = room.Sub(t.Size)
		}
	}
	return room
}

// worker returns a worker by ID, adding an unlisted one without an address if it is unknown.
func (s *Scheduler) worker(id identifier.Worker) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = newWorker(connector.WorkerHost{ID: id, DataCentre: s.dc})
		s.workers[id] = w
	}
	return w
}

// reserve takes room on a worker for a task, in place of any earlier reservation for the task
// there.
func (s *Scheduler) reserve(id identifier.Worker, task identifier.Task, size identifier.Size) {
	w := s.worker(id)
	s.unreserve(id, task)
	w.reserved[task] = size
	w.reservedTotal = w.reservedTotal.Add(size)
}

func (s *Scheduler) unreserve(id identifier.Worker, task identifier.Task) {
	w := s.worker(id)
	if size, ok := w.reserved[task]; ok {
		delete(w.reserved, task)
		w.reservedTotal = w.reservedTotal.Sub(size)
	}
}

// hostsListed takes the workers of this data centre from the platform's host list. A worker that
// left the list is kept while tasks are claimed on it. A new address drops the worker's lease.
func (s *Scheduler) hostsListed(hosts []connector.WorkerHost) {
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

// resetEpochState drops the leases, reports and attempt states of the earlier epoch.
func (s *Scheduler) resetEpochState() {
	for _, w := range s.workers {
		w.lease = ""
		w.reported = nil
		w.unanswered = 0
		w.callPending = false
		w.nextCallAt = time.Time{}
		w.calledAt = time.Now()
	}
	for _, a := range s.attempts {
		*a = attemptState{}
	}
}

// renewWorkerLeases opens or renews the worker leases that are due.
func (s *Scheduler) renewWorkerLeases() {
	now := time.Now()
	for _, w := range s.workers {
		if w.callPending || w.host.Address == "" || now.Before(w.nextCallAt) || s.awaitsLeaseExpiry(w, now) {
			continue
		}
		w.callPending = true
		w.calledAt = now
		w.nextCallAt = now.Add(s.callInterval(w))
		if w.lease == "" || w.replaceLease {
			s.emit(OpenLease{w.host, s.cellLease.Epoch})
			continue
		}
		s.emit(RenewLease{w.host, w.lease, s.cellLease.Epoch})
	}
}

// backlogCallFactor is how many times more often a worker with tasks is called while other tasks
// wait for room, because only its next report shows that a task has ended.
const backlogCallFactor = 4

// callInterval returns the time until the next lease call to a worker.
func (s *Scheduler) callInterval(w *worker) time.Duration {
	if s.waiting.len() > 0 && len(w.reserved) > 0 && w.unanswered == 0 {
		return s.timing.WorkerRenewInterval / backlogCallFactor
	}
	return s.timing.WorkerRenewInterval
}

// awaitsLeaseExpiry reports whether a worker must not be called now, because it has stopped
// answering and its lease has to run out before its tasks may be released.
func (s *Scheduler) awaitsLeaseExpiry(w *worker, now time.Time) bool {
	return w.unanswered >= maxUnansweredCalls && len(w.reserved) > 0 && now.Sub(w.calledAt) < probeAfterTTLs*s.timing.WorkerTTL
}

// certainlyStopped reports whether an attempt on a worker that does not answer has certainly
// stopped. Until the worker has answered under this epoch, an earlier lease holder that is cut off
// from the log may still renew the worker's lease, for as long as the task's cut-off grace.
func (s *Scheduler) certainlyStopped(w *worker, t tracker.Task, now time.Time) bool {
	if w.host.Address != "" && w.unanswered < maxUnansweredCalls {
		return false
	}
	if now.Sub(w.calledAt) < lostAfterTTLs*s.timing.WorkerTTL {
		return false
	}
	grace := time.Duration(t.GraceMs) * time.Millisecond
	return w.answeredEpoch == s.cellLease.Epoch || now.Sub(s.leaseHeldSince) > takeoverDelay(grace)
}

// workerAnswered takes a worker's report and lease. An answer to a call under an earlier epoch is
// ignored.
func (s *Scheduler) workerAnswered(e WorkerAnswered) {
	w, ok := s.workers[e.Worker]
	if !ok || e.Epoch != s.cellLease.Epoch {
		return
	}
	w.callPending = false
	w.unanswered = 0
	w.answeredEpoch = s.cellLease.Epoch
	w.reportSentAt = e.SentAt
	if e.Report.Lease != w.lease {
		w.lease, w.replaceLease = e.Report.Lease, false
	}
	w.reported = make(map[identifier.Task]connector.WorkerTask, len(e.Report.Tasks))
	for _, t := range e.Report.Tasks {
		w.reported[t.Task] = t
	}
	s.processReport(w)
}

// workerCallFailed takes the failure of a lease call. An expired lease is opened anew at the next
// tick. A fenced call cannot have extended the lease, so it does not count as unanswered.
func (s *Scheduler) workerCallFailed(e WorkerCallFailed) {
	w, ok := s.workers[e.Worker]
	if !ok || e.Epoch != s.cellLease.Epoch {
		return
	}
	w.callPending = false
	if e.Expired {
		w.lease = ""
		w.nextCallAt = time.Time{}
		return
	}
	if !e.Fenced {
		w.unanswered++
	}
}

// processReports processes the last report of every worker again, to repeat records that the log
// has not shown.
func (s *Scheduler) processReports() {
	for _, w := range s.workers {
		s.processReport(w)
	}
}

// processReport appends records for the finished attempts in a worker's report, and makes the
// worker forget those whose end is in the log. It stops running attempts that the log does not
// assign to the worker.
func (s *Scheduler) processReport(w *worker) {
	if !s.cellLease.Held || !s.tick.TasksCaughtUpAt.After(s.leaseHeldSince) {
		return
	}
	var forget []connector.WorkerTask
	for _, r := range w.reported {
		t, ok := s.tasks[r.Task]
		if ok && t.State == tracker.StateClaimed && t.Attempt == r.Attempt && t.Worker == w.host.ID {
			s.processReportedTask(w, t, r)
			continue
		}
		if r.Phase == connector.PhaseRunning {
			s.sendStop(w, r.Task, r.Attempt)
			continue
		}
		forget = append(forget, r)
		delete(w.reported, r.Task)
		if !ok {
			delete(s.attempts, r.Task)
		}
	}
	if len(forget) > 0 {
		s.emit(ForgetTasks{w.host, s.cellLease.Epoch, forget})
	}
}

// processReportedTask takes a worker's report about an attempt that the log assigns to it.
func (s *Scheduler) processReportedTask(w *worker, t tracker.Task, r connector.WorkerTask) {
	a := s.attempt(t.ID)
	if !a.confirmed {
		a.confirmed, a.confirmedAt = true, w.reportSentAt
	}
	switch r.Phase {
	case connector.PhaseRunning:
		return
	case connector.PhaseDone:
		s.appendRecord(t, encoder.End{Task: t.ID, Attempt: t.Attempt, Outcome: encoder.OutcomeDone, Detail: r.Detail})
	case connector.PhaseFailed:
		s.appendRecord(t, encoder.Release{
			Task: t.ID, Attempt: t.Attempt, Reason: encoder.ReasonFailed,
			Detail: r.Detail, MaxAttempts: s.maxAttempts(t),
		})
	case connector.PhaseStopped:
		s.appendRecord(t, encoder.Release{Task: t.ID, Attempt: t.Attempt, Reason: releaseReason(a), Checkpoint: r.Checkpoint})
	}
}

// maxAttempts returns the number of failed attempts that end a task; 1 if its pool is gone.
func (s *Scheduler) maxAttempts(t tracker.Task) int {
	if pool := s.config.Pools[t.Pool]; pool != nil {
		return pool.MaxAttempts
	}
	return 1
}

// releaseReason returns why an attempt stopped. One that this host did not stop is taken to have
// stopped because the worker's lease ran out.
func releaseReason(a *attemptState) encoder.Reason {
	if a.stopReason == "" {
		return encoder.ReasonWorkerLost
	}
	return a.stopReason
}

// appendRecord appends a record about a task, at most once per ResendInterval.
func (s *Scheduler) appendRecord(t tracker.Task, body encoder.Body) {
	a := s.attempt(t.ID)
	if time.Since(a.appendedAt) < s.timing.ResendInterval {
		return
	}
	a.appendedAt = time.Now()
	s.emit(Append{t.ID, body})
}

// releaseTasksOfLostWorkers releases the tasks claimed here that have certainly stopped because
// their worker has not answered for longer than its lease lasts.
func (s *Scheduler) releaseTasksOfLostWorkers() {
	now := time.Now()
	for id := range s.claimedHere {
		t := s.tasks[id]
		if s.certainlyStopped(s.worker(t.Worker), t, now) {
			s.releaseIfRepeatable(t, encoder.ReasonWorkerLost)
		}
	}
}

// releaseIfRepeatable releases a task whose attempt may or may not have finished, provided that the
// task may be executed again. Other tasks stay claimed until their worker reports the outcome or an
// operator resumes or cancels them.
func (s *Scheduler) releaseIfRepeatable(t tracker.Task, reason encoder.Reason) {
	if t.Repeatable {
		s.appendRecord(t, encoder.Release{Task: t.ID, Attempt: t.Attempt, Reason: reason})
	}
}
