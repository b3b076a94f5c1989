// Package admitter decides which part of the new jobs of each queue a holder can still
// serve in time, and tells the hosts that accept jobs. It does no I/O, and time is what
// the caller says it is.
//
// A queue is under pressure when working off what its accepted jobs still need takes most
// of the time that they have. The part that is accepted then falls with the pressure, so
// that it settles where as much is accepted as is served, and rises as the backlog falls.
// Less urgent queues give way first.
package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// Period is the time between two observations, that of a host's beats, which carry
	// the outcome.
	Period = 400 * time.Millisecond

	// closePressure is the part of the time of its jobs from which on a queue is refused
	// in part, openPressure that below which it is accepted in full again. The gap keeps
	// a queue from flapping.
	closePressure = 0.75
	openPressure  = 0.5
	// steadyPressure is that at which as much is accepted as is served.
	steadyPressure = (closePressure + openPressure) / 2
	// maxPressure bounds what a queue without any progress counts as.
	maxPressure = 2.0
	// leastShare is accepted under any pressure, so that the holder learns of better times.
	leastShare Share = 0.05
	// riseFactor and riseStep bound the share by the one before: a queue opens from the
	// least to everything in 3 s.
	riseFactor       = 1.4
	riseStep   Share = 0.02
	// leastJobs is how many jobs have to wait before the first is refused: fewer may wait
	// for room of a rare kind, which says little about the next.
	leastJobs = 8
	// leastSpell is for how long they have to wait without a break.
	leastSpell = 2 * Period
	// rateTime is the time constant of the rates at which tasks come and begin.
	rateTime = 2 * time.Second
	// settleTime is how long less urgent queues have to be refused until a more urgent one
	// may be.
	settleTime = time.Second
	// answersPerStep is how many answers of workers a step of a job waits for: to its starts
	// and to the looks that bring its ends.
	answersPerStep = 2
	// maxGap is the time between two observations from which on the holder itself did not
	// run, which says nothing of what it can do.
	maxGap = 3 * Period
	// leastRetryAfter is the shortest time after which a caller is asked back, as the
	// header counts whole seconds.
	leastRetryAfter = time.Second
)

// Share is a part of the new jobs of a queue, from 0 to 1.
type Share float64

// Observation is how a queue fares at a moment. It leaves out jobs that last or are
// repeated, which have no objective, and jobs that are late, which others pass.
type Observation struct {
	Queue    identifier.Queue
	Service  identifier.Service
	Priority int
	// Scavenges is set for a queue whose tasks take only room that others leave.
	Scavenges bool
	// Waiting counts the jobs with tasks that wait for room or for the holder, Owed the
	// tasks of all accepted jobs that have not begun.
	Waiting, Owed int
	// Accepted counts the tasks that were accepted since the term began, Begun those that
	// have begun.
	Accepted, Begun int
	// Time is how long after its submission the last step of a job has to begin, Slack how
	// much longer than its chain of work a job may take, and Steps the length of that
	// chain; all in the mean.
	Time, Slack time.Duration
	Steps       float64
}

// Load is what a holder has to do at a moment.
type Load struct {
	Queues []Observation
	// Delay is how long orders lately took to be answered, zero if that is not known.
	Delay time.Duration
	// HolderBinds is set if the holder, not room, bounds how many tasks begin.
	HolderBinds bool
	// Stalled is set while nothing may begin whatever is accepted.
	Stalled bool
}

// Change is a new share of a queue, and what it follows from.
type Change struct {
	Observation
	Before, Share Share
	Pressure      float64
	// Rate is how many tasks began a second, Offered how many came, the refused included.
	Rate, Offered float64
	Delay         time.Duration
	RetryAfter    time.Duration
}

// Admitter decides how much is accepted. The zero value accepts everything. Its methods
// are not safe for concurrent use.
type Admitter struct {
	last   time.Time
	queues map[identifier.Queue]*queue
	// leastDelay is the shortest that orders took in a period: what the way costs.
	leastDelay time.Duration
	// holderBinds is what the last observation said.
	holderBinds bool
}

