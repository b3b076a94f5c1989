package dispatcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/carrier"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// The shape of the largest deployment: its workers, the hosts that call them, and the jobs
// of each kind a second.
const (
	benchWorkers     = 1800
	benchDataCentres = 5
	benchLargeHosts  = 15
	benchSmallHosts  = 132
	benchWatches     = 330
	checksPerSecond  = 20.6
	runsPerSecond    = 46.6
	// benchSpan is how long one load is offered, benchSettle how long the lasting tasks have
	// to start before.
	benchSpan   = 10 * time.Second
	benchSettle = 4 * time.Second
	// benchHosts is the variable by which the process of the hosts learns its holder.
	benchHosts = "BALSAMCOVE_BENCH_HOLDER"
)

// TestMain also serves as the process of the hosts that call workers for BenchmarkHolder,
// so that the holder's process does only the holder's work.
func TestMain(m *testing.M) {
	if holder := os.Getenv(benchHosts); holder != "" {
		callWorkers(holder)
		return
	}
	os.Exit(m.Run())
}

type oneHolder string

func (o oneHolder) Holders() []string       { return []string{string(o)} }
func (o oneHolder) Refresh(context.Context) {}

// lively makes the workers of a fleet report progress, tails and use.
type lively struct{ connector.Runner }

// Hold implements connector.Runner.
func (l lively) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	a, err := l.Runner.Hold(ctx, to, o)
	for i := range a.Active {
		r := &a.Active[i]
		r.Percent = 100
		if lasts(r.Run.Task.Job) {
			r.TailLatency = time.Duration(3+rand.IntN(3)) * time.Millisecond
			continue
		}
		r.Checkpoint, r.CPUUsed = "00000bb87a21d94b", 1500
	}
	return a, err
}

// lasts reports whether a job of the benchmark lasts.
func lasts(id identifier.Job) bool { return id[0] == 'a' }

// callWorkers offers hosts to a holder until the input ends.
func callWorkers(holder string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet := simulator.NewFleet(1, func(run connector.RunID) (time.Duration, bool) {
		mean := map[byte]float64{'a': 3600, 'b': 0.8, 'c': 1.7}[run.Task.Job[0]]
		part := float64(identifier.Rank(run.Task.String(), "time")%1000) / 1000
		return time.Duration((0.5 + part) * mean * float64(time.Second)), false
	}, func(identifier.JobTask) identifier.Size { return identifier.Size{} })
	for _, e := range benchEntries() {
		fleet.Add(e)
	}
	client, _ := fleet.Client()
	for i := range benchLargeHosts + benchSmallHosts {
		o := carrier.Offer{Name: identifier.Entry(fmt.Sprint("host", i)), DataCentre: benchDataCentre(i), MaxWorkers: 48}
		if i < benchLargeHosts {
			o.MaxWorkers = 128
		}
		go func() { _ = carrier.NewHost(o, lively{client}, oneHolder(holder), zap.NewNop()).Run(ctx) }()
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func benchDataCentre(i int) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprint("dc", i%benchDataCentres))
}

func benchEntries() map[identifier.Worker]connector.WorkerEntry {
	out := map[identifier.Worker]connector.WorkerEntry{}
	for i := range benchWorkers {
		size := identifier.Size{Processors: 16000, Memory: 64000}
		if i%3 == 0 {
			size.Processors = 24000
		}
		id := identifier.Worker(fmt.Sprintf("worker%010d", i))
		out[id] = connector.WorkerEntry{ID: id, Service: testService, Address: "192.0.2.1:8080", DataCentre: benchDataCentre(i), Capacity: size}
	}
	return out
}

// benchLoad submits the jobs of a deployment.
type benchLoad struct {
	store connector.Store
	rand  *rand.Rand
	jobs  int
}

// spread returns a number about a mean.
func (l *benchLoad) spread(mean, spread float64) int {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return max(int(mean*math.Exp(l.rand.NormFloat64()*sigma-sigma*sigma/2)), 1)
}

func (l *benchLoad) submit(ctx context.Context, b *testing.B, q identifier.Queue, steps ...submitter.Step) {
	l.jobs++
	for i := range steps[1:] {
		steps[i+1].After = []int{i}
	}
	job := submitter.Job{ID: identifier.Job(fmt.Sprintf("%s%015x", q[:1], l.jobs)), Queue: q, Spec: "a spec", Steps: steps}
	record, err := intake.EncodeSubmission(intake.Submission{Job: job, Queue: benchQueues[q]})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := l.store.Append(ctx, connector.KeyedAppend{Topic: intake.TopicInbox, Records: []connector.KeyedRecord{record}}); err != nil {
		b.Fatal(err)
	}
}

const (
	watchQueue identifier.Queue = "a-watch"
	checkQueue identifier.Queue = "b-check"
	runQueue   identifier.Queue = "c-run"
)

var benchQueues = map[identifier.Queue]connector.QueueConfig{
	watchQueue: crowdConfig(watchQueue, 0), checkQueue: crowdConfig(checkQueue, 0), runQueue: crowdConfig(runQueue, 2),
}

