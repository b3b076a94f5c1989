// Package relayer calls the store directly and falls back to calling it through other hosts
// (peers). A store may reject some hosts, or a host may lose its link to it, while other hosts are
// still served.
package relayer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// hedgeDelay is how long a direct call may go unanswered before the same call is also made
	// through a peer: many times the usual response time, and less than a third of the TTL of a
	// group membership.
	hedgeDelay = 350 * time.Millisecond
	// maxAppendAllowance bounds what is added to hedgeDelay for an append while the store is slow.
	maxAppendAllowance = 1600 * time.Millisecond
	// probeInterval is how often the store is probed directly while calls go to peers first.
	probeInterval = 500 * time.Millisecond
	// probeGroup is a group without members; listing its owners is a cheap probe.
	probeGroup = "probe"
	// maxPeers bounds the number of peers tried for one call.
	maxPeers = 2
	// peerTimeout bounds a call through a peer, and a probe, not counting the time for which the
	// store may wait for records or a large append is in transit.
	peerTimeout = 400 * time.Millisecond
)

// Store calls the platform's store, through peers if need be. It implements connector.Store. The
// same call may reach the store more than once: all calls of a scheduling host may be repeated,
// since appends are identified by their writer or overwrite the records of the same keys.
type Store struct {
	direct     connector.Store
	rpc        *messenger.Client
	dependency logger.Dependency
	// linkRate is the capacity of this host's link in bytes per second; zero means unlimited.
	linkRate int
	// readSizes and pageSizes limit what Read and Newest request through a peer.
	readSizes, pageSizes readSizes
	// appendDelay is how long, in nanoseconds, the store is expected to take for an append.
	appendDelay atomic.Int64

	mu    sync.Mutex
	peers func() []string
	// preferredPeer is the address of the peer that answered last, or empty.
	preferredPeer string
	// recovered is non-nil while calls go to peers first; it is closed once the store answers this
	// host again. degraded is closed when the next such period begins.
	recovered chan struct{}
	degraded  chan struct{}
	closed    chan struct{}
	// lastProgressAt is when the last part of a large answer arrived directly from the store.
	lastProgressAt time.Time
}

// Option configures a Store.
type Option func(*Store)

// WithLinkRate sets the capacity of this host's link in bytes per second, from which the timeout of
// large appends is extended by the time that their transfer takes.
func WithLinkRate(bytesPerSecond int) Option { return func(s *Store) { s.linkRate = bytesPerSecond } }

