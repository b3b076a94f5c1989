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

// ownersStore answers who holds the cells, after a usual time.
type ownersStore struct{ connector.Store }

// Owners implements connector.Store.
func (ownersStore) Owners(context.Context, string) ([]connector.Ownership, error) {
	time.Sleep(10 * time.Millisecond)
	return nil, nil
}

// TestManyCallersShareALookUp checks that callers who look the holder up at the same time
// do not wait for each other: after a change of the holder all of them ask again.
func TestManyCallersShareALookUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLocator(ownersStore{}, "self", 1, zap.NewNop())
		began := time.Now()
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() { l.Refresh(t.Context()) })
		}
		wg.Wait()
		if took := time.Since(began); took > 2*refreshPause {
			t.Fatalf("100 look-ups at the same time took %v, want at most %v", took, 2*refreshPause)
		}
	})
}
