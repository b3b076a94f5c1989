package limiter

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestSharesFitIntoTheHost checks that the listeners together leave most of a host to its own work,
// whatever its size.
func TestSharesFitIntoTheHost(t *testing.T) {
	for name, size := range map[string]HostSize{
		"machine of the platform": {Memory: 184 << 20, Descriptors: 4100, Link: 125_000_000},
		"small":                   {Memory: 96 << 20, Descriptors: 200},
		"unknown":                 {},
	} {
		b := NewBudget(size, SetLimits{})
		var memory Bytes
		connections := 0
		for _, door := range []DoorName{DoorFront, DoorPeers, DoorAdmin, DoorMetrics, DoorReady} {
			d := b.Door(door)
			memory += d.memory
			connections += d.connections
			// A readiness probe that takes over a second has failed already.
			least := map[DoorName]time.Duration{DoorReady: probeTime}
			if d.transferTime < cmp.Or(least[door], minTransferTime) {
				t.Errorf("%s: %s has %v for a transfer", name, door, d.transferTime)
			}
		}
		if memory > b.size.Memory/3 || connections > b.size.Descriptors*3/4 {
			t.Errorf("%s: %d bytes and %d connections of %+v", name, memory, connections, b.size)
		}
	}
}

// TestSetLimitsReplaceShares checks that limits that are set go before those that follow from the
// host, one by one.
func TestSetLimitsReplaceShares(t *testing.T) {
	b := NewBudget(HostSize{Memory: 184 << 20, Descriptors: 4100}, SetLimits{
		Front: DoorLimits{Memory: 1 << 20, Connections: 7, TransferTime: time.Second}, Admin: DoorLimits{Connections: 9},
	})
	front, admin := b.Door(DoorFront), b.Door(DoorAdmin)
	if front.memory != 1<<20 || front.connections != 7 || front.transferTime != time.Second {
		t.Errorf("the front has %d bytes, %d connections, %v", front.memory, front.connections, front.transferTime)
	}
	if admin.memory != 184<<20/40 || admin.connections != 9 || admin.transferTime != minTransferTime {
		t.Errorf("the job commands have %d bytes, %d connections, %v", admin.memory, admin.connections, admin.transferTime)
	}
}

// testDoor returns a door with room for a number of connections.
func testDoor(connections int) *Door {
	d := NewBudget(HostSize{}, SetLimits{}).Door(DoorFront)
	d.connections, d.perAddress = connections, max(connections*3/4, 1)
	return d
}

// TestNewConnectionsEvictTheLongestWaiting checks which connection gives way when a door is full.
func TestNewConnectionsEvictTheLongestWaiting(t *testing.T) {
	type event struct {
		open, begin, wait, close string
		// evicted is the connection that is closed, refused is set if the new one is.
		evicted string
		refused bool
	}
	for name, events := range map[string][]event{
		"longest waiting":             {{open: "a1"}, {open: "b1"}, {open: "c1"}, {open: "d1"}, {open: "e1", evicted: "a1"}},
		"not one with a request":      {{open: "a1"}, {begin: "a1"}, {open: "b1"}, {open: "c1"}, {open: "d1"}, {open: "e1", evicted: "b1"}},
		"its wait begins anew":        {{open: "a1"}, {begin: "a1"}, {wait: "a1"}, {open: "b1"}, {begin: "a1"}, {wait: "a1"}, {open: "c1"}, {open: "d1"}, {open: "e1", evicted: "b1"}},
		"one of the same address":     {{open: "b1"}, {open: "a1"}, {open: "a2"}, {open: "a3"}, {open: "a4", evicted: "a1"}},
		"all of an address have work": {{open: "a1"}, {begin: "a1"}, {open: "a2"}, {begin: "a2"}, {open: "a3"}, {begin: "a3"}, {open: "a4", refused: true}, {open: "b1"}},
		"all have work":               {{open: "a1"}, {begin: "a1"}, {open: "b1"}, {begin: "b1"}, {open: "c1"}, {begin: "c1"}, {open: "d1"}, {begin: "d1"}, {open: "e1", refused: true}, {close: "b1"}, {open: "f1"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := testDoor(4)
			slots := map[string]*Slot{}
			for n, e := range events {
				evicted := ""
				switch {
				case e.open != "":
					s, ok := d.Open(e.open[:1], func() {})
					if ok == e.refused {
						t.Fatalf("event %d: admitted %v", n, ok)
					}
					slots[e.open] = s
					for name, s := range slots {
						if s != nil && s.closed {
							evicted = name
							delete(slots, name)
						}
					}
					if evicted != e.evicted {
						t.Fatalf("event %d: evicted %q, want %q", n, evicted, e.evicted)
					}
				case e.begin != "":
					slots[e.begin].Begin()
				case e.wait != "":
					slots[e.wait].Wait()
				case e.close != "":
					slots[e.close].Close()
					delete(slots, e.close)
				}
			}
		})
	}
}

