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

var testTiming = Timing{
	WorkerTTL: 3 * time.Second, WorkerRenewInterval: time.Second, MaxStaleness: time.Second,
	ClaimDelay: 400 * time.Millisecond, ResendInterval: time.Second,
}

func size(cores, gib int64) identifier.Size {
	return identifier.Size{Processors: identifier.Millicores(cores * 1000), Memory: identifier.Mebibytes(gib << 10)}
}

func testConfig(state parser.Availability) *checker.Set {
	return checker.NewSet(
		&parser.Team{Name: "t", Quota: size(1000, 1000)},
		&parser.DataCentre{Name: "a", State: state, DrainRate: 10},
		&parser.PlacementPolicy{Name: "p", DataCentres: []identifier.DataCentre{"a"}},
		&parser.BatchPool{Name: "runs", Team: "t", Policy: "p", Size: size(2, 4), MaxAttempts: 3},
	)
}

// harness drives a scheduler with the events that its host would send, and collects the commands of
// ticks and reports.
type harness struct {
	*Scheduler
	commands []Command
}

func newHarness(state parser.Availability, workers int) *harness {
	h := &harness{Scheduler: New("a", testTiming)}
	h.Update(ConfigChanged{testConfig(state)})
	var hosts []connector.WorkerHost
	for i := range workers {
		hosts = append(hosts, connector.WorkerHost{
			ID: identifier.Worker(fmt.Sprint("w", i)), DataCentre: "a", Address: "x",
			Capacity: size(16, 60), State: connector.HostLive,
		})
	}
	h.Update(HostsListed{hosts})
	return h
}

// holdLease tells the scheduler that its host holds the cell lease, renewed just now.
func (h *harness) holdLease(epoch identifier.Epoch) {
	h.Update(LeaseChecked{Held: true, ManagesRunning: true, Epoch: epoch, RenewedAt: time.Now()})
}

// tick sends a tick on which everything was last complete at caughtUpAt.
func (h *harness) tick(caughtUpAt time.Time) {
	h.commands = append(h.commands, h.Update(Tick{ConfigCaughtUpAt: caughtUpAt, TasksCaughtUpAt: caughtUpAt})...)
}

// report sends a worker's answer to a lease call under the epoch.
func (h *harness) report(w identifier.Worker, epoch identifier.Epoch, tasks ...connector.WorkerTask) {
	h.commands = append(h.commands, h.Update(WorkerAnswered{
		Worker: w, Epoch: epoch, SentAt: time.Now(),
		Report: connector.Report{Lease: identifier.Lease(fmt.Sprint(w, epoch)), Tasks: tasks},
	})...)
}

func waitingTask(id string) tracker.Task {
	return tracker.Task{ID: identifier.Task(id), Pool: "runs", State: tracker.StateWaiting}
}

func countCommands[T Command](commands []Command) int {
	n := 0
	for _, c := range commands {
		if _, ok := c.(T); ok {
			n++
		}
	}
	return n
}

func countClaims(commands []Command) int {
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

// TestBusyWorkersAreRenewedMoreOftenWhileTasksWait guards against room that stays unused while
// tasks wait. The end of a task is seen only in its worker's next report, so renewals have to
// become more frequent.
func TestBusyWorkersAreRenewedMoreOftenWhileTasksWait(t *testing.T) {
	tests := map[string]struct {
		tasks, least, most int
	}{
		"tasks wait": {tasks: 20, least: 3, most: 5},
		"none waits": {tasks: 4, least: 1, most: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(parser.InService, 1)
				time.Sleep(time.Second)
				h.holdLease(7)
				var all []tracker.Task
				var running []connector.WorkerTask
				for i := range tt.tasks {
					task := waitingTask(fmt.Sprint("run-", i))
					if i < 8 {
						task.State, task.DataCentre, task.Worker, task.Attempt, task.Size = tracker.StateClaimed, "a", "w0", 1, size(2, 4)
						running = append(running, connector.WorkerTask{Task: task.ID, Attempt: 1, Phase: connector.PhaseRunning, Size: size(2, 4)})
					}
					all = append(all, task)
				}
				h.Update(TasksReset{Tasks: all})
				h.tick(time.Now())
				h.report("w0", 7, running...)
				h.commands = nil
				for range 20 {
					time.Sleep(50 * time.Millisecond)
					h.tick(time.Now())
					h.report("w0", 7, running...)
				}
				if got := countCommands[RenewLease](h.commands); got < tt.least || got > tt.most {
					t.Errorf("called %d times in a second, want %d to %d", got, tt.least, tt.most)
				}
			})
		})
	}
}

// TestConditionsForClaims checks that a task is claimed only by a lease holder in service that has
// read the configuration and all tasks recently, and the tasks since it got the lease.
func TestConditionsForClaims(t *testing.T) {
	type caughtUp struct{ config, task time.Duration }
	tests := map[string]struct {
		state    parser.Availability
		held     bool
		caughtUp caughtUp
		want     int
	}{
		"holder that has read all":        {state: parser.InService, held: true, want: 1},
		"no lease":                        {state: parser.InService, want: 0},
		"drained":                         {state: parser.Drained, held: true, want: 0},
		"configuration not fresh":         {state: parser.InService, held: true, caughtUp: caughtUp{config: -1100 * time.Millisecond}, want: 0},
		"tasks not fresh":                 {state: parser.InService, held: true, caughtUp: caughtUp{task: -1100 * time.Millisecond}, want: 0},
		"tasks not read since the lease":  {state: parser.InService, held: true, caughtUp: caughtUp{task: -600 * time.Millisecond}, want: 0},
		"configuration a moment old only": {state: parser.InService, held: true, caughtUp: caughtUp{config: -600 * time.Millisecond}, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(tc.state, 1)
				time.Sleep(time.Minute)
				if tc.held {
					h.holdLease(1)
				}
				h.report("w0", h.cellLease.Epoch)
				h.Update(TaskChanged{waitingTask("r")})
				time.Sleep(500 * time.Millisecond)
				now := time.Now()
				h.commands = h.Update(Tick{ConfigCaughtUpAt: now.Add(tc.caughtUp.config), TasksCaughtUpAt: now.Add(tc.caughtUp.task)})
				if got := countClaims(h.commands); got != tc.want {
					t.Errorf("%d claims, want %d", got, tc.want)
				}
			})
		})
	}
}

