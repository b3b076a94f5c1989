// Package simulator implements in-memory stand-ins for the platform's store and for workers that
// run the tasks of jobs. Tests inject faults into them and check their records.
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

// ErrDown is returned for a call to a store or worker that does not answer.
var ErrDown = errors.New("stand-in does not answer")

const (
	// callLatency is the duration of a store call without faults.
	callLatency = 4 * time.Millisecond
	// rememberedAppends is the number of latest appends per writer that are deduplicated.
	rememberedAppends = 5
)

type partitionKey struct {
	topic connector.Topic
	part  connector.Partition
}

type partition struct {
	records        []connector.KeyedRecord
	firstOffset    identifier.Offset
	newestByKey    map[string]connector.KeyedRecord
	writer         connector.WriterID
	ackedSequences map[uint64]identifier.Offset
	changed        chan struct{}
}

func (p *partition) end() identifier.Offset { return p.firstOffset + identifier.Offset(len(p.records)) }

type member struct {
	expiresAt  time.Time
	generation uint64
}

type group struct {
	generation uint64
	members    map[string]*member
	owners     map[connector.Partition]string
	// releasing are partitions that have been withheld from their owner's latest membership.
	// They are reassigned when the owner joins again, as it has stopped using them by then.
	releasing map[connector.Partition]bool
}

// StoreFaults are the faults injected into a store. The zero value injects none.
type StoreFaults struct {
	// Down makes every call time out with ErrUnknown, without any effect.
	Down bool
	// LoseAnswers is the fraction of writes, 0 to 1, that take effect but report ErrUnknown.
	LoseAnswers float64
	// Slow is added to the duration of every call.
	Slow time.Duration
	// Refused are the clients whose calls fail with ErrBusy.
	Refused map[string]bool
	// Silent are the clients whose calls time out.
	Silent map[string]bool
}

// Store simulates the platform's store: keyed topics and member groups that share partitions.
// Its methods are safe for concurrent use.
type Store struct {
	partitionCount int

	mu         chan struct{}
	rand       *rand.Rand
	faults     StoreFaults
	partitions map[partitionKey]*partition
	groups     map[string]*group
	calls      int
}

// NewStore returns an empty store. Each group distributes the given number of partitions among
// its members, and the seed determines which answers are lost.
func NewStore(parts int, seed uint64) *Store {
	s := &Store{
		partitionCount: parts, mu: make(chan struct{}, 1), rand: rand.New(rand.NewPCG(seed, seed)),
		partitions: map[partitionKey]*partition{}, groups: map[string]*group{},
	}
	return s
}

// lock uses a channel because a goroutine blocked on a mutex does not count as idle, and so keeps
// the fake clock of testing/synctest from advancing.
func (s *Store) lock()   { s.mu <- struct{}{} }
func (s *Store) unlock() { <-s.mu }

// SetFaults replaces the faults of the store.
func (s *Store) SetFaults(f StoreFaults) {
	s.lock()
	defer s.unlock()
	s.faults = f
}

// Calls returns the number of calls so far.
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
			p.firstOffset, p.records = p.end(), nil
			close(p.changed)
			p.changed = make(chan struct{})
		}
	}
}

// Client returns a connection to the store under a client name, to which StoreFaults refer.
func (s *Store) Client(name string) connector.Store { return client{s, name} }

type client struct {
	store *Store
	name  string
}

