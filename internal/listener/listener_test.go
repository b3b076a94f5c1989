package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// pipeListener is a listener for connections within the process, whose time may be a paused clock.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	l.conns <- theirs
	return ours
}

const testBodyLimit = 64 << 10

// startServer starts a server that answers with the length and the first bytes of the body.
func startServer(t testing.TB, size limiter.HostSize) (*pipeListener, *limiter.Budget) {
	t.Helper()
	budget := limiter.NewBudget(size, limiter.SetLimits{})
	ln, _ := serveWith(t, budget, func(_ context.Context, c *app.RequestContext) {
		body := c.Request.Body()
		c.String(consts.StatusOK, "%s %d %.8s", c.Path(), len(body), body)
	})
	return ln, budget
}

// serveWith starts a server with a handler and a budget of which nothing may be in use after its end. It is stopped
// when the test ends, or before by stop.
func serveWith(t testing.TB, budget *limiter.Budget, handler app.HandlerFunc) (ln *pipeListener, stop func()) {
	t.Helper()
	ln = newPipeListener()
	h := New(ln, testBodyLimit, WithDoor(budget.Door(limiter.DoorFront)))
	h.Any("/*path", handler)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, h) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("serve: %v", err)
		}
		if use := budget.InUse()[limiter.DoorFront]; use != (limiter.Use{}) {
			t.Errorf("in use after the end: %+v", use)
		}
	})
	return ln, cancel
}

// response is a response that was read to its end.
type response struct {
	status int
	header http.Header
	closes bool
	text   string
}

// exchange sends text on a new connection and returns up to n responses.
func exchange(ln *pipeListener, text string, n int) []response {
	conn := ln.dial()
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, text) }()
	r := bufio.NewReader(conn)
	var out []response
	for range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return out
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.Body.Close() != nil {
			return out
		}
		out = append(out, response{resp.StatusCode, resp.Header, resp.Close, string(body)})
	}
	return out
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// TestRefusedRequests checks which requests are refused, and that the refusals say that they have
// not run.
func TestRefusedRequests(t *testing.T) {
	small := limiter.HostSize{Memory: 1 << 20}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 4000, strings.Repeat("x", 4000))
	for name, tc := range map[string]struct {
		size   limiter.HostSize
		text   string
		status int
	}{
		"ordinary":            {limiter.HostSize{}, post("/a", "body"), 200},
		"without a body":      {limiter.HostSize{}, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", 200},
		"largest body":        {limiter.HostSize{}, post("/a", strings.Repeat("x", testBodyLimit)), 200},
		"chunks":              {limiter.HostSize{}, "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 3) + "0\r\n\r\n", 200},
		"large header":        {limiter.HostSize{}, "GET /a HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("b", 12<<10) + "\r\n\r\n", 200},
		"declared too large":  {limiter.HostSize{}, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a\r\ncontent-LENGTH:  %d\r\n\r\n", testBodyLimit+1), 413},
		"chunks too large":    {limiter.HostSize{}, "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 20), 413},
		"header without end":  {limiter.HostSize{}, "GET /a HTTP/1.1\r\nX-A: " + strings.Repeat("b", maxHeaderBytes), 431},
		"many header lines":   {limiter.HostSize{}, "GET /a HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", maxHeaderLines+1), 431},
		"no memory for it":    {limiter.HostSize{Memory: 1 << 17}, post("/a", "body"), 503},
		"no memory for body":  {small, post("/a", strings.Repeat("x", testBodyLimit)), 503},
		"no memory in chunks": {small, "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 16), 503},
	} {
		t.Run(name, func(t *testing.T) {
			ln, _ := startServer(t, tc.size)
			got := exchange(ln, tc.text, 1)
			if len(got) != 1 || got[0].status != tc.status {
				t.Fatalf("responses %+v, want status %d", got, tc.status)
			}
			if tc.status == consts.StatusOK {
				return
			}
			if effect := got[0].header.Get(refuser.HeaderEffect); effect != string(refuser.NotRun) || !got[0].closes {
				t.Errorf("effect %q, connection closed %v", effect, got[0].closes)
			}
			if wait := got[0].header.Get("Retry-After"); (wait != "") != (tc.status == consts.StatusServiceUnavailable) {
				t.Errorf("Retry-After %q with status %d", wait, tc.status)
			}
		})
	}
}

// TestRequestsAheadAreAnsweredInOrder checks that requests sent ahead, with bodies of all sizes, are
// told apart.
func TestRequestsAheadAreAnsweredInOrder(t *testing.T) {
	ln, _ := startServer(t, limiter.HostSize{})
	var text strings.Builder
	sizes := []int{0, 1, 1000, 4096, 8191, 8192, 8193, 12_000, 16 << 10, 40_000, testBodyLimit, 3, 0, 9000, 0}
	for n, size := range sizes {
		text.WriteString(post(fmt.Sprintf("/%d", n), strings.Repeat(string(rune('a'+n)), size)))
	}
	got := exchange(ln, text.String(), len(sizes))
	if len(got) != len(sizes) {
		t.Fatalf("%d responses, want %d", len(got), len(sizes))
	}
	for n, size := range sizes {
		want := fmt.Sprintf("/%d %d %s", n, size, strings.Repeat(string(rune('a'+n)), min(size, 8)))
		if got[n].text != want {
			t.Errorf("response %d is %q, want %q", n, got[n].text, want)
		}
	}
}

// TestSlowClients checks that a client that sends its request slowly, or reads its response slowly,
// is served if it takes less than the time for a transfer, and that a client that stops is closed.
func TestSlowClients(t *testing.T) {
	request := post("/a", "a body in pieces")
	// The library's first response starts a goroutine that never ends, which has to be outside the
	// paused clock.
	ln, _ := startServer(t, limiter.HostSize{})
	exchange(ln, request, 1)
	for name, tc := range map[string]struct {
		// pause is the time before each piece of the request; sent is how much of it comes.
		pause      time.Duration
		sent       int
		readsAfter time.Duration
		served     bool
	}{
		"in pieces":              {200 * time.Millisecond, len(request), 0, true},
		"reads late":             {0, len(request), 20 * time.Second, true},
		"reads never":            {0, len(request), time.Hour, false},
		"stops in the header":    {0, 20, 0, false},
		"stops in the body":      {0, len(request) - 1, 0, false},
		"sends slower than that": {time.Second, len(request), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ln, budget := startServer(t, limiter.HostSize{})
				conn := ln.dial()
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					for i := range tc.sent {
						time.Sleep(tc.pause)
						if _, err := conn.Write([]byte{request[i]}); err != nil {
							return
						}
					}
				}()
				time.Sleep(tc.readsAfter)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if served := err == nil && resp.StatusCode == http.StatusOK; served != tc.served {
					t.Errorf("served %v, want %v; error %v", served, tc.served, err)
				}
				if err == nil {
					_ = resp.Body.Close()
				}
				if !tc.served && budget.InUse()[limiter.DoorFront].Memory > 2*maxHeaderBytes {
					t.Errorf("%+v in use after the client was given up", budget.InUse())
				}
				_ = conn.Close()
				<-sent
			})
		})
	}
}

