package simulator

import (
	"context"
	"encoding/json"
	"maps"
	"sync"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/relayer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// Server serves a store, a fleet and a directory to scheduling hosts over JSON-RPC.
type Server struct {
	store  connector.Store
	fleet  *Fleet
	runner connector.Runner

	mu        sync.Mutex
	directory connector.Directory
}

// NewServer returns a server; directory holds the configuration, without workers.
func NewServer(store *Store, fleet *Fleet, directory connector.Directory) *Server {
	runner, _ := fleet.Client()
	return &Server{store: store.Client("server"), fleet: fleet, runner: runner, directory: directory}
}

// EvacuateCall takes a data centre out of service or back into it.
type EvacuateCall struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Out        bool                  `json:"out"`
}

// Verdict is what the fleet has recorded.
type Verdict struct {
	Starts   int      `json:"starts"`
	Breaches []string `json:"breaches"`
}

// Handle answers one call. It is a messenger.Handler.
func (s *Server) Handle(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodStart, messenger.MethodStop, messenger.MethodHold, messenger.MethodPace:
		return s.order(ctx, method, params)
	case messenger.MethodDirectory:
		return s.current(), nil
	case messenger.MethodEvacuate:
		return decoded(params, s.evacuate)
	case messenger.MethodVerify:
		return Verdict{s.fleet.Starts(), s.fleet.Breaches()}, nil
	default:
		out, ok, err := relayer.Serve(ctx, s.store, method, params)
		if !ok {
			return nil, refuser.New(refuser.CodeNotFound, "there is no method %q", method)
		}
		return out, err
	}
}

// decoded decodes the params of a call and calls fn.
func decoded[In, Out any](params json.RawMessage, fn func(In) (Out, error)) (any, error) {
	var in In
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "params are not readable: %v", err)
	}
	return fn(in)
}

func (s *Server) order(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodStart:
		return decoded(params, func(c dialer.StartCall) (connector.OrderAnswer, error) { return s.runner.Start(ctx, c.To, c.Order) })
	case messenger.MethodStop:
		return decoded(params, func(c dialer.RunCall) (connector.OrderAnswer, error) {
			return s.runner.Stop(ctx, c.To, c.Run, c.Epoch)
		})
	case messenger.MethodPace:
		return decoded(params, func(c dialer.RunCall) (connector.OrderAnswer, error) {
			return s.runner.Pace(ctx, c.To, c.Run, c.Percent, c.Epoch)
		})
	default:
		return decoded(params, func(c dialer.HoldCall) (connector.HoldAnswer, error) { return s.runner.Hold(ctx, c.To, c.Order) })
	}
}

func (s *Server) current() connector.Directory {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.directory
	out.Evacuated = maps.Clone(s.directory.Evacuated)
	out.Workers = s.fleet.Entries()
	return out
}

func (s *Server) evacuate(c EvacuateCall) (connector.Directory, error) {
	s.mu.Lock()
	if c.Out {
		s.directory.Evacuated[c.DataCentre] = true
	} else {
		delete(s.directory.Evacuated, c.DataCentre)
	}
	s.mu.Unlock()
	return s.current(), nil
}
