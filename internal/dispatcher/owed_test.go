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
	// starvationDelay is the time from the end of all faults to the search for starved tasks, which
	// takes starvationWatch.
	starvationDelay = 14 * time.Second
	starvationWatch = 8 * time.Second
	// maxJobIdle is how long no task of a job may run although one of them could, and
	// maxLongRunningIdle how long a long-running task may not run although it could.
	maxJobIdle         = 3 * time.Second
	maxLongRunningIdle = 6 * time.Second
	// submitInterval is the time between two submissions.
	submitInterval = 250 * time.Millisecond
	// longRunTime is the duration of a run of a long-running task, longer than any test.
	longRunTime = time.Hour
)

var churnDataCentres = []identifier.DataCentre{"a", "b", "c"}

// churnCell is a cell whose workers come and go and whose jobs are of all kinds.
type churnCell struct {
	*testCell
	mu sync.Mutex
	// ids are all workers that were ever added, oldest first.
	ids          []identifier.Worker
	evacuated    map[identifier.DataCentre]bool
	cancelled    map[identifier.Job]bool
	directoryAge time.Duration
}

func newChurnCell(t *testing.T, seed uint64) *churnCell {
	c := newTestCell(t, seed)
	o := &churnCell{testCell: c, evacuated: map[identifier.DataCentre]bool{}, cancelled: map[identifier.Job]bool{}}
	c.fleet = simulator.NewFleet(seed, o.runOutcome, o.taskSize, simulator.WithCopies(func(task identifier.JobTask) bool {
		return c.jobs[task.Job].Steps[task.Step].Copies
	}), simulator.WithLongestLease(testLease), simulator.WithSlowClocks())
	c.currentDirectory, c.retention = o.directory, time.Hour
	for range testWorkers {
		o.addWorkerAt("")
	}
	return o
}

// addWorkerAt adds a worker with a new identity, at the address of a former worker or, if that is
// empty, at its own.
func (o *churnCell) addWorkerAt(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.ids)
	id := workerID(n)
	if address == "" {
		address = string(id)
	}
	o.ids = append(o.ids, id)
	o.fleet.Add(connector.WorkerEntry{
		ID: id, Service: testService, Address: address, DataCentre: churnDataCentres[n%len(churnDataCentres)],
		Capacity: identifier.Size{Processors: 8000, Memory: 16000},
	})
}

// runOutcome returns how long a run takes and whether it fails, as a function of its name. One in
// fifty runs fails, and one in four runs of long-running tasks, after 100 to 1600 ms.
func (o *churnCell) runOutcome(run connector.RunID) (time.Duration, bool) {
	step := o.jobs[run.Task.Job].Steps[run.Task.Step]
	h := identifier.Rank(run.Task.String(), fmt.Sprint(run.Attempt))
	if step.LongRunning && h%4 > 0 {
		return longRunTime, false
	}
	return time.Duration(100+h%1500) * time.Millisecond, h%50 == 0 || step.LongRunning
}

// taskSize returns how much of a worker's capacity a task reserves. Scavenger tasks reserve no
// processors.
func (o *churnCell) taskSize(task identifier.JobTask) identifier.Size {
	step := o.jobs[task.Job].Steps[task.Step]
	size := step.Size
	if step.Scavenger {
		size.Processors = 0
	}
	return size
}

func (o *churnCell) directory() connector.Directory {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := time.Now().Add(-o.directoryAge)
	return connector.Directory{
		Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{testQueue: testConfig},
		OperatorSeen: seen, WorkersSeen: seen, Workers: o.fleet.Entries(), Evacuated: maps.Clone(o.evacuated),
	}
}

