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

// JobRecord is the stored state of a job beyond its submission. It is written again with each
// change of the job, so that it repeats nothing from the submission.
type JobRecord struct {
	ID       identifier.Job        `cbor:"1,keyasint"`
	State    JobState              `cbor:"2,keyasint"`
	EndedAt  identifier.UnixMillis `cbor:"3,keyasint,omitempty"`
	Accepted identifier.UnixMillis `cbor:"4,keyasint,omitempty"`
	Tasks    []TaskRecord          `cbor:"5,keyasint,omitempty"`
	// Queue is nil if the submission contains the configuration of the queue.
	Queue *connector.QueueConfig `cbor:"6,keyasint,omitempty"`
	// Lost are the runs that were given up without a known outcome.
	Lost []LostRecord `cbor:"7,keyasint,omitempty"`
	// Evictions count how often tasks were stopped because they made too little progress.
	Evictions []EvictionRecord `cbor:"8,keyasint,omitempty"`
	// Finished are the occurrences whose tasks are all done. Tasks holds only those of their tasks
	// that may still have an active run.
	Finished []OccurrenceRange `cbor:"9,keyasint,omitempty"`
	// FailedRuns are the failed runs of gangs. They are missing in records of releases that counted
	// the failed members.
	FailedRuns []FailedRunsRecord `cbor:"10,keyasint,omitempty"`
	// Begun is set once a worker has begun a task of the job. It is missing in records of releases for which a job
	// was StateRunning since its first start was sent.
	Begun bool `cbor:"11,keyasint,omitempty"`
	// NotBegun are the serving and long-running tasks of Tasks that no worker has begun.
	NotBegun []TaskPosition `cbor:"12,keyasint,omitempty"`
	// Submission is the hash of the key of the submission that defines the job. It is missing in records of
	// releases that did not store it.
	Submission uint64 `cbor:"13,keyasint,omitempty"`
}

// TaskPosition names a task of a job.
type TaskPosition struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
}

// FailedRunsRecord names the runs of a gang of which a member has failed.
type FailedRunsRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Attempts   []identifier.Attempt
}

// EvictionRecord is how often a task was stopped because it made too little progress.
type EvictionRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Count      int
}

// LostRecord names the runs of a task that were given up without a known outcome. Their workers may
// still report how they ended.
type LostRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Attempts   []identifier.Attempt
}

// maxLost bounds the lost runs in the record of a job, so that the record does not exceed what the
// store accepts.
const maxLost = submitter.MaxTasks

// maxEvicted bounds the evicted tasks in the record of a job.
const maxEvicted = submitter.MaxTasks

// TaskRecord is the stored state of a task that has had at least one run.
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

// RunRecord names a run that may still be active.
type RunRecord struct {
	_       struct{} `cbor:",toarray"`
	Attempt identifier.Attempt
	Worker  identifier.Worker
}

// ErrMalformedJobRecord marks errors for bytes that do not decode to a JobRecord.
var ErrMalformedJobRecord = errors.New("malformed job record")

// maxEncodedBytes bounds an encoded record, so that it fits into a record of the store with its key.
const maxEncodedBytes = connector.MaxRecordBytes - 1<<10

const (
	// maxTaskBytes bounds what a task takes in an encoded record without its runs and its checkpoint, maxRunBytes what a
	// run takes beside the ID of its worker, and maxJobBytes the rest of the record.
	maxTaskBytes = 24
	maxRunBytes  = 8
	maxJobBytes  = 4 << 10
)

// hasRecordRoom reports whether the job's record has room for further runs on a worker. Their number is bounded
// only where the IDs of workers are long; the other tasks wait until runs have ended.
func (j *job) hasRecordRoom(id identifier.Worker, runs int) bool {
	return maxJobBytes+maxTaskBytes*j.openTasks()+j.runBytes+runs*runBytes(id) <= maxEncodedBytes
}

func runBytes(id identifier.Worker) int { return maxRunBytes + len(id) }

// addRun adds a run to its task.
func (p *Planner) addRun(r *run) {
	j := r.task.group.job
	r.task.runs = append(r.task.runs, r)
	j.runCount++
	j.runBytes += runBytes(r.worker.id)
}