// New returns a Store that calls direct and has no peers yet; SetPeers sets them.
func New(direct connector.Store, l *zap.Logger, opts ...Option) *Store {
	s := &Store{
		direct: direct, rpc: messenger.NewClient(messenger.WithCloseOnTimeout()),
		dependency: logger.Dependency{Name: "store, by this host itself", Logger: l},
		peers:      func() []string { return nil },
		degraded:   make(chan struct{}), closed: make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetPeers sets the function that returns the addresses of the other hosts. The slice it returns is
// reordered, so each call must return a new one.
func (s *Store) SetPeers(peers func() []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
}

// Close stops probing and closes the connections to peers. It must be called only once.
func (s *Store) Close() {
	close(s.closed)
	s.rpc.Close()
}

// Direct returns the store without the fallback to peers. Calls made for other hosts use it, so
// that they are not relayed again.
func (s *Store) Direct() connector.Store { return s.direct }

// peerMayHelp reports whether a call that failed with err may succeed through a peer. It may not
// if the store itself decided the call, as by a failed condition.
func peerMayHelp(err error) bool {
	return err != nil && !errors.IsAny(err, connector.ErrFenced, connector.ErrConflict, connector.ErrExpired, connector.ErrRefused)
}

// outcome is the result of a call.
type outcome[T any] struct {
	value T
	err   error
}

// hedgedCall makes a call directly and, if that fails or takes longer than hedgeDelay, through
// peers as well; while the store does not answer this host, it is the other way round. Wait extends the
// timeouts by the time for which the store may wait for records or the link is busy with a large
// append.
func hedgedCall[T any](ctx context.Context, s *Store, wait time.Duration, call func(context.Context, connector.Store) (T, error)) (T, error) {
	return hedgedCallAfter(ctx, s, func() time.Duration { return wait }, call)
}

// hedgedCallAfter is hedgedCall with a wait that may grow during the call.
func hedgedCallAfter[T any](ctx context.Context, s *Store, wait func() time.Duration, call func(context.Context, connector.Store) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	viaPeer := make(chan outcome[T], 1)
	peersFirst, degraded := s.route()
	if peersFirst {
		go func() { viaPeer <- callPeers(ctx, s, wait(), call) }()
		if out, ok := awaitPeers(viaPeer, wait()); ok {
			if !peerMayHelp(out.err) {
				return out.value, out.err
			}
			viaPeer <- out
		}
	}
	direct, progress := make(chan outcome[T], 1), make(chan struct{}, 1)
	directCtx := connector.WithProgress(ctx, func() {
		s.recordProgress()
		select {
		case progress <- struct{}{}:
		default:
		}
	})
	go func() {
		value, err := call(directCtx, s.direct)
		direct <- outcome[T]{value, err}
	}()
	if peersFirst {
		return firstSuccess(s, direct, viaPeer)
	}
	if out, ok := awaitDirect(direct, progress, degraded, wait); ok {
		s.recordDirectResult(out.err)
		if !peerMayHelp(out.err) || ctx.Err() != nil {
			return out.value, out.err
		}
		return mergeOutcomes(out, callPeers(ctx, s, wait(), call))
	}
	go func() { viaPeer <- callPeers(ctx, s, wait(), call) }()
	return firstSuccess(s, direct, viaPeer)
}

// awaitPeers waits for the outcome of a call through peers. Ok is false if the store should be called
// directly as well: the peers may be suspended or gone while the store answers this host again.
func awaitPeers[T any](viaPeer <-chan outcome[T], wait time.Duration) (out outcome[T], ok bool) {
	hedge := time.NewTimer(wait + hedgeDelay)
	defer hedge.Stop()
	select {
	case out = <-viaPeer:
		return out, true
	case <-hedge.C:
		return out, false
	}
}

// awaitDirect waits for the outcome of a direct call. Ok is false if peers should be called as
// well: nothing has arrived for hedgeDelay, or the store was found not to answer this host
// (degraded was closed) before any part of the answer arrived.
func awaitDirect[T any](direct <-chan outcome[T], progress, degraded <-chan struct{}, wait func() time.Duration) (out outcome[T], ok bool) {
	began := time.Now()
	hedge := time.NewTimer(wait() + hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case out = <-direct:
			return out, true
		case <-progress:
			hedge.Reset(hedgeDelay)
			degraded, began = nil, time.Time{}
		case <-hedge.C:
			more := wait() + hedgeDelay - time.Since(began)
			if more <= 0 {
				return out, false
			}
			hedge.Reset(more)
		case <-degraded:
			return out, false
		}
	}
}

// firstSuccess returns the value of whichever call succeeds first. If both fail, it returns the
// merged outcome.
func firstSuccess[T any](s *Store, direct, viaPeer chan outcome[T]) (T, error) {
	select {
	case out := <-direct:
		s.recordDirectResult(out.err)
		if out.err == nil {
			return out.value, nil
		}
		return mergeOutcomes(out, <-viaPeer)
	case out := <-viaPeer:
		if out.err == nil {
			s.recordDirectResult(errSlowerThanPeer)
			return out.value, nil
		}
		directOut := <-direct
		s.recordDirectResult(directOut.err)
		return mergeOutcomes(directOut, out)
	}
}

// errSlowerThanPeer is recorded for a direct call that a call through a peer overtook.
var errSlowerThanPeer = errors.Mark(errors.New("store has not answered in time"), connector.ErrUnknown)

// mergeOutcomes returns the outcome that the store itself decided, if there is one. An error is
// marked as of unknown effect if either is: the failure of one attempt does not show that the
// other had no effect.
func mergeOutcomes[T any](direct, viaPeers outcome[T]) (T, error) {
	best := direct
	if peerMayHelp(direct.err) && !peerMayHelp(viaPeers.err) {
		best = viaPeers
	}
	unknown := errors.Is(direct.err, connector.ErrUnknown) || errors.Is(viaPeers.err, connector.ErrUnknown)
	return best.value, connector.MarkUnknown(best.err, unknown)
}

// errNoPeer is the outcome of a call through peers if there are none.
var errNoPeer = errors.Mark(errors.New("no other host is known"), connector.ErrNotSent)

// peerStore is the store as called through a peer.
type peerStore struct{ *dialer.Store }

// callPeers makes a call through up to maxPeers peers, one after the other, until the store has
// decided it.
func callPeers[T any](ctx context.Context, s *Store, wait time.Duration, call func(context.Context, connector.Store) (T, error)) outcome[T] {
	out := outcome[T]{err: errNoPeer}
	unknown := false
	for _, address := range s.choosePeers() {
		peerCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
		value, err := call(peerCtx, peerStore{dialer.NewStore(s.rpc, address)})
		cancel()
		out = outcome[T]{value, err}
		if ctx.Err() != nil {
			break
		}
		s.recordPeerResult(address, !peerMayHelp(err))
		if !peerMayHelp(err) {
			break
		}
		unknown = unknown || errors.Is(err, connector.ErrUnknown)
	}
	out.err = connector.MarkUnknown(out.err, unknown)
	return out
}

// choosePeers returns the addresses of up to maxPeers peers in random order, but with the peer that
// answered last in front.
func (s *Store) choosePeers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	if i := slices.Index(peers, s.preferredPeer); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	return peers[:min(len(peers), maxPeers)]
}

// recordPeerResult makes a peer the preferred one if it answered, and no longer if it did not.
func (s *Store) recordPeerResult(address string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case answered:
		s.preferredPeer = address
	case s.preferredPeer == address:
		s.preferredPeer = ""
	}
}

// route reports whether calls go to peers first. If they do not, degraded is closed as soon as they
// start to.
func (s *Store) route() (peersFirst bool, degraded <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recovered != nil {
		return true, nil
	}
	return false, s.degraded
}

