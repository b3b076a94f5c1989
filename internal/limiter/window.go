package limiter

import "time"

const (
	// leastWindow is how many calls may be under way however late answers come, so that
	// better times are noticed.
	leastWindow = 16
	// firstWindow is where a new window begins; it doubles with each round of answers
	// that come in time.
	firstWindow = 64
	// mostWindow bounds the calls that are under way at a time.
	mostWindow = 4096
	// windowCut is what a cut leaves of a window.
	windowCut = 0.5
	// cutSample is the part of a window that has to be late before it is cut, so that a
	// few bad answers do not.
	cutSample = 0.125
)

// Window bounds how many calls are under way at a time, by how many of the answers come
// in time. It answers bursts of calls beyond what the caller's processor or link
// carries: those that are sent anyway only make each other late, until none is answered
// in time. A window grows while it is used and answers are in time, and is halved when
// most answers are late or missing; answers to calls from before the last cut tell
// nothing new. The zero value is not usable. Its methods are not safe for concurrent use.
type Window struct {
	limit float64
	// threshold is up to where the window grows by each answer; above it grows by one
	// a round.
	threshold    float64
	used         int
	inTime, late int
	cutAt        time.Time
}

// NewWindow returns a window with no calls under way.
func NewWindow() *Window { return &Window{limit: firstWindow, threshold: mostWindow} }

// Limit returns how many calls may be under way.
func (w *Window) Limit() int { return int(w.limit) }

// Used returns how many calls are under way.
func (w *Window) Used() int { return w.used }

// Full reports whether no more calls should begin.
func (w *Window) Full() bool { return w.used >= int(w.limit) }

// Enter counts a call as under way. It may exceed the window, for calls that only make
// sense together.
func (w *Window) Enter() { w.used++ }

// Leave counts a call out, whatever came of it.
func (w *Window) Leave() { w.used-- }

// InTime notes an answer that came in time to a call sent at a moment.
func (w *Window) InTime(sent time.Time) {
	if sent.Before(w.cutAt) {
		return
	}
	w.inTime++
	if w.used >= int(w.limit)/2 {
		step := 1.0
		if w.limit >= w.threshold {
			step /= w.limit
		}
		w.limit = min(w.limit+step, mostWindow)
	}
	w.endRound()
}

// Late notes a late or missing answer to a call sent at a moment, and reports whether
// the window was cut.
func (w *Window) Late(now, sent time.Time) (cut bool) {
	if sent.Before(w.cutAt) {
		return false
	}
	w.late++
	if w.late <= w.inTime || float64(w.late) < cutSample*w.limit {
		w.endRound()
		return false
	}
	w.limit = max(w.limit*windowCut, leastWindow)
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
