// Stage plays the users' platform for the cases of this review: the store, the minions and the clients
// are small stand-ins in this process, and the hosts are processes of their own, started with the
// command of the deploy file. It runs in the root of the repository:
//
//	stage CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule of the case was broken, 0 if it held, and 2
// if the case could not run. With TROUBLE=0 in the environment the case goes without its disruption.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

const (
	hostProgram = "target/balsamcove"
	hostNames   = "abcdef"
	hostCount   = 3 // of most cases
	portSpan    = 3
	portBlock   = 16
	startTime   = 20 * time.Second
	stopTimeout = 8 * time.Second
)

// host is a process of the system.
type host struct {
	name, front, ready string
	cmd                *exec.Cmd
	log                *os.File
}

// stage is a deployment: some hosts, the store and the minions.
type stage struct {
	log     *history
	world   *world
	store   *store
	minions []*minion
	hosts   []*host
	dir     string
	trouble bool
	cancel  context.CancelFunc
	ctx     context.Context
	closed  atomic.Bool
	// blocks are the blocks of ports that were tried for a host.
	blocks map[int]bool
}

// cases are the cases by name. A case returns whether its rule was broken.
var cases = map[string]func(*stage) (broken bool, err error){
	"gang-failures": gangFailures,
	"waiting":       waitingCount,
	"advice":        adviceBurst,
	"filling-gang":  fillingGang,
	"cells":         cells,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER")
		return exitNotRun
	}
	s, err := newStage()
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer s.close()
	broken, err := cases[os.Args[1]](s)
	code := exitHeld
	switch {
	case err != nil:
		s.log.add("verdict", "not run: %v", err)
		code = exitNotRun
	case broken:
		s.log.add("verdict", "the rule was broken")
		code = exitBroken
	default:
		s.log.add("verdict", "the rule held")
	}
	s.close()
	if err := s.log.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Printf("%s: exit %d\n", os.Args[1], code)
	return code
}

func newStage() (*stage, error) {
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	h := newHistory()
	s := &stage{
		log: h, world: &world{log: h, steps: map[string][]stepSpec{}, gangs: map[string]*gangRun{}, advised: map[string]bool{}},
		store: newStore(), dir: dir, trouble: os.Getenv("TROUBLE") != "0", ctx: ctx, cancel: cancel, blocks: map[int]bool{},
	}
	context.AfterFunc(ctx, func() {
		// The case has run out of time, or has ended already.
		for _, h := range s.hosts {
			_ = h.cmd.Process.Kill()
		}
		if !s.closed.Load() {
			os.Exit(exitNotRun)
		}
	})
	return s, nil
}

// close ends the hosts and removes the temporary folder.
func (s *stage) close() {
	var wg sync.WaitGroup
	for _, h := range s.hosts {
		wg.Go(h.end)
	}
	wg.Wait()
	s.hosts = nil
	s.closed.Store(true)
	s.cancel()
	_ = os.RemoveAll(s.dir)
}

// end stops the process, and kills it if it does not end in time.
func (h *host) end() {
	done := make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		close(done)
	}()
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(stopTimeout):
		_ = h.cmd.Process.Kill()
		<-done
	}
	_ = h.log.Close()
}

const (
	zoneOf      = "tallinn-%c"
	serviceName = "hire-desk"
	hostHeader  = "desk.example"
)

// queue is a route of the configuration.
type queue struct {
	name, prefix              string
	sloMS, priority, attempts int
	stretch                   float64
	// decideMS and perWorkerMS are zero for a queue without advice.
	decideMS, perWorkerMS int
}

// The queues are those of Kruvikoda.
var (
	stockCheck  = queue{name: "stock-check", prefix: "/stock/", sloMS: 250, priority: 0, attempts: 4, stretch: 1.5}
	invoiceRun  = queue{name: "invoice-run", prefix: "/invoice/", sloMS: 1000, priority: 2, attempts: 3, stretch: 2}
	returnWatch = queue{name: "return-watch", prefix: "/watch/", sloMS: 2500, priority: 0, attempts: 2, stretch: 2.2}
	// advisedRun is invoice-run with advice.
	advisedRun = queue{name: "advised-run", prefix: "/advised/", sloMS: 1000, priority: 2, attempts: 3, stretch: 2, decideMS: 40, perWorkerMS: 30}
)

func (s *stage) putConfig(version int, queues ...queue) {
	routes := []map[string]any{}
	for _, q := range queues {
		route := map[string]any{
			"name": q.name, "host": hostHeader, "pathPrefix": q.prefix, "routeType": "unsafe", "timeoutMs": 3000, "sloMs": q.sloMS,
			"priority": q.priority, "service": serviceName, "maxAttempts": q.attempts, "stretch": q.stretch,
		}
		if q.decideMS > 0 {
			route["advice"] = map[string]any{"decideMs": q.decideMS, "perWorkerMs": q.perWorkerMS, "validMs": permitTime.Milliseconds()}
		}
		routes = append(routes, route)
	}
	s.store.put(operatorTopic, "config", map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": serviceName, "rejectsOverload": false}},
	})
	s.log.add("config", "version %d", version)
}

