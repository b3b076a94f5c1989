package planner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// fate is what becomes of a message or an append.
type fate int

const (
	// delivered means that it takes effect and is answered.
	delivered fate = iota
	// unanswered means that it takes effect and the answer is lost.
	unanswered
	// lost means that it never takes effect.
	lost
	// delayed means that it takes effect a while later, and the answer is lost.
	delayed
	// slow means that it takes effect and is answered a while later.
	slow
	// holderCrashes and holderCrashesAfter mean that the holder ends before or after it takes effect.
	holderCrashes
	holderCrashesAfter
)

// lentWorker is a worker that runs what it is told to under a lease, and refuses orders of lower epochs
// than it has seen.
type lentWorker struct {
	entry    connector.WorkerEntry
	born     time.Time
	epoch    identifier.Epoch
	deadline connector.WorkerClock
	active   []connector.ActiveRun
	// startedAt has the start of each run; it is kept only for runs that end by themselves.
	startedAt []time.Time
	ended     []connector.EndedRun
	gone      bool
}

// endOlder ends the runs that were started before a time.
func (w *lentWorker) endOlder(than time.Time) {
	for len(w.active) > 0 && w.startedAt[0].Before(than) {
		w.ended = append(w.ended, connector.EndedRun{Number: identifier.EndNumber(len(w.ended) + 1), Run: w.active[0].Run, Reason: connector.EndDone})
		w.active, w.startedAt = w.active[1:], w.startedAt[1:]
	}
}

// lendingCell is what is stored of a cell, and its holder.
type lendingCell struct {
	epoch  identifier.Epoch
	leases renewer.State
	titles map[identifier.Worker]Title
	jobs   []JobSubmitted
	cancel map[identifier.Job]bool
	saved  map[identifier.Job]JobRecord
	inbox  map[string]WorkerGranted
	p      *Planner
}

// lendingBed plays cells that lend workers to each other, without a network or a store.
type lendingBed struct {
	fail    func(format string, args ...any)
	now     time.Time
	cells   []*lendingCell
	workers map[identifier.Worker]*lentWorker
	fate    func(what string) fate
	pending []lateEffect
	// granted are all grants that were ever sent, by cell.
	granted map[identifier.Cell][]WorkerGranted
	version identifier.ConfigVersion
	evac    map[identifier.DataCentre]bool
}

type lateEffect struct {
	at     time.Time
	effect func()
}

// newLendingBed returns a bed with some cells of perCell workers each, which take one task of wholeSize.
func newLendingBed(cells, perCell int, fail func(string, ...any)) *lendingBed {
	b := &lendingBed{
		fail: fail, now: time.UnixMilli(1_000_000), workers: map[identifier.Worker]*lentWorker{}, version: 1,
		fate: func(string) fate { return delivered }, evac: map[identifier.DataCentre]bool{}, granted: map[identifier.Cell][]WorkerGranted{},
	}
	for cell := range cells {
		b.cells = append(b.cells, &lendingCell{
			titles: map[identifier.Worker]Title{}, saved: map[identifier.Job]JobRecord{}, inbox: map[string]WorkerGranted{}, cancel: map[identifier.Job]bool{},
		})
		for i, n := 0, 0; n < perCell; i++ {
			id := identifier.Worker(fmt.Sprintf("w%d-%d", cell, i))
			if identifier.CellOf(identifier.Job(id), cells) != identifier.Cell(cell) {
				continue
			}
			n++
			b.workers[id] = &lentWorker{entry: workerEntry(id), born: b.now}
		}
	}
	for cell := range cells {
		b.takeOver(cell)
	}
	return b
}

var wholeSize = workerEntry("").Capacity

// submit submits a long-running job of tasks that take a worker each.
func (b *lendingBed) submit(cell, tasks int) identifier.Job {
	return b.submitSteps(cell, submitter.Step{Count: tasks, Size: wholeSize, LongRunning: true})
}

func (b *lendingBed) submitSteps(cell int, steps ...submitter.Step) identifier.Job {
	id := identifier.Job(fmt.Sprintf("%08x%08x", cell, len(b.cells[cell].jobs)))
	e := JobSubmitted{Job: submitter.Job{ID: id, Queue: queue, Steps: steps}, Queue: queueConfig}
	b.cells[cell].jobs = append(b.cells[cell].jobs, e)
	b.cells[cell].p.Inform(b.now, e)
	return id
}

