package client

import (
	"context"
	"net/url"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// Accepted names a job whose submission or cancellation is stored.
type Accepted struct {
	ID identifier.Job `json:"id"`
}

// SubmitJob hands a job in to a scheduling host. Doing so again with the same ID is
// safe.
func (c *Client) SubmitJob(ctx context.Context, j submitter.Job) (Accepted, error) {
	return call[Accepted](ctx, c, consts.MethodPost, "/v1/jobs", j)
}

// Job returns what is known of a job.
func (c *Client) Job(ctx context.Context, id identifier.Job) (submitter.Report, error) {
	return call[submitter.Report](ctx, c, consts.MethodGet, jobPath(id), nil)
}

// Jobs lists jobs.
func (c *Client) Jobs(ctx context.Context, s submitter.Selection) (submitter.Reports, error) {
	q := url.Values{"queue": {string(s.Queue)}, "state": {s.State}}
	return call[submitter.Reports](ctx, c, consts.MethodGet, "/v1/jobs?"+q.Encode(), nil)
}

// ExplainJob says why a job is where it is.
func (c *Client) ExplainJob(ctx context.Context, id identifier.Job) (submitter.Explanation, error) {
	return call[submitter.Explanation](ctx, c, consts.MethodGet, jobPath(id)+"/explain", nil)
}

// CancelJob ends a job.
func (c *Client) CancelJob(ctx context.Context, id identifier.Job) (Accepted, error) {
	return call[Accepted](ctx, c, consts.MethodPost, jobPath(id)+"/cancel", struct{}{})
}

func jobPath(id identifier.Job) string { return "/v1/jobs/" + url.PathEscape(string(id)) }
