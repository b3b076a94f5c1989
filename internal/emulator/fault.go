package emulator

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults that RandomFaults can choose.
const (
	// FaultKill kills a host without notice; a new one with the same name replaces it at the
	// end.
	FaultKill FaultKind = "kill"
	// FaultFreeze holds back everything that a host sends until the end.
	FaultFreeze FaultKind = "freeze"
	// FaultCutLog cuts a host off from the log.
	FaultCutLog FaultKind = "cutLog"
	// FaultCutWorkers cuts a host off from the workers.
	FaultCutWorkers FaultKind = "cutWorkers"
	// FaultLoseWorkerAnswers loses the answers of workers to a host, whose calls take effect.
	FaultLoseWorkerAnswers FaultKind = "deaf"
	// FaultLogDown makes the log refuse all calls.
	FaultLogDown FaultKind = "logDown"
	// FaultLogSlow delays every call to the log.
	FaultLogSlow FaultKind = "logSlow"
	// FaultLogLossy loses the answers of half of the appends.
	FaultLogLossy FaultKind = "logLossy"
	// FaultCrashWorker crashes a worker, which loses all its tasks.
	FaultCrashWorker FaultKind = "crashWorker"
	// FaultDrain takes a data centre out of service until the end.
	FaultDrain FaultKind = "drain"
)

// Fault is a fault that begins At after the start of a test, lasts For, and affects the target with
// the given index.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	For    time.Duration
	Target int
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s at %s for %s on %d", f.Kind, f.At, f.For, f.Target)
}

// RandomFaults returns n faults of the given kinds, ordered by time. They begin within span, last
// less than longest and have targets below targets. Equal seeds give equal faults.
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
