package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the workers, as the settings of a small deployment give them.
const (
	heartbeat       = 1500 * time.Millisecond
	silentBeats     = 3
	stopTime        = 100 * time.Millisecond
	startupTime     = 300 * time.Millisecond
	checkpointEvery = time.Second
	maxEndsListed   = 500
)

// taskRun is a run of a task on a worker.
type taskRun struct {
	task      string
	run       int
	startedAt time.Time
	// length is how long the task works; zero for one that lasts.
	length   time.Duration
	stopping bool
	timer    *time.Timer
}

// endedRun is an entry of the list of ends.
type endedRun struct {
	number int
	task   string
	run    int
	how    string
}

// worker is a stand-in of one minion, with the protocol of its lifetimes.
type worker struct {
	id, service, zone string
	labels            []string
	cpu, memory       int
	holdMax           time.Duration
	store             *store
	log               *journal
	judge             *judge
	link              *link
	server            *http.Server
	backend           net.Listener

	mu sync.Mutex
	// life counts the lifetimes; events of an earlier one are ignored.
	life      int
	up        bool
	born      time.Time
	fence     uint64
	deadline  int64 // by the worker's clock, in milliseconds
	lease     *time.Timer
	running   map[string]*taskRun
	finished  map[string]int // highest run of a task that was stopped or has ended here
	ends      []endedRun
	lastEnd   int
	seq       int
	changed   chan struct{}
	heardLast time.Time
}

func newWorker(id, service, zone string, cpu, memory int, holdMax time.Duration, s *store, j *judge, log *journal) (*worker, error) {
	w := &worker{id: id, service: service, zone: zone, labels: []string{"a", "r1-1"}, cpu: cpu, memory: memory, holdMax: holdMax, store: s, judge: j, log: log}
	var err error
	if w.backend, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /balsamcove/run-start", w.order(w.start))
	mux.HandleFunc("POST /balsamcove/run-stop", w.order(w.stop))
	mux.HandleFunc("POST /balsamcove/pace", w.order(func(orderBody) (int, string) { return 200, "" }))
	mux.HandleFunc("POST /balsamcove/hold", w.hold)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(200) })
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(w.backend) }()
	if w.link, err = newLink(w.backend.Addr().String()); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.begin()
	w.mu.Unlock()
	return w, nil
}

// setLabels changes the labels that the worker reports.
func (w *worker) setLabels(labels []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.labels = labels
}

// begin begins a lifetime; the caller holds mu.
func (w *worker) begin() {
	w.life++
	w.up, w.born = true, time.Now()
	w.fence, w.deadline, w.lastEnd, w.seq = 0, 0, 0, 0
	w.running, w.finished, w.ends = map[string]*taskRun{}, map[string]int{}, nil
	w.changed = make(chan struct{})
}

// clock is the worker's steady clock in milliseconds; it begins with the lifetime.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// crash ends the lifetime; connections are reset and new ones refused.
func (w *worker) crash() {
	w.endLife()
	w.link.refuse(true)
	w.log.add("worker %s: crashes", w.id)
}

// vanish ends the lifetime for good; connections and new ones get no answer.
func (w *worker) vanish() {
	w.link.cut(true)
	w.endLife()
	w.log.add("worker %s: is lost for good, without a sign", w.id)
}

// endLife ends the lifetime and everything that runs.
func (w *worker) endLife() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	for _, r := range w.running {
		r.timer.Stop()
		w.judge.ended(w.id, r.task, r.run, "crashed", 0)
	}
	w.running = map[string]*taskRun{}
	if w.lease != nil {
		w.lease.Stop()
	}
	w.life++
	close(w.changed)
	w.changed = make(chan struct{})
}

// restart begins a new lifetime under the same id and address.
func (w *worker) restart() {
	w.mu.Lock()
	w.begin()
	w.mu.Unlock()
	w.link.refuse(false)
	w.log.add("worker %s: starts again under the same id", w.id)
}

// cut begins or ends a partition of the worker from all hosts and from the store.
func (w *worker) cut(on bool) {
	w.link.cut(on)
	w.log.add("worker %s: cut off: %v", w.id, on)
}

