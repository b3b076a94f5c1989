// Package dispatcher runs a cell's scheduler while this host is the cell's holder. It takes over
// the stored state, passes events from the store and the workers to the planner, carries out the
// planner's commands and stores its changes.
package dispatcher

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/admitter"
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
	// TopicWork is the topic with the state of each cell: its jobs and the leases and health of
	// its workers. Each term begins with a record of its holder.
	TopicWork connector.Topic = "work"
	// inboxWait is how long a read of the inbox waits for new records.
	inboxWait = 900 * time.Millisecond
	// retryPause is the pause after a failed call of the store.
	retryPause = 60 * time.Millisecond
	// coalescePerWorker and coalescePerJob are how long events are collected before a pass of the
	// planner, for each worker and for each job that waits for room: the cost of a pass grows
	// with both. maxCoalesceDelay bounds the sum, which delays starts.
	coalescePerWorker = 10 * time.Microsecond
	coalescePerJob    = 10 * time.Microsecond
	maxCoalesceDelay  = 25 * time.Millisecond
	// maxCoalesceForWorkers bounds the part of the delay that depends on the workers.
	maxCoalesceForWorkers = 8 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = 1500 * time.Millisecond
	// maxOrdersInFlight is the size of the pool in which orders wait for their answers.
	maxOrdersInFlight = 16384
)

// ErrSuperseded marks the error of a term that ended because another holder took over the cell.
var ErrSuperseded = errors.New("another holder has taken over")

// ErrNotHolder is returned for queries about jobs before the cell is taken over, and after a pause
// of this process, while its state may be outdated.
var ErrNotHolder = errors.New("the cell is not held here")

// Settings configures a term.
type Settings struct {
	Planner planner.Settings
	// SaveInterval is the minimum time between two appends of the cell's state.
	SaveInterval time.Duration
	// RenewalGrace is how long leases are renewed after the last successful call of the store.
	RenewalGrace time.Duration
	// Member is the name of this host in the cell's record of its holder.
	Member string
}

// Term runs a cell on this host from its takeover until the host stops or is superseded. Its
// methods are safe for concurrent use; Run must be called only once.
type Term struct {
	cell     identifier.Cell
	settings Settings
	store    connector.Store
	runner   connector.Runner
	adviser  connector.Adviser
	// adviceLine is the line of the questions to the adviser.
	adviceLine *planner.AdviceLine
	logger     *zap.Logger
	decisions  planner.Log
	// The functions below are documented at the options that set them.
	valid          func() bool
	sinceStoreSeen func() time.Duration
	onEventWait    func(time.Duration)
	estimateClock  func(context.Context, renewer.TakeoverID, time.Duration) renewer.ClockEstimate
	tenure         func() uint64
	unpaused       func() bool
	observeConfig  func(identifier.ConfigVersion)
	uptime         func() time.Duration
	requestRoom    func(context.Context, identifier.Cell, planner.RoomNeed) error

	events *eventQueue
	stats  loadStats
	advice adviceCalls
	// saveDue holds a token while there are changes to store, or a tenure to confirm by an append.
	saveDue chan struct{}
	pool    *ants.Pool
	// renewalWithheld is set while canRenew reports false, so that each change is logged once.
	renewalWithheld atomic.Bool
	// confirmedTenure is the tenure, see WithTenure, at the last successful append of this term.
	confirmedTenure atomic.Uint64
	// confirmedAt is the uptime, in nanoseconds, at which the last successful append of this term was sent.
	confirmedAt atomic.Int64
	// startClock is the cell's clock at the start of the term; nil before the takeover is stored.
	startClock atomic.Pointer[cellClock]
	// attempts are the uptimes at which the attempts to take the cell over began whose append may
	// have been stored, and with which the term may start.
	attempts map[renewer.TakeoverID]time.Duration

	// mu guards the planner, which is nil before the takeover, and inboxOffset, from which the
	// inbox is to be read next.
	mu          sync.Mutex
	planner     *planner.Planner
	inboxOffset identifier.Offset

	// writer identifies the last append, and pendingAppend are its records while it is in flight.
	writer        connector.WriterID
	pendingAppend []connector.KeyedRecord
}

// Option configures a new term.
type Option func(*Term)

// WithLog sets the log of the planner's decisions.
func WithLog(l planner.Log) Option { return func(t *Term) { t.decisions = l } }

// WithAdviser sets the placement adviser, which chooses the workers for jobs of advised queues.
// Without an adviser these jobs wait.
func WithAdviser(a connector.Adviser) Option { return func(t *Term) { t.adviser = a } }

