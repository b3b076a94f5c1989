package intake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/breaker"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// slowAppend is the duration from which the store counts as slow, many times the usual one even
	// over long links.
	slowAppend = 100 * time.Millisecond
	// suspectAfter is how long an append may take before it is found out whether the store answers.
	suspectAfter = 250 * time.Millisecond
	// slowPeriod is for how long the store counts as slow after the holder has said so, which it does
	// with every answer to a heartbeat.
	slowPeriod = time.Second
	// holderPatience is how long the holder may leave an append unanswered before this host makes it
	// too, unless the holder has said meanwhile that the store is slow.
	holderPatience = 500 * time.Millisecond
	// distrustPeriod is for how long this host makes its own appends after the holder has not answered.
	distrustPeriod = 2 * time.Second
	// lostAfter is how long a holder that answers heartbeats every 400 ms may be silent.
	lostAfter = 900 * time.Millisecond
)

// courier appends records to the inbox of a cell: at the host that holds the cell or, if that does not
// answer, from this host. A slow store takes the appends to a partition one after the other. If each
// host made its own, they would exceed what it takes and fail; the holder appends the records of all
// hosts together.
type courier struct {
	cell    identifier.Cell
	batcher *batcher
	rpc     *messenger.Client
	locator *Locator
	breaker *breaker.Breaker

	mu sync.Mutex
	// slowUntil is until when the store counts as slow, and distrustedUntil until when the holder counts
	// as not answering.
	slowUntil, distrustedUntil time.Time
	// heardAt is when the holder of the cell last answered a heartbeat of this host or, if it is this
	// host, one of another host.
	heardAt time.Time
}

// errUnanswered is the outcome of an append that the holder has not answered.
var errUnanswered = errors.Mark(errors.New("the holder has not answered"), connector.ErrUnknown)

// append appends a record. The error is marked connector.ErrUnknown unless the record is not stored and
// will not be.
func (c *courier) append(ctx context.Context, r connector.KeyedRecord) error {
	atHolder := c.appendAtHolder(ctx, r)
	if atHolder == nil {
		return c.appendHere(ctx, r)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := time.NewTimer(holderPatience)
	defer patience.Stop()
	for {
		select {
		case err := <-atHolder:
			if err == nil || c.slow() && errors.Is(err, connector.ErrBusy) && !errors.Is(err, connector.ErrUnknown) {
				// If every host made the appends for which a slow store has no room, it would have less.
				return err
			}
			c.distrustHolder()
			return connector.MarkUnknown(c.appendConfirmed(ctx, r), errors.Is(err, connector.ErrUnknown))
		case <-patience.C:
			if !c.slow() {
				return c.appendBeside(ctx, r, atHolder)
			}
			patience.Reset(holderPatience)
		case <-ctx.Done():
			return errUnanswered
		}
	}
}

// appendBeside appends a record from this host, beside the holder, which has not answered in time.
func (c *courier) appendBeside(ctx context.Context, r connector.KeyedRecord, atHolder <-chan error) error {
	c.distrustHolder()
	here := make(chan error, 1)
	go func() { here <- c.appendConfirmed(ctx, r) }()
	holderErr, hereErr := errUnanswered, error(nil)
	// hereDone is nil until the append from this host has ended, which it does soon after ctx.
	var hereDone <-chan struct{}
	for ended := 0; ended < 2; ended++ {
		select {
		case holderErr = <-atHolder:
			if holderErr == nil {
				return nil
			}
		case hereErr = <-here:
			if hereErr == nil {
				return nil
			}
			hereDone = ctx.Done()
		case <-hereDone:
			return connector.MarkUnknown(hereErr, errors.Is(holderErr, connector.ErrUnknown))
		}
	}
	return connector.MarkUnknown(hereErr, errors.Is(holderErr, connector.ErrUnknown))
}

// errStoreSilent is the outcome of an append that is not sent since the store does not answer.
var errStoreSilent = errors.Mark(errors.New("the store does not answer this host, nor others for it"), connector.ErrNotSent)

// appendConfirmed appends a record from this host, if the store answers. Without that, the outcome of
// most appends at the beginning of an outage would be unknown.
func (c *courier) appendConfirmed(ctx context.Context, r connector.KeyedRecord) error {
	if !c.breaker.Confirm(ctx) {
		return errStoreSilent
	}
	return c.appendHere(ctx, r)
}

// appendHere appends a record together with others that this host is to append. It is withdrawn, unless
// it has been sent, once the store is known not to answer.
func (c *courier) appendHere(ctx context.Context, r connector.KeyedRecord) error {
	if _, open := c.breaker.RetryAfter(); open {
		return errStoreSilent
	}
	ctx, cancel := c.breaker.WhileClosed(ctx)
	defer cancel()
	suspicion := time.AfterFunc(suspectAfter, c.breaker.Suspect)
	defer suspicion.Stop()
	return c.batcher.append(ctx, r)
}

// appendAtHolder has the holder append a record, and returns a channel for its answer; nil if this host
// makes its own appends. The call outlives ctx, since a call that times out closes the connection for
// others too.
func (c *courier) appendAtHolder(ctx context.Context, r connector.KeyedRecord) <-chan error {
	holder := c.locator.Holder(c.cell)
	if holder == "" || holder == c.locator.self || c.distrusted() {
		return nil
	}
	answer := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), connector.GroupedAppendTimeout)
		defer cancel()
		// Callers may leave before their patience with the holder ends.
		patience := time.AfterFunc(holderPatience, func() {
			if !c.slow() {
				c.distrustHolder()
			}
		})
		defer patience.Stop()
		_, err := dialer.NewStore(c.rpc, holder).Append(ctx, c.inboxAppend(r))
		answer <- err
	}()
	return answer
}

