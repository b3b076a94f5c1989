package supervisor

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// configPeers is the maximum number of hosts that are asked for a newer configuration.
	configPeers = 6
	// configTimeout bounds these calls, so that hosts which are gone hardly delay a start.
	configTimeout = 300 * time.Millisecond
	// hostsCheckInterval is how often a host that knows no others looks for them.
	hostsCheckInterval = 10 * time.Millisecond
)

// configRequest asks another host for its configuration if that is newer than a version.
type configRequest struct {
	NewerThan identifier.ConfigVersion `json:"newerThan"`
}

// configResponse has the version that a host has in force, and its record if it is newer than the
// one in the request.
type configResponse struct {
	Version identifier.ConfigVersion `json:"version"`
	Record  []byte                   `json:"record,omitempty"`
	// host is the address of the host, set by the receiver.
	host string
}

// handleConfig answers a configRequest.
func (s *Supervisor) handleConfig(params json.RawMessage) (any, error) {
	var in configRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	out := configResponse{}
	out.Version, out.Record = s.directory.ConfigRecord()
	if out.Version <= in.NewerThan {
		out.Record = nil
	}
	return out, nil
}

// NewerConfig returns the record of the newest configuration of other hosts, and the address of the
// host that has it, or no record if none of those that answer has a newer one than a version.
func (s *Supervisor) NewerConfig(ctx context.Context, version identifier.ConfigVersion) (record []byte, host string) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	if s.locator.LastLookup().IsZero() {
		s.locator.Refresh(ctx)
	}
	s.awaitHosts(ctx)
	peers := s.hostsToAsk()
	answers := make(chan configResponse, len(peers))
	for _, peer := range peers {
		go func() {
			var out configResponse
			if err := s.rpc.Call(ctx, peer, messenger.MethodConfig, configRequest{NewerThan: version}, &out); err != nil {
				s.logger.Debug("host not asked for its configuration", zap.String("peer", peer), logger.Err(err))
				out = configResponse{}
			}
			out.host = peer
			answers <- out
		}()
	}
	newest := configResponse{Version: version}
	for range peers {
		if a := <-answers; a.Version > newest.Version && len(a.Record) > 0 {
			newest = a
		}
	}
	return newest.Record, newest.host
}

// awaitHosts waits until other hosts are known, or all announcements of hosts have been read: this
// process may have just started, and the last holder may have been its predecessor.
func (s *Supervisor) awaitHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout/2)
	defer cancel()
	for ctx.Err() == nil && len(s.hostsToAsk()) == 0 {
		if _, loaded := s.announcer.LargestCores(); loaded {
			return
		}
		sleeper.Pause(ctx, hostsCheckInterval)
	}
}

// hostsToAsk returns the addresses of other hosts, those that hold or have held a cell first.
func (s *Supervisor) hostsToAsk() []string {
	peers := s.locator.Peers()
	for _, address := range s.announcer.Addresses() {
		if address != s.settings.PeerAddress && !slices.Contains(peers, address) {
			peers = append(peers, address)
		}
	}
	return peers[:min(len(peers), configPeers)]
}

// configVersion returns the newest version of the configuration that this host knows of.
func (s *Supervisor) configVersion() identifier.ConfigVersion {
	d := s.directory.Current()
	return max(d.Version, d.Expected)
}
