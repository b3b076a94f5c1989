package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	hotRack    identifier.Rack = "r0"
	nearFactor                 = 2.0
)

// newRacks returns a fleet of racks of eight workers, r0 the first.
func newRacks(t *testing.T, racks int, factor float64) *fleet {
	f := newFleet(t, 1, 8*racks)
	for i := range 8 * racks {
		id := identifier.Worker(fmt.Sprintf("w%03d", i))
		e := f.workers[id].entry
		e.Rack = identifier.Rack(fmt.Sprintf("r%d", i/8))
		f.workers[id].entry, f.b.dir.Workers[id] = e, e
	}
	f.remoteFactor = nearFactor
	f.b.p.settings.RemoteFactor = factor
	f.b.update(0)
	f.carryOut(f.b.commands)
	f.run(2 * time.Second)
	return f
}

// playHotRack plays 30 s in which jobs of ten tasks come, and a share of them wants the same rack, and
// returns the shares of jobs that are served and that meet their objective, and the mean time that one
// takes.
func playHotRack(t *testing.T, factor, hotShare, jobsPerSecond float64) (served, onTime float64, mean time.Duration) {
	const racks = 6
	f := newRacks(t, racks, factor)
	q := connector.QueueConfig{Name: queue, Service: service, MaxAttempts: 1, Stretch: 1.5, Allowance: identifier.Duration(250 * time.Millisecond)}
	for end := f.b.now.Add(30 * time.Second); f.b.now.Before(end); {
		rack := hotRack
		if f.rand.Float64() >= hotShare {
			rack = identifier.Rack(fmt.Sprintf("r%d", f.rand.IntN(racks)))
		}
		f.submit(q, time.Time{}, submitter.Step{
			Count: 10, Size: identifier.Size{Processors: 11_000, Memory: 8000}, Estimate: identifier.Duration(time.Second), DataRack: rack,
		})
		f.run(f.exponential(time.Duration(float64(time.Second) / jobsPerSecond)))
	}
	f.run(10 * time.Second)
	var class sizeClass
	total := time.Duration(0)
	for _, j := range f.jobs {
		class.add(j, 1750*time.Millisecond)
		total += j.took
	}
	return class.servedFraction(), float64(class.onTime) / float64(class.jobs), total / time.Duration(class.jobs)
}

// TestWaitForDataRackServesCallers checks, for loads from an idle rack to a fleet that is nearly full,
// that callers are served no worse than if no task ever waited for its rack, and sooner where runs
// away from their data would take room that others need.
func TestWaitForDataRackServesCallers(t *testing.T) {
	tests := map[string]struct {
		hotShare, jobsPerSecond float64
		sooner                  bool
	}{
		"calm":              {0, 8, false},
		"rack often full":   {0.6, 5, false},
		"rack full":         {0.6, 8, false},
		"rack flooded":      {0.9, 10, false},
		"fleet nearly full": {0.3, 16, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			neverServed, neverOnTime, neverMean := playHotRack(t, 1, tt.hotShare, tt.jobsPerSecond)
			served, onTime, mean := playHotRack(t, nearFactor, tt.hotShare, tt.jobsPerSecond)
			t.Logf("served %.3f, in time %.3f, mean %v without waits; %.3f, %.3f, %v with", neverServed, neverOnTime, neverMean, served, onTime, mean)
			if served < neverServed || onTime < neverOnTime-0.02 || mean > neverMean+neverMean/20 || tt.sooner && mean >= neverMean {
				t.Errorf("served %.3f, in time %.3f, mean %v without waits; %.3f, %.3f, %v with", neverServed, neverOnTime, neverMean, served, onTime, mean)
			}
		})
	}
}

// TestWaitForDataRack checks the decision for a task whose rack is full for 400 ms and that saves 1 s
// there.
func TestWaitForDataRack(t *testing.T) {
	const left = 400 * time.Millisecond
	tests := map[string]struct {
		factor    float64
		allowance time.Duration
		ahead     int
		waited    time.Duration
		change    func(s *submitter.Step)
		want      bool
	}{
		"short wait":                {nearFactor, 5 * time.Second, 0, 0, nil, true},
		"others are ahead":          {nearFactor, 5 * time.Second, 1, 0, nil, false},
		"as fast elsewhere":         {1, 5 * time.Second, 0, 0, nil, false},
		"saves less than the wait":  {1.3, 5 * time.Second, 0, 0, nil, false},
		"waited for what it saves":  {nearFactor, 5 * time.Second, 0, time.Second, nil, false},
		"in time elsewhere only":    {nearFactor, 800 * time.Millisecond, 0, 0, nil, false},
		"late elsewhere":            {nearFactor, 500 * time.Millisecond, 0, 0, nil, true},
		"no data":                   {nearFactor, 5 * time.Second, 0, 0, func(s *submitter.Step) { s.DataRack = "" }, false},
		"long-running":              {nearFactor, 5 * time.Second, 0, 0, func(s *submitter.Step) { s.LongRunning = true }, false},
		"rack lacks the label":      {nearFactor, 5 * time.Second, 0, 0, func(s *submitter.Step) { s.Label = "gpu" }, false},
		"never fits in the rack":    {nearFactor, 5 * time.Second, 0, 0, func(s *submitter.Step) { s.Size.Memory = 1 << 30 }, false},
		"rack of no known location": {nearFactor, 5 * time.Second, 0, 0, func(s *submitter.Step) { s.DataRack = "r9" }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newRacks(t, 2, tt.factor)
			step := submitter.Step{Count: 8, Size: identifier.Size{Processors: 40_000}, Estimate: identifier.Duration(time.Second), DataRack: hotRack}
			f.submit(queueConfig, time.Time{}, step)
			f.run(time.Second - left)
			for _, w := range f.b.p.workers {
				if w.entry.Rack == hotRack && w.id != "w000" {
					w.entry.Draining = true
				}
			}
			f.b.p.beginPass()
			step.Count = 1
			if tt.change != nil {
				tt.change(&step)
			}
			q := queueConfig
			q.Stretch, q.Allowance = 1, identifier.Duration(tt.allowance)
			j := &job{def: submitter.Job{ID: "a", Steps: []submitter.Step{step}}, queue: q, occurrences: map[int][]*taskGroup{}, runCount: 1}
			j.setWaitStart(f.b.now)
			f.b.p.createOccurrence(j, 0)
			task := &j.occurrences[0][0].tasks[0]
			task.readyAt = f.b.now.Add(-tt.waited)
			elsewhere := f.b.p.workers["w008"]
			for range tt.ahead {
				f.b.p.waitsForDataRack(task, elsewhere)
			}
			if got := f.b.p.waitsForDataRack(task, elsewhere); got != tt.want {
				t.Errorf("waits: %v, want %v", got, tt.want)
			}
		})
	}
}
