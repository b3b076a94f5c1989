package planner

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// placeTasks claims workers for ready tasks, job by job in the order of service, see servedBefore.
// It places nothing while the directory is stale, and stops at the limit of unsent claims.
func (p *Planner) placeTasks() {
	p.nearWaits = 0
	if len(p.waiting) == 0 {
		p.noteDemand()
		return
	}
	if !p.directoryFresh() {
		p.logWaits()
		return
	}
	cache := p.beginPass()
	p.updateHeadrooms()
	for _, j := range p.waitingJobsInOrder() {
		if p.claimLimitReached() {
			p.logWaits()
			return
		}
		for _, groups := range j.occurrences {
			for _, g := range groups {
				p.placeGroup(g, cache)
				p.askAdvice(g)
				p.logGroupWait(g)
			}
		}
	}
}

// directoryFresh reports whether the directory is recent enough to start tasks: a drain or an
// evacuation may have been published since it was read.
func (p *Planner) directoryFresh() bool {
	return p.now.Sub(p.directory.ConfigReadAt) <= p.settings.MaxDirectoryAge &&
		p.now.Sub(p.directory.WorkersReadAt) <= p.settings.MaxDirectoryAge
}

// placeGroup claims workers for the ready tasks of a group. Tasks with the same demand share a set
// of candidates.
func (p *Planner) placeGroup(g *taskGroup, cache *placementCache) {
	g.nearWaits = 0
	if g.readyTasks == 0 {
		return
	}
	if g.step.Gang {
		p.placeGang(g)
		return
	}
	patience := p.patience(g)
	var set *candidateSet
	var lastDemand demand
	noFit := false
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.phase != taskReady || p.now.Before(t.notBefore) {
			continue
		}
		if p.claimLimitReached() || !p.quotaAdmits(g.job, g.step.Size, 1) {
			return
		}
		// While a demand stays the same, a lack of room for it lasts until the end of the pass.
		if d := p.demandOf(t, patience); d != lastDemand || !noFit {
			lastDemand, noFit = d, cache.excludes(p.now, d, g.step.Size)
			if noFit {
				p.shortages.add(t)
			}
		}
		if noFit {
			continue
		}
		if set == nil || set.demand != lastDemand {
			set = p.newCandidateSet(t, lastDemand)
		}
		p.claimIfFound(t, p.bestCandidate(t, set), lastDemand, cache)
	}
}

const (
	// retryPerCheck, times the number of workers and of demands without room, gives the time after
	// which scavengers that found no room are tried again. To check one worker takes about half a
	// microsecond, a sixth of this, and scavengers run for seconds.
	retryPerCheck = 3 * time.Microsecond
	// maxRetryAfter bounds that time.
	maxRetryAfter = 500 * time.Millisecond
)

// placementCache spares most tasks a search of the workers under overload. It remembers for which
// sizes no room was found, and the most room that any worker had when the pass began.
type placementCache struct {
	// usable are the workers to which new runs may be sent.
	usable  []*worker
	noFit   map[demand][]noFitEntry
	maxRoom map[identifier.Service]serviceRoom
	// capacity is the total of the usable workers.
	capacity identifier.Size
	// retryAfter is for how long a size without room is not tried again for scavengers. Other tasks
	// are tried again in the next pass.
	retryAfter time.Duration
}

// noFitEntry is a size for which there was no room, and until when it is not tried again.
type noFitEntry struct {
	size  identifier.Size
	until time.Time
}

// serviceRoom is the largest amount of each resource that any usable worker of a service has free,
// and of processors that any has to spare for scavengers.
type serviceRoom struct {
	room  identifier.Size
	spare identifier.Millicores
}

// beginPass prepares the placement cache for a pass and returns it.
func (p *Planner) beginPass() *placementCache {
	p.shortages.beginPass()
	clear(p.rackForecasts)
	cache := &p.placementCache
	if cache.noFit == nil {
		cache.noFit = map[demand][]noFitEntry{}
	}
	for d, list := range cache.noFit {
		if list = slices.DeleteFunc(list, func(s noFitEntry) bool { return !p.now.Before(s.until) }); len(list) == 0 {
			delete(cache.noFit, d)
			continue
		}
		cache.noFit[d] = list
	}
	cache.retryAfter = min(time.Duration(len(p.workers)*(len(cache.noFit)+1))*retryPerCheck, maxRetryAfter)
	cache.maxRoom = map[identifier.Service]serviceRoom{}
	cache.usable, cache.capacity = cache.usable[:0], identifier.Size{}
	for _, w := range p.workerList {
		if !p.usable(w) {
			continue
		}
		cache.usable = append(cache.usable, w)
		cache.capacity = cache.capacity.Add(w.entry.Capacity)
		m := cache.maxRoom[w.entry.Service]
		m.room = m.room.Max(w.room())
		m.spare = max(m.spare, w.spare())
		cache.maxRoom[w.entry.Service] = m
	}
	return cache
}

