package supervisor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/internal/uptimer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// clockPeers is the maximum number of hosts that are asked for a cell's clock. One that was
	// running during the previous term is enough.
	clockPeers = 6
	// clockTimeout is the timeout of these calls. They run while the state of the cell is read
	// from the store, so that they do not delay the takeover.
	clockTimeout = 150 * time.Millisecond
)

// cellClocks returns readings of the clocks of the cells that this host holds. A cell's clock
// continues from one holder to the next and times the leases of its workers.
func (s *Supervisor) cellClocks() map[identifier.Cell]renewer.ClockReading {
	s.mu.Lock()
	defer s.mu.Unlock()
	clocks := make(map[identifier.Cell]renewer.ClockReading, len(s.terms))
	for cell, t := range s.terms {
		if r, ok := t.term.CellClock(); ok {
			clocks[cell] = r
		}
	}
	return clocks
}

// observeClock records the reading of a cell's clock that its holder has reported.
func (s *Supervisor) observeClock(cell identifier.Cell, r renewer.ClockReading) {
	s.clockTracker.Observe(cell, r, uptimer.SinceBoot())
}

// estimateClock returns the latest estimate of a cell's clock, of this host or of the peers that
// answer in time, and tells them of an attempt to take the cell over. This host alone may not know
// the clock, since it may have only just started. The estimate is one for the uptime of this host
// at which the attempt began.
func (s *Supervisor) estimateClock(ctx context.Context, cell identifier.Cell, takeover renewer.TakeoverID, began time.Duration) renewer.ClockEstimate {
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	peers := s.locator.Peers()
	peers = peers[max(len(peers)-clockPeers, 0):]
	answers := make(chan renewer.ClockEstimate, len(peers))
	for _, peer := range peers {
		go func() {
			var e renewer.ClockEstimate
			if err := s.rpc.Call(ctx, peer, messenger.MethodCellClock, clockRequest{cell, takeover}, &e); err != nil {
				e = renewer.ClockEstimate{}
			}
			answers <- e.Before(uptimer.SinceBoot() - began)
		}()
	}
	estimate := s.clockTracker.Estimate(cell, began)
	s.clockTracker.ObserveTakeover(cell, takeover, began)
	for range peers {
		estimate = estimate.Merge(<-answers)
	}
	return estimate
}

// clockRequest asks another host for its estimate of a cell's clock, and tells it of an attempt to
// take the cell over.
type clockRequest struct {
	Cell     identifier.Cell    `json:"cell"`
	Takeover renewer.TakeoverID `json:"takeover,omitempty"`
}

// handleClock answers a clockRequest with a renewer.ClockEstimate. A malformed request is refused
// with refuser.CodeInvalid.
func (s *Supervisor) handleClock(params json.RawMessage) (any, error) {
	var in clockRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	s.clockTracker.ObserveTakeover(in.Cell, in.Takeover, uptimer.SinceBoot())
	return s.clockTracker.Estimate(in.Cell, uptimer.SinceBoot()), nil
}
