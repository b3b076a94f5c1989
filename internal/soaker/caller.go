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
	// callTimeout is the deadline of each call (SYSTEM.md).
	callTimeout = 3 * time.Second
	// retries limits the retries of a submission (SYSTEM.md). retryDelay is the least pause
	// before each; a host may ask for a longer one.
	retries    = 4
	retryDelay = 500 * time.Millisecond
	// statusInterval is the pause between two status calls for a job.
	statusInterval = 700 * time.Millisecond
	// finalStatusCalls is the number of status calls for a job that has ended, made to check
	// that its state is kept. finalStatusDelay is the pause before each.
	finalStatusCalls, finalStatusDelay = 3, 2 * time.Second
	// One caller in impatientEvery does not retry a submission that was refused as not run.
	impatientEvery = 2
)

// call makes one call to a host and records its result.
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

// runCaller submits a job, polls its status and cancels it when the plan says so, until the job
// or ctx has ended. The index n of the job decides whether the caller is impatient.
func (r *run) runCaller(ctx context.Context, n int, e drafter.JobEvent) {
	if !r.submit(ctx, n, e) {
		return
	}
	cancelAt := time.Now().Add(e.CancelAfter)
	cancelled := false
	for host := e.Host; ctx.Err() == nil; host++ {
		shouldCancel := e.CancelAfter > 0 && time.Now().After(cancelAt) || drafter.IsLongRunning(e.Job.ID) && r.stoppingLongRunning()
		if shouldCancel && !cancelled {
			cancelled = r.cancel(ctx, e, host)
		}
		c := r.status(ctx, e, host)
		if c.Refusal == nil && planner.JobState(c.State).Ended() {
			break
		}
		sleeper.Pause(ctx, statusInterval)
	}
	for i := range finalStatusCalls {
		sleeper.Pause(ctx, finalStatusDelay)
		if ctx.Err() != nil {
			return
		}
		r.status(ctx, e, e.Host+i)
	}
}

// submit submits a job, retrying on other hosts, and reports whether it was accepted.
func (r *run) submit(ctx context.Context, n int, e drafter.JobEvent) bool {
	permanent := []refuser.Code{refuser.CodeNotFound, refuser.CodeInvalid}
	for try := 0; try <= retries && ctx.Err() == nil; try++ {
		c := r.call(auditor.CallSubmit, e.Job.ID, (e.Host+try)%r.Hosts, func(cl *client.Client) (string, error) {
			_, err := cl.SubmitJob(ctx, e.Job)
			return "", err
		})
		switch {
		case c.Refusal == nil:
			return true
		case slices.Contains(permanent, c.Refusal.Code), n%impatientEvery == 0 && c.Refusal.Effect == refuser.NotRun:
			return false
		}
		sleeper.Pause(ctx, max(retryDelay, time.Duration(c.Refusal.RetryAfterMillis)*time.Millisecond))
	}
	return false
}

func (r *run) status(ctx context.Context, e drafter.JobEvent, host int) auditor.Call {
	return r.call(auditor.CallStatus, e.Job.ID, host%r.Hosts, func(cl *client.Client) (string, error) {
		report, err := cl.Job(ctx, e.Job.ID)
		return report.State, err
	})
}

// cancel requests the cancellation of a job and reports whether the host confirmed it.
func (r *run) cancel(ctx context.Context, e drafter.JobEvent, host int) bool {
	c := r.call(auditor.CallCancel, e.Job.ID, host%r.Hosts, func(cl *client.Client) (string, error) {
		_, err := cl.CancelJob(ctx, e.Job.ID)
		return "", err
	})
	return c.Refusal == nil
}
