package planner

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/catcher"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// JobRecord is what is stored of a job beyond its submission. It is stored anew with each
// change of the job, so that it holds nothing that the submission does.
type JobRecord struct {
	ID       identifier.Job        `cbor:"1,keyasint"`
	State    JobState              `cbor:"2,keyasint"`
	EndedAt  identifier.UnixMillis `cbor:"3,keyasint,omitempty"`
	Accepted identifier.UnixMillis `cbor:"4,keyasint,omitempty"`
	Tasks    []TaskRecord          `cbor:"5,keyasint,omitempty"`
	// Queue is nil if the submission says it.
	Queue *connector.QueueConfig `cbor:"6,keyasint,omitempty"`
	// Lost are the runs that were given up without a known outcome.
	Lost []LostRecord `cbor:"7,keyasint,omitempty"`
}

// LostRecord names runs of a task that were given up without a known outcome. Their ends may
// still be told.
type LostRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Attempts   []identifier.Attempt
}

// maxLost bounds the lost runs in the record of a job, so that the store takes it.
const maxLost = submitter.MaxTasks

// TaskRecord is the stored state of a task that has had a run.
type TaskRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	Attempt    identifier.Attempt
	Failures   int
	Checkpoint identifier.Checkpoint
	Runs       []RunRecord
}

// RunRecord is a run that may be going on.
type RunRecord struct {
	_       struct{} `cbor:",toarray"`
	Attempt identifier.Attempt
	Worker  identifier.Worker
}

// ErrMalformedJobRecord marks bytes that are no record of a job.
var ErrMalformedJobRecord = errors.New("malformed job record")

// Encode returns the record as it is stored.
func (r JobRecord) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encode job record")
}

// DecodeJobRecord reads what Encode wrote; the error is marked ErrRecord.
func DecodeJobRecord(data []byte) (JobRecord, error) {
	r, err := catcher.Unmarshal[JobRecord](cbor.Unmarshal, data)
	if err != nil {
		return JobRecord{}, errors.Mark(errors.Wrap(err, "decode job record"), ErrMalformedJobRecord)
	}
	return r, nil
}

// Batch is a set of changes that has to be stored as a whole, before what
// depends on it goes on.
type Batch struct {
	Number  uint64
	Records []JobRecord
	// Estimates are the learned estimates, if it is time to store them again.
	Estimates []estimator.Record
	// Retired are jobs whose records are to be deleted.
	Retired []Retired
	// Leases are the changes of the workers' leases, and Clock is the cell's clock, which is
	// to be stored with them; nil if neither changes.
	Leases []renewer.Record
	Clock  *renewer.Time
	// Healths are the changes of the workers' health, whose times are those of Clock.
	Healths []HealthRecord

	claims []*run
	ends   map[*worker]identifier.EndNumber
}

// harmsPeriod is the least time between two copies of the learned estimates.
const harmsPeriod = time.Second

const (
	// maxBatchJobs bounds the jobs of a batch, so that a round of small ones does not take
	// long to encode.
	maxBatchJobs = 200
	// recordedTask is the size of a task with a run in a record, in bytes, at most.
	recordedTask = connector.MaxRecordBytes / submitter.MaxTasks
	// maxBatchTasks bounds the tasks of a batch, so that it stays below the size of one
	// append beside the learned estimates.
	maxBatchTasks = connector.MaxAppendBytes / recordedTask / 2
)

// saveRound is a set of changed jobs that are stored in as many batches as they need,
// and what goes on with the last of them. What changes meanwhile waits for the next
// round, so that each round ends.
type saveRound struct {
	jobs   map[*job]struct{}
	claims []*run
	ends   map[*worker]identifier.EndNumber
}

// open reports whether something of the round is still to be stored, or waits for that.
func (r *saveRound) open() bool { return len(r.jobs) > 0 || len(r.claims) > 0 || len(r.ends) > 0 }

func (p *Planner) markDirty(j *job) { p.dirtyJobs[j] = struct{}{} }

// Dirty reports whether there is something to store.
func (p *Planner) Dirty() bool {
	return len(p.dirtyJobs) > 0 || p.round.open() || len(p.retired) > 0 || len(p.newEnds) > 0 || p.leasesDirty() || len(p.healths.changed) > 0
}

// leasesDirty reports whether something is to be stored of the workers' leases.
func (p *Planner) leasesDirty() bool {
	return p.leases.Dirty() || p.leases.ClockDue(p.now) && p.waitsForLeases()
}

// waitsForLeases reports whether there are runs at workers that do not answer.
func (p *Planner) waitsForLeases() bool {
	for w := range p.suspects {
		if w.hasSentRuns() {
			return true
		}
	}
	return false
}

