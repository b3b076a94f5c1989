package planner

import (
	"maps"
	"slices"
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
	// Keys are the keys of its submissions in the store.
	Keys []string
}

// retirements are the jobs whose stored records are to be deleted: first their submissions, then
// their job records. A holder that finds a submission without a job record takes it for a new job.
type retirements struct {
	searchedAt time.Time
	// submissions are the jobs whose submissions are to be deleted next.
	submissions deletions[Retired]
	// records are the jobs whose submissions are deleted.
	records []identifier.Job
	// forgotten are the jobs whose submissions are being deleted, and until when those that were deleted
	// may still have one in the inbox.
	forgotten map[identifier.Job]time.Time
}

// retire drops the jobs that ended longer ago than the retention, and has their records deleted.
func (p *Planner) retire() {
	p.deleteSubmissions()
	if p.now.Sub(p.retirements.searchedAt) < retirePeriod {
		return
	}
	p.retirements.searchedAt = p.now
	maps.DeleteFunc(p.retirements.forgotten, func(_ identifier.Job, until time.Time) bool {
		return !until.IsZero() && p.now.After(until)
	})
	p.dropFinishedOccurrences()
	if p.settings.Retention <= 0 {
		return
	}
	for id, j := range p.jobs {
		if !j.state.Ended() || j.runCount > 0 || j.visibleState != j.state || p.now.Sub(j.endedAt) < p.settings.Retention+retentionMargin {
			continue
		}
		delete(p.jobs, id)
		delete(p.cancelled, id)
		delete(p.dirtyJobs, j)
		delete(p.round.jobs, j)
		p.deleteJob(Retired{id, append(slices.Collect(maps.Keys(j.otherKeys)), j.key)})
	}
	p.dropUnusedCancellations()
	p.deleteSubmissions()
}

// dropUnusedCancellations drops and deletes the cancellations of jobs that are not known, once they are older
// than ended jobs are kept: their job was forgotten, or none was submitted. The time counts from when a
// cancellation was accepted, so that it does not begin anew with each holder; but by a clock that was ahead,
// only from when this holder read it.
func (p *Planner) dropUnusedCancellations() {
	keep := p.settings.Retention + retentionMargin
	for id, c := range p.cancelled {
		accepted := c.At.Time()
		if c.At <= 0 {
			accepted = p.wallClock()
		}
		if _, known := p.jobs[id]; known || p.now.Sub(c.readAt) < keep && p.wallClock().Sub(accepted) < keep {
			continue
		}
		delete(p.cancelled, id)
		p.discards.add(Discard{Key: c.Key})
	}
}

// deleteJob has the submissions of a job deleted, and then its record.
func (p *Planner) deleteJob(r Retired) {
	p.retirements.submissions.add(r)
	p.retirements.forget(r.ID, time.Time{})
}

// deleteSubmissions has the next submissions deleted, unless a deletion is in flight or a failed one
// is not to be repeated yet.
func (p *Planner) deleteSubmissions() {
	if jobs := p.retirements.submissions.take(p.now); len(jobs) > 0 {
		p.emit(DeleteSubmissions{Jobs: jobs})
	}
}

// submissionsDeleted has the job records of deleted submissions deleted with the next batch, or the
// deletion repeated if it failed.
func (p *Planner) submissionsDeleted(e SubmissionsDeleted) {
	r := &p.retirements
	r.submissions.answered(p.now, e.Jobs, e.Err)
	if e.Err != nil {
		return
	}
	for _, j := range e.Jobs {
		r.records = append(r.records, j.ID)
		r.forget(j.ID, p.now.Add(lateRecordPeriod))
	}
}

// takeRecords returns the jobs whose records the next batch deletes.
func (r *retirements) takeRecords() []identifier.Job {
	n := min(len(r.records), maxDeletions)
	taken := r.records[:n:n]
	r.records = r.records[n:]
	return taken
}
