package supervisor

import (
	"sync"
	"time"
)

// fallbackDelay is how long a smaller host must see no larger host hold a cell before it becomes
// eligible itself. It is longer than the locator's refresh period of 3 s, and longer than the
// membership of a dead host lasts.
const fallbackDelay = 4 * time.Second

// eligibility decides whether a host may hold cells. Holding a cell means scheduling all of its
// workers, so that only the hosts with the most processors hold cells; smaller hosts are the
// fallback while none of the largest does.
type eligibility struct {
	// cores is the size of this host.
	cores float64
	// largestHost returns the size of the largest host; known is false until the hosts'
	// announcements have been read.
	largestHost func() (cores float64, known bool)
	// cellOwners returns the addresses of the hosts that hold cells.
	cellOwners func() []string
	// coresOf returns the size of the host at an address, or zero if it is not known.
	coresOf func(address string) float64
	// storeReachable reports whether the cells' owners were read from the store recently. If it
	// is nil, the store counts as reachable.
	storeReachable func() bool

	mu sync.Mutex
	// sizesKnown is whether the sizes of the hosts were known at the last call of eligible, and
	// wasEligible the result of that call.
	sizesKnown, wasEligible bool
	// largerSeenAt is the last time at which a larger host held a cell or may have held one.
	largerSeenAt time.Time
}

// eligible reports whether this host may hold cells now.
func (e *eligibility) eligible() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	largest, known := e.largestHost()
	if known != e.sizesKnown || !e.wasEligible && e.storeReachable != nil && !e.storeReachable() {
		// While this host could not see the others, a larger one may have held cells, so that
		// fallbackDelay starts again. A host that is already eligible stays so when the store
		// cannot be reached: its membership expires if that lasts.
		e.largerSeenAt, e.sizesKnown = time.Now(), known
	}
	e.wasEligible = e.evaluate(known, largest)
	return e.wasEligible
}

// evaluate reports whether this host is one of the largest, or no larger one has held a cell for
// fallbackDelay. The caller holds mu.
func (e *eligibility) evaluate(known bool, largest float64) bool {
	if known && e.cores >= largest {
		return true
	}
	for _, address := range e.cellOwners() {
		if e.coresOf(address) > e.cores {
			e.largerSeenAt = time.Now()
			return false
		}
	}
	return time.Since(e.largerSeenAt) > fallbackDelay
}
