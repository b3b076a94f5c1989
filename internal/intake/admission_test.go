package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// pressedHolder is a holder that accepts nothing new of a queue.
type pressedHolder struct {
	Holder
	store connector.Store
	// err is why it does not say whether a job is known.
	err error
}

func (h pressedHolder) Admission() admitter.Admission {
	return admitter.Admission{"plans": {RetryAfter: identifier.Duration(2 * time.Second)}}
}

// Known looks into the inbox, as the holder does.
func (h pressedHolder) Known(ctx context.Context, id identifier.Job) (bool, error) {
	if h.err != nil {
		return false, h.err
	}
	records, _, err := connector.NewestAll(ctx, h.store, TopicInbox, 0)
	for _, r := range records {
		if e, ok, _ := Decode(r); ok && e.Submission != nil && e.Submission.Job.ID == id {
			return true, nil
		}
	}
	return false, err
}

func pressedService(store *simulator.Store, h pressedHolder) *Service {
	h.store = store.Client("holder")
	front := store.Client("front")
	return New(front, messenger.NewClient(), NewLocator(front, "self", 1, zap.NewNop()), 1,
		func(identifier.Cell) (Holder, bool) { return h, true }, zap.NewNop())
}

// stored reports whether a job is in the inbox.
func stored(t *testing.T, store *simulator.Store, id identifier.Job) bool {
	t.Helper()
	known, err := pressedHolder{store: store.Client("other")}.Known(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	return known
}

// TestJobsThatCannotBeServedAreRefusedAtOnce checks which jobs are refused under pressure,
// and that one which is refused as not run is not stored.
func TestJobsThatCannotBeServedAreRefusedAtOnce(t *testing.T) {
	lasting, repeated, other := job(1), job(1), job(1)
	lasting.Steps = []submitter.Step{{Count: 1, LongRunning: true}}
	repeated.Schedule = &submitter.Schedule{Period: identifier.Duration(time.Minute), Times: 2}
	other.Queue = "checks"
	tests := map[string]struct {
		job     submitter.Job
		err     error
		refused bool
	}{
		"a new job":                                {job(1), nil, true},
		"a job that lasts":                         {lasting, nil, false},
		"a job that is repeated":                   {repeated, nil, false},
		"a job of a queue that is not pressed":     {other, nil, false},
		"a job of which the holder can't be asked": {job(1), errors.New("no answer"), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := simulator.NewStore(1, 1)
				s := pressedService(store, pressedHolder{err: tt.err})
				began := time.Now()
				err := s.Submit(t.Context(), Submission{Job: tt.job})
				var r *refuser.Refusal
				if errors.As(err, &r) != tt.refused || err != nil && r == nil {
					t.Fatalf("refused: %v, want %v", err, tt.refused)
				}
				if got := stored(t, store, tt.job.ID); got == tt.refused {
					t.Errorf("stored: %v, want %v", got, !tt.refused)
				}
				if !tt.refused {
					return
				}
				if r.Code != refuser.CodeOverloaded || r.Effect != refuser.NotRun || r.RetryAfterMillis < 2000 || r.RetryAfterMillis > 6000 {
					t.Errorf("refusal %+v", r)
				}
				if took := time.Since(began); took > 100*time.Millisecond {
					t.Errorf("refused after %v", took)
				}
			})
		})
	}
}

// TestResubmissionOfAcceptedJobIsAccepted checks that a job which an earlier attempt may
// have stored is never refused as not run, whatever that attempt was told.
func TestResubmissionOfAcceptedJobIsAccepted(t *testing.T) {
	tests := map[string]struct {
		faults simulator.StoreFaults
		// elsewhere is set if the second attempt comes to another host.
		elsewhere bool
	}{
		"accepted, then elsewhere":     {simulator.StoreFaults{}, true},
		"answers lost, then elsewhere": {simulator.StoreFaults{LoseAnswers: 1}, true},
		"answers lost, then here":      {simulator.StoreFaults{LoseAnswers: 1}, false},
		"no answer, then here":         {simulator.StoreFaults{Down: true}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := simulator.NewStore(1, 1)
				calm := newService(store.Client("front"))
				store.SetFaults(tt.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				_ = calm.Submit(ctx, Submission{Job: job(1)})
				cancel()
				store.SetFaults(simulator.StoreFaults{})
				pressed := pressedService(store, pressedHolder{})
				if !tt.elsewhere {
					calm.held = pressed.held
					pressed = calm
				}
				if err := pressed.Submit(t.Context(), Submission{Job: job(1)}); err != nil {
					t.Errorf("resubmission: %v", err)
				}
				if err := pressed.Submit(t.Context(), Submission{Job: job(2)}); err == nil {
					t.Error("a new job is accepted")
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestUncertainJobsAreBounded checks that jobs of unknown outcome are remembered for some
// time, and not more than a bound.
func TestUncertainJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u uncertain
		for n := range maxUncertain + 1 {
			u.add(job(n).ID)
		}
		if u.has(job(0).ID) || !u.has(job(1).ID) || !u.has(job(maxUncertain).ID) {
			t.Error("the newest jobs are to be remembered")
		}
		if len(u.until) != maxUncertain || len(u.order) != maxUncertain {
			t.Errorf("%d and %d jobs are remembered", len(u.until), len(u.order))
		}
		time.Sleep(uncertainFor)
		if u.has(job(1).ID) {
			t.Error("a job is remembered for too long")
		}
	})
}
