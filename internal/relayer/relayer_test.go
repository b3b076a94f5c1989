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

// peer serves the store as a client of a name reaches it, and returns its address.
func peer(t *testing.T, store *simulator.Store, name string) string {
	t.Helper()
	return serve(t, store.Client(name))
}

// serve serves a store to other hosts and returns its address.
func serve(t *testing.T, store connector.Store) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	rpc, err := messenger.Listen(address, func(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
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
	return address
}

// callTime is how long a caller waits.
const callTime = time.Second

func write(t *testing.T, s connector.Store, epoch identifier.Epoch) error {
	ctx, cancel := context.WithTimeout(t.Context(), callTime)
	defer cancel()
	_, err := s.Append(ctx, connector.KeyedAppend{
		Topic: "work", Writer: &connector.WriterID{Name: "holder", Epoch: epoch},
		Records: []connector.KeyedRecord{{Key: "k", Value: []byte("v")}},
	})
	return err
}

// TestCallsGoThroughOtherHosts checks what a host can still do while the store does
// not serve it, and what it is told if nobody can help.
func TestCallsGoThroughOtherHosts(t *testing.T) {
	type names = map[string]bool
	tests := map[string]struct {
		faults simulator.StoreFaults
		epoch  identifier.Epoch
		want   error
		within time.Duration
	}{
		"store works":              {simulator.StoreFaults{}, 2, nil, 100 * time.Millisecond},
		"host is turned away":      {simulator.StoreFaults{Refused: names{"self": true}}, 2, nil, 200 * time.Millisecond},
		"host gets no answer":      {simulator.StoreFaults{Silent: names{"self": true}}, 2, nil, 700 * time.Millisecond},
		"one peer turned away too": {simulator.StoreFaults{Refused: names{"self": true, "p1": true}}, 2, nil, 200 * time.Millisecond},
		"fenced through a peer":    {simulator.StoreFaults{Refused: names{"self": true}}, 0, connector.ErrFenced, 200 * time.Millisecond},
		"all turned away":          {simulator.StoreFaults{Refused: names{"self": true, "p1": true, "p2": true}}, 2, connector.ErrBusy, 200 * time.Millisecond},
		"away here, peers silent":  {simulator.StoreFaults{Refused: names{"self": true}, Silent: names{"p1": true, "p2": true}}, 2, connector.ErrUnknown, callTime + 200*time.Millisecond},
		"nobody gets an answer":    {simulator.StoreFaults{Down: true}, 2, connector.ErrUnknown, callTime + 200*time.Millisecond},
		"answer to a peer is lost": {simulator.StoreFaults{Refused: names{"self": true}, LoseAnswers: 1}, 2, nil, 300 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := simulator.NewStore(1, 1)
			if err := write(t, store.Client("before"), 1); err != nil {
				t.Fatal(err)
			}
			addresses := []string{peer(t, store, "p1"), peer(t, store, "p2")}
			store.SetFaults(tt.faults)
			s := relayer.New(store.Client("self"), zap.NewNop())
			defer s.Close()
			s.SetPeers(func() []string { return append([]string(nil), addresses...) })
			began := time.Now()
			err := write(t, s, tt.epoch)
			if !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			if took := time.Since(began); took > tt.within {
				t.Errorf("took %v, want at most %v", took, tt.within)
			}
		})
	}
}

// scripted is a store whose appends end as told, one after the other.
type scripted struct {
	connector.Store
	outcomes chan error
}

func (s scripted) Append(context.Context, connector.KeyedAppend) (identifier.Offset, error) {
	return 0, <-s.outcomes
}

// Owners answers probes: the store goes on turning the host away.
func (s scripted) Owners(context.Context, string) ([]connector.Ownership, error) {
	return nil, errors.Mark(errors.New("turned away"), connector.ErrBusy)
}

