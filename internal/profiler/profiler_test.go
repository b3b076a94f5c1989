package profiler

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

// TestTimerAssignsTimeToPhases checks that time counts for the phase that was last entered.
func TestTimerAssignsTimeToPhases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Profile
		timer := NewTimer(&p)
		time.Sleep(time.Second)
		timer.Enter(PhasePollAnswers)
		time.Sleep(2 * time.Millisecond)
		timer.Enter(PhasePollAnswers)
		time.Sleep(time.Millisecond)
		timer.Enter(PhasePlacement)
		time.Sleep(5 * time.Millisecond)
		timer.Enter(PhaseIdle)
		time.Sleep(time.Second)
		p.Add(PhaseEncoding, 7*time.Millisecond)
		want := map[Phase]time.Duration{PhasePollAnswers: 3 * time.Millisecond, PhasePlacement: 5 * time.Millisecond, PhaseEncoding: 7 * time.Millisecond}
		for phase, spent := range p.Spent() {
			if spent != want[Phase(phase)] {
				t.Errorf("phase %d took %v, want %v", phase, spent, want[Phase(phase)])
			}
		}
	})
}

// TestZeroTimerMeasuresNothing checks that a timer without a profile can be used.
func TestZeroTimerMeasuresNothing(t *testing.T) {
	var timer Timer
	timer.Enter(PhasePollAnswers)
	timer.Enter(PhaseIdle)
}

// TestCPUUsageIsAShare checks that readings are fractions of the time between them.
func TestCPUUsageIsAShare(t *testing.T) {
	var m CPUMeter
	runtime.GC()
	m.Read()
	for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end); {
		_ = make([]byte, 1024)
	}
	runtime.GC()
	if u := m.Read(); u.Busy <= 0 || u.Busy > 1 || u.GC < 0 || u.GC > u.Busy {
		t.Errorf("usage %+v is not a fraction of the time", u)
	}
}
