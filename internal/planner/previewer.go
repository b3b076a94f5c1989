package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// Preview tells where the tasks of a job would run if it were submitted to a queue now. The state
// of the planner is the same afterwards.
func (p *Planner) Preview(def submitter.Job, queue connector.QueueConfig) submitter.Preview {
	j := &job{def: def, queue: queue, occurrences: map[int][]*taskGroup{}, submitted: p.now}
	j.setWaitStart(p.now)
	p.createOccurrence(j, 0)
	out := submitter.Preview{Queue: queue.Name, Ahead: p.jobsAhead(j), Steps: []submitter.StepPreview{}}
	switch {
	case !p.directoryFresh():
		out.Hold = "the configuration or the list of workers is too old"
	case p.claimLimitReached():
		out.Hold = "as many starts are under way as are answered in time"
	}
	for _, g := range j.occurrences[0] {
		out.Steps = append(out.Steps, p.previewStep(g))
	}
	return out
}

// jobsAhead counts the jobs with ready tasks that are served before a job.
func (p *Planner) jobsAhead(j *job) int {
	own := rankedJob{job: j, lateness: p.latenessOf(j), begun: j.begun()}
	n := 0
	for other := range p.waiting {
		if servedBefore(rankedJob{job: other, lateness: p.latenessOf(other), begun: other.begun()}, own) {
			n++
		}
	}
	return n
}

// previewStep examines all workers for the first task of a group.
func (p *Planner) previewStep(g *taskGroup) submitter.StepPreview {
	t := &g.tasks[0]
	t.readyAt = p.now
	d := p.demandOf(t, p.patience(g))
	isolationNeed := 0.0
	if d.kind == loadScavenger {
		isolationNeed = p.isolationNeed(g.step.Image)
	}
	out := submitter.StepPreview{Tasks: len(g.tasks), After: g.step.After, Candidates: []submitter.Candidate{}}
	ruledOut := map[obstacle]int{}
	for _, w := range p.workerList {
		switch o := p.placementObstacle(t, w, d); o {
		case obstacleNone:
			out.Candidates = append(out.Candidates, submitter.Candidate{
				Worker: w.id, DataCentre: w.entry.DataCentre, Rack: w.entry.Rack, Score: p.score(g.step, w, d.kind, isolationNeed),
			})
		case obstacleService:
		default:
			ruledOut[o]++
		}
	}
	for _, o := range slices.Sorted(maps.Keys(ruledOut)) {
		out.RuledOut = append(out.RuledOut, submitter.RuledOut{Workers: ruledOut[o], Reason: string(o)})
	}
	slices.SortFunc(out.Candidates, func(a, b submitter.Candidate) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Worker, b.Worker))
	})
	out.CandidateCount = len(out.Candidates)
	out.Candidates = out.Candidates[:min(len(out.Candidates), submitter.MaxCandidates)]
	if len(out.Candidates) > 0 {
		out.WaitMillis = p.previewNearWait(t, p.workers[out.Candidates[0].Worker]).Milliseconds()
	}
	return out
}

// previewNearWait returns how long a task would wait for the rack of its data rather than run on w.
func (p *Planner) previewNearWait(t *task, w *worker) time.Duration {
	kept := maps.Clone(p.rackForecasts)
	defer func() { p.rackForecasts = kept }()
	clear(p.rackForecasts)
	if !p.waitsForDataRack(t, w) {
		return 0
	}
	for _, f := range p.rackForecasts {
		return f.delays[0]
	}
	return 0
}
