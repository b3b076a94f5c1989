package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The bounds of the users' small site at Kruvikoda, as far as minions keep them.
const (
	holdMax     = 6 * time.Second
	stopTime    = 100 * time.Millisecond // at most stopGraceMs, 900
	gangWait    = 3 * time.Second
	maxPollWait = 2 * time.Second
	heartbeat   = 1100 * time.Millisecond
	startupTime = 400 * time.Millisecond // until a task that lasts is at work
	failureTime = 300 * time.Millisecond // until a task on a failing minion has failed
	maxEnds     = 500
	tick        = 10 * time.Millisecond
)

// mode is how a minion is disturbed.
type mode int

const (
	sound mode = iota
	// failing fails all that it starts (srv_grey, errors).
	failing
	// shedding refuses all starts with 429 (srv_grey, shed).
	shedding
	// dark answers nothing (srv_crash, dark gone): it has crashed, for good.
	dark
)

// stepSpec is a step of a submission as its client sent it, with the time that its tasks work.
type stepSpec struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"memMb"`
	EstimateMS  int    `json:"estimateMs"`
	After       []int  `json:"after,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	Image       string `json:"image,omitempty"`
	TargetMS    int    `json:"targetMs,omitempty"`
	Fills       bool   `json:"fills,omitempty"`
	// MaxPerServer is zero for a step without that limit.
	MaxPerServer int `json:"maxPerServer,omitempty"`

	work time.Duration
}

// execution is one run of a task on a minion.
type execution struct {
	task   string
	run    uint32
	step   stepSpec
	minion *minion
	// gang has all members of a gang's run; nil for other tasks.
	gang *gangRun
	// startedAt is when the minion took the run, workingSince when it began to work.
	startedAt, workingSince time.Time
	stopAt                  time.Time
}

// gangRun is one run of a gang. Its members work from when all of them are present.
type gangRun struct {
	members map[string]*execution
	began   time.Time
	over    bool
}

// endRow is an ended run as a minion lists it.
type endRow struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// world is what minions share: the submissions, and the members of gangs. Its lock guards all minions.
type world struct {
	mu    sync.Mutex
	log   *history
	steps map[string][]stepSpec
	gangs map[string]*gangRun
	// minions are all minions, those that have crashed included.
	minions []*minion
	// advised are the submissions on queues with advice, whose starts need a ticket.
	advised map[string]bool
	tickets sync.Map
}

// minion is one minion of the users' platform. Its fields are guarded by the lock of the world.
type minion struct {
	id, zone, service, address string
	labels                     []string
	cpu, memMB                 int
	world                      *world
	store                      *store
	born                       time.Time
	mode                       mode
	fence                      uint64
	deadline                   time.Duration
	running                    map[string]*execution
	highest                    map[string]uint32
	ends                       []endRow
	lastEnd                    uint64
	seq                        int
	changed                    chan struct{}
}

func newMinion(w *world, s *store, id, zone, service string, cpu, memMB int) (*minion, error) {
	m := &minion{
		id: id, zone: zone, service: service, labels: []string{"a", "r1-1"}, cpu: cpu, memMB: memMB, world: w, store: s, born: time.Now(),
		running: map[string]*execution{}, highest: map[string]uint32{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /balsamcove/run-start", m.handleStart)
	mux.HandleFunc("POST /balsamcove/run-stop", m.handleStop)
	mux.HandleFunc("POST /balsamcove/hold", m.handleHold)
	mux.HandleFunc("POST /balsamcove/pace", m.handlePace)
	var err error
	m.address, err = listenAndServe(m.checkInstance(mux))
	if err != nil {
		return nil, err
	}
	go m.beat()
	w.mu.Lock()
	w.minions = append(w.minions, m)
	w.mu.Unlock()
	return m, nil
}

// beat writes the minion's entry in the store every heartbeat.
func (m *minion) beat() {
	for {
		m.world.mu.Lock()
		m.seq++
		entry := map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.memMB, "gpu": 0}, "labels": m.labels,
			"clockMs": m.clock().Milliseconds(), "seq": m.seq, "born": m.born.UnixMilli(),
		}
		silent := m.mode == dark
		m.world.mu.Unlock()
		if !silent {
			m.store.put(workersTopic, m.id, entry)
		}
		time.Sleep(heartbeat)
	}
}

func (m *minion) clock() time.Duration { return time.Since(m.born) + time.Second }

