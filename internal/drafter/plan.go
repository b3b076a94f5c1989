// Package drafter generates the faults and the load of a soak test from a seed.
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

// Options determine the plan of a run: equal options give equal plans.
type Options struct {
	Seed    uint64        `json:"seed"`
	Hosts   int           `json:"hosts"`
	Workers int           `json:"workers"`
	Span    time.Duration `json:"span"`
	// Without are the indices of faults to leave out of the plan, so that the faults that
	// cause a failure can be isolated.
	Without []int `json:"without,omitempty"`
}

// Check returns an error if the options are out of range.
func (o Options) Check() error {
	if o.Hosts < 1 || o.Hosts > maxHosts || o.Workers < len(DataCentres) || o.Workers > maxWorkers || o.Span < time.Second {
		return errors.Newf("a run takes 1 to %d hosts, %d to %d workers and at least a second", maxHosts, len(DataCentres), maxWorkers)
	}
	return nil
}

const (
	// maxHosts and maxWorkers are limited by the port ranges of a run (soaker.layout).
	maxHosts, maxWorkers = 300, 1000
	// minSeries and maxSeries bound the duration of a series of faults, and minQuiet and
	// maxQuiet the time without faults between two series. The quiet time exceeds the 3 s
	// after which SYSTEM.md (contactMs) counts a host as in touch again.
	minSeries, maxSeries = 4 * time.Second, 9 * time.Second
	minQuiet, maxQuiet   = 4 * time.Second, 7 * time.Second
	// minSeriesFaults and maxSeriesFaults bound the number of faults in a series.
	minSeriesFaults, maxSeriesFaults = 3, 9
	// minFault and maxFault bound the duration of a fault other than an evacuation.
	minFault, maxFault = 300 * time.Millisecond, 5 * time.Second
	// minEvacuation and maxEvacuation bound the duration of an evacuation. It has to exceed
	// the time for which tasks may still start in the data centre.
	minEvacuation, maxEvacuation = 7 * time.Second, 10 * time.Second
	// workerTaskRate is the load in tasks per second and worker: a quarter of what a worker
	// with 4 cores can run if a task takes half a second on one core.
	workerTaskRate = 2
	// maxJobRate limits the load, in jobs per second, as the callers run on the same machine.
	maxJobRate = 20
	// On average, one job in longRunningEvery is long-running, one in cancelledEvery is
	// cancelled by its caller, and one in unknownQueueEvery names a queue that does not exist.
	longRunningEvery, cancelledEvery, unknownQueueEvery = 40, 12, 15
)

// Fault is one of the fault types of this package.
type Fault interface{ fault() }

type (
	// HostsKilled sends hosts SIGKILL and restarts them at the end.
	HostsKilled struct{ Hosts []int }
	// HostsStopped sends hosts SIGTERM and restarts them at the end.
	HostsStopped struct{ Hosts []int }
	// HostsPaused sends hosts SIGSTOP, and SIGCONT at the end.
	HostsPaused struct{ Hosts []int }
	// LinksBroken delays or holds back the traffic of links.
	LinksBroken struct {
		Links  []LinkID
		Faults disturber.Faults
	}
	// LinksReset resets the connections of links once, at the beginning.
	LinksReset struct{ Links []LinkID }
	// StoreFails injects faults into the store.
	StoreFails struct{ Faults simulator.StoreFaults }
	// StoreForgets drops the history of the store once, at the beginning.
	StoreForgets struct{}
	// WorkersFail injects faults into workers.
	WorkersFail struct {
		Workers []identifier.Worker
		Faults  simulator.WorkerFaults
	}
	// WorkersCrash crashes workers at the beginning and boots them without state at the end.
	WorkersCrash struct{ Workers []identifier.Worker }
	// WorkersLeave removes workers at the beginning and brings them back at the end.
	WorkersLeave struct{ Workers []identifier.Worker }
	// Evacuated takes a data centre out of service.
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

// KindOf returns the name of a fault's type, such as HostsKilled.
func KindOf(f Fault) string { return strings.TrimPrefix(fmt.Sprintf("%T", f), "drafter.") }

// FaultEvent is a fault that begins At after the start of the load and lasts For.
type FaultEvent struct {
	At, For time.Duration
	Fault   Fault
}

// MarshalJSON encodes the event with the kind of its fault and durations as strings.
func (e FaultEvent) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		At    string `json:"at"`
		For   string `json:"for"`
		Kind  string `json:"kind"`
		Fault Fault  `json:"fault"`
	}{e.At.String(), e.For.String(), KindOf(e.Fault), e.Fault})
}

