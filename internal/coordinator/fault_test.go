package coordinator

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

var (
	seedFlag  = flag.Uint64("seed", 1, "first seed of the fault plans")
	seedsFlag = flag.Uint64("seeds", 12, "number of fault plans")
)

// maxStartAfterDrain is how long after an accepted drain a task may start.
const maxStartAfterDrain = 5 * time.Second

// change is the time of an accepted drain, or of a try to restore: any may take
// effect although its operator was told that the outcome is unknown.
type change struct {
	dc identifier.DataCentre
	at time.Time
}

// turn is a lock on which waiting counts as idle for the paused clock.
type turn chan struct{}

func (t turn) Lock()   { t <- struct{}{} }
func (t turn) Unlock() { <-t }

// trial is one run of a cluster under a plan of faults.
type trial struct {
	*cluster
	turn     turn
	names    []string
	drains   []change
	restores []change
	acked    []string
	highest  map[string]identifier.ConfigVersion
	crashed  map[identifier.Worker]bool
}

func (tr *trial) dcOf(name string) identifier.DataCentre { return identifier.DataCentre(name[:1]) }

// anyHost returns a host that can publish or submit now.
func (tr *trial) anyHost() *host {
	for _, name := range tr.names {
		if h, ok := tr.hosts[name]; ok {
			if cut, _ := h.reach.peek(); !cut && !h.log.IsCut() && h.Status().CaughtUp {
				return h
			}
		}
	}
	return nil
}

func (r *reach) peek() (cut, frozen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut, r.frozen != nil
}

// strike begins a fault and returns what ends it.
func (tr *trial) strike(f emulator.Fault) func() {
	name := tr.names[f.Target%len(tr.names)]
	h, up := tr.hosts[name]
	nothing := func() {}
	switch f.Kind {
	case emulator.FaultLogDown:
		tr.log.SetFaults(emulator.LogFaults{Down: true})
		return func() { tr.log.SetFaults(emulator.LogFaults{}) }
	case emulator.FaultLogSlow:
		tr.log.SetFaults(emulator.LogFaults{DelayMs: 700})
		return func() { tr.log.SetFaults(emulator.LogFaults{}) }
	case emulator.FaultLogLossy:
		tr.log.SetFaults(emulator.LogFaults{LoseAnswers: 0.5, Seed: uint64(f.At)})
		return func() { tr.log.SetFaults(emulator.LogFaults{}) }
	case emulator.FaultCrashWorker:
		w := tr.workerNumber(f.Target)
		w.Crash()
		tr.crashed[w.Host.ID] = true
		return nothing
	case emulator.FaultDrain:
		return tr.drain(tr.dcOf(name))
	}
	if !up {
		return nothing
	}
	switch f.Kind {
	case emulator.FaultKill:
		tr.kill(name)
		return func() { tr.restart(name) }
	case emulator.FaultFreeze:
		h.reach.freeze()
		return h.reach.thaw
	case emulator.FaultCutLog:
		h.log.Cut(true)
		return func() { h.log.Cut(false) }
	case emulator.FaultCutWorkers:
		h.reach.set(true, false)
		return func() { h.reach.set(false, false) }
	case emulator.FaultLoseWorkerAnswers:
		h.reach.set(false, true)
		return func() { h.reach.set(false, false) }
	}
	return nothing
}

func (tr *trial) restart(name string) {
	if _, up := tr.hosts[name]; !up {
		tr.start(name, tr.dcOf(name))
	}
}

