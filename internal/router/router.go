// Package router decides which minion a request is sent to. Each minion is owned by one entry host
// of its data centre, determined by rendezvous hashing over the members. Only the owner sends
// requests to the minion; other entry hosts forward theirs to the owner.
package router

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Result is the outcome of a request sent to a minion.
type Result int

// The results of a request.
const (
	ResultAnswered Result = iota
	// ResultBusy means that the minion refused the request because it had no free slot.
	ResultBusy
	// ResultLeaving means that the minion refused the request because it is shutting down.
	ResultLeaving
	ResultFailed
)

// Choice is a routing decision: Local, Forward, Wait or None.
type Choice interface{ isChoice() }

// Local means: send the request to a minion that this host owns. A slot has been taken, and the
// caller must call Done exactly once to return it.
type Local struct {
	Host connector.MinionHost
	Done func(Result)
}

// Forward means: forward the request to an entry host that has reported free slots.
type Forward struct {
	Entry      identifier.Entry
	DataCentre identifier.DataCentre
}

// Wait means that the service has minions but none can take a request now, and the caller should
// retry.
type Wait struct{}

// None means that there is no minion for the request. Reason is the text for the refusal.
type None struct{ Reason string }

func (Local) isChoice()   {}
func (Forward) isChoice() {}
func (Wait) isChoice()    {}
func (None) isChoice()    {}

// Peer is the load that another entry host last reported: free slots for each service on the
// minions that it owns, and its requests in flight on each minion.
type Peer struct {
	Entry      identifier.Entry
	DataCentre identifier.DataCentre
	Free       map[identifier.Service]int
	InFlight   map[identifier.Minion]int
}

// Exclusions are the minions and entry hosts that must not get a request again.
type Exclusions struct {
	Minions map[identifier.Minion]bool
	Entries map[identifier.Entry]bool
}

// NewExclusions returns an empty set of exclusions.
func NewExclusions() *Exclusions {
	return &Exclusions{Minions: map[identifier.Minion]bool{}, Entries: map[identifier.Entry]bool{}}
}

// Router chooses a minion or a peer for each request, from the minions of its data centre and the
// load that peers report. Its methods are safe for concurrent use.
type Router struct {
	self       identifier.Entry
	dataCentre identifier.DataCentre
	strategy   Strategy

	mu       sync.RWMutex
	minions  map[identifier.Minion]*minion
	services map[identifier.Service]*serviceState
	members  []identifier.Entry
	peers    []Peer
	config   *checker.Set
}

// serviceState is the routing state of one service. It has its own lock, so that requests for
// different services do not contend.
type serviceState struct {
	mu sync.Mutex
	// owned are the minions of the service that this host owns.
	owned []*minion
	// forwards counts the requests forwarded to each peer since SetMembers last updated the peers.
	// They are deducted from the free slots that the peer reported.
	forwards  map[identifier.Entry]int
	slotFreed chan struct{}
}

// Option configures a Router.
type Option func(*Router)

// WithStrategy sets the strategy for choosing among the owned minions. The default is LeastLoaded.
func WithStrategy(s Strategy) Option { return func(r *Router) { r.strategy = s } }

