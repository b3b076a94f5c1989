package scheduler

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/placer"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// claimWaiting claims waiting tasks in queue order, as far as room and quota allow.
func (s *Scheduler) claimWaiting() {
	if !s.inService() || len(s.waiting.entries) == 0 {
		return
	}
	candidates := s.candidates()
	if len(candidates) == 0 {
		return
	}
	pass := &claimPass{candidates: candidates, noRoom: map[identifier.Size]bool{}, noQuota: map[identifier.Pool]bool{}}
	for _, entry := range s.waiting.entries {
		if len(s.pendingClaims) >= maxPendingClaims {
			return
		}
		s.tryClaim(s.tasks[entry.id], pass)
	}
}

// claimPass is the state of one pass over the waiting tasks. Room and quota only shrink during a
// pass, so a size or pool that did not fit once is not tried again.
type claimPass struct {
	candidates []placer.Candidate
	noRoom     map[identifier.Size]bool
	noQuota    map[identifier.Pool]bool
}

// candidates returns the workers that accept new tasks, with their free room.
func (s *Scheduler) candidates() []placer.Candidate {
	out := make([]placer.Candidate, 0, len(s.workers))
	for id, w := range s.workers {
		if w.lease != "" && w.listed && w.unanswered == 0 && w.host.State == connector.HostLive {
			out = append(out, placer.Candidate{Worker: id, Capacity: w.host.Capacity, Free: w.freeRoom()})
		}
	}
	return out
}

// tryClaim claims a task if it may be placed here, its team has quota left and a worker has room.
// The claim takes effect once the log shows it.
func (s *Scheduler) tryClaim(t tracker.Task, pass *claimPass) {
	pool := s.config.Pools[t.Pool]
	if pool == nil || pass.noRoom[pool.Size] || pass.noQuota[pool.Name] || !s.mayClaim(t, pool) {
		return
	}
	if !s.withinQuota(pool) {
		pass.noQuota[pool.Name] = true
		return
	}
	worker, ok := placer.Choose(s.strategy, pool.Size, excludeFailedWorkers(t, pass.candidates))
	if !ok {
		pass.noRoom[pool.Size] = len(t.Failures) == 0
		return
	}
	s.pendingClaims[t.ID] = pendingClaim{worker: worker, size: pool.Size, team: pool.Team, expiresAt: time.Now().Add(s.timing.ResendInterval)}
	s.reserve(worker, t.ID, pool.Size)
	for i := range pass.candidates {
		if pass.candidates[i].Worker == worker {
			pass.candidates[i].Free = pass.candidates[i].Free.Sub(pool.Size)
		}
	}
	s.emit(Append{t.ID, encoder.Claim{
		Task: t.ID, Attempt: t.Attempt + 1, DataCentre: s.dc, Worker: worker,
		Epoch: s.cellLease.Epoch, Size: pool.Size, GraceMs: pool.Grace().Milliseconds(),
		Repeatable: pool.Repeatable(),
	}})
}

// mayClaim reports whether the task may be placed in this data centre now, apart from quota and
// room. It waits ClaimDelay for each data centre that is preferred to this one.
func (s *Scheduler) mayClaim(t tracker.Task, pool *parser.BatchPool) bool {
	if _, pending := s.pendingClaims[t.ID]; pending {
		return false
	}
	rank, allowed := s.preferenceRank(t, pool)
	if !allowed {
		return false
	}
	age := time.Since(s.waiting.queuedAt(t.ID))
	return age >= time.Duration(rank)*s.timing.ClaimDelay
}

// preferenceRank returns how many data centres in service the task's placement policy prefers to
// this one, and whether the policy allows this one at all.
func (s *Scheduler) preferenceRank(t tracker.Task, pool *parser.BatchPool) (int, bool) {
	policy := s.config.Policies[pool.Policy]
	if policy == nil {
		return 0, false
	}
	rank, allowed := 0, false
	for _, dc := range policy.DataCentres {
		if dc == s.dc {
			allowed = true
			if policy.Order == parser.OrderNearFirst {
				break
			}
			continue
		}
		if s.isPreferred(dc, t, policy) {
			rank++
		}
	}
	return rank, allowed
}

// isPreferred reports whether dc is in service and comes before this data centre for a task. A
// near-first policy goes by its list, others by a hash of task and data centre, which spreads
// tasks evenly.
func (s *Scheduler) isPreferred(dc identifier.DataCentre, t tracker.Task, policy *parser.PlacementPolicy) bool {
	if other := s.config.DataCentres[dc]; other == nil || other.State != parser.InService {
		return false
	}
	if policy.Order == parser.OrderNearFirst {
		return true
	}
	return identifier.Rank(string(t.ID), string(dc)) > identifier.Rank(string(t.ID), string(s.dc))
}

