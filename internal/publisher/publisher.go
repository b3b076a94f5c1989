// Package publisher implements the state machine of the configuration stream: it decides in log
// order which publication is accepted, and holds the configuration in force.
package publisher

import (
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// maxHistory is the number of accepted publications that are kept in the history.
const maxHistory = 512

// ErrUnreadable marks a configuration object that this program cannot decode, such as one of a kind
// that only a later version knows.
var ErrUnreadable = errors.New("configuration object is not readable by this program")

// Change describes an accepted publication and the version that it put in force.
type Change struct {
	Publication identifier.Publication   `cbor:"1,keyasint" json:"publication"`
	Version     identifier.ConfigVersion `cbor:"2,keyasint" json:"version"`
	Author      string                   `cbor:"3,keyasint" json:"author"`
	AtUnixMs    int64                    `cbor:"4,keyasint" json:"atUnixMs"`
	Upserts     []string                 `cbor:"5,keyasint" json:"upserts,omitempty"`
	Deletes     []string                 `cbor:"6,keyasint" json:"deletes,omitempty"`
}

// Result is the outcome of a publication: Accepted or Conflict.
type Result interface{ isResult() }

// Accepted means that the publication put a version in force.
type Accepted struct{ Change Change }

// Conflict means that another publication, Winner, had replaced the base version first. InForce is
// the version in force.
type Conflict struct {
	InForce identifier.ConfigVersion
	Winner  Change
}

func (Accepted) isResult() {}
func (Conflict) isResult() {}

// Publisher holds the configuration in force. The zero value is an empty configuration at version
// zero. It is not safe for concurrent use.
type Publisher struct {
	version identifier.ConfigVersion
	// objects holds the encoded objects in force.
	objects map[parser.Key][]byte
	// decoded caches the decoded form of objects.
	decoded map[parser.Key]parser.Object
	history []Change
}

// Version returns the version in force.
func (p *Publisher) Version() identifier.ConfigVersion { return p.version }

// History returns the accepted publications, oldest first.
func (p *Publisher) History() []Change { return append([]Change(nil), p.history...) }

// Apply applies one publication and returns its result. A publication that is already in the
// history is accepted again without effect.
func (p *Publisher) Apply(rec encoder.Publish) Result {
	if accepted, ok := p.Find(rec.Publication); ok {
		return Accepted{accepted}
	}
	if rec.Base != p.version {
		return Conflict{InForce: p.version, Winner: p.changeReplacing(rec.Base)}
	}
	return Accepted{p.accept(rec)}
}

// Find returns the accepted publication with the given ID, if it is in the history.
func (p *Publisher) Find(id identifier.Publication) (Change, bool) {
	for i := len(p.history) - 1; i >= 0; i-- {
		if p.history[i].Publication == id {
			return p.history[i], true
		}
	}
	return Change{}, false
}

// changeReplacing returns the publication that replaced the version base, or only the version in
// force if that publication is no longer in the history.
func (p *Publisher) changeReplacing(base identifier.ConfigVersion) Change {
	for _, c := range p.history {
		if c.Version == base+1 {
			return c
		}
	}
	return Change{Version: p.version}
}

// accept puts a publication in force as the next version and adds it to the history.
func (p *Publisher) accept(rec encoder.Publish) Change {
	if p.objects == nil {
		p.objects = map[parser.Key][]byte{}
	}
	c := Change{Publication: rec.Publication, Version: p.version + 1, Author: rec.Author, AtUnixMs: rec.AtUnixMs}
	for _, k := range rec.Deletes {
		delete(p.objects, k)
		delete(p.decoded, k)
		c.Deletes = append(c.Deletes, k.String())
	}
	for _, o := range rec.Upserts {
		p.objects[o.Key] = o.Data
		delete(p.decoded, o.Key)
		c.Upserts = append(c.Upserts, o.Key.String())
	}
	p.version = c.Version
	p.history = append(p.history, c)
	if len(p.history) > maxHistory {
		p.history = append([]Change(nil), p.history[len(p.history)-maxHistory:]...)
	}
	return c
}

// Set returns the configuration in force, whose objects must not be modified. Only objects that
// changed since the last call are decoded. The error is marked ErrUnreadable.
func (p *Publisher) Set() (*checker.Set, error) {
	if p.decoded == nil {
		p.decoded = map[parser.Key]parser.Object{}
	}
	set := checker.NewSet()
	for k, data := range p.objects {
		obj, known := p.decoded[k]
		if !known {
			var err error
			if obj, err = decodeObject(k, data); err != nil {
				return nil, err
			}
			p.decoded[k] = obj
		}
		set.Put(obj)
	}
	return set, nil
}

func decodeObject(k parser.Key, data []byte) (parser.Object, error) {
	obj := parser.New(k.Kind)
	if obj == nil {
		return nil, errors.Mark(errors.Newf("object kind %q", k.Kind), ErrUnreadable)
	}
	if err := json.Unmarshal(data, obj); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "object %s", k), ErrUnreadable)
	}
	return obj, nil
}

// EncodeObject returns an object in the encoded form that a publication carries.
func EncodeObject(obj parser.Object) (encoder.StoredObject, error) {
	data, err := json.Marshal(obj)
	if err != nil {
		return encoder.StoredObject{}, errors.Wrapf(err, "encode %s", obj.Key())
	}
	return encoder.StoredObject{Key: obj.Key(), Data: data}, nil
}

// snapshotState is the encoded form of a Publisher.
type snapshotState struct {
	Version identifier.ConfigVersion `cbor:"1,keyasint"`
	Objects []encoder.StoredObject   `cbor:"2,keyasint"`
	History []Change                 `cbor:"3,keyasint"`
}

// Marshal returns the state for a snapshot.
func (p *Publisher) Marshal() ([]byte, error) {
	s := snapshotState{Version: p.version, History: p.history}
	for k, data := range p.objects {
		s.Objects = append(s.Objects, encoder.StoredObject{Key: k, Data: data})
	}
	sort.Slice(s.Objects, func(i, j int) bool { return s.Objects[i].Key.String() < s.Objects[j].Key.String() })
	return cbor.Marshal(s)
}

// Unmarshal replaces the state by that of a snapshot. The error is marked encoder.ErrMalformed.
func (p *Publisher) Unmarshal(data []byte) error {
	var s snapshotState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Mark(err, encoder.ErrMalformed)
	}
	*p = Publisher{version: s.Version, objects: map[parser.Key][]byte{}, history: s.History}
	for _, o := range s.Objects {
		p.objects[o.Key] = o.Data
	}
	return nil
}
