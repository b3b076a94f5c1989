package supervisor

import (
	"testing"
	"testing/synctest"
	"time"
)

// standIn returns a small host that knows the sizes of all and stands in.
func standIn(t *testing.T, reached *bool) *candidacy {
	t.Helper()
	c := &candidacy{
		cores:     0.2,
		largest:   func() (float64, bool) { return 0.8, true },
		owners:    func() []string { return []string{"self"} },
		coresOf:   func(string) float64 { return 0.2 },
		reachable: func() bool { return *reached }, largerSeen: time.Now(),
	}
	_ = c.candidate()
	time.Sleep(standInAfter + time.Millisecond)
	if !c.candidate() {
		t.Fatal("does not stand in although no larger host holds cells")
	}
	return c
}

// TestStandInKeepsItsCellsThroughALateRead checks that a host which holds cells does not
// give them back because one read of the operator's records is late: the elector
// resigns as soon as it is no candidate, although its membership is valid.
func TestStandInKeepsItsCellsThroughALateRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reached := true
		c := standIn(t, &reached)
		reached = false
		if !c.candidate() {
			t.Error("gives its cells back while a read is late")
		}
		time.Sleep(400 * time.Millisecond)
		reached = true
		if !c.candidate() {
			t.Error("does not hold cells after a read that was late, and nobody else does")
		}
	})
}
