package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/scheduler"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// execute carries out a command without blocking the scheduler.
func (c *Coordinator) execute(ctx context.Context, cmd scheduler.Command) {
	if a, ok := cmd.(scheduler.Append); ok {
		c.home(a.Task).appender.AppendAsync(encoder.NewRecord(a.Body), c.cfg.Scheduler.ResendInterval)
		return
	}
	run := func() { c.call(ctx, cmd) }
	if err := c.pool.Submit(run); err != nil {
		c.logger.Warn("command dropped", zap.Error(err))
	}
}

func (c *Coordinator) home(task identifier.Task) stream {
	return c.homes[identifier.HomeShard(task, len(c.homes))]
}

// call sends a command to a worker and posts what came of it.
func (c *Coordinator) call(ctx context.Context, cmd scheduler.Command) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ttl := c.cfg.Scheduler.WorkerTTL
	sent := time.Now()
	switch o := cmd.(type) {
	case scheduler.OpenLease:
		report, err := c.dial(o.Host).Open(ctx, o.Epoch, ttl)
		c.postReport(o.Host, o.Epoch, sent, report, err)
	case scheduler.RenewLease:
		report, err := c.dial(o.Host).Renew(ctx, o.Lease, o.Epoch, ttl)
		c.postReport(o.Host, o.Epoch, sent, report, err)
	case scheduler.StartTask:
		c.start(ctx, o)
	case scheduler.StopTask:
		c.logFailure(o.Host, c.dial(o.Host).Stop(ctx, o.Epoch, o.Task, o.Attempt))
	case scheduler.ForgetTasks:
		c.logFailure(o.Host, c.dial(o.Host).Forget(ctx, o.Epoch, o.Tasks))
	case scheduler.Append:
	}
}

func (c *Coordinator) postReport(host connector.WorkerHost, epoch identifier.Epoch, sent time.Time, report connector.Report, err error) {
	if err == nil {
		c.post(scheduler.WorkerAnswered{Worker: host.ID, Epoch: epoch, Report: report, SentAt: sent})
		return
	}
	c.logFailure(host, err)
	c.post(scheduler.WorkerCallFailed{
		Worker: host.ID, Epoch: epoch,
		Expired: errors.Is(err, connector.ErrLeaseExpired),
		Fenced:  errors.Is(err, connector.ErrFenced),
	})
}

// start sends a start unless the right to do so has lapsed meanwhile.
func (c *Coordinator) start(ctx context.Context, o scheduler.StartTask) {
	answer := scheduler.StartAnswered{
		Worker: o.Host.ID, Task: o.Order.Task, Attempt: o.Order.Attempt,
		Result: scheduler.StartNotApplied,
	}
	defer func() { c.post(answer) }()
	if !c.mayStart(o.Order.Epoch) {
		return
	}
	err := c.dial(o.Host).Start(ctx, o.Order)
	switch {
	case err == nil:
		answer.Result = scheduler.StartAccepted
		c.reportStart(o.Order.Task)
		c.logger.Info("task started",
			zap.String("task", string(o.Order.Task)), zap.Uint32("attempt", uint32(o.Order.Attempt)),
			zap.String("worker", string(o.Host.ID)))
	case errors.Is(err, connector.ErrRefused):
		answer.Result, answer.Detail = scheduler.StartRefused, err.Error()
	case errors.IsAny(err, connector.ErrNotSent, connector.ErrFenced, connector.ErrLeaseExpired):
		c.logFailure(o.Host, err)
	default:
		answer.Result = scheduler.StartUnknown
		c.logFailure(o.Host, err)
	}
}

// reportStart tells the host how long a task waited.
func (c *Coordinator) reportStart(id identifier.Task) {
	t, ok := c.Task(id)
	pool := c.ConfigSet().Pools[t.Pool]
	if ok && pool != nil {
		c.watch(TaskStarted{pool, time.Since(time.UnixMilli(t.SubmittedAtUnixMs))})
	}
}

// mayStart reports whether this host holds the cell lease under the epoch and
// knows from a moment ago that its data centre takes work.
func (c *Coordinator) mayStart(epoch identifier.Epoch) bool {
	if time.Since(c.config.follower.CaughtUpAt()) >= c.cfg.Scheduler.MaxStaleness {
		return false
	}
	c.mu.Lock()
	dc, ok := c.set.DataCentres[c.cfg.DataCentre]
	c.mu.Unlock()
	if !ok || dc.State != parser.InService {
		return false
	}
	held := false
	c.cell.follower.View(func() { held = c.lessor.Held() && c.lessor.Epoch() == epoch })
	return held
}

func (c *Coordinator) logFailure(host connector.WorkerHost, err error) {
	if err != nil {
		c.logger.Debug("worker call failed", zap.String("worker", string(host.ID)), zap.Error(err))
	}
}

// renewLease claims or renews the cell lease when that is due.
func (c *Coordinator) renewLease() {
	if c.cell.follower.CaughtUpAt().IsZero() {
		return
	}
	var rec encoder.Record
	var due bool
	c.cell.follower.View(func() {
		c.lessor.MarkCaughtUp()
		rec, due = c.lessor.NextRecord()
	})
	if !due {
		return
	}
	err := c.pool.Submit(func() { c.appendOnce(c.cell, rec) })
	if err != nil {
		c.logger.Warn("lease renewal dropped", zap.Error(err))
	}
}

// releaseLease gives the cell lease up, so that another host need not wait for
// it to run out.
func (c *Coordinator) releaseLease() {
	var rec encoder.Record
	var mine bool
	c.cell.follower.View(func() { rec, mine = c.lessor.Release() })
	if mine {
		c.appendOnce(c.cell, rec)
	}
}

func (c *Coordinator) appendOnce(s stream, rec encoder.Record) {
	data, err := encoder.Encode([]encoder.Record{rec})
	if err != nil {
		c.logger.Error("record not encodable", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.log.Append(ctx, s.name, data); err != nil {
		c.logger.Debug("append failed", zap.String("stream", string(s.name)), zap.Error(err))
	}
	s.follower.Wake()
}

const (
	snapshotCheck = time.Second
	// snapshotOdds is the chance, one in that many, that a host writes a due
	// snapshot at a check, so that rarely two do.
	snapshotOdds = 4
)

// writeSnapshots writes the state of every stream again when that is due.
func (c *Coordinator) writeSnapshots(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, snapshotCheck)
		for _, s := range c.streams() {
			records, age, known := s.follower.SnapshotAge()
			due := records >= c.cfg.Snapshot.Records || (records > 0 && age >= c.cfg.Snapshot.Age)
			if known && due && rand.IntN(snapshotOdds) == 0 {
				c.writeSnapshot(s)
			}
		}
	}
	return nil
}

func (c *Coordinator) writeSnapshot(s stream) {
	next, state, known, err := s.follower.State()
	if err != nil || !known {
		c.logger.Warn("no snapshot", zap.String("stream", string(s.name)), zap.Error(err))
		return
	}
	c.appendOnce(s, encoder.NewRecord(encoder.NewSnapshot(next, state)))
	c.logger.Info("snapshot written", zap.String("stream", string(s.name)), zap.Int("bytes", len(state)))
}
