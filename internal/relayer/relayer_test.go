package relayer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/relayer"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// servePeer starts a peer that reaches the store under the given client name. It returns the
// address of the peer.
func servePeer(t *testing.T, store *simulator.Store, name string) string {
	t.Helper()
	return serveStore(t, store.Client(name))
}

// serveStore serves a store over JSON-RPC until the test ends and returns the address.
func serveStore(t *testing.T, store connector.Store) string {
	t.Helper()
	rpc, err := messenger.Listen("127.0.0.1:0", func(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
		out, _, err := relayer.Serve(ctx, store, method, params)
		return out, err
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rpc.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return rpc.Address()
}

// callTimeout bounds one append of appendRecord.
const callTimeout = time.Second

// appendRecord appends a record as a writer of the given epoch and returns the error.
func appendRecord(t *testing.T, s connector.Store, epoch identifier.Epoch) error {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	_, err := s.Append(ctx, connector.KeyedAppend{
		Topic: "work", Writer: &connector.WriterID{Name: "holder", Epoch: epoch},
		Records: []connector.KeyedRecord{{Key: "k", Value: []byte("v")}},
	})
	return err
}

// TestCallsGoThroughOtherHosts checks that an append succeeds through a peer while the store does
// not serve this host, and which error it returns if no peer is served either.
func TestCallsGoThroughOtherHosts(t *testing.T) {
	type names = map[string]bool
	tests := map[string]struct {
		faults simulator.StoreFaults
		epoch  identifier.Epoch
		want   error
		within time.Duration
	}{
		"store works":              {simulator.StoreFaults{}, 2, nil, 100 * time.Millisecond},
		"host rejected":            {simulator.StoreFaults{Refused: names{"self": true}}, 2, nil, 200 * time.Millisecond},
		"host times out":           {simulator.StoreFaults{Silent: names{"self": true}}, 2, nil, 700 * time.Millisecond},
		"one peer rejected too":    {simulator.StoreFaults{Refused: names{"self": true, "p1": true}}, 2, nil, 200 * time.Millisecond},
		"fenced through a peer":    {simulator.StoreFaults{Refused: names{"self": true}}, 0, connector.ErrFenced, 200 * time.Millisecond},
		"all rejected":             {simulator.StoreFaults{Refused: names{"self": true, "p1": true, "p2": true}}, 2, connector.ErrBusy, 200 * time.Millisecond},
		"rejected, peers time out": {simulator.StoreFaults{Refused: names{"self": true}, Silent: names{"p1": true, "p2": true}}, 2, connector.ErrUnknown, callTimeout + 200*time.Millisecond},
		"all time out":             {simulator.StoreFaults{Down: true}, 2, connector.ErrUnknown, callTimeout + 200*time.Millisecond},
		"answer to a peer is lost": {simulator.StoreFaults{Refused: names{"self": true}, LoseAnswers: 1}, 2, nil, 300 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := simulator.NewStore(1, 1)
			if err := appendRecord(t, store.Client("before"), 1); err != nil {
				t.Fatal(err)
			}
			addresses := []string{servePeer(t, store, "p1"), servePeer(t, store, "p2")}
			store.SetFaults(tt.faults)
			s := relayer.New(store.Client("self"), zap.NewNop())
			defer s.Close()
			s.SetPeers(func() []string { return append([]string(nil), addresses...) })
			start := time.Now()
			err := appendRecord(t, s, tt.epoch)
			if !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			if took := time.Since(start); took > tt.within {
				t.Errorf("took %v, want at most %v", took, tt.within)
			}
		})
	}
}

// scriptedStore is a store whose appends return the given results in turn.
type scriptedStore struct {
	connector.Store
	results chan error
}

func (s scriptedStore) Append(context.Context, connector.KeyedAppend) (identifier.Offset, error) {
	return 0, <-s.results
}

// Owners answers probes as a store that keeps rejecting the host.
func (s scriptedStore) Owners(context.Context, string) ([]connector.Ownership, error) {
	return nil, errors.Mark(errors.New("turned away"), connector.ErrBusy)
}

// TestUnknownEffectOfAnyAttemptIsKept checks that a call is reported as of unknown effect if the
// answer to any attempt, direct or through a peer, was lost, whatever the order of the attempts.
// Reporting the error of the last attempt alone would let a caller take the call for not executed.
func TestUnknownEffectOfAnyAttemptIsKept(t *testing.T) {
	lost := errors.Mark(errors.New("no answer"), connector.ErrUnknown)
	busy := errors.Mark(errors.New("turned away"), connector.ErrBusy)
	tests := map[string]struct {
		// before is the result of an earlier direct call; after a failure, peers are tried first.
		before       error
		direct, peer error
		directDelay  time.Duration
		wantUnknown  bool
	}{
		"rejected directly and by peer":                {nil, busy, busy, 0, false},
		"lost directly, then rejected by peer":         {nil, lost, busy, 0, true},
		"rejected directly, then lost by peer":         {nil, busy, lost, 0, true},
		"peers first: lost, rejected directly":         {busy, busy, lost, 0, true},
		"peers first: rejected, lost directly":         {busy, lost, busy, 0, true},
		"peers first: rejected twice":                  {busy, busy, busy, 0, false},
		"peers first: lost, rejected directly late":    {busy, busy, lost, 500 * time.Millisecond, true},
		"hedged: lost by peer, then rejected directly": {nil, busy, lost, 500 * time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			direct, peer := scriptedStore{results: make(chan error, 10)}, scriptedStore{results: make(chan error, 10)}
			s := relayer.New(direct, zap.NewNop())
			defer s.Close()
			address := serveStore(t, peer)
			s.SetPeers(func() []string { return []string{address} })
			if tt.before != nil {
				direct.results <- tt.before
				peer.results <- nil
				if err := appendRecord(t, s, 1); err != nil {
					t.Fatal(err)
				}
			}
			time.AfterFunc(tt.directDelay, func() { direct.results <- tt.direct })
			peer.results <- tt.peer
			peer.results <- busy
			err := appendRecord(t, s, 2)
			if err == nil || errors.Is(err, connector.ErrUnknown) != tt.wantUnknown {
				t.Errorf("error %v, want unknown effect: %v", err, tt.wantUnknown)
			}
		})
	}
}

