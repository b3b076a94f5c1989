package emulator

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// HTTP paths that only the stand-ins serve.
const (
	PathRegister = "/hosts/register"
	PathFaults   = "/log/faults"
	PathUsage    = "/log/usage"
	PathEvents   = "/worker/events"
	PathHistory  = "/minion/history"
	PathLeave    = "/minion/leave"
)

// handle returns a handler that decodes a JSON body, calls fn and encodes its answer. It answers
// status 400 to a malformed body and 409 to an error of fn, with a dialer.Fault as the body.
func handle[In, Out any](fn func(ctx context.Context, in In) (Out, error)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		var in In
		if err := json.Unmarshal(c.Request.Body(), &in); err != nil {
			c.JSON(consts.StatusBadRequest, dialer.Fault{Code: dialer.FaultRefused, Message: err.Error()})
			return
		}
		out, err := fn(ctx, in)
		if err != nil {
			c.JSON(consts.StatusConflict, toFault(err))
			return
		}
		c.JSON(consts.StatusOK, out)
	}
}

// toFault converts an error of a stand-in to the fault sent to the client.
func toFault(err error) dialer.Fault {
	f := dialer.Fault{Code: dialer.FaultRefused, Message: err.Error()}
	switch {
	case errors.Is(err, connector.ErrFenced):
		f.Code = dialer.FaultFenced
	case errors.Is(err, connector.ErrLeaseExpired):
		f.Code = dialer.FaultLeaseExpired
	case errors.Is(err, connector.ErrUnknown):
		f.Code = dialer.FaultAnswerLost
	case errors.Is(err, connector.ErrNotSent):
		f.Code = dialer.FaultDown
	}
	return f
}

type empty struct{}

// ServeLog returns a function that adds the routes of a log to a server.
func ServeLog(log *Log) func(*server.Hertz) {
	return func(h *server.Hertz) {
		h.POST(dialer.PathAppend, handle(func(ctx context.Context, in dialer.AppendCall) (empty, error) {
			return empty{}, log.Append(ctx, in.Stream, in.Data)
		}))
		h.POST(dialer.PathRead, handle(func(ctx context.Context, in dialer.ReadCall) (dialer.ReadAnswer, error) {
			return readLog(ctx, log, in)
		}))
		h.POST(PathFaults, handle(func(_ context.Context, in LogFaults) (empty, error) {
			log.SetFaults(in)
			return empty{}, nil
		}))
		h.POST(PathUsage, handle(func(context.Context, empty) (LogUsage, error) { return log.Usage(), nil }))
	}
}

func readLog(ctx context.Context, log *Log, in dialer.ReadCall) (dialer.ReadAnswer, error) {
	records, bounds, err := log.Read(ctx, in.Stream, in.From)
	out := dialer.ReadAnswer{Earliest: bounds.Earliest, Head: bounds.Head}
	if errors.Is(err, connector.ErrExpired) {
		out.Expired = true
		return out, nil
	}
	for _, r := range records {
		out.Records = append(out.Records, r.Data)
	}
	return out, err
}

// HostList is a list to which hosts announce themselves and which shows each change only after a
// lag. Its methods are safe for concurrent use.
type HostList struct {
	Lag time.Duration

	mu      sync.Mutex
	pending []listChange
	visible connector.Hosts
	stopped bool
}

type listChange struct {
	visibleAt time.Time
	minion    *connector.MinionHost
	worker    *connector.WorkerHost
}

// Announcement is the request body with which a host announces itself or its new state.
type Announcement struct {
	Minion *connector.MinionHost `json:"minion,omitempty"`
	Worker *connector.WorkerHost `json:"worker,omitempty"`
}

// Announce adds or updates a host after the lag.
func (l *HostList) Announce(a Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, listChange{time.Now().Add(l.Lag), a.Minion, a.Worker})
}

// Stop makes the list ignore all pending and later changes.
func (l *HostList) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

// List returns the hosts that are visible now.
func (l *HostList) List(context.Context) (connector.Hosts, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.stopped && len(l.pending) > 0 && !time.Now().Before(l.pending[0].visibleAt) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
	return connector.Hosts{
		Minions: append([]connector.MinionHost(nil), l.visible.Minions...),
		Workers: append([]connector.WorkerHost(nil), l.visible.Workers...),
	}, nil
}

func (l *HostList) apply(c listChange) {
	if c.minion != nil {
		l.visible.Minions = upsert(l.visible.Minions, *c.minion, func(h connector.MinionHost) string { return string(h.ID) })
	}
	if c.worker != nil {
		l.visible.Workers = upsert(l.visible.Workers, *c.worker, func(h connector.WorkerHost) string { return string(h.ID) })
	}
}

