package server

import (
	"context"
	"encoding/json"
	"net"
	"sort"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/balsamcove/balsamcove/internal/coordinator"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/client"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// adminTimeout is the time limit of an operation that waits for the log.
const adminTimeout = 10 * time.Second

// routeAdmin registers the routes of the administration API and of the health and metrics
// endpoints.
func (s *Server) routeAdmin(ln net.Listener) {
	s.admin = listener.New(ln, maxAdminBody)
	s.admin.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(consts.StatusOK, "ok\n") })
	s.admin.GET("/readyz", s.handleReady)
	s.admin.GET("/metrics", adaptor.HertzHandler(s.meter.Handler()))
	s.admin.GET("/v1/status", s.handleStatus)
	s.admin.GET("/v1/config", s.whenReady(s.getConfig))
	s.admin.GET("/v1/config/history", s.whenReady(s.getHistory))
	s.admin.POST("/v1/config/publications", s.whenReady(s.postPublication))
	s.admin.GET("/v1/tasks", s.whenReady(s.getTasks))
	s.admin.POST("/v1/tasks", s.whenReady(s.postTask))
	s.admin.GET("/v1/tasks/:task", s.whenReady(s.getTask))
	s.admin.POST("/v1/tasks/:task/cancel", s.whenReady(s.cancelTask))
	s.admin.POST("/v1/tasks/:task/resume", s.whenReady(s.resumeTask))
	s.admin.GET("/v1/tasks/:task/explain", s.whenReady(s.explainTask))
	s.admin.GET("/v1/dataCentres/:dataCentre", s.whenReady(s.getDrainProgress))
}

// operation handles a call of the administration API and returns the value to encode as JSON.
// Errors are returned to the client as refusals.
type operation func(ctx context.Context, c *app.RequestContext) (any, error)

// whenReady returns a handler that runs an operation and writes its result or refusal as JSON.
// Until this host has caught up with the log, it refuses the call instead.
func (s *Server) whenReady(op operation) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if s.leaving.Load() {
			c.SetConnectionClose()
		}
		if !s.caughtUp() {
			writeRefusal(c, refuser.New(refuser.CodeNotReady, "this entry host has not caught up with the log"))
			return
		}
		ctx, cancel := context.WithTimeout(ctx, adminTimeout)
		defer cancel()
		out, err := op(ctx, c)
		if err != nil {
			writeRefusal(c, err)
			return
		}
		c.JSON(consts.StatusOK, out)
	}
}

