package dispatcher

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/profiler"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// keyHolder is the key of the cell's holderRecord.
	keyHolder = "!holder"
	// keyEstimates is the key of the estimates of interference between tasks.
	keyEstimates = "!harms"
	// keyClock is the key of the last stored time of the cell's clock.
	keyClock = "!clock"
	// keyJobPrefix begins the keys of job records, keyLeasePrefix those of worker leases, and
	// keyHealthPrefix those of worker health.
	keyJobPrefix    = "j"
	keyLeasePrefix  = "w"
	keyHealthPrefix = "h"
	// keyTitlePrefix begins the keys of the owners of lent workers.
	keyTitlePrefix = "o"
	// writerName is the same for all holders, so that the store fences off earlier epochs.
	writerName = "holder"
)

// holderRecord is the stored record of a cell's holder.
type holderRecord struct {
	Epoch  identifier.Epoch `cbor:"1,keyasint"`
	Member string           `cbor:"2,keyasint"`
	// Terms are the most recent terms, including this one. It is empty in records of releases
	// that did not store terms.
	Terms []renewer.Term `cbor:"3,keyasint,omitempty"`
	// Takeover is the attempt by which this term began. It is empty in records of releases that did
	// not store it.
	Takeover renewer.TakeoverID `cbor:"4,keyasint,omitempty"`
}

// takeOver begins the term: it fences off earlier holders, reads the cell's state and restores a
// new planner from it. It retries store errors until ctx ends.
func (t *Term) takeOver(ctx context.Context) error {
	began := time.Now()
	work, leases, err := t.fence(ctx)
	if err != nil {
		return err
	}
	inbox, next, err := t.readInbox(ctx)
	if err != nil {
		return err
	}
	titles, health, jobs, estimates, events := t.decodeTitles(work), t.decodeHealth(work), t.decodeJobs(work), t.decodeEstimates(work), t.inboxEvents(inbox)
	putDefiningFirst(events, jobs)
	// All clocks of the takeover derive from this reading. Decoding may take long, and comes before.
	now := time.Now()
	epoch := t.writer.Epoch
	opts := []planner.Option{
		planner.WithLeases(leases, t.readAt, t.startClock.Load().uptime), planner.WithProfile(profiler.NewTimer(&t.stats.profile)),
		planner.WithAdviceLine(t.adviceLine, func() { t.Notify(planner.Ticked{}) }),
	}
	if t.decisions != nil {
		opts = append(opts, planner.WithLog(t.decisions))
	}
	p := planner.New(epoch, now, t.settings.Planner, opts...)
	t.logUnrecorded(events, jobs)
	p.Inform(now, planner.TitlesRestored{Records: titles})
	p.Inform(now, append(events, planner.HealthRestored{Records: health}, planner.JobsRestored{Records: jobs},
		planner.EstimatesRestored{Records: estimates})...)
	t.mu.Lock()
	t.planner, t.inboxOffset = p, next
	t.mu.Unlock()
	t.logger.Info("term begins", zap.Uint64("epoch", uint64(epoch)), zap.Int("jobs", p.Stats().Jobs),
		zap.Int("runs", p.Stats().Runs), zap.Duration("cellClock", time.Duration(p.CellClock())), zap.Duration("took", time.Since(began)))
	return nil
}

// fence reads the state of the cell and makes this host its only writer, by an append under a
// higher epoch. That append fails if anything was written since the read.
func (t *Term) fence(ctx context.Context) ([]connector.KeyedRecord, renewer.State, error) {
	store := logger.Dependency{Name: "store, to take the cell over", Logger: t.logger}
	for ctx.Err() == nil {
		records, leases, err := t.tryFence(ctx)
		store.Report(err)
		if err == nil {
			startedAt, ok := t.attempts[leases.Takeover]
			if !ok {
				startedAt = t.uptime()
			}
			last := leases.Terms[len(leases.Terms)-1]
			t.startClock.Store(&cellClock{renewer.ClockReading{Epoch: last.Epoch, Clock: last.Start}, startedAt})
			return records, leases, nil
		}
		sleeper.Pause(ctx, retryPause)
	}
	return nil, renewer.State{}, errors.Wrap(ctx.Err(), "take over")
}

