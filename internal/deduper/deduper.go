// Package deduper remembers the identities of non-idempotent requests, so that
// a request that the caller repeats is not executed twice.
package deduper

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Retention is how long an identity is remembered.
const Retention = 10 * time.Minute

// SendID names one send of a request by a caller. Several sends of a request have
// the same identity.
type SendID string

// NewSendID returns a name that no other send has.
func NewSendID() SendID { return SendID(identifier.NewName("send-")) }

// noted is an identity with the send that registered it first.
type noted struct {
	id   identifier.Request
	send SendID
	at   time.Time
}

// Deduper remembers identities for Memory. Its methods are safe for concurrent
// use; its state is split into shards, each under its own lock.
type Deduper struct {
	shards [shardCount]shard
}

const shardCount = 16

type shard struct {
	mu   sync.Mutex
	seen map[identifier.Request]noted
	old  []noted
}

// New returns a deduper that remembers nothing.
func New() *Deduper { return &Deduper{} }

// Register remembers an identity and reports whether it is new. The same send may
// register again, which is as new as it was.
func (d *Deduper) Register(id identifier.Request, send SendID) bool {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	if first, known := s.seen[id]; known {
		return first.send == send
	}
	if s.seen == nil {
		s.seen = map[identifier.Request]noted{}
	}
	n := noted{id, send, now}
	s.seen[id] = n
	s.old = append(s.old, n)
	return true
}

// Deregister forgets the identity of a request that was certainly not executed by
// this send. What another send has registered stays: it may be executing.
func (d *Deduper) Deregister(id identifier.Request, send SendID) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[id].send == send {
		delete(s.seen, id)
	}
}

// KnownRequests returns all remembered identities.
func (d *Deduper) KnownRequests() []identifier.Request {
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
	for len(s.old) > 0 && now.Sub(s.old[0].at) > Retention {
		if s.seen[s.old[0].id] == s.old[0] {
			delete(s.seen, s.old[0].id)
		}
		s.old = s.old[1:]
	}
}