func (s *Server) handleReady(_ context.Context, c *app.RequestContext) {
	if !s.ready() {
		c.String(consts.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(consts.StatusOK, "ready\n")
}

func (s *Server) handleStatus(_ context.Context, c *app.RequestContext) {
	status := s.coord.Status()
	out := client.Status{
		Entry: s.cfg.Name, DataCentre: s.cfg.DataCentre, Ready: s.ready(), Leaving: s.leaving.Load(),
		Version: status.Version, HoldsLease: status.HoldsLease, LeaseHolder: status.LeaseHolder, Epoch: status.Epoch,
	}
	for _, r := range s.table.Alive() {
		out.Members = append(out.Members, client.Member{
			Entry: r.Entry, DataCentre: r.DataCentre, Address: r.Address, Ready: r.Ready, Leaving: r.Leaving,
		})
	}
	c.JSON(consts.StatusOK, out)
}

func (s *Server) getConfig(context.Context, *app.RequestContext) (any, error) {
	active, err := s.coord.Config()
	if err != nil {
		return nil, err
	}
	out := client.Config{Version: active.Version}
	for _, obj := range active.Set.Objects() {
		text, err := parser.Format(obj)
		if err != nil {
			return nil, err
		}
		out.Objects = append(out.Objects, client.ObjectText{Key: obj.Key(), Text: string(text)})
	}
	return out, nil
}

func (s *Server) getHistory(context.Context, *app.RequestContext) (any, error) {
	out := client.History{}
	for _, c := range s.coord.History() {
		out.Changes = append(out.Changes, client.Change(c))
	}
	return out, nil
}

func (s *Server) postPublication(ctx context.Context, c *app.RequestContext) (any, error) {
	var in client.Publication
	if err := decodeBody(c, &in); err != nil {
		return nil, err
	}
	p := coordinator.Publication{
		ID: in.ID, Author: in.Author, AnyBase: in.Base == nil, Sources: in.Sources, Deletes: in.Deletes,
	}
	if in.Base != nil {
		p.Base = *in.Base
	}
	if p.ID == "" {
		p.ID = identifier.Publication(identifier.NewName("p-"))
	}
	change, err := s.coord.Publish(ctx, p)
	return client.Change(change), err
}

func (s *Server) postTask(ctx context.Context, c *app.RequestContext) (any, error) {
	var in client.Submission
	if err := decodeBody(c, &in); err != nil {
		return nil, err
	}
	if in.Task == "" {
		in.Task = identifier.Task(identifier.NewName("t-"))
	}
	t, err := s.coord.Submit(ctx, coordinator.Submission(in))
	return clientTask(t), err
}

func (s *Server) cancelTask(ctx context.Context, c *app.RequestContext) (any, error) {
	t, err := s.coord.Cancel(ctx, identifier.Task(c.Param("task")))
	return clientTask(t), err
}

func (s *Server) resumeTask(ctx context.Context, c *app.RequestContext) (any, error) {
	t, err := s.coord.Resume(ctx, identifier.Task(c.Param("task")))
	return clientTask(t), err
}

func (s *Server) getTask(_ context.Context, c *app.RequestContext) (any, error) {
	id := identifier.Task(c.Param("task"))
	t, ok := s.coord.Task(id)
	if !ok {
		return nil, refuser.New(refuser.CodeNotFound, "there is no task %q", id)
	}
	return clientTask(t), nil
}

func (s *Server) getTasks(_ context.Context, c *app.RequestContext) (any, error) {
	state, pool := tracker.State(c.Query("state")), identifier.Pool(c.Query("pool"))
	tasks := s.coord.Tasks(func(t tracker.Task) bool {
		return (state == "" || t.State == state) && (pool == "" || t.Pool == pool)
	})
	out := client.Tasks{Tasks: make([]client.Task, 0, len(tasks))}
	for _, t := range tasks {
		out.Tasks = append(out.Tasks, clientTask(t))
	}
	return out, nil
}

// getDrainProgress returns the state of a data centre and the tasks still claimed for it, which shows
// how far a drain has got.
func (s *Server) getDrainProgress(_ context.Context, c *app.RequestContext) (any, error) {
	p, err := s.coord.Progress(identifier.DataCentre(c.Param("dataCentre")))
	return client.Progress(p), err
}

// explainTask returns a task and, if it has not ended, the reasons of each data centre why it
// waits.
func (s *Server) explainTask(ctx context.Context, c *app.RequestContext) (any, error) {
	id := identifier.Task(c.Param("task"))
	t, ok := s.coord.Task(id)
	if !ok {
		return nil, refuser.New(refuser.CodeNotFound, "there is no task %q", id)
	}
	out := client.Explanation{Task: clientTask(t)}
	if t.State == tracker.StateEnded {
		return out, nil
	}
	out.Reasons = s.explainAll(ctx, id)
	return out, nil
}

// explainAll collects one explanation from each data centre, in order of their names. The
// explanation of the host that holds the data centre's cell lease takes precedence; otherwise it is
// that of the first host that answers. Data centres without anything to say are left out.
func (s *Server) explainAll(ctx context.Context, id identifier.Task) []client.Reason {
	local := s.coord.Explain(id)
	reasons := map[identifier.DataCentre]client.Reason{
		s.cfg.DataCentre: {DataCentre: s.cfg.DataCentre, Entry: s.cfg.Name, Holder: local.Holder, Lines: local.Lines},
	}
	for _, r := range s.table.Alive() {
		known, ok := reasons[r.DataCentre]
		if known.Holder {
			continue
		}
		var e coordinator.Explanation
		err := s.client.Call(ctx, r.Address, messenger.MethodExplain, id, &e)
		if err == nil && (!ok || e.Holder) {
			reasons[r.DataCentre] = client.Reason{DataCentre: r.DataCentre, Entry: r.Entry, Holder: e.Holder, Lines: e.Lines}
		}
	}
	var out []client.Reason
	for dc := range s.coord.ConfigSet().DataCentres {
		reason, ok := reasons[dc]
		if !ok {
			reason = client.Reason{DataCentre: dc, Lines: []string{"no entry host of this data centre answers"}}
		}
		if len(reason.Lines) > 0 {
			out = append(out, reason)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].DataCentre < out[j].DataCentre })
	return out
}

func clientTask(t tracker.Task) client.Task {
	return client.Task{
		ID: t.ID, Pool: t.Pool, State: string(t.State), Outcome: string(t.Outcome), Detail: t.Detail,
		DataCentre: t.DataCentre, Worker: t.Worker, Attempt: t.Attempt, Evictions: t.Evictions,
		Failures: len(t.Failures), Cancelled: t.Cancelled, Checkpoint: t.Checkpoint, SubmittedAtUnixMs: t.SubmittedAtUnixMs,
	}
}

// decodeBody decodes the JSON request body into out. The error is a refusal.
func decodeBody(c *app.RequestContext, out any) error {
	if err := json.Unmarshal(c.Request.Body(), out); err != nil {
		return refuser.New(refuser.CodeInvalid, "body is not readable as JSON: %v", err)
	}
	return nil
}
