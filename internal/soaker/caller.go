package soaker

import (
	"context"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/client"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"

	"github.com/balsamcove/balsamcove/internal/auditor"
	"github.com/balsamcove/balsamcove/internal/drafter"
)

const (
	// callTimeout is the callers' time budget (SYSTEM.md).
	callTimeout = 3 * time.Second
	// retries is how often a caller tries again (SYSTEM.md), retryPause after what pause if
	// the host does not tell.
	retries    = 4
	retryPause = 500 * time.Millisecond
	// askPeriod is the pause between two questions about a job.
	askPeriod = 700 * time.Millisecond
	// askedOnce is how often an ended job is asked for again, each after afterEnd.
	askedOnce, afterEnd = 3, 2 * time.Second
	// impatientEvery is how many callers there are for one that does not try again what was
	// refused as not run.
	impatientEvery = 2
)

// call makes one call of a host and records what came of it.
func (r *run) call(kind auditor.CallKind, id identifier.Job, host int, do func(*client.Client) (string, error)) auditor.Call {
	c := auditor.Call{Kind: kind, Job: id, Host: host, Sent: time.Now()}
	state, err := do(r.clients[host])
	c.Answered, c.State = time.Now(), state
	if err != nil {
		c.Refusal, c.State = refuser.From(err), ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Calls = append(r.history.Calls, c)
	return c
}

// serve does what the caller of a job does, until ctx ends or the job has ended.
func (r *run) serve(ctx context.Context, n int, e drafter.JobEvent) {
	if !r.submit(ctx, n, e) {
		return
	}
	cancelAt := time.Now().Add(e.CancelAfter)
	cancelled := false
	for host := e.Host; ctx.Err() == nil; host++ {
		wanted := e.CancelAfter > 0 && time.Now().After(cancelAt) || drafter.IsLongRunning(e.Job.ID) && r.lastingOver()
		if wanted && !cancelled {
			cancelled = r.cancel(ctx, e, host)
		}
		c := r.ask(ctx, e, host)
		if c.Refusal == nil && planner.JobState(c.State).Ended() {
			break
		}
		sleeper.Pause(ctx, askPeriod)
	}
	for i := range askedOnce {
		sleeper.Pause(ctx, afterEnd)
		if ctx.Err() != nil {
			return
		}
		r.ask(ctx, e, e.Host+i)
	}
}

// submit hands a job in and reports whether it was accepted.
func (r *run) submit(ctx context.Context, n int, e drafter.JobEvent) bool {
	final := []refuser.Code{refuser.CodeNotFound, refuser.CodeInvalid}
	for try := 0; try <= retries && ctx.Err() == nil; try++ {
		c := r.call(auditor.CallSubmit, e.Job.ID, (e.Host+try)%r.Hosts, func(cl *client.Client) (string, error) {
			_, err := cl.SubmitJob(ctx, e.Job)
			return "", err
		})
		switch {
		case c.Refusal == nil:
			return true
		case slices.Contains(final, c.Refusal.Code), n%impatientEvery == 0 && c.Refusal.Effect == refuser.NotRun:
			return false
		}
		sleeper.Pause(ctx, max(retryPause, time.Duration(c.Refusal.RetryAfterMillis)*time.Millisecond))
	}
	return false
}

func (r *run) ask(ctx context.Context, e drafter.JobEvent, host int) auditor.Call {
	return r.call(auditor.CallStatus, e.Job.ID, host%r.Hosts, func(cl *client.Client) (string, error) {
		report, err := cl.Job(ctx, e.Job.ID)
		return report.State, err
	})
}

func (r *run) cancel(ctx context.Context, e drafter.JobEvent, host int) bool {
	c := r.call(auditor.CallCancel, e.Job.ID, host%r.Hosts, func(cl *client.Client) (string, error) {
		_, err := cl.CancelJob(ctx, e.Job.ID)
		return "", err
	})
	return c.Refusal == nil
}
