package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// drainResult counts what happened from a drain until five seconds after the restore.
type drainResult struct {
	// emptyAfter is the time from the drain until no task was claimed in the data centre.
	emptyAfter time.Duration
	done       int
	// achievable is the number of runs that the other data centre alone could do in that time.
	achievable int
	// evicted is the number of runs that were stopped.
	evicted    int
	watchStops int
}

// runDrain drains one of two data centres of 22 workers each for 20 s, while more runs are queued
// than both can take, beside 60 watches.
func runDrain(t *testing.T, rate int) drainResult {
	const (
		workers, watches, runs = 22, 60, 6000
		out, after             = 20 * time.Second, 5 * time.Second
		perWorker              = 8
		runTime                = 2 * time.Second
	)
	c := newCluster(t, workers)
	defer c.stopAll()
	a, b := c.start("a1", "a"), c.start("b1", "b")
	time.Sleep(2 * time.Second)
	c.mustPublish(a, baseConfig)
	c.mustPublish(a, "kind: team\nname: office\nquota: {processors: 4000, memory: 9000GiB}\n")
	for i := range watches {
		c.mustSubmit(a, fmt.Sprint("watch-", i), "watches")
	}
	for i := range runs {
		go c.mustSubmit(b, fmt.Sprint("bill-", i), "bills")
	}
	time.Sleep(10 * time.Second)
	c.mustPublish(b, dataCentreConfig("a", parser.Drained)+fmt.Sprintf("drainRate: %d\n", rate))
	began := time.Now()
	r := drainResult{}
	c.await(5*time.Minute, "a empty", func() bool {
		p, err := b.Progress("a")
		return err == nil && p.Claimed == 0
	})
	r.emptyAfter = time.Since(began)
	time.Sleep(out - min(r.emptyAfter, out))
	c.mustPublish(b, dataCentreConfig("a", parser.InService))
	time.Sleep(after)
	end := time.Now()
	stopped := map[identifier.Task]int{}
	for _, e := range c.events() {
		at := time.Unix(0, e.AtUnixNano)
		if at.Before(began) || at.After(end) {
			continue
		}
		switch {
		case e.Step == emulator.StepDone:
			r.done++
		case e.Step == emulator.StepStop && strings.HasPrefix(string(e.Task), "bill"):
			r.evicted++
		case e.Step == emulator.StepStop:
			r.watchStops++
			stopped[e.Task]++
		}
	}
	r.achievable = int(end.Sub(began)/runTime)*workers*perWorker - watches
	for task, n := range stopped {
		if n > 1 {
			t.Errorf("watch %s was stopped %d times", task, n)
		}
	}
	for _, task := range b.Tasks(func(t tracker.Task) bool { return strings.HasPrefix(string(t.ID), "watch") }) {
		if task.State != tracker.StateClaimed {
			t.Errorf("watch %s is %s", task.ID, task.State)
		}
	}
	return r
}

// TestExperimentDrain compares the rates at which a drain stops tasks. It fails if less than 95 %
// of the work is done that the other data centre alone could do, or if a watch is lost or stopped
// twice.
func TestExperimentDrain(t *testing.T) {
	for _, rate := range []int{2, 10, 50, 10000} {
		synctest.Test(t, func(t *testing.T) {
			r := runDrain(t, rate)
			t.Logf("rate %5d/s: empty after %6s, runs done %d of %d that the other data centre could do, runs evicted %d, watches moved %d",
				rate, r.emptyAfter.Round(100*time.Millisecond), r.done, r.achievable, r.evicted, r.watchStops)
			if r.done*100 < r.achievable*95 {
				t.Errorf("rate %d/s: %d runs done, want at least 95%% of %d", rate, r.done, r.achievable)
			}
		})
	}
}
