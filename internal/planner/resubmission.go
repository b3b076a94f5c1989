package planner

import (
	"reflect"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// Several submissions with the ID of one job may be in the inbox, under different keys: the key depends on
// how the accepting host encoded the job, and so on its release and on the name that the queue had. The
// first one that a holder reads defines the job. Its key is in the job's record, by which later holders
// know it, and the others are deleted once that record is stored.

// Resubmission is what a submission is whose ID is known under another key.
type Resubmission string

// The kinds of resubmissions.
const (
	// ResubmittedSame has the known job, but for the name of its queue.
	ResubmittedSame Resubmission = "same job"
	// ResubmittedOther has another job, which does not run.
	ResubmittedOther Resubmission = "other job"
	// ResubmittedForgotten has a job whose records are being deleted, which does not run again.
	ResubmittedForgotten Resubmission = "forgotten job"
)

// hashKey returns the hash of a submission's key that the record of its job has.
func hashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Defines reports whether the submission under a key defines the job of a record, as far as the record tells.
func (r JobRecord) Defines(key string) bool { return r.Submission == hashKey(key) }

// resubmitted drops a further submission with the ID of a known job.
func (p *Planner) resubmitted(j *job, e JobSubmitted) {
	if e.Key == j.key {
		return
	}
	if _, known := j.otherKeys[e.Key]; known {
		// It may have been stored after the deletion that is under way.
		j.otherKeys[e.Key] = true
		return
	}
	kind := ResubmittedOther
	if sameJob(j.def, e.Job) {
		kind = ResubmittedSame
	}
	p.log.JobResubmitted(e.Job.ID, e.Job.Queue, e.Key, kind)
	if j.otherKeys == nil {
		j.otherKeys = map[string]bool{}
	}
	j.otherKeys[e.Key] = false
	if j.keyStored {
		p.discards.add(Discard{Key: e.Key, Job: j.def.ID})
		return
	}
	p.markDirty(j)
}

// sameJob reports whether two jobs are the same but for the names of their queues.
func sameJob(a, b submitter.Job) bool {
	a.Queue = b.Queue
	return reflect.DeepEqual(a, b)
}

// submissionStored records that the stored record of a job has the key of its submission. The others with
// its ID may now be deleted: no later holder takes one of them for the job.
func (p *Planner) submissionStored(j *job) {
	if j.keyStored {
		return
	}
	j.keyStored = true
	for key := range j.otherKeys {
		p.discards.add(Discard{Key: key, Job: j.def.ID})
	}
}

// resubmittedForgotten reports whether a submission has the ID of a job whose records are being deleted, and
// has it deleted as well.
func (p *Planner) resubmittedForgotten(e JobSubmitted) bool {
	if _, ok := p.retirements.forgotten[e.Job.ID]; !ok {
		return false
	}
	p.log.JobResubmitted(e.Job.ID, e.Job.Queue, e.Key, ResubmittedForgotten)
	p.discards.add(Discard{Key: e.Key})
	return true
}

// lateRecordPeriod is how long after the deletion of a job's submissions another one may still be in the
// inbox unread. The store may carry an append out seconds after it was sent.
const lateRecordPeriod = 10 * time.Second

// forget remembers that the records of a job are being deleted; until is zero while they are.
func (r *retirements) forget(id identifier.Job, until time.Time) {
	if r.forgotten == nil {
		r.forgotten = map[identifier.Job]time.Time{}
	}
	r.forgotten[id] = until
}