// Encode returns the CBOR encoding of the record. If that is larger than the store accepts, it leaves
// out what only saves work after a takeover: the checkpoints, and then the lost runs, the evictions and which tasks
// have not begun.
func (r JobRecord) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err == nil && len(data) > maxEncodedBytes {
		r.Tasks = slices.Clone(r.Tasks)
		for i := range r.Tasks {
			r.Tasks[i].Checkpoint = ""
		}
		data, err = cbor.Marshal(r)
	}
	if err == nil && len(data) > maxEncodedBytes {
		r.Lost, r.Evictions, r.NotBegun = nil, nil, nil
		data, err = cbor.Marshal(r)
	}
	return data, errors.Wrap(err, "encode job record")
}

// DecodeJobRecord decodes what Encode returned. Errors are marked ErrMalformedJobRecord.
func DecodeJobRecord(data []byte) (JobRecord, error) {
	r, err := catcher.Unmarshal[JobRecord](cbor.Unmarshal, data)
	if err != nil {
		return JobRecord{}, errors.Mark(errors.Wrap(err, "decode job record"), ErrMalformedJobRecord)
	}
	return r, nil
}

// Batch is a set of changes that has to be stored atomically before the planner sends the starts
// and acknowledgements that depend on it.
type Batch struct {
	Number  uint64
	Records []JobRecord
	// Estimates are the learned estimates; nil until they are due to be stored again.
	Estimates []estimator.Record
	// Retired are jobs whose records are to be deleted. Their submissions are deleted already.
	Retired []identifier.Job
	// Leases are the changed leases of workers, and Clock is the cell's clock to be stored with
	// them; nil if neither has changed.
	Leases []renewer.Record
	Clock  *renewer.Time
	// Healths are the changed health records of workers. Their times refer to Clock.
	Healths []HealthRecord

	// Titles are the changed owners of workers that were lent.
	Titles []TitleRecord

	// claims are the runs to start once the batch is stored, and ends the last of the ended runs that
	// each worker may then forget.
	claims []*run
	ends   map[*worker]endMark
}

// endMark is the highest number of the ended runs that an incarnation of a worker has listed.
type endMark struct {
	incarnation identifier.UnixMillis
	number      identifier.EndNumber
}

// estimatesSaveInterval is the least time between two writes of the learned estimates.
const estimatesSaveInterval = time.Second

const (
	// maxBatchJobs bounds the jobs of a batch, so that a round of many small jobs is not encoded in
	// one long step.
	maxBatchJobs = 200
	// maxTaskRecordBytes is the most that a task with a run takes in a record.
	maxTaskRecordBytes = connector.MaxRecordBytes / submitter.MaxTasks
	// maxBatchTasks bounds the tasks of a batch, so that it fits into one append together with the
	// learned estimates.
	maxBatchTasks = connector.MaxAppendBytes / maxTaskRecordBytes / 2
)

// saveRound is a set of changed jobs, which may take several batches to store, together with the
// claims and ends that take effect with the last of these. Later changes wait for the next round,
// so that each round terminates.
type saveRound struct {
	jobs   map[*job]struct{}
	claims []*run
	ends   map[*worker]endMark
}

// pending reports whether the round still has something to store, or claims and ends that wait for
// it.
func (r *saveRound) pending() bool { return len(r.jobs) > 0 || len(r.claims) > 0 || len(r.ends) > 0 }

// markDirty marks a job to be stored with the next round.
func (p *Planner) markDirty(j *job) { p.dirtyJobs[j] = struct{}{} }

// Dirty reports whether there is something to store.
func (p *Planner) Dirty() bool {
	return len(p.dirtyJobs) > 0 || p.round.pending() || len(p.retirements.records) > 0 || len(p.newEnds) > 0 || p.leasesDirty() || len(p.healthRecords.changed) > 0 || len(p.titles.dirty) > 0
}

// leasesDirty reports whether changed leases have to be stored, or the cell's clock. The clock
// matters only while a silent worker's lease has to expire before its tasks can run elsewhere.
func (p *Planner) leasesDirty() bool {
	return p.leases.Dirty() || p.leases.ClockDue() && p.awaitsLeaseExpiry()
}

// awaitsLeaseExpiry reports whether a worker that does not answer may have runs.
func (p *Planner) awaitsLeaseExpiry() bool {
	for w := range p.suspects {
		if w.hasSentRuns() {
			return true
		}
	}
	return false
}