// createMixedJobs creates long-running, scavenger, speculative, scheduled and ordinary jobs.
func (o *churnCell) createMixedJobs() {
	small, large := identifier.Size{Processors: 1500, Memory: 1000}, identifier.Size{Processors: 2500, Memory: 2000}
	for n := range testJobs {
		count := func(limit int) int { return 1 + o.rand.IntN(limit) }
		job := submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s"}
		switch n % 6 {
		case 0:
			job.Steps = []submitter.Step{{Count: count(3), Size: small, LongRunning: true, Image: "watch", TailTarget: identifier.Duration(time.Second), MaxPerWorker: o.rand.IntN(2)}}
		case 1:
			job.Steps = []submitter.Step{{Count: count(4), Size: small, Scavenger: true, Image: "bill", Checkpoints: true}, {Count: count(4), Size: small, Scavenger: true, Image: "bill", After: []int{0}}}
		case 2:
			job.Steps = []submitter.Step{{Count: count(5), Size: small, Copies: true}, {Count: count(3), Size: large, Copies: true, After: []int{0}}}
		case 3:
			job.Schedule = &submitter.Schedule{First: identifier.UnixMillis(time.Now().Add(time.Duration(n) * submitInterval).UnixMilli()), Period: identifier.Duration(4 * time.Second), Times: 1 + o.rand.IntN(3)}
			job.Steps = []submitter.Step{{Count: count(3), Size: large}, {Count: count(3), Size: small, After: []int{0}}}
		default:
			job.Steps = []submitter.Step{{Count: count(5), Size: small, MaxPerWorker: o.rand.IntN(3)}, {Count: count(5), Size: large, After: []int{0}}}
		}
		o.jobs[job.ID] = job
	}
}

func isLongRunning(j submitter.Job) bool { return j.Steps[0].LongRunning }

// recentWorker returns one of the workers that were added last, which may be gone or unlisted.
func (o *churnCell) recentWorker() identifier.Worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ids[len(o.ids)-1-o.rand.IntN(testWorkers)]
}

// randomUpTo returns a random duration below limit.
func (o *churnCell) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(o.rand.Int64N(int64(limit)))
}

// setFaults makes a worker misbehave for d.
func (o *churnCell) setFaults(id identifier.Worker, f simulator.WorkerFaults, d time.Duration) {
	o.fleet.SetFaults(id, f)
	time.AfterFunc(d, func() { o.fleet.SetFaults(id, simulator.WorkerFaults{}) })
}

// churnFault injects one fault into a churnCell. It may return before the fault is over.
type churnFault func(o *churnCell)

// leaveForGood removes a worker, and later adds another one, in half of the cases at its address.
func leaveForGood(o *churnCell) {
	id := o.recentWorker()
	o.fleet.Leave(id, o.randomUpTo(4*time.Second))
	address := ""
	if o.rand.IntN(2) == 0 {
		address = string(id)
	}
	time.AfterFunc(o.randomUpTo(6*time.Second), func() { o.addWorkerAt(address) })
}

// leaveAndReturn removes a worker, and later adds it again with the same identity.
func leaveAndReturn(o *churnCell) {
	id := o.recentWorker()
	o.fleet.Leave(id, o.randomUpTo(3*time.Second))
	time.AfterFunc(o.randomUpTo(9*time.Second), func() { o.fleet.Return(id) })
}

// unlistWorker removes a worker from the directory while it goes on running its tasks. In half of
// the cases it crashes meanwhile.
func unlistWorker(o *churnCell) {
	id := o.recentWorker()
	o.setFaults(id, simulator.WorkerFaults{Unlisted: true}, o.randomUpTo(12*time.Second))
	if o.rand.IntN(2) == 0 {
		time.AfterFunc(o.randomUpTo(5*time.Second), func() { o.fleet.Crash(id, 3*time.Second) })
	}
}

// lapseLease makes a worker unreachable, in most cases for longer than its lease, with orders that
// it carries out late before and after. It removes the worker shortly after it has answered again.
func lapseLease(o *churnCell) {
	id := o.recentWorker()
	late := simulator.WorkerFaults{Late: 0.5}
	o.fleet.SetFaults(id, late)
	delay := o.randomUpTo(2 * time.Second)
	time.AfterFunc(delay, func() { o.fleet.SetFaults(id, simulator.WorkerFaults{Cut: true}) })
	delay += 4*time.Second + o.randomUpTo(5*time.Second)
	time.AfterFunc(delay, func() { o.fleet.SetFaults(id, late) })
	delay += o.randomUpTo(time.Second)
	time.AfterFunc(delay, func() {
		o.fleet.SetFaults(id, simulator.WorkerFaults{})
		o.fleet.Leave(id, 0)
		o.addWorkerAt("")
	})
}

