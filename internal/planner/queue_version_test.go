package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestOlderDirectoryKeepsNewerQueueOfAJob guards against a job that is run by settings of its queue
// which are older than those it was accepted by, such as the former service.
func TestOlderDirectoryKeepsNewerQueueOfAJob(t *testing.T) {
	newer := connector.QueueConfig{Name: queue, Service: "next", MaxAttempts: 2, Stretch: 2}
	tests := map[string]struct {
		accepted, later identifier.ConfigVersion
		want            identifier.Service
	}{
		"accepted by a newer configuration":    {2, 1, "next"},
		"accepted by the same configuration":   {1, 1, service},
		"holder reads a newer one later":       {2, 3, service},
		"accepting host did not say a version": {0, 1, service},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			id := identifier.Job("0123456789abcdef")
			b.update(0, JobSubmitted{
				Job: submitter.Job{ID: id, Queue: queue, Steps: []submitter.Step{{Count: 1, Size: smallSize}}}, Queue: newer, ConfigVersion: tt.accepted,
			})
			b.dir.Version = tt.later
			b.update(time.Millisecond)
			if got := b.p.jobs[id].queue.Service; got != tt.want {
				t.Errorf("service %q, want %q", got, tt.want)
			}
		})
	}
}
