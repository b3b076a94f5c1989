// Package relayer reaches the store through other hosts while it does not answer
// this one: a store may turn some hosts away, or a link to it may be cut, while it
// serves the others.
package relayer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
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
	// hedgeAfter is how long the store may take to answer before another host is
	// asked beside it: many times the usual answer, and less than a third of the
	// lifetime of a membership.
	hedgeAfter = 350 * time.Millisecond
	// probePeriod is how often the store is tried again while calls go to other
	// hosts first.
	probePeriod = 500 * time.Millisecond
	// probeGroup is a group that nobody joins; asking for it costs little.
	probeGroup = "probe"
	// maxPeers bounds the hosts that are asked for one call.
	maxPeers = 2
	// peerTimeout bounds a call of another host beyond the time that it may wait
	// for records.
	peerTimeout = 400 * time.Millisecond
)

// Store is a store that is reached through other hosts when need be. It implements
// connector.Store; all calls of a scheduling host may be repeated, since appends
// are told apart by their writers or replace their keys.
type Store struct {
	own    connector.Store
	rpc    *messenger.Client
	source logger.Dependency
	// link is what this host's link carries, in bytes a second; zero is plenty.
	link int
	// paces are those of reads, pages those of the newest records.
	paces, pages paces

	mu    sync.Mutex
	peers func() []string
	// helper is the host through which the last call went.
	helper string
	// detour is set while other hosts are asked first; it is closed once the store
	// serves this host again. onDetour is closed when the next detour begins.
	detour   chan struct{}
	onDetour chan struct{}
	closed   chan struct{}
	// arrivedAt is when the last part of a large answer came from the store.
	arrivedAt time.Time
}

// Option changes a new store.
type Option func(*Store)

// WithLinkRate sets what this host's link carries, in bytes a second: large appends through
// other hosts get the time that they need.
func WithLinkRate(bytesPerSecond int) Option { return func(s *Store) { s.link = bytesPerSecond } }