func (c *courier) inboxAppend(r connector.KeyedRecord) connector.KeyedAppend {
	return connector.KeyedAppend{Topic: TopicInbox, Partition: connector.Partition(c.cell), Records: []connector.KeyedRecord{r}}
}

// distrustHolder lets this host make its own appends for a while.
func (c *courier) distrustHolder() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.distrustedUntil = time.Now().Add(distrustPeriod)
}

func (c *courier) distrusted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.distrustedUntil)
}

// slow reports whether the store is slow, as far as the holder has said.
func (c *courier) slow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.slowUntil)
}

func (c *courier) markSlow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowUntil = time.Now().Add(slowPeriod)
}

// heard records that the holder of the cell is in touch with this host.
func (c *courier) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = time.Now()
}

// inTouch reports whether the holder of the cell is in touch with this host.
func (c *courier) inTouch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.heardAt.IsZero() && time.Since(c.heardAt) <= lostAfter
}

// lost reports whether the holder of the cell was in touch with this host, but has not been for lostAfter.
func (c *courier) lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.heardAt.IsZero() && time.Since(c.heardAt) > lostAfter
}

// ObserveOutlook takes note of what the holder of a cell says about it.
func (s *Service) ObserveOutlook(cell identifier.Cell, o admitter.Outlook) {
	if int(cell) >= len(s.couriers) {
		return
	}
	s.admitter.Observe(cell, o, time.Now())
	s.couriers[cell].heard()
	if o.StoreDelay >= slowAppend {
		s.couriers[cell].markSlow()
	}
}

// ObserveOwnOutlook takes note of the outlook of a cell that this host holds, when another host has asked
// for it.
func (s *Service) ObserveOwnOutlook(cell identifier.Cell, o admitter.Outlook) {
	s.admitter.Observe(cell, o, time.Now())
	if int(cell) < len(s.couriers) {
		s.couriers[cell].heard()
	}
}

// Isolated reports whether this host is cut off: neither the store answers it, nor the holder of any cell
// that it was in touch with. Callers are served better by other hosts. An outage of the store alone
// isolates no host.
func (s *Service) Isolated() bool {
	if !slices.ContainsFunc(s.couriers, (*courier).lost) || slices.ContainsFunc(s.couriers, (*courier).inTouch) {
		return false
	}
	_, open := s.breaker.RetryAfter()
	if !open {
		s.breaker.Suspect()
	}
	return open
}

// GroupingStore is the store as this host calls it for others: their appends to the inbox of a cell that
// it holds are grouped with its own.
type GroupingStore struct {
	connector.Store
	service *Service
}

// Grouping returns the GroupingStore of a store.
func (s *Service) Grouping(store connector.Store) GroupingStore { return GroupingStore{store, s} }

// Append implements connector.Store. The offset of an append to the inbox is always zero.
func (g GroupingStore) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	if a.Topic != TopicInbox || a.Writer != nil || !g.service.holds(a.Partition) {
		return g.Store.Append(ctx, a)
	}
	results := make(chan error, len(a.Records))
	for _, r := range a.Records {
		go func() { results <- g.service.couriers[a.Partition].appendHere(ctx, r) }()
	}
	var failed error
	unknown := false
	for range a.Records {
		err := <-results
		// The caller learns one outcome for all records, and some may be stored although others are not.
		unknown = unknown || err == nil && len(a.Records) > 1 || errors.Is(err, connector.ErrUnknown)
		failed = errors.CombineErrors(failed, err)
	}
	return 0, connector.MarkUnknown(failed, unknown)
}

// holds reports whether this host holds the cell of a partition of the inbox.
func (s *Service) holds(p connector.Partition) bool {
	if int(p) >= len(s.couriers) {
		return false
	}
	_, ok := s.localHolder(identifier.Cell(p))
	return ok
}
