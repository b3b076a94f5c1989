package planner

import (
	"slices"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// maxListed bounds the jobs of one List.
const maxListed = 500

// Report returns the state of a job for callers; ok is false for an unknown job.
func (p *Planner) Report(id identifier.Job) (r submitter.Report, ok bool) {
	j, ok := p.jobs[id]
	if !ok {
		return submitter.Report{}, false
	}
	return reportOf(j), true
}

// List returns the selected jobs in the order of submission, at most maxListed.
func (p *Planner) List(s submitter.Selection) submitter.Reports {
	var out submitter.Reports
	for _, j := range p.jobs {
		if (s.Queue == "" || s.Queue == j.queueName()) && (s.State == "" || s.State == string(j.visibleState)) {
			out.Jobs = append(out.Jobs, reportOf(j))
		}
	}
	slices.SortFunc(out.Jobs, submitter.Report.Compare)
	if len(out.Jobs) > maxListed {
		out.Jobs, out.More = out.Jobs[:maxListed], true
	}
	return out
}

// reportOf returns the report of a job, in which each step counts the tasks of all occurrences.
func reportOf(j *job) submitter.Report {
	r := submitter.Report{
		ID: j.def.ID, Queue: j.queueName(), State: string(j.visibleState),
		Submitted: identifier.UnixMillis(j.submitted.UnixMilli()), Objective: identifier.UnixMillis(j.objective.UnixMilli()),
		Steps: make([]submitter.StepReport, len(j.def.Steps)),
	}
	dropped := j.finished.len()
	for k, groups := range j.occurrences {
		if j.finished.contains(k) {
			dropped--
		}
		for i, g := range groups {
			countTasks(&r.Steps[i], g)
		}
	}
	for i := range r.Steps {
		done := dropped * j.def.Steps[i].Count
		r.Steps[i].Tasks += done
		r.Steps[i].Done += done
	}
	return r
}

// shownRunning reports whether a worker has begun a run and nothing shows that the run is over.
func (r *run) shownRunning() bool { return r.begun && (r.phase == runActive || r.phase == runStopping) }

// countTasks adds the tasks of a group to the counts of its step, by phase.
func countTasks(s *submitter.StepReport, g *taskGroup) {
	for i := range g.tasks {
		t := &g.tasks[i]
		s.Tasks++
		s.Failures += t.failures
		switch t.phase {
		case taskBlocked:
			s.Blocked++
		case taskReady:
			s.Ready++
		case taskPlaced:
			s.Placed++
			if slices.ContainsFunc(t.runs, (*run).shownRunning) {
				s.Running++
			}
		case taskDone:
			s.Done++
		}
	}
}
