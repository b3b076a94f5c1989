// Package heartbeater keeps the membership of entry hosts: who is alive in
// which data centre, and what each reports about its load.
package heartbeater

import (
	"sort"
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Timing are the durations of the membership.
type Timing struct {
	// Interval is the time between heartbeats within a data centre.
	Interval time.Duration
	// DeadAfter is the silence after which a member no longer counts.
	DeadAfter time.Duration
	// SettleAfter is how long a new member is heard before it owns minions.
	SettleAfter time.Duration
	// ForgetAfter is the silence after which a member's address is dropped.
	ForgetAfter time.Duration
}

// Report is what an entry host says about itself. Seq grows with every report
// of an incarnation.
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

// Address is where an entry host may be reached.
type Address struct {
	Entry      identifier.Entry      `json:"entry"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Address    string                `json:"address"`
}

// Heartbeat is one heartbeat and its answer.
type Heartbeat struct {
	Reports        []Report  `json:"reports"`
	KnownAddresses []Address `json:"known,omitempty"`
}

// member is another host. Its times are of Table.runTime.
type member struct {
	report  Report
	firstAt time.Time
	heardAt time.Time
}

// Table is the membership as one host sees it. Its methods are safe for
// concurrent use.
type Table struct {
	self  Report
	times Timing

	mu      sync.Mutex
	seq     uint64
	members map[identifier.Entry]*member
	known   map[string]knownAddress
	// tickedAt is when Tick was last called; stalled is the time for which this
	// host did not run, and could hear nobody, in all.
	tickedAt time.Time
	stalled  time.Duration
}

type knownAddress struct {
	Address
	at   time.Time
	seed bool
}

// NewTable returns the membership of a host that has heard of nobody but the
// seeds.
func NewTable(self Report, times Timing, seeds []Address) *Table {
	t := &Table{self: self, times: times, members: map[identifier.Entry]*member{}, known: map[string]knownAddress{}}
	for _, a := range seeds {
		if a.Address != self.Address {
			t.known[a.Address] = knownAddress{a, time.Now(), true}
		}
	}
	return t
}

// UpdateSelf changes what this host reports about itself.
func (t *Table) UpdateSelf(fn func(*Report)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fn(&t.self)
}

// Tick says that this host runs. It has to be called every Interval: time for
// which it was not called does not count as silence of the others, since a host
// that was suspended could not hear them.
func (t *Table) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if gap := now.Sub(t.tickedAt); !t.tickedAt.IsZero() && gap > t.stallLimit() {
		t.stalled += gap - t.stallLimit()
	}
	t.tickedAt = now
}

// stallLimit is the time between two ticks from which this host did not run.
func (t *Table) stallLimit() time.Duration { return stallTicks * t.times.Interval }

// stallTicks is how many ticks may be late before a host counts as suspended; half
// of the silence after which members are dead, at the default settings.
const stallTicks = 2

// runTime returns the present time less that for which this host did not run.
func (t *Table) runTime() time.Time {
	now := time.Now()
	if limit := t.tickedAt.Add(t.stallLimit()); !t.tickedAt.IsZero() && now.After(limit) {
		now = limit
	}
	return now.Add(-t.stalled)
}

// Heartbeat returns the heartbeat for a peer of a data centre. Peers elsewhere get
// the reports of all members of this one.
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

// Receive takes a heartbeat or the answer to one.
func (t *Table) Receive(b Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, r := range b.Reports {
		t.receiveReport(r, t.runTime(), now)
	}
	for _, a := range b.KnownAddresses {
		if _, ok := t.known[a.Address]; !ok && a.Address != t.self.Address {
			t.known[a.Address] = knownAddress{Address: a, at: now}
		}
	}
}

func (t *Table) receiveReport(r Report, heardAt, now time.Time) {
	if r.Entry == t.self.Entry || r.Address == t.self.Address {
		return
	}
	m, ok := t.members[r.Entry]
	switch {
	case !ok || r.StartedMs > m.report.StartedMs:
		t.dropAddress(r)
		t.members[r.Entry] = &member{report: r, firstAt: heardAt, heardAt: heardAt}
	case r.Incarnation == m.report.Incarnation && r.Seq > m.report.Seq:
		if !t.alive(m) {
			m.firstAt = heardAt
		}
		m.report, m.heardAt = r, heardAt
	default:
		return
	}
	known := t.known[r.Address]
	t.known[r.Address] = knownAddress{Address{r.Entry, r.DataCentre, r.Address}, now, known.seed}
}

// dropAddress removes other members that used the address before.
func (t *Table) dropAddress(r Report) {
	for id, m := range t.members {
		if m.report.Address == r.Address && id != r.Entry {
			delete(t.members, id)
		}
	}
}

func (t *Table) alive(m *member) bool {
	limit := t.times.DeadAfter
	if m.report.DataCentre != t.self.DataCentre {
		limit *= remoteFactor
	}
	return t.runTime().Sub(m.heardAt) < limit
}

// remoteFactor is how much rarer heartbeats between data centres are.
const remoteFactor = 4

// Alive returns the reports of all live members but this host, by name.
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

// Settled returns the members of this data centre that own minions, this host
// among them unless it is leaving.
func (t *Table) Settled() []identifier.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []identifier.Entry
	if !t.self.Leaving {
		out = append(out, t.self.Entry)
	}
	for id, m := range t.members {
		local := m.report.DataCentre == t.self.DataCentre
		if local && m.report.Ready && !m.report.Leaving && t.alive(m) && t.runTime().Sub(m.firstAt) >= t.times.SettleAfter {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Targets returns the addresses to send heartbeats to: those of this data
// centre, and one of each other; pick chooses among n.
func (t *Table) Targets(remote bool, pick func(n int) int) []Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	byDC := map[identifier.DataCentre][]Address{}
	for key, k := range t.known {
		if !k.seed && time.Since(k.at) > t.times.ForgetAfter {
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
