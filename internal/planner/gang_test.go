package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const gangJob identifier.Job = "00000000000000aa"

// memberEnd is the end of a gang member as its worker lists it; run is that of the gang.
type memberEnd struct {
	index  int
	run    identifier.Attempt
	reason connector.RunEnd
}

// TestFailuresOfAGangCountByRun guards against a gang that is given up after fewer runs than MaxAttempts,
// or never: several members may fail in one run, and different ones in each, with takeovers in between.
func TestFailuresOfAGangCountByRun(t *testing.T) {
	const failed, broken = connector.EndFailed, connector.EndGangBroken
	tests := map[string]struct {
		ends []memberEnd
		// takeovers are the numbers of ends before which another holder takes over.
		takeovers []int
		want      JobState
	}{
		"all members, one run":           {ends: []memberEnd{{0, 1, failed}, {1, 1, failed}, {2, 1, failed}}, want: StateRunning},
		"takeover between members":       {ends: []memberEnd{{0, 1, failed}, {1, 1, failed}, {2, 1, broken}}, takeovers: []int{1}, want: StateRunning},
		"takeover after a run":           {ends: []memberEnd{{0, 1, failed}, {1, 1, failed}, {2, 1, broken}}, takeovers: []int{3}, want: StateRunning},
		"other members, two runs":        {ends: []memberEnd{{0, 1, failed}, {1, 1, broken}, {2, 1, broken}, {2, 2, failed}}, want: StateFailed},
		"two runs, takeover in between":  {ends: []memberEnd{{0, 1, failed}, {1, 1, broken}, {2, 1, broken}, {2, 2, failed}}, takeovers: []int{3}, want: StateFailed},
		"two runs, two takeovers":        {ends: []memberEnd{{0, 1, failed}, {1, 1, broken}, {2, 1, broken}, {1, 2, failed}}, takeovers: []int{2, 3}, want: StateFailed},
		"broken members are no failures": {ends: []memberEnd{{0, 1, broken}, {1, 1, broken}, {2, 1, broken}, {0, 2, failed}}, want: StateRunning},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			b.submit(gangJob, submitter.Step{Count: 3, Size: smallSize, Gang: true})
			for i, e := range tt.ends {
				if i > 0 && len(tt.takeovers) > 0 && tt.takeovers[0] == i {
					tt.takeovers = tt.takeovers[1:]
					b.replaceHolder()
				}
				b.confirmAllStarts()
				b.listEnd(connector.EndedRun{
					Number: identifier.EndNumber(i + 1), Reason: e.reason, Run: connector.RunID{Task: identifier.JobTask{Job: gangJob, Index: e.index}, Attempt: e.run},
				})
			}
			b.replaceHolder()
			b.update(0)
			if got := b.p.jobs[gangJob].state; got != tt.want {
				t.Errorf("the gang's job is %s, want %s", got, tt.want)
			}
		})
	}
}

// confirmAllStarts stores what there is to store until all starts are sent and confirmed.
func (b *testbed) confirmAllStarts() {
	for range 6 {
		b.update(100 * time.Millisecond)
		b.save()
		for _, s := range b.starts() {
			b.confirmStart(s)
		}
	}
}

// listEnd makes worker w list an end beside all its other runs.
func (b *testbed) listEnd(e connector.EndedRun) {
	answer := connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}, StartedAt: 1, Ended: []connector.EndedRun{e}}
	for id, r := range b.p.workers["w"].runs {
		if id != e.Run && r.phase != runClaimed {
			answer.Active = append(answer.Active, connector.ActiveRun{Run: id})
		}
	}
	w := b.p.workers["w"]
	b.update(time.Millisecond, PollAnswered{Worker: "w", Order: connector.HoldOrder{Epoch: b.p.epochOf(w)}, SentAt: b.now, Answer: answer})
}

