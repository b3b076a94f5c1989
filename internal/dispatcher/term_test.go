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
	firstSeed = flag.Uint64("seed", 1, "first seed of the trials")
	seeds     = flag.Uint64("seeds", 12, "seeds of each trial")
)

const (
	testService identifier.Service = "rakes"
	testQueue   identifier.Queue   = "plans"
	testLease                      = 5 * time.Second
	testGrace                      = 3 * time.Second
)

var testConfig = connector.QueueConfig{Name: testQueue, Service: testService, MaxAttempts: 4, Stretch: 2, Allowance: identifier.Duration(time.Second)}

// world is a cell with a store, workers, and one holder at a time.
type world struct {
	t      *testing.T
	store  *simulator.Store
	fleet  *simulator.Fleet
	rand   *rand.Rand
	jobs   map[identifier.Job]submitter.Job
	holder atomic.Pointer[holding]
	names  int
	// look returns the directory.
	look func() connector.Directory
	// wrap changes how the workers are reached.
	wrap func(connector.Runner) connector.Runner
	// retention is how long ended jobs are remembered.
	retention time.Duration
	stop      context.CancelFunc
	ctx       context.Context
	// witness is what the next holder has heard of the cell's clock.
	witness renewer.ClockTracker
	began   time.Time
}

// holding is a holder's term under way.
type holding struct {
	term atomic.Pointer[Term]
	name string
	// kill ends the holder at once; stop lets it end its term.
	kill, stop func()
	done       chan struct{}
	// lastSeen is when the store last answered, in Unix nanoseconds.
	lastSeen atomic.Int64
	// tenure rises when another holder may have begun meanwhile.
	tenure atomic.Uint64
	// dead is set once nothing that the holder sends leaves it.
	dead atomic.Bool
}

// mortal is a store as a process reaches it that may have been killed.
type mortal struct {
	connector.Store
	dead *atomic.Bool
}

// Append implements connector.Store.
func (m mortal) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	if m.dead.Load() {
		return 0, errors.Mark(errors.New("the process is gone"), connector.ErrNotSent)
	}
	return m.Store.Append(ctx, a)
}

// testWorkers is the number of workers of a trial.
const testWorkers = 6

func workerID(n int) identifier.Worker { return identifier.Worker(fmt.Sprintf("w%d", n)) }

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rand: rand.New(rand.NewPCG(seed, 2)), jobs: map[identifier.Job]submitter.Job{}, store: simulator.NewStore(1, seed)}
	w.look, w.retention, w.began = w.directory, time.Minute, time.Now()
	w.wrap = func(r connector.Runner) connector.Runner { return r }
	w.ctx, w.stop = context.WithCancel(t.Context())
	w.fleet = simulator.NewFleet(seed, w.behave, w.size)
	w.addWorkers(testWorkers)
	return w
}

// addWorkers adds the first n workers to the fleet.
func (w *world) addWorkers(n int) {
	for i := range n {
		w.fleet.Add(connector.WorkerEntry{
			ID: workerID(i), Service: testService, Address: string(workerID(i)), DataCentre: "a",
			Capacity: identifier.Size{Processors: 8000, Memory: 16000},
		})
	}
}

// behave makes runs take a time by their name and lets one in fifty fail.
func (w *world) behave(run connector.RunID) (time.Duration, bool) {
	h := identifier.Rank(run.Task.String(), fmt.Sprint(run.Attempt))
	return time.Duration(100+h%1500) * time.Millisecond, h%50 == 0
}

func (w *world) size(task identifier.JobTask) identifier.Size {
	return w.jobs[task.Job].Steps[task.Step].Size
}

// settings are those of every term of a world.
func settings(name string) Settings {
	return Settings{
		SaveInterval: 10 * time.Millisecond, RenewalGrace: testGrace, Member: name,
		Planner: planner.Settings{
			Lease: testLease, InheritedLease: testGrace + testLease*51/50, MaxDirectoryAge: 1600 * time.Millisecond, Retention: time.Minute,
		},
	}
}

