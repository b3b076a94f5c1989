package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// listen returns the address of a server that runs until the test ends.
func listen(t *testing.T, handler Handler, opts ...Option) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	s, err := Listen(address, handler, zap.NewNop(), opts...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return address
}

func echo(_ context.Context, _ Method, params json.RawMessage) (any, error) { return params, nil }

// TestBatchesAndCallsShareAConnection checks that batches of any bytes arrive whole and in
// order, in both directions, between calls that are answered meanwhile.
func TestBatchesAndCallsShareAConnection(t *testing.T) {
	for name, packed := range map[string]bool{"as they are": false, "packed": true} {
		t.Run(name, func(t *testing.T) { exchangeBatches(t, packed) })
	}
}

func exchangeBatches(t *testing.T, packed bool) {
	const batches, calls = 300, 50
	content := func(i int) []byte { return bytes.Repeat([]byte{byte(i), '\r', '\n', 0}, i*i) }
	address := listen(t, echo, WithBatchHandler(func(from Peer, method Method, content []byte) {
		if packed {
			from.CompressBatches()
		}
		if err := from.SendBatch(method, content); err != nil {
			t.Error(err)
		}
	}))
	returned := make(chan []byte, batches)
	peer, err := Dial(t.Context(), address, echo, WithBatchHandler(func(_ Peer, method Method, content []byte) {
		if method != MethodAnswers {
			t.Errorf("batch of %q, want %q", method, MethodAnswers)
		}
		returned <- content
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if packed {
		peer.CompressBatches()
	}
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			var got string
			if err := peer.Call(t.Context(), MethodHeartbeat, fmt.Sprint(i), &got); err != nil || got != fmt.Sprint(i) {
				t.Errorf("call %d: %q, %v", i, got, err)
			}
		})
	}
	for i := range batches {
		if err := peer.SendBatch(MethodAnswers, content(i)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range batches {
		if got := <-returned; !bytes.Equal(got, content(i)) {
			t.Fatalf("batch %d has %d bytes, want %d", i, len(got), len(content(i)))
		}
	}
	wg.Wait()
}

// TestMalformedFramesEndTheirConnection checks that bytes which are no message close the
// connection on which they came, and no other.
func TestMalformedFramesEndTheirConnection(t *testing.T) {
	address := listen(t, echo, WithBatchHandler(func(Peer, Method, []byte) {}))
	tests := map[string]string{
		"no length":         "Batch-Method: answers\r\n\r\n",
		"length no count":   "Content-Length: many\r\n\r\n",
		"negative length":   "Content-Length: -1\r\n\r\n",
		"huge length":       fmt.Sprintf("Content-Length: %d\r\n\r\n", maxFrame+1),
		"no JSON":           "Content-Length: 3\r\n\r\n{,}",
		"line without end":  strings.Repeat("x", 4*streamBuffer),
		"lines without end": strings.Repeat("a: b\r\n", streamBuffer),
		"not packed":        "Batch-Method: answers\r\nBatch-Unpacked: 9\r\nContent-Length: 3\r\n\r\nabc",
		"half packed":       "Batch-Method: answers\r\nBatch-Unpacked: 9\r\nContent-Length: 0\r\n\r\n",
		"huge unpacked":     fmt.Sprintf("Batch-Method: answers\r\nBatch-Unpacked: %d\r\nContent-Length: 0\r\n\r\n", maxFrame+1),
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			raw, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = raw.Close() }()
			if _, err := raw.Write([]byte(sent)); err != nil {
				t.Fatal(err)
			}
			if err := raw.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			var timeout net.Error
			if _, err := raw.Read(make([]byte, 1)); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
				t.Errorf("connection goes on: %v", err)
			}
			peer, err := Dial(t.Context(), address, echo)
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			if err := peer.Call(t.Context(), MethodHeartbeat, "x", nil); err != nil {
				t.Errorf("another connection: %v", err)
			}
		})
	}
}

// TestClaimedLengthsTakeNoMemory checks that a message takes memory as it comes, not as it
// says that it will.
func TestClaimedLengthsTakeNoMemory(t *testing.T) {
	const connections = 40
	address := listen(t, echo)
	used := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := used()
	for range connections {
		raw, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = raw.Close() }()
		if _, err := fmt.Fprintf(raw, "Content-Length: %d\r\n\r\nx", maxFrame); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if after := used(); after > before+connections*maxFrame/4 {
		t.Errorf("%d MB are used for %d messages of which a byte each has come", (after-before)>>20, connections)
	}
}

// TestLargeMessagesArrive checks messages around the sizes at which memory is taken.
func TestLargeMessagesArrive(t *testing.T) {
	arrived := make(chan []byte)
	address := listen(t, echo, WithBatchHandler(func(_ Peer, _ Method, content []byte) { arrived <- content }))
	peer, err := Dial(t.Context(), address, echo)
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for _, size := range []int{0, 1, firstAlloc - 1, firstAlloc, firstAlloc + 1, 5 * firstAlloc, maxFrame} {
		want := bytes.Repeat([]byte{'x', 0, '\n'}, size/3+1)[:size]
		if err := peer.SendBatch(MethodAnswers, want); err != nil {
			t.Fatal(err)
		}
		if got := <-arrived; !bytes.Equal(got, want) {
			t.Errorf("%d bytes: %d came, or others", size, len(got))
		}
	}
}

// TestBatchesWithoutAHandlerAreDropped checks that calls go on over a connection whose
// other side does not take batches.
func TestBatchesWithoutAHandlerAreDropped(t *testing.T) {
	peer, err := Dial(t.Context(), listen(t, echo), echo)
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if err := peer.SendBatch(MethodAnswers, []byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := peer.Call(t.Context(), MethodHeartbeat, "x", nil); err != nil {
		t.Error(err)
	}
}
