package relayer_test

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/relayer"
	"github.com/balsamcove/balsamcove/internal/simulator"
)

// silentPeer accepts connections until the test ends and answers nothing. It returns its address.
func silentPeer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// TestSilentPeersDoNotHoldUpReads guards against a change of the configuration that is not in force
// within 2 s, because the host asks peers that are suspended while the store answers it again.
func TestSilentPeersDoNotHoldUpReads(t *testing.T) {
	const readWait, configApply = 800 * time.Millisecond, 2 * time.Second
	tests := map[string]func(t *testing.T, store *simulator.Store) []string{
		"both silent": func(t *testing.T, _ *simulator.Store) []string { return []string{silentPeer(t), silentPeer(t)} },
		"one silent": func(t *testing.T, store *simulator.Store) []string {
			return []string{silentPeer(t), servePeer(t, store, "p")}
		},
		"none silent": func(t *testing.T, store *simulator.Store) []string {
			return []string{servePeer(t, store, "p"), servePeer(t, store, "q")}
		},
	}
	for name, peers := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := simulator.NewStore(1, 1)
			s := relayer.New(store.Client("self"), zap.NewNop())
			defer s.Close()
			store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"self": true}})
			// A refused call makes the peers come first.
			if _, err := s.Owners(t.Context(), "g"); err == nil {
				t.Fatal("the store serves this host")
			}
			addresses := peers(t, store)
			s.SetPeers(func() []string { return append([]string(nil), addresses...) })
			store.SetFaults(simulator.StoreFaults{})
			writer := store.Client("operator")
			start := time.Now()
			go func() {
				time.Sleep(readWait / 2)
				_, _ = writer.Append(t.Context(), connector.KeyedAppend{Topic: "op", Records: []connector.KeyedRecord{{Key: "config", Value: []byte("v")}}})
			}()
			r, err := s.Read(t.Context(), "op", 0, 0, readWait)
			if took := time.Since(start); err != nil || len(r.Records) != 1 || took > readWait/2+configApply {
				t.Errorf("%d records, %v after %v, want one within %v", len(r.Records), err, took, readWait/2+configApply)
			}
		})
	}
}
