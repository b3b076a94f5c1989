// Package lessor keeps the lease of a cell: at most one entry host of a data
// centre holds it and places tasks. The order of the log decides between
// claimants; every host counts time by its own clock alone.
package lessor

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// marginDivisor sets the allowance for clock rates: others wait the lease's
// duration plus this fraction of it before they claim.
const marginDivisor = 4

// Timing are the durations of a cell lease.
type Timing struct {
	// TTL is how long the lease lasts after its last renewal.
	TTL time.Duration
	// RenewInterval is the interval between renewals.
	RenewInterval time.Duration
}

// CellLease is one host's view of the lease. It is not safe for concurrent use.
type CellLease struct {
	self     encoder.Lease
	times    Timing
	epoch    identifier.Epoch
	holder   encoder.Lease
	readAt   time.Time
	seenAt   time.Time
	known    bool
	pending  map[identifier.RecordID]time.Time
	heldTill time.Time
	renewed  time.Time
	nextSend time.Time
	leaving  bool
}

// New returns the view of a host that has read nothing yet.
func New(entry identifier.Entry, incarnation identifier.Incarnation, times Timing) *CellLease {
	return &CellLease{
		self:    encoder.Lease{Holder: incarnation, Entry: entry},
		times:   times,
		pending: map[identifier.RecordID]time.Time{},
	}
}

// Apply folds a lease record that was read just now and reports whether it
// was accepted.
func (l *CellLease) Apply(id identifier.RecordID, rec encoder.Lease) bool {
	sent, mine := l.pending[id]
	delete(l.pending, id)
	renewal := rec.Epoch == l.epoch && rec.Holder == l.holder.Holder && !l.holder.Released
	takeover := rec.Epoch == l.epoch+1
	if !renewal && !takeover {
		return false
	}
	l.epoch = rec.Epoch
	l.holder = rec
	l.readAt = time.Now()
	l.seenAt = l.readAt
	l.known = true
	if rec.Holder != l.self.Holder || rec.Released {
		l.heldTill = time.Time{}
		return true
	}
	if mine {
		l.renewed = later(l.renewed, sent)
		l.heldTill = l.renewed.Add(l.times.TTL)
	}
	return true
}

// MarkCaughtUp tells the view that the stream was read to its head; a stream
// without any lease is then known to be free.
func (l *CellLease) MarkCaughtUp() {
	if !l.known {
		l.known = true
		l.readAt = time.Now()
	}
}

// NextRecord returns the record to append now, if one is due.
func (l *CellLease) NextRecord() (encoder.Record, bool) {
	now := time.Now()
	if !l.known || l.leaving || now.Before(l.nextSend) {
		return encoder.Record{}, false
	}
	rec := l.self
	switch {
	case l.holder.Holder == l.self.Holder && !l.holder.Released:
		rec.Epoch = l.epoch
	case l.free(now):
		rec.Epoch = l.epoch + 1
	default:
		return encoder.Record{}, false
	}
	out := encoder.NewRecord(rec)
	l.pending[out.ID] = now
	l.forgetOld(now)
	l.nextSend = now.Add(l.times.RenewInterval)
	return out, true
}

// Release returns the record that gives the lease up, and stops claiming.
func (l *CellLease) Release() (encoder.Record, bool) {
	l.leaving = true
	if l.holder.Holder != l.self.Holder {
		return encoder.Record{}, false
	}
	l.heldTill = time.Time{}
	rec := l.self
	rec.Epoch, rec.Released = l.epoch, true
	return encoder.NewRecord(rec), true
}

// Held reports whether this host holds the lease now. It must be asked again
// after every wait and before every effect.
func (l *CellLease) Held() bool { return time.Now().Before(l.heldTill) }

// IsLastHolder reports whether this host was the last to hold the lease, even if it
// has lapsed since.
func (l *CellLease) IsLastHolder() bool {
	return l.holder.Holder == l.self.Holder && !l.renewed.IsZero()
}

// RenewedAt returns when the last accepted renewal of this host was sent.
func (l *CellLease) RenewedAt() time.Time { return l.renewed }

// LastSeenAt returns when the last accepted record of any holder was read.
func (l *CellLease) LastSeenAt() time.Time { return l.seenAt }

// HolderIncarnation returns the incarnation that was last seen to hold the lease.
func (l *CellLease) HolderIncarnation() identifier.Incarnation { return l.holder.Holder }

// Epoch returns the epoch of the last holder.
func (l *CellLease) Epoch() identifier.Epoch { return l.epoch }

// HolderEntry returns the entry host that was last seen to hold the lease.
func (l *CellLease) HolderEntry() identifier.Entry { return l.holder.Entry }

func (l *CellLease) free(now time.Time) bool {
	if l.holder.Holder == "" || l.holder.Released {
		return true
	}
	return now.Sub(l.readAt) > l.times.TTL+l.times.TTL/marginDivisor
}

func (l *CellLease) forgetOld(now time.Time) {
	for id, sent := range l.pending {
		if now.Sub(sent) > l.times.TTL {
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

type state struct {
	Epoch  identifier.Epoch `cbor:"1,keyasint"`
	Holder encoder.Lease    `cbor:"2,keyasint"`
	// AgeMs is how long ago the last record was read, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint"`
}

// Marshal returns the state for a snapshot.
func (l *CellLease) Marshal() ([]byte, error) {
	return cbor.Marshal(state{l.epoch, l.holder, time.Since(l.seenAt).Milliseconds()})
}

// Unmarshal replaces the state by that of a snapshot. The holder's lease counts
// from now, the time since its last record from when the writer read that.
func (l *CellLease) Unmarshal(data []byte) error {
	var s state
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Mark(err, encoder.ErrMalformed)
	}
	l.epoch, l.holder = s.Epoch, s.Holder
	l.readAt = time.Now()
	l.seenAt = l.readAt.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	l.heldTill = time.Time{}
	return nil
}

// Reset starts from an empty stream whose next offset is base. An epoch never
// exceeds the number of records before it, so base is above all earlier ones.
func (l *CellLease) Reset(base identifier.Offset) {
	l.epoch = identifier.Epoch(base)
	l.holder = encoder.Lease{}
	l.readAt = time.Now()
	l.seenAt = l.readAt
	l.heldTill = time.Time{}
}
