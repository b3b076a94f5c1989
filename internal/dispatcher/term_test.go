package dispatcher

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of each randomised test")
	seeds     = flag.Uint64("seeds", 12, "number of seeds of each randomised test")
)

const (
	testService identifier.Service = "rakes"
	testQueue   identifier.Queue   = "plans"
	testLease                      = 5 * time.Second
	testGrace                      = 3 * time.Second
)

var testConfig = connector.QueueConfig{Name: testQueue, Service: testService, MaxAttempts: 4, Stretch: 2, Allowance: identifier.Duration(time.Second)}

// testCell simulates a cell with a store, workers and one current holder. Former holders may still
// run, as they do after a takeover of which they do not know yet.
type testCell struct {
	t           *testing.T
	store       *simulator.Store
	fleet       *simulator.Fleet
	rand        *rand.Rand
	jobs        map[identifier.Job]submitter.Job
	holder      atomic.Pointer[testHolder]
	holderCount int
	// currentDirectory returns the directory that holders get; tests may replace it.
	currentDirectory func() connector.Directory
	// wrapRunner wraps the runner of each new holder.
	wrapRunner func(connector.Runner) connector.Runner
	// onAppend is called for each append of a holder; nil carries them out.
	onAppend atomic.Pointer[onAppendFunc]
	// retention is how long holders remember ended jobs.
	retention time.Duration
	// maxLease is the longest lease that workers grant; zero stands for testLease.
	maxLease time.Duration
	// decodeDelay is how long it takes a holder to decode a submission.
	decodeDelay time.Duration
	stop        context.CancelFunc
	ctx         context.Context
	// clocks are the readings of the cell's clock that the next holder has observed.
	clocks    renewer.ClockTracker
	startedAt time.Time
}

// testHolder is a host that runs a term of the cell.
type testHolder struct {
	term atomic.Pointer[Term]
	name string
	// kill crashes the holder; stop shuts it down, so that it hands its leases over.
	kill, stop func()
	done       chan struct{}
	// lastSeen is the start of the last call that the store answered, in Unix nanoseconds.
	lastSeen atomic.Int64
	// tenure is the number for WithTenure.
	tenure atomic.Uint64
	// disconnected is set while the holder's appends do not reach the store.
	disconnected atomic.Bool
}

// disconnectableStore is a store whose appends fail while disconnected is set.
type disconnectableStore struct {
	connector.Store
	disconnected *atomic.Bool
}

// Append implements connector.Store.
func (s disconnectableStore) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	if s.disconnected.Load() {
		return 0, errors.Mark(errors.New("disconnected from the store"), connector.ErrNotSent)
	}
	return s.Store.Append(ctx, a)
}

// onAppendFunc is called in place of an append of a holder; do carries it out.
type onAppendFunc func(h *testHolder, a connector.KeyedAppend, do func() (identifier.Offset, error)) (identifier.Offset, error)

// interceptedStore is the store of a holder whose appends a test may intercept.
type interceptedStore struct {
	connector.Store
	cell   *testCell
	holder *testHolder
}

// Append implements connector.Store.
func (s interceptedStore) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	do := func() (identifier.Offset, error) { return s.Store.Append(ctx, a) }
	if f := s.cell.onAppend.Load(); f != nil {
		return (*f)(s.holder, a, do)
	}
	return do()
}

// interceptAppends sets the function that is called for each append of a holder.
func (c *testCell) interceptAppends(f onAppendFunc) { c.onAppend.Store(&f) }

// testWorkers is the number of workers of most tests.
const testWorkers = 6

func workerID(n int) identifier.Worker { return identifier.Worker(fmt.Sprintf("w%d", n)) }

func newTestCell(t *testing.T, seed uint64) *testCell {
	c := &testCell{t: t, rand: rand.New(rand.NewPCG(seed, 2)), jobs: map[identifier.Job]submitter.Job{}, store: simulator.NewStore(1, seed)}
	c.currentDirectory, c.retention, c.startedAt = c.directory, time.Minute, time.Now()
	c.wrapRunner = func(r connector.Runner) connector.Runner { return r }
	c.ctx, c.stop = context.WithCancel(t.Context())
	c.fleet = simulator.NewFleet(seed, c.runOutcome, c.taskSize)
	c.addWorkers(testWorkers)
	return c
}

