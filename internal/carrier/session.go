package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
)

// queuedOrder is an order that has not been sent yet, with the spec of its run.
type queuedOrder struct {
	order
	spec string
	// deadline is when the caller stops waiting; zero is never.
	deadline time.Time
	// ctx is nil or ends when the order is no longer wanted.
	ctx context.Context
}

// abandoned reports whether the order is past its deadline or cancelled.
func (o queuedOrder) abandoned(now time.Time) bool {
	return !o.deadline.IsZero() && !now.Before(o.deadline) || o.ctx != nil && o.ctx.Err() != nil
}

// pendingCall is a call that has no outcome yet.
type pendingCall struct {
	// done is called once with the outcome and must not block.
	done func(reply, error)
	// deadline is when the call expires; zero is never.
	deadline time.Time
}

// hostSession is the holder's side of the connection to a host that makes calls for it. It is
// safe for concurrent use.
type hostSession struct {
	peer   messenger.Peer
	offer  Offer
	orders *batchSender[queuedOrder]
	// sendInterval returns the minimum time between two batches in each direction.
	sendInterval func() time.Duration

	mu     sync.Mutex
	lastID uint64
	// pending holds the calls without an outcome, by order ID.
	pending map[uint64]pendingCall
	// lastMessage is when the host was last heard from.
	lastMessage time.Time
	closed      bool
}

func newHostSession(peer messenger.Peer, o Offer, uptime, sendInterval func() time.Duration) *hostSession {
	s := &hostSession{peer: peer, offer: o, sendInterval: sendInterval, pending: map[uint64]pendingCall{}, lastMessage: time.Now()}
	s.orders = newBatchSender(peer, messenger.MethodOrders, uptime, s.buildBatch)
	return s
}

// buildBatch makes the content of the next batch of orders, and completes those that were
// abandoned while queued instead of sending them.
func (s *hostSession) buildBatch(list []queuedOrder) any {
	now := time.Now()
	wanted := list[:0]
	for _, o := range list {
		if o.abandoned(now) {
			s.complete(o.ID, reply{}, errAbandoned)
			continue
		}
		wanted = append(wanted, o)
	}
	out := newOrderBatch(wanted)
	out.ReplyInterval = s.sendInterval()
	s.orders.setInterval(out.ReplyInterval)
	return out
}

// errAbandoned is the error of an order that was abandoned before it was sent.
var errAbandoned = errors.Mark(errors.New("order expired or was cancelled before it was sent"), connector.ErrNotSent)

// newOrderBatch makes a batch in which each spec appears once, and sets the timeouts of the
// orders to the time left until their deadlines.
func newOrderBatch(list []queuedOrder) orderBatch {
	out := orderBatch{Orders: make([]order, 0, len(list))}
	indexes := map[string]int{}
	for _, o := range list {
		if o.spec != "" {
			index, ok := indexes[o.spec]
			if !ok {
				out.Specs = append(out.Specs, o.spec)
				index = len(out.Specs)
				indexes[o.spec] = index
			}
			o.SpecIndex = index
		}
		if !o.deadline.IsZero() {
			o.Timeout = time.Until(o.deadline)
		}
		out.Orders = append(out.Orders, o.order)
	}
	return out
}

// run sends orders until ctx or the connection ends, then closes the session. The error is as
// with batchSender.run.
func (s *hostSession) run(ctx context.Context) error {
	err := s.orders.run(ctx)
	s.close()
	return err
}

// close closes the connection. Pending calls fail with errHostDisconnected.
func (s *hostSession) close() {
	s.peer.Close()
	s.mu.Lock()
	pending := s.pending
	s.pending, s.closed = map[uint64]pendingCall{}, true
	s.mu.Unlock()
	for _, c := range pending {
		c.done(reply{}, errHostDisconnected)
	}
}

// silentFor returns the time since the host was last heard from.
func (s *hostSession) silentFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastMessage)
}

// discountPause excludes a pause of this process from the host's silence.
func (s *hostSession) discountPause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastMessage = s.lastMessage.Add(min(d, time.Since(s.lastMessage)))
}

// do sends an order to the host and waits for the reply. The error is marked
// connector.ErrNotSent or connector.ErrUnknown.
func (s *hostSession) do(ctx context.Context, o order, spec string) (reply, error) {
	type outcome struct {
		reply
		err error
	}
	answered := make(chan outcome, 1)
	deadline, _ := ctx.Deadline()
	// The pending call needs no deadline, since it is abandoned below when ctx ends.
	id, ok := s.submit(queuedOrder{order: o, spec: spec, deadline: deadline}, pendingCall{
		done: func(r reply, err error) { answered <- outcome{r, err} },
	})
	if !ok {
		return reply{}, errSessionClosed
	}
	select {
	case out := <-answered:
		return out.reply, out.err
	case <-ctx.Done():
		return reply{}, s.abandon(id, ctx.Err())
	}
}

// submit queues an order and returns its ID; ok is false if the session is closed.
func (s *hostSession) submit(o queuedOrder, c pendingCall) (id uint64, ok bool) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return 0, false
	}
	s.lastID++
	o.ID = s.lastID
	s.pending[o.ID] = c
	s.mu.Unlock()
	s.orders.enqueue(o)
	return o.ID, true
}

// abandon drops a pending call whose caller has stopped waiting. The error is as with withdraw.
func (s *hostSession) abandon(id uint64, cause error) error {
	s.mu.Lock()
	delete(s.pending, id)
	s.mu.Unlock()
	return s.withdraw(id, cause)
}

// withdraw removes an order from the queue if it has not been sent yet, and returns the error
// of its call. The error wraps cause and is marked connector.ErrNotSent if the order was still
// queued, otherwise connector.ErrUnknown.
func (s *hostSession) withdraw(id uint64, cause error) error {
	effect := connector.ErrUnknown
	if s.orders.remove(func(o queuedOrder) bool { return o.ID == id }) {
		effect = connector.ErrNotSent
	}
	return errors.Mark(errors.Wrapf(cause, "no answer through %s", s.offer.Name), effect)
}

// complete reports the outcome of a call to its caller, unless the call is no longer pending.
func (s *hostSession) complete(id uint64, r reply, err error) {
	s.mu.Lock()
	c, ok := s.pending[id]
	delete(s.pending, id)
	s.mu.Unlock()
	if ok {
		c.done(r, err)
	}
}

// expireCalls fails the pending calls whose deadlines have passed.
func (s *hostSession) expireCalls(now time.Time) {
	var overdue []uint64
	s.mu.Lock()
	for id, c := range s.pending {
		if !c.deadline.IsZero() && !now.Before(c.deadline) {
			overdue = append(overdue, id)
		}
	}
	s.mu.Unlock()
	for _, id := range overdue {
		s.complete(id, reply{}, s.withdraw(id, context.DeadlineExceeded))
	}
}

// receiveReplies completes the calls that the replies answer. A reply without a pending call is
// dropped, since that call has already failed as unanswered.
func (s *hostSession) receiveReplies(replies []reply) {
	s.mu.Lock()
	s.lastMessage = time.Now()
	s.mu.Unlock()
	for _, r := range replies {
		s.complete(r.ID, r, nil)
	}
}
