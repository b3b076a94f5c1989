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

// counting returns counts of workers of one kind one after the other; the last one stays.
func counting(counts ...int) func(context.Context) (WorkerCounts, error) {
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

func put(t *testing.T, store *simulator.Store, topic connector.Topic, key string, value []byte) {
	t.Helper()
	_, err := store.Client("other").Append(t.Context(), connector.KeyedAppend{
		Topic: topic, Records: []connector.KeyedRecord{{Key: key, Value: value}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestCellsFollowTheWorkers checks the number of cells of a deployment that starts.
func TestCellsFollowTheWorkers(t *testing.T) {
	tests := map[string]struct {
		counts []int
		want   int
	}{
		"no workers":         {[]int{0}, 1},
		"few":                {[]int{66}, 1},
		"one cell's":         {[]int{WorkersPerCell}, 1},
		"one more":           {[]int{WorkersPerCell + 1}, 2},
		"target":             {[]int{4800}, 6},
		"beyond all":         {[]int{1_000_000}, MaxCells},
		"they come late":     {[]int{0, 0, 1800}, 2},
		"they come by turns": {[]int{10, 900, 1800, 1800}, 2},
		"a pause between":    {[]int{10, 10, 10, 1800, 1800}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := simulator.NewStore(1, 1)
				got, err := New(store.Client("a"), counting(tt.counts...), zap.NewNop()).Agree(t.Context())
				if err != nil || got != tt.want {
					t.Errorf("%d cells, %v, want %d", got, err, tt.want)
				}
			})
		})
	}
}

// TestEachCellHasWorkersOfEachKind guards against jobs that wait for ever since all workers of their
// service, or with the label that they require, belong to other cells.
func TestEachCellHasWorkersOfEachKind(t *testing.T) {
	tests := map[string]struct {
		workers WorkerCounts
		want    int
	}{
		"one kind":          {WorkerCounts{4800, 4800}, 6},
		"a rare kind":       {WorkerCounts{1800, 3}, 1},
		"enough for two":    {WorkerCounts{4800, 2 * leastOfAKind}, 2},
		"no longer for two": {WorkerCounts{4800, 2*leastOfAKind - 1}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := CellsFor(tt.workers); got != tt.want {
				t.Errorf("%d cells, want %d", got, tt.want)
			}
		})
	}
}

// TestIdentitiesAreDealtToAllCells guards against cells with too few workers of a kind of which
// there are enough on the average.
func TestIdentitiesAreDealtToAllCells(t *testing.T) {
	const deals, least = 50, leastOfAKind / 2
	source := rand.New(rand.NewPCG(1, 1))
	for cells := 2; cells <= MaxCells; cells++ {
		for range deals {
			dealt := make([]int, cells)
			for range cells * leastOfAKind {
				dealt[identifier.CellOf(identifier.Job(fmt.Sprintf("%016x", source.Uint64())), cells)]++
			}
			if got := slices.Min(dealt); got < least {
				t.Errorf("of %d cells one has %d workers, want %d", cells, got, least)
			}
		}
	}
}

// TestHostsAgreeOnCells checks that hosts which count differently, start at the same time
// and later, and lose answers of the store all use the same number of cells.
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
					s := New(store.Client("host"), counting(600+n*300), zap.NewNop(), WithDelay(time.Duration(n%4)*400*time.Millisecond))
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
				t.Errorf("seed %d: hosts use %v", seed, seen)
			}
		})
	}
}

// TestJobsOfEarlierReleasesStayInTheirCell checks that a deployment which has jobs but no
// layout keeps the one cell that it has.
func TestJobsOfEarlierReleasesStayInTheirCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		put(t, store, intake.TopicInbox, "s0", []byte{1})
		got, err := New(store.Client("a"), counting(1800), zap.NewNop()).Agree(t.Context())
		if err != nil || got != 1 {
			t.Errorf("%d cells, %v, want 1", got, err)
		}
	})
}

// TestHoldersOfEarlierReleasesKeepTheirCell guards against two holders of one worker, and jobs that
// are looked for in another cell, once the hosts of a deployment without jobs are replaced one by one.
func TestHoldersOfEarlierReleasesKeepTheirCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		put(t, store, dispatcher.TopicWork, "!holder", []byte{1})
		got, err := New(store.Client("a"), counting(1800), zap.NewNop()).Agree(t.Context())
		if err != nil || got != 1 {
			t.Errorf("%d cells, %v, want 1", got, err)
		}
	})
}

// TestUnreadableLayoutIsNotGuessed checks that a host without a usable layout uses none,
// and finds it when it can be read again.
func TestUnreadableLayoutIsNotGuessed(t *testing.T) {
	many, err := cbor.Marshal(layout{MaxCells + 1})
	if err != nil {
		t.Fatal(err)
	}
	two, err := cbor.Marshal(layout{2})
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string][]byte{"no record": {0xff}, "too many cells": many} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := simulator.NewStore(1, 1)
				put(t, store, topicLayout, keyCells, value)
				s := New(store.Client("a"), counting(1800), zap.NewNop())
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if n, err := s.Agree(ctx); err == nil {
					t.Errorf("%d cells without a layout", n)
				}
				put(t, store, topicLayout, keyCells, two)
				if n, err := s.Agree(t.Context()); err != nil || n != 2 {
					t.Errorf("%d cells, %v, want 2", n, err)
				}
			})
		})
	}
}

// TestOneHostCountsForAll checks that hosts which leave the decision to others do not read
// the list of workers.
func TestOneHostCountsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		go func() {
			_, _ = New(store.Client("large"), counting(1800), zap.NewNop()).Agree(t.Context())
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

// TestHostsOfOneSizeCountOnce guards against a deployment of hundreds of hosts that all read
// the list of workers at once, more than the store serves.
func TestHostsOfOneSizeCountOnce(t *testing.T) {
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
			t.Errorf("%d hosts have counted, want one", len(counted))
		}
	})
}

// TestHostThatDiedWhileItCountedIsReplaced guards against a deployment that is never ready.
func TestHostThatDiedWhileItCountedIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := simulator.NewStore(1, 1)
		put(t, store, topicLayout, keyClaim, []byte("dead"))
		began := time.Now()
		cells, err := New(store.Client("a"), counting(1800), zap.NewNop()).Agree(t.Context())
		if err != nil || cells != 2 || time.Since(began) > 2*claimLife {
			t.Errorf("%d cells, %v, after %v", cells, err, time.Since(began))
		}
	})
}
