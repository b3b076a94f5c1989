package renewer

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	testLease         = 5 * time.Second
	testGrace         = 3 * time.Second
	maxInheritedLease = testGrace + testLease
)

const worker identifier.Worker = "w0"

var testStart = time.Unix(1_000_000, 0)

// testCell simulates a cell with a store, one worker and successive holders.
type testCell struct {
	now time.Time
	// suspended is the total time for which the holder's machine was suspended.
	suspended time.Duration
	// readDelay is how long may pass between the two reads of a Reading.
	readDelay time.Duration
	stored    State
	epoch     identifier.Epoch
	holder    *Renewer
	clocks    ClockTracker
	batch     uint64
	// unconfirmed are the records of the last stored batch.
	unconfirmed []Record
	// previous is the holder before this one; it may still renew leases until previousEnds.
	previous     *Renewer
	previousEnds time.Time
	// actualExpiry is when the worker's lease really expires, and knownExpiry when it does
	// according to the holder.
	actualExpiry, knownExpiry time.Time
}

func newTestCell() *testCell {
	c := &testCell{now: testStart}
	c.takeOver(false)
	return c
}

func (c *testCell) uptime() time.Duration { return c.now.Sub(testStart) + c.suspended }

// reading is the reading for a decision, whose time is known to readDelay.
func (c *testCell) reading() Reading {
	return Reading{Now: c.now, Earliest: c.uptime() - c.readDelay, Latest: c.uptime() + c.readDelay}
}

// current returns the holder as it makes a decision now.
func (c *testCell) current() *Renewer {
	c.holder.SetTime(c.reading())
	return c.holder
}

// takeOver begins the term of a new holder, whose host has observed the cell's clock or not.
func (c *testCell) takeOver(clockObserved bool) { c.takeOverIn(clockObserved, 0) }

// takeOverIn is takeOver by a host that takes a while to store the new term.
func (c *testCell) takeOverIn(clockObserved bool, took time.Duration) {
	startUptime := c.fence(clockObserved, took)
	c.holder = New(c.reading(), startUptime, maxInheritedLease, c.stored)
	c.knownExpiry = c.current().InheritedExpiry(worker)
}

// fence stores a new term, took after the takeover has begun, and returns the uptime of that
// beginning. The new holder may end right after that.
func (c *testCell) fence(clockObserved bool, took time.Duration) (startUptime time.Duration) {
	var estimate ClockEstimate
	if clockObserved {
		estimate = c.clocks.Estimate(0, c.uptime())
	}
	if c.holder != nil {
		c.previous, c.previousEnds = c.holder, c.now.Add(testGrace)
	}
	c.holder = nil
	c.epoch++
	c.unconfirmed = nil
	id, startUptime := TakeoverID(fmt.Sprint(c.epoch)), c.uptime()
	c.clocks.ObserveTakeover(0, id, startUptime)
	c.now = c.now.Add(took)
	c.stored = c.stored.BeginTerm(c.epoch, id, estimate)
	return startUptime
}

