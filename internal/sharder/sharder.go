// Package sharder agrees, for all hosts of a deployment and for good, on how many cells its
// jobs and workers are split into. One host decides for each cell, so that the number
// follows from how many workers one decides for.
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

// topicLayout holds the layout, which the host that claimed to count the workers decides.
const topicLayout connector.Topic = "layout"

const (
	keyCells = "cells"
	// keyClaim is the key of the claim of the host that counts the workers, so that not all
	// hosts read their list at the same time.
	keyClaim = "claim"

	// claimLife is for how long a claim holds that is not renewed, and claimRenewals how
	// often it is renewed meanwhile.
	claimLife     = 4 * time.Second
	claimRenewals = 4

	// WorkersPerCell is how many workers one host decides for: with 1,800 its processor
	// bounds the starts a second (docs/CAPACITY.md).
	WorkersPerCell = 900
	// leastOfAKind is how many workers of each kind a cell has on the average at least: some
	// have a third less, as their identities are dealt.
	leastOfAKind = 100
	// MaxCells bounds the cells: each is a partition of the store's topics.
	MaxCells = 12

	// storeTimeout bounds the calls of the store that belong together.
	storeTimeout = 3 * time.Second
	// pause is the time between two tries, and between two counts of the workers: while a
	// large deployment starts, many report within it.
	pause = 300 * time.Millisecond
	// calmCounts is after how many counts without a new worker no more are waited for: those
	// of 1.2 s, longer than workers take from one report to the next.
	calmCounts = 4
	// maxCounts bounds the counts; workers report about once a second, some 4 s after the
	// hosts have started.
	maxCounts = 30
)

// ErrLayout marks a record of the layout that cannot be used.
var ErrLayout = errors.New("layout cannot be used")

// layout is the record.
type layout struct {
	Cells int `cbor:"1,keyasint"`
}

// WorkerCounts counts those of a deployment.
type WorkerCounts struct {
	// Total are those of all services, Fewest those of the kind of worker that there are the
	// fewest of: a service, or a label in it that a step may require.
	Total, SmallestKind int
}

// Sharder finds the number of cells in the store, or decides it.
type Sharder struct {
	store  connector.Store
	count  func(context.Context) (WorkerCounts, error)
	delay  time.Duration
	logger *zap.Logger
	// token tells this host's claims from those of others.
	token string
	seen  census
	// claimedAt is when this host last claimed; the last claim of another host stands at
	// rivalAt and is known since rivalSince.
	claimedAt  time.Time
	rivalAt    identifier.Offset
	rivalSince time.Time
}

// Option changes a new sharder.
type Option func(*Sharder)

// WithDelay sets for how long a host leaves the decision to others, so that not all of
// them read the list of workers.
func WithDelay(d time.Duration) Option { return func(s *Sharder) { s.delay = d } }

