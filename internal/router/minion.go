package router

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// failuresToEject is how many failures in a row take a minion out.
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// busyPause is how long a minion that had no slot left is passed over.
	busyPause = 5 * time.Millisecond
	// leavingMemory is how long a minion that said it is leaving stays excluded
	// although the host list shows it as live.
	leavingMemory = time.Minute
)

// minion is one back end with the slots that this host has taken on it.
type minion struct {
	mu           sync.Mutex
	host         connector.MinionHost
	inFlight     int
	foreign      int
	failures     int
	ejections    int
	ejectedUntil time.Time
	leavingUntil time.Time
	busyUntil    time.Time
}

// take takes a slot if one is free.
func (m *minion) take() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight+m.foreign >= m.host.Slots || time.Now().Before(m.busyUntil) {
		return false
	}
	m.inFlight++
	return true
}

// load returns the share of slots in use, and whether one is free.
func (m *minion) load() (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	used := m.inFlight + m.foreign
	open := used < m.host.Slots && !time.Now().Before(m.busyUntil)
	return float64(used) / float64(max(m.host.Slots, 1)), open
}

func (m *minion) free() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.host.Slots-m.inFlight-m.foreign, 0)
}

// leaving reports whether the minion takes no new work.
func (m *minion) leaving(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.host.State != connector.HostLive || now.Before(m.leavingUntil)
}

func (m *minion) ejected(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.ejectedUntil)
}

// done gives a slot back and notes the result.
func (m *minion) done(r Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	now := time.Now()
	switch r {
	case ResultAnswered:
		m.failures, m.ejections = 0, 0
	case ResultLeaving:
		m.leavingUntil = now.Add(leavingMemory)
	case ResultBusy:
		m.busyUntil = now.Add(busyPause)
	case ResultFailed:
		m.failures++
		if m.failures >= failuresToEject {
			m.ejectedUntil = now.Add(ejection(m.ejections))
			m.ejections++
			m.failures = 0
		}
	}
}

func ejection(n int) time.Duration {
	return min(firstEjection<<min(n, 10), longestEjection)
}

func (m *minion) setHost(h connector.MinionHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.host.Address != h.Address {
		m.failures, m.ejectedUntil, m.leavingUntil = 0, time.Time{}, time.Time{}
	}
	m.host = h
}

func (m *minion) setForeign(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.foreign = n
}

func (m *minion) id() identifier.Minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.host.ID
}

func (m *minion) snapshot() (connector.MinionHost, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.host, m.inFlight
}
