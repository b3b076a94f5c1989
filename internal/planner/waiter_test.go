package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// logRecorder keeps what the planner logs about runs and waits.
type logRecorder struct {
	noLog
	ended          []Renewal
	withdrawn      []string
	waits          []TaskWait
	scavengerWaits []ScavengerWait
	resumed        []time.Duration
	restarted      []connector.RunID
	overdue        []Overdue
}

func (r *logRecorder) RunEnded(_ connector.RunID, _ identifier.Worker, _ connector.RunEnd, _ time.Duration, renewal Renewal) {
	r.ended = append(r.ended, renewal)
}

func (r *logRecorder) ClaimWithdrawn(_ connector.RunID, _ identifier.Worker, reason string) {
	r.withdrawn = append(r.withdrawn, reason)
}

func (r *logRecorder) TasksWait(w TaskWait) { r.waits = append(r.waits, w) }

func (r *logRecorder) ScavengersWait(w ScavengerWait) { r.scavengerWaits = append(r.scavengerWaits, w) }

func (r *logRecorder) RunOverdue(o Overdue) { r.overdue = append(r.overdue, o) }

func (r *logRecorder) ServiceResumed(_ connector.RunID, _ identifier.Worker, downtime time.Duration) {
	r.resumed = append(r.resumed, downtime)
}

func (r *logRecorder) TaskRestarted(run connector.RunID, _ identifier.Worker, _ renewer.Silence) {
	r.restarted = append(r.restarted, run)
}

var longRunningStep = submitter.Step{Count: 1, Size: smallSize, LongRunning: true}

// TestExpiredRunIsLoggedWithLastRenewal checks that the end of a run is logged with when the
// worker's lease was last renewed and through which host, and that the restart of its task is
// logged with how long it was down.
func TestExpiredRunIsLoggedWithLastRenewal(t *testing.T) {
	log := &logRecorder{}
	b := newTestbed(t, workerEntry("w"))
	b.p.log = log
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	s := b.startOne(longRunningStep)
	b.update(0, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: 1, Via: "front-b"}})
	const silence = 6 * time.Second
	poll, _ := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
	b.update(silence, PollAnswered{Worker: "w", Order: connector.HoldOrder{Epoch: poll.Order.Epoch}, SentAt: b.now, Answer: connector.HoldAnswer{
		OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: connector.WorkerClock(silence)}, StartedAt: 1,
		Ended: []connector.EndedRun{{Number: 1, Run: s.Order.Run, Reason: connector.EndLeaseExpired}},
	}})
	if len(log.ended) != 1 {
		t.Fatalf("%d runs ended, want 1", len(log.ended))
	}
	if r := log.ended[0]; r.Through != "front-b" || r.AnsweredAgo != silence || r.SentAgo < silence {
		t.Fatalf("renewal %+v, want one answered %v ago through front-b", r, silence)
	}
	b.save()
	restarts := b.starts()
	if len(restarts) != 1 {
		t.Fatalf("%d starts, want 1", len(restarts))
	}
	b.update(time.Second, StartAnswered{Worker: "w", Run: restarts[0].Order.Run, Epoch: restarts[0].Order.Epoch, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK}})
	if len(log.resumed) != 1 || log.resumed[0] != time.Second {
		t.Fatalf("logged outages %v, want one of a second", log.resumed)
	}
}

// TestLongWaitsAreLogged checks that the log tells why long-running tasks wait, in a bounded number
// of lines.
func TestLongWaitsAreLogged(t *testing.T) {
	const jobs = 3 * maxWaitLines
	log := &logRecorder{}
	b := newTestbed(t)
	b.p.log = log
	for i := range jobs {
		b.submit(identifier.Job(fmt.Sprintf("%016x", i)), longRunningStep)
	}
	b.update(minLoggedWait)
	if len(log.waits) != maxWaitLines {
		t.Fatalf("%d waits logged, want %d", len(log.waits), maxWaitLines)
	}
	if w := log.waits[0]; w.Waited != minLoggedWait || w.Reason != "service rakes has no worker" {
		t.Fatalf("logged %+v, want a service without workers", w)
	}
	b.p.Update(b.now.Add(time.Minute), Ticked{})
	if w := log.waits[len(log.waits)-1]; w.Reason != "the directory is too old" {
		t.Fatalf("logged %+v, want a stale directory", w)
	}
}

// TestWithdrawnClaimsAreLogged checks that a withdrawn claim is logged with a reason.
func TestWithdrawnClaimsAreLogged(t *testing.T) {
	log := &logRecorder{}
	b := newTestbed(t, workerEntry("w"))
	b.p.log = log
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	b.submit("00000000000000aa", longRunningStep)
	b.dir.Evacuated["a"] = true
	b.save()
	if len(b.starts()) != 0 || len(log.withdrawn) != 1 || log.withdrawn[0] != "such workers are in an evacuated data centre" {
		t.Fatalf("withdrawn %v, starts %v", log.withdrawn, b.starts())
	}
}

// TestWaitsBesideFreeRoomAreLogged checks that the log tells why tasks that are not long-running
// wait although there is ample room, and nothing about tasks that wait for room.
func TestWaitsBesideFreeRoomAreLogged(t *testing.T) {
	tests := map[string]struct {
		step submitter.Step
		want string
	}{
		"missing label": {submitter.Step{Count: 1, Size: smallSize, Label: "gpu"}, "1 workers lack the label"},
		"no room":       {submitter.Step{Count: 5, Size: smallSize}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			log := &logRecorder{}
			b := newTestbed(t, workerEntry("w"))
			b.p.log = log
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			b.submit("00000000000000aa", tt.step)
			b.update(minLoggedWait)
			b.update(minLoggedWait / 2)
			switch {
			case tt.want == "" && len(log.waits) > 0:
				t.Fatalf("logged %+v, want nothing", log.waits)
			case tt.want == "":
			case len(log.waits) != 1 || log.waits[0].Reason != tt.want || log.waits[0].LongRunning:
				t.Fatalf("logged %+v, want one wait with reason %q", log.waits, tt.want)
			}
		})
	}
}
