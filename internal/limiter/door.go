package limiter

import (
	"container/list"
	"sync"
	"time"
)

// Door is the share of a listener in the budget of its host: memory for requests that are read and
// served, and connections. Its methods are safe for concurrent use.
type Door struct {
	name   DoorName
	budget *Budget

	memory, request         Bytes
	connections, perAddress int
	transferTime            time.Duration

	mu sync.Mutex
	// taken is the memory in use, large the part of it that large charges have.
	taken, large Bytes
	open         int
	byAddress    map[string]int
	// waiting holds the connections without a request, as *Slot, the one that waits longest first.
	waiting list.List
}

// TransferTime returns how long a client may take to send a request or to read an answer.
func (d *Door) TransferTime() time.Duration { return d.transferTime }

// Memory returns the memory that all requests together may take.
func (d *Door) Memory() Bytes { return d.memory }

// TurnAway counts a client that was turned away.
func (d *Door) TurnAway(reason Turnaway) { d.budget.turnAway(d.name, reason) }

// Slot is a connection of a Door. A connection that waits for a request may be evicted for a new one.
type Slot struct {
	door    *Door
	address string
	evict   func()
	// place is nil while the connection has a request, and once it is closed.
	place  *list.Element
	closed bool
}

// Open admits a connection from an address. If there is no room, the connection that has waited
// longest for a request is evicted, of the same address if that one has its share. Open returns
// false if none waits. evict closes a connection and may be called from any goroutine.
func (d *Door) Open(address string, evict func()) (*Slot, bool) {
	d.mu.Lock()
	var victim *Slot
	switch {
	case d.byAddress[address] >= d.perAddress:
		victim = d.longestWaiting(address)
	case d.open >= d.connections:
		victim = d.longestWaiting("")
	}
	if victim == nil && (d.byAddress[address] >= d.perAddress || d.open >= d.connections) {
		d.mu.Unlock()
		d.TurnAway(TurnedConnections)
		return nil, false
	}
	if victim != nil {
		victim.closeLocked()
	}
	s := &Slot{door: d, address: address, evict: evict}
	s.place = d.waiting.PushBack(s)
	d.open++
	d.byAddress[address]++
	d.mu.Unlock()
	if victim != nil {
		d.TurnAway(TurnedEvicted)
		victim.evict()
	}
	return s, true
}

// longestWaiting returns the connection that has waited longest, of one address unless it is empty,
// or nil; the caller holds mu.
func (d *Door) longestWaiting(address string) *Slot {
	for e := d.waiting.Front(); e != nil; e = e.Next() {
		if s, ok := e.Value.(*Slot); ok && (address == "" || s.address == address) {
			return s
		}
	}
	return nil
}

// Begin says that a request has come, after which the connection is not evicted. It returns false
// if the connection has been evicted before.
func (s *Slot) Begin() bool {
	s.door.mu.Lock()
	defer s.door.mu.Unlock()
	if s.place != nil {
		s.door.waiting.Remove(s.place)
		s.place = nil
	}
	return !s.closed
}

// Wait says that the connection waits for its next request.
func (s *Slot) Wait() {
	s.door.mu.Lock()
	defer s.door.mu.Unlock()
	if s.place == nil && !s.closed {
		s.place = s.door.waiting.PushBack(s)
	}
}

// Waiting reports whether the connection waits for a request.
func (s *Slot) Waiting() bool {
	s.door.mu.Lock()
	defer s.door.mu.Unlock()
	return s.place != nil
}

// Close gives the place of the connection back; further calls do nothing.
func (s *Slot) Close() {
	s.door.mu.Lock()
	defer s.door.mu.Unlock()
	s.closeLocked()
}

func (s *Slot) closeLocked() {
	if s.closed {
		return
	}
	s.closed = true
	if s.place != nil {
		s.door.waiting.Remove(s.place)
		s.place = nil
	}
	s.door.open--
	if s.door.byAddress[s.address]--; s.door.byAddress[s.address] == 0 {
		delete(s.door.byAddress, s.address)
	}
}

// Charge is the memory that one request has taken from a Door. It is used by one goroutine. The zero
// value is not limited.
type Charge struct {
	door  *Door
	taken Bytes
}

// NewCharge returns a charge that has taken nothing.
func (d *Door) NewCharge() Charge { return Charge{door: d} }

// Begin takes what a request takes beside its body, and returns false if there is no room for it.
func (c *Charge) Begin() bool { return c.Grow(c.door.request) }

// Grow takes n more bytes, and returns false if there is no room for them.
func (c *Charge) Grow(n Bytes) bool {
	d := c.door
	if d == nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	large := largePart(c.taken+n) - largePart(c.taken)
	if d.taken+n > d.memory || large > 0 && d.large+large > Bytes(float64(d.memory)*largeShare) {
		return false
	}
	d.taken += n
	d.large += large
	c.taken += n
	return true
}

// Shrink gives n bytes back.
func (c *Charge) Shrink(n Bytes) {
	d := c.door
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.taken -= n
	d.large -= largePart(c.taken) - largePart(c.taken-n)
	c.taken -= n
}

// Release gives all back.
func (c *Charge) Release() {
	if c.taken > 0 {
		c.Shrink(c.taken)
	}
}

// largePart returns what a charge of n bytes counts among the large ones.
func largePart(n Bytes) Bytes {
	if n <= smallCharge {
		return 0
	}
	return n
}
