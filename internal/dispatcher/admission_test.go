package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// urgentTarget is by when urgent work has to start, the users' target.
	urgentTarget = 2100 * time.Millisecond
	// adapts is after what time the holder has to have adapted to being slower.
	adapts = 5 * time.Second
	// atOnce is by when a job that can't be served has to be refused, long before its
	// objective.
	atOnce = 500 * time.Millisecond
	// reopens is after what time without load every job has to be accepted again.
	reopens = 5 * time.Second
	// latePart is after how many times its objective a job is worth nothing.
	latePart = 3
	// callTasks is how many tasks an admission test's jobs have, and callPeriod the time
	// between two of them: what an unslowed holder just carries.
	callTasks  = 10
	callPeriod = 50 * time.Millisecond
)

// termHolder answers for a term in the words of the intake.
type termHolder struct{ *Term }

// State implements intake.Holder.
func (h termHolder) State(ctx context.Context, id identifier.Job) (state string, known bool, err error) {
	st, known, err := h.Term.State(ctx, id)
	return string(st), known, err
}

// callers submit jobs to a host as callers do, and note what they get.
type callers struct {
	*crowd
	intake *intake.Service
	term   *Term
	narrow *narrowRunner

	mu       sync.Mutex
	outcomes map[identifier.Job]*outcome
}

// outcome is what a caller got.
type outcome struct {
	queue    identifier.Queue
	sent     time.Time
	answered time.Duration
	refusal  *refuser.Refusal
	// took is how long the job took; zero while it has not ended.
	took      time.Duration
	objective time.Duration
}

// newCallers begins the term of a holder.
func newCallers(t *testing.T) (c *callers, done chan struct{}) {
	c = &callers{crowd: newCrowd(t), outcomes: map[identifier.Job]*outcome{}}
	runner, _ := c.fleet.Client()
	c.narrow = &narrowRunner{Runner: runner, cost: time.Second / callsPerSecond}
	c.term = NewTerm(0, settings("host1"), c.store.Client("host1"), c.narrow, zap.NewNop())
	held := func(identifier.Cell) (intake.Holder, bool) { return termHolder{c.term}, true }
	c.intake = intake.New(c.store.Client("host1"), nil, intake.NewLocator(c.store.Client("host1"), "self", 1, zap.NewNop()), 1, held, zap.NewNop())
	done = make(chan struct{})
	go func() {
		defer close(done)
		_ = c.term.Run(c.ctx, c.directory())
	}()
	go func() {
		for c.ctx.Err() == nil {
			sleeper.Pause(c.ctx, 200*time.Millisecond)
			c.term.Notify(planner.DirectoryChanged{Directory: c.directory()})
		}
	}()
	return c, done
}

// slow makes calls take longer than usual.
func (r *narrowRunner) slow(by float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cost = time.Duration(by * float64(time.Second) / callsPerSecond)
}

// callMany submits jobs of a queue, one each period, until ctx ends.
func (c *callers) callMany(ctx context.Context, name string, cfg connector.QueueConfig, period time.Duration, tasks int) {
	for n := 0; ctx.Err() == nil; n++ {
		go c.call(identifier.Job(fmt.Sprintf("%s%08x", name, n)), cfg, tasks)
		sleeper.Pause(ctx, period)
	}
}

// call submits a job and waits for its end.
func (c *callers) call(id identifier.Job, cfg connector.QueueConfig, tasks int) {
	job := submitter.Job{ID: id, Queue: cfg.Name, Spec: "s", Steps: []submitter.Step{{
		Count: tasks, Estimate: identifier.Duration(runTime), Size: identifier.Size{Processors: 100, Memory: 100},
	}}}
	o := &outcome{
		queue: cfg.Name, sent: time.Now(),
		objective: time.Duration(cfg.Stretch*float64(runTime)) + cfg.Allowance.Std(),
	}
	c.crowd.mu.Lock()
	c.jobs[id], c.handed[id] = job, o.sent
	c.crowd.mu.Unlock()
	err := c.intake.Submit(c.ctx, intake.Submission{Job: job, Queue: cfg, At: identifier.UnixMillis(o.sent.UnixMilli())})
	c.mu.Lock()
	o.answered = time.Since(o.sent)
	errors.As(err, &o.refusal)
	c.outcomes[id] = o
	c.mu.Unlock()
	for err == nil && c.ctx.Err() == nil {
		if state, _, _ := c.term.State(c.ctx, id); state.Ended() {
			c.mu.Lock()
			o.took = time.Since(o.sent)
			c.mu.Unlock()
			return
		}
		sleeper.Pause(c.ctx, 20*time.Millisecond)
	}
}

