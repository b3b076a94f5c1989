package carrier

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

var testTime = time.UnixMilli(1_000_000)

func workerID(n int) identifier.Worker { return identifier.Worker(fmt.Sprintf("w%03d", n)) }

// TestAssignPrefersLocalHostsWithinCapacity checks that workers are assigned to the largest
// hosts of their data centre first, then to other data centres, and in proportion to capacity
// when all hosts are full.
func TestAssignPrefersLocalHostsWithinCapacity(t *testing.T) {
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
		"other data centre if full": {
			hosts:   []Offer{{"near", "a", 10}, {"far", "b", 90}},
			workers: map[identifier.DataCentre]int{"a": 30},
			want:    map[identifier.Entry]int{"near": 10, "far": 20},
		},
		"all hosts full": {
			hosts:   []Offer{{"x", "a", 10}, {"y", "a", 20}},
			workers: map[identifier.DataCentre]int{"a": 60},
			want:    map[identifier.Entry]int{"x": 20, "y": 40},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := newAssigner[identifier.Entry]()
			for _, h := range tt.hosts {
				a.addHost(h.Name, h)
			}
			n := 0
			for dc, count := range tt.workers {
				for range count {
					n++
					a.assign(workerID(n), dc, testTime)
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

// TestUnreachableWorkerMovesToAnotherHost checks that a worker is assigned to another host if
// its host cannot reach it, but stays with its host if there is no other.
func TestUnreachableWorkerMovesToAnotherHost(t *testing.T) {
	a := newAssigner[identifier.Entry]()
	a.addHost("x", Offer{"x", "a", 10})
	first, _ := a.assign("w", "a", testTime)
	a.markUnreachable("w", first, testTime)
	if again, ok := a.assign("w", "a", testTime); !ok || again != first {
		t.Fatalf("worker is assigned to %q (%v), want the only host", again, ok)
	}
	a.addHost("y", Offer{"y", "a", 10})
	a.markUnreachable("w", first, testTime)
	if other, _ := a.assign("w", "a", testTime); other != "y" {
		t.Fatalf("worker is assigned to %q, want the host that was not tried", other)
	}
}

// TestAssignerInvariants checks, for any order of events, that a worker is assigned whenever
// there is a host, that it keeps its host while nothing changes, and that the count of each
// host agrees with the assignments.
func TestAssignerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAssigner[identifier.Entry]()
		now := testTime
		host := rapid.SampledFrom([]identifier.Entry{"a1", "a2", "b1", "b2", "b3"})
		worker := rapid.Map(rapid.IntRange(0, 30), workerID)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				h := host.Draw(t, "host")
				a.removeHost(h)
				a.addHost(h, Offer{h, identifier.DataCentre(h[:1]), rapid.IntRange(1, 20).Draw(t, "workers")})
			},
			"remove":      func(t *rapid.T) { a.removeHost(host.Draw(t, "host")) },
			"unreachable": func(t *rapid.T) { a.markUnreachable(worker.Draw(t, "worker"), host.Draw(t, "host"), now) },
			"drop": func(t *rapid.T) {
				w := worker.Draw(t, "worker")
				a.retainWorkers(func(id identifier.Worker) bool { return id != w })
			},
			"call": func(t *rapid.T) {
				w := worker.Draw(t, "worker")
				dataCentre := identifier.DataCentre(w[3:])
				if dataCentre > "4" {
					dataCentre = "b"
				} else {
					dataCentre = "a"
				}
				first, ok := a.assign(w, dataCentre, now)
				if ok != (len(a.hosts) > 0) {
					t.Fatalf("host found: %v of %d", ok, len(a.hosts))
				}
				if again, _ := a.assign(w, dataCentre, now); ok && again != first {
					t.Fatalf("worker moves from %s to %s", first, again)
				}
			},
			"": func(t *rapid.T) {
				now = now.Add(time.Second)
				counts := map[identifier.Entry]int{}
				for _, w := range a.assignments {
					if w.assigned {
						counts[w.host]++
					}
				}
				for name, h := range a.hosts {
					if h.assigned != counts[name] {
						t.Fatalf("%s has %d workers assigned, counted %d", name, counts[name], h.assigned)
					}
				}
			},
		})
	})
}

// TestDelayEstimate checks that the delay of a message is measured relative to the fastest one,
// whatever the offset of the clocks, and allows for clock drift.
func TestDelayEstimate(t *testing.T) {
	var m delayEstimator
	for name, step := range []struct{ received, sent, want time.Duration }{
		{90 * time.Hour, time.Second, 0},
		{90*time.Hour + 3*time.Second, 3 * time.Second, time.Second - 3*time.Millisecond},
		{90*time.Hour + 3*time.Second, 4 * time.Second, 0},
	} {
		if got := m.delay(step.received, step.sent); got != step.want {
			t.Errorf("message %d: delay %v, want %v", name, got, step.want)
		}
	}
}

// FuzzDecodeOrders checks that decoding arbitrary bytes does not panic.
func FuzzDecodeOrders(f *testing.F) {
	valid, err := newHeartbeat(0, newOrderBatch([]queuedOrder{{order: order{ID: 1, Kind: orderPoll, Worker: "w"}, spec: "s"}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Content)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decode[orderBatch](data)
		_, _ = decode[[]reply](data)
	})
}

// TestSendIntervalGrowsWithHosts checks that the active hosts together send at most
// maxMessageRate batches, within the limits of the send interval.
func TestSendIntervalGrowsWithHosts(t *testing.T) {
	for name, tt := range map[string]struct {
		hosts int
		want  time.Duration
	}{
		"one host":  {1, minSendInterval},
		"ten hosts": {10, 12500 * time.Microsecond},
		"100 hosts": {100, maxSendInterval},
	} {
		if got := sendIntervalFor(tt.hosts); got != tt.want {
			t.Errorf("%s: interval %v, want %v", name, got, tt.want)
		}
	}
}
