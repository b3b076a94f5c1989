// Package jobserver serves the HTTP API with which operators and callers submit, inspect and
// cancel jobs.
package jobserver

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// callTimeout bounds the handling of a call, whatever the timeout of the caller.
const callTimeout = 5 * time.Second

// notReadyRetryAfter is the delay after which callers should retry a call to a host that has no
// configuration yet, since it has just started.
const notReadyRetryAfter = time.Second

// Jobs is the part of intake.Service that the API needs. Its errors are *refuser.Refusal. Known
// is false for a job that does not exist.
type Jobs interface {
	Submit(ctx context.Context, in intake.Submission) error
	Cancel(ctx context.Context, in intake.Cancellation) error
	Report(ctx context.Context, id identifier.Job) (r submitter.Report, known bool, err error)
	Explain(ctx context.Context, id identifier.Job) (e submitter.Explanation, known bool, err error)
	List(ctx context.Context, s submitter.Selection) (submitter.Reports, error)
	Preview(ctx context.Context, job submitter.Job, queue connector.QueueConfig) (submitter.Preview, error)
	Teams(ctx context.Context) ([]submitter.TeamUsage, error)
}

// Server handles the calls of the API.
type Server struct {
	jobs      Jobs
	directory func() connector.Directory
	logger    *zap.Logger
}

// New returns a server; directory returns the configuration in force.
func New(jobs Jobs, directory func() connector.Directory, logger *zap.Logger) *Server {
	return &Server{jobs, directory, logger}
}

// Register adds the API's routes to an HTTP server.
func (s *Server) Register(h *server.Hertz) {
	h.POST("/v1/jobs", s.handler(s.submit))
	h.GET("/v1/jobs", s.handler(s.list))
	h.POST("/v1/previews", s.handler(s.preview))
	h.GET("/v1/directory", s.handler(s.config))
	h.GET("/v1/teams", s.handler(s.teams))
	h.GET("/v1/jobs/:id", s.handler(s.report))
	h.GET("/v1/jobs/:id/explain", s.handler(s.explain))
	h.POST("/v1/jobs/:id/cancel", s.handler(s.cancel))
}

// handler returns an HTTP handler that responds with the result of handle as JSON, or with its
// error as a refusal.
func (s *Server) handler(handle func(ctx context.Context, c *app.RequestContext) (any, error)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		out, err := handle(ctx, c)
		if err != nil {
			r := refuser.From(err)
			s.logger.Info("job call refused", zap.String("request", c.Param("id")), zap.ByteString("path", c.Path()),
				zap.String("code", string(r.Code)), zap.String("effect", string(r.Effect)), logger.Err(err))
			listener.WriteRefusal(c, listener.HTTPStatus(r), r)
			return
		}
		c.JSON(consts.StatusOK, out)
	}
}

func (s *Server) submit(ctx context.Context, c *app.RequestContext) (any, error) {
	job, queue, version, err := s.parseJob(c)
	if err != nil {
		return nil, err
	}
	err = s.jobs.Submit(ctx, intake.Submission{Job: job, Queue: queue, ConfigVersion: version, At: identifier.UnixMillis(time.Now().UnixMilli())})
	if err != nil {
		return nil, refusalOf(job.ID, err)
	}
	s.logger.Info("job accepted", zap.String("request", string(job.ID)), zap.String("queue", string(job.Queue)), zap.Int("tasks", job.Tasks()))
	return acceptedResponse{ID: job.ID}, nil
}

// preview tells where the tasks of a job would run. Nothing is submitted.
func (s *Server) preview(ctx context.Context, c *app.RequestContext) (any, error) {
	job, queue, _, err := s.parseJob(c)
	if err != nil {
		return nil, err
	}
	out, err := s.jobs.Preview(ctx, job, queue)
	if err != nil {
		return nil, refusalOf(job.ID, err)
	}
	return out, nil
}

// refusalOf returns err as a refusal that names the job.
func refusalOf(id identifier.Job, err error) *refuser.Refusal {
	r := refuser.From(err)
	r.ID = string(id)
	return r
}