// tally is what the callers of a queue got in a span.
type tally struct{ jobs, refused, served, worthless, slowRefusals, mayRun, noReturn int }

func (c *callers) tally(q identifier.Queue, from, to time.Time) (t tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		if o.queue != q || o.sent.Before(from) || o.sent.After(to) {
			continue
		}
		t.jobs++
		switch {
		case o.refusal == nil && o.took > 0 && o.took <= o.objective:
			t.served++
		case o.refusal == nil && (o.took == 0 || o.took > latePart*o.objective):
			t.worthless++
		case o.refusal != nil:
			t.refused++
			if o.answered > atOnce {
				t.slowRefusals++
			}
			if o.refusal.Effect != refuser.NotRun || o.refusal.Code != refuser.CodeOverloaded {
				t.mayRun++
			}
			if o.refusal.RetryAfterMillis <= 0 {
				t.noReturn++
			}
		}
	}
	return t
}

// TestSlowedHolderRefusesWhatItCannotServe plays the load that a holder just carries to one
// that is slower. The most urgent work is served, of the rest as much as the holder
// carries, and what can't be served is refused at once until the load falls.
func TestSlowedHolderRefusesWhatItCannotServe(t *testing.T) {
	tests := map[string]struct {
		slow    float64
		carried bool
	}{
		"as usual":          {1, true},
		"slowed by 1.2":     {1.2, false},
		"slowed by 1.5":     {1.5, false},
		"slowed by 2":       {2, false},
		"slowed by 3 times": {3, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { slowed(t, tt.slow, tt.carried) })
		})
	}
}

func slowed(t *testing.T, slow float64, carried bool) {
	c, done := newCallers(t)
	ctx, cancel := context.WithCancel(c.ctx)
	go c.callMany(ctx, "b", crowdQueues[testQueue], callPeriod, callTasks)
	go c.callMany(c.ctx, "u", crowdQueues[urgentQueue], urgentPeriod, 1)
	time.Sleep(5 * time.Second)
	c.narrow.slow(slow)
	time.Sleep(adapts)
	began := time.Now()
	time.Sleep(20 * time.Second)
	ended := time.Now()
	cancel()
	time.Sleep(reopens)
	calm := time.Now()
	go c.callMany(c.ctx, "c", crowdQueues[testQueue], 10*callPeriod, callTasks)
	time.Sleep(10 * time.Second)
	c.judgeRefused(c.tally(testQueue, began, ended), carried)
	c.judgeAccepted(c.tally(testQueue, began, ended), slow)
	c.judgeStarts(began, ended)
	if u := c.tally(urgentQueue, time.Time{}, time.Now()); u.refused > 0 {
		t.Errorf("%d of %d urgent jobs were refused", u.refused, u.jobs)
	}
	if after := c.tally(testQueue, calm, time.Now()); after.refused > 0 || after.jobs == 0 {
		t.Errorf("%d of %d jobs were refused %v after the load fell", after.refused, after.jobs, reopens)
	}
	c.stop()
	<-done
	time.Sleep(time.Minute)
	synctest.Wait()
}

// judgeRefused checks what the callers of refused jobs were told.
func (c *callers) judgeRefused(b tally, carried bool) {
	c.t.Logf("of %d jobs %d were refused and %d completed in time, %d too late to be worth anything", b.jobs, b.refused, b.served, b.worthless)
	switch {
	case carried && b.refused > 0:
		c.t.Errorf("%d of %d jobs were refused although the holder carries them", b.refused, b.jobs)
	case !carried && b.refused == 0:
		c.t.Errorf("none of %d jobs was refused, beyond what the holder carries", b.jobs)
	}
	if b.slowRefusals > 0 {
		c.t.Errorf("%d of %d refusals took over %v", b.slowRefusals, b.refused, atOnce)
	}
	if b.mayRun > 0 || b.noReturn > 0 {
		c.t.Errorf("of %d refusals %d do not say that the job has not run, and %d not when to come back", b.refused, b.mayRun, b.noReturn)
	}
}