// beat writes the worker's entry while it is up and not cut off, and removes it after three missed
// reports.
func (w *worker) beat() {
	last := time.Time{}
	listed := false
	for {
		w.mu.Lock()
		up := w.up
		w.seq++
		entry := map[string]any{
			"service": w.service, "address": w.link.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memory, "gpu": 0}, "labels": w.labels, "machine": "m-" + w.id,
			"clockMs": w.clock(), "born": w.born.UnixMilli(), "seq": w.seq,
		}
		w.mu.Unlock()
		switch {
		case up && !w.link.isCut():
			w.store.put("keyed.servers", w.id, entry)
			last, listed = time.Now(), true
		case listed && time.Since(last) > silentBeats*heartbeat:
			w.store.put("keyed.servers", w.id, nil)
			listed = false
		}
		time.Sleep(heartbeat)
	}
}

// orderBody has the fields of all orders.
type orderBody struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     *int64 `json:"deadlineMs"`
	FencingToken   uint64 `json:"fencingToken"`
	LastCheckpoint string `json:"lastCheckpoint"`
	AckedUpto      int    `json:"ackedUpto"`
	WaitMs         int64  `json:"waitMs"`
}

// admit decodes an order and checks its lifetime and its fence number. It returns with mu held if
// ok is set.
func (w *worker) admit(rw http.ResponseWriter, r *http.Request) (in orderBody, ok bool) {
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(rw, 400, struct{}{})
		return in, false
	}
	w.mu.Lock()
	if id := r.Header.Get("X-Balsamcove-Expected-Instance"); id != "" && id != w.id {
		w.mu.Unlock()
		answer(rw, 421, struct{}{})
		return in, false
	}
	if in.FencingToken < w.fence {
		clock := w.clock()
		w.mu.Unlock()
		answer(rw, 409, map[string]any{"clockMs": clock, "reason": "fence"})
		return in, false
	}
	w.fence = in.FencingToken
	w.heardLast = time.Now()
	return in, true
}

// order returns the handler of an order that do carries out with mu held. Do returns the status
// and, for 409, the reason.
func (w *worker) order(do func(orderBody) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		in, ok := w.admit(rw, r)
		if !ok {
			return
		}
		status, reason := do(in)
		out := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
		w.mu.Unlock()
		if reason != "" {
			out["reason"] = reason
		}
		answer(rw, status, out)
	}
}

// extend moves the lease to a time of the worker's clock, by holdMax at most. It never shortens.
func (w *worker) extend(until int64) {
	now := w.clock()
	if longest := now + w.holdMax.Milliseconds(); until > longest {
		w.log.addOnce(fmt.Sprintf("%s/%d", w.id, w.life), "worker %s: its clock shows %d ms; a lease up to %d ms is asked for and shortened to %d ms", w.id, now, until, longest)
		until = longest
	}
	if until <= w.deadline {
		return
	}
	w.deadline = until
	if w.lease != nil {
		w.lease.Stop()
	}
	life := w.life
	w.lease = time.AfterFunc(time.Duration(until-now)*time.Millisecond, func() { w.lapse(life) })
}

// lapse kills everything once the lease is over.
func (w *worker) lapse(life int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != life || !w.up || w.clock() < w.deadline {
		return
	}
	w.judge.lapsed(w.id)
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
}

// start carries out a run-start.
func (w *worker) start(in orderBody) (int, string) {
	if in.DeadlineMs == nil || in.Run <= 0 || in.Task == "" {
		return 400, ""
	}
	if *in.DeadlineMs <= w.clock() {
		return 409, "late"
	}
	w.extend(*in.DeadlineMs)
	if r := w.running[in.Task]; r != nil && r.run == in.Run {
		return 200, ""
	}
	if in.Run <= w.finished[in.Task] || w.running[in.Task] != nil {
		return 409, "old"
	}
	r := &taskRun{task: in.Task, run: in.Run, startedAt: time.Now(), length: lengthOf(in.Spec, in.Task)}
	w.running[in.Task] = r
	w.judge.started(w.id, in.Task, in.Run)
	life := w.life
	length := r.length
	if length == 0 {
		length = time.Hour
	}
	r.timer = time.AfterFunc(length, func() { w.finish(life, r, "done") })
	return 200, ""
}

