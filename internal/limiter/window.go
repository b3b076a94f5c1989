package limiter

import (
	"slices"
	"time"
)

const (
	// leastWindow is how many calls may be under way however late answers come, so that
	// better times are noticed.
	leastWindow = 16
	// firstWindow is where a new window begins; it doubles with each round of answers
	// that come in time.
	firstWindow = 64
	// mostWindow bounds the calls that are under way at a time.
	mostWindow = 4096
	// windowGrowth is by how much a window that was cut grows with each answer in time: a
	// part of itself each round, so that a large one regains a cut as fast as a small one.
	windowGrowth = 1. / 16
	// windowCut is what a cut leaves of a window.
	windowCut = 0.5
	// LateAnswer is from when on an answer counts as late: half of the time after which
	// orders to workers count as unanswered.
	LateAnswer = 200 * time.Millisecond
	// carriedFor is for how long a window allows the calls that are answered in each
	// moment, whatever is late: three quarters of the time after which orders count as
	// unanswered.
	carriedFor = LateAnswer * 3 / 2
	// ratePeriod is the time over which answers are counted, and ratePeriods how many
	// counts tell the rate at which calls are carried.
	ratePeriod  = 250 * time.Millisecond
	ratePeriods = 4
	// cutSample is the part of a window that has to be late before it is cut, so that a
	// few bad answers do not.
	cutSample = 0.125
)

// Window bounds how many calls are under way at a time, by how many of the answers come
// in time. It answers bursts of calls beyond what the caller's processor or link
// carries: those that are sent anyway only make each other late, until none is answered
// in time. A window grows while it is used and answers are in time, and is halved when
// most answers are late or missing; answers to calls from before the last cut tell
// nothing new. Since a caller that is held up for a moment makes all answers late however
// few calls it makes, a cut leaves room for as many as were lately carried. The zero value
// is not usable. Its methods are not safe for concurrent use.
type Window struct {
	limit float64
	// threshold is up to where the window grows by each answer; above it grows by a part
	// of itself a round.
	threshold    float64
	used         int
	inTime, late int
	cutAt        time.Time
	rate         rate
}

// NewWindow returns a window with no calls under way.
func NewWindow() *Window { return &Window{limit: firstWindow, threshold: mostWindow} }

// Limit returns how many calls may be under way.
func (w *Window) Limit() int { return int(w.limit) }

// InFlight returns how many calls are under way.
func (w *Window) InFlight() int { return w.used }

// Full reports whether no more calls should begin.
func (w *Window) Full() bool { return w.used >= int(w.limit) }

// Acquire counts a call as under way. It may exceed the window, for calls that only make
// sense together.
func (w *Window) Acquire() { w.used++ }

// Release counts a call out, whatever came of it.
func (w *Window) Release() { w.used-- }

// OnAnswer notes the answer to a call sent at a moment, and reports whether it was late
// and whether the window was cut.
func (w *Window) OnAnswer(now, sent time.Time) (late, cut bool) {
	w.rate.count(now)
	if now.Sub(sent) >= LateAnswer {
		return true, w.OnTimeout(now, sent)
	}
	if sent.Before(w.cutAt) {
		return false, false
	}
	w.inTime++
	if w.used >= int(w.limit)/2 {
		step := 1.0
		if w.limit >= w.threshold {
			step = windowGrowth
		}
		w.limit = min(w.limit+step, mostWindow)
	}
	w.endRound()
	return false, false
}

// OnTimeout notes that a call sent at a moment had no answer in time, and reports whether
// the window was cut.
func (w *Window) OnTimeout(now, sent time.Time) (cut bool) {
	if sent.Before(w.cutAt) {
		return false
	}
	w.late++
	if w.late <= w.inTime || float64(w.late) < cutSample*w.limit {
		w.endRound()
		return false
	}
	w.limit = min(w.limit, max(w.limit*windowCut, w.rate.per(now, carriedFor), leastWindow))
	w.threshold = w.limit
	w.cutAt = now
	w.inTime, w.late = 0, 0
	return true
}

// endRound begins a new round of answers when a window of them has come.
func (w *Window) endRound() {
	if w.inTime+w.late >= int(w.limit) {
		w.inTime, w.late = 0, 0
	}
}

// rate counts answers in the last few periods.
type rate struct {
	counts [ratePeriods]int
	// began is when the first answer came; periods are numbered from there by the steady
	// clock, since the time of day may jump.
	began time.Time
	// latest is the number of the period that answers count for now.
	latest int64
}

func (r *rate) count(now time.Time) {
	r.advance(now)
	r.counts[r.latest%ratePeriods]++
}

// advance forgets periods that are over for long.
func (r *rate) advance(now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	period := int64(now.Sub(r.began) / ratePeriod)
	if period-r.latest >= ratePeriods {
		r.counts = [ratePeriods]int{}
		r.latest = period
	}
	for ; r.latest < period; r.latest++ {
		r.counts[(r.latest+1)%ratePeriods] = 0
	}
}

// per returns how many answers come in a time, by the best of the last periods.
func (r *rate) per(now time.Time, d time.Duration) float64 {
	r.advance(now)
	return float64(slices.Max(r.counts[:])) * float64(d) / float64(ratePeriod)
}
