package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"sort"
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
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// saveLoop stores the planner's changes in batches, one after the other, until ctx ends. At least
// SaveInterval passes between the starts of two appends, so that one append carries many changes.
func (t *Term) saveLoop(ctx context.Context) error {
	for {
		select {
		case <-t.saveDue:
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

// saveBatch stores the planner's next batch and reports that to the planner.
func (t *Term) saveBatch(ctx context.Context) error {
	t.mu.Lock()
	batch := t.planner.TakeBatch()
	clock := t.planner.CellClock()
	t.mu.Unlock()
	tenure, sent := t.tenure(), t.uptime()
	// A successful append shows that no other holder has begun a term. If there is nothing else to
	// store, the clock is stored for that purpose.
	if batch.Clock == nil && t.unconfirmed() {
		batch.Clock = &clock
	}
	records, err := t.encodeBatch(batch)
	if err != nil {
		return err
	}
	for _, part := range splitAppend(records) {
		// append returns nil once ctx has ended; its records are then those that handOver repeats.
		if err := t.append(ctx, part); err != nil || ctx.Err() != nil {
			return err
		}
	}
	if len(records) > 0 {
		t.confirm(tenure, sent)
	}
	t.Notify(planner.BatchSaved{Batch: batch})
	return nil
}

// confirm records a successful append that was sent at an uptime, in a tenure. It shows that no other term had
// begun by then.
func (t *Term) confirm(tenure uint64, sent time.Duration) {
	t.confirmedTenure.Store(tenure)
	t.confirmedAt.Store(int64(sent))
}

// splitAppend divides records into parts that the store accepts in one append each. What depends on a
// batch waits for all of them.
func splitAppend(records []connector.KeyedRecord) [][]connector.KeyedRecord {
	var parts [][]connector.KeyedRecord
	begin, size := 0, 0
	for i, r := range records {
		n := connector.RecordBytes(r) + recordOverhead
		if i > begin && size+n > connector.MaxAppendBytes {
			parts = append(parts, records[begin:i])
			begin, size = i, 0
		}
		size += n
	}
	if begin < len(records) {
		parts = append(parts, records[begin:])
	}
	return parts
}

// recordOverhead is what the store's protocol adds to the key and value of a record at most.
const recordOverhead = 16

// encodeEstimates encodes the estimates of interference. If they are larger than the store accepts,
// those from the fewest observations are left out.
func encodeEstimates(estimates []estimator.Record) ([]byte, error) {
	value, err := cbor.Marshal(estimates)
	if err != nil || len(value) <= maxEstimateBytes {
		return value, errors.Wrap(err, "encode estimates")
	}
	kept := slices.Clone(estimates)
	slices.SortFunc(kept, func(a, b estimator.Record) int { return cmp.Compare(b.Samples, a.Samples) })
	for len(value) > maxEstimateBytes {
		kept = kept[:len(kept)*maxEstimateBytes/len(value)*9/10]
		if value, err = cbor.Marshal(kept); err != nil {
			return nil, errors.Wrap(err, "encode estimates")
		}
	}
	return value, nil
}

// maxEstimateBytes bounds the encoded estimates, so that they fit into a record with their key.
const maxEstimateBytes = connector.MaxRecordBytes - 1<<10

// encodeBatch returns the records of a batch as they are stored. A record without a value deletes
// the one with its key.
func (t *Term) encodeBatch(b planner.Batch) ([]connector.KeyedRecord, error) {
	began := time.Now()
	defer func() { t.stats.profile.Add(profiler.PhaseEncoding, time.Since(began)) }()
	records := make([]connector.KeyedRecord, 0, len(b.Records)+len(b.Retired))
	for _, r := range b.Records {
		value, err := r.Encode()
		if err != nil {
			return nil, err
		}
		records = append(records, connector.KeyedRecord{Key: keyJobPrefix + string(r.ID), Value: value})
	}
	if len(b.Estimates) > 0 {
		value, err := encodeEstimates(b.Estimates)
		if err != nil {
			return nil, err
		}
		records = append(records, connector.KeyedRecord{Key: keyEstimates, Value: value})
	}
	for _, id := range b.Retired {
		records = append(records, connector.KeyedRecord{Key: keyJobPrefix + string(id)})
	}
	records, err := appendLeaseRecords(records, b)
	if err != nil {
		return nil, err
	}
	if records, err = appendTitleRecords(records, b.Titles); err != nil {
		return nil, err
	}
	return appendHealthRecords(records, b.Healths)
}

// appendLeaseRecords adds the cell's clock and the workers' leases of a batch.
func appendLeaseRecords(records []connector.KeyedRecord, b planner.Batch) ([]connector.KeyedRecord, error) {
	if b.Clock == nil {
		return records, nil
	}
	clock, err := cbor.Marshal(*b.Clock)
	if err != nil {
		return nil, errors.Wrap(err, "encode clock")
	}
	records = append(records, connector.KeyedRecord{Key: keyClock, Value: clock})
	for _, l := range b.Leases {
		if records, err = appendWorkerRecord(records, keyLeasePrefix, l.Worker, l.Lease); err != nil {
			return nil, errors.Wrap(err, "encode lease")
		}
	}
	return records, nil
}

// appendHealthRecords adds the records of the workers' health.
func appendHealthRecords(records []connector.KeyedRecord, healths []planner.HealthRecord) ([]connector.KeyedRecord, error) {
	var err error
	for _, h := range healths {
		if records, err = appendWorkerRecord(records, keyHealthPrefix, h.Worker, h.Health); err != nil {
			return nil, errors.Wrap(err, "encode health")
		}
	}
	return records, nil
}

// appendWorkerRecord adds a record of a worker; a nil value deletes the stored record.
func appendWorkerRecord[T any](records []connector.KeyedRecord, prefix string, id identifier.Worker, value *T) ([]connector.KeyedRecord, error) {
	record := connector.KeyedRecord{Key: prefix + string(id)}
	if value != nil {
		var err error
		if record.Value, err = cbor.Marshal(*value); err != nil {
			return nil, err
		}
	}
	return append(records, record), nil
}

// handOver stores the expiry of each worker's lease for the next holder. It must be called only
// once this holder sends no more orders.
func (t *Term) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	t.mu.Lock()
	batch := t.planner.HandOver(time.Now())
	t.mu.Unlock()
	records, err := t.encodeBatch(batch)
	if err == nil && t.pendingAppend != nil {
		// The append that was in flight may not have reached the store, which accepts the next
		// sequence number only after that one.
		err = t.tryAppend(ctx, t.pendingAppend, t.writer)
	}
	if err == nil && len(records) > 0 {
		t.writer.Sequence++
		err = t.tryAppend(ctx, records, t.writer)
	}
	t.logger.Info("leases are handed over", zap.Int("workers", len(batch.Leases)), logger.Err(err))
}

// deleteSubmissions deletes the inbox records of retired jobs and reports that to the planner, which
// deletes their job records only then and repeats a deletion that failed.
func (t *Term) deleteSubmissions(ctx context.Context, c planner.DeleteSubmissions) {
	var records []connector.KeyedRecord
	for _, r := range c.Jobs {
		records = append(records, intake.Deletions(r.ID, r.Keys)...)
	}
	err := t.appendInbox(ctx, t.cell, records)
	if err != nil {
		t.logger.Warn("submissions of retired jobs not deleted", zap.Int("jobs", len(c.Jobs)), logger.Err(err))
	}
	t.Notify(planner.SubmissionsDeleted{Jobs: c.Jobs, Err: err})
}

// discardRecords deletes records of the inbox that are of no use any more, and reports that to the planner.
func (t *Term) discardRecords(ctx context.Context, c planner.DiscardRecords) {
	records := make([]connector.KeyedRecord, len(c.Records))
	for i, r := range c.Records {
		records[i].Key = r.Key
	}
	err := t.appendInbox(ctx, t.cell, records)
	if err != nil {
		t.logger.Warn("inbox records of no use not deleted", zap.Int("records", len(records)), logger.Err(err))
	}
	t.Notify(planner.RecordsDiscarded{Records: c.Records, Err: err})
}

// handOverTimeout bounds the appends at the end of a term, since the next term waits for them.
const handOverTimeout = 500 * time.Millisecond

// append stores records under the term's epoch. It retries after errors until ctx ends, and then
// returns nil. A retry has the same sequence number, by which the store recognises an append that
// it has already applied. The error is marked ErrSuperseded if another holder has fenced this one
// off, and connector.ErrRefused if the store refuses the records.
func (t *Term) append(ctx context.Context, records []connector.KeyedRecord) error {
	t.writer.Sequence++
	t.pendingAppend = records
	writer := t.writer
	store := logger.Dependency{Name: "store, to save the cell's state", Logger: t.logger}
	for ctx.Err() == nil {
		err := t.tryAppend(ctx, records, writer)
		store.Report(err)
		switch {
		case err == nil:
			t.pendingAppend = nil
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

// tryAppend makes one attempt to append records, counts it in the load statistics if it succeeds
// and logs it if it was slow.
func (t *Term) tryAppend(ctx context.Context, records []connector.KeyedRecord, writer connector.WriterID) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := time.Now()
	t.stats.appendSince.Store(began.UnixNano())
	_, err := t.store.Append(ctx, connector.KeyedAppend{
		Topic: TopicWork, Partition: connector.Partition(t.cell), Writer: &writer, Records: records,
	})
	took := time.Since(began)
	t.stats.lastAppend.Store(int64(took))
	t.stats.appendSince.Store(0)
	if err == nil {
		t.stats.recordAppend(len(records), connector.RecordBytes(records...), took)
	}
	if took > slowAppend {
		t.logger.Warn("slow append to the store", zap.Duration("took", took), zap.Int("records", len(records)), logger.Err(err))
	}
	return err
}

// slowAppend is the duration from which an append is logged, ten times the usual response time.
const slowAppend = 40 * time.Millisecond

func sortByOffset(records []connector.KeyedRecord) {
	sort.Slice(records, func(i, k int) bool { return records[i].Offset < records[k].Offset })
}
