package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// queuedStore is a store in which an append waits for those before it.
type queuedStore struct {
	connector.Store
	wait time.Duration
}

func (s queuedStore) Append(ctx context.Context, _ connector.KeyedAppend) (identifier.Offset, error) {
	select {
	case <-time.After(s.wait):
		return 0, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// TestInboxAppendsOutlastTheLineOfTheStore guards against appends to the inbox, to which all hosts append, that
// are given up in line and made again at its end. The store lets an append wait for up to 2 s.
func TestInboxAppendsOutlastTheLineOfTheStore(t *testing.T) {
	tests := map[string]struct {
		command planner.Command
		failed  func(planner.Event) bool
	}{
		"submissions of retired jobs": {planner.DeleteSubmissions{Jobs: []planner.Retired{{ID: "00000000000000aa"}}}, func(e planner.Event) bool {
			return e.(planner.SubmissionsDeleted).Err != nil
		}},
		"grants": {planner.SendGrants{To: 1, Grants: []planner.Grant{{Worker: "w", Base: 1}}}, func(e planner.Event) bool {
			return e.(planner.GrantsSent).Err != nil
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				term := NewTerm(0, Settings{}, queuedStore{wait: 2 * time.Second}, nil, zap.NewNop())
				term.pool = newTestPool(t)
				if err := term.execute(t.Context(), tt.command); err != nil {
					t.Fatal(err)
				}
				<-term.events.ready
				events, _ := term.events.take()
				if tt.failed(events[0]) {
					t.Errorf("event %+v, want a stored change", events[0])
				}
			})
		})
	}
}
