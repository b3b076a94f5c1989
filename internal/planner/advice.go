package planner

import (
	"math"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
)

const (
	// maxCallDuration bounds what is expected of one call, whatever the configuration says.
	maxCallDuration = time.Minute
	// unknownCallDuration is expected where the configuration says nothing.
	unknownCallDuration = 100 * time.Millisecond
	// extraWorkers is how many workers more are asked about than are likely to be needed.
	extraWorkers = 2
)

// callDuration returns how long the adviser takes for a call that names some workers.
func callDuration(a connector.AdviceDurations, workers int) time.Duration {
	if a.Decide <= 0 && a.PerWorker <= 0 {
		return unknownCallDuration
	}
	decide, perWorker := max(a.Decide.Std(), 0), max(a.PerWorker.Std(), 0)
	if perWorker > maxCallDuration/maxWorkersNamed {
		return maxCallDuration
	}
	return min(decide, maxCallDuration-perWorker*time.Duration(workers)) + perWorker*time.Duration(workers)
}

// workersToAsk returns how many workers a question covers, for a step with some ready tasks and an
// expected share of permitted workers. As each worker lengthens the call, and other steps wait, it
// covers no more than are likely to be needed; but at least as many as take as long as the fixed part
// of the call, and no more than leave half of the permits' validity for starts.
func workersToAsk(a connector.AdviceDurations, tasks int, permittedShare float64) int {
	perWorker := a.PerWorker.Std()
	n := maxWorkersAsked
	if perWorker > 0 {
		paid := min(int(a.Decide.Std()/perWorker), maxWorkersAsked)
		n = max(int(math.Ceil(float64(tasks)/permittedShare))+extraWorkers, paid)
	} else if tasks > n {
		n = tasks
	}
	n = min(n, maxWorkersNamed)
	if a.Valid <= 0 {
		return n
	}
	for n > 1 && callDuration(a, n) > (a.Valid.Std()-permitMargin)/2 {
		n--
	}
	return n
}
