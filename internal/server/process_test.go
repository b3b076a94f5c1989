package server_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/pkg/client"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const deskConfig = `
kind: team
name: counter
quota: {processors: 100, memory: 100GiB}
---
kind: dataCentre
name: a
region: west
---
kind: placementPolicy
name: here
dataCentres: [a]
---
kind: service
name: desk
team: counter
policy: here
deadline: 2s
---
kind: batchPool
name: runs
team: counter
policy: here
size: {processors: 1, memory: 1GiB}
runTime: 1s
`

// binary is the path of the program under test, which TestMain builds with the race detector.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "balsamcove")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "balsamcove")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "../../cmd/balsamcove").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// entry is an entry host that runs as a process of its own.
type entry struct {
	name                  string
	callers, admin, peers string
	cmd                   *exec.Cmd
	exited                chan error
}

// testCluster is a data centre of entry host processes. The log, the host list and the minions are
// emulated in the test's process.
type testCluster struct {
	t               *testing.T
	dir             string
	log             *emulator.Log
	hostList        *emulator.HostList
	logAddress      string
	hostListAddress string
	minions         []*emulator.Minion
	stops           []context.CancelFunc

	mu      sync.Mutex
	entries []*entry
}

// usedAddresses are the addresses that freeAddresses has returned. Until a process listens on its
// address, the kernel may offer the same port again.
var usedAddresses sync.Map

// freeAddresses returns n local addresses that no other call has returned.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for len(out) < n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		address := ln.Addr().String()
		if _, given := usedAddresses.LoadOrStore(address, true); !given {
			out = append(out, address)
		}
	}
	return out
}

// TestFreeAddressesAreUnique checks that freeAddresses never returns an address twice, even though
// nothing listens on the first ones yet. Otherwise two processes of a test may get the same port.
func TestFreeAddressesAreUnique(t *testing.T) {
	given := map[string]bool{}
	for range 300 {
		for _, address := range freeAddresses(t, 3) {
			if given[address] {
				t.Fatalf("address %s is returned twice", address)
			}
			given[address] = true
		}
	}
}

// newTestCluster starts entry hosts and minions, waits until the hosts are ready, publishes
// deskConfig and leaves the hosts 1.5 s to read it.
func newTestCluster(t *testing.T, entries, minions int, serviceTime time.Duration) *testCluster {
	t.Helper()
	s := &testCluster{t: t, dir: t.TempDir(), log: &emulator.Log{}, hostList: &emulator.HostList{}}
	s.logAddress = s.serve(func(ln net.Listener) context.CancelFunc {
		h := listener.New(ln, 16<<20)
		emulator.ServeLog(s.log)(h)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = listener.Run(ctx, h) }()
		return cancel
	})
	s.hostListAddress = s.serve(func(ln net.Listener) context.CancelFunc {
		h := listener.New(ln, 16<<20)
		emulator.ServeHosts(s.hostList)(h)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = listener.Run(ctx, h) }()
		return cancel
	})
	for i := range minions {
		s.addMinion(fmt.Sprint("m", i), serviceTime)
	}
	for i := range entries {
		s.startEntry(fmt.Sprint("e", i))
	}
	t.Cleanup(s.close)
	s.awaitReady()
	s.publish(deskConfig)
	time.Sleep(1500 * time.Millisecond)
	return s
}

func (s *testCluster) serve(start func(net.Listener) context.CancelFunc) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.stops = append(s.stops, start(ln))
	return ln.Addr().String()
}

func (s *testCluster) addMinion(id string, serviceTime time.Duration) {
	m := emulator.NewMinion(connector.MinionHost{
		ID: identifier.Minion(id), DataCentre: "a", Address: "127.0.0.1:0", Services: []identifier.Service{"desk"},
		Slots: 8, Connections: 64, State: connector.HostLive,
	})
	h, err := emulator.ListenMinion(m, serviceTime)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stops = append(s.stops, cancel)
	go func() { _ = listener.Run(ctx, h) }()
	s.minions = append(s.minions, m)
	host := m.Host
	s.hostList.Announce(emulator.Announcement{Minion: &host})
}

// startEntry starts an entry host process that knows the running ones as peers. It does not wait
// until the host is ready.
func (s *testCluster) startEntry(name string) *entry {
	s.t.Helper()
	ports := freeAddresses(s.t, 3)
	e := &entry{name: name, callers: ports[0], admin: ports[1], peers: ports[2], exited: make(chan error, 1)}
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\ndataCentre: a\nlisten: {callers: %q, admin: %q, peers: %q}\n", name, e.callers, e.admin, e.peers)
	fmt.Fprintf(&b, "platform: {log: %q, hostList: %q}\npeers:\n", s.logAddress, s.hostListAddress)
	s.mu.Lock()
	for _, other := range s.entries {
		fmt.Fprintf(&b, "  - {name: %s, dataCentre: a, address: %q}\n", other.name, other.peers)
	}
	s.mu.Unlock()
	fmt.Fprintf(&b, "  - {name: %s, dataCentre: a, address: %q}\n", name, e.peers)
	file := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		s.t.Fatal(err)
	}
	e.cmd = exec.Command(binary, "entry", "--settings", file)
	logFile, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	e.cmd.Stderr = logFile
	if err := e.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() { e.exited <- e.cmd.Wait() }()
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	return e
}

// remove removes an entry host from the list that load balancers and awaitReady use.
func (s *testCluster) remove(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var left []*entry
	for _, other := range s.entries {
		if other != e {
			left = append(left, other)
		}
	}
	s.entries = left
}

// killAll kills all entry hosts, one after the other, with SIGKILL.
func (s *testCluster) killAll() {
	for _, e := range s.currentEntries() {
		s.signal(e, syscall.SIGKILL)
		<-e.exited //nolint:errcheck // a killed process has no other outcome
		s.remove(e)
	}
}

func (s *testCluster) signal(e *entry, sig syscall.Signal) {
	s.t.Helper()
	if err := e.cmd.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// close stops all processes and emulators. It fails the test if a process reported a data race, and
// prints the ends of the process logs if the test failed.
func (s *testCluster) close() {
	for _, e := range s.currentEntries() {
		_ = e.cmd.Process.Kill()
		<-e.exited //nolint:errcheck // a killed process has no other outcome
	}
	for _, stop := range s.stops {
		stop()
	}
	logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, l := range logs {
		data, _ := os.ReadFile(l)
		if bytes.Contains(data, []byte("DATA RACE")) {
			s.t.Errorf("%s reports a data race", filepath.Base(l))
		}
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", filepath.Base(l), data[max(0, len(data)-4000):])
		}
	}
}

func (s *testCluster) currentEntries() []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*entry(nil), s.entries...)
}

func (s *testCluster) admin(e *entry) *client.Client {
	cl, err := client.New([]string{e.admin}, client.WithTimeout(5*time.Second))
	if err != nil {
		s.t.Fatal(err)
	}
	return cl
}

func (s *testCluster) status(e *entry) (client.Status, error) {
	return s.admin(e).Status(context.Background())
}

// await polls cond and fails the test if it is not met within limit. what describes cond.
func (s *testCluster) await(limit time.Duration, what string, cond func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	s.t.Fatalf("after %s: not %s", limit, what)
}

func (s *testCluster) awaitReady() {
	s.t.Helper()
	s.await(10*time.Second, "all entry hosts ready", func() bool {
		for _, e := range s.currentEntries() {
			if st, err := s.status(e); err != nil || !st.Ready {
				return false
			}
		}
		return true
	})
}

func (s *testCluster) publish(text string) {
	s.t.Helper()
	_, err := s.admin(s.currentEntries()[0]).Publish(context.Background(), client.Publication{
		ID: identifier.Publication(identifier.NewName("p-")), Sources: []parser.Source{{File: "test", Text: text}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

// requestResult is the outcome of a request from the caller's point of view.
type requestResult struct {
	id              string
	idempotent      bool
	ok, bodyMatches bool
	refusal         *refuser.Refusal
}

// balancer emulates a load balancer: it sends requests to the entry hosts that report ready, which
// it polls, and collects the results.
type balancer struct {
	cluster *testCluster
	mu      sync.Mutex
	ready   []*entry
	results []requestResult
	group   sync.WaitGroup
	cancel  context.CancelFunc
}

func (s *testCluster) newBalancer() *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{cluster: s, cancel: cancel}
	b.refresh()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			b.refresh()
		}
	}()
	return b
}

// refresh updates the list of entry hosts that report ready.
func (b *balancer) refresh() {
	var ready []*entry
	for _, e := range b.cluster.currentEntries() {
		if st, err := b.cluster.status(e); err == nil && st.Ready {
			ready = append(ready, e)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// load sends rate requests per second for the given span, each on a connection of its own. Every
// tenth non-idempotent request is sent a second time, through another entry host.
func (b *balancer) load(name string, rate int, span time.Duration) {
	n := int(span.Seconds() * float64(rate))
	for i := range n {
		time.Sleep(time.Second / time.Duration(rate))
		r := requestResult{id: fmt.Sprintf("%s-%d", name, i), idempotent: i%2 == 0}
		b.group.Add(1)
		go b.send(i, r)
		if i%20 == 1 {
			b.group.Add(1)
			go b.send(i+1, r)
		}
	}
}

// send sends a request to the ready entry hosts in rotation, starting with the nth. It does nothing
// while no host is ready.
func (b *balancer) send(n int, r requestResult) {
	defer b.group.Done()
	b.mu.Lock()
	ready := b.ready
	b.mu.Unlock()
	if len(ready) == 0 {
		return
	}
	var order []string
	for i := range ready {
		order = append(order, ready[(n+i)%len(ready)].callers)
	}
	b.group.Add(1)
	b.sendTo(order, r)
}

// sendTo sends a request to the addresses in order, until an entry host accepts it.
func (b *balancer) sendTo(order []string, r requestResult) {
	defer b.group.Done()
	cl, err := client.New(order)
	if err != nil {
		b.cluster.t.Error(err)
		return
	}
	a, err := cl.Request(context.Background(), client.Request{
		ID: identifier.Request(r.id), Service: "desk", Idempotent: r.idempotent, Body: []byte("body"),
	})
	if err != nil {
		r.refusal = refuser.From(err)
	} else {
		r.ok, r.bodyMatches = true, string(a.Body) == r.id+":body"
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results = append(b.results, r)
}

// finish waits for all requests to end and checks the results against the histories of the minions.
// It returns the number of refused requests by effect, without those refused as duplicates.
func (b *balancer) finish() map[refuser.Effect]int {
	b.group.Wait()
	b.cancel()
	runs := map[string]int{}
	for _, m := range b.cluster.minions {
		h := m.History()
		if h.PeakSlots > h.Host.Slots || h.PeakConnections > h.Host.Connections {
			b.cluster.t.Errorf("minion %s used %d slots and %d connections", h.Host.ID, h.PeakSlots, h.PeakConnections)
		}
		for _, r := range h.Served {
			runs[string(r.Request)]++
		}
	}
	sent := map[string]int{}
	for _, r := range b.results {
		sent[r.id]++
	}
	refused := map[refuser.Effect]int{}
	for _, r := range b.results {
		n := runs[r.id]
		switch {
		case r.ok && !r.bodyMatches:
			b.cluster.t.Errorf("request %s got the answer to another request", r.id)
		case r.ok && n == 0:
			b.cluster.t.Errorf("request %s was answered and never executed", r.id)
		case !r.idempotent && n > 1:
			b.cluster.t.Errorf("non-idempotent request %s was executed %d times", r.id, n)
		case r.refusal != nil && r.refusal.Effect == refuser.NotRun && n > 0 && sent[r.id] == 1:
			b.cluster.t.Errorf("request %s was refused as not run (%v) but executed", r.id, r.refusal)
		case r.refusal != nil && r.refusal.Code != refuser.CodeDuplicate:
			refused[r.refusal.Effect]++
			b.cluster.t.Logf("request %s: %v", r.id, r.refusal)
		}
	}
	return refused
}

// TestPlannedStopsCutNothingOff checks that no request is refused while all entry hosts are
// replaced one by one with SIGTERM, and that no non-idempotent request repeated afterwards is
// executed again.
func TestPlannedStopsCutNothingOff(t *testing.T) {
	s := newTestCluster(t, 3, 3, 20*time.Millisecond)
	b := s.newBalancer()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.load("stop", 150, 10*time.Second)
	}()
	for i, e := range s.currentEntries() {
		s.startEntry(fmt.Sprint("new", i))
		time.Sleep(1500 * time.Millisecond)
		s.signal(e, syscall.SIGTERM)
		if err := <-e.exited; err != nil {
			t.Errorf("entry host %s: %v", e.name, err)
		}
		s.remove(e)
	}
	<-done
	for i := range 400 {
		b.group.Add(1)
		go b.send(i, requestResult{id: fmt.Sprintf("stop-%d", 2*i+1)})
		time.Sleep(5 * time.Millisecond)
	}
	if refused := b.finish(); len(refused) > 0 {
		t.Errorf("requests without an answer: %v of %d", refused, len(b.results))
	}
}

// TestKilledAndFrozenEntryHosts checks that at most a quarter of the requests are refused while one
// entry host is killed and another is suspended, and that no request is executed wrongly.
func TestKilledAndFrozenEntryHosts(t *testing.T) {
	s := newTestCluster(t, 3, 3, 10*time.Millisecond)
	b := s.newBalancer()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.load("kill", 200, 6*time.Second)
	}()
	hosts := s.currentEntries()
	time.Sleep(time.Second)
	s.signal(hosts[0], syscall.SIGKILL)
	<-hosts[0].exited //nolint:errcheck // a killed process has no other outcome
	s.remove(hosts[0])
	time.Sleep(time.Second)
	s.signal(hosts[1], syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	s.signal(hosts[1], syscall.SIGCONT)
	<-done
	refused := b.finish()
	if limit := len(b.results) / 4; refused[refuser.NotRun]+refused[refuser.Unknown] > limit {
		t.Errorf("requests without an answer: %v, want at most %d", refused, limit)
	}
}

// TestFrozenHostThatResumes checks that no request is executed twice when it is sent both to a
// suspended entry host and, once the others consider that host dead, through them. When the
// suspended host resumes, it must not mistake the time it was suspended for silence of the others:
// it would consider them dead and execute the requests without asking them.
func TestFrozenHostThatResumes(t *testing.T) {
	s := newTestCluster(t, 2, 3, 10*time.Millisecond)
	b := s.newBalancer()
	frozen, awake := s.currentEntries()[0], s.currentEntries()[1]
	s.signal(frozen, syscall.SIGSTOP)
	time.Sleep(1300 * time.Millisecond)
	for i := range 40 {
		r := requestResult{id: fmt.Sprintf("wake-%d", i)}
		b.group.Add(2)
		go b.sendTo([]string{awake.callers}, r)
		go b.sendTo([]string{frozen.callers}, r)
	}
	time.Sleep(300 * time.Millisecond)
	s.signal(frozen, syscall.SIGCONT)
	b.finish()
}

// TestLeavingMinionGetsNoNewWork checks that a leaving minion gets no requests after 5 s, and that
// no request is refused because of it.
func TestLeavingMinionGetsNoNewWork(t *testing.T) {
	const limit = 5 * time.Second
	tests := map[string]func(s *testCluster, m *emulator.Minion){
		"listed as leaving": func(s *testCluster, m *emulator.Minion) {
			host := m.Host
			host.State = connector.HostLeaving
			s.hostList.Announce(emulator.Announcement{Minion: &host})
		},
		"announced by the minion while the list is down": func(s *testCluster, m *emulator.Minion) {
			s.hostList.Stop()
			m.Leave()
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestCluster(t, 2, 3, 5*time.Millisecond)
			b := s.newBalancer()
			b.load("before", 100, time.Second)
			left := time.Now()
			leave(s, s.minions[0])
			b.load("after", 100, limit+time.Second)
			if refused := b.finish(); len(refused) > 0 {
				t.Errorf("requests without an answer: %v", refused)
			}
			for _, r := range s.minions[0].History().Served {
				if at := time.Unix(0, r.AtUnixNano); at.After(left.Add(limit)) {
					t.Errorf("request %s reached the leaving minion after %s", r.Request, at.Sub(left))
				}
			}
		})
	}
}

// TestNewHostStartsWhileLogIsDown checks that a new entry host gets its state from its peers while
// the log is unavailable, and serves requests after those peers are killed.
func TestNewHostStartsWhileLogIsDown(t *testing.T) {
	s := newTestCluster(t, 2, 2, 5*time.Millisecond)
	s.log.SetFaults(emulator.LogFaults{Down: true})
	old := s.currentEntries()
	e := s.startEntry("fresh")
	s.await(5*time.Second, "new host ready from its peers", func() bool {
		st, err := s.status(e)
		return err == nil && st.Ready && st.Version == 1
	})
	for _, o := range old {
		s.signal(o, syscall.SIGKILL)
		<-o.exited //nolint:errcheck // a killed process has no other outcome
		s.remove(o)
	}
	time.Sleep(1500 * time.Millisecond)
	b := s.newBalancer()
	b.load("down", 50, time.Second)
	if refused := b.finish(); len(refused) > 0 {
		t.Errorf("requests without an answer: %v", refused)
	}
}

// TestConfigurationInForceEverywhere checks that a published configuration becomes active on all
// entry hosts within 5 s, and is still active after all of them are killed and restarted.
func TestConfigurationInForceEverywhere(t *testing.T) {
	const limit = 5 * time.Second
	s := newTestCluster(t, 3, 1, 5*time.Millisecond)
	s.publish("kind: team\nname: second\nquota: {processors: 1}\n")
	s.await(limit, "version 2 in force everywhere", func() bool {
		for _, e := range s.currentEntries() {
			if st, err := s.status(e); err != nil || st.Version != 2 {
				return false
			}
		}
		return true
	})
	s.killAll()
	for i := range 3 {
		s.startEntry(fmt.Sprint("again", i))
	}
	s.awaitReady()
	for _, e := range s.currentEntries() {
		if st, err := s.status(e); err != nil || st.Version != 2 {
			t.Errorf("host %s has version %d (%v), want 2", e.name, st.Version, err)
		}
	}
}
