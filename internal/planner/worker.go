package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// runPhase is the stage of a run in its life cycle, as known to this holder.
type runPhase int

const (
	// runClaimed means that the run's claim is not stored yet, or that its start has not been sent.
	runClaimed runPhase = iota
	// runStarting means that a start was sent and its answer is outstanding.
	runStarting
	// runUnsure means that the worker may or may not have received the start. The next poll under a
	// higher epoch decides.
	runUnsure
	// runActive means that the worker confirmed the start or listed the run.
	runActive
	// runStopping means that the worker confirmed or listed the run, and that it has to be stopped.
	runStopping
)

// run is one attempt to execute a task on a worker, from its claim until it has certainly ended.
type run struct {
	id     connector.RunID
	task   *task
	worker *worker
	size   identifier.Size
	phase  runPhase
	// epoch is the epoch of the last start sent. A poll under a higher epoch whose answer does not
	// list the run proves that the run will never execute.
	epoch identifier.Epoch
	// incarnation identifies the worker process to which the first start was sent or which last
	// listed the run; zero if unknown.
	incarnation identifier.UnixMillis
	// begun is set once the worker has confirmed the start or listed the run. confirmedAt is when it did so,
	// or answered that the run is over, which is also true of one that was stopped before it began.
	begun       bool
	confirmedAt time.Time
	// startedAt is when this holder claimed, restored or adopted the run.
	startedAt time.Time
	// readyAt is since when the task was ready as the run was claimed.
	readyAt time.Time
	// startTries counts the starts sent.
	startTries int
	// maybeDelivered is set once a start may have reached the worker.
	maybeDelivered bool
	// startSentAt is when the last start was sent, and leaseUntil the lease end that it asked for.
	startSentAt time.Time
	leaseUntil  connector.WorkerClock
	// unsent is set while the run counts towards Planner.unsentClaims, startInFlight while its
	// start occupies a slot in the window of orders in flight.
	unsent, startInFlight bool
	// inherited is set if an earlier holder started the run, so that its duration is unknown.
	inherited bool
	// unwanted is set once the run has to be stopped or, if its start was not sent, withdrawn.
	unwanted bool
	// stopSent is set while a stop is in flight or once one was carried out, stopQueued while a
	// stop waits for a slot in the window.
	stopSent, stopQueued bool
	// stoppedAt is when the last stop was carried out; zero while one is in flight.
	stoppedAt time.Time
	// listedIn is the value of counts.polls at the last poll that listed the run.
	listedIn int
	percent  int
	// progressAt is when percent last changed.
	progressAt time.Time
	// evicted is set once the run is stopped because it made too little progress.
	evicted bool
	// stalled is set while the run is recorded as stalled in the stored health of its worker.
	stalled bool
	// pace is the share of its processors, in percent, that the run may use.
	pace int
	// tail is the last reported tail latency of a serving run, used the processors last reported of
	// any other run.
	tail time.Duration
	used identifier.Millicores
}

// workerRun identifies a run by the worker that executes it.
type workerRun struct {
	worker identifier.Worker
	run    connector.RunID
}

