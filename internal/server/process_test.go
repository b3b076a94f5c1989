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

// binary is the program under test, built once, with the race detector.
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

// entry is one entry host as a process.
type entry struct {
	name                  string
	callers, admin, peers string
	cmd                   *exec.Cmd
	exited                chan error
}

// site is a data centre: entry processes over stand-ins in the test's process.
type site struct {
	t       *testing.T
	dir     string
	log     *emulator.Log
	list    *emulator.HostList
	logAt   string
	listAt  string
	minions []*emulator.Minion
	stops   []context.CancelFunc

	mu      sync.Mutex
	entries []*entry
}

// givenAddresses are those that freePorts has returned. A process takes a while to
// listen on its own, in which the kernel may offer them again.
var givenAddresses sync.Map

func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for len(out) < n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		address := ln.Addr().String()
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			out = append(out, address)
		}
	}
	return out
}

// TestAddressesAreGivenOnce checks that no two processes of the tests get the same
// address, also while the first does not listen on it yet.
func TestAddressesAreGivenOnce(t *testing.T) {
	given := map[string]bool{}
	for range 300 {
		for _, address := range freePorts(t, 3) {
			if given[address] {
				t.Fatalf("%s is given twice", address)
			}
			given[address] = true
		}
	}
}

func newSite(t *testing.T, entries, minions int, serviceTime time.Duration) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), log: &emulator.Log{}, list: &emulator.HostList{}}
	s.logAt = s.serve(func(ln net.Listener) context.CancelFunc {
		h := listener.New(ln, 16<<20)
		emulator.ServeLog(s.log)(h)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = listener.Run(ctx, h) }()
		return cancel
	})
	s.listAt = s.serve(func(ln net.Listener) context.CancelFunc {
		h := listener.New(ln, 16<<20)
		emulator.ServeHosts(s.list)(h)
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

func (s *site) serve(start func(net.Listener) context.CancelFunc) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.stops = append(s.stops, start(ln))
	return ln.Addr().String()
}

func (s *site) addMinion(id string, serviceTime time.Duration) {
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
	s.list.Announce(emulator.Announcement{Minion: &host})
}

func (s *site) startEntry(name string) *entry {
	s.t.Helper()
	ports := freePorts(s.t, 3)
	e := &entry{name: name, callers: ports[0], admin: ports[1], peers: ports[2], exited: make(chan error, 1)}
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\ndataCentre: a\nlisten: {callers: %q, admin: %q, peers: %q}\n", name, e.callers, e.admin, e.peers)
	fmt.Fprintf(&b, "platform: {log: %q, hostList: %q}\npeers:\n", s.logAt, s.listAt)
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

// drop takes an entry out of the balancer's list.
func (s *site) drop(e *entry) {
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

// killAll kills all entry hosts at once.
func (s *site) killAll() {
	for _, e := range s.current() {
		s.signal(e, syscall.SIGKILL)
		<-e.exited //nolint:errcheck // a killed process has no other outcome
		s.drop(e)
	}
}

func (s *site) signal(e *entry, sig syscall.Signal) {
	s.t.Helper()
	if err := e.cmd.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) close() {
	for _, e := range s.current() {
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

func (s *site) current() []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*entry(nil), s.entries...)
}

func (s *site) admin(e *entry) *client.Client {
	cl, err := client.New([]string{e.admin}, client.WithTimeout(5*time.Second))
	if err != nil {
		s.t.Fatal(err)
	}
	return cl
}

func (s *site) status(e *entry) (client.Status, error) {
	return s.admin(e).Status(context.Background())
}

func (s *site) await(limit time.Duration, what string, cond func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	s.t.Fatalf("after %s: not %s", limit, what)
}

func (s *site) awaitReady() {
	s.t.Helper()
	s.await(10*time.Second, "all entry hosts ready", func() bool {
		for _, e := range s.current() {
			if st, err := s.status(e); err != nil || !st.Ready {
				return false
			}
		}
		return true
	})
}

func (s *site) publish(text string) {
	s.t.Helper()
	_, err := s.admin(s.current()[0]).Publish(context.Background(), client.Publication{
		ID: identifier.Publication(identifier.NewName("p-")), Sources: []parser.Source{{File: "test", Text: text}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

// told is what a caller was told about a request.
type told struct {
	id         string
	idempotent bool
	ok, whole  bool
	refusal    *refuser.Refusal
}

// balancer sends requests to entry hosts that say that they are ready.
type balancer struct {
	s      *site
	mu     sync.Mutex
	ready  []*entry
	told   []told
	group  sync.WaitGroup
	cancel context.CancelFunc
}

func (s *site) newBalancer() *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{s: s, cancel: cancel}
	b.look()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			b.look()
		}
	}()
	return b
}

func (b *balancer) look() {
	var ready []*entry
	for _, e := range b.s.current() {
		if st, err := b.s.status(e); err == nil && st.Ready {
			ready = append(ready, e)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// load sends requests at a rate for a while, each on a connection of its own;
// every tenth non-idempotent one is sent again through another host.
func (b *balancer) load(name string, rate int, span time.Duration) {
	n := int(span.Seconds() * float64(rate))
	for i := range n {
		time.Sleep(time.Second / time.Duration(rate))
		r := told{id: fmt.Sprintf("%s-%d", name, i), idempotent: i%2 == 0}
		b.group.Add(1)
		go b.send(i, r)
		if i%20 == 1 {
			b.group.Add(1)
			go b.send(i+1, r)
		}
	}
}

func (b *balancer) send(n int, r told) {
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

// sendTo sends a request to the first of the addresses that takes it.
func (b *balancer) sendTo(order []string, r told) {
	defer b.group.Done()
	cl, err := client.New(order)
	if err != nil {
		b.s.t.Error(err)
		return
	}
	a, err := cl.Request(context.Background(), client.Request{
		ID: identifier.Request(r.id), Service: "desk", Idempotent: r.idempotent, Body: []byte("body"),
	})
	if err != nil {
		r.refusal = refuser.From(err)
	} else {
		r.ok, r.whole = true, string(a.Body) == r.id+":body"
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = append(b.told, r)
}

// finish waits for all answers and checks them against what the minions did.
// It returns how many requests got no answer, repeats aside, by effect.
func (b *balancer) finish() map[refuser.Effect]int {
	b.group.Wait()
	b.cancel()
	runs := map[string]int{}
	for _, m := range b.s.minions {
		h := m.History()
		if h.PeakSlots > h.Host.Slots || h.PeakConnections > h.Host.Connections {
			b.s.t.Errorf("minion %s used %d slots and %d connections", h.Host.ID, h.PeakSlots, h.PeakConnections)
		}
		for _, r := range h.Served {
			runs[string(r.Request)]++
		}
	}
	sent := map[string]int{}
	for _, r := range b.told {
		sent[r.id]++
	}
	refused := map[refuser.Effect]int{}
	for _, r := range b.told {
		n := runs[r.id]
		switch {
		case r.ok && !r.whole:
			b.s.t.Errorf("request %s got an answer that is not its own", r.id)
		case r.ok && n == 0:
			b.s.t.Errorf("request %s was answered and never executed", r.id)
		case !r.idempotent && n > 1:
			b.s.t.Errorf("non-idempotent request %s was executed %d times", r.id, n)
		case r.refusal != nil && r.refusal.Effect == refuser.NotRun && n > 0 && sent[r.id] == 1:
			b.s.t.Errorf("request %s was refused as not run (%v) and executed", r.id, r.refusal)
		case r.refusal != nil && r.refusal.Code != refuser.CodeDuplicate:
			refused[r.refusal.Effect]++
			b.s.t.Logf("request %s: %v", r.id, r.refusal)
		}
	}
	return refused
}

func TestPlannedStopsCutNothingOff(t *testing.T) {
	s := newSite(t, 3, 3, 20*time.Millisecond)
	b := s.newBalancer()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.load("stop", 150, 10*time.Second)
	}()
	for i, e := range s.current() {
		s.startEntry(fmt.Sprint("new", i))
		time.Sleep(1500 * time.Millisecond)
		s.signal(e, syscall.SIGTERM)
		if err := <-e.exited; err != nil {
			t.Errorf("entry host %s: %v", e.name, err)
		}
		s.drop(e)
	}
	<-done
	for i := range 400 {
		b.group.Add(1)
		go b.send(i, told{id: fmt.Sprintf("stop-%d", 2*i+1)})
		time.Sleep(5 * time.Millisecond)
	}
	if refused := b.finish(); len(refused) > 0 {
		t.Errorf("requests without an answer: %v of %d", refused, len(b.told))
	}
}

func TestKilledAndFrozenEntryHosts(t *testing.T) {
	s := newSite(t, 3, 3, 10*time.Millisecond)
	b := s.newBalancer()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.load("kill", 200, 6*time.Second)
	}()
	hosts := s.current()
	time.Sleep(time.Second)
	s.signal(hosts[0], syscall.SIGKILL)
	<-hosts[0].exited //nolint:errcheck // a killed process has no other outcome
	s.drop(hosts[0])
	time.Sleep(time.Second)
	s.signal(hosts[1], syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	s.signal(hosts[1], syscall.SIGCONT)
	<-done
	refused := b.finish()
	if limit := len(b.told) / 4; refused[refuser.NotRun]+refused[refuser.Unknown] > limit {
		t.Errorf("requests without an answer: %v, want at most %d", refused, limit)
	}
}

// TestHostThatWakesUp sends requests to a frozen host and, once the others hold it
// for dead, the same requests through them. The frozen host must not take the
// silence of its own sleep for their death.
func TestHostThatWakesUp(t *testing.T) {
	s := newSite(t, 2, 3, 10*time.Millisecond)
	b := s.newBalancer()
	frozen, awake := s.current()[0], s.current()[1]
	s.signal(frozen, syscall.SIGSTOP)
	time.Sleep(1300 * time.Millisecond)
	for i := range 40 {
		r := told{id: fmt.Sprintf("wake-%d", i)}
		b.group.Add(2)
		go b.sendTo([]string{awake.callers}, r)
		go b.sendTo([]string{frozen.callers}, r)
	}
	time.Sleep(300 * time.Millisecond)
	s.signal(frozen, syscall.SIGCONT)
	b.finish()
}

func TestLeavingMinionGetsNoNewWork(t *testing.T) {
	const limit = 5 * time.Second
	tests := map[string]func(s *site, m *emulator.Minion){
		"said by the list": func(s *site, m *emulator.Minion) {
			host := m.Host
			host.State = connector.HostLeaving
			s.list.Announce(emulator.Announcement{Minion: &host})
		},
		"said by itself, list stopped": func(s *site, m *emulator.Minion) {
			s.list.Stop()
			m.Leave()
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, 3, 5*time.Millisecond)
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

func TestNewHostWhileTheLogIsDown(t *testing.T) {
	s := newSite(t, 2, 2, 5*time.Millisecond)
	s.log.SetFaults(emulator.LogFaults{Down: true})
	old := s.current()
	e := s.startEntry("fresh")
	s.await(5*time.Second, "new host ready from its peers", func() bool {
		st, err := s.status(e)
		return err == nil && st.Ready && st.Version == 1
	})
	for _, o := range old {
		s.signal(o, syscall.SIGKILL)
		<-o.exited //nolint:errcheck // a killed process has no other outcome
		s.drop(o)
	}
	time.Sleep(1500 * time.Millisecond)
	b := s.newBalancer()
	b.load("down", 50, time.Second)
	if refused := b.finish(); len(refused) > 0 {
		t.Errorf("requests without an answer: %v", refused)
	}
}

func TestConfigurationInForceEverywhere(t *testing.T) {
	const limit = 5 * time.Second
	s := newSite(t, 3, 1, 5*time.Millisecond)
	s.publish("kind: team\nname: second\nquota: {processors: 1}\n")
	s.await(limit, "version 2 in force everywhere", func() bool {
		for _, e := range s.current() {
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
	for _, e := range s.current() {
		if st, err := s.status(e); err != nil || st.Version != 2 {
			t.Errorf("host %s has version %d (%v), want 2", e.name, st.Version, err)
		}
	}
}
