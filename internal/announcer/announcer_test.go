package announcer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

func start(ctx context.Context, store *simulator.Store, name identifier.Entry, cores float64) *Announcer {
	a := New(name, Announcement{Address: "at " + string(name), Cores: cores}, store.Client(string(name)), zap.NewNop())
	go func() { _ = a.Run(ctx) }()
	return a
}

// TestHostsLearnOfLargerOnes checks that a host that comes later is known, also after
// the store turned this host away and has forgotten its history, and that malformed announcements
// change nothing.
func TestHostsLearnOfLargerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(time.Minute) }()
		store := simulator.NewStore(1, 1)
		small := start(ctx, store, "small", 0.2)
		if _, known := small.LargestCores(); known {
			t.Error("sizes are known before the first read")
		}
		time.Sleep(time.Second)
		if largest, known := small.LargestCores(); largest != 0.2 || !known {
			t.Fatalf("largest %v, known %v, want this host's own", largest, known)
		}
		store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"small": true}})
		time.Sleep(newsWait + time.Second)
		large := start(ctx, store, "large", 0.8)
		time.Sleep(20 * time.Second)
		store.ExpireHistory(topicHosts)
		store.SetFaults(simulator.StoreFaults{})
		_, err := store.Client("x").Append(ctx, connector.KeyedAppend{Topic: topicHosts, Records: []connector.KeyedRecord{{Key: "bad", Value: []byte("x")}}})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(15 * time.Second)
		for name, a := range map[string]*Announcer{"small": small, "large": large} {
			if largest, known := a.LargestCores(); largest != 0.8 || !known {
				t.Errorf("%s: largest %v, known %v, want 0.8", name, largest, known)
			}
			if got := a.CoresOf("at small"); got != 0.2 {
				t.Errorf("%s: size of the small host %v", name, got)
			}
		}
	})
	if _, err := decode([]byte("x")); !errors.Is(err, ErrRecord) {
		t.Errorf("error %v, want ErrRecord", err)
	}
}
