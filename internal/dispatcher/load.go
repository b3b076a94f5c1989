package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/profiler"
	"github.com/balsamcove/balsamcove/internal/sleeper"
)

// load is what a term's work costs.
type load struct {
	profile profiler.Profile
	// passes of the planner, and the longest that an event has waited for one since the
	// last report.
	passes     atomic.Int64
	eventsWait atomic.Int64
	// batches of state that were stored, with their records and bytes, and how long the
	// store took for them.
	batches, records, bytes, storing atomic.Int64
}

// passed notes a pass whose oldest event has waited for some time.
func (l *load) passed(waited time.Duration) {
	l.passes.Add(1)
	l.eventsWait.Store(max(l.eventsWait.Load(), int64(waited)))
}

// stored notes an append of the cell's state.
func (l *load) stored(records, bytes int, took time.Duration) {
	l.batches.Add(1)
	l.records.Add(int64(records))
	l.bytes.Add(int64(bytes))
	l.storing.Add(int64(took))
}

// statsPeriod is the time between two lines with the cell's counts.
const statsPeriod = time.Second

// reportStats logs the cell's counts, and what they cost the holder, from time to time.
func (t *Term) reportStats(ctx context.Context) error {
	var processor profiler.CPUMeter
	processor.Read()
	before, spent := t.Stats(), t.load.profile.Spent()
	for ctx.Err() == nil {
		sleeper.Pause(ctx, statsPeriod)
		now, spentNow := t.Stats(), t.load.profile.Spent()
		t.logger.Info("cell", cellFields(now)...)
		fields := append(loadFields(before, now), t.load.fields()...)
		usage := processor.Read()
		fields = append(fields, zap.Float64("busy", usage.Busy), zap.Float64("collecting", usage.GC))
		for part, name := range profiler.LogKeys {
			if name != "" {
				fields = append(fields, zap.Duration(name, spentNow[part]-spent[part]))
			}
		}
		t.logger.Info("load", fields...)
		before, spent = now, spentNow
	}
	return nil
}

// cellFields are what a cell holds.
func cellFields(s planner.Stats) []zap.Field {
	return []zap.Field{
		zap.Int("jobs", s.Jobs), zap.Int("activeJobs", s.ActiveJobs), zap.Int("readyTasks", s.ReadyTasks),
		zap.Int("runs", s.Runs), zap.Int("workers", s.Workers), zap.Int("usableWorkers", s.UsableWorkers),
		zap.Int64("capacity", int64(s.Capacity)), zap.Int64("reserved", int64(s.Reserved)),
		zap.Int64("serving", int64(s.Serving)), zap.Int64("scavenging", int64(s.Scavenging)),
		zap.Int64("largestRoom", int64(s.LargestRoom)), zap.Int("quietWorkers", s.QuietWorkers), zap.Int("harmfulPairs", s.HarmfulPairs),
	}
}

// loadFields are what the planner did between two readings of its counts.
func loadFields(before, now planner.Stats) []zap.Field {
	return []zap.Field{
		zap.Int("starts", now.Starts-before.Starts), zap.Int("startsLate", now.StartsLate-before.StartsLate),
		zap.Int("ordersUnderWay", now.OrdersUnderWay), zap.Int("ordersLimit", now.OrdersLimit),
		zap.Int("unsentClaims", now.UnsentClaims), zap.Int("heldClaims", now.HeldClaims), zap.Int("heldStops", now.HeldStops),
		zap.Int("overdueRuns", now.OverdueRuns), zap.Int("silentWorkers", now.SilentWorkers),
		zap.Duration("oldestReadyMs", now.OldestReady),
		zap.Int("looks", now.Polls-before.Polls), zap.Int("listedRuns", now.ListedRuns-before.ListedRuns),
	}
}

// fields are what was noted since the last call.
func (l *load) fields() []zap.Field {
	return []zap.Field{
		zap.Int64("passes", l.passes.Swap(0)), zap.Duration("eventsWaitMs", time.Duration(l.eventsWait.Swap(0))),
		zap.Int64("batches", l.batches.Swap(0)), zap.Int64("records", l.records.Swap(0)),
		zap.Int64("recordBytes", l.bytes.Swap(0)), zap.Duration("storingMs", time.Duration(l.storing.Swap(0))),
	}
}
