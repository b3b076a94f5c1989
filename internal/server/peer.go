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
	// remoteBeatEvery is the ratio of heartbeats within the data centre to heartbeats to other data
	// centres.
	remoteBeatEvery = 4
	stateTimeout    = 2 * time.Second
)

// handlePeer dispatches a call of another entry host by its method.
func (s *Server) handlePeer(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodHeartbeat:
		return decodeAndCall(params, s.receiveBeat)
	case messenger.MethodForward:
		return decodeAndCall(params, func(req forwarder.Request) (forwarder.Answer, error) { return s.serveForwarded(ctx, req) })
	case messenger.MethodRegister:
		return decodeAndCall(params, func(r registration) (bool, error) { return s.deduper.Register(r.ID, r.Send), nil })
	case messenger.MethodDeregister:
		return decodeAndCall(params, func(r registration) (bool, error) {
			s.deduper.Deregister(r.ID, r.Send)
			return true, nil
		})
	case messenger.MethodKnownRequests:
		return s.deduper.KnownRequests(), nil
	case messenger.MethodState:
		return s.exportState()
	case messenger.MethodExplain:
		return decodeAndCall(params, func(id identifier.Task) (coordinator.Explanation, error) { return s.coord.Explain(id), nil })
	default:
		return nil, refuser.New(refuser.CodeNotFound, "there is no method %q", method)
	}
}

// decodeAndCall decodes the JSON params of a call and passes them to fn.
func decodeAndCall[In, Out any](params json.RawMessage, fn func(In) (Out, error)) (any, error) {
	var in In
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "params are not readable: %v", err)
	}
	return fn(in)
}

// serveForwarded executes a request forwarded by a peer, on the minions that this host owns.
func (s *Server) serveForwarded(ctx context.Context, req forwarder.Request) (forwarder.Answer, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.RemainingMs)*time.Millisecond)
	defer cancel()
	return s.forwarder.Do(ctx, req, true)
}

// forwardToPeer forwards a request to another entry host. The error is marked connector.ErrNotSent
// if the host is no longer a member.
func (s *Server) forwardToPeer(ctx context.Context, entry identifier.Entry, req forwarder.Request) (forwarder.Answer, error) {
	var out forwarder.Answer
	address, ok := s.peerAddress(entry)
	if !ok {
		return out, errors.Mark(errors.Newf("entry host %s is gone", entry), connector.ErrNotSent)
	}
	err := s.client.Call(ctx, address, messenger.MethodForward, req, &out)
	return out, err
}

// peerAddress returns the address of a live entry host, and false if it is not live.
func (s *Server) peerAddress(entry identifier.Entry) (string, bool) {
	for _, r := range s.table.Alive() {
		if r.Entry == entry {
			return r.Address, true
		}
	}
	return "", false
}

// runHeartbeats exchanges heartbeats with the other entry hosts until ctx is done. Each round also
// updates the router's view of the members and, until this host has caught up, tries at intervals
// to load the state from a peer.
func (s *Server) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(s.cfg.Members.Interval.Std())
	defer ticker.Stop()
	for n := 0; ; n++ {
		s.table.Tick()
		free, inFlight := s.router.Report()
		ready, version := s.ready(), s.coord.Status().Version
		s.table.UpdateSelf(func(r *heartbeater.Report) {
			r.Free, r.InFlight, r.Ready, r.Version = free, inFlight, ready, version
		})
		for _, to := range s.table.Targets(n%remoteBeatEvery == 0, rand.IntN) {
			go s.sendBeat(ctx, to)
		}
		s.updateRouter()
		if !s.coord.Status().CaughtUp && n%remoteBeatEvery == 0 {
			s.loadStateFromPeer(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// sendBeat sends one heartbeat and processes the reply.
func (s *Server) sendBeat(ctx context.Context, to heartbeater.Address) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Members.Dead.Std())
	defer cancel()
	var reply heartbeater.Heartbeat
	if err := s.client.Call(ctx, to.Address, messenger.MethodHeartbeat, s.table.Heartbeat(to.DataCentre), &reply); err != nil {
		s.logger.Debug("heartbeat not answered", zap.String("peer", to.Address), zap.Error(err))
		return
	}
	s.table.Receive(reply)
}

// receiveBeat processes a peer's heartbeat and returns this host's own for the reply.
func (s *Server) receiveBeat(b heartbeater.Heartbeat) (heartbeater.Heartbeat, error) {
	s.table.Receive(b)
	from := s.cfg.DataCentre
	if len(b.Reports) > 0 {
		from = b.Reports[0].DataCentre
	}
	return s.table.Heartbeat(from), nil
}

// localPeerReports returns the last reports of the other live entry hosts of this data centre.
func (s *Server) localPeerReports() []heartbeater.Report {
	return slices.DeleteFunc(s.table.Alive(), func(r heartbeater.Report) bool { return r.DataCentre != s.cfg.DataCentre })
}

// localPeerIncarnations returns the incarnations of the other live entry hosts of this data centre.
func (s *Server) localPeerIncarnations() []identifier.Incarnation {
	var out []identifier.Incarnation
	for _, r := range s.localPeerReports() {
		out = append(out, r.Incarnation)
	}
	return out
}

// updateRouter passes the members and their load to the router. Hosts that are leaving or not ready
// are passed without free slots, so that no requests are forwarded to them.
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

// loadStateFromPeer loads the state of all streams from a ready host of this data centre, so that
// this host can start while the log is unavailable.
func (s *Server) loadStateFromPeer(ctx context.Context) {
	for _, r := range s.localPeerReports() {
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
			s.logger.Info("state loaded from peer", zap.String("peer", string(r.Entry)))
			return
		}
		s.logger.Warn("state not loaded from peer", zap.String("peer", string(r.Entry)), zap.Error(err))
	}
}

// exportState returns the state of all streams for a peer that cannot read the log.
func (s *Server) exportState() (any, error) {
	if !s.caughtUp() {
		return nil, refuser.New(refuser.CodeNotReady, "this entry host has not caught up")
	}
	return s.coord.StreamStates()
}
