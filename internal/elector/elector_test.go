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

// testMember is a running member. Changes receives the held cells at each change, and current is
// the last value that was received.
type testMember struct {
	elector *Elector
	stop    context.CancelFunc
	changes chan []identifier.Cell
	current []identifier.Cell
}

func join(ctx context.Context, store *simulator.Store, name string, opts ...Option) *testMember {
	m := &testMember{changes: make(chan []identifier.Cell, 100)}
	ctx, m.stop = context.WithCancel(ctx)
	m.elector = New(Settings{Member: name, Cells: 2, TTL: testTTL}, store.Client(name), zap.NewNop(), func(held []identifier.Cell) {
		m.changes <- slices.Clone(held)
	}, opts...)
	go func() { _ = m.elector.Run(ctx) }()
	return m
}

// stopAll stops all members and waits until they have left the group.
func stopAll(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Second)
}

// cells returns the cells that the member holds now.
func (m *testMember) cells() []identifier.Cell {
	for {
		select {
		case m.current = <-m.changes:
		default:
			return m.current
		}
	}
}

// TestCellsOfDepartedMemberAreTakenOver checks that the other member takes over the cells of one
// that leaves within a TTL, and those of one that the store refuses within two.
func TestCellsOfDepartedMemberAreTakenOver(t *testing.T) {
	tests := map[string]struct {
		end    func(store *simulator.Store, m *testMember)
		within time.Duration
	}{
		"leaves": {func(_ *simulator.Store, m *testMember) { m.stop() }, testTTL},
		"refused by the store": {func(s *simulator.Store, _ *testMember) {
			s.SetFaults(simulator.StoreFaults{Refused: map[string]bool{"a": true}})
		}, 2 * testTTL},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer stopAll(cancel)
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

// TestValidityEndsWithTheMembership checks that a membership which cannot be renewed becomes
// invalid by the time the store may reassign its cells.
func TestValidityEndsWithTheMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopAll(cancel)
		store := simulator.NewStore(1, 1)
		a := join(ctx, store, "a")
		time.Sleep(time.Second)
		if !a.elector.Valid() {
			t.Fatal("not valid although the store answers")
		}
		store.SetFaults(simulator.StoreFaults{Down: true})
		time.Sleep(testTTL)
		if a.elector.Valid() {
			t.Fatal("valid although the membership has expired")
		}
		if len(a.cells()) != 1 {
			t.Fatal("cells given up although no other member can have taken them over")
		}
		store.SetFaults(simulator.StoreFaults{})
		time.Sleep(time.Second)
		if !a.elector.Valid() {
			t.Fatalf("not valid %v after the last renewal", a.elector.SinceRenewal())
		}
	})
}

// TestSuspendedHostIsNotValid checks that the time for which the machine was suspended counts
// towards the TTL, although the runtime's monotonic clock excludes it.
func TestSuspendedHostIsNotValid(t *testing.T) {
	uptime := time.Hour
	e := New(Settings{Member: "a", Cells: 1, TTL: testTTL}, nil, zap.NewNop(), nil, WithUptime(func() time.Duration { return uptime }))
	if e.Valid() {
		t.Fatal("valid before the first renewal")
	}
	e.recordRenewal(uptime, false)
	if !e.Valid() {
		t.Fatal("not valid after a renewal")
	}
	uptime += testTTL
	if e.Valid() {
		t.Fatal("valid after a suspension as long as the TTL")
	}
}

// TestIneligibleHostLeaves checks that a host leaves the group when it becomes ineligible, that
// another member takes over its cells within a TTL, and that it joins again when it is eligible.
func TestIneligibleHostLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopAll(cancel)
		store := simulator.NewStore(2, 1)
		var ineligible atomic.Bool
		a := join(ctx, store, "a", WithEligibility(func() bool { return !ineligible.Load() }))
		b := join(ctx, store, "b")
		time.Sleep(2 * time.Second)
		if got := len(a.cells()) + len(b.cells()); got != 2 {
			t.Fatalf("%d cells are held, want 2", got)
		}
		ineligible.Store(true)
		time.Sleep(testTTL)
		if len(a.cells()) != 0 || len(b.cells()) != 2 {
			t.Fatalf("the members hold %v and %v, want none and both", a.current, b.current)
		}
		ineligible.Store(false)
		time.Sleep(2 * time.Second)
		if len(a.cells()) != 1 || len(b.cells()) != 1 {
			t.Fatalf("the members hold %v and %v, want one each", a.current, b.current)
		}
	})
}

// TestTenureChangesAfterAnotherMemberHeldCell guards against a member that continues its old term
// although another one held the cell while it could not reach the store. If the member sees no
// change of its cells, its tenure must have changed.
func TestTenureChangesAfterAnotherMemberHeldCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopAll(cancel)
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
			t.Fatal("the other member does not hold the cell")
		}
		b.stop()
		time.Sleep(100 * time.Millisecond)
		store.SetFaults(simulator.StoreFaults{})
		time.Sleep(2 * testTTL)
		if !a.elector.Valid() {
			t.Fatal("the first member is not valid again")
		}
		if len(a.changes) == 0 && a.elector.Tenure() == before {
			t.Error("the first member keeps its cell and its tenure, although another one held the cell in between")
		}
	})
}

// TestPausedMemberIsNotRecentlyActive checks that a member which was paused for longer than its
// TTL is not recently active until it has called the store again, while one whose store does not
// answer stays recently active.
func TestPausedMemberIsNotRecentlyActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopAll(cancel)
		store := simulator.NewStore(1, 1)
		start := time.Now()
		var paused atomic.Int64
		a := join(ctx, store, "a", WithUptime(func() time.Duration { return time.Since(start) + time.Duration(paused.Load()) }))
		time.Sleep(time.Second)
		if !a.elector.RecentlyActive() {
			t.Fatal("a member that renews is not recently active")
		}
		store.SetFaults(simulator.StoreFaults{Silent: map[string]bool{"a": true}})
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if !a.elector.RecentlyActive() {
				t.Fatal("a member whose store does not answer is not recently active")
			}
		}
		store.SetFaults(simulator.StoreFaults{})
		time.Sleep(time.Second)
		paused.Store(int64(2 * testTTL))
		if a.elector.RecentlyActive() {
			t.Error("a member that was paused is recently active")
		}
		time.Sleep(testTTL)
		if !a.elector.RecentlyActive() {
			t.Error("a member that has renewed again is not recently active")
		}
	})
}