// takeOver begins a new term of a cell from what is stored.
func (b *lendingBed) takeOver(cell int) {
	c := b.cells[cell]
	c.epoch++
	now := b.now
	if c.p != nil {
		c.leases.Clock = c.p.CellClock()
	}
	c.leases = c.leases.BeginTerm(c.epoch, "", renewer.ClockEstimate{})
	state := c.leases
	state.Leases = maps.Clone(c.leases.Leases)
	c.p = New(c.epoch, b.now, Settings{
		Cell: identifier.Cell(cell), Cells: len(b.cells), Lease: 5 * time.Second, InheritedLease: 8 * time.Second, MaxDirectoryAge: 2 * time.Second,
	}, WithLeases(state, func(at time.Time) renewer.Reading {
		return renewer.Reading{Now: at, Earliest: at.Sub(now), Latest: at.Sub(now)}
	}, 0))
	var titles []TitleRecord
	for id, t := range c.titles {
		titles = append(titles, TitleRecord{id, &t})
	}
	c.p.Inform(b.now, TitlesRestored{titles})
	for _, e := range c.jobs {
		c.p.Inform(b.now, e)
		if c.cancel[e.Job.ID] {
			c.p.Inform(b.now, JobCancelled{ID: e.Job.ID})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.inbox)) {
		c.p.Inform(b.now, c.inbox[key])
	}
	c.p.Inform(b.now, JobsRestored{slices.Collect(maps.Values(c.saved))})
}

// step advances time and lets each holder act once.
func (b *lendingBed) step(d time.Duration) {
	b.now = b.now.Add(d)
	kept := b.pending[:0]
	for _, l := range b.pending {
		if l.at.After(b.now) {
			kept = append(kept, l)
			continue
		}
		l.effect()
	}
	b.pending = kept
	dir := connector.Directory{
		Version: b.version, Queues: map[identifier.Queue]connector.QueueConfig{queue: queueConfig}, Evacuated: maps.Clone(b.evac),
		ConfigReadAt: b.now, WorkersReadAt: b.now, Workers: map[identifier.Worker]connector.WorkerEntry{},
	}
	for id, w := range b.workers {
		if !w.gone {
			dir.Workers[id] = w.entry
		}
		if w.gone || len(w.active) > 0 && b.clockOf(w) >= w.deadline {
			w.active = nil
		}
	}
	for i := range b.cells {
		b.act(i, b.cells[i].p.Update(b.now, DirectoryChanged{dir}))
		b.save(i)
		b.check()
	}
}

func (b *lendingBed) clockOf(w *lentWorker) connector.WorkerClock {
	return connector.WorkerClock(b.now.Sub(w.born)) + 1
}

// save stores the next batch of a cell.
func (b *lendingBed) save(cell int) {
	c := b.cells[cell]
	if !c.p.Dirty() {
		return
	}
	batch := c.p.TakeBatch()
	what := "save"
	if len(batch.Titles) > 0 {
		what = fmt.Sprint("title held ", batch.Titles[0].Title.Held)
	}
	f := b.fate(what)
	if f == holderCrashes {
		b.takeOver(cell)
		return
	}
	for _, r := range batch.Records {
		c.saved[r.ID] = r
	}
	for _, r := range batch.Titles {
		c.titles[r.Worker] = *r.Title
	}
	if batch.Clock != nil {
		c.leases.Clock = *batch.Clock
	}
	if c.leases.Leases == nil {
		c.leases.Leases = map[identifier.Worker]renewer.Lease{}
	}
	for _, l := range batch.Leases {
		delete(c.leases.Leases, l.Worker)
		if l.Lease != nil {
			c.leases.Leases[l.Worker] = *l.Lease
		}
	}
	if f == holderCrashesAfter {
		b.takeOver(cell)
		return
	}
	b.act(cell, c.p.Update(b.now, BatchSaved{batch}))
}

