package planner

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestDivisionIsWeightedMaxMin checks that no claimant gets more than it asks for, nothing is left
// while one asks for more, and those that get less than they ask for get the same by weight, no less
// than any other.
func TestDivisionIsWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tolerance = 1e-9
		capacity := rapid.Float64Range(0, 2).Draw(t, "capacity")
		var list []*claimant
		asked := 0.0
		for range rapid.IntRange(1, 30).Draw(t, "claimants") {
			c := &claimant{weight: rapid.Float64Range(0.5, 20).Draw(t, "weight"), asked: rapid.Float64Range(0, 1).Draw(t, "asked")}
			list, asked = append(list, c), asked+c.asked
		}
		contended := divide(list, capacity)
		owed, level, highest := 0.0, math.Inf(1), 0.0
		for _, c := range list {
			owed += c.owed
			highest = max(highest, c.owed/c.weight)
			if c.owed > c.asked+tolerance || c.owed < 0 {
				t.Fatalf("claimant %+v", c)
			}
			if c.owed < c.asked {
				level = min(level, c.owed/c.weight)
			}
		}
		if want := min(asked, capacity); math.Abs(owed-want) > tolerance {
			t.Fatalf("divided %v of %v, asked for %v", owed, capacity, asked)
		}
		if contended && level < highest-tolerance {
			t.Fatalf("an unmet claimant gets %v by weight, another %v", level, highest)
		}
	})
}

// TestFairOrder checks that every job stays in the order once, priorities and the order within a team
// hold, and the first job of a team that has nothing running precedes all surplus of its priority.
func TestFairOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fairPlanner(rapid.IntRange(2, 6).Draw(t, "teams"), func(int) float64 { return rapid.Float64Range(1, 10).Draw(t, "weight") })
		var ranked []rankedJob
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			team := p.teamOf(identifier.Team(fmt.Sprint(rapid.IntRange(0, len(p.teams.byName)-1).Draw(t, "team"))))
			late := rapid.SampledFrom([]lateness{onTime, late, tooLate}).Draw(t, "lateness")
			ranked = append(ranked, rankedJob{job: readyJob(team, i, rapid.IntRange(0, 1).Draw(t, "priority"), rapid.IntRange(1, 9).Draw(t, "tasks")), lateness: late})
		}
		slices.SortFunc(ranked, func(a, b rankedJob) int {
			if servedBefore(a, b) {
				return -1
			}
			return 1
		})
		before := slices.Clone(ranked)
		p.deferSurplus(ranked)
		position := func(list []rankedJob, j *job) int {
			return slices.IndexFunc(list, func(r rankedJob) bool { return r.job == j })
		}
		asked, urgentTeams := 0.0, map[*team]bool{}
		for i, r := range before {
			if position(ranked, r.job) < 0 {
				t.Fatalf("job %s is missing", r.job.def.ID)
			}
			for _, o := range before[i+1:] {
				samePriority := r.job.queue.Priority == o.job.queue.Priority
				if (r.job.team == o.job.team || !samePriority) && position(ranked, r.job) > position(ranked, o.job) {
					t.Fatalf("job %s of team %s now follows %s of team %s", r.job.def.ID, r.job.team.name, o.job.def.ID, o.job.team.name)
				}
			}
			asked += dominantShare(r.job.readySize(), p.placementCache.capacity)
			if r.job.queue.Priority == 0 {
				urgentTeams[r.job.team] = true
			}
		}
		// Teams compete only for a cell that is too small.
		if asked < 1.01 {
			return
		}
		firsts := map[*team]bool{}
		for _, r := range ranked[:len(urgentTeams)] {
			firsts[r.job.team] = true
		}
		if len(firsts) < len(urgentTeams) {
			t.Fatalf("the first %d jobs are of %d teams", len(urgentTeams), len(firsts))
		}
	})
}

// fairPlanner returns a planner with teams named 0 to n-1 and a cell of 50 small tasks.
func fairPlanner(n int, weight func(int) float64) *Planner {
	p := New(epoch, time.UnixMilli(1_000_000), Settings{})
	p.placementCache.capacity = smallSize.Times(50)
	for i := range n {
		p.teamOf(identifier.Team(fmt.Sprint(i))).config.Weight = weight(i)
	}
	return p
}

// readyJob returns a job with ready tasks of smallSize.
func readyJob(t *team, id, priority, tasks int) *job {
	j := &job{team: t, queue: connector.QueueConfig{Priority: priority}, readyTasks: tasks}
	j.def.ID = identifier.Job(fmt.Sprintf("%016x", id))
	g := &taskGroup{job: j, step: &submitter.Step{Count: tasks, Size: smallSize}, readyTasks: tasks}
	j.occurrences = map[int][]*taskGroup{0: {g}}
	return j
}

