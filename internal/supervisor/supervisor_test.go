package supervisor

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
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
	// testTimeout is the timeout for all jobs including a takeover, which usually take about 4 s.
	testTimeout = 30 * time.Second
)

var (
	testSize   = identifier.Size{Processors: 1000, Memory: 1000}
	testConfig = connector.QueueConfig{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2}
)

// directory is a Directory with a fixed configuration and the workers of a simulated fleet.
type directory struct {
	fleet   *simulator.Fleet
	changed func(connector.Directory)
	// version is the version of the configuration whose record other hosts may ask for.
	version atomic.Uint64
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

func (d *directory) Expect(identifier.ConfigVersion) {}

func (d *directory) ConfigRecord() (identifier.ConfigVersion, []byte) {
	return identifier.ConfigVersion(d.version.Load()), []byte("record")
}

func (d *directory) WatchWorkers() func() { return func() {} }

// host is a running scheduling host.
type host struct {
	*Supervisor
	// kill cuts the host off from all workers and stops it.
	kill func()
	done chan struct{}
}

// freeAddress returns a local address with a port that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// startHost starts a host, which is stopped when the test ends.
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
	runner, disconnect := fleet.Client()
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
	h.kill = func() { disconnect(); cancel() }
	go func() {
		defer close(h.done)
		if err := s.Run(ctx, ctx); err != nil {
			t.Errorf("host %s: %v", name, err)
		}
	}()
	t.Cleanup(func() { cancel(); <-h.done })
	return h
}

// newCluster returns a store, a fleet of four workers and three running hosts.
func newCluster(t *testing.T) (*simulator.Store, *simulator.Fleet, []*host) {
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

// partitions is the number of partitions of the store. There are more than cells, so that each host
// owns at least one and is listed as an owner.
const partitions = 6

// TestHolderThatIsTurnedAwayGoesOn checks that the holder keeps its cell, and completes jobs that
// are submitted to it, while the store refuses or ignores its calls and serves the other hosts.
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
			store, fleet, hosts := newCluster(t)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
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

// TestJobsOutliveTheirHolder submits jobs to three hosts over real connections and kills the
// holder. Both other hosts must report every job as completed.
func TestJobsOutliveTheirHolder(t *testing.T) {
	_, fleet, hosts := newCluster(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for n := range testJobs {
		submit(ctx, t, hosts[n%len(hosts)], n)
	}
	holder := waitForHolder(ctx, t, hosts)
	sleeper.Pause(ctx, 300*time.Millisecond)
	hosts[holder].kill()
	others := append(append([]*host(nil), hosts[:holder]...), hosts[holder+1:]...)
	for _, h := range others {
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

// submit submits job n, which has two steps of one task each, to a host.
func submit(ctx context.Context, t *testing.T, h *host, n int) {
	t.Helper()
	job := submitter.Job{ID: jobID(n), Queue: testQueue, Steps: []submitter.Step{{Count: 1, Size: testSize}, {Count: 1, Size: testSize, After: []int{0}}}}
	if err := h.Intake().Submit(ctx, intake.Submission{Job: job, Queue: testConfig}); err != nil {
		t.Fatalf("submission %d: %v", n, err)
	}
}

// waitForHolder waits until a host holds the cell with all test jobs, and returns its index.
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

// waitUntilCompleted waits until a host reports a job as completed. It fails the test if the host
// does not know the job.
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
