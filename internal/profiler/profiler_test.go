package profiler

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

// TestClockAssignsTimeToParts checks that each moment counts for the part under way.
func TestClockAssignsTimeToParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Profile
		c := NewClock(&p)
		time.Sleep(time.Second)
		c.Enter(PartLooks)
		time.Sleep(2 * time.Millisecond)
		c.Enter(PartLooks)
		time.Sleep(time.Millisecond)
		c.Enter(PartPlace)
		time.Sleep(5 * time.Millisecond)
		c.Enter(PartOutside)
		time.Sleep(time.Second)
		p.Add(PartRecords, 7*time.Millisecond)
		want := map[Part]time.Duration{PartLooks: 3 * time.Millisecond, PartPlace: 5 * time.Millisecond, PartRecords: 7 * time.Millisecond}
		for part, spent := range p.Spent() {
			if spent != want[Part(part)] {
				t.Errorf("part %d took %v, want %v", part, spent, want[Part(part)])
			}
		}
	})
}

// TestZeroClockMeasuresNothing checks that a clock without a profile may be used.
func TestZeroClockMeasuresNothing(t *testing.T) {
	var c Clock
	c.Enter(PartLooks)
	c.Enter(PartOutside)
}

// TestProcessorUsageIsAPart checks that readings are parts of the time between them.
func TestProcessorUsageIsAPart(t *testing.T) {
	var p Processor
	runtime.GC()
	p.Read()
	for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end); {
		_ = make([]byte, 1024)
	}
	runtime.GC()
	if u := p.Read(); u.Busy <= 0 || u.Busy > 1 || u.Collecting < 0 || u.Collecting > u.Busy {
		t.Errorf("usage %+v is no part of the time", u)
	}
}
