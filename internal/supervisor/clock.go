package supervisor

import (
	"cmp"
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
// answer in time. This host alone may not know it, since it may have only just started.
func (s *Supervisor) estimateClock(ctx context.Context, cell identifier.Cell) renewer.ClockReading {
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	peers := s.locator.Peers()
	peers = peers[max(len(peers)-clockPeers, 0):]
	answers := make(chan renewer.ClockReading, len(peers))
	for _, peer := range peers {
		go func() {
			var r renewer.ClockReading
			if err := s.rpc.Call(ctx, peer, messenger.MethodCellClock, clockRequest{cell}, &r); err != nil {
				r = renewer.ClockReading{}
			}
			answers <- r
		}()
	}
	newest := s.clockTracker.Estimate(cell, uptimer.SinceBoot())
	for range peers {
		if r := <-answers; cmp.Or(cmp.Compare(r.Epoch, newest.Epoch), cmp.Compare(r.Clock, newest.Clock)) > 0 {
			newest = r
		}
	}
	return newest
}

// clockRequest asks another host for its estimate of a cell's clock.
type clockRequest struct {
	Cell identifier.Cell `json:"cell"`
}

// handleClock answers a clockRequest with a renewer.ClockReading. A malformed request is refused
// with refuser.CodeInvalid.
func (s *Supervisor) handleClock(params json.RawMessage) (any, error) {
	var in clockRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return s.clockTracker.Estimate(in.Cell, uptimer.SinceBoot()), nil
}
