package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// judge checks the rule TWICE by what workers have started and ended: two runs of a task at the
// same time, or a start after a run has ended done and the end was taken note of without a lapse of
// the lease between.
type judge struct {
	log   *journal
	quiet bool

	mu     sync.Mutex
	runs   map[string][]*seenRun
	breaks []string
}

// seenRun is one run as its worker saw it.
type seenRun struct {
	worker         string
	run            int
	start, end     time.Time
	how            string
	acked, lapsed  bool
	reportedBefore bool
}

func newJudge(log *journal) *judge { return &judge{log: log, runs: map[string][]*seenRun{}} }

func (j *judge) started(worker, task string, run int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if !j.quiet {
		j.log.add("worker %s: starts %s run %d", worker, task, run)
	}
	for _, r := range j.runs[task] {
		switch {
		case r.how == "":
			j.breaks = append(j.breaks, fmt.Sprintf("TWICE: %s run %d starts on %s while run %d goes on on %s", task, run, worker, r.run, r.worker))
		case r.how == "done" && r.acked:
			j.breaks = append(j.breaks, fmt.Sprintf("TWICE: %s run %d starts on %s, %.1f s after run %d ended done on %s and the end was acknowledged", task, run, worker, now.Sub(r.end).Seconds(), r.run, r.worker))
		}
	}
	j.runs[task] = append(j.runs[task], &seenRun{worker: worker, run: run, start: now})
}

func (j *judge) ended(worker, task string, run int, how string, number int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.runs[task] {
		if r.worker == worker && r.run == run && r.how == "" {
			r.end, r.how = time.Now(), how
		}
	}
	if !j.quiet {
		j.log.add("worker %s: %s run %d ends %s (end %d)", worker, task, run, how, number)
	}
}

// lapsed notes that the lease of a worker is over: its ends that are not acknowledged yet do not
// count as taken note of any more.
func (j *judge) lapsed(worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, runs := range j.runs {
		for _, r := range runs {
			if r.worker == worker && r.how != "" && !r.acked {
				r.lapsed = true
			}
		}
	}
}

func (j *judge) acked(worker, task string, run int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.runs[task] {
		if r.worker == worker && r.run == run && r.how != "" && !r.lapsed {
			r.acked = true
		}
	}
}

// broken logs the broken rules and reports whether there are any.
func (j *judge) broken() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, b := range j.breaks {
		if i < 20 {
			j.log.add("%s", b)
		}
	}
	j.log.add("judge: %d tasks with runs, TWICE broken %d times", len(j.runs), len(j.breaks))
	return len(j.breaks) > 0
}

// activeRuns counts the runs of a job's tasks that go on.
func (j *judge) activeRuns(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task, runs := range j.runs {
		if !strings.HasPrefix(task, job+".") {
			continue
		}
		for _, r := range runs {
			if r.how == "" {
				n++
			}
		}
	}
	return n
}

// workersOf returns the workers on which runs of a job's tasks go on.
func (j *judge) workersOf(job string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for task, runs := range j.runs {
		if !strings.HasPrefix(task, job+".") {
			continue
		}
		for _, r := range runs {
			if r.how == "" {
				out = append(out, r.worker)
			}
		}
	}
	return out
}
