// Package router decides which minion a request goes to. Each minion is owned
// by one entry host of its data centre, found by rendezvous hashing over the
// members; only the owner takes its slots, the others forward to the owner.
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

// Result is how an exchange with a minion ended.
type Result int

// The results of an exchange.
const (
	ResultAnswered Result = iota
	ResultBusy
	ResultLeaving
	ResultFailed
)

// Choice is a decision of the router: Local, Forward, Wait or None.
type Choice interface{ isChoice() }

// Local names a minion on which a slot was taken. Done must be called once.
type Local struct {
	Host connector.MinionHost
	Done func(Result)
}

// Forward names an entry host that has free slots of its own.
type Forward struct {
	Entry      identifier.Entry
	DataCentre identifier.DataCentre
}

// Wait says that all slots are taken now.
type Wait struct{}

// None says that no minion can take the request, with the reason.
type None struct{ Reason string }

func (Local) isChoice()   {}
func (Forward) isChoice() {}
func (Wait) isChoice()    {}
func (None) isChoice()    {}

// Peer is another entry host with the free slots it last reported.
type Peer struct {
	Entry      identifier.Entry
	DataCentre identifier.DataCentre
	Free       map[identifier.Service]int
	InFlight   map[identifier.Minion]int
}

// Exclusions lists what a request must not be sent to again.
type Exclusions struct {
	Minions map[identifier.Minion]bool
	Entries map[identifier.Entry]bool
}

// NewExclusions returns an empty list.
func NewExclusions() *Exclusions {
	return &Exclusions{Minions: map[identifier.Minion]bool{}, Entries: map[identifier.Entry]bool{}}
}

// Router holds the minions of a data centre and what the peers report. Its
// methods are safe for concurrent use.
type Router struct {
	self     identifier.Entry
	dc       identifier.DataCentre
	strategy Strategy

	mu      sync.RWMutex
	minions map[identifier.Minion]*minion
	shards  map[identifier.Service]*shard
	members []identifier.Entry
	peers   []Peer
	set     *checker.Set
}

// shard holds what concerns one service, under its own lock.
type shard struct {
	mu       sync.Mutex
	owned    []*minion
	forwards map[identifier.Entry]int
	freed    chan struct{}
}

// Option configures a Router.
type Option func(*Router)

// WithStrategy sets how a minion is chosen among the owned ones.
func WithStrategy(s Strategy) Option { return func(r *Router) { r.strategy = s } }

