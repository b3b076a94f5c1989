// Package lessor implements the cell lease of a data centre: at most one of its entry hosts holds
// the lease and places tasks. Hosts claim and renew the lease with records in the cell's log
// stream, whose order decides between claimants. Each host measures the lease's duration by its own
// clock alone.
package lessor

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// clockMarginDivisor sets the allowance for clocks that run at different rates: other hosts wait
// for the TTL plus TTL/clockMarginDivisor before they claim the lease.
const clockMarginDivisor = 4

// Timing holds the durations of a cell lease.
type Timing struct {
	// TTL is how long the lease lasts after its last renewal.
	TTL time.Duration
	// RenewInterval is the interval between renewals.
	RenewInterval time.Duration
}

// CellLease is one host's view of a cell lease. It is not safe for concurrent use.
type CellLease struct {
	// self is the template of this host's own records.
	self   encoder.Lease
	timing Timing
	epoch  identifier.Epoch
	// last is the last accepted record.
	last encoder.Lease
	// ttlStart is when the TTL of the last accepted record started to count on this host: when the
	// record was read, or the snapshot that holds it.
	ttlStart time.Time
	// lastSeenAt is when the last accepted record was read; see LastSeenAt.
	lastSeenAt time.Time
	// hasState is set once a record or the end of the stream has been read.
	hasState bool
	// pending holds the sending times of this host's records that have not been read back.
	pending   map[identifier.RecordID]time.Time
	heldUntil time.Time
	// renewed is when the last accepted record of this host was sent.
	renewed    time.Time
	nextSendAt time.Time
	// stopped is set when this host has given up the lease for good.
	stopped bool
}

// New returns the view of a host that has read no record yet. A host that only observes the lease
// passes an empty entry and incarnation.
func New(entry identifier.Entry, incarnation identifier.Incarnation, timing Timing) *CellLease {
	return &CellLease{
		self:    encoder.Lease{Holder: incarnation, Entry: entry},
		timing:  timing,
		pending: map[identifier.RecordID]time.Time{},
	}
}

// Apply applies a lease record that was read just now and reports whether it was accepted: as a
// renewal by the present holder, or as a takeover under the next epoch. A record of this host
// extends the lease from the time at which it was sent.
func (l *CellLease) Apply(id identifier.RecordID, rec encoder.Lease) bool {
	sent, sentHere := l.pending[id]
	delete(l.pending, id)
	renewal := rec.Epoch == l.epoch && rec.Holder == l.last.Holder && !l.last.Released
	takeover := rec.Epoch == l.epoch+1
	if !renewal && !takeover {
		return false
	}
	l.epoch = rec.Epoch
	l.last = rec
	l.ttlStart = time.Now()
	l.lastSeenAt = l.ttlStart
	l.hasState = true
	if rec.Holder != l.self.Holder || rec.Released {
		l.heldUntil = time.Time{}
		return true
	}
	if sentHere {
		l.renewed = later(l.renewed, sent)
		l.heldUntil = l.renewed.Add(l.timing.TTL)
	}
	return true
}

// MarkCaughtUp records that the stream was read to its head. If it held no lease record, the lease
// is then known to be free.
func (l *CellLease) MarkCaughtUp() {
	if !l.hasState {
		l.hasState = true
		l.ttlStart = time.Now()
	}
}

// NextRecord returns the record with which this host claims or renews the lease, if one is due now.
func (l *CellLease) NextRecord() (encoder.Record, bool) {
	now := time.Now()
	if !l.hasState || l.stopped || now.Before(l.nextSendAt) {
		return encoder.Record{}, false
	}
	rec := l.self
	switch {
	case l.last.Holder == l.self.Holder && !l.last.Released:
		rec.Epoch = l.epoch
	case l.claimable(now):
		rec.Epoch = l.epoch + 1
	default:
		return encoder.Record{}, false
	}
	out := encoder.NewRecord(rec)
	l.pending[out.ID] = now
	l.prunePending(now)
	l.nextSendAt = now.Add(l.timing.RenewInterval)
	return out, true
}