// checkInstance refuses calls that are meant for another lifetime, and leaves all calls unanswered
// while the minion is dark.
func (m *minion) checkInstance(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.world.mu.Lock()
		silent := m.mode == dark
		m.world.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if id := r.Header.Get("X-Balsamcove-Expected-Instance"); id != "" && id != m.id {
			answer(w, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// order has the fields of all orders.
type order struct {
	Task           string `json:"task"`
	Run            uint32 `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMS     *int64 `json:"deadlineMs"`
	FencingToken   uint64 `json:"fencingToken"`
	LastCheckpoint string `json:"lastCheckpoint"`
	Ticket         string `json:"ticket"`
	AckedUpTo      uint64 `json:"ackedUpto"`
	WaitMS         int64  `json:"waitMs"`
}

// accept decodes an order and checks its fencing token; ok is false if the order was refused. The
// caller holds the lock.
func (m *minion) accept(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, m.body(nil))
		return o, false
	}
	if o.FencingToken < m.fence {
		answer(w, http.StatusConflict, m.body(map[string]any{"reason": "fence"}))
		return o, false
	}
	m.fence = o.FencingToken
	return o, true
}

func (m *minion) body(with map[string]any) map[string]any {
	out := map[string]any{"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli()}
	maps.Copy(out, with)
	return out
}

// extend applies the deadline of an order, which never shortens a lease and is at most holdMax away.
func (m *minion) extend(ms *int64) {
	if ms != nil {
		m.deadline = max(m.deadline, min(time.Duration(*ms)*time.Millisecond, m.clock()+holdMax))
	}
}

func (m *minion) handleStart(w http.ResponseWriter, r *http.Request) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	o, ok := m.accept(w, r)
	if !ok {
		return
	}
	if m.mode == shedding {
		m.world.log.add("refused", "task %s run %d at %s: 429", o.Task, o.Run, m.id)
		answer(w, http.StatusTooManyRequests, m.body(nil))
		return
	}
	if e := m.running[o.Task]; e != nil && e.run == o.Run {
		m.extend(o.DeadlineMS)
		answer(w, http.StatusOK, m.body(nil))
		return
	}
	step, known := m.world.stepOf(o.Task)
	switch {
	case !known:
		m.world.log.add("unasked", "task %s run %d at %s", o.Task, o.Run, m.id)
		answer(w, http.StatusBadRequest, m.body(nil))
	case o.DeadlineMS == nil || time.Duration(*o.DeadlineMS)*time.Millisecond <= m.clock():
		answer(w, http.StatusConflict, m.body(map[string]any{"reason": "late"}))
	case o.Run <= m.highest[o.Task] || m.running[o.Task] != nil:
		m.extend(o.DeadlineMS)
		answer(w, http.StatusConflict, m.body(map[string]any{"reason": "old"}))
	case m.world.advised[submissionOf(o.Task)] && !permits(&m.world.tickets, o.Ticket, o.Task[:strings.LastIndexByte(o.Task, '.')], m.id):
		answer(w, http.StatusConflict, m.body(map[string]any{"reason": "ticket"}))
	default:
		m.extend(o.DeadlineMS)
		m.begin(o, step)
		answer(w, http.StatusOK, m.body(nil))
	}
}

// begin starts a run. The minion starts whatever it is told to (rejectsOverload is false).
func (m *minion) begin(o order, step stepSpec) {
	now := time.Now()
	e := &execution{task: o.Task, run: o.Run, step: step, minion: m, startedAt: now}
	m.running[o.Task] = e
	m.world.log.started(e)
	if !step.Gang {
		e.workingSince = now
		return
	}
	name := fmt.Sprintf("%s run %d", o.Task[:strings.LastIndexByte(o.Task, '.')], o.Run)
	if m.world.gangs[name] == nil {
		m.world.gangs[name] = &gangRun{members: map[string]*execution{}}
	}
	e.gang = m.world.gangs[name]
	e.gang.members[o.Task] = e
	if len(e.gang.members) == step.Count {
		e.gang.began = now
		for _, other := range e.gang.members {
			other.workingSince = now
		}
	}
}

func (m *minion) handleStop(w http.ResponseWriter, r *http.Request) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	o, ok := m.accept(w, r)
	if !ok {
		return
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if e := m.running[o.Task]; e != nil && e.run <= o.Run && e.stopAt.IsZero() {
		e.stopAt = time.Now().Add(stopTime)
	}
	answer(w, http.StatusOK, m.body(nil))
}

func (m *minion) handlePace(w http.ResponseWriter, r *http.Request) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	if _, ok := m.accept(w, r); ok {
		answer(w, http.StatusOK, m.body(nil))
	}
}

func (m *minion) handleHold(w http.ResponseWriter, r *http.Request) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	o, ok := m.accept(w, r)
	if !ok {
		return
	}
	m.extend(o.DeadlineMS)
	m.ends = slices.DeleteFunc(m.ends, func(e endRow) bool { return e.number <= o.AckedUpTo })
	deadline := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, maxPollWait))
	for len(m.ends) == 0 && time.Now().Before(deadline) && m.mode != dark {
		changed := m.changed
		m.world.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
		}
		m.world.mu.Lock()
	}
	if m.mode == dark {
		m.world.mu.Unlock()
		<-r.Context().Done()
		m.world.mu.Lock()
		return
	}
	running, ended := [][]any{}, [][]any{}
	for _, e := range m.running {
		running = append(running, []any{e.task, e.run, "", e.percent(), e.load()})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
		m.world.log.listed(e)
	}
	answer(w, http.StatusOK, m.body(map[string]any{"running": running, "ended": ended}))
}

func (e *execution) percent() int {
	switch {
	case e.workingSince.IsZero():
		return 0
	case e.step.LongRunning && time.Since(e.workingSince) >= startupTime:
		return 100
	case e.step.LongRunning:
		return 0
	default:
		return min(int(100*time.Since(e.workingSince)/e.step.work), 99)
	}
}

// load is the tail of a task that serves, well below its target, and the processors that any other
// task uses.
func (e *execution) load() int {
	if e.step.TargetMS > 0 {
		return e.step.TargetMS / 4
	}
	return e.step.CPU
}

// end ends a run; other members of its gang end broken. The caller holds the lock.
func (e *execution) end(how string) {
	m := e.minion
	if m.running[e.task] != e {
		return
	}
	delete(m.running, e.task)
	m.highest[e.task] = max(m.highest[e.task], e.run)
	m.lastEnd++
	m.ends = append(m.ends, endRow{m.lastEnd, e.task, e.run, how})
	m.world.log.ended(e, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// work ends the runs of all minions that are over, until the process ends.
func (w *world) work() {
	for {
		time.Sleep(tick)
		w.mu.Lock()
		for _, m := range w.minions {
			m.pass(time.Now())
		}
		w.mu.Unlock()
	}
}

func (m *minion) pass(now time.Time) {
	if len(m.running) == 0 {
		return
	}
	if m.clock() > m.deadline {
		for _, e := range slices.Collect(maps.Values(m.running)) {
			e.end("lapsed")
			e.breakGang()
		}
	}
	for _, e := range slices.Collect(maps.Values(m.running)) {
		m.advance(e, now)
	}
}

// advance ends one run if its time has come.
func (m *minion) advance(e *execution, now time.Time) {
	worked := time.Duration(0)
	if !e.workingSince.IsZero() {
		worked = now.Sub(e.workingSince)
	}
	switch {
	case m.running[e.task] != e:
	case !e.stopAt.IsZero() && now.After(e.stopAt):
		e.end("stopped")
		e.breakGang()
	case m.mode == failing && worked > failureTime:
		// All members of the gang's run on this minion fail at this moment, the others break.
		for _, other := range m.sameRun(e) {
			other.end("failed")
		}
		e.breakGang()
	case e.gang != nil && e.gang.began.IsZero() && now.Sub(e.startedAt) > gangWait:
		e.end("alone")
	case e.step.LongRunning:
	case e.gang != nil && worked > e.step.work:
		for _, other := range e.gang.members {
			other.end("done")
		}
	case e.gang == nil && worked > e.step.work:
		e.end("done")
	}
}

// sameRun returns the runs on this minion that belong to the same run of a gang, or just the run.
func (m *minion) sameRun(e *execution) []*execution {
	if e.gang == nil {
		return []*execution{e}
	}
	var out []*execution
	for _, other := range e.gang.members {
		if other.minion == m {
			out = append(out, other)
		}
	}
	return out
}

// breakGang ends the other members of a gang's run that had all been present.
func (e *execution) breakGang() {
	if e.gang == nil || e.gang.began.IsZero() {
		return
	}
	for _, other := range e.gang.members {
		other.end("broken")
	}
}

// crash ends all that runs on the minion and makes it silent for good. Its entry is removed after three
// heartbeats.
func (m *minion) crash() {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.mode = dark
	for _, e := range m.running {
		m.world.log.ended(e, "crashed")
	}
	clear(m.running)
	time.AfterFunc(3*heartbeat, func() { m.store.remove(workersTopic, m.id) })
}

// setMode disturbs the minion, or ends that.
func (m *minion) setMode(to mode) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.mode = to
}

// stepOf returns the step of a task that a client has sent.
func (w *world) stepOf(task string) (stepSpec, bool) {
	var occurrence, step, index int
	id, rest, _ := strings.Cut(task, ".")
	if _, err := fmt.Sscanf(rest, "%d.%d.%d", &occurrence, &step, &index); err != nil {
		return stepSpec{}, false
	}
	steps := w.steps[id]
	if step >= len(steps) || index >= steps[step].Count {
		return stepSpec{}, false
	}
	return steps[step], true
}

// inUse returns the processors in use and those that all minions which are up have. Those of tasks that
// fill are not counted.
func inUse(minions []*minion) (used, all int) {
	for _, m := range minions {
		if m.mode == dark {
			continue
		}
		all += m.cpu
		for _, e := range m.running {
			if !e.step.Fills {
				used += e.step.CPU
			}
		}
	}
	return used, all
}
