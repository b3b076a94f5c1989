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
	// poolTick is the time between two updates of a pool's planner.
	poolTick = 20 * time.Millisecond
	// stayTime is the mean time after which jobs that last are cancelled.
	stayTime = 70 * time.Second
	// lateTimes is up to how many times its objective a job counts as served late.
	lateTimes = 3
	// idleTime is the users' bound for a task that lasts and waits beside room for it.
	idleTime = 3 * time.Second
	// urgentTime is how long an urgent task runs.
	urgentTime = time.Second
)

// pool is a fleet of workers that carry out orders at once; tasks which do not last end
// after their estimates. It answers a load of urgent, lasting and scavenging jobs.
type pool struct {
	b       *testbed
	rand    *rand.Rand
	workers map[identifier.Worker]*poolWorker
	looks   []PollWorker
	jobs    []*poolJob
	byID    map[identifier.Job]*poolJob
	// due and atWork add up the tasks that last over the ticks, those due and those at work.
	due, atWork int
	// idle is since when a task that lasts has waited beside room for it, by job.
	idle map[*job]time.Time
}

// poolWorker is a worker and what runs on it.
type poolWorker struct {
	entry connector.WorkerEntry
	runs  map[connector.RunID]*poolRun
	ended []connector.EndedRun
	last  identifier.EndNumber
	due   time.Time
}

type poolRun struct {
	step *submitter.Step
	ends time.Time
}

// poolJob is a submission with what its caller gets.
type poolJob struct {
	def       submitter.Job
	submitted time.Time
	leaves    time.Time
	work      float64
	done      bool
	took      time.Duration
}

func newPool(t *testing.T, seed uint64, workers int) *pool {
	var entries []connector.WorkerEntry
	for i := range workers {
		e := workerEntry(identifier.Worker(fmt.Sprintf("w%03d", i)))
		e.Capacity = identifier.Size{Processors: 64_000, Memory: 256_000}
		entries = append(entries, e)
	}
	s := &pool{
		b: newTestbed(t, entries...), rand: rand.New(rand.NewPCG(seed, 1)), workers: map[identifier.Worker]*poolWorker{},
		byID: map[identifier.Job]*poolJob{},
	}
	for _, e := range entries {
		s.workers[e.ID] = &poolWorker{entry: e, runs: map[connector.RunID]*poolRun{}}
	}
	return s
}

// about returns a figure around a mean, at most most.
func (s *pool) about(mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log1p(spread * spread))
	return min(mean*math.Exp(sigma*s.rand.NormFloat64()-sigma*sigma/2), most)
}

// within returns a time from now that is exponentially distributed.
func (s *pool) within(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * s.rand.ExpFloat64())
}

