package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// retirePeriod is the time between two searches for jobs to retire.
	retirePeriod = 5 * time.Second
	// retentionMargin is added to Settings.Retention, for which ended jobs are kept.
	retentionMargin = 10 * time.Second
)

// Retired is a job whose stored records are to be deleted.
type Retired struct {
	ID identifier.Job
	// Key is the key of its submission in the store.
	Key string
}

// retire drops the jobs that ended longer ago than the retention.
func (p *Planner) retire() {
	if p.settings.Retention <= 0 || p.now.Sub(p.retiredAt) < retirePeriod {
		return
	}
	p.retiredAt = p.now
	for id, j := range p.jobs {
		if !j.state.Ended() || j.runCount > 0 || j.visibleState != j.state || p.now.Sub(j.endedAt) < p.settings.Retention+retentionMargin {
			continue
		}
		delete(p.jobs, id)
		delete(p.cancelled, id)
		delete(p.dirtyJobs, j)
		delete(p.round.jobs, j)
		p.retired = append(p.retired, Retired{id, j.key})
	}
}