// takeLeases adds to a batch what is to be stored of the workers' leases.
func (p *Planner) takeLeases(b *Batch) {
	if !p.leasesDirty() {
		return
	}
	records, clock := p.leases.Take(b.Number, p.now)
	b.Leases, b.Clock = records, &clock
}

// HandOver returns the last batch of a holder that sends no orders any more: when the leases
// of all workers run out.
func (p *Planner) HandOver(now time.Time) Batch {
	p.now = now
	for _, w := range p.workerList {
		p.suspendLease(w)
	}
	p.batchNumber++
	b := Batch{Number: p.batchNumber}
	p.takeLeases(&b)
	p.takeHealths(&b)
	return b
}

// TakeBatch returns what has to be stored. The caller stores it and reports
// that with BatchSaved before it takes the next one.
func (p *Planner) TakeBatch() Batch {
	p.batchNumber++
	b := Batch{Number: p.batchNumber, Retired: p.retired}
	p.retired = nil
	p.takeLeases(&b)
	p.takeHealths(&b)
	if p.now.Sub(p.estimatesSavedAt) >= harmsPeriod {
		p.estimatesSavedAt = p.now
		b.Estimates = p.estimator.Records()
	}
	if !p.round.open() {
		p.round = saveRound{p.dirtyJobs, p.newClaims, p.newEnds}
		p.dirtyJobs, p.newClaims, p.newEnds = map[*job]struct{}{}, nil, map[*worker]identifier.EndNumber{}
	}
	tasks := 0
	for j := range p.round.jobs {
		if len(b.Records) == maxBatchJobs {
			break
		}
		r := recordOf(j)
		if tasks += len(r.Tasks); len(b.Records) > 0 && tasks > maxBatchTasks {
			break
		}
		delete(p.round.jobs, j)
		j.lastBatch = p.batchNumber
		b.Records = append(b.Records, r)
	}
	if len(p.round.jobs) > 0 {
		// Claims and ends wait for the batch that completes them.
		return b
	}
	b.claims, b.ends = p.round.claims, p.round.ends
	p.round = saveRound{}
	return b
}

// batchSaved goes on with what waited for a batch.
func (p *Planner) batchSaved(b Batch) {
	p.leases.MarkStored(b.Number, b.Leases)
	for _, r := range b.Records {
		if j, ok := p.jobs[r.ID]; ok {
			j.visibleState = r.State
		}
	}
	for w, n := range b.ends {
		w.storedEnd = max(w.storedEnd, n)
		if w.lastEnd < n {
			// The worker has restarted since; its numbers began anew.
			w.storedEnd = 0
		}
		if !p.endsUnsaved(w) {
			w.unsavedEnds = false
		}
	}
	for _, r := range b.claims {
		p.startClaimed(r)
	}
}

// endsUnsaved reports whether a worker listed ends that are not stored yet.
func (p *Planner) endsUnsaved(w *worker) bool {
	_, next := p.newEnds[w]
	_, now := p.round.ends[w]
	return next || now
}

func recordOf(j *job) JobRecord {
	r := JobRecord{ID: j.def.ID, State: j.state, Accepted: identifier.UnixMillis(j.submitted.UnixMilli())}
	if !j.queueSubmitted {
		queue := j.queue
		r.Queue = &queue
	}
	if j.state.Ended() {
		r.EndedAt = identifier.UnixMillis(j.endedAt.UnixMilli())
	}
	for k, groups := range j.occurrences {
		for _, g := range groups {
			r.Tasks = appendTasks(r.Tasks, k, g)
		}
	}
	if !j.state.Ended() {
		r.Lost = lostOf(j)
	}
	return r
}

// lostOf returns the lost runs of a job whose ends would count.
func lostOf(j *job) []LostRecord {
	var out []LostRecord
	left := maxLost
	for k, groups := range j.occurrences {
		for _, g := range groups {
			if g.step.LongRunning {
				continue
			}
			for i := range g.tasks {
				t := &g.tasks[i]
				if t.phase == taskDone || len(t.lostAttempts) == 0 || len(t.lostAttempts) > left {
					continue
				}
				left -= len(t.lostAttempts)
				out = append(out, LostRecord{Occurrence: k, Step: g.index, Index: i, Attempts: slices.Sorted(maps.Keys(t.lostAttempts))})
			}
		}
	}
	return out
}

