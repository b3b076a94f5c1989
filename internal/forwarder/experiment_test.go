package forwarder

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/internal/router"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// The default span is short; docs/DECISIONS.md gives the command that produces the whole table.
var experimentSpan = flag.Duration("experiment.span", time.Second, "time for which requests arrive")

var experimentSeed = flag.Uint64("experiment.seed", 1, "seed of the arrivals and service times")

// The size of one data centre of the first customer, which has 65 minions and 8 entry hosts in
// three data centres.
const (
	expMinions           = 22
	expEntries           = 3
	expSlots             = 8
	expServiceTime       = 20 * time.Millisecond
	expHopDelay          = 500 * time.Microsecond
	expHeartbeatInterval = 200 * time.Millisecond
)

// alternative is a way to divide the minions among the entry hosts.
type alternative struct {
	strategy string
	// slots is how many slots of a minion each owner may use.
	slots int
	// shared makes every host own every minion; otherwise each has one owner.
	shared bool
	// single sends all requests through one host, which thereby knows the load of every minion.
	single bool
}

// scenario is the load on the data centre and the faults in it.
type scenario struct {
	// load returns the share of all slots that the arriving requests keep busy at a time.
	load func(at time.Duration) float64
	// slow is the number of minions that take five times as long.
	slow int
	// failing is the number of minions that reset every exchange.
	failing int
	// disagree makes the first host see no other members and own every minion.
	disagree bool
}

// simulation is one run of an alternative in a scenario.
type simulation struct {
	alternative alternative
	scenario    scenario
	rng         *rand.Rand
	minions     []*emulator.Minion
	routers     []*router.Router
	hosts       []*Forwarder

	mu               sync.Mutex
	latencies        []time.Duration
	refusalsByEffect map[refuser.Effect]int
	sends            int
	busyAnswers      int
}

type simulatedConn struct {
	sim    *simulation
	minion int
}

func (c simulatedConn) Close() error { return nil }

// Do implements connector.MinionConn. It sleeps for the network delay of both directions and, if
// the minion has a free slot, for a random service time.
func (c simulatedConn) Do(ctx context.Context, r connector.MinionRequest) (connector.MinionAnswer, error) {
	c.sim.mu.Lock()
	c.sim.sends++
	service := time.Duration(c.sim.rng.ExpFloat64() * float64(expServiceTime))
	c.sim.mu.Unlock()
	time.Sleep(expHopDelay)
	if c.minion < c.sim.scenario.failing {
		return connector.MinionAnswer{}, errors.Mark(errors.New("reset"), connector.ErrUnknown)
	}
	m := c.sim.minions[c.minion]
	if !m.Begin(r.ID, true) {
		c.sim.mu.Lock()
		c.sim.busyAnswers++
		c.sim.mu.Unlock()
		time.Sleep(expHopDelay)
		return connector.MinionAnswer{}, errors.Mark(errors.New("busy"), connector.ErrRefused)
	}
	if c.minion >= c.sim.scenario.failing && c.minion < c.sim.scenario.failing+c.sim.scenario.slow {
		service *= 5
	}
	time.Sleep(service)
	m.End()
	time.Sleep(expHopDelay)
	return connector.MinionAnswer{Status: 200}, ctx.Err()
}

func newSimulation(alt alternative, sc scenario) *simulation {
	s := &simulation{alternative: alt, scenario: sc, rng: rand.New(rand.NewPCG(*experimentSeed, 7)), refusalsByEffect: map[refuser.Effect]int{}}
	set := checker.NewSet(&parser.Service{Name: "desk", Policy: "p"}, &parser.DataCentre{Name: "a", State: parser.InService})
	var listed []connector.MinionHost
	for i := range expMinions {
		h := connector.MinionHost{
			ID: identifier.Minion(fmt.Sprint("m", i)), DataCentre: "a", Address: fmt.Sprint(i),
			Services: []identifier.Service{"desk"}, Slots: expSlots, Connections: 64, State: connector.HostLive,
		}
		s.minions = append(s.minions, emulator.NewMinion(h))
		h.Slots = alt.slots
		listed = append(listed, h)
	}
	strategy, err := router.Strategies.Get(alt.strategy)
	if err != nil {
		panic(err)
	}
	for e := range expEntries {
		r := router.New(entryName(e), "a", router.WithStrategy(strategy))
		r.SetConfig(set)
		r.SetHosts(listed)
		s.routers = append(s.routers, r)
		s.hosts = append(s.hosts, New(r, s.dial, s.callPeer, WithConnectionShares(1)))
	}
	return s
}

