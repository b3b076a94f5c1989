// Package simulator holds stand-ins in memory for the platform's store and for
// workers that run the tasks of jobs. Tests make them fail and ask them what
// happened.
package simulator

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// ErrDown is the reason why a stand-in does not answer.
var ErrDown = errors.New("stand-in does not answer")

const (
	// answerTime is how long a call takes.
	answerTime = 4 * time.Millisecond
	// rememberedAppends is how many appends of a writer are recognised when they
	// are repeated.
	rememberedAppends = 5
)

type partitionKey struct {
	topic connector.Topic
	part  connector.Partition
}

type partition struct {
	records []connector.KeyedRecord
	first   identifier.Offset
	newest  map[string]connector.KeyedRecord
	writer  connector.WriterID
	answers map[uint64]identifier.Offset
	changed chan struct{}
}

func (p *partition) end() identifier.Offset { return p.first + identifier.Offset(len(p.records)) }

type member struct {
	until      time.Time
	generation uint64
}

type group struct {
	generation uint64
	members    map[string]*member
	owners     map[connector.Partition]string
	// leaving are partitions that their owners were not told of any more; they are
	// dealt anew once the owner joins again.
	leaving map[connector.Partition]bool
}

// StoreFaults say how a store misbehaves. The zero value is a store that works.
type StoreFaults struct {
	// Down makes every call fail as if its answer were lost, without effect.
	Down bool
	// LoseAnswers is the share of writes that take effect and are not answered.
	LoseAnswers float64
	// Slow is added to the time of every call.
	Slow time.Duration
	// Refused are clients that are turned away.
	Refused map[string]bool
	// Silent are clients that get no answer.
	Silent map[string]bool
}

// Store is the platform's store with keyed topics and one group of members.
// Its methods are safe for concurrent use.
type Store struct {
	parts int

	mu         chan struct{}
	rand       *rand.Rand
	faults     StoreFaults
	partitions map[partitionKey]*partition
	groups     map[string]*group
	calls      int
}

// NewStore returns an empty store whose groups share parts partitions.
func NewStore(parts int, seed uint64) *Store {
	s := &Store{
		parts: parts, mu: make(chan struct{}, 1), rand: rand.New(rand.NewPCG(seed, seed)),
		partitions: map[partitionKey]*partition{}, groups: map[string]*group{},
	}
	return s
}

// lock is a channel: waiting on a mutex is not idle for a paused clock.
func (s *Store) lock()   { s.mu <- struct{}{} }
func (s *Store) unlock() { <-s.mu }

// SetFaults replaces how the store misbehaves.
func (s *Store) SetFaults(f StoreFaults) {
	s.lock()
	defer s.unlock()
	s.faults = f
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.lock()
	defer s.unlock()
	return s.calls
}

// ExpireHistory drops the history of a topic; the newest record of each key stays.
func (s *Store) ExpireHistory(topic connector.Topic) {
	s.lock()
	defer s.unlock()
	for key, p := range s.partitions {
		if key.topic == topic {
			p.first, p.records = p.end(), nil
			close(p.changed)
			p.changed = make(chan struct{})
		}
	}
}

// Client returns the store as a named client reaches it.
func (s *Store) Client(name string) connector.Store { return client{s, name} }

type client struct {
	store *Store
	name  string
}

// enter takes the time of a call and fails it if the store does not answer.
func (c client) enter(ctx context.Context) error {
	s := c.store
	s.lock()
	s.calls++
	faults := s.faults
	s.unlock()
	if faults.Refused[c.name] {
		return errors.Mark(errors.New("client is turned away"), connector.ErrBusy)
	}
	if faults.Down || faults.Silent[c.name] {
		<-ctx.Done()
		return errors.Mark(ErrDown, connector.ErrUnknown)
	}
	return wait(ctx, answerTime+faults.Slow)
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
}

// lost reports whether the answer to a write is lost.
func (s *Store) lost() bool { return s.rand.Float64() < s.faults.LoseAnswers }