// addWorkers adds the first n workers to the fleet.
func (c *testCell) addWorkers(n int) {
	for i := range n {
		c.fleet.Add(connector.WorkerEntry{
			ID: workerID(i), Service: testService, Address: string(workerID(i)), DataCentre: "a",
			Capacity: identifier.Size{Processors: 8000, Memory: 16000},
		})
	}
}

// runOutcome returns how long a run takes and whether it fails, as a function of its name. Runs
// take 100 to 1600 ms, and one in fifty fails.
func (c *testCell) runOutcome(run connector.RunID) (time.Duration, bool) {
	h := identifier.Rank(run.Task.String(), fmt.Sprint(run.Attempt))
	return time.Duration(100+h%1500) * time.Millisecond, h%50 == 0
}

func (c *testCell) taskSize(task identifier.JobTask) identifier.Size {
	return c.jobs[task.Job].Steps[task.Step].Size
}

// testSettings returns the settings of a term of the named host.
func testSettings(name string) Settings {
	return Settings{
		SaveInterval: 10 * time.Millisecond, RenewalGrace: testGrace, Member: name,
		Planner: planner.Settings{
			Lease: testLease, InheritedLease: testGrace + testLease*51/50, MaxDirectoryAge: 1600 * time.Millisecond, Retention: time.Minute,
		},
	}
}

// takeOver begins the term of a new holder without telling the previous one.
func (c *testCell) takeOver() {
	c.holderCount++
	name := fmt.Sprintf("host%d", c.holderCount)
	runner, disconnect := c.fleet.Client()
	ctx, cancel := context.WithCancel(c.ctx)
	h := &testHolder{name: name, done: make(chan struct{})}
	h.lastSeen.Store(time.Now().UnixNano())
	runner = c.wrapRunner(runner)
	h.term.Store(c.newTerm(h, runner))
	h.kill = func() { h.disconnected.Store(true); disconnect(); cancel() }
	h.stop = func() { cancel(); <-h.done }
	go func() {
		defer close(h.done)
		_ = h.term.Load().Run(ctx, c.currentDirectory())
		// The newest holder begins another term after it was superseded, as the member to which
		// the store has assigned the cell does.
		for ctx.Err() == nil && c.holder.Load() == h {
			sleeper.Pause(ctx, 200*time.Millisecond)
			h.term.Store(c.newTerm(h, runner))
			_ = h.term.Load().Run(ctx, c.currentDirectory())
		}
	}()
	go c.feedDirectory(ctx, h)
	c.holder.Store(h)
}

func (c *testCell) newTerm(h *testHolder, runner connector.Runner) *Term {
	s := testSettings(h.name)
	s.Planner.Retention, s.Planner.MaxLease = c.retention, c.maxLease
	store := interceptedStore{disconnectableStore{c.store.Client(h.name), &h.disconnected}, c, h}
	return NewTerm(0, s, store, runner, zap.NewNop(),
		WithClockEstimate(func(_ context.Context, id renewer.TakeoverID, _ time.Duration) renewer.ClockEstimate {
			defer c.clocks.ObserveTakeover(0, id, c.uptime())
			return c.clocks.Estimate(0, c.uptime())
		}), WithUptime(c.uptime),
		WithTenure(h.tenure.Load), WithConfigObserver(func(identifier.ConfigVersion) { time.Sleep(c.decodeDelay) }),
		WithValidity(func() bool { return true }, func() time.Duration { return time.Since(time.Unix(0, h.lastSeen.Load())) }))
}

func (c *testCell) uptime() time.Duration { return time.Since(c.startedAt) }

// feedDirectory sends a term the directory while its host reaches the store, and lets other hosts
// observe the holder's clock.
func (c *testCell) feedDirectory(ctx context.Context, h *testHolder) {
	store := c.store.Client(h.name)
	for ctx.Err() == nil {
		began := time.Now()
		if r, ok := h.term.Load().CellClock(); ok && !h.disconnected.Load() {
			c.clocks.Observe(0, r, c.uptime())
		}
		call, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		_, err := store.Owners(call, "none")
		cancel()
		if err == nil {
			h.lastSeen.Store(began.UnixNano())
			h.term.Load().Notify(planner.DirectoryChanged{Directory: c.currentDirectory()})
		}
		sleeper.Pause(ctx, 200*time.Millisecond)
	}
}

