// Package announcer tells the other hosts how large this one is, and learns how large
// they are, so that the largest hosts hold the cells.
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
	// topicHosts holds the newest announcement of each host.
	topicHosts connector.Topic = "hosts"
	// newsWait is how long a read waits for an announcement.
	newsWait = 10 * time.Second
	// callTimeout bounds a call of the store beyond that.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 300 * time.Millisecond
)

// ErrRecord marks bytes that are no announcement.
var ErrRecord = errors.New("malformed announcement")

// Announcement is what a host says of itself.
type Announcement struct {
	_ struct{} `cbor:",toarray"`
	// Address is that for calls of other hosts.
	Address string
	// Cores is the host's share of processors.
	Cores float64
}

// Announcer is this host's part in the announcements.
type Announcer struct {
	name   identifier.Entry
	self   Announcement
	store  connector.Store
	logger *zap.Logger

	mu    sync.Mutex
	known map[string]Announcement
	next  identifier.Offset
	read  bool
}

// New returns an announcer that has neither said nor learned anything.
func New(name identifier.Entry, self Announcement, store connector.Store, log *zap.Logger) *Announcer {
	return &Announcer{name: name, self: self, store: store, logger: log, known: map[string]Announcement{}}
}

// Run announces this host and follows the announcements of others until ctx ends.
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
			sleeper.Pause(ctx, retryPause)
		}
	}
	return nil
}

// announce stores this host's announcement; a repeat replaces it.
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

// follow reads announcements: all of them at first and after the store has forgotten
// its history, otherwise the news.
func (a *Announcer) follow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, newsWait+callTimeout)
	defer cancel()
	a.mu.Lock()
	read, from := a.read, a.next
	a.mu.Unlock()
	var news connector.ReadResult
	err := connector.ErrExpired
	if read {
		news, err = a.store.Read(ctx, topicHosts, 0, from, newsWait)
	}
	if errors.Is(err, connector.ErrExpired) {
		news.Records, news.Next, err = connector.NewestAll(ctx, a.store, topicHosts, 0)
	}
	if err != nil {
		return err
	}
	a.learn(news.Records, news.Next)
	return nil
}

func (a *Announcer) learn(records []connector.KeyedRecord, next identifier.Offset) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.read, a.next = true, next
	for _, r := range records {
		host, err := decode(r.Value)
		if err != nil {
			a.logger.Warn("announcement skipped", zap.String("host", r.Key), logger.Err(err))
			continue
		}
		a.known[r.Key] = host
	}
}

func decode(value []byte) (Announcement, error) {
	out, err := catcher.Unmarshal[Announcement](cbor.Unmarshal, value)
	return out, errors.Mark(errors.Wrap(err, "decode announcement"), ErrRecord)
}

// LargestCores returns the size of the largest host that was ever announced; ok is false
// before the first read.
func (a *Announcer) LargestCores() (cores float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cores = a.self.Cores
	for _, h := range a.known {
		cores = max(cores, h.Cores)
	}
	return cores, a.read
}

// CoresOf returns the size of the host at an address, or zero if it is not known.
func (a *Announcer) CoresOf(address string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.known {
		if h.Address == address {
			return h.Cores
		}
	}
	return 0
}