// New returns a router that knows no minion yet.
func New(self identifier.Entry, dc identifier.DataCentre, opts ...Option) *Router {
	strategy, err := Strategies.Get(LeastLoaded)
	if err != nil {
		panic(err)
	}
	r := &Router{
		self: self, dc: dc, strategy: strategy,
		minions: map[identifier.Minion]*minion{},
		shards:  map[identifier.Service]*shard{},
		members: []identifier.Entry{self},
		set:     checker.NewSet(),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetConfig takes the configuration in force.
func (r *Router) SetConfig(set *checker.Set) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set = set
}

// SetHosts takes the platform's list of minions. A minion that is no longer
// listed gets no new work.
func (r *Router) SetHosts(hosts []connector.MinionHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[identifier.Minion]bool{}
	for _, h := range hosts {
		if h.DataCentre != r.dc {
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
		if _, inFlight := m.snapshot(); !listed[id] && inFlight == 0 {
			delete(r.minions, id)
		} else if !listed[id] {
			h, _ := m.snapshot()
			h.State = connector.HostLeaving
			m.setHost(h)
		}
	}
	r.assign()
}

// SetMembers takes the entry hosts of this data centre that own minions, this
// host among them unless it is leaving, and what the peers report.
func (r *Router) SetMembers(members []identifier.Entry, peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members, r.peers = members, peers
	for _, s := range r.shards {
		s.mu.Lock()
		clear(s.forwards)
		s.mu.Unlock()
	}
	for id, m := range r.minions {
		foreign := 0
		for _, p := range peers {
			foreign += p.InFlight[id]
		}
		m.setForeign(foreign)
	}
	r.assign()
}

// assign gives every shard the minions that this host owns.
func (r *Router) assign() {
	owned := map[identifier.Service][]*minion{}
	for _, m := range r.minions {
		h, _ := m.snapshot()
		if r.owner(h.ID) != r.self {
			continue
		}
		for _, service := range h.Services {
			owned[service] = append(owned[service], m)
		}
	}
	for service := range owned {
		r.shardLocked(service)
	}
	for service, s := range r.shards {
		s.mu.Lock()
		s.owned = owned[service]
		s.mu.Unlock()
		s.wake()
	}
}

// owner returns the member with the highest rank for a minion.
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

func (r *Router) shardLocked(service identifier.Service) *shard {
	s, ok := r.shards[service]
	if !ok {
		s = &shard{forwards: map[identifier.Entry]int{}, freed: make(chan struct{}, 1)}
		r.shards[service] = s
	}
	return s
}

func (s *shard) wake() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// SlotFreed returns a channel that receives after a slot of the service may have
// become free.
func (r *Router) SlotFreed(service identifier.Service) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shardLocked(service).freed
}

// Choose decides where a request for a service goes next. With localOnly it
// stays on the minions that this host owns.
func (r *Router) Choose(service identifier.Service, tried *Exclusions, localOnly bool) Choice {
	r.mu.RLock()
	defer r.mu.RUnlock()
	obj, ok := r.set.Services[service]
	if !ok {
		return None{"there is no service " + string(service)}
	}
	s := r.shards[service]
	if s == nil {
		s = &shard{}
	}
	if !localOnly && r.drained() {
		if c, ok := r.forward(s, service, r.order(obj)[1:], tried); ok {
			return c
		}
	}
	if c, ok := s.takeOwned(r.strategy, tried); ok {
		return c
	}
	if !localOnly {
		if c, ok := r.forward(s, service, r.order(obj), tried); ok {
			return c
		}
	}
	return r.waitOrNone(service, tried)
}

// drained reports whether the operators have taken this data centre out. Its
// minions then serve only what no other data centre takes.
func (r *Router) drained() bool {
	dc := r.set.DataCentres[r.dc]
	return dc != nil && dc.State == parser.Drained
}

// takeOwned takes a slot on an owned minion. Ejected minions are used only when
// more than half of the owned ones are ejected.
func (s *shard) takeOwned(strategy Strategy, tried *Exclusions) (Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := s.usable(tried)
	for len(usable) > 0 {
		loads := make([]float64, 0, len(usable))
		open := usable[:0]
		for _, m := range usable {
			if load, free := m.load(); free {
				loads, open = append(loads, load), append(open, m)
			}
		}
		if len(open) == 0 {
			return nil, false
		}
		m := open[strategy(loads)]
		if m.take() {
			host, _ := m.snapshot()
			return Local{Host: host, Done: func(r Result) { m.done(r); s.wake() }}, true
		}
		usable = open
	}
	return nil, false
}

// usable returns the owned minions that may get this request.
func (s *shard) usable(tried *Exclusions) []*minion {
	now := time.Now()
	var healthy, ejected []*minion
	for _, m := range s.owned {
		switch {
		case m.leaving(now) || tried.Minions[m.id()]:
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

// waitOrNone tells a service that is busy, or whose minions are just passing
// from one owner to another, from one that no minion answers for.
func (r *Router) waitOrNone(service identifier.Service, tried *Exclusions) Choice {
	now := time.Now()
	for id, m := range r.minions {
		host, _ := m.snapshot()
		if !tried.Minions[id] && !m.leaving(now) && slices.Contains(host.Services, service) {
			return Wait{}
		}
	}
	return None{"no minion takes requests now"}
}

// forward chooses the entry host with the most free slots in the first data
// centre that has any.
func (r *Router) forward(s *shard, service identifier.Service, order []identifier.DataCentre, tried *Exclusions) (Choice, bool) {
	for _, dc := range order {
		if p, ok := r.bestPeer(s, dc, service, tried); ok {
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

// order returns the data centres to try, the own one first.
func (r *Router) order(obj *parser.Service) []identifier.DataCentre {
	out := []identifier.DataCentre{r.dc}
	policy := r.set.Policies[obj.Policy]
	if policy == nil {
		return out
	}
	for _, name := range policy.DataCentres {
		dc := r.set.DataCentres[name]
		if name != r.dc && dc != nil && dc.State == parser.InService {
			out = append(out, name)
		}
	}
	return out
}

func (r *Router) bestPeer(s *shard, dc identifier.DataCentre, service identifier.Service, tried *Exclusions) (Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best Peer
	most := 0
	for _, p := range r.peers {
		if p.DataCentre != dc || tried.Entries[p.Entry] {
			continue
		}
		if free := p.Free[service] - s.forwards[p.Entry]; free > most {
			best, most = p, free
		}
	}
	return best, most > 0
}

// Report returns the free slots of each service on owned minions, and the
// requests in flight on each minion.
func (r *Router) Report() (map[identifier.Service]int, map[identifier.Minion]int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := time.Now()
	free := map[identifier.Service]int{}
	for service, s := range r.shards {
		s.mu.Lock()
		for _, m := range s.owned {
			if !m.leaving(now) && !m.ejected(now) {
				free[service] += m.free()
			}
		}
		s.mu.Unlock()
	}
	inFlight := map[identifier.Minion]int{}
	for id, m := range r.minions {
		if _, n := m.snapshot(); n > 0 {
			inFlight[id] = n
		}
	}
	return free, inFlight
}
