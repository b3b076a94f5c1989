package planner

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// placeTasks claims room for ready tasks, in the order of service.
func (p *Planner) placeTasks() {
	if len(p.waiting) == 0 {
		return
	}
	if !p.directoryFresh() {
		p.logWaits()
		return
	}
	full := p.beginPass()
	for _, j := range p.waitingJobsInOrder() {
		if p.claimLimitReached() {
			p.logWaits()
			return
		}
		for _, groups := range j.occurrences {
			for _, g := range groups {
				p.placeGroup(g, full)
				p.askAdvice(g)
				p.logGroupWait(g)
			}
		}
	}
}

// directoryFresh reports whether the directory is new enough for a start: a drain or an
// evacuation may have been published since.
func (p *Planner) directoryFresh() bool {
	return p.now.Sub(p.directory.ConfigReadAt) <= p.settings.MaxDirectoryAge &&
		p.now.Sub(p.directory.WorkersReadAt) <= p.settings.MaxDirectoryAge
}

func (p *Planner) placeGroup(g *taskGroup, full *placementCache) {
	if g.readyTasks == 0 {
		return
	}
	if g.step.Gang {
		p.placeGang(g)
		return
	}
	patience := p.patience(g)
	var c *candidateSet
	var last demand
	covered := false
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.phase != taskReady || p.now.Before(t.notBefore) {
			continue
		}
		if p.claimLimitReached() {
			return
		}
		if d := p.demandOf(t, patience); d != last || !covered {
			last, covered = d, full.excludes(p.now, d, g.step.Size)
			if covered {
				p.shortages.add(t)
			}
		}
		if covered {
			continue
		}
		if c == nil || c.demand != last {
			c = p.newCandidateSet(t, last)
		}
		p.claimIfFound(t, p.bestCandidate(t, c), last, full)
	}
}

const (
	// retryPerCheck is, by the number of workers and of demands without a place, the time
	// after which places for scavengers are looked for again where there were none: a look
	// at a worker takes about half a microsecond, a sixth of that, and scavengers run for
	// seconds.
	retryPerCheck = 3 * time.Microsecond
	// maxRetryAfter bounds it.
	maxRetryAfter = 500 * time.Millisecond
)

// placementCache remembers sizes for which no room was found, and the most that any worker
// had left when the pass began: under overload most tasks need no look at the workers.
type placementCache struct {
	// usable are the workers that new runs may be sent to.
	usable  []*worker
	noFit   map[demand][]noFitEntry
	maxRoom map[identifier.Service]serviceRoom
	// retryAfter is for how long a size counts as full to scavengers. To other tasks it
	// does for one pass.
	retryAfter time.Duration
}

// noFitEntry is a size for which there was no room, and until when that is believed.
type noFitEntry struct {
	size  identifier.Size
	until time.Time
}

// serviceRoom is the most of each kind that some usable worker of a service has left.
type serviceRoom struct {
	room  identifier.Size
	spare identifier.Millicores
}

// beginPass returns the sizes that are known to be full when a pass begins.
func (p *Planner) beginPass() *placementCache {
	p.shortages.beginPass()
	f := &p.cache
	if f.noFit == nil {
		f.noFit = map[demand][]noFitEntry{}
	}
	for d, list := range f.noFit {
		if list = slices.DeleteFunc(list, func(s noFitEntry) bool { return !p.now.Before(s.until) }); len(list) == 0 {
			delete(f.noFit, d)
			continue
		}
		f.noFit[d] = list
	}
	f.retryAfter = min(time.Duration(len(p.workers)*(len(f.noFit)+1))*retryPerCheck, maxRetryAfter)
	f.maxRoom = map[identifier.Service]serviceRoom{}
	f.usable = f.usable[:0]
	for _, w := range p.workerList {
		if !p.usable(w) {
			continue
		}
		f.usable = append(f.usable, w)
		m := f.maxRoom[w.entry.Service]
		m.room = m.room.Max(w.room())
		m.spare = max(m.spare, w.spare())
		f.maxRoom[w.entry.Service] = m
	}
	return f
}

