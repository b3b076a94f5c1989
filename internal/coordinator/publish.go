package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/publisher"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// Publication is an operator's request to change the configuration. It is accepted only while
// version Base is in force; with AnyBase, whatever version is in force.
type Publication struct {
	ID      identifier.Publication
	Base    identifier.ConfigVersion
	AnyBase bool
	Author  string
	Sources []parser.Source
	Deletes []parser.Key
}

// maxRebaseRetries is how often a publication with AnyBase is retried after another publication
// came first.
const maxRebaseRetries = 5

// Publish checks a publication together with the rest of the configuration and puts it in force
// through the log. The error is a *refuser.Refusal, whose effect is unknown if ctx ended after the
// record may have reached the log. Publishing again under the same ID has no further effect.
func (c *Coordinator) Publish(ctx context.Context, p Publication) (publisher.Change, error) {
	for try := 0; ; try++ {
		change, err := c.publishOnce(ctx, p)
		refusal := &refuser.Refusal{}
		conflict := errors.As(err, &refusal) && refusal.Code == refuser.CodeConflict
		if !conflict || !p.AnyBase || try == maxRebaseRetries {
			return change, err
		}
	}
}

func (c *Coordinator) publishOnce(ctx context.Context, p Publication) (publisher.Change, error) {
	rec, accepted, err := c.preparePublish(p)
	if err != nil || accepted.Version > 0 {
		return accepted, err
	}
	result, err := c.config.appender.Append(ctx, encoder.NewRecord(rec))
	if err != nil {
		return publisher.Change{}, appendRefusal(err, string(p.ID))
	}
	switch v := result.(type) {
	case publisher.Accepted:
		return v.Change, nil
	case publisher.Conflict:
		return publisher.Change{}, conflictRefusal(p.ID, v.InForce, v.Winner)
	default:
		return publisher.Change{}, refuser.NewUnknown(refuser.CodeUnavailable, "unexpected verdict")
	}
}

// preparePublish checks a publication and returns its record, or the change if the publication was
// accepted before.
func (c *Coordinator) preparePublish(p Publication) (encoder.Publish, publisher.Change, error) {
	var rec encoder.Publish
	var accepted publisher.Change
	var err error
	c.config.follower.View(func() {
		if change, ok := c.configFSM.Find(p.ID); ok {
			accepted = change
			return
		}
		if p.AnyBase {
			p.Base = c.configFSM.Version()
		}
		if v := c.configFSM.Version(); p.Base < v {
			err = c.staleBaseConflict(p, v)
			return
		}
		var set *checker.Set
		if set, err = c.configFSM.Set(); err == nil {
			rec, err = buildPublishRecord(p, set)
		}
	})
	return rec, accepted, err
}

// staleBaseConflict returns the refusal of a publication whose base is no longer in force. It names
// the publication that replaced the base, if that is still in the history.
func (c *Coordinator) staleBaseConflict(p Publication, inForce identifier.ConfigVersion) error {
	for _, change := range c.configFSM.History() {
		if change.Version == p.Base+1 {
			return conflictRefusal(p.ID, inForce, change)
		}
	}
	return conflictRefusal(p.ID, inForce, publisher.Change{Version: inForce})
}

// buildPublishRecord returns the record of a publication, or a refusal with all problems if the
// changed configuration would not be valid. It changes set.
func buildPublishRecord(p Publication, set *checker.Set) (encoder.Publish, error) {
	parsed := parser.Parse(p.Sources)
	var problems []parser.Problem
	rec := encoder.Publish{
		Publication: p.ID, Base: p.Base, Author: p.Author,
		AtUnixMs: time.Now().UnixMilli(), Deletes: p.Deletes,
	}
	for _, k := range p.Deletes {
		if !set.Delete(k) {
			problems = append(problems, parser.Problem{Field: k.String(), Wrong: "there is no such object to delete"})
		}
	}
	for _, obj := range parsed.Objects {
		set.Put(obj)
		stored, err := publisher.EncodeObject(obj)
		if err != nil {
			return rec, err
		}
		rec.Upserts = append(rec.Upserts, stored)
	}
	problems = append(problems, checker.Check(set, parsed)...)
	if len(rec.Upserts)+len(rec.Deletes) == 0 && len(problems) == 0 {
		problems = append(problems, parser.Problem{Wrong: "nothing to publish", Want: "at least one object"})
	}
	if len(problems) > 0 {
		return rec, &refuser.Refusal{
			Code: refuser.CodeInvalid, Effect: refuser.NotRun, ID: string(p.ID),
			Message: fmt.Sprintf("%d problems", len(problems)), Problems: problems,
		}
	}
	return rec, nil
}

// conflictRefusal returns the refusal of a publication because winner replaced its base first.
func conflictRefusal(id identifier.Publication, inForce identifier.ConfigVersion, winner publisher.Change) error {
	r := refuser.New(refuser.CodeConflict, "version %d is in force; publication %s by %q made version %d first",
		inForce, winner.Publication, winner.Author, winner.Version)
	r.ID = string(id)
	r.Winner = string(winner.Publication)
	return r
}

// appendRefusal returns the refusal for a failed append; id names the publication or task. Its
// effect is "not run" only if the record is certainly not in the log.
func appendRefusal(err error, id string) error {
	r := refuser.NewUnknown(refuser.CodeUnavailable, "%v", err)
	if errors.Is(err, connector.ErrNotSent) {
		r.Effect = refuser.NotRun
	}
	r.ID = id
	return r
}

// VersionedConfig is the configuration in force with its version.
type VersionedConfig struct {
	Version identifier.ConfigVersion
	Set     *checker.Set
}

// Config returns the configuration in force with its version. The error is marked
// publisher.ErrUnreadable.
func (c *Coordinator) Config() (VersionedConfig, error) {
	var out VersionedConfig
	var err error
	c.config.follower.View(func() {
		out.Version = c.configFSM.Version()
		out.Set, err = c.configFSM.Set()
	})
	return out, err
}

// History returns the accepted publications, oldest first.
func (c *Coordinator) History() []publisher.Change {
	var out []publisher.Change
	c.config.follower.View(func() { out = c.configFSM.History() })
	return out
}