// TestEffectIsUnknownIfAnyTryWas checks that no order of refusals and lost answers,
// here and at other hosts, makes a call look as if it had certainly done nothing.
func TestEffectIsUnknownIfAnyTryWas(t *testing.T) {
	lost := errors.Mark(errors.New("no answer"), connector.ErrUnknown)
	busy := errors.Mark(errors.New("turned away"), connector.ErrBusy)
	tests := map[string]struct {
		// before is the outcome of an earlier call; a failure begins a detour.
		before      error
		own, peer   error
		ownAfter    time.Duration
		wantUnknown bool
	}{
		"turned away everywhere":                {nil, busy, busy, 0, false},
		"lost here, turned away elsewhere":      {nil, lost, busy, 0, true},
		"turned away here, lost elsewhere":      {nil, busy, lost, 0, true},
		"detour lost, then turned away here":    {busy, busy, lost, 0, true},
		"detour turned away, then lost here":    {busy, lost, busy, 0, true},
		"detour turned away, then here as well": {busy, busy, busy, 0, false},
		"detour lost, then late turned away":    {busy, busy, lost, 500 * time.Millisecond, true},
		"late turned away here, lost elsewhere": {nil, busy, lost, 500 * time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			own, other := scripted{outcomes: make(chan error, 10)}, scripted{outcomes: make(chan error, 10)}
			s := relayer.New(own, zap.NewNop())
			defer s.Close()
			address := serve(t, other)
			s.SetPeers(func() []string { return []string{address} })
			if tt.before != nil {
				own.outcomes <- tt.before
				other.outcomes <- nil
				if err := write(t, s, 1); err != nil {
					t.Fatal(err)
				}
			}
			time.AfterFunc(tt.ownAfter, func() { own.outcomes <- tt.own })
			other.outcomes <- tt.peer
			other.outcomes <- busy
			err := write(t, s, 2)
			if err == nil || errors.Is(err, connector.ErrUnknown) != tt.wantUnknown {
				t.Errorf("error %v, want one of unknown effect: %v", err, tt.wantUnknown)
			}
		})
	}
}

// TestStoreIsTriedAgain checks that a host goes back to its own way once the store
// serves it again.
func TestStoreIsTriedAgain(t *testing.T) {
	store := simulator.NewStore(1, 1)
	store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"self": true}})
	address := peer(t, store, "p1")
	s := relayer.New(store.Client("self"), zap.NewNop())
	defer s.Close()
	asked := 0
	s.SetPeers(func() []string { asked++; return []string{address} })
	if err := write(t, s, 1); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(simulator.StoreFaults{})
	time.Sleep(1100 * time.Millisecond)
	before := asked
	if err := write(t, s, 2); err != nil || asked != before {
		t.Errorf("error %v, peers asked %d times more", err, asked-before)
	}
}

// narrowLink is a store behind a link that carries so many bytes a second.
type narrowLink struct {
	connector.Store
	bytesPerSecond int
}

// Append implements connector.Store.
func (l narrowLink) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	size := 0
	for _, r := range a.Records {
		size += len(r.Value)
	}
	select {
	case <-time.After(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond)):
		return l.Store.Append(ctx, a)
	case <-ctx.Done():
		return 0, errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
}

// TestLargeAppendsPassThroughOtherHosts checks that an append which the links to another
// host and on to the store carry slowly gets the time for it.
func TestLargeAppendsPassThroughOtherHosts(t *testing.T) {
	const link, size = 50_000, 15_000
	store := simulator.NewStore(1, 1)
	store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"self": true}})
	// The link to the other host and that from there to the store carry the same bytes.
	address := serve(t, narrowLink{store.Client("p1"), link / 2})
	s := relayer.New(store.Client("self"), zap.NewNop(), relayer.WithLinkRate(link))
	defer s.Close()
	s.SetPeers(func() []string { return []string{address} })
	// The store of a holder's term waits so long for one append.
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	_, err := s.Append(ctx, connector.KeyedAppend{Topic: "work", Records: []connector.KeyedRecord{{Key: "k", Value: make([]byte, size)}}})
	if err != nil {
		t.Error(err)
	}
}

// slowWay returns an address behind which a server is reached over a link that carries so
// many bytes a second to this host.
func slowWay(t *testing.T, address string, bytesPerSecond int) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				_ = near.Close()
				return
			}
			go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
			go func() { throttle(near, far, bytesPerSecond); _ = near.Close() }()
		}
	}()
	return ln.Addr().String()
}

// throttle copies so many bytes a second until either side ends.
func throttle(to io.Writer, from io.Reader, bytesPerSecond int) {
	part := make([]byte, 1<<10)
	for {
		n, err := from.Read(part)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
		if _, err := to.Write(part[:n]); err != nil {
			return
		}
	}
}

