// Package elector keeps this host's membership in the group that shares the
// cells, and tells which cells this host holds.
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
	// Group is the group of all hosts that may hold cells.
	Group = "holders"
	// topicCells is the topic whose partitions stand for the cells.
	topicCells connector.Topic = "cells"
	// renewPart is the part of the lifetime after which it is renewed.
	renewPart = 3
	// leaveTimeout bounds the call that gives all cells back.
	leaveTimeout = 500 * time.Millisecond
)

// Settings are those of a member.
type Settings struct {
	Member string
	Cells  int
	// TTL is how long the store keeps a member that sends nothing.
	TTL time.Duration
}

// Elector is this host's membership.
type Elector struct {
	settings Settings
	store    connector.Store
	logger   *zap.Logger
	changed  func(held []identifier.Cell)

	uptime    func() time.Duration
	candidate func() bool

	mu sync.Mutex
	// renewedAt is the uptime at which the last renewal that succeeded was sent.
	renewedAt time.Duration
	// triedAt is the uptime at which the last renewal ended, whatever came of it.
	triedAt time.Duration
	// tenure rises whenever another member may have held this one's cells meanwhile.
	tenure uint64
}

// Option changes a new elector.
type Option func(*Elector)

// WithUptime sets a clock that goes on while the machine is suspended; the
// default is the runtime's, which does not.
func WithUptime(uptime func() time.Duration) Option {
	return func(e *Elector) { e.uptime = uptime }
}

// WithEligibility sets what is asked before each renewal whether this host may hold
// cells. One that may not gives its cells back; by default every host may.
func WithEligibility(candidate func() bool) Option {
	return func(e *Elector) { e.candidate = candidate }
}

// New returns a membership that has not begun. Changed is called with the cells
// that this host holds whenever they change; those that are missing must not be
// acted for any more when it returns.
func New(s Settings, store connector.Store, logger *zap.Logger, changed func(held []identifier.Cell), opts ...Option) *Elector {
	began := time.Now()
	e := &Elector{
		settings: s, store: store, logger: logger, changed: changed, renewedAt: never, triedAt: never,
		uptime:    func() time.Duration { return time.Since(began) },
		candidate: func() bool { return true },
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// never is an uptime long before the machine started.
const never = -time.Duration(1<<62 - 1)

// Valid reports whether the membership has been renewed within its lifetime. It
// has not after the machine was suspended for longer.
func (e *Elector) Valid() bool { return e.SinceRenewal() < e.settings.TTL }

// SinceRenewal returns how long ago the last renewal that succeeded was sent.
func (e *Elector) SinceRenewal() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.uptime() - e.renewedAt
}

// Tenure returns a number that changes when another member may have held the cells of this one
// since the last renewal, although they are held here again.
func (e *Elector) Tenure() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tenure
}

// RecentlyActive reports whether this process has tried to renew the membership within its lifetime.
// It has not while it was paused or suspended for longer, and may then know nothing of the
// holders that followed.
func (e *Elector) RecentlyActive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.uptime()-e.triedAt < e.settings.TTL
}

func (e *Elector) tried() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.triedAt = e.uptime()
}

// membership is what a member knows of its place in the group.
type membership struct {
	held       []identifier.Cell
	generation uint64
	joined     bool
}

// Run keeps the membership while this host may hold cells, until ctx ends, then gives
// all cells back.
func (e *Elector) Run(ctx context.Context) error {
	m := &membership{}
	source := logger.Dependency{Name: "group membership", Logger: e.logger}
	for ctx.Err() == nil {
		sent := time.Now()
		wait := e.settings.TTL / renewPart
		switch {
		case e.candidate():
			err := e.renew(ctx, m, &wait)
			e.tried()
			source.Report(err)
		case m.joined:
			e.resign(m)
		}
		sleeper.Pause(ctx, wait-time.Since(sent))
	}
	e.changed(nil)
	e.leave()
	return nil
}

// renew renews the membership and tells of cells that came or went. Wait becomes zero
// if the store has to know at once that this was done.
func (e *Elector) renew(ctx context.Context, m *membership, wait *time.Duration) error {
	sent := e.uptime()
	answer, err := e.join(ctx, m.generation)
	if err != nil {
		return err
	}
	e.renewed(sent, answer.Generation != m.generation)
	m.joined = true
	next := e.cellsOf(answer)
	if !slices.Equal(m.held, next) {
		e.logger.Info("cells change", zap.Any("from", m.held), zap.Any("to", next), zap.Uint64("generation", answer.Generation))
		m.held = next
		e.changed(next)
	}
	if answer.Generation != m.generation {
		// The store hands partitions on once this is known to it.
		*wait = 0
	}
	m.generation = answer.Generation
	return nil
}

// resign leaves the group to larger hosts.
func (e *Elector) resign(m *membership) {
	e.logger.Info("cells are left to larger hosts", zap.Any("held", m.held))
	e.changed(nil)
	e.leave()
	*m = membership{}
}

func (e *Elector) join(ctx context.Context, generation uint64) (connector.Membership, error) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.TTL/2)
	defer cancel()
	return e.store.Join(ctx, Group, topicCells, e.settings.Member, generation, e.settings.TTL)
}

func (e *Elector) renewed(sent time.Duration, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if changed || e.uptime()-e.renewedAt >= e.settings.TTL {
		e.tenure++
	}
	e.renewedAt = sent
}

func (e *Elector) cellsOf(m connector.Membership) []identifier.Cell {
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
		e.logger.Warn("group not left, the membership will run out", logger.Err(err))
	}
}
