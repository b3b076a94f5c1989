package carrier

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/internal/uptimer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// site is a holder's pool that is reached over real connections, and a fleet.
type site struct {
	pool    *Pool
	address string
	fleet   *simulator.Fleet
	// own counts the calls that the holder made itself.
	own *countingRunner
}

// countingRunner counts the calls that pass through it.
type countingRunner struct {
	connector.Runner
	calls atomic.Int64
}

func (c *countingRunner) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	c.calls.Add(1)
	return c.Runner.Hold(ctx, to, o)
}

type fixedHolder string

func (f fixedHolder) Holders() []string       { return []string{string(f)} }
func (f fixedHolder) Refresh(context.Context) {}

const siteWorkers = 6

func newSite(t *testing.T, direct int, opts ...PoolOption) *site {
	t.Helper()
	s := &site{fleet: simulator.NewFleet(1,
		func(connector.RunID) (time.Duration, bool) { return time.Hour, false },
		func(identifier.JobTask) identifier.Size { return identifier.Size{} })}
	for i := range siteWorkers {
		s.fleet.Add(connector.WorkerEntry{ID: workerID(i), DataCentre: "a", Address: "x"})
	}
	runner, _ := s.fleet.Client()
	s.own = &countingRunner{Runner: runner}
	s.pool = NewPool(s.own, direct, zap.NewNop(), opts...)
	s.pool.SetWorkers(s.fleet.Entries())
	s.pool.Open()
	s.address = freeAddress(t)
	server, err := messenger.Listen(s.address, func(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
		out, ok, err := s.pool.Handle(ctx, method, params)
		if !ok {
			return nil, refuser.New(refuser.CodeInvalid, "unknown method %q", method)
		}
		return out, err
	}, zap.NewNop(), messenger.WithBatchHandler(s.pool.Receive))
	if err != nil {
		t.Fatal(err)
	}
	run(t, server.Run)
	run(t, s.pool.Run)
	return s
}

// run runs a part of the test until the returned function is called, or the test ends.
func run(t *testing.T, part func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = part(ctx)
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// join adds a host that calls the fleet's workers.
func (s *site) join(t *testing.T, name string, opts ...HostOption) (runner *countingRunner, stop func()) {
	t.Helper()
	client, _ := s.fleet.Client()
	runner = &countingRunner{Runner: client}
	h := NewHost(Offer{identifier.Entry(name), "a", 100}, runner, fixedHolder(s.address), zap.NewNop(), opts...)
	stop = run(t, h.Run)
	taken := func() bool {
		_, ok := s.pool.Loads()[identifier.Entry(name)]
		return ok
	}
	for end := time.Now().Add(5 * time.Second); !taken(); sleeper.Pause(t.Context(), time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("offer of %s is not taken", name)
		}
	}
	return runner, stop
}

func (s *site) look(t *testing.T, n int) (connector.HoldAnswer, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return s.pool.Hold(ctx, connector.WorkerTarget{ID: workerID(n), Address: "x"}, connector.HoldOrder{Epoch: 5})
}

// TestHostsCallWorkers checks that orders and answers pass through a host unchanged.
func TestHostsCallWorkers(t *testing.T) {
	s := newSite(t, 0)
	host, _ := s.join(t, "h1")
	to := connector.WorkerTarget{ID: workerID(1), Address: "x"}
	id := connector.RunID{Task: identifier.JobTask{Job: "j", Step: 1, Index: 2}, Attempt: 3}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	started, err := s.pool.Start(ctx, to, connector.RunOrder{Run: id, Spec: "s", Epoch: 5, LeaseUntil: connector.WorkerClock(time.Hour)})
	if err != nil || started.Verdict != connector.VerdictOK || started.Clock == 0 {
		t.Fatalf("start: %+v, %v", started, err)
	}
	if fenced, err := s.pool.Start(ctx, to, connector.RunOrder{Run: id, Epoch: 4, LeaseUntil: connector.WorkerClock(time.Hour)}); err != nil || fenced.Verdict != connector.VerdictFenced {
		t.Errorf("start under a lower epoch: %+v, %v", fenced, err)
	}
	looked, err := s.look(t, 1)
	if err != nil || len(looked.Active) != 1 || looked.Active[0].Run != id || looked.StartedAt == 0 {
		t.Fatalf("look: %+v, %v", looked, err)
	}
	if _, err := s.pool.Stop(ctx, to, id, 5); err != nil {
		t.Fatal(err)
	}
	sleeper.Pause(ctx, 300*time.Millisecond)
	looked, err = s.look(t, 1)
	if err != nil || len(looked.Ended) != 1 || looked.Ended[0].Run != id || looked.Ended[0].Reason != connector.EndStopped {
		t.Errorf("look after the stop: %+v, %v", looked, err)
	}
	if host.calls.Load() != 2 || s.own.calls.Load() != 0 {
		t.Errorf("%d looks through the host, %d by the holder itself, want 2 and 0", host.calls.Load(), s.own.calls.Load())
	}
}

