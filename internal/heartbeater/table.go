// Package heartbeater tracks the membership of entry hosts by heartbeats: which hosts are alive in
// which data centre, and what each reports about its load.
package heartbeater

import (
	"sort"
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Timing holds the intervals and timeouts of the membership.
type Timing struct {
	// Interval is the time between heartbeats within a data centre.
	Interval time.Duration
	// DeadAfter is how long a member of the same data centre may be silent before it counts as
	// dead. For members of other data centres it is multiplied by remoteDeadFactor.
	DeadAfter time.Duration
	// SettleAfter is how long a new member has to be alive before it owns minions.
	SettleAfter time.Duration
	// ForgetAfter is how long an address is kept without a report from it. Seeds are kept for ever.
	ForgetAfter time.Duration
}

// Report is what an entry host reports about itself. Seq increases with every report of an
// incarnation.
type Report struct {
	Entry       identifier.Entry           `json:"entry"`
	DataCentre  identifier.DataCentre      `json:"dataCentre"`
	Address     string                     `json:"address"`
	Incarnation identifier.Incarnation     `json:"incarnation"`
	StartedMs   int64                      `json:"startedMs"`
	Seq         uint64                     `json:"seq"`
	Leaving     bool                       `json:"leaving,omitempty"`
	Ready       bool                       `json:"ready"`
	Version     identifier.ConfigVersion   `json:"version"`
	Free        map[identifier.Service]int `json:"free,omitempty"`
	InFlight    map[identifier.Minion]int  `json:"inFlight,omitempty"`
}

// Address is the address of an entry host. Its Entry may be out of date.
type Address struct {
	Entry      identifier.Entry      `json:"entry"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Address    string                `json:"address"`
}

// Heartbeat is a heartbeat or the answer to one.
type Heartbeat struct {
	Reports        []Report  `json:"reports"`
	KnownAddresses []Address `json:"known,omitempty"`
}

// member is another entry host. Its times are on the clock of Table.activeTime.
type member struct {
	report      Report
	aliveSince  time.Time
	lastHeardAt time.Time
}

// Table is the membership as one host sees it. Its methods are safe for
// concurrent use.
type Table struct {
	self   Report
	timing Timing

	mu      sync.Mutex
	seq     uint64
	members map[identifier.Entry]*member
	// known holds the addresses to which heartbeats are sent, by address.
	known map[string]knownAddress
	// lastTickAt is when Tick was last called; suspended is the total time for which this host was
	// suspended and could not receive heartbeats.
	lastTickAt time.Time
	suspended  time.Duration
}

type knownAddress struct {
	Address
	updatedAt time.Time
	seed      bool
}

// NewTable returns the membership of a host that knows only the addresses of the seeds.
func NewTable(self Report, timing Timing, seeds []Address) *Table {
	t := &Table{self: self, timing: timing, members: map[identifier.Entry]*member{}, known: map[string]knownAddress{}}
	for _, a := range seeds {
		if a.Address != self.Address {
			t.known[a.Address] = knownAddress{a, time.Now(), true}
		}
	}
	return t
}

// UpdateSelf lets fn change what this host reports about itself; fn must not call the Table.
func (t *Table) UpdateSelf(fn func(*Report)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fn(&t.self)
}

// Tick records that this host is running and has to be called every Interval. A longer gap between
// two calls means that the host was suspended and could not receive heartbeats; it does not count
// as silence of the other members.
func (t *Table) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if gap := now.Sub(t.lastTickAt); !t.lastTickAt.IsZero() && gap > t.suspendThreshold() {
		t.suspended += gap - t.suspendThreshold()
	}
	t.lastTickAt = now
}

// suspendThreshold is the gap between two ticks beyond which this host counts as suspended.
func (t *Table) suspendThreshold() time.Duration { return suspendTicks * t.timing.Interval }

// suspendTicks is suspendThreshold in intervals. With the default settings, the threshold is half
// of DeadAfter.
const suspendTicks = 2

// activeTime returns the present time minus the time for which this host was suspended.
func (t *Table) activeTime() time.Time {
	now := time.Now()
	if limit := t.lastTickAt.Add(t.suspendThreshold()); !t.lastTickAt.IsZero() && now.After(limit) {
		now = limit
	}
	return now.Add(-t.suspended)
}

// Heartbeat returns the heartbeat for a host in data centre to. A host in another data centre also
// gets the reports of the other live members of this one.
func (t *Table) Heartbeat(to identifier.DataCentre) Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	t.self.Seq = t.seq
	b := Heartbeat{Reports: []Report{t.self}}
	if to != t.self.DataCentre {
		for _, m := range t.members {
			if m.report.DataCentre == t.self.DataCentre && t.alive(m) {
				b.Reports = append(b.Reports, m.report)
			}
		}
	}
	for _, m := range t.members {
		if t.alive(m) {
			b.KnownAddresses = append(b.KnownAddresses, Address{m.report.Entry, m.report.DataCentre, m.report.Address})
		}
	}
	return b
}

// Receive updates the membership from a heartbeat or the answer to one.
func (t *Table) Receive(b Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, r := range b.Reports {
		t.receiveReport(r, t.activeTime(), now)
	}
	for _, a := range b.KnownAddresses {
		if _, ok := t.known[a.Address]; !ok && a.Address != t.self.Address {
			t.known[a.Address] = knownAddress{Address: a, updatedAt: now}
		}
	}
}

// receiveReport updates the member and its address from r, unless r is outdated or about this host.
// HeardAt is the current activeTime, now the current wall time.
func (t *Table) receiveReport(r Report, heardAt, now time.Time) {
	if r.Entry == t.self.Entry || r.Address == t.self.Address {
		return
	}
	m, ok := t.members[r.Entry]
	switch {
	case !ok || r.StartedMs > m.report.StartedMs:
		t.removeOthersAtAddress(r)
		t.members[r.Entry] = &member{report: r, aliveSince: heardAt, lastHeardAt: heardAt}
	case r.Incarnation == m.report.Incarnation && r.Seq > m.report.Seq:
		if !t.alive(m) {
			m.aliveSince = heardAt
		}
		m.report, m.lastHeardAt = r, heardAt
	default:
		return
	}
	known := t.known[r.Address]
	t.known[r.Address] = knownAddress{Address{r.Entry, r.DataCentre, r.Address}, now, known.seed}
}

// removeOthersAtAddress removes the members that used the address of r before it.
func (t *Table) removeOthersAtAddress(r Report) {
	for id, m := range t.members {
		if m.report.Address == r.Address && id != r.Entry {
			delete(t.members, id)
		}
	}
}

func (t *Table) alive(m *member) bool {
	limit := t.timing.DeadAfter
	if m.report.DataCentre != t.self.DataCentre {
		limit *= remoteDeadFactor
	}
	return t.activeTime().Sub(m.lastHeardAt) < limit
}

// remoteDeadFactor is how many times longer a member of another data centre may be silent, since
// heartbeats between data centres are that much rarer.
const remoteDeadFactor = 4

// Alive returns the reports of all live members but this host, sorted by entry name.
func (t *Table) Alive() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, m := range t.members {
		if t.alive(m) {
			out = append(out, m.report)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Entry < out[j].Entry })
	return out
}

// Settled returns the sorted names of the members of this data centre that own minions: those that
// are ready, not leaving and alive for at least SettleAfter, and this host unless it is leaving.
func (t *Table) Settled() []identifier.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []identifier.Entry
	if !t.self.Leaving {
		out = append(out, t.self.Entry)
	}
	for id, m := range t.members {
		local := m.report.DataCentre == t.self.DataCentre
		if local && m.report.Ready && !m.report.Leaving && t.alive(m) && t.activeTime().Sub(m.aliveSince) >= t.timing.SettleAfter {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Targets returns the addresses to send heartbeats to: all in this data centre and, if remote is
// set, one in each other data centre, whose index among n addresses pick returns.
func (t *Table) Targets(remote bool, pick func(n int) int) []Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	byDC := map[identifier.DataCentre][]Address{}
	for key, k := range t.known {
		if !k.seed && time.Since(k.updatedAt) > t.timing.ForgetAfter {
			delete(t.known, key)
			continue
		}
		byDC[k.DataCentre] = append(byDC[k.DataCentre], k.Address)
	}
	out := byDC[t.self.DataCentre]
	delete(byDC, t.self.DataCentre)
	if !remote {
		return out
	}
	for _, list := range byDC {
		sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
		out = append(out, list[pick(len(list))])
	}
	return out
}
