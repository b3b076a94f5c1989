package coordinator

import (
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/follower"
	"github.com/balsamcove/balsamcove/internal/lessor"
	"github.com/balsamcove/balsamcove/internal/publisher"
	"github.com/balsamcove/balsamcove/internal/scheduler"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// errNoSnapshot means that records have expired from the log and no snapshot holds their effect.
var errNoSnapshot = errors.New("no snapshot covers the expired records")

// ignoredRecord is the result of a record whose type does not belong into its stream.
type ignoredRecord struct{}

// configFSM is the state machine of the configuration stream.
type configFSM struct {
	publisher.Publisher
	// changed is set until configChanged has taken the last change.
	changed bool
}

var _ follower.StateMachine = (*configFSM)(nil)

// Apply applies one record.
func (f *configFSM) Apply(rec encoder.Record) any {
	body, ok := rec.Body.(encoder.Publish)
	if !ok {
		return ignoredRecord{}
	}
	f.changed = true
	return f.Publisher.Apply(body)
}

// Unmarshal replaces the state by that of a snapshot.
func (f *configFSM) Unmarshal(data []byte) error {
	f.changed = true
	return f.Publisher.Unmarshal(data)
}

// Reset accepts only a stream that has never held a record, because expired ones are needed.
func (*configFSM) Reset(base identifier.Offset) error { return requireEmptyStream(base) }

// homeFSM is the state machine of a home stream. It passes changed tasks on to the scheduler.
type homeFSM struct {
	tracker.Tracker
	postEvent func(scheduler.Event)
}

var _ follower.StateMachine = (*homeFSM)(nil)

// Apply applies one record.
func (f *homeFSM) Apply(rec encoder.Record) any {
	v := f.Tracker.Apply(rec.Body)
	if v.Applied {
		f.postEvent(scheduler.TaskChanged{Task: v.Task})
	}
	return v
}

// Unmarshal replaces the state by that of a snapshot.
func (f *homeFSM) Unmarshal(data []byte) error {
	if err := f.Tracker.Unmarshal(data); err != nil {
		return err
	}
	f.postEvent(scheduler.TasksReset{Tasks: f.All()})
	return nil
}

// Reset accepts only a stream that has never held a record, because expired ones are needed.
func (*homeFSM) Reset(base identifier.Offset) error { return requireEmptyStream(base) }

// cellFSM is the state machine of a cell stream, which holds the records of a cell lease.
type cellFSM struct{ *lessor.CellLease }

var _ follower.StateMachine = cellFSM{}

// Apply applies one record.
func (f cellFSM) Apply(rec encoder.Record) any {
	body, ok := rec.Body.(encoder.Lease)
	if !ok {
		return ignoredRecord{}
	}
	return f.CellLease.Apply(rec.ID, body)
}

// Reset starts from an empty stream, also if its records have expired: a lease without recent
// records has lapsed.
func (f cellFSM) Reset(base identifier.Offset) error {
	f.CellLease.Reset(base)
	return nil
}

// requireEmptyStream returns an error if the stream had records before base.
func requireEmptyStream(base identifier.Offset) error {
	if base > 0 {
		return errNoSnapshot
	}
	return nil
}
