package simulator

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// fullProgress is the progress, in percent, of a run that is done or of a long-running one
	// that has warmed up.
	fullProgress = 100
	// Runs of at least longRunningFrom count as long-running; they report fullProgress once they
	// have run for warmUp.
	longRunningFrom = time.Hour
	warmUp          = 400 * time.Millisecond
)

// EndHalted is the recorded end of a run whose worker crashed or left.
const EndHalted connector.RunEnd = "halted"

// errOtherIncarnation is returned if another worker now answers at the target's address.
var errOtherIncarnation = errors.New("another worker answers at the address")

// shutDown takes a worker down and ends all its runs with EndHalted.
func (f *Fleet) shutDown(w *simWorker) {
	w.up = false
	for run, r := range w.runs {
		r.timer.Stop()
		f.removeActive(run)
		f.recordEvent(w, run, EndHalted)
	}
	w.runs = map[connector.RunID]*simRun{}
}

// Leave removes a worker until Return is called; the directory still lists it for the given time.
func (f *Fleet) Leave(id identifier.Worker, listed time.Duration) {
	f.lock()
	defer f.unlock()
	w := f.workers[id]
	f.shutDown(w)
	w.removed, w.listedUntil = true, time.Now().Add(listed)
}

// Return boots a worker that is down again under the same ID.
func (f *Fleet) Return(id identifier.Worker) {
	f.lock()
	defer f.unlock()
	if w := f.workers[id]; !w.up {
		w.removed = false
		w.boot()
	}
}

// listensAt reports whether any worker is reachable at an address.
func (f *Fleet) listensAt(address string) bool {
	for _, w := range f.workers {
		if w.up && !w.faults.Cut && w.entry.Address == address {
			return true
		}
	}
	return false
}

// Entries returns the workers that the directory lists.
func (f *Fleet) Entries() map[identifier.Worker]connector.WorkerEntry {
	f.lock()
	defer f.unlock()
	out := map[identifier.Worker]connector.WorkerEntry{}
	for id, w := range f.workers {
		if w.up && !w.faults.Unlisted || !w.up && time.Now().Before(w.listedUntil) {
			out[id] = w.entry
		}
	}
	return out
}

// Running reports whether the task has an active run.
func (f *Fleet) Running(task identifier.JobTask) bool {
	f.lock()
	defer f.unlock()
	return len(f.active[task]) > 0
}

// Done reports whether a run of the task succeeded and its end was acknowledged.
func (f *Fleet) Done(task identifier.JobTask) bool {
	f.lock()
	defer f.unlock()
	return f.done[task]
}

// HasRoom reports whether at most half of the capacity of the workers that are up and not
// draining is in use.
func (f *Fleet) HasRoom() bool {
	f.lock()
	defer f.unlock()
	var capacity, used identifier.Size
	for _, w := range f.workers {
		if !w.up || w.entry.Draining {
			continue
		}
		capacity = capacity.Add(w.entry.Capacity)
		for run := range w.runs {
			used = used.Add(f.sizeOf(run.Task))
		}
	}
	return used.Add(used).Fits(capacity)
}

// percent returns the progress of a run in percent.
func (r *simRun) percent() int {
	ran := time.Since(r.startedAt)
	switch {
	case r.hangs:
		return 0
	case r.duration >= longRunningFrom && ran >= warmUp:
		return fullProgress
	default:
		return min(fullProgress, int(fullProgress*ran/r.duration))
	}
}
