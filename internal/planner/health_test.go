package planner

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// reportEnd lets a worker list the end of a run.
func (b *testbed) reportEnd(s StartRun, how connector.RunEnd) {
	b.answerNewPoll(s.To.ID, connector.HoldAnswer{StartedAt: 1, Ended: []connector.EndedRun{{Number: b.p.workers[s.To.ID].lastEnd + 1, Run: s.Order.Run, Reason: how}}})
}

// TestHealthRecordsOfHealthyOrGoneWorkersAreDeleted guards against stored records of workers that
// have recovered or left, which nothing would delete later.
func TestHealthRecordsOfHealthyOrGoneWorkersAreDeleted(t *testing.T) {
	tests := map[string]struct {
		how connector.RunEnd
		// then changes the worker once what it reported is stored.
		then func(b *testbed)
		// stored and deleted say whether the first batch writes a record, and whether the batch
		// after then deletes it.
		stored, deleted bool
	}{
		"healthy":         {connector.EndDone, func(*testbed) {}, false, false},
		"stays unhealthy": {connector.EndFailed, func(*testbed) {}, true, false},
		"recovers": {connector.EndFailed, func(b *testbed) {
			b.save()
			b.update(failureDelay)
			b.save()
			for _, s := range b.starts() {
				b.reportEnd(s, connector.EndDone)
			}
		}, true, true},
		"leaves": {connector.EndFailed, func(b *testbed) {
			delete(b.dir.Workers, "w")
			b.update(0)
			b.update(2 * b.p.settings.Lease)
		}, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1})
			s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
			b.reportEnd(s, tt.how)
			first := b.p.TakeBatch()
			if got := len(first.Healths) == 1 && first.Healths[0].Health != nil; got != tt.stored {
				t.Fatalf("stored %+v", first.Healths)
			}
			if len(first.Healths) > 0 && first.Clock == nil {
				t.Fatal("batch has health records but no clock")
			}
			b.update(0, BatchSaved{first})
			tt.then(b)
			next := b.p.TakeBatch()
			if got := len(next.Healths) == 1 && next.Healths[0].Health == nil; got != tt.deleted {
				t.Fatalf("stored %+v", next.Healths)
			}
		})
	}
}

// TestHealthRecordsOfUnlistedWorkersAreDeletedOnTakeover guards against records that stay forever
// because their workers left between two holders.
func TestHealthRecordsOfUnlistedWorkersAreDeletedOnTakeover(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.p.Inform(b.now, HealthRestored{[]HealthRecord{{"w", &Health{Failures: 1}}, {"gone", &Health{Failures: 1}}, {"odd", nil}}})
	if b.p.Dirty() {
		t.Error("records are deleted before the directory was read")
	}
	b.update(0)
	deleted := b.save().Healths
	if len(deleted) != 2 || deleted[0].Health != nil || deleted[1].Health != nil || deleted[0].Worker == "w" || deleted[1].Worker == "w" {
		t.Errorf("stored %+v, want the records of two workers deleted", deleted)
	}
}

// TestRestoredHealthTimesAreBounded checks that no stored health record, whichever holder or clock
// it is from, keeps a worker out of use for longer than a quarantine.
func TestRestoredHealthTimesAreBounded(t *testing.T) {
	tests := map[string]struct {
		stored any
		// quarantined is for how long the worker gets no runs, and barred for how long it gets no
		// scavengers.
		quarantined, barred time.Duration
	}{
		"empty record":                   {map[int]any{}, 0, 0},
		"unknown keys":                   {map[int]any{1: 1, 90: "x", 91: []int{1}}, 0, 0},
		"one failure":                    {Health{Failures: 1, QuarantinedUntil: renewer.Time(time.Hour)}, 0, 0},
		"quarantine has ended":           {Health{Failures: 5, QuarantinedUntil: -renewer.Time(time.Hour)}, 0, 0},
		"quarantine of a second":         {Health{Failures: 5, QuarantinedUntil: renewer.Time(time.Second)}, time.Second, 0},
		"a clock far behind":             {Health{Failures: 5, QuarantinedUntil: renewer.Time(time.Hour)}, maxQuarantine, 0},
		"negative failures":              {Health{Failures: -5, QuarantinedUntil: renewer.Time(time.Hour)}, 0, 0},
		"very many failures":             {Health{Failures: 1 << 62, QuarantinedUntil: renewer.Time(time.Second)}, time.Second, 0},
		"scavengers barred for a second": {Health{ScavengersBarredUntil: renewer.Time(time.Second)}, 0, time.Second},
		"scavengers barred for an hour":  {Health{ScavengersBarredUntil: renewer.Time(time.Hour)}, 0, scavengerBarTime},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := cbor.Marshal(tt.stored)
			if err != nil {
				t.Fatal(err)
			}
			var h Health
			if err := cbor.Unmarshal(data, &h); err != nil {
				t.Fatal(err)
			}
			b := newTestbed(t, workerEntry("w"))
			b.p.Inform(b.now, HealthRestored{[]HealthRecord{{"w", &h}}})
			b.update(0)
			b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1})
			w := b.p.workers["w"]
			if got := max(w.quarantinedUntil.Sub(b.now), 0); got > tt.quarantined || got < tt.quarantined-time.Millisecond {
				t.Errorf("quarantined for %v, want %v", got, tt.quarantined)
			}
			if got := max(w.scavengersBarredUntil.Sub(b.now), 0); got > tt.barred || got < tt.barred-time.Millisecond {
				t.Errorf("scavengers barred for %v, want %v", got, tt.barred)
			}
		})
	}
}

