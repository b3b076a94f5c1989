package planner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// A team's claim on a cell is measured by its dominant share: the largest fraction that it takes of
// any resource of all usable workers. When not all ready tasks fit, every team is owed a share in
// proportion to its weight, at most what it asks for; what some leave is divided among the others in
// the same way. Of each priority, the first jobs of teams that have nothing running are served
// first, so that none starves, then the jobs within their teams' shares, then the rest. The shares are
// computed anew from the runs in each pass, so that nothing has to outlast a takeover.

// standing is the position of a job among those of its priority when teams compete.
type standing int

const (
	// firstOfIdleTeam is the first job of a team that has nothing running.
	firstOfIdleTeam standing = iota
	// withinShare is a job of a team that has not reached its share.
	withinShare
	// surplus is a job beyond its team's share.
	surplus
	// noUse is a job that is of no use to its caller any more.
	noUse
)

// maxSubmissionSeconds bounds the seconds for which a team's submissions are counted.
const maxSubmissionSeconds = 16

// countSubmission counts a job by the second in which it was accepted, and returns its rank in that
// second, from one on; zero for jobs of no team. A takeover brings jobs in any order, and before the rates.
func (t *team) countSubmission(at identifier.UnixMillis) (rank int) {
	if t.submitted == nil {
		return 0
	}
	second := at.Time().Unix()
	if _, ok := t.submitted[second]; !ok && len(t.submitted) >= maxSubmissionSeconds {
		delete(t.submitted, slices.Min(slices.Collect(maps.Keys(t.submitted))))
	}
	t.submitted[second]++
	return t.submitted[second]
}

// dominantShare returns the largest fraction that a size takes of any resource of capacity.
func dominantShare(size, capacity identifier.Size) float64 {
	return max(fraction(size.Processors, capacity.Processors), fraction(size.Memory, capacity.Memory),
		fraction(size.Accelerators, capacity.Accelerators))
}

// claimant is a team's part in the division of a cell. All but its weight are shares of the cell.
type claimant struct {
	weight float64
	// held is what the team's runs hold, asked what it holds and asks for, within its limit, and owed
	// what the division gives to it.
	held, asked, owed float64
	// counted is what the team holds and the jobs ask for whose standing is known.
	counted float64
	// pass is the pass of the planner that the other fields are from.
	pass uint64
}

// divide sets what each claimant is owed of a capacity. It sorts the claimants. contended is set
// unless all of them get what they ask for.
func divide(claimants []*claimant, capacity float64) (contended bool) {
	slices.SortFunc(claimants, func(a, b *claimant) int { return cmp.Compare(a.asked/a.weight, b.asked/b.weight) })
	weights := 0.0
	for _, c := range claimants {
		weights += c.weight
	}
	for _, c := range claimants {
		c.owed = min(c.asked, max(capacity, 0)*c.weight/weights)
		contended = contended || c.owed < c.asked
		capacity -= c.owed
		weights -= c.weight
	}
	return contended
}

// readySize returns the total size of a job's ready tasks.
func (j *job) readySize() identifier.Size {
	var sum identifier.Size
	for g := range j.groups() {
		sum = sum.Add(g.step.Size.Times(g.readyTasks))
	}
	return sum
}

// deferSurplus orders the jobs of each priority by their standing, if teams compete. It keeps the
// order of jobs of the same standing, and so of each team. Jobs of no team count as within shares.
func (p *Planner) deferSurplus(ranked []rankedJob) {
	if len(p.teams.byName) < 2 || !p.divideCell(ranked) {
		return
	}
	for i := range ranked {
		ranked[i].standing = standingOf(&ranked[i])
	}
	slices.SortStableFunc(ranked, func(a, b rankedJob) int {
		return cmp.Or(cmp.Compare(a.job.queue.Priority, b.job.queue.Priority), cmp.Compare(a.standing, b.standing))
	})
}

// standingOf returns the standing of a job, given those of all jobs ranked before it.
func standingOf(r *rankedJob) standing {
	t := r.job.team
	c := &t.claim
	first := c.counted == 0
	before := max(c.counted, c.held)
	c.counted = before + r.asked
	switch {
	case t.name == "" && r.lateness != tooLate:
		return withinShare
	case t.name != "" && first && t.runs == 0:
		return firstOfIdleTeam
	case r.lateness == tooLate:
		return noUse
	case before >= c.owed || r.job.exceedsRate():
		return surplus
	default:
		return withinShare
	}
}

// divideCell divides the cell among the teams of the jobs. It reports whether some team gets less
// than it asks for.
func (p *Planner) divideCell(ranked []rankedJob) (contended bool) {
	p.teams.pass++
	capacity := p.placementCache.capacity
	claims := p.teams.claims[:0]
	for i := range ranked {
		r := &ranked[i]
		r.asked = dominantShare(r.job.readySize(), capacity)
		t := r.job.team
		if t.claim.pass != p.teams.pass {
			held := dominantShare(t.used, capacity)
			t.claim = claimant{weight: t.config.Weight, held: held, asked: held, pass: p.teams.pass}
			if t != p.teams.none {
				claims = append(claims, &t.claim)
			}
		}
		t.claim.asked += r.asked
	}
	free := 1 - dominantShare(p.teams.none.used, capacity)
	for _, t := range p.teams.byName {
		if t.claim.pass != p.teams.pass {
			free -= dominantShare(t.used, capacity)
			continue
		}
		if limit := limitShare(t.limit, capacity); limit > 0 {
			t.claim.asked = min(t.claim.asked, limit)
		}
	}
	p.teams.claims = claims
	return divide(claims, free)
}

// limitShare returns the dominant share that a limit allows, or zero if it has none.
func limitShare(limit, capacity identifier.Size) float64 {
	share := 0.0
	for _, s := range []float64{
		fraction(limit.Processors, capacity.Processors), fraction(limit.Memory, capacity.Memory), fraction(limit.Accelerators, capacity.Accelerators),
	} {
		if s > 0 && (share == 0 || s < share) {
			share = s
		}
	}
	return share
}
