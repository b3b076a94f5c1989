package carrier

import (
	"cmp"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// avoidTime is how long a worker is not given back to a host that could not reach
	// it while another can be tried.
	avoidTime = 5 * time.Second
)

// assigner decides which host calls which worker. It answers the load of many
// workers: one host does not carry their calls, and each host carries as many as it
// offered, the largest hosts of the worker's own data centre first, so that batches
// are few and stay near. It does no I/O and is not safe for concurrent use. H is how
// hosts are told apart.
type assigner[H comparable] struct {
	hosts   map[H]*hostLoad
	workers map[identifier.Worker]*placement[H]
}

// hostLoad is a host with what it carries.
type hostLoad struct {
	Offer
	carries int
}

// placement is the host of a worker.
type placement[H comparable] struct {
	host  H
	ok    bool
	avoid map[H]time.Time
}

func newAssigner[H comparable]() *assigner[H] {
	return &assigner[H]{hosts: map[H]*hostLoad{}, workers: map[identifier.Worker]*placement[H]{}}
}

// add makes a host available.
func (a *assigner[H]) add(host H, o Offer) { a.hosts[host] = &hostLoad{Offer: o} }

// remove takes a host away; its workers get another one when they are next called.
func (a *assigner[H]) remove(host H) {
	delete(a.hosts, host)
	for _, p := range a.workers {
		delete(p.avoid, host)
		if p.ok && p.host == host {
			p.ok = false
		}
	}
}

// unreachable notes that a host could not reach a worker.
func (a *assigner[H]) unreachable(id identifier.Worker, host H, now time.Time) {
	p, known := a.workers[id]
	if !known || !p.ok || p.host != host {
		return
	}
	if p.avoid == nil {
		p.avoid = map[H]time.Time{}
	}
	p.avoid[host] = now.Add(avoidTime)
	a.release(p)
}

// forget drops workers that the directory does not list.
func (a *assigner[H]) forget(listed func(identifier.Worker) bool) {
	for id, p := range a.workers {
		if !listed(id) {
			a.release(p)
			delete(a.workers, id)
		}
	}
}

func (a *assigner[H]) release(p *placement[H]) {
	if !p.ok {
		return
	}
	p.ok = false
	if h, ok := a.hosts[p.host]; ok {
		h.carries--
	}
}

// hostOf returns the host that calls a worker of a data centre; ok is false if there
// is none. A worker stays with its host while that one is there, near, and not
// overloaded.
func (a *assigner[H]) hostOf(id identifier.Worker, home identifier.DataCentre, now time.Time) (host H, ok bool) {
	p, known := a.workers[id]
	if !known {
		p = &placement[H]{}
		a.workers[id] = p
	}
	if p.ok {
		if h := a.hosts[p.host]; h.DataCentre == home && h.carries <= h.MaxWorkers {
			return p.host, true
		}
	}
	best, found := a.best(p, home, now)
	if !found {
		return host, false
	}
	if p.ok && p.host == best {
		return best, true
	}
	a.release(p)
	p.host, p.ok = best, true
	a.hosts[best].carries++
	return best, true
}

// rank is how good a host is for a worker; lower is better.
type rank struct {
	avoided, full, away bool
	load                float64
	size                int
	name                identifier.Entry
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		compareBool(r.avoided, o.avoided), compareBool(r.full, o.full), compareBool(r.away, o.away),
		cmp.Compare(r.load, o.load), cmp.Compare(o.size, r.size), cmp.Compare(r.name, o.name),
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

func (a *assigner[H]) best(p *placement[H], home identifier.DataCentre, now time.Time) (best H, ok bool) {
	var least rank
	for host, h := range a.hosts {
		r := a.rankOf(p, host, h, home, now)
		if !ok || r.compare(least) < 0 {
			best, least, ok = host, r, true
		}
	}
	return best, ok
}

func (a *assigner[H]) rankOf(p *placement[H], host H, h *hostLoad, home identifier.DataCentre, now time.Time) rank {
	carries := h.carries
	if p.ok && p.host == host {
		carries--
	}
	r := rank{avoided: now.Before(p.avoid[host]), full: carries >= h.MaxWorkers, away: h.DataCentre != home, size: h.MaxWorkers, name: h.Name}
	if r.full {
		// Among full hosts the one with the least to do by its size.
		r.load = float64(carries+1) / float64(max(h.MaxWorkers, 1))
	}
	return r
}

// loads returns what each host carries, by name.
func (a *assigner[H]) loads() map[identifier.Entry]int {
	out := make(map[identifier.Entry]int, len(a.hosts))
	for _, h := range a.hosts {
		out[h.Name] += h.carries
	}
	return out
}

// used returns how many hosts call workers.
func (a *assigner[H]) used() int {
	n := 0
	for _, h := range a.hosts {
		if h.carries > 0 {
			n++
		}
	}
	return n
}