// tryFence makes one attempt of fence. While it reads the state, the cell's clock is estimated and
// other hosts are told of the attempt, which may take calls of them. The term starts with the
// attempt if the cell was assigned to this host from then on: the previous holder renews leases for
// the renewal grace after that at most. Otherwise the term starts once it is stored.
func (t *Term) tryFence(ctx context.Context) ([]connector.KeyedRecord, renewer.State, error) {
	takeover := renewer.TakeoverID(rand.Text())
	began := t.uptime()
	assigned, tenure := t.valid(), t.tenure()
	estimate := make(chan renewer.ClockEstimate, 1)
	go func() { estimate <- t.estimateClock(ctx, takeover, began) }()
	records, end, err := t.readNewest(ctx, TopicWork)
	if err != nil {
		return nil, renewer.State{}, err
	}
	holder, err := t.decodeHolder(records)
	if err != nil {
		return nil, renewer.State{}, err
	}
	leases := t.decodeLeases(holder, records)
	if holder.Member == t.settings.Member && holder.Epoch > 0 && t.writer.Epoch == holder.Epoch {
		// The append of an earlier attempt was applied although its answer was lost.
		return records, leases, nil
	}
	epoch := holder.Epoch + 1
	estimated := <-estimate
	if assigned && t.valid() && t.tenure() == tenure {
		t.attempts[takeover] = began
	} else {
		takeover = ""
	}
	leases = leases.BeginTerm(epoch, takeover, estimated)
	value, err := cbor.Marshal(holderRecord{epoch, t.settings.Member, leases.Terms, leases.Takeover})
	if err != nil {
		return nil, renewer.State{}, errors.Wrap(err, "encode holder")
	}
	t.writer = connector.WriterID{Name: writerName, Epoch: epoch}
	tenure, sent := t.tenure(), t.uptime()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = t.store.Append(ctx, connector.KeyedAppend{
		Topic: TopicWork, Partition: connector.Partition(t.cell), ExpectedEnd: &end, Writer: &t.writer,
		Records: []connector.KeyedRecord{{Key: keyHolder, Value: value}},
	})
	if err != nil {
		return nil, renewer.State{}, err
	}
	t.confirm(tenure, sent)
	return records, leases, nil
}

// decodeLeases decodes the lease state that earlier holders stored. A lease that cannot be decoded
// is logged and treated as unknown.
func (t *Term) decodeLeases(holder holderRecord, records []connector.KeyedRecord) renewer.State {
	s := renewer.State{Terms: holder.Terms, Takeover: holder.Takeover, Leases: map[identifier.Worker]renewer.Lease{}}
	for _, r := range records {
		id, isLease := strings.CutPrefix(r.Key, keyLeasePrefix)
		var err error
		switch {
		case len(r.Value) == 0:
		case isLease:
			var l renewer.Lease
			if err = cbor.Unmarshal(r.Value, &l); err == nil {
				s.Leases[identifier.Worker(id)] = l
			}
		case r.Key == keyClock:
			err = cbor.Unmarshal(r.Value, &s.Clock)
		}
		if err != nil {
			t.logger.Error("lease record cannot be read", zap.String("key", r.Key), logger.Err(err))
		}
	}
	return s
}

// readNewest reads the newest record of each key of the cell in a topic. Their size grows with the
// number of jobs, so the read fails only after storeTimeout without any data: a limit on its total
// time could make a slow host start again and again.
func (t *Term) readNewest(ctx context.Context, topic connector.Topic) ([]connector.KeyedRecord, identifier.Offset, error) {
	ctx, cancel := connector.WithIdleTimeout(ctx, storeTimeout)
	defer cancel()
	return connector.NewestAll(ctx, t.store, topic, connector.Partition(t.cell))
}

// decodeHolder decodes the record of the cell's last holder. It is zero for a cell that never had
// one.
func (t *Term) decodeHolder(records []connector.KeyedRecord) (holderRecord, error) {
	for _, r := range records {
		if r.Key != keyHolder {
			continue
		}
		var h holderRecord
		err := cbor.Unmarshal(r.Value, &h)
		return h, errors.Wrap(err, "decode holder")
	}
	return holderRecord{}, nil
}

