package carrier

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// countedWay returns an address behind which a server is reached, and the bytes that pass
// in both directions.
func countedWay(t *testing.T, address string) (way string, passed *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	passed = &atomic.Int64{}
	carry := func(to, from net.Conn) {
		defer func() { _ = to.Close() }()
		part := make([]byte, 32<<10)
		for {
			n, err := from.Read(part)
			passed.Add(int64(n))
			if _, failed := to.Write(part[:n]); err != nil || failed != nil {
				return
			}
		}
	}
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
			go carry(far, near)
			go carry(near, far)
		}
	}()
	return ln.Addr().String(), passed
}

// serveStarts starts runs of many jobs on the workers of a site through one host, looks at
// the workers as often, and returns the bytes that passed for a start.
func serveStarts(t *testing.T, opts ...PoolOption) int64 {
	const jobs, tasks = 40, siteWorkers
	s := newSite(t, 0, opts...)
	way, passed := countedWay(t, s.address)
	client, _ := s.fleet.Client()
	h := NewHost(Offer{"h1", "a", 100}, client, fixedHolder(way), zap.NewNop())
	run(t, h.Run)
	for end := time.Now().Add(5 * time.Second); len(s.pool.Loads()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("offer is not taken")
		}
	}
	passed.Store(0)
	for n := range jobs {
		var answers sync.WaitGroup
		for i := range tasks {
			id := connector.RunID{Task: identifier.JobTask{Job: identifier.Job(fmt.Sprintf("%016x", (n+1)*0x1234567)), Index: i}, Attempt: 1}
			to := connector.WorkerTarget{ID: workerID(i), Address: "x"}
			order := connector.RunOrder{Run: id, Spec: fmt.Sprintf("spec of a job with the number %d", n), Epoch: 5, LeaseUntil: connector.WorkerClock(time.Minute)}
			answers.Add(2)
			s.pool.StartAsync(t.Context(), to, order, time.Minute, func(connector.OrderAnswer, error) { answers.Done() })
			s.pool.HoldAsync(t.Context(), to, connector.HoldOrder{Epoch: 5}, time.Minute, func(connector.HoldAnswer, error) { answers.Done() })
		}
		answers.Wait()
	}
	return passed.Load() / (jobs * tasks)
}

// TestPackedStartsTakeLessOfALink checks that a holder whose link binds starts more tasks
// over it: packed, orders and answers take at most half of the bytes.
func TestPackedStartsTakeLessOfALink(t *testing.T) {
	plain, packed := serveStarts(t), serveStarts(t, WithCompression(true))
	t.Logf("%d bytes a start, %d packed", plain, packed)
	if 2*packed > plain {
		t.Errorf("%d bytes a start, packed %d", plain, packed)
	}
}

// TestBatchesArePackedOnlyIfBothSidesKnow checks that a host of before, whose offer does not
// speak of packed batches, gets orders as they are, and what a holder answers to offers.
func TestBatchesArePackedOnlyIfBothSidesKnow(t *testing.T) {
	tests := map[string]struct {
		holder bool
		offer  any
		want   bool
	}{
		"both":           {true, offerCall{Offer{"h1", "a", 100}, true}, true},
		"host of before": {true, Offer{"h1", "a", 100}, false},
		"link is wide":   {false, offerCall{Offer{"h1", "a", 100}, true}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0, WithCompression(tt.holder))
			way, passed := countedWay(t, s.address)
			got := make(chan int, 1)
			peer, err := messenger.Dial(t.Context(), way, refuseCalls, messenger.WithBatchHandler(func(_ messenger.Peer, _ messenger.Method, content []byte) {
				got <- len(content)
			}))
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			var taken offerTaken
			if err := peer.Call(t.Context(), messenger.MethodOffer, tt.offer, &taken); err != nil || taken.Packed != tt.want {
				t.Fatalf("error %v, packed %v, want %v", err, taken.Packed, tt.want)
			}
			before := passed.Load()
			s.beginStart(t, strings.Repeat("spec", 1000))
			if content, sent := <-got, passed.Load()-before; (sent < int64(content)) != tt.want {
				t.Errorf("a batch of %d bytes took %d", content, sent)
			}
		})
	}
}

func refuseCalls(context.Context, messenger.Method, json.RawMessage) (any, error) {
	return nil, refuser.New(refuser.CodeInvalid, "no calls are answered here")
}

// beginStart begins a start at a worker without waiting for the answer.
func (s *site) beginStart(t *testing.T, spec string) {
	t.Helper()
	to := connector.WorkerTarget{ID: workerID(1), Address: "x"}
	if !s.pool.StartAsync(t.Context(), to, connector.RunOrder{Spec: spec, Epoch: 5}, time.Minute, func(connector.OrderAnswer, error) {}) {
		t.Fatal("the start is not begun although a host calls the worker")
	}
}
