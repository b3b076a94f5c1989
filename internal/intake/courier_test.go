package intake

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/relayer"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// serveHolder starts a host that holds cell 0 and answers the appends of other hosts after delay.
func serveHolder(t *testing.T, store connector.Store, delay time.Duration) string {
	t.Helper()
	s := newService(t, store)
	s.localHolder = func(identifier.Cell) (Holder, bool) { return nil, true }
	rpc, err := messenger.Listen("127.0.0.1:0", func(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
		time.Sleep(delay)
		out, _, err := relayer.Serve(ctx, s.Grouping(store), method, params)
		return out, err
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rpc.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return rpc.Address()
}

// TestHolderAppendsForAllHosts plays a slow store, which takes appends one after the other, under
// submissions at 30 hosts at the same time: they are stored with few appends, and within the time that
// callers have.
func TestHolderAppendsForAllHosts(t *testing.T) {
	store := simulator.NewStore(1, 1)
	store.SetFaults(simulator.StoreFaults{Slow: 250 * time.Millisecond})
	holder := serveHolder(t, store.Client("holder"), 0)
	var wg sync.WaitGroup
	for n := range 30 {
		s := newService(t, store.Client("front"))
		s.locator.holders[0] = holder
		s.ObserveOutlook(0, admitter.Outlook{StoreDelay: 300 * time.Millisecond})
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 2850*time.Millisecond)
			defer cancel()
			if err := s.Submit(ctx, Submission{Job: job(n)}); err != nil {
				t.Errorf("submission %d: %v", n, err)
			}
		})
	}
	wg.Wait()
	if calls := store.Calls(); calls > 8 {
		t.Errorf("%d appends for 30 submissions, want at most 8", calls)
	}
}

// TestSubmissionsAreStoredWithoutTheHolder checks that a submission is stored from this host if the
// holder is gone or does not answer, and that the next one does not wait for it.
func TestSubmissionsAreStoredWithoutTheHolder(t *testing.T) {
	store := simulator.NewStore(1, 1)
	for name, holder := range map[string]string{
		"gone":   "127.0.0.1:1",
		"silent": serveHolder(t, store.Client("holder"), 1500*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			s := newService(t, store.Client("front"))
			s.locator.holders[0] = holder
			for n, within := range []time.Duration{900 * time.Millisecond, 100 * time.Millisecond} {
				began := time.Now()
				if err := s.Submit(t.Context(), Submission{Job: job(n)}); err != nil {
					t.Errorf("submission %d: %v", n, err)
				}
				if took := time.Since(began); took > within {
					t.Errorf("submission %d took %v, want at most %v", n, took, within)
				}
			}
		})
	}
}

// TestSubmissionsAreStoredWhileTheHostStops checks that a submission which is under way, or comes, when the
// parts of a host have ended is stored without delay although the holder cannot be called any more.
func TestSubmissionsAreStoredWhileTheHostStops(t *testing.T) {
	store := simulator.NewStore(1, 1)
	s := newIdleService(store.Client("front"))
	running, stop := context.WithCancel(t.Context())
	stop()
	_ = s.Run(running)
	s.rpc.Close()
	s.locator.holders[0] = "127.0.0.1:1"
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	began := time.Now()
	if err := s.Submit(ctx, Submission{Job: job(1)}); err != nil || time.Since(began) > 200*time.Millisecond {
		t.Errorf("error %v after %v, want none at once", err, time.Since(began))
	}
}

// TestNoCallerIsHeldBeyondItsTime checks that a submission ends with its caller's time if neither the store
// nor the holder answers.
func TestNoCallerIsHeldBeyondItsTime(t *testing.T) {
	store := simulator.NewStore(1, 1)
	s := newService(t, store.Client("front"))
	s.locator.holders[0] = serveHolder(t, store.Client("holder"), 3*time.Second)
	store.SetFaults(simulator.StoreFaults{Down: true})
	for _, limit := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond} {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		began := time.Now()
		err := s.Submit(ctx, Submission{Job: job(1)})
		cancel()
		var r *refuser.Refusal
		if !errors.As(err, &r) || r.Effect != refuser.Unknown {
			t.Errorf("error %v, want a refusal of unknown effect: the holder may store the job", err)
		}
		if took := time.Since(began); took > limit+200*time.Millisecond {
			t.Errorf("held for %v, the caller's time is %v", took, limit)
		}
	}
}

// TestSilentStoreIsRefusedAtOnce plays submissions while the store answers nobody: once that is known,
// none is held or sent; those refused as not run are never stored; and submissions are accepted soon
// after the store is back.
func TestSilentStoreIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		s := newService(t, store.Client("front"))
		store.SetFaults(simulator.StoreFaults{Down: true})
		refused := map[identifier.Job]bool{}
		submit := func(n int) (*refuser.Refusal, time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			began := time.Now()
			var r *refuser.Refusal
			if err := s.Submit(ctx, Submission{Job: job(n)}); err != nil && !errors.As(err, &r) {
				t.Fatalf("submission %d: %v", n, err)
			}
			if r != nil && r.Effect == refuser.NotRun {
				refused[job(n).ID] = true
			}
			return r, time.Since(began)
		}
		if r, _ := submit(0); r == nil || r.Effect != refuser.Unknown {
			t.Errorf("submission sent to the silent store: %v, want one of unknown effect", r)
		}
		for n := 1; n < 20; n++ {
			r, took := submit(n)
			switch {
			case r == nil || r.Effect != refuser.NotRun || took > 10*time.Millisecond:
				t.Errorf("submission %d: %v after %v, want a refusal at once", n, r, took)
			case r.RetryAfterMillis < 500:
				t.Errorf("submission %d: return after %d ms", n, r.RetryAfterMillis)
			}
			time.Sleep(50 * time.Millisecond)
		}
		store.SetFaults(simulator.StoreFaults{})
		time.Sleep(1200 * time.Millisecond)
		if r, took := submit(20); r != nil || took > 100*time.Millisecond {
			t.Errorf("after the outage: %v after %v", r, took)
		}
		page, err := store.Client("check").Newest(t.Context(), TopicInbox, 0, "")
		if err != nil {
			t.Fatal(err)
		}
		for _, rec := range page.Records {
			if e, _, err := Decode(rec); err != nil || refused[e.Submission.Job.ID] {
				t.Errorf("stored %s, which was refused as not run (%v)", rec.Key, err)
			}
		}
	})
}