// WithAdviceLine sets the line of the questions to the adviser, which all terms of a host share.
func WithAdviceLine(l *planner.AdviceLine) Option { return func(t *Term) { t.adviceLine = l } }

// WithEventWaitRecorder sets a function that is called for each pass of the planner that takes
// events, with the time for which the oldest of them has waited.
func WithEventWaitRecorder(f func(time.Duration)) Option { return func(t *Term) { t.onEventWait = f } }

// WithClockEstimate sets a function that tells other hosts of an attempt to take the cell over, which
// began at an uptime of this host. It returns a lower bound, for that time, of the cell's clock and
// of the ages of earlier takeovers, by what this host and others have observed.
func WithClockEstimate(estimate func(ctx context.Context, takeover renewer.TakeoverID, began time.Duration) renewer.ClockEstimate) Option {
	return func(t *Term) { t.estimateClock = estimate }
}

// WithValidity sets two functions: valid reports before each start of a run whether this host may
// still act as the holder, and the other returns, before each renewal of a lease, how long ago the
// store last confirmed that.
func WithValidity(valid func() bool, sinceStoreSeen func() time.Duration) Option {
	return func(t *Term) { t.valid, t.sinceStoreSeen = valid, sinceStoreSeen }
}

// WithUptime sets a clock that includes the time for which the machine was suspended. The default
// is Go's monotonic clock, which does not.
func WithUptime(uptime func() time.Duration) Option { return func(t *Term) { t.uptime = uptime } }

// WithRoomRequests sets a function that asks the holder of another cell for idle workers, which arrive
// as grants in the inbox. By default there are no other cells.
func WithRoomRequests(request func(ctx context.Context, to identifier.Cell, need planner.RoomNeed) error) Option {
	return func(t *Term) { t.requestRoom = request }
}

// WithTenure sets a function that returns a number which changes whenever another host may have
// begun a term of the cell. After a change, leases are renewed only once an append has succeeded,
// which shows that this term is still the newest.
func WithTenure(tenure func() uint64) Option { return func(t *Term) { t.tenure = tenure } }

// WithPauseCheck sets a function that reports before each answer about jobs whether this process
// was running without a longer pause. After a pause, another holder may have given callers newer
// answers than this one can.
func WithPauseCheck(unpaused func() bool) Option { return func(t *Term) { t.unpaused = unpaused } }

// WithConfigObserver sets a function that receives the version of the configuration by which each job
// was accepted.
func WithConfigObserver(observe func(identifier.ConfigVersion)) Option {
	return func(t *Term) { t.observeConfig = observe }
}

// NewTerm returns a term of a cell; Run begins it.
func NewTerm(cell identifier.Cell, s Settings, store connector.Store, runner connector.Runner, logger *zap.Logger, opts ...Option) *Term {
	created := time.Now()
	t := &Term{
		cell: cell, settings: s, store: store, runner: runner,
		adviser: noAdviser{}, adviceLine: planner.NewAdviceLine(),
		logger: logger.With(zap.Int("cell", int(cell))),
		valid:  func() bool { return true }, sinceStoreSeen: func() time.Duration { return 0 },
		onEventWait: func(time.Duration) {}, estimateClock: func(context.Context, renewer.TakeoverID, time.Duration) renewer.ClockEstimate {
			return renewer.ClockEstimate{}
		},
		tenure: func() uint64 { return 0 }, unpaused: func() bool { return true }, observeConfig: func(identifier.ConfigVersion) {},
		uptime:      func() time.Duration { return time.Since(created) },
		requestRoom: func(context.Context, identifier.Cell, planner.RoomNeed) error { return nil },
		events:      newEventQueue(), attempts: map[renewer.TakeoverID]time.Duration{},
		saveDue: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Run takes the cell over and schedules its jobs until ctx ends, and then stores the expiry of the
// leases for the next holder. Its error is marked ErrSuperseded if another holder has taken over.
func (t *Term) Run(ctx context.Context, directory connector.Directory) error {
	pool, err := ants.NewPool(maxOrdersInFlight, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "create order pool")
	}
	defer pool.Release()
	t.pool = pool
	if err := t.takeOver(ctx); err != nil {
		return err
	}
	defer t.planner.LeaveAdviser()
	t.Notify(planner.DirectoryChanged{Directory: directory})
	g, runCtx := errgroup.WithContext(ctx)
	g.Go(func() error { return t.followInbox(runCtx) })
	g.Go(func() error { return t.planLoop(runCtx) })
	g.Go(func() error { return t.saveLoop(runCtx) })
	g.Go(func() error { return t.logStats(runCtx) })
	err = g.Wait()
	if err == nil && ctx.Err() != nil {
		t.handOver(ctx)
	}
	return err
}

// cellClock is a reading of the cell's clock, taken at the given uptime of this host.
type cellClock struct {
	renewer.ClockReading
	uptime time.Duration
}

// readAt relates a time of the runtime's clock that has passed to the uptime.
func (t *Term) readAt(now time.Time) renewer.Reading { return renewer.ReadAt(now, t.uptime) }

// CellClock returns the current reading of the cell's clock, for other hosts to observe; ok is
// false before the takeover is stored. It never waits for a pass of the planner.
func (t *Term) CellClock() (r renewer.ClockReading, ok bool) {
	c := t.startClock.Load()
	if c == nil {
		return renewer.ClockReading{}, false
	}
	return renewer.ClockReading{Epoch: c.Epoch, Clock: c.Clock + renewer.Time(t.uptime()-c.uptime)}, true
}

// Notify queues an event for the planner. It never blocks and drops no event; the length of the
// queue is bounded by the number of orders in flight.
func (t *Term) Notify(e planner.Event) { t.events.put(e) }

// planLoop runs the planner whenever events wait or its next wake-up is due, until ctx ends.
func (t *Term) planLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.events.ready:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		sleeper.Pause(ctx, t.coalesceDelay())
		batch, waited := t.events.take()
		if len(batch) > 0 {
			t.onEventWait(waited)
			t.stats.recordPass(waited)
		}
		if waited > slowEventWait {
			t.logger.Warn("planner is behind", zap.Duration("waitedMs", waited), zap.Int("events", len(batch)))
		}
		wake, err := t.runPlanner(ctx, batch)
		if err != nil {
			return err
		}
		timer.Reset(max(time.Until(wake), 0))
	}
}

