package planner

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Health is the part of a worker's health that is stored for later holders. Its times are readings
// of the cell's clock.
type Health struct {
	// Failures counts the failed runs in a row.
	Failures int `cbor:"1,keyasint,omitempty"`
	// QuarantinedUntil is until when the worker gets no new runs.
	QuarantinedUntil renewer.Time `cbor:"2,keyasint,omitempty"`
	// Stalls are the runs without progress.
	Stalls []Stall `cbor:"3,keyasint,omitempty"`
	// TailHighSince is since when a tail latency has been above its target, nil if none is.
	TailHighSince *renewer.Time `cbor:"4,keyasint,omitempty"`
	// ScavengersBarredUntil is until when no scavenger is placed on the worker.
	ScavengersBarredUntil renewer.Time `cbor:"5,keyasint,omitempty"`
}

// Stall names a run without progress.
type Stall struct {
	Job        identifier.Job     `cbor:"1,keyasint"`
	Occurrence int                `cbor:"2,keyasint,omitempty"`
	Step       int                `cbor:"3,keyasint,omitempty"`
	Index      int                `cbor:"4,keyasint,omitempty"`
	Attempt    identifier.Attempt `cbor:"5,keyasint"`
	// Percent is the progress of the run, and Since is when it last changed.
	Percent int          `cbor:"6,keyasint,omitempty"`
	Since   renewer.Time `cbor:"7,keyasint"`
}

func (s Stall) run() connector.RunID {
	return connector.RunID{
		Task:    identifier.JobTask{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: s.Index},
		Attempt: s.Attempt,
	}
}

// maxStalls bounds the stalls stored of a worker, so that its record stays small.
const maxStalls = 64

func (h Health) isZero() bool {
	return h.Failures == 0 && h.QuarantinedUntil == 0 && len(h.Stalls) == 0 && h.TailHighSince == nil && h.ScavengersBarredUntil == 0
}

// HealthRecord is the stored health of a worker. A nil Health deletes the record.
type HealthRecord struct {
	Worker identifier.Worker
	Health *Health
}

// healthRecords tracks which records of worker health are stored and which have to be stored again.
type healthRecords struct {
	// pending is what earlier holders stored of workers that this holder does not know yet.
	pending map[identifier.Worker]Health
	// stored are the workers that have a record, or whose record is being stored.
	stored map[identifier.Worker]struct{}
	// changed are the workers whose record has to be stored again or deleted.
	changed map[identifier.Worker]struct{}
}

func newHealthRecords() healthRecords {
	return healthRecords{
		pending: map[identifier.Worker]Health{}, stored: map[identifier.Worker]struct{}{},
		changed: map[identifier.Worker]struct{}{},
	}
}

// markChanged marks the health of a worker to be stored with the next batch.
func (h *healthRecords) markChanged(id identifier.Worker) { h.changed[id] = struct{}{} }

// forget deletes the record of a worker.
func (h *healthRecords) forget(id identifier.Worker) {
	delete(h.pending, id)
	if _, ok := h.stored[id]; ok {
		h.markChanged(id)
	}
}

// restoreHealthRecords takes over the health records of earlier holders.
func (p *Planner) restoreHealthRecords(records []HealthRecord) {
	for _, r := range records {
		p.healthRecords.stored[r.Worker] = struct{}{}
		// A record that cannot be decoded also has to be deleted once its worker is gone.
		p.healthRecords.pending[r.Worker] = Health{}
		if r.Health != nil {
			p.healthRecords.pending[r.Worker] = *r.Health
		}
		if w, ok := p.workers[r.Worker]; ok {
			p.restoreHealth(w)
		}
	}
}

// restoreHealth applies the stored health of a worker, if there is one. The cell's clock may lag
// behind the one that the record was written with, so that its times are bounded.
func (p *Planner) restoreHealth(w *worker) {
	h, ok := p.healthRecords.pending[w.id]
	if !ok {
		return
	}
	delete(p.healthRecords.pending, w.id)
	w.failures = max(h.Failures, 0)
	if w.failures >= quarantineFailures {
		w.quarantinedUntil = p.now.Add(min(p.untilCellTime(h.QuarantinedUntil), maxQuarantine))
	}
	w.restoredStalls = h.Stalls
	if h.TailHighSince != nil {
		w.tailHigh, w.tailHighSince = true, p.now.Add(min(p.untilCellTime(*h.TailHighSince), 0))
	}
	w.scavengersBarredUntil = p.now.Add(min(p.untilCellTime(h.ScavengersBarredUntil), scavengerBarTime))
}

