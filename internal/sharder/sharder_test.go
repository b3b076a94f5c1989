package sharder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dispatcher"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// countSequence returns a function that counts workers of a single kind: it returns the given
// counts in turn, then repeats the last one.
func countSequence(counts ...int) func(context.Context) (WorkerCounts, error) {
	var mu sync.Mutex
	return func(context.Context) (WorkerCounts, error) {
		mu.Lock()
		defer mu.Unlock()
		n := counts[0]
		if len(counts) > 1 {
			counts = counts[1:]
		}
		return WorkerCounts{n, n}, nil
	}
}

func appendRecord(t *testing.T, store *simulator.Store, topic connector.Topic, key string, value []byte) {
	t.Helper()
	_, err := store.Client("other").Append(t.Context(), connector.KeyedAppend{
		Topic: topic, Records: []connector.KeyedRecord{{Key: key, Value: value}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestCellCountFollowsWorkerCount checks the number of cells of a new deployment, whose workers
// may report at different times.
func TestCellCountFollowsWorkerCount(t *testing.T) {
	tests := map[string]struct {
		counts []int
		want   int
	}{
		"no workers":               {[]int{0}, 1},
		"few":                      {[]int{66}, 1},
		"one full cell":            {[]int{WorkersPerCell}, 1},
		"one more":                 {[]int{WorkersPerCell + 1}, 2},
		"target size":              {[]int{4800}, 6},
		"more than all cells hold": {[]int{1_000_000}, MaxCells},
		"late reports":             {[]int{0, 0, 1800}, 2},
		"gradual reports":          {[]int{10, 900, 1800, 1800}, 2},
		"pause between reports":    {[]int{10, 10, 10, 1800, 1800}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := simulator.NewStore(1, 1)
				got, err := New(store.Client("a"), countSequence(tt.counts...), zap.NewNop()).Agree(t.Context())
				if err != nil || got != tt.want {
					t.Errorf("%d cells, %v, want %d", got, err, tt.want)
				}
			})
		})
	}
}

// TestEachCellHasWorkersOfEachKind guards against jobs that wait for ever because all workers of
// their service, or with the label that they require, belong to other cells.
func TestEachCellHasWorkersOfEachKind(t *testing.T) {
	tests := map[string]struct {
		workers WorkerCounts
		want    int
	}{
		"one kind":         {WorkerCounts{4800, 4800}, 6},
		"a rare kind":      {WorkerCounts{1800, 3}, 1},
		"enough for two":   {WorkerCounts{4800, 2 * minPerKind}, 2},
		"one short of two": {WorkerCounts{4800, 2*minPerKind - 1}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := CellsFor(tt.workers); got != tt.want {
				t.Errorf("%d cells, want %d", got, tt.want)
			}
		})
	}
}

// TestWorkersAreSpreadOverAllCells guards against cells with too few workers of a kind although
// there are enough of them on average: the hash of their identities does not spread evenly.
func TestWorkersAreSpreadOverAllCells(t *testing.T) {
	const rounds, limit = 50, minPerKind / 2
	rng := rand.New(rand.NewPCG(1, 1))
	for cells := 2; cells <= MaxCells; cells++ {
		for range rounds {
			perCell := make([]int, cells)
			for range cells * minPerKind {
				perCell[identifier.CellOf(identifier.Job(fmt.Sprintf("%016x", rng.Uint64())), cells)]++
			}
			if got := slices.Min(perCell); got < limit {
				t.Errorf("one of %d cells has %d workers, want at least %d", cells, got, limit)
			}
		}
	}
}

// TestHostsAgreeOnCells checks that all hosts use the same number of cells although they count
// different numbers of workers, start at different times and lose answers of the store.
func TestHostsAgreeOnCells(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			store := simulator.NewStore(1, seed)
			store.SetFaults(simulator.StoreFaults{LoseAnswers: 0.5, Slow: 20 * time.Millisecond})
			var mu sync.Mutex
			seen := map[int]int{}
			var wg sync.WaitGroup
			for n := range 12 {
				wg.Go(func() {
					time.Sleep(time.Duration(n/4) * 900 * time.Millisecond)
					s := New(store.Client("host"), countSequence(600+n*300), zap.NewNop(), WithDelay(time.Duration(n%4)*400*time.Millisecond))
					cells, err := s.Agree(t.Context())
					if err != nil {
						t.Error(err)
					}
					mu.Lock()
					defer mu.Unlock()
					seen[cells]++
				})
			}
			wg.Wait()
			if len(seen) != 1 {
				t.Errorf("seed %d: hosts use different numbers of cells: %v", seed, seen)
			}
		})
	}
}