// JobEvent is a job that a caller submits At after the start of the load.
type JobEvent struct {
	At  time.Duration `json:"at"`
	Job submitter.Job `json:"job"`
	// Host is the host to which the job is submitted first.
	Host int `json:"host"`
	// CancelAfter is the time from the acceptance of the job to its cancellation; zero for none.
	CancelAfter time.Duration `json:"cancelAfter,omitempty"`
}

// Plan holds the faults and the load of a run, each in order of time.
type Plan struct {
	Options
	Faults []FaultEvent `json:"faults"`
	Jobs   []JobEvent   `json:"jobs"`
}

// End returns the time, from the start of the load, at which all faults and the load are over.
func (p Plan) End() time.Duration {
	end := p.Span
	for _, e := range p.Faults {
		end = max(end, e.At+e.For)
	}
	return end
}

// NewPlan generates the plan for the given options.
func NewPlan(o Options) Plan {
	g := generator{Options: o, Rand: rand.New(rand.NewPCG(o.Seed, 16))}
	p := Plan{Options: o}
	for t := g.duration(time.Second, minQuiet); t < o.Span; {
		length := min(g.duration(minSeries, maxSeries), o.Span-t)
		for range minSeriesFaults + g.IntN(maxSeriesFaults-minSeriesFaults+1) {
			e := FaultEvent{t + g.duration(0, length), g.duration(minFault, maxFault), g.randomFault()}
			if _, ok := e.Fault.(Evacuated); ok {
				e.For = g.duration(minEvacuation, maxEvacuation)
			}
			p.Faults = append(p.Faults, e)
		}
		t += length + maxFault + g.duration(minQuiet, maxQuiet)
	}
	slices.SortStableFunc(p.Faults, func(a, b FaultEvent) int { return cmp.Compare(a.At, b.At) })
	kept := p.Faults[:0]
	for i, e := range p.Faults {
		if !slices.Contains(o.Without, i) {
			kept = append(kept, e)
		}
	}
	p.Faults = kept
	g.Rand = rand.New(rand.NewPCG(o.Seed, 17))
	p.Jobs = g.randomJobs()
	return p
}

// generator makes the random choices of a plan.
type generator struct {
	Options
	*rand.Rand
}

func (g generator) duration(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(g.Int64N(int64(most-least))).Truncate(time.Millisecond)
}

// randomSubset returns up to most distinct numbers below n, sorted: usually one, sometimes
// several or all.
func (g generator) randomSubset(n, most int) []int {
	count := 1
	switch g.IntN(4) {
	case 0:
		count = 1 + g.IntN(max(most/2, 1))
	case 1:
		count = most
	}
	return slices.Sorted(slices.Values(g.Perm(n)[:min(count, most)]))
}

// randomWorkers returns some workers, but at most a third, so that capacity remains for the load.
func (g generator) randomWorkers() (out []identifier.Worker) {
	ids := WorkerIDs(g.Options)
	for _, i := range g.randomSubset(len(ids), max(len(ids)/3, 1)) {
		out = append(out, ids[i])
	}
	return out
}

func (g generator) links() (out []LinkID) {
	switch g.IntN(3) {
	case 0:
		for _, id := range g.randomWorkers() {
			out = append(out, WorkerLink(id))
		}
	case 1:
		for _, h := range g.randomSubset(g.Hosts, g.Hosts) {
			out = append(out, CallersLink(h))
		}
	default:
		for _, h := range g.randomSubset(g.Hosts, g.Hosts) {
			out = append(out, PlatformLink(h))
		}
	}
	return out
}