// act carries out the commands of a cell's holder.
func (b *lendingBed) act(cell int, commands []Command) {
	c := b.cells[cell]
	p := c.p
	tell := func(e Event) {
		if c.p == p {
			p.Inform(b.now, e)
		}
	}
	for _, command := range commands {
		switch command := command.(type) {
		case StartRun:
			b.send(cell, "start", func() func(error) {
				a := b.start(command)
				return func(err error) { tell(StartAnswered{command.To.ID, command.Order.Run, command.Order.Epoch, a, err}) }
			}, func(err error) {
				tell(StartAnswered{command.To.ID, command.Order.Run, command.Order.Epoch, connector.OrderAnswer{}, err})
			})
		case StopRun:
			b.send(cell, "stop", func() func(error) {
				a := b.stop(command)
				return func(err error) { tell(StopAnswered{command.To.ID, command.Run, a, err}) }
			}, func(err error) { tell(StopAnswered{command.To.ID, command.Run, connector.OrderAnswer{}, err}) })
		case PollWorker:
			sent := b.now
			b.send(cell, "poll", func() func(error) {
				a, err := b.poll(command)
				return func(lost error) {
					if lost == nil {
						lost = err
					}
					tell(PollAnswered{command.To.ID, command.Order, sent, a, lost})
				}
			}, func(err error) { tell(PollAnswered{command.To.ID, command.Order, sent, connector.HoldAnswer{}, err}) })
		case RequestRoom:
			b.send(cell, "request", func() func(error) {
				b.cells[command.To].p.Inform(b.now, RoomRequested{identifier.Cell(cell), command.Need})
				return func(error) {}
			}, func(error) {})
		case SendGrants:
			b.send(cell, "grant", func() func(error) {
				for _, g := range command.Grants {
					key := fmt.Sprintf("%s:%x", g.Worker, g.Base)
					e := WorkerGranted{g.Worker, identifier.Cell(cell), g.Base, key}
					b.granted[command.To] = append(b.granted[command.To], e)
					b.deliver(command.To, e)
				}
				return func(err error) { tell(GrantsSent{command.Grants, err}) }
			}, func(err error) { tell(GrantsSent{command.Grants, err}) })
		case DiscardRecords:
			b.send(cell, "delete", func() func(error) {
				for _, r := range command.Records {
					delete(c.inbox, r.Key)
				}
				return func(err error) { tell(RecordsDiscarded{command.Records, err}) }
			}, func(err error) { tell(RecordsDiscarded{command.Records, err}) })
		case StepDown:
			b.fail("cell %d steps down: %s", cell, command.Reason)
		}
		if c.p != p {
			return
		}
	}
}

// deliver adds a grant to the inbox of a cell.
func (b *lendingBed) deliver(to identifier.Cell, e WorkerGranted) {
	b.cells[to].inbox[e.Key] = e
	b.cells[to].p.Inform(b.now, e)
}

// send lets a message take effect as its fate says. effect returns the function that answers it, and
// fail reports it as unanswered.
func (b *lendingBed) send(cell int, what string, effect func() func(error), fail func(error)) {
	switch b.fate(what) {
	case delivered:
		effect()(nil)
	case unanswered:
		effect()(errNoAnswer)
	case lost:
		fail(errNoAnswer)
	case delayed:
		fail(errNoAnswer)
		b.pending = append(b.pending, lateEffect{b.now.Add(1500 * time.Millisecond), func() { effect() }})
	case slow:
		answer := effect()
		b.pending = append(b.pending, lateEffect{b.now.Add(1500 * time.Millisecond), func() { answer(nil) }})
	case holderCrashes:
		b.takeOver(cell)
	case holderCrashesAfter:
		effect()
		b.takeOver(cell)
	}
}

// admit applies the epoch and the lease of an order.
func (b *lendingBed) admit(id identifier.Worker, epoch identifier.Epoch, until *connector.WorkerClock) (*lentWorker, connector.OrderVerdict) {
	w := b.workers[id]
	if w == nil || w.gone {
		return nil, connector.VerdictOtherIncarnation
	}
	if epoch < w.epoch {
		return w, connector.VerdictFenced
	}
	w.epoch = epoch
	if until != nil {
		w.deadline = max(w.deadline, *until)
	}
	return w, connector.VerdictOK
}