// TestDeploymentWithJobsButNoLayoutKeepsOneCell checks that a deployment with jobs from a release
// without layouts keeps its single cell.
func TestDeploymentWithJobsButNoLayoutKeepsOneCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		appendRecord(t, store, intake.TopicInbox, "s0", []byte{1})
		got, err := New(store.Client("a"), countSequence(1800), zap.NewNop()).Agree(t.Context())
		if err != nil || got != 1 {
			t.Errorf("%d cells, %v, want 1", got, err)
		}
	})
}

// TestDeploymentWithHolderButNoLayoutKeepsOneCell guards against two holders of one worker, and
// against jobs that are looked up in the wrong cell, during a rolling update of a deployment
// without jobs from a release without layouts.
func TestDeploymentWithHolderButNoLayoutKeepsOneCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		appendRecord(t, store, dispatcher.TopicWork, "!holder", []byte{1})
		got, err := New(store.Client("a"), countSequence(1800), zap.NewNop()).Agree(t.Context())
		if err != nil || got != 1 {
			t.Errorf("%d cells, %v, want 1", got, err)
		}
	})
}

// TestUnreadableLayoutIsNotUsed checks that a host neither uses nor replaces a layout record that
// it cannot read, and that it uses the layout once the record is valid.
func TestUnreadableLayoutIsNotUsed(t *testing.T) {
	tooManyCells, err := cbor.Marshal(layout{MaxCells + 1})
	if err != nil {
		t.Fatal(err)
	}
	twoCells, err := cbor.Marshal(layout{2})
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string][]byte{"malformed record": {0xff}, "too many cells": tooManyCells} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := simulator.NewStore(1, 1)
				appendRecord(t, store, topicLayout, keyCells, value)
				s := New(store.Client("a"), countSequence(1800), zap.NewNop())
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if n, err := s.Agree(ctx); err == nil {
					t.Errorf("%d cells without a layout", n)
				}
				appendRecord(t, store, topicLayout, keyCells, twoCells)
				if n, err := s.Agree(t.Context()); err != nil || n != 2 {
					t.Errorf("%d cells, %v, want 2", n, err)
				}
			})
		})
	}
}

// TestDelayedHostDoesNotCountWorkers checks that a host with a delay does not read the list of
// workers if another host decides within it.
func TestDelayedHostDoesNotCountWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		go func() {
			_, _ = New(store.Client("large"), countSequence(1800), zap.NewNop()).Agree(t.Context())
		}()
		never := func(context.Context) (WorkerCounts, error) {
			t.Error("the workers were counted")
			return WorkerCounts{1, 1}, nil
		}
		got, err := New(store.Client("small"), never, zap.NewNop(), WithDelay(4*time.Second)).Agree(t.Context())
		if err != nil || got != 2 {
			t.Errorf("%d cells, %v, want 2", got, err)
		}
	})
}

// TestOnlyOneOfManyHostsCountsWorkers guards against hundreds of hosts that all read the list of
// workers at once, which overloads the store.
func TestOnlyOneOfManyHostsCountsWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		var mu sync.Mutex
		counted := map[int]bool{}
		var wg sync.WaitGroup
		for n := range 300 {
			wg.Go(func() {
				count := func(context.Context) (WorkerCounts, error) {
					mu.Lock()
					defer mu.Unlock()
					counted[n] = true
					return WorkerCounts{Total: 3000, SmallestKind: 3000}, nil
				}
				if cells, err := New(store.Client("host"), count, zap.NewNop()).Agree(t.Context()); err != nil || cells != 4 {
					t.Errorf("%d cells, %v", cells, err)
				}
			})
		}
		wg.Wait()
		if len(counted) != 1 {
			t.Errorf("%d hosts have counted the workers, want one", len(counted))
		}
	})
}

// TestClaimOfDeadHostExpires guards against a deployment that never becomes ready because the
// host with the claim has died before it stored a layout.
func TestClaimOfDeadHostExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		appendRecord(t, store, topicLayout, keyClaim, []byte("dead"))
		began := time.Now()
		cells, err := New(store.Client("a"), countSequence(1800), zap.NewNop()).Agree(t.Context())
		if err != nil || cells != 2 || time.Since(began) > 2*claimTTL {
			t.Errorf("%d cells, %v, after %v", cells, err, time.Since(began))
		}
	})
}
