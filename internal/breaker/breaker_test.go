package breaker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// TestConfirmDoesNotWaitForAnEndedRun guards against requests that hang while their host stops, since
// nobody probes the dependency any more.
func TestConfirmDoesNotWaitForAnEndedRun(t *testing.T) {
	tests := map[string]struct {
		err  error
		want bool
	}{
		"answers":         {nil, true},
		"does not answer": {errors.New("no answer"), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New("store", func(context.Context) error { return tt.err }, zap.NewNop())
				ctx, stop := context.WithCancel(t.Context())
				go func() { _ = b.Run(ctx) }()
				if got := b.Confirm(t.Context()); got != tt.want {
					t.Errorf("confirmed %v while it runs, want %v", got, tt.want)
				}
				stop()
				synctest.Wait()
				began := time.Now()
				limit, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				if got := b.Confirm(limit); got != tt.want {
					t.Errorf("confirmed %v after it has ended, want %v", got, tt.want)
				}
				if took := time.Since(began); took > 0 {
					t.Errorf("it took %v", took)
				}
			})
		})
	}
}