// beginCall waits for the duration of a call, or fails it as the store's faults say.
func (c client) beginCall(ctx context.Context) error {
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
	return wait(ctx, callLatency+faults.Slow)
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

// losesAnswer decides at random whether the answer to a write is lost.
func (s *Store) losesAnswer() bool { return s.rand.Float64() < s.faults.LoseAnswers }

// partition returns a partition of a topic and creates it if needed.
func (s *Store) partition(topic connector.Topic, part connector.Partition) *partition {
	key := partitionKey{topic, part}
	p, ok := s.partitions[key]
	if !ok {
		p = &partition{newestByKey: map[string]connector.KeyedRecord{}, ackedSequences: map[uint64]identifier.Offset{}, changed: make(chan struct{})}
		s.partitions[key] = p
	}
	return p
}

// Append implements connector.Store.
func (c client) Append(ctx context.Context, a connector.KeyedAppend) (identifier.Offset, error) {
	if err := c.beginCall(ctx); err != nil {
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
		if end, done, err := p.checkWriter(*a.Writer); done || err != nil {
			return end, err
		}
	}
	if a.ExpectedEnd != nil && *a.ExpectedEnd != p.end() {
		return 0, errors.Mark(errors.Newf("partition ends at %d", p.end()), connector.ErrConflict)
	}
	p.appendRecords(a)
	if s.losesAnswer() {
		return 0, errors.Mark(ErrDown, connector.ErrUnknown)
	}
	return p.end(), nil
}

// checkSizes returns ErrRefused if an append or one of its records exceeds the size limits.
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

// checkWriter checks the epoch and sequence of a writer. Done is set if the append is a duplicate,
// and end is then its original result. It returns ErrFenced for an old epoch and ErrConflict for
// a gap in the sequence.
func (p *partition) checkWriter(w connector.WriterID) (end identifier.Offset, done bool, err error) {
	switch {
	case w.Epoch < p.writer.Epoch:
		return 0, false, errors.Mark(errors.New("another writer has a higher epoch"), connector.ErrFenced)
	case w.Epoch > p.writer.Epoch:
		clear(p.ackedSequences)
		return 0, false, nil
	}
	if end, ok := p.ackedSequences[w.Sequence]; ok {
		return end, true, nil
	}
	if w.Sequence != p.writer.Sequence+1 {
		return 0, false, errors.Mark(errors.Newf("sequence %d after %d", w.Sequence, p.writer.Sequence), connector.ErrConflict)
	}
	return 0, false, nil
}

func (p *partition) appendRecords(a connector.KeyedAppend) {
	for _, r := range a.Records {
		r.Offset = p.end()
		r.Value = slices.Clone(r.Value)
		p.records = append(p.records, r)
		if len(r.Value) == 0 {
			delete(p.newestByKey, r.Key)
		} else {
			p.newestByKey[r.Key] = r
		}
	}
	if a.Writer != nil {
		p.writer = *a.Writer
		p.ackedSequences[a.Writer.Sequence] = p.end()
		delete(p.ackedSequences, a.Writer.Sequence-rememberedAppends)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Newest implements connector.Store; it returns all records in one page.
func (c client) Newest(ctx context.Context, topic connector.Topic, part connector.Partition, after string) (connector.KeyedPage, error) {
	if err := c.beginCall(ctx); err != nil {
		return connector.KeyedPage{}, err
	}
	s := c.store
	s.lock()
	defer s.unlock()
	p := s.partition(topic, part)
	page := connector.KeyedPage{End: p.end()}
	for key, r := range p.newestByKey {
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
	if err := c.beginCall(ctx); err != nil {
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
	if from < p.firstOffset {
		return connector.ReadResult{}, errors.Mark(errors.Newf("records before %d are gone", p.firstOffset), connector.ErrExpired)
	}
	if from >= p.end() {
		return connector.ReadResult{Next: from}, nil
	}
	return connector.ReadResult{Records: slices.Clone(p.records[from-p.firstOffset:]), Next: p.end()}, nil
}

// Join implements connector.Store.
func (c client) Join(ctx context.Context, name string, _ connector.Topic, id string, generation uint64, ttl time.Duration) (connector.Membership, error) {
	if err := c.beginCall(ctx); err != nil {
		return connector.Membership{}, err
	}
	s := c.store
	s.lock()
	defer s.unlock()
	g, ok := s.groups[name]
	if !ok {
		g = &group{members: map[string]*member{}, owners: map[connector.Partition]string{}, releasing: map[connector.Partition]bool{}}
		s.groups[name] = g
	}
	now := time.Now()
	if _, known := g.members[id]; !known {
		g.members[id] = &member{}
		g.generation++
	}
	g.members[id].expiresAt, g.members[id].generation = now.Add(ttl), generation
	g.expireMembers(now)
	g.freeReleased(id)
	g.assignOrphans(s.partitionCount)
	g.releaseExcess(id, s.partitionCount)
	out := connector.Membership{Generation: g.generation}
	for part := range connector.Partition(s.partitionCount) {
		if g.owners[part] == id && !g.releasing[part] {
			out.Partitions = append(out.Partitions, part)
		}
	}
	if s.losesAnswer() {
		return connector.Membership{}, errors.Mark(ErrDown, connector.ErrUnknown)
	}
	return out, nil
}

// expireMembers removes the members whose membership has expired.
func (g *group) expireMembers(now time.Time) {
	for id, m := range g.members {
		if now.After(m.expiresAt) {
			delete(g.members, id)
			g.generation++
		}
	}
}

// freeReleased removes a member as owner of the partitions that were withheld from it at its
// previous Join.
func (g *group) freeReleased(id string) {
	for part := range g.releasing {
		if g.owners[part] == id {
			delete(g.owners, part)
			delete(g.releasing, part)
		}
	}
}

// assignOrphans assigns each partition without a live owner to the member with the fewest.
func (g *group) assignOrphans(parts int) {
	ids := slices.Sorted(maps.Keys(g.members))
	counts := map[string]int{}
	for _, id := range g.owners {
		counts[id]++
	}
	for part := range connector.Partition(parts) {
		if _, alive := g.members[g.owners[part]]; alive || len(ids) == 0 {
			continue
		}
		leastLoaded := slices.MinFunc(ids, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
		g.owners[part] = leastLoaded
		delete(g.releasing, part)
		counts[leastLoaded]++
	}
}

// releaseExcess marks a member's partitions beyond an even share as releasing, keeping those with
// the lowest numbers.
func (g *group) releaseExcess(id string, parts int) {
	share := (parts + len(g.members) - 1) / len(g.members)
	owned := 0
	for part := range connector.Partition(parts) {
		if g.owners[part] != id {
			continue
		}
		if owned++; owned > share && !g.releasing[part] {
			g.releasing[part] = true
			g.generation++
		}
	}
}

// Leave implements connector.Store.
func (c client) Leave(ctx context.Context, name, id string) error {
	if err := c.beginCall(ctx); err != nil {
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
	if err := c.beginCall(ctx); err != nil {
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