// TestReadinessAnswersWhileConnectionsAreFull checks that a new client is served although silent
// ones have all connections.
func TestReadinessAnswersWhileConnectionsAreFull(t *testing.T) {
	ln, budget := startServer(t, limiter.HostSize{Memory: 1 << 20, Descriptors: 1})
	for range 100 {
		conn := ln.dial()
		t.Cleanup(func() { _ = conn.Close() })
	}
	if got := exchange(ln, post("/a", "b"), 1); len(got) != 1 || got[0].status != http.StatusOK {
		t.Errorf("responses %+v, want 200", got)
	}
	if n := budget.TurnedAway()[limiter.DoorFront][limiter.TurnedEvicted]; n < 50 {
		t.Errorf("%d connections evicted, want most of 100", n)
	}
}

// FuzzRequests sends any bytes, in pieces of any size, to a server with a budget. The process has to
// live, to give everything back, and to answer an ordinary request afterwards.
func FuzzRequests(f *testing.F) {
	chunked := "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
	for _, seed := range []string{
		post("/a", "body") + post("/b", ""), "GET / HTTP/1.1\r\n\r\n", "\r\n\r\n", "GET\n\n", post("/a", strings.Repeat("x", 9000)) + post("/b", "c"),
		chunked + "\r\n3\r\nabc\r\n0\r\n\r\n", chunked + "Trailer: X\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n", chunked + "\r\nffffffffffffffff\r\na", chunked + "\r\n0\r\n" + strings.Repeat("X: y\r\n", 100),
		chunked + "\r\n-1\r\n", chunked + "Content-Length: 3\r\n\r\nabc", "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", "POST /a HTTP/1.1\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: 5\r\n\r\n--b--",
		"HEAD /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /b HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nX: a\r\n b\r\n\r\n",
	} {
		f.Add([]byte(seed), uint8(255))
		f.Add([]byte(seed), uint8(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		ln, _ := startServer(t, limiter.HostSize{Memory: 4 << 20})
		conn := ln.dial()
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			_, _ = io.Copy(io.Discard, conn)
		}()
		for part := range slicesOf(text, int(piece)+1) {
			if _, err := conn.Write(part); err != nil {
				break
			}
		}
		_ = conn.Close()
		<-drained
		if got := exchange(ln, post("/a", "b"), 1); len(got) != 1 || got[0].status != http.StatusOK {
			t.Errorf("responses %+v, want 200", got)
		}
	})
}

// slicesOf returns the parts of n bytes of a text.
func slicesOf(text []byte, n int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(text) > 0 && yield(text[:min(n, len(text))]) {
			text = text[min(n, len(text)):]
		}
	}
}

// BenchmarkRequest measures an ordinary request on an open connection.
func BenchmarkRequest(b *testing.B) {
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	h := New(ln, 1<<20)
	h.Any("/*path", func(_ context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, struct{ N int }{len(c.Request.Body())})
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, h) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	text := []byte(post("/plan/5c0e7a21d94b0001", strings.Repeat("x", 300)))
	buf := make([]byte, 4096)
	for b.Loop() {
		if _, err := conn.Write(text); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
	_ = conn.Close()
	cancel()
	if err := <-ended; err != nil {
		b.Error(err)
	}
}
