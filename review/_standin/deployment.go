package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The names of the deployment.
const (
	serviceName = "rakedesk"
	queueHost   = "rake.example"
	queuePath   = "/plan/"
	// restartDelay is how long after its end a process is started again by the platform.
	restartDelay = 500 * time.Millisecond
	callTime     = 3 * time.Second
)

// zones are the zones of the deployment; workers and hosts are spread over them in turn.
var zones = []string{"limerick", "ennis", "nenagh"}

// bounds are the figures of the settings that differ between the cases.
type bounds struct{ holdMaxMs, statusS, finishS int }

// deployment is a store, workers and hosts on loopback.
type deployment struct {
	program string
	// trouble is set unless TROUBLE is 0, restart or cut. With restart or cut, only that part of the
	// disruption is caused.
	trouble, restart, cutOnly bool
	log                       *journal
	dir                       string
	bounds                    bounds
	// hostZones are the zones of the hosts; without them the hosts are spread over all zones.
	hostZones []string
	// labels are those of the workers, if they differ from the usual ones.
	labels [][]string

	store   *store
	address string
	judge   *judge
	workers []*worker
	hosts   []*hostProcess
	client  *http.Client
	servers []*http.Server
}

func newDeployment(program, trouble string, log *journal) *deployment {
	dir, _ := os.MkdirTemp("", "review")
	return &deployment{
		program: program, log: log,
		trouble: trouble != "0" && trouble != "restart" && trouble != "cut", restart: trouble == "restart", cutOnly: trouble == "cut",
		dir: dir, store: newStore(log), judge: newJudge(log),
		client: &http.Client{Timeout: callTime, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		bounds: bounds{holdMaxMs: 10000, statusS: 120, finishS: 14},
	}
}

// close ends all processes that the deployment has started and removes its folder.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.end()
	}
	_ = os.RemoveAll(d.dir)
}