// collectLeases adds the changed leases to a batch, and the cell's clock.
func (p *Planner) collectLeases(b *Batch) {
	if !p.leasesDirty() {
		return
	}
	records, clock := p.leases.Take(b.Number)
	b.Leases, b.Clock = records, &clock
}

// HandOver returns the last batch of a holder that will send no more orders. It stores when the
// lease of each worker runs out, so that the next holder need not wait longer.
func (p *Planner) HandOver(now time.Time) Batch {
	p.setTime(now)
	for _, w := range p.workerList {
		p.suspendLease(w)
	}
	p.batchNumber++
	b := Batch{Number: p.batchNumber, Titles: p.takeTitles()}
	p.collectLeases(&b)
	p.collectHealthRecords(&b)
	return b
}

// TakeBatch returns what has to be stored next. The caller stores it and reports that by a
// BatchSaved event before it takes another batch.
func (p *Planner) TakeBatch() Batch {
	p.batchNumber++
	b := Batch{Number: p.batchNumber, Retired: p.retirements.takeRecords(), Titles: p.takeTitles()}
	p.collectLeases(&b)
	p.collectHealthRecords(&b)
	if p.now.Sub(p.estimatesSavedAt) >= estimatesSaveInterval {
		p.estimatesSavedAt = p.now
		b.Estimates = p.estimator.Records()
	}
	if !p.round.pending() {
		p.round = saveRound{p.dirtyJobs, p.newClaims, p.newEnds}
		p.dirtyJobs, p.newClaims, p.newEnds = map[*job]struct{}{}, nil, map[*worker]endMark{}
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
		// Claims and ends take effect only with the batch that completes the round.
		return b
	}
	b.claims, b.ends = p.round.claims, p.round.ends
	p.round = saveRound{}
	return b
}

// batchSaved continues with what waited for a batch: job states become visible, ends may be
// acknowledged, and claimed runs are started.
func (p *Planner) batchSaved(b Batch) {
	p.leases.MarkStored(b.Number, b.Leases)
	p.titlesStored(b.Titles)
	for _, r := range b.Records {
		if j, ok := p.jobs[r.ID]; ok {
			j.visibleState = r.State
			p.submissionStored(j)
		}
	}
	for w, last := range b.ends {
		// A worker that has restarted since then numbers its ends from one again.
		if w.incarnation == last.incarnation {
			w.storedEnd = max(w.storedEnd, last.number)
		}
		if !p.endsUnsaved(w) {
			w.unsavedEnds = false
		}
	}
	for _, r := range b.claims {
		p.startClaimed(r)
	}
}

// endsUnsaved reports whether a worker has listed ends that are not stored yet.
func (p *Planner) endsUnsaved(w *worker) bool {
	_, next := p.newEnds[w]
	_, now := p.round.ends[w]
	return next || now
}

// recordOf returns the record of a job as it has to be stored.
func recordOf(j *job) JobRecord {
	r := JobRecord{ID: j.def.ID, State: j.state, Accepted: identifier.UnixMillis(j.submitted.UnixMilli()), Begun: j.started, Submission: j.keyHash}
	if !j.queueSubmitted {
		queue := j.queue
		r.Queue = &queue
	}
	if j.state.Ended() {
		r.EndedAt = identifier.UnixMillis(j.endedAt.UnixMilli())
	}
	for g := range j.groups() {
		r.Tasks = appendTasks(r.Tasks, g)
	}
	if !j.state.Ended() {
		r.Lost = lostRunsOf(j)
		r.Evictions = evictionsOf(j)
		r.FailedRuns = failedRunsOf(j)
		r.NotBegun = notBegunOf(j)
	}
	if j.def.Schedule != nil {
		r.Finished = slices.Clone(j.finished)
	}
	return r
}

// failedRunsOf returns the failed runs of a job's gangs that are not done.
func failedRunsOf(j *job) []FailedRunsRecord {
	var out []FailedRunsRecord
	for g := range j.groups() {
		if len(g.failedRuns) > 0 && g.doneTasks < len(g.tasks) {
			out = append(out, FailedRunsRecord{Occurrence: g.occurrence, Step: g.index, Attempts: slices.Sorted(maps.Keys(g.failedRuns))})
		}
	}
	return out
}

// recordsBegun reports whether it is stored which tasks of the group have begun: those that serve or are long-running
// are placed with preference once they have run before.
func (g *taskGroup) recordsBegun() bool { return g.step.LongRunning || g.step.Serves() }