func (f *placementCache) addNoFit(now time.Time, d demand, size identifier.Size) {
	until := now
	if d.kind == loadScavenger {
		until = now.Add(f.retryAfter)
	}
	f.noFit[d] = append(f.noFit[d], noFitEntry{size, until})
}

func (f *placementCache) excludes(now time.Time, d demand, size identifier.Size) bool {
	for _, s := range f.noFit[d] {
		if s.size.Fits(size) && !now.After(s.until) {
			return true
		}
	}
	most := f.maxRoom[d.service]
	if d.kind == loadScavenger {
		if !d.overcommit && most.spare < size.Processors {
			return true
		}
		size.Processors = 0
	}
	return !size.Fits(most.room)
}

// demand tells apart tasks that compete for the same room. Scavengers of
// different images may be kept from different workers.
type demand struct {
	service identifier.Service
	kind    loadKind
	image   identifier.Image
	// patient is set while a scavenger waits for a place where it harms nobody, and
	// urgent once it has waited so long that any place does.
	patient, urgent bool
	// starved is set for a scavenger of a job of which nothing has run for loneWait although
	// much room is free: it is placed beside any tasks that serve.
	starved bool
	// overcommit is set for a lone scavenger that may be placed where the processors to spare are
	// promised to others, since nothing of its job has run for beyondWait.
	overcommit bool
	// longRunning is set for a task that lasts, which leaves room to those that end.
	longRunning bool
	// restart is set for a task that serves or lasts and has run before, which may use the room
	// that is left free for others, so that it is back in service soon.
	restart bool
}

// starvedAfter is how long a job of scavengers may have nothing running beside much free room
// while it waits for a place where it harms nobody, which may never come: where it does harm
// it is slowed down. It is a third of the 3 s after which a job that could run counts as
// left out.
const starvedAfter = time.Second

// overcommitAfter is how long a job of scavengers may have nothing running beside much free room
// while others are promised the processors to spare. It leaves a third of the 3 s after which
// a job that could run counts as left out to its claim and its start.
const overcommitAfter = 2 * time.Second

// demandOf returns the demand of a task; patience is that of its group.
func (p *Planner) demandOf(t *task, patience time.Duration) demand {
	d := demand{service: t.group.job.queue.Service, kind: loadKindOf(t.group.step), longRunning: t.group.step.LongRunning}
	d.restart = t.attempt > 0 && (d.longRunning || d.kind == loadServing)
	if d.kind == loadScavenger {
		waited := p.now.Sub(t.readyAt)
		d.image = t.group.step.Image
		d.patient, d.urgent = waited < patience, waited >= urgentWait
		d.starved = t.group.job.runCount == 0 && waited >= starvedAfter && p.hasAmpleRoom(d.service)
		d.overcommit = d.starved && p.now.Sub(later(t.readyAt, t.group.job.idleSince)) >= overcommitAfter && !p.contention[d.service].contended()
	}
	return d
}

// loadKind tells apart tasks by how they share a worker.
type loadKind int

const (
	loadPlain loadKind = iota
	loadServing
	loadScavenger
)

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

// claimIfFound claims a worker for a task, or notes that none was found.
func (p *Planner) claimIfFound(t *task, w *worker, d demand, full *placementCache) {
	step := t.group.step
	if w == nil {
		p.shortages.add(t)
		if step.Label == "" && step.MaxPerWorker == 0 && !t.group.job.queue.Advised {
			full.addNoFit(p.now, d, step.Size)
		}
		return
	}
	p.claim(t, w, t.attempt+1)
}

