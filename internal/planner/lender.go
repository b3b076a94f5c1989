package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// needInterval is the time between two searches for tasks without room in the cell, and between two
	// requests for the same room.
	needInterval = 500 * time.Millisecond
	// minNeedWait is how long tasks find no room before their cell asks others for workers, and
	// urgentNeedWait after how long lenders keep no reserve for themselves. Tasks that could run count
	// as neglected after 3 s.
	minNeedWait    = time.Second
	urgentNeedWait = 2 * time.Second
	// maxNeeds bounds the requests of one search, and maxGroupsSearched the steps that it looks at.
	maxNeeds          = 8
	maxGroupsSearched = 16
	// maxLentAtOnce bounds the workers lent by one request.
	maxLentAtOnce = 64
	// lendingReserve is the share of its workers of a service that a cell keeps idle for its own tasks.
	lendingReserve = 0.1
	// vacatedFor is how long a worker that is vacated gets no new runs after each request.
	vacatedFor = 2 * needInterval
	// maxIdleSilence is how long ago an idle worker answered last, at most, to be lent. Polls take a
	// second.
	maxIdleSilence = 1500 * time.Millisecond
)

// RoomNeed describes tasks that find no room in their cell.
type RoomNeed struct {
	Service identifier.Service `json:"service"`
	// Label is the label that the workers need, empty if none.
	Label identifier.Label `json:"label,omitempty"`
	// Size is the room that a task needs on a worker.
	Size identifier.Size `json:"size"`
	// Workers is how many idle workers are needed.
	Workers int `json:"workers"`
	// Priority is that of the most urgent queue of the tasks, and Waited how long the first has waited.
	Priority int                 `json:"priority,omitempty"`
	Waited   identifier.Duration `json:"waited"`
}

// urgent reports whether lenders keep no reserve for themselves.
func (n RoomNeed) urgent() bool { return n.Waited.Std() >= urgentNeedWait }

// precedes reports whether a need comes before another one for the same worker.
func (n RoomNeed) precedes(o RoomNeed) bool {
	return cmp.Or(cmp.Compare(n.Priority, o.Priority), cmp.Compare(o.Waited, n.Waited)) < 0
}

// kind returns the need without its extent.
func (n RoomNeed) kind() RoomNeed {
	n.Workers, n.Priority, n.Waited = 0, 0, 0
	return n
}

// tasksOn returns how many of the tasks fit on an idle worker.
func (n RoomNeed) tasksOn(e connector.WorkerEntry) int {
	if e.Service != n.Service || n.Label != "" && !slices.Contains(e.Labels, n.Label) {
		return 0
	}
	return n.Size.CopiesIn(e.Capacity)
}

// lending finds out which tasks need workers of other cells.
type lending struct {
	// needs are the needs found by the last search, at searchedAt.
	needs      []RoomNeed
	searchedAt time.Time
}

// requestRoom asks the other cells for idle workers if tasks have found no room in this one.
func (p *Planner) requestRoom() {
	if p.settings.Cells <= 1 || p.now.Sub(p.lending.searchedAt) < needInterval {
		return
	}
	p.lending.searchedAt = p.now
	p.lending.needs = p.findNeeds()
	others := p.settings.Cells - 1
	for _, n := range p.lending.needs {
		n.Workers = min((n.Workers+others-1)/others, maxLentAtOnce)
		for cell := range identifier.Cell(p.settings.Cells) {
			if cell != p.settings.Cell {
				p.emit(RequestRoom{To: cell, Need: n})
			}
		}
	}
}

// findNeeds returns what tasks that found no room for minNeedWait need of other cells.
func (p *Planner) findNeeds() []RoomNeed {
	if len(p.waiting) == 0 || !p.directoryFresh() || p.claimLimitReached() {
		return nil
	}
	var needs []RoomNeed
	var elsewhere []connector.WorkerEntry
	searched := 0
	for j := range p.waiting {
		for g := range j.groups() {
			t := g.firstReady()
			if t == nil || p.now.Sub(later(t.readyAt, t.notBefore)) < minNeedWait || !p.quotaAdmits(g.job, g.step.Size, g.placedTogether()) {
				continue
			}
			if searched++; searched > maxGroupsSearched || len(needs) >= maxNeeds {
				return needs
			}
			if elsewhere == nil {
				elsewhere = p.listedElsewhere()
			}
			needs = mergeNeed(needs, p.needOf(g, t, elsewhere))
		}
	}
	return needs
}

// mergeNeed adds a need to those of the same kind.
func mergeNeed(needs []RoomNeed, n RoomNeed) []RoomNeed {
	if n.Workers == 0 {
		return needs
	}
	if i := slices.IndexFunc(needs, func(o RoomNeed) bool { return o.kind() == n.kind() }); i >= 0 {
		needs[i].Workers += n.Workers
		needs[i].Priority, needs[i].Waited = min(needs[i].Priority, n.Priority), max(needs[i].Waited, n.Waited)
		return needs
	}
	return append(needs, n)
}

