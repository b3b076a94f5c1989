// Package listener creates and runs HTTP servers with common timeouts, body limits and error
// responses.
package listener

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	readTimeout     = 30 * time.Second
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

// limitBody returns a handler that reads the request body and refuses one larger than limit bytes.
// Hertz's own size check would respond with plain text instead of a JSON refusal.
func limitBody(limit int) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if !c.Request.IsBodyStream() {
			c.Next(ctx)
			return
		}
		body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), int64(limit)+1))
		switch {
		case err != nil:
			refuseAndClose(c, consts.StatusBadRequest, refuser.New(refuser.CodeInvalid, "the body ended early: %v", err))
		case len(body) > limit:
			refuseAndClose(c, consts.StatusRequestEntityTooLarge, refuser.New(refuser.CodeTooLarge, "the body is larger than %d bytes", limit))
		default:
			c.Request.SetBody(body)
			c.Next(ctx)
		}
	}
}

// refuseAndClose writes a refusal and closes the connection, which cannot be reused while part of
// the request body is unread.
func refuseAndClose(c *app.RequestContext, status int, r *refuser.Refusal) {
	c.SetConnectionClose()
	WriteRefusal(c, status, r)
	c.Abort()
}

// New returns a server on ln that accepts request bodies of up to maxBody bytes.
func New(ln net.Listener, maxBody int, opts ...config.Option) *server.Hertz {
	options := []config.Option{
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithMaxRequestBodySize(maxBody),
		server.WithStreamBody(true),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
	}
	h := server.New(append(options, opts...)...)
	h.Use(limitBody(maxBody))
	h.NoRoute(notFound)
	return h
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
