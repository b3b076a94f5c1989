package dispatcher

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestTitlesAreReadAsStored checks the stored owners of workers, also those that other programs wrote.
func TestTitlesAreReadAsStored(t *testing.T) {
	title := planner.Title{Base: 7, To: 2, Granted: true}
	stored, err := appendTitleRecords(nil, []planner.TitleRecord{{Worker: "w", Title: &title}})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		record connector.KeyedRecord
		want   *planner.Title
		none   bool
	}{
		"as stored":       {stored[0], &title, false},
		"deleted":         {connector.KeyedRecord{Key: "ow"}, nil, true},
		"of another kind": {connector.KeyedRecord{Key: "ww", Value: []byte{1}}, nil, true},
		"not a map":       {connector.KeyedRecord{Key: "ow", Value: []byte{1}}, nil, false},
		"cut off":         {connector.KeyedRecord{Key: "ow", Value: stored[0].Value[:2]}, nil, false},
		"no base":         {connector.KeyedRecord{Key: "ow", Value: []byte{0xa0}}, nil, false},
		"negative base":   {connector.KeyedRecord{Key: "ow", Value: []byte{0xa1, 0x01, 0x20}}, nil, false},
		"huge base":       {connector.KeyedRecord{Key: "ow", Value: []byte{0xa1, 0x01, 0x1b, 0xff, 0, 0, 0, 0, 0, 0, 0}}, nil, false},
		"unknown field":   {connector.KeyedRecord{Key: "ow", Value: []byte{0xa2, 0x01, 0x07, 0x18, 0x63, 0x01}}, &planner.Title{Base: 7}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := (&Term{logger: zap.NewNop()}).decodeTitles([]connector.KeyedRecord{tt.record})
			switch {
			case tt.none && len(got) == 0:
			case tt.none || len(got) != 1 || got[0].Worker != "w":
				t.Fatalf("decoded %+v", got)
			case (got[0].Title == nil) != (tt.want == nil) || tt.want != nil && *got[0].Title != *tt.want:
				t.Errorf("title %+v, want %+v", got[0].Title, tt.want)
			}
		})
	}
}

// TestGrantsReachThePlanner checks the grants in an inbox, also those that other programs wrote.
func TestGrantsReachThePlanner(t *testing.T) {
	r, err := intake.EncodeGrant(intake.Grant{Worker: "w", From: 1, Base: 7})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		value []byte
		want  int
	}{
		"as stored":  {r.Value, 1},
		"deleted":    {nil, 0},
		"cut off":    {r.Value[:3], 0},
		"no worker":  {[]byte{0xa1, 0x03, 0x07}, 0},
		"no base":    {[]byte{0xa1, 0x01, 0x61, 'w'}, 0},
		"not a map":  {[]byte{0x07}, 0},
		"wrong type": {[]byte{0xa1, 0x01, 0x07}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			events := (&Term{logger: zap.NewNop()}).inboxEvents([]connector.KeyedRecord{{Key: r.Key, Value: tt.value}})
			if len(events) != tt.want {
				t.Fatalf("events %+v, want %d", events, tt.want)
			}
			for _, e := range events {
				if want := (planner.WorkerGranted{Worker: "w", From: 1, Base: 7, Key: r.Key}); e != want {
					t.Errorf("event %+v, want %+v", e, want)
				}
			}
		})
	}
}

// lendingTerms are the terms of two cells over one store and fleet.
type lendingTerms struct {
	c *testCell
	// terms are also read by the terms that ask others for room.
	terms [2]atomic.Pointer[Term]
	ends  [2]func()
	names int
}

// takeOver begins a new term of a cell, without telling the one before, which goes on for a while.
func (l *lendingTerms) takeOver(cell identifier.Cell) {
	l.names++
	s := testSettings(fmt.Sprint("host", l.names))
	s.Planner.Cell, s.Planner.Cells = cell, 2
	runner, disconnect := l.c.fleet.Client()
	term := NewTerm(cell, s, l.c.store.Client(s.Member), runner, zap.NewNop(), WithUptime(l.c.uptime),
		WithRoomRequests(func(_ context.Context, to identifier.Cell, need planner.RoomNeed) error {
			if t := l.terms[to].Load(); t != nil {
				t.Notify(planner.RoomRequested{From: cell, Need: need})
			}
			return nil
		}))
	ctx, cancel := context.WithCancel(l.c.ctx)
	if end := l.ends[cell]; end != nil {
		time.AfterFunc(time.Second, end)
	}
	l.terms[cell].Store(term)
	l.ends[cell] = func() { disconnect(); cancel() }
	go func() { _ = term.Run(ctx, l.c.currentDirectory()) }()
	go func() {
		for ctx.Err() == nil {
			term.Notify(planner.DirectoryChanged{Directory: l.c.currentDirectory()})
			sleeper.Pause(ctx, 200*time.Millisecond)
		}
	}()
}

// TestTermsLendWorkers lets a job need more workers than its cell has, while both cells change hands at
// some time. All of its tasks have to run at once.
func TestTermsLendWorkers(t *testing.T) {
	for _, after := range []time.Duration{0, 800, 1100, 1200, 1300, 1500, 2000} {
		t.Run(fmt.Sprint("takeovers after ", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 1)
				c.store = simulator.NewStore(2, 1)
				c.fleet = simulator.NewFleet(1, func(connector.RunID) (time.Duration, bool) { return time.Hour, false }, c.taskSize)
				c.addWorkers(testWorkers)
				l := &lendingTerms{c: c}
				l.takeOver(0)
				l.takeOver(1)
				time.Sleep(2 * time.Second)
				job := submitter.Job{ID: jobID(1), Queue: testQueue, Steps: []submitter.Step{{
					Count: testWorkers, Size: identifier.Size{Processors: 8000, Memory: 16000}, LongRunning: true,
				}}}
				c.jobs[job.ID] = job
				record, err := intake.EncodeSubmission(intake.Submission{Job: job, Queue: testConfig})
				if err != nil {
					t.Fatal(err)
				}
				if err := l.terms[0].Load().appendInbox(c.ctx, 0, []connector.KeyedRecord{record}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(after * time.Millisecond)
				l.takeOver(0)
				l.takeOver(1)
				time.Sleep(20 * time.Second)
				if s := l.terms[0].Load().Stats(); s.ReadyTasks > 0 || s.Runs != testWorkers || s.BorrowedWorkers == 0 {
					t.Errorf("%d tasks wait, %d run, %d workers borrowed", s.ReadyTasks, s.Runs, s.BorrowedWorkers)
				}
				for _, b := range c.fleet.Breaches() {
					t.Error(b)
				}
				c.stop()
				time.Sleep(time.Minute)
				synctest.Wait()
			})
		})
	}
}
