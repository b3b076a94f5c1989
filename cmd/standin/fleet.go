package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// errPromises marks a check that found a broken promise.
var errPromises = errors.New("promises broken")

type fleetCommand struct {
	Address     string   `help:"Address to serve on." default:"127.0.0.1:7003"`
	DataCentres []string `help:"Data centres." default:"a,b"`
	Workers     int      `help:"Workers of each data centre." default:"4"`
	Service     string   `help:"Service that the workers run." default:"invoicing"`
	Queue       string   `help:"Queue that goes to the service." default:"bills"`
}

// fleetTask is what every task of the demo reserves; orders do not tell.
var fleetTask = identifier.Size{Processors: millicores, Memory: mebibytes}

// Run serves a store, a directory and workers to scheduling hosts.
func (c *fleetCommand) Run(ctx context.Context) error {
	fleet := simulator.NewFleet(1, fleetBehaviour, func(identifier.JobTask) identifier.Size { return fleetTask })
	for _, dc := range c.DataCentres {
		for i := range c.Workers {
			fleet.Add(connector.WorkerEntry{
				ID: identifier.Worker(fmt.Sprintf("%s-w%d", dc, i)), Service: identifier.Service(c.Service),
				Address: c.Address, DataCentre: identifier.DataCentre(dc),
				Capacity: identifier.Size{Processors: 4 * millicores, Memory: 8 * mebibytes},
			})
		}
	}
	queue := connector.QueueConfig{Name: identifier.Queue(c.Queue), Service: identifier.Service(c.Service), MaxAttempts: 3, Stretch: 2}
	srv := simulator.NewServer(simulator.NewStore(1, 1), fleet, connector.Directory{
		Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{queue.Name: queue},
		Evacuated: map[identifier.DataCentre]bool{},
	})
	rpc, err := messenger.Listen(c.Address, srv.Handle, zap.NewNop())
	if err != nil {
		return err
	}
	return rpc.Run(ctx)
}

// fleetBehaviour lets runs take 300 to 700 ms, and none fail.
func fleetBehaviour(run connector.RunID) (time.Duration, bool) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(run.Task.String()))
	return 300*time.Millisecond + time.Duration(h.Sum32()%400)*time.Millisecond, false
}

type evacuateCommand struct {
	DataCentre string `arg:"" help:"Data centre."`
	Address    string `help:"Address of the fleet." default:"127.0.0.1:7003"`
	End        bool   `help:"Take the data centre back into service."`
}

// Run takes a data centre out of service.
func (c *evacuateCommand) Run(ctx context.Context) error {
	client := messenger.NewClient()
	defer client.Close()
	var out connector.Directory
	return client.Call(ctx, c.Address, messenger.MethodEvacuate, simulator.EvacuateCall{DataCentre: identifier.DataCentre(c.DataCentre), Out: !c.End}, &out)
}

type auditCommand struct {
	Address string `help:"Address of the fleet." default:"127.0.0.1:7003"`
}

// Run prints what the fleet has recorded and fails if a promise was broken.
func (c *auditCommand) Run(ctx context.Context) error {
	client := messenger.NewClient()
	defer client.Close()
	var v simulator.Verdict
	if err := client.Call(ctx, c.Address, messenger.MethodVerify, struct{}{}, &v); err != nil {
		return err
	}
	fmt.Fprintf(os.Stdout, "%d runs began, %d promises broken\n", v.Starts, len(v.Breaches))
	for _, b := range v.Breaches {
		fmt.Fprintln(os.Stdout, b)
	}
	if len(v.Breaches) > 0 {
		return errPromises
	}
	return nil
}
