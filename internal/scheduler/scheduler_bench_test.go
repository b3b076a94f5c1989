package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// BenchmarkPlaceTask measures the claim of one task among workers that are half full.
func BenchmarkPlaceTask(b *testing.B) {
	for _, workers := range []int{22, 180, 4800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := newHarness(parser.InService, workers)
			for i := range workers {
				w := identifier.Worker(fmt.Sprint("w", i))
				h.holdLease(1)
				h.report(w, 1)
				for n := range 4 {
					h.Update(TaskChanged{tracker.Task{
						ID: identifier.Task(fmt.Sprint("r", i, "-", n)), Pool: "runs", State: tracker.StateClaimed,
						Attempt: 1, DataCentre: "a", Worker: w, Size: size(2, 4),
					}})
				}
			}
			time.Sleep(time.Millisecond)
			now := time.Now()
			h.Update(Tick{ConfigCaughtUpAt: now, TasksCaughtUpAt: now})
			config := testConfig(parser.InService)
			config.Teams["t"].Quota = size(1<<20, 1<<20)
			h.Update(ConfigChanged{config})
			b.ResetTimer()
			for i := range b.N {
				id := identifier.Task(fmt.Sprint("n", i))
				h.Update(TaskChanged{tracker.Task{ID: id, Pool: "runs", State: tracker.StateWaiting}})
				h.Scheduler.tick = Tick{ConfigCaughtUpAt: time.Now(), TasksCaughtUpAt: time.Now()}
				h.emitted = nil
				h.claimWaiting()
				h.Update(TaskChanged{tracker.Task{ID: id, Pool: "runs", State: tracker.StateEnded}})
				for cid, c := range h.pendingClaims {
					delete(h.pendingClaims, cid)
					h.unreserve(c.worker, cid)
				}
			}
		})
	}
}

// BenchmarkHeartbeatRound measures the handling of one report of a worker with running tasks.
func BenchmarkHeartbeatRound(b *testing.B) {
	for _, tasks := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			h := newHarness(parser.InService, 1)
			h.holdLease(1)
			var reported []connector.WorkerTask
			for n := range tasks {
				id := identifier.Task(fmt.Sprint("r", n))
				h.Update(TaskChanged{tracker.Task{ID: id, Pool: "runs", State: tracker.StateClaimed, Attempt: 1, DataCentre: "a", Worker: "w0", Size: size(0, 0)}})
				reported = append(reported, connector.WorkerTask{Task: id, Attempt: 1, Phase: connector.PhaseRunning})
			}
			b.ResetTimer()
			for range b.N {
				h.Update(WorkerAnswered{Worker: "w0", Epoch: 1, SentAt: time.Now(), Report: connector.Report{Lease: "l", Tasks: reported}})
			}
		})
	}
}

// BenchmarkIdleTick measures a tick over running tasks with nothing to do: "pass" visits only tasks
// that are not known to run as wanted, "sweep" visits all.
func BenchmarkIdleTick(b *testing.B) {
	for _, tasks := range []int{300, 2400, 64000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			h := newHarness(parser.InService, 180)
			h.holdLease(1)
			reported := map[identifier.Worker][]connector.WorkerTask{}
			for n := range tasks {
				w := identifier.Worker(fmt.Sprint("w", n%180))
				reported[w] = append(reported[w], connector.WorkerTask{Task: identifier.Task(fmt.Sprint("r", n)), Attempt: 1, Phase: connector.PhaseRunning})
				h.Update(TaskChanged{tracker.Task{
					ID: identifier.Task(fmt.Sprint("r", n)), Pool: "runs", State: tracker.StateClaimed, Attempt: 1,
					DataCentre: "a", Worker: w, Size: size(0, 0), GraceMs: 1 << 40,
				}})
			}
			for w, list := range reported {
				h.report(w, 1, list...)
			}
			pass := func(sweep bool) {
				now := time.Now()
				if sweep {
					h.nextResync = now
				}
				h.holdLease(1)
				h.Update(Tick{ConfigCaughtUpAt: now, TasksCaughtUpAt: now})
			}
			pass(true)
			for name, sweep := range map[string]bool{"pass": false, "sweep": true} {
				b.Run(name, func(b *testing.B) {
					for range b.N {
						pass(sweep)
					}
				})
			}
		})
	}
}

var sink any

// BenchmarkRecordBytes reports the encoded size of the records of one start.
func BenchmarkRecordBytes(b *testing.B) {
	bodies := []encoder.Body{
		encoder.Submit{Task: "t-00000000-0000-0000-0000-000000000000", Pool: "invoices", AtUnixMs: 1796360000000},
		encoder.Claim{
			Task: "t-00000000-0000-0000-0000-000000000000", Attempt: 1, DataCentre: "tallinn-a", Worker: "tallinn-a-w10",
			Epoch: 12, Size: size(2, 4), GraceMs: 60000,
		},
		encoder.End{Task: "t-00000000-0000-0000-0000-000000000000", Attempt: 1, Outcome: encoder.OutcomeDone},
	}
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("starts=%d", n), func(b *testing.B) {
			var records []encoder.Record
			for range n {
				for _, body := range bodies {
					records = append(records, encoder.NewRecord(body))
				}
			}
			var data []byte
			for range b.N {
				var err error
				if data, err = encoder.Encode(records); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data))/float64(n), "bytes/start")
			sink = data
		})
	}
}

// BenchmarkSaturatedPass measures a tick with waiting tasks for which there is no room or no quota
// left.
func BenchmarkSaturatedPass(b *testing.B) {
	for name, quota := range map[string]identifier.Size{"room": size(1<<20, 1<<20), "quota": size(300, 1<<20)} {
		for _, waiting := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("%s/waiting=%d", name, waiting), func(b *testing.B) {
				h := newHarness(parser.InService, 22)
				config := testConfig(parser.InService)
				config.Teams["t"].Quota = quota
				h.Update(ConfigChanged{config})
				h.holdLease(1)
				for i := range 22 {
					h.report(identifier.Worker(fmt.Sprint("w", i)), 1)
				}
				for i := range waiting + 200 {
					h.Update(TaskChanged{waitingTask(fmt.Sprint("r", i))})
				}
				time.Sleep(time.Millisecond)
				b.ResetTimer()
				for range b.N {
					for id, c := range h.pendingClaims {
						c.expiresAt = time.Now().Add(time.Hour)
						h.pendingClaims[id] = c
					}
					now := time.Now()
					h.Update(Tick{ConfigCaughtUpAt: now, TasksCaughtUpAt: now})
				}
			})
		}
	}
}