// New returns a store that this host reaches by own; it has no peers yet.
func New(own connector.Store, l *zap.Logger, opts ...Option) *Store {
	s := &Store{
		own: own, rpc: messenger.NewClient(messenger.WithCloseOnTimeout()),
		source:   logger.Dependency{Name: "store, by this host itself", Logger: l},
		peers:    func() []string { return nil },
		onDetour: make(chan struct{}), closed: make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetPeers sets where the addresses of the other hosts come from.
func (s *Store) SetPeers(peers func() []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
}

// Close closes the connections to other hosts. It is called once.
func (s *Store) Close() {
	close(s.closed)
	s.rpc.Close()
}

// Direct returns the store as this host reaches it, for the calls of other hosts.
func (s *Store) Direct() connector.Store { return s.own }

// helps reports whether another host may do better after an error: the store did
// not judge the call.
func helps(err error) bool {
	return err != nil && !errors.IsAny(err, connector.ErrFenced, connector.ErrConflict, connector.ErrExpired, connector.ErrRefused)
}

// outcome is what came of a call.
type outcome[T any] struct {
	value T
	err   error
}

// relay makes a call here and, if that fails or takes long, through other hosts.
// Wait is how long the call may take beyond the usual: the store may wait for records, or
// the link carry many.
func relay[T any](ctx context.Context, s *Store, wait time.Duration, call func(context.Context, connector.Store) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	elsewhere := outcome[T]{err: errNoPeer}
	onDetour, began := s.way()
	if onDetour {
		if elsewhere = throughPeers(ctx, s, wait, call); !helps(elsewhere.err) {
			return elsewhere.value, elsewhere.err
		}
	}
	own, arrivals := make(chan outcome[T], 1), make(chan struct{}, 1)
	ownCtx := connector.WithProgress(ctx, func() {
		s.noteArrival()
		select {
		case arrivals <- struct{}{}:
		default:
		}
	})
	go func() {
		value, err := call(ownCtx, s.own)
		own <- outcome[T]{value, err}
	}()
	if onDetour {
		out := <-own
		s.judge(out.err)
		return better(out, elsewhere)
	}
	if out, ok := awaitOwn(own, arrivals, began, wait); ok {
		s.judge(out.err)
		if !helps(out.err) || ctx.Err() != nil {
			return out.value, out.err
		}
		return better(out, throughPeers(ctx, s, wait, call))
	}
	peer := make(chan outcome[T], 1)
	go func() { peer <- throughPeers(ctx, s, wait, call) }()
	return first(s, own, peer)
}

// awaitOwn waits for the outcome of a call that was made here; ok is false once others
// should be asked beside it, since the answer neither begins nor goes on, or since a detour
// has begun before anything arrived.
func awaitOwn[T any](own <-chan outcome[T], arrivals, began <-chan struct{}, wait time.Duration) (out outcome[T], ok bool) {
	hedge := time.NewTimer(wait + hedgeAfter)
	defer hedge.Stop()
	for {
		select {
		case out = <-own:
			return out, true
		case <-arrivals:
			hedge.Reset(hedgeAfter)
			began = nil
		case <-hedge.C:
			return out, false
		case <-began:
			return out, false
		}
	}
}

// first returns the outcome that comes first and is a success, or else what both say.
func first[T any](s *Store, own, peer chan outcome[T]) (T, error) {
	select {
	case out := <-own:
		s.judge(out.err)
		if out.err == nil {
			return out.value, nil
		}
		return better(out, <-peer)
	case out := <-peer:
		if out.err == nil {
			s.judge(errSilent)
			return out.value, nil
		}
		mine := <-own
		s.judge(mine.err)
		return better(mine, out)
	}
}

// errSilent stands for a store that answered another host sooner.
var errSilent = errors.Mark(errors.New("store has not answered in time"), connector.ErrUnknown)

// better returns the outcome in which the store has judged the call, if there is one.
// An error is of unknown effect if either is: what came of one try says nothing of
// the other.
func better[T any](own, elsewhere outcome[T]) (T, error) {
	best := own
	if helps(own.err) && !helps(elsewhere.err) {
		best = elsewhere
	}
	unknown := errors.Is(own.err, connector.ErrUnknown) || errors.Is(elsewhere.err, connector.ErrUnknown)
	return best.value, withEffect(best.err, unknown)
}

// withEffect marks an error as one of unknown effect if that is so.
func withEffect(err error, unknown bool) error {
	if err == nil || !unknown {
		return err
	}
	return errors.Mark(err, connector.ErrUnknown)
}

// errNoPeer marks a call for which no other host is known.
var errNoPeer = errors.Mark(errors.New("no other host is known"), connector.ErrNotSent)

// otherHost is a store that is reached through another host.
type otherHost struct{ *dialer.Store }

// throughPeers makes a call through other hosts, one after the other.
func throughPeers[T any](ctx context.Context, s *Store, wait time.Duration, call func(context.Context, connector.Store) (T, error)) outcome[T] {
	out := outcome[T]{err: errNoPeer}
	unknown := false
	for _, address := range s.choosePeers() {
		peerCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
		value, err := call(peerCtx, otherHost{dialer.NewStore(s.rpc, address)})
		cancel()
		out = outcome[T]{value, err}
		if ctx.Err() != nil {
			break
		}
		s.noteHelper(address, !helps(err))
		if !helps(err) {
			break
		}
		unknown = unknown || errors.Is(err, connector.ErrUnknown)
	}
	out.err = withEffect(out.err, unknown)
	return out
}

// choosePeers returns the hosts to ask, the one that helped last first.
func (s *Store) choosePeers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	if i := slices.Index(peers, s.helper); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	return peers[:min(len(peers), maxPeers)]
}

// noteHelper remembers whether a call went through another host.
func (s *Store) noteHelper(address string, helped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case helped:
		s.helper = address
	case s.helper == address:
		s.helper = ""
	}
}