func (b *lendingBed) start(c StartRun) connector.OrderAnswer {
	until := c.Order.LeaseUntil
	w, verdict := b.admit(c.To.ID, c.Order.Epoch, &until)
	if verdict != connector.VerdictOK {
		return connector.OrderAnswer{Verdict: verdict}
	}
	if until > b.clockOf(w) && !slices.ContainsFunc(w.active, func(a connector.ActiveRun) bool { return a.Run == c.Order.Run }) {
		w.active = append(w.active, connector.ActiveRun{Run: c.Order.Run, Percent: fullProgress})
		w.startedAt = append(w.startedAt, b.now)
	}
	return connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: b.clockOf(w)}
}

func (b *lendingBed) stop(c StopRun) connector.OrderAnswer {
	w, verdict := b.admit(c.To.ID, c.Epoch, nil)
	if verdict == connector.VerdictOK {
		w.active = slices.DeleteFunc(w.active, func(a connector.ActiveRun) bool { return a.Run == c.Run })
	}
	return connector.OrderAnswer{Verdict: verdict}
}

func (b *lendingBed) poll(c PollWorker) (connector.HoldAnswer, error) {
	w, verdict := b.admit(c.To.ID, c.Order.Epoch, c.Order.LeaseUntil)
	if w == nil {
		return connector.HoldAnswer{}, errNoAnswer
	}
	return connector.HoldAnswer{
		OrderAnswer: connector.OrderAnswer{Verdict: verdict, Clock: b.clockOf(w)}, StartedAt: identifier.UnixMillis(w.born.UnixMilli()), Active: slices.Clone(w.active), Ended: slices.Clone(w.ended),
	}, nil
}

// check fails if two cells own a worker, or if a task runs on two workers.
func (b *lendingBed) check() {
	for id := range b.workers {
		owners := 0
		for _, c := range b.cells {
			if c.p.owns(id) {
				owners++
			}
		}
		if owners > 1 {
			b.fail("worker %s belongs to %d cells", id, owners)
		}
	}
	running := map[identifier.JobTask]identifier.Worker{}
	for id, w := range b.workers {
		for _, a := range w.active {
			if b.clockOf(w) >= w.deadline {
				continue
			}
			if other, ok := running[a.Run.Task]; ok {
				b.fail("task %v runs on %s and %s", a.Run.Task, other, id)
			}
			running[a.Run.Task] = id
		}
	}
}

// running counts the tasks of a cell's jobs that run.
func (b *lendingBed) running(cell int) int {
	n := 0
	for _, w := range b.workers {
		for _, a := range w.active {
			if strings.HasPrefix(string(a.Run.Task.Job), fmt.Sprintf("%08x", cell)) {
				n++
			}
		}
	}
	return n
}

// awaitRunning plays until each cell runs as many tasks as wanted.
func (b *lendingBed) awaitRunning(within time.Duration, want ...int) {
	var got []int
	for end := b.now.Add(within); b.now.Before(end); {
		b.step(50 * time.Millisecond)
		got = got[:0]
		for cell := range b.cells {
			got = append(got, b.running(cell))
		}
		if slices.Equal(got, want) {
			return
		}
	}
	b.fail("%v tasks run after %v, want %v", got, within, want)
}

// lendingBound is how long tasks may wait beside idle workers of another cell: 3 s is what users tolerate.
const lendingBound = 3 * time.Second

// TestRoomFollowsNeedBetweenCells lets a cell need more workers than it has, and then the other one.
func TestRoomFollowsNeedBetweenCells(t *testing.T) {
	b := newLendingBed(2, 4, t.Fatalf)
	first := b.submit(0, 6)
	b.awaitRunning(2*lendingBound, 6, 0)
	if _, borrowed := b.cells[0].p.lentWorkers(); borrowed != 2 {
		t.Errorf("%d workers borrowed, want 2", borrowed)
	}
	b.submit(1, 2)
	b.awaitRunning(lendingBound, 6, 2)
	b.cells[0].cancel[first] = true
	b.cells[0].p.Inform(b.now, JobCancelled{ID: first})
	b.submit(1, 6)
	b.awaitRunning(2*lendingBound, 0, 8)
	if lent, borrowed := b.cells[1].p.lentWorkers(); lent != 0 || borrowed != 4 {
		t.Errorf("%d workers lent, %d borrowed, want 0 and 4", lent, borrowed)
	}
}

