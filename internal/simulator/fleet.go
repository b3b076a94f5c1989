package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// stopTime is how long a run takes to stop.
	stopTime = 100 * time.Millisecond
	// lateMost is the most by which an order without an answer is late.
	lateMost = 6 * time.Second
	// slowClock is the pace of a clock that is slow.
	slowClock = 0.98
)

// WorkerFaults say how a worker misbehaves. The zero value is one that works.
type WorkerFaults struct {
	// Cut makes the worker unreachable; what runs there goes on.
	Cut bool
	// Late is the share of orders that get no answer and are carried out later.
	Late float64
	// Failing makes every run fail.
	Failing bool
	// Hanging makes runs that begin stand still until they are stopped.
	Hanging bool
	// Refusing is the share of orders that are refused.
	Refusing float64
	// Slow is the most by which answers to orders that were carried out are late.
	Slow time.Duration
	// Unlisted keeps a worker that is up out of the directory.
	Unlisted bool
}

// Behaviour says how the runs of a task go: how long one takes, and whether it
// fails.
type Behaviour func(run connector.RunID) (took time.Duration, fails bool)

// Fleet is a set of workers. It records every breach of the promises that tests
// are about; its methods are safe for concurrent use.
type Fleet struct {
	mu        chan struct{}
	rand      *rand.Rand
	behaviour Behaviour
	sizes     func(identifier.JobTask) identifier.Size
	copies    func(identifier.JobTask) bool
	// longest is the longest lease that is granted; zero is without a bound.
	longest time.Duration
	// slowClocks is set if every second worker has a slow clock.
	slowClocks bool
	workers    map[identifier.Worker]*simWorker
	began      time.Time

	breaches []string
	active   map[identifier.JobTask]map[connector.RunID]identifier.Worker
	done     map[identifier.JobTask]bool
	starts   int
	events   []RunEvent
	// late is set while an order without an answer is carried out.
	late bool
}

