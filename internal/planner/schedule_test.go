package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// newScheduledJob returns a testbed without workers and a scheduled job whose occurrences are due a
// minute apart.
func newScheduledJob(t *testing.T, times int) (*testbed, JobSubmitted) {
	b := newTestbed(t)
	b.p.wallClock = func() time.Time { return b.now }
	s := JobSubmitted{Queue: queueConfig, Job: submitter.Job{
		ID: "00000000000000aa", Queue: queue,
		Steps:    []submitter.Step{{Count: 4, Size: smallSize, Estimate: identifier.Duration(time.Second)}},
		Schedule: &submitter.Schedule{First: identifier.UnixMillis(b.now.Add(time.Minute).UnixMilli()), Period: identifier.Duration(time.Minute), Times: times},
	}}
	b.update(0, s)
	return b, s
}

// TestScheduledJobIsOnTimeWhenDue guards against scheduled jobs that are served last because their
// lateness counts from their submission instead of from when they are due.
func TestScheduledJobIsOnTimeWhenDue(t *testing.T) {
	tests := map[string]func(b *testbed, s JobSubmitted){
		"same holder": func(*testbed, JobSubmitted) {},
		"after a takeover": func(b *testbed, s JobSubmitted) {
			records := []JobRecord{recordOf(b.p.jobs[s.Job.ID])}
			b.p = New(epoch+1, b.now, b.p.settings, WithTimeOfDay(b.p.wallClock))
			b.p.Inform(b.now, s)
			b.p.Inform(b.now, JobsRestored{Records: records})
			b.update(0)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			b, s := newScheduledJob(t, 2)
			b.update(time.Minute)
			change(b, s)
			if j := b.p.jobs[s.Job.ID]; j.readyTasks != 4 || b.p.latenessOf(j) != onTime {
				t.Errorf("lateness %d with %d tasks ready, want the job on time with 4 tasks ready", b.p.latenessOf(j), j.readyTasks)
			}
			b.update(30 * time.Second)
			if j := b.p.jobs[s.Job.ID]; b.p.latenessOf(j) != tooLate {
				t.Errorf("lateness %d half a minute later, want the job too late", b.p.latenessOf(j))
			}
		})
	}
}

// TestFinishedOccurrencesDoNotMakeAJobNearlyDone guards against late scheduled jobs that are served
// before all others because tasks of earlier occurrences count as done.
func TestFinishedOccurrencesDoNotMakeAJobNearlyDone(t *testing.T) {
	b, s := newScheduledJob(t, 4)
	j := b.p.jobs[s.Job.ID]
	for k := range 3 {
		b.update(time.Minute)
		for i := range j.occurrences[k][0].tasks {
			b.p.finishTask(&j.occurrences[k][0].tasks[i])
		}
	}
	b.update(time.Minute)
	if got := j.begunFraction(); got != 0 {
		t.Errorf("%v of the tasks count as begun, want none", got)
	}
}
