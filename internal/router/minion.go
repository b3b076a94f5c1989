package router

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which a minion is ejected.
	ejectAfterFailures = 3
	// baseEjection is the duration of a first ejection. It doubles with each further one, up to
	// maxEjection.
	baseEjection = time.Second
	maxEjection  = 30 * time.Second
	// busyBackoff is how long a minion gets no requests after it refused one for lack of a free
	// slot.
	busyBackoff = 5 * time.Millisecond
	// leavingRetention is how long a minion that has announced in a response that it is leaving
	// gets no requests, even if the host list still shows it as live.
	leavingRetention = time.Minute
)

// minion is the state of one back end: the slots in use, and its health as seen by this host.
type minion struct {
	mu   sync.Mutex
	host connector.MinionHost
	// inFlight counts the requests of this host, peerInFlight those that its peers last reported.
	inFlight     int
	peerInFlight int
	// failures counts consecutive failures since the last ejection, ejections the ejections since
	// the last answer.
	failures     int
	ejections    int
	ejectedUntil time.Time
	leavingUntil time.Time
	busyUntil    time.Time
}

// acquire takes a slot and reports whether one was free.
func (m *minion) acquire() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight+m.peerInFlight >= m.host.Slots || time.Now().Before(m.busyUntil) {
		return false
	}
	m.inFlight++
	return true
}

// load returns the fraction of slots in use, and whether acquire may succeed now.
func (m *minion) load() (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	used := m.inFlight + m.peerInFlight
	available := used < m.host.Slots && !time.Now().Before(m.busyUntil)
	return float64(used) / float64(max(m.host.Slots, 1)), available
}

func (m *minion) freeSlots() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.host.Slots-m.inFlight-m.peerInFlight, 0)
}

// leaving reports whether the minion must get no new requests, because the host list does not show
// it as live or because it has announced that it is leaving.
func (m *minion) leaving(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.host.State != connector.HostLive || now.Before(m.leavingUntil)
}

// ejected reports whether the minion is excluded because of consecutive failures.
func (m *minion) ejected(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.ejectedUntil)
}

// release returns a slot and updates the minion's health from the result of the request.
func (m *minion) release(r Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	now := time.Now()
	switch r {
	case ResultAnswered:
		m.failures, m.ejections = 0, 0
	case ResultLeaving:
		m.leavingUntil = now.Add(leavingRetention)
	case ResultBusy:
		m.busyUntil = now.Add(busyBackoff)
	case ResultFailed:
		m.failures++
		if m.failures >= ejectAfterFailures {
			m.ejectedUntil = now.Add(ejectionDuration(m.ejections))
			m.ejections++
			m.failures = 0
		}
	}
}

// ejectionDuration returns the duration of an ejection that follows n others.
func ejectionDuration(n int) time.Duration {
	return min(baseEjection<<min(n, 10), maxEjection)
}

// setHost updates the entry from the host list. A new address means a new process, to which the
// failures, ejection and leaving state of the old one do not apply.
func (m *minion) setHost(h connector.MinionHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.host.Address != h.Address {
		m.failures, m.ejectedUntil, m.leavingUntil = 0, time.Time{}, time.Time{}
	}
	m.host = h
}

func (m *minion) setPeerInFlight(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerInFlight = n
}

func (m *minion) id() identifier.Minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.host.ID
}

func (m *minion) hostAndInFlight() (connector.MinionHost, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.host, m.inFlight
}
