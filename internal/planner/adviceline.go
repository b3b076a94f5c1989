package planner

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// maxQuestions bounds the questions that are waited for at a time. The adviser handles the calls of a
	// host one at a time: a second one only spares it the wait for the next question, which matters where
	// calls take less than slowAdvice.
	maxQuestions = 2
	slowAdvice   = 150 * time.Millisecond
	// maxAdviceCalls bounds the questions whose answers are not late, and separately those whose answers
	// are. The adviser rejects calls when 32 are waiting.
	maxAdviceCalls = 8
	// adviceSlack is how long an answer may take in addition to the calls in front of it, and overdueSlack
	// after how long of that the next question is asked beside it.
	adviceSlack  = 2 * time.Second
	overdueSlack = 250 * time.Millisecond
	// callsWaitedFor is how many times the expected duration of the calls in front is waited for, and
	// callsExpected how many times of it the next question waits.
	callsWaitedFor = 4
	callsExpected  = 1.5
	// maxAdvicePatience bounds the factor by which an answer is waited for longer while none comes in time.
	maxAdvicePatience = 16
	// maxSlowness bounds how many times longer than configured calls are expected to take, and answerDelay is
	// what an answer may take to arrive without that the adviser counts as slower.
	maxSlowness = 1000
	answerDelay = 50 * time.Millisecond
	// maxAdviceWait bounds how long an answer may take that would still be of use.
	maxAdviceWait = 2 * time.Minute
	// initialPermittedShare is the share of workers that is expected to be permitted before the first
	// answer, and permittedWeight the weight of each answer in its mean.
	initialPermittedShare = 0.5
	permittedWeight       = 0.2
	minPermittedShare     = 0.02
)

// AdviceCall numbers the questions to the adviser.
type AdviceCall uint64

// adviceAsker identifies a planner to the line that it shares with others of its host.
type adviceAsker int

// adviceCallState is what is known of a question without an answer.
type adviceCallState int

const (
	// adviceAwaited is a question whose answer is waited for.
	adviceAwaited adviceCallState = iota
	// adviceLate is a question whose answer should have come. It is asked again, but an answer still counts.
	adviceLate
	// adviceLeft is a question whose answer cannot come any more, but which the adviser may still handle.
	adviceLeft
)

// adviceCall is a question to the adviser.
type adviceCall struct {
	number AdviceCall
	asker  adviceAsker
	step   connector.StepID
	state  adviceCallState
	sentAt time.Time
	// duration is how long the adviser takes for the call by the configuration.
	duration time.Duration
	// patience is that of the line when the question was asked.
	patience int
	// lostAt is when the answer counts as lost, since a later call was answered; zero before that.
	lostAt time.Time
}

// AdviceLine holds the questions that the adviser may still have to handle, in the order in which they were
// asked. The planners of a host share it, since the adviser handles all calls of a host in turn. An answer
// shows that the questions in front of it are over, and how long calls really take. A time limit of each
// question alone would end those that wait for others: they would be asked again behind them, while the adviser
// may go on to handle calls whose caller has left. It is safe for concurrent use.
type AdviceLine struct {
	mu     sync.Mutex
	calls  []adviceCall
	last   AdviceCall
	askers []adviceTurn
	// slowness is how many times longer calls take than configured, at least one. It is the lower one of the
	// last two answers, of which lastRatio is the last, or zero before the first: one may have been delayed
	// for another reason. answeredAt is when the last answer came.
	slowness, lastRatio float64
	answeredAt          time.Time
	// patience is the factor by which answers are waited for longer since none came in time.
	patience int
	retryAt  time.Time
	// permitted is the share of workers that the adviser permits, by queue.
	permitted map[identifier.Queue]float64
}

// adviceTurn is the part of one planner in the turns of the planners.
type adviceTurn struct {
	// wake makes the planner run; nil once it has left.
	wake func()
	// wants is set while it has a question to ask, and askedAt is when it asked the last one.
	wants   bool
	askedAt time.Time
}

// NewAdviceLine returns an empty line.
func NewAdviceLine() *AdviceLine {
	return &AdviceLine{slowness: 1, patience: 1, permitted: map[identifier.Queue]float64{}}
}

