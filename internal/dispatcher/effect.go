package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// orderTimeout bounds a call that starts, stops or paces a run. It is many times the usual
	// response time.
	orderTimeout = 400 * time.Millisecond
	// pollSlack is how long a poll of a worker may take in addition to the wait that it requests.
	pollSlack = 500 * time.Millisecond
)

// errTermInvalid is reported for a start that was not sent because this host may no longer act as
// the holder.
var errTermInvalid = errors.New("this host may no longer act as the holder")

// execute begins to carry out a command of the planner; the outcome is reported to the planner as
// an event. For planner.StepDown it returns an error marked ErrSuperseded.
func (t *Term) execute(ctx context.Context, c planner.Command) error {
	switch c := c.(type) {
	case planner.StartRun:
		t.startRun(ctx, c)
	case planner.StopRun:
		t.runInPool(func() { t.stopRun(ctx, c) }, c)
	case planner.PollWorker:
		t.pollWorker(ctx, c)
	case planner.PaceRun:
		t.runInPool(func() { t.paceRun(ctx, c) }, c)
	case planner.AskAdvice:
		t.askAdviser(ctx, c)
	case planner.CancelAdvice:
		t.advice.cancel(c.Call)
	case planner.DeleteSubmissions:
		t.runInPool(func() { t.deleteSubmissions(ctx, c) }, c)
	case planner.RequestRoom:
		t.runInPool(func() { t.askForRoom(ctx, c) }, c)
	case planner.SendGrants:
		t.runInPool(func() { t.sendGrants(ctx, c) }, c)
	case planner.DiscardRecords:
		t.runInPool(func() { t.discardRecords(ctx, c) }, c)
	case planner.StepDown:
		return errors.Mark(errors.Newf("step down: %s", c.Reason), ErrSuperseded)
	}
	return nil
}

// runInPool runs work, which sends the order of a command, in the pool. If the pool is full or the
// work panics, it reports the command as failed, since the planner waits for the answer to each
// command. After a panic the outcome counts as unknown, as if the answer had been lost.
func (t *Term) runInPool(work func(), c planner.Command) {
	guarded := func() {
		defer func() {
			if cause := recover(); cause != nil {
				t.logger.Error("sending an order panicked", zap.Any("cause", cause), zap.Stack("stack"))
				t.notifyFailed(c, errors.Mark(errors.Newf("sending an order panicked: %v", cause), connector.ErrUnknown))
			}
		}()
		work()
	}
	if err := t.pool.Submit(guarded); err != nil {
		t.logger.Error("order not sent: too many orders in flight", logger.Err(err))
		t.notifyFailed(c, errors.Mark(err, connector.ErrNotSent))
	}
}

// notifyFailed reports to the planner that a command failed with err.
func (t *Term) notifyFailed(c planner.Command, err error) {
	switch c := c.(type) {
	case planner.StartRun:
		t.Notify(planner.StartAnswered{Worker: c.To.ID, Run: c.Order.Run, Epoch: c.Order.Epoch, Err: err})
	case planner.StopRun:
		t.Notify(planner.StopAnswered{Worker: c.To.ID, Run: c.Run, Err: err})
	case planner.PollWorker:
		t.Notify(planner.PollAnswered{Worker: c.To.ID, Order: c.Order, SentAt: time.Now(), Err: err})
	case planner.PaceRun:
		t.Notify(planner.PaceAnswered{Worker: c.To.ID, Run: c.Run, Percent: c.Percent, Err: err})
	case planner.AskAdvice:
		t.advice.cancel(c.Call)
		t.Notify(planner.AdviceAnswered{Call: c.Call, Step: c.Step, Workers: c.Workers, Err: err})
	case planner.DeleteSubmissions:
		t.Notify(planner.SubmissionsDeleted{Jobs: c.Jobs, Err: err})
	case planner.DiscardRecords:
		t.Notify(planner.RecordsDiscarded{Records: c.Records, Err: err})
	case planner.SendGrants:
		t.Notify(planner.GrantsSent{Grants: c.Grants, Err: err})
	case planner.CancelAdvice, planner.RequestRoom, planner.StepDown:
	}
}

// askAdviser asks the adviser, until the planner cancels the question.
func (t *Term) askAdviser(ctx context.Context, c planner.AskAdvice) {
	ctx = t.advice.begin(ctx, c)
	t.runInPool(func() {
		defer t.advice.cancel(c.Call)
		askedAt := time.Now()
		advice, err := t.adviser.Advise(ctx, c.Step, c.Workers)
		t.Notify(planner.AdviceAnswered{Call: c.Call, Step: c.Step, Workers: c.Workers, AskedAt: askedAt, Advice: advice, Err: err})
	}, c)
}

// adviceCalls are the calls to the adviser that may be cancelled. The zero value is ready for use. It is safe for
// concurrent use.
type adviceCalls struct {
	mu      sync.Mutex
	cancels map[planner.AdviceCall]context.CancelFunc
}

