// Package identifier defines the ID, counter and quantity types that the other packages share,
// and the hashing of IDs to shards.
package identifier

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

type (
	// DataCentre names a data centre, the unit operators drain and restore.
	DataCentre string
	// Region names a group of data centres that share a wide-area network.
	Region string
	// Team names an owner of services and batch pools.
	Team string
	// Policy names a placement policy.
	Policy string
	// Service names a latency-critical service.
	Service string
	// Pool names a batch pool.
	Pool string
	// Task identifies a submitted task and is its idempotency key.
	Task string
	// Worker identifies a machine that runs tasks under leases.
	Worker string
	// Minion identifies a back end that answers requests of a service.
	Minion string
	// Entry identifies an entry host by the name in its settings.
	Entry string
	// Incarnation distinguishes the processes that have run under the same entry name, such as
	// before and after a restart.
	Incarnation string
	// Request identifies a caller's request.
	Request string
	// Publication identifies an attempt to change the configuration.
	Publication string
	// Stream names a stream of the platform's log.
	Stream string
	// Lease identifies the lease that a worker granted to a cell holder.
	Lease string
)

type (
	// Offset is a position in a log stream.
	Offset uint64
	// Epoch numbers the successive holders of a cell lease and is their fencing token.
	Epoch uint64
	// Attempt numbers the executions of a task, from one.
	Attempt uint32
	// ConfigVersion numbers accepted publications, from one.
	ConfigVersion uint64
	// RecordID identifies a log record, so that a retried append can be recognised.
	RecordID uint64
)

// ConfigStream is the log stream that puts publications in order.
const ConfigStream Stream = "config"

// CellStream returns the log stream that records the lease on a data centre's cell.
func CellStream(dc DataCentre) Stream { return Stream("cell-" + string(dc)) }

// HomeStream returns the log stream that records the state changes of the tasks of a home shard.
func HomeStream(shard int) Stream {
	return Stream(fmt.Sprintf("home-%02d", shard))
}

// HomeShard returns the shard, from 0 to shards-1, that holds the authoritative state of a task.
func HomeShard(id Task, shards int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(shards))
}

// NewRecordID returns a random record ID.
func NewRecordID() RecordID {
	u := uuid.New()
	return RecordID(binary.BigEndian.Uint64(u[8:]) ^ binary.BigEndian.Uint64(u[:8]))
}

// NewName returns the prefix followed by a random UUID.
func NewName(prefix string) string { return prefix + uuid.NewString() }

// Rank returns the rendezvous hash of a candidate for a key. The candidate with the highest rank
// is preferred; removing a candidate does not change the order of the others.
func Rank(key, candidate string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(candidate)
	return h.Sum64()
}
