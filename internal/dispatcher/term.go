// Package dispatcher runs a cell while this host holds it: it takes the cell
// over, feeds the planner with what the store and the workers say, and carries
// out its commands.
package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/profiler"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// TopicWork holds the state of the jobs of each cell; each term begins with a record.
	TopicWork connector.Topic = "work"
	// inboxWait is how long a read of the inbox waits for a record.
	inboxWait = 900 * time.Millisecond
	// retryPause is the pause after a failed call of the store.
	retryPause = 60 * time.Millisecond
	// gatherPerWorker and gatherPerJob are the time for which events gather, by the
	// number of workers and of jobs that wait for room, since a pass of the planner
	// looks at all of them; maxGather bounds the delay that this adds to a start.
	gatherPerWorker = 10 * time.Microsecond
	gatherPerJob    = 10 * time.Microsecond
	maxGather       = 25 * time.Millisecond
	// maxGatherWorkers bounds the part of it that stems from the workers.
	maxGatherWorkers = 8 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = 1500 * time.Millisecond
	// poolSize bounds the orders under way at the same time.
	poolSize = 16384
)

// ErrSuperseded marks the end of a term because another holder has begun.
var ErrSuperseded = errors.New("another holder has taken over")

// ErrNotHolder marks a question to a host that does not hold the cell, or not
// yet.
var ErrNotHolder = errors.New("the cell is not held here")

// Settings are what terms keep to.
type Settings struct {
	Planner planner.Settings
	// SaveInterval is the least time between two appends of the cell's state.
	SaveInterval time.Duration
	// RenewalGrace is how long leases are renewed after the last call of the
	// store that succeeded.
	RenewalGrace time.Duration
	Member       string
}

// Term is one holder's time with a cell.
type Term struct {
	cell     identifier.Cell
	settings Settings
	store    connector.Store
	runner   connector.Runner
	adviser  connector.Adviser
	logger   *zap.Logger
	log      planner.Log
	valid    func() bool
	unseen   func() time.Duration
	waited   func(time.Duration)
	heard    func(context.Context) renewer.ClockReading
	tenure   func() uint64
	attended func() bool
	uptime   func() time.Duration

	events *eventQueue
	load   load
	save   chan struct{}
	pool   *ants.Pool
	// withheld is set while leases are not renewed, since the store was not reached.
	withheld atomic.Bool
	// confirmed is the tenure in which the store has last taken an append of this term.
	confirmed atomic.Uint64
	// clock is the cell's clock at the beginning of the term; nil before it.
	clock atomic.Pointer[cellClock]

	mu      sync.Mutex
	planner *planner.Planner
	inbox   identifier.Offset

	// writer is that of the next append, and unanswered are the records of one under way.
	writer     connector.WriterID
	unanswered []connector.KeyedRecord
}

// Option changes a new term.
type Option func(*Term)

// WithLog sets where the planner's decisions go.
func WithLog(l planner.Log) Option { return func(t *Term) { t.log = l } }

// WithAdviser sets who decides about the workers of advised queues; without one their
// jobs wait.
func WithAdviser(a connector.Adviser) Option { return func(t *Term) { t.adviser = a } }

// WithEventWaitRecorder sets what is told how long the oldest event of each pass has waited
// for the planner.
func WithEventWaitRecorder(record func(time.Duration)) Option {
	return func(t *Term) { t.waited = record }
}

// WithClockEstimate sets what is asked, as the term begins, what was heard of the cell's clock.
func WithClockEstimate(heard func(context.Context) renewer.ClockReading) Option {
	return func(t *Term) { t.heard = heard }
}

// WithValidity sets what is asked before each start whether this host still
// may act as the holder, and before each renewal how long ago that was certain.
func WithValidity(valid func() bool, unseen func() time.Duration) Option {
	return func(t *Term) { t.valid, t.unseen = valid, unseen }
}

// WithUptime sets a clock that goes on while the machine is suspended; the default is the
// runtime's, which does not.
func WithUptime(uptime func() time.Duration) Option { return func(t *Term) { t.uptime = uptime } }

// WithTenure sets what is asked for a number that changes when another host may have begun a
// term meanwhile. Leases are renewed only once the store has taken an append since.
func WithTenure(tenure func() uint64) Option { return func(t *Term) { t.tenure = tenure } }

