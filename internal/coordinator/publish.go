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

// Publication is an operator's wish to change the configuration. With AnyBase
// it changes whatever is in force.
type Publication struct {
	ID      identifier.Publication
	Base    identifier.ConfigVersion
	AnyBase bool
	Author  string
	Sources []parser.Source
	Deletes []parser.Key
}

// rebaseTries is how often a publication without a base is tried again after
// another one came first.
const rebaseTries = 5

// Publish checks a publication against the whole configuration and puts it in
// force through the log. The error is a *refuser.Refusal; its effect is unknown
// when the log did not show the outcome before ctx ended.
func (c *Coordinator) Publish(ctx context.Context, p Publication) (publisher.Change, error) {
	for try := 0; ; try++ {
		change, err := c.publishOnce(ctx, p)
		refusal := &refuser.Refusal{}
		conflict := errors.As(err, &refusal) && refusal.Code == refuser.CodeConflict
		if !conflict || !p.AnyBase || try == rebaseTries {
			return change, err
		}
	}
}

func (c *Coordinator) publishOnce(ctx context.Context, p Publication) (publisher.Change, error) {
	rec, done, err := c.preparePublish(p)
	if err != nil || done.Version > 0 {
		return done, err
	}
	verdict, err := c.config.appender.Append(ctx, encoder.NewRecord(rec))
	if err != nil {
		return publisher.Change{}, logRefusal(err, string(p.ID))
	}
	switch v := verdict.(type) {
	case publisher.Accepted:
		return v.Change, nil
	case publisher.Conflict:
		return publisher.Change{}, conflictRefusal(p.ID, v.InForce, v.Winner)
	default:
		return publisher.Change{}, refuser.NewUnknown(refuser.CodeUnavailable, "unexpected verdict")
	}
}

// preparePublish checks a publication and returns its record, or the change if
// it was accepted before.
func (c *Coordinator) preparePublish(p Publication) (encoder.Publish, publisher.Change, error) {
	var rec encoder.Publish
	var done publisher.Change
	var err error
	c.config.follower.View(func() {
		if change, ok := c.configFold.Find(p.ID); ok {
			done = change
			return
		}
		if p.AnyBase {
			p.Base = c.configFold.Version()
		}
		if v := c.configFold.Version(); p.Base < v {
			err = c.lateConflict(p, v)
			return
		}
		var set *checker.Set
		if set, err = c.configFold.Set(); err == nil {
			rec, err = buildPublish(p, set)
		}
	})
	return rec, done, err
}

// lateConflict names the publication that changed the base first.
func (c *Coordinator) lateConflict(p Publication, inForce identifier.ConfigVersion) error {
	for _, change := range c.configFold.History() {
		if change.Version == p.Base+1 {
			return conflictRefusal(p.ID, inForce, change)
		}
	}
	return conflictRefusal(p.ID, inForce, publisher.Change{Version: inForce})
}

func buildPublish(p Publication, set *checker.Set) (encoder.Publish, error) {
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

func conflictRefusal(id identifier.Publication, inForce identifier.ConfigVersion, winner publisher.Change) error {
	r := refuser.New(refuser.CodeConflict, "version %d is in force; publication %s by %q made version %d first",
		inForce, winner.Publication, winner.Author, winner.Version)
	r.ID = string(id)
	r.Winner = string(winner.Publication)
	return r
}

// logRefusal says what a failed append may have done.
func logRefusal(err error, id string) error {
	r := refuser.NewUnknown(refuser.CodeUnavailable, "%v", err)
	if errors.Is(err, connector.ErrNotSent) {
		r.Effect = refuser.NotRun
	}
	r.ID = id
	return r
}

// InForce is the configuration in force with its version.
type InForce struct {
	Version identifier.ConfigVersion
	Set     *checker.Set
}

// Config returns the configuration in force.
func (c *Coordinator) Config() (InForce, error) {
	var out InForce
	var err error
	c.config.follower.View(func() {
		out.Version = c.configFold.Version()
		out.Set, err = c.configFold.Set()
	})
	return out, err
}

// History returns the accepted publications, oldest first.
func (c *Coordinator) History() []publisher.Change {
	var out []publisher.Change
	c.config.follower.View(func() { out = c.configFold.History() })
	return out
}
