package dispatcher

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// seenFor is for how long at least a submission that was read is remembered: many times as
// long as callers repeat one.
const seenFor = time.Minute

// seenJobs remembers which submissions were read lately, so that a question about one does
// not wait for the planner. The zero value is ready for use; its methods are safe for
// concurrent use.
type seenJobs struct {
	mu           sync.Mutex
	newer, older map[identifier.Job]struct{}
	since        time.Time
}

// add remembers a job.
func (s *seenJobs) add(id identifier.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.newer == nil || now.Sub(s.since) >= seenFor {
		s.older, s.newer, s.since = s.newer, map[identifier.Job]struct{}{}, now
	}
	s.newer[id] = struct{}{}
}

// has reports whether a job was read lately.
func (s *seenJobs) has(id identifier.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.newer[id]; ok {
		return true
	}
	_, ok := s.older[id]
	return ok
}