// Release makes this host stop claiming the lease, and returns the record that gives the lease up
// if this host was the last to hold it.
func (l *CellLease) Release() (encoder.Record, bool) {
	l.stopped = true
	if l.last.Holder != l.self.Holder {
		return encoder.Record{}, false
	}
	l.heldUntil = time.Time{}
	rec := l.self
	rec.Epoch, rec.Released = l.epoch, true
	return encoder.NewRecord(rec), true
}

// Held reports whether this host holds the lease now. It must be called again after every wait and
// before every action that needs the lease.
func (l *CellLease) Held() bool { return time.Now().Before(l.heldUntil) }

// IsLastHolder reports whether this host was the last to hold the lease, even if the lease has
// lapsed since.
func (l *CellLease) IsLastHolder() bool { return l.last.Holder == l.self.Holder && !l.renewed.IsZero() }

// RenewedAt returns when the last accepted renewal of this host was sent.
func (l *CellLease) RenewedAt() time.Time { return l.renewed }

// LastSeenAt returns when the last accepted record of any holder was read. After a snapshot was
// loaded, it is the load time less the age that the record had when the snapshot was written.
func (l *CellLease) LastSeenAt() time.Time { return l.lastSeenAt }

// HolderIncarnation returns the incarnation of the entry host that was last seen to hold the lease,
// or "".
func (l *CellLease) HolderIncarnation() identifier.Incarnation { return l.last.Holder }

// Epoch returns the epoch of the last holder.
func (l *CellLease) Epoch() identifier.Epoch { return l.epoch }

// HolderEntry returns the name of the entry host that was last seen to hold the lease, or "".
func (l *CellLease) HolderEntry() identifier.Entry { return l.last.Entry }

// claimable reports whether the lease was released or has certainly lapsed on its holder's clock.
func (l *CellLease) claimable(now time.Time) bool {
	if l.last.Holder == "" || l.last.Released {
		return true
	}
	return now.Sub(l.ttlStart) > l.timing.TTL+l.timing.TTL/clockMarginDivisor
}

// prunePending drops pending records that are too old to extend the lease.
func (l *CellLease) prunePending(now time.Time) {
	for id, sent := range l.pending {
		if now.Sub(sent) > l.timing.TTL {
			delete(l.pending, id)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// snapshotState is the encoded form of a CellLease.
type snapshotState struct {
	Epoch  identifier.Epoch `cbor:"1,keyasint"`
	Holder encoder.Lease    `cbor:"2,keyasint"`
	// AgeMs is how long ago the last record was read, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint"`
}

// Marshal returns the state for a snapshot.
func (l *CellLease) Marshal() ([]byte, error) {
	return cbor.Marshal(snapshotState{l.epoch, l.last, time.Since(l.lastSeenAt).Milliseconds()})
}

// Unmarshal replaces the state by that of a snapshot. The holder's TTL starts to count now, because
// it is not known when the snapshot was written. The error is marked encoder.ErrMalformed.
func (l *CellLease) Unmarshal(data []byte) error {
	var s snapshotState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Mark(err, encoder.ErrMalformed)
	}
	l.epoch, l.last = s.Epoch, s.Holder
	l.ttlStart = time.Now()
	l.lastSeenAt = l.ttlStart.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	l.heldUntil = time.Time{}
	return nil
}

// Reset starts from an empty stream whose next offset is base. Base becomes the epoch: an epoch
// never exceeds the number of records in the stream, so no earlier epoch is higher.
func (l *CellLease) Reset(base identifier.Offset) {
	l.epoch = identifier.Epoch(base)
	l.last = encoder.Lease{}
	l.ttlStart = time.Now()
	l.lastSeenAt = l.ttlStart
	l.heldUntil = time.Time{}
}
