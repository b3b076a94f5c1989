package planner

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// fleetTick is the time between two updates of a fleet's planner.
	fleetTick = 20 * time.Millisecond
	// meanLifetime is the mean time after which long-running jobs are cancelled.
	meanLifetime = 70 * time.Second
	// servedWithin is the multiple of its objective up to which a completed job counts as served.
	servedWithin = 3
	// maxIdle is the users' bound on how long a long-running task may wait beside room for it.
	maxIdle = 3 * time.Second
	// urgentDuration is how long an urgent task runs.
	urgentDuration = time.Second
)

// fleet is a set of workers that carry out orders at once and on which tasks end after their
// estimates, except long-running ones. It plays a load of urgent, long-running and scavenging jobs.
type fleet struct {
	b       *testbed
	rand    *rand.Rand
	workers map[identifier.Worker]*fleetWorker
	polls   []PollWorker
	jobs    []*fleetJob
	byID    map[identifier.Job]*fleetJob
	// dueTicks and activeTicks sum, over all ticks, the long-running tasks that should run and
	// those that do.
	dueTicks, activeTicks int
	// waitingSince is since when a long-running job has waited beside room for it.
	waitingSince map[*job]time.Time
	// remoteFactor is how many times as long a task takes away from its data; zero counts as 1.
	remoteFactor float64
}

// fleetWorker is a worker and what runs on it.
type fleetWorker struct {
	entry     connector.WorkerEntry
	runs      map[connector.RunID]*fleetRun
	ended     []connector.EndedRun
	lastEnd   identifier.EndNumber
	answerDue time.Time
}

type fleetRun struct {
	step     *submitter.Step
	duration time.Duration
	endsAt   time.Time
}

// fleetJob is a submitted job and its outcome for the caller.
type fleetJob struct {
	def       submitter.Job
	submitted time.Time
	cancelAt  time.Time
	work      float64
	done      bool
	took      time.Duration
}

func newFleet(t *testing.T, seed uint64, workers int) *fleet {
	var entries []connector.WorkerEntry
	for i := range workers {
		e := workerEntry(identifier.Worker(fmt.Sprintf("w%03d", i)))
		e.Capacity = identifier.Size{Processors: 64_000, Memory: 256_000}
		entries = append(entries, e)
	}
	f := &fleet{
		b: newTestbed(t, entries...), rand: rand.New(rand.NewPCG(seed, 1)), workers: map[identifier.Worker]*fleetWorker{},
		byID: map[identifier.Job]*fleetJob{},
	}
	for _, e := range entries {
		f.workers[e.ID] = &fleetWorker{entry: e, runs: map[connector.RunID]*fleetRun{}}
	}
	return f
}

// logNormal returns a random value of the log-normal distribution with the given mean and
// coefficient of variation, capped at most.
func (f *fleet) logNormal(mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log1p(spread * spread))
	return min(mean*math.Exp(sigma*f.rand.NormFloat64()-sigma*sigma/2), most)
}

// exponential returns an exponentially distributed random duration.
func (f *fleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * f.rand.ExpFloat64())
}

func (f *fleet) submit(q connector.QueueConfig, cancelAt time.Time, steps ...submitter.Step) {
	j := &fleetJob{
		def:       submitter.Job{ID: identifier.Job(fmt.Sprintf("%016x", len(f.byID))), Queue: q.Name, Steps: steps},
		submitted: f.b.now, cancelAt: cancelAt,
	}
	for _, step := range steps {
		j.work += float64(step.Count) * float64(step.Size.Processors) * step.Estimate.Std().Seconds()
	}
	f.jobs = append(f.jobs, j)
	f.byID[j.def.ID] = j
	f.update(0, JobSubmitted{Job: j.def, Queue: q})
}

// update passes events to the planner and carries out its commands. The directory's time is set
// directly, since reading the directory anew each time would dominate the duration of a test.
func (f *fleet) update(after time.Duration, events ...Event) {
	f.b.now = f.b.now.Add(after)
	f.b.p.directory.ConfigReadAt, f.b.p.directory.WorkersReadAt = f.b.now, f.b.now
	for events = f.carryOut(f.b.p.Update(f.b.now, events...)); len(events) > 0; {
		events = f.carryOut(f.b.p.Update(f.b.now, events...))
	}
}

