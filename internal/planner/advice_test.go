package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

var burstAdvice = connector.AdviceDurations{
	Decide: identifier.Duration(40 * time.Millisecond), PerWorker: identifier.Duration(30 * time.Millisecond),
	Valid: identifier.Duration(3 * time.Second),
}

// adviserFake handles one call at a time, in turn, on the test's clock.
type adviserFake struct {
	// slowdown is how many times longer calls take than configured, loses which answers never arrive,
	// and works is set if calls are handled although their caller has left.
	slowdown int
	loses    func(call int) bool
	works    bool
	calls    int
	freeAt   time.Time
	waiting  []time.Time
	pending  []pendingAnswer
}

type pendingAnswer struct {
	at     time.Time
	answer AdviceAnswered
}

// ask queues a call and determines when its answer, or its timeout, comes.
func (f *adviserFake) ask(t *testing.T, now time.Time, ask AskAdvice) {
	f.calls++
	left := now.Add(ask.Timeout)
	out := AdviceAnswered{Step: ask.Step, Workers: ask.Workers, AskedAt: now, Advice: connector.Advice{ValidFor: burstAdvice.Valid.Std()}}
	for len(f.waiting) > 0 && !f.waiting[0].After(now) {
		f.waiting = f.waiting[1:]
	}
	if len(f.waiting) >= 32 {
		t.Error("the adviser rejects a call since 32 are waiting")
		out.Err = errors.Mark(errNoAnswer, connector.ErrBusy)
		f.pending = append(f.pending, pendingAnswer{now, out})
		return
	}
	begin := later(now, f.freeAt)
	f.waiting = append(f.waiting, begin)
	end := begin.Add(time.Duration(f.slowdown) * callDuration(burstAdvice, len(ask.Workers)))
	answered := !end.After(left) && (f.loses == nil || !f.loses(f.calls))
	switch {
	case f.works || !end.After(left):
		f.freeAt = end
	default:
		f.freeAt = later(begin, left)
	}
	if !answered {
		out.Err = errNoAnswer
		f.pending = append(f.pending, pendingAnswer{left, out})
		return
	}
	for _, w := range ask.Workers {
		out.Advice.Permits = append(out.Advice.Permits, connector.Permit{Worker: w, Ticket: string(w)})
	}
	f.pending = append(f.pending, pendingAnswer{end, out})
}

// due returns the answers that have arrived.
func (f *adviserFake) due(now time.Time) (events []Event) {
	kept := f.pending[:0]
	for _, p := range f.pending {
		if p.at.After(now) {
			kept = append(kept, p)
			continue
		}
		events = append(events, p.answer)
	}
	f.pending = kept
	return events
}

// runsFake holds the runs of a worker, which take a second each.
type runsFake struct {
	startedAt []time.Time
	active    []connector.ActiveRun
	ended     []connector.EndedRun
	lastEnd   identifier.EndNumber
}

func (f *runsFake) start(now time.Time, id connector.RunID) {
	f.startedAt, f.active = append(f.startedAt, now), append(f.active, connector.ActiveRun{Run: id})
}

// list returns the worker's answer to a poll that acknowledges the ends up to a number.
func (f *runsFake) list(now time.Time, forget identifier.EndNumber) connector.HoldAnswer {
	for len(f.active) > 0 && now.Sub(f.startedAt[0]) >= time.Second {
		f.lastEnd++
		f.ended = append(f.ended, connector.EndedRun{Number: f.lastEnd, Run: f.active[0].Run, Reason: connector.EndDone})
		f.startedAt, f.active = f.startedAt[1:], f.active[1:]
	}
	f.ended = slices.DeleteFunc(f.ended, func(e connector.EndedRun) bool { return e.Number <= forget })
	return connector.HoldAnswer{
		OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}, StartedAt: 1,
		Active: slices.Clone(f.active), Ended: slices.Clone(f.ended),
	}
}

