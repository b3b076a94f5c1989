package planner

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// maxOpenTasks bounds the tasks of a job's occurrences that are not finished, so that the record of
// the job does not exceed what the store accepts. A single occurrence is never larger.
const maxOpenTasks = submitter.MaxTasks

// finishedRetention is how long a finished occurrence is kept after its last run has ended. Orders
// that workers carry out late may concern it within that time.
const finishedRetention = 10 * time.Second

// OccurrenceRange is a range of occurrences, without End.
type OccurrenceRange struct {
	_     struct{} `cbor:",toarray"`
	Begin int
	End   int
}

// occurrenceSet is a set of occurrences, as sorted ranges that do not touch.
type occurrenceSet []OccurrenceRange

// contains reports whether occurrence k is in the set.
func (s occurrenceSet) contains(k int) bool {
	i, found := s.find(k)
	return found || i > 0 && k < s[i-1].End
}

// find returns the index of the first range that begins at k or later, and whether it begins at k.
func (s occurrenceSet) find(k int) (int, bool) {
	return slices.BinarySearchFunc(s, k, func(r OccurrenceRange, k int) int { return r.Begin - k })
}

// add returns the set with occurrence k.
func (s occurrenceSet) add(k int) occurrenceSet {
	if s.contains(k) {
		return s
	}
	i, _ := s.find(k)
	s = slices.Insert(s, i, OccurrenceRange{Begin: k, End: k + 1})
	if i+1 < len(s) && s[i+1].Begin == k+1 {
		s[i].End = s[i+1].End
		s = slices.Delete(s, i+1, i+2)
	}
	if i > 0 && s[i-1].End == k {
		s[i-1].End = s[i].End
		s = slices.Delete(s, i, i+1)
	}
	return s
}

// len returns the number of occurrences in the set.
func (s occurrenceSet) len() (n int) {
	for _, r := range s {
		n += r.End - r.Begin
	}
	return n
}

// restoreFinished restores the finished occurrences of a job from its record. Ranges that the job
// does not have are ignored.
func (j *job) restoreFinished(ranges []OccurrenceRange) {
	for _, r := range ranges {
		for k := max(r.Begin, 0); k < min(r.End, j.occurrenceCount()); k++ {
			j.finished = j.finished.add(k)
		}
	}
}

// taskCount returns the number of tasks of one occurrence.
func (j *job) taskCount() (n int) {
	for i := range j.def.Steps {
		n += j.def.Steps[i].Count
	}
	return n
}

// openTasks returns the number of tasks in occurrences that are not finished.
func (j *job) openTasks() (n int) {
	for k := range j.occurrences {
		if !j.finished.contains(k) {
			n += j.taskCount()
		}
	}
	return n
}

// mayOpenOccurrence reports whether another occurrence fits into the record of a job.
func (j *job) mayOpenOccurrence() bool {
	open := j.openTasks()
	return open == 0 || open+j.taskCount() <= maxOpenTasks
}

// dropFinishedOccurrences forgets the tasks of occurrences that finished a while ago and have no
// runs any more.
func (p *Planner) dropFinishedOccurrences() {
	for _, j := range p.jobs {
		if j.def.Schedule == nil || j.state.Ended() {
			continue
		}
		for k, groups := range j.occurrences {
			if j.finished.contains(k) && p.now.Sub(j.finishedAt[k]) > finishedRetention && !hasRuns(groups) {
				delete(j.occurrences, k)
				delete(j.finishedAt, k)
			}
		}
	}
}

func hasRuns(groups []*taskGroup) bool {
	return slices.ContainsFunc(groups, func(g *taskGroup) bool {
		return slices.ContainsFunc(g.tasks, func(t task) bool { return len(t.runs) > 0 })
	})
}
