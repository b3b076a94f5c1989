package intake

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// uncertainFor is for how long a job whose append had no answer is remembered: longer
	// than a caller tries again, and than a call without an answer may be under way.
	uncertainFor = time.Minute
	// maxUncertain bounds the jobs that are remembered; the newest are kept.
	maxUncertain = 4096
)

// uncertain remembers the jobs that may be stored although no answer said so. The zero
// value is ready for use; its methods are safe for concurrent use.
type uncertain struct {
	mu    sync.Mutex
	until map[identifier.Job]time.Time
	order []identifier.Job
}

// add remembers a job.
func (u *uncertain) add(id identifier.Job) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = map[identifier.Job]time.Time{}
	}
	if _, ok := u.until[id]; !ok {
		u.order = append(u.order, id)
	}
	u.until[id] = time.Now().Add(uncertainFor)
	if len(u.order) > maxUncertain {
		delete(u.until, u.order[0])
		u.order = u.order[1:]
	}
}

// has reports whether a job may be stored.
func (u *uncertain) has(id identifier.Job) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	until, ok := u.until[id]
	return ok && time.Now().Before(until)
}
