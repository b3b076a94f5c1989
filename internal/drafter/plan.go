// Package drafter drafts the faults and the load of a soak from a seed.
package drafter

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/disturber"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// Options are what a run depends on. Equal options give equal plans.
type Options struct {
	Seed    uint64        `json:"seed"`
	Hosts   int           `json:"hosts"`
	Workers int           `json:"workers"`
	Span    time.Duration `json:"span"`
	// Without are faults of the plan, counted from zero, that are left out, to find those that
	// matter for a failure.
	Without []int `json:"without,omitempty"`
}

// Check returns an error if no plan can be made of the options.
func (o Options) Check() error {
	if o.Hosts < 1 || o.Hosts > maxHosts || o.Workers < len(DataCentres) || o.Workers > maxWorkers || o.Span < time.Second {
		return errors.Newf("a run takes 1 to %d hosts, %d to %d workers and at least a second", maxHosts, len(DataCentres), maxWorkers)
	}
	return nil
}

const (
	// maxHosts and maxWorkers are what the ports of a run are laid out for.
	maxHosts, maxWorkers = 300, 1000
	// seriesLeast and seriesMost bound the length of a series of faults, quietLeast and
	// quietMost the time without faults between two. The quiet time is longer than the
	// 3 s after which SYSTEM.md (contactMs) counts a host as in touch again.
	seriesLeast, seriesMost = 4 * time.Second, 9 * time.Second
	quietLeast, quietMost   = 4 * time.Second, 7 * time.Second
	// faultsLeast and faultsMost bound the faults of a series.
	faultsLeast, faultsMost = 3, 9
	// faultLeast and faultMost bound the length of a fault.
	faultLeast, faultMost = 300 * time.Millisecond, 5 * time.Second
	// evacuationLeast and evacuationMost bound an evacuation: it has to last longer than it
	// takes until no start may be seen.
	evacuationLeast, evacuationMost = 7 * time.Second, 10 * time.Second
	// workerTaskRate is the load, in tasks a second and worker: a quarter of what workers
	// of 4 cores do with tasks of half a second on one core.
	workerTaskRate = 2
	// jobsMost bounds the load, in jobs a second: callers share the machine.
	jobsMost = 20
	// lastingEvery, cancelledEvery and hopelessEvery are how many jobs there are for one
	// that lasts, is cancelled, or names a queue that does not exist.
	lastingEvery, cancelledEvery, hopelessEvery = 40, 12, 15
)

// Fault is one of the faults below.
type Fault interface{ fault() }

type (
	// HostsKilled get SIGKILL, and are started again at the end.
	HostsKilled struct{ Hosts []int }
	// HostsStopped get SIGTERM, and are started again at the end.
	HostsStopped struct{ Hosts []int }
	// HostsPaused get SIGSTOP, and SIGCONT at the end.
	HostsPaused struct{ Hosts []int }
	// LinksBroken are delayed or hold back what they carry.
	LinksBroken struct {
		Links  []LinkID
		Faults disturber.Faults
	}
	// LinksReset are reset once, at the beginning.
	LinksReset struct{ Links []LinkID }
	// StoreFails makes the store misbehave.
	StoreFails struct{ Faults simulator.StoreFaults }
	// StoreForgets drops the history of the store once, at the beginning.
	StoreForgets struct{}
	// WorkersFail misbehave.
	WorkersFail struct {
		Workers []identifier.Worker
		Faults  simulator.WorkerFaults
	}
	// WorkersCrash once, at the beginning, and begin anew at the end.
	WorkersCrash struct{ Workers []identifier.Worker }
	// WorkersLeave at the beginning, and begin again at the end.
	WorkersLeave struct{ Workers []identifier.Worker }
	// Evacuated is out of service.
	Evacuated struct{ DataCentre identifier.DataCentre }
)

func (HostsKilled) fault()  {}
func (HostsStopped) fault() {}
func (HostsPaused) fault()  {}
func (LinksBroken) fault()  {}
func (LinksReset) fault()   {}
func (StoreFails) fault()   {}
func (StoreForgets) fault() {}
func (WorkersFail) fault()  {}
func (WorkersCrash) fault() {}
func (WorkersLeave) fault() {}
func (Evacuated) fault()    {}

