// Package dialer holds the adapters that reach the platform and the minions
// over HTTP. A platform that speaks another dialect needs only another adapter.
package dialer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
)

const (
	dialTimeout    = time.Second
	defaultTimeout = 5 * time.Second
	maxConns       = 64
)

// Fault is the body with which the platform refuses a call.
type Fault struct {
	Code    FaultCode `json:"code"`
	Message string    `json:"message"`
}

// FaultCode names the reason of a refusal.
type FaultCode string

// The reasons for which the platform refuses a call.
const (
	FaultFenced         FaultCode = "fenced"
	FaultLeaseExpired   FaultCode = "leaseExpired"
	FaultRecordsExpired FaultCode = "recordsExpired"
	FaultRefused        FaultCode = "refused"
	FaultDown           FaultCode = "down"
	FaultAnswerLost     FaultCode = "answerLost"
)

// HTTP calls JSON over HTTP. Only POST is used, which the client library never
// repeats by itself.
type HTTP struct{ client *client.Client }

// NewHTTP returns a client for the platform's services.
func NewHTTP() (*HTTP, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConns),
		client.WithMaxIdleConnDuration(idleConn),
	)
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP client")
	}
	return &HTTP{c}, nil
}

// idleConn is how long an unused connection is kept.
const idleConn = 10 * time.Second

// Post sends in as JSON and fills out. The error is marked
// connector.ErrNotSent, connector.ErrUnknown or by the fault that the other
// side answered.
func (h *HTTP) Post(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	req.SetOptions(config.WithRequestTimeout(TimeLeft(ctx)))
	if err := h.client.Do(ctx, req, resp); err != nil {
		return ClassifyError(errors.Wrapf(err, "call %s%s", address, path))
	}
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	if resp.StatusCode() != consts.StatusOK {
		return faultError(resp.StatusCode(), resp.Body())
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return errors.Mark(errors.Wrap(err, "decode answer"), connector.ErrUnknown)
	}
	return nil
}

// TimeLeft returns the time until the deadline of a call, or a default without one.
func TimeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	return max(time.Until(deadline), time.Millisecond)
}

// ClassifyError marks the error of a call by whether the call may have left this host.
func ClassifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, connector.ErrNotSent)
	}
	if errors.Is(err, herrors.ErrNoFreeConns) {
		return errors.Mark(err, connector.ErrNotSent)
	}
	return errors.Mark(err, connector.ErrUnknown)
}

func faultError(status int, body []byte) error {
	var f Fault
	if json.Unmarshal(body, &f) != nil {
		return errors.Mark(errors.Newf("HTTP status %d", status), connector.ErrUnknown)
	}
	err := errors.Newf("%s: %s", f.Code, f.Message)
	switch f.Code {
	case FaultFenced:
		return errors.Mark(err, connector.ErrFenced)
	case FaultLeaseExpired:
		return errors.Mark(err, connector.ErrLeaseExpired)
	case FaultRecordsExpired:
		return errors.Mark(err, connector.ErrExpired)
	case FaultRefused:
		return errors.Mark(err, connector.ErrRefused)
	case FaultDown:
		return errors.Mark(err, connector.ErrNotSent)
	default:
		return errors.Mark(err, connector.ErrUnknown)
	}
}