// bestWorker returns the best worker with room for a task, or nil.
func (p *Planner) bestWorker(t *task, d demand) *worker {
	var best *worker
	var bestScore float64
	quiet := 0.0
	if d.kind == loadScavenger {
		quiet = p.isolationNeed(t.group.step.Image)
	}
	for _, w := range p.workerList {
		if p.placementObstacle(t, w, d) != obstacleNone {
			continue
		}
		s := p.score(t.group.step, w, d.kind, quiet)
		if t.failedOn == w.id {
			s += weightFailedHere
		}
		if best == nil || s > bestScore || (s == bestScore && w.id < best.id) {
			best, bestScore = w, s
		}
	}
	return best
}

// placementObstacle says what keeps a task from a worker now, if anything does.
func (p *Planner) placementObstacle(t *task, w *worker, d demand) obstacle {
	if w.entry.Service != d.service {
		return obstacleService
	}
	if o := p.obstacleAt(w); o != obstacleNone {
		return o
	}
	return p.taskObstacle(t, w, d)
}

// taskObstacle says what keeps a task from a usable worker of its service.
func (p *Planner) taskObstacle(t *task, w *worker, d demand) obstacle {
	step := t.group.step
	size := step.Size
	switch {
	case d.kind == loadScavenger:
		if w.spareFor(d) < size.Processors {
			return obstacleSpare
		}
		size.Processors = 0
	case d.kind == loadServing && !d.restart:
		size.Processors += identifier.Millicores(servingHeadroom * float64(w.entry.Capacity.Processors))
	}
	switch {
	case !size.Fits(w.room()):
		return obstacleRoom
	case d.longRunning && !d.restart && p.shortages.claims(t, w):
		return obstacleShortage
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

// adviceObstacle says whether the adviser keeps a step of an advised queue from a
// worker.
func (p *Planner) adviceObstacle(g *taskGroup, w *worker) obstacle {
	if !g.job.queue.Advised {
		return obstacleNone
	}
	switch _, good, known := p.permitted(g, w); {
	case good:
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

// servingHeadroom is the part of a worker's processors that tasks which last
// leave to those that come and go. A task that has run before may use it, so
// that it is back in service soon.
const servingHeadroom = 0.06

// The weights of a place, in shares of a worker's processors.
const (
	weightDataRack       = 4
	weightFailedHere     = -8
	weightFirstImage     = -1.5
	weightSecondImage    = -3
	weightNewOnMixed     = -1
	weightSameOnMixed    = 0.3
	weightDisturbed      = -0.8
	weightSlack          = 0.5
	weightNoServing      = -1
	weightOtherScavenger = -0.3
	weightFailures       = -4
	weightTailTooLong    = -8
)

// score returns how good a worker is for a task that may run there; quiet is how
// much a scavenger needs workers without tasks that serve. Tasks that
// serve are packed by their images, since each image is disturbed by other
// scavengers; others are spread over the workers with the most processors to spare.
func (p *Planner) score(step *submitter.Step, w *worker, kind loadKind, quiet float64) float64 {
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
			s += weightNoServing * (1 - quiet)
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

// imageAffinity returns how well an image that serves goes with those that serve on
// a worker already. A worker with several images is of little use to scavengers,
// most of which harm one or the other, so that few workers are to have several.
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

// placeGang claims room for all tasks of a gang at once, or for none.
func (p *Planner) placeGang(g *taskGroup) {
	if g.readyTasks < len(g.tasks) {
		return
	}
	attempt := identifier.Attempt(0)
	var saved identifier.Checkpoint
	for i := range g.tasks {
		attempt = max(attempt, g.tasks[i].attempt)
		if c := g.tasks[i].checkpoint; c > saved {
			saved = c
		}
	}
	d := p.demandOf(&g.tasks[0], p.patience(g))
	claimed := make([]*run, 0, len(g.tasks))
	for i := range g.tasks {
		t := &g.tasks[i]
		w := p.bestWorker(t, d)
		if w == nil {
			for _, r := range claimed {
				p.releaseClaim(r)
			}
			return
		}
		t.checkpoint = saved
		claimed = append(claimed, p.claim(t, w, attempt+1))
	}
}