// gangBed returns a testbed with workers of 16 processors, of which the first busy ones run a plain task of 7.
func gangBed(t *testing.T, workers, busy int) *testbed {
	t.Helper()
	b := newTestbed(t)
	for i := range workers {
		e := workerEntry(identifier.Worker(rune('a' + i)))
		e.Capacity = identifier.Size{Processors: 16000, Memory: 32000}
		e.DataCentre, e.Rack = identifier.DataCentre(rune('x'+i%2)), identifier.Rack(rune('r'+i%4))
		b.dir.Workers[e.ID] = e
	}
	b.update(0)
	b.answerAll()
	for i := range busy {
		b.submit(identifier.Job(rune('a'+i)), submitter.Step{Count: 1, Size: identifier.Size{Processors: 7000, Memory: 100}, MaxPerWorker: 1})
	}
	b.pass(time.Second, nil)
	return b
}

// answerAll answers all polls in flight with what the workers run.
func (b *testbed) answerAll() {
	for id, w := range b.p.workers {
		answer := connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: 1}, StartedAt: 1}
		for run, r := range w.runs {
			if r.phase == runActive || r.phase == runStopping {
				answer.Active = append(answer.Active, connector.ActiveRun{Run: run, CPUUsed: r.size.Processors})
			}
		}
		b.update(0, PollAnswered{Worker: id, Order: connector.HoldOrder{Epoch: b.p.epochOf(w)}, SentAt: b.now, Answer: answer})
	}
}

// pass lets time pass and carries out all commands. Starts get the verdict of refuse, if there is one. It
// returns how many were confirmed by job.
func (b *testbed) pass(d time.Duration, refuse func(StartRun) connector.OrderVerdict) map[identifier.Job]int {
	started := map[identifier.Job]int{}
	for range int(d / (50 * time.Millisecond)) {
		b.update(50 * time.Millisecond)
		b.save()
		for _, s := range b.starts() {
			answer := connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: 1}
			if refuse != nil {
				answer.Verdict = refuse(s)
			}
			if answer.Verdict == connector.VerdictOK {
				started[s.Order.Run.Task.Job]++
			}
			b.update(0, StartAnswered{Worker: s.To.ID, Run: s.Order.Run, Epoch: s.Order.Epoch, Answer: answer})
		}
		b.answerAll()
	}
	return started
}

// TestGangsArePlacedWhole checks that a gang gets all its runs while there is room for them, however many of
// its members fit at once, and none otherwise. It must begin within 3 s.
func TestGangsArePlacedWhole(t *testing.T) {
	gang := func(n, processors int, change func(*submitter.Step)) submitter.Step {
		s := submitter.Step{Count: n, Size: identifier.Size{Processors: identifier.Millicores(processors), Memory: 3000}, Gang: true}
		if change != nil {
			change(&s)
		}
		return s
	}
	fills := func(s *submitter.Step) { s.Scavenger, s.Image = true, "f" }
	tests := map[string]struct {
		steps []submitter.Step
		want  []int
	}{
		"filling, some fit":               {[]submitter.Step{gang(3, 12000, fills)}, []int{3}},
		"filling, all fit":                {[]submitter.Step{gang(3, 4000, fills)}, []int{3}},
		"filling, in one rack":            {[]submitter.Step{gang(3, 12000, func(s *submitter.Step) { fills(s); s.SameRack = true })}, []int{3}},
		"filling, one a worker":           {[]submitter.Step{gang(8, 9000, func(s *submitter.Step) { fills(s); s.MaxPerWorker = 1 })}, []int{8}},
		"plain, across data centres":      {[]submitter.Step{gang(8, 9000, nil)}, []int{8}},
		"plain, one too many":             {[]submitter.Step{gang(9, 9000, nil)}, []int{0}},
		"large without room, small fits":  {[]submitter.Step{gang(3, 12000, nil), gang(4, 4000, nil)}, []int{0, 4}},
		"two sizes, both fit":             {[]submitter.Step{gang(2, 16000, nil), gang(6, 4000, nil)}, []int{2, 6}},
		"filling without room, plain one": {[]submitter.Step{gang(40, 12000, fills), gang(2, 9000, nil)}, []int{0, 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := gangBed(t, 8, 6)
			for i, s := range tt.steps {
				b.submit(identifier.Job("gang"+string(rune('0'+i))), s)
			}
			started := b.pass(3*time.Second, nil)
			for i, want := range tt.want {
				if got := started[identifier.Job("gang"+string(rune('0'+i)))]; got != want {
					t.Errorf("gang %d has %d runs, want %d", i, got, want)
				}
			}
		})
	}
}

