package carrier

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/uptimer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestBeatsBringTheHoldersWord checks that a host learns what a holder accepts with the
// answer to its beats, and that the word is no newer than the beat.
func TestBeatsBringTheHoldersWord(t *testing.T) {
	s := newSite(t, 0)
	s.pool.word = func() admitter.Word {
		return admitter.Word{1: {"plans": {Share: 0.25, RetryAfter: identifier.Duration(3 * time.Second)}}}
	}
	type lesson struct {
		word    admitter.Word
		askedAt time.Duration
	}
	lessons := make(chan lesson, 16)
	runner, _ := s.fleet.Client()
	began := uptimer.Now()
	h := NewHost(Offer{Name: "a", DataCentre: "a", Workers: 2}, runner, fixedHolder(s.address), zap.NewNop(),
		WithLearner(func(w admitter.Word, askedAt time.Duration) {
			select {
			case lessons <- lesson{w, askedAt}:
			default:
			}
		}))
	run(t, h.Run)
	before := time.Duration(0)
	for range 2 {
		select {
		case l := <-lessons:
			v := l.word[1]["plans"]
			if v.Share != 0.25 || v.RetryAfter.Std() != 3*time.Second {
				t.Errorf("learned %+v", l.word)
			}
			if l.askedAt < began || l.askedAt > uptimer.Now() || l.askedAt <= before {
				t.Errorf("word of uptime %v, the beat before of %v", l.askedAt, before)
			}
			before = l.askedAt
		case <-time.After(5 * time.Second):
			t.Fatal("nothing was learned")
		}
	}
}