// TestBusyWorkersAreVacated lets a cell need a worker while each of the other always runs tasks of a tenth
// of it, which take a second.
func TestBusyWorkersAreVacated(t *testing.T) {
	b := newLendingBed(2, 4, t.Fatalf)
	filling := submitter.Step{Count: 4, Size: identifier.Size{Processors: 400, Memory: 400}, MaxPerWorker: 1}
	for n := range 400 {
		if n%10 == 0 {
			b.submitSteps(1, filling)
		}
		if n == 100 {
			b.submit(0, 5)
		}
		for _, w := range b.workers {
			if len(w.active) > 0 && strings.HasPrefix(string(w.active[0].Run.Task.Job), "00000001") {
				w.endOlder(b.now.Add(-time.Second))
			}
		}
		b.step(50 * time.Millisecond)
		if b.running(0) == 5 {
			return
		}
	}
	t.Fatalf("%d of 5 tasks run after 15 s", b.running(0))
}

// TestLendingSurvivesFaults lets something go wrong at each step of lending a worker: once, or three
// times in a row.
func TestLendingSurvivesFaults(t *testing.T) {
	steps := []string{"request", "title held false", "grant", "title held true", "delete", "poll", "start"}
	faults := map[string]fate{
		"unanswered": unanswered, "lost": lost, "delayed": delayed, "slow": slow, "crash before": holderCrashes, "crash after": holderCrashesAfter,
	}
	for _, step := range steps {
		for name, f := range faults {
			for _, times := range []int{1, 3} {
				t.Run(fmt.Sprintf("%s, %s, %d times", step, name, times), func(t *testing.T) {
					b := newLendingBed(2, 4, t.Fatalf)
					b.awaitRunning(time.Second, 0, 0)
					for range 40 {
						b.step(50 * time.Millisecond)
					}
					left := times
					b.fate = func(what string) fate {
						if what == step && left > 0 {
							left--
							return f
						}
						return delivered
					}
					b.submit(0, 6)
					b.submit(1, 2)
					// Runs of which an earlier holder does not know whether they were started are waited
					// for until their leases have ended.
					b.awaitRunning(2*lendingBound+time.Duration(times)*10*time.Second, 6, 2)
				})
			}
		}
	}
}

// TestLendingUnderRandomFaults plays random faults, losses of workers, evacuations and jobs. At no time
// may two cells own a worker or a task run twice, and afterwards all tasks have to run.
func TestLendingUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cells, perCell = 3, 3
		b := newLendingBed(cells, perCell, t.Fatalf)
		b.fate = func(string) fate {
			if rapid.IntRange(0, 19).Draw(t, "fault") > 0 {
				return delivered
			}
			return fate(rapid.IntRange(int(unanswered), int(holderCrashesAfter)).Draw(t, "fate"))
		}
		ids := slices.Sorted(maps.Keys(b.workers))
		want := make([]int, cells)
		jobs := map[identifier.Job]int{}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			b.step(time.Duration(rapid.IntRange(10, 500).Draw(t, "ms")) * time.Millisecond)
			cell := rapid.IntRange(0, cells-1).Draw(t, "cell")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				if n := rapid.IntRange(1, 5).Draw(t, "tasks"); want[0]+want[1]+want[2]+n <= cells*perCell {
					jobs[b.submit(cell, n)] = n
					want[cell] += n
				}
			case 1:
				c := b.cells[cell]
				for _, e := range c.jobs {
					if n := jobs[e.Job.ID]; !c.cancel[e.Job.ID] && n > 0 {
						c.cancel[e.Job.ID] = true
						c.p.Inform(b.now, JobCancelled{ID: e.Job.ID})
						want[cell] -= n
						break
					}
				}
			case 2:
				w := b.workers[rapid.SampledFrom(ids).Draw(t, "worker")]
				*w = lentWorker{entry: w.entry, born: b.now, gone: !w.gone}
			case 3:
				b.evac["a"] = !b.evac["a"]
				b.version++
			case 4:
				b.takeOver(cell)
			case 5, 6:
				// The append of a grant is carried out once more, late.
				if all := b.granted[identifier.Cell(cell)]; len(all) > 0 {
					b.deliver(identifier.Cell(cell), rapid.SampledFrom(all).Draw(t, "grant"))
				}
			}
		}
		b.fate = func(string) fate { return delivered }
		clear(b.evac)
		b.version++
		for _, w := range b.workers {
			if w.gone {
				*w = lentWorker{entry: w.entry, born: b.now}
			}
		}
		b.awaitRunning(40*time.Second, want...)
	})
}