// slowEventWait is the wait of an event from which a warning is logged. It is half the time after
// which an order counts as unanswered.
const slowEventWait = 200 * time.Millisecond

// coalesceDelay returns how long to collect events before the next pass of the planner.
func (t *Term) coalesceDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	workers := min(time.Duration(t.planner.Workers())*coalescePerWorker, maxCoalesceForWorkers)
	return min(workers+time.Duration(t.planner.WaitingJobs())*coalescePerJob, maxCoalesceDelay)
}

// runPlanner makes one pass of the planner over the events of a batch and carries out its
// commands. It returns when the planner next wants to run.
func (t *Term) runPlanner(ctx context.Context, batch []planner.Event) (wake time.Time, err error) {
	t.mu.Lock()
	commands := t.planner.Update(time.Now(), batch...)
	dirty := t.planner.Dirty()
	wake = t.planner.NextWake()
	t.mu.Unlock()
	if dirty || t.unconfirmed() {
		select {
		case t.saveDue <- struct{}{}:
		default:
		}
	}
	began := time.Now()
	defer func() { t.stats.profile.Add(profiler.PhaseDispatch, time.Since(began)) }()
	for _, c := range commands {
		if err := t.execute(ctx, c); err != nil {
			return wake, err
		}
	}
	return wake, nil
}

// State returns the state of a job, or false if the job is unknown. The error is ErrNotHolder, or
// that of a read of the inbox.
func (t *Term) State(ctx context.Context, id identifier.Job) (state planner.JobState, ok bool, err error) {
	return queryJob(ctx, t, id, (*planner.Planner).State)
}

// Report returns the report about a job for its callers, or false if the job is unknown.
func (t *Term) Report(ctx context.Context, id identifier.Job) (r submitter.Report, ok bool, err error) {
	return queryJob(ctx, t, id, (*planner.Planner).Report)
}

// Explain returns why a job is in its current state, or false if the job is unknown.
func (t *Term) Explain(ctx context.Context, id identifier.Job) (e submitter.Explanation, ok bool, err error) {
	return queryJob(ctx, t, id, (*planner.Planner).Explain)
}

// Preview tells where the tasks of a job would run if it were submitted now, or ErrNotHolder.
func (t *Term) Preview(job submitter.Job, queue connector.QueueConfig) (submitter.Preview, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil || !t.unpaused() {
		return submitter.Preview{}, ErrNotHolder
	}
	return t.planner.Preview(job, queue), nil
}

// List returns reports of the selected jobs, or ErrNotHolder.
func (t *Term) List(s submitter.Selection) (submitter.Reports, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil || !t.unpaused() {
		return submitter.Reports{}, ErrNotHolder
	}
	return t.planner.List(s), nil
}

