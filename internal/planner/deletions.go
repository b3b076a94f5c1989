package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// maxDeletions bounds what one command deletes, and the job records that one batch deletes.
	maxDeletions = 1000
	// firstDeletionPause is the pause after a failed deletion; it doubles with every failure in a row, up
	// to maxDeletionPause.
	firstDeletionPause = 250 * time.Millisecond
	maxDeletionPause   = 5 * time.Second
)

// deletions are records of the inbox that are to be deleted. One command at a time deletes the first of
// them; what failed is deleted again, after a pause.
type deletions[T any] struct {
	items    []T
	inFlight bool
	// After failures in a row, the next command is not sent before notBefore.
	failures  int
	notBefore time.Time
}

func (d *deletions[T]) add(items ...T) { d.items = append(d.items, items...) }

// take returns what the next command deletes; nothing if none is to be sent now.
func (d *deletions[T]) take(now time.Time) []T {
	if len(d.items) == 0 || d.inFlight || now.Before(d.notBefore) {
		return nil
	}
	d.inFlight = true
	n := min(len(d.items), maxDeletions)
	taken := d.items[:n:n]
	d.items = d.items[n:]
	return taken
}

// answered records the outcome of a command that deleted items.
func (d *deletions[T]) answered(now time.Time, items []T, err error) {
	d.inFlight = false
	if err == nil {
		d.failures = 0
		return
	}
	d.add(items...)
	d.notBefore = now.Add(min(firstDeletionPause<<min(d.failures, 16), maxDeletionPause))
	d.failures++
}

// Discard is a record of the inbox that is of no use any more.
type Discard struct {
	// Key is the key of the record.
	Key string
	// Job is the job whose submission it is; empty for other records.
	Job identifier.Job
}

// discardRecords has the records of the inbox deleted that are of no use any more.
func (p *Planner) discardRecords() {
	if records := p.discards.take(p.now); len(records) > 0 {
		p.emit(DiscardRecords{Records: records})
	}
}

// recordsDiscarded has the deletion repeated if it failed.
func (p *Planner) recordsDiscarded(e RecordsDiscarded) {
	p.discards.answered(p.now, e.Records, e.Err)
	if e.Err != nil {
		return
	}
	for _, r := range e.Records {
		j, ok := p.jobs[r.Job]
		if !ok {
			continue
		}
		if again := j.otherKeys[r.Key]; again {
			j.otherKeys[r.Key] = false
			p.discards.add(r)
		} else {
			delete(j.otherKeys, r.Key)
		}
	}
}
