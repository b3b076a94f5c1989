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
	base := newTestCell(t, seed)
	c := &churnCell{testCell: base, evacuated: map[identifier.DataCentre]bool{}, cancelled: map[identifier.Job]bool{}}
	base.fleet = simulator.NewFleet(seed, c.runOutcome, c.taskSize, simulator.WithCopies(func(task identifier.JobTask) bool {
		return base.jobs[task.Job].Steps[task.Step].Copies
	}), simulator.WithLongestLease(testLease), simulator.WithSlowClocks())
	base.currentDirectory, base.retention = c.directory, time.Hour
	for range testWorkers {
		c.addWorkerAt("")
	}
	return c
}

// addWorkerAt adds a worker with a new identity, at the address of a former worker or, if that is
// empty, at its own.
func (c *churnCell) addWorkerAt(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.ids)
	id := workerID(n)
	if address == "" {
		address = string(id)
	}
	c.ids = append(c.ids, id)
	c.fleet.Add(connector.WorkerEntry{
		ID: id, Service: testService, Address: address, DataCentre: churnDataCentres[n%len(churnDataCentres)],
		Capacity: identifier.Size{Processors: 8000, Memory: 16000},
	})
}

// runOutcome returns how long a run takes and whether it fails, as a function of its name. One in
// fifty runs fails, and one in four runs of long-running tasks, after 100 to 1600 ms.
func (c *churnCell) runOutcome(run connector.RunID) (time.Duration, bool) {
	step := c.jobs[run.Task.Job].Steps[run.Task.Step]
	h := identifier.Rank(run.Task.String(), fmt.Sprint(run.Attempt))
	if step.LongRunning && h%4 > 0 {
		return longRunTime, false
	}
	return time.Duration(100+h%1500) * time.Millisecond, h%50 == 0 || step.LongRunning
}

// taskSize returns how much of a worker's capacity a task reserves. Scavenger tasks reserve no
// processors.
func (c *churnCell) taskSize(task identifier.JobTask) identifier.Size {
	step := c.jobs[task.Job].Steps[task.Step]
	size := step.Size
	if step.Scavenger {
		size.Processors = 0
	}
	return size
}

func (c *churnCell) directory() connector.Directory {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := time.Now().Add(-c.directoryAge)
	return connector.Directory{
		Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{testQueue: testConfig},
		ConfigReadAt: seen, WorkersReadAt: seen, Workers: c.fleet.Entries(), Evacuated: maps.Clone(c.evacuated),
	}
}

// createMixedJobs creates long-running, scavenger, speculative, scheduled and ordinary jobs.
func (c *churnCell) createMixedJobs() {
	small, large := identifier.Size{Processors: 1500, Memory: 1000}, identifier.Size{Processors: 2500, Memory: 2000}
	for n := range testJobs {
		count := func(limit int) int { return 1 + c.rand.IntN(limit) }
		job := submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s"}
		switch n % 6 {
		case 0:
			job.Steps = []submitter.Step{{Count: count(3), Size: small, LongRunning: true, Image: "watch", TailTarget: identifier.Duration(time.Second), MaxPerWorker: c.rand.IntN(2)}}
		case 1:
			job.Steps = []submitter.Step{{Count: count(4), Size: small, Scavenger: true, Image: "bill", Checkpoints: true}, {Count: count(4), Size: small, Scavenger: true, Image: "bill", After: []int{0}}}
		case 2:
			job.Steps = []submitter.Step{{Count: count(5), Size: small, Copies: true}, {Count: count(3), Size: large, Copies: true, After: []int{0}}}
		case 3:
			job.Schedule = &submitter.Schedule{First: identifier.UnixMillis(time.Now().Add(time.Duration(n) * submitInterval).UnixMilli()), Period: identifier.Duration(4 * time.Second), Times: 1 + c.rand.IntN(3)}
			job.Steps = []submitter.Step{{Count: count(3), Size: large}, {Count: count(3), Size: small, After: []int{0}}}
		default:
			job.Steps = []submitter.Step{{Count: count(5), Size: small, MaxPerWorker: c.rand.IntN(3)}, {Count: count(5), Size: large, After: []int{0}}}
		}
		c.jobs[job.ID] = job
	}
}

func isLongRunning(j submitter.Job) bool { return j.Steps[0].LongRunning }

// recentWorker returns one of the workers that were added last, which may be gone or unlisted.
func (c *churnCell) recentWorker() identifier.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids[len(c.ids)-1-c.rand.IntN(testWorkers)]
}

// randomUpTo returns a random duration below limit.
func (c *churnCell) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(limit)))
}

// setFaults makes a worker misbehave for d.
func (c *churnCell) setFaults(id identifier.Worker, f simulator.WorkerFaults, d time.Duration) {
	c.fleet.SetFaults(id, f)
	time.AfterFunc(d, func() { c.fleet.SetFaults(id, simulator.WorkerFaults{}) })
}

