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
)

// slowLink is a store at the end of a link that carries so many bytes a second.
type slowLink struct {
	connector.Store
	bytesPerSecond int
	reads          atomic.Int64
}

// Newest implements connector.Store.
func (l *slowLink) Newest(ctx context.Context, topic connector.Topic, part connector.Partition, after string) (connector.KeyedPage, error) {
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

// silentOnce is a store that does not answer the first read of the newest records.
type silentOnce struct {
	connector.Store
	asked atomic.Bool
}

// Newest implements connector.Store.
func (s *silentOnce) Newest(ctx context.Context, topic connector.Topic, part connector.Partition, after string) (connector.KeyedPage, error) {
	if !s.asked.Swap(true) {
		<-ctx.Done()
		return connector.KeyedPage{}, errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
	return s.Store.Newest(ctx, topic, part, after)
}

// TestSilentReadOfTheStateIsRepeated checks that a host gives a read without an answer up
// and takes the cell over with the next.
func TestSilentReadOfTheStateIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.stop()
		runner, cut := w.fleet.Client()
		defer cut()
		term := NewTerm(0, settings("host"), &silentOnce{Store: w.store.Client("host")}, runner, zap.NewNop())
		ctx, cancel := context.WithTimeout(w.ctx, 2*storeTimeout)
		defer cancel()
		if err := term.takeOver(ctx); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLargeStateIsTakenOverOverASlowLink checks that a host whose link carries the state of
// a cell only in several seconds takes the cell over, and reads it once.
func TestLargeStateIsTakenOverOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, size, link, within = 1000, 600, 250_000, 5 * time.Second
		w := newWorld(t, 1)
		defer w.stop()
		for n := range jobs {
			w.putState(t, planner.JobRecord{ID: jobID(n), State: planner.StateCompleted}, size)
		}
		runner, cut := w.fleet.Client()
		defer cut()
		store := &slowLink{Store: w.store.Client("host"), bytesPerSecond: link}
		term := NewTerm(0, settings("host"), store, runner, zap.NewNop())
		ctx, cancel := context.WithTimeout(w.ctx, within)
		defer cancel()
		if err := term.takeOver(ctx); err != nil {
			t.Fatalf("not taken over within %v after %d reads: %v", within, store.reads.Load(), err)
		}
		// One read of the state in two pages, and one of the inbox.
		if got := store.reads.Load(); got > 3 {
			t.Errorf("%d reads of the newest records", got)
		}
	})
}

// putState stores the record of a job with a value of at least a size.
func (w *world) putState(t *testing.T, r planner.JobRecord, size int) {
	t.Helper()
	for len(r.Tasks) == 0 || mustEncode(t, r) < size {
		r.Tasks = append(r.Tasks, planner.TaskRecord{Index: len(r.Tasks), Attempt: 1, Runs: []planner.RunRecord{{Attempt: 1, Worker: "i-0123456789"}}})
	}
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	_, err = w.store.Client("before").Append(w.ctx, connector.KeyedAppend{
		Topic: TopicWork, Records: []connector.KeyedRecord{{Key: keyJobPrefix + string(r.ID), Value: value}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

func mustEncode(t *testing.T, r planner.JobRecord) int {
	t.Helper()
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return len(value)
}
