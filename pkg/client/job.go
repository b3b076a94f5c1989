package client

import (
	"context"
	"net/url"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// Accepted confirms that the submission or cancellation of a job has been stored.
type Accepted struct {
	ID identifier.Job `json:"id"`
}

// SubmitJob submits a job to a scheduling host. Repeating it with the same job ID is safe.
func (c *Client) SubmitJob(ctx context.Context, j submitter.Job) (Accepted, error) {
	return callJSON[Accepted](ctx, c, consts.MethodPost, "/v1/jobs", j)
}

// Job returns the state of a job.
func (c *Client) Job(ctx context.Context, id identifier.Job) (submitter.Report, error) {
	return callJSON[submitter.Report](ctx, c, consts.MethodGet, jobPath(id), nil)
}

// Jobs returns the jobs that match the selection.
func (c *Client) Jobs(ctx context.Context, s submitter.Selection) (submitter.Reports, error) {
	q := url.Values{"queue": {string(s.Queue)}, "state": {s.State}}
	return callJSON[submitter.Reports](ctx, c, consts.MethodGet, "/v1/jobs?"+q.Encode(), nil)
}

// ExplainJob returns the state of a job and the reasons for it.
func (c *Client) ExplainJob(ctx context.Context, id identifier.Job) (submitter.Explanation, error) {
	return callJSON[submitter.Explanation](ctx, c, consts.MethodGet, jobPath(id)+"/explain", nil)
}

// PreviewJob tells where the tasks of a job would run if it were submitted now. Nothing is submitted.
func (c *Client) PreviewJob(ctx context.Context, j submitter.Job) (submitter.Preview, error) {
	return callJSON[submitter.Preview](ctx, c, consts.MethodPost, "/v1/previews", j)
}

// CancelJob requests the cancellation of a job.
func (c *Client) CancelJob(ctx context.Context, id identifier.Job) (Accepted, error) {
	return callJSON[Accepted](ctx, c, consts.MethodPost, jobPath(id)+"/cancel", struct{}{})
}

// JobConfig returns which configuration is in force on a scheduling host.
func (c *Client) JobConfig(ctx context.Context) (submitter.ConfigReport, error) {
	return callJSON[submitter.ConfigReport](ctx, c, consts.MethodGet, "/v1/directory", nil)
}

// Teams returns the teams of the configuration in force, and those that still have jobs, with what
// they use.
func (c *Client) Teams(ctx context.Context) (submitter.TeamReports, error) {
	return callJSON[submitter.TeamReports](ctx, c, consts.MethodGet, "/v1/teams", nil)
}

func jobPath(id identifier.Job) string { return "/v1/jobs/" + url.PathEscape(string(id)) }
