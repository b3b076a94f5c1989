package admitter

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// maxOutlookAge is how old an outlook may be to refuse a job by it; holders tell it every 400 ms.
	maxOutlookAge = 1500 * time.Millisecond
	// lateFactor, times the time to its objective, is how long after its submission a job is of use.
	lateFactor = 3
	// minShare is the share of the processors that each priority is judged to have at least, so that
	// more urgent work does not keep a class out for good.
	minShare = 0.1
	// estimateFraction is the fraction of a job's own work and critical path that counts, so that one
	// whose estimate is too high is not refused.
	estimateFraction = 0.7
	// minRetryAfter and maxRetryAfter bound how long callers are told to wait.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Admitter keeps the outlooks of the cells and judges jobs by them. Its zero value admits all jobs. It is
// safe for concurrent use.
type Admitter struct {
	mu    sync.Mutex
	cells map[identifier.Cell]cell
}

// cell is the outlook of a cell.
type cell struct {
	outlook    Outlook
	observedAt time.Time
	// returning is the work of the jobs that were refused, since the outlook, and told when to return.
	returning map[class]CoreTime
}

// class is a kind of jobs that compete with each other first.
type class struct {
	service  identifier.Service
	priority int
}

// Observe replaces the outlook of a cell. Work that was refused before drains as fast as other work.
func (a *Admitter) Observe(id identifier.Cell, o Outlook, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cells == nil {
		a.cells = map[identifier.Cell]cell{}
	}
	before := a.cells[id]
	next := cell{outlook: o, observedAt: now, returning: map[class]CoreTime{}}
	for _, s := range o.Services {
		drained := CoreTime(now.Sub(before.observedAt).Seconds() * float64(s.Processors) / millicores * float64(time.Second))
		for c, w := range before.returning {
			if c.service == s.Name && w > drained {
				next.returning[c] = w - drained
			}
		}
	}
	a.cells[id] = next
}

// Judge decides whether a job can be done before it is of no use to its caller: within three times its
// objective. If it cannot, it returns how long the caller should wait before it tries again; those that
// are refused first return first. Scheduled and long-running jobs are always admitted.
func (a *Admitter) Judge(id identifier.Cell, job *submitter.Job, queue connector.QueueConfig, now time.Time) (retryAfter time.Duration, admitted bool) {
	if queue.Stretch <= 0 && queue.Allowance <= 0 || job.Schedule != nil || slices.ContainsFunc(job.Steps, func(s submitter.Step) bool { return s.LongRunning }) {
		return 0, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.cells[id]
	i := slices.IndexFunc(c.outlook.Services, func(s Service) bool { return s.Name == queue.Service })
	if i < 0 || c.outlook.Services[i].Processors <= 0 || now.Sub(c.observedAt) > maxOutlookAge {
		return 0, true
	}
	s := c.outlook.Services[i]
	own := CoreTime(0)
	for k := range job.Steps {
		own += Work(&job.Steps[k], job.Steps[k].Count)
	}
	path := CriticalPath(job)
	needed := time.Duration(estimateFraction * float64(max(path, s.timeFor(own, 1))))
	limit := lateFactor * (time.Duration(float64(path)*max(queue.Stretch, 1)) + queue.Allowance.Std())
	excess := s.wait(queue.Priority) + needed - limit
	if excess <= 0 || limit <= 0 {
		return 0, true
	}
	k := class{queue.Service, queue.Priority}
	retryAfter = min(max(excess+s.timeFor(c.returning[k], 1), minRetryAfter), maxRetryAfter)
	c.returning[k] += own
	return retryAfter, false
}

// wait returns how long a new job of a priority waits for the work ahead of it: that of its own and of
// more urgent priorities, but no longer than its own takes with minShare of the processors.
func (s Service) wait(priority int) time.Duration {
	ahead := CoreTime(0)
	for p, w := range s.Work {
		if p <= priority {
			ahead += w
		}
	}
	return min(s.timeFor(ahead, 1), s.timeFor(s.Work[priority], minShare))
}