func drainWorker(o *churnCell) {
	id := o.recentWorker()
	o.fleet.SetDraining(id, true)
	resume := o.rand.IntN(2) == 0
	time.AfterFunc(o.randomUpTo(4*time.Second), func() {
		if resume {
			o.fleet.SetDraining(id, false)
			return
		}
		o.fleet.Leave(id, time.Second)
		o.addWorkerAt("")
	})
}

func evacuateDataCentre(o *churnCell) {
	centre := churnDataCentres[o.rand.IntN(len(churnDataCentres))]
	set := func(evacuated bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.evacuated[centre] = evacuated
	}
	set(true)
	time.AfterFunc(o.randomUpTo(8*time.Second), func() { set(false) })
}

func hangWorker(o *churnCell) {
	o.setFaults(o.recentWorker(), simulator.WorkerFaults{Hanging: true}, o.randomUpTo(6*time.Second))
}

// slowWorkers makes workers answer late, in part after the timeout, and refuse some orders.
func slowWorkers(o *churnCell) {
	for range testWorkers / 2 {
		o.setFaults(o.recentWorker(), simulator.WorkerFaults{Slow: 700 * time.Millisecond, Refusing: 0.2}, o.randomUpTo(6*time.Second))
	}
}

func delayWorkers(o *churnCell) {
	for range 3 {
		o.setFaults(o.recentWorker(), simulator.WorkerFaults{Late: 0.4}, o.randomUpTo(5*time.Second))
	}
}

// ageDirectory makes the directory three seconds old, too old for starts.
func ageDirectory(o *churnCell) {
	set := func(d time.Duration) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.directoryAge = d
	}
	set(3 * time.Second)
	time.AfterFunc(o.randomUpTo(5*time.Second), func() { set(0) })
}

func cancelEighthOfJobs(o *churnCell) {
	for _, id := range slices.Sorted(maps.Keys(o.jobs)) {
		if o.rand.IntN(8) == 0 {
			o.mu.Lock()
			o.cancelled[id] = true
			o.mu.Unlock()
			o.cancel(id)
		}
	}
}

// withoutChurn returns a fault of a testCell as one of a churnCell.
func withoutChurn(f fault) churnFault { return func(o *churnCell) { f(o.testCell) } }

func crashRecentWorker(o *churnCell) { o.fleet.Crash(o.recentWorker(), o.randomUpTo(4*time.Second)) }

func disconnectRecentWorker(o *churnCell) {
	o.setFaults(o.recentWorker(), simulator.WorkerFaults{Cut: true}, o.randomUpTo(10*time.Second))
}

// TestNoTaskStarvesAfterFaults guards against tasks that never run again although they could: once
// all faults are over, every job and every long-running task that fits has to run. Workers come and
// go during the faults, and jobs are of all kinds.
func TestNoTaskStarvesAfterFaults(t *testing.T) {
	tests := map[string][]churnFault{
		"calm":              {},
		"workers leave":     {leaveForGood, leaveForGood, leaveForGood, leaveForGood},
		"workers return":    {leaveAndReturn, delayWorkers, leaveAndReturn, delayWorkers, leaveAndReturn, leaveAndReturn},
		"unlisted":          {unlistWorker, delayWorkers, unlistWorker, unlistWorker, leaveAndReturn},
		"lapse and leave":   {lapseLease, lapseLease, delayWorkers, lapseLease},
		"slow answers":      {slowWorkers, slowWorkers, delayWorkers, slowWorkers, leaveAndReturn, slowWorkers},
		"drains":            {drainWorker, evacuateDataCentre, drainWorker, hangWorker, drainWorker, ageDirectory},
		"holders and lives": {withoutChurn(killHolder), leaveAndReturn, leaveForGood, withoutChurn(replaceHolder), lapseLease, unlistWorker, delayWorkers},
		"all together": {
			delayWorkers, slowWorkers, leaveForGood, leaveAndReturn, unlistWorker, lapseLease, drainWorker, evacuateDataCentre, hangWorker, ageDirectory, cancelEighthOfJobs, crashRecentWorker, disconnectRecentWorker,
			withoutChurn(killHolder), withoutChurn(loseStoreAnswers), withoutChurn(stopStore), withoutChurn(replaceHolder), withoutChurn(refuseHolder), delayWorkers, leaveAndReturn, lapseLease,
		},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runStarvationTrial(t, seed, faults) })
				})
			}
		})
	}
}

