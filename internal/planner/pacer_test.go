package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// mixedTestbed is a worker on which a scavenger runs beside a task that serves.
type mixedTestbed struct {
	*testbed
	watch, scavenger StartRun
}

// newMixedTestbed places a scavenger on a tenth of a worker beside a task that serves.
func newMixedTestbed(t *testing.T, pressure estimator.Interference) mixedTestbed {
	t.Helper()
	entry := workerEntry("w")
	entry.Capacity.Processors = 10 * smallSize.Processors
	m := mixedTestbed{testbed: newTestbed(t, entry)}
	m.update(0)
	m.answerPoll("w", connector.HoldAnswer{})
	m.watch = m.startOne(submitter.Step{Count: 1, Size: smallSize, LongRunning: true, TailTarget: identifier.Duration(time.Second), Image: "watch"})
	m.confirmStart(m.watch)
	m.p.estimator.Set("watch", "batch", 0)
	m.submit("00000000000000ab", submitter.Step{Count: 1, Size: smallSize, Scavenger: true, Image: "batch", Checkpoints: true})
	m.save()
	starts := m.starts()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want the scavenger's", len(starts))
	}
	m.scavenger = starts[0]
	m.confirmStart(m.scavenger)
	m.p.estimator.Set("watch", "batch", pressure)
	return m
}

// pollWithSlack answers the next look with the slack that the watch has.
func (m mixedTestbed) pollWithSlack(after time.Duration, slack estimator.Slack) []Command {
	m.p.setPolling(m.p.workers["w"], false)
	m.update(after)
	m.answerPoll("w", connector.HoldAnswer{Active: []connector.ActiveRun{
		{Run: m.watch.Order.Run, Percent: 100, TailLatency: time.Duration(float64(time.Second) / float64(slack))},
		{Run: m.scavenger.Order.Run, Percent: 10, CPUUsed: smallSize.Processors},
	}})
	return m.commands
}

func paceCommands(commands []Command) string {
	out := ""
	for _, c := range commands {
		switch c := c.(type) {
		case PaceRun:
			out += fmt.Sprint("pace ", c.Percent, " ")
		case StopRun:
			out += "stop "
		}
	}
	return out
}

// TestScavengersAreSlowedDown checks what is done to a scavenger by the slack that
// a task beside it has, and by the pressure that is known of the pair.
func TestScavengersAreSlowedDown(t *testing.T) {
	tests := map[string]struct {
		pressure estimator.Interference
		// slack is what the look tells.
		slack estimator.Slack
		want  string
	}{
		"ample slack":                      {2, 2.5, ""},
		"little slack, mild pressure":      {3, 1.05, "pace 50 "},
		"no slack, mild pressure":          {3, 0.75, "pace 20 "},
		"no slack, harmful":                {12, 0.4, "pace 20 "},
		"no slack at any pace, harmful":    {5, 0.3, "pace 0 stop "},
		"slack enough although harmful":    {5, 2.2, ""},
		"too long a tail, little expected": {0.5, 0.95, "pace 20 "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMixedTestbed(t, tt.pressure)
			if got := paceCommands(m.pollWithSlack(100*time.Millisecond, tt.slack)); got != tt.want {
				t.Errorf("%q, want %q", got, tt.want)
			}
		})
	}
}

// TestScavengersAreLetGo checks that a scavenger goes on at full pace once there is
// slack again, and not before there is some to spare.
func TestScavengersAreLetGo(t *testing.T) {
	m := newMixedTestbed(t, 3)
	if got := paceCommands(m.pollWithSlack(100*time.Millisecond, 1.05)); got != "pace 50 " {
		t.Fatalf("%q, want it slowed down", got)
	}
	if got := paceCommands(m.pollWithSlack(time.Second, 2.5)); got != "pace 100 " {
		t.Errorf("%q with slack to spare, want full pace", got)
	}
}

// TestLostPaceIsSentAgain checks that a pace without an answer is not taken for
// granted.
func TestLostPaceIsSentAgain(t *testing.T) {
	m := newMixedTestbed(t, 3)
	m.pollWithSlack(100*time.Millisecond, 1.05)
	m.update(0, PaceAnswered{Worker: "w", Run: m.scavenger.Order.Run, Percent: 50, Err: connector.ErrUnknown})
	if got := paceCommands(m.pollWithSlack(time.Second, 2.5)); got != "pace 100 " {
		t.Errorf("%q, want the pace to be set although it may be full", got)
	}
}