// notBegunOf returns the serving and long-running tasks of a job that have had runs, none of which began.
func notBegunOf(j *job) []TaskPosition {
	var out []TaskPosition
	for g := range j.groups() {
		if !g.recordsBegun() {
			continue
		}
		for i := range g.tasks {
			if t := &g.tasks[i]; t.attempt > 0 && !t.begun && t.phase != taskDone {
				out = append(out, TaskPosition{Occurrence: g.occurrence, Step: g.index, Index: i})
			}
		}
	}
	return out
}

// evictionsOf returns the evictions of a job's tasks that are not done, of at most maxEvicted tasks.
func evictionsOf(j *job) []EvictionRecord {
	var out []EvictionRecord
	for g := range j.groups() {
		for i := range g.tasks {
			if t := &g.tasks[i]; t.evictions > 0 && t.phase != taskDone && len(out) < maxEvicted {
				out = append(out, EvictionRecord{Occurrence: g.occurrence, Step: g.index, Index: i, Count: t.evictions})
			}
		}
	}
	return out
}

// lostRunsOf returns the lost runs of a job whose outcome would still count, at most maxLost.
func lostRunsOf(j *job) []LostRecord {
	var out []LostRecord
	remaining := maxLost
	for g := range j.groups() {
		if g.step.LongRunning {
			continue
		}
		for i := range g.tasks {
			t := &g.tasks[i]
			if t.phase == taskDone || len(t.lostAttempts) == 0 || len(t.lostAttempts) > remaining {
				continue
			}
			remaining -= len(t.lostAttempts)
			out = append(out, LostRecord{Occurrence: g.occurrence, Step: g.index, Index: i, Attempts: slices.Sorted(maps.Keys(t.lostAttempts))})
		}
	}
	return out
}

