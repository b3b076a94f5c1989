package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// orderTimeout bounds an order to a worker, many times the usual answer.
	orderTimeout = 400 * time.Millisecond
	// holdSlack is how long a look may take beyond its wait.
	holdSlack = 500 * time.Millisecond
)

// errNotValid marks an order that was not sent since this host may not act as
// the holder any more.
var errNotValid = errors.New("term is not valid any more")

// carryOut begins what a command asks for; its outcome comes back as an event.
func (t *Term) carryOut(ctx context.Context, c planner.Command) error {
	switch c := c.(type) {
	case planner.StartRun:
		t.beginStart(ctx, c)
	case planner.StopRun:
		t.begin(func() { t.stop(ctx, c) }, c)
	case planner.PollWorker:
		t.beginHold(ctx, c)
	case planner.PaceRun:
		t.begin(func() { t.pace(ctx, c) }, c)
	case planner.AskAdvice:
		t.begin(func() { t.ask(ctx, c) }, c)
	case planner.StepDown:
		return errors.Mark(errors.Newf("step down: %s", c.Reason), ErrSuperseded)
	}
	return nil
}

// begin runs work in the pool. Without room, or if the work panics, the command fails as if
// its answer had been lost: the planner waits for the answer to each.
func (t *Term) begin(work func(), c planner.Command) {
	answered := func() {
		defer func() {
			if cause := recover(); cause != nil {
				t.logger.Error("order panics", zap.Any("cause", cause), zap.Stack("stack"))
				t.fail(c, errors.Mark(errors.Newf("order panics: %v", cause), connector.ErrUnknown))
			}
		}()
		work()
	}
	if err := t.pool.Submit(answered); err != nil {
		t.logger.Error("order not sent, too many are under way", logger.Err(err))
		t.fail(c, errors.Mark(err, connector.ErrNotSent))
	}
}

func (t *Term) fail(c planner.Command, err error) {
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
		t.Notify(planner.AdviceAnswered{Step: c.Step, Workers: c.Workers, Err: err})
	case planner.StepDown:
	}
}

// adviceTimeout bounds a question to an adviser, which takes a call at a time.
const adviceTimeout = 4 * time.Second

func (t *Term) ask(ctx context.Context, c planner.AskAdvice) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	asked := time.Now()
	advice, err := t.adviser.Advise(ctx, c.Step, c.Workers)
	t.Notify(planner.AdviceAnswered{Step: c.Step, Workers: c.Workers, AskedAt: asked, Advice: advice, Err: err})
}

// noAdviser stands for an adviser that does not exist.
type noAdviser struct{}

var errNoAdviser = errors.New("there is no placement adviser")

// Advise implements connector.Adviser.
func (noAdviser) Advise(context.Context, connector.StepID, []identifier.Worker) (connector.Advice, error) {
	return connector.Advice{}, errors.Mark(errNoAdviser, connector.ErrNotSent)
}

// beginStart sends a start unless this host may not act as the holder any more.
func (t *Term) beginStart(ctx context.Context, c planner.StartRun) {
	if !t.valid() {
		t.fail(c, errors.Mark(errNotValid, connector.ErrNotSent))
		return
	}
	done := func(answer connector.OrderAnswer, err error) {
		t.Notify(planner.StartAnswered{Worker: c.To.ID, Run: c.Order.Run, Epoch: c.Order.Epoch, Answer: answer, Err: err})
	}
	if b, ok := t.runner.(connector.AsyncRunner); ok && b.StartAsync(ctx, c.To, c.Order, orderTimeout, done) {
		return
	}
	t.begin(func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if !t.valid() {
			t.fail(c, errors.Mark(errNotValid, connector.ErrNotSent))
			return
		}
		done(t.runner.Start(ctx, c.To, c.Order))
	}, c)
}

func (t *Term) stop(ctx context.Context, c planner.StopRun) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := t.runner.Stop(ctx, c.To, c.Run, c.Epoch)
	t.Notify(planner.StopAnswered{Worker: c.To.ID, Run: c.Run, Answer: answer, Err: err})
}

// beginHold looks at a worker.
func (t *Term) beginHold(ctx context.Context, c planner.PollWorker) {
	timeout := c.Order.Wait + holdSlack
	if b, ok := t.runner.(connector.AsyncRunner); ok {
		done := t.lookAnswered(&c)
		if b.HoldAsync(ctx, c.To, c.Order, timeout, done) {
			return
		}
	}
	t.begin(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		done := t.lookAnswered(&c)
		done(t.runner.Hold(ctx, c.To, c.Order))
	}, c)
}

// lookAnswered begins a look, which renews the lease only if it may, and returns what is
// to be told the answer.
func (t *Term) lookAnswered(c *planner.PollWorker) func(connector.HoldAnswer, error) {
	if !t.mayRenew() {
		c.Order.LeaseUntil = nil
	}
	sent := time.Now()
	return func(answer connector.HoldAnswer, err error) {
		t.Notify(planner.PollAnswered{Worker: c.To.ID, Order: c.Order, SentAt: sent, Answer: answer, Err: err})
	}
}

// mayRenew reports whether the store was reached recently enough for leases to be
// renewed, and logs when that changes.
func (t *Term) mayRenew() bool {
	unseen := t.unseen()
	may := unseen <= t.settings.RenewalGrace && !t.unconfirmed()
	if t.withheld.Swap(!may) == may {
		t.logger.Warn("renewal of leases changes", zap.Bool("renewed", may), zap.Duration("storeUnseenMs", unseen))
	}
	return may
}

// unconfirmed reports whether another host may have begun a term since the last append.
func (t *Term) unconfirmed() bool { return t.tenure() != t.confirmed.Load() }

func (t *Term) pace(ctx context.Context, c planner.PaceRun) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := t.runner.SetPace(ctx, c.To, c.Run, c.Percent, c.Epoch)
	t.Notify(planner.PaceAnswered{Worker: c.To.ID, Run: c.Run, Percent: c.Percent, Answer: answer, Err: err})
}
