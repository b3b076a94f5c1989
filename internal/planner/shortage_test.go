package planner

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// fleetTick is the time between two updates of a pool's planner.
	fleetTick = 20 * time.Millisecond
	// meanLifetime is the mean time after which jobs that last are cancelled.
	meanLifetime = 70 * time.Second
	// servedWithin is up to how many times its objective a job counts as served late.
	servedWithin = 3
	// maxIdle is the users' bound for a task that lasts and waits beside room for it.
	maxIdle = 3 * time.Second
	// urgentDuration is how long an urgent task runs.
	urgentDuration = time.Second
)

// fleet is a fleet of workers that carry out orders at once; tasks which do not last end
// after their estimates. It answers a load of urgent, lasting and scavenging jobs.
type fleet struct {
	b       *testbed
	rand    *rand.Rand
	workers map[identifier.Worker]*fleetWorker
	polls   []PollWorker
	jobs    []*fleetJob
	byID    map[identifier.Job]*fleetJob
	// dueTicks and atWork add up the tasks that last over the ticks, those due and those at work.
	dueTicks, activeTicks int
	// waitingSince is since when a task that lasts has waited beside room for it, by job.
	waitingSince map[*job]time.Time
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
	step   *submitter.Step
	endsAt time.Time
}

// fleetJob is a submission with what its caller gets.
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
	s := &fleet{
		b: newTestbed(t, entries...), rand: rand.New(rand.NewPCG(seed, 1)), workers: map[identifier.Worker]*fleetWorker{},
		byID: map[identifier.Job]*fleetJob{},
	}
	for _, e := range entries {
		s.workers[e.ID] = &fleetWorker{entry: e, runs: map[connector.RunID]*fleetRun{}}
	}
	return s
}

// logNormal returns a figure around a mean, at most most.
func (s *fleet) logNormal(mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log1p(spread * spread))
	return min(mean*math.Exp(sigma*s.rand.NormFloat64()-sigma*sigma/2), most)
}

// exponential returns a time from now that is exponentially distributed.
func (s *fleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * s.rand.ExpFloat64())
}

func (s *fleet) submit(q connector.QueueConfig, leaves time.Time, steps ...submitter.Step) {
	j := &fleetJob{
		def:       submitter.Job{ID: identifier.Job(fmt.Sprintf("%016x", len(s.byID))), Queue: q.Name, Steps: steps},
		submitted: s.b.now, cancelAt: leaves,
	}
	for _, step := range steps {
		j.work += float64(step.Count) * float64(step.Size.Processors) * step.Estimate.Std().Seconds()
	}
	s.jobs = append(s.jobs, j)
	s.byID[j.def.ID] = j
	s.update(0, JobSubmitted{Job: j.def, Queue: q})
}

// update tells the planner events and carries out what it orders. The directory stays fresh
// without being read again, which would take most of the time of a test.
func (s *fleet) update(after time.Duration, events ...Event) {
	s.b.now = s.b.now.Add(after)
	s.b.p.directory.ConfigReadAt, s.b.p.directory.WorkersReadAt = s.b.now, s.b.now
	for events = s.carryOut(s.b.p.Update(s.b.now, events...)); len(events) > 0; {
		events = s.carryOut(s.b.p.Update(s.b.now, events...))
	}
}

// carryOut does what the planner ordered and returns the answers.
func (s *fleet) carryOut(commands []Command) []Event {
	var events []Event
	for _, c := range commands {
		switch c := c.(type) {
		case StartRun:
			s.startRun(c)
			events = append(events, StartAnswered{Worker: c.To.ID, Run: c.Order.Run, Epoch: c.Order.Epoch, Answer: s.ok()})
		case StopRun:
			w := s.workers[c.To.ID]
			if w.runs[c.Run] != nil {
				w.endRun(c.Run, connector.EndStopped)
			}
			events = append(events, StopAnswered{Worker: c.To.ID, Run: c.Run, Answer: s.ok()})
		case PollWorker:
			w := s.workers[c.To.ID]
			w.ended = slices.DeleteFunc(w.ended, func(e connector.EndedRun) bool { return e.Number <= c.Order.Forget })
			w.answerDue = s.b.now.Add(c.Order.Wait)
			s.polls = append(s.polls, c)
		}
	}
	return events
}

