package carrier

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

var now = time.UnixMilli(1_000_000)

func workerID(n int) identifier.Worker { return identifier.Worker(fmt.Sprintf("w%03d", n)) }

// TestWorkersStayNearAndWithinOffers checks where workers go.
func TestWorkersStayNearAndWithinOffers(t *testing.T) {
	tests := map[string]struct {
		hosts   []Offer
		workers map[identifier.DataCentre]int
		want    map[identifier.Entry]int
	}{
		"largest of the data centre first": {
			hosts:   []Offer{{"small", "a", 10}, {"large", "a", 40}, {"far", "b", 90}},
			workers: map[identifier.DataCentre]int{"a": 45},
			want:    map[identifier.Entry]int{"large": 40, "small": 5, "far": 0},
		},
		"elsewhere without room": {
			hosts:   []Offer{{"near", "a", 10}, {"far", "b", 90}},
			workers: map[identifier.DataCentre]int{"a": 30},
			want:    map[identifier.Entry]int{"near": 10, "far": 20},
		},
		"all are full": {
			hosts:   []Offer{{"x", "a", 10}, {"y", "a", 20}},
			workers: map[identifier.DataCentre]int{"a": 60},
			want:    map[identifier.Entry]int{"x": 20, "y": 40},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := newAssigner[identifier.Entry]()
			for _, h := range tt.hosts {
				a.add(h.Name, h)
			}
			n := 0
			for dc, count := range tt.workers {
				for range count {
					n++
					a.hostOf(workerID(n), dc, now)
				}
			}
			got := a.loads()
			for host, want := range tt.want {
				if got[host] != want {
					t.Errorf("%s calls %d workers, want %d", host, got[host], want)
				}
			}
		})
	}
}

// TestHostThatCannotReachAWorkerIsRelieved checks that another host is tried, and that
// the only one is tried again.
func TestHostThatCannotReachAWorkerIsRelieved(t *testing.T) {
	a := newAssigner[identifier.Entry]()
	a.add("x", Offer{"x", "a", 10})
	first, _ := a.hostOf("w", "a", now)
	a.unreachable("w", first, now)
	if again, ok := a.hostOf("w", "a", now); !ok || again != first {
		t.Fatalf("worker is called by %q (%v), want the only host", again, ok)
	}
	a.add("y", Offer{"y", "a", 10})
	a.unreachable("w", first, now)
	if other, _ := a.hostOf("w", "a", now); other != "y" {
		t.Fatalf("worker is called by %q, want the host that was not tried", other)
	}
}

// TestAssignments checks, for any order of events, that counts agree with placements,
// that no host is overloaded while another has room, and that a worker stays where
// nothing happened.
func TestAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAssigner[identifier.Entry]()
		moment := now
		host := rapid.SampledFrom([]identifier.Entry{"a1", "a2", "b1", "b2", "b3"})
		worker := rapid.Map(rapid.IntRange(0, 30), workerID)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				h := host.Draw(t, "host")
				a.remove(h)
				a.add(h, Offer{h, identifier.DataCentre(h[:1]), rapid.IntRange(1, 20).Draw(t, "workers")})
			},
			"remove":      func(t *rapid.T) { a.remove(host.Draw(t, "host")) },
			"unreachable": func(t *rapid.T) { a.unreachable(worker.Draw(t, "worker"), host.Draw(t, "host"), moment) },
			"forget": func(t *rapid.T) {
				w := worker.Draw(t, "worker")
				a.forget(func(id identifier.Worker) bool { return id != w })
			},
			"call": func(t *rapid.T) {
				w := worker.Draw(t, "worker")
				home := identifier.DataCentre(w[3:])
				if home > "4" {
					home = "b"
				} else {
					home = "a"
				}
				first, ok := a.hostOf(w, home, moment)
				if ok != (len(a.hosts) > 0) {
					t.Fatalf("host found: %v of %d", ok, len(a.hosts))
				}
				if again, _ := a.hostOf(w, home, moment); ok && again != first {
					t.Fatalf("worker moves from %s to %s", first, again)
				}
			},
			"": func(t *rapid.T) {
				moment = moment.Add(time.Second)
				carried := map[identifier.Entry]int{}
				for _, p := range a.workers {
					if p.ok {
						carried[p.host]++
					}
				}
				for name, h := range a.hosts {
					if h.carries != carried[name] {
						t.Fatalf("%s carries %d, counted %d", name, carried[name], h.carries)
					}
				}
			},
		})
	})
}

// TestAgeOfMessages checks that a message is as old as it was longer under way than
// the fastest, whatever the clocks.
func TestAgeOfMessages(t *testing.T) {
	var m ageMeter
	for name, step := range []struct{ received, sent, want time.Duration }{
		{90 * time.Hour, time.Second, 0},
		{90*time.Hour + 3*time.Second, 3 * time.Second, time.Second - 3*time.Millisecond},
		{90*time.Hour + 3*time.Second, 4 * time.Second, 0},
	} {
		if got := m.age(step.received, step.sent); got != step.want {
			t.Errorf("message %d is %v old, want %v", name, got, step.want)
		}
	}
}

// FuzzDecodeOrders checks that no bytes bring a host down.
func FuzzDecodeOrders(f *testing.F) {
	good, err := encode(0, pack([]specifiedOrder{{order: order{Number: 1, Kind: orderHold, Worker: "w"}, spec: "s"}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good.Content)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decode[orders](data)
		_, _ = decode[[]reply](data)
	})
}

// TestMessagesOfManyHostsAreFewer checks that all hosts in use together send at most
// the messages that a holder takes, within the bounds of a gap.
func TestMessagesOfManyHostsAreFewer(t *testing.T) {
	for name, tt := range map[string]struct {
		hosts int
		want  time.Duration
	}{
		"one host":  {1, leastGap},
		"ten hosts": {10, 12500 * time.Microsecond},
		"a hundred": {100, mostGap},
	} {
		if got := gapOf(tt.hosts); got != tt.want {
			t.Errorf("%s: gap %v, want %v", name, got, tt.want)
		}
	}
}