// begin returns the context of a call.
func (a *adviceCalls) begin(ctx context.Context, c planner.AskAdvice) context.Context {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancels == nil {
		a.cancels = map[planner.AdviceCall]context.CancelFunc{}
	}
	a.cancels[c.Call] = cancel
	return ctx
}

// cancel ends a call, if it has not ended yet.
func (a *adviceCalls) cancel(number planner.AdviceCall) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.cancels[number]; ok {
		cancel()
		delete(a.cancels, number)
	}
}

// noAdviser is the connector.Adviser of a term without a placement adviser; all calls fail.
type noAdviser struct{}

var errNoAdviser = errors.New("there is no placement adviser")

// Advise implements connector.Adviser.
func (noAdviser) Advise(context.Context, connector.StepID, []identifier.Worker) (connector.Advice, error) {
	return connector.Advice{}, errors.Mark(errNoAdviser, connector.ErrNotSent)
}

// startRun orders a worker to start a run, unless this host may no longer act as the holder.
func (t *Term) startRun(ctx context.Context, c planner.StartRun) {
	if !t.mayStart() {
		t.notifyFailed(c, errors.Mark(errTermInvalid, connector.ErrNotSent))
		return
	}
	done := func(answer connector.OrderAnswer, err error) {
		t.Notify(planner.StartAnswered{Worker: c.To.ID, Run: c.Order.Run, Epoch: c.Order.Epoch, Answer: answer, Err: err})
	}
	if b, ok := t.runner.(connector.AsyncRunner); ok && b.StartAsync(ctx, c.To, c.Order, orderTimeout, done) {
		return
	}
	t.runInPool(func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		// Time may have passed until the pool began this.
		if !t.mayStart() {
			t.notifyFailed(c, errors.Mark(errTermInvalid, connector.ErrNotSent))
			return
		}
		done(t.runner.Start(ctx, c.To, c.Order))
	}, c)
}

func (t *Term) stopRun(ctx context.Context, c planner.StopRun) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := t.runner.Stop(ctx, c.To, c.Run, c.Epoch)
	t.Notify(planner.StopAnswered{Worker: c.To.ID, Run: c.Run, Answer: answer, Err: err})
}

// pollWorker polls a worker with a Hold call, which renews the lease of its runs and returns what
// it runs.
func (t *Term) pollWorker(ctx context.Context, c planner.PollWorker) {
	timeout := c.Order.Wait + pollSlack
	if b, ok := t.runner.(connector.AsyncRunner); ok {
		done := t.preparePoll(&c)
		if b.HoldAsync(ctx, c.To, c.Order, timeout, done) {
			return
		}
	}
	t.runInPool(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		done := t.preparePoll(&c)
		done(t.runner.Hold(ctx, c.To, c.Order))
	}, c)
}

// preparePoll removes the lease renewal from a poll that is about to be sent if leases may not be
// renewed now. It returns the function that reports the answer to the planner.
func (t *Term) preparePoll(c *planner.PollWorker) func(connector.HoldAnswer, error) {
	if !t.canRenew() {
		c.Order.LeaseUntil = nil
	}
	sent := time.Now()
	return func(answer connector.HoldAnswer, err error) {
		t.Notify(planner.PollAnswered{Worker: c.To.ID, Order: c.Order, SentAt: sent, Answer: answer, Err: err})
	}
}

// canRenew reports whether leases may be renewed: the store was reached within the renewal grace,
// and no other host may have begun a term since the last append. It logs each change.
func (t *Term) canRenew() bool {
	sinceSeen := t.sinceStoreSeen()
	allowed := sinceSeen <= t.settings.RenewalGrace && !t.unconfirmed()
	if t.renewalWithheld.Swap(!allowed) == allowed {
		t.logger.Warn("renewal of leases changes", zap.Bool("renewed", allowed), zap.Duration("storeUnseenMs", sinceSeen))
	}
	return allowed
}

// mayStart reports whether runs may be started. A start begins a lease, for which a holder whose term has begun
// since waits as long as for renewals. That term began after the last successful append was sent.
func (t *Term) mayStart() bool {
	return t.valid() && (!t.unconfirmed() || t.uptime()-time.Duration(t.confirmedAt.Load()) <= t.settings.RenewalGrace)
}

// unconfirmed reports whether another host may have begun a term since the last successful append.
func (t *Term) unconfirmed() bool { return t.tenure() != t.confirmedTenure.Load() }

func (t *Term) paceRun(ctx context.Context, c planner.PaceRun) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := t.runner.SetPace(ctx, c.To, c.Run, c.Percent, c.Epoch)
	t.Notify(planner.PaceAnswered{Worker: c.To.ID, Run: c.Run, Percent: c.Percent, Answer: answer, Err: err})
}
