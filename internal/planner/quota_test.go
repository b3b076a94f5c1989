package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const quotaJob identifier.Job = "00000000000000aa"

// quotaTestbed returns a testbed with answering workers, and team "t" with a limit on processors.
func quotaTestbed(t *testing.T, limit identifier.Millicores, workers ...connector.WorkerEntry) *testbed {
	b := newTestbed(t, workers...)
	b.setLimit(limit)
	b.update(0)
	for _, w := range workers {
		b.answerNewPoll(w.ID, connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	}
	return b
}

// setLimit puts a configuration with a limit of team "t" into force with the next update.
func (b *testbed) setLimit(limit identifier.Millicores) {
	b.dir.Version++
	b.dir.Teams = map[identifier.Team]connector.TeamConfig{"t": {Weight: 1, Limit: identifier.Size{Processors: limit}}}
}

func (b *testbed) submitFor(team identifier.Team, id identifier.Job, steps ...submitter.Step) {
	b.update(0, JobSubmitted{Job: submitter.Job{ID: id, Queue: queue, Steps: steps}, Queue: queueConfig, Team: team})
}

// startAll stores the claims until no more starts follow, and returns the starts.
func (b *testbed) startAll() []StartRun {
	var all []StartRun
	for {
		b.update(0)
		b.save()
		starts := b.starts()
		if len(starts) == 0 {
			return all
		}
		all = append(all, starts...)
	}
}

func (b *testbed) wantUsage(used identifier.Millicores, runs int) {
	b.t.Helper()
	if got := b.p.teamOf("t"); got.used.Processors != used || got.runs != runs {
		b.t.Errorf("team uses %d with %d runs, want %d with %d", got.used.Processors, got.runs, used, runs)
	}
}

// TestWideStepsRunInWavesWithinTheQuota checks that tasks of a team start up to its limit, wait
// beside free workers, and start again as others end.
func TestWideStepsRunInWavesWithinTheQuota(t *testing.T) {
	tests := map[string]struct {
		step  submitter.Step
		limit identifier.Millicores
		want  int
	}{
		"no limit":           {submitter.Step{Count: 5, Size: smallSize}, 0, 5},
		"two of five":        {submitter.Step{Count: 5, Size: smallSize}, 2500, 2},
		"scavengers":         {submitter.Step{Count: 5, Size: smallSize, Scavenger: true, Image: "i"}, 2500, 2},
		"below one task":     {submitter.Step{Count: 5, Size: smallSize}, 500, 1},
		"gang that fits":     {submitter.Step{Count: 2, Size: smallSize, Gang: true}, 2500, 2},
		"gang too wide":      {submitter.Step{Count: 3, Size: smallSize, Gang: true}, 2500, 0},
		"lasting tasks":      {submitter.Step{Count: 5, Size: smallSize, LongRunning: true}, 2500, 2},
		"exactly the limit":  {submitter.Step{Count: 5, Size: smallSize}, 3000, 3},
		"limit of a million": {submitter.Step{Count: 5, Size: smallSize}, 1 << 50, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := quotaTestbed(t, tt.limit, workerEntry("w"), workerEntry("x"))
			b.submitFor("t", quotaJob, tt.step)
			starts := b.startAll()
			if len(starts) != tt.want {
				t.Fatalf("%d starts, want %d", len(starts), tt.want)
			}
			b.wantUsage(identifier.Millicores(1000*tt.want), tt.want)
			if len(starts) == 0 || len(starts) == tt.step.Count {
				return
			}
			e, _ := b.p.Explain(quotaJob)
			if text := strings.Join(e.Reasons, "; "); !strings.Contains(text, "team t waits for its quota") {
				t.Errorf("explained as %q", text)
			}
			b.confirmStart(starts[0])
			b.answerNewPoll(starts[0].To.ID, connector.HoldAnswer{StartedAt: 1, Ended: []connector.EndedRun{{Number: 1, Run: starts[0].Order.Run, Reason: connector.EndDone}}})
			b.update(time.Second)
			if again := b.startAll(); len(again) != 1 {
				t.Errorf("%d starts after an end, want 1", len(again))
			}
		})
	}
}

