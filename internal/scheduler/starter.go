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

// claimWaiting claims waiting tasks for which there is room, in order.
func (s *Scheduler) claimWaiting() {
	if !s.inService() || len(s.waiting.entries) == 0 {
		return
	}
	rooms := s.candidates()
	if len(rooms) == 0 {
		return
	}
	p := &pass{rooms: rooms, noRoom: map[identifier.Size]bool{}, noQuota: map[identifier.Pool]bool{}}
	for _, e := range s.waiting.entries {
		if len(s.claims) >= maxClaims {
			return
		}
		s.tryClaim(s.tasks[e.id], p)
	}
}

// pass is what one look at the waiting tasks has found so far. Room and quota
// only shrink within a pass.
type pass struct {
	rooms   []placer.Candidate
	noRoom  map[identifier.Size]bool
	noQuota map[identifier.Pool]bool
}

// candidates returns the workers that may take tasks.
func (s *Scheduler) candidates() []placer.Candidate {
	out := make([]placer.Candidate, 0, len(s.workers))
	for id, w := range s.workers {
		if w.lease != "" && w.listed && w.silent == 0 && w.host.State == connector.HostLive {
			out = append(out, placer.Candidate{Worker: id, Capacity: w.host.Capacity, Free: w.room()})
		}
	}
	return out
}

// tryClaim claims a task if its team has quota and a worker has room.
func (s *Scheduler) tryClaim(t tracker.Task, p *pass) {
	pool := s.set.Pools[t.Pool]
	if pool == nil || p.noRoom[pool.Size] || p.noQuota[pool.Name] || !s.mayClaim(t, pool) {
		return
	}
	if !s.withinQuota(pool) {
		p.noQuota[pool.Name] = true
		return
	}
	worker, ok := placer.Choose(s.strategy, pool.Size, withoutFailed(t, p.rooms))
	if !ok {
		p.noRoom[pool.Size] = len(t.Failures) == 0
		return
	}
	s.claims[t.ID] = claim{worker: worker, size: pool.Size, team: pool.Team, expires: time.Now().Add(s.times.ResendInterval)}
	s.reserve(worker, t.ID, pool.Size)
	for i := range p.rooms {
		if p.rooms[i].Worker == worker {
			p.rooms[i].Free = p.rooms[i].Free.Sub(pool.Size)
		}
	}
	s.emit(Append{t.ID, encoder.Claim{
		Task: t.ID, Attempt: t.Attempt + 1, DataCentre: s.dc, Worker: worker,
		Epoch: s.lease.Epoch, Size: pool.Size, GraceMs: pool.Grace().Milliseconds(),
		Repeatable: pool.Repeatable(),
	}})
}

// mayClaim reports whether the task may be placed here now, quota and room
// aside.
func (s *Scheduler) mayClaim(t tracker.Task, pool *parser.BatchPool) bool {
	if _, pending := s.claims[t.ID]; pending {
		return false
	}
	rank, allowed := s.preference(t, pool)
	if !allowed {
		return false
	}
	age := time.Since(s.waiting.since(t.ID))
	return age >= time.Duration(rank)*s.times.ClaimDelay
}

// preference returns how many data centres in service are preferred to this one
// for a task, and whether this one is allowed at all.
func (s *Scheduler) preference(t tracker.Task, pool *parser.BatchPool) (int, bool) {
	policy := s.set.Policies[pool.Policy]
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
		if s.preferred(dc, t, policy) {
			rank++
		}
	}
	return rank, allowed
}

// preferred reports whether dc comes before this data centre for a task.
func (s *Scheduler) preferred(dc identifier.DataCentre, t tracker.Task, policy *parser.PlacementPolicy) bool {
	if other := s.set.DataCentres[dc]; other == nil || other.State != parser.InService {
		return false
	}
	if policy.Order == parser.OrderNearFirst {
		return true
	}
	return identifier.Rank(string(t.ID), string(dc)) > identifier.Rank(string(t.ID), string(s.dc))
}

func (s *Scheduler) withinQuota(pool *parser.BatchPool) bool {
	team := s.set.Teams[pool.Team]
	if team == nil {
		return false
	}
	sum := s.usage[pool.Team].Add(pool.Size)
	for _, c := range s.claims {
		if c.team == pool.Team {
			sum = sum.Add(c.size)
		}
	}
	return sum.Fits(team.Quota)
}

// withoutFailed leaves out the workers on which the task has failed, unless it
// has failed on all of them.
func withoutFailed(t tracker.Task, rooms []placer.Candidate) []placer.Candidate {
	if len(t.Failures) == 0 {
		return rooms
	}
	var out []placer.Candidate
	for _, c := range rooms {
		if !t.FailedOn(c.Worker) {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return rooms
	}
	return out
}

// startClaimed starts the tasks that are claimed here and that their workers do
// not report.
func (s *Scheduler) startClaimed(tasks map[identifier.Task]bool) {
	for id := range tasks {
		t := s.tasks[id]
		w := s.worker(t.Worker)
		l := s.local(id)
		if w.lease == "" || w.reopen || l.startBusy || l.stopping != "" {
			continue
		}
		r, reported := w.reported[id]
		switch {
		case reported && r.Attempt == t.Attempt:
		case l.seen && !w.reportSentAt.After(l.seenAt):
		case l.seen:
			s.releaseUnknown(t, encoder.ReasonWorkerLost)
		case s.overcommitted(w):
			s.stopBecause(w, t, encoder.ReasonNoRoom)
		case s.inService() && !t.Cancelled:
			s.start(w, t, l)
		}
	}
}

// overcommitted reports whether the claims on a worker exceed its capacity, as
// claims of two holders in a row may.
func (s *Scheduler) overcommitted(w *worker) bool {
	return !identifier.Size{}.Fits(w.room())
}

// startRetry is the shortest time between two starts of the same attempt.
const startRetry = 250 * time.Millisecond

func (s *Scheduler) start(w *worker, t tracker.Task, l *local) {
	pool := s.set.Pools[t.Pool]
	now := time.Now()
	if pool == nil || now.Before(l.nextStart) {
		return
	}
	l.nextStart = now.Add(startRetry)
	l.startBusy = true
	l.startSent = w.lease
	s.emit(StartTask{w.host, connector.StartOrder{
		Lease: w.lease, Epoch: s.lease.Epoch, Task: t.ID, Attempt: t.Attempt, Size: t.Size,
		Payload: t.Payload, Checkpoint: t.Checkpoint, Watch: pool.Mode == parser.ModeWatch,
		RunTimeMs: pool.RunTime.Std().Milliseconds(),
	}})
}

func (s *Scheduler) startAnswered(e StartAnswered) {
	t, ok := s.tasks[e.Task]
	if !ok || t.Attempt != e.Attempt || t.State != tracker.StateClaimed {
		return
	}
	l := s.local(e.Task)
	l.startBusy = false
	switch e.Result {
	case StartAccepted:
		l.seen, l.seenAt = true, time.Now()
		w := s.worker(e.Worker)
		if _, reported := w.reported[e.Task]; !reported && w.reported != nil {
			w.reported[e.Task] = connector.WorkerTask{Task: e.Task, Attempt: e.Attempt, Phase: connector.PhaseRunning, Size: t.Size}
		}
	case StartRefused:
		s.append(t, encoder.Release{
			Task: e.Task, Attempt: e.Attempt, Reason: encoder.ReasonFailed,
			Detail: e.Detail, MaxAttempts: s.maxAttempts(t),
		})
	case StartUnknown:
		s.reopen(s.worker(e.Worker))
	case StartNotApplied:
	}
}