// TestGangsWithoutRoomChangeNothing guards against a gang that cannot be placed and whose job is stored in
// each pass, with higher run numbers and a wait that begins anew.
func TestGangsWithoutRoomChangeNothing(t *testing.T) {
	b := gangBed(t, 8, 6)
	b.submit(gangJob, submitter.Step{Count: 3, Size: identifier.Size{Processors: 12000}, Gang: true})
	b.save()
	g := b.p.jobs[gangJob].occurrences[0][0]
	since, stored := g.tasks[0].readyAt, 0
	for range 60 {
		b.update(50 * time.Millisecond)
		b.answerAll()
		stored += len(b.save().Records)
	}
	if stored > 0 || g.tasks[0].attempt > 0 || !g.tasks[0].readyAt.Equal(since) {
		t.Errorf("stored %d times, run %d, waits since %v; want nothing changed since %v", stored, g.tasks[0].attempt, g.tasks[0].readyAt, since)
	}
}

// TestWaitsGoOnAfterFailedAttempts checks that what has certainly not begun on a worker goes on waiting: a
// start that is refused or not sent, or a claim that is withdrawn, of a gang with all its members.
func TestWaitsGoOnAfterFailedAttempts(t *testing.T) {
	unhealthy := func(StartRun) connector.OrderVerdict { return connector.VerdictUnhealthy }
	tests := map[string]struct {
		step submitter.Step
		fail func(b *testbed)
	}{
		"refused":       {submitter.Step{Count: 1, Size: smallSize}, func(b *testbed) { b.pass(50*time.Millisecond, unhealthy) }},
		"refused twice": {submitter.Step{Count: 1, Size: smallSize}, func(b *testbed) { b.pass(200*time.Millisecond, unhealthy) }},
		"not sent": {submitter.Step{Count: 1, Size: smallSize}, func(b *testbed) {
			b.save()
			s := b.starts()[0]
			b.update(0, StartAnswered{Worker: s.To.ID, Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errUnsent})
		}},
		"gang, one worker drains while the directory is stale": {submitter.Step{Count: 8, Size: identifier.Size{Processors: 9000}, Gang: true}, func(b *testbed) {
			b.update(50 * time.Millisecond)
			batch := b.p.TakeBatch()
			b.now = b.now.Add(3 * time.Second)
			b.p.Update(b.now, BatchSaved{batch})
			e := b.dir.Workers["h"]
			e.Draining = true
			b.dir.Workers["h"] = e
			b.update(50 * time.Millisecond)
			if n := len(b.starts()); n > 0 {
				b.t.Errorf("%d members started without the others", n)
			}
		}},
		"gang, one worker drains": {submitter.Step{Count: 8, Size: identifier.Size{Processors: 9000}, Gang: true}, func(b *testbed) {
			b.update(50 * time.Millisecond)
			e := b.dir.Workers["h"]
			e.Draining = true
			b.dir.Workers["h"] = e
			b.save()
			if n := len(b.starts()); n > 0 {
				b.t.Errorf("%d members started without the others", n)
			}
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := gangBed(t, 8, 6)
			b.submit(gangJob, tt.step)
			j := b.p.jobs[gangJob]
			since := j.submitted
			b.p.now = b.now
			tt.fail(b)
			for i := range j.occurrences[0][0].tasks {
				if task := &j.occurrences[0][0].tasks[i]; !task.readyAt.Equal(since) || !j.idleSince.IsZero() {
					t.Fatalf("task %d waits since %v, its job is idle since %v; want since %v and always", i, task.readyAt, j.idleSince, since)
				}
			}
		})
	}
}
