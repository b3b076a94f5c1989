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

// testHolder is a holder's pool that hosts connect to over TCP, with a simulated fleet.
type testHolder struct {
	pool    *Pool
	address string
	fleet   *simulator.Fleet
	// localRunner counts the polls that the holder made itself.
	localRunner *countingRunner
}

// countingRunner counts the polls made with it.
type countingRunner struct {
	connector.Runner
	polls atomic.Int64
}

func (c *countingRunner) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	c.polls.Add(1)
	return c.Runner.Hold(ctx, to, o)
}

// fixedHolder is a Locator with a single holder, at this address.
type fixedHolder string

func (f fixedHolder) Holders() []string       { return []string{string(f)} }
func (f fixedHolder) Refresh(context.Context) {}

const testWorkers = 6

func newTestHolder(t *testing.T, maxDirectWorkers int, opts ...PoolOption) *testHolder {
	t.Helper()
	s := &testHolder{fleet: simulator.NewFleet(1,
		func(connector.RunID) (time.Duration, bool) { return time.Hour, false },
		func(identifier.JobTask) identifier.Size { return identifier.Size{} })}
	for i := range testWorkers {
		s.fleet.Add(connector.WorkerEntry{ID: workerID(i), DataCentre: "a", Address: "x"})
	}
	runner, _ := s.fleet.Client()
	s.localRunner = &countingRunner{Runner: runner}
	s.pool = NewPool(s.localRunner, maxDirectWorkers, zap.NewNop(), opts...)
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
	runInBackground(t, server.Run)
	runInBackground(t, s.pool.Run)
	return s
}

// runInBackground runs f until stop is called or the test ends; stop waits for f to return.
func runInBackground(t *testing.T, f func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f(ctx)
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// addHost adds a host that calls the fleet's workers, and waits until its offer is accepted.
func (s *testHolder) addHost(t *testing.T, name string, opts ...HostOption) (runner *countingRunner, stop func()) {
	t.Helper()
	client, _ := s.fleet.Client()
	runner = &countingRunner{Runner: client}
	h := NewHost(Offer{identifier.Entry(name), "a", 100}, runner, fixedHolder(s.address), zap.NewNop(), opts...)
	stop = runInBackground(t, h.Run)
	accepted := func() bool {
		_, ok := s.pool.Loads()[identifier.Entry(name)]
		return ok
	}
	for end := time.Now().Add(5 * time.Second); !accepted(); sleeper.Pause(t.Context(), time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("offer of %s was not accepted", name)
		}
	}
	return runner, stop
}

// poll polls worker n through the pool.
func (s *testHolder) poll(t *testing.T, n int) (connector.HoldAnswer, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return s.pool.Hold(ctx, connector.WorkerTarget{ID: workerID(n), Address: "x"}, connector.HoldOrder{Epoch: 5})
}

// TestHostsCallWorkers checks that orders and replies pass through a host unchanged.
func TestHostsCallWorkers(t *testing.T) {
	s := newTestHolder(t, 0)
	host, _ := s.addHost(t, "h1")
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
	polled, err := s.poll(t, 1)
	if err != nil || len(polled.Active) != 1 || polled.Active[0].Run != id || polled.StartedAt == 0 {
		t.Fatalf("poll: %+v, %v", polled, err)
	}
	if _, err := s.pool.Stop(ctx, to, id, 5); err != nil {
		t.Fatal(err)
	}
	sleeper.Pause(ctx, 300*time.Millisecond)
	polled, err = s.poll(t, 1)
	if err != nil || len(polled.Ended) != 1 || polled.Ended[0].Run != id || polled.Ended[0].Reason != connector.EndStopped {
		t.Errorf("poll after the stop: %+v, %v", polled, err)
	}
	if host.polls.Load() != 2 || s.localRunner.polls.Load() != 0 {
		t.Errorf("%d polls through the host, %d by the holder itself, want 2 and 0", host.polls.Load(), s.localRunner.polls.Load())
	}
}

// TestFewWorkersAreCalledDirectly checks that a holder with at most maxDirectWorkers workers
// calls them itself even if there is a host.
func TestFewWorkersAreCalledDirectly(t *testing.T) {
	s := newTestHolder(t, testWorkers)
	host, _ := s.addHost(t, "h1")
	if _, err := s.poll(t, 1); err != nil {
		t.Fatal(err)
	}
	if host.polls.Load() != 0 || s.localRunner.polls.Load() != 1 {
		t.Errorf("%d polls through the host, %d by the holder itself, want 0 and 1", host.polls.Load(), s.localRunner.polls.Load())
	}
}

