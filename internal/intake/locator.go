package intake

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/elector"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// refreshPeriod is how often the holders are looked up without need, so that
	// other hosts are known when the store turns this one away.
	refreshPeriod = 3 * time.Second
	// refreshPause is the least time between two look-ups.
	refreshPause = 120 * time.Millisecond
	// lookupTimeout bounds one look-up.
	lookupTimeout = 400 * time.Millisecond
)

// MemberName returns the name under which a host is a member of the group; it
// carries the address for other hosts' calls and tells its lives apart.
func MemberName(entry identifier.Entry, life, address string) string {
	return string(entry) + "/" + life + "@" + address
}

func addressOf(member string) string {
	_, address, _ := strings.Cut(member, "@")
	return address
}

// Locator knows which host holds which cell, and the addresses of other hosts.
type Locator struct {
	store  connector.Store
	self   string
	cells  int
	logger *zap.Logger

	mu       sync.Mutex
	holders  map[identifier.Cell]string
	owners   []string
	peers    []string
	last     time.Time
	lookedUp time.Time
	busy     chan struct{}
}

// NewLocator returns a locator that knows nobody yet. Self is this host's
// address for other hosts, and cells the number of cells.
func NewLocator(store connector.Store, self string, cells int, logger *zap.Logger) *Locator {
	return &Locator{store: store, self: self, cells: cells, logger: logger, holders: map[identifier.Cell]string{}, busy: make(chan struct{}, 1)}
}

// Run looks the holders up from time to time until ctx ends.
func (l *Locator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.Refresh(ctx)
		sleeper.Pause(ctx, refreshPeriod)
	}
	return nil
}

// Holder returns the address of a cell's holder, or "" if it is not known.
func (l *Locator) Holder(cell identifier.Cell) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holders[cell]
}

// Holders returns the addresses of other hosts that hold cells.
func (l *Locator) Holders() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for cell := range l.cells {
		if a := l.holders[identifier.Cell(cell)]; a != "" && a != l.self && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// Owners returns the addresses of the members of the group that have a part of it.
func (l *Locator) Owners() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.owners)
}

// Peers returns the addresses of the other hosts.
func (l *Locator) Peers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.peers)
}

// LastLookup returns when the holders were last looked up with success.
func (l *Locator) LastLookup() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lookedUp
}

// Refresh looks the holders up. Calls in quick succession share one look-up.
func (l *Locator) Refresh(ctx context.Context) {
	if !l.refresh(ctx) {
		sleeper.Pause(ctx, refreshPause/2)
	}
}

// refresh looks the holders up unless that was done just before.
func (l *Locator) refresh(ctx context.Context) (done bool) {
	select {
	case l.busy <- struct{}{}:
	case <-ctx.Done():
		return true
	}
	defer func() { <-l.busy }()
	l.mu.Lock()
	recent := time.Since(l.last) < refreshPause
	l.mu.Unlock()
	if recent {
		return false
	}
	began := time.Now()
	owners, err := l.lookUp(ctx)
	if err != nil {
		l.logger.Debug("holders cannot be looked up", logger.Err(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = time.Now()
	if err == nil {
		l.lookedUp = began
		l.learn(owners)
	}
	return true
}

func (l *Locator) lookUp(ctx context.Context) ([]connector.Ownership, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return l.store.Owners(ctx, elector.Group)
}

// learn replaces the holders; hosts that hold nothing now stay known as peers
// while they are few.
func (l *Locator) learn(owners []connector.Ownership) {
	clear(l.holders)
	l.owners = nil
	peers := l.peers
	for _, o := range owners {
		address := addressOf(o.Member)
		if address == "" {
			continue
		}
		l.holders[identifier.Cell(o.Partition)] = address
		l.owners = append(l.owners, address)
		if address != l.self && !slices.Contains(peers, address) {
			peers = append(peers, address)
		}
	}
	if len(peers) > maxPeers {
		peers = peers[len(peers)-maxPeers:]
	}
	l.peers = peers
}

// maxPeers bounds the hosts that are remembered; the newest are kept.
const maxPeers = 12
