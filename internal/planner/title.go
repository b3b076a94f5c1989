package planner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Title is the stored ownership of a worker in the view of one cell. A worker without a title belongs to
// the cell of its hash. It passes from one cell to another in three steps, each of which may be repeated:
// the lender stores that it no longer holds the worker, then adds a grant to the inbox of the borrower,
// which stores that it holds the worker before it sends it any order.
type Title struct {
	// Base is added to the epochs of the cell that holds the worker. With each transfer it rises by the
	// epoch of the lender, so that orders of earlier owners are refused.
	Base identifier.Epoch `cbor:"1,keyasint"`
	// Held is set if the cell holds the worker. Otherwise it was lent to To, and Granted is set once the
	// grant is in the inbox of To.
	Held    bool            `cbor:"2,keyasint,omitempty"`
	To      identifier.Cell `cbor:"3,keyasint,omitempty"`
	Granted bool            `cbor:"4,keyasint,omitempty"`
}

// TitleRecord is the stored title of a worker. A nil Title cannot be decoded; the worker is left alone
// until it is granted to the cell.
type TitleRecord struct {
	Worker identifier.Worker
	Title  *Title
}

// Grant tells a cell that a worker is lent to it.
type Grant struct {
	Worker identifier.Worker
	Base   identifier.Epoch
}

// MaxBase bounds the base of a worker's epochs, so that these stay below 2^53, which workers that keep
// all numbers as floating point still tell apart.
const MaxBase identifier.Epoch = 1 << 32

const (
	// maxGrants bounds the grants of one append.
	maxGrants = 200
	// grantRetryPause is the pause after grants that could not be stored.
	grantRetryPause = 250 * time.Millisecond
)

// title is a title with its progress.
type title struct {
	Title
	unreadable bool
	// stored is set once the title is stored. A worker that is held may be used only then.
	stored bool
	// from is the cell that granted the worker, and key that of its grant in the inbox.
	from identifier.Cell
	key  string
}

// titles are the titles of the workers that were lent at least once.
type titles struct {
	byWorker map[identifier.Worker]title
	// dirty are the titles to be stored with the next batch.
	dirty map[identifier.Worker]struct{}
	// ungranted are the workers whose grant has to be stored in the inbox of their borrower.
	ungranted map[identifier.Worker]struct{}
	// inFlight are the workers whose grants are being stored; after a failure the next ones are not
	// stored before notBefore.
	inFlight  map[identifier.Worker]struct{}
	notBefore time.Time
}

func newTitles() titles {
	return titles{
		byWorker: map[identifier.Worker]title{}, dirty: map[identifier.Worker]struct{}{},
		ungranted: map[identifier.Worker]struct{}{}, inFlight: map[identifier.Worker]struct{}{},
	}
}

// set replaces the title of a worker and marks it to be stored.
func (t *titles) set(id identifier.Worker, to title) {
	t.byWorker[id] = to
	t.dirty[id] = struct{}{}
}

// applyLending passes an event about lent workers to its handler.
func (p *Planner) applyLending(e Event) {
	switch e := e.(type) {
	case TitlesRestored:
		p.restoreTitles(e.Records)
	case WorkerGranted:
		p.workerGranted(e)
	case GrantsSent:
		p.grantsSent(e)
	case RoomRequested:
		p.roomRequested(e)
	}
}

// owns reports whether a worker belongs to the planner's cell: by its title, or by the hash of its id if
// it was never lent.
func (p *Planner) owns(id identifier.Worker) bool {
	if p.settings.Cells <= 1 {
		return true
	}
	if t, ok := p.titles.byWorker[id]; ok {
		return t.Held && t.stored
	}
	return p.homeOf(id) == p.settings.Cell
}

// homeOf returns the cell to which a worker belongs before it is lent.
func (p *Planner) homeOf(id identifier.Worker) identifier.Cell {
	return identifier.CellOf(identifier.Job(id), p.settings.Cells)
}

// baseOf returns the base of the epochs of orders to a worker.
func (p *Planner) baseOf(id identifier.Worker) identifier.Epoch {
	if t := p.titles.byWorker[id]; t.Held {
		return t.Base
	}
	return 0
}

// transfer gives an idle worker away to another cell. The grant follows once that is stored.
func (p *Planner) transfer(w *worker, to identifier.Cell) {
	p.log.WorkerChanged(w.id, fmt.Sprintf("lent to cell %d", to))
	p.titles.set(w.id, title{Title: Title{Base: w.base + p.epoch, To: to}})
	p.forgetWorker(w)
}