// way reports whether other hosts are asked first; began is closed when the next
// detour begins.
func (s *Store) way() (onDetour bool, began <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detour != nil {
		return true, nil
	}
	return false, s.onDetour
}

// noteArrival notes that a part of a large answer has come from the store.
func (s *Store) noteArrival() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivedAt = time.Now()
}

// judge notes whether the store answers this host. Once it does not, other hosts
// are asked first until a probe succeeds. An answer that is missing while another one
// arrives waits behind it on the link.
func (s *Store) judge(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, connector.ErrUnknown) && time.Since(s.arrivedAt) < hedgeAfter {
		return
	}
	if !helps(err) {
		err = nil
	}
	s.source.Report(err)
	switch {
	case err != nil && s.detour == nil:
		s.detour = make(chan struct{})
		close(s.onDetour)
		go s.probe(s.detour)
	case err == nil && s.detour != nil:
		close(s.detour)
		s.detour, s.onDetour = nil, make(chan struct{})
	}
}

// probe tries the store from time to time until it answers.
func (s *Store) probe(over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-s.closed:
			return
		case <-time.After(probePeriod):
		}
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		_, err := s.own.Owners(ctx, probeGroup)
		cancel()
		s.judge(err)
	}
}

// Append implements connector.Store.
func (s *Store) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	return relay(ctx, s, s.transferTime(a), func(ctx context.Context, st connector.Store) (identifier.Offset, error) { return st.Append(ctx, a) })
}

// jsonOverhead is how much longer bytes are as JSON.
const jsonOverhead = 4. / 3

// transferTime returns how long the records of an append take to another host and on to
// the store, if that host's link is no faster than this one's.
func (s *Store) transferTime(a connector.KeyedAppend) time.Duration {
	if s.link <= 0 {
		return 0
	}
	return time.Duration((1 + jsonOverhead) * float64(connector.RecordBytes(a.Records...)) / float64(s.link) * float64(time.Second))
}

// Newest implements connector.Store.
func (s *Store) Newest(ctx context.Context, topic connector.Topic, part connector.Partition, after string) (connector.KeyedPage, error) {
	return relay(ctx, s, 0, func(ctx context.Context, st connector.Store) (connector.KeyedPage, error) {
		other, ok := st.(otherHost)
		if !ok {
			return st.Newest(ctx, topic, part, after)
		}
		most := s.pages.most(topic)
		page, err := other.NewestUpTo(ctx, topic, part, after, most)
		s.pages.note(topic, most, page.More, err)
		return page, err
	})
}

// Read implements connector.Store.
func (s *Store) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration) (connector.ReadResult, error) {
	return relay(ctx, s, wait, func(ctx context.Context, st connector.Store) (connector.ReadResult, error) {
		other, ok := st.(otherHost)
		if !ok {
			return st.Read(ctx, topic, part, from, wait)
		}
		most := s.paces.most(topic)
		r, err := other.ReadUpTo(ctx, topic, part, from, wait, most)
		s.paces.note(topic, most, r.More, err)
		return r, err
	})
}

// Join implements connector.Store.
func (s *Store) Join(ctx context.Context, group string, topic connector.Topic, member string, generation uint64, ttl time.Duration) (connector.Membership, error) {
	return relay(ctx, s, 0, func(ctx context.Context, st connector.Store) (connector.Membership, error) {
		return st.Join(ctx, group, topic, member, generation, ttl)
	})
}

// Leave implements connector.Store.
func (s *Store) Leave(ctx context.Context, group, member string) error {
	_, err := relay(ctx, s, 0, func(ctx context.Context, st connector.Store) (struct{}, error) {
		return struct{}{}, st.Leave(ctx, group, member)
	})
	return err
}

// Owners implements connector.Store.
func (s *Store) Owners(ctx context.Context, group string) ([]connector.Ownership, error) {
	return relay(ctx, s, 0, func(ctx context.Context, st connector.Store) ([]connector.Ownership, error) {
		return st.Owners(ctx, group)
	})
}
