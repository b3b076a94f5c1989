// Package authenticator checks the API keys of teams. It holds only hashes of keys.
package authenticator

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// MaxKeyBytes limits the length of a key.
const MaxKeyBytes = 256

// fingerprintBytes is how much of a key's hash is logged.
const fingerprintBytes = 6

var (
	// ErrKey marks the error for a key that is empty, too long or contains other bytes than visible
	// ASCII characters.
	ErrKey = errors.New("malformed key")
	// ErrTaken marks the error for a key that another team holds.
	ErrTaken = errors.New("key belongs to another team")
)

// holder is a key, by its hash, and the team that holds it.
type holder struct {
	hash [sha256.Size]byte
	team identifier.Team
}

// Keys are the keys of all teams. They are immutable and safe for concurrent use. The zero value
// has none.
type Keys struct {
	// byPrefix holds the keys by the beginning of their hashes.
	byPrefix map[uint64][]holder
	count    int
}

// Builder collects keys.
type Builder struct{ keys Keys }

// Add adds a key of a team. The error is marked ErrKey or ErrTaken, and does not contain the key.
func (b *Builder) Add(team identifier.Team, key string) error {
	if !isWellFormed([]byte(key)) {
		return errors.Mark(errors.Newf("a key of team %s is not 1 to %d visible ASCII characters", team, MaxKeyBytes), ErrKey)
	}
	hash := sha256.Sum256([]byte(key))
	if owner, ok := b.keys.find(hash); ok {
		if owner == team {
			return nil
		}
		return errors.Mark(errors.Newf("key %s of team %s is held by team %s", fingerprint(hash), team, owner), ErrTaken)
	}
	if b.keys.byPrefix == nil {
		b.keys.byPrefix = map[uint64][]holder{}
	}
	prefix := prefixOf(hash)
	b.keys.byPrefix[prefix] = append(b.keys.byPrefix[prefix], holder{hash, team})
	b.keys.count++
	return nil
}

// Keys returns the keys that were added. The builder must not be used any more.
func (b *Builder) Keys() Keys { return b.keys }

// Len returns the number of keys.
func (k Keys) Len() int { return k.count }

// Check returns the team that holds a key.
func (k Keys) Check(key []byte) (team identifier.Team, ok bool) {
	if !isWellFormed(key) {
		return "", false
	}
	return k.find(sha256.Sum256(key))
}

// find returns the team that holds the key with a hash. Its time does not depend on how much of a
// hash agrees beyond the prefix.
func (k Keys) find(hash [sha256.Size]byte) (team identifier.Team, ok bool) {
	for _, h := range k.byPrefix[prefixOf(hash)] {
		if subtle.ConstantTimeCompare(h.hash[:], hash[:]) == 1 {
			return h.team, true
		}
	}
	return "", false
}

func prefixOf(hash [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(hash[:]) }

func isWellFormed(key []byte) bool {
	if len(key) == 0 || len(key) > MaxKeyBytes {
		return false
	}
	for _, c := range key {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// Fingerprint identifies a key in the log without revealing it: the beginning of its hash, or ""
// for an empty key.
func Fingerprint(key []byte) string {
	if len(key) == 0 {
		return ""
	}
	return fingerprint(sha256.Sum256(key))
}

func fingerprint(hash [sha256.Size]byte) string { return hex.EncodeToString(hash[:fingerprintBytes]) }

// bearer is the only supported scheme of the Authorization header.
const bearer = "Bearer"

// BearerKey returns the key in an Authorization header of the form "Bearer KEY". ok is false for
// any other form.
func BearerKey(header []byte) (key []byte, ok bool) {
	scheme, key, ok := bytes.Cut(header, []byte(" "))
	if !ok || !bytes.EqualFold(scheme, []byte(bearer)) {
		return nil, false
	}
	key = bytes.TrimLeft(key, " ")
	return key, isWellFormed(key)
}