// restoreStall applies a stored stall to a restored run, so that the time without progress counts
// across holders.
func (p *Planner) restoreStall(w *worker, r *run) {
	i := slices.IndexFunc(w.restoredStalls, func(s Stall) bool { return s.run() == r.id })
	if i < 0 || !r.canStall() {
		return
	}
	s := w.restoredStalls[i]
	r.stalled, r.percent = true, s.Percent
	r.progressAt = p.now.Add(min(p.untilCellTime(s.Since), 0))
}

// dropStalls drops the stored stalls whose runs were not restored.
func (p *Planner) dropStalls() {
	for _, w := range p.workerList {
		if len(w.restoredStalls) > 0 {
			w.restoredStalls = nil
			p.healthRecords.markChanged(w.id)
		}
	}
}

// minTailHighTime is how long a tail latency must be above its target before that is stored. It is
// the time between two polls of a worker with scavengers, so that two in a row have to show it.
const minTailHighTime = mixedPollWait

// updateTailHigh updates whether the stored health says that a tail latency is above its target.
func (p *Planner) updateTailHigh(w *worker) {
	tailHigh := !w.tailHighSince.IsZero() && p.now.Sub(w.tailHighSince) >= minTailHighTime
	if tailHigh != w.tailHigh {
		w.tailHigh = tailHigh
		p.healthRecords.markChanged(w.id)
	}
}

// minStallTime is how long a run must be without progress before that is stored. It is below the
// time between two polls, so that the second poll records it.
const minStallTime = 750 * time.Millisecond

// canStall reports whether a lack of progress makes the planner stop or copy the run. It does not
// for members of a gang, nor for scavengers, which may have been slowed down.
func (r *run) canStall() bool { return !r.task.group.step.Gang && !r.task.group.step.Scavenger }

// updateStalls updates which runs of a worker are stored as stalled.
func (p *Planner) updateStalls(w *worker) {
	for _, r := range w.runs {
		if r.phase != runActive {
			continue
		}
		stalled := r.canStall() && r.percent < fullProgress && p.now.Sub(r.progressAt) >= minStallTime
		if stalled != r.stalled {
			r.stalled = stalled
			p.healthRecords.markChanged(w.id)
		}
	}
}

// stallsOf returns the runs of a worker that are stored as stalled, at most maxStalls.
func (p *Planner) stallsOf(w *worker) []Stall {
	var out []Stall
	for _, r := range w.runs {
		if r.stalled && len(out) < maxStalls {
			t := r.id.Task
			out = append(out, Stall{t.Job, t.Occurrence, t.Step, t.Index, r.id.Attempt, r.percent, p.cellTime(r.progressAt)})
		}
	}
	return out
}

// dropPendingHealthRecords deletes the records of workers that are not in the directory any more.
func (p *Planner) dropPendingHealthRecords() {
	for id := range p.healthRecords.pending {
		p.healthRecords.forget(id)
	}
}

// untilCellTime returns the time left until a reading of the cell's clock; negative if it has
// passed.
func (p *Planner) untilCellTime(at renewer.Time) time.Duration {
	return time.Duration(at - p.leases.Clock())
}

// cellTime converts a time of the holder's own clock to a reading of the cell's clock.
func (p *Planner) cellTime(at time.Time) renewer.Time {
	return p.leases.Clock() + renewer.Time(at.Sub(p.now))
}

// healthOf returns the health of a worker as it has to be stored.
func (p *Planner) healthOf(w *worker) Health {
	h := Health{Failures: w.failures, Stalls: p.stallsOf(w)}
	if !w.quarantinedUntil.IsZero() {
		h.QuarantinedUntil = p.cellTime(w.quarantinedUntil)
	}
	if w.tailHigh {
		since := p.cellTime(w.tailHighSince)
		h.TailHighSince = &since
	}
	if p.now.Before(w.scavengersBarredUntil) {
		h.ScavengersBarredUntil = p.cellTime(w.scavengersBarredUntil)
	}
	return h
}

// collectHealthRecords adds the changed health records to a batch, and the cell's clock that their
// times refer to.
func (p *Planner) collectHealthRecords(b *Batch) {
	for id := range p.healthRecords.changed {
		record := HealthRecord{Worker: id}
		if w, ok := p.workers[id]; ok {
			if h := p.healthOf(w); !h.isZero() {
				record.Health = &h
			}
		}
		_, stored := p.healthRecords.stored[id]
		switch {
		case record.Health != nil:
			p.healthRecords.stored[id] = struct{}{}
		case !stored:
			continue
		default:
			delete(p.healthRecords.stored, id)
		}
		b.Healths = append(b.Healths, record)
	}
	clear(p.healthRecords.changed)
	if len(b.Healths) > 0 && b.Clock == nil {
		clock := p.leases.Clock()
		b.Clock = &clock
	}
}
