// Package renewer tracks when the lease of each worker of a cell expires, across successive
// holders of the cell. It does no I/O; callers pass in the time and store the records.
//
// Lease expiries are stored as times of the cell's clock, which all holders share. A new holder
// continues it from the last stored value, from a later reading that a host has observed, or by the
// age of the last takeover, of which hosts hear before it is stored. So the clock may lag behind
// real time but never runs ahead of it. A holder renews a worker's lease only after storing a record
// that marks the lease as renewable. When it stops renewing, it stores the time at which the lease
// expires. A takeover therefore does not restart the wait for the lease of a lost worker.
package renewer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Time is a point in time on a cell's clock.
type Time time.Duration

// Term records when a holder's term began.
type Term struct {
	_     struct{} `cbor:",toarray"`
	Epoch identifier.Epoch
	Start Time
}

// maxTerms bounds the stored history of terms, so that the holder's record stays small. A lease
// that was recorded before the oldest of them is treated as inherited by that oldest term.
const maxTerms = 32

// Lease is the stored state of a worker's lease.
type Lease struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the epoch of the holder that stored the lease.
	Epoch identifier.Epoch
	// Renewable is set while that holder may renew the lease.
	Renewable bool
	// Expires is the latest time at which a lease that is no longer renewed expires. For a
	// renewable lease it is a lower bound of that time.
	Expires Time
	// LastHeard is when the worker was last heard from. It is set only if Renewable is not.
	LastHeard Time
}

// Record is an update of a worker's stored lease; a nil Lease deletes it.
type Record struct {
	Worker identifier.Worker
	Lease  *Lease
}

// State is the lease state that earlier holders stored.
type State struct {
	// Terms are the most recent terms, oldest first, at most maxTerms.
	Terms []Term
	// Takeover is the takeover by which the last of these terms began; empty if that is not known.
	Takeover TakeoverID
	Clock    Time
	Leases   map[identifier.Worker]Lease
}

