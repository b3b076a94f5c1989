package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const gangJob identifier.Job = "00000000000000aa"

// memberEnd is the end of a gang member as its worker lists it; run is that of the gang.
type memberEnd struct {
	index  int
	run    identifier.Attempt
	reason connector.RunEnd
}

// TestFailuresOfAGangCountByRun guards against a gang that is given up after fewer runs than MaxAttempts,
// or never: several members may fail in one run, and different ones in each, with takeovers in between.
func TestFailuresOfAGangCountByRun(t *testing.T) {
	const failed, broken = connector.EndFailed, connector.EndGangBroken
	tests := map[string]struct {
		ends []memberEnd
		// takeovers are the numbers of ends before which another holder takes over.
		takeovers []int
		want      JobState
	}{
		"all members, one run":           {ends: []memberEnd{{0, 1, failed}, {1, 1, failed}, {2, 1, failed}}, want: StateRunning},
		"takeover between members":       {ends: []memberEnd{{0, 1, failed}, {1, 1, failed}, {2, 1, broken}}, takeovers: []int{1}, want: StateRunning},
		"takeover after a run":           {ends: []memberEnd{{0, 1, failed}, {1, 1, failed}, {2, 1, broken}}, takeovers: []int{3}, want: StateRunning},
		"other members, two runs":        {ends: []memberEnd{{0, 1, failed}, {1, 1, broken}, {2, 1, broken}, {2, 2, failed}}, want: StateFailed},
		"two runs, takeover in between":  {ends: []memberEnd{{0, 1, failed}, {1, 1, broken}, {2, 1, broken}, {2, 2, failed}}, takeovers: []int{3}, want: StateFailed},
		"two runs, two takeovers":        {ends: []memberEnd{{0, 1, failed}, {1, 1, broken}, {2, 1, broken}, {1, 2, failed}}, takeovers: []int{2, 3}, want: StateFailed},
		"broken members are no failures": {ends: []memberEnd{{0, 1, broken}, {1, 1, broken}, {2, 1, broken}, {0, 2, failed}}, want: StateRunning},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			b.submit(gangJob, submitter.Step{Count: 3, Size: smallSize, Gang: true})
			for i, e := range tt.ends {
				if i > 0 && len(tt.takeovers) > 0 && tt.takeovers[0] == i {
					tt.takeovers = tt.takeovers[1:]
					b.replaceHolder()
				}
				b.startAll()
				b.listEnd(connector.EndedRun{
					Number: identifier.EndNumber(i + 1), Reason: e.reason, Run: connector.RunID{Task: identifier.JobTask{Job: gangJob, Index: e.index}, Attempt: e.run},
				})
			}
			b.replaceHolder()
			b.update(0)
			if got := b.p.jobs[gangJob].state; got != tt.want {
				t.Errorf("the gang's job is %s, want %s", got, tt.want)
			}
		})
	}
}

// startAll stores what there is to store until all starts are sent and confirmed.
func (b *testbed) startAll() {
	for range 6 {
		b.update(100 * time.Millisecond)
		b.save()
		for _, s := range b.starts() {
			b.confirmStart(s)
		}
	}
}

// listEnd makes worker w list an end beside all its other runs.
func (b *testbed) listEnd(e connector.EndedRun) {
	answer := connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}, StartedAt: 1, Ended: []connector.EndedRun{e}}
	for id, r := range b.p.workers["w"].runs {
		if id != e.Run && r.phase != runClaimed {
			answer.Active = append(answer.Active, connector.ActiveRun{Run: id})
		}
	}
	w := b.p.workers["w"]
	b.update(time.Millisecond, PollAnswered{Worker: "w", Order: connector.HoldOrder{Epoch: b.p.epochOf(w)}, SentAt: b.now, Answer: answer})
}
