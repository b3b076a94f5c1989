package coordinator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// maxUrgentStart is the longest time from the submission of an urgent task to its start.
const maxUrgentStart = 2100 * time.Millisecond

// startsOf returns the recorded starts of a task on any worker.
func (c *cluster) startsOf(task string) []emulator.Event {
	var out []emulator.Event
	for _, e := range c.events() {
		if e.Task == identifier.Task(task) && e.Step == emulator.StepStart {
			out = append(out, e)
		}
	}
	return out
}

// timeToStart submits an urgent task and returns the time until it started.
func (c *cluster) timeToStart(h *host, task string) time.Duration {
	c.t.Helper()
	began := time.Now()
	c.mustSubmit(h, task, "urgent")
	c.await(time.Minute, task+" started", func() bool { return len(c.startsOf(task)) > 0 })
	return time.Since(began)
}

// TestUrgentWorkStartsInTime checks how soon an urgent task starts while many watches run, also
// after the lease holders were killed and while the log is slow. Running watches are not stopped for it, so that
// the workers need room for all.
func TestUrgentWorkStartsInTime(t *testing.T) {
	tests := map[string]func(c *cluster){
		"quiet": func(*cluster) {},
		"holder killed": func(c *cluster) {
			c.kill(c.holder("a"))
			c.kill(c.holder("b"))
		},
		"log slow": func(c *cluster) { c.log.SetFaults(emulator.LogFaults{DelayMs: 100}) },
	}
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 4)
				defer c.stopAll()
				for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "b3"} {
					c.start(name, identifier.DataCentre(name[:1]))
				}
				time.Sleep(5 * time.Second)
				c.mustPublish(c.hosts["a1"], baseConfig)
				for i := range 100 {
					c.mustSubmit(c.hosts["a1"], fmt.Sprint("watch-", i), "watches")
				}
				inject(c)
				var h *host
				for _, h = range c.hosts {
					break
				}
				if took := c.timeToStart(h, "u-1"); took > maxUrgentStart {
					t.Errorf("urgent task started after %s, want at most %s", took, maxUrgentStart)
				}
			})
		})
	}
}

// holder returns the name of the host that holds the cell lease of a data
// centre.
func (c *cluster) holder(dc identifier.DataCentre) string {
	c.t.Helper()
	for name, h := range c.hosts {
		if h.cfg.DataCentre == dc && h.Status().HoldsLease {
			return name
		}
	}
	c.t.Fatalf("no host holds the cell lease of %s", dc)
	return ""
}

// TestDelayedStartIsRefused guards against a task that runs twice because a start call reaches its
// worker only after the data centre was drained and the task started in the other.
func TestDelayedStartIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll()
		a := c.start("a1", "a")
		b := c.start("b1", "b")
		time.Sleep(2 * time.Second)
		c.mustPublish(a, baseConfig)
		a.network.delayStarts(2 * time.Second)
		c.mustSubmit(a, "watch-1", "watches")
		c.await(2*time.Second, "claimed in a", func() bool {
			task, _ := a.Task("watch-1")
			return task.DataCentre == "a"
		})
		time.Sleep(300 * time.Millisecond)
		c.mustPublish(b, dataCentreConfig("a", parser.Drained))
		c.await(20*time.Second, "running in b", func() bool { return len(c.workers["b-w0"].Events()) > 0 })
		time.Sleep(10 * time.Second)
		c.checkRecordedSteps()
	})
}

