package renewer

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	testLease = 5 * time.Second
	testGrace = 3 * time.Second
	testMost  = testGrace + testLease
)

const worker identifier.Worker = "w0"

var began = time.Unix(1_000_000, 0)

// cell is a cell with a store, a worker and one holder after the other.
type cell struct {
	now time.Time
	// suspended is for how long the holder's machine was suspended.
	suspended time.Duration
	stored    State
	epoch     identifier.Epoch
	holder    *Renewer
	witness   ClockTracker
	batch     uint64
	taken     []Record
	// former is the holder before, which may still renew until then.
	former     *Renewer
	formerEnds time.Time
	// lease is when the worker's lease really ends, and known when the holder knows that it has
	// ended.
	lease, known time.Time
}

func newCell() *cell {
	c := &cell{now: began}
	c.takeOver(false)
	return c
}

func (c *cell) uptime() time.Duration { return c.now.Sub(began) + c.suspended }

// takeOver begins a term on a host that has heard of the one before, or not.
func (c *cell) takeOver(heard bool) {
	var r ClockReading
	if heard {
		r = c.witness.Estimate(0, c.uptime())
	}
	c.former, c.formerEnds = c.holder, c.now.Add(testGrace)
	c.epoch++
	c.taken = nil
	c.stored = c.stored.BeginTerm(c.epoch, r)
	c.holder = New(c.now, c.uptime, testMost, c.stored)
	c.known = c.holder.InheritedExpiry(worker, c.now)
}

func (c *cell) renew(h *Renewer) {
	if h == nil {
		return
	}
	if !h.RenewalAllowed(worker) {
		if end := h.RenewableUntil(worker, c.now); end.After(c.lease) {
			c.lease = minTime(end, c.now.Add(testLease))
		}
		return
	}
	c.lease = c.now.Add(testLease)
	if h == c.holder && c.known.Before(c.lease) {
		c.known = c.lease
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *cell) suspend() { c.holder.Suspend(worker, c.known, c.now) }

// take takes a batch and stores it; the holder is told of it by saved.
func (c *cell) take() {
	c.batch++
	records, clock := c.holder.Take(c.batch, c.now)
	c.taken = records
	c.stored.Clock = clock
	c.stored.Leases = maps.Clone(c.stored.Leases)
	if c.stored.Leases == nil {
		c.stored.Leases = map[identifier.Worker]Lease{}
	}
	for _, r := range records {
		if r.Lease == nil {
			delete(c.stored.Leases, r.Worker)
			continue
		}
		c.stored.Leases[r.Worker] = *r.Lease
	}
}

func (c *cell) saved() { c.holder.MarkStored(c.batch, c.taken) }

// TestNoLeaseLastsLongerThanLaterHoldersReckon plays holders that end in all ways, some of which
// go on for a moment, and compares what each successor waits for with the leases there are.
func TestNoLeaseLastsLongerThanLaterHoldersReckon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell()
		answered := false
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"worker answers": func(*rapid.T) {
				answered = true
				c.holder.Resume(worker)
				c.renew(c.holder)
			},
			"worker answers, as is stored": func(*rapid.T) {
				answered = true
				c.holder.Resume(worker)
				c.take()
				c.saved()
				c.renew(c.holder)
			},
			"former holder renews": func(*rapid.T) {
				if c.now.Before(c.formerEnds) {
					c.renew(c.former)
				}
			},
			"worker falls silent": func(*rapid.T) { c.suspend() },
			"batch is taken":      func(*rapid.T) { c.take() },
			"batch is stored":     func(*rapid.T) { c.saved() },
			"host hears of the clock": func(*rapid.T) {
				c.witness.Observe(0, ClockReading{c.epoch, c.holder.Clock()}, c.uptime())
			},
			"cell changes hands": func(t *rapid.T) {
				c.takeOver(rapid.Bool().Draw(t, "heard"))
				answered = false
			},
			"": func(t *rapid.T) {
				if at, ends := c.holder.InheritedExpiry(worker, c.now), c.lease; !answered && ends.After(at) {
					t.Fatalf("the lease ends %v after its holder counts on it", ends.Sub(at))
				}
			},
		})
	})
}