// parseJob decodes and checks the job in a request, and returns it with the configuration of its
// queue that is in force and the version of that.
func (s *Server) parseJob(c *app.RequestContext) (job submitter.Job, queue connector.QueueConfig, version identifier.ConfigVersion, err error) {
	if r := listener.ChargeDecoding(c, limiter.MaxJobShape); r != nil {
		return job, queue, 0, r
	}
	if err := json.Unmarshal(c.Request.Body(), &job); err != nil {
		return job, queue, 0, refuser.New(refuser.CodeInvalid, "the body is no job: %v", err)
	}
	if err := job.Check(); err != nil {
		return job, queue, 0, err
	}
	directory := s.directory()
	queue, ok := directory.Queues[job.Queue]
	switch {
	case directory.Version == 0:
		return job, queue, 0, refusalOf(job.ID, refuser.New(refuser.CodeNotReady, "there is no configuration yet").WithRetryAfter(notReadyRetryAfter))
	case !ok && directory.Outdated():
		return job, queue, 0, refusalOf(job.ID, refuser.New(refuser.CodeNotReady, "a newer configuration is being read").WithRetryAfter(notReadyRetryAfter))
	case !ok:
		return job, queue, 0, refusalOf(job.ID, refuser.New(refuser.CodeNotFound, "there is no queue %q", job.Queue))
	}
	return job, queue, directory.Version, nil
}

// config returns which configuration is in force on this host.
func (s *Server) config(context.Context, *app.RequestContext) (any, error) {
	d := s.directory()
	if d.Version == 0 {
		return nil, refuser.New(refuser.CodeNotReady, "there is no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	return submitter.ConfigReport{Version: d.Version, Expected: d.Expected, AgeMillis: d.ConfigAge().Milliseconds(), Queues: len(d.Queues)}, nil
}

// teams returns the teams of the configuration in force, and those that still have jobs, with what
// they use.
func (s *Server) teams(ctx context.Context, _ *app.RequestContext) (any, error) {
	used, err := s.jobs.Teams(ctx)
	if err != nil {
		return nil, err
	}
	reports := map[identifier.Team]submitter.TeamReport{}
	for _, u := range used {
		reports[u.Team] = submitter.TeamReport{TeamUsage: u}
	}
	for name, cfg := range s.directory().Teams {
		r := reports[name]
		r.Team, r.InForce, r.Weight, r.Limit = name, true, cfg.Weight, cfg.Limit
		reports[name] = r
	}
	out := submitter.TeamReports{Teams: make([]submitter.TeamReport, 0, len(reports))}
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		out.Teams = append(out.Teams, reports[name])
	}
	return out, nil
}

// acceptedResponse is the response to a submission or cancellation that has been stored.
type acceptedResponse struct {
	ID identifier.Job `json:"id"`
}

func (s *Server) list(ctx context.Context, c *app.RequestContext) (any, error) {
	return s.jobs.List(ctx, submitter.Selection{Queue: identifier.Queue(c.Query("queue")), State: c.Query("state")})
}

func (s *Server) report(ctx context.Context, c *app.RequestContext) (any, error) {
	return refuseUnknown(s.jobs.Report(ctx, identifier.Job(c.Param("id"))))
}

func (s *Server) explain(ctx context.Context, c *app.RequestContext) (any, error) {
	return refuseUnknown(s.jobs.Explain(ctx, identifier.Job(c.Param("id"))))
}

// refuseUnknown returns out, or a refusal with CodeNotFound if ok is false.
func refuseUnknown[T any](out T, ok bool, err error) (any, error) {
	if err == nil && !ok {
		err = refuser.New(refuser.CodeNotFound, "there is no such job")
	}
	return out, err
}

func (s *Server) cancel(ctx context.Context, c *app.RequestContext) (any, error) {
	id := identifier.Job(c.Param("id"))
	if _, err := s.report(ctx, c); err != nil {
		return nil, err
	}
	if err := s.jobs.Cancel(ctx, intake.Cancellation{ID: id, At: identifier.UnixMillis(time.Now().UnixMilli())}); err != nil {
		return nil, err
	}
	s.logger.Info("job cancelled", zap.String("request", string(id)))
	return acceptedResponse{ID: id}, nil
}
