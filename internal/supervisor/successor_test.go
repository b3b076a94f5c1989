package supervisor

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/sleeper"
)

// awaitHolder returns the host that holds the cell once its term runs, and the others.
func awaitHolder(t *testing.T, hosts []*host) (holder *host, others []*host) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for i, h := range hosts {
			if _, ok := h.cellClocks()[0]; ok {
				return h, slices.Concat(hosts[:i], hosts[i+1:])
			}
		}
		sleeper.Pause(ctx, 20*time.Millisecond)
	}
	t.Fatal("no host holds the cell")
	return nil, nil
}

// awaitSuccessor calls AwaitSuccessor for at most a time and returns how long it took.
func (h *host) awaitSuccessor(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	began := time.Now()
	h.AwaitSuccessor(ctx)
	return time.Since(began)
}

// TestStoppingHolderKeepsItsCellForLackOfOthers guards against a cell that nobody holds, since each host gives its
// cells back at once when it is stopped, also if all others are being stopped as well or are gone. Callers then wait
// in vain until a host is back.
func TestStoppingHolderKeepsItsCellForLackOfOthers(t *testing.T) {
	const limit = 3 * time.Second
	stop := func(h *host) { h.succession.stop() }
	tests := map[string]struct {
		others func(h *host)
		// after, if set, is what happens to one of the others while the holder waits.
		after func(h *host)
		kept  bool
	}{
		"others run":                {others: func(*host) {}},
		"others are stopped":        {others: stop, kept: true},
		"others are gone":           {others: func(h *host) { h.kill() }, kept: true},
		"another one has come back": {others: stop, after: func(h *host) { h.succession.restart() }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, _, hosts := newCluster(t)
			holder, others := awaitHolder(t, hosts)
			for _, h := range others {
				tt.others(h)
			}
			time.Sleep(200 * time.Millisecond)
			if tt.after != nil {
				defer time.AfterFunc(limit/3, func() { tt.after(others[0]) }).Stop()
			}
			took := holder.awaitSuccessor(t, limit)
			if kept := took >= limit; kept != tt.kept {
				t.Errorf("cell given back after %v, want it kept: %v", took, tt.kept)
			}
			if tt.after != nil && took < limit/3 {
				t.Errorf("cell given back after %v, before another host could take it", took)
			}
			if !holder.holdsCells() {
				t.Error("the cell is not held meanwhile")
			}
		})
	}
}

// TestStoppedHostKeepsItsPromise guards against a host that has just said that it can take the cells of another one,
// and leaves the group of holders before the store has assigned them to it.
func TestStoppedHostKeepsItsPromise(t *testing.T) {
	_, _, hosts := newCluster(t)
	_, others := awaitHolder(t, hosts)
	for _, h := range hosts {
		h.succession.stop()
	}
	if took := others[0].awaitSuccessor(t, testTimeout); took >= promisePeriod {
		t.Errorf("a host that holds nothing and has promised nothing stays for %v", took)
	}
	others[0].succession.restart()
	if others[0].succession.answer(false).CanHold {
		t.Error("a host that is not in the group of holders can take cells")
	}
	if !others[0].succession.answer(true).CanHold {
		t.Fatal("a running host cannot take cells")
	}
	if took := others[0].awaitSuccessor(t, testTimeout); took < promisePeriod/2 || took >= testTimeout {
		t.Errorf("the host left after %v, want %v", took, promisePeriod)
	}
}

// restart makes a stopped host one that has just started.
func (c *succession) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping, c.promisedAt = false, time.Time{}
}
