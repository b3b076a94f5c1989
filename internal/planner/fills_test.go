package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestScavengersWithRoomAreNotLeftOut guards against a job of scavengers of which nothing runs
// for long because others were promised all processors, although these are not reserved.
func TestScavengersWithRoomAreNotLeftOut(t *testing.T) {
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

// TestScavengersThatHarmEverybodyAreNotLeftOut guards against a job of scavengers of which
// nothing runs for 3 s beside free room, since each worker has tasks whose tails it lengthens.
func TestScavengersThatHarmEverybodyAreNotLeftOut(t *testing.T) {
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
			t.Fatalf("nothing of the job has run for %v: %s", waited, b.p.waitReason(&b.p.jobs["00000000000000ab"].occurrences[0][0].tasks[0]))
		}
	}
}

// TestScavengersBeyondTheProcessorsToSpare checks which jobs of scavengers get a task where all
// processors to spare are promised: within the users' 3 s, one a job, and none that is reserved
// or promised twice.
func TestScavengersBeyondTheProcessorsToSpare(t *testing.T) {
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
		"a job of which others run":    {[]submitter.Step{four}, 2},
		"one task of a job":            {[]submitter.Step{two, two}, 3},
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
				t.Errorf("%d tasks run, the last since %v; want %d within %v", len(active), last.Sub(begin), tt.want, limit)
			}
		})
	}
}

// TestScavengersAreNotLeftOutAfterOverload guards against jobs of scavengers of which nothing
// runs for 3 s from 14 s after an overload on, beside processors that nobody reserves.
func TestScavengersAreNotLeftOutAfterOverload(t *testing.T) {
	const finish, limit = 14 * time.Second, 3 * time.Second
	for seed := range uint64(repetitions) {
		s := newFleet(t, seed, 4)
		s.serve(loadProfile{workers: 4, scavengingGap: 600 * time.Millisecond})
		s.run(finish - limit)
		idle, left := map[*job]time.Time{}, 0
		for range 2 * limit / fleetTick {
			s.run(fleetTick)
			before := idle
			idle = map[*job]time.Time{}
			for j := range s.b.p.waiting {
				if j.runCount > 0 {
					continue
				}
				idle[j] = s.b.now
				if since, ok := before[j]; ok {
					idle[j] = since
				}
				if s.b.now.Sub(idle[j]) >= limit {
					t.Fatalf("seed %d: nothing of a job has run for %v: %s", seed, limit, s.b.p.waitReason(j.occurrences[0][0].firstReady()))
				}
			}
			left = max(left, len(s.b.p.waiting))
		}
		if left == 0 {
			t.Errorf("seed %d: no job waits after the overload", seed)
		}
	}
}
