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

// Paths that only the stand-ins have.
const (
	PathRegister = "/hosts/register"
	PathFaults   = "/log/faults"
	PathUsage    = "/log/usage"
	PathEvents   = "/worker/events"
	PathHistory  = "/minion/history"
	PathLeave    = "/minion/leave"
)

// handle decodes a JSON body, calls fn and encodes its answer or fault.
func handle[In, Out any](fn func(ctx context.Context, in In) (Out, error)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		var in In
		if err := json.Unmarshal(c.Request.Body(), &in); err != nil {
			c.JSON(consts.StatusBadRequest, dialer.Fault{Code: dialer.FaultRefused, Message: err.Error()})
			return
		}
		out, err := fn(ctx, in)
		if err != nil {
			c.JSON(consts.StatusConflict, faultOf(err))
			return
		}
		c.JSON(consts.StatusOK, out)
	}
}

func faultOf(err error) dialer.Fault {
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

type nothing struct{}

// ServeLog adds the routes of a log.
func ServeLog(log *Log) func(*server.Hertz) {
	return func(h *server.Hertz) {
		h.POST(dialer.PathAppend, handle(func(ctx context.Context, in dialer.AppendCall) (nothing, error) {
			return nothing{}, log.Append(ctx, in.Stream, in.Data)
		}))
		h.POST(dialer.PathRead, handle(func(ctx context.Context, in dialer.ReadCall) (dialer.ReadAnswer, error) {
			return readLog(ctx, log, in)
		}))
		h.POST(PathFaults, handle(func(_ context.Context, in LogFaults) (nothing, error) {
			log.SetFaults(in)
			return nothing{}, nil
		}))
		h.POST(PathUsage, handle(func(context.Context, nothing) (LogUsage, error) { return log.Usage(), nil }))
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

// HostList is a host list to which hosts announce themselves; it shows them
// after a lag. Its methods are safe for concurrent use.
type HostList struct {
	Lag time.Duration

	mu      sync.Mutex
	pending []listChange
	shown   connector.Hosts
	stopped bool
}

type listChange struct {
	at     time.Time
	minion *connector.MinionHost
	worker *connector.WorkerHost
}

// Announcement is the body with which a host announces itself or its new state.
type Announcement struct {
	Minion *connector.MinionHost `json:"minion,omitempty"`
	Worker *connector.WorkerHost `json:"worker,omitempty"`
}

// Announce shows a host after the lag.
func (l *HostList) Announce(a Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, listChange{time.Now().Add(l.Lag), a.Minion, a.Worker})
}

// Stop freezes what the list shows.
func (l *HostList) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

// List returns the hosts as shown now.
func (l *HostList) List(context.Context) (connector.Hosts, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.stopped && len(l.pending) > 0 && !time.Now().Before(l.pending[0].at) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
	return connector.Hosts{
		Minions: append([]connector.MinionHost(nil), l.shown.Minions...),
		Workers: append([]connector.WorkerHost(nil), l.shown.Workers...),
	}, nil
}

func (l *HostList) apply(c listChange) {
	if c.minion != nil {
		l.shown.Minions = replace(l.shown.Minions, *c.minion, func(h connector.MinionHost) string { return string(h.ID) })
	}
	if c.worker != nil {
		l.shown.Workers = replace(l.shown.Workers, *c.worker, func(h connector.WorkerHost) string { return string(h.ID) })
	}
}

// replace puts a host in the place of the one with the same key.
func replace[T any](list []T, host T, key func(T) string) []T {
	for i := range list {
		if key(list[i]) == key(host) {
			list[i] = host
			return list
		}
	}
	return append(list, host)
}

// ServeHosts adds the routes of a host list.
func ServeHosts(l *HostList) func(*server.Hertz) {
	return func(h *server.Hertz) {
		h.POST(dialer.PathHosts, handle(func(ctx context.Context, _ nothing) (connector.Hosts, error) { return l.List(ctx) }))
		h.POST(PathRegister, handle(func(_ context.Context, in Announcement) (nothing, error) {
			l.Announce(in)
			return nothing{}, nil
		}))
	}
}

// ServeWorker adds the routes of a worker.
func ServeWorker(w *Worker) func(*server.Hertz) {
	return func(h *server.Hertz) {
		h.POST(dialer.PathOpen, handle(func(ctx context.Context, in dialer.LeaseCall) (connector.Report, error) {
			return w.Open(ctx, in.Epoch, time.Duration(in.TTLMs)*time.Millisecond)
		}))
		h.POST(dialer.PathRenew, handle(func(ctx context.Context, in dialer.LeaseCall) (connector.Report, error) {
			return w.Renew(ctx, in.Lease, in.Epoch, time.Duration(in.TTLMs)*time.Millisecond)
		}))
		h.POST(dialer.PathStart, handle(func(ctx context.Context, in connector.StartOrder) (nothing, error) {
			return nothing{}, w.Start(ctx, in)
		}))
		h.POST(dialer.PathStop, handle(func(ctx context.Context, in dialer.StopCall) (nothing, error) {
			return nothing{}, w.Stop(ctx, in.Epoch, in.Task, in.Attempt)
		}))
		h.POST(dialer.PathForget, handle(func(ctx context.Context, in dialer.ForgetCall) (nothing, error) {
			return nothing{}, w.Forget(ctx, in.Epoch, in.Tasks)
		}))
		h.POST(PathEvents, handle(func(context.Context, nothing) (WorkerHistory, error) {
			return WorkerHistory{w.Host, w.Peak(), w.Events()}, nil
		}))
	}
}

// WorkerHistory is what a worker recorded.
type WorkerHistory struct {
	Host   connector.WorkerHost `json:"host"`
	Peak   identifier.Size      `json:"peak"`
	Events []Event              `json:"events"`
}

// ServeMinion adds the routes of a minion that takes serviceTime a request.
func ServeMinion(m *Minion, serviceTime time.Duration) func(*server.Hertz) {
	return func(h *server.Hertz) {
		h.POST("/v1/services/:service/requests", func(_ context.Context, c *app.RequestContext) {
			serveRequest(c, m, serviceTime)
		})
		h.POST(PathHistory, handle(func(context.Context, nothing) (MinionHistory, error) { return m.History(), nil }))
		h.POST(PathLeave, handle(func(context.Context, nothing) (nothing, error) {
			m.Leave()
			return nothing{}, nil
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

// Accept counts a new connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.minion.Connect()
	return &countedConn{Conn: conn, minion: l.minion}, nil
}

// Close counts the end of a connection.
func (c *countedConn) Close() error {
	c.once.Do(c.minion.Disconnect)
	return c.Conn.Close()
}

// ListenMinion returns the server of a minion, which counts its connections.
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
