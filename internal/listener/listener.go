// Package listener runs HTTP servers with the settings that all of them share.
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
	readTimeout  = 30 * time.Second
	idleTimeout  = 60 * time.Second
	shutdownWait = time.Second
)

func init() {
	// The library's own lines are not JSON and repeat what this program logs.
	hlog.SetLevel(hlog.LevelFatal)
}

// notFound answers a path that no route has.
func notFound(_ context.Context, c *app.RequestContext) {
	WriteRefusal(c, consts.StatusNotFound, refuser.New(refuser.CodeNotFound, "there is no path %q", c.Path()))
}

// WriteRefusal answers with a refusal under an HTTP status.
func WriteRefusal(c *app.RequestContext, status int, r *refuser.Refusal) {
	c.Header(refuser.HeaderEffect, string(r.Effect))
	c.JSON(status, r)
}

// HTTPStatus returns the HTTP status of a refusal about a job. Only one of unknown
// effect tells that the job may run.
func HTTPStatus(r *refuser.Refusal) int {
	switch {
	case r.Effect == refuser.Unknown:
		return consts.StatusGatewayTimeout
	case r.Code == refuser.CodeNotFound:
		return consts.StatusNotFound
	case r.Code == refuser.CodeInvalid:
		return consts.StatusBadRequest
	case r.Code == refuser.CodeOverloaded:
		return consts.StatusTooManyRequests
	default:
		return consts.StatusServiceUnavailable
	}
}

// readBody reads a request's body up to a limit, so that a larger one gets a
// refusal; the library would answer with plain text.
func readBody(limit int) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if !c.Request.IsBodyStream() {
			c.Next(ctx)
			return
		}
		body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), int64(limit)+1))
		switch {
		case err != nil:
			refuse(c, consts.StatusBadRequest, refuser.New(refuser.CodeInvalid, "the body ended early: %v", err))
		case len(body) > limit:
			refuse(c, consts.StatusRequestEntityTooLarge, refuser.New(refuser.CodeTooLarge, "the body is larger than %d bytes", limit))
		default:
			c.Request.SetBody(body)
			c.Next(ctx)
		}
	}
}

// refuse answers before the body was read, after which the connection cannot be
// used any further.
func refuse(c *app.RequestContext, status int, r *refuser.Refusal) {
	c.SetConnectionClose()
	WriteRefusal(c, status, r)
	c.Abort()
}

// New returns a server on an open listener that accepts bodies up to maxBody
// bytes.
func New(ln net.Listener, maxBody int, opts ...config.Option) *server.Hertz {
	all := []config.Option{
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(shutdownWait),
		server.WithMaxRequestBodySize(maxBody),
		server.WithStreamBody(true),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
	}
	h := server.New(append(all, opts...)...)
	h.Use(readBody(maxBody))
	h.NoRoute(notFound)
	return h
}

// Listen opens a TCP listener.
func Listen(address string) (net.Listener, error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &persistent{Listener: ln, closed: make(chan struct{})}, nil
}

// Run serves until ctx ends.
func Run(ctx context.Context, h *server.Hertz) error {
	failed := make(chan error, 1)
	go func() { failed <- h.Run() }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		short, cancel := context.WithTimeout(context.Background(), shutdownWait)
		defer cancel()
		_ = h.Shutdown(short)
		return nil
	}
}
