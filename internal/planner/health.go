package planner

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Health is what is stored of a worker's health. Its times are those of the cell's clock.
type Health struct {
	// Failures counts failed runs in a row.
	Failures int `cbor:"1,keyasint,omitempty"`
	// QuarantinedUntil is until when no new runs are sent.
	QuarantinedUntil renewer.Time `cbor:"2,keyasint,omitempty"`
	// Stalls are the runs that stand still.
	Stalls []Stall `cbor:"3,keyasint,omitempty"`
	// TailHighSince is since when a tail is above its target, nil if none is.
	TailHighSince *renewer.Time `cbor:"4,keyasint,omitempty"`
	// ScavengersBarredUntil is until when scavengers are kept away.
	ScavengersBarredUntil renewer.Time `cbor:"5,keyasint,omitempty"`
}

// Stall is a run that stands still.
type Stall struct {
	Job        identifier.Job     `cbor:"1,keyasint"`
	Occurrence int                `cbor:"2,keyasint,omitempty"`
	Step       int                `cbor:"3,keyasint,omitempty"`
	Index      int                `cbor:"4,keyasint,omitempty"`
	Attempt    identifier.Attempt `cbor:"5,keyasint"`
	// Percent is its progress, and Since is since when that has not changed.
	Percent int          `cbor:"6,keyasint,omitempty"`
	Since   renewer.Time `cbor:"7,keyasint"`
}

func (s Stall) run() connector.RunID {
	return connector.RunID{
		Task:    identifier.JobTask{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: s.Index},
		Attempt: s.Attempt,
	}
}

// maxStalls bounds the stalls that are stored of a worker, so that its record stays small.
const maxStalls = 64

func (h Health) isZero() bool {
	return h.Failures == 0 && h.QuarantinedUntil == 0 && len(h.Stalls) == 0 && h.TailHighSince == nil && h.ScavengersBarredUntil == 0
}

// HealthRecord is the health of a worker as it is stored; without a Health it deletes what
// was.
type HealthRecord struct {
	Worker identifier.Worker
	Health *Health
}

// healths are those of a cell's workers, as far as they are to be stored.
type healths struct {
	// pending is what earlier holders stored of workers that are not known yet.
	pending map[identifier.Worker]Health
	// stored are the workers of which there is a record, or one under way.
	stored  map[identifier.Worker]struct{}
	changed map[identifier.Worker]struct{}
}

func newHealths() healths {
	return healths{
		pending: map[identifier.Worker]Health{}, stored: map[identifier.Worker]struct{}{},
		changed: map[identifier.Worker]struct{}{},
	}
}

// markChanged notes that a worker's health has to be stored.
func (h *healths) markChanged(id identifier.Worker) { h.changed[id] = struct{}{} }

// forget drops what is stored of a worker.
func (h *healths) forget(id identifier.Worker) {
	delete(h.pending, id)
	if _, ok := h.stored[id]; ok {
		h.markChanged(id)
	}
}

// restoreHealths takes over what earlier holders stored of the workers' health.
func (p *Planner) restoreHealths(records []HealthRecord) {
	for _, r := range records {
		p.healths.stored[r.Worker] = struct{}{}
		// One that cannot be read has to be deleted with the worker as well.
		p.healths.pending[r.Worker] = Health{}
		if r.Health != nil {
			p.healths.pending[r.Worker] = *r.Health
		}
		if w, ok := p.workers[r.Worker]; ok {
			p.restoreHealth(w)
		}
	}
}

// restoreHealth sets what earlier holders stored of a worker's health. The cell's clock may be
// behind what they went by, so that the times are bounded.
func (p *Planner) restoreHealth(w *worker) {
	h, ok := p.healths.pending[w.id]
	if !ok {
		return
	}
	delete(p.healths.pending, w.id)
	w.failures = max(h.Failures, 0)
	if w.failures >= quarantineFailures {
		w.quarantinedUntil = p.now.Add(min(p.untilCell(h.QuarantinedUntil), maxQuarantine))
	}
	w.stalls = h.Stalls
	if h.TailHighSince != nil {
		w.suffering, w.sufferingSince = true, p.now.Add(min(p.untilCell(*h.TailHighSince), 0))
	}
	w.quietUntil = p.now.Add(min(p.untilCell(h.ScavengersBarredUntil), quietTime))
}

