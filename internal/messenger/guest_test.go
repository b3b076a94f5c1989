package messenger

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/limiter"
)

// startGuestServer starts a server with the budget of a host of the given size. Its calls are
// answered at once, but for "wait", which is answered once the test ends.
func startGuestServer(t *testing.T, size limiter.HostSize) (address string, budget *limiter.Budget) {
	t.Helper()
	budget = limiter.NewBudget(size, limiter.SetLimits{})
	ctx, cancel := context.WithCancel(context.Background())
	handler := func(ctx context.Context, method Method, _ json.RawMessage) (any, error) {
		if method == "wait" {
			<-ctx.Done()
		}
		return "answer", nil
	}
	s, err := Listen("127.0.0.1:0", handler, zap.NewNop(), WithDoor(budget.Door(limiter.DoorPeers)))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return s.listener.Addr().String(), budget
}

func frame(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }

func call(method, params string) string {
	return frame(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":%q,"params":%s}`, method, params))
}

// TestMessagesBeyondTheBudget checks which messages close a connection, that the server answers an
// ordinary call afterwards, and that it gets all memory back.
func TestMessagesBeyondTheBudget(t *testing.T) {
	small := limiter.HostSize{Memory: 8 << 20, Descriptors: 64}
	for name, tc := range map[string]struct {
		text, answer string
	}{
		"ordinary":          {call("a", `"b"`), `"result":"answer"`},
		"declared too much": {"Content-Length: 16000000\r\n\r\n" + strings.Repeat("x", 1<<20), ""},
		"too long":          {call("a", `"`+strings.Repeat("x", 1<<20)+`"`), ""},
		"no JSON":           {frame("{"), ""},
		"many elements":     {call("a", "["+strings.Repeat("1,", 50_000)+"1]"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			address, budget := startGuestServer(t, small)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, tc.text); err != nil && tc.answer != "" {
				t.Fatal(err)
			}
			r := bufio.NewReader(conn)
			got := ""
			for !strings.Contains(got, "}") {
				line, err := r.ReadString('}')
				got += line
				if err != nil {
					break
				}
			}
			if !strings.Contains(got, tc.answer) || (got == "") != (tc.answer == "") {
				t.Errorf("answer %q, want %q", got, tc.answer)
			}
			if turned := budget.TurnedAway()[limiter.DoorPeers][limiter.TurnedMemory]; (turned > 0) == (name == "ordinary" || name == "no JSON") {
				t.Errorf("%d clients turned away", turned)
			}
			checkOrdinaryCall(t, address)
			_ = conn.Close()
			for budget.InUse()[limiter.DoorPeers] != (limiter.Use{}) {
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// TestCallsAheadLeaveRoomForOthers checks that connections over which many calls are sent ahead take a
// part of the server's memory only, and are read again once calls are answered.
func TestCallsAheadLeaveRoomForOthers(t *testing.T) {
	address, budget := startGuestServer(t, limiter.HostSize{Memory: 8 << 20, Descriptors: 64})
	for range 3 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, strings.Repeat(call("a", "1"), 100)+strings.Repeat(call("wait", "1"), 200)); err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(conn)
		for range 100 {
			if _, err := r.ReadString('}'); err != nil {
				t.Fatal(err)
			}
		}
	}
	checkOrdinaryCall(t, address)
	use := budget.InUse()[limiter.DoorPeers].Memory
	if most := limiter.Bytes(8<<20) / 10; use > most || use < 3*minCallsInFlight*callBytes {
		t.Errorf("%d bytes in use, want at most %d and those of the waiting calls", use, most)
	}
}

func checkOrdinaryCall(t *testing.T, address string) {
	t.Helper()
	c := NewClient()
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var out string
	if err := c.Call(ctx, address, "a", "b", &out); err != nil || out != "answer" {
		t.Errorf("an ordinary call: %q, %v", out, err)
	}
}

// TestSilentConnectionsGiveWay checks that connections over which no message has come are closed for
// new ones, and that one over which a message has come stays.
func TestSilentConnectionsGiveWay(t *testing.T) {
	address, budget := startGuestServer(t, limiter.HostSize{Memory: 8 << 20, Descriptors: 64})
	ctx := context.Background()
	noCalls := func(context.Context, Method, json.RawMessage) (any, error) { return nil, nil }
	peer, err := Dial(ctx, address, noCalls)
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	var out string
	if err := peer.Call(ctx, "a", 1, &out); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	checkOrdinaryCall(t, address)
	if err := peer.Call(ctx, "a", 1, &out); err != nil {
		t.Errorf("the proven connection: %v", err)
	}
	if n := budget.TurnedAway()[limiter.DoorPeers][limiter.TurnedEvicted]; n < 100 {
		t.Errorf("%d connections evicted, want most of 200", n)
	}
}
