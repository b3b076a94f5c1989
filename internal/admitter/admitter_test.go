package admitter

import (
	"slices"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	urgent  identifier.Queue = "checks"
	patient identifier.Queue = "plans"
	// tasksPerJob is the size of a job, jobTime the time that its tasks have to begin.
	tasksPerJob = 10
	jobTime     = 2 * time.Second
	// served is how many tasks a second begin at an unslowed holder.
	served = 1000.0
)

// flow is a holder that begins tasks at a rate, the most urgent queue first, and callers
// that hand in jobs.
type flow struct {
	admitter Admitter
	now      time.Time
	rate     float64
	// offered are the tasks a second of each queue.
	offered map[identifier.Queue]float64
	// tell changes the load that the admitter is told.
	tell func(*Load)

	queues   []Observation
	owed     map[identifier.Queue]float64
	begun    map[identifier.Queue]float64
	accepted map[identifier.Queue]float64
}

func newFlow(rate float64, offered map[identifier.Queue]float64) *flow {
	return &flow{
		now: time.UnixMilli(1_000_000), rate: rate, offered: offered, tell: func(*Load) {},
		queues: []Observation{
			{Queue: urgent, Service: "s", Priority: 0, Time: jobTime, Slack: jobTime / 2, Steps: 1},
			{Queue: patient, Service: "s", Priority: 2, Time: 2 * jobTime, Slack: jobTime, Steps: 1},
		},
		owed: map[identifier.Queue]float64{}, begun: map[identifier.Queue]float64{}, accepted: map[identifier.Queue]float64{},
	}
}

// run lets time pass and returns the part of each queue that was refused meanwhile.
func (f *flow) run(d time.Duration) map[identifier.Queue]float64 {
	offered, refused := map[identifier.Queue]float64{}, map[identifier.Queue]float64{}
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(Period)
		admission := f.admitter.Admission()
		room := f.rate * Period.Seconds()
		load := Load{HolderBinds: true}
		for _, o := range f.queues {
			come := f.offered[o.Queue] * Period.Seconds()
			share := 1.0
			if v, ok := admission[o.Queue]; ok {
				share = float64(v.Share)
			}
			offered[o.Queue] += come
			refused[o.Queue] += come * (1 - share)
			f.owed[o.Queue] += come * share
			f.accepted[o.Queue] += come * share
			starts := min(f.owed[o.Queue], room)
			room -= starts
			f.owed[o.Queue] -= starts
			f.begun[o.Queue] += starts
			o.Accepted, o.Begun, o.Owed = int(f.accepted[o.Queue]), int(f.begun[o.Queue]), int(f.owed[o.Queue])
			o.Waiting = o.Owed / tasksPerJob
			if come+f.owed[o.Queue] > 0 {
				load.Queues = append(load.Queues, o)
			}
		}
		f.tell(&load)
		f.admitter.Update(f.now, load)
	}
	for q := range refused {
		if offered[q] > 0 {
			refused[q] /= offered[q]
		}
	}
	return refused
}

// TestAcceptedIsWhatIsServed checks, at a holder that was slowed, that the most urgent
// queue is served, that of the other as much is refused as can't be served, that what is
// accepted is served in time, and that all is accepted again soon after the load falls.
func TestAcceptedIsWhatIsServed(t *testing.T) {
	tests := map[string]struct {
		slow            float64
		urgent, patient float64
		// least and most are the part of the patient queue that is to be refused.
		least, most float64
		urgentMost  float64
	}{
		"as usual":           {1, 200, 750, 0, 0, 0},
		"slowed by 1.2":      {1.2, 200, 800, 0.15, 0.3, 0},
		"slowed by 1.5":      {1.5, 200, 800, 0.35, 0.5, 0},
		"slowed by 2":        {2, 200, 800, 0.55, 0.7, 0},
		"slowed by 3":        {3, 200, 800, 0.8, 0.95, 0},
		"urgent work alone":  {1, 2000, 0, 0, 0, 0.55},
		"urgent fills it up": {1, 1500, 500, 0.9, 1, 0.4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFlow(served/tt.slow, map[identifier.Queue]float64{urgent: tt.urgent, patient: tt.patient})
			f.run(5 * time.Second)
			refused := f.run(30 * time.Second)
			t.Logf("refused %v, owed %v", refused, f.owed)
			if r := refused[patient]; r < tt.least || r > tt.most {
				t.Errorf("%.2f of the patient queue was refused, want %.2f to %.2f", r, tt.least, tt.most)
			}
			if r := refused[urgent]; r > tt.urgentMost {
				t.Errorf("%.2f of the urgent queue was refused, want %.2f at most", r, tt.urgentMost)
			}
			if wait := f.owed[urgent] / f.rate; wait > jobTime.Seconds() {
				t.Errorf("what is owed to the urgent queue takes %.1f s, want %v at most", wait, jobTime)
			}
			f.offered = map[identifier.Queue]float64{urgent: 10, patient: 100}
			f.run(5 * time.Second)
			for q, r := range f.run(10 * time.Second) {
				if r > 0 {
					t.Errorf("%.2f of %s was refused after the load fell", r, q)
				}
			}
		})
	}
}