// carryOut carries out the planner's commands and returns the answers.
func (f *fleet) carryOut(commands []Command) []Event {
	var events []Event
	for _, c := range commands {
		switch c := c.(type) {
		case StartRun:
			f.startRun(c)
			events = append(events, StartAnswered{Worker: c.To.ID, Run: c.Order.Run, Epoch: c.Order.Epoch, Answer: f.ok()})
		case StopRun:
			w := f.workers[c.To.ID]
			if w.runs[c.Run] != nil {
				w.endRun(c.Run, connector.EndStopped)
			}
			events = append(events, StopAnswered{Worker: c.To.ID, Run: c.Run, Answer: f.ok()})
		case PollWorker:
			w := f.workers[c.To.ID]
			w.ended = slices.DeleteFunc(w.ended, func(e connector.EndedRun) bool { return e.Number <= c.Order.Forget })
			w.answerDue = f.b.now.Add(c.Order.Wait)
			f.polls = append(f.polls, c)
		}
	}
	return events
}

func (f *fleet) ok() connector.OrderAnswer {
	return connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: connector.WorkerClock(f.b.now.Sub(time.UnixMilli(0)))}
}

// startRun starts a run and fails the test if the worker has no room for it.
func (f *fleet) startRun(c StartRun) {
	w := f.workers[c.To.ID]
	step := &f.byID[c.Order.Run.Task.Job].def.Steps[c.Order.Run.Task.Step]
	r := &fleetRun{step: step, duration: step.Estimate.Std()}
	if step.DataRack != "" && step.DataRack != w.entry.Rack {
		r.duration = time.Duration(max(f.remoteFactor, 1) * float64(r.duration))
	}
	if !step.LongRunning {
		r.endsAt = f.b.now.Add(r.duration)
	}
	w.runs[c.Order.Run] = r
	room := w.entry.Capacity
	for _, r := range w.runs {
		size := r.step.Size
		if r.step.Scavenger {
			size.Processors = 0
		}
		room = room.Sub(size)
	}
	if !(identifier.Size{}).Fits(room) {
		f.b.t.Fatalf("runs on %s exceed its capacity", w.entry.ID)
	}
}

func (w *fleetWorker) endRun(id connector.RunID, how connector.RunEnd) {
	delete(w.runs, id)
	w.lastEnd++
	w.ended = append(w.ended, connector.EndedRun{Number: w.lastEnd, Run: id, Reason: how})
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.b.now.Add(d); f.b.now.Before(end); {
		events := f.cancelDue()
		for _, w := range f.workers {
			for id, r := range w.runs {
				if r.endsAt.IsZero() {
					f.activeTicks++
				}
				if !r.endsAt.IsZero() && !r.endsAt.After(f.b.now) {
					w.endRun(id, connector.EndDone)
				}
			}
		}
		f.update(fleetTick, append(events, f.answerPolls()...)...)
		if f.b.p.Dirty() {
			f.update(0, BatchSaved{f.b.p.TakeBatch()})
		}
		f.recordResults()
		f.checkLongRunning()
	}
}

// checkLongRunning fails the test if a long-running job has nothing running, or a task of it is out
// after a run, beside room for it for longer than maxIdle. Tasks of a job that runs in part may wait for
// their first run, since room is kept for tasks that end.
func (f *fleet) checkLongRunning() {
	waitingSince := map[*job]time.Time{}
	for j := range f.b.p.waiting {
		first := func(t task) bool { return t.phase != taskReady || t.attempt == 0 }
		if !j.isLongRunning() || j.runCount > 0 && !slices.ContainsFunc(j.occurrences[0][0].tasks, func(t task) bool { return !first(t) }) || !f.hasRoom(j.occurrences[0][0].step.Size) {
			continue
		}
		since, ok := f.waitingSince[j]
		if !ok {
			since = f.b.now
		}
		waitingSince[j] = since
		if f.b.now.Sub(since) > maxIdle {
			f.b.t.Fatalf("a long-running task has waited beside room for it for %v", f.b.now.Sub(since))
		}
	}
	f.waitingSince = waitingSince
}

