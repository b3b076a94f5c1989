package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// BenchmarkMixedPoll measures handling the answer of a worker that runs scavengers beside serving
// tasks, as most workers of a fully loaded deployment do.
func BenchmarkMixedPoll(b *testing.B) {
	const serving, scavengers = 4, 8
	p, now := benchPlanner(1)
	p.estimator.Set("serves", "fills", 0)
	steps := []submitter.Step{
		{Count: serving, Size: smallSize, LongRunning: true, TailTarget: identifier.Duration(time.Second), Image: "serves"},
		{Count: scavengers, Size: smallSize, Scavenger: true, Image: "fills"},
	}
	p.Inform(now, JobSubmitted{Job: submitter.Job{ID: "00000000000000aa", Queue: queue, Steps: steps}, Queue: queueConfig})
	var active []connector.ActiveRun
	for range 4 {
		p.Update(now)
		for _, c := range p.Update(now, BatchSaved{p.TakeBatch()}) {
			if s, ok := c.(StartRun); ok {
				p.Inform(now, StartAnswered{Worker: s.To.ID, Run: s.Order.Run, Epoch: s.Order.Epoch, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK}})
				r := connector.ActiveRun{Run: s.Order.Run, Percent: 100, TailLatency: 300 * time.Millisecond}
				if s.Order.Run.Task.Step == 1 {
					r.Percent, r.TailLatency, r.CPUUsed = 40, 0, 500
				}
				active = append(active, r)
			}
		}
		now = now.Add(10 * time.Second)
		dir := p.directory
		dir.ConfigReadAt, dir.WorkersReadAt = now, now
		p.Inform(now, DirectoryChanged{dir})
	}
	if len(active) < serving+1 {
		b.Fatalf("%d runs, want scavengers beside %d serving tasks", len(active), serving)
	}
	answer := connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}, Active: active}
	percent := 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		percent = (percent + 1) % 100
		for i := range answer.Active {
			if answer.Active[i].TailLatency == 0 {
				answer.Active[i].Percent = percent
			}
		}
		p.Update(now, PollAnswered{Worker: "w00000", SentAt: now, Answer: answer})
	}
	b.ReportMetric(float64(len(active)), "runs")
}

// BenchmarkScavengersWait measures a scheduling pass over jobs whose scavengers, of many images,
// find no worker, since all run serving tasks that they would harm. There are as many workers as in
// the largest deployment.
func BenchmarkScavengersWait(b *testing.B) {
	const images = 30
	for _, jobs := range []int{100, 1000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			p, now := benchPlanner(1800)
			p.Inform(now, JobSubmitted{Job: submitter.Job{ID: "00000000000000aa", Queue: queue, Steps: []submitter.Step{{
				Count: 1800, Size: identifier.Size{Processors: 14000, Memory: 1000}, LongRunning: true, TailTarget: identifier.Duration(time.Second), Image: "serves",
			}}}, Queue: queueConfig})
			p.Update(now)
			for n := range jobs {
				image := identifier.Image(fmt.Sprint("fills", n%images))
				p.estimator.Set("serves", image, 40)
				p.Inform(now, JobSubmitted{Job: submitter.Job{ID: identifier.Job(fmt.Sprintf("%016x", n)), Queue: queue, Steps: []submitter.Step{{
					Count: 30, Size: smallSize, Scavenger: true, Image: image,
				}}}, Queue: queueConfig})
			}
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				p.Update(now)
			}
		})
	}
}

// BenchmarkChoice measures a search for candidates for a scavenger that finds none among 1,800
// workers, each of which runs serving tasks of three images.
func BenchmarkChoice(b *testing.B) {
	const workers, images = 1800, 3
	p, now := benchPlanner(workers)
	for i := range images {
		image := identifier.Image(fmt.Sprint("serves", i))
		p.estimator.Set(image, "fills", 10)
		p.Inform(now, JobSubmitted{Job: submitter.Job{ID: identifier.Job(fmt.Sprintf("%016x", i)), Queue: queue, Steps: []submitter.Step{{
			Count: workers, Size: identifier.Size{Processors: 3000, Memory: 1000}, MaxPerWorker: 1, LongRunning: true, TailTarget: identifier.Duration(time.Second), Image: image,
		}}}, Queue: queueConfig})
		for range 8 {
			p.Update(now)
			p.orderWindow, p.unsentClaims = limiter.NewWindow(), 0
		}
	}
	const id identifier.Job = "00000000000000aa"
	p.Inform(now, JobSubmitted{Job: submitter.Job{ID: id, Queue: queue, Steps: []submitter.Step{{Count: 30, Size: smallSize, Scavenger: true, Image: "fills"}}}, Queue: queueConfig})
	t := &p.jobs[id].occurrences[0][0].tasks[0]
	d := p.demandOf(t, time.Second)
	p.beginPass()
	for b.Loop() {
		clear(p.pairEstimates)
		if c := p.newCandidateSet(t, d); len(c.candidates) > 0 {
			b.Fatalf("%d candidates, want none", len(c.candidates))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/workers, "ns/worker")
}
