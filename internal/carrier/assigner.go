package carrier

import (
	"cmp"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// unreachableBackoff is how long a worker is kept away from a host that could not reach
	// it, as long as another host is available.
	unreachableBackoff = 5 * time.Second
)

// assigner assigns workers to the hosts that call them, since one host cannot handle the
// calls of a large fleet. Each host gets at most as many workers as it offered to call while
// any host has room. Hosts in the worker's data centre come first, and the largest of them
// are filled first, so that few hosts exchange batches with the holder and calls stay within
// the data centre. It does no I/O and is not safe for concurrent use. H identifies a host.
type assigner[H comparable] struct {
	hosts       map[H]*hostLoad
	assignments map[identifier.Worker]*assignment[H]
}

// hostLoad is a host's offer and the number of workers assigned to it.
type hostLoad struct {
	Offer
	assigned int
}

// assignment is the host assigned to a worker; host is valid only if assigned is set.
type assignment[H comparable] struct {
	host     H
	assigned bool
	// avoidUntil lists the hosts that could not reach the worker, and until when to avoid them.
	avoidUntil map[H]time.Time
}

func newAssigner[H comparable]() *assigner[H] {
	return &assigner[H]{hosts: map[H]*hostLoad{}, assignments: map[identifier.Worker]*assignment[H]{}}
}

// addHost makes a host available for assignments.
func (a *assigner[H]) addHost(host H, o Offer) { a.hosts[host] = &hostLoad{Offer: o} }

// removeHost removes a host. Its workers are reassigned when they are next called.
func (a *assigner[H]) removeHost(host H) {
	delete(a.hosts, host)
	for _, p := range a.assignments {
		delete(p.avoidUntil, host)
		if p.assigned && p.host == host {
			p.assigned = false
		}
	}
}

// markUnreachable records that a host could not reach a worker, and unassigns the worker.
// It does nothing if the worker has been reassigned since.
func (a *assigner[H]) markUnreachable(id identifier.Worker, host H, now time.Time) {
	p, known := a.assignments[id]
	if !known || !p.assigned || p.host != host {
		return
	}
	if p.avoidUntil == nil {
		p.avoidUntil = map[H]time.Time{}
	}
	p.avoidUntil[host] = now.Add(unreachableBackoff)
	a.unassign(p)
}

// retainWorkers removes the workers for which listed returns false.
func (a *assigner[H]) retainWorkers(listed func(identifier.Worker) bool) {
	for id, p := range a.assignments {
		if !listed(id) {
			a.unassign(p)
			delete(a.assignments, id)
		}
	}
}

func (a *assigner[H]) unassign(p *assignment[H]) {
	if !p.assigned {
		return
	}
	p.assigned = false
	if h, ok := a.hosts[p.host]; ok {
		h.assigned--
	}
}

// assign returns the host that calls a worker in a data centre, and assigns one if needed; ok
// is false if there are no hosts. A worker keeps its host while that is available, in the
// worker's data centre, and not over its capacity.
func (a *assigner[H]) assign(id identifier.Worker, dataCentre identifier.DataCentre, now time.Time) (host H, ok bool) {
	p, known := a.assignments[id]
	if !known {
		p = &assignment[H]{}
		a.assignments[id] = p
	}
	if p.assigned {
		if h := a.hosts[p.host]; h.DataCentre == dataCentre && h.assigned <= h.MaxWorkers {
			return p.host, true
		}
	}
	best, found := a.bestHost(p, dataCentre, now)
	if !found {
		return host, false
	}
	if p.assigned && p.host == best {
		return best, true
	}
	a.unassign(p)
	p.host, p.assigned = best, true
	a.hosts[best].assigned++
	return best, true
}

// hostRank orders the candidate hosts for a worker; the lowest is chosen.
type hostRank struct {
	avoided, full, remote bool
	load                  float64
	capacity              int
	name                  identifier.Entry
}

func (r hostRank) compare(o hostRank) int {
	return cmp.Or(
		compareBool(r.avoided, o.avoided), compareBool(r.full, o.full), compareBool(r.remote, o.remote),
		cmp.Compare(r.load, o.load), cmp.Compare(o.capacity, r.capacity), cmp.Compare(r.name, o.name),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (a *assigner[H]) bestHost(p *assignment[H], dataCentre identifier.DataCentre, now time.Time) (best H, ok bool) {
	var bestRank hostRank
	for host, h := range a.hosts {
		r := a.rankHost(p, host, h, dataCentre, now)
		if !ok || r.compare(bestRank) < 0 {
			best, bestRank, ok = host, r, true
		}
	}
	return best, ok
}

func (a *assigner[H]) rankHost(p *assignment[H], host H, h *hostLoad, dataCentre identifier.DataCentre, now time.Time) hostRank {
	assigned := h.assigned
	if p.assigned && p.host == host {
		assigned--
	}
	r := hostRank{avoided: now.Before(p.avoidUntil[host]), full: assigned >= h.MaxWorkers, remote: h.DataCentre != dataCentre, capacity: h.MaxWorkers, name: h.Name}
	if r.full {
		// Among full hosts, choose the least loaded relative to its capacity.
		r.load = float64(assigned+1) / float64(max(h.MaxWorkers, 1))
	}
	return r
}

// loads returns the number of workers assigned to each host, by host name.
func (a *assigner[H]) loads() map[identifier.Entry]int {
	out := make(map[identifier.Entry]int, len(a.hosts))
	for _, h := range a.hosts {
		out[h.Name] += h.assigned
	}
	return out
}

// activeHosts returns the number of hosts with at least one assigned worker.
func (a *assigner[H]) activeHosts() int {
	n := 0
	for _, h := range a.hosts {
		if h.assigned > 0 {
			n++
		}
	}
	return n
}
