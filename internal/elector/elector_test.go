package elector

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const testTTL = 1200 * time.Millisecond

// candidate is a member under way with the cells that it holds.
type candidate struct {
	elector *Elector
	stop    context.CancelFunc
	held    chan []identifier.Cell
	now     []identifier.Cell
}

func join(ctx context.Context, store *simulator.Store, name string, opts ...Option) *candidate {
	c := &candidate{held: make(chan []identifier.Cell, 100)}
	ctx, c.stop = context.WithCancel(ctx)
	c.elector = New(Settings{Member: name, Cells: 2, TTL: testTTL}, store.Client(name), zap.NewNop(), func(held []identifier.Cell) {
		c.held <- slices.Clone(held)
	}, opts...)
	go func() { _ = c.elector.Run(ctx) }()
	return c
}

// settle ends all members and waits until they have left.
func settle(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Second)
}

func (c *candidate) cells() []identifier.Cell {
	for {
		select {
		case c.now = <-c.held:
		default:
			return c.now
		}
	}
}

// TestCellsAreTakenOver checks that the cells of a member that goes are held by
// the other soon, and how soon.
func TestCellsAreTakenOver(t *testing.T) {
	tests := map[string]struct {
		end    func(store *simulator.Store, c *candidate)
		within time.Duration
	}{
		"it leaves": {func(_ *simulator.Store, c *candidate) { c.stop() }, testTTL},
		"it is refused": {func(s *simulator.Store, _ *candidate) {
			s.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"a": true}})
		}, 2 * testTTL},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer settle(cancel)
				store := simulator.NewStore(2, 1)
				a := join(ctx, store, "a")
				time.Sleep(time.Second)
				b := join(ctx, store, "b")
				time.Sleep(time.Second)
				if got := len(a.cells()) + len(b.cells()); got != 2 {
					t.Fatalf("%d cells are held, want 2", got)
				}
				tt.end(store, a)
				time.Sleep(tt.within)
				if got := b.cells(); len(got) != 2 {
					t.Fatalf("the other member holds %v after %v, want both cells", got, tt.within)
				}
			})
		})
	}
}

// TestValidityEndsWithTheMembership checks that a host which cannot renew stops
// being valid when the store may give its cells away.
func TestValidityEndsWithTheMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		store := simulator.NewStore(1, 1)
		a := join(ctx, store, "a")
		time.Sleep(time.Second)
		if !a.elector.Valid() {
			t.Fatal("not valid though the store answers")
		}
		store.SetFaults(simulator.StoreFaults{Down: true})
		time.Sleep(testTTL)
		if a.elector.Valid() {
			t.Fatal("valid though the membership has run out")
		}
		if len(a.cells()) != 1 {
			t.Fatal("cells given up though nobody else can have taken them")
		}
		store.SetFaults(simulator.StoreFaults{})
		time.Sleep(time.Second)
		if !a.elector.Valid() {
			t.Fatalf("not valid %v after the last renewal", a.elector.SinceRenewal())
		}
	})
}

// TestSuspendedHostIsNotValid checks that the time for which a machine was
// suspended counts, though the runtime's clock leaves it out.
func TestSuspendedHostIsNotValid(t *testing.T) {
	uptime := time.Hour
	e := New(Settings{Member: "a", Cells: 1, TTL: testTTL}, nil, zap.NewNop(), nil, WithUptime(func() time.Duration { return uptime }))
	if e.Valid() {
		t.Fatal("valid before the first renewal")
	}
	e.renewed(uptime, false)
	if !e.Valid() {
		t.Fatal("not valid after a renewal")
	}
	uptime += testTTL
	if e.Valid() {
		t.Fatal("valid after a suspension as long as the membership")
	}
}

// TestHostThatMayNotHoldLeaves checks that a host gives its cells back once it may not
// hold any, that another has them soon, and that it joins again when it may.
func TestHostThatMayNotHoldLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		store := simulator.NewStore(2, 1)
		var barred atomic.Bool
		a := join(ctx, store, "a", WithEligibility(func() bool { return !barred.Load() }))
		b := join(ctx, store, "b")
		time.Sleep(2 * time.Second)
		if got := len(a.cells()) + len(b.cells()); got != 2 {
			t.Fatalf("%d cells are held, want 2", got)
		}
		barred.Store(true)
		time.Sleep(testTTL)
		if len(a.cells()) != 0 || len(b.cells()) != 2 {
			t.Fatalf("the members hold %v and %v, want none and both", a.now, b.now)
		}
		barred.Store(false)
		time.Sleep(2 * time.Second)
		if len(a.cells()) != 1 || len(b.cells()) != 1 {
			t.Fatalf("the members hold %v and %v, want one each", a.now, b.now)
		}
	})
}

// TestTermIsDoubtedIfAnotherMemberHeldTheCellMeanwhile checks that a member which was not
// reached while another held its cell does not go on with the term of before undoubted.
func TestTermIsDoubtedIfAnotherMemberHeldTheCellMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		store := simulator.NewStore(1, 1)
		a := join(ctx, store, "a")
		time.Sleep(time.Second)
		if len(a.cells()) != 1 {
			t.Fatal("the cell is not held")
		}
		before := a.elector.Tenure()
		store.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"a": true}})
		b := join(ctx, store, "b")
		time.Sleep(2 * testTTL)
		if len(b.cells()) != 1 {
			t.Fatal("the cell is not held by the other")
		}
		b.stop()
		time.Sleep(100 * time.Millisecond)
		store.SetFaults(simulator.StoreFaults{})
		time.Sleep(2 * testTTL)
		if !a.elector.Valid() {
			t.Fatal("the first member is not valid again")
		}
		if len(a.held) == 0 && a.elector.Tenure() == before {
			t.Error("the first member goes on with its term undoubted, although another began one meanwhile")
		}
	})
}

// TestPausedMemberDoesNotCountAsAttended checks that a member which was paused for longer than its
// lifetime says so until it has asked the store again, and one whose store is away does not.
func TestPausedMemberDoesNotCountAsAttended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		store := simulator.NewStore(1, 1)
		began := time.Now()
		var paused atomic.Int64
		a := join(ctx, store, "a", WithUptime(func() time.Duration { return time.Since(began) + time.Duration(paused.Load()) }))
		time.Sleep(time.Second)
		if !a.elector.RecentlyActive() {
			t.Fatal("a member that renews is not attended")
		}
		store.SetFaults(simulator.StoreFaults{Silent: map[string]bool{"a": true}})
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if !a.elector.RecentlyActive() {
				t.Fatal("a member whose store is away is taken for paused")
			}
		}
		store.SetFaults(simulator.StoreFaults{})
		time.Sleep(time.Second)
		paused.Store(int64(2 * testTTL))
		if a.elector.RecentlyActive() {
			t.Error("a member that was paused counts as attended")
		}
		time.Sleep(testTTL)
		if !a.elector.RecentlyActive() {
			t.Error("a member that has renewed again does not count as attended")
		}
	})
}
