package messenger

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestPeersThatDoNotReadAreDisconnected guards against a peer that blocks its senders, or whoever closes its
// connection, since it does not read. One that reads slowly gets the whole message.
func TestPeersThatDoNotReadAreDisconnected(t *testing.T) {
	const size = 10 * writeChunkBytes
	tests := map[string]struct {
		// pause is between two reads of a chunk; zero means that the peer does not read.
		pause, closeAfter time.Duration
		wantError         bool
		within            time.Duration
	}{
		"does not read":     {wantError: true, within: writeStallTimeout},
		"closed meanwhile":  {closeAfter: time.Second, wantError: true, within: time.Second + closeTimeout},
		"reads slowly":      {pause: writeStallTimeout / 2, within: 11 * writeStallTimeout},
		"reads too slowly":  {pause: 2 * writeStallTimeout, wantError: true, within: 3 * writeStallTimeout},
		"closed and slowly": {pause: writeStallTimeout / 2, closeAfter: writeStallTimeout, wantError: true, within: writeStallTimeout + closeTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				peer := newPeer(t.Context(), near, func(context.Context, Method, json.RawMessage) (any, error) { return nil, nil }, nil)
				defer func() { _ = far.Close() }()
				if tt.pause > 0 {
					go func() {
						buffer := make([]byte, writeChunkBytes)
						for {
							time.Sleep(tt.pause)
							if _, err := far.Read(buffer); err != nil {
								return
							}
						}
					}()
				}
				began := time.Now()
				if tt.closeAfter > 0 {
					time.AfterFunc(tt.closeAfter, peer.Close)
				}
				err := peer.SendBatch(MethodOrders, make([]byte, size))
				if took := time.Since(began); (err != nil) != tt.wantError || took > tt.within {
					t.Errorf("error %v after %v, want an error: %v, within %v", err, took, tt.wantError, tt.within)
				}
				peer.Close()
				time.Sleep(tt.pause + time.Millisecond)
			})
		})
	}
}
