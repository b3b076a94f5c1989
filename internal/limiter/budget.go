package limiter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

// Turnaway says why a listener turned a client away.
type Turnaway string

// The reasons for turning clients away.
const (
	TurnedConnections Turnaway = "connections"
	TurnedEvicted     Turnaway = "evicted"
	TurnedMemory      Turnaway = "memory"
	TurnedHeader      Turnaway = "header"
	TurnedBody        Turnaway = "body"
	TurnedTime        Turnaway = "time"
	TurnedElements    Turnaway = "elements"
)

// DoorName names a listener of a host.
type DoorName string

// The listeners of a host.
const (
	DoorFront   DoorName = "front"
	DoorPeers   DoorName = "peers"
	DoorAdmin   DoorName = "admin"
	DoorMetrics DoorName = "metrics"
	DoorReady   DoorName = "ready"
)

// doorShares is how a host is divided among its listeners, so that none can take what another one
// needs. What is left is for the host's own work: its state, the runtime, and its connections to
// the store, workers and other hosts.
var doorShares = map[DoorName]struct {
	// memory and descriptors are parts of those of the host.
	memory, descriptors float64
	// least is the number of connections that the listener takes whatever the host's size.
	least int
	// request is what a request takes beside its body.
	request Bytes
	// transferTime replaces the time that follows from the link, unless it is zero.
	transferTime time.Duration
}{
	DoorFront:   {1.0 / 10, 1.0 / 3, 32, requestBytes, 0},
	DoorPeers:   {1.0 / 10, 1.0 / 4, 16, requestBytes, 0},
	DoorAdmin:   {1.0 / 40, 1.0 / 64, 8, reportBytes, 0},
	DoorMetrics: {1.0 / 80, 1.0 / 128, 8, reportBytes, 0},
	DoorReady:   {1.0 / 80, 1.0 / 64, 16, requestBytes, probeTime},
}

const (
	// requestBytes is what a request takes beside its header and body: the context and the stack of
	// the library, and the first part of the body, which it reads by itself. reportBytes is the same
	// where answers are long: lists of jobs and metrics.
	requestBytes Bytes = 24 << 10
	reportBytes  Bytes = 256 << 10
)

const (
	// connectionBytes is what an idle connection takes: its goroutine and its first buffer.
	connectionBytes = 10 << 10
	// peerAddressShare is the part of the connections of a listener that one address may have.
	// Callers may all come through the address of one load balancer.
	peerAddressShare = 0.75
	// smallCharge is the most that a request may take without counting as large; largeShare is the
	// part of a listener's memory that large requests may take, so that they leave room for others.
	smallCharge = 64 << 10
	largeShare  = 0.5

	// defaultMemory and defaultDescriptors are taken for a host whose settings give none.
	defaultMemory      Bytes = 1 << 30
	defaultDescriptors       = 8192
	// transferShare is the part of the link that a full listener can count on.
	transferShare = 1.0 / 8
	// probeTime is what a readiness probe has; load balancers give one up after about a second.
	probeTime = 5 * time.Second
	// minTransferTime is the least time that a client has for sending a request or reading an answer.
	minTransferTime = 30 * time.Second
)

// HostSize is what a host has for all that it does. Fields that are zero are unknown.
type HostSize struct {
	Memory      Bytes
	Descriptors int
	// Link is in bytes a second.
	Link int
}

// DoorLimits are set limits of one listener; those that are zero follow from the size of the host.
type DoorLimits struct {
	Memory       Bytes
	Connections  int
	TransferTime time.Duration
}

// SetLimits are the limits that are set for the listeners of a host.
type SetLimits struct{ Front, Peers, Admin, Metrics, Ready DoorLimits }

func (l SetLimits) of(name DoorName) DoorLimits {
	switch name {
	case DoorFront:
		return l.Front
	case DoorPeers:
		return l.Peers
	case DoorAdmin:
		return l.Admin
	case DoorMetrics:
		return l.Metrics
	case DoorReady:
		return l.Ready
	default:
		return DoorLimits{}
	}
}

// Budget divides the memory and descriptors of a host among its listeners and counts the clients
// that were turned away. Its methods are safe for concurrent use.
type Budget struct {
	size   HostSize
	limits SetLimits

	mu     sync.Mutex
	doors  []*Door
	turned map[DoorName]map[Turnaway]int64
}

// NewBudget returns the budget of a host.
func NewBudget(size HostSize, limits SetLimits) *Budget {
	if size.Memory <= 0 {
		size.Memory = defaultMemory
	}
	if size.Descriptors <= 0 {
		size.Descriptors = defaultDescriptors
	}
	return &Budget{size: size, limits: limits, turned: map[DoorName]map[Turnaway]int64{}}
}

// Door returns the share of a listener; each is asked for once.
func (b *Budget) Door(name DoorName) *Door {
	share, set := doorShares[name], b.limits.of(name)
	memory := cmp.Or(set.Memory, Bytes(float64(b.size.Memory)*share.memory))
	connections := min(int(float64(b.size.Descriptors)*share.descriptors), int(memory/connectionBytes))
	connections = cmp.Or(set.Connections, max(connections, share.least))
	transferTime := minTransferTime
	if b.size.Link > 0 {
		transferTime = max(transferTime, time.Duration(float64(memory)/(float64(b.size.Link)*transferShare)*float64(time.Second)))
	}
	transferTime = cmp.Or(set.TransferTime, share.transferTime, transferTime)
	d := &Door{
		name: name, budget: b, memory: memory, connections: connections, transferTime: transferTime, request: share.request,
		perAddress: max(int(float64(connections)*peerAddressShare), 1), byAddress: map[string]int{},
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doors = append(b.doors, d)
	return d
}

// Use is what a listener has in use.
type Use struct {
	Memory      Bytes
	Connections int
}

// InUse returns what each listener has in use.
func (b *Budget) InUse() map[DoorName]Use {
	b.mu.Lock()
	doors := slices.Clone(b.doors)
	b.mu.Unlock()
	out := map[DoorName]Use{}
	for _, d := range doors {
		d.mu.Lock()
		out[d.name] = Use{d.taken, d.open}
		d.mu.Unlock()
	}
	return out
}

// TurnedAway returns how many clients were turned away since the start, by listener and reason.
func (b *Budget) TurnedAway() map[DoorName]map[Turnaway]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[DoorName]map[Turnaway]int64{}
	for door, reasons := range b.turned {
		out[door] = maps.Clone(reasons)
	}
	return out
}

func (b *Budget) turnAway(door DoorName, reason Turnaway) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.turned[door] == nil {
		b.turned[door] = map[Turnaway]int64{}
	}
	b.turned[door][reason]++
}