func (tr *trial) workerNumber(n int) *emulator.Worker {
	ids := make([]string, 0, len(tr.workers))
	for id := range tr.workers {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	return tr.workers[identifier.Worker(ids[n%len(ids)])]
}

// drain takes a data centre out if the log lets it, and returns what restores
// it. Times are noted only for publications that were accepted.
func (tr *trial) drain(dc identifier.DataCentre) func() {
	h := tr.anyHost()
	if h == nil || tr.publish(h, drainText(string(dc), parser.Drained)) != nil {
		return func() {}
	}
	tr.drains = append(tr.drains, change{dc, time.Now()})
	return func() {
		for {
			tr.restores = append(tr.restores, change{dc, time.Now()})
			if h := tr.anyHost(); h != nil && tr.publish(h, drainText(string(dc), parser.InService)) == nil {
				return
			}
			tr.turn.Unlock()
			time.Sleep(time.Second)
			tr.turn.Lock()
		}
	}
}

// run carries out a plan while tasks are submitted.
func (tr *trial) run(plan []emulator.Fault, span time.Duration) {
	done := make(chan struct{})
	for _, f := range plan {
		go func() {
			defer func() { done <- struct{}{} }()
			time.Sleep(f.At)
			tr.turn.Lock()
			end := tr.strike(f)
			tr.turn.Unlock()
			time.Sleep(f.For)
			tr.turn.Lock()
			defer tr.turn.Unlock()
			end()
		}()
	}
	for i := 0; time.Duration(i)*500*time.Millisecond < span; i++ {
		time.Sleep(500 * time.Millisecond)
		tr.submitOne(i)
		tr.noteVersions()
	}
	for range plan {
		<-done
	}
}

func (tr *trial) submitOne(i int) {
	tr.turn.Lock()
	h := tr.anyHost()
	tr.turn.Unlock()
	if h == nil {
		return
	}
	pool, name := "runs", fmt.Sprintf("run-%d", i)
	switch i % 5 {
	case 0:
		pool, name = "watches", fmt.Sprintf("watch-%d", i)
	case 1, 2:
		pool, name = "bills", fmt.Sprintf("bill-%d", i)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := h.Submit(ctx, Submission{Task: identifier.Task(name), Pool: identifier.Pool(pool)}); err == nil {
		tr.acked = append(tr.acked, name)
	}
}

// noteVersions checks that no running host's configuration goes back.
func (tr *trial) noteVersions() {
	tr.turn.Lock()
	defer tr.turn.Unlock()
	for name, h := range tr.hosts {
		st := h.Status()
		key := fmt.Sprintf("%s-%p", name, h)
		if st.CaughtUp && st.Version < tr.highest[key] {
			tr.t.Errorf("host %s went back from version %d to %d", name, tr.highest[key], st.Version)
		}
		tr.highest[key] = max(tr.highest[key], st.Version)
	}
}

// finish heals everything and checks that all accepted work gets done.
func (tr *trial) finish() {
	tr.log.SetFaults(emulator.LogFaults{})
	for _, name := range tr.names {
		if h, up := tr.hosts[name]; up {
			h.log.Cut(false)
			h.reach.set(false, false)
			h.reach.thaw()
		}
		tr.restart(name)
	}
	time.Sleep(2 * time.Second)
	h := tr.hosts[tr.names[0]]
	tr.restores = append(tr.restores, change{"a", time.Now()}, change{"b", time.Now()})
	tr.mustPublish(h, drainText("a", parser.InService)+"---\n"+drainText("b", parser.InService))
	tr.await(3*time.Minute, "all accepted runs done and watches claimed", func() bool {
		for _, name := range tr.acked {
			t, ok := h.Task(identifier.Task(name))
			want := tracker.StateEnded
			if strings.HasPrefix(name, "watch") {
				want = tracker.StateClaimed
			}
			if ok && tr.held(t) {
				continue
			}
			if !ok || t.State != want {
				return false
			}
		}
		return true
	})
	tr.check()
	tr.checkDrains()
	tr.checkDone()
}

// held reports whether a task waits for an operator: its worker crashed and
// nobody can tell whether it had finished.
func (tr *trial) held(t tracker.Task) bool {
	return t.State == tracker.StateClaimed && !t.Repeatable && tr.crashed[t.Worker]
}

// checkDrains looks for starts in a data centre that was out of service.
func (tr *trial) checkDrains() {
	for _, d := range tr.drains {
		for _, e := range tr.events() {
			at := time.Unix(0, e.AtUnixNano)
			if e.Step == emulator.StepStart && e.DataCentre == d.dc && at.After(d.at.Add(maxStartAfterDrain)) && at.Before(tr.restored(d)) {
				tr.t.Errorf("task %s started in %s %s after it was drained", e.Task, d.dc, at.Sub(d.at))
			}
		}
	}
}

// restored returns when the first try to restore a data centre began after a
// drain.
func (tr *trial) restored(d change) time.Time {
	first := time.Now()
	for _, r := range tr.restores {
		if r.dc == d.dc && r.at.After(d.at) && r.at.Before(first) {
			first = r.at
		}
	}
	return first
}

// checkDone compares what the log says with what the workers recorded.
func (tr *trial) checkDone() {
	finished := map[identifier.Task]int{}
	for _, e := range tr.events() {
		if e.Step == emulator.StepDone {
			finished[e.Task]++
		}
	}
	for _, name := range tr.acked {
		n := finished[identifier.Task(name)]
		t, _ := tr.hosts[tr.names[0]].Task(identifier.Task(name))
		switch {
		case strings.HasPrefix(name, "run") && n > 1:
			tr.t.Errorf("%s was executed to its end %d times", name, n)
		case t.State == tracker.StateEnded && n == 0:
			tr.t.Errorf("%s ended and was never executed to its end", name)
		}
	}
}

// newTrial starts two hosts in each data centre and publishes the configuration.
func newTrial(t *testing.T, workersPerDC int) *trial {
	tr := &trial{
		cluster: newCluster(t, workersPerDC), turn: make(turn, 1), names: []string{"a1", "a2", "b1", "b2"},
		highest: map[string]identifier.ConfigVersion{}, crashed: map[identifier.Worker]bool{},
	}
	for _, name := range tr.names {
		tr.start(name, tr.dcOf(name))
	}
	time.Sleep(2 * time.Second)
	tr.mustPublish(tr.hosts["a1"], baseConfig)
	return tr
}

func runTrial(t *testing.T, seed uint64, n int, kinds ...emulator.FaultKind) {
	const span, longest = 40 * time.Second, 15 * time.Second
	plan := emulator.RandomFaults(seed, n, span, longest, 12, kinds...)
	defer func() {
		if t.Failed() {
			t.Logf("seed %d, plan %v", seed, plan)
		}
	}()
	synctest.Test(t, func(t *testing.T) {
		tr := newTrial(t, 3)
		defer tr.stopAll()
		tr.run(plan, span)
		tr.finish()
	})
}

func TestPromisesUnderFaults(t *testing.T) {
	groups := map[string][]emulator.FaultKind{
		"kills":        {emulator.FaultKill},
		"freezes":      {emulator.FaultFreeze, emulator.FaultKill},
		"cuts":         {emulator.FaultCutLog, emulator.FaultCutWorkers, emulator.FaultLoseWorkerAnswers},
		"log":          {emulator.FaultLogDown, emulator.FaultLogSlow, emulator.FaultLogLossy},
		"workers":      {emulator.FaultCrashWorker, emulator.FaultLoseWorkerAnswers},
		"drains":       {emulator.FaultDrain, emulator.FaultCutLog, emulator.FaultLogLossy},
		"all together": {emulator.FaultKill, emulator.FaultFreeze, emulator.FaultCutLog, emulator.FaultCutWorkers, emulator.FaultLoseWorkerAnswers, emulator.FaultLogDown, emulator.FaultLogSlow, emulator.FaultLogLossy, emulator.FaultCrashWorker, emulator.FaultDrain},
	}
	for name, kinds := range groups {
		for seed := *seedFlag; seed < *seedFlag+*seedsFlag; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				runTrial(t, seed, 8, kinds...)
			})
		}
	}
}
