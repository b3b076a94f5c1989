// Package soaker runs scheduling hosts as separate processes against the stand-in platform. It
// injects the faults of a plan into the hosts, their links and the platform, submits jobs, and
// records what callers and workers observe.
package soaker

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/disturber"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/client"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"

	"github.com/balsamcove/balsamcove/internal/auditor"
	"github.com/balsamcove/balsamcove/internal/drafter"
)

const (
	// reconcileInterval is the interval at which faults are applied and processes checked.
	reconcileInterval = 20 * time.Millisecond
	// minStall is the shortest pause of this process that is recorded as a stall.
	minStall = 100 * time.Millisecond
	// pollInterval is the interval at which worker events are read from the stand-in.
	pollInterval = 500 * time.Millisecond
	// readyTimeout limits the time from the first start until every host is ready.
	readyTimeout = 30 * time.Second
	// adminTimeout limits a direct call to the stand-in, which no fault affects.
	adminTimeout = 20 * time.Second
)

// run is the state of one soak run.
type run struct {
	drafter.Options
	plan    drafter.Plan
	bin     string
	dir     string
	layout  layout
	spawner *spawner
	rpc     *messenger.Client
	clients []*client.Client
	links   map[drafter.LinkID]*disturber.Link
	hosts   []*host

	mu      sync.Mutex
	history auditor.History
	// stopLongRunning tells callers to cancel their long-running jobs.
	stopLongRunning bool
}

// Run makes one soak run with the programs in directory bin, keeps its files in dir, and returns
// what was observed. Violated guarantees are not errors; an error means that the run could not be
// completed.
func Run(ctx context.Context, o drafter.Options, bin, dir string) (auditor.History, error) {
	if err := o.Check(); err != nil {
		return auditor.History{}, err
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return auditor.History{}, errors.Wrap(err, "create run directory")
	}
	r := &run{
		Options: o, plan: drafter.NewPlan(o), bin: bin, dir: dir, layout: newLayout(o, os.Getpid()),
		spawner: newSpawner(), rpc: messenger.NewClient(), links: map[drafter.LinkID]*disturber.Link{},
	}
	defer close(r.spawner.starts)
	defer r.rpc.Close()
	r.history.Plan = r.plan
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer cancel()
		return r.execute(ctx, g)
	})
	err := g.Wait()
	return r.history, err
}

// execute starts the platform and the hosts, plays load and faults, waits until the jobs have
// settled, and stops the hosts.
func (r *run) execute(ctx context.Context, g *errgroup.Group) error {
	platform, err := r.startPlatform()
	if err != nil {
		return err
	}
	defer killAndWait(platform)
	if err := r.listen(ctx, g); err != nil {
		return err
	}
	defer func() {
		for _, h := range r.hosts {
			killAndWait(h.process)
		}
	}()
	for i := range r.Hosts {
		h, err := r.prepareHost(i)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	r.history.Began = time.Now()
	g.Go(func() error { return r.recordStalls(ctx) })
	all.Go(func() { r.publishConfigs(callers) })
	for h := range r.Hosts {
		all.Go(func() { r.probeConfig(callers, h) })
	}
	for n, e := range r.plan.Jobs {
		all.Go(func() {
			sleeper.Pause(callers, time.Until(r.history.Began.Add(e.At)))
			r.runCaller(callers, n, e)
		})
	}
	err = r.playFaults(ctx)
	if err == nil {
		err = r.settle(ctx)
	}
	stop()
	all.Wait()
	if err != nil || ctx.Err() != nil {
		return errors.CombineErrors(err, ctx.Err())
	}
	if err := r.stopHosts(ctx); err != nil {
		return err
	}
	if !platform.alive() {
		r.recordExit(platform.exit())
	}
	return r.poll(ctx)
}

// killAndWait kills a process, if it is not nil, and waits for its exit.
func killAndWait(p *process) {
	if p != nil {
		p.kill()
		<-p.done
	}
}

// startPlatform starts the stand-in for the platform, with a store address for each host.
func (r *run) startPlatform() (*process, error) {
	stores, reach := map[string]string{}, map[string]string{}
	for h := range r.Hosts {
		stores[drafter.HostName(h)] = r.layout.store(h)
	}
	for w := range r.layout.workers {
		reach[string(w)] = r.layout.link(drafter.WorkerLink(w))
	}
	return r.spawner.start("standin", r.logPath("standin"), filepath.Join(r.bin, "standin"), "fleet",
		"--address", r.layout.platform(), "--hosts", flagMap(stores), "--reach", flagMap(reach),
		"--data-centres", joinNames(drafter.DataCentres), "--workers", fmt.Sprint(drafter.WorkersPerDataCentre(r.Options)),
		"--queue", string(drafter.Queue), "--seed", fmt.Sprint(r.Seed), "--failing", "2", "--slow-clocks")
}

// flagMap formats a map as a flag value, such as "a=1;b=2".
func flagMap(m map[string]string) string {
	var pairs []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		pairs = append(pairs, k+"="+m[k])
	}
	return strings.Join(pairs, ";")
}