// appendTasks appends the records of a group's tasks. Tasks that never ran are left out, and so are
// those of an ended job or a finished occurrence that have no run left.
func appendTasks(out []TaskRecord, g *taskGroup) []TaskRecord {
	ended := g.job.state.Ended() || g.job.def.Schedule != nil && g.job.finished.contains(g.occurrence)
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.attempt == 0 || ended && len(t.runs) == 0 {
			continue
		}
		rec := TaskRecord{
			Occurrence: g.occurrence, Step: g.index, Index: i, Done: t.phase == taskDone,
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

// restore applies the job records of earlier holders. Their runs are in runUnsure until the workers
// answer.
func (p *Planner) restore(records []JobRecord) {
	sort.Slice(records, func(i, k int) bool { return records[i].ID < records[k].ID })
	for _, rec := range records {
		j, ok := p.jobs[rec.ID]
		if !ok {
			// An earlier holder has deleted the submission.
			p.deleteJob(Retired{ID: rec.ID})
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

// restoreJob applies the record of a job to the job created from its submission.
func (p *Planner) restoreJob(j *job, rec JobRecord) {
	if rec.Defines(j.key) {
		p.submissionStored(j)
	}
	if rec.Queue != nil && j.queue.Name == "" {
		j.queue, j.address = *rec.Queue, rec.Queue.Address
	}
	if rec.Accepted > 0 {
		j.submitted = rec.Accepted.Time()
		j.setWaitStart(j.submitted)
	}
	j.started = rec.showsBegun()
	j.restoreFinished(rec.Finished)
	for _, tr := range rec.Tasks {
		p.restoreTask(j, tr)
	}
	p.restoreHistory(j, rec)
	switch {
	case rec.State.Ended():
		// A cancellation that was read later does not change how the job ended.
		j.state, j.endedAt = rec.State, rec.EndedAt.Time()
		p.closeJob(j)
	case j.state.Ended():
		// The job was cancelled after the record was written.
	default:
		j.state = StateQueued
		if j.started {
			j.state = StateRunning
		}
		p.resumeJob(j)
	}
	j.visibleState = j.state
}

// restoreHistory applies what the record of a job says of earlier runs of its tasks.
func (p *Planner) restoreHistory(j *job, rec JobRecord) {
	lookUp := func(occurrence, step, index int) *task {
		return p.lookupTask(identifier.JobTask{Job: j.def.ID, Occurrence: occurrence, Step: step, Index: index})
	}
	for _, l := range rec.Lost {
		if t := lookUp(l.Occurrence, l.Step, l.Index); t != nil {
			for _, a := range l.Attempts {
				t.addLostAttempt(a)
			}
		}
	}
	for _, n := range rec.NotBegun {
		if t := lookUp(n.Occurrence, n.Step, n.Index); t != nil {
			t.begun = false
		}
	}
	for _, f := range rec.FailedRuns {
		if t := lookUp(f.Occurrence, f.Step, 0); t != nil {
			for _, a := range f.Attempts {
				t.group.addFailedRun(a)
			}
		}
	}
	for _, e := range rec.Evictions {
		if t := lookUp(e.Occurrence, e.Step, e.Index); t != nil {
			t.evictions = max(e.Count, 0)
		}
	}
}

// showsBegun reports whether a worker has begun a task of the job, as far as the record tells.
func (r JobRecord) showsBegun() bool {
	return r.Begun || r.State.Ended() || len(r.Finished) > 0 || len(r.FailedRuns) > 0 || len(r.Evictions) > 0 ||
		slices.ContainsFunc(r.Tasks, func(t TaskRecord) bool { return t.Done || t.Failures > 0 || t.Checkpoint != "" })
}

// closeJob removes a restored job that has ended from scheduling, and stops its runs.
func (p *Planner) closeJob(j *job) {
	for g := range j.groups() {
		p.stopGroup(g)
	}
	delete(p.waiting, j)
	delete(p.scheduled, j)
}

// restoreTask applies the record of a task. Records that name no task of the job are ignored.
func (p *Planner) restoreTask(j *job, rec TaskRecord) {
	if min(rec.Step, rec.Index, rec.Occurrence) < 0 ||
		rec.Step >= len(j.def.Steps) || rec.Index >= j.def.Steps[rec.Step].Count || rec.Occurrence >= j.occurrenceCount() {
		return
	}
	if j.occurrences[rec.Occurrence] == nil {
		p.createOccurrence(j, rec.Occurrence)
		if j.finished.contains(rec.Occurrence) {
			p.markOccurrenceDone(j, rec.Occurrence)
		}
	}
	g := j.occurrences[rec.Occurrence][rec.Step]
	t := &g.tasks[rec.Index]
	t.attempt, t.failures, t.checkpoint = rec.Attempt, rec.Failures, rec.Checkpoint
	// NotBegun names the exceptions, which earlier releases did not store.
	t.begun = true
	if rec.Done && t.phase != taskDone {
		p.setPhase(t, taskDone)
		g.doneTasks++
	}
	for _, rr := range rec.Runs {
		p.restoreRun(t, rr)
	}
}

// markOccurrenceDone marks the tasks of a restored occurrence as done.
func (p *Planner) markOccurrenceDone(j *job, occurrence int) {
	for _, g := range j.occurrences[occurrence] {
		for i := range g.tasks {
			p.setPhase(&g.tasks[i], taskDone)
		}
		g.doneTasks = len(g.tasks)
	}
}

// restoreRun adds a run of an earlier holder, in runUnsure until its worker answers.
func (p *Planner) restoreRun(t *task, rec RunRecord) {
	w := p.ensureWorker(rec.Worker)
	r := &run{
		id:   connector.RunID{Task: t.name(), Attempt: rec.Attempt},
		task: t, size: t.group.step.Size, phase: runUnsure, pace: restoredPace(t), startedAt: p.now, progressAt: p.now, inherited: true,
		unwanted: t.phase == taskDone || t.group.job.state.Ended(),
	}
	p.restoreStall(w, r)
	p.reserve(w, r)
	p.addRun(r)
	if t.phase != taskDone {
		p.setPhase(t, taskPlaced)
	}
}

// restoredPace returns the pace to assume of a run that an earlier holder started.
func restoredPace(t *task) int {
	if t.group.step.Scavenger {
		return unknownPace
	}
	return fullPace
}

// resumeJob finishes the completed occurrences of a restored job and makes tasks ready in the
// others.
func (p *Planner) resumeJob(j *job) {
	for k, groups := range j.occurrences {
		switch {
		case j.finished.contains(k):
		case allDone(groups):
			p.finishOccurrence(j, k)
		default:
			p.unblockTasks(j, k)
		}
	}
	if j.finished.len() == j.occurrenceCount() {
		p.endJob(j, StateCompleted)
	}
}
