package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// admissionLogPeriod is the least time between two lines about a queue that goes on being
// refused in part.
const admissionLogPeriod = time.Second

// keepAdmitting decides how much of the new jobs is accepted, until ctx ends.
func (t *Term) keepAdmitting(ctx context.Context) error {
	var a admitter.Admitter
	logged := map[identifier.Queue]time.Time{}
	defer t.admission.Store(nil)
	for ctx.Err() == nil {
		sleeper.Pause(ctx, admitter.Period)
		t.mu.Lock()
		now := time.Now()
		load := t.planner.Load()
		t.mu.Unlock()
		load.Stalled = load.Stalled || t.storingFor(now) > admitter.Period
		for _, c := range a.Update(now, load) {
			if c.Share < 1 && c.Before < 1 && now.Sub(logged[c.Queue]) < admissionLogPeriod {
				continue
			}
			logged[c.Queue] = now
			t.logAdmission(c, time.Since(now))
		}
		admission := a.Admission()
		t.admission.Store(&admission)
	}
	return nil
}

// storingFor returns how long the append under way has taken.
func (t *Term) storingFor(now time.Time) time.Duration {
	if since := t.storingSince.Load(); since != nil {
		return now.Sub(*since)
	}
	return 0
}

// logAdmission logs a new share of a queue, and what it follows from.
func (t *Term) logAdmission(c admitter.Change, age time.Duration) {
	t.logger.Info("admission changes", zap.String("queue", string(c.Queue)),
		zap.Float64("before", float64(c.Before)), zap.Float64("share", float64(c.Share)), zap.Float64("pressure", c.Pressure),
		zap.Int("waitingJobs", c.Waiting), zap.Int("owedTasks", c.Owed), zap.Float64("tasksPerSecond", c.Rate), zap.Float64("offeredPerSecond", c.Offered),
		zap.Duration("timeMs", c.Time), zap.Duration("slackMs", c.Slack), zap.Duration("delayMs", c.Delay),
		zap.Duration("retryAfterMs", c.RetryAfter), zap.Duration("ageMs", age))
}

// Admission returns which part of the new jobs is accepted; nil accepts everything.
func (t *Term) Admission() admitter.Admission {
	if a := t.admission.Load(); a != nil {
		return *a
	}
	return nil
}

// Known reports whether a job was stored before the call. It waits for the planner only if
// the job is not among those that were read lately, and calls in quick succession share a
// read of the inbox.
func (t *Term) Known(ctx context.Context, id identifier.Job) (bool, error) {
	if t.seen.has(id) {
		return true, nil
	}
	if err := t.refreshes.wait(ctx, t.readNew); err != nil {
		return false, err
	}
	if t.seen.has(id) {
		return true, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner == nil {
		return false, ErrNotHolder
	}
	_, ok := t.planner.State(id)
	return ok, nil
}

// readNew reads, beside the planner, which submissions have come since it last did.
func (t *Term) readNew(ctx context.Context) error {
	from := identifier.Offset(t.inboxSeen.Load())
	for more := true; more; {
		news, err := t.store.Read(ctx, intake.TopicInbox, connector.Partition(t.cell), from, 0)
		if err != nil {
			return err
		}
		t.inboxEvents(news.Records)
		from, more = news.Next, news.More
	}
	return nil
}
