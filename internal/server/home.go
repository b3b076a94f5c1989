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
	// registrationReplicas is the number of entry hosts that record the ID of a non-idempotent
	// request.
	registrationReplicas = 3
	registerTimeout      = time.Second
	// syncRounds is how many times a new host copies the recorded IDs of a peer. One round is not
	// enough: until all peers know the new host, they register requests without it.
	syncRounds   = 5
	syncInterval = time.Second
	syncTimeout  = 5 * time.Second
)

// registration records one attempt of a caller to send a non-idempotent request, as exchanged
// between entry hosts. Hosts use it to refuse a request that was already sent.
type registration struct {
	ID   identifier.Request `json:"id"`
	Send deduper.SendID     `json:"send"`
}

// syncedSendID is the send ID under which IDs copied from a peer are registered. It differs from
// every real send ID, so that a later send of such a request is refused as a duplicate.
const syncedSendID deduper.SendID = "peer"

// register records a non-idempotent request at its replicas and returns the addresses of those that
// recorded it. It refuses a request that was sent before. A replica that refuses the connection is
// skipped, since its process and its records are gone. If a replica does not answer, the request is
// refused: that replica may have recorded an earlier send of it. The error is a refusal.
func (s *Server) register(ctx context.Context, r registration) ([]string, error) {
	replicas, err := s.replicasOf(r.ID)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var registered []string
	for _, address := range replicas {
		fresh, err := s.registerAtReplica(ctx, address, r)
		switch {
		case err != nil && errors.Is(err, syscall.ECONNREFUSED):
			continue
		case err != nil:
			s.deregister(append(registered, address), r)
			return nil, replicasUnreachable(r.ID)
		case !fresh:
			refusal := refuser.NewUnknown(refuser.CodeDuplicate, "request %q was sent before", r.ID)
			refusal.ID = string(r.ID)
			return nil, refusal
		}
		registered = append(registered, address)
	}
	if len(registered) == 0 {
		return nil, replicasUnreachable(r.ID)
	}
	return registered, nil
}

// replicasUnreachable returns the refusal of a request that could not be registered.
func replicasUnreachable(id identifier.Request) error {
	return refuser.New(refuser.CodeUnavailable, "the home of request %q cannot be reached", id)
}

// registerAtReplica records a request at one entry host and reports whether it is new there. If the
// connection breaks during the call, it calls once more to find out whether the host is gone.
func (s *Server) registerAtReplica(ctx context.Context, address string, r registration) (bool, error) {
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

// syncRegistrations copies the recorded request IDs of peers in this data centre, syncRounds times
// after the start.
func (s *Server) syncRegistrations(ctx context.Context) error {
	for n := 0; n < syncRounds && ctx.Err() == nil; {
		if s.syncRegistrationsOnce(ctx) {
			n++
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncInterval):
		}
	}
	return nil
}

// syncRegistrationsOnce copies the recorded request IDs of a random peer in this data centre. It
// reports whether that succeeded.
func (s *Server) syncRegistrationsOnce(ctx context.Context) bool {
	peers := s.localPeerReports()
	if len(peers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var ids []identifier.Request
	address := peers[rand.IntN(len(peers))].Address
	if err := s.client.Call(ctx, address, messenger.MethodKnownRequests, struct{}{}, &ids); err != nil {
		s.logger.Debug("request IDs not copied from peer", zap.String("peer", address), zap.Error(err))
		return false
	}
	for _, id := range ids {
		s.deduper.Register(id, syncedSendID)
	}
	return true
}

// deregister removes the record of a request that was certainly not executed, so that the caller
// may send it again.
func (s *Server) deregister(replicas []string, r registration) {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	for _, address := range replicas {
		if address == s.cfg.Listen.Peers {
			s.deduper.Deregister(r.ID, r.Send)
			continue
		}
		var done bool
		if err := s.client.Call(ctx, address, messenger.MethodDeregister, r, &done); err != nil {
			s.logger.Debug("request not deregistered at peer", zap.String("request", string(r.ID)), zap.Error(err))
		}
	}
}

// replicasOf returns the addresses of the entry hosts that record a request: up to
// registrationReplicas hosts of its home data centre, chosen by rendezvous hashing. The error is a
// refusal.
func (s *Server) replicasOf(id identifier.Request) ([]string, error) {
	home := s.homeDataCentre(id)
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
	for _, c := range list[:min(len(list), registrationReplicas)] {
		out = append(out, c.address)
	}
	return out, nil
}

// homeDataCentre returns the data centre whose entry hosts record a request. It is chosen by
// rendezvous hashing over the data centres in service, and is this one if there are none.
func (s *Server) homeDataCentre(id identifier.Request) identifier.DataCentre {
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
