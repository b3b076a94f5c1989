package drafter

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/disturber"
	"github.com/balsamcove/balsamcove/internal/simulator"
)

// TestPlansAreDeterministic checks that equal options give equal plans, that jobs are valid, that
// faults stay within the time span and overlap, and that every kind of fault occurs.
func TestPlansAreDeterministic(t *testing.T) {
	kinds := map[string]int{}
	for seed := range uint64(50) {
		o := Options{Seed: seed, Hosts: 12, Workers: 24, Span: time.Minute}
		p := NewPlan(o)
		if !reflect.DeepEqual(p, NewPlan(o)) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		if len(p.Faults) == 0 || len(p.Jobs) == 0 {
			t.Fatalf("seed %d gives %d faults and %d jobs", seed, len(p.Faults), len(p.Jobs))
		}
		overlap := false
		for i, e := range p.Faults {
			kinds[KindOf(e.Fault)]++
			overlap = overlap || i > 0 && e.At < p.Faults[i-1].At+p.Faults[i-1].For
			if e.At+e.For > p.End() || e.At > p.Span {
				t.Errorf("seed %d: fault at %v for %v, the load ends at %v and all at %v", seed, e.At, e.For, p.Span, p.End())
			}
		}
		if !overlap {
			t.Errorf("seed %d has no faults at the same time", seed)
		}
		for _, j := range p.Jobs {
			if err := j.Job.Check(); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		}
		if _, err := json.Marshal(p); err != nil {
			t.Error(err)
		}
	}
	for _, f := range []Fault{
		HostsKilled{},
		HostsStopped{},
		HostsPaused{},
		LinksBroken{},
		LinksReset{},
		StoreFails{},
		StoreForgets{},
		WorkersFail{},
		WorkersCrash{},
		WorkersLeave{},
		Evacuated{},
	} {
		if kinds[KindOf(f)] == 0 {
			t.Errorf("no plan has a fault %s", KindOf(f))
		}
	}
}

// TestKindOf checks the names of fault kinds in plans and results.
func TestKindOf(t *testing.T) {
	if got := KindOf(HostsKilled{}); got != "HostsKilled" {
		t.Errorf("kind %q, want HostsKilled", got)
	}
}

// TestWithoutFaults checks that leaving faults out does not change the rest of the plan.
func TestWithoutFaults(t *testing.T) {
	o := Options{Seed: 1, Hosts: 12, Workers: 24, Span: time.Minute}
	full := NewPlan(o)
	o.Without = []int{0, 2}
	reduced := NewPlan(o)
	if want := append(slices.Clone(full.Faults[1:2]), full.Faults[3:]...); !reflect.DeepEqual(reduced.Faults, want) {
		t.Errorf("faults %v, want %v", reduced.Faults, want)
	}
	if !reflect.DeepEqual(reduced.Jobs, full.Jobs) {
		t.Error("leaving faults out changed the load")
	}
}

// TestCompose checks how concurrent faults are combined.
func TestCompose(t *testing.T) {
	s := Compose([]Fault{
		HostsKilled{[]int{1}},
		HostsStopped{[]int{1, 2}},
		HostsPaused{[]int{3}},
		LinksBroken{[]LinkID{"x"}, disturber.Faults{Delay: 2, HoldSent: true}},
		LinksBroken{[]LinkID{"x", "y"}, disturber.Faults{Delay: 1, HoldReceived: true}},
		StoreFails{simulator.StoreFaults{Down: true}},
		StoreFails{simulator.StoreFaults{Slow: 5, Refused: map[string]bool{"h1": true}}},
		WorkersFail{Workers: WorkerIDs(Options{Workers: 3}), Faults: simulator.WorkerFaults{Cut: true}},
		Evacuated{"b"},
	})
	if !s.Killed[1] || !s.Stopped[1] || !s.Stopped[2] || !s.Paused[3] || s.Paused[1] {
		t.Errorf("hosts: %+v", s)
	}
	if want := (disturber.Faults{Delay: 2, HoldSent: true, HoldReceived: true}); s.Links["x"] != want {
		t.Errorf("link %+v, want %+v", s.Links["x"], want)
	}
	if !s.Store.Down || s.Store.Slow != 5 || !s.Store.Refused["h1"] {
		t.Errorf("store %+v", s.Store)
	}
	if !s.Workers["c-w0"].Cut || !s.Evacuated["b"] || s.Evacuated["a"] {
		t.Errorf("workers %+v, evacuated %v", s.Workers, s.Evacuated)
	}
}

func TestOptionsCheck(t *testing.T) {
	tests := map[string]struct {
		options Options
		ok      bool
	}{
		"usual":      {Options{Hosts: 24, Workers: 36, Span: time.Minute}, true},
		"largest":    {Options{Hosts: maxHosts, Workers: maxWorkers, Span: time.Minute}, true},
		"no hosts":   {Options{Workers: 36, Span: time.Minute}, false},
		"no workers": {Options{Hosts: 24, Span: time.Minute}, false},
		"no time":    {Options{Hosts: 24, Workers: 36}, false},
		"too many":   {Options{Hosts: maxHosts + 1, Workers: 36, Span: time.Minute}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if err := tt.options.Check(); (err == nil) != tt.ok {
				t.Errorf("error %v, want none: %v", err, tt.ok)
			}
		})
	}
}
