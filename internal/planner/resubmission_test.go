package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const resubmittedID identifier.Job = "00000000000000aa"

// submission returns a submission of one job under a key.
func submission(key string) JobSubmitted {
	return JobSubmitted{Job: submitter.Job{ID: resubmittedID, Queue: queue, Steps: []submitter.Step{{Count: 1, Size: smallSize}}}, Queue: queueConfig, Key: key}
}

// discarded returns the keys that the last commands delete.
func (b *testbed) discarded() []string {
	var keys []string
	for _, c := range b.commands {
		if d, ok := c.(DiscardRecords); ok {
			for _, r := range d.Records {
				keys = append(keys, r.Key)
			}
		}
	}
	return keys
}

func (b *testbed) checkDiscarded(what string, want ...string) {
	b.t.Helper()
	if got := b.discarded(); len(got) != len(want) || len(want) > 0 && got[0] != want[0] {
		b.t.Fatalf("%s: keys %v are deleted, want %v", what, got, want)
	}
}

// TestFurtherSubmissionsAreDeleted guards against a submission that is deleted before a stored record says that
// another one defines its job: the next holder may take the deleted one for the job, and keeps none.
func TestFurtherSubmissionsAreDeleted(t *testing.T) {
	answer := func(err error) RecordsDiscarded {
		return RecordsDiscarded{Records: []Discard{{Key: "other", Job: resubmittedID}}, Err: err}
	}
	t.Run("once the record is stored", func(t *testing.T) {
		b := newTestbed(t, workerEntry("w"))
		b.update(0, submission("first"))
		b.update(0, submission("other"))
		b.checkDiscarded("before the record is stored")
		b.save()
		b.checkDiscarded("after the record is stored", "other")
		b.update(time.Millisecond, answer(connector.ErrBusy))
		b.checkDiscarded("just after a failure")
		b.update(firstDeletionPause)
		b.checkDiscarded("after a failure", "other")
	})
	t.Run("again if stored again meanwhile", func(t *testing.T) {
		b := newTestbed(t, workerEntry("w"))
		b.update(0, submission("first"), submission("other"))
		b.save()
		b.checkDiscarded("at first", "other")
		b.update(0, submission("other"))
		b.update(0, answer(nil))
		b.checkDiscarded("after another request", "other")
		b.update(0, answer(nil))
		b.checkDiscarded("after the last request")
	})
	t.Run("with the job", func(t *testing.T) {
		b := newTestbed(t, workerEntry("w"))
		b.update(0, submission("first"))
		b.save()
		b.update(0, submission("other"), JobCancelled{ID: resubmittedID})
		b.save()
		b.update(80 * time.Second)
		d, ok := findCommand[DeleteSubmissions](b.commands, func(DeleteSubmissions) bool { return true })
		if !ok || len(d.Jobs) != 1 || len(d.Jobs[0].Keys) != 2 {
			t.Fatalf("deleted %+v, want one job with two keys", d)
		}
		b.update(0, submission("late"))
		b.checkDiscarded("while the job is being deleted")
		b.update(0, SubmissionsDeleted{Jobs: d.Jobs}, answer(nil))
		b.checkDiscarded("once the job is deleted", "late")
		if _, known := b.p.State(resubmittedID); known {
			t.Error("the job is known again")
		}
	})
	for name, rec := range map[string]JobRecord{
		"restored":                          {ID: resubmittedID, State: StateQueued, Submission: hashKey("first")},
		"restored from an earlier release":  {ID: resubmittedID, State: StateQueued},
		"restored, its submission was lost": {ID: resubmittedID, State: StateQueued, Submission: 1},
		"restored after the end of the job": {ID: resubmittedID, State: StateCompleted, Submission: hashKey("first")},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0, submission("first"), submission("other"), JobsRestored{Records: []JobRecord{rec}})
			if recorded := rec.Defines("first"); !recorded {
				b.checkDiscarded("before the record is stored")
				b.save()
			}
			b.checkDiscarded("after the record is stored", "other")
		})
	}
}
