// Package sharder makes all hosts of a deployment agree on the number of cells, the shards into
// which its jobs and workers are divided. Each cell is scheduled by one host at a time, so that
// the number depends on how many workers a host can schedule. Once stored it never changes.
package sharder

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dispatcher"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// topicLayout is the topic of the layout record and of the claim to decide on it.
const topicLayout connector.Topic = "layout"

const (
	// keyCells is the key of the layout record.
	keyCells = "cells"
	// keyClaim is the key of the claim record. Only the host with the newest claim counts the
	// workers, so that not all hosts read the list of workers at the same time.
	keyClaim = "claim"

	// claimTTL is how long a claim is valid without renewal, and renewalsPerTTL how often its
	// host renews it in that time.
	claimTTL       = 4 * time.Second
	renewalsPerTTL = 4

	// WorkersPerCell is the maximum number of workers of a cell, unless MaxCells or minPerKind
	// allows no more cells. With 1,800 workers the processor of the cell's host limits the rate
	// of task starts (docs/CAPACITY.md).
	WorkersPerCell = 900
	// minPerKind is the minimum number of workers of each kind per cell on average. Workers are
	// assigned to cells by a hash of their identity, which leaves some cells with a third less.
	minPerKind = 100
	// MaxCells is the maximum number of cells: each is a partition of the store's topics.
	MaxCells = 12

	// storeTimeout is the timeout of a group of store calls that belong together.
	storeTimeout = 3 * time.Second
	// pollInterval is the time between two attempts, and between two counts of the workers.
	// While a large deployment starts, many workers report for the first time within it.
	pollInterval = 300 * time.Millisecond
	// stableCounts is the number of counts without a new worker after which all workers are
	// taken to have reported: 1.2 s, longer than the interval between two reports of a worker.
	stableCounts = 4
	// maxCounts is the number of counts after which the layout is decided in any case. They take
	// 9 s; workers report about once a second, from some 4 s after the start of the hosts.
	maxCounts = 30
)

// ErrLayout marks errors about a layout record that cannot be decoded or is out of range.
var ErrLayout = errors.New("layout cannot be used")

// layout is the layout record in the store.
type layout struct {
	Cells int `cbor:"1,keyasint"`
}

// WorkerCounts holds the counts of workers in a deployment.
type WorkerCounts struct {
	// Total is the number of workers of all services, and SmallestKind that of the smallest kind
	// of worker. A kind is a service, or a label within a service that a step may require.
	Total, SmallestKind int
}

// Sharder reads the number of cells from the store, or decides it if none is stored yet.
type Sharder struct {
	store        connector.Store
	countWorkers func(context.Context) (WorkerCounts, error)
	delay        time.Duration
	logger       *zap.Logger
	// token identifies this host's claims.
	token  string
	counts countTracker
	// claimedAt is when this host last stored its claim.
	claimedAt time.Time
	// rivalOffset is the offset of another host's newest claim, first read at rivalSince.
	rivalOffset identifier.Offset
	rivalSince  time.Time
}

// Option changes a new sharder.
type Option func(*Sharder)

// WithDelay sets how long a host waits for another one to decide before it takes part itself,
// so that not all hosts read the list of workers. The default is not to wait.
func WithDelay(d time.Duration) Option { return func(s *Sharder) { s.delay = d } }

