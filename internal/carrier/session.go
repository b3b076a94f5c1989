package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
)

// specifiedOrder is an order with the spec of its run, and when its caller leaves; zero
// is never. Wanted is nil or ends when nobody waits for the order any more.
type specifiedOrder struct {
	order
	spec   string
	leave  time.Time
	wanted context.Context
}

// abandoned reports whether nobody waits for the order at a moment.
func (o specifiedOrder) abandoned(now time.Time) bool {
	return !o.leave.IsZero() && !now.Before(o.leave) || o.wanted != nil && o.wanted.Err() != nil
}

// call is an order under way and who is told what came of it, once and without blocking.
type call struct {
	done  func(reply, error)
	leave time.Time
}

// session is a host that makes calls for this holder, as long as its connection lasts.
type session struct {
	peer   messenger.Peer
	offer  Offer
	orders *sender[specifiedOrder]
	// gap returns the least time between two messages in each direction.
	gap func() time.Duration

	mu      sync.Mutex
	number  uint64
	pending map[uint64]call
	heardAt time.Time
	closed  bool
}

func newSession(peer messenger.Peer, o Offer, uptime, gap func() time.Duration) *session {
	s := &session{peer: peer, offer: o, gap: gap, pending: map[uint64]call{}, heardAt: time.Now()}
	s.orders = newSender(peer, messenger.MethodOrders, uptime, s.pack)
	return s
}

func (s *session) pack(list []specifiedOrder) any {
	now := time.Now()
	wanted := list[:0]
	for _, o := range list {
		if o.abandoned(now) {
			s.finish(o.Number, reply{}, errAbandoned)
			continue
		}
		wanted = append(wanted, o)
	}
	out := pack(wanted)
	out.Gap = s.gap()
	s.orders.setGap(out.Gap)
	return out
}

// errAbandoned marks an order that was not sent since its caller had left.
var errAbandoned = errors.Mark(errors.New("the order waited until its caller had left"), connector.ErrNotSent)

// pack makes a batch in which each spec stands once.
func pack(list []specifiedOrder) orders {
	out := orders{List: make([]order, 0, len(list))}
	places := map[string]int{}
	for _, o := range list {
		if o.spec != "" {
			place, ok := places[o.spec]
			if !ok {
				out.Specs = append(out.Specs, o.spec)
				place = len(out.Specs)
				places[o.spec] = place
			}
			o.Spec = place
		}
		if !o.leave.IsZero() {
			o.Timeout = time.Until(o.leave)
		}
		out.List = append(out.List, o.order)
	}
	return out
}

// run sends orders until the connection ends.
func (s *session) run(ctx context.Context) error {
	err := s.orders.run(ctx)
	s.close()
	return err
}

// close ends the connection; calls under way fail.
func (s *session) close() {
	s.peer.Close()
	s.mu.Lock()
	pending := s.pending
	s.pending, s.closed = map[uint64]call{}, true
	s.mu.Unlock()
	for _, c := range pending {
		c.done(reply{}, errHostGone)
	}
}

func (s *session) silentFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heardAt)
}

// excuse does not count a time as silence.
func (s *session) excuse(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = s.heardAt.Add(min(d, time.Since(s.heardAt)))
}

// do makes a call through the host and waits for the answer.
func (s *session) do(ctx context.Context, o order, spec string) (reply, error) {
	type outcome struct {
		reply
		err error
	}
	answered := make(chan outcome, 1)
	leave, _ := ctx.Deadline()
	// The call is taken out by the context, also if nothing looks for late ones.
	number, ok := s.begin(specifiedOrder{order: o, spec: spec, leave: leave}, call{
		done: func(r reply, err error) { answered <- outcome{r, err} },
	})
	if !ok {
		return reply{}, errNoHost
	}
	select {
	case out := <-answered:
		return out.reply, out.err
	case <-ctx.Done():
		return reply{}, s.abandon(number, ctx.Err())
	}
}

// begin queues an order; ok is false if the connection has ended.
func (s *session) begin(o specifiedOrder, c call) (number uint64, ok bool) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return 0, false
	}
	s.number++
	o.Number = s.number
	s.pending[o.Number] = c
	s.mu.Unlock()
	s.orders.put(o)
	return o.Number, true
}

// abandon forgets a call that nobody waits for any more, and returns what is known of it.
func (s *session) abandon(number uint64, cause error) error {
	s.mu.Lock()
	delete(s.pending, number)
	s.mu.Unlock()
	return s.unanswered(number, cause)
}

// unanswered returns the error of a call without an answer. An order that is still queued
// is not sent.
func (s *session) unanswered(number uint64, cause error) error {
	effect := connector.ErrUnknown
	if s.orders.remove(func(o specifiedOrder) bool { return o.Number == number }) {
		effect = connector.ErrNotSent
	}
	return errors.Mark(errors.Wrapf(cause, "no answer through %s", s.offer.Name), effect)
}

// finish tells what came of a call, unless that was told already.
func (s *session) finish(number uint64, r reply, err error) {
	s.mu.Lock()
	c, ok := s.pending[number]
	delete(s.pending, number)
	s.mu.Unlock()
	if ok {
		c.done(r, err)
	}
}

// expire ends the calls whose callers leave before a moment.
func (s *session) expire(now time.Time) {
	var late []uint64
	s.mu.Lock()
	for number, c := range s.pending {
		if !c.leave.IsZero() && !now.Before(c.leave) {
			late = append(late, number)
		}
	}
	s.mu.Unlock()
	for _, number := range late {
		s.finish(number, reply{}, s.unanswered(number, context.DeadlineExceeded))
	}
}

// receive hands replies to those who wait; one that nobody waits for is dropped, since
// its call counts as unanswered already.
func (s *session) receive(replies []reply) {
	s.mu.Lock()
	s.heardAt = time.Now()
	s.mu.Unlock()
	for _, r := range replies {
		s.finish(r.Number, r, nil)
	}
}