// addNoFit records that there was no room for a size.
func (c *placementCache) addNoFit(now time.Time, d demand, size identifier.Size) {
	until := now
	if d.kind == loadScavenger {
		until = now.Add(c.retryAfter)
	}
	c.noFit[d] = append(c.noFit[d], noFitEntry{size, until})
}

// excludes reports whether there is certainly no room for a size, or was none when it was last
// tried, within retryAfter.
func (c *placementCache) excludes(now time.Time, d demand, size identifier.Size) bool {
	for _, s := range c.noFit[d] {
		if s.size.Fits(size) && !now.After(s.until) {
			return true
		}
	}
	largest := c.maxRoom[d.service]
	if d.kind == loadScavenger {
		if !d.overcommit && largest.spare < size.Processors {
			return true
		}
		size.Processors = 0
	}
	return !size.Fits(largest.room)
}

// demand identifies tasks that compete for the same room. Scavengers of different images may be
// ruled out on different workers.
type demand struct {
	service identifier.Service
	kind    loadKind
	image   identifier.Image
	// patient is set while a scavenger only accepts workers on which it hardly disturbs serving
	// tasks, urgent once it has waited so long that it accepts any disturbance.
	patient, urgent bool
	// starved is set for a scavenger whose job has had nothing running for starvedAfter although
	// ample room is free. It is placed beside any serving tasks.
	starved bool
	// overcommit is set for a starved scavenger whose job has had nothing running for
	// overcommitAfter. It may be promised processors that are promised to other scavengers already.
	overcommit bool
	// longRunning is set for a long-running task, which leaves room to tasks that run to
	// completion.
	longRunning bool
	// restart is set for a serving or long-running task that has run before. It may use room that
	// is kept free for others, so that its outage is short.
	restart bool
	// neglected is set for a serving task whose job has had nothing running for maxWithheld. No room
	// is withheld from it.
	neglected bool
}

// starvedAfter is how long a job of scavengers may have nothing running beside ample room while it
// waits for workers on which it disturbs no serving task. There may never be any, and a scavenger
// that does disturb is slowed down. It is a third of the 3 s after which a job that could run
// counts as neglected.
const starvedAfter = time.Second

// overcommitAfter is how long a job of scavengers may have nothing running beside ample room while
// the spare processors are promised to others. It leaves a third of the 3 s after which a job that
// could run counts as neglected to its claim and its start.
const overcommitAfter = 2 * time.Second

// demandOf returns the demand of a task; patience is that of its group.
func (p *Planner) demandOf(t *task, patience time.Duration) demand {
	d := demand{service: t.group.job.queue.Service, kind: loadKindOf(t.group.step), longRunning: t.group.step.LongRunning}
	d.restart = t.begun && (d.longRunning || d.kind == loadServing)
	d.neglected = d.kind == loadServing && t.group.job.runCount == 0 && p.now.Sub(t.readyAt) >= maxWithheld
	if d.kind == loadScavenger {
		waited := p.now.Sub(t.readyAt)
		d.image = t.group.step.Image
		d.patient, d.urgent = waited < patience, waited >= urgentWait
		d.starved = t.group.job.runCount == 0 && waited >= starvedAfter && p.hasAmpleRoom(d.service)
		d.overcommit = d.starved && p.now.Sub(later(t.readyAt, t.group.job.idleSince)) >= overcommitAfter && !p.contention[d.service].contended()
	}
	return d
}

// loadKind classifies tasks by how they share a worker with others.
type loadKind int

const (
	// loadPlain reserves all the resources that it asks for.
	loadPlain loadKind = iota
	// loadServing reserves them too, and has a target for its tail latency.
	loadServing
	// loadScavenger reserves no processors and uses those that others leave idle.
	loadScavenger
)

// loadKindOf returns how the tasks of a step share a worker. Only those with a target for their
// tail latency serve; other long-running tasks are plain.
func loadKindOf(s *submitter.Step) loadKind {
	switch {
	case s.Scavenger:
		return loadScavenger
	case s.Serves():
		return loadServing
	default:
		return loadPlain
	}
}

// claimIfFound claims worker w for a task unless waiting for the rack of its data pays, or records that
// there was no room if w is nil.
func (p *Planner) claimIfFound(t *task, w *worker, d demand, cache *placementCache) {
	step := t.group.step
	if w == nil {
		p.shortages.add(t)
		if step.Label == "" && step.MaxPerWorker == 0 && !t.group.job.queue.Advised {
			cache.addNoFit(p.now, d, step.Size)
		}
		return
	}
	if p.waitsForDataRack(t, w) {
		t.group.nearWaits++
		p.nearWaits++
		return
	}
	if t.group.job.hasRecordRoom(w.id, 1) {
		p.claim(t, w, t.attempt+1)
	}
}

