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
	// maxDeletions bounds the submissions that one command deletes, and the job records that one
	// batch deletes.
	maxDeletions = 1000
	// firstDeletionPause is the pause after a failed deletion of submissions; it doubles with every
	// failure in a row, up to retirePeriod.
	firstDeletionPause = 250 * time.Millisecond
)

// Retired is a job whose stored records are to be deleted.
type Retired struct {
	ID identifier.Job
	// Key is the key of its submission in the store.
	Key string
}

// retirements are the jobs whose stored records are to be deleted: first their submissions, then
// their job records. A holder that finds a submission without a job record takes it for a new job.
type retirements struct {
	searchedAt time.Time
	// submissions are the jobs whose submissions are to be deleted next.
	submissions []Retired
	// inFlight is set while a DeleteSubmissions command is being carried out. After failures of
	// them in a row, the next one is not sent before notBefore.
	inFlight  bool
	failures  int
	notBefore time.Time
	// records are the jobs whose submissions are deleted.
	records []identifier.Job
}

// retire drops the jobs that ended longer ago than the retention, and has their records deleted.
func (p *Planner) retire() {
	p.deleteSubmissions()
	if p.now.Sub(p.retirements.searchedAt) < retirePeriod {
		return
	}
	p.retirements.searchedAt = p.now
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
		p.retirements.submissions = append(p.retirements.submissions, Retired{id, j.key})
	}
	p.deleteSubmissions()
}

// deleteSubmissions has the next submissions deleted, unless a deletion is in flight or a failed one
// is not to be repeated yet.
func (p *Planner) deleteSubmissions() {
	r := &p.retirements
	if len(r.submissions) == 0 || r.inFlight || p.now.Before(r.notBefore) {
		return
	}
	r.inFlight = true
	n := min(len(r.submissions), maxDeletions)
	p.emit(DeleteSubmissions{Jobs: r.submissions[:n:n]})
	r.submissions = r.submissions[n:]
}

// submissionsDeleted has the job records of deleted submissions deleted with the next batch, or the
// deletion repeated if it failed.
func (p *Planner) submissionsDeleted(e SubmissionsDeleted) {
	r := &p.retirements
	r.inFlight = false
	if e.Err != nil {
		r.submissions = append(r.submissions, e.Jobs...)
		r.notBefore = p.now.Add(min(firstDeletionPause<<min(r.failures, 16), retirePeriod))
		r.failures++
		return
	}
	r.failures = 0
	for _, j := range e.Jobs {
		r.records = append(r.records, j.ID)
	}
}

// takeRecords returns the jobs whose records the next batch deletes.
func (r *retirements) takeRecords() []identifier.Job {
	n := min(len(r.records), maxDeletions)
	taken := r.records[:n:n]
	r.records = r.records[n:]
	return taken
}
