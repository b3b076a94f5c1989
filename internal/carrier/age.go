package carrier

import (
	"sync"
	"time"
)

// ageMeter tells how old messages of another host are although the two clocks have
// nothing in common: the least difference between receiving and sending that was seen
// stands for a message that came at once. The zero value has seen none.
type ageMeter struct {
	mu      sync.Mutex
	known   bool
	least   time.Duration
	updated time.Duration
}

// ageDrift is by how much the rates of two hosts' clocks may differ.
const ageDrift = 0.001

// age returns how much longer than the fastest one a message was under way, by the
// time of receipt and that of sending, each by its own host's clock.
func (m *ageMeter) age(received, sent time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	difference := received - sent
	if m.known {
		// The least may have grown by the drift of the clocks since.
		m.least += time.Duration(ageDrift * float64(max(received-m.updated, 0)))
	}
	if !m.known || difference < m.least {
		m.least, m.known = difference, true
	}
	m.updated = received
	return difference - m.least
}
