package main

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// errBrokenGuarantees is returned if the fleet has recorded a broken guarantee.
var errBrokenGuarantees = errors.New("promises broken")

type fleetCommand struct {
	Address     string   `help:"Address to serve on." default:"127.0.0.1:7003"`
	DataCentres []string `help:"Data centres of the workers." default:"a,b"`
	Workers     int      `help:"Number of workers in each data centre." default:"4"`
	Service     string   `help:"Service that the workers run." default:"invoicing"`
	Queue       string   `help:"Queue whose jobs run on the service." default:"bills"`

	Hosts      map[string]string `help:"Additional addresses, one for each named host, by which the store distinguishes its clients: NAME=ADDRESS;..."`
	Reach      map[string]string `help:"Addresses that the directory lists for workers instead of the fleet's: WORKER=ADDRESS;..."`
	Seed       uint64            `help:"Seed of the random choices." default:"1"`
	Failing    uint32            `help:"Percentage of runs that fail."`
	SlowClocks bool              `help:"Give every second worker a slow clock."`
}

// longRunningPrefix is the prefix of the IDs of jobs whose tasks run until they are stopped.
const longRunningPrefix = "lasting-"

// fleetTaskSize is the size that the fleet assumes for every task, as the calls that start a run do
// not state it.
var fleetTaskSize = identifier.Size{Processors: millicoresPerCore, Memory: mebibytesPerGibi}

// Run serves a store, a directory and workers to scheduling hosts.
func (c *fleetCommand) Run(ctx context.Context) error {
	var opts []simulator.FleetOption
	if c.SlowClocks {
		opts = append(opts, simulator.WithSlowClocks())
	}
	fleet := simulator.NewFleet(c.Seed, c.runBehaviour, func(identifier.JobTask) identifier.Size { return fleetTaskSize }, opts...)
	for _, dc := range c.DataCentres {
		for i := range c.Workers {
			id := fmt.Sprintf("%s-w%d", dc, i)
			fleet.Add(connector.WorkerEntry{
				ID: identifier.Worker(id), Service: identifier.Service(c.Service),
				Address: cmp.Or(c.Reach[id], c.Address), DataCentre: identifier.DataCentre(dc),
				Capacity: identifier.Size{Processors: 4 * millicoresPerCore, Memory: 8 * mebibytesPerGibi},
			})
		}
	}
	queue := connector.QueueConfig{Name: identifier.Queue(c.Queue), Service: identifier.Service(c.Service), MaxAttempts: 3, Stretch: 2}
	srv := simulator.NewServer(simulator.NewStore(1, c.Seed), fleet, connector.Directory{
		Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{queue.Name: queue},
		Evacuated: map[identifier.DataCentre]bool{},
	})
	g, ctx := errgroup.WithContext(ctx)
	serve := func(address string, h messenger.Handler) error {
		rpc, err := messenger.Listen(address, h, zap.NewNop())
		if err != nil {
			return err
		}
		g.Go(func() error { return rpc.Run(ctx) })
		return nil
	}
	err := serve(c.Address, srv.Handle)
	for name, address := range c.Hosts {
		err = errors.CombineErrors(err, serve(address, srv.HandlerOf(name)))
	}
	if err != nil {
		return err
	}
	return g.Wait()
}

// runBehaviour returns how a run goes, derived from a hash of its task and attempt: runs take 300
// to 700 ms, those of long-running jobs a day, and Failing percent of them fail.
func (c *fleetCommand) runBehaviour(run connector.RunID) (took time.Duration, fails bool) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(run.Task.String()))
	took = 300*time.Millisecond + time.Duration(h.Sum32()%400)*time.Millisecond
	if strings.HasPrefix(string(run.Task.Job), longRunningPrefix) {
		took = 24 * time.Hour
	}
	_, _ = h.Write([]byte{byte(run.Attempt)})
	return took, h.Sum32()%100 < c.Failing
}

type evacuateCommand struct {
	DataCentre string `arg:"" help:"Data centre to take out of service."`
	Address    string `help:"Address of the fleet." default:"127.0.0.1:7003"`
	End        bool   `help:"Put the data centre back into service instead."`
}

// Run takes a data centre of the fleet out of service, or puts it back.
func (c *evacuateCommand) Run(ctx context.Context) error {
	client := messenger.NewClient()
	defer client.Close()
	var out connector.Directory
	return client.Call(ctx, c.Address, messenger.MethodEvacuate, simulator.EvacuateCall{DataCentre: identifier.DataCentre(c.DataCentre), Out: !c.End}, &out)
}

type auditCommand struct {
	Address string `help:"Address of the fleet." default:"127.0.0.1:7003"`
}

// Run prints what the fleet has recorded and fails if a guarantee was broken.
func (c *auditCommand) Run(ctx context.Context) error {
	client := messenger.NewClient()
	defer client.Close()
	var v simulator.Verdict
	if err := client.Call(ctx, c.Address, messenger.MethodVerify, simulator.VerifyCall{}, &v); err != nil {
		return err
	}
	fmt.Fprintf(os.Stdout, "%d runs began, %d promises broken\n", v.Starts, len(v.Breaches))
	for _, b := range v.Breaches {
		fmt.Fprintln(os.Stdout, b)
	}
	if len(v.Breaches) > 0 {
		return errBrokenGuarantees
	}
	return nil
}