// TestTeamsShareAFullCellByWeight checks what starts in a full cell while all teams have jobs
// waiting, where that of the hot team came first.
func TestTeamsShareAFullCellByWeight(t *testing.T) {
	tests := map[string]struct {
		weights map[identifier.Team]float64
		jobs    map[identifier.Team]int
		// want are the least starts of each team, of eight in all.
		want map[identifier.Team]int
	}{
		"equal":       {map[identifier.Team]float64{"a": 1, "b": 1}, map[identifier.Team]int{"a": 30, "b": 30}, map[identifier.Team]int{"a": 4, "b": 4}},
		"by weight":   {map[identifier.Team]float64{"a": 1, "b": 3}, map[identifier.Team]int{"a": 30, "b": 30}, map[identifier.Team]int{"a": 2, "b": 6}},
		"rest shared": {map[identifier.Team]float64{"a": 1, "b": 1}, map[identifier.Team]int{"a": 30, "b": 1}, map[identifier.Team]int{"a": 7, "b": 1}},
		"tiny weight": {map[identifier.Team]float64{"a": 100, "b": 1}, map[identifier.Team]int{"a": 30, "b": 30}, map[identifier.Team]int{"a": 7, "b": 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			workers := []connector.WorkerEntry{workerEntry("w"), workerEntry("x")}
			b := newTestbed(t, workers...)
			b.dir.Teams = map[identifier.Team]connector.TeamConfig{}
			for team, w := range tt.weights {
				b.dir.Teams[team] = connector.TeamConfig{Weight: w}
			}
			b.update(0)
			id := 0
			for _, team := range []identifier.Team{"a", "b"} {
				for range tt.jobs[team] {
					id++
					b.submitFor(team, identifier.Job(fmt.Sprintf("%016x", id)), submitter.Step{Count: 1, Size: smallSize})
				}
			}
			for _, w := range workers {
				b.answerNewPoll(w.ID, connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
			}
			got := map[identifier.Team]int{}
			for _, s := range b.startAll() {
				got[b.p.jobs[s.Order.Run.Task.Job].team.name]++
			}
			if got["a"]+got["b"] != 8 {
				t.Fatalf("starts %v, want 8 in all", got)
			}
			for team, want := range tt.want {
				if got[team] < want {
					t.Errorf("starts %v, want at least %v", got, tt.want)
				}
			}
		})
	}
}

func BenchmarkFairOrder(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("%d teams", n), func(b *testing.B) {
			p := fairPlanner(n, func(i int) float64 { return float64(1 + i%7) })
			ranked := make([]rankedJob, 4000)
			for i := range ranked {
				ranked[i] = rankedJob{job: readyJob(p.teamOf(identifier.Team(fmt.Sprint(i%n))), i, i%2, 5)}
			}
			work := make([]rankedJob, len(ranked))
			for b.Loop() {
				copy(work, ranked)
				p.deferSurplus(work)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(ranked)), "ns/job")
		})
	}
}

// TestJobsBeyondTheRateAreSurplus checks that a team which submits more than its rate allows is served
// within its share for that many, also if a new holder reads the jobs in another order.
func TestJobsBeyondTheRateAreSurplus(t *testing.T) {
	tests := map[string]struct {
		rate  float64
		order []int64
		want  int
	}{
		"no bound":           {0, []int64{0, 1, 2, 3}, 0},
		"within":             {4, []int64{0, 1, 2, 3}, 0},
		"beyond":             {2, []int64{0, 1, 2, 3}, 2},
		"less than one":      {0.1, []int64{0, 1, 2, 3}, 3},
		"two seconds":        {2, []int64{0, 1, 1000, 1001}, 0},
		"in another order":   {2, []int64{1001, 3, 1000, 2, 1, 1002}, 2},
		"many seconds, late": {1, []int64{0, 1000, 2000, 3000, 4000, 5000, 6000, 7000, 8000, 9000, 10000, 11000, 12000, 13000, 14000, 15000, 16000, 17000, 17001, 16001}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := quotaTestbed(t, 0, workerEntry("w"))
			b.dir.Version++
			b.dir.Teams = map[identifier.Team]connector.TeamConfig{"t": {Weight: 1, Rate: tt.rate}}
			got := 0
			for i, at := range tt.order {
				id := identifier.Job(fmt.Sprintf("%016x", i))
				b.update(0, JobSubmitted{Job: submitter.Job{ID: id, Queue: queue, Steps: []submitter.Step{{Count: 1, Size: smallSize}}}, Queue: queueConfig, Team: "t", At: identifier.UnixMillis(at)})
				if b.p.jobs[id].exceedsRate() {
					got++
				}
			}
			if got != tt.want {
				t.Errorf("%d jobs exceed the rate, want %d", got, tt.want)
			}
		})
	}
}
