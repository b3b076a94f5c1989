package coordinator

import (
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Status says how far this host has read and what it holds.
type Status struct {
	CaughtUp    bool                     `json:"caughtUp"`
	Version     identifier.ConfigVersion `json:"version"`
	HoldsLease  bool                     `json:"holdsLease"`
	Epoch       identifier.Epoch         `json:"epoch"`
	LeaseHolder identifier.Entry         `json:"leaseHolder"`
	Hosts       bool                     `json:"hosts"`
}

// Status returns how far this host has read and what it holds. It has caught up
// once every stream was read to its head, or loaded from a peer.
func (c *Coordinator) Status() Status {
	var s Status
	s.CaughtUp = true
	for _, st := range c.streams() {
		if _, known := st.follower.Position(); !known || (st.follower.CaughtUpAt().IsZero() && !c.wasLoaded()) {
			s.CaughtUp = false
		}
	}
	c.config.follower.View(func() { s.Version = c.configFold.Version() })
	c.cell.follower.View(func() {
		s.HoldsLease, s.Epoch, s.LeaseHolder = c.lessor.Held(), c.lessor.Epoch(), c.lessor.HolderEntry()
	})
	c.mu.Lock()
	s.Hosts = c.hasHosts
	c.mu.Unlock()
	return s
}

// StreamState is the folded state of a stream as one host passes it to another.
type StreamState struct {
	Stream identifier.Stream `json:"stream"`
	Next   identifier.Offset `json:"next"`
	State  []byte            `json:"state"`
}

// StreamStates returns the state of every stream that is known here.
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

// LoadStates takes the states that a ready peer of the same data centre passed on,
// for a host that starts while the log cannot be reached.
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
	c.loaded = len(byName) == 0
	c.mu.Unlock()
	c.configChanged()
	return nil
}

func (c *Coordinator) wasLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}
