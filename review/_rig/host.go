package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const settingsText = `node = "%[1]s"
role = "host"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "%[2]s"
region = "r"
internalPorts = [%[3]d,%[4]d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1100
orders = "invocation"
advice = "%[9]s"
[listen]
front = "127.0.0.1:%[5]d"
ready = "127.0.0.1:%[6]d"
[limits]
cpuShare = %[8]s
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
evacMs = 5000
holdMaxMs = 6000
stopGraceMs = 900
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = %[10]d
remoteFactor = 2
checkpointIntervalS = 1
restoreMs = 100
leaseMs = 3000
[platform]
address = "%[7]s"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
minTtlMs = 1000
`

// host is a scheduling host of the system.
type host struct {
	name, front, ready, settings string
	log                          string
	mu                           sync.Mutex
	cmd                          *exec.Cmd
	ended                        chan struct{}
	stopping                     bool
	j                            *judge
}

var program = "target/balsamcove"

// statusS is how long the state of an ended submission is kept, in seconds.
var statusS = 120

// dir is the temporary folder of the case.
var dir string

// newHost prepares a host; start starts its process.
func newHost(j *judge, s *store, name, zone, advice string) *host {
	p := freePorts(5)
	h := &host{name: name, j: j, front: fmt.Sprintf("127.0.0.1:%d", p+3), ready: fmt.Sprintf("127.0.0.1:%d", p+4)}
	h.settings, h.log = filepath.Join(dir, name+".toml"), filepath.Join(dir, name+".log")
	text := fmt.Sprintf(settingsText, name, zone, p, p+2, p+3, p+4, s.serve(name), "0.4", advice, statusS)
	check(os.WriteFile(h.settings, []byte(text), 0o600))
	return h
}

var nextPort = 12000 + os.Getpid()%280*64

// freePorts returns the first of n free consecutive ports, below those of outgoing connections.
func freePorts(n int) int {
	for ; nextPort < 31000; nextPort++ {
		free := 0
		for ; free < n; free++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort+free))
			if err != nil {
				break
			}
			_ = ln.Close()
		}
		if free == n {
			first := nextPort
			nextPort += n
			return first
		}
	}
	panic("no free ports")
}

func (h *host) start() {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(program, "host", "--settings", h.settings)
	cmd.Env = append(os.Environ(), "BALSAMCOVE_SETTINGS="+h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	_ = log.Close()
	h.j.note("host %s starts", h.name)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.ended, h.stopping = cmd, make(chan struct{}), false
	ended := h.ended
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		asked := h.stopping
		h.mu.Unlock()
		h.j.note("host %s ends: %v", h.name, err)
		if !asked {
			h.j.breach("Fault", "host %s ended by itself: %v", h.name, err)
		}
		close(ended)
	}()
}

// signal sends a signal to the process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		h.stopping = true
	}
	h.j.note("host %s gets %v", h.name, sig)
	_ = h.cmd.Process.Signal(sig)
}

// stop sends SIGTERM, and SIGKILL after the grace.
func (h *host) stop(grace time.Duration) {
	h.signal(syscall.SIGTERM)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		h.signal(syscall.SIGKILL)
		<-ended
	}
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _, _ := call(http.MethodGet, h.ready, "", "/balsamcove/readiness", nil, time.Second); status == http.StatusOK {
			return true
		}
	}
	return false
}

var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}

// call makes a request; status is 0 if there was no answer.
func call(method, address, host, path string, body []byte, wait time.Duration) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	check(err)
	req.Host = host
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("X-Balsamcove-Time-Remaining", fmt.Sprint(wait.Milliseconds()))
	resp, err := clients.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, string(data), nil
}

// queue is a queue of the config.
type queue struct{ name, host, prefix string }

const clientWait = 3 * time.Second

// submit hands a submission in, at the hosts in turn, until it is accepted or refused for good. It
// reports whether it was accepted.
func (q queue) submit(j *judge, hosts []*host, s *submission, tries int) bool {
	j.mu.Lock()
	j.subs[s.ID] = s
	j.mu.Unlock()
	body, err := json.Marshal(s)
	check(err)
	for i := range tries {
		h := hosts[i%len(hosts)]
		status, answer, err := call(http.MethodPost, h.front, q.host, q.prefix+s.ID, body, clientWait)
		j.note("POST %s at %s: %d %.80s %v", s.ID, h.name, status, answer, err)
		if status/100 == 2 {
			s.accepted, s.lastBusy = time.Now(), time.Now()
			return true
		}
		if status == http.StatusNotFound || status == http.StatusBadRequest {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission.
func (q queue) state(j *judge, h *host, id string) (int, string) {
	status, answer, _ := call(http.MethodGet, h.front, q.host, q.prefix+id, nil, clientWait)
	var out struct{ State string }
	_ = json.Unmarshal([]byte(answer), &out)
	return status, out.State
}
