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

const (
	// orderTransitTime is how long an order occupies the holder's link.
	orderTransitTime = 5 * time.Millisecond
	// orderTimeout is after how long a start without an answer counts as unanswered,
	// lookTime the same for a look beyond its wait.
	orderTimeout = 400 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
	tickTime     = 5 * time.Millisecond
	saveTime     = 20 * time.Millisecond
)

// linkOrder is a command on its way over the link.
type linkOrder struct {
	command Command
	sent    time.Time
	expired bool
}

// linkWorker is a worker at the far end of the link.
type linkWorker struct {
	lease     connector.WorkerClock
	runs      map[connector.RunID]struct{}
	endedRuns map[connector.RunID]struct{}
	// ended are those that were stopped.
	ended []connector.EndedRun
	epoch identifier.Epoch
	// polls are looks that the worker answers later.
	polls []pendingPoll
}

type pendingPoll struct {
	poll PollWorker
	sent time.Time
	due  time.Time
}

// link is a holder's only way to its workers: it carries one order after the other,
// late ones too. It answers the load that is offered to a host too small for it.
type link struct {
	b     *testbed
	began time.Time
	queue []linkOrder
	// undelivered are orders that passed the link and reach nobody.
	undelivered []linkOrder
	workers     map[identifier.Worker]*linkWorker
	freeAt      time.Time
	savedAt     time.Time
	// saveDuration is how long the store takes to store a batch.
	saveDuration time.Duration
	// orderTransit is how long an order occupies the link.
	orderTransit time.Duration
	// answerDelay is how much later than its order was carried out an answer comes.
	answerDelay      time.Duration
	answersInTransit []delayedAnswer
	// unreachable are workers that no order reaches.
	unreachable map[identifier.Worker]bool
	// lapsed counts runs that ended with a lease.
	lapsed      int
	lapsedByJob map[identifier.Job]int
	firstStart  map[identifier.Job]time.Duration
}

func newLink(t *testing.T, workers int) *link {
	var entries []connector.WorkerEntry
	for i := range workers {
		e := workerEntry(identifier.Worker(fmt.Sprintf("w%03d", i)))
		e.Capacity = identifier.Size{Processors: 64_000, Memory: 128_000}
		entries = append(entries, e)
	}
	b := newTestbed(t, entries...)
	l := &link{b: b, began: b.now, workers: map[identifier.Worker]*linkWorker{}, freeAt: b.now, savedAt: b.now, saveDuration: saveTime, orderTransit: orderTransitTime, firstStart: map[identifier.Job]time.Duration{}, lapsedByJob: map[identifier.Job]int{}}
	for _, e := range entries {
		l.workers[e.ID] = &linkWorker{runs: map[connector.RunID]struct{}{}, endedRuns: map[connector.RunID]struct{}{}}
	}
	return l
}

// clock is the time of all workers' clocks.
func (l *link) clock() connector.WorkerClock { return connector.WorkerClock(l.b.now.Sub(l.began)) + 1 }

// run lets time pass.
func (l *link) run(d time.Duration) {
	for end := l.b.now.Add(d); l.b.now.Before(end); {
		var events []Event
		events = append(events, l.returnAnswers(l.deliver())...)
		events = append(events, l.answerPolls()...)
		events = append(events, l.timeOutOrders()...)
		l.expireLeases()
		l.b.update(tickTime, events...)
		l.send()
		if l.b.now.Sub(l.savedAt) >= l.saveDuration && l.b.p.Dirty() {
			l.savedAt = l.b.now
			l.b.save()
			l.send()
		}
	}
}

// delayedAnswer is an answer on its way back.
type delayedAnswer struct {
	event Event
	due   time.Time
}

// returnAnswers returns the answers that have come back, with those of orders carried out now.
func (l *link) returnAnswers(answers []Event) []Event {
	for _, e := range answers {
		l.answersInTransit = append(l.answersInTransit, delayedAnswer{e, l.b.now.Add(l.answerDelay)})
	}
	var events []Event
	for len(l.answersInTransit) > 0 && !l.answersInTransit[0].due.After(l.b.now) {
		events = append(events, l.answersInTransit[0].event)
		l.answersInTransit = l.answersInTransit[1:]
	}
	return events
}

func (l *link) send() {
	for _, c := range l.b.commands {
		l.queue = append(l.queue, linkOrder{command: c, sent: l.b.now})
	}
	l.b.commands = nil
}

// deliver carries out the orders that have passed the link.
func (l *link) deliver() []Event {
	var events []Event
	for len(l.queue) > 0 && !l.freeAt.After(l.b.now) {
		o := l.queue[0]
		l.queue = l.queue[1:]
		l.freeAt = later(l.freeAt, l.b.now.Add(-tickTime)).Add(l.orderTransit)
		events = append(events, l.carryOut(o)...)
	}
	return events
}