// upsert replaces the host with the same key, or appends the host if there is none.
func upsert[T any](list []T, host T, key func(T) string) []T {
	for i := range list {
		if key(list[i]) == key(host) {
			list[i] = host
			return list
		}
	}
	return append(list, host)
}

// ServeHosts returns a function that adds the routes of a host list to a server.
func ServeHosts(l *HostList) func(*server.Hertz) {
	return func(h *server.Hertz) {
		h.POST(dialer.PathHosts, handle(func(ctx context.Context, _ empty) (connector.Hosts, error) { return l.List(ctx) }))
		h.POST(PathRegister, handle(func(_ context.Context, in Announcement) (empty, error) {
			l.Announce(in)
			return empty{}, nil
		}))
	}
}

// ServeWorker returns a function that adds the routes of a worker to a server.
func ServeWorker(w *Worker) func(*server.Hertz) {
	return func(h *server.Hertz) {
		h.POST(dialer.PathOpen, handle(func(ctx context.Context, in dialer.LeaseCall) (connector.Report, error) {
			return w.Open(ctx, in.Epoch, time.Duration(in.TTLMs)*time.Millisecond)
		}))
		h.POST(dialer.PathRenew, handle(func(ctx context.Context, in dialer.LeaseCall) (connector.Report, error) {
			return w.Renew(ctx, in.Lease, in.Epoch, time.Duration(in.TTLMs)*time.Millisecond)
		}))
		h.POST(dialer.PathStart, handle(func(ctx context.Context, in connector.StartOrder) (empty, error) {
			return empty{}, w.Start(ctx, in)
		}))
		h.POST(dialer.PathStop, handle(func(ctx context.Context, in dialer.StopCall) (empty, error) {
			return empty{}, w.Stop(ctx, in.Epoch, in.Task, in.Attempt)
		}))
		h.POST(dialer.PathForget, handle(func(ctx context.Context, in dialer.ForgetCall) (empty, error) {
			return empty{}, w.Forget(ctx, in.Epoch, in.Tasks)
		}))
		h.POST(PathEvents, handle(func(context.Context, empty) (WorkerHistory, error) {
			return WorkerHistory{w.Host, w.Peak(), w.Events()}, nil
		}))
	}
}

// WorkerHistory holds the records of a worker.
type WorkerHistory struct {
	Host   connector.WorkerHost `json:"host"`
	Peak   identifier.Size      `json:"peak"`
	Events []Event              `json:"events"`
}

// ServeMinion returns a function that adds the routes of a minion to a server. The minion takes
// serviceTime to execute a request.
func ServeMinion(m *Minion, serviceTime time.Duration) func(*server.Hertz) {
	return func(h *server.Hertz) {
		h.POST("/v1/services/:service/requests", func(_ context.Context, c *app.RequestContext) {
			serveRequest(c, m, serviceTime)
		})
		h.POST(PathHistory, handle(func(context.Context, empty) (MinionHistory, error) { return m.History(), nil }))
		h.POST(PathLeave, handle(func(context.Context, empty) (empty, error) {
			m.Leave()
			return empty{}, nil
		}))
	}
}

func serveRequest(c *app.RequestContext, m *Minion, serviceTime time.Duration) {
	id := c.Request.Header.Get(dialer.HeaderRequestID)
	c.Header(dialer.HeaderRequestID, id)
	if m.Leaving() {
		c.Header(dialer.HeaderLeaving, "true")
	}
	idempotent, _ := strconv.ParseBool(c.Request.Header.Get(dialer.HeaderIdempotent))
	if !m.Begin(identifier.Request(id), idempotent) {
		c.Header(dialer.HeaderNotRun, "true")
		c.SetStatusCode(consts.StatusServiceUnavailable)
		return
	}
	defer m.End()
	time.Sleep(serviceTime)
	c.Data(consts.StatusOK, "application/octet-stream", append([]byte(id+":"), c.Request.Body()...))
}

// countingListener counts the open connections of a minion.
type countingListener struct {
	net.Listener
	minion *Minion
}

type countedConn struct {
	net.Conn
	once   sync.Once
	minion *Minion
}

// Accept waits for a connection and counts it.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.minion.Connect()
	return &countedConn{Conn: conn, minion: l.minion}, nil
}

// Close closes the connection and counts that once.
func (c *countedConn) Close() error {
	c.once.Do(c.minion.Disconnect)
	return c.Conn.Close()
}

// ListenMinion listens on the minion's address and returns its server, which counts connections. It
// sets the address in m.Host to the actual one.
func ListenMinion(m *Minion, serviceTime time.Duration) (*server.Hertz, error) {
	ln, err := listener.Listen(m.Host.Address)
	if err != nil {
		return nil, err
	}
	m.Host.Address = ln.Addr().String()
	h := listener.New(countingListener{ln, m}, dialer.MaxBodyBytes)
	ServeMinion(m, serviceTime)(h)
	return h, nil
}
