// Package client calls the administration API of entry hosts and scheduling hosts, and sends
// requests for services to entry hosts.
package client

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	hertz "github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	dialTimeout    = time.Second
	defaultTimeout = 15 * time.Second
)

// ErrNoServer describes a call for which no entry host could be reached. Only its text is part of
// the refusal that such a call returns, so errors.Is does not match it.
var ErrNoServer = errors.New("no entry host can be reached")

// Client sends each call to the first of its hosts that can be reached. Its methods are safe for
// concurrent use. All errors of calls are of type *refuser.Refusal.
type Client struct {
	http    *hertz.Client
	servers []string
	timeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout bounds the time that a call takes on each host it is sent to; the default is 15
// seconds.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client for the hosts at the given addresses (IP:PORT), which are tried in this
// order.
func New(servers []string, opts ...Option) (*Client, error) {
	http, err := hertz.NewClient(hertz.WithDialer(standard.NewDialer()), hertz.WithDialTimeout(dialTimeout))
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP client")
	}
	c := &Client{http: http, servers: servers, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

// Status returns the state that the entry host reports of itself and its peers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return callJSON[Status](ctx, c, consts.MethodGet, "/v1/status", nil)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	return callJSON[Config](ctx, c, consts.MethodGet, "/v1/config", nil)
}

// History returns the accepted publications, oldest first.
func (c *Client) History(ctx context.Context) (History, error) {
	return callJSON[History](ctx, c, consts.MethodGet, "/v1/config/history", nil)
}

// Publish submits a change of the configuration and returns it with its version once it is
// accepted. Repeating a publication with the same ID is safe.
func (c *Client) Publish(ctx context.Context, p Publication) (Change, error) {
	return callJSON[Change](ctx, c, consts.MethodPost, "/v1/config/publications", p)
}

// Submit submits a task. Repeating it with the same task ID is safe.
func (c *Client) Submit(ctx context.Context, s Submission) (Task, error) {
	return callJSON[Task](ctx, c, consts.MethodPost, "/v1/tasks", s)
}

// Task returns the state of a task.
func (c *Client) Task(ctx context.Context, id identifier.Task) (Task, error) {
	return callJSON[Task](ctx, c, consts.MethodGet, taskPath(id), nil)
}

// Tasks returns the tasks in a state and a pool; an empty argument matches all.
func (c *Client) Tasks(ctx context.Context, state string, pool identifier.Pool) (Tasks, error) {
	q := url.Values{"state": {state}, "pool": {string(pool)}}
	return callJSON[Tasks](ctx, c, consts.MethodGet, "/v1/tasks?"+q.Encode(), nil)
}

// Cancel requests that a task is stopped and not executed again.
func (c *Client) Cancel(ctx context.Context, id identifier.Task) (Task, error) {
	return callJSON[Task](ctx, c, consts.MethodPost, taskPath(id)+"/cancel", struct{}{})
}

// Resume allows another attempt of a task whose last attempt has an unknown outcome.
func (c *Client) Resume(ctx context.Context, id identifier.Task) (Task, error) {
	return callJSON[Task](ctx, c, consts.MethodPost, taskPath(id)+"/resume", struct{}{})
}

// Explain returns the reasons why a task is in its state.
func (c *Client) Explain(ctx context.Context, id identifier.Task) (Explanation, error) {
	return callJSON[Explanation](ctx, c, consts.MethodGet, taskPath(id)+"/explain", nil)
}

// Progress returns the tasks that a data centre still holds, such as during a drain.
func (c *Client) Progress(ctx context.Context, dc identifier.DataCentre) (Progress, error) {
	return callJSON[Progress](ctx, c, consts.MethodGet, "/v1/dataCentres/"+url.PathEscape(string(dc)), nil)
}

func taskPath(id identifier.Task) string { return "/v1/tasks/" + url.PathEscape(string(id)) }

// Request sends a request to a service and returns the minion's complete response.
func (c *Client) Request(ctx context.Context, r Request) (Answer, error) {
	resp, err := c.doFirstReachable(ctx, consts.MethodPost, "/v1/services/"+url.PathEscape(string(r.Service))+"/requests", r.Body, func(req *protocol.Request) {
		req.Header.Set("X-Idempotent", strconv.FormatBool(r.Idempotent))
		if r.ID != "" {
			req.Header.Set("X-Request-Id", string(r.ID))
		}
		if r.DeadlineMs > 0 {
			req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.DeadlineMs, 10))
		}
	})
	if err != nil {
		return Answer{}, err
	}
	if resp.Header.Get(refuser.HeaderEffect) != "" {
		return Answer{}, decodeRefusal(resp)
	}
	return Answer{
		Status: resp.StatusCode(), Body: resp.Body(),
		RequestID: identifier.Request(resp.Header.Get("X-Request-Id")),
		Minion:    identifier.Minion(resp.Header.Get("X-Minion")),
	}, nil
}

// callJSON sends in as a JSON body and decodes the JSON response. A response with a status other
// than 200 is returned as a refusal.
func callJSON[Out any](ctx context.Context, c *Client, method, path string, in any) (Out, error) {
	var out Out
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return out, refuser.New(refuser.CodeInvalid, "encode call: %v", err)
		}
	}
	resp, err := c.doFirstReachable(ctx, method, path, body, func(req *protocol.Request) {
		req.Header.SetContentTypeBytes([]byte("application/json"))
	})
	if err != nil {
		return out, err
	}
	if resp.StatusCode() != consts.StatusOK {
		return out, decodeRefusal(resp)
	}
	if err := json.Unmarshal(resp.Body(), &out); err != nil {
		return out, refuser.NewUnknown(refuser.CodeBroken, "answer is not readable: %v", err)
	}
	return out, nil
}

// doFirstReachable sends a call to the first server that can be reached. Only a failed dial moves
// on to the next server: after any other error the call may have been executed.
func (c *Client) doFirstReachable(ctx context.Context, method, path string, body []byte, prepare func(*protocol.Request)) (*protocol.Response, error) {
	for _, server := range c.servers {
		req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
		req.SetMethod(method)
		req.SetRequestURI("http://" + server + path)
		req.SetBody(body)
		req.SetOptions(config.WithRequestTimeout(c.timeout))
		prepare(req)
		err := c.http.Do(ctx, req, resp)
		if err == nil {
			return resp, nil
		}
		if !isDialError(err) {
			return nil, refuser.NewUnknown(refuser.CodeUnavailable, "entry host %s: %v", server, err)
		}
	}
	return nil, refuser.New(refuser.CodeUnavailable, "%v: %v", ErrNoServer, c.servers)
}

// isDialError reports whether the connection could not be opened, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// decodeRefusal returns the refusal that a response holds. If it holds none, the effect of the call
// is unknown.
func decodeRefusal(resp *protocol.Response) error {
	var r refuser.Refusal
	if json.Unmarshal(resp.Body(), &r) != nil || r.Code == "" {
		return refuser.NewUnknown(refuser.CodeBroken, "HTTP status %d", resp.StatusCode())
	}
	return &r
}
