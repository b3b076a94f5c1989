package dispatcher

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// onDeleteFunc is called in place of an append that deletes records of a topic; do carries it out.
type onDeleteFunc func(topic connector.Topic, do func() (identifier.Offset, error)) (identifier.Offset, error)

// interceptDeletions sets the function that is called for each append that deletes records.
func (c *testCell) interceptDeletions(f onDeleteFunc) {
	isDeletion := func(r connector.KeyedRecord) bool { return len(r.Value) == 0 }
	c.interceptAppends(func(_ *testHolder, a connector.KeyedAppend, do func() (identifier.Offset, error)) (identifier.Offset, error) {
		if !slices.ContainsFunc(a.Records, isDeletion) {
			return do()
		}
		return f(a.Topic, do)
	})
}

const (
	// retireRetention is how long the holders of these tests remember ended jobs.
	retireRetention = 5 * time.Second
	// deletedWithin is the time within which a holder without faults deletes the records of jobs
	// that have ended.
	deletedWithin = retireRetention + 20*time.Second
	// deletionOutage is how long deletions are refused.
	deletionOutage = 4500 * time.Millisecond
)

var errDeletionRefused = errors.Mark(errors.New("deletion turned away"), connector.ErrBusy)

// killOnDeletion returns a fault that kills the holder once it has deleted records of a topic.
func killOnDeletion(topic connector.Topic) fault {
	return func(c *testCell) {
		var killed atomic.Bool
		c.interceptDeletions(func(got connector.Topic, do func() (identifier.Offset, error)) (identifier.Offset, error) {
			end, err := do()
			if got == topic && !killed.Swap(true) {
				c.holder.Load().kill()
			}
			return end, err
		})
		time.Sleep(deletedWithin)
	}
}

// refuseDeletions returns a fault that refuses deletions in a topic for a while from the first one
// on, and then stops the holder.
func refuseDeletions(topic connector.Topic) fault {
	return func(c *testCell) {
		var first atomic.Pointer[time.Time]
		c.interceptDeletions(func(got connector.Topic, do func() (identifier.Offset, error)) (identifier.Offset, error) {
			now := time.Now()
			if got == topic {
				first.CompareAndSwap(nil, &now)
				if now.Sub(*first.Load()) < deletionOutage {
					return 0, errDeletionRefused
				}
			}
			return do()
		})
		time.Sleep(deletedWithin)
		c.holder.Load().stop()
	}
}

// loseDeletionAnswers makes the first deletions in the inbox take effect without an answer, and
// kills the holder.
func loseDeletionAnswers(c *testCell) {
	const answersLost = 3
	var lost atomic.Int64
	c.interceptDeletions(func(topic connector.Topic, do func() (identifier.Offset, error)) (identifier.Offset, error) {
		end, err := do()
		if topic == intake.TopicInbox && lost.Add(1) <= answersLost {
			return 0, errors.Mark(errors.New("answer lost"), connector.ErrUnknown)
		}
		return end, err
	})
	time.Sleep(deletedWithin)
	c.holder.Load().kill()
}

// refuseDeletionsAndExpireHistory refuses deletions in the inbox until the holder had to read the
// newest records of the inbox again, in the same term.
func refuseDeletionsAndExpireHistory(c *testCell) {
	var refused atomic.Bool
	refused.Store(true)
	c.interceptDeletions(func(topic connector.Topic, do func() (identifier.Offset, error)) (identifier.Offset, error) {
		if topic == intake.TopicInbox && refused.Load() {
			return 0, errDeletionRefused
		}
		return do()
	})
	time.Sleep(deletedWithin)
	c.store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{c.holder.Load().name: true}})
	time.Sleep(time.Second)
	// The cancellation of an unknown job adds a record that the holder has not read.
	c.cancel(jobID(1000))
	c.store.ExpireHistory(intake.TopicInbox)
	c.store.SetFaults(simulator.StoreFaults{})
	time.Sleep(5 * time.Second)
	refused.Store(false)
	time.Sleep(deletedWithin)
	c.holder.Load().stop()
}

// TestCompletedJobsDoNotRunAgain guards against completed jobs that run again from the beginning.
// The appends that delete the records of a job may be refused, or the holder may end between them;
// no holder may then find a submission without the record of its job.
func TestCompletedJobsDoNotRunAgain(t *testing.T) {
	tests := map[string]fault{
		"inbox refuses deletions":                  refuseDeletions(intake.TopicInbox),
		"work refuses deletions":                   refuseDeletions(TopicWork),
		"holder killed after deletion in inbox":    killOnDeletion(intake.TopicInbox),
		"holder killed after deletion in work":     killOnDeletion(TopicWork),
		"answers to deletions in inbox are lost":   loseDeletionAnswers,
		"inbox refuses deletions, history expires": refuseDeletionsAndExpireHistory,
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRetireTrial(t, disturb) })
		})
	}
}

// runRetireTrial completes some jobs, injects the fault while their records are deleted, and checks
// that two more holders neither start a task of them nor leave a record behind.
func runRetireTrial(t *testing.T, disturb fault) {
	const jobs = 10
	c := newTestCell(t, 1)
	defer c.close()
	c.retention = retireRetention
	c.fleet = simulator.NewFleet(1, func(connector.RunID) (time.Duration, bool) { return 300 * time.Millisecond, false }, c.taskSize)
	c.addWorkers(testWorkers)
	c.takeOver()
	for n := range jobs {
		c.jobs[jobID(n)] = submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
			{Count: 2, Size: identifier.Size{Processors: 1000, Memory: 1000}},
		}}
		c.submit(c.jobs[jobID(n)])
	}
	if left := c.waitForJobs(5 * time.Second); len(left) > 0 {
		t.Fatalf("jobs not done: %v", left)
	}
	starts := c.fleet.Starts()
	disturb(c)
	for range 2 {
		c.takeOver()
		time.Sleep(deletedWithin)
		c.holder.Load().stop()
	}
	if n := c.fleet.Starts() - starts; n > 0 {
		t.Errorf("%d runs started after all jobs were completed", n)
	}
	for _, b := range c.fleet.Breaches() {
		t.Error(b)
	}
	c.checkNoRecords(t)
}

// checkNoRecords checks that the store has no record of the cell's jobs.
func (c *testCell) checkNoRecords(t *testing.T) {
	t.Helper()
	for _, topic := range []connector.Topic{intake.TopicInbox, TopicWork} {
		records, _, err := connector.NewestAll(t.Context(), c.store.Client("check"), topic, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			for id := range c.jobs {
				if strings.Contains(r.Key, string(id)) {
					t.Errorf("topic %s still has %s", topic, r.Key)
				}
			}
		}
	}
}