func (s *Store) partition(topic connector.Topic, part connector.Partition) *partition {
	key := partitionKey{topic, part}
	p, ok := s.partitions[key]
	if !ok {
		p = &partition{newest: map[string]connector.KeyedRecord{}, answers: map[uint64]identifier.Offset{}, changed: make(chan struct{})}
		s.partitions[key] = p
	}
	return p
}

// Append implements connector.Store.
func (c client) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	if err := c.enter(ctx); err != nil {
		return 0, err
	}
	s := c.store
	s.lock()
	defer s.unlock()
	if err := checkSizes(a); err != nil {
		return 0, err
	}
	p := s.partition(a.Topic, a.Partition)
	if a.Writer != nil {
		if end, done, err := p.admit(*a.Writer); done || err != nil {
			return end, err
		}
	}
	if a.ExpectedEnd != nil && *a.ExpectedEnd != p.end() {
		return 0, errors.Mark(errors.Newf("partition ends at %d", p.end()), connector.ErrConflict)
	}
	p.add(a)
	if s.lost() {
		return 0, errors.Mark(ErrDown, connector.ErrUnknown)
	}
	return p.end(), nil
}

// checkSizes refuses an append that is too large for a store.
func checkSizes(a connector.KeyedAppend) error {
	if n := connector.RecordBytes(a.Records...); n > connector.MaxAppendBytes {
		return errors.Mark(errors.Newf("append of %d bytes", n), connector.ErrRefused)
	}
	for _, r := range a.Records {
		if n := connector.RecordBytes(r); n > connector.MaxRecordBytes {
			return errors.Mark(errors.Newf("record of %d bytes", n), connector.ErrRefused)
		}
	}
	return nil
}

// admit checks a writer; done is set for a repeat of an append.
func (p *partition) admit(w connector.WriterID) (end identifier.Offset, done bool, err error) {
	switch {
	case w.Epoch < p.writer.Epoch:
		return 0, false, errors.Mark(errors.New("another writer has a higher epoch"), connector.ErrFenced)
	case w.Epoch > p.writer.Epoch:
		clear(p.answers)
		return 0, false, nil
	}
	if end, ok := p.answers[w.Sequence]; ok {
		return end, true, nil
	}
	if w.Sequence != p.writer.Sequence+1 {
		return 0, false, errors.Mark(errors.Newf("sequence %d after %d", w.Sequence, p.writer.Sequence), connector.ErrConflict)
	}
	return 0, false, nil
}

func (p *partition) add(a connector.KeyedAppend) {
	for _, r := range a.Records {
		r.Offset = p.end()
		r.Value = slices.Clone(r.Value)
		p.records = append(p.records, r)
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
		} else {
			p.newest[r.Key] = r
		}
	}
	if a.Writer != nil {
		p.writer = *a.Writer
		p.answers[a.Writer.Sequence] = p.end()
		delete(p.answers, a.Writer.Sequence-rememberedAppends)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Newest implements connector.Store; it returns one page.
func (c client) Newest(ctx context.Context, topic connector.Topic, part connector.Partition, after string) (connector.KeyedPage, error) {
	if err := c.enter(ctx); err != nil {
		return connector.KeyedPage{}, err
	}
	s := c.store
	s.lock()
	defer s.unlock()
	p := s.partition(topic, part)
	page := connector.KeyedPage{End: p.end()}
	for key, r := range p.newest {
		if key > after {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b connector.KeyedRecord) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return page, nil
}

// Read implements connector.Store.
func (c client) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, maxWait time.Duration) (connector.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait+time.Second)
	defer cancel()
	if err := c.enter(ctx); err != nil {
		return connector.ReadResult{}, err
	}
	s := c.store
	s.lock()
	p := s.partition(topic, part)
	changed, end := p.changed, p.end()
	s.unlock()
	if from >= end && maxWait > 0 {
		t := time.NewTimer(maxWait)
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return connector.ReadResult{}, errors.Mark(ctx.Err(), connector.ErrUnknown)
		}
	}
	s.lock()
	defer s.unlock()
	if s.faults.Down {
		return connector.ReadResult{}, errors.Mark(ErrDown, connector.ErrUnknown)
	}
	if from < p.first {
		return connector.ReadResult{}, errors.Mark(errors.Newf("records before %d are gone", p.first), connector.ErrExpired)
	}
	if from >= p.end() {
		return connector.ReadResult{Next: from}, nil
	}
	return connector.ReadResult{Records: slices.Clone(p.records[from-p.first:]), Next: p.end()}, nil
}

