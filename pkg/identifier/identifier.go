// Package identifier holds the named types for identities and counters that
// every other package shares.
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
	// Task identifies one submitted task; it doubles as its idempotency key.
	Task string
	// Worker identifies a machine that runs tasks under leases.
	Worker string
	// Minion identifies a back end that answers requests of a service.
	Minion string
	// Entry identifies one entry host by the name in its settings.
	Entry string
	// Incarnation tells apart two processes that used the same entry name.
	Incarnation string
	// Request identifies one caller request.
	Request string
	// Publication identifies one attempt to change the configuration.
	Publication string
	// Stream names one stream of the platform's log.
	Stream string
	// Lease identifies the lease that a worker granted to a cell holder.
	Lease string
)

type (
	// Offset is a position in a log stream.
	Offset uint64
	// Epoch numbers the holders of a cell lease; it is the fencing token.
	Epoch uint64
	// Attempt numbers the executions of a task, from one.
	Attempt uint32
	// ConfigVersion numbers accepted publications, from one.
	ConfigVersion uint64
	// RecordID identifies one record, so that a repeated append is harmless.
	RecordID uint64
)

// ConfigStream is the stream that orders publications.
const ConfigStream Stream = "config"

// CellStream returns the stream that orders the lease of a data centre's cell.
func CellStream(dc DataCentre) Stream { return Stream("cell-" + string(dc)) }

// HomeStream returns the stream that orders the life of the tasks of a shard.
func HomeStream(shard int) Stream {
	return Stream(fmt.Sprintf("home-%02d", shard))
}

// HomeShard returns the shard, below shards, that is the authority on a task.
func HomeShard(id Task, shards int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(shards))
}

// NewRecordID returns a random record identity.
func NewRecordID() RecordID {
	u := uuid.New()
	return RecordID(binary.BigEndian.Uint64(u[8:]) ^ binary.BigEndian.Uint64(u[:8]))
}

// NewName returns a random name with the given prefix.
func NewName(prefix string) string { return prefix + uuid.NewString() }

// Rank orders candidates for a key by rendezvous hashing: the candidate with
// the highest rank comes first, and removing one leaves the others in order.
func Rank(key, candidate string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(candidate)
	return h.Sum64()
}
