package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// rig is what a case plays with.
type rig struct {
	j       *judge
	s       *store
	w       *world
	hosts   []*host
	q       queue
	trouble bool
	version int
	config  map[string]any
}

func main() {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.StringVar(&program, "program", program, "the system's program")
	seed := flag.Uint64("seed", 1, "seed")
	keep := flag.String("keep", "", "folder for the logs of the hosts")
	flag.Parse()
	code := 2
	func() {
		defer func() {
			if e := recover(); e != nil {
				fmt.Fprintln(os.Stderr, e)
			}
		}()
		var err error
		dir = *keep
		if dir == "" {
			dir, err = os.MkdirTemp("", "rig")
			check(err)
			defer func() { _ = os.RemoveAll(dir) }()
		}
		r := &rig{j: newJudge(*record), trouble: os.Getenv("TROUBLE") != "0"}
		r.s = newStore()
		r.w = newWorld(r.s, r.j)
		r.q = queue{"r-3hwrr6x", "nony24.example", "/lohu930/"}
		play, ok := cases[*name]
		if !ok {
			panic("no such case")
		}
		defer r.endHosts()
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-stop
			r.endHosts()
			os.Exit(2)
		}()
		if ran := play(r, rand.New(rand.NewPCG(*seed, 7))); ran {
			code = r.j.finish()
		}
	}()
	os.Exit(code)
}

var cases = map[string]func(*rig, *rand.Rand) bool{}

func (r *rig) endHosts() {
	for _, h := range r.hosts {
		h.mu.Lock()
		h.stopping = true
		cmd := h.cmd
		h.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-h.ended
		}
	}
}

const service = "huvo11a"

// publish writes the next version of the config.
func (r *rig) publish(change func(route map[string]any)) {
	if r.config == nil {
		r.version = 6
		r.config = map[string]any{
			"routes": []map[string]any{{
				"name": r.q.name, "host": r.q.host, "pathPrefix": r.q.prefix, "routeType": "unsafe", "timeoutMs": 3000, "sloMs": 1000,
				"priority": 0, "service": service, "maxAttempts": 3, "stretch": 2.0,
			}},
			"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "rejectsOverload": false, "spare": false}},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		}
	}
	r.version += 1 + r.version%3
	r.config["version"] = r.version
	if change != nil {
		change(r.config["routes"].([]map[string]any)[0])
	}
	r.s.put("op", "config", r.config)
	r.j.note("config %d", r.version)
}

// begin starts the platform and hosts, and reports whether they are ready.
func (r *rig) begin(hosts int, advice string) bool {
	r.publish(nil)
	zones := []string{"tallinn-a", "tallinn-b", "tallinn-c"}
	for i := range hosts {
		r.hosts = append(r.hosts, newHost(r.j, r.s, fmt.Sprintf("front-%d", i+1), zones[i%3], advice))
	}
	for _, h := range r.hosts {
		h.start()
	}
	for _, h := range r.hosts {
		if !h.awaitReady() {
			return false
		}
	}
	// The first submission shows that the whole path works.
	s := r.sub("ms=50", step{Count: 1, CPU: 100, Mem: 64, EstimateMS: 50})
	if !r.q.submit(r.j, r.hosts, s, 20) {
		return false
	}
	return r.awaitState(s, "completed", 10*time.Second)
}

// subCount numbers the submissions. Their IDs end in a letter, so that no task name looks like an address.
var subCount int

func (r *rig) sub(spec string, steps ...step) *submission {
	subCount++
	return &submission{ID: fmt.Sprintf("5c0e7a21d94b%03xf", subCount), Spec: spec, Steps: steps}
}

// awaitState waits until a submission is shown in a state.
func (r *rig) awaitState(s *submission, state string, within time.Duration) bool {
	shown := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, h := range r.hosts {
			if _, shown = r.q.state(r.j, h, s.ID); shown == state {
				r.j.note("%s is %s at %s", s.ID, state, h.name)
				return true
			}
		}
	}
	r.j.note("%s is %q and not %s", s.ID, shown, state)
	return false
}

// minions adds minions in three zones.
func (r *rig) minions(n int, c size) {
	zones := []string{"tallinn-a", "tallinn-b", "tallinn-c"}
	for i := range n {
		r.w.add(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service, zones[i%3], fmt.Sprintf("r1-%d", 1+i/3), []string{"a"}, c)
	}
}
