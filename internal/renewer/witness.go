package renewer

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// ClockTracker remembers what a host hears of the cells' clocks from their holders, so that it goes
// on from there if it becomes a holder. The zero value has heard nothing; its methods are safe
// for concurrent use.
type ClockTracker struct {
	mu    sync.Mutex
	heard map[identifier.Cell]heard
}

// heard is a reading, and the uptime of this host at which it arrived.
type heard struct {
	ClockReading
	arrived time.Duration
}

// Observe notes a holder's reading, which arrives at an uptime of this host. The newest one of the
// newest holder counts.
func (w *ClockTracker) Observe(cell identifier.Cell, r ClockReading, uptime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.heard == nil {
		w.heard = map[identifier.Cell]heard{}
	}
	known, ok := w.heard[cell]
	if ok && r.Epoch < known.Epoch {
		return
	}
	w.heard[cell] = heard{r, uptime}
}

// Estimate returns what the clock of a cell shows at least at an uptime of this host, by its
// newest holder that was heard of.
func (w *ClockTracker) Estimate(cell identifier.Cell, uptime time.Duration) ClockReading {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.heard[cell]
	if !ok {
		return ClockReading{}
	}
	return ClockReading{Epoch: h.Epoch, Clock: h.Clock + Time(uptime-h.arrived)}
}