// KindOf names the kind of a fault.
func KindOf(f Fault) string { return strings.TrimPrefix(fmt.Sprintf("%T", f), "drafter.") }

// FaultEvent is a fault with its time, counted from the begin of the load.
type FaultEvent struct {
	At, For time.Duration
	Fault   Fault
}

// MarshalJSON tells the kind of the fault too.
func (e FaultEvent) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		At    string `json:"at"`
		For   string `json:"for"`
		Kind  string `json:"kind"`
		Fault Fault  `json:"fault"`
	}{e.At.String(), e.For.String(), KindOf(e.Fault), e.Fault})
}

// JobEvent is a job that a caller hands in.
type JobEvent struct {
	At  time.Duration `json:"at"`
	Job submitter.Job `json:"job"`
	// Host is the host that is asked first.
	Host int `json:"host"`
	// CancelAfter is how long after its acceptance the job is cancelled; zero for never.
	CancelAfter time.Duration `json:"cancelAfter,omitempty"`
}

// Plan is what is done in a run.
type Plan struct {
	Options
	Faults []FaultEvent `json:"faults"`
	Jobs   []JobEvent   `json:"jobs"`
}

// End returns when the last fault is over, and no job is handed in any more.
func (p Plan) End() time.Duration {
	end := p.Span
	for _, e := range p.Faults {
		end = max(end, e.At+e.For)
	}
	return end
}

// NewPlan returns the plan that follows from options.
func NewPlan(o Options) Plan {
	d := dealer{Options: o, Rand: rand.New(rand.NewPCG(o.Seed, 16))}
	p := Plan{Options: o}
	for t := d.between(time.Second, quietLeast); t < o.Span; {
		length := min(d.between(seriesLeast, seriesMost), o.Span-t)
		for range faultsLeast + d.IntN(faultsMost-faultsLeast+1) {
			e := FaultEvent{t + d.between(0, length), d.between(faultLeast, faultMost), d.fault()}
			if _, ok := e.Fault.(Evacuated); ok {
				e.For = d.between(evacuationLeast, evacuationMost)
			}
			p.Faults = append(p.Faults, e)
		}
		t += length + faultMost + d.between(quietLeast, quietMost)
	}
	slices.SortStableFunc(p.Faults, func(a, b FaultEvent) int { return cmp.Compare(a.At, b.At) })
	kept := p.Faults[:0]
	for i, e := range p.Faults {
		if !slices.Contains(o.Without, i) {
			kept = append(kept, e)
		}
	}
	p.Faults = kept
	d.Rand = rand.New(rand.NewPCG(o.Seed, 17))
	p.Jobs = d.jobs()
	return p
}

// dealer draws what is left to chance.
type dealer struct {
	Options
	*rand.Rand
}

func (d dealer) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(d.Int64N(int64(most-least))).Truncate(time.Millisecond)
}

// some returns different numbers below n: mostly one, sometimes several or all.
func (d dealer) some(n, most int) []int {
	count := 1
	switch d.IntN(4) {
	case 0:
		count = 1 + d.IntN(max(most/2, 1))
	case 1:
		count = most
	}
	return slices.Sorted(slices.Values(d.Perm(n)[:min(count, most)]))
}

// workers returns some workers, at most a third, so that what has to run has room.
func (d dealer) workers() (out []identifier.Worker) {
	ids := WorkerIDs(d.Options)
	for _, i := range d.some(len(ids), max(len(ids)/3, 1)) {
		out = append(out, ids[i])
	}
	return out
}

func (d dealer) links() (out []LinkID) {
	switch d.IntN(3) {
	case 0:
		for _, id := range d.workers() {
			out = append(out, WorkerLink(id))
		}
	case 1:
		for _, h := range d.some(d.Hosts, d.Hosts) {
			out = append(out, CallersLink(h))
		}
	default:
		for _, h := range d.some(d.Hosts, d.Hosts) {
			out = append(out, PlatformLink(h))
		}
	}
	return out
}