// TestRunsCountUntilTheyAreKnownToBeGone checks what a team's usage contains after its two runs have
// met a fate.
func TestRunsCountUntilTheyAreKnownToBeGone(t *testing.T) {
	tests := map[string]struct {
		meet func(b *testbed, s StartRun)
		used identifier.Millicores
		runs int
	}{
		"start unanswered": {func(b *testbed, s StartRun) {
			for range maxStartTries {
				b.update(0, StartAnswered{Worker: s.To.ID, Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errNoAnswer})
			}
		}, 2000, 2},
		"worker silent": {func(b *testbed, s StartRun) {
			b.confirmStart(s)
			b.failPoll(s.To.ID)
			b.update(time.Second)
		}, 2000, 2},
		"job cancelled, stop sent": {func(b *testbed, s StartRun) {
			b.confirmStart(s)
			b.update(0, JobCancelled{ID: quotaJob})
		}, 2000, 2},
		"stop carried out, end not listed": {func(b *testbed, s StartRun) {
			b.confirmStart(s)
			b.update(0, JobCancelled{ID: quotaJob})
			b.update(0, StopAnswered{Worker: s.To.ID, Run: s.Order.Run, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK}})
		}, 2000, 2},
		"limit lowered": {func(b *testbed, _ StartRun) {
			b.setLimit(1000)
			b.update(0)
		}, 2000, 2},
		"team dropped": {func(b *testbed, _ StartRun) {
			b.dir.Version++
			b.dir.Teams = map[identifier.Team]connector.TeamConfig{}
			b.update(0)
		}, 2000, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := quotaTestbed(t, 2000, workerEntry("w"), workerEntry("x"))
			b.submitFor("t", quotaJob, submitter.Step{Count: 2, Size: smallSize})
			starts := b.startAll()
			if len(starts) != 2 {
				t.Fatalf("%d starts, want 2", len(starts))
			}
			tt.meet(b, starts[0])
			b.wantUsage(tt.used, tt.runs)
			b.submitFor("t", "00000000000000bb", submitter.Step{Count: 1, Size: smallSize})
			if more := b.startAll(); len(more) > 0 {
				t.Errorf("%d starts beyond the limit", len(more))
			}
		})
	}
}

// TestQuotaOutlastsATakeover checks that a new holder counts the runs that it restores and those that
// workers list, before it starts others.
func TestQuotaOutlastsATakeover(t *testing.T) {
	b := quotaTestbed(t, 2000, workerEntry("w"), workerEntry("x"))
	b.submitFor("t", quotaJob, submitter.Step{Count: 5, Size: smallSize})
	b.startAll()
	record := recordOf(b.p.jobs[quotaJob])
	next := quotaTestbed(t, 2000, workerEntry("w"), workerEntry("x"))
	next.update(0,
		JobSubmitted{Job: b.p.jobs[quotaJob].def, Queue: queueConfig, Team: "t"},
		JobsRestored{Records: []JobRecord{record}})
	next.wantUsage(2000, 2)
	if starts := next.startAll(); len(starts) > 0 {
		t.Errorf("%d starts beyond the limit after a takeover", len(starts))
	}
}

// TestCellsShareAQuota checks that the planners of two cells together stay within a team's limit.
func TestCellsShareAQuota(t *testing.T) {
	total := 0
	for cell := range identifier.Cell(2) {
		var workers []connector.WorkerEntry
		for i := 0; len(workers) < 2; i++ {
			if w := workerEntry(identifier.Worker(fmt.Sprintf("w%d", i))); identifier.CellOf(identifier.Job(w.ID), 2) == cell {
				workers = append(workers, w)
			}
		}
		b := newTestbed(t, workers...)
		b.p.settings.Cell, b.p.settings.Cells = cell, 2
		b.setLimit(4000)
		b.update(0)
		for _, w := range workers {
			b.answerNewPoll(w.ID, connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
		}
		b.submitFor("t", quotaJob, submitter.Step{Count: 8, Size: smallSize})
		total += len(b.startAll())
	}
	if total != 4 {
		t.Errorf("%d starts, want 4", total)
	}
}

// TestLimitChanges checks claims that are stored as the limit changes.
func TestLimitChanges(t *testing.T) {
	tests := map[string]struct {
		limit identifier.Millicores
		want  int
	}{
		"raised":    {4000, 4},
		"unchanged": {2000, 2},
		"lowered":   {1000, 1},
		"removed":   {0, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := quotaTestbed(t, 2000, workerEntry("w"), workerEntry("x"))
			b.submitFor("t", quotaJob, submitter.Step{Count: 5, Size: smallSize})
			batch := b.p.TakeBatch()
			b.setLimit(tt.limit)
			b.update(0, BatchSaved{batch})
			if n := len(b.starts()) + len(b.startAll()); n != tt.want {
				t.Errorf("%d starts, want %d", n, tt.want)
			}
		})
	}
}

