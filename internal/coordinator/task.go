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
	maxTaskNameBytes = 128
	maxPayloadBytes  = 16 << 10
)

// Submission is a caller's request to execute a task once. Submitting the same task again has no
// further effect.
type Submission struct {
	Task    identifier.Task
	Pool    identifier.Pool
	Payload string
}

// Submit checks a submission, appends it to the log and returns the task's state. The error is a
// *refuser.Refusal.
func (c *Coordinator) Submit(ctx context.Context, s Submission) (tracker.Task, error) {
	if err := c.checkSubmission(s); err != nil {
		return tracker.Task{}, err
	}
	body := encoder.Submit{Task: s.Task, Pool: s.Pool, Payload: s.Payload, AtUnixMs: time.Now().UnixMilli()}
	v, err := c.appendTaskRecord(ctx, s.Task, body)
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

// Cancel requests that a task be stopped and not started again, and returns its state. The error is
// a *refuser.Refusal.
func (c *Coordinator) Cancel(ctx context.Context, id identifier.Task) (tracker.Task, error) {
	v, err := c.appendTaskRecord(ctx, id, encoder.Cancel{Task: id})
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

// Resume releases a claimed task, so that it may be executed again although it is unknown whether
// the present attempt has finished, and returns its state. The error is a *refuser.Refusal.
func (c *Coordinator) Resume(ctx context.Context, id identifier.Task) (tracker.Task, error) {
	t, ok := c.Task(id)
	if !ok {
		return t, refuser.New(refuser.CodeNotFound, "there is no task %q", id)
	}
	v, err := c.appendTaskRecord(ctx, id, encoder.Resume{Task: id, Attempt: t.Attempt})
	switch {
	case err != nil:
		return t, err
	case !v.Applied:
		return t, refuser.New(refuser.CodeConflict, "task %q is not claimed under attempt %d: %s", id, t.Attempt, v.Cause)
	default:
		return v.Task, nil
	}
}

// appendTaskRecord appends a record about a task to its home stream and returns the result. The
// error is a *refuser.Refusal.
func (c *Coordinator) appendTaskRecord(ctx context.Context, id identifier.Task, body encoder.Body) (tracker.Result, error) {
	result, err := c.homeStream(id).appender.Append(ctx, encoder.NewRecord(body))
	if err != nil {
		return tracker.Result{}, appendRefusal(err, string(id))
	}
	v, ok := result.(tracker.Result)
	if !ok {
		return tracker.Result{}, refuser.NewUnknown(refuser.CodeUnavailable, "unexpected verdict")
	}
	return v, nil
}

// checkSubmission refuses a submission with an invalid name, payload or pool, and one that no
// worker can ever run.
func (c *Coordinator) checkSubmission(s Submission) error {
	switch {
	case s.Task == "" || len(s.Task) > maxTaskNameBytes:
		return refuser.New(refuser.CodeInvalid, "a task name has 1 to %d characters", maxTaskNameBytes)
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

// neverFits reports whether no worker of the pool's data centres is large enough for its tasks, and
// returns the largest capacity of any worker in each dimension. It reports false while the host
// list has no worker for one of the data centres, because a larger one may still appear.
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
	for _, w := range c.hostList.Workers {
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

// ConfigSet returns the configuration in force, which must not be modified.
func (c *Coordinator) ConfigSet() *checker.Set {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeConfig
}

// Task returns the state of a task.
func (c *Coordinator) Task(id identifier.Task) (tracker.Task, bool) {
	var t tracker.Task
	var ok bool
	i := identifier.HomeShard(id, len(c.homes))
	c.homes[i].follower.View(func() { t, ok = c.homeFSMs[i].Get(id) })
	return t, ok
}

// Tasks returns the tasks for which match returns true, by home shard and in each by submission.
func (c *Coordinator) Tasks(match func(tracker.Task) bool) []tracker.Task {
	var out []tracker.Task
	for i, s := range c.homes {
		var all []tracker.Task
		s.follower.View(func() { all = c.homeFSMs[i].All() })
		for _, t := range all {
			if match(t) {
				out = append(out, t)
			}
		}
	}
	return out
}

// Explanation holds what a host knows about why a task is not running in its data centre. Holder is
// set if the host holds the cell lease; its lines are then the most complete.
type Explanation struct {
	Holder bool     `json:"holder"`
	Lines  []string `json:"lines"`
}

// Explain returns why a task is not running in this data centre, or what is happening to it.
func (c *Coordinator) Explain(id identifier.Task) Explanation {
	holder := c.Status().HoldsLease
	c.schedMu.Lock()
	defer c.schedMu.Unlock()
	return Explanation{holder, c.sched.Explain(id)}
}

// Progress is the progress of a drain: the number of tasks that are still claimed in a data centre,
// and the first maxListedTasks of them.
type Progress struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	State      parser.Availability   `json:"state"`
	Claimed    int                   `json:"claimed"`
	Tasks      []identifier.Task     `json:"tasks,omitempty"`
}

// maxListedTasks is the largest number of tasks that a Progress lists.
const maxListedTasks = 20

// Progress returns the tasks that are still claimed in a data centre. The error is a
// *refuser.Refusal.
func (c *Coordinator) Progress(dc identifier.DataCentre) (Progress, error) {
	obj, ok := c.ConfigSet().DataCentres[dc]
	if !ok {
		return Progress{}, refuser.New(refuser.CodeNotFound, "there is no data centre %q", dc)
	}
	out := Progress{DataCentre: dc, State: obj.State}
	for _, t := range c.Tasks(func(t tracker.Task) bool { return t.State == tracker.StateClaimed && t.DataCentre == dc }) {
		out.Claimed++
		if len(out.Tasks) < maxListedTasks {
			out.Tasks = append(out.Tasks, t.ID)
		}
	}
	return out, nil
}
