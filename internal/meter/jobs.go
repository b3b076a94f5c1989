package meter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Jobs records metrics about jobs, tasks and their runs. Its methods are safe for concurrent use.
// All histograms are in seconds.
type Jobs struct {
	calls     metric.Float64Histogram
	jobWaits  metric.Float64Histogram
	jobs      metric.Float64Histogram
	runs      metric.Float64Histogram
	events    metric.Float64Histogram
	outages   metric.Float64Histogram
	restarts  metric.Float64Histogram
	decisions metric.Int64Counter
}

// NewJobs creates the job metrics on a meter.
func NewJobs(m *Meter) (*Jobs, error) {
	buckets := metric.WithExplicitBucketBoundaries(latencyBuckets...)
	histogram := func(name, description string) (metric.Float64Histogram, error) {
		return m.meter.Float64Histogram(name, metric.WithUnit("s"), buckets, metric.WithDescription(description))
	}
	var j Jobs
	var errs [8]error
	j.calls, errs[0] = histogram("balsamcove.call.duration", "Time from a caller's request to its answer, by queue, method and outcome.")
	j.jobWaits, errs[1] = histogram("balsamcove.job.wait", "Time from a job's submission to its first start, by queue.")
	j.jobs, errs[2] = histogram("balsamcove.job.duration", "Time from a job's submission to its end, by queue and state.")
	j.runs, errs[3] = histogram("balsamcove.run.duration", "Time from a run's claim to its end, by the manner of its end.")
	j.decisions, errs[4] = m.meter.Int64Counter("balsamcove.decisions", metric.WithDescription("Decisions about runs and workers, by kind."))
	j.events, errs[5] = histogram("balsamcove.event.wait", "Time that the oldest event of a pass waited for the planner.")
	j.outages, errs[6] = histogram("balsamcove.lasting.outage", "Time from the known end of a lasting task's run to the confirmed start of the next.")
	j.restarts, errs[7] = histogram("balsamcove.lost.restart", "Time from when a worker was last heard from to the confirmed new start of a task whose run there was lost, by the takeovers between.")
	return &j, errors.Wrap(errors.Join(errs[:]...), "create job metrics")
}

// RecordCall records the duration of a caller's request, from its arrival to the answer.
func (j *Jobs) RecordCall(queue identifier.Queue, method, outcome string, took time.Duration) {
	j.calls.Record(context.Background(), took.Seconds(), metric.WithAttributes(
		attribute.String("queue", string(queue)), attribute.String("method", method), attribute.String("outcome", outcome)))
}

// RecordJobStart records how long a job waited from its submission to the first start of a task.
func (j *Jobs) RecordJobStart(queue identifier.Queue, waited time.Duration) {
	j.jobWaits.Record(context.Background(), waited.Seconds(), metric.WithAttributes(attribute.String("queue", string(queue))))
}

// RecordJobEnd records the duration of a job, from its submission to its end.
func (j *Jobs) RecordJobEnd(queue identifier.Queue, state string, took time.Duration) {
	j.jobs.Record(context.Background(), took.Seconds(), metric.WithAttributes(
		attribute.String("queue", string(queue)), attribute.String("state", state)))
}

// RecordRunEnd records the duration of a run, from its claim to its end, and how it ended.
func (j *Jobs) RecordRunEnd(how string, took time.Duration) {
	j.runs.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("how", how)))
}

// CountDecision counts a planner decision about a run or worker, such as an eviction.
func (j *Jobs) CountDecision(kind string) {
	j.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// RecordEventWait records how long the oldest event of a planner pass was queued.
func (j *Jobs) RecordEventWait(d time.Duration) { j.events.Record(context.Background(), d.Seconds()) }

// RecordOutage records how long a long-running task was not running, from the known end of one run
// to the confirmed start of the next.
func (j *Jobs) RecordOutage(d time.Duration) { j.outages.Record(context.Background(), d.Seconds()) }

// maxTakeovers caps the takeovers attribute, to bound the number of time series.
const maxTakeovers = 4

// RecordRestart records the time from the last message of a lost worker to the confirmed restart of
// a task that ran there, with the number of times that another host took the cell over meanwhile.
func (j *Jobs) RecordRestart(sinceLastHeard time.Duration, takeovers int) {
	j.restarts.Record(context.Background(), sinceLastHeard.Seconds(), metric.WithAttributes(attribute.Int("takeovers", min(takeovers, maxTakeovers))))
}
