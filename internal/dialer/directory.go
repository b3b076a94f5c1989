package dialer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
)

const (
	// directoryPeriod is how often a directory is read; a start needs one that is
	// not older than the settings allow, a second by default.
	directoryPeriod = 200 * time.Millisecond
	// directoryTimeout bounds one read.
	directoryTimeout = time.Second
)

// Directory reads configuration and workers from time to time. Its methods are safe
// for concurrent use.
type Directory struct {
	rpc     *messenger.Client
	address string
	changed func(connector.Directory)
	source  logger.Dependency

	mu  sync.Mutex
	now connector.Directory
}

// NewDirectory returns the directory at an address; changed is called after each
// read.
func NewDirectory(rpc *messenger.Client, address string, l *zap.Logger, changed func(connector.Directory)) *Directory {
	return &Directory{rpc: rpc, address: address, changed: changed, source: logger.Dependency{Name: "directory", Logger: l}}
}

// Current returns what was last read.
func (d *Directory) Current() connector.Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now
}

// WatchWorkers does nothing: workers are read at all times.
func (*Directory) WatchWorkers() (stop func()) { return func() {} }

// Run reads until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.read(ctx)
		sleeper.Pause(ctx, directoryPeriod)
	}
	return nil
}

func (d *Directory) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	began := time.Now()
	var next connector.Directory
	err := d.rpc.Call(ctx, d.address, messenger.MethodDirectory, struct{}{}, &next)
	d.source.Report(err)
	if err != nil {
		return
	}
	next.ConfigReadAt, next.WorkersReadAt = began, began
	d.mu.Lock()
	d.now = next
	d.mu.Unlock()
	d.changed(next)
}