func (s State) lastTerm() Term {
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

// TakeoverID identifies an attempt of a host to take a cell over.
type TakeoverID string

// ClockEstimate is what hosts know of a cell's clock when a takeover begins.
type ClockEstimate struct {
	ClockReading
	// Takeovers are recent attempts to take the cell over, with a lower bound of the time passed
	// since each of them began.
	Takeovers map[TakeoverID]time.Duration `json:"takeovers,omitempty"`
}

// Merge returns the estimate with what another one adds to it.
func (e ClockEstimate) Merge(other ClockEstimate) ClockEstimate {
	if cmp.Or(cmp.Compare(other.Epoch, e.Epoch), cmp.Compare(other.Clock, e.Clock)) > 0 {
		e.ClockReading = other.ClockReading
	}
	takeovers := maps.Clone(e.Takeovers)
	for id, age := range other.Takeovers {
		if takeovers == nil {
			takeovers = map[TakeoverID]time.Duration{}
		}
		takeovers[id] = max(takeovers[id], age)
	}
	e.Takeovers = takeovers
	return e
}

// Before returns the estimate as it was some time ago.
func (e ClockEstimate) Before(ago time.Duration) ClockEstimate {
	e.Clock = max(e.Clock-Time(ago), 0)
	takeovers := make(map[TakeoverID]time.Duration, len(e.Takeovers))
	for id, age := range e.Takeovers {
		takeovers[id] = max(age-ago, 0)
	}
	e.Takeovers = takeovers
	return e
}

// BeginTerm returns the state with a new term added, which begins with a takeover; the caller has to
// store it before passing it to New. The term starts when the takeover began, and so does the
// estimate. A reading of the cell's clock is used only if it comes from the last holder: the
// clock of an older one may have been ahead of the clock by which the last holder stored leases.
// The clock never goes back behind the start of the last term, whose holder may have ended before
// it stored or told a reading.
func (s State) BeginTerm(epoch identifier.Epoch, takeover TakeoverID, estimate ClockEstimate) State {
	last := s.lastTerm()
	start := max(s.Clock, last.Start)
	if len(s.Terms) > 0 && estimate.Epoch == last.Epoch {
		start = max(start, estimate.Clock)
	}
	if age, ok := estimate.Takeovers[s.Takeover]; ok && s.Takeover != "" {
		start = max(start, last.Start+Time(age))
	}
	s.Takeover = takeover
	s.Terms = append(slices.Clone(s.Terms), Term{Epoch: epoch, Start: start})
	s.Terms = s.Terms[max(len(s.Terms)-maxTerms, 0):]
	return s
}

// Silence describes how long a worker has not been heard from.
type Silence struct {
	Duration time.Duration
	// Takeovers is the number of changes of the cell's holder in that time.
	Takeovers int
}

// renewalState says whether this holder may renew a lease.
type renewalState int

const (
	// notRenewed means that the lease, if the worker has one, is left to expire.
	notRenewed renewalState = iota
	// renewalPending lasts until the record that marks the lease as renewable is stored.
	renewalPending
	// renewalAllowed follows once it is stored.
	renewalAllowed
)

// lease is a worker's lease in the current term. Its times are those of the holder's own clock.
type lease struct {
	renewal renewalState
	// hasRecord is set if the store may hold a record of the lease.
	hasRecord bool
	// lastBatch is the number of the last batch with a record of the lease; zero if none had one.
	lastBatch uint64
	// alwaysRenewable is set if every record that this term took marks the lease as renewable.
	alwaysRenewable bool
	// expires is the expiry of a lease that is not renewed, and lastHeard when its worker was
	// last heard from.
	expires, lastHeard time.Time
	// extendedUntil is the expiry of a lease that may outlast what this holder asked for.
	extendedUntil time.Time
}

// Reading relates a time of the holder's own clock to the uptime, which includes the time for which
// the machine was suspended. The two clocks cannot be read at once, so that the uptime is known by
// bounds. Whatever has to end before a lease does is derived from one of them, and whatever has to
// wait for the lease from the other: a delay between the two reads then only adds to the wait.
type Reading struct {
	Now              time.Time
	Earliest, Latest time.Duration
}

// ReadAt returns a Reading of a time of the runtime's clock that has passed.
func ReadAt(now time.Time, uptime func() time.Duration) Reading {
	latest := uptime()
	return Reading{Now: now, Earliest: latest - time.Since(now), Latest: latest}
}

// Renewer tracks the leases of a cell's workers during one holder's term. Its methods are not
// safe for concurrent use.
type Renewer struct {
	epoch identifier.Epoch
	// reading is the time of the present decision, by which all methods go.
	reading Reading
	// startUptime is the uptime at the start of the term, and startClock the cell's clock.
	startUptime time.Duration
	startClock  Time
	// terms is the stored history of terms, including this one.
	terms []Term
	// maxInherited is how long after the start of a term leases of the previous holder may last.
	maxInherited time.Duration
	// previous are the leases that earlier terms stored.
	previous map[identifier.Worker]Lease

	// leases are those of the current term; changed are the workers whose record is to be stored.
	leases  map[identifier.Worker]*lease
	changed map[identifier.Worker]struct{}
	// clockTakenAt is when Take last returned the cell's clock, or when the term began.
	clockTakenAt time.Time
}

// clockSaveInterval bounds how far the stored clock lags behind while leases depend on it. If no
// host has observed the clock, each takeover adds up to this lag to the wait for a lost worker.
const clockSaveInterval = 500 * time.Millisecond

// New returns a Renewer for the last term of the stored state, which started at startUptime.
// maxInherited is how long after the start of a term leases that the previous holder renewed may
// last.
func New(now Reading, startUptime, maxInherited time.Duration, stored State) *Renewer {
	term := stored.lastTerm()
	r := &Renewer{
		epoch: term.Epoch, reading: now, startUptime: startUptime, startClock: term.Start, maxInherited: maxInherited, terms: stored.Terms, previous: stored.Leases,
		leases: map[identifier.Worker]*lease{}, changed: map[identifier.Worker]struct{}{}, clockTakenAt: now.Now,
	}
	for id := range stored.Leases {
		r.leaseFor(id).hasRecord = true
	}
	return r
}

// SetTime begins a decision: until the next call, all methods go by this reading.
func (r *Renewer) SetTime(now Reading) { r.reading = now }

// Clock returns a lower bound of the cell's clock.
func (r *Renewer) Clock() Time { return r.startClock + Time(r.reading.Earliest-r.startUptime) }

// latestClock returns an upper bound of the cell's clock.
func (r *Renewer) latestClock() Time { return r.startClock + Time(r.reading.Latest-r.startUptime) }

// inheritedLease returns the latest expiry of the lease of a worker that was not heard from in
// this term, the latest time at which it was heard from, and the epoch of that time.
func (r *Renewer) inheritedLease(id identifier.Worker) (expires, lastHeard Time, epoch identifier.Epoch) {
	l, ok := r.previous[id]
	switch {
	case !ok:
		// A holder of an older release, which stores no leases, may have renewed it.
		return r.startClock + Time(r.maxInherited), r.startClock, r.epoch
	case l.Epoch < r.terms[0].Epoch || l.Renewable:
		// Its holder may have renewed it until the next term began.
		next := r.termAfter(l.Epoch)
		return max(next.Start+Time(r.maxInherited), l.Expires), next.Start, next.Epoch - 1
	default:
		return l.Expires, l.LastHeard, l.Epoch
	}
}

// termAfter returns the first known term after an epoch, or the last known one if there is none.
func (r *Renewer) termAfter(epoch identifier.Epoch) Term {
	for _, t := range r.terms {
		if t.Epoch > epoch {
			return t
		}
	}
	return r.terms[len(r.terms)-1]
}

// InheritedExpiry returns the latest time, by the holder's own clock, at which the lease of a
// worker that was not heard from in this term expires.
func (r *Renewer) InheritedExpiry(id identifier.Worker) time.Time {
	expires, _, _ := r.inheritedLease(id)
	return r.reading.Now.Add(time.Duration(expires - r.Clock()))
}

// RenewableUntil returns up to when a lease may be renewed although the record that allows it is
// not stored yet: by the records of earlier terms, a successor waits at least that long. It is
// zero if renewal is not pending, or if this term has taken a record that gives the lease an end.
func (r *Renewer) RenewableUntil(id identifier.Worker) time.Time {
	if l, ok := r.leases[id]; !ok || l.renewal != renewalPending || l.lastBatch > 0 && !l.alwaysRenewable {
		return time.Time{}
	}
	expires, _, _ := r.inheritedLease(id)
	return r.reading.Now.Add(time.Duration(expires - r.latestClock()))
}

// Silence returns how long a worker has not been heard from. lastHeard is a time of the holder's
// own clock, or zero if the worker was not heard from in this term.
func (r *Renewer) Silence(id identifier.Worker, lastHeard time.Time) Silence {
	if !lastHeard.IsZero() {
		return Silence{Duration: r.reading.Now.Sub(lastHeard)}
	}
	_, inherited, epoch := r.inheritedLease(id)
	return Silence{Duration: time.Duration(r.Clock() - inherited), Takeovers: int(r.epoch - epoch)}
}

// leaseFor returns a worker's lease in this term. It adds one that is not renewed if there is none.
func (r *Renewer) leaseFor(id identifier.Worker) *lease {
	l, ok := r.leases[id]
	if !ok {
		l = &lease{}
		r.leases[id] = l
	}
	return l
}

// Resume requests that a worker's lease be renewed again, once the record of it is stored.
func (r *Renewer) Resume(id identifier.Worker) {
	if l := r.leaseFor(id); l.renewal == notRenewed {
		l.renewal = renewalPending
		r.changed[id] = struct{}{}
	}
}

// RenewalPending reports whether the record that allows renewing a worker's lease is still to be
// stored.
func (r *Renewer) RenewalPending(id identifier.Worker) bool {
	l, ok := r.leases[id]
	return ok && l.renewal == renewalPending
}

// RenewalAllowed reports whether the record that allows renewing a worker's lease is stored.
func (r *Renewer) RenewalAllowed(id identifier.Worker) bool {
	l, ok := r.leases[id]
	return ok && l.renewal == renewalAllowed
}

// Suspend stops the renewal of a worker's lease. Both times are those of the holder's own clock.
func (r *Renewer) Suspend(id identifier.Worker, expires, lastHeard time.Time) {
	if l := r.leaseFor(id); l.renewal != notRenewed {
		l.renewal, l.expires, l.lastHeard = notRenewed, expires, lastHeard
		r.changed[id] = struct{}{}
	}
}

// RecordExtension records that a worker's lease may last longer than this holder asked for, up
// to expires.
func (r *Renewer) RecordExtension(id identifier.Worker, expires time.Time) {
	l := r.leaseFor(id)
	l.extendedUntil = expires
	if l.renewal != notRenewed {
		r.changed[id] = struct{}{}
	}
}

// Forget drops a worker's lease, and its stored record with the next batch. The worker must run
// nothing and must not be heard from any more.
func (r *Renewer) Forget(id identifier.Worker) {
	l, ok := r.leases[id]
	if !ok {
		return
	}
	delete(r.leases, id)
	delete(r.changed, id)
	if l.hasRecord {
		r.changed[id] = struct{}{}
	}
}

// PruneInherited drops the leases of earlier terms, except those of workers that are needed.
func (r *Renewer) PruneInherited(needed func(identifier.Worker) bool) {
	for id := range r.previous {
		if !needed(id) {
			r.Forget(id)
		}
	}
}

// Dirty reports whether there are records to store.
func (r *Renewer) Dirty() bool { return len(r.changed) > 0 }

// ClockDue reports whether the stored clock is clockSaveInterval old. It needs to be stored again
// only while leases depend on it.
func (r *Renewer) ClockDue() bool { return r.reading.Now.Sub(r.clockTakenAt) >= clockSaveInterval }

// Take returns the changed records for a batch, and the clock that has to be stored with them.
// Batches must have rising numbers and be stored in that order.
func (r *Renewer) Take(batch uint64) (records []Record, clock Time) {
	r.clockTakenAt = r.reading.Now
	for id := range r.changed {
		records = append(records, r.takeRecord(id, batch))
	}
	clear(r.changed)
	return records, r.Clock()
}

// takeRecord returns the record of a worker's lease for a batch, and notes in the lease that the
// batch contains it.
func (r *Renewer) takeRecord(id identifier.Worker, batch uint64) Record {
	l, ok := r.leases[id]
	if !ok {
		return Record{Worker: id}
	}
	l.alwaysRenewable = l.renewal != notRenewed && (l.lastBatch == 0 || l.alwaysRenewable)
	l.lastBatch, l.hasRecord = batch, true
	if l.renewal != notRenewed {
		lease := &Lease{Epoch: r.epoch, Renewable: true}
		if l.extendedUntil.After(r.reading.Now) {
			lease.Expires = r.latestTimeOf(l.extendedUntil)
		}
		return Record{Worker: id, Lease: lease}
	}
	return Record{Worker: id, Lease: &Lease{
		Epoch: r.epoch, Expires: r.latestTimeOf(l.expires), LastHeard: r.latestTimeOf(l.lastHeard),
	}}
}

// latestTimeOf returns an upper bound of the cell's clock at a time of the holder's own clock.
func (r *Renewer) latestTimeOf(at time.Time) Time {
	return r.latestClock() + Time(at.Sub(r.reading.Now))
}

// MarkStored allows the renewal of the leases that the stored records of a batch mark as
// renewable, unless a later batch has a newer record of the same lease.
func (r *Renewer) MarkStored(batch uint64, records []Record) {
	for _, rec := range records {
		l, ok := r.leases[rec.Worker]
		if ok && rec.Lease != nil && rec.Lease.Renewable && l.lastBatch == batch && l.renewal == renewalPending {
			l.renewal = renewalAllowed
		}
	}
}