// queue is what is remembered of one.
type queue struct {
	Observation
	// waitsSince is since when jobs have waited without a break; zero if none do.
	waitsSince time.Time
	// begun and busy are the tasks that began while jobs waited, and that time; both fade.
	begun, busy float64
	// accepted are the tasks that came, and open the time by the share that was accepted;
	// both fade.
	accepted, open float64
	drain, late    float64
	pressure       float64
	// idle is set while the queue has no jobs at all, pressed if the last observation
	// called for a refusal, and refused while the share is below one.
	idle, pressed, refused bool
	share                  Share
	// leastSince is since when the share has been the least.
	leastSince time.Time
}

// Update takes a holder's load into account, and returns what changed.
func (a *Admitter) Update(now time.Time, l Load) []Change {
	elapsed := time.Duration(0)
	if !a.last.IsZero() {
		elapsed = now.Sub(a.last)
	}
	a.last = now
	if l.Stalled || elapsed > maxGap {
		return nil
	}
	active := a.observe(now, elapsed, l)
	excess := a.excess(l.Delay)
	for _, q := range active {
		q.drain = q.drainPressure(now, l.Delay)
		q.late = q.latePressure(excess)
	}
	holderBinds := l.HolderBinds && a.holderBinds
	a.holderBinds = l.HolderBinds
	var out []Change
	for i, q := range slices.Backward(active) {
		before := q.share
		q.settle(now, pressureOn(now, active, i, holderBinds))
		if q.share != before {
			out = append(out, Change{
				Observation: q.Observation, Before: before, Share: q.share, Pressure: q.pressure,
				Rate: q.rate(), Offered: q.offered(), Delay: l.Delay, RetryAfter: q.retryAfter(),
			})
		}
	}
	return out
}

// excess returns how much longer than at best orders take.
func (a *Admitter) excess(delay time.Duration) time.Duration {
	if delay <= 0 {
		return 0
	}
	if a.leastDelay == 0 || delay < a.leastDelay {
		a.leastDelay = delay
	}
	return delay - a.leastDelay
}

// observe returns the queues that are known, the most urgent first.
func (a *Admitter) observe(now time.Time, elapsed time.Duration, l Load) []*queue {
	if a.queues == nil {
		a.queues = map[identifier.Queue]*queue{}
	}
	seen := map[identifier.Queue]bool{}
	for _, o := range l.Queues {
		seen[o.Queue] = true
		q := a.queues[o.Queue]
		if q == nil {
			q = &queue{Observation: o, share: 1}
			a.queues[o.Queue] = q
		}
		q.observe(now, elapsed, o)
	}
	active := make([]*queue, 0, len(a.queues))
	for name, q := range a.queues {
		if !seen[name] {
			if !q.refused {
				delete(a.queues, name)
				continue
			}
			o := q.Observation
			o.Waiting, o.Owed = 0, 0
			q.observe(now, elapsed, o)
		}
		q.idle = !seen[name]
		active = append(active, q)
	}
	slices.SortFunc(active, func(a, b *queue) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Slack, b.Slack), cmp.Compare(a.Queue, b.Queue))
	})
	return active
}

// observe takes a newer observation of the queue.
func (q *queue) observe(now time.Time, elapsed time.Duration, o Observation) {
	begun, accepted := max(o.Begun-q.Begun, 0), max(o.Accepted-q.Accepted, 0)
	keep := math.Exp(-elapsed.Seconds() / rateTime.Seconds())
	q.accepted = q.accepted*keep + float64(accepted)
	q.open = q.open*keep + elapsed.Seconds()*float64(q.share)
	waited := q.Waiting > 0 && o.Waiting > 0
	q.Observation = o
	switch {
	case o.Waiting == 0:
		q.waitsSince = time.Time{}
	case q.waitsSince.IsZero():
		q.waitsSince = now
	}
	if waited {
		q.begun = q.begun*keep + float64(begun)
		q.busy = q.busy*keep + elapsed.Seconds()
	}
}