// TestDataCentreCutOffForTenMinutes cuts a data centre off from the log for ten minutes. A task
// with a cut-off grace of one minute moves to the other data centre; a watch, whose default grace
// is longer, goes on.
func TestDataCentreCutOffForTenMinutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		a1, a2, b := c.start("a1", "a"), c.start("a2", "a"), c.start("b1", "b")
		time.Sleep(2 * time.Second)
		c.mustPublish(a1, baseConfig+`---
kind: batchPool
name: long
team: office
policy: anywhere
idempotent: true
size: {processors: 1, memory: 1GiB}
runTime: 20m
cutOffGrace: 1m
`)
		c.mustSubmit(a1, "watch-1", "watches")
		c.mustSubmit(a1, "bill-1", "long")
		c.await(5*time.Second, "both running in a", func() bool {
			return len(c.startsOf("watch-1")) == 1 && len(c.startsOf("bill-1")) == 1
		})
		a1.log.Cut(true)
		a2.log.Cut(true)
		c.await(3*time.Minute, "bill moved to b", func() bool {
			task, _ := b.Task("bill-1")
			return task.State == tracker.StateClaimed && task.DataCentre == "b"
		})
		time.Sleep(8 * time.Minute)
		a1.log.Cut(false)
		a2.log.Cut(false)
		time.Sleep(10 * time.Second)
		if n := len(c.startsOf("watch-1")); n != 1 {
			t.Errorf("the watch started %d times, want once", n)
		}
		if n := len(c.startsOf("bill-1")); n != 2 {
			t.Errorf("the run started %d times, want twice", n)
		}
		c.checkRecordedSteps()
	})
}

// TestWatchSurvivesLossOfLeaseHolder kills the lease holder while its data centre is cut off from
// the log. The watch goes on only if another host of the data centre renews the worker's lease.
func TestWatchSurvivesLossOfLeaseHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.stopAll()
		hosts := map[string]*host{"a1": c.start("a1", "a"), "a2": c.start("a2", "a")}
		time.Sleep(2 * time.Second)
		c.mustPublish(hosts["a1"], baseConfig)
		c.mustSubmit(hosts["a1"], "watch-1", "watches")
		c.await(5*time.Second, "running", func() bool { return len(c.startsOf("watch-1")) == 1 })
		for _, h := range hosts {
			h.log.Cut(true)
		}
		time.Sleep(5 * time.Second)
		c.kill(c.lastHolder("a"))
		time.Sleep(time.Minute)
		for _, h := range hosts {
			h.log.Cut(false)
		}
		time.Sleep(20 * time.Second)
		if n := len(c.startsOf("watch-1")); n != 1 {
			t.Errorf("the watch started %d times, want once", n)
		}
		c.checkRecordedSteps()
	})
}

// lastHolder returns the name of the host that held the cell lease last.
func (c *cluster) lastHolder(dc identifier.DataCentre) string {
	for _, h := range c.hosts {
		if h.cfg.DataCentre == dc {
			return string(h.Status().LeaseHolder)
		}
	}
	return ""
}

// TestNoStartInADrainedDataCentreThatIsCutOff guards against starts by a holder that does not know
// of a drain. It claims a task whose start call is delayed, cuts the data centre off from the log,
// drains it through the other data centre and ends the delay.
func TestNoStartInADrainedDataCentreThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll()
		a, b := c.start("a1", "a"), c.start("b1", "b")
		time.Sleep(2 * time.Second)
		c.mustPublish(a, baseConfig)
		a.network.delayStarts(20 * time.Second)
		c.mustSubmit(a, "watch-1", "watches")
		c.await(2*time.Second, "claimed in a", func() bool {
			task, _ := a.Task("watch-1")
			return task.DataCentre == "a"
		})
		a.log.Cut(true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		p := Publication{ID: "p-drain", AnyBase: true, Sources: []parser.Source{{Text: dataCentreConfig("a", parser.Drained)}}}
		if _, err := b.Publish(ctx, p); err != nil {
			t.Fatal(err)
		}
		drainedAt := time.Now()
		time.Sleep(maxStartAfterDrain)
		a.network.delayStarts(0)
		time.Sleep(time.Minute)
		for _, e := range c.startsOf("watch-1") {
			if at := time.Unix(0, e.AtUnixNano); e.DataCentre == "a" && at.After(drainedAt.Add(maxStartAfterDrain)) {
				t.Errorf("started in a %s after it was drained", at.Sub(drainedAt))
			}
		}
	})
}