// RunEvent is the start or the end of a run at a worker.
type RunEvent struct {
	At         time.Time             `json:"at"`
	Run        connector.RunID       `json:"run"`
	Worker     identifier.Worker     `json:"worker"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	// How is empty for a start.
	How connector.RunEnd `json:"how,omitempty"`
	// Late is set for a start that the worker carried out late without an answer.
	Late bool `json:"late,omitempty"`
}

type simWorker struct {
	entry  connector.WorkerEntry
	faults WorkerFaults
	born   time.Time
	up     bool
	epoch  identifier.Epoch
	lease  time.Time
	runs   map[connector.RunID]*simRun
	past   map[identifier.JobTask]identifier.Attempt
	ends   []connector.EndedRun
	number identifier.EndNumber
	// lapsed is the last end number before the lease last ran out. A later
	// acknowledgement of such an end does not count: its holder may have given
	// the run up.
	lapsed identifier.EndNumber
	news   chan struct{}
	// listedUntil is how long the directory shows a worker that is down.
	listedUntil time.Time
	// slow is set for a worker with a slow clock.
	slow bool
	// gone is set for a worker that never comes back.
	gone bool
}

type simRun struct {
	timer    *time.Timer
	began    time.Time
	took     time.Duration
	hangs    bool
	stopping bool
}

// FleetOption changes a new fleet.
type FleetOption func(*Fleet)

// WithCopies sets which tasks may have several runs at the same time.
func WithCopies(allowed func(identifier.JobTask) bool) FleetOption {
	return func(f *Fleet) { f.copies = allowed }
}

// WithLongestLease sets the longest lease that a worker grants; a longer one is shortened.
func WithLongestLease(d time.Duration) FleetOption { return func(f *Fleet) { f.longest = d } }

// WithSlowClocks gives every second worker a slow clock.
func WithSlowClocks() FleetOption { return func(f *Fleet) { f.slowClocks = true } }

// NewFleet returns a fleet without workers. Sizes tells what a task reserves.
func NewFleet(seed uint64, behaviour Behaviour, sizes func(identifier.JobTask) identifier.Size, opts ...FleetOption) *Fleet {
	f := &Fleet{
		mu: make(chan struct{}, 1), rand: rand.New(rand.NewPCG(seed, 1)), behaviour: behaviour, sizes: sizes,
		workers: map[identifier.Worker]*simWorker{}, began: time.Now(),
		active: map[identifier.JobTask]map[connector.RunID]identifier.Worker{}, done: map[identifier.JobTask]bool{},
		copies: func(identifier.JobTask) bool { return false },
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

func (f *Fleet) lock()   { f.mu <- struct{}{} }
func (f *Fleet) unlock() { <-f.mu }

// Add adds a worker that is up.
func (f *Fleet) Add(e connector.WorkerEntry) {
	f.lock()
	defer f.unlock()
	w := &simWorker{entry: e, slow: f.slowClocks && len(f.workers)%2 == 1}
	w.boot()
	f.workers[e.ID] = w
}

func (w *simWorker) boot() {
	w.up, w.born, w.epoch, w.lease = true, time.Now(), 0, time.Time{}
	w.runs = map[connector.RunID]*simRun{}
	w.past = map[identifier.JobTask]identifier.Attempt{}
	w.ends, w.number, w.lapsed = nil, 0, 0
	w.news = make(chan struct{})
	w.entry.StartedAt = identifier.UnixMillis(w.born.UnixMilli())
}

// SetFaults replaces how a worker misbehaves.
func (f *Fleet) SetFaults(id identifier.Worker, faults WorkerFaults) {
	f.lock()
	defer f.unlock()
	f.workers[id].faults = faults
}

// ReplaceFaults replaces how all workers misbehave; those that are not named work.
func (f *Fleet) ReplaceFaults(faults map[identifier.Worker]WorkerFaults) {
	f.lock()
	defer f.unlock()
	for id, w := range f.workers {
		w.faults = faults[id]
	}
}

// SetDraining says whether a worker is about to leave.
func (f *Fleet) SetDraining(id identifier.Worker, draining bool) {
	f.lock()
	defer f.unlock()
	f.workers[id].entry.Draining = draining
}

// Crash ends everything on a worker and starts it anew, with nothing known,
// after a pause.
func (f *Fleet) Crash(id identifier.Worker, pause time.Duration) {
	f.lock()
	w := f.workers[id]
	if !w.up {
		f.unlock()
		return
	}
	f.halt(w)
	f.unlock()
	time.AfterFunc(pause, func() {
		f.lock()
		defer f.unlock()
		if !w.gone && !w.up {
			w.boot()
		}
	})
}

// Breaches returns what went wrong.
func (f *Fleet) Breaches() []string {
	f.lock()
	defer f.unlock()
	return append([]string(nil), f.breaches...)
}

// Starts returns how many runs began.
func (f *Fleet) Starts() int {
	f.lock()
	defer f.unlock()
	return f.starts
}

// Events returns starts and ends of runs in their order from an index on, at most so many.
func (f *Fleet) Events(from, most int) []RunEvent {
	f.lock()
	defer f.unlock()
	if from < 0 || from >= len(f.events) {
		return nil
	}
	return slices.Clone(f.events[from:min(len(f.events), from+most)])
}

func (f *Fleet) record(w *simWorker, run connector.RunID, how connector.RunEnd) {
	f.events = append(f.events, RunEvent{
		At: time.Now(), Run: run, Worker: w.entry.ID, DataCentre: w.entry.DataCentre, How: how, Late: f.late && how == "",
	})
}

// ActiveRuns returns the runs that go on of a job.
func (f *Fleet) ActiveRuns(job identifier.Job) int {
	f.lock()
	defer f.unlock()
	n := 0
	for task, runs := range f.active {
		if task.Job == job {
			n += len(runs)
		}
	}
	return n
}

// WorkerOf returns the worker on which a task runs; it is empty if none does.
func (f *Fleet) WorkerOf(task identifier.JobTask) identifier.Worker {
	f.lock()
	defer f.unlock()
	for _, id := range f.active[task] {
		return id
	}
	return ""
}

func (f *Fleet) breach(format string, args ...any) {
	f.breaches = append(f.breaches, fmt.Sprintf("%.3f s: ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// Client returns the fleet as a holder reaches it; an order sent after the
// returned function was called is lost.
func (f *Fleet) Client() (r connector.Runner, cut func()) {
	c := &fleetClient{fleet: f, gone: make(chan struct{})}
	return c, func() { close(c.gone) }
}

type fleetClient struct {
	fleet *Fleet
	gone  chan struct{}
}

// reach returns the worker, or an error as a caller sees it. Late is set if the
// order is carried out later without an answer.
func (c *fleetClient) reach(ctx context.Context, to connector.WorkerTarget) (w *simWorker, late time.Duration, err error) {
	select {
	case <-c.gone:
		<-ctx.Done()
		return nil, 0, errors.Mark(ErrDown, connector.ErrNotSent)
	default:
	}
	if err := wait(ctx, time.Millisecond); err != nil {
		return nil, 0, err
	}
	f := c.fleet
	f.lock()
	w, ok := f.workers[to.ID]
	reachable := ok && w.up && !w.faults.Cut
	if ok && w.gone && f.answers(to.Address) {
		f.unlock()
		return nil, 0, errOtherLife
	}
	if reachable && f.rand.Float64() < w.faults.Late {
		late = time.Duration(f.rand.Int64N(int64(lateMost)))
	}
	f.unlock()
	if !reachable {
		<-ctx.Done()
		return nil, 0, errors.Mark(ErrDown, connector.ErrUnknown)
	}
	return w, late, nil
}

// clock returns the worker's own clock.
func (w *simWorker) clock() connector.WorkerClock {
	return connector.WorkerClock(float64(time.Since(w.born)) * w.pace())
}

// pace returns how fast the worker's clock goes.
func (w *simWorker) pace() float64 {
	if w.slow {
		return slowClock
	}
	return 1
}

// renew extends the lease to a time of the worker's clock.
func (f *Fleet) renew(w *simWorker, until connector.WorkerClock) {
	end := w.born.Add(time.Duration(float64(until) / w.pace()))
	if most := time.Now().Add(f.longest); f.longest > 0 && end.After(most) {
		end = most
	}
	if !end.After(w.lease) {
		return
	}
	w.lease = end
	born := w.born
	time.AfterFunc(time.Until(end), func() {
		f.lock()
		defer f.unlock()
		if w.up && w.born.Equal(born) && !time.Now().Before(w.lease) {
			f.lapse(w)
		}
	})
}

func (f *Fleet) lapse(w *simWorker) {
	w.lapsed = w.number
	for run := range w.runs {
		f.end(w, run, connector.EndLeaseExpired)
	}
}

// end records the end of a run at a worker.
func (f *Fleet) end(w *simWorker, run connector.RunID, how connector.RunEnd) {
	r, ok := w.runs[run]
	if !ok {
		return
	}
	r.timer.Stop()
	delete(w.runs, run)
	f.forget(run)
	f.record(w, run, how)
	w.past[run.Task] = max(w.past[run.Task], run.Attempt)
	w.number++
	w.ends = append(w.ends, connector.EndedRun{Number: w.number, Run: run, Reason: how})
	close(w.news)
	w.news = make(chan struct{})
}

func (f *Fleet) forget(run connector.RunID) {
	delete(f.active[run.Task], run)
	if len(f.active[run.Task]) == 0 {
		delete(f.active, run.Task)
	}
}

// Start implements connector.Runner.
func (c *fleetClient) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (connector.OrderAnswer, error) {
	return c.order(ctx, to, func(w *simWorker) connector.OrderVerdict { return c.fleet.start(w, o) })
}

// order carries an order out, at once with an answer or late without.
func (c *fleetClient) order(ctx context.Context, to connector.WorkerTarget, act func(w *simWorker) connector.OrderVerdict) (connector.OrderAnswer, error) {
	w, late, err := c.reach(ctx, to)
	if errors.Is(err, errOtherLife) {
		return connector.OrderAnswer{Verdict: connector.VerdictOtherIncarnation}, nil
	}
	if err != nil {
		return connector.OrderAnswer{}, err
	}
	f := c.fleet
	if late > 0 {
		born := w.born
		time.AfterFunc(late, func() {
			f.lock()
			defer f.unlock()
			if w.up && w.born.Equal(born) {
				f.late = true
				act(w)
				f.late = false
			}
		})
		<-ctx.Done()
		return connector.OrderAnswer{}, errors.Mark(ErrDown, connector.ErrUnknown)
	}
	f.lock()
	verdict := connector.VerdictUnhealthy
	if f.rand.Float64() >= w.faults.Refusing {
		verdict = act(w)
	}
	answer, late := connector.OrderAnswer{Verdict: verdict, Clock: w.clock()}, f.delay(w)
	f.unlock()
	return answer, wait(ctx, late)
}

// delay returns by how much the next answer of a worker is late.
func (f *Fleet) delay(w *simWorker) time.Duration {
	if w.faults.Slow == 0 {
		return 0
	}
	return time.Duration(f.rand.Int64N(int64(w.faults.Slow)))
}

func (f *Fleet) start(w *simWorker, o connector.RunOrder) connector.OrderVerdict {
	switch {
	case o.Epoch < w.epoch:
		return connector.VerdictFenced
	case o.LeaseUntil < w.clock():
		return connector.VerdictLeaseExpired
	}
	w.epoch = o.Epoch
	if _, here := w.runs[o.Run]; here {
		f.renew(w, o.LeaseUntil)
		return connector.VerdictOK
	}
	if w.past[o.Run.Task] >= o.Run.Attempt {
		return connector.VerdictStaleRun
	}
	f.renew(w, o.LeaseUntil)
	f.begin(w, o)
	return connector.VerdictOK
}

func (f *Fleet) begin(w *simWorker, o connector.RunOrder) {
	task := o.Run.Task
	f.starts++
	f.record(w, o.Run, "")
	if len(f.active[task]) > 0 && !f.copies(task) {
		f.breach("%s runs twice: attempt %d on %s beside %v", task, o.Run.Attempt, w.entry.ID, f.active[task])
	}
	if f.done[task] && !f.copies(task) {
		f.breach("%s started after it was done: attempt %d on %s", task, o.Run.Attempt, w.entry.ID)
	}
	if f.active[task] == nil {
		f.active[task] = map[connector.RunID]identifier.Worker{}
	}
	f.active[task][o.Run] = w.entry.ID
	took, fails := f.behaviour(o.Run)
	how := connector.EndDone
	if fails || w.faults.Failing {
		how = connector.EndFailed
	}
	r := &simRun{began: time.Now(), took: took, hangs: w.faults.Hanging}
	r.timer = time.AfterFunc(took, func() {
		f.lock()
		defer f.unlock()
		if w.runs[o.Run] == r && !r.hangs {
			f.end(w, o.Run, how)
		}
	})
	w.runs[o.Run] = r
	f.checkRoom(w)
}

func (f *Fleet) checkRoom(w *simWorker) {
	used := identifier.Size{}
	for run := range w.runs {
		used = used.Add(f.sizes(run.Task))
	}
	if !used.Fits(w.entry.Capacity) {
		f.breach("%s runs %v of %v", w.entry.ID, used, w.entry.Capacity)
	}
}

// Stop implements connector.Runner.
func (c *fleetClient) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	return c.order(ctx, to, func(w *simWorker) connector.OrderVerdict { return c.fleet.stop(w, run, epoch) })
}

func (f *Fleet) stop(w *simWorker, run connector.RunID, epoch identifier.Epoch) connector.OrderVerdict {
	if epoch < w.epoch {
		return connector.VerdictFenced
	}
	w.epoch = epoch
	w.past[run.Task] = max(w.past[run.Task], run.Attempt)
	r, ok := w.runs[run]
	if !ok || r.stopping {
		return connector.VerdictOK
	}
	r.stopping = true
	time.AfterFunc(stopTime, func() {
		f.lock()
		defer f.unlock()
		if w.runs[run] == r {
			f.end(w, run, connector.EndStopped)
		}
	})
	return connector.VerdictOK
}

// SetPace implements connector.Runner; it changes nothing.
func (c *fleetClient) SetPace(ctx context.Context, to connector.WorkerTarget, _ connector.RunID, _ int, _ identifier.Epoch) (connector.OrderAnswer, error) {
	return c.order(ctx, to, func(*simWorker) connector.OrderVerdict { return connector.VerdictOK })
}

// Hold implements connector.Runner.
func (c *fleetClient) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	w, late, err := c.reach(ctx, to)
	if errors.Is(err, errOtherLife) {
		return connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOtherIncarnation}}, nil
	}
	if err != nil {
		return connector.HoldAnswer{}, err
	}
	f := c.fleet
	f.lock()
	if o.Epoch < w.epoch {
		defer f.unlock()
		return connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictFenced, Clock: w.clock()}}, nil
	}
	w.epoch = o.Epoch
	if o.LeaseUntil != nil {
		f.renew(w, *o.LeaseUntil)
	}
	f.acknowledge(w, o.Forget)
	news, quiet := w.news, len(w.ends) == 0
	f.unlock()
	if quiet && o.Wait > 0 {
		t := time.NewTimer(o.Wait)
		defer t.Stop()
		select {
		case <-news:
		case <-t.C:
		case <-ctx.Done():
			return connector.HoldAnswer{}, errors.Mark(ctx.Err(), connector.ErrUnknown)
		}
	}
	f.lock()
	cut := !w.up || w.faults.Cut || late > 0
	out, delay := w.describe(), f.delay(w)
	f.unlock()
	if cut {
		<-ctx.Done()
		return connector.HoldAnswer{}, errors.Mark(ErrDown, connector.ErrUnknown)
	}
	return out, wait(ctx, delay)
}

// acknowledge forgets ends; one that is done counts from then on.
func (f *Fleet) acknowledge(w *simWorker, upTo identifier.EndNumber) {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.Number > upTo {
			kept = append(kept, e)
			continue
		}
		if e.Reason == connector.EndDone && e.Number > w.lapsed {
			f.done[e.Run.Task] = true
		}
	}
	w.ends = kept
}

func (w *simWorker) describe() connector.HoldAnswer {
	out := connector.HoldAnswer{
		OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: w.clock()},
		StartedAt:   identifier.UnixMillis(w.born.UnixMilli()),
		Ended:       append([]connector.EndedRun(nil), w.ends...),
	}
	for run, r := range w.runs {
		out.Active = append(out.Active, connector.ActiveRun{Run: run, Percent: r.percent()})
	}
	return out
}
