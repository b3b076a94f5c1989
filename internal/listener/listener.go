// Package listener creates and runs HTTP servers with common timeouts, body limits and error
// responses.
package listener

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// idleTimeout is how long a connection may wait for its next request.
	idleTimeout     = 60 * time.Second
	shutdownTimeout = time.Second
)

func init() {
	// Hertz logs lines that are not JSON and duplicate this program's own log.
	hlog.SetLevel(hlog.LevelFatal)
}

// notFound responds with a refusal to requests that match no route.
func notFound(_ context.Context, c *app.RequestContext) {
	WriteRefusal(c, consts.StatusNotFound, refuser.New(refuser.CodeNotFound, "there is no path %q", c.Path()))
}

// WriteRefusal writes a refusal as a JSON response with the given HTTP status, and its effect as a
// header.
func WriteRefusal(c *app.RequestContext, status int, r *refuser.Refusal) {
	c.Header(refuser.HeaderEffect, string(r.Effect))
	c.JSON(status, r)
}

// HTTPStatus returns the HTTP status for a refused job request. 504 Gateway Timeout is used only
// for refusals of unknown effect, after which the job may still run.
func HTTPStatus(r *refuser.Refusal) int {
	switch {
	case r.Effect == refuser.Unknown:
		return consts.StatusGatewayTimeout
	case r.Code == refuser.CodeNotFound:
		return consts.StatusNotFound
	case r.Code == refuser.CodeUnauthenticated:
		return consts.StatusUnauthorized
	case r.Code == refuser.CodeInvalid || r.Code == refuser.CodeNeverFits:
		return consts.StatusBadRequest
	case r.Code == refuser.CodeOverloaded:
		return consts.StatusTooManyRequests
	default:
		return consts.StatusServiceUnavailable
	}
}

// WithDoor gives a server a share of its host's budget; without it, the server has a budget of its
// own.
func WithDoor(door *limiter.Door) config.Option { return server.WithTransport(newTransporter(door)) }

// New returns a server on ln that accepts request bodies of up to maxBody bytes.
func New(ln net.Listener, maxBody int, opts ...config.Option) *server.Hertz {
	options := []config.Option{
		server.WithListener(ln),
		WithDoor(limiter.NewBudget(limiter.HostSize{}, limiter.SetLimits{}).Door(limiter.DoorFront)),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithMaxRequestBodySize(maxBody),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithStreamBody(true),
		// The library would read a whole form before a handler runs.
		server.WithDisablePreParseMultipartForm(true),
		// The library returns a connection after each request.
		server.WithIdleTimeout(0),
	}
	h := server.New(append(options, opts...)...)
	h.Use(closeWhenStopping, readBody(maxBody))
	h.NoRoute(notFound)
	return h
}

// closeWhenStopping tells clients that get an answer during a shutdown that their connection is closed.
func closeWhenStopping(ctx context.Context, c *app.RequestContext) {
	c.Next(ctx)
	if conn, ok := c.GetConn().(*conn); ok && conn.stopping() {
		c.SetConnectionClose()
	}
}

// Listen opens a TCP listener on an address of the form host:port. Its Accept retries until the
// listener is closed, so that a server does not stop on a failed accept.
func Listen(address string) (net.Listener, error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &retryingListener{Listener: ln, closed: make(chan struct{})}, nil
}

// Run serves until ctx is done, and then shuts the server down. It returns an error only if the
// server fails before that.
func Run(ctx context.Context, h *server.Hertz) error {
	failed := make(chan error, 1)
	go func() { failed <- h.Run() }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = h.Shutdown(shutdownCtx)
		return nil
	}
}