// renew makes a holder renew the worker's lease as far as it is allowed to.
func (c *testCell) renew(h *Renewer) {
	if h == nil {
		return
	}
	h.SetTime(c.reading())
	if !h.RenewalAllowed(worker) {
		if end := h.RenewableUntil(worker); end.After(c.actualExpiry) {
			c.actualExpiry = minTime(end, c.now.Add(testLease))
		}
		return
	}
	c.actualExpiry = c.now.Add(testLease)
	if h == c.holder && c.knownExpiry.Before(c.actualExpiry) {
		c.knownExpiry = c.actualExpiry
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *testCell) suspend() { c.current().Suspend(worker, c.knownExpiry, c.now) }

// storeBatch takes a batch and stores it; confirmBatch tells the holder so.
func (c *testCell) storeBatch() {
	c.batch++
	records, clock := c.current().Take(c.batch)
	c.unconfirmed = records
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

func (c *testCell) confirmBatch() { c.holder.MarkStored(c.batch, c.unconfirmed) }

// TestLeasesNeverOutlastWhatSuccessorsWaitFor guards against a holder that considers a worker's
// lease expired while it is still valid. Holders are replaced at random points, and the previous
// one may go on renewing for the renewal grace.
func TestLeasesNeverOutlastWhatSuccessorsWaitFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCell()
		heardInTerm := false
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"decisions take long": func(t *rapid.T) {
				c.readDelay = time.Duration(rapid.IntRange(0, 500).Draw(t, "read delay, ms")) * time.Millisecond
			},
			"worker answers": func(*rapid.T) {
				heardInTerm = true
				c.current().Resume(worker)
				c.renew(c.holder)
			},
			"worker answers and the record is stored": func(*rapid.T) {
				heardInTerm = true
				c.current().Resume(worker)
				c.storeBatch()
				c.confirmBatch()
				c.renew(c.holder)
			},
			"previous holder renews": func(*rapid.T) {
				if c.now.Before(c.previousEnds) {
					c.renew(c.previous)
				}
			},
			"worker falls silent": func(*rapid.T) { c.suspend() },
			"batch is stored":     func(*rapid.T) { c.storeBatch() },
			"batch is confirmed":  func(*rapid.T) { c.confirmBatch() },
			"host observes the clock": func(*rapid.T) {
				c.clocks.Observe(0, ClockReading{c.epoch, c.current().Clock()}, c.uptime())
			},
			"cell is taken over": func(t *rapid.T) {
				took := time.Duration(rapid.IntRange(0, 4000).Draw(t, "took, ms")) * time.Millisecond
				c.takeOverIn(rapid.Bool().Draw(t, "clock observed"), took)
				heardInTerm = false
			},
			"holder ends in its takeover": func(t *rapid.T) {
				took := time.Duration(rapid.IntRange(0, 4000).Draw(t, "took, ms")) * time.Millisecond
				c.fence(rapid.Bool().Draw(t, "clock observed"), took)
				c.now = c.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap, ms")) * time.Millisecond)
				c.takeOver(rapid.Bool().Draw(t, "next clock observed"))
				heardInTerm = false
			},
			"": func(t *rapid.T) {
				if expected, actual := c.current().InheritedExpiry(worker), c.actualExpiry; !heardInTerm && actual.After(expected) {
					t.Fatalf("lease expires %v later than its holder expects", actual.Sub(expected))
				}
			},
		})
	})
}

// TestTakeoversDoNotProlongTheWait guards against a wait for the lease of a silent worker that
// starts again with each holder.
func TestTakeoversDoNotProlongTheWait(t *testing.T) {
	tests := map[string]struct {
		// silenceStored is set if the holder stored when the silent worker's lease expires.
		silenceStored bool
		clockObserved bool
		// terms are the lengths of the terms that follow.
		terms []time.Duration
		want  time.Duration
	}{
		"stored, no takeover":        {silenceStored: true, want: testLease},
		"stored, one takeover":       {silenceStored: true, clockObserved: true, terms: []time.Duration{time.Second}, want: testLease},
		"stored, many takeovers":     {silenceStored: true, clockObserved: true, terms: []time.Duration{time.Second, 100 * time.Millisecond, time.Second, time.Second}, want: testLease},
		"stored, clock not observed": {silenceStored: true, terms: []time.Duration{time.Second, time.Second}, want: testLease},
		"not stored, one takeover":   {clockObserved: true, terms: []time.Duration{time.Second}, want: maxInheritedLease},
		"not stored, many takeovers": {clockObserved: true, terms: []time.Duration{time.Second, 10 * time.Millisecond, time.Second, time.Second}, want: maxInheritedLease},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCell()
			c.now = c.now.Add(maxInheritedLease)
			c.current().Resume(worker)
			c.storeBatch()
			c.confirmBatch()
			c.renew(c.holder)
			silent := c.now
			if tt.silenceStored {
				c.suspend()
				c.storeBatch()
				c.confirmBatch()
			}
			for _, term := range tt.terms {
				c.clocks.Observe(0, ClockReading{c.epoch, c.current().Clock()}, c.uptime())
				c.takeOver(tt.clockObserved)
				c.now = c.now.Add(term)
				c.storeBatch()
				c.confirmBatch()
			}
			end := c.actualExpiry
			if len(tt.terms) > 0 {
				end = c.current().InheritedExpiry(worker)
			}
			if got := end.Sub(silent); got != tt.want {
				t.Errorf("wait for the worker's lease is %v, want %v", got, tt.want)
			}
		})
	}
}

