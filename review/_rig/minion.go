package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	listedEnds   = 500
	maxHoldWait  = 2 * time.Second
	holdMax      = 6 * time.Second
	stopTime     = 100 * time.Millisecond
	gangWait     = 3 * time.Second
	startupTime  = 400 * time.Millisecond
	heartbeat    = 1100 * time.Millisecond
	firstClock   = 1000
	checkpointMS = 1000
)

// size is what a task asks for, or what a minion has.
type size struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"memMb"`
	GPU int64 `json:"gpu"`
}

type taskRun struct {
	task      string
	run       int64
	spec      string
	began     time.Time
	workSince time.Time // zero while the run does not work
	timer     *time.Timer
	stopping  bool
	gang      *gangRun
	saved     string
}

type gangRun struct {
	key     string
	size    int
	members map[*taskRun]*minion
	working bool
}

// life is one life of a minion.
type life struct {
	born     time.Time
	fence    uint64
	deadline time.Time
	runs     map[string]*taskRun
	// top is the highest run of a task that was stopped or has ended here.
	top     map[string]int64
	ended   [][]any
	lastEnd int
	changed chan struct{}
	srv     *http.Server
	ln      net.Listener
}

// minion runs tasks. Its lives have the same id and address.
type minion struct {
	w        *world
	id       string
	service  string
	zone     string
	labels   []string
	capacity size
	address  string
	state    string
	seq      int
	reports  bool
	life     *life
}

// world is what the minions of a case share.
type world struct {
	mu      sync.Mutex
	store   *store
	minions []*minion
	gangs   map[string]*gangRun
	j       *judge
	ticket  func(m *minion, task, ticket string) bool
	rand    *rand.Rand
}

func newWorld(s *store, j *judge) *world {
	w := &world{store: s, gangs: map[string]*gangRun{}, j: j, rand: rand.New(rand.NewPCG(1, 1))}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			w.expire()
		}
	}()
	return w
}

// add starts a minion.
func (w *world) add(id, service, zone, rack string, labels []string, c size) *minion {
	m := &minion{w: w, id: id, service: service, zone: zone, labels: append(slices.Clone(labels), rack), capacity: c, state: "ready", reports: true}
	w.mu.Lock()
	w.minions = append(w.minions, m)
	m.boot()
	w.mu.Unlock()
	m.report()
	go func() {
		for {
			time.Sleep(heartbeat)
			m.report()
		}
	}()
	return m
}

// boot begins a new life; the caller holds the world's lock.
func (m *minion) boot() {
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var ln net.Listener
	var err error
	for range 100 {
		if ln, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	check(err)
	m.address = ln.Addr().String()
	l := &life{born: time.Now(), runs: map[string]*taskRun{}, top: map[string]int64{}, changed: make(chan struct{}), ln: ln}
	m.life = l
	mux := http.NewServeMux()
	mux.HandleFunc("POST /balsamcove/", func(out http.ResponseWriter, r *http.Request) { m.serve(l, out, r) })
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	l.srv = &http.Server{Handler: mux}
	go func() { _ = l.srv.Serve(ln) }()
}

// crash ends the life of a minion with all that runs on it.
func (m *minion) crash() {
	m.w.mu.Lock()
	l := m.life
	m.life = nil
	for _, r := range l.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		m.w.j.runEnded(m, r, "lost", 0)
		m.w.leaveGang(r, "lost")
	}
	l.runs = map[string]*taskRun{}
	m.w.mu.Unlock()
	_ = l.srv.Close()
}

// report writes the minion's entry in the store.
func (m *minion) report() {
	m.w.mu.Lock()
	if m.life == nil || !m.reports {
		m.w.mu.Unlock()
		return
	}
	m.seq++
	entry := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state, "coldLeftMs": 0,
		"capacity": m.capacity, "labels": m.labels, "clockMs": m.life.clock(), "seq": m.seq, "born": m.life.born.UnixMilli(), "machine": "m-" + m.id,
	}
	if m.state == "draining" {
		entry["remainingMs"] = 4000
	}
	m.w.mu.Unlock()
	m.w.store.put("servers", m.id, entry)
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + firstClock }

type order struct {
	Task, Spec, LastCheckpoint, Ticket string
	Run                                int64
	DeadlineMS                         *int64 `json:"deadlineMs"`
	FencingToken                       uint64
	AckedUpto, WaitMS, Percent         int
}

func (m *minion) serve(l *life, out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in order
	if json.Unmarshal(body, &in) != nil {
		m.answer(l, out, http.StatusBadRequest, nil)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/balsamcove/")
	if id := r.Header.Get("X-Balsamcove-Expected-Instance"); id != "" && id != m.id {
		m.answer(l, out, 421, nil)
		return
	}
	m.w.mu.Lock()
	if m.life != l {
		m.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if in.FencingToken < l.fence {
		m.w.mu.Unlock()
		m.answer(l, out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	l.fence = in.FencingToken
	switch path {
	case "run-start":
		status, reason := m.start(l, in)
		m.w.mu.Unlock()
		extra := map[string]any{}
		if reason != "" {
			extra["reason"] = reason
		}
		m.answer(l, out, status, extra)
	case "run-stop":
		m.stop(l, in)
		m.w.mu.Unlock()
		m.answer(l, out, http.StatusOK, nil)
	case "pace":
		m.w.mu.Unlock()
		m.answer(l, out, http.StatusOK, nil)
	case "hold":
		m.hold(l, in, out, r)
	default:
		m.w.mu.Unlock()
		m.answer(l, out, http.StatusNotFound, nil)
	}
}

func (m *minion) answer(l *life, out http.ResponseWriter, status int, extra map[string]any) {
	body := map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli()}
	for k, v := range extra {
		body[k] = v
	}
	reply(out, status, body)
}

// extend moves the deadline; the caller holds the world's lock.
func (l *life) extend(deadline *int64) {
	if deadline == nil {
		return
	}
	until := l.born.Add(time.Duration(*deadline-firstClock) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(l.deadline) {
		l.deadline = until
	}
}

func (m *minion) start(l *life, in order) (int, string) {
	if r := l.runs[in.Task]; r != nil && r.run == in.Run {
		l.extend(in.DeadlineMS)
		return http.StatusOK, ""
	}
	if r := l.runs[in.Task]; in.Run <= l.top[in.Task] || r != nil && in.Run < r.run {
		l.extend(in.DeadlineMS)
		return http.StatusConflict, "old"
	}
	if in.DeadlineMS == nil || *in.DeadlineMS <= l.clock() {
		return http.StatusConflict, "late"
	}
	if m.w.ticket != nil && !m.w.ticket(m, in.Task, in.Ticket) {
		m.w.j.note("%s refuses the start of %s run %d: ticket %q", m.id, in.Task, in.Run, in.Ticket)
		return http.StatusConflict, "ticket"
	}
	l.extend(in.DeadlineMS)
	r := &taskRun{task: in.Task, run: in.Run, spec: in.Spec, began: time.Now(), saved: in.LastCheckpoint}
	l.runs[in.Task] = r
	m.w.j.runStarted(m, r, in)
	m.w.joinGang(m, r)
	if r.gang == nil {
		m.work(l, r)
	}
	return http.StatusOK, ""
}

// work lets a run work until it is done.
func (m *minion) work(l *life, r *taskRun) {
	r.workSince = time.Now()
	took, how := behaviour(r)
	if took < 0 {
		return
	}
	r.timer = time.AfterFunc(took, func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if m.life == l && l.runs[r.task] == r {
			m.end(l, r, how)
		}
	})
}

// behaviour returns how long a run works and how it ends; a negative duration stands for one that
// lasts. The spec of a job says it: "ms=800", "lasts", "fail=200".
func behaviour(r *taskRun) (time.Duration, string) {
	kind, value, _ := strings.Cut(r.spec, "=")
	ms, _ := strconv.Atoi(value)
	switch kind {
	case "lasts":
		return -1, ""
	case "fail":
		return time.Duration(ms) * time.Millisecond, "failed"
	default:
		return time.Duration(ms) * time.Millisecond, "done"
	}
}

// end ends a run; the caller holds the world's lock.
func (m *minion) end(l *life, r *taskRun, how string) {
	if l.runs[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(l.runs, r.task)
	l.top[r.task] = max(l.top[r.task], r.run)
	l.lastEnd++
	l.ended = append(l.ended, []any{l.lastEnd, r.task, r.run, how, ""})
	m.w.j.runEnded(m, r, how, l.lastEnd)
	close(l.changed)
	l.changed = make(chan struct{})
	m.w.leaveGang(r, how)
}

func (m *minion) stop(l *life, in order) {
	l.top[in.Task] = max(l.top[in.Task], in.Run)
	r := l.runs[in.Task]
	if r == nil || r.run != in.Run || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(stopTime, func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if m.life == l {
			m.end(l, r, "stopped")
		}
	})
}

// forget forgets the ends that were taken note of; the caller holds the world's lock.
func (m *minion) forget(l *life, upTo int) {
	kept := l.ended[:0:0]
	for _, e := range l.ended {
		if e[0].(int) > upTo {
			kept = append(kept, e)
		} else {
			m.w.j.acked(m, l, e)
		}
	}
	l.ended = kept
}

// hold answers a hold; the caller holds the world's lock, which it releases.
func (m *minion) hold(l *life, in order, out http.ResponseWriter, r *http.Request) {
	l.extend(in.DeadlineMS)
	m.forget(l, in.AckedUpto)
	if len(l.ended) == 0 && in.WaitMS > 0 {
		changed := l.changed
		m.w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(in.WaitMS)*time.Millisecond, maxHoldWait)):
		case <-r.Context().Done():
			return
		}
		m.w.mu.Lock()
	}
	if m.life != l {
		m.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, run := range l.runs {
		percent := 0
		if !run.workSince.IsZero() {
			took, _ := behaviour(run)
			if took < 0 {
				took = startupTime
			}
			percent = min(100, int(100*time.Since(run.workSince)/max(took, 1)))
		}
		running = append(running, []any{run.task, run.run, run.saved, percent, 0})
	}
	ended := slices.Clone(l.ended[:min(len(l.ended), listedEnds)])
	m.w.mu.Unlock()
	m.answer(l, out, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// expire ends what runs on minions whose lease has lapsed.
func (w *world) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.minions {
		l := m.life
		if l == nil || l.deadline.IsZero() || time.Now().Before(l.deadline) {
			continue
		}
		if len(l.ended) > 0 {
			w.j.lapsed(m, l)
		}
		l.deadline = time.Time{}
		for _, r := range l.runs {
			m.end(l, r, "lapsed")
		}
	}
}

// joinGang adds a run to the run of its gang, if its step is one.
func (w *world) joinGang(m *minion, r *taskRun) {
	step, id := w.j.stepOf(r.task)
	if step == nil || !step.Gang {
		return
	}
	key := fmt.Sprintf("%s run %d", id, r.run)
	g := w.gangs[key]
	if g == nil {
		g = &gangRun{key: key, size: step.Count, members: map[*taskRun]*minion{}}
		w.gangs[key] = g
	}
	g.members[r], r.gang = m, g
	if len(g.members) < g.size {
		l := m.life
		time.AfterFunc(gangWait, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if m.life == l && !g.working {
				m.end(l, r, "alone")
			}
		})
		return
	}
	g.working = true
	for run, at := range g.members {
		at.work(at.life, run)
	}
}

// leaveGang takes a run that has ended out of its gang, and ends the others with it.
func (w *world) leaveGang(r *taskRun, how string) {
	g := r.gang
	if g == nil {
		return
	}
	delete(g.members, r)
	r.gang = nil
	if !g.working {
		return
	}
	other := "broken"
	if how == "done" {
		other = "done"
	}
	for run, at := range g.members {
		if at.life != nil {
			at.end(at.life, run, other)
		}
	}
}
