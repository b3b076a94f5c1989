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
		c := NewTimer(&p)
		time.Sleep(time.Second)
		c.Enter(PhasePollAnswers)
		time.Sleep(2 * time.Millisecond)
		c.Enter(PhasePollAnswers)
		time.Sleep(time.Millisecond)
		c.Enter(PhasePlacement)
		time.Sleep(5 * time.Millisecond)
		c.Enter(PhaseIdle)
		time.Sleep(time.Second)
		p.Add(PhaseEncoding, 7*time.Millisecond)
		want := map[Phase]time.Duration{PhasePollAnswers: 3 * time.Millisecond, PhasePlacement: 5 * time.Millisecond, PhaseEncoding: 7 * time.Millisecond}
		for part, spent := range p.Spent() {
			if spent != want[Phase(part)] {
				t.Errorf("part %d took %v, want %v", part, spent, want[Phase(part)])
			}
		}
	})
}

// TestZeroClockMeasuresNothing checks that a clock without a profile may be used.
func TestZeroClockMeasuresNothing(t *testing.T) {
	var c Timer
	c.Enter(PhasePollAnswers)
	c.Enter(PhaseIdle)
}

// TestProcessorUsageIsAPart checks that readings are parts of the time between them.
func TestProcessorUsageIsAPart(t *testing.T) {
	var p CPUMeter
	runtime.GC()
	p.Read()
	for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end); {
		_ = make([]byte, 1024)
	}
	runtime.GC()
	if u := p.Read(); u.Busy <= 0 || u.Busy > 1 || u.GC < 0 || u.GC > u.Busy {
		t.Errorf("usage %+v is no part of the time", u)
	}
}