func (s *fleet) ok() connector.OrderAnswer {
	return connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: connector.WorkerClock(s.b.now.Sub(time.UnixMilli(0)))}
}

// startRun starts a run and checks that there is room for it.
func (s *fleet) startRun(c StartRun) {
	w := s.workers[c.To.ID]
	step := &s.byID[c.Order.Run.Task.Job].def.Steps[c.Order.Run.Task.Step]
	r := &fleetRun{step: step}
	if !step.LongRunning {
		r.endsAt = s.b.now.Add(step.Estimate.Std())
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
		s.b.t.Fatalf("%s holds more than it has room for", w.entry.ID)
	}
}

func (w *fleetWorker) endRun(id connector.RunID, how connector.RunEnd) {
	delete(w.runs, id)
	w.lastEnd++
	w.ended = append(w.ended, connector.EndedRun{Number: w.lastEnd, Run: id, Reason: how})
}

// run lets time pass.
func (s *fleet) run(d time.Duration) {
	for end := s.b.now.Add(d); s.b.now.Before(end); {
		events := s.cancelDue()
		for _, w := range s.workers {
			for id, r := range w.runs {
				if r.endsAt.IsZero() {
					s.activeTicks++
				}
				if !r.endsAt.IsZero() && !r.endsAt.After(s.b.now) {
					w.endRun(id, connector.EndDone)
				}
			}
		}
		s.update(fleetTick, append(events, s.answerPolls()...)...)
		if s.b.p.Dirty() {
			s.update(0, BatchSaved{s.b.p.TakeBatch()})
		}
		s.recordResults()
		s.checkLongRunning()
	}
}

// checkLongRunning checks that no task that lasts waits beside room for it for as long as users
// bear.
func (s *fleet) checkLongRunning() {
	idle := map[*job]time.Time{}
	for j := range s.b.p.waiting {
		if !j.isLongRunning() || !s.hasRoom(j.occurrences[0][0].step.Size) {
			continue
		}
		since, ok := s.waitingSince[j]
		if !ok {
			since = s.b.now
		}
		idle[j] = since
		if s.b.now.Sub(since) > maxIdle {
			s.b.t.Fatalf("a task that lasts waits beside room for it for %v", s.b.now.Sub(since))
		}
	}
	s.waitingSince = idle
}

// hasRoom reports whether some worker has room for a task that lasts.
func (s *fleet) hasRoom(size identifier.Size) bool {
	return slices.ContainsFunc(s.b.p.workerList, func(w *worker) bool {
		size := size
		size.Processors += identifier.Millicores(servingHeadroom * float64(w.entry.Capacity.Processors))
		return size.Fits(w.room())
	})
}

// cancelDue cancels the jobs whose time is over.
func (s *fleet) cancelDue() []Event {
	var events []Event
	for _, j := range s.jobs {
		if !j.cancelAt.IsZero() && !j.cancelAt.After(s.b.now) {
			j.cancelAt = time.Time{}
			events = append(events, JobCancelled{ID: j.def.ID})
		}
	}
	return events
}