// TestReadsThroughOtherHostsFollowTheLink checks that a host which the store turns away, and
// whose link is full of other messages, still reads what others read for it: more than the
// link carries in time would be read in vain again and again.
func TestReadsThroughOtherHostsFollowTheLink(t *testing.T) {
	source := rand.NewChaCha8([32]byte{})
	text := func(size int) (out []byte) {
		for len(out) < size {
			out = fmt.Appendf(out, `{"name":"%x","service":"rakes","stretch":2,"sloMs":1000},`, source.Uint64())
		}
		return out
	}
	noise := func(size int) []byte {
		out := make([]byte, size)
		_, _ = source.Read(out)
		return out
	}
	tests := map[string]struct {
		records, size int
		value         func(size int) []byte
	}{
		"small records that cannot be packed": {200, 1 << 10, noise},
		"small records":                       {400, 1 << 10, text},
		"one large record":                    {1, 100 << 10, text},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const rest, within = 90_000, 12 * time.Second
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
				slowWay(t, peer(t, store, "p1"), rest), slowWay(t, peer(t, store, "p2"), rest),
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

// TestNewestThroughOtherHostsFollowTheLink guards against a host which the store turns away, and which
// never reads the state of a cell or the list of workers: a page was more than the link carries in time.
func TestNewestThroughOtherHostsFollowTheLink(t *testing.T) {
	const rest, records, within = 250_000, 400, 12 * time.Second
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
		slowWay(t, peer(t, store, "p1"), rest), slowWay(t, peer(t, store, "p2"), rest),
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

// arriving is a store whose answer to a read keeps arriving for some time.
type arriving struct {
	connector.Store
	parts int
	pause time.Duration
}

// Read implements connector.Store.
func (a arriving) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration) (connector.ReadResult, error) {
	for range a.parts {
		time.Sleep(a.pause)
		connector.ReportProgress(ctx)
	}
	return a.Store.Read(ctx, topic, part, from, wait)
}

// TestArrivingAnswerIsNotAskedForTwice checks that a long answer of the store is not asked
// for through other hosts as well, over the same link, while it keeps arriving.
func TestArrivingAnswerIsNotAskedForTwice(t *testing.T) {
	store := simulator.NewStore(1, 1)
	if err := write(t, store.Client("before"), 1); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		parts int
		pause time.Duration
		asked bool
	}{
		"arrives":        {12, 100 * time.Millisecond, false},
		"does not begin": {1, 800 * time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := peer(t, store, "p1")
			s := relayer.New(arriving{store.Client("self"), tt.parts, tt.pause}, zap.NewNop())
			defer s.Close()
			var asked atomic.Bool
			s.SetPeers(func() []string { asked.Store(true); return []string{address} })
			if _, err := s.Read(t.Context(), "work", 0, 0, 0); err != nil || asked.Load() != tt.asked {
				t.Errorf("error %v, other hosts asked: %v", err, asked.Load())
			}
		})
	}
}

// busyLink is a store on whose link the answer to a read keeps arriving; other calls wait
// behind it for longer than they may.
type busyLink struct {
	arriving
	reading atomic.Bool
}

// Read implements connector.Store.
func (b *busyLink) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration) (connector.ReadResult, error) {
	b.reading.Store(true)
	defer b.reading.Store(false)
	return b.arriving.Read(ctx, topic, part, from, wait)
}

// Owners implements connector.Store.
func (b *busyLink) Owners(ctx context.Context, group string) ([]connector.Ownership, error) {
	if b.reading.Load() {
		<-ctx.Done()
		return nil, errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
	return b.Store.Owners(ctx, group)
}

// TestCallsBehindALargeAnswerBeginNoDetour checks that a call which is not answered while
// a large answer arrives does not send the calls that follow through other hosts, and
// that one which is not answered without such a reason does.
func TestCallsBehindALargeAnswerBeginNoDetour(t *testing.T) {
	tests := map[string]struct {
		pause  time.Duration
		detour bool
	}{
		"the answer arrives":    {100 * time.Millisecond, false},
		"the answer has ceased": {2 * time.Second, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := simulator.NewStore(1, 1)
			if err := write(t, store.Client("before"), 1); err != nil {
				t.Fatal(err)
			}
			own := &busyLink{arriving: arriving{store.Client("self"), int(3 * time.Second / tt.pause), tt.pause}}
			s := relayer.New(own, zap.NewNop())
			defer s.Close()
			go func() { _, _ = s.Read(t.Context(), "work", 0, 0, 5*time.Second) }()
			time.Sleep(300 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			if _, err := s.Owners(ctx, "holders"); err == nil {
				t.Fatal("a call behind the answer is answered")
			}
			var asked atomic.Bool
			s.SetPeers(func() []string { asked.Store(true); return nil })
			if err := write(t, s, 2); err != nil || asked.Load() != tt.detour {
				t.Errorf("error %v, other hosts asked: %v, want %v", err, asked.Load(), tt.detour)
			}
		})
	}
}