// New returns a router for the entry host self of data centre dc. It has no minions until SetHosts
// is called, and no services until SetConfig is.
func New(self identifier.Entry, dc identifier.DataCentre, opts ...Option) *Router {
	strategy, err := Strategies.Get(LeastLoaded)
	if err != nil {
		panic(err)
	}
	r := &Router{
		self: self, dataCentre: dc, strategy: strategy,
		minions:  map[identifier.Minion]*minion{},
		services: map[identifier.Service]*serviceState{},
		members:  []identifier.Entry{self},
		config:   checker.NewSet(),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetConfig sets the active configuration.
func (r *Router) SetConfig(set *checker.Set) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = set
}

// SetHosts updates the minions from the platform's host list; those of other data centres are
// ignored. A minion that is no longer listed gets no new requests and is removed once none is in
// flight.
func (r *Router) SetHosts(hosts []connector.MinionHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[identifier.Minion]bool{}
	for _, h := range hosts {
		if h.DataCentre != r.dataCentre {
			continue
		}
		listed[h.ID] = true
		if m, ok := r.minions[h.ID]; ok {
			m.setHost(h)
			continue
		}
		r.minions[h.ID] = &minion{host: h}
	}
	for id, m := range r.minions {
		if _, inFlight := m.hostAndInFlight(); !listed[id] && inFlight == 0 {
			delete(r.minions, id)
		} else if !listed[id] {
			h, _ := m.hostAndInFlight()
			h.State = connector.HostLeaving
			m.setHost(h)
		}
	}
	r.assignOwned()
}

// SetMembers sets the entry hosts of this data centre among which the minions are divided
// (including this host unless it is leaving) and the load that peers report.
func (r *Router) SetMembers(members []identifier.Entry, peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members, r.peers = members, peers
	for _, s := range r.services {
		s.mu.Lock()
		clear(s.forwards)
		s.mu.Unlock()
	}
	for id, m := range r.minions {
		peerInFlight := 0
		for _, p := range peers {
			peerInFlight += p.InFlight[id]
		}
		m.setPeerInFlight(peerInFlight)
	}
	r.assignOwned()
}

// assignOwned recomputes which minions this host owns, for every service. r.mu must be held.
func (r *Router) assignOwned() {
	owned := map[identifier.Service][]*minion{}
	for _, m := range r.minions {
		h, _ := m.hostAndInFlight()
		if r.owner(h.ID) != r.self {
			continue
		}
		for _, service := range h.Services {
			owned[service] = append(owned[service], m)
		}
	}
	for service := range owned {
		r.serviceLocked(service)
	}
	for service, s := range r.services {
		s.mu.Lock()
		s.owned = owned[service]
		s.mu.Unlock()
		s.notifySlotFreed()
	}
}

// owner returns the entry host that owns a minion: the member with the highest rendezvous hash for
// it.
func (r *Router) owner(id identifier.Minion) identifier.Entry {
	var best identifier.Entry
	var rank uint64
	for _, e := range r.members {
		if v := identifier.Rank(string(id), string(e)); best == "" || v > rank {
			best, rank = e, v
		}
	}
	return best
}

// serviceLocked returns the state of a service and creates it if needed. r.mu must be held.
func (r *Router) serviceLocked(service identifier.Service) *serviceState {
	s, ok := r.services[service]
	if !ok {
		s = &serviceState{forwards: map[identifier.Entry]int{}, slotFreed: make(chan struct{}, 1)}
		r.services[service] = s
	}
	return s
}

// notifySlotFreed wakes one request that waits for a slot of the service.
func (s *serviceState) notifySlotFreed() {
	select {
	case s.slotFreed <- struct{}{}:
	default:
	}
}

// SlotFreed returns a channel that receives a value when a slot of the service may have become
// free.
func (r *Router) SlotFreed(service identifier.Service) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serviceLocked(service).slotFreed
}

// Choose decides where to send a request for a service: to an owned minion with a free slot, or
// else to a peer with free slots, this data centre's first. While this data centre is drained,
// other data centres come before the owned minions. With localOnly only owned minions are
// considered.
func (r *Router) Choose(service identifier.Service, exclude *Exclusions, localOnly bool) Choice {
	r.mu.RLock()
	defer r.mu.RUnlock()
	obj, ok := r.config.Services[service]
	if !ok {
		return None{"there is no service " + string(service)}
	}
	s := r.services[service]
	if s == nil {
		s = &serviceState{}
	}
	if !localOnly && r.drained() {
		if c, ok := r.chooseForward(s, service, r.dataCentreOrder(obj)[1:], exclude); ok {
			return c
		}
	}
	if c, ok := s.acquireOwned(r.strategy, exclude); ok {
		return c
	}
	if !localOnly {
		if c, ok := r.chooseForward(s, service, r.dataCentreOrder(obj), exclude); ok {
			return c
		}
	}
	return r.waitOrNone(service, exclude)
}

// drained reports whether operators have drained this data centre. Its minions then serve only
// requests that no other data centre has free slots for.
func (r *Router) drained() bool {
	dc := r.config.DataCentres[r.dataCentre]
	return dc != nil && dc.State == parser.Drained
}