func (l *link) carryOut(o linkOrder) []Event {
	if to, ok := targetOf(o.command); ok && l.unreachable[to] {
		if !o.expired {
			l.undelivered = append(l.undelivered, o)
		}
		return nil
	}
	switch c := o.command.(type) {
	case StartRun:
		w := l.workers[c.To.ID]
		answer := connector.OrderAnswer{Verdict: w.startRun(c.Order, l.clock()), Clock: l.clock()}
		if answer.Verdict == connector.VerdictOK {
			if _, known := l.firstStart[c.Order.Run.Task.Job]; !known {
				l.firstStart[c.Order.Run.Task.Job] = l.b.now.Sub(l.began)
			}
		}
		if o.expired {
			return nil
		}
		return []Event{StartAnswered{Worker: c.To.ID, Run: c.Order.Run, Epoch: c.Order.Epoch, Answer: answer}}
	case StopRun:
		w := l.workers[c.To.ID]
		if _, runs := w.runs[c.Run]; runs {
			delete(w.runs, c.Run)
			w.endedRuns[c.Run] = struct{}{}
			w.ended = append(w.ended, connector.EndedRun{Number: identifier.EndNumber(len(w.endedRuns)), Run: c.Run, Reason: connector.EndStopped})
		}
		if o.expired {
			return nil
		}
		return []Event{StopAnswered{Worker: c.To.ID, Run: c.Run, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: l.clock()}}}
	case PollWorker:
		w := l.workers[c.To.ID]
		w.epoch = max(w.epoch, c.Order.Epoch)
		if c.Order.LeaseUntil != nil {
			w.lease = max(w.lease, *c.Order.LeaseUntil)
		}
		if !o.expired {
			w.polls = append(w.polls, pendingPoll{c, o.sent, l.b.now.Add(c.Order.Wait)})
		}
	}
	return nil
}

// startRun carries a start out as a worker does.
func (w *linkWorker) startRun(o connector.RunOrder, now connector.WorkerClock) connector.OrderVerdict {
	if o.Epoch < w.epoch {
		return connector.VerdictFenced
	}
	w.epoch = o.Epoch
	if o.LeaseUntil <= now {
		return connector.VerdictLeaseExpired
	}
	w.lease = max(w.lease, o.LeaseUntil)
	if _, ended := w.endedRuns[o.Run]; ended {
		return connector.VerdictStaleRun
	}
	w.runs[o.Run] = struct{}{}
	return connector.VerdictOK
}

func (l *link) answerPolls() []Event {
	var events []Event
	for id, w := range l.workers {
		w.polls = slices.DeleteFunc(w.polls, func(k pendingPoll) bool {
			if l.b.now.Before(k.due) {
				return false
			}
			if l.unreachable[id] {
				l.undelivered = append(l.undelivered, linkOrder{command: k.poll, sent: k.sent})
				return true
			}
			answer := connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: l.clock()}, StartedAt: 1, Ended: slices.Clone(w.ended)}
			for run := range w.runs {
				answer.Active = append(answer.Active, connector.ActiveRun{Run: run, Percent: 100})
			}
			events = append(events, PollAnswered{Worker: id, Order: k.poll.Order, SentAt: k.sent, Answer: answer})
			return true
		})
	}
	return events
}

// timeOutOrders gives up orders that have waited for too long; the link carries them still.
func (l *link) timeOutOrders() []Event {
	var events []Event
	for i := range len(l.queue) + len(l.undelivered) {
		o := l.orderInFlight(i)
		if o.expired {
			continue
		}
		switch c := o.command.(type) {
		case StartRun:
			if l.b.now.Sub(o.sent) >= orderTimeout {
				o.expired = true
				events = append(events, StartAnswered{Worker: c.To.ID, Run: c.Order.Run, Epoch: c.Order.Epoch, Err: errNoAnswer})
			}
		case StopRun:
			if l.b.now.Sub(o.sent) >= orderTimeout {
				o.expired = true
				events = append(events, StopAnswered{Worker: c.To.ID, Run: c.Run, Err: errNoAnswer})
			}
		case PollWorker:
			if l.b.now.Sub(o.sent) >= c.Order.Wait+pollTimeout {
				o.expired = true
				events = append(events, PollAnswered{Worker: c.To.ID, Order: c.Order, SentAt: o.sent, Err: errNoAnswer})
			}
		}
	}
	return events
}

// orderInFlight returns an order without an answer.
func (l *link) orderInFlight(i int) *linkOrder {
	if i < len(l.queue) {
		return &l.queue[i]
	}
	return &l.undelivered[i-len(l.queue)]
}

// targetOf returns the worker of an order.
func targetOf(c Command) (identifier.Worker, bool) {
	switch c := c.(type) {
	case StartRun:
		return c.To.ID, true
	case StopRun:
		return c.To.ID, true
	case PollWorker:
		return c.To.ID, true
	default:
		return "", false
	}
}