// join adds a planner; wake makes it run once it may ask. Wake must neither block nor call the line.
func (l *AdviceLine) join(wake func()) adviceAsker {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.askers, func(a adviceTurn) bool { return a.wake == nil })
	if i < 0 {
		i = len(l.askers)
		l.askers = append(l.askers, adviceTurn{})
	}
	l.askers[i] = adviceTurn{wake: wake}
	return adviceAsker(i)
}

// leave removes a planner, which waits for no answers any more.
func (l *AdviceLine) leave(asker adviceAsker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.askers[asker] = adviceTurn{}
	for i := range l.calls {
		if l.calls[i].asker == asker {
			l.calls[i].state = adviceLeft
		}
	}
}

// shared reports whether several planners use the line.
func (l *AdviceLine) shared() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.askers {
		if a.wake != nil {
			n++
		}
	}
	return n > 1
}

// awaits reports whether the answer to a question about a step is waited for.
func (l *AdviceLine) awaits(id connector.StepID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.calls, func(c adviceCall) bool { return c.step == id && c.state == adviceAwaited })
}

// scaled returns how long the adviser is expected to take for what takes d by the configuration.
func (l *AdviceLine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * l.slowness)
}

// upTo returns how long the adviser takes by the configuration for call number i and those in front of it that
// it may still have to handle, and since when it has been busy with these at most.
func (l *AdviceLine) upTo(i int) (d time.Duration, since time.Time) {
	for _, c := range l.calls[:i] {
		if c.lostAt.IsZero() {
			d += c.duration
		}
	}
	return d + l.calls[i].duration, later(l.calls[i].sentAt, l.answeredAt)
}

// due returns when the answer to call number i is expected if the calls up to it take a number of times as long
// as they should.
func (l *AdviceLine) due(i int, times float64) time.Time {
	d, since := l.upTo(i)
	return since.Add(time.Duration(times * float64(l.scaled(d))))
}

// count returns how many questions are in a state.
func (l *AdviceLine) count(state adviceCallState) int {
	n := 0
	for _, c := range l.calls {
		if c.state == state {
			n++
		}
	}
	return n
}

// hasRoom reports whether a question may be asked now whose call takes d by the configuration.
func (l *AdviceLine) hasRoom(now time.Time, d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.retryAt) || l.count(adviceAwaited) >= maxAdviceCalls {
		return false
	}
	limit := maxQuestions
	if l.scaled(d) >= slowAdvice {
		limit = 1
	}
	for i, c := range l.calls {
		if c.state == adviceAwaited && c.lostAt.IsZero() && now.Before(l.due(i, callsExpected).Add(overdueSlack)) {
			limit--
		}
	}
	return limit > 0
}

// takeTurn records that a planner has a question, and reports whether it may ask: if there is room, and no
// other planner that has a question has asked its last one earlier. Such a planner is woken.
func (l *AdviceLine) takeTurn(asker adviceAsker, hasRoom bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := &l.askers[asker]
	own.wants = true
	if !hasRoom {
		return false
	}
	for _, a := range l.askers {
		if a.wants && a.askedAt.Before(own.askedAt) {
			a.wake()
			return false
		}
	}
	return true
}

// withdraw records that a planner has no question to ask.
func (l *AdviceLine) withdraw(asker adviceAsker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.askers[asker].wants = false
}

// add records a question whose call takes d by the configuration, and returns its number.
func (l *AdviceLine) add(now time.Time, asker adviceAsker, id connector.StepID, d time.Duration) AdviceCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	l.askers[asker].wants, l.askers[asker].askedAt = false, now
	l.calls = append(l.calls, adviceCall{number: l.last, asker: asker, step: id, sentAt: now, duration: d, patience: l.patience})
	return l.last
}

