package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/coordinator"
	"github.com/balsamcove/balsamcove/internal/forwarder"
	"github.com/balsamcove/balsamcove/internal/heartbeater"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/router"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// remoteEvery is how many heartbeats within the data centre go by between
	// two to other data centres.
	remoteEvery  = 4
	stateTimeout = 2 * time.Second
)

// handlePeer answers a call of another entry host.
func (s *Server) handlePeer(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodHeartbeat:
		return answer(params, s.receiveBeat)
	case messenger.MethodForward:
		return answer(params, func(req forwarder.Request) (forwarder.Answer, error) { return s.serveForwarded(ctx, req) })
	case messenger.MethodRegister:
		return answer(params, func(r registration) (bool, error) { return s.deduper.Register(r.ID, r.Send), nil })
	case messenger.MethodDeregister:
		return answer(params, func(r registration) (bool, error) {
			s.deduper.Deregister(r.ID, r.Send)
			return true, nil
		})
	case messenger.MethodKnownRequests:
		return s.deduper.KnownRequests(), nil
	case messenger.MethodState:
		return s.passState()
	case messenger.MethodExplain:
		return answer(params, func(id identifier.Task) (coordinator.Explanation, error) { return s.coord.Explain(id), nil })
	default:
		return nil, refuser.New(refuser.CodeNotFound, "there is no method %q", method)
	}
}

// answer decodes the params of a call and calls fn.
func answer[In, Out any](params json.RawMessage, fn func(In) (Out, error)) (any, error) {
	var in In
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "params are not readable: %v", err)
	}
	return fn(in)
}

// serveForwarded executes a request for a peer on the minions of this host.
func (s *Server) serveForwarded(ctx context.Context, req forwarder.Request) (forwarder.Answer, error) {
	s.serving.Add(1)
	defer s.serving.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.RemainingMs)*time.Millisecond)
	defer cancel()
	return s.forwarder.Do(ctx, req, true)
}

// callPeer sends a request on to another entry host.
func (s *Server) callPeer(ctx context.Context, entry identifier.Entry, req forwarder.Request) (forwarder.Answer, error) {
	var out forwarder.Answer
	address, ok := s.addressOf(entry)
	if !ok {
		return out, errors.Mark(errors.Newf("entry host %s is gone", entry), connector.ErrNotSent)
	}
	err := s.client.Call(ctx, address, messenger.MethodForward, req, &out)
	return out, err
}

func (s *Server) addressOf(entry identifier.Entry) (string, bool) {
	for _, r := range s.table.Alive() {
		if r.Entry == entry {
			return r.Address, true
		}
	}
	return "", false
}

// beat exchanges heartbeats with the other entry hosts until ctx ends.
func (s *Server) beat(ctx context.Context) error {
	ticker := time.NewTicker(s.cfg.Members.Interval.Std())
	defer ticker.Stop()
	for n := 0; ; n++ {
		s.table.Tick()
		free, inFlight := s.router.Report()
		ready, version := s.ready(), s.coord.Status().Version
		s.table.UpdateSelf(func(r *heartbeater.Report) {
			r.Free, r.InFlight, r.Ready, r.Version = free, inFlight, ready, version
		})
		for _, to := range s.table.Targets(n%remoteEvery == 0, rand.IntN) {
			go s.beatOne(ctx, to)
		}
		s.updateRouter()
		if !s.coord.Status().CaughtUp && n%remoteEvery == 0 {
			s.loadFromPeer(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Server) beatOne(ctx context.Context, to heartbeater.Address) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Members.Dead.Std())
	defer cancel()
	var reply heartbeater.Heartbeat
	if err := s.client.Call(ctx, to.Address, messenger.MethodHeartbeat, s.table.Heartbeat(to.DataCentre), &reply); err != nil {
		s.logger.Debug("heartbeat not answered", zap.String("peer", to.Address), zap.Error(err))
		return
	}
	s.table.Receive(reply)
}

func (s *Server) receiveBeat(b heartbeater.Heartbeat) (heartbeater.Heartbeat, error) {
	s.table.Receive(b)
	from := s.cfg.DataCentre
	if len(b.Reports) > 0 {
		from = b.Reports[0].DataCentre
	}
	return s.table.Heartbeat(from), nil
}

// neighbours returns the reports of the other live hosts of this data centre.
func (s *Server) neighbours() []heartbeater.Report {
	return slices.DeleteFunc(s.table.Alive(), func(r heartbeater.Report) bool { return r.DataCentre != s.cfg.DataCentre })
}

// livePeers returns the other live hosts of this data centre.
func (s *Server) livePeers() []identifier.Incarnation {
	var out []identifier.Incarnation
	for _, r := range s.neighbours() {
		out = append(out, r.Incarnation)
	}
	return out
}

// updateRouter passes the membership on to the router.
func (s *Server) updateRouter() {
	var peers []router.Peer
	for _, r := range s.table.Alive() {
		free := r.Free
		if r.Leaving || !r.Ready {
			free = nil
		}
		peers = append(peers, router.Peer{Entry: r.Entry, DataCentre: r.DataCentre, Free: free, InFlight: r.InFlight})
	}
	s.router.SetMembers(s.table.Settled(), peers)
}

// loadFromPeer takes the state of all streams from a ready host of this data
// centre, for when the log cannot be read.
func (s *Server) loadFromPeer(ctx context.Context) {
	for _, r := range s.neighbours() {
		if !r.Ready {
			continue
		}
		call, cancel := context.WithTimeout(ctx, stateTimeout)
		var states []coordinator.StreamState
		err := s.client.Call(call, r.Address, messenger.MethodState, struct{}{}, &states)
		cancel()
		if err == nil {
			err = s.coord.LoadStates(states)
		}
		if err == nil {
			s.logger.Info("state taken from peer", zap.String("peer", string(r.Entry)))
			return
		}
		s.logger.Warn("state not taken from peer", zap.String("peer", string(r.Entry)), zap.Error(err))
	}
}

func (s *Server) passState() (any, error) {
	if !s.caughtUp() {
		return nil, refuser.New(refuser.CodeNotReady, "this entry host has not caught up")
	}
	return s.coord.StreamStates()
}