func runStarvationTrial(t *testing.T, seed uint64, faults []churnFault) {
	o := newChurnCell(t, seed)
	defer o.close()
	o.createMixedJobs()
	o.takeOver()
	go func() {
		for n := range testJobs {
			o.submit(o.jobs[jobID(n)])
			sleeper.Pause(o.ctx, submitInterval)
		}
	}()
	time.Sleep(2 * time.Second)
	for _, i := range o.rand.Perm(len(faults)) {
		faults[i](o)
		time.Sleep(o.randomUpTo(1500 * time.Millisecond))
	}
	time.Sleep(15*time.Second + starvationDelay)
	for _, b := range o.starvedWork() {
		t.Error(b)
	}
	if s := o.holder.Load().term.Load().Stats(); s.OverdueRuns > 0 {
		t.Errorf("%d runs are held for longer than a lease", s.OverdueRuns)
	}
	for id, j := range o.jobs {
		if isLongRunning(j) {
			o.cancel(id)
		}
	}
	for id, state := range o.waitForJobs(60 * time.Second) {
		t.Errorf("job %s is still %q", id, state)
	}
	for _, b := range o.fleet.Breaches() {
		t.Error(b)
	}
}

// starvedWork watches the cell for starvationWatch. It returns a line for each job and each
// long-running task that did not run for longer than allowed although it could.
func (o *churnCell) starvedWork() []string {
	since := map[string]time.Time{}
	starved := map[string]bool{}
	for end := time.Now().Add(starvationWatch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		now := time.Now()
		idle := o.idleWork()
		for name := range since {
			if _, still := idle[name]; !still {
				delete(since, name)
			}
		}
		for name, limit := range idle {
			if since[name].IsZero() {
				since[name] = now
			}
			if now.Sub(since[name]) > limit {
				starved[fmt.Sprintf("%s could run but does not", name)] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(starved))
}

// idleWork returns the jobs and long-running tasks that do not run although they could, and for how
// long that is allowed. It is empty while at least half of the workers' capacity is in use.
func (o *churnCell) idleWork() map[string]time.Duration {
	idle := map[string]time.Duration{}
	if !o.fleet.HasRoom() {
		return idle
	}
	for id, job := range o.jobs {
		state, known, err := o.holder.Load().term.Load().State(o.ctx, id)
		if err != nil || known && state.Ended() || o.cancelled[id] {
			continue
		}
		running, waiting := o.runnableTasks(job)
		if isLongRunning(job) {
			for _, task := range waiting {
				idle[task.String()] = maxLongRunningIdle
			}
			continue
		}
		if running == 0 && len(waiting) > 0 {
			idle[string(id)] = maxJobIdle
		}
	}
	return idle
}

// runnableTasks returns how many tasks of a job run, and the tasks that do not run although all
// steps before theirs are done.
func (o *churnCell) runnableTasks(job submitter.Job) (running int, waiting []identifier.JobTask) {
	if job.Schedule == nil {
		return o.runnableTasksOf(job, 0)
	}
	for k := range job.Schedule.Times {
		if !time.Now().Before(job.Schedule.Due(k)) {
			n, tasks := o.runnableTasksOf(job, k)
			running += n
			waiting = append(waiting, tasks...)
		}
	}
	return running, waiting
}

func (o *churnCell) runnableTasksOf(job submitter.Job, occurrence int) (running int, waiting []identifier.JobTask) {
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
					waiting = append(waiting, task)
				}
			}
		}
	}
	return running, waiting
}