// TestLongSuffering checks that every scavenger leaves a worker whose tails stay
// above their targets, whatever is expected of it.
func TestLongSuffering(t *testing.T) {
	m := newMixedTestbed(t, 0)
	got := ""
	for range 8 {
		got += paceCommands(m.pollWithSlack(300*time.Millisecond, 0.9))
		m.p.estimator.Set("watch", "batch", 0)
	}
	if got != "pace 20 pace 0 stop " && got != "pace 0 stop " {
		t.Errorf("%q, want the scavenger stopped", got)
	}
}

func TestImagesThatGoTogether(t *testing.T) {
	type images = map[identifier.Image]int
	best := []images{{"a": 1, "b": 2}, {"a": 3}, {"b": 1, "c": 1}, {}, {"b": 4}}
	for i := range best[1:] {
		if better, worse := imageAffinity(best[i], "a"), imageAffinity(best[i+1], "a"); better <= worse {
			t.Errorf("%v has %v and %v has %v, want more for the first", best[i], better, best[i+1], worse)
		}
	}
}

// takeOver hands the cell over to a next holder, with what is stored.
func (m mixedTestbed) takeOver() {
	m.replaceHolder(HealthRestored{m.p.TakeBatch().Healths})
	m.update(0)
}

// TestTakeoversDoNotProlongSuffering guards against tasks that serve and wait anew with each
// takeover for the scavengers beside them to leave.
func TestTakeoversDoNotProlongSuffering(t *testing.T) {
	const (
		look = 300 * time.Millisecond
		// harmTime is how long a tail may stay above its target (RULES.md, HARM), and stopTime
		// what a stop and the lag of reports take.
		harmTime = 4 * time.Second
		stopTime = 1500 * time.Millisecond
	)
	for _, takeovers := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(takeovers), func(t *testing.T) {
			m := newMixedTestbed(t, 0)
			began := m.now
			for n := 1; ; n++ {
				if got := paceCommands(m.pollWithSlack(look, 0.9)); strings.Contains(got, "stop") {
					break
				}
				m.p.estimator.Set("watch", "batch", 0)
				if m.now.Sub(began) > time.Minute {
					t.Fatal("no scavenger leaves")
				}
				if n%4 == 0 && n/4 <= takeovers {
					m.takeOver()
				}
			}
			if took := m.now.Sub(began); took > harmTime-stopTime {
				t.Errorf("the scavenger was stopped after %v, want at most %v", took, harmTime-stopTime)
			}
		})
	}
}

// TestTakeoversDoNotEndTheQuiet guards against scavengers that come back with a takeover to a
// worker which they have just left since tails were too long.
func TestTakeoversDoNotEndTheQuiet(t *testing.T) {
	tests := map[string]bool{"no takeover": false, "a takeover": true}
	for name, takeover := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMixedTestbed(t, 0)
			for !strings.Contains(paceCommands(m.pollWithSlack(300*time.Millisecond, 0.9)), "stop") {
				m.p.estimator.Set("watch", "batch", 0)
			}
			began := m.now
			m.update(100 * time.Millisecond)
			ended := []connector.EndedRun{{Number: 1, Run: m.scavenger.Order.Run, Reason: connector.EndStopped}}
			active := []connector.ActiveRun{{Run: m.watch.Order.Run, Percent: 100, TailLatency: 400 * time.Millisecond}}
			m.answerNewPoll("w", connector.HoldAnswer{Ended: ended, Active: active})
			if takeover {
				m.takeOver()
			}
			for len(m.starts()) == 0 && m.now.Sub(began) < time.Minute {
				m.p.estimator.Set("watch", "batch", 0)
				m.answerNewPoll("w", connector.HoldAnswer{Ended: ended, Active: active})
				m.save()
				if len(m.starts()) == 0 {
					m.update(50 * time.Millisecond)
				}
			}
			// A job of which nothing runs does not wait for the quiet to end.
			if after := m.now.Sub(began); after < min(quietTime, starvedAfter) || after >= time.Minute {
				t.Errorf("a scavenger came back after %v, want %v", after, min(quietTime, starvedAfter))
			}
		})
	}
}
