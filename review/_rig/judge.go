package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

type step struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu,omitempty"`
	Mem            int64  `json:"memMb,omitempty"`
	GPU            int64  `json:"gpu,omitempty"`
	EstimateMS     int    `json:"estimateMs,omitempty"`
	After          []int  `json:"after,omitempty"`
	Checkpoint     bool   `json:"checkpoint,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	SameRack       bool   `json:"sameRack,omitempty"`
	RequiredLabel  string `json:"requiredLabel,omitempty"`
	Affinity       string `json:"affinity,omitempty"`
	MaxPerServer   int    `json:"maxPerServer,omitempty"`
	Speculative    bool   `json:"speculative,omitempty"`
	LongRunning    bool   `json:"longRunning,omitempty"`
	Image          string `json:"image,omitempty"`
	TargetMS       int    `json:"targetMs,omitempty"`
	Fills          bool   `json:"fills,omitempty"`
	MaxUnavailable int    `json:"maxUnavailable,omitempty"`
}

type submission struct {
	ID          string `json:"-"`
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	FirstRunMS  int64  `json:"firstRunMs,omitempty"`
	PeriodMS    int    `json:"periodMs,omitempty"`
	RepeatCount int    `json:"repeatCount,omitempty"`

	accepted, cancelled time.Time
	lastBusy            time.Time
}

type activeRun struct {
	m    *minion
	l    *life
	r    *taskRun
	size size
}

// judge writes the record of a case and notes the rules that are broken. Its fields are guarded by
// the world's lock but for the record, which has its own.
type judge struct {
	mu      sync.Mutex
	began   time.Time
	out     *os.File
	subs    map[string]*submission
	active  map[string]map[*taskRun]*activeRun
	used    map[*minion]size
	done    map[string]bool // ends done that were taken note of
	broken  []string
	starts  int
	ends    map[string]int
	pending map[string]bool // ends after which the lease of the minion lapsed
	failed  map[string]int
	ran     map[string]bool // tasks of which a run has ended done
}

func newJudge(path string) *judge {
	f, err := os.Create(path)
	check(err)
	return &judge{
		began: time.Now(), out: f, subs: map[string]*submission{}, active: map[string]map[*taskRun]*activeRun{},
		used: map[*minion]size{}, done: map[string]bool{}, ends: map[string]int{}, pending: map[string]bool{}, failed: map[string]int{}, ran: map[string]bool{},
	}
}

// note writes a line of the record.
func (j *judge) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.out, "%8.3f  %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach notes that a rule is broken.
func (j *judge) breach(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	j.note("BROKEN %s", text)
	j.mu.Lock()
	j.broken = append(j.broken, text)
	j.mu.Unlock()
}

// stepOf returns the step of a task and the name of the step with its occurrence.
func (j *judge) stepOf(task string) (*step, string) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return nil, ""
	}
	j.mu.Lock()
	s := j.subs[p[0]]
	j.mu.Unlock()
	n, _ := strconv.Atoi(p[2])
	if s == nil || n >= len(s.Steps) {
		return nil, ""
	}
	return &s.Steps[n], strings.Join(p[:3], ".")
}

func (j *judge) submissionOf(task string) *submission {
	j.mu.Lock()
	defer j.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return j.subs[id]
}

func (j *judge) runStarted(m *minion, r *taskRun, in order) {
	j.starts++
	j.note("start %s run %d on %s fence %d", r.task, r.run, m.id, in.FencingToken)
	st, _ := j.stepOf(r.task)
	s := j.submissionOf(r.task)
	if st == nil || s.Spec != in.Spec {
		j.breach("UNASKED", "%s on %s: no client sent that", r.task, m.id)
		return
	}
	if !s.cancelled.IsZero() && time.Since(s.cancelled) > 3*time.Second {
		j.breach("UNASKED", "%s starts on %s %.1f s after the cancel was acknowledged", r.task, m.id, time.Since(s.cancelled).Seconds())
	}
	if st.RequiredLabel != "" && !contains(m.labels, st.RequiredLabel) {
		j.breach("ROUTE", "%s starts on %s without the label %q", r.task, m.id, st.RequiredLabel)
	}
	if !st.Speculative {
		for other := range j.active[r.task] {
			j.breach("TWICE", "%s: run %d starts on %s while run %d goes on", r.task, r.run, m.id, other.run)
		}
		if j.done[r.task] {
			j.breach("TWICE", "%s: run %d starts on %s after an end done was taken note of", r.task, r.run, m.id)
		}
	}
	p := strings.Split(r.task, ".")
	for _, a := range st.After {
		for i := range s.Steps[a].Count {
			if earlier := fmt.Sprintf("%s.%s.%d.%d", p[0], p[1], a, i); !j.ran[earlier] {
				j.breach("ORDER", "%s starts before %s is done", r.task, earlier)
			}
		}
	}
	if s.RepeatCount > 0 {
		k, _ := strconv.Atoi(p[1])
		if due := time.UnixMilli(s.FirstRunMS + int64(k*s.PeriodMS)); time.Until(due) > 250*time.Millisecond {
			j.breach("ORDER", "%s starts %v before its time", r.task, time.Until(due))
		}
	}
	if j.active[r.task] == nil {
		j.active[r.task] = map[*taskRun]*activeRun{}
	}
	a := &activeRun{m: m, l: m.life, r: r, size: size{st.CPU, st.Mem, st.GPU}}
	if st.Fills {
		a.size.CPU = 0
	}
	j.active[r.task][r] = a
	u := j.used[m]
	u = size{u.CPU + a.size.CPU, u.Mem + a.size.Mem, u.GPU + a.size.GPU}
	j.used[m] = u
	if c := m.capacity; u.CPU > c.CPU || u.Mem > c.Mem || u.GPU > c.GPU {
		j.breach("LIMIT", "%s run %d brings %s to %v of %v", r.task, r.run, m.id, u, c)
	}
	if n := st.MaxPerServer; n > 0 {
		_, name := j.stepOf(r.task)
		count := 0
		for task, runs := range j.active {
			if _, other := j.stepOf(task); other == name {
				for _, o := range runs {
					if o.m == m {
						count++
					}
				}
			}
		}
		if count > n {
			j.breach("ROUTE", "%s: %d tasks of its step on %s, at most %d", r.task, count, m.id, n)
		}
	}
}

func (j *judge) runEnded(m *minion, r *taskRun, how string, number int) {
	j.note("end %d %s run %d on %s: %s", number, r.task, r.run, m.id, how)
	j.ends[how]++
	if how == "done" {
		j.ran[r.task] = true
	}
	if a := j.active[r.task][r]; a != nil {
		u := j.used[m]
		j.used[m] = size{u.CPU - a.size.CPU, u.Mem - a.size.Mem, u.GPU - a.size.GPU}
		delete(j.active[r.task], r)
		if s := j.submissionOf(r.task); s != nil {
			s.lastBusy = time.Now()
		}
	}
}

// acked notes that an end was taken note of.
func (j *judge) acked(m *minion, l *life, e []any) {
	task, how := e[1].(string), e[3].(string)
	if how == "failed" {
		j.failed[task]++
	}
	key := fmt.Sprintf("%p/%d", l, e[0])
	if how == "done" && !j.pending[key] {
		st, _ := j.stepOf(task)
		if st != nil && !st.LongRunning {
			j.done[task] = true
			// One end represents all of a gang.
			if st.Gang {
				p := strings.Split(task, ".")
				for i := range st.Count {
					j.done[fmt.Sprintf("%s.%s.%s.%d", p[0], p[1], p[2], i)] = true
				}
			}
		}
	}
}

// lapsed notes the ends that were not taken note of before the lease of their minion lapsed.
func (j *judge) lapsed(m *minion, l *life) {
	for _, e := range l.ended {
		j.pending[fmt.Sprintf("%p/%d", l, e[0])] = true
	}
}

// running returns how many runs of a submission go on.
func (j *judge) running(id string) int {
	n := 0
	for task, runs := range j.active {
		if strings.HasPrefix(task, id+".") {
			n += len(runs)
		}
	}
	return n
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// finish writes the outcome, and returns the exit code.
func (j *judge) finish() int {
	j.note("%d starts, ends %v, %d rules broken", j.starts, j.ends, len(j.broken))
	if len(j.broken) > 0 {
		return 1
	}
	return 0
}