func (c *testCell) directory() connector.Directory {
	return connector.Directory{
		Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{testQueue: testConfig},
		ConfigReadAt: time.Now(), WorkersReadAt: time.Now(), Workers: c.fleet.Entries(),
	}
}

// testJobs is the number of jobs of a randomised test.
const testJobs = 60

func jobID(n int) identifier.Job { return identifier.Job(fmt.Sprintf("%016x", n)) }

// createJobs creates testJobs jobs of two steps each, without submitting them.
func (c *testCell) createJobs() {
	for n := range testJobs {
		c.jobs[jobID(n)] = submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
			{Count: 1 + c.rand.IntN(5), Size: identifier.Size{Processors: 1500, Memory: 1000}},
			{Count: 1 + c.rand.IntN(5), Size: identifier.Size{Processors: 2500, Memory: 2000}, After: []int{0}},
		}}
	}
}

// submit stores a job in the inbox, as the host that accepts it does.
func (c *testCell) submit(job submitter.Job) {
	record, err := intake.EncodeSubmission(intake.Submission{Job: job, Queue: testConfig})
	if err != nil {
		c.t.Fatal(err)
	}
	c.appendInbox(record)
}

func (c *testCell) cancel(id identifier.Job) {
	record, err := intake.EncodeCancellation(intake.Cancellation{ID: id})
	if err != nil {
		c.t.Fatal(err)
	}
	c.appendInbox(record)
}

// appendInbox adds a record to the inbox. It retries until the store answers, since a record that
// was added twice has no further effect.
func (c *testCell) appendInbox(r connector.KeyedRecord) {
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		_, err := c.store.Client("caller").Append(ctx, connector.KeyedAppend{Topic: intake.TopicInbox, Records: []connector.KeyedRecord{r}})
		cancel()
		if err == nil {
			return
		}
	}
}

// waitForJobs waits until every job has ended, at most for limit, and returns those that have not.
func (c *testCell) waitForJobs(limit time.Duration) map[identifier.Job]planner.JobState {
	left := map[identifier.Job]planner.JobState{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		clear(left)
		for id := range c.jobs {
			ctx, cancel := context.WithTimeout(c.ctx, time.Second)
			state, known, err := c.holder.Load().term.Load().State(ctx, id)
			cancel()
			if err != nil || !known || !state.Ended() {
				left[id] = state
			}
		}
		if len(left) == 0 {
			return left
		}
	}
	return left
}

// close stops all holders and waits until all goroutines of the test are done.
func (c *testCell) close() {
	c.stop()
	<-c.holder.Load().done
	time.Sleep(time.Minute)
	synctest.Wait()
}

// fault injects one fault into a cell. It may return before the fault is over.
type fault func(c *testCell)

func (c *testCell) randomWorker() identifier.Worker {
	return workerID(c.rand.IntN(testWorkers))
}

// killHolder crashes the holder, and begins the term of another one a while later.
func killHolder(c *testCell) {
	c.holder.Load().kill()
	time.Sleep(1200 * time.Millisecond)
	c.takeOver()
}

// replaceHolder begins a new term while the previous holder goes on for two more seconds.
func replaceHolder(c *testCell) {
	old := c.holder.Load()
	c.takeOver()
	time.AfterFunc(2*time.Second, old.kill)
}

// stopStore makes the store unavailable for one to nine seconds.
func stopStore(c *testCell) {
	c.store.SetFaults(simulator.StoreFaults{Down: true})
	time.Sleep(time.Duration(1+c.rand.IntN(9)) * time.Second)
	c.store.SetFaults(simulator.StoreFaults{})
}

// loseStoreAnswers makes the store slow and loses the answers to many writes.
func loseStoreAnswers(c *testCell) {
	c.store.SetFaults(simulator.StoreFaults{LoseAnswers: 0.4, Slow: 30 * time.Millisecond})
	time.Sleep(3 * time.Second)
	c.store.SetFaults(simulator.StoreFaults{})
}

