package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// adviser is the service that knows which minions may run a step. It handles one call at a time
// for each calling machine.
type adviser struct {
	w                         *world
	address                   string
	decide, perWorker, valid  time.Duration
	mu                        sync.Mutex
	turns                     map[string]*sync.Mutex
	waiting                   int
	tickets                   map[string]ticket
	allowed                   func(step, worker string) bool
	silent, reset, busy, slow bool
	calls                     int
}

type ticket struct {
	step   string
	worker string
	life   *life
	until  time.Time
}

func newAdviser(w *world, decide, perWorker, valid time.Duration) *adviser {
	a := &adviser{w: w, decide: decide, perWorker: perWorker, valid: valid, turns: map[string]*sync.Mutex{}, tickets: map[string]ticket{}, allowed: func(string, string) bool { return true }}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	a.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /balsamcove/advise", a.advise)
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(ln) }()
	w.ticket = a.valids
	return a
}

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in struct {
		Step    string
		Workers []string
	}
	if json.Unmarshal(body, &in) != nil || len(in.Workers) > 100 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	a.mu.Lock()
	a.calls++
	silent, reset, busy, slow := a.silent, a.reset, a.busy, a.slow
	if a.waiting >= 32 {
		busy = true
	}
	turn := a.turns["all"]
	if turn == nil {
		turn = &sync.Mutex{}
		a.turns["all"] = turn
	}
	if !busy {
		a.waiting++
	}
	a.mu.Unlock()
	if busy {
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	defer func() {
		a.mu.Lock()
		a.waiting--
		a.mu.Unlock()
	}()
	if reset {
		panic(http.ErrAbortHandler)
	}
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	turn.Lock()
	took := a.decide + time.Duration(len(in.Workers))*a.perWorker
	if slow {
		took *= 5
	}
	select {
	case <-time.After(took):
	case <-r.Context().Done():
	}
	turn.Unlock()
	good := [][]string{}
	a.w.mu.Lock()
	lives := map[string]*life{}
	for _, m := range a.w.minions {
		lives[m.id] = m.life
	}
	a.w.mu.Unlock()
	a.mu.Lock()
	for _, id := range in.Workers {
		if l := lives[id]; l != nil && a.allowed(in.Step, id) {
			t := fmt.Sprintf("t%d-%d", a.calls, len(a.tickets))
			a.tickets[t] = ticket{in.Step, id, l, time.Now().Add(a.valid)}
			good = append(good, []string{id, t})
		}
	}
	a.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"good": good, "validMs": a.valid.Milliseconds()})
}

// valids reports whether a ticket allows a start; the caller holds the world's lock.
func (a *adviser) valids(m *minion, task, text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[text]
	step := task[:strings.LastIndexByte(task, '.')]
	return ok && t.step == step && t.worker == m.id && t.life == m.life && time.Now().Before(t.until)
}

func init() {
	cases["advice"] = func(r *rig, x *rand.Rand) bool {
		r.minions(12, size{16000, 64000, 0})
		valid := []time.Duration{600, 1000, 3000}[x.IntN(3)] * time.Millisecond
		a := newAdviser(r.w, time.Duration(20+x.IntN(150))*time.Millisecond, time.Duration(1+x.IntN(10))*time.Millisecond, valid)
		a.allowed = func(step, worker string) bool {
			h := uint32(0)
			for _, c := range step + worker {
				h = h*31 + uint32(c)
			}
			return h%3 > 0
		}
		r.publish(func(route map[string]any) {
			route["advice"] = map[string]any{"decideMs": a.decide.Milliseconds(), "perWorkerMs": a.perWorker.Milliseconds(), "validMs": valid.Milliseconds()}
		})
		if !r.begin(3, a.address) {
			return false
		}
		var subs []*submission
		stop := time.Now().Add(35 * time.Second)
		if r.trouble {
			go func() {
				for time.Now().Before(stop) {
					time.Sleep(time.Duration(500+x.IntN(4000)) * time.Millisecond)
					a.mu.Lock()
					k := x.IntN(4)
					a.silent, a.reset, a.busy, a.slow = k == 0, k == 1, k == 2, k == 3
					r.j.note("adviser %d", k)
					a.mu.Unlock()
					time.Sleep(time.Duration(500+x.IntN(6000)) * time.Millisecond)
					a.mu.Lock()
					a.silent, a.reset, a.busy, a.slow = false, false, false, false
					r.j.note("adviser well")
					a.mu.Unlock()
				}
			}()
		}
		y := rand.New(rand.NewPCG(x.Uint64(), 9))
		for time.Now().Before(stop) {
			ms := 200 + y.IntN(800)
			st := step{Count: 1 + y.IntN(4), CPU: 500 + y.Int64N(4000), Mem: 500, EstimateMS: ms, Gang: y.IntN(3) == 0}
			s := r.sub(fmt.Sprintf("ms=%d", ms), st)
			if r.q.submit(r.j, r.hosts, s, 3) {
				subs = append(subs, s)
			}
			time.Sleep(time.Duration(400+y.IntN(800)) * time.Millisecond)
		}
		time.Sleep(7 * time.Second)
		r.j.note("troubles are over")
		end := time.Now().Add(25 * time.Second)
		open := subs
		for len(open) > 0 && time.Now().Before(end) {
			var rest []*submission
			for _, s := range open {
				if _, state := r.q.state(r.j, r.hosts[0], s.ID); state != "completed" {
					rest = append(rest, s)
				}
			}
			open = rest
			r.j.note("%d open", len(open))
			time.Sleep(500 * time.Millisecond)
		}
		for _, s := range open {
			r.j.breach("LOST", "%s %+v", s.ID, s.Steps)
		}
		return true
	}
}