// New returns a sharder; count returns the current counts of workers.
func New(store connector.Store, count func(context.Context) (WorkerCounts, error), logger *zap.Logger, opts ...Option) *Sharder {
	s := &Sharder{store: store, countWorkers: count, logger: logger, token: rand.Text()}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Agree returns the number of cells, which is the same on all hosts. It blocks until a layout is
// stored, and retries failed calls of the store. When ctx ends it returns ctx's error.
func (s *Sharder) Agree(ctx context.Context) (int, error) {
	dependency := logger.Dependency{Name: "layout of cells", Logger: s.logger}
	delayed := false
	for ctx.Err() == nil {
		st, err := s.readState(ctx)
		switch {
		case err != nil:
		case st.cells > 0:
			dependency.Report(nil)
			s.logger.Info("layout in force", zap.Int("cells", st.cells))
			return st.cells, nil
		case !delayed:
			delayed = true
			s.waitForChange(ctx, st.end, s.delay)
			continue
		case st.claimant == s.token:
			err = s.propose(ctx, st.end)
		case s.mayClaim(st):
			err = s.claim(ctx, st.end)
		default:
			s.waitForChange(ctx, st.end, claimTTL/renewalsPerTTL)
			continue
		}
		// A conflict only shows that another host has written to the topic.
		if errors.Is(err, connector.ErrConflict) {
			err = nil
		}
		dependency.Report(err)
		sleeper.Pause(ctx, pollInterval)
	}
	return 0, errors.Wrap(ctx.Err(), "agree on cells")
}

// waitForChange returns when a record is appended at the end of the topic, or after wait.
func (s *Sharder) waitForChange(ctx context.Context, end identifier.Offset, wait time.Duration) {
	began := time.Now()
	if _, err := s.store.Read(ctx, topicLayout, 0, end, wait); err != nil {
		sleeper.Pause(ctx, wait-time.Since(began))
	}
}

// topicState is the content of topicLayout.
type topicState struct {
	// cells is zero before the layout is stored.
	cells int
	// claimant is the token of the newest claim, found at claimOffset; empty without a claim.
	claimant    string
	claimOffset identifier.Offset
	// end is the offset that the next record will get.
	end identifier.Offset
}

// readState reads topicLayout from the store. The error is marked ErrLayout if the layout record
// cannot be used.
func (s *Sharder) readState(ctx context.Context) (st topicState, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, end, err := connector.NewestAll(ctx, s.store, topicLayout, 0)
	st.end = end
	for _, r := range records {
		switch r.Key {
		case keyCells:
			st.cells, err = decodeLayout(r.Value)
		case keyClaim:
			st.claimant, st.claimOffset = string(r.Value), r.Offset
		}
	}
	return st, err
}

// mayClaim reports whether this host may claim the decision: no other host has a claim, or its
// claim has not been renewed for claimTTL as measured by this host's clock.
func (s *Sharder) mayClaim(st topicState) bool {
	if st.claimant == "" {
		return true
	}
	if s.rivalSince.IsZero() || st.claimOffset != s.rivalOffset {
		s.rivalOffset, s.rivalSince = st.claimOffset, time.Now()
	}
	return time.Since(s.rivalSince) > claimTTL
}

// claim stores or renews this host's claim. It fails with ErrConflict if another host has
// written to the topic since end.
func (s *Sharder) claim(ctx context.Context, end identifier.Offset) error {
	s.claimedAt = time.Now()
	return s.append(ctx, end, connector.KeyedRecord{Key: keyClaim, Value: []byte(s.token)})
}

// append stores a record if the topic still ends at end, and returns ErrConflict otherwise.
func (s *Sharder) append(ctx context.Context, end identifier.Offset, r connector.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.store.Append(ctx, connector.KeyedAppend{Topic: topicLayout, ExpectedEnd: &end, Records: []connector.KeyedRecord{r}})
	return err
}

// decodeLayout returns the number of cells in a layout record; the error is marked ErrLayout.
func decodeLayout(value []byte) (int, error) {
	var l layout
	if err := cbor.Unmarshal(value, &l); err != nil {
		return 0, errors.Mark(errors.Wrap(err, "decode layout"), ErrLayout)
	}
	if l.Cells < 1 || l.Cells > MaxCells {
		return 0, errors.Mark(errors.Newf("layout has %d cells", l.Cells), ErrLayout)
	}
	return l.Cells, nil
}

// propose stores the layout once the count of workers is stable, and renews this host's claim
// until then. It returns ErrConflict if another host has written to the topic since end.
func (s *Sharder) propose(ctx context.Context, end identifier.Offset) error {
	cells, err := s.chooseCellCount(ctx)
	if err != nil {
		return err
	}
	if cells == 0 {
		if time.Since(s.claimedAt) < claimTTL/renewalsPerTTL {
			return nil
		}
		return s.claim(ctx, end)
	}
	value, err := cbor.Marshal(layout{cells})
	if err != nil {
		return errors.Wrap(err, "encode layout")
	}
	return s.append(ctx, end, connector.KeyedRecord{Key: keyCells, Value: value})
}

// chooseCellCount returns the number of cells for the current workers, or zero while their count
// still grows. A deployment that already has jobs or a holder comes from a release without
// layouts, which has a single cell and of which hosts may still be running: it keeps that cell.
func (s *Sharder) chooseCellCount(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, topic := range []connector.Topic{intake.TopicInbox, dispatcher.TopicWork} {
		page, err := s.store.Newest(ctx, topic, 0, "")
		if err != nil {
			return 0, err
		}
		if page.End > 0 {
			return 1, nil
		}
	}
	workers, err := s.countWorkers(ctx)
	if err != nil || !s.counts.observe(workers.Total) {
		return 0, err
	}
	cells := CellsFor(workers)
	s.logger.Info("layout proposed", zap.Int("workers", workers.Total), zap.Int("fewestOfAKind", workers.SmallestKind), zap.Int("cells", cells))
	return cells, nil
}

// countTracker detects when the count of workers has stopped growing. The workers of a
// deployment that starts become known one by one, each with its first report.
type countTracker struct {
	// taken is the number of counts so far, and unchanged the number of them since the highest
	// one was first seen.
	taken, unchanged int
	highest          int
}

// observe adds a count and reports whether no more workers are expected.
func (c *countTracker) observe(workers int) bool {
	c.taken++
	c.unchanged++
	if workers > c.highest {
		c.highest, c.unchanged = workers, 0
	}
	return c.highest > 0 && c.unchanged >= stableCounts || c.taken >= maxCounts
}

// CellsFor returns the number of cells for the given workers, at least one. A job runs on the workers
// of its own cell and those that others lend it, so that each cell needs workers of each kind.
func CellsFor(w WorkerCounts) int {
	return max(min((w.Total+WorkersPerCell-1)/WorkersPerCell, w.SmallestKind/minPerKind, MaxCells), 1)
}