// TestAnswersFromBeforeALoanDoNotCount guards against starts on a worker that is back, on the strength of a
// list of runs from before another cell had it.
func TestAnswersFromBeforeALoanDoNotCount(t *testing.T) {
	b := newLendingBed(2, 1, t.Fatalf)
	b.step(50 * time.Millisecond)
	p := b.cells[0].p
	w := p.workerList[0]
	old := PollAnswered{Worker: w.id, Order: connector.HoldOrder{Epoch: p.epochOf(w)}, SentAt: b.now, Answer: connector.HoldAnswer{
		OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}, StartedAt: 1,
	}}
	p.transfer(w, 1)
	p.Update(b.now, BatchSaved{p.TakeBatch()})
	p.Inform(b.now, WorkerGranted{Worker: w.id, From: 1, Base: 9, Key: "key"})
	if p.owns(w.id) {
		t.Fatal("the worker is used before that is stored")
	}
	p.Update(b.now, BatchSaved{p.TakeBatch()}, old)
	if back := p.workers[w.id]; back == nil || back.synced {
		t.Errorf("worker %+v, want one that has not answered yet", back)
	}
}

// TestLendersKeepWhatTheyNeed checks which workers are not lent.
func TestLendersKeepWhatTheyNeed(t *testing.T) {
	need := RoomNeed{Service: service, Size: wholeSize, Workers: 10}
	tests := map[string]struct {
		need  func(*RoomNeed)
		spoil func(*lendingBed, *worker)
		lent  int
	}{
		"a reserve":            {func(*RoomNeed) {}, nil, 9},
		"none if it is urgent": {func(n *RoomNeed) { n.Waited = identifier.Duration(urgentNeedWait) }, nil, 10},
		"fewer are needed":     {func(n *RoomNeed) { n.Workers = 2 }, nil, 2},
		"no workers are asked": {func(n *RoomNeed) { n.Workers = -1 }, nil, 0},
		"another service":      {func(n *RoomNeed) { n.Service = "other" }, nil, 0},
		"a label":              {func(n *RoomNeed) { n.Label = "fast" }, nil, 0},
		"too large":            {func(n *RoomNeed) { n.Size.Processors++ }, nil, 0},
		"one runs something":   {func(n *RoomNeed) { n.Waited = identifier.Duration(urgentNeedWait) }, func(_ *lendingBed, w *worker) { w.runs[connector.RunID{}] = &run{} }, 9},
		"one lists a run":      {func(n *RoomNeed) { n.Waited = identifier.Duration(urgentNeedWait) }, func(_ *lendingBed, w *worker) { w.listsRuns = true }, 9},
		"an end is not stored": {func(n *RoomNeed) { n.Waited = identifier.Duration(urgentNeedWait) }, func(_ *lendingBed, w *worker) { w.lastEnd++ }, 9},
		"one drains":           {func(n *RoomNeed) { n.Waited = identifier.Duration(urgentNeedWait) }, func(_ *lendingBed, w *worker) { w.entry.Draining = true }, 9},
		"one is silent":        {func(n *RoomNeed) { n.Waited = identifier.Duration(urgentNeedWait) }, func(_ *lendingBed, w *worker) { w.missedPolls = 1 }, 9},
		"one is quarantined": {func(n *RoomNeed) { n.Waited = identifier.Duration(urgentNeedWait) }, func(b *lendingBed, w *worker) {
			w.quarantinedUntil = b.now.Add(time.Second)
		}, 9},
		"an evacuation": {func(n *RoomNeed) { n.Waited = identifier.Duration(urgentNeedWait) }, func(b *lendingBed, w *worker) { b.cells[0].p.directory.Evacuated["a"] = true }, 0},
		"own tasks wait": {func(n *RoomNeed) { n.Waited = identifier.Duration(urgentNeedWait) }, func(b *lendingBed, _ *worker) {
			b.cells[0].p.lending.needs = []RoomNeed{{Service: service, Size: smallSize, Workers: 1, Waited: identifier.Duration(time.Minute)}}
		}, 0},
		"own tasks wait less": {func(n *RoomNeed) { n.Waited = identifier.Duration(urgentNeedWait) }, func(b *lendingBed, _ *worker) {
			b.cells[0].p.lending.needs = []RoomNeed{{Service: service, Size: smallSize, Workers: 1, Waited: identifier.Duration(time.Second)}}
		}, 10},
		"own tasks are more urgent": {func(n *RoomNeed) { n.Waited, n.Priority = identifier.Duration(time.Hour), 1 }, func(b *lendingBed, _ *worker) {
			b.cells[0].p.lending.needs = []RoomNeed{{Service: service, Size: smallSize, Workers: 1}}
		}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newLendingBed(2, 10, t.Fatalf)
			b.step(50 * time.Millisecond)
			p, n := b.cells[0].p, need
			tt.need(&n)
			if tt.spoil != nil {
				tt.spoil(b, p.workerList[0])
			}
			p.Inform(b.now, RoomRequested{From: 1, Need: n})
			if lent := 10 - len(p.workers); lent != tt.lent {
				t.Errorf("%d workers lent, want %d", lent, tt.lent)
			}
		})
	}
}

