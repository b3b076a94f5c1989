package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// silentAdviser answers no question.
type silentAdviser struct{}

func (silentAdviser) Advise(ctx context.Context, _ connector.StepID, _ []identifier.Worker) (connector.Advice, error) {
	<-ctx.Done()
	return connector.Advice{}, ctx.Err()
}

// newTestPool returns a pool for the orders of a term that is not run.
func newTestPool(t *testing.T) *ants.Pool {
	t.Helper()
	pool, err := ants.NewPool(1, ants.WithNonblocking(true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	return pool
}

// TestQuestionsEndWhenCancelled guards against questions that are waited for after the planner has cancelled
// them, or beyond their timeout.
func TestQuestionsEndWhenCancelled(t *testing.T) {
	tests := map[string]struct {
		cancelled planner.AdviceCall
		want      time.Duration
	}{
		"cancelled":         {1, time.Second},
		"another cancelled": {2, time.Minute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				term := NewTerm(0, Settings{}, nil, nil, zap.NewNop(), WithAdviser(silentAdviser{}))
				term.pool = newTestPool(t)
				began := time.Now()
				if err := term.execute(t.Context(), planner.AskAdvice{Call: 1, Timeout: time.Minute}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if err := term.execute(t.Context(), planner.CancelAdvice{Call: tt.cancelled}); err != nil {
					t.Fatal(err)
				}
				<-term.events.ready
				events, _ := term.events.take()
				answer, ok := events[0].(planner.AdviceAnswered)
				if got := time.Since(began); !ok || answer.Call != 1 || answer.Err == nil || got != tt.want {
					t.Errorf("event %+v after %v, want a failed call 1 after %v", events[0], got, tt.want)
				}
			})
		})
	}
}
