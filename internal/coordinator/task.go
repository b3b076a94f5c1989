package coordinator

import (
	"context"
	"time"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	maxTaskName     = 128
	maxPayloadBytes = 16 << 10
)

// Submission is a caller's wish to have a task executed once. Submitting the
// same task again has no further effect.
type Submission struct {
	Task    identifier.Task
	Pool    identifier.Pool
	Payload string
}

// Submit puts a task into the log and returns its state. The error is a
// *refuser.Refusal.
func (c *Coordinator) Submit(ctx context.Context, s Submission) (tracker.Task, error) {
	if err := c.checkSubmission(s); err != nil {
		return tracker.Task{}, err
	}
	body := encoder.Submit{Task: s.Task, Pool: s.Pool, Payload: s.Payload, AtUnixMs: time.Now().UnixMilli()}
	v, err := c.decide(ctx, s.Task, body)
	if err != nil {
		return tracker.Task{}, err
	}
	if v.Applied {
		return v.Task, nil
	}
	r := refuser.New(refuser.CodeConflict, "task %q was submitted before with another pool or payload", s.Task)
	r.ID = string(s.Task)
	return v.Task, r
}

// Cancel asks for a task to be stopped for good and returns its state.
func (c *Coordinator) Cancel(ctx context.Context, id identifier.Task) (tracker.Task, error) {
	v, err := c.decide(ctx, id, encoder.Cancel{Task: id})
	switch {
	case err != nil:
		return tracker.Task{}, err
	case v.Applied:
		return v.Task, nil
	case v.Cause == tracker.CauseAlreadyEnded:
		return v.Task, refuser.New(refuser.CodeAlreadyEnded, "task %q has ended: %s", id, v.Task.Outcome)
	default:
		return v.Task, refuser.New(refuser.CodeNotFound, "there is no task %q", id)
	}
}

// Resume lets a task be executed again although nobody can tell whether its
// present attempt has finished, and returns its state.
func (c *Coordinator) Resume(ctx context.Context, id identifier.Task) (tracker.Task, error) {
	t, ok := c.Task(id)
	if !ok {
		return t, refuser.New(refuser.CodeNotFound, "there is no task %q", id)
	}
	v, err := c.decide(ctx, id, encoder.Resume{Task: id, Attempt: t.Attempt})
	switch {
	case err != nil:
		return t, err
	case !v.Applied:
		return t, refuser.New(refuser.CodeConflict, "task %q is not claimed under attempt %d: %s", id, t.Attempt, v.Cause)
	default:
		return v.Task, nil
	}
}

func (c *Coordinator) decide(ctx context.Context, id identifier.Task, body encoder.Body) (tracker.Result, error) {
	verdict, err := c.home(id).appender.Append(ctx, encoder.NewRecord(body))
	if err != nil {
		return tracker.Result{}, logRefusal(err, string(id))
	}
	v, ok := verdict.(tracker.Result)
	if !ok {
		return tracker.Result{}, refuser.NewUnknown(refuser.CodeUnavailable, "unexpected verdict")
	}
	return v, nil
}

func (c *Coordinator) checkSubmission(s Submission) error {
	switch {
	case s.Task == "" || len(s.Task) > maxTaskName:
		return refuser.New(refuser.CodeInvalid, "a task name has 1 to %d characters", maxTaskName)
	case len(s.Payload) > maxPayloadBytes:
		return refuser.New(refuser.CodeTooLarge, "a payload has at most %d bytes", maxPayloadBytes)
	}
	set := c.ConfigSet()
	pool, ok := set.Pools[s.Pool]
	if !ok {
		return refuser.New(refuser.CodeNotFound, "there is no batch pool %q", s.Pool)
	}
	if largest, never := c.neverFits(set, pool); never {
		return refuser.New(refuser.CodeNeverFits, "a task of pool %q needs %s; no worker of its data centres has more than %s",
			s.Pool, pool.Size, largest)
	}
	return nil
}

// neverFits reports whether no listed worker of the pool's data centres is
// large enough, with the largest capacity in each dimension.
func (c *Coordinator) neverFits(set *checker.Set, pool *parser.BatchPool) (identifier.Size, bool) {
	allowed := map[identifier.DataCentre]bool{}
	if policy := set.Policies[pool.Policy]; policy != nil {
		for _, dc := range policy.DataCentres {
			allowed[dc] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var largest identifier.Size
	listed := map[identifier.DataCentre]bool{}
	for _, w := range c.listed.Workers {
		if !allowed[w.DataCentre] {
			continue
		}
		listed[w.DataCentre] = true
		if pool.Size.Fits(w.Capacity) {
			return largest, false
		}
		largest.Processors = max(largest.Processors, w.Capacity.Processors)
		largest.Memory = max(largest.Memory, w.Capacity.Memory)
		largest.Accelerators = max(largest.Accelerators, w.Capacity.Accelerators)
	}
	return largest, len(listed) == len(allowed)
}

// ConfigSet returns the configuration in force; it must not be changed.
func (c *Coordinator) ConfigSet() *checker.Set {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set
}

// Task returns the state of a task.
func (c *Coordinator) Task(id identifier.Task) (tracker.Task, bool) {
	var t tracker.Task
	var ok bool
	i := identifier.HomeShard(id, len(c.homes))
	c.homes[i].follower.View(func() { t, ok = c.homeFolds[i].Get(id) })
	return t, ok
}

// Tasks returns all tasks that match, by shard and order of submission.
func (c *Coordinator) Tasks(match func(tracker.Task) bool) []tracker.Task {
	var out []tracker.Task
	for i, s := range c.homes {
		var all []tracker.Task
		s.follower.View(func() { all = c.homeFolds[i].All() })
		for _, t := range all {
			if match(t) {
				out = append(out, t)
			}
		}
	}
	return out
}

// Explanation is what a host says about a task in its data centre. The holder
// of the cell lease knows most.
type Explanation struct {
	Holder bool     `json:"holder"`
	Lines  []string `json:"lines"`
}

// Explain says why a task that waits has not been placed in this data centre.
func (c *Coordinator) Explain(id identifier.Task) Explanation {
	holder := c.Status().HoldsLease
	c.schedMu.Lock()
	defer c.schedMu.Unlock()
	return Explanation{holder, c.sched.Explain(id)}
}

// Progress counts the tasks that a data centre still holds.
type Progress struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	State      parser.Availability   `json:"state"`
	Claimed    int                   `json:"claimed"`
	Tasks      []identifier.Task     `json:"tasks,omitempty"`
}

// maxListed is the number of tasks that a progress names.
const maxListed = 20

// Progress returns what is left in a data centre.
func (c *Coordinator) Progress(dc identifier.DataCentre) (Progress, error) {
	obj, ok := c.ConfigSet().DataCentres[dc]
	if !ok {
		return Progress{}, refuser.New(refuser.CodeNotFound, "there is no data centre %q", dc)
	}
	out := Progress{DataCentre: dc, State: obj.State}
	for _, t := range c.Tasks(func(t tracker.Task) bool { return t.State == tracker.StateClaimed && t.DataCentre == dc }) {
		out.Claimed++
		if len(out.Tasks) < maxListed {
			out.Tasks = append(out.Tasks, t.ID)
		}
	}
	return out, nil
}
