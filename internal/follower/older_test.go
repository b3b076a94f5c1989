package follower

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestPeerBehindTakesNoStateBack guards against a host that goes back to an older configuration: after
// records that it has not read have expired, it takes the state of a host that is further behind.
func TestPeerBehindTakesNoStateBack(t *testing.T) {
	state := func(n byte) []byte { return []byte{n, 0, 0, 0, 0, 0, 0, 0, 0} }
	tests := map[string]struct {
		next uint64
		want byte
	}{"further behind": {3, 5}, "as far": {5, 9}, "ahead": {8, 9}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &counter{}
			f := New(&emulator.Log{}, stream, c, Timing{PollInterval: time.Second, ReadTimeout: time.Second})
			if err := f.LoadState(5, state(5)); err != nil {
				t.Fatal(err)
			}
			if err := f.rewind(connector.Bounds{Earliest: 7, Head: 9}); err != nil {
				t.Fatal(err)
			}
			if err := f.LoadState(identifier.Offset(tt.next), state(9)); err != nil {
				t.Fatal(err)
			}
			if c.n != tt.want {
				t.Errorf("state %d, want %d", c.n, tt.want)
			}
		})
	}
}
