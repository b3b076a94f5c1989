package intake

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

func job(n int) submitter.Job {
	return submitter.Job{ID: identifier.Job(fmt.Sprintf("%016x", n)), Queue: "plans", Steps: []submitter.Step{{Count: 1}}}
}

// newService returns a service that runs until the test ends.
func newService(t *testing.T, store connector.Store) *Service {
	s := newIdleService(store)
	go func() { _ = s.Run(t.Context()) }()
	return s
}

// newIdleService returns a service whose Run has not been called.
func newIdleService(store connector.Store) *Service {
	locator := NewLocator(store, "self", 1, zap.NewNop())
	return New(store, messenger.NewClient(), locator, 1, func(identifier.Cell) (Holder, bool) { return nil, false }, zap.NewNop())
}

// TestConcurrentSubmissionsShareAppends checks that submissions that arrive while an append is in
// progress are stored with one more append, however many there are.
func TestConcurrentSubmissionsShareAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		store.SetFaults(simulator.StoreFaults{Slow: 100 * time.Millisecond})
		s := newService(t, store.Client("front"))
		began := time.Now()
		var wg sync.WaitGroup
		for n := range 40 {
			wg.Go(func() {
				if err := s.Submit(t.Context(), Submission{Job: job(n)}); err != nil {
					t.Errorf("submission %d: %v", n, err)
				}
			})
		}
		wg.Wait()
		if took := time.Since(began); took > 300*time.Millisecond {
			t.Errorf("40 submissions took %v with 104 ms an append", took)
		}
		if calls := store.Calls(); calls > 3 {
			t.Errorf("%d calls of the store, want at most 3", calls)
		}
	})
}

// TestOversizedSubmissionDoesNotFailOthers checks that a submission above the store's record
// limit is refused for good, and that concurrent submissions, which would share an append with
// it, are stored.
func TestOversizedSubmissionDoesNotFailOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		store.SetFaults(simulator.StoreFaults{Slow: 100 * time.Millisecond})
		s := newService(t, store.Client("front"))
		large := job(0)
		large.Steps[0].Image = identifier.Image(strings.Repeat("x", connector.MaxRecordBytes))
		var wg sync.WaitGroup
		wg.Go(func() {
			var r *refuser.Refusal
			err := s.Submit(t.Context(), Submission{Job: large})
			if !errors.As(err, &r) || r.Code != refuser.CodeTooLarge || r.Effect != refuser.NotRun || r.RetryAfterMillis != 0 {
				t.Errorf("oversized submission: %v, want a final refusal as too large", err)
			}
		})
		for n := range 5 {
			wg.Go(func() {
				if err := s.Submit(t.Context(), Submission{Job: job(n + 1)}); err != nil {
					t.Errorf("concurrent submission: %v", err)
				}
			})
		}
		wg.Wait()
	})
}

// TestRefusalsOfSubmissions checks the refusal that a caller gets when the store refuses or does
// not answer, and that a job refused with effect NotRun is not stored.
func TestRefusalsOfSubmissions(t *testing.T) {
	tests := map[string]struct {
		faults simulator.StoreFaults
		effect refuser.Effect
		within time.Duration
	}{
		"refused":      {simulator.StoreFaults{Refused: map[string]bool{"front": true}}, refuser.NotRun, 50 * time.Millisecond},
		"no answer":    {simulator.StoreFaults{Down: true}, refuser.Unknown, 4 * time.Second},
		"answers lost": {simulator.StoreFaults{LoseAnswers: 1}, refuser.Unknown, 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := simulator.NewStore(1, 1)
				store.SetFaults(tt.faults)
				s := newService(t, store.Client("front"))
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				began := time.Now()
				err := s.Submit(ctx, Submission{Job: job(1)})
				var r *refuser.Refusal
				if !errors.As(err, &r) || r.Effect != tt.effect {
					t.Fatalf("error %v, want a refusal of effect %s", err, tt.effect)
				}
				if took := time.Since(began); took > tt.within {
					t.Errorf("refused after %v, want within %v", took, tt.within)
				}
				if r.Effect == refuser.NotRun && r.RetryAfterMillis == 0 {
					t.Error("refusal does not say when to retry")
				}
				time.Sleep(5 * time.Second)
				store.SetFaults(simulator.StoreFaults{})
				page, err := store.Client("check").Newest(t.Context(), TopicInbox, 0, "")
				if err != nil {
					t.Fatal(err)
				}
				if r.Effect == refuser.NotRun && len(page.Records) > 0 {
					t.Error("job is stored although it was refused with effect NotRun")
				}
			})
		})
	}
}

// TestCancelledQueuedRecordIsNotSent checks that a record whose context ends while it is queued
// is not sent and fails with ErrNotSent.
func TestCancelledQueuedRecordIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		store.SetFaults(simulator.StoreFaults{Slow: time.Second})
		b := &batcher{store: store.Client("front"), logger: zap.NewNop()}
		go func() { _ = b.append(t.Context(), connector.KeyedRecord{Key: "a", Value: []byte("1")}) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		err := b.append(ctx, connector.KeyedRecord{Key: "b", Value: []byte("1")})
		if !errors.Is(err, connector.ErrNotSent) {
			t.Fatalf("error %v, want ErrNotSent", err)
		}
		time.Sleep(5 * time.Second)
		page, err := store.Client("check").Newest(t.Context(), TopicInbox, 0, "")
		if err != nil || len(page.Records) != 1 {
			t.Fatalf("%d records stored (%v), want only the first", len(page.Records), err)
		}
	})
}

// TestInboxRecords checks that different jobs with the same ID get different keys, that an
// encoded submission can be decoded, and that malformed records are refused.
func TestInboxRecords(t *testing.T) {
	first, err := EncodeSubmission(Submission{Job: job(1)})
	if err != nil {
		t.Fatal(err)
	}
	other := job(1)
	other.Spec = "another"
	second, err := EncodeSubmission(Submission{Job: other})
	if err != nil {
		t.Fatal(err)
	}
	if first.Key == second.Key {
		t.Error("two different jobs with the same ID have the same key")
	}
	e, ok, err := Decode(first)
	if err != nil || !ok || e.Submission == nil || e.Submission.Job.ID != job(1).ID {
		t.Errorf("decoded %+v, %v, %v", e, ok, err)
	}
	for name, r := range map[string]connector.KeyedRecord{
		"unknown key": {Key: "x1", Value: []byte("1")},
		"not CBOR":    {Key: "s1", Value: []byte("no cbor")},
	} {
		if _, _, err := Decode(r); !errors.Is(err, ErrMalformedRecord) {
			t.Errorf("%s: error %v, want ErrMalformedRecord", name, err)
		}
	}
}
