package carrier

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/uptimer"
)

// TestHostThatDiesAfterAPauseIsNoticed checks that a holder which was paused, read a
// host's beats and then hears nothing lets that host go as soon as any other.
func TestHostThatDiesAfterAPauseIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(nil, 0, zap.NewNop())
		s := newSession(messenger.Peer{}, Offer{"h", "a", 100}, uptimer.SinceBoot, p.gap)
		p.sessions[messenger.Peer{}] = s
		const paused = 4 * time.Second
		time.Sleep(paused)
		s.receive(nil)
		if len(p.silent(paused)) != 0 {
			t.Fatal("host is silent although it was just heard")
		}
		time.Sleep(silence + sweepPeriod)
		if len(p.silent(sweepPeriod)) == 0 {
			t.Fatalf("host is kept %v after its last message", silence+sweepPeriod)
		}
	})
}