// acquireOwned takes a slot on one of the eligible owned minions, chosen by the strategy. Another
// goroutine may take the last slot of the chosen minion first; the choice is then repeated.
func (s *serviceState) acquireOwned(strategy Strategy, exclude *Exclusions) (Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := s.eligible(exclude)
	for len(usable) > 0 {
		loads := make([]float64, 0, len(usable))
		available := usable[:0]
		for _, m := range usable {
			if load, ok := m.load(); ok {
				loads, available = append(loads, load), append(available, m)
			}
		}
		if len(available) == 0 {
			return nil, false
		}
		m := available[strategy(loads)]
		if m.acquire() {
			host, _ := m.hostAndInFlight()
			return Local{Host: host, Done: func(r Result) { m.release(r); s.notifySlotFreed() }}, true
		}
		usable = available
	}
	return nil, false
}

// eligible returns the owned minions that may get a request: not excluded, not leaving and not
// ejected. If more than half of those that are not excluded or leaving are ejected, the ejected
// ones are included, so that ejection does not concentrate the load on a few minions.
func (s *serviceState) eligible(exclude *Exclusions) []*minion {
	now := time.Now()
	var healthy, ejected []*minion
	for _, m := range s.owned {
		switch {
		case m.leaving(now) || exclude.Minions[m.id()]:
		case m.ejected(now):
			ejected = append(ejected, m)
		default:
			healthy = append(healthy, m)
		}
	}
	if len(healthy) < len(ejected) {
		return append(healthy, ejected...)
	}
	return healthy
}

// waitOrNone returns Wait if the data centre has a minion that may serve the request later: its
// slots are in use, or its ownership is just changing between entry hosts. Otherwise it returns
// None.
func (r *Router) waitOrNone(service identifier.Service, exclude *Exclusions) Choice {
	now := time.Now()
	for id, m := range r.minions {
		host, _ := m.hostAndInFlight()
		if !exclude.Minions[id] && !m.leaving(now) && slices.Contains(host.Services, service) {
			return Wait{}
		}
	}
	return None{"no minion takes requests now"}
}

// chooseForward returns the peer with the most free slots in the first data centre, in the given
// order, that has any. It returns false if there is none.
func (r *Router) chooseForward(s *serviceState, service identifier.Service, order []identifier.DataCentre, exclude *Exclusions) (Choice, bool) {
	for _, dc := range order {
		if p, ok := r.bestPeer(s, dc, service, exclude); ok {
			if s.forwards != nil {
				s.mu.Lock()
				s.forwards[p.Entry]++
				s.mu.Unlock()
			}
			return Forward{p.Entry, p.DataCentre}, true
		}
	}
	return nil, false
}

// dataCentreOrder returns the data centres that may serve a service in the order of preference:
// this one, then the others of its placement policy that are in service.
func (r *Router) dataCentreOrder(obj *parser.Service) []identifier.DataCentre {
	out := []identifier.DataCentre{r.dataCentre}
	policy := r.config.Policies[obj.Policy]
	if policy == nil {
		return out
	}
	for _, name := range policy.DataCentres {
		dc := r.config.DataCentres[name]
		if name != r.dataCentre && dc != nil && dc.State == parser.InService {
			out = append(out, name)
		}
	}
	return out
}

// bestPeer returns the peer of a data centre with the most free slots, less the requests forwarded
// to it since its last report. It returns false if no peer has any.
func (r *Router) bestPeer(s *serviceState, dc identifier.DataCentre, service identifier.Service, exclude *Exclusions) (Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best Peer
	mostFree := 0
	for _, p := range r.peers {
		if p.DataCentre != dc || exclude.Entries[p.Entry] {
			continue
		}
		if free := p.Free[service] - s.forwards[p.Entry]; free > mostFree {
			best, mostFree = p, free
		}
	}
	return best, mostFree > 0
}

// Report returns this host's load for its peers: the free slots of each service on owned minions,
// and the requests of this host in flight on each minion.
func (r *Router) Report() (map[identifier.Service]int, map[identifier.Minion]int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := time.Now()
	free := map[identifier.Service]int{}
	for service, s := range r.services {
		s.mu.Lock()
		for _, m := range s.owned {
			if !m.leaving(now) && !m.ejected(now) {
				free[service] += m.freeSlots()
			}
		}
		s.mu.Unlock()
	}
	inFlight := map[identifier.Minion]int{}
	for id, m := range r.minions {
		if _, n := m.hostAndInFlight(); n > 0 {
			inFlight[id] = n
		}
	}
	return free, inFlight
}
