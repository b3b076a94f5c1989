package limiter

import (
	"slices"
	"time"
)

const (
	// minWindow is the lower bound of the window: some calls must stay in flight to detect that
	// answers come in time again.
	minWindow = 16
	// initialWindow is the limit of a new window. It doubles with each round of answers in time
	// (slow start).
	initialWindow = 64
	// maxWindow is the upper bound of the window.
	maxWindow = 4096
	// growthPerAnswer is by how much a window at or above its slow-start threshold grows with
	// each answer in time. A round of answers thus enlarges the window by a sixteenth, so that a
	// large window recovers from a decrease in as many rounds as a small one.
	growthPerAnswer = 1. / 16
	// decreaseFactor multiplies the window when it is decreased.
	decreaseFactor = 0.5
	// LateThreshold is the response time from which an answer counts as late: half of the
	// timeout of orders to workers.
	LateThreshold = 200 * time.Millisecond
	// throughputHorizon bounds a decrease: the window stays as large as the number of calls that
	// are answered in this time at the measured throughput. It is three quarters of the timeout
	// of orders to workers.
	throughputHorizon = LateThreshold * 3 / 2
	// bucketWidth is the time over which one bucket counts answers. The throughput is measured
	// over the last numBuckets of them.
	bucketWidth = 250 * time.Millisecond
	numBuckets  = 4
	// minLateShare is the fraction of a window that must be late or unanswered before the window
	// is decreased, so that a few slow workers do not decrease it.
	minLateShare = 0.125
)

// Window is a congestion window: it limits the calls in flight so that their answers come in
// time. Without it, a burst of calls beyond the capacity of the caller's processor or link
// would delay all of them, until none is answered before its timeout.
//
// The window grows while at least half of it is used and answers are in time, and is halved
// when most answers are late or missing. Answers to calls sent before the last decrease are
// ignored, since they report the same congestion. A pause of the caller itself makes all answers
// late however few calls it makes, so that a decrease goes no lower than the recent throughput
// requires. Use NewWindow; the zero value is not usable. Its methods are not safe for concurrent
// use.
type Window struct {
	// limit is fractional because from slowStartThreshold on it grows by a fraction of a call with
	// each answer.
	limit float64
	// slowStartThreshold is the limit below which the window grows by one with each answer;
	// from there on it grows by growthPerAnswer.
	slowStartThreshold float64
	inFlight           int
	// inTime and late count the answers of the current round, which ends after as many answers as
	// the limit; late includes missing ones.
	inTime, late int
	decreasedAt  time.Time
	throughput   throughput
}

// NewWindow returns a window with no calls in flight.
func NewWindow() *Window { return &Window{limit: initialWindow, slowStartThreshold: maxWindow} }

// Limit returns the maximum number of calls in flight.
func (w *Window) Limit() int { return int(w.limit) }

// InFlight returns the number of calls in flight.
func (w *Window) InFlight() int { return w.inFlight }

// Full reports whether the limit is reached, so that no further call should be sent.
func (w *Window) Full() bool { return w.inFlight >= int(w.limit) }

// Acquire counts a call as in flight. It does not enforce the limit, since calls that only make
// sense together may exceed it; callers check Full.
func (w *Window) Acquire() { w.inFlight++ }

// Release ends a call that Acquire has counted, whatever its outcome.
func (w *Window) Release() { w.inFlight-- }

// OnAnswer adapts the window to the answer to a call sent at the given time. It reports whether
// the answer was late and whether the window was decreased.
func (w *Window) OnAnswer(now, sent time.Time) (late, decreased bool) {
	w.throughput.count(now)
	if now.Sub(sent) >= LateThreshold {
		return true, w.OnTimeout(now, sent)
	}
	if sent.Before(w.decreasedAt) {
		return false, false
	}
	w.inTime++
	if w.inFlight >= int(w.limit)/2 {
		step := 1.0
		if w.limit >= w.slowStartThreshold {
			step = growthPerAnswer
		}
		w.limit = min(w.limit+step, maxWindow)
	}
	w.endRound()
	return false, false
}

// OnTimeout adapts the window to a call sent at the given time that was not answered in time. It
// reports whether the window was decreased.
func (w *Window) OnTimeout(now, sent time.Time) (decreased bool) {
	if sent.Before(w.decreasedAt) {
		return false
	}
	w.late++
	if w.late <= w.inTime || float64(w.late) < minLateShare*w.limit {
		w.endRound()
		return false
	}
	w.limit = min(w.limit, max(w.limit*decreaseFactor, w.throughput.answersIn(now, throughputHorizon), minWindow))
	w.slowStartThreshold = w.limit
	w.decreasedAt = now
	w.inTime, w.late = 0, 0
	return true
}

// endRound resets the counts of answers once there are as many as the window allows.
func (w *Window) endRound() {
	if w.inTime+w.late >= int(w.limit) {
		w.inTime, w.late = 0, 0
	}
}

// throughput counts answers in a ring of time buckets.
type throughput struct {
	counts [numBuckets]int
	// startedAt is the time of the first answer. Buckets are numbered from there by the
	// monotonic clock, since the wall clock may jump.
	startedAt time.Time
	// current is the number of the bucket that counts answers now.
	current int64
}

// count counts an answer that arrives now.
func (t *throughput) count(now time.Time) {
	t.rotate(now)
	t.counts[t.current%numBuckets]++
}

// rotate makes the bucket of the given time the current one, and clears those in between.
func (t *throughput) rotate(now time.Time) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	bucket := int64(now.Sub(t.startedAt) / bucketWidth)
	if bucket-t.current >= numBuckets {
		t.counts = [numBuckets]int{}
		t.current = bucket
	}
	for ; t.current < bucket; t.current++ {
		t.counts[(t.current+1)%numBuckets] = 0
	}
}

// answersIn returns the number of answers to expect in a duration, by the fullest bucket.
func (t *throughput) answersIn(now time.Time, d time.Duration) float64 {
	t.rotate(now)
	return float64(slices.Max(t.counts[:])) * float64(d) / float64(bucketWidth)
}
