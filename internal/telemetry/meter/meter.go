// Package meter records the metrics of a VM with OpenTelemetry and serves them over HTTP to Prometheus.
package meter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// durationBucketsSeconds holds the upper bounds of the buckets of the duration histograms.
var durationBucketsSeconds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Meter records the metrics of one VM.
type Meter struct {
	provider *sdk.MeterProvider
	handler  http.Handler

	units          metric.Int64Counter
	failures       metric.Int64Counter
	unitDuration   metric.Float64Histogram
	clients        metric.Int64UpDownCounter
	runningUnits   metric.Int64UpDownCounter
	primaryChanges metric.Int64Counter

	unitOptionsByKey sync.Map // unitKey to unitOptions
}

// unitKey holds the attributes of a completed unit of work.
type unitKey struct{ database, role, reason string }

// unitOptions holds the attributes of a unitKey in the form that the instruments accept.
type unitOptions struct {
	units        []metric.AddOption
	unitDuration []metric.RecordOption
}

// unitOptionsFor returns the attributes of a unit. They are built once for each key, because building them takes longer
// than counting the unit.
func (m *Meter) unitOptionsFor(k unitKey) unitOptions {
	if o, ok := m.unitOptionsByKey.Load(k); ok {
		return o.(unitOptions)
	}
	o := unitOptions{
		units:        []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(attribute.String("database", k.database), attribute.String("role", k.role), attribute.String("reason", k.reason)))},
		unitDuration: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(attribute.String("role", k.role)))},
	}
	m.unitOptionsByKey.Store(k, o)
	return o
}

// New returns a meter with its own registry, so that several VMs can run in one process.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	promExporter, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	m := &Meter{
		provider: sdk.NewMeterProvider(sdk.WithReader(promExporter)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	return m, m.createInstruments()
}

// createInstruments creates the instruments of the meter.
func (m *Meter) createInstruments() error {
	var err error
	otelMeter := m.provider.Meter("parsleyscale")
	if m.units, err = otelMeter.Int64Counter("parsleyscale.units", metric.WithDescription("completed units of work, by database, role of the instance and reason code of the route")); err != nil {
		return err
	}
	if m.failures, err = otelMeter.Int64Counter("parsleyscale.failures", metric.WithDescription("units of work that failed with an error of the proxy, by database and error kind")); err != nil {
		return err
	}
	if m.unitDuration, err = otelMeter.Float64Histogram("parsleyscale.unit.duration", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBucketsSeconds...), metric.WithDescription("time from the first message of a unit of work to the end of its response, by role of the instance")); err != nil {
		return err
	}
	if m.clients, err = otelMeter.Int64UpDownCounter("parsleyscale.callers", metric.WithDescription("open client connections")); err != nil {
		return err
	}
	if m.runningUnits, err = otelMeter.Int64UpDownCounter("parsleyscale.units.running", metric.WithDescription("units of work in progress")); err != nil {
		return err
	}
	m.primaryChanges, err = otelMeter.Int64Counter("parsleyscale.primary.changes", metric.WithDescription("changes of primary that this VM made, by database and cause"))
	return err
}

// Handler returns the handler of the metrics endpoint.
func (m *Meter) Handler() http.Handler { return m.handler }

// Unit counts a completed unit of work and records its duration.
func (m *Meter) Unit(database, role, reason string, d time.Duration) {
	ctx := context.Background()
	o := m.unitOptionsFor(unitKey{database, role, reason})
	m.units.Add(ctx, 1, o.units...)
	m.unitDuration.Record(ctx, d.Seconds(), o.unitDuration...)
}

// Failure counts a unit of work that failed with an error of the proxy.
func (m *Meter) Failure(database, kind string) {
	m.failures.Add(context.Background(), 1, metric.WithAttributes(attribute.String("database", database), attribute.String("kind", kind)))
}

// AddClients adds delta to the number of open client connections.
func (m *Meter) AddClients(delta int64) { m.clients.Add(context.Background(), delta) }

// AddRunningUnits adds delta to the number of units of work in progress.
func (m *Meter) AddRunningUnits(delta int64) { m.runningUnits.Add(context.Background(), delta) }

// PrimaryChange counts a failover or a planned switchover.
func (m *Meter) PrimaryChange(database, cause string) {
	m.primaryChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("database", database), attribute.String("cause", cause)))
}

// Close releases the resources of the meter.
func (m *Meter) Close() error { return m.provider.Shutdown(context.Background()) }
