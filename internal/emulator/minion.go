package emulator

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Served records a request that a minion executed.
type Served struct {
	AtUnixNano int64              `json:"atUnixNano"`
	Minion     identifier.Minion  `json:"minion"`
	Request    identifier.Request `json:"request"`
	Idempotent bool               `json:"idempotent"`
}

// Minion is a back end with a limited number of request slots, which counts its slots and
// connections in use and records its requests. Its methods are safe for concurrent use.
type Minion struct {
	Host connector.MinionHost

	mu       sync.Mutex
	running  int
	peak     int
	conns    int
	maxConns int
	served   []Served
	leaving  bool
}

// NewMinion returns an idle minion.
func NewMinion(host connector.MinionHost) *Minion { return &Minion{Host: host} }

// Begin takes a slot for a request and records the request. It returns false, without any effect,
// if all slots are taken or the minion is leaving.
func (m *Minion) Begin(id identifier.Request, idempotent bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || m.running >= m.Host.Slots {
		return false
	}
	m.running++
	m.peak = max(m.peak, m.running)
	m.served = append(m.served, Served{time.Now().UnixNano(), m.Host.ID, id, idempotent})
	return true
}

// End releases the slot of a request.
func (m *Minion) End() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

// Leave makes the minion refuse new requests.
func (m *Minion) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Leaving reports whether the minion refuses new requests.
func (m *Minion) Leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// Connect counts a new connection.
func (m *Minion) Connect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns++
	m.maxConns = max(m.maxConns, m.conns)
}

// Disconnect counts a closed connection.
func (m *Minion) Disconnect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns--
}

// MinionHistory holds the records of a minion.
type MinionHistory struct {
	Host            connector.MinionHost `json:"host"`
	PeakSlots       int                  `json:"peakSlots"`
	PeakConnections int                  `json:"peakConnections"`
	Served          []Served             `json:"served"`
}

// History returns the minion's records.
func (m *Minion) History() MinionHistory {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MinionHistory{m.Host, m.peak, m.maxConns, append([]Served(nil), m.served...)}
}

// Running returns the number of requests in progress.
func (m *Minion) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running
}