// readInbox reads the newest records of the inbox in the order of their offsets, and the offset
// after them. It retries store errors until ctx ends.
func (t *Term) readInbox(ctx context.Context) ([]connector.KeyedRecord, identifier.Offset, error) {
	for ctx.Err() == nil {
		records, next, err := t.readNewest(ctx, intake.TopicInbox)
		if err == nil {
			sortByOffset(records)
			return records, next, nil
		}
		t.logger.Warn("inbox cannot be read", logger.Err(err))
		sleeper.Pause(ctx, retryPause)
	}
	return nil, 0, errors.Wrap(ctx.Err(), "take over")
}

// putDefiningFirst exchanges the first submission of each job with the one that defines it, if the record of
// the job names another one than the first.
func putDefiningFirst(events []planner.Event, records []planner.JobRecord) {
	byID := make(map[identifier.Job]planner.JobRecord, len(records))
	for _, r := range records {
		byID[r.ID] = r
	}
	first := map[identifier.Job]int{}
	for i, e := range events {
		s, ok := e.(planner.JobSubmitted)
		if !ok {
			continue
		}
		at, repeated := first[s.Job.ID]
		if !repeated {
			first[s.Job.ID] = i
		} else if byID[s.Job.ID].Defines(s.Key) {
			events[at], events[i] = events[i], events[at]
		}
	}
}

// maxUnrecordedLogged bounds the job IDs in the log line of logUnrecorded.
const maxUnrecordedLogged = 20

// logUnrecorded logs the submissions that have no record of their job although they were accepted longer ago
// than ended jobs are kept. They are jobs that have not started yet, or repeats of forgotten jobs that an
// earlier release has left in the inbox; the store does not tell these apart.
func (t *Term) logUnrecorded(events []planner.Event, records []planner.JobRecord) {
	if t.settings.Planner.Retention <= 0 {
		return
	}
	recorded := make(map[identifier.Job]struct{}, len(records))
	for _, r := range records {
		recorded[r.ID] = struct{}{}
	}
	limit := identifier.UnixMillis(time.Now().Add(-t.settings.Planner.Retention).UnixMilli())
	n := 0
	var ids []string
	for _, e := range events {
		s, ok := e.(planner.JobSubmitted)
		if !ok || s.At >= limit {
			continue
		}
		if _, ok := recorded[s.Job.ID]; ok {
			continue
		}
		if n++; len(ids) < maxUnrecordedLogged {
			ids = append(ids, string(s.Job.ID))
		}
	}
	if n > 0 {
		t.logger.Warn("old submissions without a job record", zap.Int("submissions", n), zap.Strings("requests", ids))
	}
}

// decodeEstimates decodes the estimates of interference. If they cannot be decoded, that is logged
// and they are learned again.
func (t *Term) decodeEstimates(records []connector.KeyedRecord) []estimator.Record {
	for _, r := range records {
		if r.Key != keyEstimates {
			continue
		}
		var out []estimator.Record
		if err := cbor.Unmarshal(r.Value, &out); err != nil {
			t.logger.Warn("estimates of interference cannot be read", logger.Err(err))
		}
		return out
	}
	return nil
}

// decodeHealth decodes the stored health of workers. A record that cannot be decoded is logged
// and returned without its health, so that the health of the worker counts as unknown.
func (t *Term) decodeHealth(records []connector.KeyedRecord) []planner.HealthRecord {
	var out []planner.HealthRecord
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, keyHealthPrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		rec := planner.HealthRecord{Worker: identifier.Worker(id), Health: &planner.Health{}}
		if err := cbor.Unmarshal(r.Value, rec.Health); err != nil {
			t.logger.Error("worker health record cannot be read", zap.String("key", r.Key), logger.Err(err))
			rec.Health = nil
		}
		out = append(out, rec)
	}
	return out
}

// decodeJobs decodes the stored state of jobs. A record that cannot be decoded is logged and left
// out: its job continues as if it had no state, and leases keep its tasks from running twice.
func (t *Term) decodeJobs(records []connector.KeyedRecord) []planner.JobRecord {
	var out []planner.JobRecord
	for _, r := range records {
		if !strings.HasPrefix(r.Key, keyJobPrefix) || len(r.Value) == 0 {
			continue
		}
		rec, err := planner.DecodeJobRecord(r.Value)
		if err != nil {
			t.logger.Error("job record cannot be read", zap.String("request", strings.TrimPrefix(r.Key, keyJobPrefix)), logger.Err(err))
			continue
		}
		out = append(out, rec)
	}
	return out
}