// TestUrgentQueueIsRefusedLast checks that nothing of an urgent queue is refused before
// the least is left of the others.
func TestUrgentQueueIsRefusedLast(t *testing.T) {
	f := newFlow(served, map[identifier.Queue]float64{urgent: 1500, patient: 500})
	for range 50 {
		f.run(Period)
		a := f.admitter.Admission()
		if _, refused := a[urgent]; refused && a[patient].Share > leastShare {
			t.Fatalf("the urgent queue is refused while %.2f of the patient one is accepted", a[patient].Share)
		}
	}
	if _, refused := f.admitter.Admission()[urgent]; !refused {
		t.Error("nothing of an urgent queue is refused that alone is more than is served")
	}
}

// TestPatientQueueGivesWayToDelayedUrgentWork checks that a holder whose answers are late
// accepts less of what is not urgent, although nothing waits for room.
func TestPatientQueueGivesWayToDelayedUrgentWork(t *testing.T) {
	f := newFlow(10*served, map[identifier.Queue]float64{urgent: 200, patient: 800})
	f.tell = func(l *Load) { l.Delay = 20 * time.Millisecond }
	if r := f.run(5 * time.Second); r[patient] > 0 {
		t.Fatalf("%.2f was refused while orders are answered at once", r[patient])
	}
	f.tell = func(l *Load) { l.Delay = 600 * time.Millisecond }
	f.run(2 * time.Second)
	if r := f.run(3 * time.Second); r[patient] < 0.9 {
		t.Errorf("%.2f of the patient queue was refused, want 0.9 while urgent work is delayed", r[patient])
	}
	f.tell = func(l *Load) { l.Delay = 20 * time.Millisecond }
	// The patient queue opens after the urgent one.
	f.run(6 * time.Second)
	if r := f.run(5 * time.Second); r[patient] > 0 || r[urgent] > 0 {
		t.Errorf("%v was refused after orders are answered at once again", r)
	}
}

// TestLittleEvidenceRefusesNothing checks loads of which too little is known.
func TestLittleEvidenceRefusesNothing(t *testing.T) {
	observation := Observation{Queue: patient, Service: "s", Time: jobTime, Slack: jobTime, Steps: 1}
	tests := map[string]func(n int) Load{
		"few jobs wait for room of a rare kind": func(int) Load {
			o := observation
			o.Waiting, o.Owed = leastJobs-1, 1000
			return Load{Queues: []Observation{o}}
		},
		"jobs wait for a moment": func(n int) Load {
			o := observation
			if n%2 == 0 {
				o.Waiting, o.Owed = 100, 1000
			}
			return Load{Queues: []Observation{o}}
		},
		"the store is away": func(int) Load {
			o := observation
			o.Waiting, o.Owed = 100, 1000
			return Load{Queues: []Observation{o}, Stalled: true}
		},
		"orders are late once": func(n int) Load {
			l := Load{Queues: []Observation{observation}, Delay: 10 * time.Millisecond}
			if n == 5 {
				l.Delay = time.Minute
			}
			return l
		},
		"no queues": func(int) Load { return Load{} },
	}
	for name, load := range tests {
		t.Run(name, func(t *testing.T) {
			var a Admitter
			now := time.UnixMilli(1_000_000)
			for n := range 50 {
				now = now.Add(Period)
				if changes := a.Update(now, load(n)); len(changes) > 0 || a.Admission() != nil {
					t.Fatalf("refuses after %d observations: %+v", n+1, changes)
				}
			}
		})
	}
}

// TestStarvedQueueIsProbed checks that a queue without any progress is refused but for a
// small part, by which better times are noticed.
func TestStarvedQueueIsProbed(t *testing.T) {
	f := newFlow(0, map[identifier.Queue]float64{patient: 800})
	f.run(10 * time.Second)
	v := f.admitter.Admission()[patient]
	if v.Share != leastShare {
		t.Errorf("%.2f is accepted of a queue that makes no progress, want %.2f", v.Share, leastShare)
	}
	if v.RetryAfter.Std() < time.Second || v.RetryAfter.Std() > 10*jobTime {
		t.Errorf("callers are asked back after %v", v.RetryAfter.Std())
	}
	f.rate = served * 10
	f.run(5 * time.Second)
	if a := f.admitter.Admission(); a != nil {
		t.Errorf("still refuses after 5 s of progress: %v", a)
	}
}

// TestForgottenQueuesLeaveNothing checks that queues that come and go are not kept.
func TestForgottenQueuesLeaveNothing(t *testing.T) {
	var a Admitter
	now := time.UnixMilli(1_000_000)
	for n := range 100 {
		now = now.Add(Period)
		a.Update(now, Load{Queues: []Observation{{Queue: identifier.Queue(rune('a' + n))}}})
	}
	if n := len(a.queues); n > 1 {
		t.Errorf("%d queues are remembered, want 1", n)
	}
}