// begin starts the store, count minions and hostCount hosts, and waits until the system is ready.
func (s *stage) begin(count, cpu, memMB int, queues ...queue) error {
	return s.beginWith(hostCount, count, cpu, memMB, queues...)
}

// beginWith is begin with a number of hosts.
func (s *stage) beginWith(hosts, count, cpu, memMB int, queues ...queue) error {
	go s.world.work()
	address, err := s.store.serve()
	if err != nil {
		return err
	}
	s.putConfig(1, queues...)
	for i := range count {
		m, err := newMinion(s.world, s.store, fmt.Sprintf("i-%08x", 0x5eed0000+i), fmt.Sprintf(zoneOf, 'a'+i%3), serviceName, cpu, memMB)
		if err != nil {
			return err
		}
		s.minions = append(s.minions, m)
	}
	advised := advisedOf(queues)
	for i, name := range hostNames[:hosts] {
		advice := ""
		if advised.decideMS > 0 {
			a := &adviser{
				decide: time.Duration(advised.decideMS) * time.Millisecond, perWorker: time.Duration(advised.perWorkerMS) * time.Millisecond,
				log: s.log, tickets: &s.world.tickets,
			}
			if advice, err = a.serve(); err != nil {
				return err
			}
		}
		if err := s.startHost(string(name), fmt.Sprintf(zoneOf, 'a'+i%3), address, advice); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// advisedOf returns the queue with advice, if there is one.
func advisedOf(queues []queue) queue {
	for _, q := range queues {
		if q.decideMS > 0 {
			return q
		}
	}
	return queue{}
}

// freePorts returns the first of n free consecutive ports, which no other host of the stage has. They
// are below those that the system gives to outgoing connections, so that none of these takes one before
// its host listens on it.
func (s *stage) freePorts(n int) (int, error) {
	const lowest, blocks = 20000, 600
	for range 100 {
		block := rand.IntN(blocks)
		if s.blocks[block] {
			continue
		}
		s.blocks[block] = true
		first := lowest + portBlock*block
		var open []net.Listener
		var err error
		for i := 0; i < n && err == nil; i++ {
			var ln net.Listener
			if ln, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i)); err == nil {
				open = append(open, ln)
			}
		}
		for _, ln := range open {
			_ = ln.Close()
		}
		if err == nil {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

func (s *stage) startHost(name, zone, storeAddress, adviceAddress string) error {
	first, err := s.freePorts(portSpan + 2)
	if err != nil {
		return err
	}
	h := &host{name: "front-" + name, front: fmt.Sprintf("127.0.0.1:%d", first+portSpan), ready: fmt.Sprintf("127.0.0.1:%d", first+portSpan+1)}
	settings := fmt.Sprintf(settingsText, h.name, zone, first, first+portSpan-1, adviceAddress, h.front, h.ready, storeAddress)
	path := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	if h.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return err
	}
	if keep := os.Getenv("STAGE_LOGS"); keep != "" {
		if h.log, err = os.Create(filepath.Join(keep, name+".log")); err != nil {
			return err
		}
	}
	h.cmd = exec.Command(hostProgram, "host")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "BALSAMCOVE_SETTINGS=" + path}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	s.log.add("process", "%s starts", h.name)
	return nil
}

// settingsText is the settings file of a host, with the bounds of Kruvikoda.
const settingsText = `node = %q
role = "host"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = "tallinn"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1100
orders = "invocation"
advice = %q
[zones]
tallinn-a = "tallinn"
tallinn-b = "tallinn"
tallinn-c = "tallinn"
[listen]
front = %q
ready = %q
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
evacMs = 5000
holdMaxMs = 6000
stopGraceMs = 900
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = %q
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
minTtlMs = 1000
`

// awaitReady waits until all hosts are ready and answer for their cells.
func (s *stage) awaitReady() error {
	deadline := time.Now().Add(startTime)
	for _, h := range s.hosts {
		for {
			if s.ctx.Err() != nil || time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			status, _ := get(h.ready, "/balsamcove/readiness")
			counted, _ := get(h.front, stockOrFirst)
			if status == 200 && (counted == 200 || counted == 404) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.log.add("process", "all hosts are ready: %s", strings.Join(s.fronts(), ", "))
	return nil
}

func (s *stage) fronts() []string {
	var out []string
	for _, h := range s.hosts {
		out = append(out, h.front)
	}
	return out
}