func (l *link) expireLeases() {
	for _, w := range l.workers {
		if len(w.runs) == 0 || w.lease > l.clock() {
			continue
		}
		l.lapsed += len(w.runs)
		for run := range w.runs {
			w.endedRuns[run] = struct{}{}
			l.lapsedByJob[run.Task.Job]++
		}
		clear(w.runs)
	}
}

func (l *link) running() int {
	n := 0
	for _, w := range l.workers {
		n += len(w.runs)
	}
	return n
}

// TestBurstIsServedAtLinkRate checks that more starts at once than the
// holder can send within their timeouts neither let leases lapse nor keep tasks from
// running for longer than twice the time that the link needs.
func TestBurstIsServedAtLinkRate(t *testing.T) {
	const workers, jobs, tasks = 40, 10, 100
	l := newLink(t, workers)
	l.run(time.Second)
	for i := range jobs {
		l.b.submit(identifier.Job(fmt.Sprintf("%016x", i)), submitter.Step{Count: tasks, Size: smallSize, LongRunning: true})
	}
	l.run(2 * jobs * tasks * orderTransitTime)
	if got := l.running(); got != jobs*tasks {
		t.Errorf("%d of %d tasks run after twice the time that the link needs", got, jobs*tasks)
	}
	if l.lapsed > 0 {
		t.Errorf("%d runs lapsed", l.lapsed)
	}
}

// TestUrgentTasksOvertakeBurst checks that an urgent job which comes behind a burst of
// others starts within the target for urgent work.
func TestUrgentTasksOvertakeBurst(t *testing.T) {
	const workers, jobs, tasks = 40, 10, 100
	const urgentTarget = 2100 * time.Millisecond
	l := newLink(t, workers)
	l.run(time.Second)
	patient := queueConfig
	patient.Priority = 2
	for i := range jobs {
		l.b.update(0, JobSubmitted{Job: submitter.Job{ID: identifier.Job(fmt.Sprintf("%016x", i)), Queue: "patient", Steps: []submitter.Step{{Count: tasks, Size: smallSize, LongRunning: true}}}, Queue: patient})
		l.send()
	}
	l.run(100 * time.Millisecond)
	const urgent identifier.Job = "00000000000000aa"
	came := l.b.now.Sub(l.began)
	l.b.submit(urgent, submitter.Step{Count: 1, Size: smallSize, LongRunning: true})
	l.send()
	l.run(10 * time.Second)
	started, ok := l.firstStart[urgent]
	if !ok || started-came > urgentTarget {
		t.Errorf("urgent job started %v after it came (ever: %v), want at most %v", started-came, ok, urgentTarget)
	}
}

// TestUnsentStartFreesItsTask checks that a task is not kept waiting for a
// lease by a start that certainly did not reach its worker, and is by one that may have.
func TestUnsentStartFreesItsTask(t *testing.T) {
	errNotSent := errors.Mark(errors.New("order was too old to be sent"), connector.ErrNotSent)
	tests := map[string]struct {
		errs  []error
		freed bool
	}{
		"never sent":             {[]error{errNotSent}, true},
		"sent, then not sent":    {[]error{errNoAnswer, errNotSent}, false},
		"sent twice, no answers": {[]error{errNoAnswer, errNoAnswer}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"), workerEntry("v"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			s := b.startOne(longRunningStep)
			w := b.p.workers["w"]
			b.p.setPolling(w, true)
			for _, err := range tt.errs {
				b.update(time.Millisecond, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Err: err})
			}
			b.update(time.Second)
			if _, kept := w.runs[s.Order.Run]; kept == tt.freed {
				t.Fatalf("run kept: %v, want %v", kept, !tt.freed)
			}
		})
	}
}

// TestCancelledRunsStopDespiteLateAnswers checks that the runs of a cancelled job are
// stopped within the users' shortest bound while every answer comes late, for reasons that
// have nothing to do with the number of stops.
func TestCancelledRunsStopDespiteLateAnswers(t *testing.T) {
	const workers, tasks, cancelBound = 40, 600, 3 * time.Second
	const id identifier.Job = "00000000000000aa"
	l := newLink(t, workers)
	l.orderTransit = time.Millisecond
	l.run(time.Second)
	l.b.submit(id, submitter.Step{Count: tasks, Size: smallSize, LongRunning: true})
	l.send()
	l.run(10 * time.Second)
	if n := l.running(); n != tasks {
		t.Fatalf("%d of %d tasks run", n, tasks)
	}
	l.answerDelay = 220 * time.Millisecond
	l.run(time.Second)
	l.b.update(0, JobCancelled{ID: id})
	l.send()
	l.run(cancelBound)
	if n := l.running(); n > 0 {
		t.Errorf("%d of %d runs go on %v after their job was cancelled", n, tasks, cancelBound)
	}
	if l.lapsed > 0 {
		t.Errorf("%d runs lapsed", l.lapsed)
	}
}
