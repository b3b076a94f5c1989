// Package deduper remembers the IDs of non-idempotent requests, so that a request that the caller
// repeats is not executed twice.
package deduper

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Retention is how long the ID of a request is remembered.
const Retention = 10 * time.Minute

// SendID identifies one send of a request by a caller. All sends of a request share its request ID.
type SendID string

// NewSendID returns a unique SendID.
func NewSendID() SendID { return SendID(identifier.NewName("send-")) }

// registration is a request ID with the send that registered it first.
type registration struct {
	id           identifier.Request
	send         SendID
	registeredAt time.Time
}

// Deduper remembers request IDs for Retention. Its methods are safe for concurrent use; its state
// is split into shards, each with its own lock.
type Deduper struct {
	shards [shardCount]shard
}

const shardCount = 16

// shard holds the registrations of some request IDs. oldestFirst lists them by age for expiry and
// may still contain deregistered ones.
type shard struct {
	mu          sync.Mutex
	byID        map[identifier.Request]registration
	oldestFirst []registration
}

// New returns an empty Deduper.
func New() *Deduper { return &Deduper{} }

// Register remembers a request ID and reports whether the request may be executed for this send:
// no other send has registered the ID within Retention. The same send may register it repeatedly.
func (d *Deduper) Register(id identifier.Request, send SendID) bool {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	if first, ok := s.byID[id]; ok {
		return first.send == send
	}
	if s.byID == nil {
		s.byID = map[identifier.Request]registration{}
	}
	r := registration{id, send, now}
	s.byID[id] = r
	s.oldestFirst = append(s.oldestFirst, r)
	return true
}

// Deregister forgets the ID of a request that was certainly not executed by this send. An ID that
// another send has registered is kept, since that send may be executing.
func (d *Deduper) Deregister(id identifier.Request, send SendID) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[id].send == send {
		delete(s.byID, id)
	}
}

// KnownRequests returns all remembered request IDs in no particular order.
func (d *Deduper) KnownRequests() []identifier.Request {
	var out []identifier.Request
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		s.expire(time.Now())
		for id := range s.byID {
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
	for len(s.oldestFirst) > 0 && now.Sub(s.oldestFirst[0].registeredAt) > Retention {
		if s.byID[s.oldestFirst[0].id] == s.oldestFirst[0] {
			delete(s.byID, s.oldestFirst[0].id)
		}
		s.oldestFirst = s.oldestFirst[1:]
	}
}
