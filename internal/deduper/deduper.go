// Package deduper remembers the identities of non-idempotent requests, so that
// a request that the caller repeats is not executed twice.
package deduper

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Memory is how long an identity is remembered.
const Memory = 10 * time.Minute

type noted struct {
	id identifier.Request
	at time.Time
}

// Deduper remembers identities for Memory. Its methods are safe for concurrent
// use; its state is split into shards, each under its own lock.
type Deduper struct {
	shards [shardCount]shard
}

const shardCount = 16

type shard struct {
	mu   sync.Mutex
	seen map[identifier.Request]time.Time
	old  []noted
}

// New returns a deduper that remembers nothing.
func New() *Deduper { return &Deduper{} }

// Register remembers an identity and reports whether it is new.
func (d *Deduper) Register(id identifier.Request) bool {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	if _, known := s.seen[id]; known {
		return false
	}
	if s.seen == nil {
		s.seen = map[identifier.Request]time.Time{}
	}
	s.seen[id] = now
	s.old = append(s.old, noted{id, now})
	return true
}

// Deregister forgets the identity of a request that was certainly not executed.
func (d *Deduper) Deregister(id identifier.Request) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.seen, id)
}

// Known returns all remembered identities.
func (d *Deduper) Known() []identifier.Request {
	var out []identifier.Request
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		s.expire(time.Now())
		for id := range s.seen {
			out = append(out, id)
		}
		s.mu.Unlock()
	}
	return out
}

func (d *Deduper) shard(id identifier.Request) *shard {
	return &d.shards[identifier.Rank("dedupe", string(id))%shardCount]
}

func (s *shard) expire(now time.Time) {
	for len(s.old) > 0 && now.Sub(s.old[0].at) > Memory {
		if at, ok := s.seen[s.old[0].id]; ok && at.Equal(s.old[0].at) {
			delete(s.seen, s.old[0].id)
		}
		s.old = s.old[1:]
	}
}