func (d dealer) fault() Fault {
	share := func() float64 { return 0.2 + 0.7*d.Float64() }
	hosts := func() []int { return d.some(d.Hosts, d.Hosts) }
	faults := []func() Fault{
		func() Fault { return HostsKilled{hosts()} },
		func() Fault { return HostsKilled{hosts()} },
		func() Fault { return HostsStopped{hosts()} },
		func() Fault { return HostsPaused{hosts()} },
		func() Fault { return HostsPaused{hosts()} },
		func() Fault { return LinksReset{d.links()} },
		func() Fault {
			return LinksBroken{d.links(), disturber.Faults{Delay: d.between(20*time.Millisecond, time.Second)}}
		},
		func() Fault { return LinksBroken{d.links(), disturber.Faults{HoldSent: true}} },
		func() Fault { return LinksBroken{d.links(), disturber.Faults{HoldReceived: true}} },
		func() Fault { return LinksBroken{d.links(), disturber.Faults{HoldSent: true, HoldReceived: true}} },
		func() Fault { return StoreFails{simulator.StoreFaults{Down: true}} },
		func() Fault {
			return StoreFails{simulator.StoreFaults{Slow: d.between(50*time.Millisecond, 400*time.Millisecond)}}
		},
		func() Fault { return StoreFails{simulator.StoreFaults{LoseAnswers: share()}} },
		func() Fault {
			refused := map[string]bool{}
			for _, h := range hosts() {
				refused[HostName(h)] = true
			}
			return StoreFails{simulator.StoreFaults{Refused: refused}}
		},
		func() Fault { return StoreForgets{} },
		func() Fault { return WorkersFail{d.workers(), simulator.WorkerFaults{Cut: true}} },
		func() Fault { return WorkersFail{d.workers(), simulator.WorkerFaults{Late: share()}} },
		func() Fault {
			return WorkersFail{d.workers(), simulator.WorkerFaults{Refusing: share(), Slow: d.between(0, 500*time.Millisecond)}}
		},
		func() Fault { return WorkersFail{d.workers(), simulator.WorkerFaults{Unlisted: true}} },
		func() Fault { return WorkersCrash{d.workers()} },
		func() Fault { return WorkersLeave{d.workers()} },
		func() Fault { return Evacuated{DataCentres[d.IntN(len(DataCentres))]} },
	}
	return faults[d.IntN(len(faults))]()
}

// jobs returns the load: jobs of one to three steps, one after the other.
func (d dealer) jobs() (out []JobEvent) {
	for t, n := time.Duration(0), 0; t < d.Span; n++ {
		id, q := fmt.Sprintf("job-%d", n), Queue
		job := submitter.Job{}
		for step := range 1 + d.IntN(3) {
			s := submitter.Step{Count: 1 + d.IntN(5), Size: taskSize, Estimate: identifier.Duration(500 * time.Millisecond)}
			if step > 0 {
				s.After = []int{step - 1}
			}
			job.Steps = append(job.Steps, s)
		}
		e := JobEvent{At: t, Host: d.IntN(d.Hosts)}
		switch {
		case d.IntN(lastingEvery) == 0 && n < lastingMost(d.Workers)*lastingEvery:
			id = lastingPrefix + id
			job.Steps = []submitter.Step{{Count: 2, Size: taskSize, LongRunning: true}}
		case d.IntN(cancelledEvery) == 0:
			e.CancelAfter = d.between(time.Millisecond, 2*time.Second)
		case d.IntN(hopelessEvery) == 0:
			q = UnknownQueue
		}
		job.ID, job.Queue, e.Job = identifier.Job(id), q, job
		e.Job.ID, e.Job.Queue = identifier.Job(id), q
		out = append(out, e)
		rate := min(float64(d.Workers)*workerTaskRate/float64(tasksMean), jobsMost)
		t += time.Duration(d.ExpFloat64() * float64(time.Second) / rate)
	}
	return out
}

// tasksMean is the mean number of tasks of a job: two steps of three.
const tasksMean = 6

// lastingMost bounds the jobs that last to what takes a sixth of the room, in tasks of one
// core on workers of four, two a job.
func lastingMost(workers int) int { return max(workers*4/6/2, 1) }
