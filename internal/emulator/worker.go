package emulator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Step is one thing that happened to a task on a worker.
type Step string

// The steps that a worker records.
const (
	StepStart Step = "start"
	StepStop  Step = "stop"
	StepDone  Step = "done"
	StepFail  Step = "fail"
	StepLapse Step = "lapse"
)

// Event is one recorded step.
type Event struct {
	AtUnixNano int64                 `json:"atUnixNano"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Worker     identifier.Worker     `json:"worker"`
	Task       identifier.Task       `json:"task"`
	Attempt    identifier.Attempt    `json:"attempt"`
	Step       Step                  `json:"step"`
	Size       identifier.Size       `json:"size"`
}

type workerTask struct {
	connector.WorkerTask
	timer    *time.Timer
	started  time.Time
	progress time.Duration
}

// Worker is a machine in memory that runs tasks under one lease. A task does
// nothing but last; a payload that begins with "fail" makes it fail. Its
// methods are safe for concurrent use.
type Worker struct {
	Host connector.WorkerHost

	mu      sync.Mutex
	epoch   identifier.Epoch
	lease   identifier.Lease
	leases  int
	expires time.Time
	lapse   *time.Timer
	tasks   map[identifier.Task]*workerTask
	highest map[identifier.Task]identifier.Attempt
	events  []Event
	peak    identifier.Size
	sick    bool
}

// NewWorker returns an idle worker.
func NewWorker(host connector.WorkerHost) *Worker {
	return &Worker{
		Host:    host,
		tasks:   map[identifier.Task]*workerTask{},
		highest: map[identifier.Task]identifier.Attempt{},
	}
}

// SetFailing makes every task fail as soon as it has started.
func (w *Worker) SetFailing(sick bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sick = sick
}

// Open grants a new lease; running tasks move to it.
func (w *Worker) Open(_ context.Context, epoch identifier.Epoch, ttl time.Duration) (connector.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fence(epoch); err != nil {
		return connector.Report{}, err
	}
	w.expireLocked()
	w.leases++
	w.lease = identifier.Lease(fmt.Sprintf("%s-%d-%d", w.Host.ID, epoch, w.leases))
	w.extend(ttl)
	return w.report(), nil
}

// Renew extends a lease that has not run out.
func (w *Worker) Renew(_ context.Context, lease identifier.Lease, epoch identifier.Epoch, ttl time.Duration) (connector.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.under(lease, epoch); err != nil {
		return connector.Report{}, err
	}
	w.extend(ttl)
	return w.report(), nil
}

// Start executes an attempt. Starting the same attempt again has no effect.
func (w *Worker) Start(_ context.Context, o connector.StartOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.under(o.Lease, o.Epoch); err != nil {
		return err
	}
	if o.Attempt == w.highest[o.Task] {
		return nil
	}
	if o.Attempt < w.highest[o.Task] {
		return errors.Mark(errors.Newf("attempt %d after %d", o.Attempt, w.highest[o.Task]), connector.ErrRefused)
	}
	w.highest[o.Task] = o.Attempt
	t := &workerTask{started: time.Now()}
	t.WorkerTask = connector.WorkerTask{Task: o.Task, Attempt: o.Attempt, Phase: connector.PhaseRunning, Size: o.Size}
	t.progress = progressOf(o.Checkpoint)
	w.tasks[o.Task] = t
	w.record(t, StepStart)
	w.notePeak()
	w.run(t, o)
	return nil
}

func (w *Worker) run(t *workerTask, o connector.StartOrder) {
	switch {
	case w.sick || strings.HasPrefix(o.Payload, "fail"):
		t.timer = time.AfterFunc(time.Millisecond, func() { w.finish(t, connector.PhaseFailed, StepFail) })
	case !o.Watch:
		left := max(time.Duration(o.RunTimeMs)*time.Millisecond-t.progress, time.Millisecond)
		t.timer = time.AfterFunc(left, func() { w.finish(t, connector.PhaseDone, StepDone) })
	}
}

func (w *Worker) finish(t *workerTask, phase connector.Phase, step Step) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLocked()
	if t.Phase != connector.PhaseRunning || w.tasks[t.Task] != t {
		return
	}
	t.Phase = phase
	w.record(t, step)
}

// Stop checkpoints and stops an attempt.
func (w *Worker) Stop(_ context.Context, epoch identifier.Epoch, task identifier.Task, attempt identifier.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fence(epoch); err != nil {
		return err
	}
	w.expireLocked()
	t, ok := w.tasks[task]
	if !ok || t.Attempt != attempt || t.Phase != connector.PhaseRunning {
		return nil
	}
	w.halt(t, StepStop)
	return nil
}

// Forget drops stopped and ended attempts from the report.
func (w *Worker) Forget(_ context.Context, epoch identifier.Epoch, tasks []connector.WorkerTask) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fence(epoch); err != nil {
		return err
	}
	for _, f := range tasks {
		if t, ok := w.tasks[f.Task]; ok && t.Attempt == f.Attempt && t.Phase != connector.PhaseRunning {
			delete(w.tasks, f.Task)
		}
	}
	return nil
}

// Events returns all recorded steps.
func (w *Worker) Events() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLocked()
	return append([]Event(nil), w.events...)
}

// Peak returns the largest sum of sizes that ran at the same time.
func (w *Worker) Peak() identifier.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// Crash stops all tasks and forgets them, as the loss of the machine does.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapseAll()
	w.tasks = map[identifier.Task]*workerTask{}
	w.expires = time.Time{}
}

func (w *Worker) fence(epoch identifier.Epoch) error {
	if epoch < w.epoch {
		return errors.Mark(errors.Newf("epoch %d after %d", epoch, w.epoch), connector.ErrFenced)
	}
	w.epoch = epoch
	return nil
}

func (w *Worker) under(lease identifier.Lease, epoch identifier.Epoch) error {
	if err := w.fence(epoch); err != nil {
		return err
	}
	w.expireLocked()
	if lease != w.lease || !time.Now().Before(w.expires) {
		return errors.Mark(errors.Newf("lease %s", lease), connector.ErrLeaseExpired)
	}
	return nil
}

func (w *Worker) extend(ttl time.Duration) {
	w.expires = time.Now().Add(ttl)
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(ttl, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expireLocked()
	})
}

// expireLocked stops all tasks if the lease has run out.
func (w *Worker) expireLocked() {
	if !w.expires.IsZero() && !time.Now().Before(w.expires) {
		w.lapseAll()
		w.expires = time.Time{}
	}
}

func (w *Worker) lapseAll() {
	for _, t := range w.tasks {
		if t.Phase == connector.PhaseRunning {
			w.halt(t, StepLapse)
		}
	}
}

func (w *Worker) halt(t *workerTask, step Step) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.Phase = connector.PhaseStopped
	t.Checkpoint = checkpointOf(t.progress + time.Since(t.started))
	w.record(t, step)
}

func (w *Worker) record(t *workerTask, step Step) {
	w.events = append(w.events, Event{
		AtUnixNano: time.Now().UnixNano(), DataCentre: w.Host.DataCentre, Worker: w.Host.ID,
		Task: t.Task, Attempt: t.Attempt, Step: step, Size: t.Size,
	})
}

func (w *Worker) notePeak() {
	var sum identifier.Size
	for _, t := range w.tasks {
		if t.Phase == connector.PhaseRunning {
			sum = sum.Add(t.Size)
		}
	}
	w.peak.Processors = max(w.peak.Processors, sum.Processors)
	w.peak.Memory = max(w.peak.Memory, sum.Memory)
	w.peak.Accelerators = max(w.peak.Accelerators, sum.Accelerators)
}

func (w *Worker) report() connector.Report {
	out := connector.Report{Lease: w.lease, Tasks: make([]connector.WorkerTask, 0, len(w.tasks))}
	for _, t := range w.tasks {
		out.Tasks = append(out.Tasks, t.WorkerTask)
	}
	return out
}

// checkpointOf writes how long a task has run.
func checkpointOf(progress time.Duration) string { return progress.String() }

func progressOf(checkpoint string) time.Duration {
	d, err := time.ParseDuration(checkpoint)
	if err != nil {
		return 0
	}
	return d
}