// TestJobsWaitForTheLimitOfANewerVersion guards against starts without a limit while the holder has
// not read the configuration that added the team.
func TestJobsWaitForTheLimitOfANewerVersion(t *testing.T) {
	b := quotaTestbed(t, 2000, workerEntry("w"), workerEntry("x"))
	job := submitter.Job{ID: quotaJob, Queue: queue, Steps: []submitter.Step{{Count: 5, Size: smallSize}}}
	b.update(0, JobSubmitted{Job: job, Queue: queueConfig, Team: "new", ConfigVersion: b.dir.Version + 1})
	if n := len(b.startAll()); n != 0 {
		t.Errorf("%d starts before the limit is known", n)
	}
	b.dir.Version++
	b.dir.Teams["new"] = connector.TeamConfig{Weight: 1, Limit: smallSize}
	if n := len(b.startAll()); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// TestQuotaProperty drives jobs of two teams through random ends, losses, cancellations and changes
// of limits, and compares each team's usage with the runs that its workers hold.
func TestQuotaProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		workers := []connector.WorkerEntry{workerEntry("w"), workerEntry("x"), workerEntry("y")}
		b := quotaTestbed(t, 3000, workers...)
		limits := func() map[identifier.Team]connector.TeamConfig {
			out := map[identifier.Team]connector.TeamConfig{}
			for _, name := range []identifier.Team{"t", "u"} {
				out[name] = connector.TeamConfig{Weight: 1, Limit: identifier.Size{Processors: identifier.Millicores(rapid.IntRange(1, 8).Draw(rt, "limit")) * 500}}
			}
			return out
		}
		b.dir.Teams = limits()
		b.dir.Version++
		var running []StartRun
		ends, jobs := identifier.EndNumber(0), 0
		check := func() {
			used, runs := map[*team]identifier.Size{}, map[*team]int{}
			for _, w := range b.p.workers {
				for _, r := range w.runs {
					used[r.task.group.job.team] = used[r.task.group.job.team].Add(r.size)
					runs[r.task.group.job.team]++
				}
			}
			for _, tm := range b.p.teams.byName {
				if tm.used != used[tm] || tm.runs != runs[tm] {
					rt.Fatalf("team %s uses %v with %d runs, want %v with %d", tm.name, tm.used, tm.runs, used[tm], runs[tm])
				}
			}
		}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"submit", "end", "lose", "cancel", "limit", "wait"}).Draw(rt, "event") {
			case "submit":
				jobs++
				b.submitFor(rapid.SampledFrom([]identifier.Team{"t", "u"}).Draw(rt, "team"), identifier.Job(fmt.Sprintf("%016x", jobs)),
					submitter.Step{Count: rapid.IntRange(1, 4).Draw(rt, "count"), Size: smallSize.Times(rapid.IntRange(1, 2).Draw(rt, "size")), Gang: rapid.Bool().Draw(rt, "gang")})
			case "end":
				if len(running) > 0 {
					s := running[0]
					running = running[1:]
					ends++
					b.confirmStart(s)
					b.answerNewPoll(s.To.ID, connector.HoldAnswer{StartedAt: 1, Ended: []connector.EndedRun{{
						Number: ends, Run: s.Order.Run, Reason: rapid.SampledFrom([]connector.RunEnd{connector.EndDone, connector.EndFailed, connector.EndStopped}).Draw(rt, "reason"),
					}}})
				}
			case "lose":
				b.failPoll(rapid.SampledFrom(workers).Draw(rt, "worker").ID)
			case "cancel":
				b.update(0, JobCancelled{ID: identifier.Job(fmt.Sprintf("%016x", rapid.IntRange(1, jobs+1).Draw(rt, "job")))})
			case "limit":
				b.dir.Teams = limits()
				b.dir.Version++
			case "wait":
				b.update(time.Second)
			}
			b.update(0)
			before := map[*team]int{}
			for _, tm := range b.p.teams.byName {
				before[tm] = tm.runs
			}
			batch := b.p.TakeBatch()
			b.update(0, BatchSaved{batch})
			for _, s := range b.starts() {
				tm := b.p.jobs[s.Order.Run.Task.Job].team
				gang := b.p.lookupTask(s.Order.Run.Task).group.step.Gang
				if !gang && tm.runs > 1 && !connector.WithinLimit(tm.used, tm.limit) {
					rt.Fatalf("start of %v while team %s uses %v of %v", s.Order.Run, tm.name, tm.used, tm.limit)
				}
			}
			running = append(running, b.starts()...)
			check()
		}
	})
}