// takeOver begins a term of a new holder; the one before is not told.
func (w *world) takeOver() {
	w.names++
	name := fmt.Sprintf("host%d", w.names)
	runner, cut := w.fleet.Client()
	ctx, cancel := context.WithCancel(w.ctx)
	h := &holding{name: name, done: make(chan struct{})}
	h.lastSeen.Store(time.Now().UnixNano())
	runner = w.wrap(runner)
	h.term.Store(w.newTerm(h, runner))
	h.kill = func() { h.dead.Store(true); cut(); cancel() }
	h.stop = func() { cancel(); <-h.done }
	go func() {
		defer close(h.done)
		_ = h.term.Load().Run(ctx, w.look())
		// The newest holder begins again after another was faster, as the member
		// that the store has given the cell to does.
		for ctx.Err() == nil && w.holder.Load() == h {
			sleeper.Pause(ctx, 200*time.Millisecond)
			h.term.Store(w.newTerm(h, runner))
			_ = h.term.Load().Run(ctx, w.look())
		}
	}()
	go w.feed(ctx, h)
	w.holder.Store(h)
}

func (w *world) newTerm(h *holding, runner connector.Runner) *Term {
	s := settings(h.name)
	s.Planner.Retention = w.retention
	return NewTerm(0, s, mortal{w.store.Client(h.name), &h.dead}, runner, zap.NewNop(),
		WithClockEstimate(func(context.Context) renewer.ClockReading { return w.witness.Estimate(0, w.uptime()) }),
		WithTenure(h.tenure.Load),
		WithValidity(func() bool { return true }, func() time.Duration { return time.Since(time.Unix(0, h.lastSeen.Load())) }))
}

func (w *world) uptime() time.Duration { return time.Since(w.began) }

// feed tells a term about the directory while it reaches the store.
func (w *world) feed(ctx context.Context, h *holding) {
	store := w.store.Client(h.name)
	for ctx.Err() == nil {
		began := time.Now()
		if r, ok := h.term.Load().CellClock(); ok && !h.dead.Load() {
			w.witness.Observe(0, r, w.uptime())
		}
		call, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		_, err := store.Owners(call, "none")
		cancel()
		if err == nil {
			h.lastSeen.Store(began.UnixNano())
			h.term.Load().Notify(planner.DirectoryChanged{Directory: w.look()})
		}
		sleeper.Pause(ctx, 200*time.Millisecond)
	}
}

func (w *world) directory() connector.Directory {
	return connector.Directory{
		Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{testQueue: testConfig},
		ConfigReadAt: time.Now(), WorkersReadAt: time.Now(), Workers: w.fleet.Entries(),
	}
}

// testJobs is the number of jobs of a trial.
const testJobs = 60

func jobID(n int) identifier.Job { return identifier.Job(fmt.Sprintf("%016x", n)) }

// prepare makes the jobs of a trial, of two steps each.
func (w *world) prepare() {
	for n := range testJobs {
		w.jobs[jobID(n)] = submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
			{Count: 1 + w.rand.IntN(5), Size: identifier.Size{Processors: 1500, Memory: 1000}},
			{Count: 1 + w.rand.IntN(5), Size: identifier.Size{Processors: 2500, Memory: 2000}, After: []int{0}},
		}}
	}
}

// submit stores a job as a host that accepts it does.
func (w *world) submit(job submitter.Job) {
	record, err := intake.EncodeSubmission(intake.Submission{Job: job, Queue: testConfig})
	if err != nil {
		w.t.Fatal(err)
	}
	w.put(record)
}

func (w *world) cancel(id identifier.Job) {
	record, err := intake.EncodeCancellation(intake.Cancellation{ID: id})
	if err != nil {
		w.t.Fatal(err)
	}
	w.put(record)
}

// put stores a record; a repeat after an answer that was lost is harmless.
func (w *world) put(r connector.KeyedRecord) {
	for w.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		_, err := w.store.Client("caller").Append(ctx, connector.KeyedAppend{Topic: intake.TopicInbox, Records: []connector.KeyedRecord{r}})
		cancel()
		if err == nil {
			return
		}
	}
}