// TestEvictedConnectionDoesNotBegin checks that a request that comes on an evicted connection is not
// served, and that closing it again gives no second place back.
func TestEvictedConnectionDoesNotBegin(t *testing.T) {
	d := testDoor(1)
	closed := 0
	first, _ := d.Open("a", func() { closed++ })
	if _, ok := d.Open("b", func() {}); !ok || closed != 1 {
		t.Fatalf("the second connection: admitted %v, the first one closed %d times", ok, closed)
	}
	if first.Begin() {
		t.Error("the evicted connection began a request")
	}
	first.Wait()
	first.Close()
	if d.open != 1 || d.waiting.Len() != 1 {
		t.Errorf("%d connections open, %d wait, want 1 and 1", d.open, d.waiting.Len())
	}
	if n := d.budget.TurnedAway()[DoorFront][TurnedEvicted]; n != 1 {
		t.Errorf("%d evictions counted, want 1", n)
	}
}

// TestLargeRequestsLeaveRoomForSmallOnes checks that large requests take a part of the memory only,
// and that what is taken is given back.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	d := testDoor(1)
	d.memory = 1 << 20
	var charges []Charge
	for {
		c := d.NewCharge()
		if !c.Grow(2 * smallCharge) {
			c.Release()
			break
		}
		charges = append(charges, c)
	}
	if d.large > d.memory/2 || d.large < d.memory/4 {
		t.Errorf("large requests have %d of %d bytes", d.large, d.memory)
	}
	small := d.NewCharge()
	if !small.Grow(smallCharge) {
		t.Error("no room for a small request")
	}
	if small.Grow(d.memory) {
		t.Error("a request took more than there is")
	}
	charges = append(charges, small)
	for i := range charges {
		charges[i].Shrink(1)
		charges[i].Release()
	}
	if d.taken != 0 || d.large != 0 {
		t.Errorf("%d bytes are taken and %d large after all were released", d.taken, d.large)
	}
}

// TestShapes checks which JSON texts exceed the shape of a job.
func TestShapes(t *testing.T) {
	list := func(n int, part string) string {
		return "[" + strings.TrimSuffix(strings.Repeat(part+",", n), ",") + "]"
	}
	step := func(after int) string { return fmt.Sprintf(`{"count":1,"cpu":100,"after":%s}`, list(after, "1")) }
	for name, tc := range map[string]struct {
		text    string
		refused bool
	}{
		"empty":                {"", false},
		"largest job":          {`{"steps":` + list(256, step(128)) + "}", false},
		"marks in text":        {`{"spec":"` + strings.Repeat(`{[\",:`, 20_000) + `"}`, false},
		"unfinished text":      {`{"spec":"\`, false},
		"many steps":           {`{"steps":` + list(20_000, "{}") + "}", true},
		"many entries":         {`{"steps":[` + step(100_000) + "]}", true},
		"many unknown fields":  {"{" + strings.Repeat(`"a":1,`, 100_000) + `"a":1}`, true},
		"deep":                 {strings.Repeat("[", 100), true},
		"closed without begin": {strings.Repeat("}", 100_000), false},
	} {
		shape, err := CheckShape([]byte(tc.text), MaxJobShape)
		if refused := errors.Is(err, ErrShape); refused != tc.refused || err != nil && !refused {
			t.Errorf("%s: %+v, error %v; refused should be %v", name, shape, err, tc.refused)
		}
	}
}
