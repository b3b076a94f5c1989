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

// loadStats counts the work of a term since the last log line with these counts. The profile counts
// from the start of the term.
type loadStats struct {
	profile profiler.Profile
	// passes is the number of passes of the planner that took events, and maxEventWait the
	// longest time, in nanoseconds, that an event waited for its pass.
	passes       atomic.Int64
	maxEventWait atomic.Int64
	// batches, records and bytes count the appends of the cell's state and what these contained,
	// and storeTime is the total time in nanoseconds that the store took for them.
	batches, records, bytes, storeTime atomic.Int64
	// lastAppend is the duration, in nanoseconds, of the last append, and appendSince the time, in
	// nanoseconds since 1970, at which the one under way began, or zero.
	lastAppend, appendSince atomic.Int64
}

// storeDelay returns how long the store takes for an append at present.
func (l *loadStats) storeDelay(now time.Time) time.Duration {
	delay := time.Duration(l.lastAppend.Load())
	if since := l.appendSince.Load(); since != 0 {
		delay = max(delay, now.Sub(time.Unix(0, since)))
	}
	return delay
}

// recordPass counts a pass of the planner whose oldest event waited for the given time.
func (l *loadStats) recordPass(waited time.Duration) {
	l.passes.Add(1)
	l.maxEventWait.Store(max(l.maxEventWait.Load(), int64(waited)))
}

// recordAppend counts an append of the cell's state.
func (l *loadStats) recordAppend(records, bytes int, took time.Duration) {
	l.batches.Add(1)
	l.records.Add(int64(records))
	l.bytes.Add(int64(bytes))
	l.storeTime.Add(int64(took))
}

// statsPeriod is the interval between two log lines with the cell's counters.
const statsPeriod = time.Second

// logStats logs the cell's counters and the holder's load every statsPeriod until ctx ends.
func (t *Term) logStats(ctx context.Context) error {
	var cpu profiler.CPUMeter
	cpu.Read()
	before, spent := t.Stats(), t.stats.profile.Spent()
	for ctx.Err() == nil {
		sleeper.Pause(ctx, statsPeriod)
		now, spentNow := t.Stats(), t.stats.profile.Spent()
		t.logger.Info("cell", append(cellFields(now), zap.Any("backlog", t.Outlook().Services))...)
		fields := append(loadFields(before, now), t.stats.fields()...)
		usage := cpu.Read()
		fields = append(fields, zap.Float64("busy", usage.Busy), zap.Float64("collecting", usage.GC))
		for phase, key := range profiler.LogKeys {
			if key != "" {
				fields = append(fields, zap.Duration(key, spentNow[phase]-spent[phase]))
			}
		}
		t.logger.Info("load", fields...)
		before, spent = now, spentNow
	}
	return nil
}

// cellFields returns the log fields for the jobs, runs and workers of a cell.
func cellFields(s planner.Stats) []zap.Field {
	return []zap.Field{
		zap.Int("jobs", s.Jobs), zap.Int("activeJobs", s.ActiveJobs), zap.Int("readyTasks", s.ReadyTasks), zap.Int("quotaTasks", s.QuotaTasks),
		zap.Int("runs", s.Runs), zap.Int("workers", s.Workers), zap.Int("usableWorkers", s.UsableWorkers),
		zap.Int64("capacity", int64(s.Capacity)), zap.Int64("reserved", int64(s.Reserved)),
		zap.Int64("serving", int64(s.Serving)), zap.Int64("scavenging", int64(s.Scavenging)),
		zap.Int64("largestRoom", int64(s.LargestRoom)), zap.Int("quietWorkers", s.QuietWorkers), zap.Int("harmfulPairs", s.HarmfulPairs),
	}
}

// loadFields returns the log fields for the planner's work between two readings of its counters.
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

// fields returns the log fields for the counters, apart from the profile, and resets them.
func (l *loadStats) fields() []zap.Field {
	return []zap.Field{
		zap.Int64("passes", l.passes.Swap(0)), zap.Duration("eventsWaitMs", time.Duration(l.maxEventWait.Swap(0))),
		zap.Int64("batches", l.batches.Swap(0)), zap.Int64("records", l.records.Swap(0)),
		zap.Int64("recordBytes", l.bytes.Swap(0)), zap.Duration("storingMs", time.Duration(l.storeTime.Swap(0))),
	}
}
