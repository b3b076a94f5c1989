package soaker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/balsamcove/balsamcove/internal/auditor"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// minPublishPause and maxPublishPause bound the time between two versions of the configuration.
	minPublishPause, maxPublishPause = 300 * time.Millisecond, 2500 * time.Millisecond
	// probeInterval is the pause between two questions to a host for the version in force.
	probeInterval = 400 * time.Millisecond
)

// publishConfigs publishes versions of the configuration until ctx ends, at intervals that depend on
// the seed.
func (r *run) publishConfigs(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 18))
	for ctx.Err() == nil {
		var version identifier.ConfigVersion
		if err := r.admin(ctx, messenger.MethodPublish, struct{}{}, &version); err == nil {
			r.mu.Lock()
			r.history.Publications = append(r.history.Publications, auditor.Publication{Version: version, Acked: time.Now()})
			r.mu.Unlock()
		}
		sleeper.Pause(ctx, minPublishPause+time.Duration(random.Int64N(int64(maxPublishPause-minPublishPause))))
	}
}

// probeConfig asks a host for the version in force until ctx ends, and records the answers.
func (r *run) probeConfig(ctx context.Context, host int) {
	for ; ctx.Err() == nil; sleeper.Pause(ctx, probeInterval) {
		a := auditor.ConfigAnswer{Host: host, Sent: time.Now()}
		report, err := r.clients[host].JobConfig(ctx)
		if err != nil {
			// The host is down, cut off or has no configuration yet.
			continue
		}
		a.Answered, a.Version = time.Now(), report.Version
		r.mu.Lock()
		r.history.ConfigAnswers = append(r.history.ConfigAnswers, a)
		r.mu.Unlock()
	}
}
