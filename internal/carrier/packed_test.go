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

// startCountingProxy starts a TCP proxy to address, and returns its address and the number of
// bytes transferred in both directions.
func startCountingProxy(t *testing.T, address string) (proxy string, transferred *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	transferred = &atomic.Int64{}
	forward := func(to, from net.Conn) {
		defer func() { _ = to.Close() }()
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			transferred.Add(int64(n))
			if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}
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
			go forward(server, client)
			go forward(client, server)
		}
	}()
	return ln.Addr().String(), transferred
}

// bytesPerStart starts runs of many jobs through one host, polls the workers as often, and
// returns the average number of bytes transferred for a start and a poll.
func bytesPerStart(t *testing.T, opts ...PoolOption) int64 {
	const jobs, tasks = 40, testWorkers
	s := newTestHolder(t, 0, opts...)
	proxy, transferred := startCountingProxy(t, s.address)
	client, _ := s.fleet.Client()
	h := NewHost(Offer{"h1", "a", 100}, client, fixedHolder(proxy), zap.NewNop())
	runInBackground(t, h.Run)
	for end := time.Now().Add(5 * time.Second); len(s.pool.Loads()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("offer was not accepted")
		}
	}
	transferred.Store(0)
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
	return transferred.Load() / (jobs * tasks)
}

// TestCompressionHalvesBytesPerStart checks that compressed orders and replies take at most half
// the bytes, so that a holder with little bandwidth can start more tasks.
func TestCompressionHalvesBytesPerStart(t *testing.T) {
	plain, compressed := bytesPerStart(t), bytesPerStart(t, WithCompression(true))
	t.Logf("%d bytes per start, %d compressed", plain, compressed)
	if 2*compressed > plain {
		t.Errorf("%d bytes per start, %d compressed, want at most half", plain, compressed)
	}
}

// TestCompressionNeedsBothSides checks that batches are compressed only if the holder is
// configured to and the host's offer says that it supports it, which offers of older versions
// do not.
func TestCompressionNeedsBothSides(t *testing.T) {
	tests := map[string]struct {
		holder bool
		offer  any
		want   bool
	}{
		"both sides":                 {true, offerRequest{Offer{"h1", "a", 100}, true}, true},
		"host of older version":      {true, Offer{"h1", "a", 100}, false},
		"holder without compression": {false, offerRequest{Offer{"h1", "a", 100}, true}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestHolder(t, 0, WithCompression(tt.holder))
			proxy, transferred := startCountingProxy(t, s.address)
			got := make(chan int, 1)
			peer, err := messenger.Dial(t.Context(), proxy, rejectCalls, messenger.WithBatchHandler(func(_ messenger.Peer, _ messenger.Method, content []byte) {
				got <- len(content)
			}))
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			var resp offerResponse
			if err := peer.Call(t.Context(), messenger.MethodOffer, tt.offer, &resp); err != nil || resp.Compress != tt.want {
				t.Fatalf("error %v, compressed %v, want %v", err, resp.Compress, tt.want)
			}
			before := transferred.Load()
			s.beginStart(t, strings.Repeat("spec", 1000))
			if content, sent := <-got, transferred.Load()-before; (sent < int64(content)) != tt.want {
				t.Errorf("batch of %d bytes took %d", content, sent)
			}
		})
	}
}

func rejectCalls(context.Context, messenger.Method, json.RawMessage) (any, error) {
	return nil, refuser.New(refuser.CodeInvalid, "calls are not served here")
}

// beginStart begins a start on a worker without waiting for the reply.
func (s *testHolder) beginStart(t *testing.T, spec string) {
	t.Helper()
	to := connector.WorkerTarget{ID: workerID(1), Address: "x"}
	if !s.pool.StartAsync(t.Context(), to, connector.RunOrder{Spec: spec, Epoch: 5}, time.Minute, func(connector.OrderAnswer, error) {}) {
		t.Fatal("start was not begun although a host calls the worker")
	}
}