// bestWorker returns the worker with the highest score for a task, or nil if none has room. It
// examines all workers; most tasks are placed by means of a candidateSet instead.
func (p *Planner) bestWorker(t *task, d demand) *worker {
	var best *worker
	var bestScore float64
	isolationNeed := 0.0
	if d.kind == loadScavenger {
		isolationNeed = p.isolationNeed(t.group.step.Image)
	}
	for _, w := range p.workerList {
		if p.placementObstacle(t, w, d) != obstacleNone {
			continue
		}
		s := p.score(t.group.step, w, d.kind, isolationNeed)
		if t.failedOn == w.id {
			s += weightFailedHere
		}
		if best == nil || s > bestScore || (s == bestScore && w.id < best.id) {
			best, bestScore = w, s
		}
	}
	return best
}

// placementObstacle returns what keeps a task from running on a worker now, if anything.
func (p *Planner) placementObstacle(t *task, w *worker, d demand) obstacle {
	if w.entry.Service != d.service {
		return obstacleService
	}
	if o := p.workerObstacle(w); o != obstacleNone {
		return o
	}
	return p.taskObstacle(t, w, d)
}

// taskObstacle returns what keeps a task from running on a usable worker of its service now, if
// anything.
func (p *Planner) taskObstacle(t *task, w *worker, d demand) obstacle {
	step := t.group.step
	size := step.Size
	if o := p.restartObstacle(w, step, w.used.Add(size)); o != obstacleNone {
		return o
	}
	if d.kind == loadScavenger {
		if w.spareFor(d) < size.Processors {
			return obstacleSpare
		}
		size.Processors = 0
	}
	switch {
	case !size.Fits(w.room()):
		return obstacleRoom
	case d.longRunning && !d.restart:
		if o := p.withheldRoom(t, w, d); o != obstacleNone {
			return o
		}
	}
	switch {
	case step.Label != "" && !slices.Contains(w.entry.Labels, step.Label):
		return obstacleLabel
	case step.MaxPerWorker > 0 && p.groupRunsOn(t.group, w) >= step.MaxPerWorker:
		return obstacleSpread
	}
	if d.kind == loadScavenger {
		if o := p.interferenceObstacle(w, step, d); o != obstacleNone {
			return o
		}
	}
	return p.adviceObstacle(t.group, w)
}

// withheldRoom returns for whom the room of a worker is kept that a long-running task may not take for
// its first run, if for anyone.
func (p *Planner) withheldRoom(t *task, w *worker, d demand) obstacle {
	switch {
	case p.shortages.withholds(t, w):
		return obstacleShortage
	case d.kind == loadServing && !d.neglected && p.withholdsFrom(w, t.group.step.Size):
		return obstacleHeadroom
	default:
		return obstacleNone
	}
}

// adviceObstacle returns what keeps a step of an advised queue off a worker: the adviser has ruled
// the worker out, or has granted no permit for it yet. Steps of other queues need no permit.
func (p *Planner) adviceObstacle(g *taskGroup, w *worker) obstacle {
	if !g.job.queue.Advised {
		return obstacleNone
	}
	switch _, granted, known := p.permitted(g, w); {
	case granted:
		return obstacleNone
	case known:
		return obstacleAdvice
	default:
		return obstaclePermit
	}
}

// groupRunsOn counts the runs of a group on a worker.
func (p *Planner) groupRunsOn(g *taskGroup, w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.group == g {
			n++
		}
	}
	return n
}

// The weights of a worker's score. The unit is all processors of the worker: a weight of 0.5 counts
// as much as half of them being spare.
const (
	weightDataRack       = 4    // the worker is in the rack of the task's data
	weightFailedHere     = -8   // the task last failed on the worker
	weightFirstImage     = -1.5 // would be the first serving image on the worker
	weightSecondImage    = -3   // would be the second serving image
	weightNewOnMixed     = -1   // would join several serving images
	weightSameOnMixed    = 0.3  // is one of several serving images
	weightDisturbed      = -0.8 // per slack that scavengers take from the serving task
	weightSlack          = 0.5  // per slack that the scavenger would leave to the serving tasks
	weightNoServing      = -1   // no serving tasks on the worker
	weightOtherScavenger = -0.3 // per other scavenger image on the worker
	weightFailures       = -4   // the last run on the worker failed
	weightTailTooLong    = -8   // the tail latency of a serving task is too long
)

