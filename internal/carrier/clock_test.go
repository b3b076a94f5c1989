package carrier

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestHostsHearTheClocksOfCells checks that a host which calls workers hears the clocks of its
// holder's cells with its beats.
func TestHostsHearTheClocksOfCells(t *testing.T) {
	want := renewer.ClockReading{Epoch: 4, Clock: renewer.Time(90 * time.Second)}
	s := newSite(t, 0, WithCellClocks(func() map[identifier.Cell]renewer.ClockReading {
		return map[identifier.Cell]renewer.ClockReading{1: want}
	}))
	heard := make(chan renewer.ClockReading, 1)
	s.join(t, "h1", WithClockObserver(func(cell identifier.Cell, r renewer.ClockReading) {
		if cell != 1 {
			t.Errorf("clock of cell %d is heard, want that of cell 1", cell)
		}
		select {
		case heard <- r:
		default:
		}
	}))
	select {
	case got := <-heard:
		if got != want {
			t.Errorf("%+v is heard, want %+v", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing is heard of the clock")
	}
}