// TestFewWorkersAreCalledDirectly checks that a holder calls as many workers itself as
// it can carry.
func TestFewWorkersAreCalledDirectly(t *testing.T) {
	s := newSite(t, siteWorkers)
	host, _ := s.join(t, "h1")
	if _, err := s.look(t, 1); err != nil {
		t.Fatal(err)
	}
	if host.calls.Load() != 0 || s.own.calls.Load() != 1 {
		t.Errorf("%d looks through the host, %d by the holder itself, want 0 and 1", host.calls.Load(), s.own.calls.Load())
	}
}

// TestLostHostIsReplaced checks that a call under way at a host that ends fails as of
// unknown effect at once, and that the next one goes another way.
func TestLostHostIsReplaced(t *testing.T) {
	tests := map[string]bool{"another host": true, "no other host": false}
	for name, another := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0)
			_, stop := s.join(t, "h1")
			s.fleet.SetFaults(workerID(1), simulator.WorkerFaults{Cut: true})
			failed := make(chan error, 1)
			go func() {
				_, err := s.look(t, 1)
				failed <- err
			}()
			sleeper.Pause(t.Context(), 100*time.Millisecond)
			began := time.Now()
			stop()
			if err := <-failed; !errors.Is(err, connector.ErrUnknown) {
				t.Errorf("error %v, want one of unknown effect", err)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the call failed %v after its host", took)
			}
			s.fleet.SetFaults(workerID(1), simulator.WorkerFaults{})
			if another {
				s.join(t, "h2")
			} else {
				sleeper.Pause(t.Context(), gatherTime)
			}
			if _, err := s.look(t, 1); err != nil {
				t.Error(err)
			}
			if direct := s.own.calls.Load() > 0; direct == another {
				t.Errorf("holder called by itself: %v", direct)
			}
		})
	}
}

// TestSuspendedHostDropsOrders checks that a host which was suspended between receipt
// and call acts on none of the orders: their permission has run out.
func TestSuspendedHostDropsOrders(t *testing.T) {
	s := newSite(t, 0)
	var suspended atomic.Int64
	host, _ := s.join(t, "h1", WithUptime(func() time.Duration { return uptimer.SinceBoot() + time.Duration(suspended.Load()) }))
	if _, err := s.look(t, 1); err != nil {
		t.Fatal(err)
	}
	suspended.Store(int64(10 * time.Second))
	_, err := s.look(t, 2)
	if !errors.Is(err, connector.ErrNotSent) || !errors.Is(err, errOrderExpired) {
		t.Errorf("error %v, want an order that was too old", err)
	}
	if host.calls.Load() != 1 {
		t.Errorf("%d looks were made, want only the one before", host.calls.Load())
	}
}

// TestOldLooksForgetNothing checks that an acknowledgement does not travel late.
func TestOldLooksForgetNothing(t *testing.T) {
	o := order{Forget: 7}
	if o.hold(0).Forget != 7 || o.hold(maxForgetAge+1).Forget != 0 {
		t.Error("a late look lets the worker forget ends, or one in time does not")
	}
}

