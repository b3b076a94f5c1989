package meter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Jobs records what a host does with jobs. Its methods are safe for concurrent
// use.
type Jobs struct {
	calls     metric.Float64Histogram
	waits     metric.Float64Histogram
	durations metric.Float64Histogram
	runs      metric.Float64Histogram
	events    metric.Float64Histogram
	outages   metric.Float64Histogram
	restarts  metric.Float64Histogram
	decisions metric.Int64Counter
}

// NewJobs registers the instruments of jobs with a meter.
func NewJobs(m *Meter) (*Jobs, error) {
	bounds := metric.WithExplicitBucketBoundaries(latencyBounds...)
	histogram := func(name, description string) (metric.Float64Histogram, error) {
		return m.meter.Float64Histogram(name, metric.WithUnit("s"), bounds, metric.WithDescription(description))
	}
	var j Jobs
	var errs [8]error
	j.calls, errs[0] = histogram("balsamcove.call.duration", "Time from a caller's request to its answer, by queue, method and outcome.")
	j.waits, errs[1] = histogram("balsamcove.job.wait", "Time from a job's submission to its first start, by queue.")
	j.durations, errs[2] = histogram("balsamcove.job.duration", "Time from a job's submission to its end, by queue and state.")
	j.runs, errs[3] = histogram("balsamcove.run.duration", "Time from a run's claim to its end, by the manner of its end.")
	j.decisions, errs[4] = m.meter.Int64Counter("balsamcove.decisions", metric.WithDescription("Decisions about runs and workers, by kind."))
	j.events, errs[5] = histogram("balsamcove.event.wait", "Time that the oldest event of a pass waited for the planner.")
	j.outages, errs[6] = histogram("balsamcove.lasting.outage", "Time from the known end of a lasting task's run to the confirmed start of the next.")
	j.restarts, errs[7] = histogram("balsamcove.lost.restart", "Time from when a worker was last heard from to the confirmed new start of a task whose run there was lost, by the takeovers between.")
	return &j, errors.Wrap(errors.Join(errs[:]...), "create instruments of jobs")
}

// RecordCall records the answer to a caller.
func (j *Jobs) RecordCall(queue identifier.Queue, method, outcome string, took time.Duration) {
	j.calls.Record(context.Background(), took.Seconds(), metric.WithAttributes(
		attribute.String("queue", string(queue)), attribute.String("method", method), attribute.String("outcome", outcome)))
}

// RecordJobStart records a job's first start.
func (j *Jobs) RecordJobStart(queue identifier.Queue, waited time.Duration) {
	j.waits.Record(context.Background(), waited.Seconds(), metric.WithAttributes(attribute.String("queue", string(queue))))
}

// RecordJobEnd records the end of a job.
func (j *Jobs) RecordJobEnd(queue identifier.Queue, state string, took time.Duration) {
	j.durations.Record(context.Background(), took.Seconds(), metric.WithAttributes(
		attribute.String("queue", string(queue)), attribute.String("state", state)))
}

// RecordRunEnd records the end of a run.
func (j *Jobs) RecordRunEnd(how string, took time.Duration) {
	j.runs.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("how", how)))
}

// CountDecision counts a decision.
func (j *Jobs) CountDecision(kind string) {
	j.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// RecordEventWait records how long the oldest event of a pass waited for the planner.
func (j *Jobs) RecordEventWait(d time.Duration) { j.events.Record(context.Background(), d.Seconds()) }

// RecordOutage records for how long a task that lasts did not run.
func (j *Jobs) RecordOutage(out time.Duration) { j.outages.Record(context.Background(), out.Seconds()) }

// maxTakeovers bounds the values of an attribute.
const maxTakeovers = 4

// RecordRestart records how long after its former worker was last heard from a task runs again,
// and how often the cell has changed hands meanwhile, up to maxTakeovers.
func (j *Jobs) RecordRestart(silent time.Duration, takeovers int) {
	j.restarts.Record(context.Background(), silent.Seconds(), metric.WithAttributes(attribute.Int("takeovers", min(takeovers, maxTakeovers))))
}
