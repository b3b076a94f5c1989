package planner

import (
	"fmt"
	"slices"
	"strconv"
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

// slowQueue is a queue whose calls take several times longer than those of queue.
const slowQueue identifier.Queue = "slow plans"

var slowAdviceDurations = connector.AdviceDurations{
	Decide: identifier.Duration(500 * time.Millisecond), PerWorker: identifier.Duration(100 * time.Millisecond),
	Valid: identifier.Duration(4 * time.Second),
}

// durationsOf returns the durations of the calls for a job; those of slowQueue have odd numbers.
func durationsOf(id identifier.Job, mixed bool) connector.AdviceDurations {
	if n, _ := strconv.ParseUint(string(id[8:]), 16, 64); mixed && n%2 == 1 {
		return slowAdviceDurations
	}
	return burstAdvice
}

// adviserFake handles one call at a time, in turn, on the test's clock.
type adviserFake struct {
	// slowdown is how many times longer calls take than configured, loses which answers never arrive,
	// and works is set if calls are handled although their caller has left.
	slowdown int
	loses    func(call int) bool
	works    bool
	// mixed is set if every second job belongs to slowQueue.
	mixed bool
	// calls counts the calls, lost those whose answer was lost, and wasted those that were handled for a caller
	// that had left.
	calls, lost, wasted int
	freeAt              time.Time
	// line are the calls that wait, and unanswered those whose answer was lost.
	line, unanswered []*fakeCall
	answers          []fakeAnswer
}

// fakeCall is a call in line; leftAt is when its caller leaves, and left is set once it has noticed that.
type fakeCall struct {
	asker  int
	number int
	answer AdviceAnswered
	leftAt time.Time
	left   bool
}

// fakeAnswer is an answer to the planner with a number.
type fakeAnswer struct {
	asker int
	event AdviceAnswered
}

// ask puts a call in line.
func (f *adviserFake) ask(t *testing.T, asker int, now time.Time, ask AskAdvice) {
	t.Helper()
	f.calls++
	f.advance(now)
	out := AdviceAnswered{Call: ask.Call, Step: ask.Step, Workers: ask.Workers, AskedAt: now, Advice: connector.Advice{ValidFor: durationsOf(ask.Step.Job, f.mixed).Valid.Std()}}
	if len(f.line) > 32 {
		t.Error("the adviser rejects a call since 32 are waiting")
		out.Err = errors.Mark(errNoAnswer, connector.ErrBusy)
		f.answers = append(f.answers, fakeAnswer{asker, out})
		return
	}
	f.line = append(f.line, &fakeCall{asker: asker, number: f.calls, answer: out, leftAt: now.Add(ask.Timeout)})
}

// cancel ends the wait of a planner for an answer.
func (f *adviserFake) cancel(asker int, now time.Time, call AdviceCall) {
	f.advance(now)
	for _, c := range slices.Concat(f.line, f.unanswered) {
		if c.asker == asker && c.answer.Call == call {
			c.leftAt = now
		}
	}
}

// leave ends the wait of a planner for all answers.
func (f *adviserFake) leave(asker int, now time.Time) {
	f.advance(now)
	for _, c := range slices.Concat(f.line, f.unanswered) {
		if c.asker == asker {
			c.leftAt = now
		}
	}
	f.answers = slices.DeleteFunc(f.answers, func(a fakeAnswer) bool { return a.asker == asker })
}

// advance handles the calls whose turn has come.
func (f *adviserFake) advance(now time.Time) {
	for len(f.line) > 0 {
		c := f.line[0]
		begin := later(c.answer.AskedAt, f.freeAt)
		end := begin.Add(time.Duration(f.slowdown) * callDuration(durationsOf(c.answer.Step.Job, f.mixed), len(c.answer.Workers)))
		if !f.works && c.leftAt.Before(end) {
			end = later(begin, c.leftAt)
		}
		if end.After(now) {
			return
		}
		f.line, f.freeAt = f.line[1:], end
		switch {
		case !c.leftAt.After(end):
			f.wasted++
			f.leaveLine(c)
			continue
		case f.loses != nil && f.loses(c.number):
			f.lost++
			f.unanswered = append(f.unanswered, c)
			continue
		default:
			for _, w := range c.answer.Workers {
				c.answer.Advice.Permits = append(c.answer.Advice.Permits, connector.Permit{Worker: w, Ticket: string(w)})
			}
		}
		f.answers = append(f.answers, fakeAnswer{c.asker, c.answer})
	}
}

// leaveLine tells the caller of a call that there is no answer.
func (f *adviserFake) leaveLine(c *fakeCall) {
	if !c.left {
		c.left, c.answer.Err = true, errNoAnswer
		f.answers = append(f.answers, fakeAnswer{c.asker, c.answer})
	}
}

// due returns the answers for a planner that have arrived.
func (f *adviserFake) due(asker int, now time.Time) (events []Event) {
	f.advance(now)
	for _, c := range slices.Concat(f.line, f.unanswered) {
		if !c.leftAt.After(now) {
			f.leaveLine(c)
		}
	}
	f.answers = slices.DeleteFunc(f.answers, func(a fakeAnswer) bool {
		if a.asker == asker {
			events = append(events, a.event)
		}
		return a.asker == asker
	})
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

// TestBurstsOfAdvisedJobsDrain guards against bursts of jobs in which most questions to the adviser time out in its
// line and are asked again behind it, so that the jobs never begin (LOST, review/7). All of them have to begin
// within the time in which the adviser handles one call on 30 workers for each, and 14 s more, in which submissions
// are to be done after the traffic.
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

// playAdviceBurst submits jobs at once and waits until all of them have begun.
func playAdviceBurst(t *testing.T, f adviserFake, jobs int, takeover bool) {
	t.Helper()
	b := newAdviceBed(t, &f, 1, jobs)
	bound := time.Duration(f.slowdown*jobs)*callDuration(burstAdvice, adviceWorkers) + 14*time.Second
	for began := b.now; b.waiting() > 0; {
		if b.now.Sub(began) > bound {
			t.Fatalf("%d of %d jobs have not begun within %v", b.waiting(), jobs, bound)
		}
		if takeover && b.waiting() <= jobs/2 {
			takeover = false
			b.replaceHolder(0)
		}
		b.step(100 * time.Millisecond)
	}
}

// adviceWorkers is the number of workers of an adviceBed.
const adviceWorkers = 30

// adviceBed has planners of one host, each with jobs in advised queues, that share an adviser. Workers have room for
// all tasks, which take a second.
type adviceBed struct {
	t       *testing.T
	adviser *adviserFake
	line    *AdviceLine
	now     time.Time
	cells   []*testbed
	runs    []map[identifier.Worker]*runsFake
	// jobs are the jobs that have not begun.
	jobs map[identifier.Job]struct{}
	// askedAt is when the last question about each job was asked, and longestPause the longest time between two.
	askedAt      map[identifier.Job]time.Time
	longestPause time.Duration
}

func newAdviceBed(t *testing.T, f *adviserFake, cells, jobs int) *adviceBed {
	t.Helper()
	out := &adviceBed{t: t, adviser: f, line: NewAdviceLine(), jobs: map[identifier.Job]struct{}{}, askedAt: map[identifier.Job]time.Time{}}
	for cell := range cells {
		var entries []connector.WorkerEntry
		runs := map[identifier.Worker]*runsFake{}
		for i := range adviceWorkers {
			e := workerEntry(identifier.Worker(fmt.Sprintf("w%d-%02d", cell, i)))
			e.Capacity = identifier.Size{Processors: identifier.Millicores(jobs) * 2000, Memory: identifier.Mebibytes(jobs) * 2000}
			entries = append(entries, e)
			runs[e.ID] = &runsFake{}
		}
		b := newTestbed(t, entries...)
		WithAdviceLine(out.line, func() {})(b.p)
		cfg := queueConfig
		cfg.Advised, cfg.Advice, cfg.Allowance = true, burstAdvice, identifier.Duration(time.Second)
		slow := cfg
		slow.Name, slow.Advice = slowQueue, slowAdviceDurations
		b.dir.Queues[queue], b.dir.Queues[slowQueue] = cfg, slow
		b.update(0)
		for _, e := range entries {
			b.p.setPolling(b.p.workers[e.ID], false)
			b.update(0)
			b.answerPoll(e.ID, connector.HoldAnswer{StartedAt: 1})
		}
		for n := range jobs {
			id := identifier.Job(fmt.Sprintf("%08x%08x", cell, n))
			out.jobs[id] = struct{}{}
			q := cfg
			if durationsOf(id, f.mixed) == slowAdviceDurations {
				q = slow
			}
			b.p.Inform(b.now, JobSubmitted{Job: submitter.Job{
				ID: id, Queue: q.Name, Steps: []submitter.Step{{Count: 2, Size: smallSize, Estimate: identifier.Duration(time.Second)}},
			}, Queue: q})
		}
		out.cells, out.runs, out.now = append(out.cells, b), append(out.runs, runs), b.now
	}
	return out
}

// waiting returns how many jobs have not begun.
func (b *adviceBed) waiting() int { return len(b.jobs) }

// replaceHolder begins another term of a cell on the same host.
func (b *adviceBed) replaceHolder(cell int) {
	b.adviser.leave(cell, b.now)
	b.cells[cell].p.LeaveAdviser()
	b.cells[cell].replaceHolder()
	WithAdviceLine(b.line, func() {})(b.cells[cell].p)
}

// step advances the clock and carries out what the planners ask for.
func (b *adviceBed) step(d time.Duration) {
	b.t.Helper()
	b.now = b.now.Add(d)
	for cell, c := range b.cells {
		c.update(b.now.Sub(c.now), b.adviser.due(cell, b.now)...)
		commands := c.commands
		if c.p.Dirty() {
			c.update(0, BatchSaved{c.p.TakeBatch()})
			commands = append(commands, c.commands...)
		}
		for _, command := range commands {
			b.execute(cell, command)
		}
	}
}

func (b *adviceBed) execute(cell int, command Command) {
	b.t.Helper()
	p, runs := b.cells[cell].p, b.runs[cell]
	switch c := command.(type) {
	case AskAdvice:
		if before, again := b.askedAt[c.Step.Job]; again {
			b.longestPause = max(b.longestPause, b.now.Sub(before))
		}
		b.askedAt[c.Step.Job] = b.now
		b.adviser.ask(b.t, cell, b.now, c)
	case CancelAdvice:
		b.adviser.cancel(cell, b.now, c.Call)
	case StartRun:
		if c.Order.Ticket == "" {
			b.t.Fatal("start without a ticket")
		}
		delete(b.jobs, c.Order.Run.Task.Job)
		runs[c.To.ID].start(b.now, c.Order.Run)
		p.Inform(b.now, StartAnswered{Worker: c.To.ID, Run: c.Order.Run, Epoch: c.Order.Epoch, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK}})
	case PollWorker:
		p.Inform(b.now, PollAnswered{Worker: c.To.ID, Order: c.Order, SentAt: b.now, Answer: runs[c.To.ID].list(b.now, c.Order.Forget)})
	}
}

// TestWaitingInLineIsNoLostAnswer guards against questions that are given up while the adviser is still busy with
// those in front of them: these were asked again at the end of the line, and the adviser worked for callers that
// had left (LOST, review/7). As all workers are permitted, one question for each job is enough.
func TestWaitingInLineIsNoLostAnswer(t *testing.T) {
	const jobs = 12
	for _, slowdown := range []int{1, 2, 5, 10} {
		for _, cells := range []int{1, 2, 6} {
			for _, mixed := range []bool{false, true} {
				t.Run(fmt.Sprintf("slower by %d, %d cells, two queues %t", slowdown, cells, mixed), func(t *testing.T) {
					t.Parallel()
					f := &adviserFake{slowdown: slowdown, works: true, mixed: mixed}
					b := newAdviceBed(t, f, cells, jobs)
					for b.waiting() > 0 && f.calls < 10*cells*jobs {
						b.step(50 * time.Millisecond)
					}
					if f.wasted > 0 || f.calls > cells*jobs {
						t.Errorf("%d questions about %d jobs, %d of them given up in line", f.calls, cells*jobs, f.wasted)
					}
				})
			}
		}
	}
}

// TestLostAnswersAreNoticedByLaterOnes guards against steps that wait for an answer that is lost although calls
// behind theirs were answered: tasks that could run count as neglected after 3 s (LOST).
func TestLostAnswersAreNoticedByLaterOnes(t *testing.T) {
	const bound = 3 * time.Second
	for _, every := range []int{2, 3, 5} {
		for _, works := range []bool{false, true} {
			t.Run(fmt.Sprintf("every %d, works on %t", every, works), func(t *testing.T) {
				t.Parallel()
				f := &adviserFake{slowdown: 1, works: works, loses: func(call int) bool { return call%every == 0 }}
				b := newAdviceBed(t, f, 1, 12)
				for began := b.now; b.waiting() > 0 && b.now.Sub(began) < time.Minute; {
					b.step(50 * time.Millisecond)
				}
				if b.waiting() > 0 {
					t.Errorf("%d jobs have not begun within a minute", b.waiting())
				}
				if f.lost == 0 || b.longestPause > bound {
					t.Errorf("after %d lost answers, jobs are asked about again after up to %v, want at most %v", f.lost, b.longestPause, bound)
				}
			})
		}
	}
}