func (s *pool) submit(q connector.QueueConfig, leaves time.Time, steps ...submitter.Step) {
	j := &poolJob{
		def:       submitter.Job{ID: identifier.Job(fmt.Sprintf("%016x", len(s.byID))), Queue: q.Name, Steps: steps},
		submitted: s.b.now, leaves: leaves,
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
func (s *pool) update(after time.Duration, events ...Event) {
	s.b.now = s.b.now.Add(after)
	s.b.p.directory.OperatorSeen, s.b.p.directory.WorkersSeen = s.b.now, s.b.now
	for events = s.carryOut(s.b.p.Update(s.b.now, events...)); len(events) > 0; {
		events = s.carryOut(s.b.p.Update(s.b.now, events...))
	}
}

// carryOut does what the planner ordered and returns the answers.
func (s *pool) carryOut(commands []Command) []Event {
	var events []Event
	for _, c := range commands {
		switch c := c.(type) {
		case StartRun:
			s.begin(c)
			events = append(events, StartAnswered{Worker: c.To.ID, Run: c.Order.Run, Epoch: c.Order.Epoch, Answer: s.ok()})
		case StopRun:
			w := s.workers[c.To.ID]
			if w.runs[c.Run] != nil {
				w.end(c.Run, connector.EndStopped)
			}
			events = append(events, StopAnswered{Worker: c.To.ID, Run: c.Run, Answer: s.ok()})
		case PollWorker:
			w := s.workers[c.To.ID]
			w.ended = slices.DeleteFunc(w.ended, func(e connector.EndedRun) bool { return e.Number <= c.Order.Forget })
			w.due = s.b.now.Add(c.Order.Wait)
			s.looks = append(s.looks, c)
		}
	}
	return events
}

func (s *pool) ok() connector.OrderAnswer {
	return connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: connector.WorkerClock(s.b.now.Sub(time.UnixMilli(0)))}
}

// begin starts a run and checks that there is room for it.
func (s *pool) begin(c StartRun) {
	w := s.workers[c.To.ID]
	step := &s.byID[c.Order.Run.Task.Job].def.Steps[c.Order.Run.Task.Step]
	r := &poolRun{step: step}
	if !step.LongRunning {
		r.ends = s.b.now.Add(step.Estimate.Std())
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

func (w *poolWorker) end(id connector.RunID, how connector.RunEnd) {
	delete(w.runs, id)
	w.last++
	w.ended = append(w.ended, connector.EndedRun{Number: w.last, Run: id, How: how})
}

// run lets time pass.
func (s *pool) run(d time.Duration) {
	for end := s.b.now.Add(d); s.b.now.Before(end); {
		events := s.leave()
		for _, w := range s.workers {
			for id, r := range w.runs {
				if r.ends.IsZero() {
					s.atWork++
				}
				if !r.ends.IsZero() && !r.ends.After(s.b.now) {
					w.end(id, connector.EndDone)
				}
			}
		}
		s.update(poolTick, append(events, s.answerLooks()...)...)
		if s.b.p.Dirty() {
			s.update(0, BatchSaved{s.b.p.TakeBatch()})
		}
		s.collect()
		s.checkLasting()
	}
}

// checkLasting checks that no task that lasts waits beside room for it for as long as users
// bear.
func (s *pool) checkLasting() {
	idle := map[*job]time.Time{}
	for j := range s.b.p.waiting {
		if !j.isLongRunning() || !s.hasRoom(j.occurrences[0][0].step.Size) {
			continue
		}
		since, ok := s.idle[j]
		if !ok {
			since = s.b.now
		}
		idle[j] = since
		if s.b.now.Sub(since) > idleTime {
			s.b.t.Fatalf("a task that lasts waits beside room for it for %v", s.b.now.Sub(since))
		}
	}
	s.idle = idle
}

// hasRoom reports whether some worker has room for a task that lasts.
func (s *pool) hasRoom(size identifier.Size) bool {
	return slices.ContainsFunc(s.b.p.workerList, func(w *worker) bool {
		size := size
		size.Processors += identifier.Millicores(servingHeadroom * float64(w.entry.Capacity.Processors))
		return size.Fits(w.room())
	})
}

// leave cancels the jobs whose time is over.
func (s *pool) leave() []Event {
	var events []Event
	for _, j := range s.jobs {
		if !j.leaves.IsZero() && !j.leaves.After(s.b.now) {
			j.leaves = time.Time{}
			events = append(events, JobCancelled{ID: j.def.ID})
		}
	}
	return events
}

func (s *pool) answerLooks() []Event {
	var events []Event
	s.looks = slices.DeleteFunc(s.looks, func(h PollWorker) bool {
		w := s.workers[h.To.ID]
		if len(w.ended) == 0 && s.b.now.Before(w.due) {
			return false
		}
		a := connector.HoldAnswer{OrderAnswer: s.ok(), Born: 1, Ended: slices.Clone(w.ended)}
		for id, r := range w.runs {
			a.Active = append(a.Active, connector.ActiveRun{Run: id, Percent: r.percent(s.b.now), Tail: time.Millisecond})
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
func (r *poolRun) percent(now time.Time) int {
	if r.ends.IsZero() {
		return 100
	}
	return 100 - int(100*r.ends.Sub(now)/r.step.Estimate.Std())
}

// collect notes which jobs their callers see as completed, and which tasks that last are at
// work.
func (s *pool) collect() {
	for _, j := range s.jobs {
		if !j.leaves.IsZero() {
			s.due += j.def.Tasks()
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
type sizeClass struct{ jobs, inTime, served int }

func (c *sizeClass) add(j *poolJob, objective time.Duration) {
	c.jobs++
	if j.done && j.took <= objective {
		c.inTime++
	}
	if j.done && j.took <= lateTimes*objective {
		c.served++
	}
}

// part returns which part of the jobs was served.
func (c sizeClass) part() float64 { return float64(c.served) / float64(max(c.jobs, 1)) }

func (c sizeClass) String() string {
	return fmt.Sprintf("%.2f (%.2f in time) of %d", c.part(), float64(c.inTime)/float64(max(c.jobs, 1)), c.jobs)
}

// servedJobs counts what the callers of a queue got: all, the largest tenth by work, and the
// fifth below it.
type servedJobs struct{ all, largest, next sizeClass }

func (v *servedJobs) add(s *pool, q connector.QueueConfig) {
	var jobs []*poolJob
	for _, j := range s.jobs {
		if j.def.Queue == q.Name {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *poolJob) int { return cmp.Compare(b.work, a.work) })
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
	urgentQueue  = connector.QueueConfig{Name: "urgent", Service: service, MaxAttempts: 4, Stretch: 1.5, Allowance: identifier.Duration(250 * time.Millisecond)}
	lastingQueue = connector.QueueConfig{Name: "lasting", Service: service, MaxAttempts: 2, Stretch: 2.2, Allowance: identifier.Duration(2500 * time.Millisecond)}
	patientQueue = connector.QueueConfig{Name: "patient", Service: service, Priority: 2, MaxAttempts: 3, Stretch: 2, Allowance: identifier.Duration(time.Second)}
)

// submitUrgent submits a job of one to four steps.
func (s *pool) submitUrgent() {
	steps := make([]submitter.Step, int(max(s.about(1.6, 0.4, 4), 1)))
	for i := range steps {
		steps[i] = submitter.Step{
			Count:    int(max(s.about(9.5, 0.8, 57), 1)),
			Size:     identifier.Size{Processors: identifier.Millicores(s.about(11_000, 0.45, 32_000)), Memory: identifier.Mebibytes(s.about(22_000, 0.3, 44_000))},
			Estimate: identifier.Duration(urgentTime),
		}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	s.submit(urgentQueue, time.Time{}, steps...)
}

func (s *pool) submitLasting() {
	s.submit(lastingQueue, s.b.now.Add(s.within(stayTime)), submitter.Step{
		Count:       int(max(s.about(14, 0.4, 28), 1)),
		Size:        identifier.Size{Processors: identifier.Millicores(s.about(13_000, 0.25, 20_000)), Memory: identifier.Mebibytes(s.about(26_000, 0.3, 51_000))},
		LongRunning: true, TailTarget: identifier.Duration(50 * time.Millisecond),
		Image: identifier.Image(fmt.Sprintf("l%d", s.rand.IntN(10))), MaxUnavailable: 1,
	})
}

func (s *pool) submitPatient() {
	s.submit(patientQueue, time.Time{}, submitter.Step{
		Count:    int(max(s.about(20, 0.6, 80), 1)),
		Size:     identifier.Size{Processors: 7_000, Memory: 13_000},
		Estimate: identifier.Duration(2 * time.Second), Scavenger: true, Checkpoints: true,
		Image: identifier.Image(fmt.Sprintf("s%d", s.rand.IntN(18))),
	})
}

// loadProfile is a load for which there is too little room. The gaps are the mean times between
// two jobs; zero means that there are none.
type loadProfile struct {
	workers, filled          int
	urgent, lasting, patient time.Duration
}

const (
	// traffic is how long a load is played, plays how often.
	traffic = 60 * time.Second
	plays   = 4
)

// play lets a pool serve a load.
func (s *pool) play(l loadProfile) {
	s.b.dir.OperatorSeen, s.b.dir.WorkersSeen = s.b.now, s.b.now
	s.update(0, DirectoryChanged{s.b.dir})
	s.run(time.Second)
	for range l.filled {
		s.submitLasting()
	}
	s.run(5 * time.Second)
	arrivals := []struct {
		gap    time.Duration
		submit func()
	}{{l.urgent, s.submitUrgent}, {l.lasting, s.submitLasting}, {l.patient, s.submitPatient}}
	due := make([]time.Duration, len(arrivals))
	for at := time.Duration(0); at < traffic; at += poolTick {
		for i, a := range arrivals {
			for ; a.gap > 0 && due[i] <= at; due[i] += s.within(a.gap) {
				a.submit()
			}
		}
		s.run(poolTick)
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
		"scavenging, twice what there is":                 {loadProfile{4, 0, 0, 0, 600 * time.Millisecond}, patientQueue},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var v servedJobs
			due, atWork := 0, 0
			for seed := range uint64(plays) {
				s := newPool(t, seed, tt.load.workers)
				s.play(tt.load)
				v.add(s, tt.queue)
				due, atWork = due+s.due, atWork+s.atWork
			}
			t.Logf("served %v jobs, %v of the largest tenth, %v of the fifth below; %d of %d ticks of lasting tasks", v.all, v.largest, v.next, atWork, due)
			if least := v.all.part() / 2; v.largest.part() < least || v.next.part() < least {
				t.Errorf("served %.2f of the largest tenth and %.2f of the fifth below it, want at least half of %.2f", v.largest.part(), v.next.part(), v.all.part())
			}
		})
	}
}

// TestLastingTasksLeaveRoom checks who gets room for which a task that lasts and one that ends
// wait.
func TestLastingTasksLeaveRoom(t *testing.T) {
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

// TestLastingTaskThatRanIsBackSoon guards against a task that lasts and stays out of service,
// since tasks that end wait for the room that it had.
func TestLastingTaskThatRanIsBackSoon(t *testing.T) {
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
	b.endRun(first, 1, connector.EndLapsed)
	b.save()
	starts := b.starts()
	if len(starts) != 1 || starts[0].Order.Run.Task.Job != first.Order.Run.Task.Job {
		t.Fatalf("starts %v, want one of the job that lasts", starts)
	}
}
