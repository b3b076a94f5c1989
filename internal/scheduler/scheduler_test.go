package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

var testTimes = Timing{
	WorkerTTL: 3 * time.Second, WorkerRenewInterval: time.Second, MaxStaleness: time.Second,
	ClaimDelay: 400 * time.Millisecond, ResendInterval: time.Second,
}

func size(cores, gib int64) identifier.Size {
	return identifier.Size{Processors: identifier.Millicores(cores * 1000), Memory: identifier.Mebibytes(gib << 10)}
}

func testSet(state parser.Availability) *checker.Set {
	return checker.NewSet(
		&parser.Team{Name: "t", Quota: size(1000, 1000)},
		&parser.DataCentre{Name: "a", State: state, DrainRate: 10},
		&parser.PlacementPolicy{Name: "p", DataCentres: []identifier.DataCentre{"a"}},
		&parser.BatchPool{Name: "runs", Team: "t", Policy: "p", Size: size(2, 4), MaxAttempts: 3},
	)
}

// bench drives a scheduler as its host would, with a claim accepted at once.
type bench struct {
	*Scheduler
	commands []Command
}

func newBench(state parser.Availability, workers int) *bench {
	b := &bench{Scheduler: New("a", testTimes)}
	b.Update(ConfigChanged{testSet(state)})
	var hosts []connector.WorkerHost
	for i := range workers {
		hosts = append(hosts, connector.WorkerHost{
			ID: identifier.Worker(fmt.Sprint("w", i)), DataCentre: "a", Address: "x",
			Capacity: size(16, 60), State: connector.HostLive,
		})
	}
	b.Update(HostsListed{hosts})
	return b
}

func (b *bench) hold(epoch identifier.Epoch) {
	b.Update(LeaseChecked{Held: true, ManagesRunning: true, Epoch: epoch, RenewedAt: time.Now()})
}

func (b *bench) tick(proof time.Time) {
	b.commands = append(b.commands, b.Update(Tick{ConfigCaughtUpAt: proof, TasksCaughtUpAt: proof})...)
}

func (b *bench) report(w identifier.Worker, epoch identifier.Epoch, tasks ...connector.WorkerTask) {
	b.commands = append(b.commands, b.Update(WorkerAnswered{
		Worker: w, Epoch: epoch, SentAt: time.Now(),
		Report: connector.Report{Lease: identifier.Lease(fmt.Sprint(w, epoch)), Tasks: tasks},
	})...)
}

func waitingRun(id string) tracker.Task {
	return tracker.Task{ID: identifier.Task(id), Pool: "runs", State: tracker.StateWaiting}
}

func count[T Command](commands []Command) int {
	n := 0
	for _, c := range commands {
		if _, ok := c.(T); ok {
			n++
		}
	}
	return n
}

func claims(commands []Command) int {
	n := 0
	for _, c := range commands {
		if a, ok := c.(Append); ok {
			if _, ok := a.Body.(encoder.Claim); ok {
				n++
			}
		}
	}
	return n
}

// TestFullWorkersAreCalledOftenWhileTasksWait checks that the end of a run frees its
// room soon when there is work for it.
func TestFullWorkersAreCalledOftenWhileTasksWait(t *testing.T) {
	tests := map[string]struct {
		tasks, least, most int
	}{
		"tasks wait": {tasks: 20, least: 3, most: 5},
		"none waits": {tasks: 4, least: 1, most: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(parser.InService, 1)
				time.Sleep(time.Second)
				b.hold(7)
				var all []tracker.Task
				var running []connector.WorkerTask
				for i := range tt.tasks {
					task := waitingRun(fmt.Sprint("run-", i))
					if i < 8 {
						task.State, task.DataCentre, task.Worker, task.Attempt, task.Size = tracker.StateClaimed, "a", "w0", 1, size(2, 4)
						running = append(running, connector.WorkerTask{Task: task.ID, Attempt: 1, Phase: connector.PhaseRunning, Size: size(2, 4)})
					}
					all = append(all, task)
				}
				b.Update(TasksReset{Tasks: all})
				b.tick(time.Now())
				b.report("w0", 7, running...)
				b.commands = nil
				for range 20 {
					time.Sleep(50 * time.Millisecond)
					b.tick(time.Now())
					b.report("w0", 7, running...)
				}
				if got := count[RenewLease](b.commands); got < tt.least || got > tt.most {
					t.Errorf("called %d times in a second, want %d to %d", got, tt.least, tt.most)
				}
			})
		})
	}
}

