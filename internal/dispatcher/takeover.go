package dispatcher

import (
	"context"
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
	// keyHolder is the key of the record that says who holds the cell.
	keyHolder = "!holder"
	// keyHarms is the key of the learned estimates of interference.
	keyHarms = "!harms"
	// keyClock is the key of the newest reading of the cell's clock.
	keyClock = "!clock"
	// keyJobPrefix begins the keys of the jobs' records, keyLeasePrefix those of the workers'
	// leases, and keyHealthPrefix those of the workers' health.
	keyJobPrefix    = "j"
	keyLeasePrefix  = "w"
	keyHealthPrefix = "h"
	writerName      = "holder"
)

// holderRecord says who holds a cell.
type holderRecord struct {
	Epoch  identifier.Epoch `cbor:"1,keyasint"`
	Member string           `cbor:"2,keyasint"`
	// Terms are the last terms with this one; a holder that knew nothing of them left none.
	Terms []renewer.Term `cbor:"3,keyasint,omitempty"`
}

// takeOver begins the term: it fences earlier holders off, reads the cell's
// state, and hands it to a new planner.
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
	now := time.Now()
	epoch := t.writer.Epoch
	opts := []planner.Option{planner.WithLeases(leases, t.uptime), planner.WithProfile(profiler.NewTimer(&t.load.profile))}
	if t.log != nil {
		opts = append(opts, planner.WithLog(t.log))
	}
	p := planner.New(epoch, now, t.settings.Planner, opts...)
	p.Inform(now, t.inboxEvents(inbox)...)
	p.Inform(now, planner.HealthRestored{Records: t.healthRecords(work)}, planner.JobsRestored{Records: t.jobRecords(work)},
		planner.EstimatesRestored{Records: t.harmRecords(work)})
	t.mu.Lock()
	t.planner, t.inbox = p, next
	t.mu.Unlock()
	t.clock.Store(&cellClock{renewer.ClockReading{Epoch: epoch, Clock: p.CellClock()}, t.uptime()})
	t.logger.Info("term begins", zap.Uint64("epoch", uint64(epoch)), zap.Int("jobs", p.Stats().Jobs),
		zap.Int("runs", p.Stats().Runs), zap.Duration("cellClock", time.Duration(p.CellClock())), zap.Duration("took", time.Since(began)))
	return nil
}

// fence reads the state of the cell and makes this host its only writer. Nothing
// was written between the read and the fence, since the append requires that.
func (t *Term) fence(ctx context.Context) ([]connector.KeyedRecord, renewer.State, error) {
	store := logger.Dependency{Name: "store, to take the cell over", Logger: t.logger}
	for ctx.Err() == nil {
		records, leases, err := t.tryFence(ctx)
		store.Report(err)
		if err == nil {
			return records, leases, nil
		}
		sleeper.Pause(ctx, retryPause)
	}
	return nil, renewer.State{}, errors.Wrap(ctx.Err(), "take over")
}

func (t *Term) tryFence(ctx context.Context) ([]connector.KeyedRecord, renewer.State, error) {
	heard := make(chan renewer.ClockReading, 1)
	go func() { heard <- t.heard(ctx) }()
	records, end, err := t.readNewest(ctx, TopicWork)
	if err != nil {
		return nil, renewer.State{}, err
	}
	holder, err := t.holderOf(records)
	if err != nil {
		return nil, renewer.State{}, err
	}
	leases := t.leasesOf(holder, records)
	if holder.Member == t.settings.Member && holder.Epoch > 0 && t.writer.Epoch == holder.Epoch {
		// An append that had no answer has come through.
		return records, leases, nil
	}
	epoch := holder.Epoch + 1
	leases = leases.BeginTerm(epoch, <-heard)
	value, err := cbor.Marshal(holderRecord{epoch, t.settings.Member, leases.Terms})
	if err != nil {
		return nil, renewer.State{}, errors.Wrap(err, "encode holder")
	}
	t.writer = connector.WriterID{Name: writerName, Epoch: epoch}
	tenure := t.tenure()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = t.store.Append(ctx, connector.KeyedAppend{
		Topic: TopicWork, Partition: connector.Partition(t.cell), ExpectedEnd: &end, Writer: &t.writer,
		Records: []connector.KeyedRecord{{Key: keyHolder, Value: value}},
	})
	if err != nil {
		return nil, renewer.State{}, err
	}
	t.confirmed.Store(tenure)
	return records, leases, nil
}

// leasesOf decodes what earlier holders stored of the workers' leases. A lease that cannot be
// read counts as one of which nothing is known.
func (t *Term) leasesOf(holder holderRecord, records []connector.KeyedRecord) renewer.State {
	s := renewer.State{Terms: holder.Terms, Leases: map[identifier.Worker]renewer.Lease{}}
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
			t.logger.Error("record of leases cannot be read", zap.String("key", r.Key), logger.Err(err))
		}
	}
	return s
}

// readNewest reads the newest records of the cell in a topic, which grow with its jobs: the
// read takes as long as they keep arriving, since one that was given up would begin anew.
func (t *Term) readNewest(ctx context.Context, topic connector.Topic) ([]connector.KeyedRecord, identifier.Offset, error) {
	ctx, cancel := connector.WithIdleTimeout(ctx, storeTimeout)
	defer cancel()
	return connector.NewestAll(ctx, t.store, topic, connector.Partition(t.cell))
}

func (t *Term) holderOf(records []connector.KeyedRecord) (holderRecord, error) {
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

// harmRecords decodes the learned estimates; without them they are learned anew.
func (t *Term) harmRecords(records []connector.KeyedRecord) []estimator.Record {
	for _, r := range records {
		if r.Key != keyHarms {
			continue
		}
		var out []estimator.Record
		if err := cbor.Unmarshal(r.Value, &out); err != nil {
			t.logger.Warn("learned estimates cannot be read", logger.Err(err))
		}
		return out
	}
	return nil
}

// healthRecords decodes what is stored of the workers' health. A worker whose record cannot be
// read counts as one of which nothing is known.
func (t *Term) healthRecords(records []connector.KeyedRecord) []planner.HealthRecord {
	var out []planner.HealthRecord
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, keyHealthPrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		rec := planner.HealthRecord{Worker: identifier.Worker(id), Health: &planner.Health{}}
		if err := cbor.Unmarshal(r.Value, rec.Health); err != nil {
			t.logger.Error("record of a worker's health cannot be read", zap.String("key", r.Key), logger.Err(err))
			rec.Health = nil
		}
		out = append(out, rec)
	}
	return out
}

// jobRecords decodes the stored state of jobs. A record that cannot be read is
// logged; its job goes on as if it had no state, under the guard of the leases.
func (t *Term) jobRecords(records []connector.KeyedRecord) []planner.JobRecord {
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