// hasRoom reports whether some worker has room for a long-running task.
func (f *fleet) hasRoom(size identifier.Size) bool {
	return slices.ContainsFunc(f.b.p.workerList, func(w *worker) bool { return size.Fits(w.room()) })
}

// cancelDue cancels the jobs whose time is over.
func (f *fleet) cancelDue() []Event {
	var events []Event
	for _, j := range f.jobs {
		if !j.cancelAt.IsZero() && !j.cancelAt.After(f.b.now) {
			j.cancelAt = time.Time{}
			events = append(events, JobCancelled{ID: j.def.ID})
		}
	}
	return events
}

func (f *fleet) answerPolls() []Event {
	var events []Event
	f.polls = slices.DeleteFunc(f.polls, func(poll PollWorker) bool {
		w := f.workers[poll.To.ID]
		if len(w.ended) == 0 && f.b.now.Before(w.answerDue) {
			return false
		}
		answer := connector.HoldAnswer{OrderAnswer: f.ok(), StartedAt: 1, Ended: slices.Clone(w.ended)}
		for id, r := range w.runs {
			answer.Active = append(answer.Active, connector.ActiveRun{Run: id, Percent: r.percent(f.b.now), TailLatency: time.Millisecond})
		}
		events = append(events, PollAnswered{Worker: poll.To.ID, Order: poll.Order, SentAt: f.b.now, Answer: answer})
		return true
	})
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Compare(a.(PollAnswered).Worker, b.(PollAnswered).Worker)
	})
	return events
}

// percent returns the progress of a run.
func (r *fleetRun) percent(now time.Time) int {
	if r.endsAt.IsZero() {
		return 100
	}
	return 100 - int(100*r.endsAt.Sub(now)/r.duration)
}

// recordResults records which jobs are completed to their callers, and counts the long-running
// tasks that should run.
func (f *fleet) recordResults() {
	for _, j := range f.jobs {
		if !j.cancelAt.IsZero() {
			f.dueTicks += j.def.Tasks()
		}
		if j.done || j.def.Steps[0].LongRunning {
			continue
		}
		if state, _ := f.b.p.State(j.def.ID); state == StateCompleted {
			j.done, j.took = true, f.b.now.Sub(j.submitted)
		}
	}
}

// sizeClass counts jobs of similar size by outcome.
type sizeClass struct{ jobs, onTime, served int }

func (c *sizeClass) add(j *fleetJob, objective time.Duration) {
	c.jobs++
	if j.done && j.took <= objective {
		c.onTime++
	}
	if j.done && j.took <= servedWithin*objective {
		c.served++
	}
}

// servedFraction returns the fraction of the jobs that were served.
func (c sizeClass) servedFraction() float64 { return float64(c.served) / float64(max(c.jobs, 1)) }

func (c sizeClass) String() string {
	return fmt.Sprintf("%.2f (%.2f on time) of %d", c.servedFraction(), float64(c.onTime)/float64(max(c.jobs, 1)), c.jobs)
}

// servedJobs counts the outcomes of a queue's jobs: of all, of the largest tenth by work, and of
// the fifth below it.
type servedJobs struct{ all, largest, next sizeClass }

func (v *servedJobs) add(f *fleet, q connector.QueueConfig) {
	var jobs []*fleetJob
	for _, j := range f.jobs {
		if j.def.Queue == q.Name {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *fleetJob) int { return cmp.Compare(b.work, a.work) })
	for i, j := range jobs {
		objective := time.Duration(q.Stretch*float64(admitter.CriticalPath(&j.def))) + q.Allowance.Std()
		v.all.add(j, objective)
		switch {
		case i < len(jobs)/10:
			v.largest.add(j, objective)
		case i < 3*len(jobs)/10:
			v.next.add(j, objective)
		}
	}
}

