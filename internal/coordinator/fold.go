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

// errNoSnapshot says that records expired before a snapshot was written.
var errNoSnapshot = errors.New("no snapshot covers the expired records")

// ignored is the verdict of a record that does not belong to its stream.
type ignored struct{}

// configFold folds the configuration stream.
type configFold struct {
	publisher.Publisher
	changed bool
}

var _ follower.StateMachine = (*configFold)(nil)

// Apply folds one record.
func (f *configFold) Apply(rec encoder.Record) any {
	body, ok := rec.Body.(encoder.Publish)
	if !ok {
		return ignored{}
	}
	f.changed = true
	return f.Publisher.Apply(body)
}

// Unmarshal takes the state of a snapshot.
func (f *configFold) Unmarshal(data []byte) error {
	f.changed = true
	return f.Publisher.Unmarshal(data)
}

// Reset accepts only a stream that never held a record.
func (*configFold) Reset(base identifier.Offset) error { return resetOnlyEmpty(base) }

// homeFold folds a home stream and passes changed tasks on.
type homeFold struct {
	tracker.Tracker
	post func(scheduler.Event)
}

var _ follower.StateMachine = (*homeFold)(nil)

// Apply folds one record.
func (f *homeFold) Apply(rec encoder.Record) any {
	v := f.Tracker.Apply(rec.Body)
	if v.Applied {
		f.post(scheduler.TaskChanged{Task: v.Task})
	}
	return v
}

// Unmarshal takes the state of a snapshot.
func (f *homeFold) Unmarshal(data []byte) error {
	if err := f.Tracker.Unmarshal(data); err != nil {
		return err
	}
	f.post(scheduler.TasksReset{Tasks: f.All()})
	return nil
}

// Reset accepts only a stream that never held a record.
func (*homeFold) Reset(base identifier.Offset) error { return resetOnlyEmpty(base) }

// cellFold folds a cell stream.
type cellFold struct{ *lessor.CellLease }

var _ follower.StateMachine = cellFold{}

// Apply folds one record.
func (f cellFold) Apply(rec encoder.Record) any {
	body, ok := rec.Body.(encoder.Lease)
	if !ok {
		return ignored{}
	}
	return f.CellLease.Apply(rec.ID, body)
}

// Reset starts from any empty stream: an expired lease holds nothing.
func (f cellFold) Reset(base identifier.Offset) error {
	f.CellLease.Reset(base)
	return nil
}

func resetOnlyEmpty(base identifier.Offset) error {
	if base > 0 {
		return errNoSnapshot
	}
	return nil
}
