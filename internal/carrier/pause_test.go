package carrier

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/uptimer"
)

// TestSilenceAfterHolderPauseIsDetected checks that excluding a pause of the holder does not
// extend the silence timeout of a host from which it has read a message since.
func TestSilenceAfterHolderPauseIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(nil, 0, zap.NewNop())
		s := newHostSession(messenger.Peer{}, Offer{"h", "a", 100}, uptimer.SinceBoot, p.sendInterval)
		p.sessions[messenger.Peer{}] = s
		const paused = 4 * time.Second
		time.Sleep(paused)
		s.receiveReplies(nil)
		if len(p.silentSessions(paused)) != 0 {
			t.Fatal("host counts as silent right after a message")
		}
		time.Sleep(silenceTimeout + silenceCheckInterval)
		if len(p.silentSessions(silenceCheckInterval)) == 0 {
			t.Fatalf("host does not count as silent %v after its last message", silenceTimeout+silenceCheckInterval)
		}
	})
}
