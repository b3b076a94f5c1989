package relayer

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// leastRelayed bounds the records of a relayed read however slow the links are, in bytes:
// some entries of workers.
const leastRelayed = 4 << 10

// pace is how many bytes are read of a topic through another host at a time. The link on
// which an answer is late may be full of other messages, so that the same read would be
// late again. The zero value is ready for use.
type pace struct{ bytes int }

func (p pace) most() int {
	if p.bytes == 0 {
		return relayedBytes
	}
	return p.bytes
}

// after returns the pace after a read of most bytes; more is set if it left records.
func (p pace) after(most int, more bool, err error) pace {
	switch {
	case errors.Is(err, connector.ErrUnknown):
		return pace{max(most/2, leastRelayed)}
	case err == nil && more:
		return pace{min(most+most/4, relayedBytes)}
	default:
		return p
	}
}

// paces are those of the topics that are read. The zero value is ready for use; its
// methods are safe for concurrent use.
type paces struct {
	mu sync.Mutex
	of map[connector.Topic]pace
}

func (p *paces) most(topic connector.Topic) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of[topic].most()
}

func (p *paces) note(topic connector.Topic, most int, more bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.of == nil {
		p.of = map[connector.Topic]pace{}
	}
	p.of[topic] = p.of[topic].after(most, more, err)
}
