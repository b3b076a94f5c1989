package dispatcher

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/profiler"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// keepSaving stores the planner's batches one after the other. Several changes
// travel in one append; the pause between two appends bounds their rate.
func (t *Term) keepSaving(ctx context.Context) error {
	for {
		select {
		case <-t.save:
		case <-ctx.Done():
			return nil
		}
		began := time.Now()
		if err := t.saveBatch(ctx); err != nil {
			return err
		}
		sleeper.Pause(ctx, t.settings.SaveInterval-time.Since(began))
	}
}

func (t *Term) saveBatch(ctx context.Context) error {
	t.mu.Lock()
	batch := t.planner.TakeBatch()
	clock := t.planner.CellClock()
	t.mu.Unlock()
	tenure := t.tenure()
	if batch.Clock == nil && t.unconfirmed() {
		batch.Clock = &clock
	}
	records, err := t.encode(batch)
	if err != nil {
		return err
	}
	if len(records) > 0 {
		if err := t.append(ctx, records); err != nil {
			return err
		}
		if ctx.Err() == nil {
			t.confirmed.Store(tenure)
		}
	}
	t.deleteSubmissions(ctx, batch.Retired)
	if ctx.Err() == nil {
		t.Notify(planner.BatchSaved{Batch: batch})
	}
	return nil
}

func (t *Term) encode(b planner.Batch) ([]connector.KeyedRecord, error) {
	began := time.Now()
	defer func() { t.load.profile.Add(profiler.PhaseEncoding, time.Since(began)) }()
	records := make([]connector.KeyedRecord, 0, len(b.Records)+len(b.Retired))
	for _, r := range b.Records {
		value, err := r.Encode()
		if err != nil {
			return nil, err
		}
		records = append(records, connector.KeyedRecord{Key: keyJobPrefix + string(r.ID), Value: value})
	}
	if len(b.Estimates) > 0 {
		value, err := cbor.Marshal(b.Estimates)
		if err != nil {
			return nil, errors.Wrap(err, "encode estimates")
		}
		records = append(records, connector.KeyedRecord{Key: keyHarms, Value: value})
	}
	for _, r := range b.Retired {
		records = append(records, connector.KeyedRecord{Key: keyJobPrefix + string(r.ID)})
	}
	records, err := appendLeases(records, b)
	if err != nil {
		return nil, err
	}
	return appendHealths(records, b.Healths)
}

// appendLeases adds the records of a batch about the workers' leases.
func appendLeases(records []connector.KeyedRecord, b planner.Batch) ([]connector.KeyedRecord, error) {
	if b.Clock == nil {
		return records, nil
	}
	clock, err := cbor.Marshal(*b.Clock)
	if err != nil {
		return nil, errors.Wrap(err, "encode clock")
	}
	records = append(records, connector.KeyedRecord{Key: keyClock, Value: clock})
	for _, l := range b.Leases {
		if records, err = appendWorker(records, keyLeasePrefix, l.Worker, l.Lease); err != nil {
			return nil, errors.Wrap(err, "encode lease")
		}
	}
	return records, nil
}

// appendHealths adds the records of the workers' health.
func appendHealths(records []connector.KeyedRecord, healths []planner.HealthRecord) ([]connector.KeyedRecord, error) {
	var err error
	for _, h := range healths {
		if records, err = appendWorker(records, keyHealthPrefix, h.Worker, h.Health); err != nil {
			return nil, errors.Wrap(err, "encode health")
		}
	}
	return records, nil
}

// appendWorker adds the record of a worker; one without a value deletes what was stored.
func appendWorker[T any](records []connector.KeyedRecord, prefix string, id identifier.Worker, value *T) ([]connector.KeyedRecord, error) {
	record := connector.KeyedRecord{Key: prefix + string(id)}
	if value != nil {
		var err error
		if record.Value, err = cbor.Marshal(*value); err != nil {
			return nil, err
		}
	}
	return append(records, record), nil
}

// handOver stores when the workers' leases run out, for the next holder, once this one sends
// no orders any more.
func (t *Term) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	t.mu.Lock()
	batch := t.planner.HandOver(time.Now())
	t.mu.Unlock()
	records, err := t.encode(batch)
	if err == nil && t.unanswered != nil {
		// The writer's sequence goes on only once the append that was under way has its answer.
		err = t.tryAppend(ctx, t.unanswered, t.writer)
	}
	if err == nil && len(records) > 0 {
		t.writer.Sequence++
		err = t.tryAppend(ctx, records, t.writer)
	}
	t.logger.Info("leases are handed over", zap.Int("workers", len(batch.Leases)), logger.Err(err))
}

// deleteSubmissions deletes the inbox records of retired jobs. A failure leaves
// them for the next holder, which retires the jobs again.
func (t *Term) deleteSubmissions(ctx context.Context, retired []planner.Retired) {
	var records []connector.KeyedRecord
	for _, r := range retired {
		records = append(records, intake.Deletions(r.ID, r.Key)...)
	}
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := t.store.Append(ctx, connector.KeyedAppend{Topic: intake.TopicInbox, Partition: connector.Partition(t.cell), Records: records})
	if err != nil {
		t.logger.Warn("submissions of retired jobs not deleted", zap.Int("jobs", len(retired)), logger.Err(err))
	}
}

// handOverTimeout bounds the records of a term that ends: the next one waits for them.
const handOverTimeout = 500 * time.Millisecond

// append stores records under the term's epoch. It repeats an append that had
// no answer under the same sequence number, which the store recognises.
func (t *Term) append(ctx context.Context, records []connector.KeyedRecord) error {
	t.writer.Sequence++
	t.unanswered = records
	writer := t.writer
	store := logger.Dependency{Name: "store, to save the cell's state", Logger: t.logger}
	for ctx.Err() == nil {
		err := t.tryAppend(ctx, records, writer)
		store.Report(err)
		switch {
		case err == nil:
			t.unanswered = nil
			return nil
		case errors.IsAny(err, connector.ErrFenced, connector.ErrConflict):
			return errors.Mark(err, ErrSuperseded)
		case errors.Is(err, connector.ErrRefused):
			return err
		}
		sleeper.Pause(ctx, retryPause)
	}
	return nil
}

func (t *Term) tryAppend(ctx context.Context, records []connector.KeyedRecord, writer connector.WriterID) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := time.Now()
	_, err := t.store.Append(ctx, connector.KeyedAppend{
		Topic: TopicWork, Partition: connector.Partition(t.cell), Writer: &writer, Records: records,
	})
	took := time.Since(began)
	if err == nil {
		t.load.stored(len(records), connector.RecordBytes(records...), took)
	}
	if took > slowAppend {
		t.logger.Warn("append took long", zap.Duration("took", took), zap.Int("records", len(records)), logger.Err(err))
	}
	return err
}

// slowAppend is when an append is worth a log line: ten times the usual answer.
const slowAppend = 40 * time.Millisecond

func sortByOffset(records []connector.KeyedRecord) {
	sort.Slice(records, func(i, k int) bool { return records[i].Offset < records[k].Offset })
}
