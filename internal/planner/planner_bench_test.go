package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// benchPlanner returns a planner whose workers have all answered.
func benchPlanner(workers int) (*Planner, time.Time) {
	now := time.UnixMilli(1_000_000)
	p := New(epoch, now, Settings{Lease: 5 * time.Second, InheritedLease: time.Second, MaxDirectoryAge: time.Hour, Retention: time.Second})
	dir := connector.Directory{
		Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{queue: queueConfig},
		Workers: map[identifier.Worker]connector.WorkerEntry{}, ConfigReadAt: now, WorkersReadAt: now,
	}
	for i := range workers {
		e := workerEntry(identifier.Worker(fmt.Sprintf("w%05d", i)))
		e.Capacity = identifier.Size{Processors: 16000, Memory: 64000}
		dir.Workers[e.ID] = e
	}
	for _, c := range p.Update(now, DirectoryChanged{dir}) {
		if h, ok := c.(PollWorker); ok {
			p.Inform(now, PollAnswered{Worker: h.To.ID, Order: h.Order, SentAt: now, Answer: connector.HoldAnswer{
				OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK},
			}})
		}
	}
	return p, now
}

// BenchmarkJob is the life of a job of eight tasks: submission, claims, starts
// and ends, without I/O.
func BenchmarkJob(b *testing.B) {
	const tasks = 8
	for _, workers := range []int{66, 490, 1800, 4800} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p, now := benchPlanner(workers)
			ends := map[identifier.Worker]identifier.EndNumber{}
			n := 0
			for b.Loop() {
				n++
				id := identifier.Job(fmt.Sprintf("%016x", n))
				p.Inform(now, JobSubmitted{Job: submitter.Job{ID: id, Queue: queue, Steps: []submitter.Step{{Count: tasks, Size: smallSize}}}, Queue: queueConfig})
				p.Update(now)
				for _, c := range p.Update(now, BatchSaved{p.TakeBatch()}) {
					s, ok := c.(StartRun)
					if !ok {
						continue
					}
					p.Inform(now, StartAnswered{Worker: s.To.ID, Run: s.Order.Run, Epoch: s.Order.Epoch, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK}})
					ends[s.To.ID]++
					p.Update(now, PollAnswered{Worker: s.To.ID, SentAt: now, Answer: connector.HoldAnswer{
						OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK},
						Ended:       []connector.EndedRun{{Number: ends[s.To.ID], Run: s.Order.Run, Reason: connector.EndDone}},
					}})
				}
				p.Update(now, BatchSaved{p.TakeBatch()})
				if n%100 == 0 {
					now = now.Add(time.Minute)
					p.Update(now)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n*tasks), "us/task")
		})
	}
}

// BenchmarkLook is the answer of a worker that runs sixteen tasks.
func BenchmarkLook(b *testing.B) {
	p, now := benchPlanner(66)
	answer := connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}}
	for b.Loop() {
		p.Update(now, PollAnswered{Worker: "w00000", SentAt: now, Answer: answer})
	}
}

// BenchmarkOverload is a pass over jobs that find no room.
func BenchmarkOverload(b *testing.B) {
	for _, jobs := range []int{100, 1000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			p, now := benchPlanner(66)
			big := identifier.Size{Processors: 20000}
			for n := range jobs {
				p.Inform(now, JobSubmitted{Job: submitter.Job{ID: identifier.Job(fmt.Sprintf("%016x", n)), Queue: queue, Steps: []submitter.Step{{Count: 8, Size: big}}}, Queue: queueConfig})
			}
			for b.Loop() {
				p.Update(now)
			}
		})
	}
}