// churnFault injects one fault into a churnCell. It may return before the fault is over.
type churnFault func(c *churnCell)

// leaveForGood removes a worker, and later adds another one, in half of the cases at its address.
func leaveForGood(c *churnCell) {
	id := c.recentWorker()
	c.fleet.Leave(id, c.randomUpTo(4*time.Second))
	address := ""
	if c.rand.IntN(2) == 0 {
		address = string(id)
	}
	time.AfterFunc(c.randomUpTo(6*time.Second), func() { c.addWorkerAt(address) })
}

// leaveAndReturn removes a worker, and later adds it again with the same identity.
func leaveAndReturn(c *churnCell) {
	id := c.recentWorker()
	c.fleet.Leave(id, c.randomUpTo(3*time.Second))
	time.AfterFunc(c.randomUpTo(9*time.Second), func() { c.fleet.Return(id) })
}

// unlistWorker removes a worker from the directory while it goes on running its tasks. In half of
// the cases it crashes meanwhile.
func unlistWorker(c *churnCell) {
	id := c.recentWorker()
	c.setFaults(id, simulator.WorkerFaults{Unlisted: true}, c.randomUpTo(12*time.Second))
	if c.rand.IntN(2) == 0 {
		time.AfterFunc(c.randomUpTo(5*time.Second), func() { c.fleet.Crash(id, 3*time.Second) })
	}
}

// lapseLease makes a worker unreachable, in most cases for longer than its lease, with orders that
// it carries out late before and after. It removes the worker shortly after it has answered again.
func lapseLease(c *churnCell) {
	id := c.recentWorker()
	late := simulator.WorkerFaults{Late: 0.5}
	c.fleet.SetFaults(id, late)
	delay := c.randomUpTo(2 * time.Second)
	time.AfterFunc(delay, func() { c.fleet.SetFaults(id, simulator.WorkerFaults{Cut: true}) })
	delay += 4*time.Second + c.randomUpTo(5*time.Second)
	time.AfterFunc(delay, func() { c.fleet.SetFaults(id, late) })
	delay += c.randomUpTo(time.Second)
	time.AfterFunc(delay, func() {
		c.fleet.SetFaults(id, simulator.WorkerFaults{})
		c.fleet.Leave(id, 0)
		c.addWorkerAt("")
	})
}

// drainWorker sets a worker to draining. Later it is put back into service, or removed and replaced
// by another one.
func drainWorker(c *churnCell) {
	id := c.recentWorker()
	c.fleet.SetDraining(id, true)
	resume := c.rand.IntN(2) == 0
	time.AfterFunc(c.randomUpTo(4*time.Second), func() {
		if resume {
			c.fleet.SetDraining(id, false)
			return
		}
		c.fleet.Leave(id, time.Second)
		c.addWorkerAt("")
	})
}

func evacuateDataCentre(c *churnCell) {
	centre := churnDataCentres[c.rand.IntN(len(churnDataCentres))]
	set := func(evacuated bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.evacuated[centre] = evacuated
	}
	set(true)
	time.AfterFunc(c.randomUpTo(8*time.Second), func() { set(false) })
}

// hangWorker makes the runs that start at a worker make no progress until they are stopped.
func hangWorker(c *churnCell) {
	c.setFaults(c.recentWorker(), simulator.WorkerFaults{Hanging: true}, c.randomUpTo(6*time.Second))
}

// slowWorkers makes workers answer late, in part after the timeout, and refuse some orders.
func slowWorkers(c *churnCell) {
	for range testWorkers / 2 {
		c.setFaults(c.recentWorker(), simulator.WorkerFaults{Slow: 700 * time.Millisecond, Refusing: 0.2}, c.randomUpTo(6*time.Second))
	}
}

// delayWorkers makes workers carry out many orders late and without an answer.
func delayWorkers(c *churnCell) {
	for range 3 {
		c.setFaults(c.recentWorker(), simulator.WorkerFaults{Late: 0.4}, c.randomUpTo(5*time.Second))
	}
}

// ageDirectory makes the directory three seconds old, too old for starts.
func ageDirectory(c *churnCell) {
	set := func(d time.Duration) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.directoryAge = d
	}
	set(3 * time.Second)
	time.AfterFunc(c.randomUpTo(5*time.Second), func() { set(0) })
}

// cancelEighthOfJobs cancels each job with a probability of one eighth.
func cancelEighthOfJobs(c *churnCell) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.rand.IntN(8) == 0 {
			c.mu.Lock()
			c.cancelled[id] = true
			c.mu.Unlock()
			c.cancel(id)
		}
	}
}

// withoutChurn returns a fault of a testCell as one of a churnCell.
func withoutChurn(f fault) churnFault { return func(c *churnCell) { f(c.testCell) } }

