package server

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/balsamcove/balsamcove/internal/deduper"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/forwarder"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// maxDeadline is the longest time limit that a caller may set for a request.
	maxDeadline     = time.Minute
	maxRequestIDLen = 128
	codeOK          = "ok"
)

// handleRequest handles a caller's request for a service.
func (s *Server) handleRequest(ctx context.Context, c *app.RequestContext) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.leaving.Load() {
		c.SetConnectionClose()
	}
	arrivedAt := time.Now()
	name := identifier.Service(c.Param("service"))
	service, ok := s.coord.ConfigSet().Services[name]
	if !s.caughtUp() {
		writeRefusal(c, refuser.New(refuser.CodeNotReady, "this entry host has not caught up with the log"))
		return
	}
	if !ok {
		writeRefusal(c, refuser.New(refuser.CodeNotFound, "there is no service %q", name))
		return
	}
	req, err := parseRequest(c, service)
	if err != nil {
		writeRefusal(c, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, arrivedAt.Add(time.Duration(req.RemainingMs)*time.Millisecond))
	defer cancel()
	answer, err := s.execute(ctx, service, req)
	s.writeAnswer(c, service, req, answer, err, time.Since(arrivedAt))
}

// writeAnswer writes a minion's answer or a refusal to the caller and records the request in the
// metrics.
func (s *Server) writeAnswer(c *app.RequestContext, service *parser.Service, req forwarder.Request, a forwarder.Answer, err error, took time.Duration) {
	c.Header(dialer.HeaderRequestID, string(req.ID))
	if err != nil {
		refusal := refuser.From(err)
		s.meter.RecordRequest(service, string(refusal.Code), a.Sends, took)
		writeRefusal(c, refusal)
		return
	}
	s.meter.RecordRequest(service, codeOK, a.Sends, took)
	c.Header(dialer.HeaderMinion, string(a.Minion))
	c.Data(a.Status, "application/octet-stream", a.Body)
}

// execute sends a request to a minion, within the limit of concurrent requests. A non-idempotent
// request is registered first, so that a repeat of it is refused, and deregistered if it was
// certainly not executed. The error is a refusal.
func (s *Server) execute(ctx context.Context, service *parser.Service, req forwarder.Request) (forwarder.Answer, error) {
	if !s.admission.TryAcquire(service.Class) {
		return forwarder.Answer{}, refuser.New(refuser.CodeOverloaded, "this entry host works on %d requests", s.admission.InFlight())
	}
	defer s.admission.Release()
	if req.Idempotent {
		return s.forwarder.Do(ctx, req, false)
	}
	reg := registration{ID: req.ID, Send: deduper.NewSendID()}
	replicas, err := s.register(ctx, reg)
	if err != nil {
		return forwarder.Answer{}, err
	}
	answer, err := s.forwarder.Do(ctx, req, false)
	if err != nil && refuser.From(err).Effect == refuser.NotRun {
		s.deregister(replicas, reg)
	}
	return answer, err
}

// parseRequest builds a request from the HTTP headers and body. It generates an ID if there is
// none, and uses the service's deadline if the caller sets none. The error is a refusal.
func parseRequest(c *app.RequestContext, service *parser.Service) (forwarder.Request, error) {
	req := forwarder.Request{
		ID:          identifier.Request(c.Request.Header.Get(dialer.HeaderRequestID)),
		Service:     service.Name,
		RemainingMs: service.Deadline.Std().Milliseconds(),
		Body:        append([]byte(nil), c.Request.Body()...),
	}
	if req.ID == "" {
		req.ID = identifier.Request(identifier.NewName("r-"))
	}
	if len(req.ID) > maxRequestIDLen {
		return req, refuser.New(refuser.CodeInvalid, "%s is longer than %d characters", dialer.HeaderRequestID, maxRequestIDLen)
	}
	if text := c.Request.Header.Get(dialer.HeaderIdempotent); text != "" {
		b, err := strconv.ParseBool(text)
		if err != nil {
			return req, refuser.New(refuser.CodeInvalid, "%s is %q, not true or false", dialer.HeaderIdempotent, text)
		}
		req.Idempotent = b
	}
	if text := c.Request.Header.Get(dialer.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return req, refuser.New(refuser.CodeInvalid, "%s is %q, not 1 to %d", dialer.HeaderDeadline, text, maxDeadline.Milliseconds())
		}
		req.RemainingMs = ms
	}
	return req, nil
}

// writeRefusal writes err as a refusal, with the HTTP status for its code.
func writeRefusal(c *app.RequestContext, err error) {
	refusal := refuser.From(err)
	listener.WriteRefusal(c, httpStatus(refusal.Code), refusal)
}

// httpStatus returns the HTTP status for a refusal code, 503 for those that have none of their own.
func httpStatus(code refuser.Code) int {
	switch code {
	case refuser.CodeInvalid, refuser.CodeNeverFits:
		return consts.StatusBadRequest
	case refuser.CodeNotFound:
		return consts.StatusNotFound
	case refuser.CodeConflict, refuser.CodeDuplicate, refuser.CodeAlreadyEnded:
		return consts.StatusConflict
	case refuser.CodeTooLarge:
		return consts.StatusRequestEntityTooLarge
	case refuser.CodeDeadline:
		return consts.StatusGatewayTimeout
	case refuser.CodeBroken:
		return consts.StatusBadGateway
	default:
		return consts.StatusServiceUnavailable
	}
}