// New returns a sharder; count tells how many workers there are now.
func New(store connector.Store, count func(context.Context) (WorkerCounts, error), logger *zap.Logger, opts ...Option) *Sharder {
	s := &Sharder{store: store, count: count, logger: logger, token: rand.Text()}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Agree returns the number of cells, the same on all hosts. It tries until the store says
// so or ctx ends, whose error it returns then.
func (s *Sharder) Agree(ctx context.Context) (int, error) {
	source := logger.Dependency{Name: "layout of cells", Logger: s.logger}
	waited := false
	for ctx.Err() == nil {
		st, err := s.find(ctx)
		switch {
		case err != nil:
		case st.cells > 0:
			source.Report(nil)
			s.logger.Info("layout in force", zap.Int("cells", st.cells))
			return st.cells, nil
		case !waited:
			waited = true
			s.waitForNews(ctx, st.end, s.delay)
			continue
		case st.claimant == s.token:
			err = s.propose(ctx, st.end)
		case s.mayClaim(st):
			err = s.claim(ctx, st.end)
		default:
			s.waitForNews(ctx, st.end, claimLife/claimRenewals)
			continue
		}
		if errors.Is(err, connector.ErrConflict) {
			err = nil
		}
		source.Report(err)
		sleeper.Pause(ctx, pause)
	}
	return 0, errors.Wrap(ctx.Err(), "agree on cells")
}

// waitForNews returns when a record follows the end of the topic, or after a time.
func (s *Sharder) waitForNews(ctx context.Context, end identifier.Offset, wait time.Duration) {
	began := time.Now()
	if _, err := s.store.Read(ctx, topicLayout, 0, end, wait); err != nil {
		sleeper.Pause(ctx, wait-time.Since(began))
	}
}

// status is what the topic of the layout holds.
type status struct {
	// cells is zero before the layout is stored.
	cells int
	// claimant is the host that counts the workers, by its newest claim; empty if none does.
	claimant string
	claimAt  identifier.Offset
	end      identifier.Offset
}

// find returns what is stored.
func (s *Sharder) find(ctx context.Context) (st status, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, end, err := connector.NewestAll(ctx, s.store, topicLayout, 0)
	st.end = end
	for _, r := range records {
		switch r.Key {
		case keyCells:
			st.cells, err = decode(r.Value)
		case keyClaim:
			st.claimant, st.claimAt = string(r.Value), r.Offset
		}
	}
	return st, err
}

// mayClaim reports whether no other host counts the workers, or one that has not renewed
// its claim.
func (s *Sharder) mayClaim(st status) bool {
	if st.claimant == "" {
		return true
	}
	if s.rivalSince.IsZero() || st.claimAt != s.rivalAt {
		s.rivalAt, s.rivalSince = st.claimAt, time.Now()
	}
	return time.Since(s.rivalSince) > claimLife
}

// claim makes this host the one that counts, unless another was faster.
func (s *Sharder) claim(ctx context.Context, end identifier.Offset) error {
	s.claimedAt = time.Now()
	return s.append(ctx, end, connector.KeyedRecord{Key: keyClaim, Value: []byte(s.token)})
}

func (s *Sharder) append(ctx context.Context, end identifier.Offset, r connector.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.store.Append(ctx, connector.KeyedAppend{Topic: topicLayout, ExpectedEnd: &end, Records: []connector.KeyedRecord{r}})
	return err
}

func decode(value []byte) (int, error) {
	var l layout
	if err := cbor.Unmarshal(value, &l); err != nil {
		return 0, errors.Mark(errors.Wrap(err, "decode layout"), ErrLayout)
	}
	if l.Cells < 1 || l.Cells > MaxCells {
		return 0, errors.Mark(errors.Newf("layout has %d cells", l.Cells), ErrLayout)
	}
	return l.Cells, nil
}

// propose stores a number of cells once it is certain enough, and renews the claim until
// then. The store tells by a conflict that another host has claimed meanwhile.
func (s *Sharder) propose(ctx context.Context, end identifier.Offset) error {
	cells, err := s.decide(ctx)
	if err != nil {
		return err
	}
	if cells == 0 {
		if time.Since(s.claimedAt) < claimLife/claimRenewals {
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

// decide returns the number of cells for the workers that there are; zero while more of
// them come. A release without a layout has one cell, of which there may be hosts still.
func (s *Sharder) decide(ctx context.Context) (int, error) {
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
	workers, err := s.count(ctx)
	if err != nil || !s.seen.settled(workers.Total) {
		return 0, err
	}
	cells := CellsFor(workers)
	s.logger.Info("layout proposed", zap.Int("workers", workers.Total), zap.Int("fewestOfAKind", workers.SmallestKind), zap.Int("cells", cells))
	return cells, nil
}

// census compares counts of the workers. Those of a deployment that starts as a whole
// come one after the other, each with its first report.
type census struct {
	// counts are those taken, and calm the last of them that were no higher than before.
	counts, calm int
	most         int
}

// settled takes a count and reports whether no more workers come.
func (c *census) settled(workers int) bool {
	c.counts++
	c.calm++
	if workers > c.most {
		c.most, c.calm = workers, 0
	}
	return c.most > 0 && c.calm >= calmCounts || c.counts >= maxCounts
}

// CellsFor returns the number of cells for the workers that there are: cells lend no room, so
// that each needs workers of each kind.
func CellsFor(w WorkerCounts) int {
	return max(min((w.Total+WorkersPerCell-1)/WorkersPerCell, w.SmallestKind/leastOfAKind, MaxCells), 1)
}
