// Package tracker implements the state machine of a home stream, the log stream of one shard of
// tasks. It decides in log order which data centre may execute which attempt of a task, and how
// each task ended.
package tracker

import (
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// maxEndedTasks is the number of ended tasks that a shard keeps; the oldest are dropped first.
const maxEndedTasks = 20000

// State is the state of a task.
type State string

// The states of a task.
const (
	StateWaiting State = "waiting"
	StateClaimed State = "claimed"
	StateEnded   State = "ended"
)

// Failure is a failed attempt: its worker and the worker's message.
type Failure struct {
	Worker identifier.Worker `cbor:"1,keyasint" json:"worker"`
	Detail string            `cbor:"2,keyasint" json:"detail"`
}

// Task is the state of a task. Seq orders tasks by submission and EndSeq ended ones by their end.
// GraceMs is how long the attempt may go on while its data centre is cut off from the log, in
// milliseconds. Evictions counts the attempts that ended early because of a drain, a lost worker or
// a cut-off data centre. Repeatable tasks may be executed again if the outcome of an attempt is
// unknown.
type Task struct {
	ID                identifier.Task       `cbor:"1,keyasint" json:"id"`
	Pool              identifier.Pool       `cbor:"2,keyasint" json:"pool"`
	Payload           string                `cbor:"3,keyasint" json:"-"`
	SubmittedAtUnixMs int64                 `cbor:"4,keyasint" json:"submittedAtUnixMs"`
	Seq               uint64                `cbor:"5,keyasint" json:"seq"`
	State             State                 `cbor:"6,keyasint" json:"state"`
	Attempt           identifier.Attempt    `cbor:"7,keyasint" json:"attempt"`
	DataCentre        identifier.DataCentre `cbor:"8,keyasint" json:"dataCentre,omitempty"`
	Worker            identifier.Worker     `cbor:"9,keyasint" json:"worker,omitempty"`
	Size              identifier.Size       `cbor:"10,keyasint" json:"size"`
	Checkpoint        string                `cbor:"11,keyasint" json:"checkpoint,omitempty"`
	Cancelled         bool                  `cbor:"12,keyasint" json:"cancelRequested,omitempty"`
	Outcome           encoder.Outcome       `cbor:"13,keyasint" json:"outcome,omitempty"`
	Detail            string                `cbor:"14,keyasint" json:"detail,omitempty"`
	Failures          []Failure             `cbor:"15,keyasint" json:"failures,omitempty"`
	LastReleaseReason encoder.Reason        `cbor:"16,keyasint" json:"lastRelease,omitempty"`
	Evictions         int                   `cbor:"17,keyasint" json:"evictions"`
	EndSeq            uint64                `cbor:"18,keyasint" json:"-"`
	GraceMs           int64                 `cbor:"19,keyasint" json:"cutOffGraceMs,omitempty"`
	Repeatable        bool                  `cbor:"20,keyasint" json:"repeatable,omitempty"`
}

// FailedOn reports whether an attempt failed on the worker.
func (t *Task) FailedOn(w identifier.Worker) bool {
	for _, f := range t.Failures {
		if f.Worker == w {
			return true
		}
	}
	return false
}

// Result is the outcome of a record: whether it was applied and, if not, the cause. Task is the
// task's state after an applied record; for others it may be zero.
type Result struct {
	Applied bool
	Cause   Cause
	Task    Task
}

// Cause says why a record was not applied.
type Cause string

// The causes for which a record is not applied.
const (
	CauseNone         Cause = ""
	CauseUnknownTask  Cause = "unknownTask"
	CauseOtherInput   Cause = "submittedWithOtherInput"
	CauseAlreadyEnded Cause = "alreadyEnded"
	CauseNotWaiting   Cause = "notWaiting"
	CauseStaleAttempt Cause = "staleAttempt"
)

// Tracker holds the tasks of one home stream. The zero value holds no task. It is not safe for
// concurrent use.
type Tracker struct {
	tasks   map[identifier.Task]*Task
	nextSeq uint64
	// ended holds the ended tasks in the order in which they ended.
	ended []identifier.Task
}

// Get returns a copy of a task.
func (t *Tracker) Get(id identifier.Task) (Task, bool) {
	task, ok := t.tasks[id]
	if !ok {
		return Task{}, false
	}
	return *task, true
}

// All returns copies of all tasks, ordered by submission.
func (t *Tracker) All() []Task {
	out := make([]Task, 0, len(t.tasks))
	for _, task := range t.tasks {
		out = append(out, *task)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Seq < out[j].Seq })
	return out
}

// Apply applies one record and returns its result. Applying the same record again has no further
// effect.
func (t *Tracker) Apply(body encoder.Body) Result {
	switch rec := body.(type) {
	case encoder.Submit:
		return t.submit(rec)
	case encoder.Cancel:
		return t.cancel(rec)
	case encoder.Claim:
		return t.claim(rec)
	case encoder.Release:
		return t.release(rec)
	case encoder.End:
		return t.end(rec)
	case encoder.Resume:
		return t.release(encoder.Release{Task: rec.Task, Attempt: rec.Attempt, Reason: encoder.ReasonResumed})
	default:
		return Result{Cause: CauseUnknownTask}
	}
}

// submit adds a waiting task. Submitting it again with the same pool and payload has no effect;
// with others, it is rejected.
func (t *Tracker) submit(rec encoder.Submit) Result {
	if old, ok := t.tasks[rec.Task]; ok {
		if old.Pool != rec.Pool || old.Payload != rec.Payload {
			return rejected(old, CauseOtherInput)
		}
		return applied(old)
	}
	if t.tasks == nil {
		t.tasks = map[identifier.Task]*Task{}
	}
	t.nextSeq++
	task := &Task{
		ID: rec.Task, Pool: rec.Pool, Payload: rec.Payload,
		SubmittedAtUnixMs: rec.AtUnixMs, Seq: t.nextSeq, State: StateWaiting,
	}
	t.tasks[rec.Task] = task
	return applied(task)
}

