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
	// refreshInterval is how often the holders are looked up in the background, so that other
	// hosts are known in case the store refuses this one.
	refreshInterval = 3 * time.Second
	// minRefreshInterval is the minimum time between two lookups.
	minRefreshInterval = 120 * time.Millisecond
	// lookupTimeout bounds one lookup.
	lookupTimeout = 400 * time.Millisecond
)

// MemberName returns the name under which a host joins the group of hosts that hold cells. It
// contains the host's address for calls from other hosts, and its incarnation, which differs
// between restarts of the host.
func MemberName(entry identifier.Entry, incarnation, address string) string {
	return string(entry) + "/" + incarnation + "@" + address
}

// addressOf returns the address in a member name, or "" if there is none.
func addressOf(member string) string {
	_, address, _ := strings.Cut(member, "@")
	return address
}

// Locator caches which host holds which cell, and the addresses of other hosts, as read from the
// store. It is safe for concurrent use.
type Locator struct {
	store  connector.Store
	self   string
	cells  int
	logger *zap.Logger

	mu      sync.Mutex
	holders map[identifier.Cell]string
	owners  []string
	peers   []string
	// lastAttempt is when the last lookup ended; lastSuccess is when the last successful one
	// began.
	lastAttempt time.Time
	lastSuccess time.Time
	// refreshing is a semaphore that allows one lookup at a time.
	refreshing chan struct{}
}

// NewLocator returns a locator without any hosts. Self is the address at which other hosts reach
// this one, and cells the number of cells.
func NewLocator(store connector.Store, self string, cells int, logger *zap.Logger) *Locator {
	return &Locator{store: store, self: self, cells: cells, logger: logger, holders: map[identifier.Cell]string{}, refreshing: make(chan struct{}, 1)}
}

// Run looks the holders up every refreshInterval until ctx ends.
func (l *Locator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.Refresh(ctx)
		sleeper.Pause(ctx, refreshInterval)
	}
	return nil
}

// Holder returns the address of a cell's holder, or "" if it is unknown.
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

// Owners returns the addresses of the group's members that own a partition, one entry for each
// partition.
func (l *Locator) Owners() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.owners)
}

// Peers returns the addresses of other hosts that hold or have held a cell, at most maxPeers.
func (l *Locator) Peers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.peers)
}

// LastLookup returns when the last successful lookup began, or the zero time.
func (l *Locator) LastLookup() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastSuccess
}

// Refresh looks the holders up. Calls in quick succession share one lookup: if the last one has
// just ended, Refresh only waits for half of minRefreshInterval.
func (l *Locator) Refresh(ctx context.Context) {
	if !l.refreshIfDue(ctx) {
		sleeper.Pause(ctx, minRefreshInterval/2)
	}
}

// refreshIfDue looks the holders up unless the last lookup ended less than minRefreshInterval
// ago; done is false in that case. It waits for a lookup in progress.
func (l *Locator) refreshIfDue(ctx context.Context) (done bool) {
	select {
	case l.refreshing <- struct{}{}:
	case <-ctx.Done():
		return true
	}
	defer func() { <-l.refreshing }()
	l.mu.Lock()
	recent := time.Since(l.lastAttempt) < minRefreshInterval
	l.mu.Unlock()
	if recent {
		return false
	}
	startedAt := time.Now()
	owners, err := l.fetchOwners(ctx)
	if err != nil {
		l.logger.Debug("lookup of holders failed", logger.Err(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAttempt = time.Now()
	if err == nil {
		l.lastSuccess = startedAt
		l.setOwners(owners)
	}
	return true
}

func (l *Locator) fetchOwners(ctx context.Context) ([]connector.Ownership, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return l.store.Owners(ctx, elector.Group)
}

// setOwners replaces the holders and owners, and adds new hosts to the peers. Hosts that no
// longer hold a cell stay peers until newer ones displace them.
func (l *Locator) setOwners(owners []connector.Ownership) {
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

// maxPeers bounds the peers that are kept; the newest are kept.
const maxPeers = 12