func crashRecentWorker(c *churnCell) { c.fleet.Crash(c.recentWorker(), c.randomUpTo(4*time.Second)) }

func disconnectRecentWorker(c *churnCell) {
	c.setFaults(c.recentWorker(), simulator.WorkerFaults{Cut: true}, c.randomUpTo(10*time.Second))
}

// TestNoTaskStarvesAfterFaults guards against tasks that never run again although they could: once
// all faults are over, every job and every long-running task that fits has to run. Workers come and
// go during the faults, and jobs are of all kinds.
func TestNoTaskStarvesAfterFaults(t *testing.T) {
	tests := map[string][]churnFault{
		"calm":                {},
		"workers leave":       {leaveForGood, leaveForGood, leaveForGood, leaveForGood},
		"workers return":      {leaveAndReturn, delayWorkers, leaveAndReturn, delayWorkers, leaveAndReturn, leaveAndReturn},
		"unlisted":            {unlistWorker, delayWorkers, unlistWorker, unlistWorker, leaveAndReturn},
		"lapse and leave":     {lapseLease, lapseLease, delayWorkers, lapseLease},
		"slow answers":        {slowWorkers, slowWorkers, delayWorkers, slowWorkers, leaveAndReturn, slowWorkers},
		"drains":              {drainWorker, evacuateDataCentre, drainWorker, hangWorker, drainWorker, ageDirectory},
		"takeovers and churn": {withoutChurn(killHolder), leaveAndReturn, leaveForGood, withoutChurn(replaceHolder), lapseLease, unlistWorker, delayWorkers},
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

// runStarvationTrial injects the faults in random order while jobs are submitted, and then checks
// that no work starves and that all jobs end.
func runStarvationTrial(t *testing.T, seed uint64, faults []churnFault) {
	c := newChurnCell(t, seed)
	defer c.close()
	c.createMixedJobs()
	c.takeOver()
	go func() {
		for n := range testJobs {
			c.submit(c.jobs[jobID(n)])
			sleeper.Pause(c.ctx, submitInterval)
		}
	}()
	time.Sleep(2 * time.Second)
	for _, i := range c.rand.Perm(len(faults)) {
		faults[i](c)
		time.Sleep(c.randomUpTo(1500 * time.Millisecond))
	}
	time.Sleep(15*time.Second + starvationDelay)
	for _, b := range c.starvedWork() {
		t.Error(b)
	}
	if s := c.holder.Load().term.Load().Stats(); s.OverdueRuns > 0 {
		t.Errorf("%d runs are held for longer than a lease", s.OverdueRuns)
	}
	for id, j := range c.jobs {
		if isLongRunning(j) {
			c.cancel(id)
		}
	}
	for id, state := range c.waitForJobs(60 * time.Second) {
		t.Errorf("job %s is still %q", id, state)
	}
	for _, b := range c.fleet.Breaches() {
		t.Error(b)
	}
}

// starvedWork watches the cell for starvationWatch. It returns a line for each job and each
// long-running task that did not run for longer than allowed although it could.
func (c *churnCell) starvedWork() []string {
	since := map[string]time.Time{}
	starved := map[string]bool{}
	for end := time.Now().Add(starvationWatch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		now := time.Now()
		idle := c.idleWork()
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
func (c *churnCell) idleWork() map[string]time.Duration {
	idle := map[string]time.Duration{}
	if !c.fleet.HasRoom() {
		return idle
	}
	for id, job := range c.jobs {
		state, known, err := c.holder.Load().term.Load().State(c.ctx, id)
		if err != nil || known && state.Ended() || c.cancelled[id] {
			continue
		}
		running, waiting := c.runnableTasks(job)
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
func (c *churnCell) runnableTasks(job submitter.Job) (running int, waiting []identifier.JobTask) {
	if job.Schedule == nil {
		return c.runnableTasksOf(job, 0)
	}
	for k := range job.Schedule.Times {
		if !time.Now().Before(job.Schedule.Due(k)) {
			n, tasks := c.runnableTasksOf(job, k)
			running += n
			waiting = append(waiting, tasks...)
		}
	}
	return running, waiting
}

// runnableTasksOf is runnableTasks for one occurrence of a job.
func (c *churnCell) runnableTasksOf(job submitter.Job, occurrence int) (running int, waiting []identifier.JobTask) {
	done := make([]bool, len(job.Steps))
	for i, s := range job.Steps {
		ready := !slices.ContainsFunc(s.After, func(a int) bool { return !done[a] })
		done[i] = true
		for n := range s.Count {
			task := identifier.JobTask{Job: job.ID, Occurrence: occurrence, Step: i, Index: n}
			switch {
			case c.fleet.Running(task):
				running++
				done[i] = false
			case !c.fleet.Done(task):
				done[i] = false
				if ready {
					waiting = append(waiting, task)
				}
			}
		}
	}
	return running, waiting
}
