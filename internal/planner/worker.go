package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// runPhase is how far a run is.
type runPhase int

const (
	// runClaimed waits until its claim is stored.
	runClaimed runPhase = iota
	// runStarting has a start on its way.
	runStarting
	// runUnsure may or may not be at the worker.
	runUnsure
	runActive
	// runStopping is at the worker, or may be, and is not wanted any more.
	runStopping
)

// run is one run of a task at a worker, from its claim to its certain end.
type run struct {
	id     connector.RunID
	task   *task
	worker *worker
	size   identifier.Size
	phase  runPhase
	// epoch is that of the last start sent; a look under a higher one that does
	// not show the run proves that it will never run.
	epoch identifier.Epoch
	// incarnation tells the life of the worker to which the first start was sent, or which has last
	// listed the run; zero if that is not known.
	incarnation identifier.UnixMillis
	// confirmedAt is when the worker confirmed the start.
	confirmedAt time.Time
	startedAt   time.Time
	startTries  int
	// maybeDelivered is set once a start may have reached the worker.
	maybeDelivered bool
	// startSentAt is when the last start was sent.
	startSentAt time.Time
	// unsent is set while the run counts as a claim whose start is not sent, underWay
	// while it counts in the window of orders.
	unsent, startInFlight bool
	// inherited is set if an earlier holder started the run, so that it is not known
	// how long it has run.
	inherited bool
	// unwanted is set once the run has to be stopped.
	unwanted bool
	// stopSent is set while a stop is under way or was carried out, stopHeld while one waits
	// for the window of stops.
	stopSent, stopQueued bool
	// stoppedAt is when the last stop was carried out; zero while one is under way.
	stoppedAt time.Time
	// listedIn is the number of the last look that listed the run.
	listedIn   int
	percent    int
	progressAt time.Time
	// stalled is set while it is noted that the run stands still.
	stalled bool
	pace    int
	tail    time.Duration
	used    identifier.Millicores
}

// workerRun is a run at a worker.
type workerRun struct {
	worker identifier.Worker
	run    connector.RunID
}

// worker is a worker with what the planner believes of it.
type worker struct {
	id    identifier.Worker
	entry connector.WorkerEntry
	// index is the worker's position in the planner's list.
	index int
	// listed is set while the directory has the worker.
	listed bool
	// synced is set once the worker has answered under this holder's epoch.
	synced bool
	// sequence makes the epoch of orders to this worker rise within a holder's
	// term.
	sequence uint64
	// clock is the worker's own clock as last told, clockAt when it was.
	clock   connector.WorkerClock
	clockAt time.Time
	heardAt time.Time
	// leaseEnd is when everything on the worker has certainly stopped if it is
	// not heard from any more.
	leaseEnd time.Time
	// renewAsked is when an order that renews the lease was last sent, renewed when one
	// was last answered, and renewedThrough which host made that call.
	renewAsked time.Time
	// leaseAsked is the latest time of the worker's clock up to which that was.
	leaseAsked     connector.WorkerClock
	renewed        time.Time
	renewedThrough identifier.Entry
	incarnation    identifier.UnixMillis
	lastEnd        identifier.EndNumber
	storedEnd      identifier.EndNumber
	// unreadableEnd is the least number that the first end listed which could not be read may
	// have; zero if all could.
	unreadableEnd identifier.EndNumber
	unsavedEnds   bool
	runs          map[connector.RunID]*run
	used          identifier.Size
	scavengerCPU  identifier.Millicores
	// serving counts the tasks that serve; serveCPU is what they reserve.
	serving  int
	serveCPU identifier.Millicores
	// servingByImage and scavengersBy count the runs of each image.
	servingByImage    map[identifier.Image]int
	scavengersByImage map[identifier.Image]int
	// servingList has the images of servingBy; slacksLeft is what is left to each of them,
	// nil until it is asked for.
	servingList []servingImage
	slacksLeft  []estimator.Slack
	holding     bool
	nextPoll    time.Time
	missedPolls int
	// failures counts failed runs in a row, over all jobs.
	failures         int
	quarantinedUntil time.Time
	// stalls are those which an earlier holder stored, until the runs are restored.
	stalls   []Stall
	departed []departure
	// baseSlacks are the slacks without scavengers, by image; scavengerShares is what
	// the scavengers were promised, by image.
	baseSlacks      map[identifier.Image]estimator.Slack
	scavengerShares estimator.Load
	// slack is the least that was last seen.
	slack estimator.Slack
	// leavesAt is until when a draining worker stays at least, by what it last told.
	leavesAt time.Time
	// sufferingSince is since when a tail is above its target; quietUntil keeps
	// scavengers away.
	sufferingSince time.Time
	// suffering is set while that is noted.
	suffering  bool
	quietUntil time.Time
}