func entryName(e int) identifier.Entry { return identifier.Entry(fmt.Sprint("e", e)) }

func (s *simulation) dial(_ context.Context, address string) (connector.MinionConn, error) {
	var n int
	_, err := fmt.Sscan(address, &n)
	return simulatedConn{s, n}, err
}

func (s *simulation) callPeer(ctx context.Context, entry identifier.Entry, req Request) (Answer, error) {
	var n int
	if _, err := fmt.Sscanf(string(entry), "e%d", &n); err != nil {
		return Answer{}, err
	}
	time.Sleep(expHopDelay)
	a, err := s.hosts[n].Do(ctx, req, true)
	time.Sleep(expHopDelay)
	return a, err
}

// exchangeLoads gives every host the members and loads of the others, as a round of heartbeats
// does.
func (s *simulation) exchangeLoads() {
	var peers []router.Peer
	for e, r := range s.routers {
		free, inFlight := r.Report()
		peers = append(peers, router.Peer{Entry: entryName(e), DataCentre: "a", Free: free, InFlight: inFlight})
	}
	for e, r := range s.routers {
		alone := s.alternative.shared || s.alternative.single || (s.scenario.disagree && e == 0)
		if alone {
			r.SetMembers([]identifier.Entry{entryName(e)}, nil)
			continue
		}
		var members []identifier.Entry
		var others []router.Peer
		for i, p := range peers {
			members = append(members, p.Entry)
			if i != e {
				others = append(others, p)
			}
		}
		r.SetMembers(members, others)
	}
}