// worker is the planner's view of one worker.
type worker struct {
	id    identifier.Worker
	entry connector.WorkerEntry
	// base is added to the holder's epoch in orders to the worker.
	base identifier.Epoch
	// index is the position of the worker in Planner.workerList.
	index int
	// listed is set while the directory contains the worker.
	listed bool
	// synced is set once the worker has answered a poll under this holder's epoch.
	synced bool
	// sequence is the low part of the epoch of orders to this worker. It rises within a holder's
	// term to fence off orders sent earlier.
	sequence uint64
	// clock is the worker's own clock as last reported, and clockAt when that was.
	clock   connector.WorkerClock
	clockAt time.Time
	// heardAt is when the worker last answered; zero if never in this term. polledAt is when it last
	// answered a poll, which tells its incarnation.
	heardAt, polledAt time.Time
	// leaseEnd is when all runs on the worker have certainly stopped unless it is heard from again.
	leaseEnd time.Time
	// renewalSentAt is when an order that renews the lease was last sent.
	renewalSentAt time.Time
	// requestedLease is the latest lease end requested or reserved so far, by the worker's clock.
	requestedLease connector.WorkerClock
	// renewedAt is when an order that renews the lease was last answered, and renewedThrough the
	// host that made the call.
	renewedAt      time.Time
	renewedThrough identifier.Entry
	// incarnation is the start time that the worker reported of its process; it changes with each
	// restart. lastEnd is the highest number among the ended runs that were handled, and storedEnd
	// the highest whose outcome is stored, so that the worker may forget it. Both count from zero
	// again after a restart.
	incarnation identifier.UnixMillis
	lastEnd     identifier.EndNumber
	storedEnd   identifier.EndNumber
	// unreadableEnd is the lowest number that the first undecodable ended run may have; zero if all
	// were decoded.
	unreadableEnd identifier.EndNumber
	// unsavedEnds is set while the worker has listed ends that are not stored yet.
	unsavedEnds bool
	// listsRuns is set if the last answer to a poll listed active runs, or some that are not known.
	listsRuns bool
	runs      map[connector.RunID]*run
	// used is what the runs reserve. Scavengers reserve no processors; what they were promised is
	// in scavengerCPU.
	used         identifier.Size
	scavengerCPU identifier.Millicores
	// serving counts the runs of serving tasks, and servingCPU is what they reserve.
	serving    int
	servingCPU identifier.Millicores
	// plain counts the runs of plain tasks that run to completion, and plainCPU is what they reserve.
	plain    int
	plainCPU identifier.Millicores
	// servingByImage and scavengersByImage count the runs of each image.
	servingByImage    map[identifier.Image]int
	scavengersByImage map[identifier.Image]int
	// servingImages lists the keys of servingByImage. remainingSlacks holds the expected slack of
	// each, in the same order; it is computed on demand and nil until then.
	servingImages   []servingImage
	remainingSlacks []estimator.Slack
	// polling is set while a poll is in flight, and nextPoll is the earliest time of the next one.
	polling  bool
	nextPoll time.Time
	// missedPolls counts the polls in a row without an answer.
	missedPolls int
	// failures counts the failed runs in a row, over all jobs.
	failures int
	// quarantinedUntil is until when the worker gets no new runs because of its failures.
	quarantinedUntil time.Time
	// vacatedUntil is until when the worker gets no new runs, so that it can be lent.
	vacatedUntil time.Time
	// restoredStalls are the stalls that an earlier holder stored; they are matched with the runs
	// once these are restored.
	restoredStalls []Stall
	// recentScavengers ended so recently that reported tail latencies still include their effect.
	recentScavengers []recentScavenger
	// baselineSlacks is the slack that each serving image would have without scavengers, and
	// scavengerShares the share of the worker's processors promised to the scavengers of each
	// image.
	baselineSlacks  map[identifier.Image]estimator.Slack
	scavengerShares estimator.Load
	// slack is the lowest slack observed at the last poll.
	slack estimator.Slack
	// leavesAt is the earliest time at which a draining worker shuts down, by its last directory
	// entry.
	leavesAt time.Time
	// tailHighSince is since when a tail latency has been above its target; zero if none is.
	tailHighSince time.Time
	// tailHigh is set while tailHighSince is part of the stored health.
	tailHigh bool
	// scavengersBarredUntil is until when no scavenger is placed on the worker.
	scavengersBarredUntil time.Time
}

func (w *worker) target() connector.WorkerTarget {
	return connector.WorkerTarget{ID: w.id, Address: w.entry.Address}
}

// epochOf returns the epoch of the next order to a worker: the holder's epoch, and the base that the
// worker has from earlier owners, in the high bits and the worker's sequence in the low ones.
func (p *Planner) epochOf(w *worker) identifier.Epoch {
	return (w.base+p.epoch)<<sequenceBits | identifier.Epoch(w.sequence)
}

// ensureWorker returns the worker with an id and adds it first if it is not known. A new worker may
// still have runs of an earlier holder until the lease known for it has run out.
func (p *Planner) ensureWorker(id identifier.Worker) *worker {
	w, ok := p.workers[id]
	if !ok {
		w = &worker{
			id: id, runs: map[connector.RunID]*run{}, leaseEnd: p.leases.InheritedExpiry(id), sequence: p.sequenceFloor + 1, base: p.baseOf(id),
			servingByImage: map[identifier.Image]int{}, scavengersByImage: map[identifier.Image]int{},
			scavengerShares: estimator.Load{}, baselineSlacks: map[identifier.Image]estimator.Slack{}, slack: ampleSlack,
		}
		p.workers[id] = w
		w.index = len(p.workerList)
		p.workerList = append(p.workerList, w)
		p.unpolled[w] = struct{}{}
		p.suspects[w] = struct{}{}
		p.restoreHealth(w)
	}
	return w
}