// TestLentWorkersCountOnceGranted guards against workers that are shown as lent or borrowed before that is stored.
func TestLentWorkersCountOnceGranted(t *testing.T) {
	b := newLendingBed(2, 10, t.Fatalf)
	b.step(50 * time.Millisecond)
	lender, borrower := b.cells[0].p, b.cells[1].p
	check := func(when string, p *Planner, wantLent, wantBorrowed int) {
		t.Helper()
		if lent, borrowed := p.lentWorkers(); lent != wantLent || borrowed != wantBorrowed {
			t.Errorf("%s: %d workers are shown as lent and %d as borrowed, want %d and %d", when, lent, borrowed, wantLent, wantBorrowed)
		}
	}
	lender.Inform(b.now, RoomRequested{From: 1, Need: RoomNeed{Service: service, Size: wholeSize, Workers: 1}})
	check("decided", lender, 0, 0)
	lender.Inform(b.now, BatchSaved{lender.TakeBatch()})
	check("stored", lender, 0, 0)
	grants, ok := findCommand[SendGrants](lender.Update(b.now), func(SendGrants) bool { return true })
	if !ok || len(grants.Grants) != 1 {
		t.Fatalf("grants %+v, want one", grants)
	}
	lender.Inform(b.now, GrantsSent{Grants: grants.Grants, Err: errNoAnswer})
	check("not granted", lender, 0, 0)
	lender.Inform(b.now, GrantsSent{Grants: grants.Grants})
	check("granted", lender, 1, 0)
	borrower.Inform(b.now, WorkerGranted{Worker: grants.Grants[0].Worker, From: 0, Base: grants.Grants[0].Base, Key: "k"})
	check("read", borrower, 0, 0)
	borrower.Inform(b.now, BatchSaved{borrower.TakeBatch()})
	check("taken over", borrower, 0, 1)
}

// TestGangsOfTwoCellsDoNotWaitForEachOther lets two cells need more workers than each has at the same time,
// for gangs of which only one fits.
func TestGangsOfTwoCellsDoNotWaitForEachOther(t *testing.T) {
	b := newLendingBed(2, 4, t.Fatalf)
	gang := submitter.Step{Count: 6, Size: wholeSize, Gang: true}
	b.submitSteps(0, gang)
	b.step(50 * time.Millisecond)
	b.submitSteps(1, gang)
	b.awaitRunning(2*lendingBound, 6, 0)
}
