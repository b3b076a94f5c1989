package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/balsamcove/balsamcove/internal/limiter"
)

// startWaiting starts a server that answers 200 after a time, or 503 if the context of the request ends before.
func startWaiting(t *testing.T, wait time.Duration) (ln *pipeListener, stop func()) {
	t.Helper()
	// A handler that outlasts the server has to end before the paused clock does.
	t.Cleanup(func() { time.Sleep(wait) })
	return serveWith(t, limiter.NewBudget(limiter.HostSize{}, limiter.SetLimits{}), func(ctx context.Context, c *app.RequestContext) {
		select {
		case <-time.After(wait):
			c.SetStatusCode(consts.StatusOK)
		case <-ctx.Done():
			c.SetStatusCode(consts.StatusServiceUnavailable)
		}
	})
}

// ask sends a request and returns the response. Its status is zero if the connection ended without a complete one.
func ask(conn net.Conn) response {
	go func() { _, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n") }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return response{}
	}
	return response{status: resp.StatusCode, closes: resp.Close}
}

// TestStoppingListenerAnswersWhatItHasRead guards against connections that a stopping host closes without an answer
// to a request that it has read: requests that wait for longer than the time left, and those that come on an open
// connection just as the listener stops.
func TestStoppingListenerAnswersWhatItHasRead(t *testing.T) {
	// The library's first response starts a goroutine that never ends, which has to be outside the paused clock.
	exchange(first(startServer(t, limiter.HostSize{})), post("/a", ""), 1)
	tests := map[string]struct {
		// wait is what the request takes, and sentBefore how long before the stop it is sent.
		wait, sentBefore time.Duration
		status           int
	}{
		"takes longer than the time left":               {10 * time.Second, 500 * time.Millisecond, http.StatusServiceUnavailable},
		"read just before the stop":                     {10 * time.Second, 0, http.StatusServiceUnavailable},
		"answered in the time left":                     {500 * time.Millisecond, 0, http.StatusOK},
		"sent just after the stop, on an open one":      {100 * time.Millisecond, -time.Millisecond, http.StatusOK},
		"sent just after the stop, and takes too long":  {10 * time.Second, -time.Millisecond, http.StatusServiceUnavailable},
		"answered before the stop, on an open one":      {0, time.Second, http.StatusOK},
		"takes as long as the time left, without a way": {shutdownTimeout, 0, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ln, stop := startWaiting(t, tt.wait)
				conn := ln.dial()
				defer func() { _ = conn.Close() }()
				time.Sleep(time.Second)
				stopped := time.Now().Add(max(tt.sentBefore, 0))
				defer time.AfterFunc(time.Until(stopped), stop).Stop()
				time.Sleep(-tt.sentBefore)
				resp := ask(conn)
				if resp.status != tt.status {
					t.Fatalf("response %+v, want status %d", resp, tt.status)
				}
				if late := time.Since(stopped); late >= shutdownTimeout {
					t.Errorf("answered %v after the stop, when connections are closed", late)
				}
				if time.Since(stopped) > 0 && !resp.closes {
					t.Error("the last response does not say that the connection is closed")
				}
			})
		})
	}
}

func first[A, B any](a A, _ B) A { return a }