// score returns how suitable a worker is for a task that may run there. isolationNeed tells, from 0
// to 1, how much a scavenger needs workers without serving tasks. Serving tasks are packed by
// image, since each image is disturbed by other scavengers; other tasks are spread over the workers
// with the most spare processors.
func (p *Planner) score(step *submitter.Step, w *worker, kind loadKind, isolationNeed float64) float64 {
	spare := fraction(w.spare(), w.entry.Capacity.Processors)
	s := 0.0
	switch kind {
	case loadServing:
		s -= fraction(w.room().Processors, w.entry.Capacity.Processors)
		s += imageAffinity(w.servingByImage, step.Image)
		s += weightDisturbed * p.expectedLoss(w, step.Image)
	case loadPlain:
		s += spare
		if w.serving == 0 {
			s += weightNoServing
		}
	case loadScavenger:
		s += spare
		if w.serving == 0 {
			s += weightNoServing * (1 - isolationNeed)
		} else {
			s += weightSlack * float64(p.expectedSlack(w, step.Image, fraction(step.Size.Processors, w.entry.Capacity.Processors)))
			s += weightOtherScavenger * float64(countOthers(w.scavengersByImage, step.Image))
		}
	}
	if step.DataRack != "" && w.entry.Rack == step.DataRack {
		s += weightDataRack
	}
	if w.failures > 0 {
		s += weightFailures
	}
	if kind == loadScavenger && p.tailsHigh(w) {
		s += weightTailTooLong
	}
	return s
}

// imageAffinity returns how well a serving image goes with those already on a worker. Most
// scavengers disturb at least one of several images, so that few workers should have more than one.
func imageAffinity(images map[identifier.Image]int, image identifier.Image) float64 {
	switch _, has := images[image]; {
	case len(images) == 0:
		return weightFirstImage
	case has && len(images) > 1:
		return weightSameOnMixed
	case has:
		return 0
	case len(images) > 1:
		return weightNewOnMixed
	default:
		return weightSecondImage
	}
}

func fraction[N ~int | ~int64](part, whole N) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// placeGang claims workers for all tasks of a gang at once, or for none. All members continue with
// the same attempt number and from the same checkpoint, the newest that any of them has saved.
func (p *Planner) placeGang(g *taskGroup) {
	if g.readyTasks < len(g.tasks) || p.now.Before(g.retryGangAt) || !p.quotaAdmits(g.job, g.step.Size, len(g.tasks)) {
		return
	}
	attempt := identifier.Attempt(0)
	var saved identifier.Checkpoint
	for i := range g.tasks {
		if p.now.Before(g.tasks[i].notBefore) {
			return
		}
		attempt = max(attempt, g.tasks[i].attempt)
		if c := g.tasks[i].checkpoint; c > saved {
			saved = c
		}
	}
	runs := p.reserveGang(g, attempt+1)
	if runs == nil {
		g.retryGangAt = p.now.Add(min(time.Duration(len(g.tasks)*len(p.workers))*retryPerCheck, maxRetryAfter))
		return
	}
	for _, r := range runs {
		r.task.checkpoint = saved
		p.commitClaim(r)
	}
}

// reserveGang reserves room for a run of all members of a gang and returns these, or nil if there is no room
// for some. Nothing else changes, so that a gang goes on waiting as if it had not been tried.
func (p *Planner) reserveGang(g *taskGroup, attempt identifier.Attempt) []*run {
	d := p.demandOf(g.firstReady(), p.patience(g))
	if !p.hasGangRoom(g, d) {
		return nil
	}
	runs := make([]*run, 0, len(g.tasks))
	for i := range g.tasks {
		t := &g.tasks[i]
		w := p.bestWorker(t, d)
		if w == nil || !g.job.hasRecordRoom(w.id, len(g.tasks)) {
			for _, r := range runs {
				p.free(r.worker, r)
			}
			return nil
		}
		r := p.newRun(t, attempt)
		p.reserve(w, r)
		runs = append(runs, r)
	}
	return runs
}

// hasGangRoom reports whether the room of all workers together is enough for a gang, by sizes and limits
// alone. It spares gangs that are far too large a search for each member.
func (p *Planner) hasGangRoom(g *taskGroup, d demand) bool {
	left := len(g.tasks)
	for _, w := range p.workerList {
		if p.placementObstacle(&g.tasks[0], w, d) != obstacleNone {
			continue
		}
		room := w.room()
		if d.kind == loadScavenger {
			room.Processors = w.spareFor(d)
		}
		n := g.step.Size.CopiesIn(room)
		if g.step.MaxPerWorker > 0 {
			n = min(n, g.step.MaxPerWorker)
		}
		if left -= min(n, left); left == 0 {
			return true
		}
	}
	return false
}
