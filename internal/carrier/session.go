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
// is never.
type specifiedOrder struct {
	order
	spec  string
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
	pending map[uint64]chan reply
	heardAt time.Time
	closed  bool
}

func newSession(peer messenger.Peer, o Offer, uptime, gap func() time.Duration) *session {
	s := &session{peer: peer, offer: o, gap: gap, pending: map[uint64]chan reply{}, heardAt: time.Now()}
	s.orders = newSender(peer, messenger.MethodOrders, uptime, s.pack)
	return s
}

func (s *session) pack(list []specifiedOrder) any {
	out := pack(list)
	out.Gap = s.gap()
	s.orders.setGap(out.Gap)
	return out
}

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
	defer s.mu.Unlock()
	s.closed = true
	for number, ch := range s.pending {
		delete(s.pending, number)
		close(ch)
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
	ch, number, ok := s.expect()
	if !ok {
		return reply{}, errNoHost
	}
	o.Number = number
	leave, _ := ctx.Deadline()
	s.orders.put(specifiedOrder{o, spec, leave})
	select {
	case r, answered := <-ch:
		if !answered {
			return reply{}, errHostGone
		}
		return r, nil
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.pending, number)
		s.mu.Unlock()
		effect := connector.ErrUnknown
		if s.orders.remove(func(o specifiedOrder) bool { return o.Number == number }) {
			effect = connector.ErrNotSent
		}
		return reply{}, errors.Mark(errors.Wrapf(ctx.Err(), "no answer through %s", s.offer.Name), effect)
	}
}

func (s *session) expect() (ch chan reply, number uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, 0, false
	}
	s.number++
	ch = make(chan reply, 1)
	s.pending[s.number] = ch
	return ch, s.number, true
}

// receive hands replies to those who wait; one that nobody waits for is dropped, since
// its call counts as unanswered already.
func (s *session) receive(replies []reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = time.Now()
	for _, r := range replies {
		if ch, ok := s.pending[r.Number]; ok {
			delete(s.pending, r.Number)
			ch <- r
		}
	}
}