// TestMalformedMessages checks that neither side goes down or forgets what it knows.
func TestMalformedMessages(t *testing.T) {
	s := newSite(t, 0)
	s.join(t, "h1")
	peer, err := messenger.Dial(t.Context(), s.address, func(context.Context, messenger.Method, json.RawMessage) (any, error) { return nil, nil })
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for name, call := range map[string]struct {
		method messenger.Method
		params any
	}{
		"no offer":             {messenger.MethodOffer, "x"},
		"offer of nobody":      {messenger.MethodOffer, Offer{MaxWorkers: 3}},
		"offer of nothing":     {messenger.MethodOffer, Offer{Name: "n"}},
		"answers before offer": {messenger.MethodAnswers, beat{Content: []byte{0xff}}},
		"orders to a holder":   {messenger.MethodOrders, beat{}},
	} {
		var refusal *refuser.Refusal
		if err := peer.Call(t.Context(), call.method, call.params, nil); !errors.As(err, &refusal) {
			t.Errorf("%s: error %v, want a refusal", name, err)
		}
	}
	if err := peer.Call(t.Context(), messenger.MethodOffer, Offer{"bad", "b", 1}, nil); err != nil {
		t.Fatal(err)
	}
	if err := peer.Call(t.Context(), messenger.MethodAnswers, beat{Content: []byte{0xff}}, nil); err == nil {
		t.Error("answers that cannot be read are taken")
	}
	for _, method := range []messenger.Method{messenger.MethodAnswers, messenger.MethodOrders, "unknown"} {
		if err := peer.SendBatch(method, []byte{0xff}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.look(t, 1); err != nil {
		t.Errorf("a call after malformed messages: %v", err)
	}
	if _, err := decode[orders]([]byte{0xff}); !errors.Is(err, ErrBatch) {
		t.Errorf("error %v, want ErrBatch", err)
	}
}

// TestUnknownOrders checks that a host refuses what it does not know.
func TestUnknownOrders(t *testing.T) {
	client, _ := newSite(t, 0).fleet.Client()
	s := &service{host: NewHost(Offer{}, client, fixedHolder(""), zap.NewNop()), ctx: t.Context()}
	for name, o := range map[string]order{
		"kind":  {Kind: 99},
		"lease": {Kind: orderStart},
		"spec":  {Kind: orderStart, Spec: 4, LeaseUntil: new(connector.WorkerClock)},
	} {
		o.Timeout = time.Second
		r := s.carryOut(o, nil, s.host.uptime())
		if r.Failure != failureNotSent {
			t.Errorf("%s: %+v, want an order that was not sent", name, r)
		}
	}
}

// TestSilentHostIsLetGo checks that a host whose connection goes silent is not given
// calls any more.
func TestSilentHostIsLetGo(t *testing.T) {
	s := newSite(t, 0)
	peer, err := messenger.Dial(t.Context(), s.address, func(ctx context.Context, _ messenger.Method, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if err := peer.Call(t.Context(), messenger.MethodOffer, Offer{"silent", "a", 100}, nil); err != nil {
		t.Fatal(err)
	}
	select {
	case <-peer.Done():
	case <-time.After(silence + 2*time.Second):
		t.Fatal("silent host is still connected")
	}
	if loads := s.pool.Loads(); len(loads) != 0 {
		t.Errorf("hosts %v", fmt.Sprint(loads))
	}
}

// TestPausedHolderKeepsItsHosts checks that a holder which did not run itself for a while
// does not take that for the silence of the hosts that call workers for it.
func TestPausedHolderKeepsItsHosts(t *testing.T) {
	tests := map[string]struct {
		quiet, paused time.Duration
		kept          bool
	}{
		"beats come":                  {silence / 3, sweepPeriod, true},
		"silent":                      {2 * silence, sweepPeriod, false},
		"the holder did not run":      {2 * silence, 2*silence + sweepPeriod, true},
		"silent before it was paused": {4 * silence, silence + sweepPeriod, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPool(nil, 0, zap.NewNop())
			s := newSession(messenger.Peer{}, Offer{"h", "a", 100}, uptimer.SinceBoot, p.gap)
			s.heardAt = time.Now().Add(-tt.quiet)
			p.sessions[messenger.Peer{}] = s
			if kept := len(p.silent(tt.paused)) == 0; kept != tt.kept {
				t.Fatalf("host kept: %v, want %v", kept, tt.kept)
			}
		})
	}
}

// TestAbandonedOrdersAreNotSent checks that an order whose caller leaves while it is
// queued is not sent any more and said to be so, and that one that is sent has only the
// time that its caller still waits.
func TestAbandonedOrdersAreNotSent(t *testing.T) {
	const timeout = 100 * time.Millisecond
	s := newSession(messenger.Peer{}, Offer{"h", "a", 100}, uptimer.SinceBoot, func() time.Duration { return leastGap })
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	if _, err := s.do(ctx, order{Kind: orderStart}, "s"); !errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrUnknown) {
		t.Errorf("error %v of an order that was never sent", err)
	}
	if left := s.orders.take(); len(left) != 0 {
		t.Errorf("%d orders are sent without a caller", len(left))
	}
	ctx, cancel = context.WithTimeout(t.Context(), timeout)
	defer cancel()
	sent := make(chan orders)
	go func() {
		<-s.orders.ready
		sleeper.Pause(ctx, timeout/2)
		sent <- pack(s.orders.take())
	}()
	_, err := s.do(ctx, order{Kind: orderStart}, "s")
	if !errors.Is(err, connector.ErrUnknown) || errors.Is(err, connector.ErrNotSent) {
		t.Errorf("error %v of an order that was sent", err)
	}
	if got := (<-sent).List[0].Timeout; got <= 0 || got > timeout/2 {
		t.Errorf("order sent with a timeout of %v, its caller waits %v more", got, timeout/2)
	}
}

// TestHostLeavesASilentHolder checks that a host whose connection to the holder goes
// silent for good offers itself again over a new one.
func TestHostLeavesASilentHolder(t *testing.T) {
	var offers atomic.Int64
	address := freeAddress(t)
	server, err := messenger.Listen(address, func(ctx context.Context, method messenger.Method, _ json.RawMessage) (any, error) {
		if method == messenger.MethodOffer {
			offers.Add(1)
			return nil, nil
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	run(t, server.Run)
	h := NewHost(Offer{"h", "a", 10}, nil, fixedHolder(address), zap.NewNop())
	run(t, h.Run)
	for end := time.Now().Add(5 * time.Second); offers.Load() < 2; sleeper.Pause(t.Context(), 10*time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d offers in 5s to a holder that does not answer, want another", offers.Load())
		}
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}
