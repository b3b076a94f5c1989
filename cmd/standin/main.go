// Command standin runs small stand-ins for the platform's log, host list,
// workers and minions, drives load and checks what the stand-ins recorded. It
// serves the demo only.
package main

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	maxBody  = 16 << 20
	maxDrain = 5 * time.Second
	poll     = 10 * time.Millisecond
)

type commandLine struct {
	Platform platformCommand `cmd:"" help:"Run the log and the host list."`
	Worker   workerCommand   `cmd:"" help:"Run a worker."`
	Minion   minionCommand   `cmd:"" help:"Run a minion."`
	Load     loadCommand     `cmd:"" help:"Send requests and write down what became of them."`
	Verify   verifyCommand   `cmd:"" help:"Check what the stand-ins recorded."`
	Fleet    fleetCommand    `cmd:"" help:"Run a store, a directory and workers for scheduling hosts."`
	Evacuate evacuateCommand `cmd:"" help:"Take a data centre of the fleet out of service, or back."`
	Audit    auditCommand    `cmd:"" help:"Check what the fleet has recorded."`
}

func main() {
	var cl commandLine
	k := kong.Parse(&cl, kong.Name("standin"), kong.Description("Stand-ins for the platform, for the demo."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}

type platformCommand struct {
	Log   string        `help:"Address of the log." default:"127.0.0.1:7001"`
	Hosts string        `help:"Address of the host list." default:"127.0.0.1:7002"`
	Lag   time.Duration `help:"How far the host list lags." default:"1s"`
}

// Run serves the log and the host list.
func (c *platformCommand) Run(ctx context.Context) error {
	logLn, err := listener.Listen(c.Log)
	if err != nil {
		return err
	}
	hostLn, err := listener.Listen(c.Hosts)
	if err != nil {
		return err
	}
	logServer, hostServer := listener.New(logLn, maxBody), listener.New(hostLn, maxBody)
	emulator.ServeLog(&emulator.Log{})(logServer)
	emulator.ServeHosts(&emulator.HostList{Lag: c.Lag})(hostServer)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return listener.Run(ctx, logServer) })
	group.Go(func() error { return listener.Run(ctx, hostServer) })
	return group.Wait()
}

// hostFlags are the flags of workers and minions.
type hostFlags struct {
	ID         string `required:"" help:"Name of the host."`
	DataCentre string `required:"" help:"Data centre of the host."`
	Address    string `required:"" help:"Address to serve on."`
	Hosts      string `help:"Address of the host list." default:"127.0.0.1:7002"`
}

func (f *hostFlags) announce(ctx context.Context, a emulator.Announcement) error {
	http, err := dialer.NewHTTP()
	if err != nil {
		return err
	}
	return http.Post(ctx, f.Hosts, emulator.PathRegister, a, nil)
}

type workerCommand struct {
	hostFlags
	Rack         string `help:"Rack of the worker."`
	Processors   int64  `help:"Processors." default:"16"`
	MemoryGiB    int64  `help:"Memory." default:"60"`
	Accelerators int64  `help:"Accelerators."`
}

const millicores, mebibytes = 1000, 1024

// Run serves a worker.
func (c *workerCommand) Run(ctx context.Context) error {
	ln, err := listener.Listen(c.Address)
	if err != nil {
		return err
	}
	host := connector.WorkerHost{
		ID: identifier.Worker(c.ID), DataCentre: identifier.DataCentre(c.DataCentre),
		Address: ln.Addr().String(), Rack: c.Rack, State: connector.HostLive,
		Capacity: identifier.Size{
			Processors:   identifier.Millicores(c.Processors * millicores),
			Memory:       identifier.Mebibytes(c.MemoryGiB * mebibytes),
			Accelerators: identifier.Accelerators(c.Accelerators),
		},
	}
	h := listener.New(ln, maxBody)
	emulator.ServeWorker(emulator.NewWorker(host))(h)
	if err := c.announce(ctx, emulator.Announcement{Worker: &host}); err != nil {
		return err
	}
	return listener.Run(ctx, h)
}

type minionCommand struct {
	hostFlags
	Services    []string      `help:"Services that the minion answers for."`
	Slots       int           `help:"Requests at a time." default:"8"`
	Connections int           `help:"Connections at a time." default:"64"`
	ServiceTime time.Duration `help:"Time a request takes." default:"5ms"`
}

// Run serves a minion. At the end it leaves: it refuses new requests and
// finishes those it has.
func (c *minionCommand) Run(ctx context.Context) error {
	host := connector.MinionHost{
		ID: identifier.Minion(c.ID), DataCentre: identifier.DataCentre(c.DataCentre), Address: c.Address,
		Slots: c.Slots, Connections: c.Connections, State: connector.HostLive,
	}
	for _, s := range c.Services {
		host.Services = append(host.Services, identifier.Service(s))
	}
	m := emulator.NewMinion(host)
	h, err := emulator.ListenMinion(m, c.ServiceTime)
	if err != nil {
		return err
	}
	if err := c.announce(ctx, emulator.Announcement{Minion: &m.Host}); err != nil {
		return err
	}
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	context.AfterFunc(ctx, func() {
		c.leave(m)
		cancel()
	})
	return listener.Run(serving, h)
}

func (c *minionCommand) leave(m *emulator.Minion) {
	m.Leave()
	host := m.Host
	host.State = connector.HostLeaving
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.announce(ctx, emulator.Announcement{Minion: &host})
	for deadline := time.Now().Add(maxDrain); m.Running() > 0 && time.Now().Before(deadline); {
		time.Sleep(poll)
	}
}
