// Package profiler measures on which parts of its work a holder spends its time, and how
// much of its processor is left.
package profiler

import (
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// Phase is a part of a holder's work.
type Phase int

// The parts. Time in which other goroutines or other processes had the processor counts
// for the part that was under way.
const (
	// PhaseIdle is no work of a holder.
	PhaseIdle Phase = iota
	// PhasePollAnswers takes the answers to looks into account, PartStarts those to starts.
	PhasePollAnswers
	PhaseStartAnswers
	// PhaseSaveAnswers goes on with what waited for the store.
	PhaseSaveAnswers
	// PhaseOtherEvents takes all other events into account.
	PhaseOtherEvents
	// PhasePlacement looks for places of ready tasks.
	PhasePlacement
	// PhaseMaintenance is the rest of a pass: leases, looks that are due, jobs to forget.
	PhaseMaintenance
	// PhaseDispatch hands commands on to those who carry them out.
	PhaseDispatch
	// PhaseEncoding encodes the state that is stored.
	PhaseEncoding

	parts
)

// LogKeys are those of the parts in logs; a part without one is not logged.
var LogKeys = [parts]string{
	PhasePollAnswers: "looksMs", PhaseStartAnswers: "startAnswersMs", PhaseSaveAnswers: "savedMs", PhaseOtherEvents: "otherEventsMs",
	PhasePlacement: "placeMs", PhaseMaintenance: "upkeepMs", PhaseDispatch: "ordersMs", PhaseEncoding: "recordsMs",
}

// Profile adds up the time of each part. The zero value is ready for use; its methods are
// safe for concurrent use.
type Profile struct{ spent [parts]atomic.Int64 }

// Add counts a time for a part.
func (p *Profile) Add(part Phase, d time.Duration) { p.spent[part].Add(int64(d)) }

// Spent returns the time of each part since the profile was made.
func (p *Profile) Spent() (out [parts]time.Duration) {
	for i := range p.spent {
		out[i] = time.Duration(p.spent[i].Load())
	}
	return out
}

// Timer assigns the time of one goroutine to parts. The zero value measures nothing.
type Timer struct {
	profile *Profile
	part    Phase
	since   time.Time
}

// NewTimer returns a clock that adds to a profile.
func NewTimer(p *Profile) *Timer { return &Timer{profile: p} }

// Enter says that the goroutine works on a part from now on.
func (c *Timer) Enter(part Phase) {
	if c.profile == nil || part == c.part {
		return
	}
	now := time.Now()
	if c.part != PhaseIdle {
		c.profile.Add(c.part, now.Sub(c.since))
	}
	c.part, c.since = part, now
}

// CPUMeter tells how busy this process keeps its processors, as the runtime sees it.
type CPUMeter struct{ last [processorMetrics]float64 }

// Usage is what became of the processor time between two readings.
type Usage struct {
	// Busy is the part of the time in which the processors were not idle, and Collecting
	// that in which they collected garbage.
	Busy, GC float64
}

const (
	metricTotal = iota
	metricIdle
	metricCollecting

	processorMetrics
)

var metricNames = [processorMetrics]string{
	metricTotal:      "/cpu/classes/total:cpu-seconds",
	metricIdle:       "/cpu/classes/idle:cpu-seconds",
	metricCollecting: "/cpu/classes/gc/total:cpu-seconds",
}

// Read returns the usage since the last reading, or since the process began. The runtime
// updates its figures when it collects garbage; without that the usage is zero.
func (p *CPUMeter) Read() Usage {
	samples := make([]metrics.Sample, processorMetrics)
	for i := range samples {
		samples[i].Name = metricNames[i]
	}
	metrics.Read(samples)
	var gone [processorMetrics]float64
	for i, s := range samples {
		if s.Value.Kind() != metrics.KindFloat64 {
			return Usage{}
		}
		gone[i] = s.Value.Float64() - p.last[i]
		p.last[i] = s.Value.Float64()
	}
	if gone[metricTotal] <= 0 {
		return Usage{}
	}
	return Usage{
		Busy: 1 - gone[metricIdle]/gone[metricTotal],
		GC:   gone[metricCollecting] / gone[metricTotal],
	}
}
