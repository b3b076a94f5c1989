// Package listener runs HTTP servers with the settings that all of them share.
package listener

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cockroachdb/errors"
)

const (
	readTimeout  = 30 * time.Second
	idleTimeout  = 60 * time.Second
	shutdownWait = time.Second
)

// New returns a server on an open listener that accepts bodies up to maxBody
// bytes.
func New(ln net.Listener, maxBody int, opts ...config.Option) *server.Hertz {
	hlog.SetLevel(hlog.LevelFatal)
	all := []config.Option{
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(shutdownWait),
		server.WithMaxRequestBodySize(maxBody),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
	}
	return server.New(append(all, opts...)...)
}

// Listen opens a TCP listener.
func Listen(address string) (net.Listener, error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", address)
	return ln, errors.Wrapf(err, "listen on %s", address)
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
