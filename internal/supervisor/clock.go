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
	// clockPeers bounds the hosts that are asked for a cell's clock. One that has lived through
	// the term before is enough.
	clockPeers = 6
	// clockTimeout bounds the question, which is asked while the state of the cell is read.
	clockTimeout = 150 * time.Millisecond
)

// clocks returns the clocks of the cells that this host holds.
func (s *Supervisor) clocks() map[identifier.Cell]renewer.ClockReading {
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

// hear notes a holder's reading of a cell's clock.
func (s *Supervisor) hear(cell identifier.Cell, r renewer.ClockReading) {
	s.witness.Observe(cell, r, uptimer.SinceBoot())
}

// heardClock returns what this host or others have heard of a cell's clock: this one may have
// started only just now.
func (s *Supervisor) heardClock(ctx context.Context, cell identifier.Cell) renewer.ClockReading {
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	peers := s.locator.Peers()
	peers = peers[max(len(peers)-clockPeers, 0):]
	answers := make(chan renewer.ClockReading, len(peers))
	for _, peer := range peers {
		go func() {
			var r renewer.ClockReading
			if err := s.rpc.Call(ctx, peer, messenger.MethodCellClock, clockCall{cell}, &r); err != nil {
				r = renewer.ClockReading{}
			}
			answers <- r
		}()
	}
	best := s.witness.Estimate(cell, uptimer.SinceBoot())
	for range peers {
		if r := <-answers; cmp.Or(cmp.Compare(r.Epoch, best.Epoch), cmp.Compare(r.Clock, best.Clock)) > 0 {
			best = r
		}
	}
	return best
}

// clockCall asks what a host has heard of a cell's clock.
type clockCall struct {
	Cell identifier.Cell `json:"cell"`
}

// answerClock answers a clockCall with a renewer.Reading.
func (s *Supervisor) answerClock(params json.RawMessage) (any, error) {
	var in clockCall
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return s.witness.Estimate(in.Cell, uptimer.SinceBoot()), nil
}