// forgetWorker removes a worker that certainly runs nothing any more. Its sequence is kept as a
// floor, so that the worker does not get a lower epoch if it comes back.
func (p *Planner) forgetWorker(w *worker) {
	p.sequenceFloor = max(p.sequenceFloor, w.sequence)
	p.leases.Forget(w.id)
	p.healthRecords.forget(w.id)
	delete(p.workers, w.id)
	last := p.workerList[len(p.workerList)-1]
	p.workerList[w.index], last.index = last, w.index
	p.workerList = p.workerList[:len(p.workerList)-1]
	delete(p.unpolled, w)
	delete(p.suspects, w)
}

// leaseUntil returns the time, by the worker's clock, up to which an order sent now extends the
// lease, and moves leaseEnd accordingly.
func (p *Planner) leaseUntil(w *worker) connector.WorkerClock {
	w.renewalSentAt = p.now
	return p.reserveLease(w)
}

// reserveLease moves leaseEnd to the end of a lease that begins now and returns that end by the worker's
// clock. That clock may have run slow since its last reading; it is taken to have done so, since
// successors wait for a lease from now on, however old the reading is.
func (p *Planner) reserveLease(w *worker) connector.WorkerClock {
	until := w.clock + connector.WorkerClock(leastAdvance(p.now.Sub(w.clockAt))+p.settings.Lease)
	w.leaseEnd = later(w.leaseEnd, w.clockAt.Add(bySlowClock(time.Duration(until-w.clock))))
	w.requestedLease = max(w.requestedLease, until)
	return until
}

// suspendLease stops renewing the lease of a worker. It runs out unless the worker is heard from.
func (p *Planner) suspendLease(w *worker) { p.leases.Suspend(w.id, w.leaseEnd, w.heardAt) }

// assumeLongestLease extends leaseEnd by the longest lease that a worker grants. It is called when
// a worker has runs under a lease that this holder did not grant, or whose start it does not know:
// an order was carried out late, or by a later incarnation of the worker.
func (p *Planner) assumeLongestLease(w *worker) {
	w.leaseEnd = later(w.leaseEnd, p.now.Add(bySlowClock(p.settings.MaxLease)))
	p.leases.RecordExtension(w.id, w.leaseEnd)
}

// recordGrant extends leaseEnd by the lease that a worker may have granted for an order that asked
// for one up to until. clock is the worker's clock as it answered. If the order was computed by the
// clock of an earlier incarnation, the lease may be the longest that a worker grants.
func (p *Planner) recordGrant(w *worker, until, clock connector.WorkerClock) {
	granted := p.settings.MaxLease
	if clock > 0 {
		granted = min(granted, time.Duration(until-clock))
	}
	if granted <= 0 {
		return
	}
	w.leaseEnd = later(w.leaseEnd, p.now.Add(bySlowClock(granted)))
	if granted > bySlowClock(p.settings.Lease) {
		p.log.WorkerChanged(w.id, "granted a longer lease than usual")
		p.leases.RecordExtension(w.id, w.leaseEnd)
	}
}

// recordRenewal records the answer to an order that renews the lease.
func (w *worker) recordRenewal(a connector.OrderAnswer, now time.Time) {
	w.renewedAt, w.renewedThrough = now, a.Via
}

// renewalOf returns the state of the lease renewals of a worker, for the log.
func (p *Planner) renewalOf(w *worker) Renewal {
	return Renewal{
		SentAgo: p.sinceOrNever(w.renewalSentAt), AnsweredAgo: p.sinceOrNever(w.renewedAt), Through: w.renewedThrough,
		LeaseLeft: w.leaseEnd.Sub(p.now), MissedPolls: w.missedPolls,
	}
}

// CellClock returns the time of the clock that all holders of the cell share.
func (p *Planner) CellClock() renewer.Time { return p.leases.Clock() }

// silenceOf returns for how long a worker has not been heard from, by this holder or earlier ones.
func (p *Planner) silenceOf(w *worker) renewer.Silence {
	return p.leases.Silence(w.id, w.heardAt)
}