// Join implements connector.Store.
func (c client) Join(ctx context.Context, name string, _ connector.Topic, id string, generation uint64, ttl time.Duration) (connector.Membership, error) {
	if err := c.enter(ctx); err != nil {
		return connector.Membership{}, err
	}
	s := c.store
	s.lock()
	defer s.unlock()
	g, ok := s.groups[name]
	if !ok {
		g = &group{members: map[string]*member{}, owners: map[connector.Partition]string{}, leaving: map[connector.Partition]bool{}}
		s.groups[name] = g
	}
	now := time.Now()
	if _, known := g.members[id]; !known {
		g.members[id] = &member{}
		g.generation++
	}
	g.members[id].until, g.members[id].generation = now.Add(ttl), generation
	g.expire(now)
	g.release(id)
	g.deal(s.parts)
	g.shed(id, s.parts)
	out := connector.Membership{Generation: g.generation}
	for part := range connector.Partition(s.parts) {
		if g.owners[part] == id && !g.leaving[part] {
			out.Partitions = append(out.Partitions, part)
		}
	}
	if s.lost() {
		return connector.Membership{}, errors.Mark(ErrDown, connector.ErrUnknown)
	}
	return out, nil
}

func (g *group) expire(now time.Time) {
	for id, m := range g.members {
		if now.After(m.until) {
			delete(g.members, id)
			g.generation++
		}
	}
}

// release frees the partitions that a member was not told of when it joined before.
func (g *group) release(id string) {
	for part := range g.leaving {
		if g.owners[part] == id {
			delete(g.owners, part)
			delete(g.leaving, part)
		}
	}
}

// deal gives each partition without a living owner to the member that has fewest.
func (g *group) deal(parts int) {
	ids := slices.Sorted(maps.Keys(g.members))
	counts := map[string]int{}
	for _, id := range g.owners {
		counts[id]++
	}
	for part := range connector.Partition(parts) {
		if _, alive := g.members[g.owners[part]]; alive || len(ids) == 0 {
			continue
		}
		fewest := slices.MinFunc(ids, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
		g.owners[part] = fewest
		delete(g.leaving, part)
		counts[fewest]++
	}
}

// shed takes the partitions beyond an even share from a member, the last first.
func (g *group) shed(id string, parts int) {
	share := (parts + len(g.members) - 1) / len(g.members)
	own := 0
	for part := range connector.Partition(parts) {
		if g.owners[part] != id {
			continue
		}
		if own++; own > share && !g.leaving[part] {
			g.leaving[part] = true
			g.generation++
		}
	}
}

// Leave implements connector.Store.
func (c client) Leave(ctx context.Context, name, id string) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
	s := c.store
	s.lock()
	defer s.unlock()
	if g, ok := s.groups[name]; ok {
		delete(g.members, id)
		g.generation++
	}
	return nil
}

// Owners implements connector.Store.
func (c client) Owners(ctx context.Context, name string) ([]connector.Ownership, error) {
	if err := c.enter(ctx); err != nil {
		return nil, err
	}
	s := c.store
	s.lock()
	defer s.unlock()
	var out []connector.Ownership
	if g, ok := s.groups[name]; ok {
		for part, id := range g.owners {
			out = append(out, connector.Ownership{Partition: part, Member: id})
		}
	}
	return out, nil
}
