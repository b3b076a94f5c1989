package relayer

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// minRelayedBytes is the smallest limit, in bytes, to which a read through a peer shrinks. It
// holds a few worker entries, so that reading advances over any link.
const minRelayedBytes = 4 << 10

// readSize is the adaptive limit, in bytes, of one read of a topic through a peer. An answer may
// be late because other messages fill the link; the same read would then be late again, so the
// limit shrinks after a timeout and grows again after a success. The zero value is ready for use.
type readSize struct{ bytes int }

func (s readSize) limit() int {
	if s.bytes == 0 {
		return maxRelayedBytes
	}
	return s.bytes
}

// next returns the limit after a read of up to requested bytes: half of it if the outcome of the
// read is unknown, as after a timeout, and a quarter more if it succeeded and left records (more).
func (s readSize) next(requested int, more bool, err error) readSize {
	switch {
	case errors.Is(err, connector.ErrUnknown):
		return readSize{max(requested/2, minRelayedBytes)}
	case err == nil && more:
		return readSize{min(requested+requested/4, maxRelayedBytes)}
	default:
		return s
	}
}

// readSizes holds the read limit of each topic. The zero value is ready for use; its methods are
// safe for concurrent use.
type readSizes struct {
	mu      sync.Mutex
	byTopic map[connector.Topic]readSize
}

func (s *readSizes) limit(topic connector.Topic) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byTopic[topic].limit()
}

func (s *readSizes) update(topic connector.Topic, requested int, more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTopic == nil {
		s.byTopic = map[connector.Topic]readSize{}
	}
	s.byTopic[topic] = s.byTopic[topic].next(requested, more, err)
}
