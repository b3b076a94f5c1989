package dispatcher

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
)

// slowLinkStore is a store whose newest records arrive over a link of limited bandwidth.
type slowLinkStore struct {
	connector.Store
	bytesPerSecond int
	reads          atomic.Int64
}

// Newest implements connector.Store.
func (l *slowLinkStore) Newest(ctx context.Context, topic connector.Topic, part connector.Partition, after string) (connector.KeyedPage, error) {
	l.reads.Add(1)
	page, err := l.Store.Newest(ctx, topic, part, after)
	if err != nil {
		return page, err
	}
	const chunk = 16 << 10
	for left := connector.RecordBytes(page.Records...); left > 0; left -= chunk {
		select {
		case <-time.After(time.Duration(min(left, chunk)) * time.Second / time.Duration(l.bytesPerSecond)):
			connector.ReportProgress(ctx)
		case <-ctx.Done():
			return connector.KeyedPage{}, errors.Mark(ctx.Err(), connector.ErrUnknown)
		}
	}
	return page, nil
}

// firstReadHangs is a store that never answers the first read of the newest records.
type firstReadHangs struct {
	connector.Store
	hung atomic.Bool
}

// Newest implements connector.Store.
func (s *firstReadHangs) Newest(ctx context.Context, topic connector.Topic, part connector.Partition, after string) (connector.KeyedPage, error) {
	if !s.hung.Swap(true) {
		<-ctx.Done()
		return connector.KeyedPage{}, errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
	return s.Store.Newest(ctx, topic, part, after)
}

// TestUnansweredReadOfTheStateIsRetried checks that a host gives up a read of the state that is
// not answered, and takes the cell over with the next one.
func TestUnansweredReadOfTheStateIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 1)
		defer c.stop()
		runner, disconnect := c.fleet.Client()
		defer disconnect()
		term := NewTerm(0, testSettings("host"), &firstReadHangs{Store: c.store.Client("host")}, runner, zap.NewNop())
		ctx, cancel := context.WithTimeout(c.ctx, 2*storeTimeout)
		defer cancel()
		if err := term.takeOver(ctx); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLargeStateIsTakenOverOverASlowLink guards against a takeover that never completes since the
// read of the state takes longer than one call of the store may, and is given up and repeated.
func TestLargeStateIsTakenOverOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, size, bandwidth, limit = 1000, 600, 250_000, 5 * time.Second
		c := newTestCell(t, 1)
		defer c.stop()
		for n := range jobs {
			c.storeJobRecord(t, planner.JobRecord{ID: jobID(n), State: planner.StateCompleted}, size)
		}
		runner, disconnect := c.fleet.Client()
		defer disconnect()
		store := &slowLinkStore{Store: c.store.Client("host"), bytesPerSecond: bandwidth}
		term := NewTerm(0, testSettings("host"), store, runner, zap.NewNop())
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		if err := term.takeOver(ctx); err != nil {
			t.Fatalf("cell not taken over within %v, after %d reads: %v", limit, store.reads.Load(), err)
		}
		// The state is read in two pages, the inbox in one.
		if got := store.reads.Load(); got > 3 {
			t.Errorf("%d reads of the newest records, want at most 3", got)
		}
	})
}

// storeJobRecord stores the record of a job, with tasks added until it has at least size bytes.
func (c *testCell) storeJobRecord(t *testing.T, r planner.JobRecord, size int) {
	t.Helper()
	for len(r.Tasks) == 0 || encodedSize(t, r) < size {
		r.Tasks = append(r.Tasks, planner.TaskRecord{Index: len(r.Tasks), Attempt: 1, Runs: []planner.RunRecord{{Attempt: 1, Worker: "i-0123456789"}}})
	}
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.store.Client("before").Append(c.ctx, connector.KeyedAppend{
		Topic: TopicWork, Records: []connector.KeyedRecord{{Key: keyJobPrefix + string(r.ID), Value: value}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

func encodedSize(t *testing.T, r planner.JobRecord) int {
	t.Helper()
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return len(value)
}

// TestClockStartsWithTheTakeoverWhileTheCellIsAssigned guards against a clock of the cell that is
// ahead: a term may start with its takeover only if the cell was assigned to this host all the
// while, since the previous holder may otherwise renew leases for longer. It then starts once it is
// stored.
func TestClockStartsWithTheTakeoverWhileTheCellIsAssigned(t *testing.T) {
	const latency = 500 * time.Millisecond
	tests := map[string]struct {
		valid  func(calls int64) bool
		tenure func(calls int64) uint64
		want   time.Duration
	}{
		// The takeover makes three calls: it reads the state, stores the term and reads the inbox.
		"assigned":        {func(int64) bool { return true }, func(int64) uint64 { return 1 }, 3 * latency},
		"not assigned":    {func(int64) bool { return false }, func(int64) uint64 { return 1 }, latency},
		"not any more":    {func(calls int64) bool { return calls == 1 }, func(int64) uint64 { return 1 }, latency},
		"assigned again":  {func(int64) bool { return true }, func(calls int64) uint64 { return uint64(calls) }, latency},
		"not at first":    {func(calls int64) bool { return calls > 1 }, func(int64) uint64 { return 1 }, latency},
		"tenure is known": {func(int64) bool { return true }, func(int64) uint64 { return 7 }, 3 * latency},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 1)
				defer c.stop()
				c.store.SetFaults(simulator.StoreFaults{Slow: latency})
				runner, disconnect := c.fleet.Client()
				defer disconnect()
				var validCalls, tenureCalls atomic.Int64
				term := NewTerm(0, testSettings("host"), c.store.Client("host"), runner, zap.NewNop(),
					WithValidity(func() bool { return tt.valid(validCalls.Add(1)) }, func() time.Duration { return 0 }),
					WithTenure(func() uint64 { return tt.tenure(tenureCalls.Add(1)) }))
				if err := term.takeOver(t.Context()); err != nil {
					t.Fatal(err)
				}
				r, ok := term.CellClock()
				if got := time.Duration(r.Clock); !ok || got < tt.want || got > tt.want+latency/2 {
					t.Errorf("the cell's clock shows %v after the takeover, want %v", got, tt.want)
				}
			})
		})
	}
}
