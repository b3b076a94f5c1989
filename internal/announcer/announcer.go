// Package announcer exchanges the sizes of hosts through the store, so that the largest hosts can
// hold the cells, which are the shards of the jobs that one host schedules at a time.
package announcer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/catcher"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// topicHosts is the topic with the latest announcement of each host, keyed by host name.
	topicHosts connector.Topic = "hosts"
	// readWait is how long the store may hold a read open until there is a new announcement.
	readWait = 10 * time.Second
	// callTimeout bounds a call to the store, in addition to readWait for reads.
	callTimeout = 1500 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 300 * time.Millisecond
)

// ErrMalformed marks the error of an announcement that cannot be decoded.
var ErrMalformed = errors.New("malformed announcement")

// Announcement is the record that a host stores about itself.
type Announcement struct {
	_ struct{} `cbor:",toarray"`
	// Address is the address for calls from other hosts.
	Address string
	// Cores is the number of processors that the host may use, which may be a fraction.
	Cores float64
}

// Announcer announces this host and keeps the latest announcements of all hosts. It is safe for
// concurrent use.
type Announcer struct {
	name   identifier.Entry
	self   Announcement
	store  connector.Store
	logger *zap.Logger

	mu sync.Mutex
	// hosts holds the latest announcements by host name.
	hosts      map[string]Announcement
	nextOffset identifier.Offset
	// loaded is set once all announcements in the store have been read.
	loaded bool
}

// New returns an announcer for this host, which announces and reads nothing until Run is called.
func New(name identifier.Entry, self Announcement, store connector.Store, log *zap.Logger) *Announcer {
	return &Announcer{name: name, self: self, store: store, logger: log, hosts: map[string]Announcement{}}
}

// Run announces this host once and reads announcements until ctx ends. It retries on errors and
// always returns nil.
func (a *Announcer) Run(ctx context.Context) error {
	source := logger.Dependency{Name: "announcements of hosts", Logger: a.logger}
	announced := false
	for ctx.Err() == nil {
		var err error
		if !announced {
			err = a.announce(ctx)
			announced = err == nil
		}
		if err == nil {
			err = a.follow(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		source.Report(err)
		if err != nil {
			sleeper.Pause(ctx, retryDelay)
		}
	}
	return nil
}

// announce stores this host's announcement, which replaces an earlier one.
func (a *Announcer) announce(ctx context.Context) error {
	value, err := cbor.Marshal(a.self)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = a.store.Append(ctx, connector.KeyedAppend{
		Topic: topicHosts, Records: []connector.KeyedRecord{{Key: string(a.name), Value: value}},
	})
	return err
}

// follow reads the announcements since the last call. At first, and if the store no longer keeps
// records that old, it reads the latest announcements of all hosts instead.
func (a *Announcer) follow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readWait+callTimeout)
	defer cancel()
	a.mu.Lock()
	loaded, from := a.loaded, a.nextOffset
	a.mu.Unlock()
	var result connector.ReadResult
	err := connector.ErrExpired
	if loaded {
		result, err = a.store.Read(ctx, topicHosts, 0, from, readWait)
	}
	if errors.Is(err, connector.ErrExpired) {
		result.Records, result.Next, err = connector.NewestAll(ctx, a.store, topicHosts, 0)
	}
	if err != nil {
		return err
	}
	a.apply(result.Records, result.Next)
	return nil
}

// apply records the announcements that were read; next is the offset of the next read.
// Announcements that cannot be decoded are skipped.
func (a *Announcer) apply(records []connector.KeyedRecord, next identifier.Offset) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loaded, a.nextOffset = true, next
	for _, r := range records {
		host, err := decode(r.Value)
		if err != nil {
			a.logger.Warn("skipped malformed announcement", zap.String("host", r.Key), logger.Err(err))
			continue
		}
		a.hosts[r.Key] = host
	}
}

// decode decodes an announcement; the error is marked ErrMalformed.
func decode(value []byte) (Announcement, error) {
	out, err := catcher.Unmarshal[Announcement](cbor.Unmarshal, value)
	return out, errors.Mark(errors.Wrap(err, "decode announcement"), ErrMalformed)
}

// LargestCores returns the number of cores of the largest host that has been announced, this one
// included; ok is false until all announcements have been read once.
func (a *Announcer) LargestCores() (cores float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cores = a.self.Cores
	for _, h := range a.hosts {
		cores = max(cores, h.Cores)
	}
	return cores, a.loaded
}

// Addresses returns the addresses of all hosts that have been announced, in no particular order.
func (a *Announcer) Addresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]string, 0, len(a.hosts))
	for _, h := range a.hosts {
		out = append(out, h.Address)
	}
	return out
}

// CoresOf returns the number of cores of the host at an address, or zero if it is unknown.
func (a *Announcer) CoresOf(address string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.hosts {
		if h.Address == address {
			return h.Cores
		}
	}
	return 0
}
