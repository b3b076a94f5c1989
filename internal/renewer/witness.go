package renewer

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// ClockTracker remembers the newest reading of each cell's clock that a host has received from
// the cell's holder, and of which attempts to take cells over it has heard. If the host becomes the
// holder, it continues the clock from there. The zero value is ready for use; the methods are safe
// for concurrent use.
type ClockTracker struct {
	mu     sync.Mutex
	latest map[identifier.Cell]observation
	// takeovers are the last attempts to take each cell over, oldest first.
	takeovers map[identifier.Cell][]observedTakeover
}

// observedTakeover is an attempt to take a cell over, and the uptime of this host at which it heard
// of that.
type observedTakeover struct {
	id     TakeoverID
	uptime time.Duration
}

// maxTakeovers bounds the remembered attempts for each cell. An attempt that is repeated counts as a
// new one.
const maxTakeovers = 64

// observation is a reading and the uptime of this host at which it arrived.
type observation struct {
	ClockReading
	uptime time.Duration
}

// Observe records a holder's reading that arrived at the given uptime of this host. It replaces
// the previous one unless its epoch is older.
func (t *ClockTracker) Observe(cell identifier.Cell, r ClockReading, uptime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest == nil {
		t.latest = map[identifier.Cell]observation{}
	}
	known, ok := t.latest[cell]
	if ok && r.Epoch < known.Epoch {
		return
	}
	t.latest[cell] = observation{r, uptime}
}

// ObserveTakeover records that this host hears of an attempt to take a cell over, before that is
// stored. An empty ID is ignored.
func (t *ClockTracker) ObserveTakeover(cell identifier.Cell, id TakeoverID, uptime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.takeovers[cell]
	if id == "" || slices.ContainsFunc(known, func(o observedTakeover) bool { return o.id == id }) {
		return
	}
	if t.takeovers == nil {
		t.takeovers = map[identifier.Cell][]observedTakeover{}
	}
	known = append(known, observedTakeover{id, uptime})
	t.takeovers[cell] = known[max(len(known)-maxTakeovers, 0):]
}

// Estimate returns a lower bound of a cell's clock at the given uptime of this host, with the
// newest epoch that was observed, and the ages of the remembered takeovers. It is zero if nothing
// was observed.
func (t *ClockTracker) Estimate(cell identifier.Cell, uptime time.Duration) ClockEstimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e ClockEstimate
	if o, ok := t.latest[cell]; ok {
		e.ClockReading = ClockReading{Epoch: o.Epoch, Clock: o.Clock + Time(uptime-o.uptime)}
	}
	if known := t.takeovers[cell]; len(known) > 0 {
		e.Takeovers = make(map[TakeoverID]time.Duration, len(known))
		for _, o := range known {
			e.Takeovers[o.id] = uptime - o.uptime
		}
	}
	return e
}
