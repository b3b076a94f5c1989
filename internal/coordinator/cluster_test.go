package coordinator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/internal/follower"
	"github.com/balsamcove/balsamcove/internal/lessor"
	"github.com/balsamcove/balsamcove/internal/scheduler"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

const baseConfig = `
kind: team
name: office
quota: {processors: 400, memory: 4000GiB, accelerators: 10}
---
kind: dataCentre
name: a
region: west
---
kind: dataCentre
name: b
region: west
---
kind: placementPolicy
name: anywhere
dataCentres: [a, b]
---
kind: batchPool
name: runs
team: office
policy: anywhere
size: {processors: 2, memory: 4GiB}
runTime: 2s
---
kind: batchPool
name: watches
team: office
policy: anywhere
mode: watch
size: {processors: 1, memory: 1GiB}
---
kind: batchPool
name: bills
team: office
policy: anywhere
idempotent: true
size: {processors: 2, memory: 4GiB}
runTime: 2s
---
kind: batchPool
name: urgent
team: office
policy: anywhere
priority: urgent
size: {processors: 1, memory: 1GiB}
runTime: 1s
`

// host is one entry host of a fake cluster.
type host struct {
	*Coordinator
	log    *emulator.CutLog
	reach  *reach
	cancel context.CancelFunc
	done   chan struct{}
}

// reach is how one host reaches the workers; while cut, nothing passes, while
// deaf, calls take effect but their answers are lost, and while frozen, calls
// wait, whatever their deadline, as those of a paused process do.
type reach struct {
	mu        sync.Mutex
	cut, deaf bool
	frozen    chan struct{}
	// startDelay holds back starts alone, as a slow network may.
	startDelay time.Duration
}

func (r *reach) delayStarts(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startDelay = d
}

func (r *reach) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startDelay
}

func (r *reach) set(cut, deaf bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.deaf = cut, deaf
}

func (r *reach) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen == nil {
		r.frozen = make(chan struct{})
	}
}

func (r *reach) thaw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen != nil {
		close(r.frozen)
		r.frozen = nil
	}
}

func (r *reach) state() (cut, deaf bool) {
	r.mu.Lock()
	frozen := r.frozen
	r.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut, r.deaf
}

// frozenLog is a log that a host reaches only while it is not frozen.
type frozenLog struct {
	connector.Log
	reach *reach
}

func (l frozenLog) Append(ctx context.Context, s identifier.Stream, data []byte) error {
	l.reach.state()
	return l.Log.Append(ctx, s, data)
}

func (l frozenLog) Read(ctx context.Context, s identifier.Stream, from identifier.Offset) ([]connector.Record, connector.Bounds, error) {
	l.reach.state()
	return l.Log.Read(ctx, s, from)
}

// reachedWorker is a worker as one host reaches it.
type reachedWorker struct {
	connector.Worker
	reach *reach
}

func (w reachedWorker) pass(call func() error) error {
	cut, _ := w.reach.state()
	if cut {
		return errors.Mark(errors.New("cut off"), connector.ErrNotSent)
	}
	if err := call(); err != nil {
		return err
	}
	if _, deaf := w.reach.state(); deaf {
		return errors.Mark(errors.New("answer lost"), connector.ErrUnknown)
	}
	return nil
}

func (w reachedWorker) Open(ctx context.Context, e identifier.Epoch, ttl time.Duration) (out connector.Report, err error) {
	err = w.pass(func() error { out, err = w.Worker.Open(ctx, e, ttl); return err })
	return out, err
}

func (w reachedWorker) Renew(ctx context.Context, l identifier.Lease, e identifier.Epoch, ttl time.Duration) (out connector.Report, err error) {
	err = w.pass(func() error { out, err = w.Worker.Renew(ctx, l, e, ttl); return err })
	return out, err
}

func (w reachedWorker) Start(ctx context.Context, o connector.StartOrder) error {
	if d := w.reach.delay(); d > 0 {
		go func() {
			time.Sleep(d)
			_ = w.Worker.Start(ctx, o)
		}()
		return errors.Mark(errors.New("no answer in time"), connector.ErrUnknown)
	}
	return w.pass(func() error { return w.Worker.Start(ctx, o) })
}

func (w reachedWorker) Stop(ctx context.Context, e identifier.Epoch, t identifier.Task, a identifier.Attempt) error {
	return w.pass(func() error { return w.Worker.Stop(ctx, e, t, a) })
}

func (w reachedWorker) Forget(ctx context.Context, e identifier.Epoch, t []connector.WorkerTask) error {
	return w.pass(func() error { return w.Worker.Forget(ctx, e, t) })
}

// cluster is a set of entry hosts over in-memory stand-ins.
type cluster struct {
	t       testing.TB
	log     *emulator.Log
	list    *emulator.HostList
	workers map[identifier.Worker]*emulator.Worker
	hosts   map[string]*host
	started int
	mu      sync.Mutex
}

func testSettings(entry string, dc identifier.DataCentre, n int) Settings {
	return Settings{
		Entry: identifier.Entry(entry), Incarnation: identifier.Incarnation(fmt.Sprintf("%s-%d", entry, n)),
		DataCentre: dc, HomeShards: 2,
		Lease:    lessor.Timing{TTL: 1200 * time.Millisecond, RenewInterval: 400 * time.Millisecond},
		Follower: follower.Timing{PollInterval: 50 * time.Millisecond, ReadTimeout: time.Second},
		Scheduler: scheduler.Timing{
			WorkerTTL: 3 * time.Second, WorkerRenewInterval: time.Second, MaxStaleness: time.Second,
			ClaimDelay: 400 * time.Millisecond, ResendInterval: time.Second,
		},
		TickInterval: 50 * time.Millisecond, HostPollInterval: time.Second,
		Snapshot: SnapshotPolicy{Records: 500, Age: time.Minute},
	}
}