func joinNames[T ~string](names []T) string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = string(n)
	}
	return strings.Join(out, ",")
}

// listen opens the links and creates one client per host.
func (r *run) listen(ctx context.Context, g *errgroup.Group) error {
	for id, target := range r.layout.targets(r.Hosts) {
		l, err := disturber.Listen(r.layout.link(id), target)
		if err != nil {
			return err
		}
		r.links[id] = l
		g.Go(func() error { return l.Run(ctx) })
	}
	for h := range r.Hosts {
		c, err := client.New([]string{r.layout.link(drafter.CallersLink(h))}, client.WithTimeout(callTimeout))
		if err != nil {
			return err
		}
		r.clients = append(r.clients, c)
	}
	return nil
}

// awaitReady starts the hosts and waits until each answers status calls. A host is ready when it
// reports an unknown job as not found. It returns an error after readyTimeout.
func (r *run) awaitReady(ctx context.Context) error {
	for began := time.Now(); ; sleeper.Pause(ctx, pollInterval) {
		if err := r.reconcile(drafter.Compose(nil)); err != nil {
			return err
		}
		var last error
		for h := range r.Hosts {
			probe := drafter.JobEvent{Job: submitter.Job{ID: "nobody"}}
			if c := r.status(ctx, probe, h); c.Refusal == nil || c.Refusal.Code != refuser.CodeNotFound {
				last = errors.Newf("host %d is not ready: %v", h, c.Refusal)
			}
		}
		if last == nil {
			r.history.Calls = nil
			return nil
		}
		if ctx.Err() != nil || time.Since(began) > readyTimeout {
			return errors.CombineErrors(last, ctx.Err())
		}
	}
}