// settle waits until every job has ended and returns those that did not.
func (w *world) settle(limit time.Duration) map[identifier.Job]planner.JobState {
	left := map[identifier.Job]planner.JobState{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		clear(left)
		for id := range w.jobs {
			ctx, cancel := context.WithTimeout(w.ctx, time.Second)
			state, known, err := w.holder.Load().term.Load().State(ctx, id)
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

// close ends all holders and waits for what is still under way.
func (w *world) close() {
	w.stop()
	<-w.holder.Load().done
	time.Sleep(time.Minute)
	synctest.Wait()
}

// trouble is one kind of fault, done once.
type trouble func(w *world)

func (w *world) anyWorker() identifier.Worker {
	return workerID(w.rand.IntN(testWorkers))
}

func killHolder(w *world) {
	w.holder.Load().kill()
	time.Sleep(1200 * time.Millisecond)
	w.takeOver()
}

// replaceHolder begins a term while the holder before still acts.
func replaceHolder(w *world) {
	old := w.holder.Load()
	w.takeOver()
	time.AfterFunc(2*time.Second, old.kill)
}

func storeDown(w *world) {
	w.store.SetFaults(simulator.StoreFaults{Down: true})
	time.Sleep(time.Duration(1+w.rand.IntN(9)) * time.Second)
	w.store.SetFaults(simulator.StoreFaults{})
}

func answersLost(w *world) {
	w.store.SetFaults(simulator.StoreFaults{LoseAnswers: 0.4, Slow: 30 * time.Millisecond})
	time.Sleep(3 * time.Second)
	w.store.SetFaults(simulator.StoreFaults{})
}

func holderRefused(w *world) {
	w.store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{w.holder.Load().name: true}})
	time.Sleep(1500 * time.Millisecond)
	replaceHolder(w)
	time.Sleep(4 * time.Second)
	w.store.SetFaults(simulator.StoreFaults{})
}

func historyForgotten(w *world) {
	w.store.ExpireHistory(intake.TopicInbox)
	w.store.ExpireHistory(TopicWork)
}

func workerCrash(w *world) {
	w.fleet.Crash(w.anyWorker(), time.Duration(w.rand.IntN(4000))*time.Millisecond)
}

func workerCut(w *world) {
	id := w.anyWorker()
	w.fleet.SetFaults(id, simulator.WorkerFaults{Cut: true})
	time.AfterFunc(time.Duration(1+w.rand.IntN(9))*time.Second, func() { w.fleet.SetFaults(id, simulator.WorkerFaults{}) })
}

func ordersLate(w *world) {
	for i := range testWorkers {
		id := workerID(i)
		w.fleet.SetFaults(id, simulator.WorkerFaults{Late: 0.1})
		time.AfterFunc(4*time.Second, func() { w.fleet.SetFaults(id, simulator.WorkerFaults{}) })
	}
}

func workerFails(w *world) {
	id := w.anyWorker()
	w.fleet.SetFaults(id, simulator.WorkerFaults{Failing: true})
	time.AfterFunc(3*time.Second, func() { w.fleet.SetFaults(id, simulator.WorkerFaults{}) })
}

func cancelSome(w *world) {
	for id := range w.jobs {
		if w.rand.IntN(4) == 0 {
			w.cancel(id)
		}
	}
}

// TestPromisesUnderFaults drives a cell through faults and checks, from what the
// workers saw, that no task runs twice at the same time or after it was done,
// that no worker is overcommitted, and that every job ends.
func TestPromisesUnderFaults(t *testing.T) {
	tests := map[string][]trouble{
		"calm":              {},
		"holder killed":     {killHolder, killHolder},
		"two holders":       {replaceHolder, replaceHolder},
		"store down":        {storeDown, storeDown},
		"answers lost":      {answersLost, killHolder, answersLost},
		"holder refused":    {holderRefused},
		"history forgotten": {historyForgotten, killHolder, historyForgotten},
		"workers crash":     {workerCrash, workerCrash, killHolder, workerCrash},
		"workers cut":       {workerCut, workerCut, replaceHolder, workerCut},
		"orders late":       {ordersLate, killHolder, ordersLate},
		"workers fail":      {workerFails, workerFails},
		"cancellations":     {cancelSome, killHolder, cancelSome},
		"all together": {
			ordersLate, workerCut, killHolder, answersLost, workerCrash, storeDown, cancelSome, replaceHolder, workerFails,
			workerCut, holderRefused, historyForgotten, workerCrash, killHolder,
		},
	}
	for name, troubles := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { play(t, seed, troubles) })
				})
			}
		})
	}
}

func play(t *testing.T, seed uint64, troubles []trouble) {
	w := newWorld(t, seed)
	defer w.close()
	w.prepare()
	w.takeOver()
	go func() {
		for n := range testJobs {
			w.submit(w.jobs[jobID(n)])
			sleeper.Pause(w.ctx, 150*time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	order := w.rand.Perm(len(troubles))
	for _, i := range order {
		troubles[i](w)
		time.Sleep(time.Duration(w.rand.IntN(2000)) * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	left := w.settle(90 * time.Second)
	for _, b := range w.fleet.Breaches() {
		t.Error(b)
	}
	for id, state := range left {
		t.Errorf("job %s is still %q", id, state)
	}
}