func (s *fleet) answerPolls() []Event {
	var events []Event
	s.polls = slices.DeleteFunc(s.polls, func(h PollWorker) bool {
		w := s.workers[h.To.ID]
		if len(w.ended) == 0 && s.b.now.Before(w.answerDue) {
			return false
		}
		a := connector.HoldAnswer{OrderAnswer: s.ok(), StartedAt: 1, Ended: slices.Clone(w.ended)}
		for id, r := range w.runs {
			a.Active = append(a.Active, connector.ActiveRun{Run: id, Percent: r.percent(s.b.now), TailLatency: time.Millisecond})
		}
		events = append(events, PollAnswered{Worker: h.To.ID, Order: h.Order, SentAt: s.b.now, Answer: a})
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
	return 100 - int(100*r.endsAt.Sub(now)/r.step.Estimate.Std())
}

// recordResults notes which jobs their callers see as completed, and which tasks that last are at
// work.
func (s *fleet) recordResults() {
	for _, j := range s.jobs {
		if !j.cancelAt.IsZero() {
			s.dueTicks += j.def.Tasks()
		}
		if j.done || j.def.Steps[0].LongRunning {
			continue
		}
		if state, _ := s.b.p.State(j.def.ID); state == StateCompleted {
			j.done, j.took = true, s.b.now.Sub(j.submitted)
		}
	}
}

// sizeClass counts the jobs of one class of sizes.
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

// servedFraction returns which part of the jobs was served.
func (c sizeClass) servedFraction() float64 { return float64(c.served) / float64(max(c.jobs, 1)) }

func (c sizeClass) String() string {
	return fmt.Sprintf("%.2f (%.2f in time) of %d", c.servedFraction(), float64(c.onTime)/float64(max(c.jobs, 1)), c.jobs)
}

// servedJobs counts what the callers of a queue got: all, the largest tenth by work, and the
// fifth below it.
type servedJobs struct{ all, largest, next sizeClass }

func (v *servedJobs) add(s *fleet, q connector.QueueConfig) {
	var jobs []*fleetJob
	for _, j := range s.jobs {
		if j.def.Queue == q.Name {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *fleetJob) int { return cmp.Compare(b.work, a.work) })
	for i, j := range jobs {
		objective := time.Duration(q.Stretch*float64(criticalPath(&j.def))) + q.Allowance.Std()
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
	longRunningQueue = connector.QueueConfig{Name: "lasting", Service: service, MaxAttempts: 2, Stretch: 2.2, Allowance: identifier.Duration(2500 * time.Millisecond)}
	scavengingQueue  = connector.QueueConfig{Name: "patient", Service: service, Priority: 2, MaxAttempts: 3, Stretch: 2, Allowance: identifier.Duration(time.Second)}
)

// submitUrgent submits a job of one to four steps.
func (s *fleet) submitUrgent() {
	steps := make([]submitter.Step, int(max(s.logNormal(1.6, 0.4, 4), 1)))
	for i := range steps {
		steps[i] = submitter.Step{
			Count:    int(max(s.logNormal(9.5, 0.8, 57), 1)),
			Size:     identifier.Size{Processors: identifier.Millicores(s.logNormal(11_000, 0.45, 32_000)), Memory: identifier.Mebibytes(s.logNormal(22_000, 0.3, 44_000))},
			Estimate: identifier.Duration(urgentDuration),
		}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	s.submit(urgentQueue, time.Time{}, steps...)
}

func (s *fleet) submitLongRunning() {
	s.submit(longRunningQueue, s.b.now.Add(s.exponential(meanLifetime)), submitter.Step{
		Count:       int(max(s.logNormal(14, 0.4, 28), 1)),
		Size:        identifier.Size{Processors: identifier.Millicores(s.logNormal(13_000, 0.25, 20_000)), Memory: identifier.Mebibytes(s.logNormal(26_000, 0.3, 51_000))},
		LongRunning: true, TailTarget: identifier.Duration(50 * time.Millisecond),
		Image: identifier.Image(fmt.Sprintf("l%d", s.rand.IntN(10))), MaxUnavailable: 1,
	})
}

func (s *fleet) submitScavenging() {
	s.submit(scavengingQueue, time.Time{}, submitter.Step{
		Count:    int(max(s.logNormal(20, 0.6, 80), 1)),
		Size:     identifier.Size{Processors: 7_000, Memory: 13_000},
		Estimate: identifier.Duration(2 * time.Second), Scavenger: true, Checkpoints: true,
		Image: identifier.Image(fmt.Sprintf("s%d", s.rand.IntN(18))),
	})
}

// loadProfile is a load for which there is too little room. The gaps are the mean times between
// two jobs; zero means that there are none.
type loadProfile struct {
	workers, initialJobs                     int
	urgentGap, longRunningGap, scavengingGap time.Duration
}

const (
	// loadTime is how long a load is played, plays how often.
	loadTime    = 60 * time.Second
	repetitions = 4
)

// serve lets a pool serve a load.
func (s *fleet) serve(l loadProfile) {
	s.b.dir.ConfigReadAt, s.b.dir.WorkersReadAt = s.b.now, s.b.now
	s.update(0, DirectoryChanged{s.b.dir})
	s.run(time.Second)
	for range l.initialJobs {
		s.submitLongRunning()
	}
	s.run(5 * time.Second)
	arrivals := []struct {
		gap    time.Duration
		submit func()
	}{{l.urgentGap, s.submitUrgent}, {l.longRunningGap, s.submitLongRunning}, {l.scavengingGap, s.submitScavenging}}
	due := make([]time.Duration, len(arrivals))
	for at := time.Duration(0); at < loadTime; at += fleetTick {
		for i, a := range arrivals {
			for ; a.gap > 0 && due[i] <= at; due[i] += s.exponential(a.gap) {
				a.submit()
			}
		}
		s.run(fleetTick)
	}
	s.run(5 * time.Second)
}

// TestLargeJobsAreServed checks that where room is short the largest tenth of the jobs of a
// queue, and the fifth below it, are served at least half as often as all of them.
func TestLargeJobsAreServed(t *testing.T) {
	tests := map[string]struct {
		load  loadProfile
		queue connector.QueueConfig
	}{
		"urgent, lasting jobs ask for more than there is": {loadProfile{64, 22, 750 * time.Millisecond, 2000 * time.Millisecond, 2 * time.Second}, urgentQueue},
		"urgent, more than there is":                      {loadProfile{4, 0, time.Second / 2, 0, 0}, urgentQueue},
		"scavenging, twice what there is":                 {loadProfile{4, 0, 0, 0, 600 * time.Millisecond}, scavengingQueue},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var v servedJobs
			due, atWork := 0, 0
			for seed := range uint64(repetitions) {
				s := newFleet(t, seed, tt.load.workers)
				s.serve(tt.load)
				v.add(s, tt.queue)
				due, atWork = due+s.dueTicks, atWork+s.activeTicks
			}
			t.Logf("served %v jobs, %v of the largest tenth, %v of the fifth below; %d of %d ticks of lasting tasks", v.all, v.largest, v.next, atWork, due)
			if least := v.all.servedFraction() / 2; v.largest.servedFraction() < least || v.next.servedFraction() < least {
				t.Errorf("served %.2f of the largest tenth and %.2f of the fifth below it, want at least half of %.2f", v.largest.servedFraction(), v.next.servedFraction(), v.all.servedFraction())
			}
		})
	}
}

// TestLongRunningTasksLeaveRoom checks who gets room for which a task that lasts and one that ends
// wait.
func TestLongRunningTasksLeaveRoom(t *testing.T) {
	step := submitter.Step{Count: 1, Size: identifier.Size{Processors: 4000, Memory: 1000}, Estimate: 1000}
	long := step
	long.LongRunning = true
	tests := map[string]struct {
		priority int
		step     submitter.Step
		want     identifier.Job
	}{
		"as urgent":       {0, step, "00000000000000cc"},
		"less urgent":     {1, step, "00000000000000bb"},
		"lasting as well": {0, long, "00000000000000bb"},
		"another label":   {0, submitter.Step{Count: 1, Size: smallSize, Estimate: 1000, Label: "gold"}, "00000000000000bb"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			first := b.startOne(step)
			b.confirmStart(first)
			b.submit("00000000000000bb", long)
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

// TestLongRunningTaskRestartsSoon guards against a task that lasts and stays out of service,
// since tasks that end wait for the room that it had.
func TestLongRunningTaskRestartsSoon(t *testing.T) {
	step := submitter.Step{Count: 1, Size: identifier.Size{Processors: 4000, Memory: 1000}, Estimate: 1000}
	long := step
	long.LongRunning = true
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{})
	first := b.startOne(long)
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
		t.Fatalf("starts %v, want one of the job that lasts", starts)
	}
}