// WithPauseCheck sets what is asked before each answer about jobs whether this process has not
// been paused: what it knows may be older than what callers were told by others.
func WithPauseCheck(attended func() bool) Option { return func(t *Term) { t.attended = attended } }

// NewTerm returns a term of a cell that has not begun.
func NewTerm(cell identifier.Cell, s Settings, store connector.Store, runner connector.Runner, logger *zap.Logger, opts ...Option) *Term {
	created := time.Now()
	t := &Term{
		cell: cell, settings: s, store: store, runner: runner,
		adviser: noAdviser{},
		logger:  logger.With(zap.Int("cell", int(cell))),
		valid:   func() bool { return true }, unseen: func() time.Duration { return 0 },
		waited: func(time.Duration) {}, heard: func(context.Context) renewer.ClockReading { return renewer.ClockReading{} },
		tenure: func() uint64 { return 0 }, attended: func() bool { return true },
		uptime: func() time.Duration { return time.Since(created) },
		events: newEventQueue(),
		save:   make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Run takes the cell over and schedules until ctx ends or another holder takes
// over; that error is marked ErrSuperseded.
func (t *Term) Run(ctx context.Context, directory connector.Directory) error {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "create pool of orders")
	}
	defer pool.Release()
	t.pool = pool
	if err := t.takeOver(ctx); err != nil {
		return err
	}
	t.Notify(planner.DirectoryChanged{Directory: directory})
	g, running := errgroup.WithContext(ctx)
	g.Go(func() error { return t.followInbox(running) })
	g.Go(func() error { return t.plan(running) })
	g.Go(func() error { return t.keepSaving(running) })
	g.Go(func() error { return t.reportStats(running) })
	err = g.Wait()
	if err == nil && ctx.Err() != nil {
		t.handOver(ctx)
	}
	return err
}

// cellClock is a reading of the cell's clock at an uptime of this host.
type cellClock struct {
	renewer.ClockReading
	uptime time.Duration
}

// CellClock returns the reading of the cell's clock for other hosts; ok is false before the
// cell was taken over. It does not wait for the planner.
func (t *Term) CellClock() (r renewer.ClockReading, ok bool) {
	c := t.clock.Load()
	if c == nil {
		return renewer.ClockReading{}, false
	}
	return renewer.ClockReading{Epoch: c.Epoch, Clock: c.Clock + renewer.Time(t.uptime()-c.uptime)}, true
}

// Notify hands an event to the planner. It never blocks, and no event is lost; those
// that wait are bounded by the orders under way.
func (t *Term) Notify(e planner.Event) { t.events.put(e) }

// plan feeds the planner until ctx ends.
func (t *Term) plan(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.events.ready:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		sleeper.Pause(ctx, t.gatherTime())
		batch, waited := t.events.take()
		if len(batch) > 0 {
			t.waited(waited)
			t.load.passed(waited)
		}
		if waited > slowEvents {
			t.logger.Warn("planner is behind", zap.Duration("waitedMs", waited), zap.Int("events", len(batch)))
		}
		wake, err := t.update(ctx, batch)
		if err != nil {
			return err
		}
		timer.Reset(max(time.Until(wake), 0))
	}
}

// slowEvents is how long an event may wait before that is worth a log line: an order
// counts as unanswered after twice as long.
const slowEvents = 200 * time.Millisecond

// gatherTime returns how long events gather before the planner takes them.
func (t *Term) gatherTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	workers := min(time.Duration(t.planner.Workers())*gatherPerWorker, maxGatherWorkers)
	return min(workers+time.Duration(t.planner.WaitingJobs())*gatherPerJob, maxGather)
}

// update runs the planner once and carries its commands out.
func (t *Term) update(ctx context.Context, batch []planner.Event) (wake time.Time, err error) {
	t.mu.Lock()
	commands := t.planner.Update(time.Now(), batch...)
	dirty := t.planner.Dirty()
	wake = t.planner.NextWake()
	t.mu.Unlock()
	if dirty || t.unconfirmed() {
		select {
		case t.save <- struct{}{}:
		default:
		}
	}
	began := time.Now()
	defer func() { t.load.profile.Add(profiler.PhaseDispatch, time.Since(began)) }()
	for _, c := range commands {
		if err := t.carryOut(ctx, c); err != nil {
			return wake, err
		}
	}
	return wake, nil
}