// judgeAccepted checks that most of what was accepted was completed in time, that no more
// than one job in ten was accepted in vain, and that half of what a holder which is so slow
// carries beside a look a second at each worker was served.
func (c *callers) judgeAccepted(b tally, slow float64) {
	accepted := b.jobs - b.refused
	carries := float64(b.jobs) * (callsPerSecond/slow - crowdWorkers) / (callsPerSecond - crowdWorkers)
	if float64(b.served) < carries/2 {
		c.t.Errorf("%d jobs were completed in time, want half of the %.0f that the holder carries", b.served, carries)
	}
	if 2*b.served < accepted {
		c.t.Errorf("of %d accepted jobs %d were completed in time, want half", accepted, b.served)
	}
	if 10*b.worthless > accepted {
		c.t.Errorf("of %d accepted jobs %d were completed too late to be worth anything, want a tenth at most", accepted, b.worthless)
	}
}

// judgeStarts checks that the urgent tasks of a span began in time.
func (c *callers) judgeStarts(from, to time.Time) {
	c.crowd.mu.Lock()
	defer c.crowd.mu.Unlock()
	late, all := 0, 0
	worst := time.Duration(0)
	for id, at := range c.handed {
		if c.jobs[id].Queue != urgentQueue || at.Before(from) || at.After(to) {
			continue
		}
		all++
		wait, begun := c.waits[id]
		worst = max(worst, wait)
		if !begun || wait > urgentTarget {
			late++
		}
	}
	if late > 0 || all == 0 {
		c.t.Errorf("%d of %d urgent jobs did not begin within %v, at most %v", late, all, urgentTarget, worst)
	}
}

// TestKnownJobsAreThoseStoredBefore checks that a job which was stored a moment ago is known,
// and that questions about jobs that are not share reads of the inbox.
func TestKnownJobsAreThoseStoredBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const asked = 100
		c, done := newCallers(t)
		idle := NewTerm(0, settings("host2"), c.store.Client("host2"), nil, zap.NewNop())
		if known, err := idle.Known(c.ctx, "00000000000000a1"); known || !errors.Is(err, ErrNotHolder) {
			t.Errorf("asked before the term: %v, %v, want that the cell is not held", known, err)
		}
		time.Sleep(2 * time.Second)
		for n := range 10 {
			id := identifier.Job(fmt.Sprintf("%016x", n))
			c.hand(id, testQueue, submitter.Step{Count: 1})
			if known, err := c.term.Known(c.ctx, id); err != nil || !known {
				t.Errorf("known %v, %v right after %s was stored", known, err, id)
			}
		}
		time.Sleep(2 * time.Second)
		before := c.store.Calls()
		var wg sync.WaitGroup
		for n := range asked {
			wg.Go(func() {
				if known, err := c.term.Known(c.ctx, identifier.Job(fmt.Sprintf("%016x", asked+n))); err != nil || known {
					t.Errorf("known %v, %v of a job that nobody submitted", known, err)
				}
			})
		}
		wg.Wait()
		if calls := c.store.Calls() - before; calls > asked/10 {
			t.Errorf("%d calls of the store for %d questions at once", calls, asked)
		}
		c.stop()
		<-done
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// TestSeenJobsAreForgotten checks that a submission is remembered for some time, and that
// those of long ago are not kept.
func TestSeenJobsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s seenJobs
		for n := range 10 {
			id := identifier.Job(fmt.Sprintf("%016x", n))
			s.add(id)
			time.Sleep(seenFor - time.Second)
			if !s.has(id) {
				t.Errorf("%s is forgotten after %v", id, seenFor-time.Second)
			}
		}
		if n := len(s.newer) + len(s.older); n > 4 {
			t.Errorf("%d submissions are remembered, want those of two minutes", n)
		}
	})
}
