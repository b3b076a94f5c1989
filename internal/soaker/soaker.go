// Package soaker runs scheduling hosts as separate processes over the stand-in platform,
// breaks them, their links and the platform as a plan says, hands jobs in, and records what
// callers and workers saw.
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
	// tick is how often faults and processes are looked at.
	tick = 20 * time.Millisecond
	// stallLeast is how long this process may stand still unnoticed.
	stallLeast = 100 * time.Millisecond
	// pollPeriod is how often the stand-in is asked what workers saw.
	pollPeriod = 500 * time.Millisecond
	// readyWithin is how long the programs may take until every host answers.
	readyWithin = 30 * time.Second
	// adminTimeout bounds a call of the stand-in, which no fault affects.
	adminTimeout = 20 * time.Second
)

// run is one run under way.
type run struct {
	drafter.Options
	plan    drafter.Plan
	bin     string
	dir     string
	net     layout
	spawner *spawner
	rpc     *messenger.Client
	clients []*client.Client
	links   map[drafter.LinkID]*disturber.Link
	hosts   []*host

	mu      sync.Mutex
	history auditor.History
	// over is set once jobs that last are to be cancelled.
	over bool
}

// Run makes one run of the programs in bin, with its files in dir, and returns what was
// seen. The error tells why the run could not be made.
func Run(ctx context.Context, o drafter.Options, bin, dir string) (auditor.History, error) {
	if err := o.Check(); err != nil {
		return auditor.History{}, err
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return auditor.History{}, errors.Wrap(err, "create directory of a run")
	}
	r := &run{
		Options: o, plan: drafter.NewPlan(o), bin: bin, dir: dir, net: newLayout(o, os.Getpid()),
		spawner: newSpawner(), rpc: messenger.NewClient(), links: map[drafter.LinkID]*disturber.Link{},
	}
	defer close(r.spawner.starts)
	defer r.rpc.Close()
	r.history.Plan = r.plan
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer cancel()
		return r.whole(ctx, g)
	})
	err := g.Wait()
	return r.history, err
}

