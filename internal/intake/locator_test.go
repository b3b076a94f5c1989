package intake

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// ownersStore is a store whose Owners call takes 10 ms.
type ownersStore struct{ connector.Store }

// Owners implements connector.Store.
func (ownersStore) Owners(context.Context, string) ([]connector.Ownership, error) {
	time.Sleep(10 * time.Millisecond)
	return nil, nil
}

// TestConcurrentRefreshesShareLookups checks that concurrent refreshes do not wait for one lookup
// each, since all callers refresh at once after the holder of a cell has changed.
func TestConcurrentRefreshesShareLookups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLocator(ownersStore{}, "self", 1, zap.NewNop())
		began := time.Now()
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() { l.Refresh(t.Context()) })
		}
		wg.Wait()
		if took := time.Since(began); took > 2*minRefreshInterval {
			t.Fatalf("100 concurrent refreshes took %v, want at most %v", took, 2*minRefreshInterval)
		}
	})
}
