package admitter

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/internal/uptimer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// maxAge is how old a holder's word may be to refuse a job: five beats. Without a newer
// one everything is accepted.
const maxAge = 5 * Period

// Word is what a holder says of the cells that it holds.
type Word map[identifier.Cell]Admission

// Board keeps what the holders said last. Its methods are safe for concurrent use.
type Board struct {
	uptime func() time.Duration

	mu    sync.Mutex
	notes map[identifier.Cell]note
}

// note is a word and when it was asked for.
type note struct {
	admission Admission
	askedAt   time.Duration
}

// BoardOption changes a new board.
type BoardOption func(*Board)

// WithUptime sets the clock by which words grow old; it has to go on while the machine is
// suspended.
func WithUptime(now func() time.Duration) BoardOption { return func(b *Board) { b.uptime = now } }

// NewBoard returns a board on which nothing is written.
func NewBoard(opts ...BoardOption) *Board {
	b := &Board{uptime: uptimer.Now, notes: map[identifier.Cell]note{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Learn notes a word that was asked for at an uptime. An older one changes nothing.
func (b *Board) Learn(w Word, askedAt time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for cell, admission := range w {
		if n, ok := b.notes[cell]; !ok || askedAt >= n.askedAt {
			b.notes[cell] = note{admission, askedAt}
		}
	}
}

// Verdict returns what is said of a queue, and how old that is; refuses is false if
// everything is accepted or nothing is known that is new enough.
func (b *Board) Verdict(cell identifier.Cell, queue identifier.Queue) (v Verdict, age time.Duration, refuses bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, ok := b.notes[cell]
	if !ok {
		return Verdict{}, 0, false
	}
	if age = b.uptime() - n.askedAt; age > maxAge {
		return Verdict{}, age, false
	}
	v, refuses = n.admission[queue]
	return v, age, refuses
}
