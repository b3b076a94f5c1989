package planner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestCandidateSetPlacesLikeFullSearch checks that a candidate set places the tasks of a step on
// the same workers as a search of all workers for each task.
func TestCandidateSetPlacesLikeFullSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		dir := connector.Directory{
			Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{queue: queueConfig}, ConfigReadAt: now, WorkersReadAt: now,
			Workers: map[identifier.Worker]connector.WorkerEntry{},
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "workers") {
			e := workerEntry(identifier.Worker(fmt.Sprintf("w%02d", i)))
			e.Capacity = identifier.Size{
				Processors: identifier.Millicores(rapid.IntRange(1, 8).Draw(t, "cores") * 1000), Memory: identifier.Mebibytes(rapid.IntRange(1, 9).Draw(t, "memory") * 1000),
			}
			e.Rack = identifier.Rack(rapid.SampledFrom([]string{"r1-1", "r1-2"}).Draw(t, "rack"))
			dir.Workers[e.ID] = e
		}
		kind := rapid.SampledFrom([]loadKind{loadPlain, loadServing, loadScavenger})
		var steps []submitter.Step
		for range rapid.IntRange(1, 3).Draw(t, "steps") {
			s := submitter.Step{Count: rapid.IntRange(1, 12).Draw(t, "count"), Size: smallSize, Image: identifier.Image(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "image"))}
			switch kind.Draw(t, "kind") {
			case loadServing:
				s.LongRunning, s.TailTarget = true, identifier.Duration(time.Second)
			case loadScavenger:
				s.Scavenger = true
			case loadPlain:
				s.MaxPerWorker = rapid.IntRange(0, 2).Draw(t, "most")
				s.DataRack = identifier.Rack(rapid.SampledFrom([]string{"", "r1-1"}).Draw(t, "data"))
			}
			steps = append(steps, s)
		}
		withSets, byFullSearch := placements(dir, now, steps, false), placements(dir, now, steps, true)
		for name, w := range byFullSearch {
			if withSets[name] != w {
				t.Fatalf("%s goes to %q, want %q", name, withSets[name], w)
			}
		}
		if len(withSets) != len(byFullSearch) {
			t.Fatalf("%d tasks are placed, want %d", len(withSets), len(byFullSearch))
		}
	})
}

// placements returns where the tasks of a job's steps are placed: with candidate sets, or by a
// search of all workers for each task if fullSearch is set.
func placements(dir connector.Directory, now time.Time, steps []submitter.Step, fullSearch bool) map[identifier.JobTask]identifier.Worker {
	p := New(epoch, now, Settings{Lease: 5 * time.Second, InheritedLease: time.Second, MaxDirectoryAge: time.Hour})
	for _, c := range p.Update(now, DirectoryChanged{dir}) {
		if h, ok := c.(PollWorker); ok {
			p.Inform(now, PollAnswered{Worker: h.To.ID, Order: h.Order, SentAt: now, Answer: connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}}})
		}
	}
	p.Inform(now, JobSubmitted{Job: submitter.Job{ID: "00000000000000aa", Queue: queue, Steps: steps}, Queue: queueConfig})
	if fullSearch {
		p.setTime(now)
		p.beginPass()
		p.updateHeadrooms()
		for _, g := range p.jobs["00000000000000aa"].occurrences[0] {
			for i := range g.tasks {
				t := &g.tasks[i]
				if w := p.bestWorker(t, p.demandOf(t, p.patience(g))); w != nil {
					p.claim(t, w, 1)
				}
			}
		}
	} else {
		p.Update(now)
	}
	out := map[identifier.JobTask]identifier.Worker{}
	for id, w := range p.workers {
		for r := range w.runs {
			out[r.Task] = id
		}
	}
	return out
}
