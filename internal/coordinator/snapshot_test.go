package coordinator

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestSnapshotsAreReplacedBeforeTheyAreTooOld checks when a host writes a snapshot, and that chance does not let one
// get older than its limit: its records may be gone from the log then.
func TestSnapshotsAreReplacedBeforeTheyAreTooOld(t *testing.T) {
	policy := SnapshotPolicy{Records: 500, Age: time.Minute}
	tests := map[string]struct {
		records identifier.Offset
		age     time.Duration
		want    int
	}{
		"young":                     {10, 40 * time.Second, 0},
		"many records":              {500, time.Second, snapshotOdds},
		"due":                       {1, policy.Age - snapshotLead, snapshotOdds},
		"about to be too old":       {1, policy.Age - lateSnapshotLead, 1},
		"too old":                   {1, 2 * policy.Age, 1},
		"too old with many records": {500, policy.Age, 1},
		"old, nothing since":        {0, time.Hour, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := policy.odds(tt.records, tt.age); got != tt.want {
				t.Errorf("written at one check in %d, want %d", got, tt.want)
			}
		})
	}
}
