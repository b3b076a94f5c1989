package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// newAdvisedTestbed returns a testbed of three workers with an advised queue and one job waiting in
// it, and the question that was asked about the job.
func newAdvisedTestbed(t *testing.T, step submitter.Step) (*testbed, AskAdvice) {
	t.Helper()
	b := newTestbed(t, workerEntry("w1"), workerEntry("w2"), workerEntry("w3"))
	cfg := queueConfig
	cfg.Advised = true
	b.dir.Queues[queue] = cfg
	b.update(0)
	for i := range 3 {
		id := identifier.Worker(fmt.Sprint("w", i+1))
		b.p.setPolling(b.p.workers[id], false)
		b.update(0)
		b.answerPoll(id, connector.HoldAnswer{StartedAt: 1})
	}
	b.submit("00000000000000aa", step)
	ask, ok := findCommand[AskAdvice](b.commands, func(AskAdvice) bool { return true })
	if !ok {
		t.Fatal("the adviser was not asked")
	}
	b.save()
	if len(b.starts()) > 0 {
		t.Fatal("a task was started without a permit")
	}
	return b, ask
}

// answerAdvice delivers an adviser's answer and returns the starts that follow.
func (b *testbed) answerAdvice(ask AskAdvice, valid time.Duration, err error, permitted ...identifier.Worker) []StartRun {
	a := connector.Advice{ValidFor: valid}
	for _, w := range permitted {
		a.Permits = append(a.Permits, connector.Permit{Worker: w, Ticket: "for " + string(w)})
	}
	b.update(time.Millisecond, AdviceAnswered{Call: ask.Call, Step: ask.Step, Workers: ask.Workers, AskedAt: b.now, Advice: a, Err: err})
	b.save()
	return b.starts()
}

func TestAdvisedStepsRunWherePermitted(t *testing.T) {
	tests := map[string]struct {
		valid     time.Duration
		err       error
		permitted []identifier.Worker
		want      map[identifier.Worker]string
	}{
		"one is good":      {3 * time.Second, nil, []identifier.Worker{"w2"}, map[identifier.Worker]string{"w2": "for w2"}},
		"none is good":     {3 * time.Second, nil, nil, nil},
		"no answer":        {0, errNoAnswer, nil, nil},
		"not valid enough": {100 * time.Millisecond, nil, []identifier.Worker{"w2"}, nil},
		"not asked about":  {3 * time.Second, nil, []identifier.Worker{"w9"}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, ask := newAdvisedTestbed(t, submitter.Step{Count: 1, Size: smallSize})
			starts := b.answerAdvice(ask, tt.valid, tt.err, tt.permitted...)
			if len(starts) != len(tt.want) {
				t.Fatalf("%d starts, want %d", len(starts), len(tt.want))
			}
			for _, s := range starts {
				if s.Order.Ticket != tt.want[s.To.ID] || s.Order.Ticket == "" {
					t.Errorf("start on %s with ticket %q, want %q", s.To.ID, s.Order.Ticket, tt.want[s.To.ID])
				}
			}
		})
	}
}

// TestRefusedTicketAsksAdviserAgain checks that the adviser is asked again about a worker that
// refused a ticket, and that the refusal does not count as a failure of the worker.
func TestRefusedTicketAsksAdviserAgain(t *testing.T) {
	b, ask := newAdvisedTestbed(t, submitter.Step{Count: 1, Size: smallSize})
	s := b.answerAdvice(ask, 3*time.Second, nil, "w2")[0]
	b.update(time.Millisecond, StartAnswered{
		Worker: "w2", Run: s.Order.Run, Epoch: s.Order.Epoch, Answer: connector.OrderAnswer{Verdict: connector.VerdictInvalidTicket},
	})
	again, ok := findCommand[AskAdvice](b.commands, func(AskAdvice) bool { return true })
	if !ok || len(again.Workers) != 1 || again.Workers[0] != "w2" {
		t.Errorf("asked about %v, want w2 only", again.Workers)
	}
	if b.p.workers["w2"].failures > 0 {
		t.Error("the refusal counted as a failure of the worker")
	}
}

// TestPermitExpiresWithWorkerIncarnation checks that a restarted worker needs a new permit.
func TestPermitExpiresWithWorkerIncarnation(t *testing.T) {
	b, ask := newAdvisedTestbed(t, submitter.Step{Count: 1, Size: smallSize})
	b.answerAdvice(ask, time.Minute, nil, "w2")
	g := b.p.lookupGroup(ask.Step)
	if _, granted, _ := b.p.permitted(g, b.p.workers["w2"]); !granted {
		t.Fatal("no permit for w2")
	}
	b.p.workers["w2"].incarnation = 2
	if _, granted, known := b.p.permitted(g, b.p.workers["w2"]); granted || known {
		t.Error("the permit is still valid after a restart of the worker")
	}
}

// TestAdviserQuestionsAreBounded checks that many waiting jobs do not overload the adviser.
func TestAdviserQuestionsAreBounded(t *testing.T) {
	b, _ := newAdvisedTestbed(t, submitter.Step{Count: 1, Size: smallSize})
	asked := 1
	for n := range 40 {
		b.submit(identifier.Job(fmt.Sprintf("%016x", n)), submitter.Step{Count: 1, Size: smallSize})
		for _, c := range b.commands {
			if _, ok := c.(AskAdvice); ok {
				asked++
			}
		}
	}
	if asked != maxQuestions {
		t.Errorf("%d questions in flight, want %d", asked, maxQuestions)
	}
}