var (
	urgentQueue      = connector.QueueConfig{Name: "urgent", Service: service, MaxAttempts: 4, Stretch: 1.5, Allowance: identifier.Duration(250 * time.Millisecond)}
	longRunningQueue = connector.QueueConfig{Name: "longrunning", Service: service, MaxAttempts: 2, Stretch: 2.2, Allowance: identifier.Duration(2500 * time.Millisecond)}
	scavengingQueue  = connector.QueueConfig{Name: "scavenging", Service: service, Priority: 2, MaxAttempts: 3, Stretch: 2, Allowance: identifier.Duration(time.Second)}
)

// submitUrgent submits a job of one to four steps.
func (f *fleet) submitUrgent() {
	steps := make([]submitter.Step, int(max(f.logNormal(1.6, 0.4, 4), 1)))
	for i := range steps {
		steps[i] = submitter.Step{
			Count:    int(max(f.logNormal(9.5, 0.8, 57), 1)),
			Size:     identifier.Size{Processors: identifier.Millicores(f.logNormal(11_000, 0.45, 32_000)), Memory: identifier.Mebibytes(f.logNormal(22_000, 0.3, 44_000))},
			Estimate: identifier.Duration(urgentDuration),
		}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	f.submit(urgentQueue, time.Time{}, steps...)
}

func (f *fleet) submitLongRunning() {
	f.submit(longRunningQueue, f.b.now.Add(f.exponential(meanLifetime)), submitter.Step{
		Count:       int(max(f.logNormal(14, 0.4, 28), 1)),
		Size:        identifier.Size{Processors: identifier.Millicores(f.logNormal(13_000, 0.25, 20_000)), Memory: identifier.Mebibytes(f.logNormal(26_000, 0.3, 51_000))},
		LongRunning: true, TailTarget: identifier.Duration(50 * time.Millisecond),
		Image: identifier.Image(fmt.Sprintf("l%d", f.rand.IntN(10))), MaxUnavailable: 1,
	})
}

func (f *fleet) submitScavenging() {
	f.submit(scavengingQueue, time.Time{}, submitter.Step{
		Count:    int(max(f.logNormal(20, 0.6, 80), 1)),
		Size:     identifier.Size{Processors: 7_000, Memory: 13_000},
		Estimate: identifier.Duration(2 * time.Second), Scavenger: true, Checkpoints: true,
		Image: identifier.Image(fmt.Sprintf("s%d", f.rand.IntN(18))),
	})
}

// loadProfile is a load that exceeds the room on the workers. The gaps are the mean times between
// two jobs of a kind; zero means that there are none.
type loadProfile struct {
	workers, initialJobs                     int
	urgentGap, longRunningGap, scavengingGap time.Duration
}

const (
	// loadTime is how long a load lasts, repetitions how often it is repeated, each time with
	// another seed.
	loadTime    = 60 * time.Second
	repetitions = 4
)

// serve lets a fleet serve a load.
func (f *fleet) serve(l loadProfile) {
	f.b.dir.ConfigReadAt, f.b.dir.WorkersReadAt = f.b.now, f.b.now
	f.update(0, DirectoryChanged{f.b.dir})
	f.run(time.Second)
	for range l.initialJobs {
		f.submitLongRunning()
	}
	f.run(5 * time.Second)
	arrivals := []struct {
		gap    time.Duration
		submit func()
	}{{l.urgentGap, f.submitUrgent}, {l.longRunningGap, f.submitLongRunning}, {l.scavengingGap, f.submitScavenging}}
	nextArrival := make([]time.Duration, len(arrivals))
	for at := time.Duration(0); at < loadTime; at += fleetTick {
		for i, a := range arrivals {
			for ; a.gap > 0 && nextArrival[i] <= at; nextArrival[i] += f.exponential(a.gap) {
				a.submit()
			}
		}
		f.run(fleetTick)
	}
	f.run(5 * time.Second)
}

// TestLargeJobsAreServed checks that when room is short the largest tenth of a queue's jobs, and
// the fifth below it, are each served at least half as often as all its jobs, and that urgent jobs
// for which there is room but for long-running ones are served, nine of ten at least.
func TestLargeJobsAreServed(t *testing.T) {
	tests := map[string]struct {
		load   loadProfile
		queue  connector.QueueConfig
		served float64
	}{
		"urgent jobs beside too many long-running ones": {loadProfile{64, 22, 750 * time.Millisecond, 2000 * time.Millisecond, 2 * time.Second}, urgentQueue, 0.9},
		"urgent jobs beyond the capacity":               {loadProfile{4, 0, time.Second / 2, 0, 0}, urgentQueue, 0},
		"scavenging jobs of twice the capacity":         {loadProfile{4, 0, 0, 0, 600 * time.Millisecond}, scavengingQueue, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var v servedJobs
			dueTicks, activeTicks := 0, 0
			for seed := range uint64(repetitions) {
				f := newFleet(t, seed, tt.load.workers)
				f.serve(tt.load)
				v.add(f, tt.queue)
				dueTicks, activeTicks = dueTicks+f.dueTicks, activeTicks+f.activeTicks
			}
			t.Logf("served %v jobs, %v of the largest tenth, %v of the fifth below; long-running tasks were up in %d of %d task ticks", v.all, v.largest, v.next, activeTicks, dueTicks)
			if v.all.servedFraction() < tt.served {
				t.Errorf("served %.2f of the jobs, want %.2f", v.all.servedFraction(), tt.served)
			}
			if wanted := v.all.servedFraction() / 2; v.largest.servedFraction() < wanted || v.next.servedFraction() < wanted {
				t.Errorf("served %.2f of the largest tenth and %.2f of the fifth below it, want at least half of %.2f", v.largest.servedFraction(), v.next.servedFraction(), v.all.servedFraction())
			}
		})
	}
}

