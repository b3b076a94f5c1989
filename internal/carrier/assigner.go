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
	for _, w := range a.assignments {
		delete(w.avoidUntil, host)
		if w.assigned && w.host == host {
			w.assigned = false
		}
	}
}

// markUnreachable records that a host could not reach a worker, and unassigns the worker.
// It does nothing if the worker has been reassigned since.
func (a *assigner[H]) markUnreachable(id identifier.Worker, host H, now time.Time) {
	w, known := a.assignments[id]
	if !known || !w.assigned || w.host != host {
		return
	}
	if w.avoidUntil == nil {
		w.avoidUntil = map[H]time.Time{}
	}
	w.avoidUntil[host] = now.Add(unreachableBackoff)
	a.unassign(w)
}

// retainWorkers removes the workers for which listed returns false.
func (a *assigner[H]) retainWorkers(listed func(identifier.Worker) bool) {
	for id, w := range a.assignments {
		if !listed(id) {
			a.unassign(w)
			delete(a.assignments, id)
		}
	}
}

func (a *assigner[H]) unassign(w *assignment[H]) {
	if !w.assigned {
		return
	}
	w.assigned = false
	if h, ok := a.hosts[w.host]; ok {
		h.assigned--
	}
}

// assign returns the host that calls a worker in a data centre, and assigns one if needed; ok
// is false if there are no hosts. A worker keeps its host while that is available, in the
// worker's data centre, and not over its capacity.
func (a *assigner[H]) assign(id identifier.Worker, dataCentre identifier.DataCentre, now time.Time) (host H, ok bool) {
	w, known := a.assignments[id]
	if !known {
		w = &assignment[H]{}
		a.assignments[id] = w
	}
	if w.assigned {
		if h := a.hosts[w.host]; h.DataCentre == dataCentre && h.assigned <= h.MaxWorkers {
			return w.host, true
		}
	}
	best, found := a.bestHost(w, dataCentre, now)
	if !found {
		return host, false
	}
	if w.assigned && w.host == best {
		return best, true
	}
	a.unassign(w)
	w.host, w.assigned = best, true
	a.hosts[best].assigned++
	return best, true
}

// hostRank orders the candidate hosts for a worker; the lowest is chosen.
type hostRank struct {
	// remote is set if the host is in another data centre than the worker.
	avoided, full, remote bool
	// load is the number of workers relative to the capacity; it is set for full hosts only.
	load     float64
	capacity int
	name     identifier.Entry
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

// bestHost returns the host with the lowest rank for a worker; ok is false if there are no hosts.
func (a *assigner[H]) bestHost(w *assignment[H], dataCentre identifier.DataCentre, now time.Time) (best H, ok bool) {
	var bestRank hostRank
	for host, h := range a.hosts {
		r := a.rankHost(w, host, h, dataCentre, now)
		if !ok || r.compare(bestRank) < 0 {
			best, bestRank, ok = host, r, true
		}
	}
	return best, ok
}

// rankHost returns the rank of a host for a worker, whose own assignment does not count as load.
func (a *assigner[H]) rankHost(w *assignment[H], host H, h *hostLoad, dataCentre identifier.DataCentre, now time.Time) hostRank {
	assigned := h.assigned
	if w.assigned && w.host == host {
		assigned--
	}
	r := hostRank{avoided: now.Before(w.avoidUntil[host]), full: assigned >= h.MaxWorkers, remote: h.DataCentre != dataCentre, capacity: h.MaxWorkers, name: h.Name}
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