// lengthOf reads the length of a task from its spec, "ms=NUMBER"; zero is a task that lasts. In
// "ms=NUMBER first=NUMBER" the second number is the length of the first task of each step.
func lengthOf(spec, task string) time.Duration {
	ms := 0
	for _, field := range strings.Fields(spec) {
		name, value, _ := strings.Cut(field, "=")
		if n, err := strconv.Atoi(value); err == nil && (name == "ms" || name == "first" && strings.HasSuffix(task, ".0")) {
			ms = n
		}
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) finish(life int, r *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == life && w.running[r.task] == r {
		w.end(r, how)
	}
}

// end lists the end of a run; the caller holds mu.
func (w *worker) end(r *taskRun, how string) {
	r.timer.Stop()
	delete(w.running, r.task)
	w.finished[r.task] = max(w.finished[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, endedRun{w.lastEnd, r.task, r.run, how})
	w.judge.ended(w.id, r.task, r.run, how, w.lastEnd)
	close(w.changed)
	w.changed = make(chan struct{})
}

// stop carries out a run-stop.
func (w *worker) stop(in orderBody) (int, string) {
	r := w.running[in.Task]
	if r == nil || r.run != in.Run {
		w.finished[in.Task] = max(w.finished[in.Task], in.Run)
		return 200, ""
	}
	if !r.stopping {
		r.stopping = true
		life := w.life
		time.AfterFunc(stopTime, func() { w.finish(life, r, "stopped") })
	}
	return 200, ""
}

// hold serves POST hold.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	in, ok := w.admit(rw, r)
	if !ok {
		return
	}
	if in.DeadlineMs != nil {
		w.extend(*in.DeadlineMs)
	}
	for len(w.ends) > 0 && w.ends[0].number <= in.AckedUpto {
		w.judge.acked(w.id, w.ends[0].task, w.ends[0].run)
		w.ends = w.ends[1:]
	}
	life, changed := w.life, w.changed
	if in.WaitMs > 0 && len(w.ends) == 0 {
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	if w.life != life {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range w.running {
		running = append(running, []any{t.task, t.run, t.checkpoint(), t.percent(), 10})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEndsListed)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	out := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	answer(rw, 200, out)
}

// percent is the progress of a run; a run that lasts is at 100 once it is at work.
func (t *taskRun) percent() int {
	age := time.Since(t.startedAt)
	switch {
	case t.length > 0:
		return int(min(99*age/t.length, 99))
	case age > startupTime:
		return 100
	default:
		return 0
	}
}

// checkpoint is the newest checkpoint of a run.
func (t *taskRun) checkpoint() string {
	n := int(time.Since(t.startedAt) / checkpointEvery)
	if n == 0 || t.length == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%08x", n*int(checkpointEvery/time.Millisecond), t.run)
}

// link is a proxy in front of a worker that can cut or refuse its connections.
type link struct {
	address, backend string

	mu       sync.Mutex
	listener net.Listener
	isOff    bool
	conns    map[net.Conn]struct{}
}

func newLink(backend string) (*link, error) {
	l := &link{backend: backend, conns: map[net.Conn]struct{}{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.address, l.listener = ln.Addr().String(), ln
	go l.accept(ln)
	return l, nil
}

func (l *link) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isOff
}

// cut makes the link silent: nothing passes in either direction. When it ends, the connections of
// that time are reset, so that what was held up is lost.
func (l *link) cut(on bool) {
	l.mu.Lock()
	l.isOff = on
	var old []net.Conn
	if !on {
		for c := range l.conns {
			old = append(old, c)
		}
	}
	l.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// refuse closes the port and all connections, or opens the port again.
func (l *link) refuse(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on {
		if ln, err := net.Listen("tcp", l.address); err == nil {
			l.listener = ln
			go l.accept(ln)
		}
		return
	}
	_ = l.listener.Close()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) track(c net.Conn, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.conns[c] = struct{}{}
		return
	}
	delete(l.conns, c)
}

func (l *link) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b, err := net.Dial("tcp", l.backend)
	if err != nil {
		return
	}
	defer func() { _ = b.Close() }()
	for _, x := range []net.Conn{c, b} {
		l.track(x, true)
		defer l.track(x, false)
	}
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			if l.isCut() {
				continue
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	go pass(c, b)
	go pass(b, c)
	<-done
}
