package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// taskEnd is the end of a run on a minion.
type taskEnd struct {
	task, how string
	run       uint32
	at        time.Time
}

// history records what was sent, answered and run, for record.txt and for the judges.
type history struct {
	mu    sync.Mutex
	began time.Time
	lines []string
	// starts and ends are by submission.
	starts map[string][]time.Time
	ends   map[string][]taskEnd
	seen   map[string]bool
}

func newHistory() *history {
	return &history{began: time.Now(), starts: map[string][]time.Time{}, ends: map[string][]taskEnd{}, seen: map[string]bool{}}
}

func (h *history) add(kind, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addLocked(kind, format, args...)
}

func (h *history) addLocked(kind, format string, args ...any) {
	h.lines = append(h.lines, fmt.Sprintf("%8.3f s  %-9s %s", time.Since(h.began).Seconds(), kind, fmt.Sprintf(format, args...)))
}

func submissionOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (h *history) started(e *execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addLocked("start", "task %s run %d at %s", e.task, e.run, e.minion.id)
	h.starts[submissionOf(e.task)] = append(h.starts[submissionOf(e.task)], time.Now())
}

func (h *history) ended(e *execution, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addLocked("end", "task %s run %d at %s: %s", e.task, e.run, e.minion.id, how)
	h.ends[submissionOf(e.task)] = append(h.ends[submissionOf(e.task)], taskEnd{e.task, how, e.run, time.Now()})
}

// listed notes that a minion has listed an end in an answer.
func (h *history) listed(e endRow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if key := fmt.Sprint(e.task, e.run); !h.seen[key] {
		h.seen[key] = true
		h.addLocked("listed", "end %d, task %s run %d: %s", e.number, e.task, e.run, e.how)
	}
}

// startsOf returns when minions began tasks of a submission.
func (h *history) startsOf(id string) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]time.Time(nil), h.starts[id]...)
}

// endsOf returns the ends of the runs of a submission.
func (h *history) endsOf(id string) []taskEnd {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]taskEnd(nil), h.ends[id]...)
}

func (h *history) write(path string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(h.lines, "\n")+"\n"), 0o600)
}
