// Command standin runs small stand-ins for the services of the platform, its workers and its
// minions, generates load, and checks the guarantees against what the stand-ins recorded. It is
// meant for the demo only.
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
	maxBodyBytes = 16 << 20
	// maxDrainTime bounds how long a stopping minion waits for requests in flight.
	maxDrainTime      = 5 * time.Second
	drainPollInterval = 10 * time.Millisecond
)

type commandLine struct {
	Platform platformCommand `cmd:"" help:"Run the log and the host list."`
	Worker   workerCommand   `cmd:"" help:"Run a worker."`
	Minion   minionCommand   `cmd:"" help:"Run a minion."`
	Load     loadCommand     `cmd:"" help:"Send requests and record their outcomes."`
	Verify   verifyCommand   `cmd:"" help:"Check what the stand-ins recorded."`
	Fleet    fleetCommand    `cmd:"" help:"Run a store, a directory and workers for scheduling hosts."`
	Evacuate evacuateCommand `cmd:"" help:"Take a data centre of the fleet out of service, or put it back."`
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
	Lag   time.Duration `help:"How far the host list lags behind the registrations." default:"1s"`
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
	logServer, hostServer := listener.New(logLn, maxBodyBytes), listener.New(hostLn, maxBodyBytes)
	emulator.ServeLog(&emulator.Log{})(logServer)
	emulator.ServeHosts(&emulator.HostList{Lag: c.Lag})(hostServer)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return listener.Run(ctx, logServer) })
	group.Go(func() error { return listener.Run(ctx, hostServer) })
	return group.Wait()
}

// hostFlags holds the flags that workers and minions share.
type hostFlags struct {
	ID         string `required:"" help:"Name of the host."`
	DataCentre string `required:"" help:"Data centre of the host."`
	Address    string `required:"" help:"Address to serve on."`
	Hosts      string `help:"Address of the host list." default:"127.0.0.1:7002"`
}

// registerHost adds a worker or a minion to the host list, or updates its entry.
func (f *hostFlags) registerHost(ctx context.Context, a emulator.Announcement) error {
	http, err := dialer.NewHTTP()
	if err != nil {
		return err
	}
	return http.Post(ctx, f.Hosts, emulator.PathRegister, a, nil)
}

type workerCommand struct {
	hostFlags
	Rack         string `help:"Rack of the worker."`
	Processors   int64  `help:"Number of processors." default:"16"`
	MemoryGiB    int64  `help:"Memory in GiB." default:"60"`
	Accelerators int64  `help:"Number of accelerators."`
}

const millicoresPerCore, mebibytesPerGibi = 1000, 1024

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
			Processors:   identifier.Millicores(c.Processors * millicoresPerCore),
			Memory:       identifier.Mebibytes(c.MemoryGiB * mebibytesPerGibi),
			Accelerators: identifier.Accelerators(c.Accelerators),
		},
	}
	h := listener.New(ln, maxBodyBytes)
	emulator.ServeWorker(emulator.NewWorker(host))(h)
	if err := c.registerHost(ctx, emulator.Announcement{Worker: &host}); err != nil {
		return err
	}
	return listener.Run(ctx, h)
}

type minionCommand struct {
	hostFlags
	Services    []string      `help:"Services that the minion answers for."`
	Slots       int           `help:"Maximum number of concurrent requests." default:"8"`
	Connections int           `help:"Maximum number of concurrent connections." default:"64"`
	ServiceTime time.Duration `help:"Time that the minion takes for a request." default:"5ms"`
}

// Run serves a minion until ctx is cancelled. It then refuses new requests and finishes those in
// flight, for maxDrainTime at most.
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
	if err := c.registerHost(ctx, emulator.Announcement{Minion: &m.Host}); err != nil {
		return err
	}
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	context.AfterFunc(ctx, func() {
		c.drain(m)
		cancel()
	})
	return listener.Run(serving, h)
}

// drain makes the minion refuse new requests, marks it as leaving in the host list and waits for
// the requests in flight, for maxDrainTime at most.
func (c *minionCommand) drain(m *emulator.Minion) {
	m.Leave()
	host := m.Host
	host.State = connector.HostLeaving
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.registerHost(ctx, emulator.Announcement{Minion: &host})
	for deadline := time.Now().Add(maxDrainTime); m.Running() > 0 && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
}
