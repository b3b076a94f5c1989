// Package renewer knows until when the lease of each worker of a cell may last, across the
// holders of the cell. It does no I/O, and time is what the caller says it is.
//
// Holders share a clock of the cell: each goes on from where the one before stored it last, or
// from where its own host last heard of it, so that it is never ahead of the time that has
// passed. A holder has a worker's lease renewed only once it has stored that it may; when it
// does so no longer, it stores the time of that clock at which the lease ends. How long a later
// holder waits for a worker that is gone does therefore not begin anew with it.
package renewer

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Time is a reading of a cell's clock.
type Time time.Duration

// Term says when a holder's term began.
type Term struct {
	_     struct{} `cbor:",toarray"`
	Epoch identifier.Epoch
	Begin Time
}

// maxTerms bounds the terms that are remembered, so that the record of the holder stays small.
// A lease from before them counts from the first of them on.
const maxTerms = 32

// Lease is what is stored of a worker's lease.
type Lease struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is that of the holder which stored it.
	Epoch identifier.Epoch
	// Renewed is set while that holder may have the lease renewed.
	Renewed bool
	// Ends is when a lease that is not renewed has certainly run out; one that is renewed lasts
	// at least as long.
	Ends Time
	// Heard is when the worker of such a lease was last heard from.
	Heard Time
}

// Record is the lease of a worker as it is stored; without a Lease it deletes what was.
type Record struct {
	Worker identifier.Worker
	Lease  *Lease
}

// State is what earlier holders stored.
type State struct {
	// Terms are the last terms, the oldest first.
	Terms  []Term
	Clock  Time
	Leases map[identifier.Worker]Lease
}

func (s State) last() Term {
	if len(s.Terms) == 0 {
		return Term{}
	}
	return s.Terms[len(s.Terms)-1]
}

// ClockReading is a holder's reading of a cell's clock.
type ClockReading struct {
	Epoch identifier.Epoch `json:"epoch"`
	Clock Time             `json:"clock"`
}

// BeginTerm returns the state with a new term, which has to be stored before it is used. A reading
// counts only if it stems from the last holder: another holder's clock may have been ahead of
// what the last one went by.
func (s State) BeginTerm(epoch identifier.Epoch, heard ClockReading) State {
	begin := s.Clock
	if len(s.Terms) > 0 && heard.Epoch == s.last().Epoch {
		begin = max(begin, heard.Clock)
	}
	s.Terms = append(slices.Clone(s.Terms), Term{Epoch: epoch, Begin: begin})
	s.Terms = s.Terms[max(len(s.Terms)-maxTerms, 0):]
	return s
}

// Silence says for how long a worker has not been heard from.
type Silence struct {
	Duration time.Duration
	// Takeovers is how often the cell has changed hands meanwhile.
	Takeovers int
}

// standing is how far it is stored whether a lease may be renewed.
type standing int

const (
	standingEnds standing = iota
	// standingAsked waits until it is stored that the lease may be renewed.
	standingAsked
	standingRenewed
)

// lease is a worker's lease in the present term.
type lease struct {
	standing standing
	// stored is set if a record of it may be stored.
	stored bool
	// batch is the number of the last batch with a record of it.
	batch uint64
	// asked is set if none of the records of it says that the lease ends.
	asked bool
	// ends is when it has run out, and heard when its worker was last heard from, by the
	// holder's own clock, while it is not renewed.
	ends, heard time.Time
	// stretched is up to when it may last though nobody here has asked for that.
	stretched time.Time
}

// Renewer knows the leases of a cell's workers in one holder's term. Its methods are not safe
// for concurrent use.
type Renewer struct {
	epoch identifier.Epoch
	// uptime counts the time that the machine was suspended, which the holder's own clock
	// does not. It showed beganUptime at the term's beginning, and the cell's clock begin.
	uptime      func() time.Duration
	beganUptime time.Duration
	begin       Time
	terms       []Term
	most        time.Duration
	before      map[identifier.Worker]Lease

	leases  map[identifier.Worker]*lease
	changed map[identifier.Worker]struct{}
	// clockTaken is when the cell's clock was last taken to be stored.
	clockTaken time.Time
}

// clockPeriod is the most by which the stored clock is behind while it is needed: as much is
// added to the wait for a worker by each takeover without a host that heard of it.
const clockPeriod = 500 * time.Millisecond

// New returns the leases in a term that is stored as the last one. Most is how long after the
// beginning of a term leases may last that the holder before has renewed. The cell's clock goes
// on by uptime, which counts the time that the machine was suspended.
func New(now time.Time, uptime func() time.Duration, most time.Duration, stored State) *Renewer {
	term := stored.last()
	r := &Renewer{
		epoch: term.Epoch, uptime: uptime, beganUptime: uptime(), begin: term.Begin, most: most, terms: stored.Terms, before: stored.Leases,
		leases: map[identifier.Worker]*lease{}, changed: map[identifier.Worker]struct{}{}, clockTaken: now,
	}
	for id := range stored.Leases {
		r.leaseOf(id).stored = true
	}
	return r
}

// Clock returns the cell's clock.
func (r *Renewer) Clock() Time { return r.begin + Time(r.uptime()-r.beganUptime) }

// inherited returns what is known of the lease of a worker that was not heard from in this
// term: when it has certainly run out, when the worker was heard from at the latest, and in
// which term.
func (r *Renewer) inherited(id identifier.Worker) (ends, heard Time, in identifier.Epoch) {
	l, ok := r.before[id]
	switch {
	case !ok:
		// A holder that stored nothing of leases may have renewed it.
		return r.begin + Time(r.most), r.begin, r.epoch
	case l.Epoch < r.terms[0].Epoch || l.Renewed:
		ended := r.endOf(l.Epoch)
		return max(ended.Begin+Time(r.most), l.Ends), ended.Begin, ended.Epoch - 1
	default:
		return l.Ends, l.Heard, l.Epoch
	}
}