// TestLongRunningTasksLeaveRoom checks which job gets room for which both a long-running task and
// another one wait.
func TestLongRunningTasksLeaveRoom(t *testing.T) {
	step := submitter.Step{Count: 1, Size: identifier.Size{Processors: 4000, Memory: 1000}, Estimate: 1000}
	longRunning := step
	longRunning.LongRunning = true
	tests := map[string]struct {
		priority int
		step     submitter.Step
		want     identifier.Job
	}{
		"as urgent":            {0, step, "00000000000000cc"},
		"less urgent":          {1, step, "00000000000000bb"},
		"long-running as well": {0, longRunning, "00000000000000bb"},
		"another label":        {0, submitter.Step{Count: 1, Size: smallSize, Estimate: 1000, Label: "gold"}, "00000000000000bb"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			first := b.startOne(step)
			b.confirmStart(first)
			b.submit("00000000000000bb", longRunning)
			b.update(time.Millisecond)
			q := queueConfig
			q.Name, q.Priority = "other", tt.priority
			b.update(time.Millisecond, JobSubmitted{Job: submitter.Job{ID: "00000000000000cc", Queue: q.Name, Steps: []submitter.Step{tt.step}}, Queue: q})
			w := b.p.workers["w"]
			b.p.setPolling(w, false)
			w.nextPoll = b.now
			b.update(0)
			b.endRun(first, 1, connector.EndDone)
			b.save()
			starts := b.starts()
			if len(starts) != 1 || starts[0].Order.Run.Task.Job != tt.want {
				t.Fatalf("starts %v, want one of %s", starts, tt.want)
			}
		})
	}
}

// TestLongRunningTaskRestartsSoon guards against a long-running task that stays down because its
// room is kept for waiting tasks that run to completion.
func TestLongRunningTaskRestartsSoon(t *testing.T) {
	step := submitter.Step{Count: 1, Size: identifier.Size{Processors: 4000, Memory: 1000}, Estimate: 1000}
	longRunning := step
	longRunning.LongRunning = true
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{})
	first := b.startOne(longRunning)
	b.confirmStart(first)
	b.submit("00000000000000cc", step)
	b.update(time.Millisecond)
	b.update(time.Millisecond)
	w := b.p.workers["w"]
	b.p.setPolling(w, false)
	w.nextPoll = b.now
	b.update(0)
	b.endRun(first, 1, connector.EndLeaseExpired)
	b.save()
	starts := b.starts()
	if len(starts) != 1 || starts[0].Order.Run.Task.Job != first.Order.Run.Task.Job {
		t.Fatalf("starts %v, want one of the long-running job", starts)
	}
}