// TestDirectCallsResumeAfterRecovery checks that a host calls the store directly again, and no
// peers, once the store serves it again.
func TestDirectCallsResumeAfterRecovery(t *testing.T) {
	store := simulator.NewStore(1, 1)
	store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"self": true}})
	address := servePeer(t, store, "p1")
	s := relayer.New(store.Client("self"), zap.NewNop())
	defer s.Close()
	peerLookups := 0
	s.SetPeers(func() []string { peerLookups++; return []string{address} })
	if err := appendRecord(t, s, 1); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(simulator.StoreFaults{})
	time.Sleep(1100 * time.Millisecond)
	before := peerLookups
	if err := appendRecord(t, s, 2); err != nil || peerLookups != before {
		t.Errorf("error %v, peers asked %d times more", err, peerLookups-before)
	}
}

// throttledStore delays appends as a link of bytesPerSecond does.
type throttledStore struct {
	connector.Store
	bytesPerSecond int
}

// Append implements connector.Store.
func (s throttledStore) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	size := 0
	for _, r := range a.Records {
		size += len(r.Value)
	}
	select {
	case <-time.After(time.Duration(size) * time.Second / time.Duration(s.bytesPerSecond)):
		return s.Store.Append(ctx, a)
	case <-ctx.Done():
		return 0, errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
}

// TestLargeAppendThroughSlowPeerSucceeds checks that the timeout of an append through a peer allows
// for its transfer over slow links. With peerTimeout alone, a large append never succeeds there.
func TestLargeAppendThroughSlowPeerSucceeds(t *testing.T) {
	const linkRate, size = 50_000, 15_000
	store := simulator.NewStore(1, 1)
	store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"self": true}})
	// The append crosses two links, to the peer and from there to the store, hence half the rate.
	address := serveStore(t, throttledStore{store.Client("p1"), linkRate / 2})
	s := relayer.New(store.Client("self"), zap.NewNop(), relayer.WithLinkRate(linkRate))
	defer s.Close()
	s.SetPeers(func() []string { return []string{address} })
	// A cell's holder allows one append the same time.
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	_, err := s.Append(ctx, connector.KeyedAppend{Topic: "work", Records: []connector.KeyedRecord{{Key: "k", Value: make([]byte, size)}}})
	if err != nil {
		t.Error(err)
	}
}

