package renewer

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// ClockTracker remembers the newest reading of each cell's clock that a host has received from
// the cell's holder. If the host becomes the holder, it continues the clock from there. The zero
// value is ready for use; the methods are safe for concurrent use.
type ClockTracker struct {
	mu     sync.Mutex
	latest map[identifier.Cell]observation
}

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

// Estimate returns a lower bound of a cell's clock at the given uptime of this host, with the
// newest epoch that was observed. It is zero if no reading was observed.
func (t *ClockTracker) Estimate(cell identifier.Cell, uptime time.Duration) ClockReading {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.latest[cell]
	if !ok {
		return ClockReading{}
	}
	return ClockReading{Epoch: o.Epoch, Clock: o.Clock + Time(uptime-o.uptime)}
}