func (s *simulation) sendRequest(n int) {
	host := s.hosts[n%expEntries]
	if s.alternative.single {
		host = s.hosts[0]
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	_, err := host.Do(ctx, Request{ID: identifier.Request(fmt.Sprint(n)), Service: "desk", Idempotent: true}, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.refusalsByEffect[refuser.From(err).Effect]++
		return
	}
	s.latencies = append(s.latencies, time.Since(start))
}

// run sends requests with exponential inter-arrival times for the span of the experiment.
func (s *simulation) run() {
	ctx, cancel := context.WithCancel(context.Background())
	s.exchangeLoads()
	loadsDone := make(chan struct{})
	go func() {
		defer close(loadsDone)
		for ctx.Err() == nil {
			time.Sleep(expHeartbeatInterval)
			s.exchangeLoads()
		}
	}()
	arrivals := rand.New(rand.NewPCG(*experimentSeed, 11))
	capacity := float64(expMinions*expSlots) / expServiceTime.Seconds()
	var group sync.WaitGroup
	n := 0
	for start := time.Now(); time.Since(start) < *experimentSpan; n++ {
		rate := capacity * s.scenario.load(time.Since(start))
		time.Sleep(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
		group.Add(1)
		go func(n int) {
			defer group.Done()
			s.sendRequest(n)
		}(n)
	}
	group.Wait()
	cancel()
	<-loadsDone
}

// result is one row of the table that the experiment logs.
type result struct {
	p50, p99, p999  time.Duration
	refused, busy   int
	sendsPerRequest float64
	peak            int
}

func (s *simulation) result() result {
	slices.Sort(s.latencies)
	quantile := func(q float64) time.Duration {
		if len(s.latencies) == 0 {
			return 0
		}
		return s.latencies[int(q*float64(len(s.latencies)-1))].Round(10 * time.Microsecond)
	}
	refused := s.refusalsByEffect[refuser.NotRun] + s.refusalsByEffect[refuser.Unknown]
	r := result{p50: quantile(.5), p99: quantile(.99), p999: quantile(.999), refused: refused, busy: s.busyAnswers}
	r.sendsPerRequest = float64(s.sends) / float64(max(len(s.latencies)+refused, 1))
	for _, m := range s.minions {
		r.peak = max(r.peak, m.History().PeakSlots)
	}
	return r
}

func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// alternatingLoad switches between a load of 30% and 90% every second.
func alternatingLoad(at time.Duration) float64 {
	if at/time.Second%2 == 0 {
		return 0.3
	}
	return 0.9
}

// TestExperimentMinionChoice compares ways to choose a minion. It fails if the way that is used,
// one owner per minion, misses its targets: a p99 at 70% load of at most 1.3 times that of a single
// queue with full knowledge, at most 20% more sends with a third of the minions failing, and never
// more slots in use on a minion than it has.
func TestExperimentMinionChoice(t *testing.T) {
	alternatives := []struct {
		name string
		alternative
	}{
		{"one queue that knows all", alternative{strategy: router.LeastLoaded, slots: expSlots, shared: true, single: true}},
		{"owner, others forward", alternative{strategy: router.LeastLoaded, slots: expSlots}},
		{"static split", alternative{strategy: router.LeastLoaded, slots: expSlots / expEntries, shared: true}},
		{"send, least loaded by own view", alternative{strategy: router.LeastLoaded, slots: expSlots, shared: true}},
		{"send, two random choices", alternative{strategy: router.TwoChoices, slots: expSlots, shared: true}},
		{"send, random", alternative{strategy: router.Random, slots: expSlots, shared: true}},
	}
	scenarios := []struct {
		name string
		scenario
	}{
		{"70% of the slots", scenario{load: constantLoad(0.7)}},
		{"90% of the slots", scenario{load: constantLoad(0.9)}},
		{"waves of 30% and 90%", scenario{load: alternatingLoad}},
		{"50%, a fifth of the minions slow", scenario{load: constantLoad(0.5), slow: 4}},
		{"40%, a third of the minions fail", scenario{load: constantLoad(0.4), failing: 7}},
		{"70%, one host believes it is alone", scenario{load: constantLoad(0.7), disagree: true}},
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d minions of %d slots, %d entry hosts, mean service time %s\n", *experimentSeed, expMinions, expSlots, expEntries, expServiceTime)
	rows := map[string]map[string]result{}
	for _, sc := range scenarios {
		fmt.Fprintf(&b, "%s\n", sc.name)
		rows[sc.name] = map[string]result{}
		for _, alt := range alternatives {
			var r result
			synctest.Test(t, func(*testing.T) {
				s := newSimulation(alt.alternative, sc.scenario)
				s.run()
				r = s.result()
			})
			rows[sc.name][alt.name] = r
			fmt.Fprintf(&b, "  %-32s p50 %9s  p99 %9s  p99.9 %9s  refused %5d  busy %5d  sends %.3f  peak slots %d\n",
				alt.name, r.p50, r.p99, r.p999, r.refused, r.busy, r.sendsPerRequest, r.peak)
		}
	}
	t.Log(b.String())
	checkTargets(t, rows)
}

func checkTargets(t *testing.T, rows map[string]map[string]result) {
	t.Helper()
	const owner, baseline = "owner, others forward", "one queue that knows all"
	at70 := rows["70% of the slots"]
	if got, limit := at70[owner].p99, at70[baseline].p99*13/10; got > limit {
		t.Errorf("p99 %s at 70%%, want at most %s", got, limit)
	}
	if got := rows["40%, a third of the minions fail"][owner].sendsPerRequest; got > 1.2 {
		t.Errorf("%.3f sends a request with a third of the minions failing, want at most 1.2", got)
	}
	for name, row := range rows {
		if got := row[owner].peak; got > expSlots {
			t.Errorf("%s: %d slots in use on one minion, want at most %d", name, got, expSlots)
		}
	}
}
