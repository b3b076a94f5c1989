// Package profiler measures on which parts of its work a holder spends its time, and how
// much of its processor is left.
package profiler

import (
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// Part is a part of a holder's work.
type Part int

// The parts. Time in which other goroutines or other processes had the processor counts
// for the part that was under way.
const (
	// PartOutside is no work of a holder.
	PartOutside Part = iota
	// PartLooks takes the answers to looks into account, PartStarts those to starts.
	PartLooks
	PartStarts
	// PartSaved goes on with what waited for the store.
	PartSaved
	// PartEvents takes all other events into account.
	PartEvents
	// PartPlace looks for places of ready tasks.
	PartPlace
	// PartUpkeep is the rest of a pass: leases, looks that are due, jobs to forget.
	PartUpkeep
	// PartOrders hands commands on to those who carry them out.
	PartOrders
	// PartRecords encodes the state that is stored.
	PartRecords

	parts
)

// Names are those of the parts in logs; a part without one is not logged.
var Names = [parts]string{
	PartLooks: "looksMs", PartStarts: "startAnswersMs", PartSaved: "savedMs", PartEvents: "otherEventsMs",
	PartPlace: "placeMs", PartUpkeep: "upkeepMs", PartOrders: "ordersMs", PartRecords: "recordsMs",
}

// Profile adds up the time of each part. The zero value is ready for use; its methods are
// safe for concurrent use.
type Profile struct{ spent [parts]atomic.Int64 }

// Add counts a time for a part.
func (p *Profile) Add(part Part, d time.Duration) { p.spent[part].Add(int64(d)) }

// Spent returns the time of each part since the profile was made.
func (p *Profile) Spent() (out [parts]time.Duration) {
	for i := range p.spent {
		out[i] = time.Duration(p.spent[i].Load())
	}
	return out
}

// Clock assigns the time of one goroutine to parts. The zero value measures nothing.
type Clock struct {
	profile *Profile
	part    Part
	since   time.Time
}

// NewClock returns a clock that adds to a profile.
func NewClock(p *Profile) *Clock { return &Clock{profile: p} }

// Enter says that the goroutine works on a part from now on.
func (c *Clock) Enter(part Part) {
	if c.profile == nil || part == c.part {
		return
	}
	now := time.Now()
	if c.part != PartOutside {
		c.profile.Add(c.part, now.Sub(c.since))
	}
	c.part, c.since = part, now
}

// Processor tells how busy this process keeps its processors, as the runtime sees it.
type Processor struct{ last [processorMetrics]float64 }

// Usage is what became of the processor time between two readings.
type Usage struct {
	// Busy is the part of the time in which the processors were not idle, and Collecting
	// that in which they collected garbage.
	Busy, Collecting float64
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
func (p *Processor) Read() Usage {
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
		Busy:       1 - gone[metricIdle]/gone[metricTotal],
		Collecting: gone[metricCollecting] / gone[metricTotal],
	}
}
