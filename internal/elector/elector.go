// Package elector maintains this host's membership in the store's group of cell holders, which
// assigns each cell to one member, and reports which cells this host holds.
package elector

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// Group is the name of the group of all hosts that may hold cells.
	Group = "holders"
	// topicCells is the topic whose partitions the group assigns: partition n stands for cell n.
	topicCells connector.Topic = "cells"
	// renewalsPerTTL is how often the membership is renewed within its TTL.
	renewalsPerTTL = 3
	// leaveTimeout is the timeout of the call that leaves the group.
	leaveTimeout = 500 * time.Millisecond
)

// Settings configure the membership of a host.
type Settings struct {
	// Member is the name of this host in the group.
	Member string
	// Cells is the number of cells of the deployment.
	Cells int
	// TTL is how long the store keeps a membership that is not renewed.
	TTL time.Duration
}

// Elector maintains the membership of this host. Its methods are safe for concurrent use.
type Elector struct {
	settings Settings
	store    connector.Store
	logger   *zap.Logger
	onChange func(held []identifier.Cell)

	uptime   func() time.Duration
	eligible func() bool

	mu sync.Mutex
	// renewedAt is the uptime at which the last successful renewal was sent.
	renewedAt time.Duration
	// attemptedAt is the uptime at which the last renewal ended, whether or not it succeeded.
	attemptedAt time.Duration
	// tenure is incremented when another member may have held this member's cells since the
	// last renewal.
	tenure uint64
}

// Option changes a new elector.
type Option func(*Elector)

// WithUptime sets a clock that keeps running while the machine is suspended. The default is the
// Go runtime's monotonic clock, which stops meanwhile.
func WithUptime(uptime func() time.Duration) Option {
	return func(e *Elector) { e.uptime = uptime }
}

// WithEligibility sets a function that is called before each renewal and reports whether this
// host may hold cells. A host that becomes ineligible leaves the group. By default every host is
// eligible.
func WithEligibility(eligible func() bool) Option {
	return func(e *Elector) { e.eligible = eligible }
}

// New returns an elector that has not joined the group yet; Run joins it. OnChange is called with
// the cells that this host holds whenever they change. Before it returns, it must end all work
// on behalf of cells that are no longer among them, since another host may take them over.
func New(s Settings, store connector.Store, logger *zap.Logger, onChange func(held []identifier.Cell), opts ...Option) *Elector {
	startedAt := time.Now()
	e := &Elector{
		settings: s, store: store, logger: logger, onChange: onChange, renewedAt: never, attemptedAt: never,
		uptime:   func() time.Duration { return time.Since(startedAt) },
		eligible: func() bool { return true },
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// never is the uptime of an event that has not happened: long before the machine started.
const never = -time.Duration(1<<62 - 1)

// Valid reports whether the membership has been renewed within its TTL, so that no other member
// can hold this one's cells. It returns false after the machine was suspended for longer.
func (e *Elector) Valid() bool { return e.SinceRenewal() < e.settings.TTL }

// SinceRenewal returns how long ago the last successful renewal was sent.
func (e *Elector) SinceRenewal() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.uptime() - e.renewedAt
}

// Tenure returns a number that stays the same as long as no other member can have held this
// member's cells. A change shows that another one may have held them in between, even if they
// are held here again.
func (e *Elector) Tenure() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tenure
}

// RecentlyActive reports whether this process has tried to renew the membership within its TTL,
// even if the store did not answer. It returns false just after the process was paused or
// suspended for longer: other holders may have followed without its knowledge.
func (e *Elector) RecentlyActive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.uptime()-e.attemptedAt < e.settings.TTL
}

func (e *Elector) recordAttempt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attemptedAt = e.uptime()
}

// membership is the state of this host in the group, as of the last renewal.
type membership struct {
	held []identifier.Cell
	// generation is the version of the group's assignment that this host has applied.
	generation uint64
	joined     bool
}

// Run joins the group and renews the membership while this host is eligible. When ctx ends it
// leaves the group and returns nil.
func (e *Elector) Run(ctx context.Context) error {
	m := &membership{}
	dependency := logger.Dependency{Name: "group membership", Logger: e.logger}
	for ctx.Err() == nil {
		sent := time.Now()
		wait := e.settings.TTL / renewalsPerTTL
		switch {
		case e.eligible():
			err := e.renew(ctx, m, &wait)
			e.recordAttempt()
			dependency.Report(err)
		case m.joined:
			e.resign(m)
		}
		sleeper.Pause(ctx, wait-time.Since(sent))
	}
	e.onChange(nil)
	e.leave()
	return nil
}

// renew renews the membership and calls onChange if the held cells have changed. It sets wait to
// zero if the next renewal must follow at once.
func (e *Elector) renew(ctx context.Context, m *membership, wait *time.Duration) error {
	sent := e.uptime()
	answer, err := e.join(ctx, m.generation)
	if err != nil {
		return err
	}
	e.recordRenewal(sent, answer.Generation != m.generation)
	m.joined = true
	next := e.heldCells(answer)
	if !slices.Equal(m.held, next) {
		e.logger.Info("held cells changed", zap.Any("from", m.held), zap.Any("to", next), zap.Uint64("generation", answer.Generation))
		m.held = next
		e.onChange(next)
	}
	if answer.Generation != m.generation {
		// The store reassigns the cells that this host has given up only when the next renewal
		// confirms the new generation.
		*wait = 0
	}
	m.generation = answer.Generation
	return nil
}

// resign gives up all cells and leaves the group, since this host is no longer eligible.
func (e *Elector) resign(m *membership) {
	e.logger.Info("cells are left to larger hosts", zap.Any("held", m.held))
	e.onChange(nil)
	e.leave()
	*m = membership{}
}

func (e *Elector) join(ctx context.Context, generation uint64) (connector.Membership, error) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.TTL/2)
	defer cancel()
	return e.store.Join(ctx, Group, topicCells, e.settings.Member, generation, e.settings.TTL)
}

// recordRenewal records a successful renewal that was sent at an uptime. It increments the tenure
// if the group's assignment has changed or the membership had expired in between.
func (e *Elector) recordRenewal(sent time.Duration, generationChanged bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if generationChanged || e.uptime()-e.renewedAt >= e.settings.TTL {
		e.tenure++
	}
	e.renewedAt = sent
}

// heldCells returns the cells that the store has assigned to this host, in ascending order. The
// topic may have more partitions than there are cells.
func (e *Elector) heldCells(m connector.Membership) []identifier.Cell {
	var cells []identifier.Cell
	for _, p := range m.Partitions {
		if int(p) < e.settings.Cells {
			cells = append(cells, identifier.Cell(p))
		}
	}
	slices.Sort(cells)
	return cells
}

func (e *Elector) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := e.store.Leave(ctx, Group, e.settings.Member); err != nil {
		e.logger.Warn("leaving the group failed, the membership will expire", logger.Err(err))
	}
}
