package scheduler

import (
	"fmt"

	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Explain says, for an operator, why a task is not running in this data centre,
// or what is happening to it. It returns nothing for an unknown task.
func (s *Scheduler) Explain(id identifier.Task) []string {
	t, ok := s.tasks[id]
	if !ok {
		return nil
	}
	pool := s.set.Pools[t.Pool]
	if pool == nil {
		return []string{fmt.Sprintf("batch pool %q is not in force; publish it again", t.Pool)}
	}
	if t.State == tracker.StateClaimed {
		return s.explainClaimed(t)
	}
	return s.explainWaiting(t, pool)
}

func (s *Scheduler) explainClaimed(t tracker.Task) []string {
	if t.DataCentre != s.dc {
		return nil
	}
	w := s.worker(t.Worker)
	l := s.local(t.ID)
	switch {
	case l.stopping != "":
		return []string{fmt.Sprintf("stopping on worker %s: %s", t.Worker, l.stopping)}
	case !t.Repeatable && l.seen && w.lease != "" && s.missing(w, t, l):
		return []string{fmt.Sprintf("worker %s no longer knows attempt %d and its pool is not idempotent; find out whether it finished, then resume or cancel it", t.Worker, t.Attempt)}
	case !t.Repeatable && w.silent > 0:
		return []string{fmt.Sprintf("worker %s does not answer and the pool is not idempotent; it waits for the worker, or for an operator to resume or cancel it", t.Worker)}
	case w.silent > 0:
		return []string{fmt.Sprintf("worker %s does not answer; the task is started elsewhere once its lease has certainly run out", t.Worker)}
	case l.seen:
		return []string{fmt.Sprintf("running on worker %s", t.Worker)}
	default:
		return []string{fmt.Sprintf("starting on worker %s", t.Worker)}
	}
}

// missing reports whether a worker that ran an attempt does not report it.
func (*Scheduler) missing(w *worker, t tracker.Task, l *local) bool {
	_, reported := w.reported[t.ID]
	return !reported && w.reportSentAt.After(l.seenAt)
}

func (s *Scheduler) explainWaiting(t tracker.Task, pool *parser.BatchPool) []string {
	var out []string
	rank, allowed := s.preference(t, pool)
	switch {
	case !allowed:
		return []string{fmt.Sprintf("policy %q does not allow this data centre", pool.Policy)}
	case !s.inService():
		return []string{fmt.Sprintf("data centre %q is drained; restore it to place tasks here", s.dc)}
	case !s.lease.Held:
		out = append(out, "this entry host does not hold the cell lease; ask the one that does")
	case !s.fresh():
		out = append(out, "the log has not been read up to date; nothing starts until it is")
	}
	if !s.withinQuota(pool) {
		team := s.set.Teams[pool.Team]
		out = append(out, fmt.Sprintf("team %q uses %s of its quota of %s", pool.Team, s.usage[pool.Team], team.Quota))
	}
	if text, full := s.explainRoom(pool); full {
		out = append(out, text)
	}
	if len(t.Failures) > 0 {
		out = append(out, fmt.Sprintf("failed %d of %d times, last on worker %s", len(t.Failures), pool.MaxAttempts, t.Failures[len(t.Failures)-1].Worker))
	}
	if len(out) == 0 && rank > 0 {
		out = append(out, fmt.Sprintf("%d data centres are preferred to this one", rank))
	}
	if len(out) == 0 {
		out = append(out, "about to be placed")
	}
	return out
}

// explainRoom says how much room the emptiest worker has if none has enough.
func (s *Scheduler) explainRoom(pool *parser.BatchPool) (string, bool) {
	candidates := s.candidates()
	var most identifier.Size
	for _, c := range candidates {
		if pool.Size.Fits(c.Free) {
			return "", false
		}
		most.Processors = max(most.Processors, c.Free.Processors)
		most.Memory = max(most.Memory, c.Free.Memory)
		most.Accelerators = max(most.Accelerators, c.Free.Accelerators)
	}
	if len(candidates) == 0 {
		return "no worker of this data centre answers", true
	}
	return fmt.Sprintf("needs %s on one worker; at most %s are free on any of %d workers", pool.Size, most, len(candidates)), true
}