func TestWhenTasksAreClaimed(t *testing.T) {
	type proofs struct{ config, task time.Duration }
	tests := map[string]struct {
		state  parser.Availability
		held   bool
		proofs proofs
		want   int
	}{
		"holder that has read all":        {state: parser.InService, held: true, want: 1},
		"no lease":                        {state: parser.InService, want: 0},
		"drained":                         {state: parser.Drained, held: true, want: 0},
		"configuration not fresh":         {state: parser.InService, held: true, proofs: proofs{config: -1100 * time.Millisecond}, want: 0},
		"tasks not fresh":                 {state: parser.InService, held: true, proofs: proofs{task: -1100 * time.Millisecond}, want: 0},
		"tasks not read since the lease":  {state: parser.InService, held: true, proofs: proofs{task: -600 * time.Millisecond}, want: 0},
		"configuration a moment old only": {state: parser.InService, held: true, proofs: proofs{config: -600 * time.Millisecond}, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(tc.state, 1)
				time.Sleep(time.Minute)
				if tc.held {
					b.hold(1)
				}
				b.report("w0", b.lease.Epoch)
				b.Update(TaskChanged{waitingRun("r")})
				time.Sleep(500 * time.Millisecond)
				now := time.Now()
				b.commands = b.Update(Tick{ConfigCaughtUpAt: now.Add(tc.proofs.config), TasksCaughtUpAt: now.Add(tc.proofs.task)})
				if got := claims(b.commands); got != tc.want {
					t.Errorf("%d claims, want %d", got, tc.want)
				}
			})
		})
	}
}

func TestAttemptsNobodyReservedTakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(parser.InService, 1)
		b.hold(2)
		time.Sleep(100 * time.Millisecond)
		b.report("w0", 2, connector.WorkerTask{Task: "stale", Attempt: 1, Phase: connector.PhaseRunning, Size: size(15, 8)})
		b.Update(TaskChanged{waitingRun("r")})
		b.tick(time.Now())
		if n := claims(b.commands); n != 0 {
			t.Errorf("%d claims on a worker that a stale attempt fills, want none", n)
		}
		if n := count[StopTask](b.commands); n != 1 {
			t.Errorf("%d stops of the stale attempt, want 1", n)
		}
	})
}

func TestSilentWorkerOfAnEarlierHolder(t *testing.T) {
	released := func(b *bench) bool {
		for _, c := range b.commands {
			if a, ok := c.(Append); ok {
				if _, ok := a.Body.(encoder.Release); ok {
					return true
				}
			}
		}
		return false
	}
	grace := time.Minute
	tests := map[string]struct {
		answered bool
		after    time.Duration
		want     bool
	}{
		"answered this holder, lease may last":   {answered: true, after: 8 * time.Second},
		"answered this holder, lease is over":    {answered: true, after: 15 * time.Second, want: true},
		"never answered, earlier one may renew":  {after: 75 * time.Second},
		"never answered, earlier one has ceased": {after: 2 * time.Minute, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(parser.InService, 1)
				b.Update(TaskChanged{tracker.Task{
					ID: "r", Pool: "runs", State: tracker.StateClaimed, Attempt: 1, DataCentre: "a", Worker: "w0",
					Size: size(2, 4), GraceMs: grace.Milliseconds(), Repeatable: true,
				}})
				b.hold(2)
				if tc.answered {
					b.report("w0", 2, connector.WorkerTask{Task: "r", Attempt: 1, Phase: connector.PhaseRunning, Size: size(2, 4)})
				}
				for began := time.Now(); time.Since(began) < tc.after; time.Sleep(50 * time.Millisecond) {
					b.hold(2)
					b.tick(time.Now())
					if b.workers["w0"].busy {
						b.Update(WorkerCallFailed{Worker: "w0", Epoch: 2})
					}
				}
				if got := released(b); got != tc.want {
					t.Errorf("released %t, want %t", got, tc.want)
				}
			})
		})
	}
}