// TestLostHostIsReplaced checks that a call in flight through a host that disconnects fails at
// once with ErrUnknown, and that the next call goes through another host, or is made by the
// holder itself if there is none.
func TestLostHostIsReplaced(t *testing.T) {
	tests := map[string]bool{"another host": true, "no other host": false}
	for name, another := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestHolder(t, 0)
			_, stop := s.addHost(t, "h1")
			s.fleet.SetFaults(workerID(1), simulator.WorkerFaults{Cut: true})
			failed := make(chan error, 1)
			go func() {
				_, err := s.poll(t, 1)
				failed <- err
			}()
			sleeper.Pause(t.Context(), 100*time.Millisecond)
			start := time.Now()
			stop()
			if err := <-failed; !errors.Is(err, connector.ErrUnknown) {
				t.Errorf("error %v, want ErrUnknown", err)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("call failed %v after its host had stopped, want within 1s", took)
			}
			s.fleet.SetFaults(workerID(1), simulator.WorkerFaults{})
			if another {
				s.addHost(t, "h2")
			} else {
				sleeper.Pause(t.Context(), hostWaitTimeout)
			}
			if _, err := s.poll(t, 1); err != nil {
				t.Error(err)
			}
			if direct := s.localRunner.polls.Load() > 0; direct == another {
				t.Errorf("holder made the call itself: %v", direct)
			}
		})
	}
}

// TestSuspendedHostDropsOrders checks that a host that was suspended between receiving an order
// and executing it drops the order, which has timed out.
func TestSuspendedHostDropsOrders(t *testing.T) {
	s := newTestHolder(t, 0)
	var suspended atomic.Int64
	host, _ := s.addHost(t, "h1", WithUptime(func() time.Duration { return uptimer.SinceBoot() + time.Duration(suspended.Load()) }))
	if _, err := s.poll(t, 1); err != nil {
		t.Fatal(err)
	}
	suspended.Store(int64(10 * time.Second))
	_, err := s.poll(t, 2)
	if !errors.Is(err, connector.ErrNotSent) || !errors.Is(err, errOrderExpired) {
		t.Errorf("error %v, want errOrderExpired marked ErrNotSent", err)
	}
	if host.polls.Load() != 1 {
		t.Errorf("%d polls were made, want only the one before the suspension", host.polls.Load())
	}
}

// TestDelayedPollForgetsNoEndedRuns checks that a poll that was delayed for longer than
// maxForgetDelay does not let the worker forget ended runs.
func TestDelayedPollForgetsNoEndedRuns(t *testing.T) {
	o := order{Forget: 7}
	if o.pollOrder(0).Forget != 7 || o.pollOrder(maxForgetDelay+1).Forget != 0 {
		t.Error("a delayed poll lets the worker forget ended runs, or a timely one does not")
	}
}