func (g generator) randomFault() Fault {
	fraction := func() float64 { return 0.2 + 0.7*g.Float64() }
	hosts := func() []int { return g.randomSubset(g.Hosts, g.Hosts) }
	faults := []func() Fault{
		func() Fault { return HostsKilled{hosts()} },
		func() Fault { return HostsKilled{hosts()} },
		func() Fault { return HostsStopped{hosts()} },
		func() Fault { return HostsPaused{hosts()} },
		func() Fault { return HostsPaused{hosts()} },
		func() Fault { return LinksReset{g.links()} },
		func() Fault {
			return LinksBroken{g.links(), disturber.Faults{Delay: g.duration(20*time.Millisecond, time.Second)}}
		},
		func() Fault { return LinksBroken{g.links(), disturber.Faults{HoldSent: true}} },
		func() Fault { return LinksBroken{g.links(), disturber.Faults{HoldReceived: true}} },
		func() Fault { return LinksBroken{g.links(), disturber.Faults{HoldSent: true, HoldReceived: true}} },
		func() Fault { return StoreFails{simulator.StoreFaults{Down: true}} },
		func() Fault {
			return StoreFails{simulator.StoreFaults{Slow: g.duration(50*time.Millisecond, 400*time.Millisecond)}}
		},
		func() Fault { return StoreFails{simulator.StoreFaults{LoseAnswers: fraction()}} },
		func() Fault {
			refused := map[string]bool{}
			for _, h := range hosts() {
				refused[HostName(h)] = true
			}
			return StoreFails{simulator.StoreFaults{Refused: refused}}
		},
		func() Fault { return StoreForgets{} },
		func() Fault { return WorkersFail{g.randomWorkers(), simulator.WorkerFaults{Cut: true}} },
		func() Fault { return WorkersFail{g.randomWorkers(), simulator.WorkerFaults{Late: fraction()}} },
		func() Fault {
			return WorkersFail{g.randomWorkers(), simulator.WorkerFaults{Refusing: fraction(), Slow: g.duration(0, 500*time.Millisecond)}}
		},
		func() Fault { return WorkersFail{g.randomWorkers(), simulator.WorkerFaults{Unlisted: true}} },
		func() Fault { return WorkersCrash{g.randomWorkers()} },
		func() Fault { return WorkersLeave{g.randomWorkers()} },
		func() Fault { return Evacuated{DataCentres[g.IntN(len(DataCentres))]} },
	}
	return faults[g.IntN(len(faults))]()
}

// randomJobs generates the load: jobs with one to three sequential steps, submitted at random
// intervals.
func (g generator) randomJobs() (out []JobEvent) {
	for t, n := time.Duration(0), 0; t < g.Span; n++ {
		id, q := fmt.Sprintf("job-%d", n), Queue
		job := submitter.Job{}
		for step := range 1 + g.IntN(3) {
			s := submitter.Step{Count: 1 + g.IntN(5), Size: taskSize, Estimate: identifier.Duration(500 * time.Millisecond)}
			if step > 0 {
				s.After = []int{step - 1}
			}
			job.Steps = append(job.Steps, s)
		}
		e := JobEvent{At: t, Host: g.IntN(g.Hosts)}
		switch {
		case g.IntN(longRunningEvery) == 0 && n < maxLongRunningJobs(g.Workers)*longRunningEvery:
			id = longRunningPrefix + id
			job.Steps = []submitter.Step{{Count: 2, Size: taskSize, LongRunning: true}}
		case g.IntN(cancelledEvery) == 0:
			e.CancelAfter = g.duration(time.Millisecond, 2*time.Second)
		case g.IntN(unknownQueueEvery) == 0:
			q = UnknownQueue
		}
		job.ID, job.Queue, e.Job = identifier.Job(id), q, job
		e.Job.ID, e.Job.Queue = identifier.Job(id), q
		out = append(out, e)
		rate := min(float64(g.Workers)*workerTaskRate/float64(meanTasksPerJob), maxJobRate)
		t += time.Duration(g.ExpFloat64() * float64(time.Second) / rate)
	}
	return out
}

// meanTasksPerJob is the mean number of tasks in a job: two steps with three tasks each.
const meanTasksPerJob = 6

// maxLongRunningJobs limits long-running jobs to a sixth of the capacity. Each has two tasks with
// one core, and each worker has four cores.
func maxLongRunningJobs(workers int) int { return max(workers*4/6/2, 1) }
