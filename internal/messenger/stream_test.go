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
	s, err := Listen("127.0.0.1:0", handler, zap.NewNop(), opts...)
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
	return s.Address()
}

func echo(_ context.Context, _ Method, params json.RawMessage) (any, error) { return params, nil }

// TestBatchesAndCallsShareAConnection checks that binary batches arrive complete and in order, in
// both directions, while calls are answered over the same connection.
func TestBatchesAndCallsShareAConnection(t *testing.T) {
	for name, compressed := range map[string]bool{"uncompressed": false, "compressed": true} {
		t.Run(name, func(t *testing.T) { exchangeBatches(t, compressed) })
	}
}

func exchangeBatches(t *testing.T, compressed bool) {
	const batches, calls = 300, 50
	content := func(i int) []byte { return bytes.Repeat([]byte{byte(i), '\r', '\n', 0}, i*i) }
	address := listen(t, echo, WithBatchHandler(func(from Peer, method Method, content []byte) {
		if compressed {
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
	if compressed {
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

// TestMalformedFramesCloseTheirConnection checks that a malformed message closes the connection on
// which it came, and no other.
func TestMalformedFramesCloseTheirConnection(t *testing.T) {
	address := listen(t, echo, WithBatchHandler(func(Peer, Method, []byte) {}))
	tests := map[string]string{
		"no length":                   "Batch-Method: answers\r\n\r\n",
		"length is not a number":      "Content-Length: many\r\n\r\n",
		"negative length":             "Content-Length: -1\r\n\r\n",
		"length too large":            fmt.Sprintf("Content-Length: %d\r\n\r\n", maxFrameBytes+1),
		"invalid JSON":                "Content-Length: 3\r\n\r\n{,}",
		"unterminated line":           strings.Repeat("x", 4*streamBufferBytes),
		"too many headers":            strings.Repeat("a: b\r\n", streamBufferBytes),
		"invalid compressed data":     "Batch-Method: answers\r\nBatch-Unpacked: 9\r\nContent-Length: 3\r\n\r\nabc",
		"truncated data":              "Batch-Method: answers\r\nBatch-Unpacked: 9\r\nContent-Length: 0\r\n\r\n",
		"uncompressed size too large": fmt.Sprintf("Batch-Method: answers\r\nBatch-Unpacked: %d\r\nContent-Length: 0\r\n\r\n", maxFrameBytes+1),
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
				t.Errorf("connection was not closed: %v", err)
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

// TestDeclaredLengthAllocatesNoMemory checks that the length in a header does not make the receiver
// allocate that much memory before the content arrives.
func TestDeclaredLengthAllocatesNoMemory(t *testing.T) {
	const connections = 40
	address := listen(t, echo)
	heapBytes := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heapBytes()
	for range connections {
		raw, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = raw.Close() }()
		if _, err := fmt.Fprintf(raw, "Content-Length: %d\r\n\r\nx", maxFrameBytes); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if after := heapBytes(); after > before+connections*maxFrameBytes/4 {
		t.Errorf("heap grew by %d MB for %d messages of which one byte each has arrived", (after-before)>>20, connections)
	}
}

// TestLargeMessagesArrive checks messages of sizes around initialAllocBytes and up to
// maxFrameBytes.
func TestLargeMessagesArrive(t *testing.T) {
	arrived := make(chan []byte)
	address := listen(t, echo, WithBatchHandler(func(_ Peer, _ Method, content []byte) { arrived <- content }))
	peer, err := Dial(t.Context(), address, echo)
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for _, size := range []int{0, 1, initialAllocBytes - 1, initialAllocBytes, initialAllocBytes + 1, 5 * initialAllocBytes, maxFrameBytes} {
		want := bytes.Repeat([]byte{'x', 0, '\n'}, size/3+1)[:size]
		if err := peer.SendBatch(MethodAnswers, want); err != nil {
			t.Fatal(err)
		}
		if got := <-arrived; !bytes.Equal(got, want) {
			t.Errorf("sent %d bytes, received %d bytes or other content", size, len(got))
		}
	}
}

// TestBatchesWithoutAHandlerAreDropped checks that a batch to a host without a batch handler does
// not disturb the calls over the same connection.
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
