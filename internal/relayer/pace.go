package relayer

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
)

const (
	// leastRelayed bounds the records of a relayed read however slow the links are, in
	// bytes: some entries of workers.
	leastRelayed = 4 << 10
	// firstPatience is the time beyond the usual that is given to a read after one that was
	// not answered in time, and mostPatience bounds it: a configuration of 300 KB as JSON
	// over 2 Mbit/s.
	firstPatience = 200 * time.Millisecond
	mostPatience  = 2 * time.Second
)

// pace is how much is read of a topic through another host at a time, and how long that
// may take beyond the usual. The link on which an answer is late may be full of other
// messages, so that the same read would be late again: less is asked for, and one that
// cannot be smaller gets more time. The zero value is ready for use.
type pace struct {
	bytes    int
	patience time.Duration
}

func (p pace) most() int {
	if p.bytes == 0 {
		return relayedBytes
	}
	return p.bytes
}

// after returns the pace after a read of most bytes.
func (p pace) after(most int, r connector.Reading, err error) pace {
	switch {
	case errors.Is(err, connector.ErrUnknown):
		return pace{max(most/2, leastRelayed), min(max(2*p.patience, firstPatience), mostPatience)}
	case err == nil && r.More:
		return pace{min(most+most/4, relayedBytes), p.patience * 7 / 8}
	case err == nil:
		return pace{most, p.patience * 7 / 8}
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

func (p *paces) get(topic connector.Topic) pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of[topic]
}

func (p *paces) note(topic connector.Topic, most int, r connector.Reading, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.of == nil {
		p.of = map[connector.Topic]pace{}
	}
	p.of[topic] = p.of[topic].after(most, r, err)
}