// Teams returns the usage of the teams that have jobs in the cell, or ErrNotHolder.
func (t *Term) Teams() ([]submitter.TeamUsage, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil || !t.unpaused() {
		return nil, ErrNotHolder
	}
	return t.planner.Teams(), nil
}

// queryJob calls get for a job. If the job is unknown, it reads the newest records of the inbox
// and tries again, since the job may just have been submitted.
func queryJob[T any](ctx context.Context, t *Term, id identifier.Job, get func(*planner.Planner, identifier.Job) (T, bool)) (out T, ok bool, err error) {
	if out, ok, err = lookUp(t, id, get); ok || err != nil {
		return out, ok, err
	}
	if err := t.catchUpInbox(ctx); err != nil {
		return out, false, err
	}
	return lookUp(t, id, get)
}

// lookUp calls get for a job while no pass of the planner runs.
func lookUp[T any](t *Term, id identifier.Job, get func(*planner.Planner, identifier.Job) (T, bool)) (out T, ok bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil || !t.unpaused() {
		return out, false, ErrNotHolder
	}
	out, ok = get(t.planner, id)
	return out, ok, nil
}

// Waiting returns the number of jobs of a queue that have not started, or ErrNotHolder.
func (t *Term) Waiting(queue identifier.Queue) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil || !t.unpaused() {
		return 0, ErrNotHolder
	}
	return t.planner.UnstartedJobs(queue), nil
}

// Stats returns the planner's current counters, which are zero before the cell is taken over.
func (t *Term) Stats() planner.Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil {
		return planner.Stats{}
	}
	return t.planner.Stats()
}

// Outlook returns what other hosts are told about the cell.
func (t *Term) Outlook() admitter.Outlook {
	o := admitter.Outlook{StoreDelay: t.stats.storeDelay(time.Now())}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner != nil {
		o.Services = t.planner.Backlog()
	}
	return o
}

// catchUpInbox reads and applies the records that were added to the inbox since the last read.
func (t *Term) catchUpInbox(ctx context.Context) error {
	for more := true; more; {
		page, err := t.store.Read(ctx, intake.TopicInbox, connector.Partition(t.cell), t.nextInboxOffset(), 0)
		if err != nil {
			return err
		}
		t.applyInbox(page.Records, page.Next)
		t.Notify(planner.Ticked{})
		more = page.More
	}
	return nil
}

// nextInboxOffset returns the offset from which the inbox is to be read next.
func (t *Term) nextInboxOffset() identifier.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inboxOffset
}

// applyInbox passes records of the inbox to the planner; next is the offset after them. Records that
// were passed before are left out: a job that was retired since then would be taken for a new one.
func (t *Term) applyInbox(records []connector.KeyedRecord, next identifier.Offset) {
	applied := t.nextInboxOffset()
	events := t.inboxEvents(slices.DeleteFunc(records, func(r connector.KeyedRecord) bool { return r.Offset < applied }))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inboxOffset = max(t.inboxOffset, next)
	t.planner.Inform(time.Now(), events...)
}

// inboxEvents decodes records of the inbox. Those that cannot be decoded are logged and skipped.
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
			events = append(events, planner.JobSubmitted{Job: e.Submission.Job, Queue: e.Submission.Queue, Key: r.Key, At: e.Submission.At, ConfigVersion: e.Submission.ConfigVersion, Team: e.Submission.Team})
			t.observeConfig(e.Submission.ConfigVersion)
		case e.Cancellation != nil:
			events = append(events, planner.JobCancelled{ID: e.Cancellation.ID, At: e.Cancellation.At, Key: r.Key})
		case e.Grant != nil:
			events = append(events, planner.WorkerGranted{Worker: e.Grant.Worker, From: e.Grant.From, Base: e.Grant.Base, Key: r.Key})
		}
	}
	return events
}

// followInbox waits for new records of the inbox and applies them until ctx ends.
func (t *Term) followInbox(ctx context.Context) error {
	inbox := logger.Dependency{Name: "inbox", Logger: t.logger}
	for ctx.Err() == nil {
		page, err := t.store.Read(ctx, intake.TopicInbox, connector.Partition(t.cell), t.nextInboxOffset(), inboxWait)
		if errors.Is(err, connector.ErrExpired) {
			page.Records, page.Next, err = connector.NewestAll(ctx, t.store, intake.TopicInbox, connector.Partition(t.cell))
		}
		inbox.Report(err)
		if err != nil {
			sleeper.Pause(ctx, retryPause)
			continue
		}
		if len(page.Records) > 0 {
			t.applyInbox(page.Records, page.Next)
			t.Notify(planner.Ticked{})
		}
	}
	return nil
}
