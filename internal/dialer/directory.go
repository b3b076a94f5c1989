package dialer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// directoryInterval is the pause between two reads of the directory. To start a run, the
	// directory must be no older than the settings allow, one second by default.
	directoryInterval = 200 * time.Millisecond
	// directoryTimeout bounds one read.
	directoryTimeout = time.Second
)

// Directory polls the platform's configuration and list of workers. Its methods are safe for
// concurrent use.
type Directory struct {
	rpc        *messenger.Client
	address    string
	onRead     func(connector.Directory)
	dependency logger.Dependency

	mu      sync.Mutex
	current connector.Directory
}

// NewDirectory returns a Directory that polls the platform at an address and calls onRead after
// each successful read.
func NewDirectory(rpc *messenger.Client, address string, l *zap.Logger, onRead func(connector.Directory)) *Directory {
	return &Directory{rpc: rpc, address: address, onRead: onRead, dependency: logger.Dependency{Name: "directory", Logger: l}}
}

// Current returns the result of the last successful read.
func (d *Directory) Current() connector.Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// Expect implements supervisor.Directory. The next read follows within directoryInterval.
func (d *Directory) Expect(version identifier.ConfigVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current.Expected = max(d.current.Expected, version)
}

// ConfigRecord implements supervisor.Directory; the platform hands out no records.
func (d *Directory) ConfigRecord() (identifier.ConfigVersion, []byte) {
	return d.Current().Version, nil
}

// WatchWorkers does nothing, since the workers are part of every read.
func (*Directory) WatchWorkers() (stop func()) { return func() {} }

// Run polls until ctx ends and returns nil.
func (d *Directory) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.read(ctx)
		sleeper.Pause(ctx, directoryInterval)
	}
	return nil
}

func (d *Directory) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	startedAt := time.Now()
	var next connector.Directory
	err := d.rpc.Call(ctx, d.address, messenger.MethodDirectory, struct{}{}, &next)
	if v := d.Current().Version; err == nil && next.Version < v {
		err = errors.Newf("platform answers with version %d of the configuration after %d", next.Version, v)
	}
	d.dependency.Report(err)
	if err != nil {
		return
	}
	next.ConfigReadAt, next.WorkersReadAt = startedAt, startedAt
	d.mu.Lock()
	next.Expected = d.current.Expected
	d.current = next
	d.mu.Unlock()
	d.onRead(next)
}
