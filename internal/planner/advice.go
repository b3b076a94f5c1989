package planner

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// maxQuestions bounds the questions in flight that are not overdue. The adviser handles the calls
	// of a host one at a time: a second one only spares it the wait for the next question, which
	// matters where calls take less than slowAdvice.
	maxQuestions = 2
	slowAdvice   = 150 * time.Millisecond
	// maxAdviceCalls bounds all questions in flight. The adviser rejects calls when 32 are waiting,
	// some of which may be of other terms on this host.
	maxAdviceCalls = 8
	// adviceSlack is how long an answer may take in addition to the calls in front of it, and
	// overdueSlack after how long of that it probably never comes.
	adviceSlack  = 2 * time.Second
	overdueSlack = 250 * time.Millisecond
	// callsWaitedFor is how many times the expected duration of the calls in front is waited for.
	callsWaitedFor = 4
	// maxAdvicePatience bounds the factor by which timeouts grow while no answer comes in time.
	maxAdvicePatience = 16
	// maxCallDuration bounds what is expected of one call, whatever the configuration says.
	maxCallDuration = time.Minute
	// unknownCallDuration is expected where the configuration says nothing.
	unknownCallDuration = 100 * time.Millisecond
	// extraWorkers is how many workers more are asked about than are likely to be needed.
	extraWorkers = 2
	// initialPermittedShare is the share of workers that is expected to be permitted before the first
	// answer, and permittedWeight the weight of each answer in its mean.
	initialPermittedShare = 0.5
	permittedWeight       = 0.2
	minPermittedShare     = 0.02
)

// adviceCall is a question to the adviser in flight.
type adviceCall struct {
	duration         time.Duration
	overdueAt, endAt time.Time
	patience         int
}

// adviceCalls keeps the questions in flight to as many as the adviser handles without a queue.
// Questions that wait there would time out in line, and the adviser may go on to handle those whose
// caller has left.
type adviceCalls struct {
	inFlight map[connector.StepID]adviceCall
	// patience is the factor by which timeouts are longer than usual, since answers did not come in
	// time: the adviser may be slower than configured, or still work on calls that were given up.
	patience int
	retryAt  time.Time
	// permitted is the share of workers that the adviser permits, by queue.
	permitted map[identifier.Queue]float64
}

func (c *adviceCalls) contains(id connector.StepID) bool {
	_, ok := c.inFlight[id]
	return ok
}

// mayAdd reports whether a question may be asked now whose call takes d.
func (c *adviceCalls) mayAdd(now time.Time, d time.Duration) bool {
	if now.Before(c.retryAt) || len(c.inFlight) >= maxAdviceCalls {
		return false
	}
	limit := maxQuestions
	if d >= slowAdvice {
		limit = 1
	}
	for _, call := range c.inFlight {
		if now.Before(call.overdueAt) {
			limit--
		}
	}
	return limit > 0
}

// add records a question whose call takes d and returns for how long to wait for its answer.
func (c *adviceCalls) add(now time.Time, id connector.StepID, d time.Duration) time.Duration {
	if c.inFlight == nil {
		c.inFlight = map[connector.StepID]adviceCall{}
	}
	c.patience = max(c.patience, 1)
	ahead := d
	for _, call := range c.inFlight {
		ahead += call.duration
	}
	timeout := (adviceSlack + callsWaitedFor*ahead) * time.Duration(c.patience)
	c.inFlight[id] = adviceCall{d, now.Add(ahead + ahead/2 + overdueSlack), now.Add(timeout), c.patience}
	return timeout
}

// remove records the answer to a question, or its failure.
func (c *adviceCalls) remove(now time.Time, id connector.StepID, err error) {
	call, ok := c.inFlight[id]
	if !ok {
		return
	}
	delete(c.inFlight, id)
	switch {
	case err == nil:
		c.patience = max(c.patience/2, 1)
	case errors.Is(err, connector.ErrRefused):
	case !now.Before(call.endAt):
		// Questions that were asked before the last rise of the timeouts say nothing about it.
		if call.patience == c.patience {
			c.patience = min(2*c.patience, maxAdvicePatience)
		}
	default:
		c.retryAt = now.Add(adviceRetryPause)
	}
}

// permittedShare returns the share of the workers that the adviser is expected to permit.
func (c *adviceCalls) permittedShare(q identifier.Queue) float64 {
	if share, ok := c.permitted[q]; ok {
		return max(share, minPermittedShare)
	}
	return initialPermittedShare
}

// observePermits records how many of the workers asked about were permitted.
func (c *adviceCalls) observePermits(q identifier.Queue, asked, permitted int) {
	if asked == 0 {
		return
	}
	if c.permitted == nil {
		c.permitted = map[identifier.Queue]float64{}
	}
	share := min(fraction(permitted, asked), 1)
	if old, ok := c.permitted[q]; ok {
		share = old + permittedWeight*(share-old)
	}
	c.permitted[q] = share
}

// callDuration returns how long the adviser takes for a call that names some workers.
func callDuration(a connector.AdviceDurations, workers int) time.Duration {
	if a.Decide <= 0 && a.PerWorker <= 0 {
		return unknownCallDuration
	}
	decide, perWorker := max(a.Decide.Std(), 0), max(a.PerWorker.Std(), 0)
	if perWorker > maxCallDuration/maxWorkersNamed {
		return maxCallDuration
	}
	return min(decide, maxCallDuration-perWorker*time.Duration(workers)) + perWorker*time.Duration(workers)
}

// workersToAsk returns how many workers a question covers, for a step with some ready tasks and an
// expected share of permitted workers. As each worker lengthens the call, and other steps wait, it
// covers no more than are likely to be needed; but at least as many as take as long as the fixed part
// of the call, and no more than leave half of the permits' validity for starts.
func workersToAsk(a connector.AdviceDurations, tasks int, permittedShare float64) int {
	perWorker := a.PerWorker.Std()
	n := maxWorkersAsked
	if perWorker > 0 {
		paid := min(int(a.Decide.Std()/perWorker), maxWorkersAsked)
		n = max(int(math.Ceil(float64(tasks)/permittedShare))+extraWorkers, paid)
	} else if tasks > n {
		n = tasks
	}
	n = min(n, maxWorkersNamed)
	if a.Valid <= 0 {
		return n
	}
	for n > 1 && callDuration(a, n) > (a.Valid.Std()-permitMargin)/2 {
		n--
	}
	return n
}
