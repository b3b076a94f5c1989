package simulator

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/relayer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// Server serves a store, a fleet and a directory to scheduling hosts over JSON-RPC.
type Server struct {
	store  *Store
	fleet  *Fleet
	runner connector.Runner

	mu        sync.Mutex
	directory connector.Directory
}

// NewServer returns a server; directory holds the configuration, without workers.
func NewServer(store *Store, fleet *Fleet, directory connector.Directory) *Server {
	runner, _ := fleet.Client()
	return &Server{store: store, fleet: fleet, runner: runner, directory: directory}
}

// EvacuateCall takes a data centre out of service or back into it.
type EvacuateCall struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Out        bool                  `json:"out"`
}

// VerifyCall asks for what the fleet has recorded, its events from an index on.
type VerifyCall struct {
	From int `json:"from"`
}

const (
	// maxEvents bounds the events of a verdict.
	maxEvents = 5000
	// listedAfterLeaving is how long the directory shows a worker that has left.
	listedAfterLeaving = 2 * time.Second
)

// Verdict is what the fleet has recorded. Events are at most maxEvents.
type Verdict struct {
	Starts   int        `json:"starts"`
	Breaches []string   `json:"breaches"`
	Events   []RunEvent `json:"events,omitempty"`
}

// FaultsCall replaces how the store and some workers misbehave.
type FaultsCall struct {
	Store   StoreFaults                        `json:"store"`
	Workers map[identifier.Worker]WorkerFaults `json:"workers,omitempty"`
	// ExpireTopics are topics whose history the store drops.
	ExpireTopics []connector.Topic `json:"forget,omitempty"`
	// Crash ends everything on workers, which begin anew after a pause.
	Crash map[identifier.Worker]time.Duration `json:"crash,omitempty"`
	// Leave and Return end workers for good, and let them begin again.
	Leave  []identifier.Worker `json:"leave,omitempty"`
	Return []identifier.Worker `json:"return,omitempty"`
}

// Handle answers one call. It is a messenger.Handler.
func (s *Server) Handle(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	return s.HandlerOf("server")(ctx, method, params)
}

// HandlerOf returns a messenger.Handler for the calls of one client of the store.
func (s *Server) HandlerOf(name string) messenger.Handler {
	store := s.store.Client(name)
	return func(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
		return s.handle(ctx, store, method, params)
	}
}

func (s *Server) handle(ctx context.Context, store connector.Store, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodStart, messenger.MethodStop, messenger.MethodHold, messenger.MethodPace:
		return s.order(ctx, method, params)
	case messenger.MethodDirectory:
		return s.current(), nil
	case messenger.MethodEvacuate:
		return decoded(params, s.evacuate)
	case messenger.MethodVerify:
		return decoded(params, func(c VerifyCall) (Verdict, error) {
			return Verdict{s.fleet.Starts(), s.fleet.Breaches(), s.fleet.Events(c.From, maxEvents)}, nil
		})
	case messenger.MethodFaults:
		return decoded(params, s.setFaults)
	default:
		out, ok, err := relayer.Serve(ctx, store, method, params)
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
			return s.runner.SetPace(ctx, c.To, c.Run, c.Percent, c.Epoch)
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

func (s *Server) setFaults(c FaultsCall) (struct{}, error) {
	s.store.SetFaults(c.Store)
	for _, topic := range c.ExpireTopics {
		s.store.ExpireHistory(topic)
	}
	s.fleet.ReplaceFaults(c.Workers)
	for id, pause := range c.Crash {
		s.fleet.Crash(id, pause)
	}
	for _, id := range c.Leave {
		s.fleet.Leave(id, listedAfterLeaving)
	}
	for _, id := range c.Return {
		s.fleet.Return(id)
	}
	return struct{}{}, nil
}