// playFaults applies the faults of the plan at their times until the load and the last fault have
// ended, and then removes all faults.
func (r *run) playFaults(ctx context.Context) error {
	nextFault := 0
	var active []drafter.FaultEvent
	polled := time.Now()
	for at := time.Duration(0); at < r.plan.End(); at = time.Since(r.history.Began) {
		activeBefore := len(active)
		active = slices.DeleteFunc(active, func(e drafter.FaultEvent) bool { return e.At+e.For <= at })
		changed := len(active) != activeBefore
		var started []drafter.FaultEvent
		for ; nextFault < len(r.plan.Faults) && r.plan.Faults[nextFault].At <= at; nextFault++ {
			started = append(started, r.plan.Faults[nextFault])
		}
		active = append(active, started...)
		if changed || len(started) > 0 {
			if err := r.applyFaults(ctx, drafter.Compose(faultsOf(active)), started); err != nil {
				return err
			}
		}
		if err := r.reconcile(drafter.Compose(faultsOf(active))); err != nil {
			return err
		}
		if time.Since(polled) > pollInterval {
			polled = time.Now()
			if err := r.poll(ctx); err != nil {
				return err
			}
		}
		sleeper.Pause(ctx, reconcileInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if err := r.applyFaults(ctx, drafter.Compose(nil), nil); err != nil {
		return err
	}
	err := r.reconcile(drafter.Compose(nil))
	r.history.FaultsEnded = time.Now()
	return err
}

func faultsOf(events []drafter.FaultEvent) (out []drafter.Fault) {
	for _, e := range events {
		out = append(out, e.Fault)
	}
	return out
}

// applyFaults sets the faults of links and the platform to match a state. One-off faults, such as
// resets and crashes, are triggered for the events that have just started.
func (r *run) applyFaults(ctx context.Context, s drafter.State, started []drafter.FaultEvent) error {
	for id, l := range r.links {
		l.SetFaults(s.Links[id])
	}
	faults := simulator.FaultsCall{Store: s.Store, Workers: s.Workers, Crash: map[identifier.Worker]time.Duration{}}
	for _, e := range started {
		switch f := e.Fault.(type) {
		case drafter.LinksReset:
			for _, id := range f.Links {
				r.links[id].Reset()
			}
		case drafter.StoreForgets:
			faults.ExpireTopics = drafter.ExpirableTopics
		case drafter.WorkersCrash:
			for _, id := range f.Workers {
				faults.Crash[id] = e.For
			}
		}
	}
	for _, id := range drafter.WorkerIDs(r.Options) {
		if s.Removed[id] {
			faults.Leave = append(faults.Leave, id)
		} else {
			faults.Return = append(faults.Return, id)
		}
	}
	if err := r.admin(ctx, messenger.MethodFaults, faults, nil); err != nil {
		return err
	}
	return r.evacuate(ctx, s.Evacuated)
}

// evacuate changes which data centres are evacuated to match out, and records the times.
func (r *run) evacuate(ctx context.Context, out map[identifier.DataCentre]bool) error {
	for _, dc := range drafter.DataCentres {
		i := slices.IndexFunc(r.history.Evacuations, func(e auditor.Evacuation) bool { return e.DataCentre == dc && e.Ended.IsZero() })
		if out[dc] == (i >= 0) {
			continue
		}
		if i >= 0 {
			r.history.Evacuations[i].Ended = time.Now()
		}
		if err := r.admin(ctx, messenger.MethodEvacuate, simulator.EvacuateCall{DataCentre: dc, Out: out[dc]}, nil); err != nil {
			return err
		}
		if i < 0 {
			r.history.Evacuations = append(r.history.Evacuations, auditor.Evacuation{DataCentre: dc, Acked: time.Now()})
		}
	}
	return nil
}

// admin calls the stand-in directly, past the links.
func (r *run) admin(ctx context.Context, method messenger.Method, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	return r.rpc.Call(ctx, r.layout.platform(), method, in, out)
}

// poll reads the worker events and violations recorded since the last poll.
func (r *run) poll(ctx context.Context) error {
	for {
		var v simulator.Verdict
		if err := r.admin(ctx, messenger.MethodVerify, simulator.VerifyCall{From: len(r.history.Events)}, &v); err != nil {
			return err
		}
		r.history.Breaches = v.Breaches
		r.history.Events = append(r.history.Events, v.Events...)
		if len(v.Events) == 0 {
			return nil
		}
	}
}

// settle waits until all jobs that can end have ended, then has the long-running jobs cancelled
// and waits for their end.
func (r *run) settle(ctx context.Context) error {
	for range 2 {
		for began := time.Now(); time.Since(began) < auditor.MaxSettleTime+statusInterval+callTimeout; sleeper.Pause(ctx, pollInterval) {
			err := errors.CombineErrors(ctx.Err(), errors.CombineErrors(r.reconcile(drafter.Compose(nil)), r.poll(ctx)))
			if err != nil {
				return err
			}
			if auditor.IsSettled(r.snapshot(), r.stoppingLongRunning()) {
				break
			}
		}
		r.mu.Lock()
		r.stopLongRunning = true
		r.mu.Unlock()
	}
	return nil
}

// recordStalls records the times in which the machine did not run this process.
func (r *run) recordStalls(ctx context.Context) error {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		sleeper.Pause(ctx, reconcileInterval)
		if now := time.Now(); now.Sub(last) > minStall {
			r.mu.Lock()
			r.history.Stalls = append(r.history.Stalls, auditor.Stall{From: last, To: now})
			r.mu.Unlock()
		}
	}
	return nil
}

// snapshot returns a copy of the history so far.
func (r *run) snapshot() auditor.History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history
	h.Calls, h.Stalls = slices.Clone(h.Calls), slices.Clone(h.Stalls)
	h.Publications, h.ConfigAnswers = slices.Clone(h.Publications), slices.Clone(h.ConfigAnswers)
	return h
}

func (r *run) stoppingLongRunning() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopLongRunning
}

// stopHosts sends SIGTERM to all hosts and waits for their exit.
func (r *run) stopHosts(ctx context.Context) error {
	all := drafter.HostsStopped{}
	for i := range r.Hosts {
		all.Hosts = append(all.Hosts, i)
	}
	for up := true; up && ctx.Err() == nil; sleeper.Pause(ctx, reconcileInterval) {
		if err := r.reconcile(drafter.Compose([]drafter.Fault{all})); err != nil {
			return err
		}
		up = slices.ContainsFunc(r.hosts, func(h *host) bool { return h.process != nil })
	}
	return ctx.Err()
}

func (r *run) recordExit(e auditor.Exit) {
	r.history.Exits = append(r.history.Exits, e)
}
