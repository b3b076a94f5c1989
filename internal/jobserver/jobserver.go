// Package jobserver serves the API with which operators and callers submit jobs,
// follow them and cancel them.
package jobserver

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// callTimeout bounds a call whose caller waits for as long as it takes.
const callTimeout = 5 * time.Second

// notReadyRetryAfter is when a caller should come back to a host that has just started.
const notReadyRetryAfter = time.Second

// Jobs is the part of intake.Service that the API needs. Its errors are
// *refuser.Refusal.
type Jobs interface {
	Submit(ctx context.Context, in intake.Submission) error
	Cancel(ctx context.Context, in intake.Cancellation) error
	Report(ctx context.Context, id identifier.Job) (r submitter.Report, known bool, err error)
	Explain(ctx context.Context, id identifier.Job) (e submitter.Explanation, known bool, err error)
	List(ctx context.Context, s submitter.Selection) (submitter.Reports, error)
}

// Server answers calls about jobs.
type Server struct {
	jobs      Jobs
	directory func() connector.Directory
	logger    *zap.Logger
}

// New returns a server; directory tells the configuration in force.
func New(jobs Jobs, directory func() connector.Directory, logger *zap.Logger) *Server {
	return &Server{jobs, directory, logger}
}

// Register adds the API's paths to an HTTP server.
func (s *Server) Register(h *server.Hertz) {
	h.POST("/v1/jobs", s.call(s.submit))
	h.GET("/v1/jobs", s.call(s.list))
	h.GET("/v1/jobs/:id", s.call(s.report))
	h.GET("/v1/jobs/:id/explain", s.call(s.explain))
	h.POST("/v1/jobs/:id/cancel", s.call(s.cancel))
}

// call answers with what a handler returns, as JSON, or with its refusal.
func (s *Server) call(handle func(ctx context.Context, c *app.RequestContext) (any, error)) app.HandlerFunc {
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
	var job submitter.Job
	if err := json.Unmarshal(c.Request.Body(), &job); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "the body is no job: %v", err)
	}
	if err := job.Check(); err != nil {
		return nil, err
	}
	if err := s.store(ctx, job); err != nil {
		r := refuser.From(err)
		r.ID = string(job.ID)
		return nil, r
	}
	s.logger.Info("job accepted", zap.String("request", string(job.ID)), zap.String("queue", string(job.Queue)), zap.Int("tasks", job.Tasks()))
	return accepted{ID: job.ID}, nil
}

// store hands a job in under the configuration in force.
func (s *Server) store(ctx context.Context, job submitter.Job) error {
	directory := s.directory()
	if directory.Version == 0 {
		return refuser.New(refuser.CodeNotReady, "there is no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	queue, ok := directory.Queues[job.Queue]
	if !ok {
		return refuser.New(refuser.CodeNotFound, "there is no queue %q", job.Queue)
	}
	return s.jobs.Submit(ctx, intake.Submission{Job: job, Queue: queue, At: identifier.UnixMillis(time.Now().UnixMilli())})
}

// accepted answers a call whose effect is stored.
type accepted struct {
	ID identifier.Job `json:"id"`
}

func (s *Server) list(ctx context.Context, c *app.RequestContext) (any, error) {
	return s.jobs.List(ctx, submitter.Selection{Queue: identifier.Queue(c.Query("queue")), State: c.Query("state")})
}

func (s *Server) report(ctx context.Context, c *app.RequestContext) (any, error) {
	return known(s.jobs.Report(ctx, identifier.Job(c.Param("id"))))
}

func (s *Server) explain(ctx context.Context, c *app.RequestContext) (any, error) {
	return known(s.jobs.Explain(ctx, identifier.Job(c.Param("id"))))
}

// known turns the answer about an unknown job into a refusal.
func known[T any](out T, ok bool, err error) (any, error) {
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
	return accepted{ID: id}, nil
}