func appendTasks(out []TaskRecord, occurrence int, g *taskGroup) []TaskRecord {
	ended := g.job.state.Ended()
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.attempt == 0 || ended && len(t.runs) == 0 {
			continue
		}
		rec := TaskRecord{
			Occurrence: occurrence, Step: g.index, Index: i, Done: t.phase == taskDone,
			Attempt: t.attempt, Failures: t.failures,
		}
		if !rec.Done {
			rec.Checkpoint = t.checkpoint
		}
		for _, r := range t.runs {
			rec.Runs = append(rec.Runs, RunRecord{Attempt: r.id.Attempt, Worker: r.worker.id})
		}
		out = append(out, rec)
	}
	return out
}

// restore takes over what an earlier holder stored. Runs of its time are in
// doubt until their workers answer.
func (p *Planner) restore(records []JobRecord) {
	sort.Slice(records, func(i, k int) bool { return records[i].ID < records[k].ID })
	for _, rec := range records {
		j, ok := p.jobs[rec.ID]
		if !ok {
			p.retired = append(p.retired, Retired{ID: rec.ID})
			continue
		}
		p.restoreJob(j, rec)
	}
	p.dropStalls()
	p.leases.PruneInherited(func(id identifier.Worker) bool {
		w, ok := p.workers[id]
		return ok && len(w.runs) > 0
	})
}

func (p *Planner) restoreJob(j *job, rec JobRecord) {
	if rec.Queue != nil && j.queue.Name == "" {
		j.queue = *rec.Queue
	}
	if rec.Accepted > 0 {
		j.submitted = rec.Accepted.Time()
		j.setWaitStart(j.submitted)
	}
	if rec.State != StateQueued {
		j.started = true
	}
	for _, tr := range rec.Tasks {
		p.restoreTask(j, tr)
	}
	for _, l := range rec.Lost {
		p.restoreLost(j, l)
	}
	switch {
	case rec.State.Ended():
		// A cancellation that came afterwards changes nothing.
		j.state, j.endedAt = rec.State, rec.EndedAt.Time()
		p.closeJob(j)
	case j.state.Ended():
		// Cancelled after the record was written.
	default:
		j.state = rec.State
		p.settle(j)
	}
	j.visibleState = j.state
}

// closeJob takes a job that had ended out of scheduling.
func (p *Planner) closeJob(j *job) {
	for _, groups := range j.occurrences {
		for _, g := range groups {
			p.stopGroup(g)
		}
	}
	delete(p.waiting, j)
	delete(p.scheduled, j)
}

func (p *Planner) restoreTask(j *job, rec TaskRecord) {
	if min(rec.Step, rec.Index, rec.Occurrence) < 0 ||
		rec.Step >= len(j.def.Steps) || rec.Index >= j.def.Steps[rec.Step].Count || rec.Occurrence >= j.occurrenceCount() {
		return
	}
	if j.occurrences[rec.Occurrence] == nil {
		p.createOccurrence(j, rec.Occurrence)
	}
	g := j.occurrences[rec.Occurrence][rec.Step]
	t := &g.tasks[rec.Index]
	t.attempt, t.failures, t.checkpoint = rec.Attempt, rec.Failures, rec.Checkpoint
	if g.step.Gang {
		g.failedGangRuns += rec.Failures
	}
	if rec.Done {
		p.setPhase(t, taskDone)
		g.doneTasks++
	}
	for _, rr := range rec.Runs {
		p.restoreRun(t, rr)
	}
}

func (p *Planner) restoreLost(j *job, rec LostRecord) {
	t := p.lookupTask(identifier.JobTask{Job: j.def.ID, Occurrence: rec.Occurrence, Step: rec.Step, Index: rec.Index})
	if t == nil {
		return
	}
	for _, a := range rec.Attempts {
		t.addLostAttempt(a)
	}
}

func (p *Planner) restoreRun(t *task, rec RunRecord) {
	w := p.workerOf(rec.Worker)
	r := &run{
		id:   connector.RunID{Task: t.name(), Attempt: rec.Attempt},
		task: t, size: t.group.step.Size, phase: runUnsure, pace: restoredPace(t), startedAt: p.now, progressAt: p.now, inherited: true,
		unwanted: t.phase == taskDone || t.group.job.state.Ended(),
	}
	p.restoreStall(w, r)
	p.reserve(w, r)
	t.runs = append(t.runs, r)
	t.group.job.runCount++
	if t.phase != taskDone {
		p.setPhase(t, taskPlaced)
	}
}

// restoredPace returns the pace of a run that an earlier holder started.
func restoredPace(t *task) int {
	if t.group.step.Scavenger {
		return unknownPace
	}
	return fullPace
}

// settle makes the tasks of a restored job ready that can go on.
func (p *Planner) settle(j *job) {
	for k, groups := range j.occurrences {
		if allDone(groups) {
			p.finishOccurrence(j)
			continue
		}
		p.unblockTasks(j, k)
	}
}
