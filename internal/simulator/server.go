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

// Server serves a simulated store, fleet and directory to scheduling hosts over JSON-RPC.
type Server struct {
	store  *Store
	fleet  *Fleet
	runner connector.Runner

	mu        sync.Mutex
	directory connector.Directory
}

// NewServer returns a server. The directory holds the configuration only; its workers are those
// of the fleet.
func NewServer(store *Store, fleet *Fleet, directory connector.Directory) *Server {
	runner, _ := fleet.Client()
	return &Server{store: store, fleet: fleet, runner: runner, directory: directory}
}

// EvacuateCall evacuates a data centre or, with Out unset, puts it back into service.
type EvacuateCall struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Out        bool                  `json:"out"`
}

// VerifyCall requests the fleet's records, with the events from index From on.
type VerifyCall struct {
	From int `json:"from"`
}

const (
	// maxEvents limits the events of one Verdict.
	maxEvents = 5000
	// listedAfterLeaving is how long the directory still lists a worker that has left.
	listedAfterLeaving = 2 * time.Second
)

// Verdict holds the fleet's records, with at most maxEvents events.
type Verdict struct {
	Starts   int        `json:"starts"`
	Breaches []string   `json:"breaches"`
	Events   []RunEvent `json:"events,omitempty"`
}

// FaultsCall replaces the faults of the store and of all workers; workers that it does not name
// have none. It also triggers one-off faults.
type FaultsCall struct {
	Store   StoreFaults                        `json:"store"`
	Workers map[identifier.Worker]WorkerFaults `json:"workers,omitempty"`
	// ExpireTopics are the topics whose history the store drops, once.
	ExpireTopics []connector.Topic `json:"forget,omitempty"`
	// Crash maps each worker that crashes to the time until it boots again.
	Crash map[identifier.Worker]time.Duration `json:"crash,omitempty"`
	// Leave are workers to remove, and Return are workers to bring back.
	Leave  []identifier.Worker `json:"leave,omitempty"`
	Return []identifier.Worker `json:"return,omitempty"`
}

// Handle answers a call under the store client name "server". It is a messenger.Handler.
func (s *Server) Handle(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	return s.HandlerOf("server")(ctx, method, params)
}

// HandlerOf returns a messenger.Handler whose store calls are made under a client name, so that
// StoreFaults can apply to that client alone.
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
		return s.currentDirectory(), nil
	case messenger.MethodEvacuate:
		return decodeAndCall(params, s.evacuate)
	case messenger.MethodPublish:
		return s.publish(), nil
	case messenger.MethodVerify:
		return decodeAndCall(params, func(c VerifyCall) (Verdict, error) {
			return Verdict{s.fleet.Starts(), s.fleet.Breaches(), s.fleet.Events(c.From, maxEvents)}, nil
		})
	case messenger.MethodFaults:
		return decodeAndCall(params, s.setFaults)
	default:
		out, ok, err := relayer.Serve(ctx, store, method, params)
		if !ok {
			return nil, refuser.New(refuser.CodeNotFound, "there is no method %q", method)
		}
		return out, err
	}
}

// decodeAndCall decodes the parameters of a call and passes them to fn.
func decodeAndCall[In, Out any](params json.RawMessage, fn func(In) (Out, error)) (any, error) {
	var in In
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "params are not readable: %v", err)
	}
	return fn(in)
}

func (s *Server) order(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodStart:
		return decodeAndCall(params, func(c dialer.StartCall) (connector.OrderAnswer, error) { return s.runner.Start(ctx, c.To, c.Order) })
	case messenger.MethodStop:
		return decodeAndCall(params, func(c dialer.RunCall) (connector.OrderAnswer, error) {
			return s.runner.Stop(ctx, c.To, c.Run, c.Epoch)
		})
	case messenger.MethodPace:
		return decodeAndCall(params, func(c dialer.RunCall) (connector.OrderAnswer, error) {
			return s.runner.SetPace(ctx, c.To, c.Run, c.Percent, c.Epoch)
		})
	default:
		return decodeAndCall(params, func(c dialer.HoldCall) (connector.HoldAnswer, error) { return s.runner.Hold(ctx, c.To, c.Order) })
	}
}

// currentDirectory returns the configuration with the workers that the fleet lists.
func (s *Server) currentDirectory() connector.Directory {
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
	return s.currentDirectory(), nil
}

// publish puts the next version of the configuration, which differs in nothing else, into force. It
// returns that version.
func (s *Server) publish() identifier.ConfigVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.Version++
	return s.directory.Version
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
