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

// execute carries out a command in the background. A record that the log has not taken after
// ResendInterval is given up, since the scheduler then decides anew. A call to a worker that finds
// the pool full blocks until another call ends.
func (c *Coordinator) execute(ctx context.Context, cmd scheduler.Command) {
	if a, ok := cmd.(scheduler.Append); ok {
		c.homeStream(a.Task).appender.AppendAsync(encoder.NewRecord(a.Body), c.cfg.Scheduler.ResendInterval)
		return
	}
	run := func() { c.callWorker(ctx, cmd) }
	if err := c.callPool.Submit(run); err != nil {
		c.logger.Warn("scheduler command dropped", zap.Error(err))
	}
}

func (c *Coordinator) homeStream(task identifier.Task) stream {
	return c.homes[identifier.HomeShard(task, len(c.homes))]
}

// callWorker sends a command to a worker and posts the outcome as an event to the scheduler. The
// outcome of StopTask and ForgetTasks shows in the worker's next report instead.
func (c *Coordinator) callWorker(ctx context.Context, cmd scheduler.Command) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ttl := c.cfg.Scheduler.WorkerTTL
	sent := time.Now()
	switch cmd := cmd.(type) {
	case scheduler.OpenLease:
		report, err := c.dial(cmd.Host).Open(ctx, cmd.Epoch, ttl)
		c.postReport(cmd.Host, cmd.Epoch, sent, report, err)
	case scheduler.RenewLease:
		report, err := c.dial(cmd.Host).Renew(ctx, cmd.Lease, cmd.Epoch, ttl)
		c.postReport(cmd.Host, cmd.Epoch, sent, report, err)
	case scheduler.StartTask:
		c.startTask(ctx, cmd)
	case scheduler.StopTask:
		c.logCallError(cmd.Host, c.dial(cmd.Host).Stop(ctx, cmd.Epoch, cmd.Task, cmd.Attempt))
	case scheduler.ForgetTasks:
		c.logCallError(cmd.Host, c.dial(cmd.Host).Forget(ctx, cmd.Epoch, cmd.Tasks))
	case scheduler.Append:
	}
}

// postReport posts the outcome of a lease call that was sent at the given time.
func (c *Coordinator) postReport(host connector.WorkerHost, epoch identifier.Epoch, sent time.Time, report connector.Report, err error) {
	if err == nil {
		c.postEvent(scheduler.WorkerAnswered{Worker: host.ID, Epoch: epoch, Report: report, SentAt: sent})
		return
	}
	c.logCallError(host, err)
	c.postEvent(scheduler.WorkerCallFailed{
		Worker: host.ID, Epoch: epoch,
		Expired: errors.Is(err, connector.ErrLeaseExpired),
		Fenced:  errors.Is(err, connector.ErrFenced),
	})
}

// startTask sends a start call to a worker, unless this host has lost the right to start tasks
// since the scheduler decided, and posts the outcome.
func (c *Coordinator) startTask(ctx context.Context, o scheduler.StartTask) {
	answer := scheduler.StartAnswered{
		Worker: o.Host.ID, Task: o.Order.Task, Attempt: o.Order.Attempt,
		Result: scheduler.StartNotApplied,
	}
	defer func() { c.postEvent(answer) }()
	if !c.mayStart(o.Order.Epoch) {
		return
	}
	err := c.dial(o.Host).Start(ctx, o.Order)
	switch {
	case err == nil:
		answer.Result = scheduler.StartAccepted
		c.notifyStarted(o.Order.Task)
		c.logger.Info("task started",
			zap.String("task", string(o.Order.Task)), zap.Uint32("attempt", uint32(o.Order.Attempt)),
			zap.String("worker", string(o.Host.ID)))
	case errors.Is(err, connector.ErrRefused):
		answer.Result, answer.Detail = scheduler.StartRefused, err.Error()
	case errors.IsAny(err, connector.ErrNotSent, connector.ErrFenced, connector.ErrLeaseExpired):
		c.logCallError(o.Host, err)
	default:
		answer.Result = scheduler.StartUnknown
		c.logCallError(o.Host, err)
	}
}

// notifyStarted sends a TaskStarted event to the host.
func (c *Coordinator) notifyStarted(id identifier.Task) {
	t, ok := c.Task(id)
	pool := c.ConfigSet().Pools[t.Pool]
	if ok && pool != nil {
		c.onEvent(TaskStarted{pool, time.Since(time.UnixMilli(t.SubmittedAtUnixMs))})
	}
}