// TestMalformedMessages checks that the pool refuses or drops malformed messages and keeps
// working.
func TestMalformedMessages(t *testing.T) {
	s := newTestHolder(t, 0)
	s.addHost(t, "h1")
	peer, err := messenger.Dial(t.Context(), s.address, func(context.Context, messenger.Method, json.RawMessage) (any, error) { return nil, nil })
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for name, call := range map[string]struct {
		method messenger.Method
		params any
	}{
		"not an offer":           {messenger.MethodOffer, "x"},
		"offer without a name":   {messenger.MethodOffer, Offer{MaxWorkers: 3}},
		"offer of no workers":    {messenger.MethodOffer, Offer{Name: "n"}},
		"heartbeat before offer": {messenger.MethodAnswers, heartbeat{Content: []byte{0xff}}},
		"orders to a holder":     {messenger.MethodOrders, heartbeat{}},
	} {
		var refusal *refuser.Refusal
		if err := peer.Call(t.Context(), call.method, call.params, nil); !errors.As(err, &refusal) {
			t.Errorf("%s: error %v, want a refusal", name, err)
		}
	}
	if err := peer.Call(t.Context(), messenger.MethodOffer, Offer{"bad", "b", 1}, nil); err != nil {
		t.Fatal(err)
	}
	if err := peer.Call(t.Context(), messenger.MethodAnswers, heartbeat{Content: []byte{0xff}}, nil); err == nil {
		t.Error("a heartbeat with malformed replies was accepted")
	}
	for _, method := range []messenger.Method{messenger.MethodAnswers, messenger.MethodOrders, "unknown"} {
		if err := peer.SendBatch(method, []byte{0xff}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.poll(t, 1); err != nil {
		t.Errorf("poll after malformed messages: %v", err)
	}
	if _, err := decode[orderBatch]([]byte{0xff}); !errors.Is(err, ErrMalformedBatch) {
		t.Errorf("error %v, want ErrMalformedBatch", err)
	}
}

// TestUnknownOrders checks that a host fails orders of an unknown kind, and starts without a
// lease or with an invalid spec index, as not sent.
func TestUnknownOrders(t *testing.T) {
	client, _ := newTestHolder(t, 0).fleet.Client()
	s := &holderSession{host: NewHost(Offer{}, client, fixedHolder(""), zap.NewNop()), ctx: t.Context()}
	for name, o := range map[string]order{
		"kind":  {Kind: 99},
		"lease": {Kind: orderStart},
		"spec":  {Kind: orderStart, SpecIndex: 4, LeaseUntil: new(connector.WorkerClock)},
	} {
		o.Timeout = time.Second
		r := s.execute(o, nil, s.host.uptime())
		if r.Failure != failureNotSent {
			t.Errorf("%s: %+v, want failureNotSent", name, r)
		}
	}
}

// TestSilentHostIsDisconnected checks that a host that sends no heartbeats is disconnected and
// removed from the pool.
func TestSilentHostIsDisconnected(t *testing.T) {
	s := newTestHolder(t, 0)
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
	case <-time.After(silenceTimeout + 2*time.Second):
		t.Fatal("silent host is still connected")
	}
	if loads := s.pool.Loads(); len(loads) != 0 {
		t.Errorf("pool still has hosts %v", fmt.Sprint(loads))
	}
}

// TestHolderPauseIsNotHostSilence checks that time in which the holder's process was paused does
// not count as silence of its hosts.
func TestHolderPauseIsNotHostSilence(t *testing.T) {
	tests := map[string]struct {
		silentFor, paused time.Duration
		kept              bool
	}{
		"heartbeats arrive":       {silenceTimeout / 3, silenceCheckInterval, true},
		"silent":                  {2 * silenceTimeout, silenceCheckInterval, false},
		"holder was paused":       {2 * silenceTimeout, 2*silenceTimeout + silenceCheckInterval, true},
		"silent before the pause": {4 * silenceTimeout, silenceTimeout + silenceCheckInterval, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPool(nil, 0, zap.NewNop())
			s := newHostSession(messenger.Peer{}, Offer{"h", "a", 100}, uptimer.SinceBoot, p.sendInterval)
			s.lastMessage = time.Now().Add(-tt.silentFor)
			p.sessions[messenger.Peer{}] = s
			if kept := len(p.silentSessions(tt.paused)) == 0; kept != tt.kept {
				t.Fatalf("host kept: %v, want %v", kept, tt.kept)
			}
		})
	}
}

// TestTimeoutOfQueuedAndSentOrders checks that an order that times out while queued is removed
// and fails with ErrNotSent, that one that has been sent fails with ErrUnknown, and that the
// timeout sent with it is the time left until its deadline.
func TestTimeoutOfQueuedAndSentOrders(t *testing.T) {
	const timeout = 100 * time.Millisecond
	s := newHostSession(messenger.Peer{}, Offer{"h", "a", 100}, uptimer.SinceBoot, func() time.Duration { return minSendInterval })
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	if _, err := s.do(ctx, order{Kind: orderStart}, "s"); !errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrUnknown) {
		t.Errorf("error %v of a queued order, want ErrNotSent only", err)
	}
	if queued := s.orders.drain(); len(queued) != 0 {
		t.Errorf("%d timed out orders are still queued", len(queued))
	}
	ctx, cancel = context.WithTimeout(t.Context(), timeout)
	defer cancel()
	sent := make(chan orderBatch)
	go func() {
		<-s.orders.wake
		sleeper.Pause(ctx, timeout/2)
		sent <- newOrderBatch(s.orders.drain())
	}()
	_, err := s.do(ctx, order{Kind: orderStart}, "s")
	if !errors.Is(err, connector.ErrUnknown) || errors.Is(err, connector.ErrNotSent) {
		t.Errorf("error %v of a sent order, want ErrUnknown only", err)
	}
	if got := (<-sent).Orders[0].Timeout; got <= 0 || got > timeout/2 {
		t.Errorf("order sent with a timeout of %v, want at most %v", got, timeout/2)
	}
}

// TestHostReconnectsToSilentHolder checks that a host whose holder stops answering heartbeats
// makes its offer again over a new connection.
func TestHostReconnectsToSilentHolder(t *testing.T) {
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
	runInBackground(t, server.Run)
	h := NewHost(Offer{"h", "a", 10}, nil, fixedHolder(address), zap.NewNop())
	runInBackground(t, h.Run)
	for end := time.Now().Add(5 * time.Second); offers.Load() < 2; sleeper.Pause(t.Context(), 10*time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d offers in 5s to a holder that answers no heartbeats, want at least 2", offers.Load())
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
