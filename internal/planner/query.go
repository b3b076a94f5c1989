package planner

import (
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// State returns the state of a job as callers may see it; ok is false for a job
// that is not known.
func (p *Planner) State(id identifier.Job) (state JobState, ok bool) {
	j, ok := p.jobs[id]
	if !ok {
		return "", false
	}
	return j.shown, true
}

// Waiting returns how many jobs of a queue have not started.
func (p *Planner) Waiting(queue identifier.Queue) int {
	n := 0
	for _, j := range p.jobs {
		if j.def.Queue == queue && !j.started && !j.state.Ended() {
			n++
		}
	}
	return n
}

// Workers returns how many workers are known.
func (p *Planner) Workers() int { return len(p.workers) }

// WaitingJobs returns how many jobs have tasks that wait for room.
func (p *Planner) WaitingJobs() int { return len(p.waiting) }

// Stats counts what the planner holds.
type Stats struct {
	Jobs          int
	ActiveJobs    int
	ReadyTasks    int
	Runs          int
	Workers       int
	UsableWorkers int
	// Capacity is that of the usable workers; Reserved, Serving and Scavenging
	// are the processors that runs on them asked for.
	Capacity   identifier.Millicores
	Reserved   identifier.Millicores
	Serving    identifier.Millicores
	Scavenging identifier.Millicores
	// LargestRoom is the most that a usable worker has free.
	LargestRoom identifier.Millicores
	// QuietWorkers are those without tasks that serve.
	QuietWorkers int
	// HarmfulPairs are the pairs of images that are kept apart.
	HarmfulPairs int
}

// Stats returns the present counts.
func (p *Planner) Stats() Stats {
	s := Stats{Jobs: len(p.jobs), Workers: len(p.workers)}
	for _, j := range p.jobs {
		if !j.state.Ended() {
			s.ActiveJobs++
		}
		s.ReadyTasks += j.ready
		s.Runs += j.runs
	}
	s.HarmfulPairs = p.harm.Above(harmfulPressure)
	for _, w := range p.workers {
		if p.usable(w) {
			s.UsableWorkers++
			s.Capacity += w.entry.Capacity.Processors
			s.Reserved += w.used.Processors
			s.Serving += w.serveCPU
			s.Scavenging += w.scavenge
			if w.serving == 0 {
				s.QuietWorkers++
			}
			s.LargestRoom = max(s.LargestRoom, w.room().Processors)
		}
	}
	return s
}