// mayStart reports whether this host holds the cell lease under the epoch, and whether its data
// centre is in service according to a configuration that is no older than MaxStaleness.
func (c *Coordinator) mayStart(epoch identifier.Epoch) bool {
	if time.Since(c.config.follower.CaughtUpAt()) >= c.cfg.Scheduler.MaxStaleness {
		return false
	}
	c.mu.Lock()
	dc, ok := c.activeConfig.DataCentres[c.cfg.DataCentre]
	c.mu.Unlock()
	if !ok || dc.State != parser.InService {
		return false
	}
	held := false
	c.cell.follower.View(func() { held = c.lease.Held() && c.lease.Epoch() == epoch })
	return held
}

func (c *Coordinator) logCallError(host connector.WorkerHost, err error) {
	if err != nil {
		c.logger.Debug("worker call failed", zap.String("worker", string(host.ID)), zap.Error(err))
	}
}

// renewLease claims or renews the cell lease when that is due. It claims nothing before the cell's
// stream has been read to its head once.
func (c *Coordinator) renewLease() {
	if c.cell.follower.CaughtUpAt().IsZero() {
		return
	}
	var rec encoder.Record
	var due bool
	c.cell.follower.View(func() {
		c.lease.MarkCaughtUp()
		rec, due = c.lease.NextRecord()
	})
	if !due {
		return
	}
	c.renewals.Add(1)
	err := c.callPool.Submit(func() {
		defer c.renewals.Done()
		c.appendOnce(c.cell, rec)
	})
	if err != nil {
		c.renewals.Done()
		c.logger.Warn("cell lease renewal dropped", zap.Error(err))
	}
}

// releaseLease gives the cell lease up, so that another host need not wait until it runs out.
func (c *Coordinator) releaseLease() {
	var rec encoder.Record
	var mine bool
	c.cell.follower.View(func() { rec, mine = c.lease.Release() })
	if mine {
		c.appendOnce(c.cell, rec)
	}
}

// appendOnce appends a record to a stream without retrying. It does not depend on the context of
// Run, because the cell lease is released after that has ended.
func (c *Coordinator) appendOnce(s stream, rec encoder.Record) {
	data, err := encoder.Encode([]encoder.Record{rec})
	if err != nil {
		c.logger.Error("record cannot be encoded", zap.Error(err))
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
	snapshotCheckInterval = time.Second
	// snapshotOdds makes a host write a due snapshot at one check in that many, at random, so that
	// two hosts rarely write one at the same time.
	snapshotOdds = 4
	// snapshotLead is how long before a snapshot is too old the next one is due, and lateSnapshotLead how long
	// before that it is written without regard to other hosts.
	snapshotLead     = 12 * snapshotCheckInterval
	lateSnapshotLead = 2 * snapshotCheckInterval
)

// odds returns in how many checks a host writes a snapshot once; zero if none is due.
func (p SnapshotPolicy) odds(records identifier.Offset, age time.Duration) int {
	switch {
	case records > 0 && age >= p.Age-min(lateSnapshotLead, p.Age/8):
		return 1
	case records >= p.Records, records > 0 && age >= p.Age-min(snapshotLead, p.Age/4):
		return snapshotOdds
	default:
		return 0
	}
}

// writeSnapshots writes snapshots of the streams that are due, until ctx ends.
func (c *Coordinator) writeSnapshots(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, snapshotCheckInterval)
		for _, s := range c.streams() {
			records, age, known := s.follower.SnapshotAge()
			if odds := c.cfg.Snapshot.odds(records, age); known && odds > 0 && rand.IntN(odds) == 0 {
				c.writeSnapshot(s)
			}
		}
	}
	return nil
}

func (c *Coordinator) writeSnapshot(s stream) {
	next, state, known, err := s.follower.State()
	if err != nil || !known {
		c.logger.Warn("snapshot not written", zap.String("stream", string(s.name)), zap.Error(err))
		return
	}
	c.appendOnce(s, encoder.NewRecord(encoder.NewSnapshot(next, state)))
	c.logger.Info("snapshot written", zap.String("stream", string(s.name)), zap.Int("bytes", len(state)))
}