// TestHostsAgreeOnAJob checks that a job which is accepted under a share is accepted under
// all larger ones, that the accepted part is that of the share, and that callers come back
// at different times.
func TestHostsAgreeOnAJob(t *testing.T) {
	const jobs = 10_000
	shares := []Share{0.05, 0.2, 0.5, 0.8, 1}
	accepted := make([]int, len(shares))
	var returns []time.Duration
	for n := range jobs {
		id := jobID(n)
		before := false
		for i, s := range shares {
			now := Verdict{Share: s}.Admits(id)
			if before && !now {
				t.Fatalf("%s is accepted under a smaller share than %.2f and not under it", id, s)
			}
			if before = now; now {
				accepted[i]++
			}
		}
		if v := (Verdict{Share: 0.2, RetryAfter: identifier.Duration(2 * time.Second)}); !v.Admits(id) {
			returns = append(returns, v.ReturnAfter(id))
		}
	}
	for i, s := range shares {
		if part := float64(accepted[i]) / jobs; part < float64(s)-0.02 || part > float64(s)+0.02 {
			t.Errorf("%.3f of all jobs are accepted, want %.2f", part, s)
		}
	}
	slices.Sort(returns)
	for i := range 4 {
		part := returns[(i+1)*len(returns)/4-1] - returns[i*len(returns)/4]
		if part < 100*time.Millisecond {
			t.Errorf("a quarter of the callers come back within %v", part)
		}
	}
	if returns[0] < 2*time.Second || returns[len(returns)-1] > 5*time.Second {
		t.Errorf("callers come back after %v to %v, want 2 s and what the share takes to rise", returns[0], returns[len(returns)-1])
	}
}

// TestShareRisesAsCallersAreTold checks that a job which comes back when its caller was told
// to is accepted, if the load fell at once.
func TestShareRisesAsCallersAreTold(t *testing.T) {
	for _, from := range []Share{leastShare, 0.2, 0.6} {
		q := queue{share: from, refused: true}
		now := time.UnixMilli(1_000_000)
		passed := time.Duration(0)
		for q.refused {
			q.settle(now, 0)
			passed += Period
			for n := range 200 {
				id := jobID(n)
				due := riseBetween(float64(from), draw(id))
				if accepted := (Verdict{Share: q.share}).Admits(id); passed >= due+Period && !accepted {
					t.Fatalf("from %.2f: %s was told %v and is not accepted after %v", from, id, due, passed)
				}
			}
		}
	}
}

func jobID(n int) identifier.Job {
	const digits = "0123456789abcdef"
	id := make([]byte, 16)
	for i := range id {
		id[len(id)-1-i] = digits[n>>(4*i)&15]
	}
	return identifier.Job(id)
}

// TestOldWordsRefuseNothing checks that a host without a fresh word accepts everything,
// also one that was suspended after it had learned the word.
func TestOldWordsRefuseNothing(t *testing.T) {
	uptime := time.Hour
	b := NewBoard(WithUptime(func() time.Duration { return uptime }))
	refuses := func() bool {
		_, _, refuses := b.Verdict(0, patient)
		return refuses
	}
	word := Word{0: {patient: {Share: 0.5}}}
	if refuses() {
		t.Error("refuses although nothing was said")
	}
	b.Learn(word, uptime)
	if uptime += maxAge; !refuses() {
		t.Error("accepts everything although a fresh word says otherwise")
	}
	if uptime += time.Millisecond; refuses() {
		t.Error("refuses by an old word")
	}
	b.Learn(word, uptime)
	b.Learn(Word{0: nil}, uptime-time.Second)
	if !refuses() {
		t.Error("an older word replaced a newer one")
	}
	b.Learn(Word{0: nil}, uptime)
	if refuses() {
		t.Error("refuses although the newest word accepts everything")
	}
	if _, _, refuses := b.Verdict(1, patient); refuses {
		t.Error("refuses in a cell of which nothing was said")
	}
}

// TestHeldUpHolderRefusesNothing checks that the time for which a holder did not run does
// not count as one in which nothing began.
func TestHeldUpHolderRefusesNothing(t *testing.T) {
	const heldUp = 5 * time.Second
	var a Admitter
	now := time.UnixMilli(1_000_000)
	o := Observation{Queue: patient, Service: "s", Time: jobTime, Slack: jobTime, Steps: 1, Waiting: 20, Owed: 200}
	for n := range 30 {
		now = now.Add(Period)
		if n == 10 {
			now = now.Add(heldUp)
			o.Owed = 900
		} else {
			o.Begun += int(served * Period.Seconds())
			o.Accepted = o.Begun
		}
		if changes := a.Update(now, Load{Queues: []Observation{o}}); len(changes) > 0 {
			t.Fatalf("refuses at observation %d: %+v", n, changes)
		}
	}
}