// rate returns how many tasks a second began while jobs waited.
func (q *queue) rate() float64 {
	if q.busy == 0 {
		return 0
	}
	return q.begun / q.busy
}

// offered returns how many tasks a second come, the refused included.
func (q *queue) offered() float64 {
	if q.open == 0 {
		return 0
	}
	return q.accepted / q.open
}

// latePressure returns by how much the holder's delays make a job longer, as a part of how
// much longer it may be.
func (q *queue) latePressure(excess time.Duration) float64 {
	if q.Slack <= 0 {
		return 0
	}
	return min(q.Steps*answersPerStep*float64(excess)/float64(q.Slack), maxPressure)
}

// drainPressure returns how long what is owed takes at the present rate, with the holder's
// delays, as a part of the time that there is for it.
func (q *queue) drainPressure(now time.Time, delay time.Duration) float64 {
	few := q.Waiting < leastJobs || now.Sub(q.waitsSince) < leastSpell
	if q.Waiting == 0 || q.Time <= 0 || few && !q.refused {
		return 0
	}
	rate := q.rate()
	if rate == 0 {
		return maxPressure
	}
	drain := float64(q.Owed)/rate + q.Steps*answersPerStep*delay.Seconds()
	return min(drain/q.Time.Seconds(), maxPressure)
}

// pressureOn returns the pressure to which a queue, one of those in the order of urgency,
// gives way.
func pressureOn(now time.Time, active []*queue, i int, holderBinds bool) float64 {
	q := active[i]
	drain, late := q.drain, q.late
	for _, less := range active[i+1:] {
		if less.gaveWay(now) {
			continue
		}
		late = 0
		if less.yieldsTo(q, holderBinds) {
			drain = 0
		}
	}
	pressure := max(drain, late)
	for _, more := range active[:i] {
		pressure = max(pressure, more.late)
		if q.yieldsTo(more, holderBinds) {
			pressure = max(pressure, more.drain)
		}
	}
	return pressure
}

// yieldsTo reports whether refusing jobs of the queue helps those of a more urgent one:
// where room binds, scavengers take none.
func (q *queue) yieldsTo(more *queue, holderBinds bool) bool {
	return holderBinds || q.Service == more.Service && !q.Scavenges
}

// gaveWay reports whether refusing more of a queue has no use any more.
func (q *queue) gaveWay(now time.Time) bool {
	return q.idle || q.refused && q.share <= leastShare && now.Sub(q.leastSince) >= settleTime
}

// settle moves the share to where the pressure wants it: down at once, up in steps.
func (q *queue) settle(now time.Time, pressure float64) {
	q.pressure = pressure
	pressed := pressure >= closePressure
	if !q.refused && (!pressed || !q.pressed) {
		q.pressed = pressed
		return
	}
	q.pressed = pressed
	share := min(q.target(), q.share*riseFactor+riseStep, 1)
	if share <= leastShare && q.share > leastShare {
		q.leastSince = now
	}
	q.share, q.refused = share, share < 1
}

// target returns the share under the present pressure: at a steady one as much as begins,
// and less or more by what the pressure differs.
func (q *queue) target() Share {
	if q.pressure < openPressure {
		return 1
	}
	share := 1 + steadyPressure - q.pressure
	if offered := q.offered(); offered > q.rate() {
		share *= q.rate() / offered
	}
	return max(Share(share), leastShare)
}

// retryAfter returns after which time the queue is likely to open, if no more comes
// meanwhile.
func (q *queue) retryAfter() time.Duration {
	return max(time.Duration((q.pressure-openPressure)*float64(q.Time)), leastRetryAfter)
}

// Admission returns what is accepted of the queues that are refused in part.
func (a *Admitter) Admission() Admission {
	var out Admission
	for name, q := range a.queues {
		if !q.refused {
			continue
		}
		if out == nil {
			out = Admission{}
		}
		out[name] = Verdict{Share: q.share, RetryAfter: identifier.Duration(q.retryAfter())}
	}
	return out
}
