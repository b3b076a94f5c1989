package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestScavengersBesideFreeRoomAreNotStarved guards against a scavenger job that does not run
// because other scavengers were promised all processors, although nobody reserves them.
func TestScavengersBesideFreeRoomAreNotStarved(t *testing.T) {
	log := &logRecorder{}
	b := newTestbed(t, workerEntry("w"))
	b.p.log = log
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
	step := submitter.Step{Count: 1, Size: identifier.Size{Processors: 1800, Memory: 500}, Scavenger: true, Image: "bill"}
	var active []connector.ActiveRun
	for _, id := range []identifier.Job{"00000000000000aa", "00000000000000ab", "00000000000000ac"} {
		b.submit(id, step)
		b.save()
		for _, s := range b.starts() {
			active = append(active, connector.ActiveRun{Run: s.Order.Run, Percent: len(active)})
			b.confirmStart(s)
		}
	}
	for range 30 {
		b.update(time.Second)
		for i := range active {
			active[i].Percent++
		}
		b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1, Active: active})
		if b.p.Dirty() {
			b.save()
		}
		for _, s := range b.starts() {
			active = append(active, connector.ActiveRun{Run: s.Order.Run})
			b.confirmStart(s)
		}
	}
	if len(active) != 3 {
		t.Errorf("%d of 3 jobs run after 30 s; waits: %+v", len(active), log.waits[len(log.waits)-1])
	}
}

// TestHarmfulScavengersAreNotStarved guards against a scavenger job that does not run for 3 s
// beside free room because it lengthens the tail latencies on every worker.
func TestHarmfulScavengersAreNotStarved(t *testing.T) {
	entry := workerEntry("w")
	entry.Capacity.Processors = 10 * smallSize.Processors
	b := newTestbed(t, entry)
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
	watch := b.startOne(submitter.Step{Count: 1, Size: smallSize, LongRunning: true, TailTarget: identifier.Duration(time.Second), Image: "watch"})
	b.confirmStart(watch)
	b.p.estimator.Set("watch", "batch", 20)
	b.submit("00000000000000ab", submitter.Step{Count: 2, Size: smallSize, Scavenger: true, Image: "batch"})
	var scavenger *StartRun
	const tick, limit = 200 * time.Millisecond, 3 * time.Second
	waited := time.Duration(0)
	for range 100 {
		active := []connector.ActiveRun{{Run: watch.Order.Run, Percent: 100, TailLatency: 500 * time.Millisecond}}
		var ended []connector.EndedRun
		if scavenger != nil {
			active[0].TailLatency = 2 * time.Second
			active = append(active, connector.ActiveRun{Run: scavenger.Order.Run, Percent: 10, CPUUsed: smallSize.Processors})
		}
		b.p.setPolling(b.p.workers["w"], false)
		b.update(tick)
		for _, c := range b.commands {
			if s, ok := c.(StopRun); ok && scavenger != nil && s.Run == scavenger.Order.Run {
				active = active[:1]
				ended = append(ended, connector.EndedRun{Number: b.p.workers["w"].lastEnd + 1, Run: s.Run, Reason: connector.EndStopped})
				scavenger = nil
			}
		}
		b.answerPoll("w", connector.HoldAnswer{StartedAt: 1, Active: active, Ended: ended})
		b.save()
		for _, s := range b.starts() {
			scavenger = &s
			b.confirmStart(s)
		}
		if waited += tick; scavenger != nil {
			waited = 0
		}
		if waited > limit {
			t.Fatalf("no task of the job has run for %v: %s", waited, b.p.waitReason(&b.p.jobs["00000000000000ab"].occurrences[0][0].tasks[0]))
		}
	}
}

// TestScavengerOvercommit checks which scavenger jobs get a task although all spare processors are
// promised: within 3 s, one task for each job, and none on processors that are reserved or already
// promised twice.
func TestScavengerOvercommit(t *testing.T) {
	const limit = 3 * time.Second
	late := submitter.Step{Count: 1, Size: identifier.Size{Processors: 1800, Memory: 500}, Scavenger: true, Image: "bill"}
	inTime, two, four, reserved := late, late, late, late
	inTime.Estimate = identifier.Duration(time.Minute)
	two.Count, four.Count = 2, 4
	reserved.Scavenger, reserved.Size.Processors = false, 2100
	tests := map[string]struct {
		steps []submitter.Step
		want  int
	}{
		"jobs of one task":             {[]submitter.Step{late, late, late}, 3},
		"jobs in time":                 {[]submitter.Step{inTime, inTime, inTime}, 3},
		"one job with several tasks":   {[]submitter.Step{four}, 2},
		"two jobs with two tasks":      {[]submitter.Step{two, two}, 3},
		"late jobs beside one in time": {[]submitter.Step{two, late, inTime}, 2},
		"as many as are promised":      {[]submitter.Step{late, late, late, late, late, late}, 4},
		"half is reserved":             {[]submitter.Step{reserved, late, late}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
			for i, step := range tt.steps {
				b.submit(identifier.Job(fmt.Sprintf("%016x", i+1)), step)
			}
			var active []connector.ActiveRun
			begin, last := b.now, b.now
			for b.now.Sub(begin) < 2*limit {
				b.update(100 * time.Millisecond)
				b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1, Active: active})
				if b.p.Dirty() {
					b.save()
				}
				for _, s := range b.starts() {
					active, last = append(active, connector.ActiveRun{Run: s.Order.Run}), b.now
					b.confirmStart(s)
				}
			}
			if len(active) != tt.want || last.Sub(begin) >= limit {
				t.Errorf("%d tasks started, the last after %v; want %d within %v", len(active), last.Sub(begin), tt.want, limit)
			}
		})
	}
}

// TestScavengersAreNotStarvedAfterOverload guards against scavenger jobs of which nothing runs for
// 3 s although processors are unreserved, from 14 s after an overload.
func TestScavengersAreNotStarvedAfterOverload(t *testing.T) {
	const finish, limit = 14 * time.Second, 3 * time.Second
	for seed := range uint64(repetitions) {
		s := newFleet(t, seed, 4)
		s.serve(loadProfile{workers: 4, scavengingGap: 600 * time.Millisecond})
		s.run(finish - limit)
		idleSince, maxWaiting := map[*job]time.Time{}, 0
		for range 2 * limit / fleetTick {
			s.run(fleetTick)
			before := idleSince
			idleSince = map[*job]time.Time{}
			for j := range s.b.p.waiting {
				if j.runCount > 0 {
					continue
				}
				idleSince[j] = s.b.now
				if since, ok := before[j]; ok {
					idleSince[j] = since
				}
				if s.b.now.Sub(idleSince[j]) >= limit {
					t.Fatalf("seed %d: no task of a job has run for %v: %s", seed, limit, s.b.p.waitReason(j.occurrences[0][0].firstReady()))
				}
			}
			maxWaiting = max(maxWaiting, len(s.b.p.waiting))
		}
		if maxWaiting == 0 {
			t.Errorf("seed %d: no job was waiting after the overload", seed)
		}
	}
}