// throttledProxy forwards connections to address and throttles the bytes that come back. It returns
// the address of the proxy.
func throttledProxy(t *testing.T, address string, bytesPerSecond int) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				_ = client.Close()
				return
			}
			go func() { _, _ = io.Copy(server, client); _ = server.Close() }()
			go func() { throttle(client, server, bytesPerSecond); _ = client.Close() }()
		}
	}()
	return ln.Addr().String()
}

// throttle copies bytesPerSecond until reading or writing fails.
func throttle(to io.Writer, from io.Reader, bytesPerSecond int) {
	chunk := make([]byte, 1<<10)
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// TestReadsThroughPeersAdaptToLinkRate checks that a host which the store rejects reads a topic
// through peers over a slow link. Reads of a fixed size that the link does not carry before the
// timeout would fail again and again.
func TestReadsThroughPeersAdaptToLinkRate(t *testing.T) {
	random := rand.NewChaCha8([32]byte{})
	jsonText := func(size int) (out []byte) {
		for len(out) < size {
			out = fmt.Appendf(out, `{"name":"%x","service":"rakes","stretch":2,"sloMs":1000},`, random.Uint64())
		}
		return out
	}
	randomBytes := func(size int) []byte {
		out := make([]byte, size)
		_, _ = random.Read(out)
		return out
	}
	tests := map[string]struct {
		records, size int
		value         func(size int) []byte
	}{
		"small incompressible records": {200, 1 << 10, randomBytes},
		"small records":                {400, 1 << 10, jsonText},
		"one large record":             {1, 100 << 10, jsonText},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const linkRate, within = 90_000, 12 * time.Second
			store := simulator.NewStore(1, 1)
			for i := range tt.records {
				_, err := store.Client("worker").Append(t.Context(), connector.KeyedAppend{
					Topic: "servers", Records: []connector.KeyedRecord{{Key: fmt.Sprint(i), Value: tt.value(tt.size)}},
				})
				if err != nil {
					t.Fatal(err)
				}
			}
			store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"self": true}})
			addresses := []string{
				throttledProxy(t, servePeer(t, store, "p1"), linkRate), throttledProxy(t, servePeer(t, store, "p2"), linkRate),
			}
			s := relayer.New(store.Client("self"), zap.NewNop())
			defer s.Close()
			s.SetPeers(func() []string { return append([]string(nil), addresses...) })
			next, more := identifier.Offset(0), true
			for end := time.Now().Add(within); more; {
				if time.Now().After(end) {
					t.Fatalf("%d of %d records read within %v", next, tt.records, within)
				}
				r, err := s.Read(t.Context(), "servers", 0, next, 0)
				if err == nil {
					next, more = r.Next, r.More
				}
			}
		})
	}
}