// TestNeverOvercommitted draws events in any order and checks that the claims
// on a worker never exceed its capacity.
func TestNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(rt, "steps")
		picks := rapid.SliceOfN(rapid.IntRange(0, 30), len(steps), len(steps)).Draw(rt, "picks")
		var violation string
		synctest.Test(t, func(t *testing.T) { violation = driveRandomly(steps, picks) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// driveRandomly carries out steps on a scheduler whose claims the log accepts
// late, and returns what is wrong, or nothing.
func driveRandomly(steps, picks []int) string {
	b := newBench(parser.InService, 2)
	var fold tracker.Tracker
	b.hold(1)
	b.report("w0", 1)
	b.report("w1", 1)
	var pending []Append
	used := map[identifier.Worker]identifier.Size{}
	apply := func(body encoder.Body) tracker.Result {
		v := fold.Apply(body)
		if v.Applied {
			b.Update(TaskChanged{v.Task})
		}
		return v
	}
	for i, step := range steps {
		id := identifier.Task(fmt.Sprint("r", picks[i]))
		switch step {
		case 0, 1:
			apply(encoder.Submit{Task: id, Pool: "runs"})
		case 2:
			time.Sleep(200 * time.Millisecond)
			b.hold(1)
			b.commands = nil
			b.tick(time.Now())
			for _, c := range b.commands {
				if a, ok := c.(Append); ok {
					pending = append(pending, a)
				}
			}
		case 3, 4:
			for _, a := range pending {
				claim, isClaim := a.Body.(encoder.Claim)
				if apply(a.Body).Applied && isClaim {
					used[claim.Worker] = used[claim.Worker].Add(claim.Size)
				}
			}
			pending = nil
		case 5:
			if t, ok := fold.Get(id); ok && t.State == tracker.StateClaimed {
				apply(encoder.End{Task: id, Attempt: t.Attempt, Outcome: encoder.OutcomeDone})
				used[t.Worker] = used[t.Worker].Sub(t.Size)
			}
		}
		for w, u := range used {
			if !u.Fits(size(16, 60)) {
				return fmt.Sprintf("worker %s holds %s", w, u)
			}
		}
	}
	return ""
}

func TestQueueOrder(t *testing.T) {
	pool := func(p parser.Priority) *parser.BatchPool { return &parser.BatchPool{Priority: p} }
	var q queue
	q.insert(waitingTask(tracker.Task{ID: "old", SubmittedAtUnixMs: 1}, pool(parser.PriorityNormal)))
	q.insert(waitingTask(tracker.Task{ID: "evicted", SubmittedAtUnixMs: 9, Evictions: 1}, pool(parser.PriorityNormal)))
	q.insert(waitingTask(tracker.Task{ID: "urgent", SubmittedAtUnixMs: 10}, pool(parser.PriorityUrgent)))
	q.insert(waitingTask(tracker.Task{ID: "low", SubmittedAtUnixMs: 0, Evictions: 1}, pool(parser.PriorityLow)))
	q.insert(waitingTask(tracker.Task{ID: "older", SubmittedAtUnixMs: 0}, pool(parser.PriorityNormal)))
	q.remove("old")
	var got []identifier.Task
	for _, e := range q.entries {
		got = append(got, e.id)
	}
	if want := []identifier.Task{"urgent", "evicted", "older", "low"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}
