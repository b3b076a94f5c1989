package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestJobsFollowTheirRenamedQueue guards against waiting jobs that are counted for no queue, and run by outdated
// settings, once their queue has another name, also after a takeover.
func TestJobsFollowTheirRenamedQueue(t *testing.T) {
	const address connector.QueueAddress = 5
	config := func(name identifier.Queue, at connector.QueueAddress, service identifier.Service) connector.QueueConfig {
		return connector.QueueConfig{Name: name, Service: service, MaxAttempts: 2, Stretch: 2, Address: at}
	}
	tests := map[string]struct {
		accepted connector.QueueConfig
		queues   []connector.QueueConfig
		// want is the queue for which the job waits, with the service that it runs on.
		want    identifier.Queue
		service identifier.Service
	}{
		"renamed":                     {config(queue, address, "old"), []connector.QueueConfig{config("new", address, "next")}, "new", "next"},
		"names exchanged":             {config(queue, address, "old"), []connector.QueueConfig{config("new", address, "next"), config(queue, 6, "other")}, "new", "next"},
		"at another address":          {config(queue, address, "old"), []connector.QueueConfig{config(queue, 6, "next")}, queue, "next"},
		"removed":                     {config(queue, address, "old"), []connector.QueueConfig{config("new", 6, "next")}, queue, "old"},
		"accepted without an address": {config(queue, 0, "old"), []connector.QueueConfig{config(queue, address, "next"), config("new", 6, "other")}, queue, "next"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			id := identifier.Job("0123456789abcdef")
			submitted := JobSubmitted{Job: submitter.Job{ID: id, Queue: queue, Steps: []submitter.Step{{Count: 1, Size: smallSize}}}, Queue: tt.accepted, ConfigVersion: 1}
			queues := map[identifier.Queue]connector.QueueConfig{}
			for _, q := range tt.queues {
				queues[q.Name] = q
			}
			check := func(when string) {
				t.Helper()
				if n := b.p.UnstartedJobs(tt.want); n != 1 {
					t.Errorf("%s: %d jobs wait in queue %s, want 1", when, n, tt.want)
				}
				if got := b.p.jobs[id].queue.Service; got != tt.service {
					t.Errorf("%s: service %q, want %q", when, got, tt.service)
				}
				if r := b.p.List(submitter.Selection{Queue: tt.want}); len(r.Jobs) != 1 || r.Jobs[0].Queue != tt.want {
					t.Errorf("%s: listed %+v", when, r.Jobs)
				}
			}
			b.dir.Queues = map[identifier.Queue]connector.QueueConfig{queue: tt.accepted}
			b.update(0, submitted)
			b.dir.Queues, b.dir.Version = queues, 2
			b.update(time.Millisecond)
			check("after the change")

			next := newTestbed(t, workerEntry("w"))
			next.dir.Queues, next.dir.Version = queues, 2
			b = next
			b.update(0, submitted, JobsRestored{})
			check("after a takeover")
		})
	}
}
