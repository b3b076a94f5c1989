package dialer

import (
	"context"
	"strconv"
	"time"

	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// The HTTP headers of requests and answers of callers and minions.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderIdempotent = "X-Idempotent"
	HeaderDeadline   = "X-Deadline-Ms"
	HeaderNotRun     = "X-Not-Run"
	HeaderLeaving    = "X-Leaving"
	HeaderMinion     = "X-Minion"
)

// MaxBodyBytes bounds the body of a request and of an answer.
const MaxBodyBytes = 1 << 20

// probeTimeout is how long a reused connection is read before a request is sent over it, to see
// whether the minion has closed it.
const probeTimeout = 50 * time.Microsecond

var (
	// ErrIncompleteAnswer marks an answer that ended early or whose length is unknown.
	ErrIncompleteAnswer = errors.New("answer is incomplete")
	// ErrMismatchedAnswer marks an answer to another request.
	ErrMismatchedAnswer = errors.New("answer belongs to another request")
	// ErrStaleConnection marks a reused connection that the minion has closed.
	ErrStaleConnection = errors.New("connection was closed by the minion")
)

// minionConn is one HTTP/1.1 connection to a minion. It is used without an HTTP client, which would
// not tell whether any byte of a request was sent.
type minionConn struct {
	conn    network.Conn
	used    bool
	address string
}

// DialMinion opens a connection to a minion. The error is marked connector.ErrNotSent. It
// implements connector.MinionDialer.
func DialMinion(ctx context.Context, address string) (connector.MinionConn, error) {
	conn, err := standard.NewDialer().DialConnection("tcp", address, min(TimeLeft(ctx), dialTimeout), nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial minion %s", address), connector.ErrNotSent)
	}
	return &minionConn{conn: conn, address: address}, nil
}

// Close closes the connection.
func (c *minionConn) Close() error { return c.conn.Close() }

// Do implements connector.MinionConn. An error of a sent request is marked connector.ErrUnknown, or
// connector.ErrRefused if the minion answered that it did not execute the request.
func (c *minionConn) Do(ctx context.Context, r connector.MinionRequest) (connector.MinionAnswer, error) {
	if err := c.probe(); err != nil {
		return connector.MinionAnswer{}, errors.Mark(err, connector.ErrNotSent)
	}
	c.used = true
	// A read deadline in the past interrupts the read of the answer when ctx ends.
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := c.write(ctx, r); err != nil {
		return connector.MinionAnswer{}, errors.Mark(errors.Wrapf(err, "send to minion %s", c.address), connector.ErrUnknown)
	}
	return c.read(ctx, r)
}

// probe returns an error if a reused connection has been closed by the minion or has unread bytes,
// which would be taken for the next answer.
func (c *minionConn) probe() error {
	if !c.used {
		return nil
	}
	_ = c.conn.SetReadTimeout(probeTimeout)
	_, err := c.conn.Peek(1)
	if err == nil {
		return errors.Mark(errors.New("unexpected bytes"), ErrMismatchedAnswer)
	}
	if !isTimeout(err) {
		return errors.Mark(err, ErrStaleConnection)
	}
	return nil
}

func (c *minionConn) write(ctx context.Context, r connector.MinionRequest) error {
	out := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(out)
	out.SetMethod(consts.MethodPost)
	out.SetRequestURI("http://" + c.address + "/v1/services/" + string(r.Service) + "/requests")
	out.Header.Set(HeaderRequestID, string(r.ID))
	out.Header.Set(HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	out.Header.Set(HeaderDeadline, strconv.FormatInt(r.Remaining.Milliseconds(), 10))
	out.SetBody(r.Body)
	_ = c.conn.SetWriteTimeout(TimeLeft(ctx))
	if err := req.Write(out, c.conn); err != nil {
		return err
	}
	return c.conn.Flush()
}

func (c *minionConn) read(ctx context.Context, r connector.MinionRequest) (connector.MinionAnswer, error) {
	in := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(in)
	_ = c.conn.SetReadTimeout(TimeLeft(ctx))
	err := resp.ReadHeaders(in, c.conn)
	if err == nil {
		err = checkAnswerHeader(in, r)
	}
	if err == nil {
		err = resp.ReadRespBody(in, c.conn, MaxBodyBytes)
	}
	if err != nil {
		return connector.MinionAnswer{}, c.answerError(err)
	}
	answer := connector.MinionAnswer{
		Status:  in.StatusCode(),
		Body:    append([]byte(nil), in.Body()...),
		Leaving: in.Header.Get(HeaderLeaving) == "true",
	}
	if in.Header.Get(HeaderNotRun) == "true" {
		return answer, errors.Mark(errors.Newf("minion refused with status %d", answer.Status), connector.ErrRefused)
	}
	return answer, nil
}

// answerError marks the error of reading an answer: connector.ErrUnknown and, unless the answer
// belongs to another request, ErrIncompleteAnswer.
func (c *minionConn) answerError(err error) error {
	err = errors.Mark(errors.Wrapf(err, "answer of minion %s", c.address), connector.ErrUnknown)
	if errors.Is(err, ErrMismatchedAnswer) {
		return err
	}
	return errors.Mark(err, ErrIncompleteAnswer)
}

// checkAnswerHeader returns an error for an answer of unknown length or to another request.
func checkAnswerHeader(in *protocol.Response, r connector.MinionRequest) error {
	// The length is -1 for a chunked answer and less if the answer gives none.
	if in.Header.ContentLength() < -1 {
		return errors.Mark(errors.New("answer without a length"), ErrIncompleteAnswer)
	}
	if id := in.Header.Get(HeaderRequestID); id != "" && id != string(r.ID) {
		return errors.Mark(errors.Newf("answer names request %q", id), ErrMismatchedAnswer)
	}
	return nil
}

// isTimeout reports whether err is a timeout of the network or of the HTTP library.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	if errors.As(err, &t) && t.Timeout() {
		return true
	}
	return errors.Is(err, herrors.ErrTimeout)
}