func (w *worker) target() connector.WorkerTarget {
	return connector.WorkerTarget{ID: w.id, Address: w.entry.Address}
}

// epochOf returns the epoch of the next order to a worker.
func (p *Planner) epochOf(w *worker) identifier.Epoch {
	return p.epoch<<sequenceBits | identifier.Epoch(w.sequence)
}

func (p *Planner) workerOf(id identifier.Worker) *worker {
	w, ok := p.workers[id]
	if !ok {
		w = &worker{
			id: id, runs: map[connector.RunID]*run{}, leaseEnd: p.leases.InheritedExpiry(id, p.now), sequence: p.sequenceFloor + 1,
			servingByImage: map[identifier.Image]int{}, scavengersByImage: map[identifier.Image]int{},
			scavengerShares: estimator.Load{}, baseSlacks: map[identifier.Image]estimator.Slack{}, slack: ampleSlack,
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

// forgetWorker removes a worker that has certainly nothing to do any more. Its epoch
// is remembered.
func (p *Planner) forgetWorker(w *worker) {
	p.sequenceFloor = max(p.sequenceFloor, w.sequence)
	p.leases.Forget(w.id)
	p.healths.forget(w.id)
	delete(p.workers, w.id)
	last := p.workerList[len(p.workerList)-1]
	p.workerList[w.index], last.index = last, w.index
	p.workerList = p.workerList[:len(p.workerList)-1]
	delete(p.unpolled, w)
	delete(p.suspects, w)
}

// leaseUntil returns the worker's time up to which an order sent now extends
// the lease, and remembers when that is over for certain.
func (p *Planner) leaseUntil(w *worker) connector.WorkerClock {
	until := w.clock + connector.WorkerClock(p.now.Sub(w.clockAt)+p.settings.Lease)
	span := time.Duration(float64(time.Duration(until-w.clock)) / (1 - maxClockDrift))
	if end := w.clockAt.Add(span); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
	w.renewAsked, w.leaseAsked = p.now, max(w.leaseAsked, until)
	return until
}

// suspendLease ends the renewal of a worker's lease, which runs out unless it is heard from.
func (p *Planner) suspendLease(w *worker) { p.leases.Suspend(w.id, w.leaseEnd, w.heardAt) }

// noteUnknownLease notes that a worker has runs under a lease which was not given here, or
// which began later than was known: an order was carried out late, or by a later life of the
// worker. They go on for the longest lease at most unless the worker is heard from.
func (p *Planner) noteUnknownLease(w *worker) {
	w.leaseEnd = later(w.leaseEnd, p.now.Add(time.Duration(float64(p.settings.MaxLease)/(1-maxClockDrift))))
	p.leases.RecordExtension(w.id, w.leaseEnd)
}

// recordRenewal notes that an order which renews the lease was answered.
func (w *worker) recordRenewal(a connector.OrderAnswer, now time.Time) {
	w.renewed, w.renewedThrough = now, a.Via
}

// renewalOf returns what is known of the renewals of a worker's lease.
func (p *Planner) renewalOf(w *worker) Renewal {
	return Renewal{
		SentAgo: p.sinceOrNever(w.renewAsked), AnsweredAgo: p.sinceOrNever(w.renewed), Through: w.renewedThrough,
		LeaseLeft: w.leaseEnd.Sub(p.now), MissedPolls: w.missedPolls,
	}
}

// CellClock returns the clock that the holders of the cell share.
func (p *Planner) CellClock() renewer.Time { return p.leases.Clock() }

// silenceOf says for how long a worker has not been heard from, by this holder or an earlier
// one.
func (p *Planner) silenceOf(w *worker) renewer.Silence {
	return p.leases.Silence(w.id, w.heardAt, p.now)
}

// sinceOrNever returns how long ago a moment was, or a negative duration for the zero
// time.
func (p *Planner) sinceOrNever(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return p.now.Sub(at)
}

func (w *worker) recordAnswer(now time.Time, clock connector.WorkerClock) {
	w.heardAt = now
	w.missedPolls = 0
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// reserve counts a run's room as taken.
func (p *Planner) reserve(w *worker, r *run) {
	p.countImage(w, r.task.group.step, 1)
	w.runs[r.id] = r
	r.worker = w
	w.adjustUsage(r, 1)
}

// free gives a run's room back.
func (p *Planner) free(w *worker, r *run) {
	if _, ok := w.runs[r.id]; !ok {
		return
	}
	p.countImage(w, r.task.group.step, -1)
	delete(w.runs, r.id)
	w.adjustUsage(r, -1)
}

func (w *worker) adjustUsage(r *run, sign int64) {
	size := r.size
	if r.task.group.step.Scavenger {
		w.scavengerCPU += identifier.Millicores(sign) * size.Processors
		w.addShare(r.task.group.step.Image, float64(sign)*fraction(size.Processors, w.entry.Capacity.Processors))
		size.Processors = 0
	}
	if r.task.group.step.Serves() {
		w.serving += int(sign)
		w.serveCPU += identifier.Millicores(sign) * size.Processors
	}
	if sign > 0 {
		w.used = w.used.Add(size)
		return
	}
	w.used = w.used.Sub(size)
}

// addShare changes what the scavengers of an image were promised.
func (w *worker) addShare(image identifier.Image, by float64) {
	w.slacksLeft = nil
	if w.scavengersByImage[image] == 0 {
		delete(w.scavengerShares, image)
		return
	}
	w.scavengerShares[image] = max(w.scavengerShares[image]+by, 0)
}

// room returns what is left for reservations.
func (w *worker) room() identifier.Size { return w.entry.Capacity.Sub(w.used) }

// servingUse is the usual part of its processors that a task that serves uses.
const servingUse = 0.5

// spare returns the processors that are expected to be left unused.
func (w *worker) spare() identifier.Millicores {
	idle := identifier.Millicores((1 - servingUse) * float64(w.serveCPU))
	return w.entry.Capacity.Processors - w.used.Processors - w.scavengerCPU + idle
}

// spareFor returns the processors that a scavenger may be promised. One that may be placed
// beyond those to spare may be promised each that is not reserved a second time.
func (w *worker) spareFor(d demand) identifier.Millicores {
	if d.overcommit {
		return w.spare() + w.room().Processors
	}
	return w.spare()
}

// obstacleAt says what keeps all new runs from a worker, if anything does.
func (p *Planner) obstacleAt(w *worker) obstacle {
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
	default:
		return obstacleNone
	}
}

// usable reports whether new runs may be sent to a worker.
func (p *Planner) usable(w *worker) bool { return p.obstacleAt(w) == obstacleNone }

func (p *Planner) updateDirectory(d connector.Directory) {
	p.directory = d
	for _, j := range p.jobs {
		if q, ok := d.Queues[j.def.Queue]; ok {
			j.queue = q
		}
	}
	if d.WorkersReadAt.IsZero() {
		return
	}
	for id, entry := range d.Workers {
		if p.owns(id) {
			p.workerListed(id, entry)
		}
	}
	p.forgetHealths()
	for id, w := range p.workers {
		if _, ok := d.Workers[id]; !ok {
			w.listed = false
			p.suspects[w] = struct{}{}
			p.suspendLease(w)
		}
	}
}

// owns reports whether a worker belongs to the planner's cell.
func (p *Planner) owns(id identifier.Worker) bool {
	return p.settings.Cells <= 1 || identifier.CellOf(identifier.Job(id), p.settings.Cells) == p.settings.Cell
}

func (p *Planner) workerListed(id identifier.Worker, entry connector.WorkerEntry) {
	w := p.workerOf(id)
	if w.listed && !w.entry.Draining && entry.Draining {
		p.log.WorkerChanged(id, "draining")
	}
	if entry.Draining && (!w.entry.Draining || notice(entry) != notice(w.entry)) {
		w.leavesAt = p.now.Add(notice(entry))
	}
	if !w.listed {
		w.nextPoll = p.now
		p.log.WorkerChanged(id, "listed")
	}
	if w.listed && w.entry.Unreadable != entry.Unreadable {
		p.log.WorkerChanged(id, readability(entry))
	}
	w.entry, w.listed = entry, true
}

func readability(e connector.WorkerEntry) string {
	if e.Unreadable {
		return "entry cannot be read"
	}
	return "entry can be read again"
}
