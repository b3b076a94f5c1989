package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// owedAfter is how long after the troubles tasks are looked for that could run, and
	// owedWatch for how long.
	owedAfter = 14 * time.Second
	owedWatch = 8 * time.Second
	// owedTime is how long a job may have nothing running although a task's turn has come,
	// and owedLasting how long a task that lasts may be out.
	owedTime    = 3 * time.Second
	owedLasting = 6 * time.Second
	// owedGap is the time between two submissions.
	owedGap = 250 * time.Millisecond
	// forEver is how long a run of a task that lasts takes.
	forEver = time.Hour
)

var owedCentres = []identifier.DataCentre{"a", "b", "c"}

// owing is a world whose workers come and go and whose jobs are of all kinds.
type owing struct {
	*world
	mu        sync.Mutex
	ids       []identifier.Worker
	evacuated map[identifier.DataCentre]bool
	cancelled map[identifier.Job]bool
	stale     time.Duration
}

func newOwing(t *testing.T, seed uint64) *owing {
	w := newWorld(t, seed)
	o := &owing{world: w, evacuated: map[identifier.DataCentre]bool{}, cancelled: map[identifier.Job]bool{}}
	w.fleet = simulator.NewFleet(seed, o.behave, o.size, simulator.WithCopies(func(task identifier.JobTask) bool {
		return w.jobs[task.Job].Steps[task.Step].Copies
	}), simulator.WithLongestLease(testLease), simulator.WithSlowClocks())
	w.look, w.retention = o.directory, time.Hour
	for range testWorkers {
		o.arrive("")
	}
	return o
}

// arrive adds a worker, at the address of one before or at its own.
func (o *owing) arrive(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.ids)
	id := workerID(n)
	if address == "" {
		address = string(id)
	}
	o.ids = append(o.ids, id)
	o.fleet.Add(connector.WorkerEntry{
		ID: id, Service: testService, Address: address, DataCentre: owedCentres[n%len(owedCentres)],
		Capacity: identifier.Size{Processors: 8000, Memory: 16000},
	})
}

func (o *owing) behave(run connector.RunID) (time.Duration, bool) {
	step := o.jobs[run.Task.Job].Steps[run.Task.Step]
	h := identifier.Rank(run.Task.String(), fmt.Sprint(run.Attempt))
	if step.LongRunning && h%4 > 0 {
		return forEver, false
	}
	return time.Duration(100+h%1500) * time.Millisecond, h%50 == 0 || step.LongRunning
}

// size returns what a task takes of a worker's room.
func (o *owing) size(task identifier.JobTask) identifier.Size {
	step := o.jobs[task.Job].Steps[task.Step]
	size := step.Size
	if step.Scavenger {
		size.Processors = 0
	}
	return size
}

func (o *owing) directory() connector.Directory {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := time.Now().Add(-o.stale)
	return connector.Directory{
		Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{testQueue: testConfig},
		ConfigReadAt: seen, WorkersReadAt: seen, Workers: o.fleet.Entries(), Evacuated: maps.Clone(o.evacuated),
	}
}

// prepareAll makes jobs of all kinds.
func (o *owing) prepareAll() {
	small, large := identifier.Size{Processors: 1500, Memory: 1000}, identifier.Size{Processors: 2500, Memory: 2000}
	for n := range testJobs {
		count := func(most int) int { return 1 + o.rand.IntN(most) }
		job := submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s"}
		switch n % 6 {
		case 0:
			job.Steps = []submitter.Step{{Count: count(3), Size: small, LongRunning: true, Image: "watch", TailTarget: identifier.Duration(time.Second), MaxPerWorker: o.rand.IntN(2)}}
		case 1:
			job.Steps = []submitter.Step{{Count: count(4), Size: small, Scavenger: true, Image: "bill", Checkpoints: true}, {Count: count(4), Size: small, Scavenger: true, Image: "bill", After: []int{0}}}
		case 2:
			job.Steps = []submitter.Step{{Count: count(5), Size: small, Copies: true}, {Count: count(3), Size: large, Copies: true, After: []int{0}}}
		case 3:
			job.Schedule = &submitter.Schedule{First: identifier.UnixMillis(time.Now().Add(time.Duration(n) * owedGap).UnixMilli()), Period: identifier.Duration(4 * time.Second), Times: 1 + o.rand.IntN(3)}
			job.Steps = []submitter.Step{{Count: count(3), Size: large}, {Count: count(3), Size: small, After: []int{0}}}
		default:
			job.Steps = []submitter.Step{{Count: count(5), Size: small, MaxPerWorker: o.rand.IntN(3)}, {Count: count(5), Size: large, After: []int{0}}}
		}
		o.jobs[job.ID] = job
	}
}

