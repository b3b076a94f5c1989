// Package dialer implements the interfaces of connector over HTTP and JSON-RPC. A platform with
// another protocol needs only another adapter.
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

// Fault is the body of the platform's answer to a call that it refuses.
type Fault struct {
	Code    FaultCode `json:"code"`
	Message string    `json:"message"`
}

// FaultCode is the reason of a refusal.
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

// HTTP makes JSON calls over HTTP. It uses only POST, which the client library never retries by
// itself.
type HTTP struct{ client *client.Client }

// NewHTTP returns a client for the platform's HTTP services.
func NewHTTP() (*HTTP, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConns),
		client.WithMaxIdleConnDuration(idleConnTimeout),
	)
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP client")
	}
	return &HTTP{c}, nil
}

// idleConnTimeout is how long an unused connection is kept.
const idleConnTimeout = 10 * time.Second

// Post sends in as JSON and decodes the answer into out unless that is nil. The error is marked
// connector.ErrNotSent, connector.ErrUnknown, or with the error that stands for the Fault of the
// answer.
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

// TimeLeft returns the time until the deadline of ctx, at least 1 ms, or 5 s if there is none.
func TimeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	return max(time.Until(deadline), time.Millisecond)
}

// ClassifyError marks the error of a failed call: connector.ErrNotSent if no connection was
// available, connector.ErrUnknown otherwise.
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

// faultError returns the error for an answer other than 200. It is marked connector.ErrUnknown
// unless the body is a Fault with a known code.
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
