package planner

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// ordersUsed returns how many orders the window counts as under way.
func ordersUsed(p *Planner) int {
	return int(reflect.ValueOf(p.orderWindow).Elem().FieldByName("used").Int())
}

// runsInPhase returns how many runs are in a phase.
func runsInPhase(p *Planner, phase runPhase) int {
	n := 0
	for _, w := range p.workers {
		for _, r := range w.runs {
			if r.phase == phase {
				n++
			}
		}
	}
	return n
}

// TestWindowCountsOrdersInFlight checks, with silent workers, cancelled jobs, gangs, a
// slow store and a stale directory, that the window counts the starts under way and is
// empty in the end.
func TestWindowCountsOrdersInFlight(t *testing.T) {
	const workers, steps, seeds = 20, 80, 8
	for seed := range int64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rnd := rand.New(rand.NewSource(seed))
			l := newLink(t, workers)
			l.unreachable = map[identifier.Worker]bool{}
			l.run(time.Second)
			var ids []identifier.Job
			for i := range steps {
				ids = append(ids, identifier.Job(fmt.Sprintf("%016x", i)))
				l.injectFaults(rnd, ids)
				stops := len(l.b.p.stops.sent)
				if used, want := ordersUsed(l.b.p)-stops, runsInPhase(l.b.p, runStarting); used != want {
					t.Fatalf("step %d: the window counts %d starts, %d are under way", i, used, want)
				}
				if under := l.stopsInFlight(); stops > under {
					t.Fatalf("step %d: the window counts %d stops, %d are under way", i, stops, under)
				}
				if unsent, want := l.b.p.unsentClaims, runsInPhase(l.b.p, runClaimed); unsent != want {
					t.Fatalf("step %d: %d claims are counted, %d are not sent", i, unsent, want)
				}
			}
			clear(l.unreachable)
			l.saveDuration = saveTime
			for _, id := range ids {
				l.b.update(0, JobCancelled{ID: id, At: 1})
				l.send()
			}
			l.run(40 * time.Second)
			if used := ordersUsed(l.b.p); used != 0 || len(l.b.p.heldClaims) != 0 || l.b.p.unsentClaims != 0 || len(l.b.p.stops.queued) != 0 {
				t.Fatalf("the window counts %d orders, %d claims are held, %d not sent, %d stops held after all jobs were cancelled",
					used, len(l.b.p.heldClaims), l.b.p.unsentClaims, len(l.b.p.stops.queued))
			}
		})
	}
}

// stopsInFlight returns how many runs have a stop on the link or on its way back, as the
// link sees it.
func (l *link) stopsInFlight() int {
	runs := map[workerRun]struct{}{}
	for i := range len(l.queue) + len(l.undelivered) {
		if o := l.orderInFlight(i); !o.expired {
			if c, ok := o.command.(StopRun); ok {
				runs[workerRun{c.To.ID, c.Run}] = struct{}{}
			}
		}
	}
	return len(runs)
}

// injectFaults submits the last of some jobs and lets something go wrong.
func (l *link) injectFaults(rnd *rand.Rand, ids []identifier.Job) {
	l.b.submit(ids[len(ids)-1],
		submitter.Step{Count: 1 + rnd.Intn(30), Size: smallSize, LongRunning: rnd.Intn(2) == 0},
		submitter.Step{Count: 4, Size: smallSize, Gang: true})
	l.send()
	if rnd.Intn(3) == 0 {
		l.b.update(0, JobCancelled{ID: ids[rnd.Intn(len(ids))], At: 1})
		l.send()
	}
	if rnd.Intn(4) == 0 {
		l.unreachable[identifier.Worker(fmt.Sprintf("w%03d", rnd.Intn(len(l.workers))))] = rnd.Intn(2) == 0
	}
	if rnd.Intn(5) == 0 {
		l.saveDuration = time.Duration(rnd.Intn(700)) * time.Millisecond
	}
	if rnd.Intn(6) == 0 {
		// A batch is stored while the directory is too old.
		l.b.now = l.b.now.Add(l.b.p.settings.MaxDirectoryAge + time.Second)
		l.b.commands = append(l.b.commands, l.b.p.Update(l.b.now, BatchSaved{l.b.p.TakeBatch()})...)
		l.send()
	}
	l.run(time.Duration(rnd.Intn(400)) * time.Millisecond)
}