// restoreStall sets since when a restored run stands still.
func (p *Planner) restoreStall(w *worker, r *run) {
	n := slices.IndexFunc(w.stalls, func(s Stall) bool { return s.run() == r.id })
	if n < 0 || !r.mayStall() {
		return
	}
	s := w.stalls[n]
	r.stalled, r.percent = true, s.Percent
	r.progressAt = p.now.Add(min(p.untilCell(s.Since), 0))
}

// dropStalls forgets the stalls of runs that were not restored.
func (p *Planner) dropStalls() {
	for _, w := range p.workerList {
		if len(w.stalls) > 0 {
			w.stalls = nil
			p.healths.markChanged(w.id)
		}
	}
}

// sufferingNoted is from how long on it is stored that a tail is above its target: the time
// between two looks at a worker with scavengers.
const sufferingNoted = mixedWait

// noteSuffering notes whether a tail on a worker is above its target.
func (p *Planner) noteSuffering(w *worker) {
	suffering := !w.sufferingSince.IsZero() && p.now.Sub(w.sufferingSince) >= sufferingNoted
	if suffering != w.suffering {
		w.suffering = suffering
		p.healths.markChanged(w.id)
	}
}

// stallNoted is from how long on it is stored that a run stands still: below the time between
// two looks, so that the second one notes it.
const stallNoted = 750 * time.Millisecond

// mayStall reports whether a run may be relieved since it stands still.
func (r *run) mayStall() bool { return !r.task.group.step.Gang && !r.task.group.step.Scavenger }

// noteStalls notes which runs of a worker stand still.
func (p *Planner) noteStalls(w *worker) {
	for _, r := range w.runs {
		if r.phase != runActive {
			continue
		}
		stalled := r.mayStall() && r.percent < fullProgress && p.now.Sub(r.progressAt) >= stallNoted
		if stalled != r.stalled {
			r.stalled = stalled
			p.healths.markChanged(w.id)
		}
	}
}

// stallsOf returns the runs of a worker that stand still.
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

// forgetHealths drops what earlier holders stored of workers that are gone.
func (p *Planner) forgetHealths() {
	for id := range p.healths.pending {
		p.healths.forget(id)
	}
}

// untilCell returns the time that is left until one of the cell's clock.
func (p *Planner) untilCell(at renewer.Time) time.Duration {
	return time.Duration(at - p.leases.Clock())
}

// cellTime returns what the cell's clock shows at a time of the holder's own clock.
func (p *Planner) cellTime(at time.Time) renewer.Time {
	return p.leases.Clock() + renewer.Time(at.Sub(p.now))
}

func (p *Planner) healthOf(w *worker) Health {
	h := Health{Failures: w.failures, Stalls: p.stallsOf(w)}
	if !w.quarantinedUntil.IsZero() {
		h.QuarantinedUntil = p.cellTime(w.quarantinedUntil)
	}
	if w.suffering {
		since := p.cellTime(w.sufferingSince)
		h.TailHighSince = &since
	}
	if p.now.Before(w.quietUntil) {
		h.ScavengersBarredUntil = p.cellTime(w.quietUntil)
	}
	return h
}

// takeHealths adds to a batch what is to be stored of the workers' health, with the clock that
// its times go by.
func (p *Planner) takeHealths(b *Batch) {
	for id := range p.healths.changed {
		record := HealthRecord{Worker: id}
		if w, ok := p.workers[id]; ok {
			if h := p.healthOf(w); !h.isZero() {
				record.Health = &h
			}
		}
		_, stored := p.healths.stored[id]
		switch {
		case record.Health != nil:
			p.healths.stored[id] = struct{}{}
		case !stored:
			continue
		default:
			delete(p.healths.stored, id)
		}
		b.Healths = append(b.Healths, record)
	}
	clear(p.healths.changed)
	if len(b.Healths) > 0 && b.Clock == nil {
		clock := p.leases.Clock()
		b.Clock = &clock
	}
}
