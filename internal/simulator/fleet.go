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
	// stopDelay is the time from a stop order to the end of the run.
	stopDelay = 100 * time.Millisecond
	// maxLateOrderDelay bounds the delay of an order that gets no answer (WorkerFaults.Late).
	maxLateOrderDelay = 6 * time.Second
	// slowClockRate is the rate of a slow worker clock relative to real time.
	slowClockRate = 0.98
)

// WorkerFaults are the faults injected into a worker. The zero value injects none.
type WorkerFaults struct {
	// Cut makes the worker unreachable; its runs continue.
	Cut bool
	// Late is the fraction of orders, 0 to 1, that are executed later and never answered.
	Late float64
	// Failing makes every run fail.
	Failing bool
	// Hanging makes new runs hang without progress until they are stopped.
	Hanging bool
	// Refusing is the fraction of orders, 0 to 1, that are refused.
	Refusing float64
	// Slow is the maximum delay of an answer to an order that was executed.
	Slow time.Duration
	// Unlisted hides a running worker from the directory.
	Unlisted bool
}

// Behaviour returns how long a run takes and whether it fails.
type Behaviour func(run connector.RunID) (took time.Duration, fails bool)

// Fleet simulates a set of workers and records every violation of the scheduler's guarantees,
// such as a task that runs twice. Its methods are safe for concurrent use.
type Fleet struct {
	mu           chan struct{}
	rand         *rand.Rand
	behaviour    Behaviour
	sizeOf       func(identifier.JobTask) identifier.Size
	allowsCopies func(identifier.JobTask) bool
	// maxLease is the longest lease that a worker grants; zero means no limit.
	maxLease time.Duration
	// slowClocks gives every second worker a clock that runs at slowClockRate.
	slowClocks bool
	workers    map[identifier.Worker]*simWorker
	startedAt  time.Time

	breaches []string
	active   map[identifier.JobTask]map[connector.RunID]identifier.Worker
	done     map[identifier.JobTask]bool
	starts   int
	events   []RunEvent
	// inLateOrder is set while a delayed, unanswered order is executed.
	inLateOrder bool
}