// TestBurstsOfAdvisedJobsDrain submits many jobs to an advised queue at once. All of them have to
// begin within the time in which the adviser handles one call on 30 workers for each, and 14 s more,
// in which submissions are to be done after the traffic.
func TestBurstsOfAdvisedJobsDrain(t *testing.T) {
	everyFifth := func(call int) bool { return call%5 == 0 }
	advisers := map[string]adviserFake{
		"as configured":             {slowdown: 1},
		"works on for who left":     {slowdown: 1, works: true},
		"slow and works on":         {slowdown: 4, works: true},
		"slow":                      {slowdown: 4},
		"answers are lost":          {slowdown: 1, loses: everyFifth, works: true},
		"first answers are lost":    {slowdown: 1, loses: func(call int) bool { return call <= 10 }, works: true},
		"slow and answers are lost": {slowdown: 3, loses: everyFifth, works: true},
	}
	for name, f := range advisers {
		for _, jobs := range []int{12, 50, 500} {
			for _, takeover := range []bool{false, true} {
				if jobs == 500 && (f.slowdown > 1 || !takeover) {
					continue
				}
				t.Run(fmt.Sprintf("%s, %d jobs, takeover %t", name, jobs, takeover), func(t *testing.T) {
					t.Parallel()
					playAdviceBurst(t, f, jobs, takeover)
				})
			}
		}
	}
}

func playAdviceBurst(t *testing.T, f adviserFake, jobs int, takeover bool) {
	const workers, step = 30, 100 * time.Millisecond
	var entries []connector.WorkerEntry
	for i := range workers {
		e := workerEntry(identifier.Worker(fmt.Sprintf("w%02d", i)))
		e.Capacity = identifier.Size{Processors: identifier.Millicores(jobs) * 2000, Memory: identifier.Mebibytes(jobs) * 2000}
		entries = append(entries, e)
	}
	b := newTestbed(t, entries...)
	cfg := queueConfig
	cfg.Advised, cfg.Advice, cfg.Allowance = true, burstAdvice, identifier.Duration(time.Second)
	b.dir.Queues[queue] = cfg
	b.update(0)
	for _, e := range entries {
		b.p.setPolling(b.p.workers[e.ID], false)
		b.update(0)
		b.answerPoll(e.ID, connector.HoldAnswer{StartedAt: 1})
	}
	for n := range jobs {
		b.p.Inform(b.now, JobSubmitted{Job: submitter.Job{
			ID: identifier.Job(fmt.Sprintf("%016x", n)), Queue: queue, Steps: []submitter.Step{{Count: 2, Size: smallSize, Estimate: identifier.Duration(time.Second)}},
		}, Queue: cfg})
	}
	bound := time.Duration(f.slowdown*jobs)*callDuration(burstAdvice, workers) + 14*time.Second
	begun, runs := map[identifier.Job]bool{}, map[identifier.Worker]*runsFake{}
	for _, e := range entries {
		runs[e.ID] = &runsFake{}
	}
	for began := b.now; len(begun) < jobs; {
		if b.now.Sub(began) > bound {
			t.Fatalf("%d of %d jobs have begun within %v", len(begun), jobs, bound)
		}
		if takeover && len(begun) >= jobs/2 {
			takeover = false
			b.replaceHolder()
			f.pending = nil
		}
		b.update(step, f.due(b.now.Add(step))...)
		commands := b.commands
		if b.p.Dirty() {
			b.update(0, BatchSaved{b.p.TakeBatch()})
			commands = append(commands, b.commands...)
		}
		for _, c := range commands {
			switch c := c.(type) {
			case AskAdvice:
				f.ask(t, b.now, c)
			case StartRun:
				if c.Order.Ticket == "" {
					t.Fatal("start without a ticket")
				}
				begun[c.Order.Run.Task.Job] = true
				runs[c.To.ID].start(b.now, c.Order.Run)
				b.p.Inform(b.now, StartAnswered{Worker: c.To.ID, Run: c.Order.Run, Epoch: c.Order.Epoch, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK}})
			case PollWorker:
				b.p.Inform(b.now, PollAnswered{Worker: c.To.ID, Order: c.Order, SentAt: b.now, Answer: runs[c.To.ID].list(b.now, c.Order.Forget)})
			}
		}
	}
}
