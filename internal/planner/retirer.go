package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// retirePeriod is the time between two searches for jobs to forget.
	retirePeriod = 5 * time.Second
	// retireSlack is added to the time for which ended jobs are remembered.
	retireSlack = 10 * time.Second
)

// Retired is a job of which nothing is kept any more.
type Retired struct {
	ID identifier.Job
	// Key is that of its submission.
	Key string
}

// retire forgets jobs that ended long ago.
func (p *Planner) retire() {
	if p.settings.Retention <= 0 || p.now.Sub(p.retiredAt) < retirePeriod {
		return
	}
	p.retiredAt = p.now
	for id, j := range p.jobs {
		if !j.state.Ended() || j.runCount > 0 || j.visibleState != j.state || p.now.Sub(j.endedAt) < p.settings.Retention+retireSlack {
			continue
		}
		delete(p.jobs, id)
		delete(p.cancelled, id)
		delete(p.dirtyJobs, j)
		delete(p.round.jobs, j)
		p.retired = append(p.retired, Retired{id, j.key})
	}
}