// TestWaitForAWorkerHasOneBound checks that a worker which falls silent is not waited for longer
// with each holder.
func TestWaitForAWorkerHasOneBound(t *testing.T) {
	tests := map[string]struct {
		// noted is set if the holder stored that the worker is silent.
		noted bool
		heard bool
		// lives are how long the terms last that follow.
		lives []time.Duration
		want  time.Duration
	}{
		"noted, no takeover":               {noted: true, want: testLease},
		"noted, one takeover":              {noted: true, heard: true, lives: []time.Duration{time.Second}, want: testLease},
		"noted, many takeovers":            {noted: true, heard: true, lives: []time.Duration{time.Second, 100 * time.Millisecond, time.Second, time.Second}, want: testLease},
		"noted, nobody hears of the clock": {noted: true, lives: []time.Duration{time.Second, time.Second}, want: testLease},
		"not noted, one takeover":          {heard: true, lives: []time.Duration{time.Second}, want: testMost},
		"not noted, many takeovers":        {heard: true, lives: []time.Duration{time.Second, 10 * time.Millisecond, time.Second, time.Second}, want: testMost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCell()
			c.now = c.now.Add(testMost)
			c.holder.Resume(worker)
			c.take()
			c.saved()
			c.renew(c.holder)
			silent := c.now
			if tt.noted {
				c.suspend()
				c.take()
				c.saved()
			}
			for _, life := range tt.lives {
				c.witness.Observe(0, ClockReading{c.epoch, c.holder.Clock()}, c.uptime())
				c.takeOver(tt.heard)
				c.now = c.now.Add(life)
				c.take()
				c.saved()
			}
			end := c.lease
			if len(tt.lives) > 0 {
				end = c.holder.InheritedExpiry(worker, c.now)
			}
			if got := end.Sub(silent); got != tt.want {
				t.Errorf("the worker is waited for %v, want %v", got, tt.want)
			}
		})
	}
}

// TestClockOfADeposedHolderIsNotGoneBy checks that a host which heard of an earlier holder's
// clock, ahead of the one that later leases are told by, does not go on from there.
func TestClockOfADeposedHolderIsNotGoneBy(t *testing.T) {
	s := State{Clock: Time(time.Second)}.BeginTerm(7, ClockReading{})
	s = s.BeginTerm(8, ClockReading{Epoch: 6, Clock: Time(time.Minute)})
	if got := s.last().Begin; got != Time(time.Second) {
		t.Errorf("the term begins at %v by the clock of the cell, want 1s", time.Duration(got))
	}
}

// TestLeasesOfHoldersThatKeptNoRecordsAreWaitedFor checks that a holder which follows one of an
// older release does not go by what was stored before that one.
func TestLeasesOfHoldersThatKeptNoRecordsAreWaitedFor(t *testing.T) {
	stored := State{Clock: Time(time.Hour), Leases: map[identifier.Worker]Lease{worker: {Epoch: 3, Ends: Time(time.Minute)}}}
	for _, epoch := range []identifier.Epoch{5, 6} {
		stored = stored.BeginTerm(epoch, ClockReading{})
		if got := New(began, func() time.Duration { return 0 }, testMost, stored).InheritedExpiry(worker, began).Sub(began); got != testMost {
			t.Errorf("epoch %d waits %v, want %v", epoch, got, testMost)
		}
	}
}

// TestStretchedLeaseIsReckonedWithByLaterHolders checks that a lease which may last for longer
// than its holder asked for is waited for by the next one.
func TestStretchedLeaseIsReckonedWithByLaterHolders(t *testing.T) {
	const stretched = testMost + 2*time.Second
	tests := map[string]func(c *cell){
		"before it may be renewed": func(c *cell) { c.holder.RecordExtension(worker, c.now.Add(stretched)); c.holder.Resume(worker) },
		"while it is renewed": func(c *cell) {
			c.holder.Resume(worker)
			c.take()
			c.saved()
			c.holder.RecordExtension(worker, c.now.Add(stretched))
		},
		"before it is renewed again": func(c *cell) {
			c.holder.Resume(worker)
			c.suspend()
			c.holder.RecordExtension(worker, c.now.Add(stretched))
			c.holder.Resume(worker)
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCell()
			happens(c)
			c.take()
			c.saved()
			c.takeOver(false)
			if got := c.holder.InheritedExpiry(worker, c.now).Sub(c.now); got != stretched {
				t.Errorf("the worker is waited for %v, want %v", got, stretched)
			}
		})
	}
}

// TestOnlyTheNewestRecordCounts checks that a confirmation of an older record does not let a
// lease be renewed that was suspended meanwhile.
func TestOnlyTheNewestRecordCounts(t *testing.T) {
	c := newCell()
	c.holder.Resume(worker)
	first, _ := c.holder.Take(1, c.now)
	c.holder.Suspend(worker, c.now, c.now)
	second, _ := c.holder.Take(2, c.now)
	c.holder.Resume(worker)
	c.holder.MarkStored(1, first)
	c.holder.MarkStored(2, second)
	if c.holder.RenewalAllowed(worker) {
		t.Error("a lease is renewed although it is stored that it ends")
	}
	third, _ := c.holder.Take(3, c.now)
	c.holder.MarkStored(3, third)
	if !c.holder.RenewalAllowed(worker) {
		t.Error("a lease is not renewed although it is stored that it may be")
	}
}