// TestNewestThroughPeersAdaptsToLinkRate guards against a host that the store rejects and that can
// never read the state of a cell or the list of workers, because the link does not carry a whole
// page before the timeout.
func TestNewestThroughPeersAdaptsToLinkRate(t *testing.T) {
	const linkRate, records, within = 250_000, 400, 12 * time.Second
	store := simulator.NewStore(1, 1)
	for i := range records {
		_, err := store.Client("worker").Append(t.Context(), connector.KeyedAppend{
			Topic: "servers", Records: []connector.KeyedRecord{{Key: fmt.Sprintf("%03d", i), Value: make([]byte, 1<<10)}},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"self": true}})
	addresses := []string{
		throttledProxy(t, servePeer(t, store, "p1"), linkRate), throttledProxy(t, servePeer(t, store, "p2"), linkRate),
	}
	s := relayer.New(store.Client("self"), zap.NewNop())
	defer s.Close()
	s.SetPeers(func() []string { return append([]string(nil), addresses...) })
	for end := time.Now().Add(within); ; {
		all, _, err := connector.NewestAll(t.Context(), s, "servers", 0)
		if err == nil {
			if len(all) != records {
				t.Errorf("%d of %d records", len(all), records)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not read within %v: %v", within, err)
		}
	}
}

// slowReadStore is a store whose answer to a read arrives in parts, with a pause before each.
type slowReadStore struct {
	connector.Store
	parts int
	pause time.Duration
}

// Read implements connector.Store.
func (s slowReadStore) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration) (connector.ReadResult, error) {
	for range s.parts {
		time.Sleep(s.pause)
		connector.ReportProgress(ctx)
	}
	return s.Store.Read(ctx, topic, part, from, wait)
}

// TestAnswerInProgressIsNotHedged checks that a read is not repeated through a peer, over the same
// link, while parts of the direct answer keep arriving.
func TestAnswerInProgressIsNotHedged(t *testing.T) {
	store := simulator.NewStore(1, 1)
	if err := appendRecord(t, store.Client("before"), 1); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		parts  int
		pause  time.Duration
		hedged bool
	}{
		"answer in progress": {12, 100 * time.Millisecond, false},
		"no answer yet":      {1, 800 * time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := servePeer(t, store, "p1")
			s := relayer.New(slowReadStore{store.Client("self"), tt.parts, tt.pause}, zap.NewNop())
			defer s.Close()
			var hedged atomic.Bool
			s.SetPeers(func() []string { hedged.Store(true); return []string{address} })
			if _, err := s.Read(t.Context(), "work", 0, 0, 0); err != nil || hedged.Load() != tt.hedged {
				t.Errorf("error %v, peers called: %v", err, hedged.Load())
			}
		})
	}
}

// busyLinkStore is a store whose link is busy with the answer to a read: calls of Owners made
// meanwhile time out.
type busyLinkStore struct {
	slowReadStore
	reading atomic.Bool
}

// Read implements connector.Store.
func (b *busyLinkStore) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration) (connector.ReadResult, error) {
	b.reading.Store(true)
	defer b.reading.Store(false)
	return b.slowReadStore.Read(ctx, topic, part, from, wait)
}

// Owners implements connector.Store.
func (b *busyLinkStore) Owners(ctx context.Context, group string) ([]connector.Ownership, error) {
	if b.reading.Load() {
		<-ctx.Done()
		return nil, errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
	return b.Store.Owners(ctx, group)
}

// TestTimeoutBehindLargeAnswerKeepsDirectCalls checks that a call that times out while a large
// answer arrives does not make the following calls go to peers first, and that one that times out
// after the answer has stalled does.
func TestTimeoutBehindLargeAnswerKeepsDirectCalls(t *testing.T) {
	tests := map[string]struct {
		pause      time.Duration
		peersFirst bool
	}{
		"answer in progress": {100 * time.Millisecond, false},
		"answer stalled":     {2 * time.Second, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := simulator.NewStore(1, 1)
			if err := appendRecord(t, store.Client("before"), 1); err != nil {
				t.Fatal(err)
			}
			direct := &busyLinkStore{slowReadStore: slowReadStore{store.Client("self"), int(3 * time.Second / tt.pause), tt.pause}}
			s := relayer.New(direct, zap.NewNop())
			defer s.Close()
			go func() { _, _ = s.Read(t.Context(), "work", 0, 0, 5*time.Second) }()
			time.Sleep(300 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			if _, err := s.Owners(ctx, "holders"); err == nil {
				t.Fatal("the call succeeded, want a timeout")
			}
			var peersAsked atomic.Bool
			s.SetPeers(func() []string { peersAsked.Store(true); return nil })
			if err := appendRecord(t, s, 2); err != nil || peersAsked.Load() != tt.peersFirst {
				t.Errorf("error %v, peers called: %v, want %v", err, peersAsked.Load(), tt.peersFirst)
			}
		})
	}
}