// answered records the answer to a question, or its failure. It returns false for a question that was given
// up before.
func (l *AdviceLine) answered(now time.Time, number AdviceCall, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.calls, func(c adviceCall) bool { return c.number == number })
	if i < 0 || l.calls[i].state == adviceLeft {
		return false
	}
	switch {
	case err == nil:
		l.advance(now, i)
	case errors.Is(err, connector.ErrRefused):
		l.calls = slices.Delete(l.calls, i, i+1)
	case errors.Is(err, connector.ErrUnknown):
		l.calls[i].state = adviceLeft
		l.retryAt = now.Add(adviceRetryPause)
	default:
		l.calls = slices.Delete(l.calls, i, i+1)
		l.retryAt = now.Add(adviceRetryPause)
	}
	for _, a := range l.askers {
		if a.wants {
			a.wake()
		}
	}
	return true
}

// advance records the answer to call number i. The adviser is done with those in front of it, so that their
// answers are on their way, or lost. A call that was sent at about the same time may also have come behind it.
func (l *AdviceLine) advance(now time.Time, i int) {
	handled, since := l.upTo(i)
	ratio := min(max(float64(now.Sub(since)-answerDelay)/float64(max(handled, time.Millisecond)), 1), maxSlowness)
	if l.lastRatio == 0 {
		l.lastRatio = ratio
	}
	l.slowness, l.lastRatio = min(ratio, l.lastRatio), ratio
	l.answeredAt, l.patience = now, 1
	inLine := time.Duration(0)
	for _, c := range l.calls {
		inLine += c.duration
	}
	lostAt := now.Add(time.Duration(callsExpected*float64(l.scaled(inLine))) + overdueSlack)
	for k := range l.calls[:i] {
		if l.calls[k].lostAt.IsZero() {
			l.calls[k].lostAt = lostAt
		}
	}
	l.calls = slices.Delete(l.calls, i, i+1)
	l.forgetLeft(now)
}

// review returns the questions of a planner that it does not wait for any more, since their answers are lost or
// useless, and those that are late, so that their steps may be asked about again.
func (l *AdviceLine) review(now time.Time, asker adviceAsker, useless func(connector.StepID) bool) (ended, late []adviceCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.calls {
		c := &l.calls[i]
		switch {
		case c.asker != asker || c.state == adviceLeft:
		case useless(c.step), !c.lostAt.IsZero() && !now.Before(c.lostAt), now.Sub(c.sentAt) >= maxAdviceWait, c.state == adviceLate && l.count(adviceLate) > maxAdviceCalls:
			ended = append(ended, *c)
			c.state = adviceLeft
		case c.state == adviceAwaited && c.lostAt.IsZero() && l.isLate(now, i):
			late = append(late, *c)
			c.state = adviceLate
			// Questions that were asked before the last rise of the patience say nothing about it.
			if c.patience == l.patience {
				l.patience = min(2*l.patience, maxAdvicePatience)
			}
		}
	}
	l.forgetLeft(now)
	return ended, late
}

// isLate reports whether the answer to call number i should have come, although none behind it has.
func (l *AdviceLine) isLate(now time.Time, i int) bool {
	patience := time.Duration(l.calls[i].patience)
	return !now.Before(l.due(i, float64(patience*callsWaitedFor)).Add(patience * adviceSlack))
}

// forgetLeft removes the questions that were left and are not in line any more, and the oldest of too many.
func (l *AdviceLine) forgetLeft(now time.Time) {
	excess := l.count(adviceLeft) - maxAdviceCalls
	l.calls = slices.DeleteFunc(l.calls, func(c adviceCall) bool {
		if c.state != adviceLeft {
			return false
		}
		excess--
		return excess >= 0 || !c.lostAt.IsZero() || now.Sub(c.sentAt) >= maxAdviceWait
	})
}

// permittedShare returns the share of the workers that the adviser is expected to permit.
func (l *AdviceLine) permittedShare(q identifier.Queue) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share, ok := l.permitted[q]; ok {
		return max(share, minPermittedShare)
	}
	return initialPermittedShare
}

// observePermits records how many of the workers asked about were permitted.
func (l *AdviceLine) observePermits(q identifier.Queue, asked, permitted int) {
	if asked == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share := min(fraction(permitted, asked), 1)
	if old, ok := l.permitted[q]; ok {
		share = old + permittedWeight*(share-old)
	}
	l.permitted[q] = share
}

// slownessNow returns how many times longer than configured the adviser takes, at least one.
func (l *AdviceLine) slownessNow() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slowness
}
