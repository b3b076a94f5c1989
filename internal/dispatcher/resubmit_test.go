package dispatcher

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// resubmission changes a stored submission to one that another request with the same job ID stores.
type resubmission func(t *testing.T, s intake.Submission) connector.KeyedRecord

func encodeSubmission(t *testing.T, s intake.Submission) connector.KeyedRecord {
	t.Helper()
	r, err := intake.EncodeSubmission(s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// resubmissions are the ways in which a submission is stored under a second key.
var resubmissions = map[string]resubmission{
	"queue renamed": func(t *testing.T, s intake.Submission) connector.KeyedRecord {
		s.Job.Queue, s.Queue.Name = "renamed", "renamed"
		return encodeSubmission(t, s)
	},
	"encoded by another release": func(t *testing.T, s intake.Submission) connector.KeyedRecord {
		r := encodeSubmission(t, s)
		r.Key += "0"
		return r
	},
	"another job": func(t *testing.T, s intake.Submission) connector.KeyedRecord {
		s.Job.Spec = "other"
		return encodeSubmission(t, s)
	},
}

// resubmitOrder is when the second records are stored; jobs are stored by first and repeated by again.
type resubmitOrder func(t *testing.T, c *testCell, first, again func())

func (c *testCell) finishJobs(t *testing.T) {
	t.Helper()
	if left := c.waitForJobs(10 * time.Second); len(left) > 0 {
		t.Fatalf("jobs not done: %v", left)
	}
}

var resubmitOrders = map[string]resubmitOrder{
	"after the end": func(t *testing.T, c *testCell, first, again func()) {
		first()
		c.finishJobs(t)
		again()
	},
	"while the tasks run": func(_ *testing.T, _ *testCell, first, again func()) {
		first()
		time.Sleep(100 * time.Millisecond)
		again()
	},
	"at the same moment": func(_ *testing.T, _ *testCell, first, again func()) {
		first()
		again()
	},
	"before a holder reads the inbox": func(_ *testing.T, c *testCell, first, again func()) {
		c.holder.Load().kill()
		first()
		again()
		c.takeOver()
	},
	"and the first again, then the holder is killed": func(_ *testing.T, c *testCell, first, again func()) {
		first()
		time.Sleep(100 * time.Millisecond)
		again()
		first()
		c.holder.Load().kill()
		c.takeOver()
	},
	"while the store refuses deletions": func(t *testing.T, c *testCell, first, again func()) {
		c.interceptDeletions(func(topic connector.Topic, do func() (identifier.Offset, error)) (identifier.Offset, error) {
			if topic == intake.TopicInbox {
				return 0, errDeletionRefused
			}
			return do()
		})
		first()
		again()
		c.finishJobs(t)
		c.holder.Load().kill()
		c.interceptDeletions(func(_ connector.Topic, do func() (identifier.Offset, error)) (identifier.Offset, error) { return do() })
		c.takeOver()
	},
	"again and again": func(t *testing.T, c *testCell, first, again func()) {
		first()
		for range 40 {
			again()
			time.Sleep(time.Millisecond)
		}
		c.finishJobs(t)
	},
	"as the job is forgotten": func(t *testing.T, c *testCell, first, again func()) {
		first()
		c.finishJobs(t)
		stored := false
		c.interceptDeletions(func(topic connector.Topic, do func() (identifier.Offset, error)) (identifier.Offset, error) {
			if topic == intake.TopicInbox && !stored {
				stored = true
				again()
			}
			return do()
		})
	},
}

// TestRepeatsUnderOtherKeysDoNotRunAgain guards against jobs that run again once they were forgotten, since
// a second request with their ID was stored under another key: its queue had another name, another release
// encoded it, or it was another job.
func TestRepeatsUnderOtherKeysDoNotRunAgain(t *testing.T) {
	for name, resubmit := range resubmissions {
		for order, store := range resubmitOrders {
			t.Run(name+" "+order, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runResubmitTrial(t, resubmit, store) })
			})
		}
	}
}

// runResubmitTrial stores jobs twice, and checks that they run once while two more holders follow, and that
// no record of them is left.
func runResubmitTrial(t *testing.T, resubmit resubmission, store resubmitOrder) {
	const jobs, tasks = 5, 2
	c := newTestCell(t, 1)
	defer c.close()
	c.retention = retireRetention
	c.fleet = simulator.NewFleet(1, func(connector.RunID) (time.Duration, bool) { return 300 * time.Millisecond, false }, c.taskSize)
	c.addWorkers(testWorkers)
	var submissions []intake.Submission
	for n := range jobs {
		job := submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
			{Count: tasks, Size: identifier.Size{Processors: 1000, Memory: 1000}},
		}}
		c.jobs[job.ID] = job
		submissions = append(submissions, intake.Submission{Job: job, Queue: testConfig})
	}
	c.takeOver()
	time.Sleep(time.Second)
	store(t, c, func() {
		for _, s := range submissions {
			c.appendInbox(encodeSubmission(t, s))
		}
	}, func() {
		for _, s := range submissions {
			c.appendInbox(resubmit(t, s))
		}
	})
	time.Sleep(deletedWithin)
	for range 2 {
		c.holder.Load().stop()
		c.takeOver()
		time.Sleep(deletedWithin)
	}
	if n := c.fleet.Starts(); n != jobs*tasks {
		t.Errorf("%d runs started, want %d", n, jobs*tasks)
	}
	for _, b := range c.fleet.Breaches() {
		t.Error(b)
	}
	c.checkNoRecords(t)
}

// TestFirstJobOfAnIDIsKept guards against tasks of a job that continue as those of another one: after a
// takeover the holder finds two jobs with one ID, and the first one was stored again after the second.
func TestFirstJobOfAnIDIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 1)
		defer c.close()
		c.fleet = simulator.NewFleet(1, func(connector.RunID) (time.Duration, bool) { return 30 * time.Second, false }, c.taskSize)
		c.addWorkers(testWorkers)
		job := submitter.Job{ID: jobID(1), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
			{Count: 2, Size: identifier.Size{Processors: 1000, Memory: 1000}},
		}}
		other := job
		other.Steps = []submitter.Step{{Count: 4, Size: identifier.Size{Processors: 1000, Memory: 1000}}}
		c.jobs[job.ID] = job
		c.takeOver()
		time.Sleep(time.Second)
		c.submit(job)
		time.Sleep(2 * time.Second)
		c.holder.Load().kill()
		c.submit(other)
		c.submit(job)
		c.takeOver()
		time.Sleep(10 * time.Second)
		report, known, err := c.holder.Load().term.Load().Report(t.Context(), job.ID)
		if err != nil || !known || report.Steps[0].Tasks != job.Tasks() || report.State != string(planner.StateRunning) {
			t.Errorf("report %+v, %v, %v; want the first job running", report, known, err)
		}
		if n := c.fleet.Starts(); n != job.Tasks() {
			t.Errorf("%d runs started, want %d", n, job.Tasks())
		}
	})
}