func jobLasts(j submitter.Job) bool { return j.Steps[0].LongRunning }

// some returns a worker that is listed or not.
func (o *owing) some() identifier.Worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ids[len(o.ids)-1-o.rand.IntN(testWorkers)]
}

// within returns a random time of at most most.
func (o *owing) within(most time.Duration) time.Duration {
	return time.Duration(o.rand.Int64N(int64(most)))
}

func (o *owing) fault(id identifier.Worker, f simulator.WorkerFaults, d time.Duration) {
	o.fleet.SetFaults(id, f)
	time.AfterFunc(d, func() { o.fleet.SetFaults(id, simulator.WorkerFaults{}) })
}

// change is one kind of trouble with workers that come and go.
type change func(o *owing)

// leaves takes a worker away for good, and lets another come.
func leaves(o *owing) {
	id := o.some()
	o.fleet.Leave(id, o.within(4*time.Second))
	address := ""
	if o.rand.IntN(2) == 0 {
		address = string(id)
	}
	time.AfterFunc(o.within(6*time.Second), func() { o.arrive(address) })
}

// comesBack takes a worker away, and lets it come back under its identity.
func comesBack(o *owing) {
	id := o.some()
	o.fleet.Leave(id, o.within(3*time.Second))
	time.AfterFunc(o.within(9*time.Second), func() { o.fleet.Return(id) })
}

// unlisted keeps a worker that goes on out of the directory.
func unlisted(o *owing) {
	id := o.some()
	o.fault(id, simulator.WorkerFaults{Unlisted: true}, o.within(12*time.Second))
	if o.rand.IntN(2) == 0 {
		time.AfterFunc(o.within(5*time.Second), func() { o.fleet.Crash(id, 3*time.Second) })
	}
}

// lapses cuts a worker off for longer than its lease while orders are late, lets it answer
// again for a moment, and takes it away.
func lapses(o *owing) {
	id := o.some()
	late := simulator.WorkerFaults{Late: 0.5}
	o.fleet.SetFaults(id, late)
	at := o.within(2 * time.Second)
	time.AfterFunc(at, func() { o.fleet.SetFaults(id, simulator.WorkerFaults{Cut: true}) })
	at += 4*time.Second + o.within(5*time.Second)
	time.AfterFunc(at, func() { o.fleet.SetFaults(id, late) })
	at += o.within(time.Second)
	time.AfterFunc(at, func() {
		o.fleet.SetFaults(id, simulator.WorkerFaults{})
		o.fleet.Leave(id, 0)
		o.arrive("")
	})
}

func drains(o *owing) {
	id := o.some()
	o.fleet.SetDraining(id, true)
	back := o.rand.IntN(2) == 0
	time.AfterFunc(o.within(4*time.Second), func() {
		if back {
			o.fleet.SetDraining(id, false)
			return
		}
		o.fleet.Leave(id, time.Second)
		o.arrive("")
	})
}

func evacuates(o *owing) {
	centre := owedCentres[o.rand.IntN(len(owedCentres))]
	set := func(out bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.evacuated[centre] = out
	}
	set(true)
	time.AfterFunc(o.within(8*time.Second), func() { set(false) })
}

func hangs(o *owing) {
	o.fault(o.some(), simulator.WorkerFaults{Hanging: true}, o.within(6*time.Second))
}

// slows makes many answers come late or not in time, and some orders refused.
func slows(o *owing) {
	for range testWorkers / 2 {
		o.fault(o.some(), simulator.WorkerFaults{Slow: 700 * time.Millisecond, Refusing: 0.2}, o.within(6*time.Second))
	}
}

func late(o *owing) {
	for range 3 {
		o.fault(o.some(), simulator.WorkerFaults{Late: 0.4}, o.within(5*time.Second))
	}
}

func stale(o *owing) {
	set := func(d time.Duration) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.stale = d
	}
	set(3 * time.Second)
	time.AfterFunc(o.within(5*time.Second), func() { set(0) })
}

func cancels(o *owing) {
	for _, id := range slices.Sorted(maps.Keys(o.jobs)) {
		if o.rand.IntN(8) == 0 {
			o.mu.Lock()
			o.cancelled[id] = true
			o.mu.Unlock()
			o.cancel(id)
		}
	}
}

func old(t trouble) change { return func(o *owing) { t(o.world) } }

func crashes(o *owing) { o.fleet.Crash(o.some(), o.within(4*time.Second)) }

func cut(o *owing) {
	o.fault(o.some(), simulator.WorkerFaults{Cut: true}, o.within(10*time.Second))
}

