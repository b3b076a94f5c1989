package supervisor

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dispatcher"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/meter"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/relayer"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	testService identifier.Service = "rakes"
	testQueue   identifier.Queue   = "plans"
	testJobs                       = 20
	// testLimit is how long all jobs may take, a takeover included; they need
	// about four seconds.
	testLimit = 30 * time.Second
)

var (
	testSize   = identifier.Size{Processors: 1000, Memory: 1000}
	testConfig = connector.QueueConfig{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2}
)

// directory shows the workers of a fleet.
type directory struct {
	fleet   *simulator.Fleet
	changed func(connector.Directory)
}

func (d *directory) Current() connector.Directory {
	now := time.Now()
	return connector.Directory{
		Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{testQueue: testConfig},
		ConfigReadAt: now, WorkersReadAt: now, Workers: d.fleet.Entries(),
	}
}

func (d *directory) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.changed(d.Current())
		sleeper.Pause(ctx, 100*time.Millisecond)
	}
	return nil
}

func (d *directory) WatchWorkers() func() { return func() {} }

// host is a scheduling host under way.
type host struct {
	*Supervisor
	kill func()
	done chan struct{}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func startHost(t *testing.T, name string, store *simulator.Store, fleet *simulator.Fleet) *host {
	t.Helper()
	m, err := meter.New()
	if err != nil {
		t.Fatal(err)
	}
	jobs, err := meter.NewJobs(m)
	if err != nil {
		t.Fatal(err)
	}
	d := &directory{fleet: fleet}
	runner, cut := fleet.Client()
	s := New(Settings{
		Name: identifier.Entry(name), Incarnation: "1", PeerAddress: freeAddress(t), Cells: 1, MemberTTL: time.Second,
		Term: dispatcher.Settings{
			SaveInterval: 5 * time.Millisecond, RenewalGrace: 2 * time.Second,
			Planner: planner.Settings{Lease: 3 * time.Second, InheritedLease: 5100 * time.Millisecond, MaxDirectoryAge: time.Second, Retention: time.Minute},
		},
	}, relayer.New(store.Client(name), zap.NewNop()), runner, d, NewPlannerLog(zap.NewNop(), jobs), zap.NewNop())
	d.changed = s.DirectoryChanged
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{Supervisor: s, done: make(chan struct{})}
	h.kill = func() { cut(); cancel() }
	go func() {
		defer close(h.done)
		if err := s.Run(ctx, ctx); err != nil {
			t.Errorf("host %s: %v", name, err)
		}
	}()
	t.Cleanup(func() { cancel(); <-h.done })
	return h
}

// newSite returns a store, a fleet of four workers and three hosts.
func newSite(t *testing.T) (*simulator.Store, *simulator.Fleet, []*host) {
	t.Helper()
	fleet := simulator.NewFleet(1,
		func(connector.RunID) (time.Duration, bool) { return 200 * time.Millisecond, false },
		func(identifier.JobTask) identifier.Size { return testSize })
	for i := range 4 {
		fleet.Add(connector.WorkerEntry{
			ID: identifier.Worker(fmt.Sprint("w", i)), Service: testService, Address: "x", DataCentre: "a",
			Capacity: identifier.Size{Processors: 4000, Memory: 8000},
		})
	}
	store := simulator.NewStore(partitions, 1)
	var hosts []*host
	for i := range 3 {
		hosts = append(hosts, startHost(t, fmt.Sprint("h", i), store, fleet))
	}
	return store, fleet, hosts
}

// partitions are more than the cells, so that every host has one and is known.
const partitions = 6

// TestHolderThatIsTurnedAwayGoesOn checks that the host which schedules keeps its
// cell, and that jobs handed in at it are done, while the store serves only others.
func TestHolderThatIsTurnedAwayGoesOn(t *testing.T) {
	tests := map[string]func(name string) simulator.StoreFaults{
		"turned away": func(name string) simulator.StoreFaults {
			return simulator.StoreFaults{Refused: map[string]bool{name: true}}
		},
		"no answer": func(name string) simulator.StoreFaults {
			return simulator.StoreFaults{Silent: map[string]bool{name: true}}
		},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			store, fleet, hosts := newSite(t)
			ctx, cancel := context.WithTimeout(t.Context(), testLimit)
			defer cancel()
			for n := range testJobs {
				submit(ctx, t, hosts[n%len(hosts)], n)
			}
			holder := hosts[waitForHolder(ctx, t, hosts)]
			sleeper.Pause(ctx, 4*time.Second)
			store.SetFaults(faults(string(holder.settings.Name)))
			began := time.Now()
			submit(ctx, t, holder, testJobs)
			waitUntilCompleted(ctx, t, holder, jobID(testJobs))
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("a job of 400 ms took %v", took)
			}
			sleeper.Pause(ctx, 3*time.Second)
			if len(holder.Stats()) == 0 {
				t.Error("the holder has lost its cell")
			}
			for _, b := range fleet.Breaches() {
				t.Error(b)
			}
		})
	}
}

// TestJobsOutliveTheirHolder submits jobs at three hosts over real connections,
// ends the one that schedules, and asks the others for every job.
func TestJobsOutliveTheirHolder(t *testing.T) {
	_, fleet, hosts := newSite(t)
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	for n := range testJobs {
		submit(ctx, t, hosts[n%len(hosts)], n)
	}
	holder := waitForHolder(ctx, t, hosts)
	sleeper.Pause(ctx, 300*time.Millisecond)
	hosts[holder].kill()
	rest := append(append([]*host(nil), hosts[:holder]...), hosts[holder+1:]...)
	for _, h := range rest {
		for n := range testJobs {
			waitUntilCompleted(ctx, t, h, jobID(n))
		}
	}
	for _, b := range fleet.Breaches() {
		t.Error(b)
	}
	if starts := fleet.Starts(); starts < 2*testJobs {
		t.Errorf("%d starts for %d tasks", starts, 2*testJobs)
	}
}

func jobID(n int) identifier.Job { return identifier.Job(fmt.Sprintf("%016x", n)) }

func submit(ctx context.Context, t *testing.T, h *host, n int) {
	t.Helper()
	job := submitter.Job{ID: jobID(n), Queue: testQueue, Steps: []submitter.Step{{Count: 1, Size: testSize}, {Count: 1, Size: testSize, After: []int{0}}}}
	if err := h.Intake().Submit(ctx, intake.Submission{Job: job, Queue: testConfig}); err != nil {
		t.Fatalf("submission %d: %v", n, err)
	}
}

func waitForHolder(ctx context.Context, t *testing.T, hosts []*host) int {
	t.Helper()
	for ctx.Err() == nil {
		for i, h := range hosts {
			for _, s := range h.Stats() {
				if s.Jobs == testJobs {
					return i
				}
			}
		}
		sleeper.Pause(ctx, 20*time.Millisecond)
	}
	t.Fatal("no host schedules the jobs")
	return 0
}

func waitUntilCompleted(ctx context.Context, t *testing.T, h *host, id identifier.Job) {
	t.Helper()
	var state string
	var known bool
	var err error
	for ctx.Err() == nil {
		if state, known, err = h.Intake().State(ctx, id); err == nil && state == string(planner.StateCompleted) {
			return
		}
		if err == nil && !known {
			t.Fatalf("job %s is not known at %s", id, h.settings.Name)
		}
		sleeper.Pause(ctx, 50*time.Millisecond)
	}
	t.Fatalf("job %s is %q (%v) at %s", id, state, err, h.settings.Name)
}
