// Package profiler measures how much time the holder of a cell spends in each phase of its
// work, and how busy its processors are.
package profiler

import (
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// Phase is a phase of a holder's work.
type Phase int

// The phases. Time is wall time: while other goroutines or processes run on the processor, it
// counts for the current phase.
const (
	// PhaseIdle is the time outside all other phases. It is not recorded.
	PhaseIdle Phase = iota
	// PhasePollAnswers processes the answers of workers to polls.
	PhasePollAnswers
	// PhaseStartAnswers processes the answers of workers to starts of runs.
	PhaseStartAnswers
	// PhaseSaveAnswers continues with the work that was waiting for state to be stored.
	PhaseSaveAnswers
	// PhaseOtherEvents processes all other events.
	PhaseOtherEvents
	// PhasePlacement assigns ready tasks to workers.
	PhasePlacement
	// PhaseMaintenance is the rest of a scheduling pass: leases, due polls, expired jobs.
	PhaseMaintenance
	// PhaseDispatch passes the planner's commands on for execution.
	PhaseDispatch
	// PhaseEncoding encodes the state to be stored.
	PhaseEncoding

	numPhases
)

// LogKeys holds the log key for the time of each phase; a phase without a key is not logged.
var LogKeys = [numPhases]string{
	PhasePollAnswers: "looksMs", PhaseStartAnswers: "startAnswersMs", PhaseSaveAnswers: "savedMs", PhaseOtherEvents: "otherEventsMs",
	PhasePlacement: "placeMs", PhaseMaintenance: "upkeepMs", PhaseDispatch: "ordersMs", PhaseEncoding: "recordsMs",
}

// Profile accumulates the time spent in each phase. The zero value is ready for use. Its
// methods are safe for concurrent use.
type Profile struct{ spent [numPhases]atomic.Int64 }

// Add adds a duration to a phase.
func (p *Profile) Add(phase Phase, d time.Duration) { p.spent[phase].Add(int64(d)) }

// Spent returns the total time of each phase since the profile was created.
func (p *Profile) Spent() (out [numPhases]time.Duration) {
	for i := range p.spent {
		out[i] = time.Duration(p.spent[i].Load())
	}
	return out
}

// Timer assigns the time of one goroutine to phases. The zero value measures nothing.
type Timer struct {
	profile *Profile
	phase   Phase
	since   time.Time
}

// NewTimer returns a timer that adds to a profile and starts in PhaseIdle.
func NewTimer(p *Profile) *Timer { return &Timer{profile: p} }

// Enter ends the current phase, adds its time to the profile, and begins another phase.
func (t *Timer) Enter(phase Phase) {
	if t.profile == nil || phase == t.phase {
		return
	}
	now := time.Now()
	if t.phase != PhaseIdle {
		t.profile.Add(t.phase, now.Sub(t.since))
	}
	t.phase, t.since = phase, now
}

// CPUMeter measures the CPU use of this process by the metrics of the Go runtime.
type CPUMeter struct{ last [numMetrics]float64 }

// Usage is the use of the available processor time between two readings.
type Usage struct {
	// Busy is the fraction of the time in which the processors were not idle, and GC the
	// fraction spent in garbage collection.
	Busy, GC float64
}

const (
	metricTotal = iota
	metricIdle
	metricGC

	numMetrics
)

var metricNames = [numMetrics]string{
	metricTotal: "/cpu/classes/total:cpu-seconds",
	metricIdle:  "/cpu/classes/idle:cpu-seconds",
	metricGC:    "/cpu/classes/gc/total:cpu-seconds",
}

// Read returns the usage since the last reading, or since the process started. The runtime
// updates these metrics only in a garbage collection, so that the usage is zero if there was
// none between two readings.
func (m *CPUMeter) Read() Usage {
	samples := make([]metrics.Sample, numMetrics)
	for i := range samples {
		samples[i].Name = metricNames[i]
	}
	metrics.Read(samples)
	var delta [numMetrics]float64
	for i, s := range samples {
		if s.Value.Kind() != metrics.KindFloat64 {
			return Usage{}
		}
		delta[i] = s.Value.Float64() - m.last[i]
		m.last[i] = s.Value.Float64()
	}
	if delta[metricTotal] <= 0 {
		return Usage{}
	}
	return Usage{
		Busy: 1 - delta[metricIdle]/delta[metricTotal],
		GC:   delta[metricGC] / delta[metricTotal],
	}
}