// TestOnlyHostsThatAreCutOffAreIsolated checks which hosts send their callers to others.
func TestOnlyHostsThatAreCutOffAreIsolated(t *testing.T) {
	for name, tt := range map[string]struct {
		storeDown, holderSilent, everHeard bool
		want                               bool
	}{
		"all is well":                  {false, false, true, false},
		"store answers nobody":         {true, false, true, false},
		"holder is gone":               {false, true, true, false},
		"cut off":                      {true, true, true, true},
		"never in touch with a holder": {true, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := simulator.NewStore(1, 1)
				s := newService(t, store.Client("front"))
				if tt.everHeard {
					s.ObserveOutlook(0, admitter.Outlook{})
				}
				store.SetFaults(simulator.StoreFaults{Down: tt.storeDown})
				for range 8 {
					if s.Isolated(); !tt.holderSilent {
						s.ObserveOutlook(0, admitter.Outlook{})
					}
					time.Sleep(400 * time.Millisecond)
				}
				if got := s.Isolated(); got != tt.want {
					t.Errorf("isolated: %v, want %v", got, tt.want)
				}
				store.SetFaults(simulator.StoreFaults{})
				time.Sleep(1200 * time.Millisecond)
				if s.Isolated() {
					t.Error("isolated although the store answers")
				}
			})
		})
	}
}

// TestRefusedJobsAreNotStored checks that a job without a chance to be in time is refused and not stored,
// and that one which an earlier request has stored is not refused.
func TestRefusedJobsAreNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		s := newService(t, store.Client("front"))
		known := knownJobs{job(1).ID: true}
		s.localHolder = func(identifier.Cell) (Holder, bool) { return known, true }
		s.ObserveOwnOutlook(0, admitter.Outlook{Services: []admitter.Service{{Name: "reports", Processors: 1000, Work: map[int]admitter.CoreTime{0: 1 << 50}}}})
		for n, want := range map[int]refuser.Code{1: "", 2: refuser.CodeOverloaded} {
			err := s.Submit(t.Context(), Submission{Job: job(n), Queue: connector.QueueConfig{Service: "reports", Allowance: identifier.Duration(time.Second)}})
			var r *refuser.Refusal
			if errors.As(err, &r) != (want != "") || r != nil && (r.Code != want || r.Effect != refuser.NotRun || r.RetryAfterMillis == 0) {
				t.Errorf("job %d: %v, want code %q", n, err, want)
			}
		}
		page, err := store.Client("check").Newest(t.Context(), TopicInbox, 0, "")
		if err != nil || len(page.Records) != 1 {
			t.Errorf("%d records stored (%v), want that of the known job", len(page.Records), err)
		}
	})
}

// knownJobs is a holder that knows some jobs.
type knownJobs map[identifier.Job]bool

func (k knownJobs) State(_ context.Context, id identifier.Job) (state string, known bool, err error) {
	return "queued", k[id], nil
}

func (knownJobs) Waiting(identifier.Queue) (int, error) { return 0, nil }

func (knownJobs) Report(context.Context, identifier.Job) (r submitter.Report, known bool, err error) {
	return r, false, nil
}

func (knownJobs) Explain(context.Context, identifier.Job) (e submitter.Explanation, known bool, err error) {
	return e, false, nil
}

func (knownJobs) Teams() ([]submitter.TeamUsage, error) { return nil, nil }

func (knownJobs) Preview(submitter.Job, connector.QueueConfig) (submitter.Preview, error) {
	return submitter.Preview{}, nil
}

func (knownJobs) List(submitter.Selection) (submitter.Reports, error) {
	return submitter.Reports{}, nil
}

// turnStore takes appends in turn, each of which takes a while.
type turnStore struct {
	connector.Store
	took time.Duration
	mu   sync.Mutex
	n    int
}

func (s *turnStore) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	time.Sleep(s.took)
	return s.Store.Append(ctx, a)
}

// TestAppendsAtTheHolderWaitForTheOneBefore guards against appends that a host gives up while the holder's append
// before them is still in line at the store: the host appended again by itself, behind them, and the end of
// the call closed the connection for all others.
func TestAppendsAtTheHolderWaitForTheOneBefore(t *testing.T) {
	// The store lets an append wait for up to 2 s.
	store := &turnStore{Store: simulator.NewStore(1, 1).Client("holder"), took: 1600 * time.Millisecond}
	holder := serveHolder(t, store, 0)
	var wg sync.WaitGroup
	for n := range 2 {
		s := newService(t, store)
		s.locator.holders[0] = holder
		s.couriers[0].slowUntil = time.Now().Add(time.Minute)
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			if err := s.Submit(ctx, Submission{Job: job(n)}); err != nil {
				t.Errorf("submission %d: %v", n, err)
			}
		})
	}
	wg.Wait()
	if store.n != 2 {
		t.Errorf("%d appends for 2 submissions, want 2", store.n)
	}
}