// sinceOrNever returns the time passed since at, or -1 if at is zero.
func (p *Planner) sinceOrNever(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return p.now.Sub(at)
}

// recordAnswer records that a worker answered. A clock of zero was not reported.
func (w *worker) recordAnswer(now time.Time, clock connector.WorkerClock) {
	w.heardAt = now
	w.missedPolls = 0
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// reserve adds a run to a worker and takes its size from the free capacity, and from what its team and
// the service's headroom have left.
func (p *Planner) reserve(w *worker, r *run) {
	p.countImage(w, r.task.group.step, 1)
	w.runs[r.id] = r
	r.worker = w
	p.countPlaces(w, -1)
	w.adjustUsage(r, 1)
	p.countPlaces(w, 1)
	countUsage(r, 1)
}

// free removes a run from a worker and returns its size to the free capacity.
func (p *Planner) free(w *worker, r *run) {
	if _, ok := w.runs[r.id]; !ok {
		return
	}
	p.countImage(w, r.task.group.step, -1)
	delete(w.runs, r.id)
	p.countPlaces(w, -1)
	w.adjustUsage(r, -1)
	p.countPlaces(w, 1)
	countUsage(r, -1)
}

// adjustUsage adds the size of a run to the worker's usage if sign is 1, and subtracts it if -1.
// Processors of scavengers are counted apart, since these run on what others leave unused.
func (w *worker) adjustUsage(r *run, sign int64) {
	size := r.size
	if r.task.group.step.Scavenger {
		w.scavengerCPU += identifier.Millicores(sign) * size.Processors
		w.adjustScavengerShare(r.task.group.step.Image, float64(sign)*fraction(size.Processors, w.entry.Capacity.Processors))
		size.Processors = 0
	}
	if r.task.group.step.Serves() {
		w.serving += int(sign)
		w.servingCPU += identifier.Millicores(sign) * size.Processors
	}
	if runsToCompletion(r.task.group) {
		w.plain += int(sign)
		w.plainCPU += identifier.Millicores(sign) * size.Processors
	}
	if sign > 0 {
		w.used = w.used.Add(size)
		return
	}
	w.used = w.used.Sub(size)
}

// adjustScavengerShare changes the share of processors promised to the scavengers of an image.
func (w *worker) adjustScavengerShare(image identifier.Image, by float64) {
	w.remainingSlacks = nil
	if w.scavengersByImage[image] == 0 {
		delete(w.scavengerShares, image)
		return
	}
	w.scavengerShares[image] = max(w.scavengerShares[image]+by, 0)
}

// room returns the capacity that is not reserved.
func (w *worker) room() identifier.Size { return w.entry.Capacity.Sub(w.used) }

// servingUtilisation is the fraction of its reserved processors that a serving task usually uses.
const servingUtilisation = 0.5

// spare returns the processors that are expected to stay unused: those neither reserved nor
// promised to scavengers, and the idle part of those reserved by serving tasks.
func (w *worker) spare() identifier.Millicores {
	idle := identifier.Millicores((1 - servingUtilisation) * float64(w.servingCPU))
	return w.entry.Capacity.Processors - w.used.Processors - w.scavengerCPU + idle
}

// spareFor returns the processors that a scavenger may be promised. With d.overcommit, unreserved
// processors may be promised a second time.
func (w *worker) spareFor(d demand) identifier.Millicores {
	if d.overcommit {
		return w.spare() + w.room().Processors
	}
	return w.spare()
}

// workerObstacle returns the reason why a worker gets no new runs of any task, or obstacleNone.
func (p *Planner) workerObstacle(w *worker) obstacle {
	switch {
	case !w.listed || !w.synced || w.missedPolls > 0:
		return obstacleSilent
	case w.entry.Unreadable:
		return obstacleUnreadable
	case w.entry.Draining:
		return obstacleDraining
	case p.directory.Evacuated[w.entry.DataCentre]:
		return obstacleEvacuated
	case p.now.Before(w.quarantinedUntil):
		return obstacleQuarantine
	case p.now.Before(w.vacatedUntil):
		return obstacleVacated
	default:
		return obstacleNone
	}
}

// entryOfOtherIncarnation reports whether the worker has restarted since its entry was written, or since it last
// answered. It may have come back with another capacity and other labels.
func (w *worker) entryOfOtherIncarnation() bool {
	return w.entry.StartedAt != 0 && w.incarnation != 0 && w.entry.StartedAt != w.incarnation
}

// restartObstacle returns what keeps a step from a worker that may have come back as another kind: it gets only
// what the smallest kind of its service has room for beside size reserved, and nothing that needs a label.
func (p *Planner) restartObstacle(w *worker, step *submitter.Step, reserved identifier.Size) obstacle {
	if !w.entryOfOtherIncarnation() {
		return obstacleNone
	}
	if step.Label != "" || step.Scavenger || !reserved.Fits(p.smallest[w.entry.Service]) {
		return obstacleOutdatedEntry
	}
	return obstacleNone
}

// smallestKinds returns the least that any worker of each service has of each resource.
func smallestKinds(workers map[identifier.Worker]connector.WorkerEntry) map[identifier.Service]identifier.Size {
	out := map[identifier.Service]identifier.Size{}
	for _, e := range workers {
		least, ok := out[e.Service]
		if !ok {
			least = e.Capacity
		}
		out[e.Service] = least.Min(e.Capacity)
	}
	return out
}

// usable reports whether a worker may get new runs.
func (p *Planner) usable(w *worker) bool { return p.workerObstacle(w) == obstacleNone }

// updateDirectory replaces the directory and applies the changes of queues and workers.
func (p *Planner) updateDirectory(d connector.Directory) {
	d = d.Newest(p.directory)
	if d.Version != p.directory.Version || p.queuesAt == nil {
		p.queuesAt = queuesByAddress(d.Queues)
	}
	p.directory = d
	p.updateTeams()
	for _, j := range p.jobs {
		p.updateQueue(j)
	}
	if d.WorkersReadAt.IsZero() {
		return
	}
	p.smallest = smallestKinds(d.Workers)
	for id, entry := range d.Workers {
		if p.owns(id) {
			p.updateWorker(id, entry)
		}
	}
	p.dropPendingHealthRecords()
	for id, w := range p.workers {
		if _, ok := d.Workers[id]; !ok {
			w.listed = false
			p.suspects[w] = struct{}{}
			p.suspendLease(w)
		}
	}
}

// queuesByAddress returns the names of the queues whose address is known.
func queuesByAddress(queues map[identifier.Queue]connector.QueueConfig) map[connector.QueueAddress]identifier.Queue {
	out := make(map[connector.QueueAddress]identifier.Queue, len(queues))
	for name, q := range queues {
		if q.Address != 0 {
			out[q.Address] = name
		}
	}
	return out
}

// updateQueue replaces the queue settings of a job by those of the directory, unless the job was
// accepted by a newer configuration. The queue of a job is the one at the address at which it was
// submitted, whatever its name is now, or the one of its name if there is none.
func (p *Planner) updateQueue(j *job) {
	if p.directory.Version < j.configVersion {
		return
	}
	name, ok := p.queuesAt[j.address]
	if !ok {
		name = j.def.Queue
	}
	if q, ok := p.directory.Queues[name]; ok {
		j.queue = q
	}
}

// queueName returns the present name of a job's queue, or its last one.
func (j *job) queueName() identifier.Queue {
	if j.queue.Name == "" {
		return j.def.Queue
	}
	return j.queue.Name
}

// updateWorker applies the directory entry of a worker.
func (p *Planner) updateWorker(id identifier.Worker, entry connector.WorkerEntry) {
	w := p.ensureWorker(id)
	if w.listed && !w.entry.Draining && entry.Draining {
		p.log.WorkerChanged(id, "draining")
	}
	if entry.Draining && (!w.entry.Draining || drainNotice(entry) != drainNotice(w.entry)) {
		w.leavesAt = p.now.Add(drainNotice(entry))
	}
	if !w.listed {
		w.nextPoll = p.now
		p.log.WorkerChanged(id, "listed")
	}
	if w.listed && w.entry.Unreadable != entry.Unreadable {
		p.log.WorkerChanged(id, readabilityChange(entry))
	}
	w.entry, w.listed = entry, true
}

// readabilityChange describes that the entry of a worker has become unreadable or readable.
func readabilityChange(e connector.WorkerEntry) string {
	if e.Unreadable {
		return "entry cannot be read"
	}
	return "entry can be read again"
}