// begin starts the store, the operator's configuration, the workers and the hosts, and waits until
// all hosts are ready.
func (d *deployment) begin(hosts, workers, cpu, memory int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.address = ln.Addr().String()
	server := &http.Server{Handler: d.store.handler()}
	go func() { _ = server.Serve(ln) }()
	d.store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-plan", "host": queueHost, "pathPrefix": queuePath, "routeType": "unsafe", "timeoutMs": 3000, "sloMs": 1000,
			"priority": 0, "service": serviceName, "maxAttempts": 3, "stretch": 2.0,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i := range workers {
		w, err := newWorker(fmt.Sprintf("i-%010x", 0x94e2984916+i*7919), serviceName, zones[i%len(zones)], cpu, memory, time.Duration(d.bounds.holdMaxMs)*time.Millisecond, d.store, d.judge, d.log)
		if err != nil {
			return err
		}
		if i < len(d.labels) {
			w.setLabels(d.labels[i])
		}
		d.workers = append(d.workers, w)
		go w.beat()
	}
	for i := range hosts {
		if err := d.addHost(i); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return d.awaitReady(20 * time.Second)
}

// freePorts returns the first of n consecutive ports that are free now. They lie below the range from
// which systems usually take the ports of outgoing connections.
func freePorts(n int) (int, error) {
	const lowest, highest, tries = 12000, 30000, 200
	for range tries {
		first := lowest + rand.IntN(highest-lowest)
		free := 0
		for ; free < n; free++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+free))
			if err != nil {
				break
			}
			_ = l.Close()
		}
		if free == n {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// hostProcess is one host of the project, as the platform starts it.
type hostProcess struct {
	d                  *deployment
	name, front, ready string
	settings           string
	output             *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	closing bool
}

const internalPorts = 6

func (d *deployment) addHost(i int) error {
	first, err := freePorts(internalPorts + 3)
	if err != nil {
		return err
	}
	zone := zones[i%len(zones)]
	if len(d.hostZones) > 0 {
		zone = d.hostZones[i%len(d.hostZones)]
	}
	h := &hostProcess{d: d, name: fmt.Sprintf("front-%s-%d", zone, i+1)}
	at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", first+internalPorts+k) }
	h.front, h.ready = at(0), at(1)
	h.settings = filepath.Join(d.dir, h.name+".toml")
	text := fmt.Sprintf(`node = %q
role = "host"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = "munster"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice","upkeep","sharing"]
orders = "invocation"
advice = "127.0.0.1:9"
[zones]
limerick = "munster"
ennis = "munster"
nenagh = "munster"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
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
catchUpS = 4
drainMs = 2000
graceS = 6
configApplyMs = 2000
evacMs = 5000
recoverS = 12
holdMaxMs = %d
stopGraceMs = 900
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = %d
status_s = %d
checkpointIntervalS = 1
restoreMs = 250
noticeMs = 4500
leaseMs = 3000
[platform]
address = %q
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 20
partMb = 200
minTtlMs = 1000
[cloud]
address = "127.0.0.1:9"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
`, h.name, zone, first, first+internalPorts-1, h.front, h.ready, at(2), d.bounds.holdMaxMs, d.bounds.finishS, d.bounds.statusS, d.address)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if h.output, err = os.Create(filepath.Join(d.dir, h.name+".log")); err != nil {
		return err
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if h.output, err = os.Create(filepath.Join(keep, h.name+".log")); err != nil {
			return err
		}
	}
	d.hosts = append(d.hosts, h)
	return nil
}

// start starts the process, and again whenever it ends, until end is called.
func (h *hostProcess) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		return nil
	}
	cmd := exec.Command(h.d.program, "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BALSAMCOVE_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = h.output, h.output
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	h.d.log.add("host %s: starts", h.name)
	go func() {
		err := cmd.Wait()
		close(ended)
		h.d.log.add("host %s: ends (%v)", h.name, err)
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			h.d.log.add("host %s: cannot be started: %v", h.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (h *hostProcess) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.d.log.add("host %s: gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// end kills the process for good and waits for its end.
func (h *hostProcess) end() {
	h.mu.Lock()
	h.closing = true
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
	_ = h.output.Close()
}

// awaitReady waits until all hosts report that they are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for {
		ready := 0
		for _, h := range d.hosts {
			if resp, err := d.client.Get("http://" + h.ready + "/balsamcove/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(d.hosts) {
			d.log.add("all hosts are ready")
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("only %d of %d hosts are ready", ready, len(d.hosts))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// holder returns the host that has partition 0 of a topic of some group: the one that last wrote to
// the store under a condition. The name of a member begins with that of its machine.
func (d *deployment) holder() *hostProcess {
	d.store.mu.Lock()
	names := make([]string, 0, len(d.store.groups))
	for name := range d.store.groups {
		names = append(names, name)
	}
	d.store.mu.Unlock()
	for _, name := range names {
		for _, row := range d.store.owners(name) {
			if row[1] != 0 {
				continue
			}
			for _, h := range d.hosts {
				if strings.HasPrefix(row[2].(string), h.name+"/") {
					return h
				}
			}
		}
	}
	return nil
}

// call makes one request of a client and returns the status, or 0 without an answer, and the body.
func (d *deployment) call(h *hostProcess, method, id string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+queuePath+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Balsamcove-Time-Remaining", fmt.Sprint(callTime.Milliseconds()))
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	var out map[string]any
	_ = json.Unmarshal(text, &out)
	return resp.StatusCode, out
}

// submit hands a submission in, at another host after each failed try, and reports whether it was
// accepted.
func (d *deployment) submit(id string, body any) bool {
	for try := range 4 {
		h := d.hosts[(int(id[len(id)-3])+try)%len(d.hosts)]
		status, _ := d.call(h, http.MethodPost, id, body)
		if status == 200 {
			return true
		}
		d.log.add("client: POST %s at %s is answered %d", id, h.name, status)
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission, at another host after each try without an answer.
func (d *deployment) state(id string) string {
	for try := range 2 * len(d.hosts) {
		status, body := d.call(d.hosts[try%len(d.hosts)], http.MethodGet, id, nil)
		if status == 200 {
			s, _ := body["state"].(string)
			return s
		}
		if status == 410 {
			return "410"
		}
	}
	return "no answer"
}

// step is a step of a submission as clients send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMb         int    `json:"memMb"`
	EstimateMs    int    `json:"estimateMs,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpoint    bool   `json:"checkpoint,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	MaxPerServer  int    `json:"maxPerServer,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMs      int    `json:"targetMs,omitempty"`
}

// submission is the body of a POST.
type submission struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	FirstRunMs  int64  `json:"firstRunMs,omitempty"`
	PeriodMs    int64  `json:"periodMs,omitempty"`
	RepeatCount int    `json:"repeatCount,omitempty"`
}
