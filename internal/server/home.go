package server

import (
	"context"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/deduper"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// registerCopies is how many entry hosts remember the identity of a
	// non-idempotent request.
	registerCopies  = 3
	registerTimeout = time.Second
	// memoryPulls is how often a new host asks its peers for the identities that
	// they remember; the later ones cover what was registered before all peers
	// knew of it.
	memoryPulls    = 5
	memoryInterval = time.Second
	memoryTimeout  = 5 * time.Second
)

// registration is one send of a non-idempotent request, as hosts tell each other.
type registration struct {
	ID   identifier.Request `json:"id"`
	Send deduper.SendID     `json:"send"`
}

// pulledFromPeer stands for the send of identities that a peer remembers.
const pulledFromPeer deduper.SendID = "peer"

// register remembers the identity of a non-idempotent request at its home, the
// entry hosts of a data centre that its hash chooses. A copy whose process is
// gone is passed over, one that does not answer is not. The error is a refusal.
func (s *Server) register(ctx context.Context, r registration) ([]string, error) {
	homes, err := s.homesOf(r.ID)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var kept []string
	for _, address := range homes {
		fresh, err := s.registerAt(ctx, address, r)
		switch {
		case err != nil && errors.Is(err, syscall.ECONNREFUSED):
			continue
		case err != nil:
			s.deregister(append(kept, address), r)
			return nil, homeUnreachable(r.ID)
		case !fresh:
			refusal := refuser.NewUnknown(refuser.CodeDuplicate, "request %q was sent before", r.ID)
			refusal.ID = string(r.ID)
			return nil, refusal
		}
		kept = append(kept, address)
	}
	if len(kept) == 0 {
		return nil, homeUnreachable(r.ID)
	}
	return kept, nil
}

func homeUnreachable(id identifier.Request) error {
	return refuser.New(refuser.CodeUnavailable, "the home of request %q cannot be reached", id)
}

// registerAt registers at one host. A connection that broke is tried once more,
// to learn whether the host is gone.
func (s *Server) registerAt(ctx context.Context, address string, r registration) (bool, error) {
	if address == s.cfg.Listen.Peers {
		return s.deduper.Register(r.ID, r.Send), nil
	}
	var fresh bool
	err := s.client.Call(ctx, address, messenger.MethodRegister, r, &fresh)
	if err != nil && errors.Is(err, connector.ErrUnknown) && ctx.Err() == nil {
		err = s.client.Call(ctx, address, messenger.MethodRegister, r, &fresh)
	}
	return fresh, err
}

// pullMemory takes the remembered identities of a peer of this data centre a
// few times after the start.
func (s *Server) pullMemory(ctx context.Context) error {
	for n := 0; n < memoryPulls && ctx.Err() == nil; {
		if s.pullMemoryOnce(ctx) {
			n++
		}
		select {
		case <-ctx.Done():
		case <-time.After(memoryInterval):
		}
	}
	return nil
}

func (s *Server) pullMemoryOnce(ctx context.Context) bool {
	peers := s.neighbours()
	if len(peers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	var known []identifier.Request
	address := peers[rand.IntN(len(peers))].Address
	if err := s.client.Call(ctx, address, messenger.MethodKnownRequests, struct{}{}, &known); err != nil {
		s.logger.Debug("memory not taken from peer", zap.String("peer", address), zap.Error(err))
		return false
	}
	for _, id := range known {
		s.deduper.Register(id, pulledFromPeer)
	}
	return true
}

// deregister forgets a request that was certainly not executed.
func (s *Server) deregister(homes []string, r registration) {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	for _, address := range homes {
		if address == s.cfg.Listen.Peers {
			s.deduper.Deregister(r.ID, r.Send)
			continue
		}
		var done bool
		if err := s.client.Call(ctx, address, messenger.MethodDeregister, r, &done); err != nil {
			s.logger.Debug("request stays registered", zap.String("request", string(r.ID)), zap.Error(err))
		}
	}
}

// homesOf returns the addresses of the entry hosts that remember a request.
func (s *Server) homesOf(id identifier.Request) ([]string, error) {
	home := s.homeOf(id)
	type candidate struct {
		rank    uint64
		address string
	}
	var list []candidate
	add := func(entry identifier.Entry, address string) {
		list = append(list, candidate{identifier.Rank(string(id), string(entry)), address})
	}
	if home == s.cfg.DataCentre {
		add(s.cfg.Name, s.cfg.Listen.Peers)
	}
	for _, r := range s.table.Alive() {
		if r.DataCentre == home {
			add(r.Entry, r.Address)
		}
	}
	if len(list) == 0 {
		return nil, refuser.New(refuser.CodeUnavailable, "the home of request %q, data centre %q, cannot be reached", id, home)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].rank > list[j].rank })
	var out []string
	for _, c := range list[:min(len(list), registerCopies)] {
		out = append(out, c.address)
	}
	return out, nil
}

// homeOf returns the data centre that remembers a request.
func (s *Server) homeOf(id identifier.Request) identifier.DataCentre {
	best, rank := s.cfg.DataCentre, uint64(0)
	for name, dc := range s.coord.ConfigSet().DataCentres {
		if dc.State != parser.InService {
			continue
		}
		if v := identifier.Rank(string(id), string(name)); v > rank {
			best, rank = name, v
		}
	}
	return best
}