// cancel ends a waiting task at once. A claimed task is only marked; it ends when its attempt is
// released.
func (t *Tracker) cancel(rec encoder.Cancel) Result {
	task, ok := t.tasks[rec.Task]
	switch {
	case !ok:
		return Result{Cause: CauseUnknownTask}
	case task.State == StateEnded && task.Outcome != encoder.OutcomeCancelled:
		return rejected(task, CauseAlreadyEnded)
	case task.State == StateWaiting:
		task.Cancelled = true
		t.endTask(task, encoder.OutcomeCancelled, "")
	default:
		task.Cancelled = true
	}
	return applied(task)
}

// claim gives a waiting task's next attempt to a worker. Of several claims for the same attempt,
// the first in the log is applied.
func (t *Tracker) claim(rec encoder.Claim) Result {
	task, ok := t.tasks[rec.Task]
	switch {
	case !ok:
		return Result{Cause: CauseUnknownTask}
	case task.State != StateWaiting:
		return rejected(task, CauseNotWaiting)
	case rec.Attempt != task.Attempt+1:
		return rejected(task, CauseStaleAttempt)
	}
	task.State = StateClaimed
	task.Attempt = rec.Attempt
	task.DataCentre = rec.DataCentre
	task.Worker = rec.Worker
	task.Size = rec.Size
	task.GraceMs = rec.GraceMs
	task.Repeatable = rec.Repeatable
	return applied(task)
}

// release ends the claimed attempt and makes the task wait again. It ends the task instead if the
// task was cancelled, or has failed as often as its pool allows.
func (t *Tracker) release(rec encoder.Release) Result {
	task, cause := t.claimedAttempt(rec.Task, rec.Attempt)
	if cause != CauseNone {
		return Result{Cause: cause}
	}
	if rec.Checkpoint != "" {
		task.Checkpoint = rec.Checkpoint
	}
	task.LastReleaseReason = rec.Reason
	switch rec.Reason {
	case encoder.ReasonFailed:
		task.Failures = append(task.Failures, Failure{task.Worker, rec.Detail})
	case encoder.ReasonDrained, encoder.ReasonWorkerLost, encoder.ReasonCutOff:
		task.Evictions++
	case encoder.ReasonNoRoom, encoder.ReasonCancelled, encoder.ReasonResumed:
	}
	task.State = StateWaiting
	task.DataCentre, task.Worker = "", ""
	switch {
	case task.Cancelled:
		t.endTask(task, encoder.OutcomeCancelled, "")
	case rec.MaxAttempts > 0 && len(task.Failures) >= rec.MaxAttempts:
		t.endTask(task, encoder.OutcomeParked, rec.Detail)
	}
	return applied(task)
}

func (t *Tracker) end(rec encoder.End) Result {
	task, cause := t.claimedAttempt(rec.Task, rec.Attempt)
	if cause != CauseNone {
		return Result{Cause: cause}
	}
	t.endTask(task, rec.Outcome, rec.Detail)
	return applied(task)
}

// claimedAttempt returns the task if it is claimed under the given attempt, or else the cause for
// rejecting a record about that attempt.
func (t *Tracker) claimedAttempt(id identifier.Task, attempt identifier.Attempt) (*Task, Cause) {
	task, ok := t.tasks[id]
	switch {
	case !ok:
		return nil, CauseUnknownTask
	case task.State == StateEnded:
		return nil, CauseAlreadyEnded
	case task.State != StateClaimed || task.Attempt != attempt:
		return nil, CauseStaleAttempt
	}
	return task, CauseNone
}

// endTask ends a task and drops the oldest ended task beyond maxEndedTasks.
func (t *Tracker) endTask(task *Task, outcome encoder.Outcome, detail string) {
	task.State = StateEnded
	task.Outcome = outcome
	task.Detail = detail
	t.nextSeq++
	task.EndSeq = t.nextSeq
	t.ended = append(t.ended, task.ID)
	if len(t.ended) > maxEndedTasks {
		delete(t.tasks, t.ended[0])
		t.ended = t.ended[1:]
	}
}

func applied(task *Task) Result { return Result{Applied: true, Task: *task} }

func rejected(task *Task, cause Cause) Result { return Result{Cause: cause, Task: *task} }

// snapshotState is the encoded form of a Tracker.
type snapshotState struct {
	NextSeq uint64 `cbor:"1,keyasint"`
	Tasks   []Task `cbor:"2,keyasint"`
}

// Marshal returns the state for a snapshot.
func (t *Tracker) Marshal() ([]byte, error) {
	return cbor.Marshal(snapshotState{NextSeq: t.nextSeq, Tasks: t.All()})
}

// Unmarshal replaces the state by that of a snapshot. The error is marked encoder.ErrMalformed.
func (t *Tracker) Unmarshal(data []byte) error {
	var s snapshotState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Mark(err, encoder.ErrMalformed)
	}
	*t = Tracker{tasks: make(map[identifier.Task]*Task, len(s.Tasks)), nextSeq: s.NextSeq}
	var ended []Task
	for i := range s.Tasks {
		task := s.Tasks[i]
		t.tasks[task.ID] = &task
		if task.State == StateEnded {
			ended = append(ended, task)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i].EndSeq < ended[j].EndSeq })
	for _, task := range ended {
		t.ended = append(t.ended, task.ID)
	}
	return nil
}
