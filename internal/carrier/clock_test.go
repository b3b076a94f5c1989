package carrier

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestHeartbeatResponseCarriesCellClocks checks that a host receives the clock readings of its
// holder's cells with the responses to its heartbeats.
func TestHeartbeatResponseCarriesCellClocks(t *testing.T) {
	want := renewer.ClockReading{Epoch: 4, Clock: renewer.Time(90 * time.Second)}
	s := newTestHolder(t, 0, WithCellClocks(func() map[identifier.Cell]renewer.ClockReading {
		return map[identifier.Cell]renewer.ClockReading{1: want}
	}))
	heard := make(chan renewer.ClockReading, 1)
	s.addHost(t, "h1", WithClockObserver(func(cell identifier.Cell, r renewer.ClockReading) {
		if cell != 1 {
			t.Errorf("received the clock of cell %d, want that of cell 1", cell)
		}
		select {
		case heard <- r:
		default:
		}
	}))
	select {
	case got := <-heard:
		if got != want {
			t.Errorf("clock %+v, want %+v", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("received no clock in 5s")
	}
}
