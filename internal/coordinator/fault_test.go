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

// maxStartAfterDrain is how long after the publication of a drain was accepted a task may still
// start in the drained data centre.
const maxStartAfterDrain = 5 * time.Second

// drainChange is the time of an accepted drain or of an attempt to restore a data centre. Every
// attempt to restore counts, because it may take effect although its outcome is reported as
// unknown.
type drainChange struct {
	dc identifier.DataCentre
	at time.Time
}

// durableLock is a mutex made of a channel with room for one value. Unlike waiting for a
// sync.Mutex, waiting for it blocks durably in the sense of synctest, so that the fake clock can
// advance.
type durableLock chan struct{}

func (l durableLock) Lock()   { l <- struct{}{} }
func (l durableLock) Unlock() { <-l }

// trial is one run of a cluster under a plan of faults. The lock guards the set of running hosts
// and the drains.
type trial struct {
	*cluster
	lock           durableLock
	names          []string
	drains         []drainChange
	restores       []drainChange
	accepted       []string
	highestVersion map[string]identifier.ConfigVersion
	crashedWorkers map[identifier.Worker]bool
}

func (tr *trial) dcOf(name string) identifier.DataCentre { return identifier.DataCentre(name[:1]) }

// anyHost returns a host that has caught up and is not cut off, or nil.
func (tr *trial) anyHost() *host {
	for _, name := range tr.names {
		if h, ok := tr.hosts[name]; ok {
			if cut, _ := h.network.peek(); !cut && !h.log.IsCut() && h.Status().CaughtUp {
				return h
			}
		}
	}
	return nil
}

// peek returns the faults in force without blocking.
func (n *network) peek() (cut, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut, n.frozen != nil
}

// inject starts a fault and returns the function that ends it.
func (tr *trial) inject(f emulator.Fault) func() {
	name := tr.names[f.Target%len(tr.names)]
	h, up := tr.hosts[name]
	noop := func() {}
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
		w := tr.workerAt(f.Target)
		w.Crash()
		tr.crashedWorkers[w.Host.ID] = true
		return noop
	case emulator.FaultDrain:
		return tr.drain(tr.dcOf(name))
	}
	if !up {
		return noop
	}
	switch f.Kind {
	case emulator.FaultKill:
		tr.kill(name)
		return func() { tr.restart(name) }
	case emulator.FaultFreeze:
		h.network.freeze()
		return h.network.thaw
	case emulator.FaultCutLog:
		h.log.Cut(true)
		return func() { h.log.Cut(false) }
	case emulator.FaultCutWorkers:
		h.network.setFaults(true, false)
		return func() { h.network.setFaults(false, false) }
	case emulator.FaultLoseWorkerAnswers:
		h.network.setFaults(false, true)
		return func() { h.network.setFaults(false, false) }
	}
	return noop
}

func (tr *trial) restart(name string) {
	if _, up := tr.hosts[name]; !up {
		tr.start(name, tr.dcOf(name))
	}
}

// workerAt returns the n-th worker in the order of their IDs, modulo their number.
func (tr *trial) workerAt(n int) *emulator.Worker {
	ids := make([]string, 0, len(tr.workers))
	for id := range tr.workers {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	return tr.workers[identifier.Worker(ids[n%len(ids)])]
}

// drain publishes the drain of a data centre, if a host can, and returns the function that restores
// the data centre. A drain is noted only if its publication was accepted.
func (tr *trial) drain(dc identifier.DataCentre) func() {
	h := tr.anyHost()
	if h == nil || tr.publish(h, dataCentreConfig(string(dc), parser.Drained)) != nil {
		return func() {}
	}
	tr.drains = append(tr.drains, drainChange{dc, time.Now()})
	return func() {
		for {
			tr.restores = append(tr.restores, drainChange{dc, time.Now()})
			if h := tr.anyHost(); h != nil && tr.publish(h, dataCentreConfig(string(dc), parser.InService)) == nil {
				return
			}
			tr.lock.Unlock()
			time.Sleep(time.Second)
			tr.lock.Lock()
		}
	}
}

// run injects the faults of a plan and submits a task every 500 ms of the span.
func (tr *trial) run(plan []emulator.Fault, span time.Duration) {
	done := make(chan struct{})
	for _, f := range plan {
		go func() {
			defer func() { done <- struct{}{} }()
			time.Sleep(f.At)
			tr.lock.Lock()
			end := tr.inject(f)
			tr.lock.Unlock()
			time.Sleep(f.For)
			tr.lock.Lock()
			defer tr.lock.Unlock()
			end()
		}()
	}
	for i := 0; time.Duration(i)*500*time.Millisecond < span; i++ {
		time.Sleep(500 * time.Millisecond)
		tr.submitOne(i)
		tr.checkVersions()
	}
	for range plan {
		<-done
	}
}

// submitOne submits the i-th task, a watch, a bill or a run in turn, and notes its name if the
// submission was accepted.
func (tr *trial) submitOne(i int) {
	tr.lock.Lock()
	h := tr.anyHost()
	tr.lock.Unlock()
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
		tr.accepted = append(tr.accepted, name)
	}
}

