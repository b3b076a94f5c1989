package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// backlogInterval is the least time between two counts of the backlog.
const backlogInterval = 200 * time.Millisecond

// backlog caches the work that waits, as it was at countedAt.
type backlog struct {
	countedAt time.Time
	services  []admitter.Service
}

// Backlog returns the work of the jobs with waiting tasks that can still be in time, by service and
// priority. Late jobs do not count: new ones are served before them.
func (p *Planner) Backlog() []admitter.Service {
	if p.now.Sub(p.backlog.countedAt) < backlogInterval {
		return p.backlog.services
	}
	p.backlog = backlog{countedAt: p.now}
	work := map[identifier.Service]map[int]admitter.CoreTime{}
	for j := range p.waiting {
		if j.isLongRunning() || p.latenessOf(j) != onTime || p.quotaTasks(j) > 0 {
			continue
		}
		service := j.queue.Service
		if work[service] == nil {
			work[service] = map[int]admitter.CoreTime{}
		}
		work[service][j.queue.Priority] += j.remainingWork()
	}
	if len(work) == 0 {
		return nil
	}
	processors := map[identifier.Service]identifier.Millicores{}
	for _, w := range p.workerList {
		if p.expectedBack(w) {
			processors[w.entry.Service] += w.entry.Capacity.Processors - identifier.Millicores(servingUtilisation*float64(w.servingCPU))
		}
	}
	for service, byPriority := range work {
		p.backlog.services = append(p.backlog.services, admitter.Service{Name: service, Processors: processors[service], Work: byPriority})
	}
	return p.backlog.services
}

// remainingWork returns the estimated processor time of a job's tasks that are not done.
func (j *job) remainingWork() admitter.CoreTime {
	total := admitter.CoreTime(0)
	for g := range j.groups() {
		total += admitter.Work(g.step, len(g.tasks)-g.doneTasks)
	}
	return total
}

// expectedBack reports whether a worker will take tasks, though it may not have answered in this term yet
// or may have missed a poll.
func (p *Planner) expectedBack(w *worker) bool {
	switch p.workerObstacle(w) {
	case obstacleNone:
		return true
	case obstacleSilent:
		return w.listed && !w.entry.Draining && !p.directory.Evacuated[w.entry.DataCentre]
	default:
		return false
	}
}