// TestStallTimeCountsAcrossTakeovers guards against stalled runs that last longer with each
// takeover, and against stopping runs that made progress since the record was written.
func TestStallTimeCountsAcrossTakeovers(t *testing.T) {
	tests := map[string]struct {
		step submitter.Step
		// stalledFor is how long the first holder sees the run at its percentage, and thenPercent
		// is the percentage that the next holder sees a second later.
		stalledFor           time.Duration
		percent, thenPercent int
		stored, stops        bool
	}{
		"no progress for long":                {longRunningStep, startupTimeout - time.Second/2, 0, 0, true, true},
		"its stop is in flight":               {longRunningStep, startupTimeout + time.Second/2, 0, 0, true, true},
		"made progress":                       {longRunningStep, startupTimeout - time.Second, 0, 10, true, false},
		"finished starting":                   {longRunningStep, startupTimeout - time.Second, 0, fullProgress, true, false},
		"no progress for a moment":            {longRunningStep, minStallTime, 0, 0, true, false},
		"started just now":                    {longRunningStep, minStallTime / 2, 0, 0, false, false},
		"fully started":                       {longRunningStep, startupTimeout - time.Second, fullProgress, fullProgress, false, false},
		"short task":                          {submitter.Step{Count: 1, Size: smallSize}, stallTimeout - time.Millisecond, 30, 30, true, true},
		"short task that made progress":       {submitter.Step{Count: 1, Size: smallSize}, stallTimeout - time.Millisecond, 30, 31, true, false},
		"scavenger, which may be slowed down": {submitter.Step{Count: 1, Size: smallSize, Scavenger: true}, stallTimeout - time.Millisecond, 30, 30, false, false},
		"member of a gang":                    {submitter.Step{Count: 1, Size: smallSize, Gang: true}, stallTimeout - time.Millisecond, 30, 30, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1})
			s := b.startOne(tt.step)
			b.confirmStart(s)
			active := func(percent int) connector.HoldAnswer {
				return connector.HoldAnswer{StartedAt: 1, Active: []connector.ActiveRun{{Run: s.Order.Run, Percent: percent}}}
			}
			b.answerNewPoll("w", active(tt.percent))
			b.update(tt.stalledFor)
			b.answerNewPoll("w", active(tt.percent))
			healths := b.p.TakeBatch().Healths
			if got := len(healths) > 0; got != tt.stored {
				t.Fatalf("stored %+v", healths)
			}
			b.replaceHolder(HealthRestored{healths})
			b.update(time.Second)
			b.answerNewPoll("w", active(tt.thenPercent))
			if _, got := findCommand[StopRun](b.commands, func(StopRun) bool { return true }); got != tt.stops {
				t.Errorf("stopped %v, want %v", got, tt.stops)
			}
			records := b.p.TakeBatch().Healths
			if tt.stored && tt.percent != tt.thenPercent && (len(records) != 1 || records[0].Health != nil) {
				t.Errorf("stored %+v for a run that made progress", records)
			}
		})
	}
}

// TestStallsOfUnknownRunsAreDropped guards against stored stalls that nothing would delete later.
func TestStallsOfUnknownRunsAreDropped(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1})
	b.startOne(longRunningStep)
	b.replaceHolder(HealthRestored{[]HealthRecord{{"w", &Health{Stalls: []Stall{{Job: "00000000000000aa", Attempt: 7}}}}}})
	b.update(0)
	if records := b.p.TakeBatch().Healths; len(records) != 1 || records[0].Health != nil {
		t.Errorf("stored %+v", records)
	}
}

// replaceHolder replaces the planner by that of the next holder, which gets the jobs and the given
// events.
func (b *testbed) replaceHolder(events ...Event) {
	state := renewer.State{Clock: b.p.CellClock()}.BeginTerm(b.p.epoch+1, "", renewer.ClockEstimate{})
	before := b.p
	began := b.now
	b.p = New(before.epoch+1, b.now, before.settings, WithLeases(state, func(now time.Time) renewer.Reading {
		return renewer.Reading{Now: now, Earliest: now.Sub(began), Latest: now.Sub(began)}
	}, 0))
	for _, j := range before.jobs {
		events = append(events, JobSubmitted{Job: j.def, Queue: j.queue}, JobsRestored{[]JobRecord{recordOf(j)}})
	}
	b.p.Inform(b.now, events...)
}

// TestFailedTaskPrefersAnotherWorkerAfterTakeover guards against a task that spends its last
// attempt on the worker on which it failed before, because the next holder does not know of the
// failure.
func TestFailedTaskPrefersAnotherWorkerAfterTakeover(t *testing.T) {
	for name, takeover := range map[string]bool{"no takeover": false, "a takeover": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"), workerEntry("x"))
			b.update(0)
			b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1})
			b.answerNewPoll("x", connector.HoldAnswer{StartedAt: 1})
			s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
			b.reportEnd(s, connector.EndFailed)
			if takeover {
				b.replaceHolder(HealthRestored{b.p.TakeBatch().Healths})
				b.update(0)
				for _, id := range []identifier.Worker{"w", "x"} {
					b.p.Inform(b.now, PollAnswered{
						Worker: id, Order: connector.HoldOrder{Epoch: b.p.epochOf(b.p.workers[id])}, SentAt: b.now,
						Answer: connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}, StartedAt: 1},
					})
				}
			}
			b.update(failureDelay)
			b.save()
			if starts := b.starts(); len(starts) != 1 || starts[0].To.ID == s.To.ID {
				t.Errorf("starts %+v, want one on another worker than %s", starts, s.To.ID)
			}
		})
	}
}