// TestUnreservedAttemptsTakeRoom guards against overcommitting a worker that still runs an attempt
// which the log no longer assigns to it.
func TestUnreservedAttemptsTakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(parser.InService, 1)
		h.holdLease(2)
		time.Sleep(100 * time.Millisecond)
		h.report("w0", 2, connector.WorkerTask{Task: "stale", Attempt: 1, Phase: connector.PhaseRunning, Size: size(15, 8)})
		h.Update(TaskChanged{waitingTask("r")})
		h.tick(time.Now())
		if n := countClaims(h.commands); n != 0 {
			t.Errorf("%d claims on a worker that a stale attempt fills, want none", n)
		}
		if n := countCommands[StopTask](h.commands); n != 1 {
			t.Errorf("%d stops of the stale attempt, want 1", n)
		}
	})
}

// TestTasksOfUnresponsiveWorkerAreReleased checks when a task of a worker that stopped answering is
// released: once the worker's lease has certainly run out, or, if the worker never answered this
// holder, once an earlier holder that is cut off can no longer renew that lease.
func TestTasksOfUnresponsiveWorkerAreReleased(t *testing.T) {
	released := func(h *harness) bool {
		for _, c := range h.commands {
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
				h := newHarness(parser.InService, 1)
				h.Update(TaskChanged{tracker.Task{
					ID: "r", Pool: "runs", State: tracker.StateClaimed, Attempt: 1, DataCentre: "a", Worker: "w0",
					Size: size(2, 4), GraceMs: grace.Milliseconds(), Repeatable: true,
				}})
				h.holdLease(2)
				if tc.answered {
					h.report("w0", 2, connector.WorkerTask{Task: "r", Attempt: 1, Phase: connector.PhaseRunning, Size: size(2, 4)})
				}
				for began := time.Now(); time.Since(began) < tc.after; time.Sleep(50 * time.Millisecond) {
					h.holdLease(2)
					h.tick(time.Now())
					if h.workers["w0"].callPending {
						h.Update(WorkerCallFailed{Worker: "w0", Epoch: 2})
					}
				}
				if got := released(h); got != tc.want {
					t.Errorf("released %t, want %t", got, tc.want)
				}
			})
		})
	}
}

// TestNeverOvercommitted applies random events and checks that the claims on a worker never exceed
// its capacity.
func TestNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(rt, "steps")
		picks := rapid.SliceOfN(rapid.IntRange(0, 30), len(steps), len(steps)).Draw(rt, "picks")
		var violation string
		synctest.Test(t, func(t *testing.T) { violation = applyRandomSteps(steps, picks) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// applyRandomSteps applies steps to a scheduler whose claims reach the log late, and returns a
// description of an overcommitted worker, or "". picks gives the number of the task in each step.
func applyRandomSteps(steps, picks []int) string {
	h := newHarness(parser.InService, 2)
	var state tracker.Tracker
	h.holdLease(1)
	h.report("w0", 1)
	h.report("w1", 1)
	var pending []Append
	used := map[identifier.Worker]identifier.Size{}
	apply := func(body encoder.Body) tracker.Result {
		v := state.Apply(body)
		if v.Applied {
			h.Update(TaskChanged{v.Task})
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
			h.holdLease(1)
			h.commands = nil
			h.tick(time.Now())
			for _, c := range h.commands {
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
			if t, ok := state.Get(id); ok && t.State == tracker.StateClaimed {
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

// TestQueueOrder checks the order by priority, earlier eviction and time of submission.
func TestQueueOrder(t *testing.T) {
	pool := func(p parser.Priority) *parser.BatchPool { return &parser.BatchPool{Priority: p} }
	var q queue
	q.insert(newQueueEntry(tracker.Task{ID: "old", SubmittedAtUnixMs: 1}, pool(parser.PriorityNormal)))
	q.insert(newQueueEntry(tracker.Task{ID: "evicted", SubmittedAtUnixMs: 9, Evictions: 1}, pool(parser.PriorityNormal)))
	q.insert(newQueueEntry(tracker.Task{ID: "urgent", SubmittedAtUnixMs: 10}, pool(parser.PriorityUrgent)))
	q.insert(newQueueEntry(tracker.Task{ID: "low", SubmittedAtUnixMs: 0, Evictions: 1}, pool(parser.PriorityLow)))
	q.insert(newQueueEntry(tracker.Task{ID: "older", SubmittedAtUnixMs: 0}, pool(parser.PriorityNormal)))
	q.remove("old")
	var got []identifier.Task
	for _, e := range q.entries {
		got = append(got, e.id)
	}
	if want := []identifier.Task{"urgent", "evicted", "older", "low"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}
