package router

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

func testConfig() *checker.Set {
	return checker.NewSet(
		&parser.Service{Name: "desk", Policy: "p"},
		&parser.PlacementPolicy{Name: "p", DataCentres: []identifier.DataCentre{"a", "b", "c"}},
		&parser.DataCentre{Name: "a", State: parser.InService},
		&parser.DataCentre{Name: "b", State: parser.Drained},
		&parser.DataCentre{Name: "c", State: parser.InService},
	)
}

func testHosts(n int) []connector.MinionHost {
	var out []connector.MinionHost
	for i := range n {
		out = append(out, connector.MinionHost{
			ID: identifier.Minion(fmt.Sprint("m", i)), DataCentre: "a", Services: []identifier.Service{"desk"},
			Slots: 8, Connections: 64, State: connector.HostLive,
		})
	}
	return out
}

func newTestRouter(self identifier.Entry, minions int) *Router {
	r := New(self, "a")
	r.SetConfig(testConfig())
	r.SetHosts(testHosts(minions))
	return r
}

// TestEveryMinionHasOneOwner checks that entry hosts that know the same members take, together,
// exactly the slots of each minion: none is owned by two hosts, and none by no host.
func TestEveryMinionHasOneOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var members []identifier.Entry
		for i := range rapid.IntRange(1, 8).Draw(rt, "members") {
			members = append(members, identifier.Entry(fmt.Sprint("e", i)))
		}
		minions := rapid.IntRange(1, 65).Draw(rt, "minions")
		owners := map[identifier.Minion]int{}
		for _, self := range members {
			r := newTestRouter(self, minions)
			r.SetMembers(members, nil)
			for {
				c, ok := r.Choose("desk", NewExclusions(), true).(Local)
				if !ok {
					break
				}
				owners[c.Host.ID]++
			}
		}
		for i := range minions {
			if n := owners[identifier.Minion(fmt.Sprint("m", i))]; n != 8 {
				rt.Fatalf("minion m%d: %d slots taken by all entry hosts together, want 8", i, n)
			}
		}
	})
}

func TestChoose(t *testing.T) {
	peer := func(e identifier.Entry, dc identifier.DataCentre, free int) Peer {
		return Peer{Entry: e, DataCentre: dc, Free: map[identifier.Service]int{"desk": free}}
	}
	tests := map[string]struct {
		minions int
		members []identifier.Entry
		peers   []Peer
		service identifier.Service
		drained bool
		want    string
	}{
		"own minion":                     {minions: 1, members: []identifier.Entry{"e1"}, want: "local"},
		"owner in the same data centre":  {members: []identifier.Entry{"e2"}, minions: 1, peers: []Peer{peer("e2", "a", 2), peer("e3", "c", 9)}, want: "e2"},
		"other data centre when full":    {members: []identifier.Entry{"e2"}, minions: 1, peers: []Peer{peer("e2", "a", 0), peer("e3", "c", 9)}, want: "e3"},
		"never a drained data centre":    {members: []identifier.Entry{"e2"}, minions: 1, peers: []Peer{peer("e3", "b", 9)}, want: "wait"},
		"ownership changing":             {members: []identifier.Entry{"e2"}, minions: 1, want: "wait"},
		"other data centre when drained": {minions: 1, members: []identifier.Entry{"e1"}, peers: []Peer{peer("e3", "c", 1)}, drained: true, want: "e3"},
		"own minion when drained alone":  {minions: 1, members: []identifier.Entry{"e1"}, drained: true, want: "local"},
		"no minion":                      {members: []identifier.Entry{"e1"}, want: "none"},
		"no service":                     {members: []identifier.Entry{"e1"}, minions: 1, service: "other", want: "none"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter("e1", tc.minions)
			r.SetMembers(tc.members, tc.peers)
			if tc.drained {
				set := testConfig()
				set.DataCentres["a"].State = parser.Drained
				r.SetConfig(set)
			}
			service := identifier.Service("desk")
			if tc.service != "" {
				service = tc.service
			}
			if got := choiceName(r.Choose(service, NewExclusions(), false)); got != tc.want {
				t.Errorf("Choose returned %s, want %s", got, tc.want)
			}
		})
	}
}

func choiceName(c Choice) string {
	switch c := c.(type) {
	case Local:
		return "local"
	case Forward:
		return string(c.Entry)
	case Wait:
		return "wait"
	default:
		return "none"
	}
}

// TestEjectionKeepsHalfInUse checks that at least half of the minions get requests when all of them
// have failed, and that all of them do once the ejections have ended.
func TestEjectionKeepsHalfInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter("e1", 10)
		for range 200 {
			c, ok := r.Choose("desk", NewExclusions(), true).(Local)
			if !ok {
				t.Fatal("no minion can be chosen")
			}
			c.Done(ResultFailed)
		}
		used := map[identifier.Minion]bool{}
		for range 400 {
			c, _ := r.Choose("desk", NewExclusions(), true).(Local)
			used[c.Host.ID] = true
			c.Done(ResultAnswered)
		}
		if len(used) < 5 {
			t.Errorf("%d of 10 minions in use, want at least half", len(used))
		}
		time.Sleep(maxEjection)
		for range 400 {
			c, _ := r.Choose("desk", NewExclusions(), true).(Local)
			used[c.Host.ID] = true
			c.Done(ResultAnswered)
		}
		if len(used) != 10 {
			t.Errorf("%d of 10 minions in use after the ejections ended, want all", len(used))
		}
	})
}

// TestPeerRequestsCountAgainstSlots checks that requests that a peer reports in flight use up slots
// of a minion, as they do while its ownership changes.
func TestPeerRequestsCountAgainstSlots(t *testing.T) {
	r := newTestRouter("e1", 1)
	r.SetMembers([]identifier.Entry{"e1"}, []Peer{{Entry: "e2", DataCentre: "a", InFlight: map[identifier.Minion]int{"m0": 6}}})
	taken := 0
	for {
		if _, ok := r.Choose("desk", NewExclusions(), true).(Local); !ok {
			break
		}
		taken++
	}
	if taken != 2 {
		t.Errorf("took %d slots beside 6 requests of a peer, want 2", taken)
	}
}
