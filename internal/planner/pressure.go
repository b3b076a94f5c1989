package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// pressure is what is counted between two readings of the planner's load.
type pressure struct {
	// begun counts, by queue, the tasks whose starts were sent.
	begun map[identifier.Queue]int
	// accepted counts, by queue, the tasks that came.
	accepted map[identifier.Queue]int
	// answers counts the orders by how long their answers took.
	answers  [answerBuckets]int
	answered int
	// median is the last that was known, and asked how often since then.
	median time.Duration
	asked  int
}

const (
	// answerStep is the resolution of the time that answers take, and answerBuckets how
	// many steps are told apart: up to twice the time after which an order is unanswered.
	answerStep    = 10 * time.Millisecond
	answerBuckets = 80
	// leastAnswers is how many answers tell how long they take, and mostAsked how often
	// what was told last holds while there are fewer.
	leastAnswers = 32
	mostAsked    = 4
)

// started counts a start that is sent.
func (c *pressure) started(q identifier.Queue) {
	if c.begun == nil {
		c.begun = map[identifier.Queue]int{}
	}
	c.begun[q]++
}

// came counts the tasks of a job that was accepted.
func (c *pressure) came(job *submitter.Job) {
	if c.accepted == nil {
		c.accepted = map[identifier.Queue]int{}
	}
	c.accepted[job.Queue] += job.Tasks()
}

// took counts an answer, or that there was none, by how long that took.
func (c *pressure) took(d time.Duration) {
	c.answers[min(max(int(d/answerStep), 0), answerBuckets-1)]++
	c.answered++
}

// delay returns the median time of the last answers, or zero if they are too few: some workers
// and hosts may be slow, which says nothing of the holder.
func (c *pressure) delay() time.Duration {
	c.asked++
	switch {
	case c.answered >= leastAnswers:
		left := c.answered / 2
		i := 0
		for ; i < answerBuckets-1 && left >= c.answers[i]; i++ {
			left -= c.answers[i]
		}
		c.median = time.Duration(i+1) * answerStep
	case c.asked <= mostAsked:
		return c.median
	default:
		c.median = 0
	}
	c.answers, c.answered, c.asked = [answerBuckets]int{}, 0, 0
	return c.median
}

// Load returns what the planner has to do, for those who decide how much is accepted.
func (p *Planner) Load() admitter.Load {
	l := admitter.Load{
		Delay: p.pressure.delay(), Stalled: !p.fresh(),
		HolderBinds: p.claimsFull() || len(p.heldClaims) > 0,
	}
	queues := map[identifier.Queue]*queueLoad{}
	for _, j := range p.jobs {
		if j.state.Ended() || j.def.Schedule != nil || j.lasts() {
			continue
		}
		q := queues[j.def.Queue]
		if q == nil {
			q = &queueLoad{Observation: admitter.Observation{
				Queue: j.def.Queue, Service: j.queue.Service, Priority: j.queue.Priority, Scavenges: true,
				Begun: p.pressure.begun[j.def.Queue], Accepted: p.pressure.accepted[j.def.Queue],
			}}
			queues[j.def.Queue] = q
		}
		q.add(j, p.toSpare(j) < 0)
	}
	for _, q := range queues {
		l.Queues = append(l.Queues, q.mean())
	}
	return l
}

// queueLoad adds up the jobs of a queue.
type queueLoad struct {
	admitter.Observation
	jobs int
}

// add counts a job that has not ended.
func (q *queueLoad) add(j *job, late bool) {
	q.jobs++
	whole := j.objective.Sub(j.submitted)
	length, last, steps := longestChain(&j.def)
	q.Slack += whole - length
	q.Time += whole - last
	q.Steps += float64(steps)
	for _, s := range j.def.Steps {
		q.Scavenges = q.Scavenges && s.Scavenger
	}
	waits := false
	for _, groups := range j.occurrences {
		for _, g := range groups {
			// Others pass the tasks of a job that is late until they are claimed.
			if late {
				q.Owed += g.unsent
				continue
			}
			q.Owed += g.notBegun()
			waits = waits || g.ready+g.unsent > 0
		}
	}
	if waits {
		q.Waiting++
	}
}

// mean returns the observation with the means of its jobs.
func (q *queueLoad) mean() admitter.Observation {
	o := q.Observation
	o.Slack /= time.Duration(q.jobs)
	o.Time /= time.Duration(q.jobs)
	o.Steps /= float64(q.jobs)
	return o
}

// notBegun returns how many tasks of a group wait for earlier steps, for room or for their
// starts to be sent. The tasks of a group wait for earlier steps together.
func (g *group) notBegun() int {
	if len(g.tasks) > 0 && g.tasks[0].phase == taskBlocked {
		return len(g.tasks)
	}
	return g.ready + g.unsent
}

// longestChain returns the length of a job's longest chain of work, that of the last step
// of it, and how many steps it has.
func longestChain(def *submitter.Job) (length, last time.Duration, steps int) {
	ends := make([]time.Duration, len(def.Steps))
	counts := make([]int, len(def.Steps))
	for i, s := range def.Steps {
		for _, a := range s.After {
			if ends[a] >= ends[i] {
				ends[i], counts[i] = ends[a], counts[a]
			}
		}
		ends[i] += s.Estimate.Std()
		counts[i]++
		if ends[i] >= length {
			length, last, steps = ends[i], s.Estimate.Std(), counts[i]
		}
	}
	return length, last, steps
}
