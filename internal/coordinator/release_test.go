package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/internal/encoder"
)

// TestRenewalsDoNotFollowTheRelease guards against a renewal of the cell lease that is under way when a host
// stops and reaches the log after the host has given the lease up: the next holder would wait for the lease to
// run out.
func TestRenewalsDoNotFollowTheRelease(t *testing.T) {
	for offset := range 40 {
		stopAfter := time.Duration(offset) * 20 * time.Millisecond
		t.Run(stopAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1)
				h := c.start("a1", "a")
				time.Sleep(3 * time.Second)
				c.log.SetFaults(emulator.LogFaults{DelayMs: 300})
				time.Sleep(2*time.Second + stopAfter)
				h.cancel()
				<-h.done
				c.log.SetFaults(emulator.LogFaults{})
				time.Sleep(2 * time.Second)
				stream := h.cell.name
				records, _, err := c.log.Read(t.Context(), stream, 0)
				if err != nil || len(records) == 0 {
					t.Fatalf("%d records, %v", len(records), err)
				}
				last, err := encoder.Decode(records[len(records)-1].Data)
				if err != nil || len(last) == 0 {
					t.Fatalf("%d records, %v", len(last), err)
				}
				if lease, ok := last[len(last)-1].Body.(encoder.Lease); !ok || !lease.Released {
					t.Errorf("the last record is %+v, want a release of the lease", last[len(last)-1].Body)
				}
			})
		})
	}
}
