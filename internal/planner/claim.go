package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// claim reserves room for a run on a worker and queues the claim to be stored.
func (p *Planner) claim(t *task, w *worker, attempt identifier.Attempt) {
	r := p.newRun(t, attempt)
	p.reserve(w, r)
	p.commitClaim(r)
}

func (p *Planner) newRun(t *task, attempt identifier.Attempt) *run {
	return &run{
		id:   connector.RunID{Task: t.name(), Attempt: attempt},
		task: t, size: t.group.step.Size, phase: runClaimed, pace: fullPace, startedAt: p.now,
		readyAt: t.readyAt,
	}
}

// commitClaim queues the claim of a run, for which room is reserved, to be stored.
func (p *Planner) commitClaim(r *run) {
	t := r.task
	t.attempt = r.id.Attempt
	p.leases.Resume(r.worker.id)
	p.addUnsentClaim(r)
	p.addRun(r)
	p.setPhase(t, taskPlaced)
	p.newClaims = append(p.newClaims, r)
	p.markDirty(t.group.job)
}

// dropUnstarted drops a run that has certainly not begun on its worker and makes its task ready again. The
// task has waited all along: how long it may wait does not count from its failed attempts.
func (p *Planner) dropUnstarted(r *run) {
	j := r.task.group.job
	idleSince := j.idleSince
	p.removeRun(r)
	j.idleSince = idleSince
	p.requeue(r.task)
	if r.task.phase == taskReady {
		r.task.readyAt = r.readyAt
	}
}

// requeue makes a task ready again unless another of its runs may be active, or the task or its job
// is over.
func (p *Planner) requeue(t *task) {
	if len(t.runs) > 0 || t.phase == taskDone || t.group.job.state.Ended() {
		return
	}
	p.markReady(t)
	p.markDirty(t.group.job)
}

// removeRun removes a run that is certainly not active anywhere, and frees its room.
func (p *Planner) removeRun(r *run) {
	if r.stalled {
		p.healthRecords.markChanged(r.worker.id)
	}
	p.free(r.worker, r)
	p.dropUnsentClaim(r)
	p.leaveWindow(r)
	t := r.task
	if r.evicted {
		t.evictions++
	}
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			t.group.job.runCount--
			t.group.job.runBytes -= runBytes(r.worker.id)
			t.group.job.idleSince = p.now
			return
		}
	}
}

// sendStart sends the start of a run whose claim is stored.
func (p *Planner) sendStart(r *run) {
	w := r.worker
	r.task.group.startedRun = r.id.Attempt
	r.phase = runStarting
	r.epoch = p.epochOf(w)
	if r.incarnation == 0 {
		r.incarnation = w.incarnation
	}
	p.enterWindow(r)
	r.startTries++
	r.startSentAt, r.leaseUntil = p.now, p.leaseUntil(w)
	p.counts.starts++
	ticket, _, _ := p.permitted(r.task.group, w)
	p.emit(StartRun{To: w.target(), Order: connector.RunOrder{
		Run: r.id, Spec: r.task.group.job.def.Spec, Epoch: r.epoch,
		LeaseUntil: r.leaseUntil, Checkpoint: r.task.checkpoint, Ticket: ticket,
	}})
}

// startClaimed sends the start of a run whose claim is stored, or withdraws the claim. The claim is
// held back while the directory is stale, since the worker's data centre may have been evacuated
// meanwhile; while the window of orders is full, except for gangs, whose members only run together;
// and until the worker's lease may be renewed.
func (p *Planner) startClaimed(r *run) {
	if r.phase != runClaimed || r.worker.runs[r.id] != r {
		return
	}
	if !r.unwanted && (!p.directoryFresh() || p.orderWindow.Full() && !r.task.group.step.Gang) {
		p.heldClaims = append(p.heldClaims, r)
		return
	}
	if reason := p.reasonToWithdrawAny(r); reason != "" {
		p.withdraw(r, reason)
		return
	}
	if !p.leases.RenewalAllowed(r.worker.id) {
		p.leases.Resume(r.worker.id)
		p.heldClaims = append(p.heldClaims, r)
		return
	}
	p.sendStart(r)
}

