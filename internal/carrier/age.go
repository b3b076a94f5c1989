package carrier

import (
	"sync"
	"time"
)

// delayEstimator estimates how long messages from another host were delayed without
// synchronised clocks: the smallest difference seen between a receive time and a send time
// is taken as the clock offset plus the minimum latency. The zero value is ready to use.
type delayEstimator struct {
	mu           sync.Mutex
	initialised  bool
	minOffset    time.Duration
	lastReceived time.Duration
}

// maxClockDrift is the greatest assumed relative difference between the rates of two hosts'
// clocks.
const maxClockDrift = 0.001

// delay records a message and returns how much longer it took than the fastest one so far.
// Received and sent are readings of the receiver's and of the sender's own clock.
func (e *delayEstimator) delay(received, sent time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	offset := received - sent
	if e.initialised {
		// Clock drift may have increased the true offset since the last message.
		e.minOffset += time.Duration(maxClockDrift * float64(max(received-e.lastReceived, 0)))
	}
	if !e.initialised || offset < e.minOffset {
		e.minOffset, e.initialised = offset, true
	}
	e.lastReceived = received
	return offset - e.minOffset
}
