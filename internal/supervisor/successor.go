package supervisor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// successorPeers is the maximum number of hosts that are asked at a time whether they can take cells.
	successorPeers = 12
	// successorTimeout bounds these calls, and successorPause is the pause before they are repeated.
	successorTimeout = 250 * time.Millisecond
	successorPause   = 100 * time.Millisecond
	// promisePeriod is how long a host that has said that it can take cells stays in the group of holders
	// when it is stopped: by then the store has assigned the cells to it.
	promisePeriod = 1500 * time.Millisecond
)

// successorAnswer tells whether a host can take cells.
type successorAnswer struct {
	CanHold bool `json:"canHold"`
}

// succession is what a host knows of the hosts that take its cells when it stops, and of those whose cells it
// takes. It is safe for concurrent use.
type succession struct {
	mu sync.Mutex
	// stopping is set once this host is to stop, and promisedAt is when it last said that it can take cells.
	stopping   bool
	promisedAt time.Time
}

// answer returns whether this host can take cells, and remembers that it has said so. member is set if the host is
// in the group of holders.
func (c *succession) answer(member bool) successorAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	canHold := member && !c.stopping
	if canHold {
		c.promisedAt = time.Now()
	}
	return successorAnswer{CanHold: canHold}
}

func (c *succession) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// promised reports whether this host has just said that it can take cells.
func (c *succession) promised() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.promisedAt.IsZero() && time.Since(c.promisedAt) < promisePeriod
}

// AwaitSuccessor is called when this host is to stop. It returns once another host can take its cells, which may
// be at once, once it holds none, or when ctx ends. Until then the cells stay here: if all hosts stop, the last one
// that holds a cell is the only one that can answer for it.
func (s *Supervisor) AwaitSuccessor(ctx context.Context) {
	s.succession.stop()
	began := time.Now()
	kept := false
	for ctx.Err() == nil && (s.holdsCells() || s.succession.promised()) {
		if peer := s.findSuccessor(ctx); peer != "" {
			s.logger.Info("another host can take the cells", zap.String("peer", peer), zap.Duration("waitedMs", time.Since(began)))
			return
		}
		if !kept {
			kept = true
			s.logger.Info("no other host can take the cells, they are kept", zap.Bool("held", s.holdsCells()))
		}
		sleeper.Pause(ctx, successorPause)
	}
	if kept {
		s.logger.Info("cells are given back without a successor", zap.Duration("waitedMs", time.Since(began)))
	}
}

func (s *Supervisor) holdsCells() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.terms) > 0
}

// findSuccessor asks other hosts whether they can take cells, and returns the address of the first one that can,
// or "". A host of a release that does not know the question counts as one.
func (s *Supervisor) findSuccessor(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	peers := s.successorsToAsk()
	answers := make(chan string, len(peers))
	for _, peer := range peers {
		go func() {
			var a successorAnswer
			err := s.rpc.Call(ctx, peer, messenger.MethodSuccessor, struct{}{}, &a)
			var refusal *refuser.Refusal
			if !errors.As(err, &refusal) && (err != nil || !a.CanHold) {
				peer = ""
			}
			answers <- peer
		}()
	}
	for range peers {
		if peer := <-answers; peer != "" {
			return peer
		}
	}
	return ""
}

// successorsToAsk returns the addresses of some other hosts, those that hold a cell first.
func (s *Supervisor) successorsToAsk() []string {
	peers := s.locator.Holders()
	others := s.announcer.Addresses()
	rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	for _, address := range append(others, s.locator.Peers()...) {
		if address != s.settings.PeerAddress && !slices.Contains(peers, address) {
			peers = append(peers, address)
		}
	}
	return peers[:min(len(peers), successorPeers)]
}