// whole makes the run: start, load and faults, settling, stop.
func (r *run) whole(ctx context.Context, g *errgroup.Group) error {
	platform, err := r.startPlatform()
	if err != nil {
		return err
	}
	defer end(platform)
	if err := r.listen(ctx, g); err != nil {
		return err
	}
	defer func() {
		for _, h := range r.hosts {
			end(h.process)
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
	g.Go(func() error { return r.watch(ctx) })
	for n, e := range r.plan.Jobs {
		all.Go(func() {
			sleeper.Pause(callers, time.Until(r.history.Began.Add(e.At)))
			r.serve(callers, n, e)
		})
	}
	err = r.disrupt(ctx)
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
		r.exited(platform.exit())
	}
	return r.poll(ctx)
}

// end kills a process and waits for its end.
func end(p *process) {
	if p != nil {
		p.kill()
		<-p.done
	}
}

func (r *run) startPlatform() (*process, error) {
	stores, reach := map[string]string{}, map[string]string{}
	for h := range r.Hosts {
		stores[drafter.HostName(h)] = r.net.store(h)
	}
	for w := range r.net.workers {
		reach[string(w)] = r.net.link(drafter.WorkerLink(w))
	}
	return r.spawner.start("standin", r.logPath("standin"), filepath.Join(r.bin, "standin"), "fleet",
		"--address", r.net.platform(), "--hosts", flagMap(stores), "--reach", flagMap(reach),
		"--data-centres", joinNames(drafter.DataCentres), "--workers", fmt.Sprint(drafter.WorkersPerDataCentre(r.Options)),
		"--queue", string(drafter.Queue), "--seed", fmt.Sprint(r.Seed), "--failing", "2", "--slow-clocks")
}

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

// listen opens the links and the callers' clients.
func (r *run) listen(ctx context.Context, g *errgroup.Group) error {
	for id, target := range r.net.targets(r.Hosts) {
		l, err := disturber.Listen(r.net.link(id), target)
		if err != nil {
			return err
		}
		r.links[id] = l
		g.Go(func() error { return l.Run(ctx) })
	}
	for h := range r.Hosts {
		c, err := client.New([]string{r.net.link(drafter.CallersLink(h))}, client.WithTimeout(callTimeout))
		if err != nil {
			return err
		}
		r.clients = append(r.clients, c)
	}
	return nil
}

// awaitReady starts the hosts and waits until each accepts what callers ask.
func (r *run) awaitReady(ctx context.Context) error {
	for began := time.Now(); ; sleeper.Pause(ctx, pollPeriod) {
		if err := r.reconcile(drafter.Compose(nil)); err != nil {
			return err
		}
		var last error
		for h := range r.Hosts {
			nobody := drafter.JobEvent{Job: submitter.Job{ID: "nobody"}}
			if c := r.ask(ctx, nobody, h); c.Refusal == nil || c.Refusal.Code != refuser.CodeNotFound {
				last = errors.Newf("host %d is not ready: %v", h, c.Refusal)
			}
		}
		if last == nil {
			r.history.Calls = nil
			return nil
		}
		if ctx.Err() != nil || time.Since(began) > readyWithin {
			return errors.CombineErrors(last, ctx.Err())
		}
	}
}

// disrupt plays the faults until the last is over and the load ends.
func (r *run) disrupt(ctx context.Context) error {
	begun := 0
	var active []drafter.FaultEvent
	polled := time.Now()
	for at := time.Duration(0); at < r.plan.End(); at = time.Since(r.history.Began) {
		known := len(active)
		active = slices.DeleteFunc(active, func(e drafter.FaultEvent) bool { return e.At+e.For <= at })
		changed := len(active) != known
		var fresh []drafter.FaultEvent
		for ; begun < len(r.plan.Faults) && r.plan.Faults[begun].At <= at; begun++ {
			fresh = append(fresh, r.plan.Faults[begun])
		}
		active = append(active, fresh...)
		if changed || len(fresh) > 0 {
			if err := r.disturb(ctx, drafter.Compose(faultsOf(active)), fresh); err != nil {
				return err
			}
		}
		if err := r.reconcile(drafter.Compose(faultsOf(active))); err != nil {
			return err
		}
		if time.Since(polled) > pollPeriod {
			polled = time.Now()
			if err := r.poll(ctx); err != nil {
				return err
			}
		}
		sleeper.Pause(ctx, tick)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if err := r.disturb(ctx, drafter.Compose(nil), nil); err != nil {
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

// disturb makes links and the platform misbehave as a state says; what happens once is done
// for the faults that have just begun.
func (r *run) disturb(ctx context.Context, s drafter.State, fresh []drafter.FaultEvent) error {
	for id, l := range r.links {
		l.SetFaults(s.Links[id])
	}
	faults := simulator.FaultsCall{Store: s.Store, Workers: s.Workers, Crash: map[identifier.Worker]time.Duration{}}
	for _, e := range fresh {
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

// evacuate takes data centres out of service and back, and records when.
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

func (r *run) admin(ctx context.Context, method messenger.Method, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	return r.rpc.Call(ctx, r.net.platform(), method, in, out)
}

// poll reads what workers saw since the last time.
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

// settle waits until everything that can run has run, ends the jobs that last, and waits for
// their end.
func (r *run) settle(ctx context.Context) error {
	for range 2 {
		for began := time.Now(); time.Since(began) < auditor.MaxSettleTime+askPeriod+callTimeout; sleeper.Pause(ctx, pollPeriod) {
			err := errors.CombineErrors(ctx.Err(), errors.CombineErrors(r.reconcile(drafter.Compose(nil)), r.poll(ctx)))
			if err != nil {
				return err
			}
			if auditor.IsSettled(r.snapshot(), r.lastingOver()) {
				break
			}
		}
		r.mu.Lock()
		r.over = true
		r.mu.Unlock()
	}
	return nil
}

// watch records when the machine does not run this process.
func (r *run) watch(ctx context.Context) error {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		sleeper.Pause(ctx, tick)
		if now := time.Now(); now.Sub(last) > stallLeast {
			r.mu.Lock()
			r.history.Stalls = append(r.history.Stalls, auditor.Stall{From: last, To: now})
			r.mu.Unlock()
		}
	}
	return nil
}

// snapshot returns what was seen until now.
func (r *run) snapshot() auditor.History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history
	h.Calls, h.Stalls = slices.Clone(h.Calls), slices.Clone(h.Stalls)
	return h
}

func (r *run) lastingOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over
}

// stopHosts asks all hosts to end and waits for them.
func (r *run) stopHosts(ctx context.Context) error {
	all := drafter.HostsStopped{}
	for i := range r.Hosts {
		all.Hosts = append(all.Hosts, i)
	}
	for up := true; up && ctx.Err() == nil; sleeper.Pause(ctx, tick) {
		if err := r.reconcile(drafter.Compose([]drafter.Fault{all})); err != nil {
			return err
		}
		up = slices.ContainsFunc(r.hosts, func(h *host) bool { return h.process != nil })
	}
	return ctx.Err()
}

func (r *run) exited(e auditor.Exit) {
	r.history.Exits = append(r.history.Exits, e)
}