// TestNothingIsOwedAfterFaults checks that no task which could run is left out once the
// troubles are over, with workers that come and go and jobs of all kinds.
func TestNothingIsOwedAfterFaults(t *testing.T) {
	tests := map[string][]change{
		"calm":              {},
		"workers leave":     {leaves, leaves, leaves, leaves},
		"workers return":    {comesBack, late, comesBack, late, comesBack, comesBack},
		"unlisted":          {unlisted, late, unlisted, unlisted, comesBack},
		"lapse and leave":   {lapses, lapses, late, lapses},
		"slow answers":      {slows, slows, late, slows, comesBack, slows},
		"drains":            {drains, evacuates, drains, hangs, drains, stale},
		"holders and lives": {old(killHolder), comesBack, leaves, old(replaceHolder), lapses, unlisted, late},
		"all together": {
			late, slows, leaves, comesBack, unlisted, lapses, drains, evacuates, hangs, stale, cancels, crashes, cut,
			old(killHolder), old(answersLost), old(storeDown), old(replaceHolder), old(holderRefused), late, comesBack, lapses,
		},
	}
	for name, changes := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { owe(t, seed, changes) })
				})
			}
		})
	}
}

func owe(t *testing.T, seed uint64, changes []change) {
	o := newOwing(t, seed)
	defer o.close()
	o.prepareAll()
	o.takeOver()
	go func() {
		for n := range testJobs {
			o.submit(o.jobs[jobID(n)])
			sleeper.Pause(o.ctx, owedGap)
		}
	}()
	time.Sleep(2 * time.Second)
	for _, i := range o.rand.Perm(len(changes)) {
		changes[i](o)
		time.Sleep(o.within(1500 * time.Millisecond))
	}
	time.Sleep(15*time.Second + owedAfter)
	for _, b := range o.watch() {
		t.Error(b)
	}
	if s := o.holder.Load().term.Load().Stats(); s.OverdueRuns > 0 {
		t.Errorf("%d runs are held for longer than a lease", s.OverdueRuns)
	}
	for id, j := range o.jobs {
		if jobLasts(j) {
			o.cancel(id)
		}
	}
	for id, state := range o.settle(60 * time.Second) {
		t.Errorf("job %s is still %q", id, state)
	}
	for _, b := range o.fleet.Breaches() {
		t.Error(b)
	}
}

// watch returns the jobs of which nothing ran for too long although it could.
func (o *owing) watch() []string {
	since := map[string]time.Time{}
	owed := map[string]bool{}
	for end := time.Now().Add(owedWatch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		now := time.Now()
		out := o.out()
		for name := range since {
			if _, still := out[name]; !still {
				delete(since, name)
			}
		}
		for name, limit := range out {
			if since[name].IsZero() {
				since[name] = now
			}
			if now.Sub(since[name]) > limit {
				owed[fmt.Sprintf("%s could run and does not", name)] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(owed))
}

// out returns what does not run although its turn has come and there is room, and for how
// long that may last.
func (o *owing) out() map[string]time.Duration {
	out := map[string]time.Duration{}
	if !o.fleet.HasRoom() {
		return out
	}
	for id, job := range o.jobs {
		state, known, err := o.holder.Load().term.Load().State(o.ctx, id)
		if err != nil || known && state.Ended() || o.cancelled[id] {
			continue
		}
		running, turn := o.turns(job)
		if jobLasts(job) {
			for _, task := range turn {
				out[task.String()] = owedLasting
			}
			continue
		}
		if running == 0 && len(turn) > 0 {
			out[string(id)] = owedTime
		}
	}
	return out
}

// turns returns how many tasks of a job run, and which could and do not.
func (o *owing) turns(job submitter.Job) (running int, out []identifier.JobTask) {
	if job.Schedule == nil {
		return o.turnsOf(job, 0)
	}
	for k := range job.Schedule.Times {
		if !time.Now().Before(job.Schedule.Due(k)) {
			n, tasks := o.turnsOf(job, k)
			running += n
			out = append(out, tasks...)
		}
	}
	return running, out
}

func (o *owing) turnsOf(job submitter.Job, occurrence int) (running int, out []identifier.JobTask) {
	done := make([]bool, len(job.Steps))
	for i, s := range job.Steps {
		ready := !slices.ContainsFunc(s.After, func(a int) bool { return !done[a] })
		done[i] = true
		for n := range s.Count {
			task := identifier.JobTask{Job: job.ID, Occurrence: occurrence, Step: i, Index: n}
			switch {
			case o.fleet.Running(task):
				running++
				done[i] = false
			case !o.fleet.Done(task):
				done[i] = false
				if ready {
					out = append(out, task)
				}
			}
		}
	}
	return running, out
}