func newCluster(t testing.TB, workersPerDC int) *cluster {
	c := &cluster{
		t: t, log: &emulator.Log{}, list: &emulator.HostList{},
		workers: map[identifier.Worker]*emulator.Worker{}, hosts: map[string]*host{},
	}
	for _, dc := range []identifier.DataCentre{"a", "b"} {
		for i := range workersPerDC {
			id := identifier.Worker(fmt.Sprintf("%s-w%d", dc, i))
			h := connector.WorkerHost{
				ID: id, DataCentre: dc, Address: string(id), State: connector.HostLive,
				Capacity: identifier.Size{Processors: 16000, Memory: 60 << 10},
			}
			c.workers[id] = emulator.NewWorker(h)
			c.list.Announce(emulator.Announcement{Worker: &h})
		}
	}
	return c
}

func (c *cluster) start(name string, dc identifier.DataCentre) *host {
	c.t.Helper()
	c.started++
	cfg := testSettings(name, dc, c.started)
	h := &host{log: &emulator.CutLog{Log: c.log}, reach: &reach{}, done: make(chan struct{})}
	dial := func(w connector.WorkerHost) connector.Worker { return reachedWorker{c.workers[w.ID], h.reach} }
	coord, err := New(cfg, frozenLog{h.log, h.reach}, c.list, dial, WithPeers(func() []identifier.Incarnation { return c.peersOf(h) }))
	if err != nil {
		c.t.Fatal(err)
	}
	h.Coordinator = coord
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.done)
		_ = coord.Run(ctx)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[name] = h
	return h
}

// peersOf returns the other hosts of a data centre.
func (c *cluster) peersOf(self *host) []identifier.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []identifier.Incarnation
	for _, h := range c.hosts {
		if h != self && self.Coordinator != nil && h.cfg.DataCentre == self.cfg.DataCentre {
			out = append(out, h.cfg.Incarnation)
		}
	}
	return out
}

// kill ends a host without letting it say anything to the log.
func (c *cluster) kill(name string) {
	h := c.hosts[name]
	h.log.Cut(true)
	h.reach.set(true, false)
	h.reach.thaw()
	h.cancel()
	<-h.done
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hosts, name)
}

func (c *cluster) stopAll() {
	for name := range c.hosts {
		c.kill(name)
	}
}

func (c *cluster) publish(h *host, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	p := Publication{ID: identifier.Publication(identifier.NewName("p-")), AnyBase: true, Author: "test"}
	p.Sources = []parser.Source{{File: "test.yaml", Text: text}}
	_, err := h.Publish(ctx, p)
	return err
}

func (c *cluster) mustPublish(h *host, text string) {
	c.t.Helper()
	if err := c.publish(h, text); err != nil {
		c.t.Fatal(err)
	}
	version := h.Status().Version
	c.await(5*time.Second, "configuration in force everywhere", func() bool {
		for _, other := range c.hosts {
			if other.Status().Version < version {
				return false
			}
		}
		return true
	})
}

func (c *cluster) mustSubmit(h *host, task, pool string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := h.Submit(ctx, Submission{Task: identifier.Task(task), Pool: identifier.Pool(pool)}); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) events() []emulator.Event {
	var out []emulator.Event
	for _, w := range c.workers {
		out = append(out, w.Events()...)
	}
	return out
}

// await waits until cond holds, on the paused clock.
func (c *cluster) await(limit time.Duration, what string, cond func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if cond() {
			return
		}
	}
	c.t.Fatalf("after %s: not %s", limit, what)
}

// check lets the stand-ins' own records witness that no worker was committed
// beyond its capacity and that no task ran in two places or ended twice.
func (c *cluster) check() {
	c.t.Helper()
	for _, w := range c.workers {
		if peak := w.Peak(); !peak.Fits(w.Host.Capacity) {
			c.t.Errorf("worker %s ran %s of %s", w.Host.ID, peak, w.Host.Capacity)
		}
	}
	for _, violation := range emulator.CheckRuns(c.events(), func(t identifier.Task) bool { return !strings.HasPrefix(string(t), "run") }) {
		c.t.Error(violation)
	}
}

func drainText(dc string, state parser.Availability) string {
	return fmt.Sprintf("kind: dataCentre\nname: %s\nregion: west\nstate: %s\n", dc, state)
}

func TestTaskRunsOnceAndDrainMovesWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		a1 := c.start("a1", "a")
		c.start("a2", "a")
		b1 := c.start("b1", "b")
		time.Sleep(2 * time.Second)
		c.mustPublish(a1, baseConfig)
		for i := range 10 {
			c.mustSubmit(a1, fmt.Sprintf("run-%d", i), "runs")
			c.mustSubmit(b1, fmt.Sprintf("watch-%d", i), "watches")
		}
		c.await(10*time.Second, "all runs done", func() bool {
			return len(a1.Tasks(func(t tracker.Task) bool {
				return strings.HasPrefix(string(t.ID), "run") && t.State == tracker.StateEnded
			})) == 10
		})
		c.mustPublish(b1, drainText("a", parser.Drained))
		c.await(20*time.Second, "data centre a empty", func() bool {
			p, err := b1.Progress("a")
			return err == nil && p.Claimed == 0
		})
		c.await(5*time.Second, "watches run in b", func() bool {
			p, err := b1.Progress("b")
			return err == nil && p.Claimed == 10
		})
		c.check()
	})
}