// noteBegun records that a worker has begun a run: it has confirmed the start, or lists the run or its end. A start
// that was only sent may be refused, and its task waits on.
func (p *Planner) noteBegun(r *run) {
	if r.begun {
		return
	}
	r.begun, r.task.refusals = true, 0
	p.noteServiceResumed(r)
	p.noteRestart(r)
	p.noteTaskBegun(r.task)
}

// noteTaskBegun records that a worker has begun a run of a task.
func (p *Planner) noteTaskBegun(t *task) {
	j := t.group.job
	if !t.begun && t.group.recordsBegun() {
		p.markDirty(j)
	}
	t.begun = true
	if j.started || j.state.Ended() {
		return
	}
	j.started = true
	j.state = StateRunning
	p.markDirty(j)
	p.log.JobStarted(j.def.ID, j.def.Queue, p.now.Sub(j.submitted))
}

// startHeldClaims sends the starts of held claims, those of the most urgent queues first. Workers
// know nothing of a claim before its start, so that it stays valid however long it is held.
func (p *Planner) startHeldClaims() {
	if len(p.heldClaims) == 0 || !p.directoryFresh() || p.orderWindow.Full() {
		return
	}
	held := p.heldClaims
	p.heldClaims = nil
	slices.SortStableFunc(held, func(a, b *run) int {
		return cmp.Compare(a.task.group.job.queue.Priority, b.task.group.job.queue.Priority)
	})
	for _, r := range held {
		p.startClaimed(r)
	}
}

// withdraw takes back a claim, and those of the other members of its gang that are not sent either: some
// members alone would only wait for the others.
func (p *Planner) withdraw(r *run, reason string) {
	p.log.ClaimWithdrawn(r.id, r.worker.id, reason)
	p.dropUnstarted(r)
	if !r.task.group.step.Gang {
		return
	}
	for i := range r.task.group.tasks {
		for _, other := range slices.Clone(r.task.group.tasks[i].runs) {
			if other.phase == runClaimed && other.id.Attempt == r.id.Attempt {
				p.dropUnstarted(other)
			}
		}
	}
}

// reasonToWithdrawAny returns why a claim must not be started any more. Before the first start of a gang
// it checks all members, once for each pass.
func (p *Planner) reasonToWithdrawAny(r *run) string {
	g := r.task.group
	if !g.step.Gang || g.startedRun == r.id.Attempt || g.checkedAt.Equal(p.now) {
		return p.reasonToWithdraw(r)
	}
	g.checkedAt = p.now
	for i := range g.tasks {
		for _, other := range g.tasks[i].runs {
			if reason := p.reasonToWithdraw(other); other.phase == runClaimed && reason != "" {
				return reason
			}
		}
	}
	return ""
}

// reasonToWithdraw returns why a claim must not be started any more, or "" if it may.
func (p *Planner) reasonToWithdraw(r *run) string {
	o := cmp.Or(p.workerObstacle(r.worker), p.restartObstacle(r.worker, r.task.group.step, r.worker.used))
	switch {
	case r.unwanted:
		return "the run is not wanted any more"
	case r.task.group.startedRun != r.id.Attempt && exceedsQuota(r):
		return r.task.group.job.team.explainQuota()
	case o != obstacleNone:
		return "such workers " + string(o)
	default:
		return ""
	}
}

const (
	// maxStartTries is how often a start is sent before it is given up as unanswered and the
	// worker's epoch is raised, so that the worker refuses it if it still arrives.
	maxStartTries = 2
	// notSentDelay delays the next run of a task whose start could not be sent. It is several times
	// the transit time of a batch of orders.
	notSentDelay = 100 * time.Millisecond
	// failureDelay delays the next run of a task after a failed run.
	failureDelay = 20 * time.Millisecond
)