// checkVersions checks that no running host's configuration version decreases.
func (tr *trial) checkVersions() {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	for name, h := range tr.hosts {
		st := h.Status()
		key := fmt.Sprintf("%s-%p", name, h)
		if st.CaughtUp && st.Version < tr.highestVersion[key] {
			tr.t.Errorf("host %s went back from version %d to %d", name, tr.highestVersion[key], st.Version)
		}
		tr.highestVersion[key] = max(tr.highestVersion[key], st.Version)
	}
}

// healAndCheck ends all faults and checks that all accepted work gets done.
func (tr *trial) healAndCheck() {
	tr.log.SetFaults(emulator.LogFaults{})
	for _, name := range tr.names {
		if h, up := tr.hosts[name]; up {
			h.log.Cut(false)
			h.network.setFaults(false, false)
			h.network.thaw()
		}
		tr.restart(name)
	}
	time.Sleep(2 * time.Second)
	h := tr.hosts[tr.names[0]]
	tr.restores = append(tr.restores, drainChange{"a", time.Now()}, drainChange{"b", time.Now()})
	tr.mustPublish(h, dataCentreConfig("a", parser.InService)+"---\n"+dataCentreConfig("b", parser.InService))
	tr.await(3*time.Minute, "all accepted runs done and watches claimed", func() bool {
		for _, name := range tr.accepted {
			t, ok := h.Task(identifier.Task(name))
			want := tracker.StateEnded
			if strings.HasPrefix(name, "watch") {
				want = tracker.StateClaimed
			}
			if ok && tr.awaitsOperator(t) {
				continue
			}
			if !ok || t.State != want {
				return false
			}
		}
		return true
	})
	tr.checkRecordedSteps()
	tr.checkDrains()
	tr.checkCompletions()
}

// awaitsOperator reports whether a task waits for an operator: it may not be executed again, and
// its worker crashed, so that it is unknown whether it has finished.
func (tr *trial) awaitsOperator(t tracker.Task) bool {
	return t.State == tracker.StateClaimed && !t.Repeatable && tr.crashedWorkers[t.Worker]
}

// checkDrains checks that no task started in a data centre while it was drained.
func (tr *trial) checkDrains() {
	for _, d := range tr.drains {
		for _, e := range tr.events() {
			at := time.Unix(0, e.AtUnixNano)
			if e.Step == emulator.StepStart && e.DataCentre == d.dc && at.After(d.at.Add(maxStartAfterDrain)) && at.Before(tr.restoredAt(d)) {
				tr.t.Errorf("task %s started in %s %s after it was drained", e.Task, d.dc, at.Sub(d.at))
			}
		}
	}
}

// restoredAt returns when the first attempt to restore a data centre after a drain began.
func (tr *trial) restoredAt(d drainChange) time.Time {
	first := time.Now()
	for _, r := range tr.restores {
		if r.dc == d.dc && r.at.After(d.at) && r.at.Before(first) {
			first = r.at
		}
	}
	return first
}

// checkCompletions compares the state of the accepted tasks in the log with the steps that the
// workers recorded: no run is done twice, and no task has ended that was never done.
func (tr *trial) checkCompletions() {
	finished := map[identifier.Task]int{}
	for _, e := range tr.events() {
		if e.Step == emulator.StepDone {
			finished[e.Task]++
		}
	}
	for _, name := range tr.accepted {
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
		cluster: newCluster(t, workersPerDC), lock: make(durableLock, 1), names: []string{"a1", "a2", "b1", "b2"},
		highestVersion: map[string]identifier.ConfigVersion{}, crashedWorkers: map[identifier.Worker]bool{},
	}
	for _, name := range tr.names {
		tr.start(name, tr.dcOf(name))
	}
	time.Sleep(2 * time.Second)
	tr.mustPublish(tr.hosts["a1"], baseConfig)
	return tr
}

// runTrial runs a cluster under n faults of the given kinds for 40 s and checks the outcome.
func runTrial(t *testing.T, seed uint64, n int, kinds ...emulator.FaultKind) {
	const span, longestFault = 40 * time.Second, 15 * time.Second
	plan := emulator.RandomFaults(seed, n, span, longestFault, 12, kinds...)
	defer func() {
		if t.Failed() {
			t.Logf("seed %d, plan %v", seed, plan)
		}
	}()
	synctest.Test(t, func(t *testing.T) {
		tr := newTrial(t, 3)
		defer tr.stopAll()
		tr.run(plan, span)
		tr.healAndCheck()
	})
}

// TestPromisesUnderFaults checks the guarantees about capacity, executions, drains and accepted
// work under random faults of several kinds, for every seed.
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