// withinQuota reports whether one more task of the pool, besides the claimed tasks and pending
// claims of its team, fits the team's quota.
func (s *Scheduler) withinQuota(pool *parser.BatchPool) bool {
	team := s.config.Teams[pool.Team]
	if team == nil {
		return false
	}
	sum := s.teamUsage[pool.Team].Add(pool.Size)
	for _, c := range s.pendingClaims {
		if c.team == pool.Team {
			sum = sum.Add(c.size)
		}
	}
	return sum.Fits(team.Quota)
}

// excludeFailedWorkers returns the candidates on which the task has not failed, or all of them if
// it has failed on each.
func excludeFailedWorkers(t tracker.Task, candidates []placer.Candidate) []placer.Candidate {
	if len(t.Failures) == 0 {
		return candidates
	}
	var out []placer.Candidate
	for _, c := range candidates {
		if !t.FailedOn(c.Worker) {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return candidates
	}
	return out
}

// startClaimed starts the given claimed tasks that their workers do not report. A task that its
// worker ran and no longer reports is released instead, if it may be executed again, and a task
// that would overcommit its worker is stopped.
func (s *Scheduler) startClaimed(tasks map[identifier.Task]bool) {
	for id := range tasks {
		t := s.tasks[id]
		w := s.worker(t.Worker)
		a := s.attempt(id)
		if w.lease == "" || w.replaceLease || a.startPending || a.stopReason != "" {
			continue
		}
		r, reported := w.reported[id]
		switch {
		case reported && r.Attempt == t.Attempt:
		case a.confirmed && !w.reportSentAt.After(a.confirmedAt):
		case a.confirmed:
			s.releaseIfRepeatable(t, encoder.ReasonWorkerLost)
		case s.overcommitted(w):
			s.stopAttempt(w, t, encoder.ReasonNoRoom)
		case s.inService() && !t.Cancelled:
			s.sendStart(w, t, a)
		}
	}
}

// overcommitted reports whether the claims on a worker exceed its capacity. That happens when two
// successive lease holders claim tasks on it without knowing of each other's claims.
func (s *Scheduler) overcommitted(w *worker) bool {
	return !identifier.Size{}.Fits(w.freeRoom())
}

// startRetryInterval is the shortest time between two start calls for the same attempt.
const startRetryInterval = 250 * time.Millisecond

// sendStart sends a start call for a claimed attempt, at most once per startRetryInterval.
func (s *Scheduler) sendStart(w *worker, t tracker.Task, a *attemptState) {
	pool := s.config.Pools[t.Pool]
	now := time.Now()
	if pool == nil || now.Before(a.nextStartAt) {
		return
	}
	a.nextStartAt = now.Add(startRetryInterval)
	a.startPending = true
	a.startLease = w.lease
	s.emit(StartTask{w.host, connector.StartOrder{
		Lease: w.lease, Epoch: s.cellLease.Epoch, Task: t.ID, Attempt: t.Attempt, Size: t.Size,
		Payload: t.Payload, Checkpoint: t.Checkpoint, Watch: pool.Mode == parser.ModeWatch,
		RunTimeMs: pool.RunTime.Std().Milliseconds(),
	}})
}

// startAnswered takes the outcome of a start call. An attempt that the worker refused counts as
// failed. After an unknown outcome the worker's lease is replaced, so that a start call that is
// still under way is refused.
func (s *Scheduler) startAnswered(e StartAnswered) {
	t, ok := s.tasks[e.Task]
	if !ok || t.Attempt != e.Attempt || t.State != tracker.StateClaimed {
		return
	}
	a := s.attempt(e.Task)
	a.startPending = false
	switch e.Result {
	case StartAccepted:
		a.confirmed, a.confirmedAt = true, time.Now()
		w := s.worker(e.Worker)
		if _, reported := w.reported[e.Task]; !reported && w.reported != nil {
			w.reported[e.Task] = connector.WorkerTask{Task: e.Task, Attempt: e.Attempt, Phase: connector.PhaseRunning, Size: t.Size}
		}
	case StartRefused:
		s.appendRecord(t, encoder.Release{
			Task: e.Task, Attempt: e.Attempt, Reason: encoder.ReasonFailed,
			Detail: e.Detail, MaxAttempts: s.maxAttempts(t),
		})
	case StartUnknown:
		s.replaceLease(s.worker(e.Worker))
	case StartNotApplied:
	}
}
