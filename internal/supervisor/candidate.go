package supervisor

import (
	"sync"
	"time"
)

// standInAfter is how long a host that is not of the largest kind waits for a larger
// one to hold cells before it does so itself: longer than the locator's 3 s between two
// look-ups, and than a membership lasts after the death of its host.
const standInAfter = 4 * time.Second

// candidacy decides whether a host may hold cells. The holder decides for all workers,
// so that the largest hosts do so while there is one.
type candidacy struct {
	cores   float64
	largest func() (cores float64, known bool)
	owners  func() []string
	coresOf func(address string) float64
	// reachable reports whether the owners were looked up lately; nil if that is not known.
	reachable func() bool

	mu sync.Mutex
	// known is whether the sizes of hosts were known at the last look, and standsIn what
	// it said.
	known, standsIn bool
	// largerSeen is when a larger host was last known to hold cells.
	largerSeen time.Time
}

// candidate reports whether this host may hold cells now.
func (c *candidacy) candidate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	largest, known := c.largest()
	if known != c.known || !c.standsIn && c.reachable != nil && !c.reachable() {
		// A host that could not know of larger ones has not seen that there are none. One
		// that stands in goes on; its membership ends if the store stays away.
		c.largerSeen, c.known = time.Now(), known
	}
	c.standsIn = c.mayStandIn(known, largest)
	return c.standsIn
}

// mayStandIn reports whether this host is of the largest kind, or no larger one has held
// cells for long enough.
func (c *candidacy) mayStandIn(known bool, largest float64) bool {
	if known && c.cores >= largest {
		return true
	}
	for _, address := range c.owners() {
		if c.coresOf(address) > c.cores {
			c.largerSeen = time.Now()
			return false
		}
	}
	return time.Since(c.largerSeen) > standInAfter
}