// recordProgress records that a part of a large answer has arrived directly from the store.
func (s *Store) recordProgress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastProgressAt = time.Now()
}

// recordDirectResult records whether the store answers this host. After a failure, calls go to
// peers first until a probe or another direct call is answered. A timeout while parts of another
// answer keep arriving is ignored: the missing answer is queued behind that one on the link.
func (s *Store) recordDirectResult(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, connector.ErrUnknown) && time.Since(s.lastProgressAt) < hedgeDelay {
		return
	}
	if !peerMayHelp(err) {
		err = nil
	}
	s.dependency.Report(err)
	switch {
	case err != nil && s.recovered == nil:
		s.recovered = make(chan struct{})
		close(s.degraded)
		go s.probe(s.recovered)
	case err == nil && s.recovered != nil:
		close(s.recovered)
		s.recovered, s.degraded = nil, make(chan struct{})
	}
}

// probe calls the store directly every probeInterval until recovered or the Store is closed.
func (s *Store) probe(recovered <-chan struct{}) {
	for {
		select {
		case <-recovered:
			return
		case <-s.closed:
			return
		case <-time.After(probeInterval):
		}
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		_, err := s.direct.Owners(ctx, probeGroup)
		cancel()
		s.recordDirectResult(err)
	}
}

// Append implements connector.Store.
func (s *Store) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	transfer := s.transferTime(a)
	return hedgedCallAfter(ctx, s, func() time.Duration { return transfer + s.appendAllowance() }, func(ctx context.Context, st connector.Store) (identifier.Offset, error) {
		began := time.Now()
		end, err := st.Append(ctx, a)
		if st == s.direct && err == nil {
			s.ExpectAppendDelay(time.Since(began))
		}
		return end, err
	})
}

// ExpectAppendDelay sets how long the store is expected to take for an append.
func (s *Store) ExpectAppendDelay(d time.Duration) { s.appendDelay.Store(int64(d)) }

// appendAllowance returns how much longer than hedgeDelay an append may take: a slow store takes the
// appends to a partition one after the other, so that a second one through a peer would delay both.
func (s *Store) appendAllowance() time.Duration {
	return min(max(2*time.Duration(s.appendDelay.Load())-hedgeDelay, 0), maxAppendAllowance)
}

// base64Overhead is the factor by which base64 lengthens byte slices in JSON.
const base64Overhead = 4. / 3

// transferTime returns how long the records of an append take to reach a peer, as JSON, and then
// the store, assuming that the peer's link is as fast as this host's.
func (s *Store) transferTime(a connector.KeyedAppend) time.Duration {
	if s.linkRate <= 0 {
		return 0
	}
	return time.Duration((1 + base64Overhead) * float64(connector.RecordBytes(a.Records...)) / float64(s.linkRate) * float64(time.Second))
}

// Newest implements connector.Store.
func (s *Store) Newest(ctx context.Context, topic connector.Topic, part connector.Partition, after string) (connector.KeyedPage, error) {
	return hedgedCall(ctx, s, 0, func(ctx context.Context, st connector.Store) (connector.KeyedPage, error) {
		peer, ok := st.(peerStore)
		if !ok {
			return st.Newest(ctx, topic, part, after)
		}
		limit := s.pageSizes.limit(topic)
		page, err := peer.NewestUpTo(ctx, topic, part, after, limit)
		s.pageSizes.update(topic, limit, page.More, err)
		return page, err
	})
}

// Read implements connector.Store.
func (s *Store) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration) (connector.ReadResult, error) {
	return hedgedCall(ctx, s, wait, func(ctx context.Context, st connector.Store) (connector.ReadResult, error) {
		peer, ok := st.(peerStore)
		if !ok {
			return st.Read(ctx, topic, part, from, wait)
		}
		limit := s.readSizes.limit(topic)
		r, err := peer.ReadUpTo(ctx, topic, part, from, wait, limit)
		s.readSizes.update(topic, limit, r.More, err)
		r.Via = peer.Address()
		return r, err
	})
}

// Join implements connector.Store.
func (s *Store) Join(ctx context.Context, group string, topic connector.Topic, member string, generation uint64, ttl time.Duration) (connector.Membership, error) {
	return hedgedCall(ctx, s, 0, func(ctx context.Context, st connector.Store) (connector.Membership, error) {
		return st.Join(ctx, group, topic, member, generation, ttl)
	})
}

// Leave implements connector.Store.
func (s *Store) Leave(ctx context.Context, group, member string) error {
	_, err := hedgedCall(ctx, s, 0, func(ctx context.Context, st connector.Store) (struct{}, error) {
		return struct{}{}, st.Leave(ctx, group, member)
	})
	return err
}

// Owners implements connector.Store.
func (s *Store) Owners(ctx context.Context, group string) ([]connector.Ownership, error) {
	return hedgedCall(ctx, s, 0, func(ctx context.Context, st connector.Store) ([]connector.Ownership, error) {
		return st.Owners(ctx, group)
	})
}
