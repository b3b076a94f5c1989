package emulator

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// FaultKind names a kind of failure.
type FaultKind string

// The kinds of failures that a plan holds.
const (
	// FaultKill ends a host without notice; another takes its name at the end.
	FaultKill FaultKind = "kill"
	// FaultFreeze holds everything a host sends until the end.
	FaultFreeze FaultKind = "freeze"
	// FaultCutLog cuts a host off from the log.
	FaultCutLog FaultKind = "cutLog"
	// FaultCutWorkers cuts a host off from the workers.
	FaultCutWorkers FaultKind = "cutWorkers"
	// FaultLoseWorkerAnswers lets a host's calls to workers take effect and loses the answers.
	FaultLoseWorkerAnswers FaultKind = "deaf"
	// FaultLogDown makes the log refuse everybody.
	FaultLogDown FaultKind = "logDown"
	// FaultLogSlow delays every call of the log.
	FaultLogSlow FaultKind = "logSlow"
	// FaultLogLossy loses the answers of half of the appends.
	FaultLogLossy FaultKind = "logLossy"
	// FaultCrashWorker stops and forgets all tasks of a worker.
	FaultCrashWorker FaultKind = "crashWorker"
	// FaultDrain takes a data centre out of service until the end.
	FaultDrain FaultKind = "drain"
)

// Fault is one failure: it begins At after the start of a plan, lasts For, and
// strikes the target of the given number.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	For    time.Duration
	Target int
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s at %s for %s on %d", f.Kind, f.At, f.For, f.Target)
}

// RandomFaults returns n failures of the given kinds within a span, the same for the
// same seed. Targets are numbers below targets.
func RandomFaults(seed uint64, n int, span, longest time.Duration, targets int, kinds ...FaultKind) []Fault {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	out := make([]Fault, n)
	for i := range out {
		out[i] = Fault{
			Kind:   kinds[rng.IntN(len(kinds))],
			At:     time.Duration(rng.Int64N(int64(span))).Round(time.Millisecond),
			For:    time.Duration(rng.Int64N(int64(longest))).Round(time.Millisecond),
			Target: rng.IntN(targets),
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}
