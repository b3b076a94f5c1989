package coordinator

import (
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Status describes how far this host has read the log, and whether it holds the cell lease. Hosts
// is set once the platform's host list has been read.
type Status struct {
	CaughtUp    bool                     `json:"caughtUp"`
	Version     identifier.ConfigVersion `json:"version"`
	HoldsLease  bool                     `json:"holdsLease"`
	Epoch       identifier.Epoch         `json:"epoch"`
	LeaseHolder identifier.Entry         `json:"leaseHolder"`
	Hosts       bool                     `json:"hosts"`
}

// Status returns the present status. The host has caught up once it has read every stream to its
// head, or loaded the state of all streams from a peer.
func (c *Coordinator) Status() Status {
	var s Status
	s.CaughtUp = true
	for _, st := range c.streams() {
		if _, known := st.follower.Position(); !known || (st.follower.CaughtUpAt().IsZero() && !c.isLoadedFromPeer()) {
			s.CaughtUp = false
		}
	}
	c.config.follower.View(func() { s.Version = c.configFSM.Version() })
	c.cell.follower.View(func() {
		s.HoldsLease, s.Epoch, s.LeaseHolder = c.lease.Held(), c.lease.Epoch(), c.lease.HolderEntry()
	})
	c.mu.Lock()
	s.Hosts = c.hasHosts
	c.mu.Unlock()
	return s
}

// StreamState is the encoded state of a stream up to the offset Next, as one host passes it to
// another.
type StreamState struct {
	Stream identifier.Stream `json:"stream"`
	Next   identifier.Offset `json:"next"`
	State  []byte            `json:"state"`
}

// StreamStates returns the state of every stream whose state this host knows.
func (c *Coordinator) StreamStates() ([]StreamState, error) {
	var out []StreamState
	for _, st := range c.streams() {
		next, state, known, err := st.follower.State()
		if err != nil {
			return nil, err
		}
		if known {
			out = append(out, StreamState{st.name, next, state})
		}
	}
	return out, nil
}

// LoadStates loads the states that a ready peer of the same data centre passed on. It lets a host
// start while the log cannot be reached. Streams that this host does not follow are ignored.
func (c *Coordinator) LoadStates(states []StreamState) error {
	byName := map[identifier.Stream]stream{}
	for _, st := range c.streams() {
		byName[st.name] = st
	}
	for _, s := range states {
		st, ok := byName[s.Stream]
		if !ok {
			continue
		}
		if err := st.follower.LoadState(s.Next, s.State); err != nil {
			return err
		}
		delete(byName, s.Stream)
	}
	c.mu.Lock()
	c.loadedFromPeer = len(byName) == 0
	c.mu.Unlock()
	c.configChanged()
	return nil
}

func (c *Coordinator) isLoadedFromPeer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadedFromPeer
}
