package intake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/logger"
)

const (
	// maxBatchBytes bounds the total size of the values in one append; it is below the limit
	// of the store.
	maxBatchBytes = 1 << 20
)

// batcher appends records to one partition of the inbox. Records that arrive while an append is
// in progress are queued and appended together afterwards. It is safe for concurrent use.
type batcher struct {
	store     connector.Store
	partition connector.Partition
	logger    *zap.Logger

	mu    sync.Mutex
	queue []*pendingRecord
	// running is set while a goroutine executes run.
	running bool
}

// pendingRecord is a record that has not been appended yet.
type pendingRecord struct {
	record connector.KeyedRecord
	// done receives the result of the append.
	done chan error
}

// append appends a record and waits for the result. The error is that of the store's Append. If
// ctx ends first, it is marked connector.ErrNotSent if the record was still queued, otherwise
// connector.ErrUnknown.
func (b *batcher) append(ctx context.Context, r connector.KeyedRecord) error {
	p := &pendingRecord{r, make(chan error, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, p)
	idle := !b.running
	b.running = true
	b.mu.Unlock()
	if idle {
		go b.run()
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		if b.withdraw(p) {
			return errors.Mark(ctx.Err(), connector.ErrNotSent)
		}
		return errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
}

// withdraw removes a record from the queue; it returns false if the record is no longer queued.
func (b *batcher) withdraw(p *pendingRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.queue, p)
	if i < 0 {
		return false
	}
	b.queue = slices.Delete(b.queue, i, i+1)
	return true
}

// run appends queued records until the queue is empty.
func (b *batcher) run() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		err := b.appendBatch(batch)
		for _, p := range batch {
			p.done <- err
		}
	}
}

// nextBatch removes and returns the records of the next append, at least one and up to
// maxBatchBytes in total. It clears running if the queue is empty.
func (b *batcher) nextBatch() []*pendingRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	size, n := 0, 0
	for n < len(b.queue) && (n == 0 || size+len(b.queue[n].record.Value) <= maxBatchBytes) {
		size += len(b.queue[n].record.Value)
		n++
	}
	batch := slices.Clone(b.queue[:n])
	b.queue = slices.Delete(b.queue, 0, n)
	b.running = n > 0
	return batch
}

func (b *batcher) appendBatch(batch []*pendingRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), connector.SharedAppendTimeout)
	defer cancel()
	records := make([]connector.KeyedRecord, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	began := time.Now()
	_, err := b.store.Append(ctx, connector.KeyedAppend{Topic: TopicInbox, Partition: b.partition, Records: records})
	if took := time.Since(began); took > slowAppend {
		b.logger.Info("slow append to the inbox", zap.Duration("took", took), zap.Int("records", len(records)), logger.Err(err))
	}
	return err
}