// refuseHolder makes the store refuse the current holder, and replaces it.
func refuseHolder(c *testCell) {
	c.store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{c.holder.Load().name: true}})
	time.Sleep(1500 * time.Millisecond)
	replaceHolder(c)
	time.Sleep(4 * time.Second)
	c.store.SetFaults(simulator.StoreFaults{})
}

// expireHistory makes the store forget the records that newer ones have replaced.
func expireHistory(c *testCell) {
	c.store.ExpireHistory(intake.TopicInbox)
	c.store.ExpireHistory(TopicWork)
}

func crashWorker(c *testCell) {
	c.fleet.Crash(c.randomWorker(), time.Duration(c.rand.IntN(4000))*time.Millisecond)
}

// disconnectWorker makes a worker unreachable; its runs go on.
func disconnectWorker(c *testCell) {
	id := c.randomWorker()
	c.fleet.SetFaults(id, simulator.WorkerFaults{Cut: true})
	time.AfterFunc(time.Duration(1+c.rand.IntN(9))*time.Second, func() { c.fleet.SetFaults(id, simulator.WorkerFaults{}) })
}

// delayOrders makes all workers carry out some orders late and without an answer.
func delayOrders(c *testCell) {
	for i := range testWorkers {
		id := workerID(i)
		c.fleet.SetFaults(id, simulator.WorkerFaults{Late: 0.1})
		time.AfterFunc(4*time.Second, func() { c.fleet.SetFaults(id, simulator.WorkerFaults{}) })
	}
}

// failWorker makes the runs of a worker fail.
func failWorker(c *testCell) {
	id := c.randomWorker()
	c.fleet.SetFaults(id, simulator.WorkerFaults{Failing: true})
	time.AfterFunc(3*time.Second, func() { c.fleet.SetFaults(id, simulator.WorkerFaults{}) })
}

// cancelRandomJobs cancels each job with a probability of one quarter.
func cancelRandomJobs(c *testCell) {
	for id := range c.jobs {
		if c.rand.IntN(4) == 0 {
			c.cancel(id)
		}
	}
}

// TestPromisesUnderFaults injects faults into a cell. It checks, by what the workers saw, that no
// task runs twice at the same time or again after it was done, that no worker is overcommitted,
// and that every job ends.
func TestPromisesUnderFaults(t *testing.T) {
	tests := map[string][]fault{
		"calm":              {},
		"holder killed":     {killHolder, killHolder},
		"two holders":       {replaceHolder, replaceHolder},
		"store down":        {stopStore, stopStore},
		"answers lost":      {loseStoreAnswers, killHolder, loseStoreAnswers},
		"holder refused":    {refuseHolder},
		"history forgotten": {expireHistory, killHolder, expireHistory},
		"workers crash":     {crashWorker, crashWorker, killHolder, crashWorker},
		"workers cut":       {disconnectWorker, disconnectWorker, replaceHolder, disconnectWorker},
		"orders late":       {delayOrders, killHolder, delayOrders},
		"workers fail":      {failWorker, failWorker},
		"cancellations":     {cancelRandomJobs, killHolder, cancelRandomJobs},
		"all together": {
			delayOrders, disconnectWorker, killHolder, loseStoreAnswers, crashWorker, stopStore, cancelRandomJobs, replaceHolder, failWorker,
			disconnectWorker, refuseHolder, expireHistory, crashWorker, killHolder,
		},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runFaultTrial(t, seed, faults) })
				})
			}
		})
	}
}

// runFaultTrial injects the faults in random order while jobs are submitted, and then checks what
// the workers saw and that all jobs end.
func runFaultTrial(t *testing.T, seed uint64, faults []fault) {
	c := newTestCell(t, seed)
	defer c.close()
	c.createJobs()
	c.takeOver()
	go func() {
		for n := range testJobs {
			c.submit(c.jobs[jobID(n)])
			sleeper.Pause(c.ctx, 150*time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	order := c.rand.Perm(len(faults))
	for _, i := range order {
		faults[i](c)
		time.Sleep(time.Duration(c.rand.IntN(2000)) * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	left := c.waitForJobs(90 * time.Second)
	for _, b := range c.fleet.Breaches() {
		t.Error(b)
	}
	for id, state := range left {
		t.Errorf("job %s is still %q", id, state)
	}
}
