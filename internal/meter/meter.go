// Package meter records the metrics of a host with OpenTelemetry and exposes them in the Prometheus
// format.
package meter

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Meter holds the metrics of an entry host and registers further ones. Its methods are safe for
// concurrent use.
type Meter struct {
	registry        *prometheus.Registry
	meter           metric.Meter
	requestDuration metric.Float64Histogram
	sends           metric.Int64Counter
	taskWait        metric.Float64Histogram
}

// latencyBuckets are the bucket boundaries of the latency histograms, in seconds.
var latencyBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.1, 5, 10, 30, 60}

// New returns a meter with the metrics of an entry host registered.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	m := &Meter{registry: registry}
	m.meter = sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("balsamcove")
	buckets := metric.WithExplicitBucketBoundaries(latencyBuckets...)
	var errs [3]error
	m.requestDuration, errs[0] = m.meter.Float64Histogram("balsamcove.request.duration", metric.WithUnit("s"), buckets,
		metric.WithDescription("Time from a request's arrival to its answer or refusal."))
	m.sends, errs[1] = m.meter.Int64Counter("balsamcove.request.sends",
		metric.WithDescription("Exchanges with minions, retries included."))
	m.taskWait, errs[2] = m.meter.Float64Histogram("balsamcove.task.wait", metric.WithUnit("s"), buckets,
		metric.WithDescription("Time from a task's submission to its start."))
	return m, errors.Wrap(errors.Join(errs[:]...), "create metrics")
}

// RegisterGauge registers a gauge whose value is obtained by calling read at every scrape.
func (m *Meter) RegisterGauge(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrapf(err, "create gauge %s", name)
}

// RegisterCounter registers a counter whose value is obtained by calling read at every scrape.
func (m *Meter) RegisterCounter(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrapf(err, "create counter %s", name)
}

// RegisterTeamGauge registers a gauge with a value for each team, which are obtained by calling read
// at every scrape.
func (m *Meter) RegisterTeamGauge(name, description string, read func() map[identifier.Team]int64) error {
	return m.RegisterGauges(name, description, func() []Value {
		var out []Value
		for team, v := range read() {
			out = append(out, Value{Labels: map[string]string{"team": string(team)}, Value: v})
		}
		return out
	})
}

// Value is the value of one metric of several with the same name.
type Value struct {
	Labels map[string]string
	Value  int64
}

// observe returns a callback that passes on labelled values.
func observe(read func() []Value) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		for _, v := range read() {
			attrs := make([]attribute.KeyValue, 0, len(v.Labels))
			for name, label := range v.Labels {
				attrs = append(attrs, attribute.String(name, label))
			}
			o.Observe(v.Value, metric.WithAttributes(attrs...))
		}
		return nil
	}
}

// RegisterCounters registers counters that differ by their labels, and whose values are obtained by
// calling read at every scrape.
func (m *Meter) RegisterCounters(name, description string, read func() []Value) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(description), metric.WithInt64Callback(observe(read)))
	return errors.Wrapf(err, "create counters %s", name)
}

// RegisterGauges is RegisterCounters for gauges.
func (m *Meter) RegisterGauges(name, description string, read func() []Value) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithInt64Callback(observe(read)))
	return errors.Wrapf(err, "create gauges %s", name)
}

// RecordRequest records a finished request: its duration, how often it was sent to a minion, and
// "ok" or the refusal code as its code.
func (m *Meter) RecordRequest(service *parser.Service, code string, sends int, took time.Duration) {
	attrs := metric.WithAttributes(
		attribute.String("service", string(service.Name)),
		attribute.String("class", string(service.Class)),
		attribute.String("team", string(service.Team)),
		attribute.String("code", code),
	)
	m.requestDuration.Record(context.Background(), took.Seconds(), attrs)
	m.sends.Add(context.Background(), int64(sends), attrs)
}

// RecordTaskStart records how long a task waited from its submission to its start.
func (m *Meter) RecordTaskStart(pool identifier.Pool, team identifier.Team, priority parser.Priority, wait time.Duration) {
	m.taskWait.Record(context.Background(), wait.Seconds(), metric.WithAttributes(
		attribute.String("pool", string(pool)),
		attribute.String("team", string(team)),
		attribute.String("priority", string(priority)),
	))
}

// Handler returns the HTTP handler of the metrics endpoint.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