func (l *benchLoad) watch(ctx context.Context, b *testing.B) {
	l.submit(ctx, b, watchQueue, submitter.Step{
		Count: l.spread(24, 0.4), Size: identifier.Size{Processors: 3200, Memory: 6400}, LongRunning: true,
		Estimate: identifier.Duration(400 * time.Millisecond), TailTarget: identifier.Duration(15 * time.Millisecond),
		Image: identifier.Image(fmt.Sprint("serves", l.rand.IntN(16))),
	})
}

func (l *benchLoad) check(ctx context.Context, b *testing.B) {
	var steps []submitter.Step
	for range 1 + l.rand.IntN(2) {
		steps = append(steps, submitter.Step{
			Count: l.spread(13, 0.8), Size: identifier.Size{Processors: 4900, Memory: 9800}, Estimate: identifier.Duration(800 * time.Millisecond),
		})
	}
	l.submit(ctx, b, checkQueue, steps...)
}

func (l *benchLoad) run(ctx context.Context, b *testing.B) {
	image := identifier.Image(fmt.Sprint("fills", l.rand.IntN(30)))
	var steps []submitter.Step
	for range 1 + l.rand.IntN(3) {
		steps = append(steps, submitter.Step{
			Count: l.spread(40, 0.6), Size: identifier.Size{Processors: 1800, Memory: 3200}, Estimate: identifier.Duration(1700 * time.Millisecond),
			Scavenger: true, Checkpoints: true, Image: image,
		})
	}
	l.submit(ctx, b, runQueue, steps...)
}

// offer submits jobs for a time, at so many times the usual rate.
func (l *benchLoad) offer(ctx context.Context, b *testing.B, times float64) {
	const step = 10 * time.Millisecond
	began, last := time.Now(), time.Now()
	var checks, runs float64
	for time.Since(began) < benchSpan {
		sleeper.Pause(ctx, step)
		due := time.Since(last).Seconds() * times
		last = time.Now()
		for checks += due * checksPerSecond; checks >= 1; checks-- {
			l.check(ctx, b)
		}
		for runs += due * runsPerSecond; runs >= 1; runs-- {
			l.run(ctx, b)
		}
	}
}

// processorTime returns what this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchHolder begins a term whose workers are called by hosts in another process.
func benchHolder(ctx context.Context, b *testing.B, store *simulator.Store) *Term {
	entries := benchEntries()
	pool := carrier.NewPool(nil, benchWorkers/10, zap.NewNop())
	pool.SetWorkers(entries)
	pool.Open()
	address := freeAddress(ctx, b)
	server, err := messenger.Listen(address, func(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
		out, ok, err := pool.Handle(ctx, method, params)
		if !ok {
			return nil, refuser.New(refuser.CodeInvalid, "unknown method %q", method)
		}
		return out, err
	}, zap.NewNop(), messenger.WithBatchHandler(pool.Receive))
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Run(ctx) }()
	go func() { _ = pool.Run(ctx) }()
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), benchHosts+"="+address)
	input, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = input.Close()
		_ = cmd.Wait()
	})
	for len(pool.Loads()) < benchLargeHosts+benchSmallHosts && ctx.Err() == nil {
		sleeper.Pause(ctx, 10*time.Millisecond)
	}
	s := settings("holder")
	s.SaveInterval = 20 * time.Millisecond
	directory := func() connector.Directory {
		return connector.Directory{Version: 1, Queues: benchQueues, ConfigReadAt: time.Now(), WorkersReadAt: time.Now(), Workers: entries}
	}
	term := NewTerm(0, s, store.Client("holder"), pool, zap.NewNop())
	go func() { _ = term.Run(ctx, directory()) }()
	go func() {
		for ctx.Err() == nil {
			sleeper.Pause(ctx, 300*time.Millisecond)
			term.Notify(planner.DirectoryChanged{Directory: directory()})
		}
	}()
	return term
}

// BenchmarkHolder offers the load of the largest deployment to a holder on one processor
// and tells what of it the holder uses. It takes the time of a few seconds for each load;
// run it with -benchtime 1x on a machine that does little else.
func BenchmarkHolder(b *testing.B) {
	for _, times := range []float64{0.5, 1, 1.5, 2.2} {
		b.Run(fmt.Sprint(times), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			b.Cleanup(cancel)
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			store := simulator.NewStore(1, 1)
			term := benchHolder(ctx, b, store)
			load := &benchLoad{store: store.Client("caller"), rand: rand.New(rand.NewPCG(1, 2))}
			for range benchWatches {
				load.watch(ctx, b)
			}
			sleeper.Pause(ctx, benchSettle)
			before, used := term.Stats(), processorTime(b)
			for b.Loop() {
				load.offer(ctx, b, times)
			}
			used = processorTime(b) - used
			now := term.Stats()
			seconds := b.Elapsed().Seconds()
			starts := float64(now.Starts - before.Starts)
			b.ReportMetric(starts/seconds, "starts/s")
			b.ReportMetric(float64(now.Polls-before.Polls)/seconds, "looks/s")
			b.ReportMetric(used.Seconds()/seconds, "processors")
			b.ReportMetric(float64(used.Microseconds())/starts, "us/start")
			b.ReportMetric(float64(now.ReadyTasks), "ready")
		})
	}
}

func freeAddress(ctx context.Context, b *testing.B) string {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}