// needOf returns what the ready tasks of a group need of other cells: no workers if some in this cell
// would take one, or if none elsewhere is large enough.
func (p *Planner) needOf(g *taskGroup, t *task, elsewhere []connector.WorkerEntry) RoomNeed {
	d := p.demandOf(t, p.patience(g))
	n := RoomNeed{
		Service: d.service, Label: g.step.Label, Size: g.step.Size,
		Priority: g.job.queue.Priority, Waited: identifier.Duration(p.now.Sub(t.readyAt)),
	}
	missing := g.readyTasks
	for _, w := range p.workerList {
		switch o := p.placementObstacle(t, w, d); {
		case w.listed && w.heardAt.IsZero() && w.missedPolls < maxRenewMisses:
			// It was probably borrowed for these tasks.
			missing -= p.limitSpread(g, n.tasksOn(w.entry))
		case o != obstacleNone && o != obstaclePermit:
		case !g.step.Gang:
			return RoomNeed{}
		default:
			missing -= p.limitSpread(g, n.Size.CopiesIn(w.room()))
		}
	}
	perWorker := 0
	for _, e := range elsewhere {
		perWorker = max(perWorker, n.tasksOn(e))
	}
	if perWorker = p.limitSpread(g, perWorker); perWorker == 0 || missing <= 0 {
		return RoomNeed{}
	}
	n.Workers = (missing + perWorker - 1) / perWorker
	return n
}

// limitSpread bounds a number of tasks by how many of a group may run on one worker.
func (p *Planner) limitSpread(g *taskGroup, tasks int) int {
	if g.step.MaxPerWorker > 0 {
		return min(tasks, g.step.MaxPerWorker)
	}
	return tasks
}

// roomRequested lends idle workers to a cell whose tasks find no room, the smallest that are large
// enough. Those that tasks of this cell wait for are lent only for tasks that come before these. If too
// few are idle, others are vacated.
func (p *Planner) roomRequested(e RoomRequested) {
	if e.From == p.settings.Cell || e.From < 0 || int(e.From) >= p.settings.Cells || e.Need.Workers <= 0 || !p.directoryFresh() {
		return
	}
	idle, busy, spare, usable := p.lendable(e.Need)
	if !e.Need.urgent() {
		spare -= int(lendingReserve * float64(usable))
	}
	wanted := min(e.Need.Workers, maxLentAtOnce)
	n := max(min(wanted, spare, len(idle)), 0)
	slices.SortFunc(idle, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.entry.Capacity.Processors, b.entry.Capacity.Processors), cmp.Compare(a.id, b.id))
	})
	for _, w := range idle[:n] {
		p.transfer(w, e.From)
	}
	if e.Need.urgent() && p.hasAmpleRoom(e.Need.Service) {
		p.vacate(busy, min(wanted-n, max(int(lendingReserve*float64(usable)), 1)))
	}
}

// lendable returns the idle workers that may be lent for a need, and the busy ones that may be vacated for
// it. allIdle and usable count all workers of the service.
func (p *Planner) lendable(n RoomNeed) (idle, busy []*worker, allIdle, usable int) {
	for _, w := range p.workerList {
		if o := p.workerObstacle(w); w.entry.Service != n.Service || o != obstacleNone && o != obstacleVacated {
			continue
		}
		usable++
		isIdle := p.idle(w)
		if isIdle {
			allIdle++
		}
		switch {
		case n.tasksOn(w.entry) == 0, p.needsItself(w, n):
		case isIdle:
			idle = append(idle, w)
		case w.emptiesItself():
			busy = append(busy, w)
		}
	}
	return idle, busy, allIdle, usable
}

// needsItself reports whether tasks of this cell that found no room would fit on a worker, and do not come
// after those of another cell.
func (p *Planner) needsItself(w *worker, other RoomNeed) bool {
	return slices.ContainsFunc(p.lending.needs, func(own RoomNeed) bool {
		if own.tasksOn(w.entry) == 0 {
			return false
		}
		own.Waited += identifier.Duration(p.now.Sub(p.lending.searchedAt))
		return !other.urgent() || !other.precedes(own)
	})
}

// vacate places no new runs on n workers until they are idle or no longer asked for, those first that
// are vacated already, and then those with the fewest runs.
func (p *Planner) vacate(busy []*worker, n int) {
	slices.SortFunc(busy, func(a, b *worker) int {
		return cmp.Or(b.vacatedUntil.Compare(a.vacatedUntil), cmp.Compare(len(a.runs), len(b.runs)), cmp.Compare(a.id, b.id))
	})
	for _, w := range busy[:min(max(n, 0), len(busy))] {
		w.vacatedUntil = p.now.Add(vacatedFor)
	}
}

// emptiesItself reports whether all runs of a worker end by themselves. Claims that were not sent yet
// would have to be withdrawn.
func (w *worker) emptiesItself() bool {
	for _, r := range w.runs {
		if r.phase == runClaimed || r.task.group.step.LongRunning {
			return false
		}
	}
	return true
}

// idle reports whether a usable worker certainly runs nothing and no start for it may be under way, so
// that another cell may hold it. All ends that it has listed are stored.
func (p *Planner) idle(w *worker) bool {
	return len(w.runs) == 0 && !w.listsRuns && !w.unsavedEnds && w.storedEnd == w.lastEnd && w.unreadableEnd == 0 &&
		w.failures == 0 && p.now.Sub(w.polledAt) <= maxIdleSilence && w.base+p.epoch < MaxBase && !w.entryOfOtherIncarnation()
}