// TestEndedTakeoversDoNotProlongTheWait guards against a wait for the lease of a lost worker that
// begins again with each holder that ends in its takeover, and against a clock that goes back to its
// last stored reading, which may be a day old.
func TestEndedTakeoversDoNotProlongTheWait(t *testing.T) {
	const quiet, gap = 24 * time.Hour, 2 * time.Second
	tests := map[string]struct {
		ended int
		// remembered is set if another host has heard of the takeovers.
		remembered bool
		// want is the wait from the first takeover on.
		want time.Duration
	}{
		"one, remembered":     {1, true, maxInheritedLease},
		"three, remembered":   {3, true, maxInheritedLease},
		"one, not remembered": {1, false, gap + maxInheritedLease},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCell()
			c.current().Resume(worker)
			c.storeBatch()
			c.confirmBatch()
			c.now = c.now.Add(quiet)
			c.renew(c.holder)
			c.clocks.Observe(0, ClockReading{c.epoch, c.current().Clock()}, c.uptime())
			first := c.now
			for range tt.ended {
				c.fence(true, 0)
				if !tt.remembered {
					c.clocks = ClockTracker{}
				}
				c.now = c.now.Add(gap)
			}
			c.takeOver(true)
			if got := c.current().InheritedExpiry(worker).Sub(first); got != tt.want {
				t.Errorf("wait for the worker's lease is %v, want %v", got, tt.want)
			}
		})
	}
}

// TestClockReadingsOfOlderEpochsAreIgnored guards against a term that starts from the clock of a
// holder before the last one. That clock may be ahead of the one by which later leases were
// stored, so that they would seem to expire too early.
func TestClockReadingsOfOlderEpochsAreIgnored(t *testing.T) {
	s := State{Clock: Time(time.Second)}.BeginTerm(7, "", ClockEstimate{})
	s = s.BeginTerm(8, "", ClockEstimate{ClockReading: ClockReading{Epoch: 6, Clock: Time(time.Minute)}})
	if got := s.lastTerm().Start; got != Time(time.Second) {
		t.Errorf("term starts at %v on the cell's clock, want 1s", time.Duration(got))
	}
}

// TestLeaseRecordsOlderThanTheTermHistoryAreIgnored guards against the use of lease records from
// before a holder of an older release, which renews leases without storing records and leaves no
// history of terms.
func TestLeaseRecordsOlderThanTheTermHistoryAreIgnored(t *testing.T) {
	stored := State{Clock: Time(time.Hour), Leases: map[identifier.Worker]Lease{worker: {Epoch: 3, Expires: Time(time.Minute)}}}
	for _, epoch := range []identifier.Epoch{5, 6} {
		stored = stored.BeginTerm(epoch, "", ClockEstimate{})
		if got := New(Reading{Now: testStart}, 0, maxInheritedLease, stored).InheritedExpiry(worker).Sub(testStart); got != maxInheritedLease {
			t.Errorf("epoch %d: wait for the lease is %v, want %v", epoch, got, maxInheritedLease)
		}
	}
}

// TestSuccessorsWaitForExtendedLeases checks that a successor waits for a lease that may last
// longer than the previous holder asked for.
func TestSuccessorsWaitForExtendedLeases(t *testing.T) {
	const extension = maxInheritedLease + 2*time.Second
	tests := map[string]func(c *testCell){
		"before renewal is allowed": func(c *testCell) {
			c.current().RecordExtension(worker, c.now.Add(extension))
			c.current().Resume(worker)
		},
		"while renewal is allowed": func(c *testCell) {
			c.current().Resume(worker)
			c.storeBatch()
			c.confirmBatch()
			c.current().RecordExtension(worker, c.now.Add(extension))
		},
		"while renewal is suspended": func(c *testCell) {
			c.current().Resume(worker)
			c.suspend()
			c.current().RecordExtension(worker, c.now.Add(extension))
			c.current().Resume(worker)
		},
	}
	for name, extend := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCell()
			extend(c)
			c.storeBatch()
			c.confirmBatch()
			c.takeOver(false)
			if got := c.current().InheritedExpiry(worker).Sub(c.now); got != extension {
				t.Errorf("wait for the worker's lease is %v, want %v", got, extension)
			}
		})
	}
}

// TestConfirmationsOfOlderRecordsAreIgnored guards against the renewal of a lease whose newest
// record gives it an end: the lease was suspended and resumed between two records, and the
// confirmation of the first, which marks it as renewable, arrives after that.
func TestConfirmationsOfOlderRecordsAreIgnored(t *testing.T) {
	c := newTestCell()
	c.current().Resume(worker)
	first, _ := c.current().Take(1)
	c.current().Suspend(worker, c.now, c.now)
	second, _ := c.current().Take(2)
	c.current().Resume(worker)
	c.holder.MarkStored(1, first)
	c.holder.MarkStored(2, second)
	if c.holder.RenewalAllowed(worker) {
		t.Error("renewal is allowed although the newest stored record gives the lease an end")
	}
	third, _ := c.current().Take(3)
	c.holder.MarkStored(3, third)
	if !c.holder.RenewalAllowed(worker) {
		t.Error("renewal is not allowed although the newest stored record marks the lease as renewable")
	}
}