// endOf returns the first known term after an epoch.
func (r *Renewer) endOf(epoch identifier.Epoch) Term {
	for _, t := range r.terms {
		if t.Epoch > epoch {
			return t
		}
	}
	return r.terms[len(r.terms)-1]
}

// InheritedExpiry returns when the lease of a worker has certainly run out that was not heard from in this
// term.
func (r *Renewer) InheritedExpiry(id identifier.Worker, now time.Time) time.Time {
	ends, _, _ := r.inherited(id)
	return now.Add(time.Duration(ends - r.Clock()))
}

// RenewableUntil returns until when the lease of a worker may last that may not be renewed yet: later
// holders reckon with that by what earlier terms stored. It is zero once this term has told
// anything of the lease.
func (r *Renewer) RenewableUntil(id identifier.Worker, now time.Time) time.Time {
	if l, ok := r.leases[id]; !ok || l.standing != standingAsked || l.batch > 0 && !l.asked {
		return time.Time{}
	}
	return r.InheritedExpiry(id, now)
}

// Silence returns for how long a worker was not heard from, which was last at a time of the
// holder's own clock, or never in this term.
func (r *Renewer) Silence(id identifier.Worker, heardAt, now time.Time) Silence {
	if !heardAt.IsZero() {
		return Silence{Duration: now.Sub(heardAt)}
	}
	_, heard, in := r.inherited(id)
	return Silence{Duration: time.Duration(r.Clock() - heard), Takeovers: int(r.epoch - in)}
}

func (r *Renewer) leaseOf(id identifier.Worker) *lease {
	l, ok := r.leases[id]
	if !ok {
		l = &lease{}
		r.leases[id] = l
	}
	return l
}

// Resume asks that a worker's lease may be renewed again.
func (r *Renewer) Resume(id identifier.Worker) {
	if l := r.leaseOf(id); l.standing == standingEnds {
		l.standing = standingAsked
		r.changed[id] = struct{}{}
	}
}

// RenewalPending reports whether it is being stored that a worker's lease may be renewed.
func (r *Renewer) RenewalPending(id identifier.Worker) bool {
	l, ok := r.leases[id]
	return ok && l.standing == standingAsked
}

// RenewalAllowed reports whether a worker's lease may be renewed.
func (r *Renewer) RenewalAllowed(id identifier.Worker) bool {
	l, ok := r.leases[id]
	return ok && l.standing == standingRenewed
}

// Suspend ends the renewal of a worker's lease, which has run out at ends; the worker was last
// heard from at heard.
func (r *Renewer) Suspend(id identifier.Worker, ends, heard time.Time) {
	if l := r.leaseOf(id); l.standing != standingEnds {
		l.standing, l.ends, l.heard = standingEnds, ends, heard
		r.changed[id] = struct{}{}
	}
}

// RecordExtension notes that a worker's lease may last up to a time that this holder has not asked for.
func (r *Renewer) RecordExtension(id identifier.Worker, ends time.Time) {
	l := r.leaseOf(id)
	l.stretched = ends
	if l.standing != standingEnds {
		r.changed[id] = struct{}{}
	}
}

// Forget drops the lease of a worker that runs nothing and is not heard from any more.
func (r *Renewer) Forget(id identifier.Worker) {
	l, ok := r.leases[id]
	if !ok {
		return
	}
	delete(r.leases, id)
	delete(r.changed, id)
	if l.stored {
		r.changed[id] = struct{}{}
	}
}

// PruneInherited drops the leases of earlier terms but for those of some workers.
func (r *Renewer) PruneInherited(needed func(identifier.Worker) bool) {
	for id := range r.before {
		if !needed(id) {
			r.Forget(id)
		}
	}
}

// Dirty reports whether there are records to store.
func (r *Renewer) Dirty() bool { return len(r.changed) > 0 }

// ClockDue reports whether the cell's clock has to be stored again, if it is needed.
func (r *Renewer) ClockDue(now time.Time) bool { return now.Sub(r.clockTaken) >= clockPeriod }

// Take returns the records to store with a batch, and the clock that has to be stored with
// them. The batches are stored in the order of their numbers.
func (r *Renewer) Take(batch uint64, now time.Time) (records []Record, clock Time) {
	clock = r.Clock()
	r.clockTaken = now
	for id := range r.changed {
		records = append(records, r.take(id, batch, clock, now))
	}
	clear(r.changed)
	return records, clock
}

func (r *Renewer) take(id identifier.Worker, batch uint64, clock Time, now time.Time) Record {
	l, ok := r.leases[id]
	if !ok {
		return Record{Worker: id}
	}
	l.asked = l.standing != standingEnds && (l.batch == 0 || l.asked)
	l.batch, l.stored = batch, true
	if l.standing != standingEnds {
		renewed := &Lease{Epoch: r.epoch, Renewed: true}
		if l.stretched.After(now) {
			renewed.Ends = clock + Time(l.stretched.Sub(now))
		}
		return Record{Worker: id, Lease: renewed}
	}
	return Record{Worker: id, Lease: &Lease{
		Epoch: r.epoch, Ends: clock + Time(l.ends.Sub(now)), Heard: clock - Time(now.Sub(l.heard)),
	}}
}

// MarkStored notes that the records of a batch are stored.
func (r *Renewer) MarkStored(batch uint64, records []Record) {
	for _, rec := range records {
		l, ok := r.leases[rec.Worker]
		if ok && rec.Lease != nil && rec.Lease.Renewed && l.batch == batch && l.standing == standingAsked {
			l.standing = standingRenewed
		}
	}
}