// RunEvent is the start or the end of a run on a worker.
type RunEvent struct {
	At         time.Time             `json:"at"`
	Run        connector.RunID       `json:"run"`
	Worker     identifier.Worker     `json:"worker"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	// How is the reason for the end; it is empty for a start.
	How connector.RunEnd `json:"how,omitempty"`
	// Late is set for a start whose order was delayed and not answered.
	Late bool `json:"late,omitempty"`
}

type simWorker struct {
	entry          connector.WorkerEntry
	faults         WorkerFaults
	bootedAt       time.Time
	up             bool
	epoch          identifier.Epoch
	leaseUntil     time.Time
	runs           map[connector.RunID]*simRun
	highestAttempt map[identifier.JobTask]identifier.Attempt
	endedRuns      []connector.EndedRun
	lastEnd        identifier.EndNumber
	// lastEndAtExpiry is the number of the last end before the lease last expired. Ends up to
	// it are not counted as done when they are acknowledged afterwards, as the holder may
	// already have given the run up.
	lastEndAtExpiry identifier.EndNumber
	runEnded        chan struct{}
	// listedUntil is when a worker that is down disappears from the directory.
	listedUntil time.Time
	// slow makes the worker's clock run at slowClockRate.
	slow bool
	// removed is set once the worker has left; only Fleet.Return brings it back.
	removed bool
}

type simRun struct {
	timer     *time.Timer
	startedAt time.Time
	duration  time.Duration
	hangs     bool
	stopping  bool
}

// FleetOption configures a new fleet.
type FleetOption func(*Fleet)

// WithCopies sets which tasks may have several concurrent runs. By default none may.
func WithCopies(allowed func(identifier.JobTask) bool) FleetOption {
	return func(f *Fleet) { f.allowsCopies = allowed }
}

// WithLongestLease limits the leases that workers grant; longer ones are shortened to d.
func WithLongestLease(d time.Duration) FleetOption { return func(f *Fleet) { f.maxLease = d } }

// WithSlowClocks gives every second worker a slow clock.
func WithSlowClocks() FleetOption { return func(f *Fleet) { f.slowClocks = true } }

// NewFleet returns a fleet without workers. The seed determines its random choices, and sizeOf
// returns the resources that a task reserves.
func NewFleet(seed uint64, behaviour Behaviour, sizeOf func(identifier.JobTask) identifier.Size, opts ...FleetOption) *Fleet {
	f := &Fleet{
		mu: make(chan struct{}, 1), rand: rand.New(rand.NewPCG(seed, 1)), behaviour: behaviour, sizeOf: sizeOf,
		workers: map[identifier.Worker]*simWorker{}, startedAt: time.Now(),
		active: map[identifier.JobTask]map[connector.RunID]identifier.Worker{}, done: map[identifier.JobTask]bool{},
		allowsCopies: func(identifier.JobTask) bool { return false },
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

func (f *Fleet) lock()   { f.mu <- struct{}{} }
func (f *Fleet) unlock() { <-f.mu }

// Add adds a running worker.
func (f *Fleet) Add(e connector.WorkerEntry) {
	f.lock()
	defer f.unlock()
	w := &simWorker{entry: e, slow: f.slowClocks && len(f.workers)%2 == 1}
	w.boot()
	f.workers[e.ID] = w
}

// boot brings the worker up as a new incarnation without runs, leases or history.
func (w *simWorker) boot() {
	w.up, w.bootedAt, w.epoch, w.leaseUntil = true, time.Now(), 0, time.Time{}
	w.runs = map[connector.RunID]*simRun{}
	w.highestAttempt = map[identifier.JobTask]identifier.Attempt{}
	w.endedRuns, w.lastEnd, w.lastEndAtExpiry = nil, 0, 0
	w.runEnded = make(chan struct{})
	w.entry.StartedAt = identifier.UnixMillis(w.bootedAt.UnixMilli())
}

// SetFaults replaces the faults of a worker.
func (f *Fleet) SetFaults(id identifier.Worker, faults WorkerFaults) {
	f.lock()
	defer f.unlock()
	f.workers[id].faults = faults
}

// ReplaceFaults replaces the faults of all workers; those missing from faults have none.
func (f *Fleet) ReplaceFaults(faults map[identifier.Worker]WorkerFaults) {
	f.lock()
	defer f.unlock()
	for id, w := range f.workers {
		w.faults = faults[id]
	}
}

// SetDraining sets whether a worker is listed as draining.
func (f *Fleet) SetDraining(id identifier.Worker, draining bool) {
	f.lock()
	defer f.unlock()
	f.workers[id].entry.Draining = draining
}

// Crash shuts a worker down with all its runs and boots it again, without state, after a pause.
// It does nothing if the worker is already down.
func (f *Fleet) Crash(id identifier.Worker, pause time.Duration) {
	f.lock()
	w := f.workers[id]
	if !w.up {
		f.unlock()
		return
	}
	f.shutDown(w)
	f.unlock()
	time.AfterFunc(pause, func() {
		f.lock()
		defer f.unlock()
		if !w.removed && !w.up {
			w.boot()
		}
	})
}

// Breaches returns the recorded violations of the scheduler's guarantees.
func (f *Fleet) Breaches() []string {
	f.lock()
	defer f.unlock()
	return append([]string(nil), f.breaches...)
}

// Starts returns the number of runs that were started.
func (f *Fleet) Starts() int {
	f.lock()
	defer f.unlock()
	return f.starts
}

// Events returns up to most starts and ends of runs, in order, beginning at index from.
func (f *Fleet) Events(from, most int) []RunEvent {
	f.lock()
	defer f.unlock()
	if from < 0 || from >= len(f.events) {
		return nil
	}
	return slices.Clone(f.events[from:min(len(f.events), from+most)])
}

func (f *Fleet) recordEvent(w *simWorker, run connector.RunID, how connector.RunEnd) {
	f.events = append(f.events, RunEvent{
		At: time.Now(), Run: run, Worker: w.entry.ID, DataCentre: w.entry.DataCentre, How: how, Late: f.inLateOrder && how == "",
	})
}

// ActiveRuns returns the number of active runs of a job.
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

// WorkerOf returns a worker that runs the task, or "" if there is none.
func (f *Fleet) WorkerOf(task identifier.JobTask) identifier.Worker {
	f.lock()
	defer f.unlock()
	for _, id := range f.active[task] {
		return id
	}
	return ""
}

func (f *Fleet) recordBreach(format string, args ...any) {
	f.breaches = append(f.breaches, fmt.Sprintf("%.3f s: ", time.Since(f.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// Client returns a holder's connection to the fleet. After cut is called, orders are not sent
// and time out with ErrNotSent.
func (f *Fleet) Client() (r connector.Runner, cut func()) {
	c := &fleetClient{fleet: f, disconnected: make(chan struct{})}
	return c, func() { close(c.disconnected) }
}

type fleetClient struct {
	fleet        *Fleet
	disconnected chan struct{}
}

// reach returns the target worker, or the error that a holder sees. A positive late delays the
// order, which is then executed without an answer. An unreachable worker makes reach wait for
// the end of ctx.
func (c *fleetClient) reach(ctx context.Context, to connector.WorkerTarget) (w *simWorker, late time.Duration, err error) {
	select {
	case <-c.disconnected:
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
	if ok && w.removed && f.listensAt(to.Address) {
		f.unlock()
		return nil, 0, errOtherIncarnation
	}
	if reachable && f.rand.Float64() < w.faults.Late {
		late = time.Duration(f.rand.Int64N(int64(maxLateOrderDelay)))
	}
	f.unlock()
	if !reachable {
		<-ctx.Done()
		return nil, 0, errors.Mark(ErrDown, connector.ErrUnknown)
	}
	return w, late, nil
}

// clock returns the time on the worker's own clock, which starts at its boot.
func (w *simWorker) clock() connector.WorkerClock {
	return connector.WorkerClock(float64(time.Since(w.bootedAt)) * w.clockRate())
}

// clockRate returns the rate of the worker's clock relative to real time.
func (w *simWorker) clockRate() float64 {
	if w.slow {
		return slowClockRate
	}
	return 1
}

// renew extends the lease to a time on the worker's clock, but never shortens it.
func (f *Fleet) renew(w *simWorker, until connector.WorkerClock) {
	end := w.bootedAt.Add(time.Duration(float64(until) / w.clockRate()))
	if latestExpiry := time.Now().Add(f.maxLease); f.maxLease > 0 && end.After(latestExpiry) {
		end = latestExpiry
	}
	if !end.After(w.leaseUntil) {
		return
	}
	w.leaseUntil = end
	bootedAt := w.bootedAt
	time.AfterFunc(time.Until(end), func() {
		f.lock()
		defer f.unlock()
		if w.up && w.bootedAt.Equal(bootedAt) && !time.Now().Before(w.leaseUntil) {
			f.expireLease(w)
		}
	})
}

// expireLease ends all runs of a worker whose lease has expired.
func (f *Fleet) expireLease(w *simWorker) {
	w.lastEndAtExpiry = w.lastEnd
	for run := range w.runs {
		f.endRun(w, run, connector.EndLeaseExpired)
	}
}

// endRun removes a run from a worker, records its end and wakes waiting Hold calls.
func (f *Fleet) endRun(w *simWorker, run connector.RunID, how connector.RunEnd) {
	r, ok := w.runs[run]
	if !ok {
		return
	}
	r.timer.Stop()
	delete(w.runs, run)
	f.removeActive(run)
	f.recordEvent(w, run, how)
	w.highestAttempt[run.Task] = max(w.highestAttempt[run.Task], run.Attempt)
	w.lastEnd++
	w.endedRuns = append(w.endedRuns, connector.EndedRun{Number: w.lastEnd, Run: run, Reason: how})
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

func (f *Fleet) removeActive(run connector.RunID) {
	delete(f.active[run.Task], run)
	if len(f.active[run.Task]) == 0 {
		delete(f.active, run.Task)
	}
}

// Start implements connector.Runner.
func (c *fleetClient) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (connector.OrderAnswer, error) {
	return c.carryOut(ctx, to, func(w *simWorker) connector.OrderVerdict { return c.fleet.startRun(w, o) })
}

// carryOut executes an order on a worker: at once with an answer, or after a delay without one.
// The worker may also refuse it, as its faults say.
func (c *fleetClient) carryOut(ctx context.Context, to connector.WorkerTarget, act func(w *simWorker) connector.OrderVerdict) (connector.OrderAnswer, error) {
	w, late, err := c.reach(ctx, to)
	if errors.Is(err, errOtherIncarnation) {
		return connector.OrderAnswer{Verdict: connector.VerdictOtherIncarnation}, nil
	}
	if err != nil {
		return connector.OrderAnswer{}, err
	}
	f := c.fleet
	if late > 0 {
		bootedAt := w.bootedAt
		time.AfterFunc(late, func() {
			f.lock()
			defer f.unlock()
			if w.up && w.bootedAt.Equal(bootedAt) {
				f.inLateOrder = true
				act(w)
				f.inLateOrder = false
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
	answer, late := connector.OrderAnswer{Verdict: verdict, Clock: w.clock()}, f.answerDelay(w)
	f.unlock()
	return answer, wait(ctx, late)
}

// answerDelay returns a random delay for the next answer of a worker.
func (f *Fleet) answerDelay(w *simWorker) time.Duration {
	if w.faults.Slow == 0 {
		return 0
	}
	return time.Duration(f.rand.Int64N(int64(w.faults.Slow)))
}

// startRun checks the epoch, lease and attempt of a start order, and starts the run if it is new.
// Repeating the order for an active run only renews the lease.
func (f *Fleet) startRun(w *simWorker, o connector.RunOrder) connector.OrderVerdict {
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
	if w.highestAttempt[o.Run.Task] >= o.Run.Attempt {
		return connector.VerdictStaleRun
	}
	f.renew(w, o.LeaseUntil)
	f.beginRun(w, o)
	return connector.VerdictOK
}

// beginRun starts a run and records a violation if its task already runs or is done, or if the
// worker's capacity is exceeded.
func (f *Fleet) beginRun(w *simWorker, o connector.RunOrder) {
	task := o.Run.Task
	f.starts++
	f.recordEvent(w, o.Run, "")
	if len(f.active[task]) > 0 && !f.allowsCopies(task) {
		f.recordBreach("%s runs twice: attempt %d on %s beside %v", task, o.Run.Attempt, w.entry.ID, f.active[task])
	}
	if f.done[task] && !f.allowsCopies(task) {
		f.recordBreach("%s started after it was done: attempt %d on %s", task, o.Run.Attempt, w.entry.ID)
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
	r := &simRun{startedAt: time.Now(), duration: took, hangs: w.faults.Hanging}
	r.timer = time.AfterFunc(took, func() {
		f.lock()
		defer f.unlock()
		if w.runs[o.Run] == r && !r.hangs {
			f.endRun(w, o.Run, how)
		}
	})
	w.runs[o.Run] = r
	f.checkCapacity(w)
}

// checkCapacity records a violation if the runs on a worker exceed its capacity.
func (f *Fleet) checkCapacity(w *simWorker) {
	used := identifier.Size{}
	for run := range w.runs {
		used = used.Add(f.sizeOf(run.Task))
	}
	if !used.Fits(w.entry.Capacity) {
		f.recordBreach("%s runs %v of %v", w.entry.ID, used, w.entry.Capacity)
	}
}

// Stop implements connector.Runner.
func (c *fleetClient) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	return c.carryOut(ctx, to, func(w *simWorker) connector.OrderVerdict { return c.fleet.stopRun(w, run, epoch) })
}

// stopRun stops a run after stopDelay. It also rejects later starts of the same attempt, so that a
// delayed start order cannot undo the stop.
func (f *Fleet) stopRun(w *simWorker, run connector.RunID, epoch identifier.Epoch) connector.OrderVerdict {
	if epoch < w.epoch {
		return connector.VerdictFenced
	}
	w.epoch = epoch
	w.highestAttempt[run.Task] = max(w.highestAttempt[run.Task], run.Attempt)
	r, ok := w.runs[run]
	if !ok || r.stopping {
		return connector.VerdictOK
	}
	r.stopping = true
	time.AfterFunc(stopDelay, func() {
		f.lock()
		defer f.unlock()
		if w.runs[run] == r {
			f.endRun(w, run, connector.EndStopped)
		}
	})
	return connector.VerdictOK
}

// SetPace implements connector.Runner; it has no effect on the run.
func (c *fleetClient) SetPace(ctx context.Context, to connector.WorkerTarget, _ connector.RunID, _ int, _ identifier.Epoch) (connector.OrderAnswer, error) {
	return c.carryOut(ctx, to, func(*simWorker) connector.OrderVerdict { return connector.VerdictOK })
}

// Hold implements connector.Runner. It waits up to o.Wait for a run to end if there are no
// unacknowledged ends.
func (c *fleetClient) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	w, late, err := c.reach(ctx, to)
	if errors.Is(err, errOtherIncarnation) {
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
	runEnded, nothingEnded, bootedAt := w.runEnded, len(w.endedRuns) == 0, w.bootedAt
	f.unlock()
	if nothingEnded && o.Wait > 0 {
		t := time.NewTimer(o.Wait)
		defer t.Stop()
		select {
		case <-runEnded:
		case <-t.C:
		case <-ctx.Done():
			return connector.HoldAnswer{}, errors.Mark(ctx.Err(), connector.ErrUnknown)
		}
	}
	f.lock()
	// A call that a worker holds back ends with that incarnation of the worker.
	cut := !w.up || !w.bootedAt.Equal(bootedAt) || w.faults.Cut || late > 0
	out, delay := w.holdAnswer(), f.answerDelay(w)
	f.unlock()
	if cut {
		<-ctx.Done()
		return connector.HoldAnswer{}, errors.Mark(ErrDown, connector.ErrUnknown)
	}
	return out, wait(ctx, delay)
}

// acknowledge drops the ends up to a number. The tasks of successful runs among them count as
// done from then on, unless the lease expired after the end.
func (f *Fleet) acknowledge(w *simWorker, upTo identifier.EndNumber) {
	kept := w.endedRuns[:0]
	for _, e := range w.endedRuns {
		if e.Number > upTo {
			kept = append(kept, e)
			continue
		}
		if e.Reason == connector.EndDone && e.Number > w.lastEndAtExpiry {
			f.done[e.Run.Task] = true
		}
	}
	w.endedRuns = kept
}

// holdAnswer returns the worker's active runs and its unacknowledged ends.
func (w *simWorker) holdAnswer() connector.HoldAnswer {
	out := connector.HoldAnswer{
		OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: w.clock()},
		StartedAt:   identifier.UnixMillis(w.bootedAt.UnixMilli()),
		Ended:       append([]connector.EndedRun(nil), w.endedRuns...),
	}
	for run, r := range w.runs {
		out.Active = append(out.Active, connector.ActiveRun{Run: run, Percent: r.percent()})
	}
	return out
}