// workerGranted takes a worker over that another cell has lent to this one. Grants that were seen before
// are dropped.
func (p *Planner) workerGranted(e WorkerGranted) {
	if p.settings.Cells <= 1 || e.Base == 0 || e.Base >= MaxBase {
		return
	}
	t, known := p.titles.byWorker[e.Worker]
	switch {
	case known && t.Held && !t.stored && e.Base == t.Base:
		return
	case known && e.Base <= t.Base, known && t.Held:
		p.discards.add(Discard{Key: e.Key})
		return
	}
	delete(p.titles.ungranted, e.Worker)
	p.titles.set(e.Worker, title{Title: Title{Base: e.Base, Held: true}, from: e.From, key: e.Key})
}

// restoreTitles takes over the titles that earlier holders stored. It precedes the grants in the inbox.
func (p *Planner) restoreTitles(records []TitleRecord) {
	for _, r := range records {
		if r.Title == nil {
			p.titles.byWorker[r.Worker] = title{unreadable: true}
			continue
		}
		p.titles.byWorker[r.Worker] = title{Title: *r.Title, stored: true}
		if !r.Title.Held && !r.Title.Granted {
			p.titles.ungranted[r.Worker] = struct{}{}
		}
	}
}

// takeTitles returns the titles to be stored with the next batch.
func (p *Planner) takeTitles() []TitleRecord {
	var out []TitleRecord
	for id := range p.titles.dirty {
		t := p.titles.byWorker[id].Title
		out = append(out, TitleRecord{Worker: id, Title: &t})
	}
	clear(p.titles.dirty)
	return out
}

// titlesStored continues with what waited for titles to be stored: borrowed workers are used, and lent
// ones are granted to their borrowers.
func (p *Planner) titlesStored(records []TitleRecord) {
	for _, r := range records {
		t := p.titles.byWorker[r.Worker]
		if t.Title != *r.Title || t.stored {
			continue
		}
		t.stored = true
		if !t.Held {
			p.titles.byWorker[r.Worker] = t
			p.titles.ungranted[r.Worker] = struct{}{}
			continue
		}
		p.discards.add(Discard{Key: t.key})
		t.key = ""
		p.titles.byWorker[r.Worker] = t
		p.adopt(r.Worker, t)
	}
}

// adopt begins to use a borrowed worker if it is listed. A lease that the lender asked for last may go on
// for as long as one of this holder.
func (p *Planner) adopt(id identifier.Worker, t title) {
	p.log.WorkerChanged(id, fmt.Sprintf("borrowed from cell %d", t.from))
	if w, ok := p.workers[id]; ok {
		w.base, w.synced = t.Base, false
	}
	if entry, ok := p.directory.Workers[id]; ok {
		p.updateWorker(id, entry)
		w := p.workers[id]
		w.leaseEnd = later(w.leaseEnd, p.now.Add(bySlowClock(p.settings.Lease)))
	}
}

// sendGrants has the grants of lent workers stored in the inboxes of their borrowers.
func (p *Planner) sendGrants() {
	if len(p.titles.ungranted) == 0 || p.now.Before(p.titles.notBefore) {
		return
	}
	byCell := map[identifier.Cell][]Grant{}
	for id := range p.titles.ungranted {
		t := p.titles.byWorker[id]
		if _, sending := p.titles.inFlight[id]; sending || len(byCell[t.To]) >= maxGrants {
			continue
		}
		p.titles.inFlight[id] = struct{}{}
		byCell[t.To] = append(byCell[t.To], Grant{Worker: id, Base: t.Base})
	}
	for _, cell := range slices.Sorted(maps.Keys(byCell)) {
		p.emit(SendGrants{To: cell, Grants: byCell[cell]})
	}
}

// grantsSent records that grants are stored, or has them stored again after a failure.
func (p *Planner) grantsSent(e GrantsSent) {
	for _, g := range e.Grants {
		delete(p.titles.inFlight, g.Worker)
		t := p.titles.byWorker[g.Worker]
		if e.Err != nil || t.Held || t.Base != g.Base {
			continue
		}
		delete(p.titles.ungranted, g.Worker)
		t.Granted = true
		p.titles.set(g.Worker, t)
	}
	if e.Err != nil {
		p.titles.notBefore = p.now.Add(grantRetryPause)
	}
}

// lentWorkers returns how many workers of the cell are granted to others, and how many of theirs it holds. A
// transfer counts only once it is stored.
func (p *Planner) lentWorkers() (lent, borrowed int) {
	for id, t := range p.titles.byWorker {
		switch home := p.homeOf(id) == p.settings.Cell; {
		case home && !t.Held && t.Granted:
			lent++
		case !home && t.Held && t.stored:
			borrowed++
		}
	}
	return lent, borrowed
}

// listedElsewhere returns the listed workers that other cells hold.
func (p *Planner) listedElsewhere() []connector.WorkerEntry {
	var out []connector.WorkerEntry
	for id, entry := range p.directory.Workers {
		if !p.owns(id) && !entry.Unreadable && !entry.Draining && !p.directory.Evacuated[entry.DataCentre] {
			out = append(out, entry)
		}
	}
	return out
}
