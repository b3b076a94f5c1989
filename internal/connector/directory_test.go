package connector

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestUnreadWorkersReplaceEarlierOnes guards against a term that starts tasks on the few workers that have
// answered right after its takeover: its first directory, whose workers have not been read, makes it wait.
func TestUnreadWorkersReplaceEarlierOnes(t *testing.T) {
	previous := Directory{Version: 2, WorkersReadAt: time.UnixMilli(5), Workers: map[identifier.Worker]WorkerEntry{"w": {}}}
	if got := (Directory{Version: 2}).Newest(previous); !got.WorkersReadAt.IsZero() || len(got.Workers) > 0 {
		t.Errorf("%+v, want no workers", got)
	}
}

// TestOlderDirectoryReplacesNothingNewer guards against a term that goes back to the directory from
// before its takeover.
func TestOlderDirectoryReplacesNothingNewer(t *testing.T) {
	at := func(s int) time.Time { return time.UnixMilli(int64(s) * 1000) }
	dir := func(version, config, workers int) Directory {
		return Directory{
			Version: identifier.ConfigVersion(version), ConfigReadAt: at(config), WorkersReadAt: at(workers),
			Evacuated: map[identifier.DataCentre]bool{identifier.DataCentre(at(config).String()): true},
			Workers:   map[identifier.Worker]WorkerEntry{identifier.Worker(at(workers).String()): {}},
		}
	}
	tests := map[string]struct{ next, previous, want Directory }{
		"newer":                           {dir(2, 5, 5), dir(1, 4, 4), dir(2, 5, 5)},
		"older":                           {dir(1, 4, 4), dir(2, 5, 5), dir(2, 5, 5)},
		"workers older":                   {dir(2, 5, 4), dir(1, 4, 5), dir(2, 5, 5)},
		"configuration older":             {dir(1, 4, 5), dir(2, 5, 4), dir(2, 5, 5)},
		"version older though read later": {dir(1, 6, 5), dir(2, 5, 4), dir(2, 5, 5)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := tt.next.Newest(tt.previous)
			if got.Version != tt.want.Version || !got.ConfigReadAt.Equal(tt.want.ConfigReadAt) || !got.WorkersReadAt.Equal(tt.want.WorkersReadAt) {
				t.Errorf("%+v, want %+v", got, tt.want)
			}
			if !got.Evacuated[identifier.DataCentre(got.ConfigReadAt.String())] || len(got.Workers) != 1 {
				t.Errorf("evacuations %v and workers %v are not those of the times", got.Evacuated, got.Workers)
			}
			if _, ok := got.Workers[identifier.Worker(got.WorkersReadAt.String())]; !ok {
				t.Errorf("workers %v are not those read at %v", got.Workers, got.WorkersReadAt)
			}
		})
	}
}
