// Package admitter judges whether a job that comes in can still be done in time, from what the holder
// of its cell says about the work ahead of it. It does no I/O.
package admitter

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// CoreTime is processor time: that of one core for a nanosecond is one.
type CoreTime int64

// Outlook is what the holder of a cell tells other hosts about the cell.
type Outlook struct {
	// StoreDelay is how long the store takes at present for an append of the holder.
	StoreDelay time.Duration `json:"storeDelay,omitempty"`
	// Services describe the services that have work waiting; for others there is room.
	Services []Service `json:"services,omitempty"`
}

// Service is the work that waits for the workers of a service.
type Service struct {
	Name identifier.Service `json:"name"`
	// Processors are those of the usable workers that serving tasks are not expected to use.
	Processors identifier.Millicores `json:"processors"`
	// Work is what the jobs that can still be in time need, by the priority of their queues.
	Work map[int]CoreTime `json:"work"`
}

// millicores is the number of millicores of a core.
const millicores = 1000

// maxTime bounds the times that are reckoned with, far above those that callers wait.
const maxTime = 24 * time.Hour

// timeFor returns how long a share of the service's processors takes for an amount of work, at most
// maxTime.
func (s Service) timeFor(w CoreTime, share float64) time.Duration {
	return time.Duration(min(float64(w)*millicores/(float64(max(s.Processors, 1))*share), float64(maxTime)))
}

// Work returns the estimated processor time of tasks of a step.
func Work(s *submitter.Step, tasks int) CoreTime {
	return CoreTime(float64(s.Estimate) * float64(s.Size.Processors) / millicores * float64(tasks))
}

// CriticalPath returns the estimated duration of a job's longest chain of dependent steps.
func CriticalPath(job *submitter.Job) time.Duration {
	ends := make([]time.Duration, len(job.Steps))
	longest := time.Duration(0)
	for i, s := range job.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Estimate.Std()
		longest = max(longest, ends[i])
	}
	return longest
}