// State returns the state of a job.
func (t *Term) State(ctx context.Context, id identifier.Job) (state planner.JobState, ok bool, err error) {
	return query(ctx, t, id, (*planner.Planner).State)
}

// Report returns what callers may know of a job.
func (t *Term) Report(ctx context.Context, id identifier.Job) (r submitter.Report, ok bool, err error) {
	return query(ctx, t, id, (*planner.Planner).Report)
}

// Explain says why a job is where it is.
func (t *Term) Explain(ctx context.Context, id identifier.Job) (e submitter.Explanation, ok bool, err error) {
	return query(ctx, t, id, (*planner.Planner).Explain)
}

// List returns the selected jobs.
func (t *Term) List(s submitter.Selection) (submitter.Reports, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil || !t.attended() {
		return submitter.Reports{}, ErrNotHolder
	}
	return t.planner.List(s), nil
}

// query asks the planner about a job. One that is not known is looked for in the
// newest records of the inbox before it is said to be unknown.
func query[T any](ctx context.Context, t *Term, id identifier.Job, ask func(*planner.Planner, identifier.Job) (T, bool)) (out T, ok bool, err error) {
	if out, ok, err = lookUp(t, id, ask); ok || err != nil {
		return out, ok, err
	}
	if err := t.refresh(ctx); err != nil {
		return out, false, err
	}
	return lookUp(t, id, ask)
}

func lookUp[T any](t *Term, id identifier.Job, ask func(*planner.Planner, identifier.Job) (T, bool)) (out T, ok bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil || !t.attended() {
		return out, false, ErrNotHolder
	}
	out, ok = ask(t.planner, id)
	return out, ok, nil
}

// Waiting returns how many jobs of a queue have not started.
func (t *Term) Waiting(queue identifier.Queue) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil || !t.attended() {
		return 0, ErrNotHolder
	}
	return t.planner.UnstartedJobs(queue), nil
}

// Stats returns the planner's present counts.
func (t *Term) Stats() planner.Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil {
		return planner.Stats{}
	}
	return t.planner.Stats()
}

// refresh reads the records that have come to the inbox since the last read.
func (t *Term) refresh(ctx context.Context) error {
	for more := true; more; {
		news, err := t.store.Read(ctx, intake.TopicInbox, connector.Partition(t.cell), t.inboxRead(), 0)
		if err != nil {
			return err
		}
		t.receive(news.Records, news.Next)
		t.Notify(planner.Ticked{})
		more = news.More
	}
	return nil
}

// inboxRead returns the offset up to which the inbox was read.
func (t *Term) inboxRead() identifier.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inbox
}

// receive applies records of the inbox; one that is applied twice changes
// nothing.
func (t *Term) receive(records []connector.KeyedRecord, next identifier.Offset) {
	events := t.inboxEvents(records)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inbox = max(t.inbox, next)
	t.planner.Inform(time.Now(), events...)
}

func (t *Term) inboxEvents(records []connector.KeyedRecord) []planner.Event {
	events := make([]planner.Event, 0, len(records))
	for _, r := range records {
		e, ok, err := intake.Decode(r)
		if err != nil {
			t.logger.Error("inbox record skipped", logger.Err(err))
			continue
		}
		switch {
		case !ok:
		case e.Submission != nil:
			events = append(events, planner.JobSubmitted{Job: e.Submission.Job, Queue: e.Submission.Queue, Key: r.Key, At: e.Submission.At})
		case e.Cancellation != nil:
			events = append(events, planner.JobCancelled{ID: e.Cancellation.ID, At: e.Cancellation.At})
		}
	}
	return events
}

func (t *Term) followInbox(ctx context.Context) error {
	source := logger.Dependency{Name: "inbox", Logger: t.logger}
	for ctx.Err() == nil {
		news, err := t.store.Read(ctx, intake.TopicInbox, connector.Partition(t.cell), t.inboxRead(), inboxWait)
		if errors.Is(err, connector.ErrExpired) {
			news.Records, news.Next, err = connector.NewestAll(ctx, t.store, intake.TopicInbox, connector.Partition(t.cell))
		}
		source.Report(err)
		if err != nil {
			sleeper.Pause(ctx, retryPause)
			continue
		}
		if len(news.Records) > 0 {
			t.receive(news.Records, news.Next)
			t.Notify(planner.Ticked{})
		}
	}
	return nil
}
