// Package meter holds the metrics of a VM, made with OpenTelemetry and scraped over HTTP.
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

// buckets are the upper bounds of the duration histogram in seconds.
var buckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Meter holds the instruments of one VM.
type Meter struct {
	provider *sdk.MeterProvider
	handler  http.Handler

	units     metric.Int64Counter
	failures  metric.Int64Counter
	seconds   metric.Float64Histogram
	callers   metric.Int64UpDownCounter
	running   metric.Int64UpDownCounter
	primaries metric.Int64Counter

	served sync.Map // of unitKey to unitOptions
}

// unitKey holds the attributes of an answered unit.
type unitKey struct{ database, role, reason string }

// unitOptions holds the attribute sets of a unitKey as the instruments take them.
type unitOptions struct {
	units   []metric.AddOption
	seconds []metric.RecordOption
}

// options returns the attribute sets of a unit. They are built once, because
// building them takes longer than counting the unit.
func (m *Meter) options(k unitKey) unitOptions {
	if o, ok := m.served.Load(k); ok {
		return o.(unitOptions)
	}
	o := unitOptions{
		units:   []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(attribute.String("database", k.database), attribute.String("role", k.role), attribute.String("reason", k.reason)))},
		seconds: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(attribute.String("role", k.role)))},
	}
	m.served.Store(k, o)
	return o
}

// New returns a meter with a registry of its own, so that several VMs can live in one process.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exp, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	m := &Meter{
		provider: sdk.NewMeterProvider(sdk.WithReader(exp)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	return m, m.instruments()
}

func (m *Meter) instruments() error {
	var err error
	mt := m.provider.Meter("parsleyscale")
	if m.units, err = mt.Int64Counter("parsleyscale.units", metric.WithDescription("units of work answered, by database, role of the instance and reason of the route")); err != nil {
		return err
	}
	if m.failures, err = mt.Int64Counter("parsleyscale.failures", metric.WithDescription("units of work that ended with an error of the proxy, by kind")); err != nil {
		return err
	}
	if m.seconds, err = mt.Float64Histogram("parsleyscale.unit.duration", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(buckets...), metric.WithDescription("time from a unit's first message to its last answer")); err != nil {
		return err
	}
	if m.callers, err = mt.Int64UpDownCounter("parsleyscale.callers", metric.WithDescription("open caller connections")); err != nil {
		return err
	}
	if m.running, err = mt.Int64UpDownCounter("parsleyscale.units.running", metric.WithDescription("units of work in progress")); err != nil {
		return err
	}
	m.primaries, err = mt.Int64Counter("parsleyscale.primary.changes", metric.WithDescription("changes of primary made by this VM, by database and cause"))
	return err
}

// Handler serves the scrape endpoint.
func (m *Meter) Handler() http.Handler { return m.handler }

// Unit counts an answered unit of work.
func (m *Meter) Unit(database, role, reason string, d time.Duration) {
	ctx := context.Background()
	o := m.options(unitKey{database, role, reason})
	m.units.Add(ctx, 1, o.units...)
	m.seconds.Record(ctx, d.Seconds(), o.seconds...)
}

// Failure counts a unit of work that ended with an error of the proxy.
func (m *Meter) Failure(database, kind string) {
	m.failures.Add(context.Background(), 1, metric.WithAttributes(attribute.String("database", database), attribute.String("kind", kind)))
}

// Callers changes the number of open caller connections.
func (m *Meter) Callers(delta int64) { m.callers.Add(context.Background(), delta) }

// Running changes the number of units in progress.
func (m *Meter) Running(delta int64) { m.running.Add(context.Background(), delta) }

// PrimaryChange counts a failover or a planned switch.
func (m *Meter) PrimaryChange(database, cause string) {
	m.primaries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("database", database), attribute.String("cause", cause)))
}

// Close stops the meter.
func (m *Meter) Close() error { return m.provider.Shutdown(context.Background()) }
