package meter

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Lines holds the instruments of a VM on the line protocol.
type Lines struct {
	*Meter
	statements metric.Int64Counter
	duration   metric.Float64Histogram
	calls      metric.Int64Counter
	sessions   metric.Int64Counter

	mu      sync.Mutex
	options map[lineKey]metric.MeasurementOption
}

// lineKey holds the attributes of a statement. Their values come from fixed
// lists, except for groups, of which a VM sees few.
type lineKey struct{ event, group, kind string }

// maxLineKeys bounds the attribute sets that are kept.
const maxLineKeys = 2000

// Gauge is a value that is read when the metrics are.
type Gauge struct {
	Name, Help string
	Read       func(observe func(n int64, instance string))
}

// NewLines returns the instruments and reads gauges at each scrape.
func NewLines(gauges ...Gauge) (*Lines, error) {
	m, err := New()
	if err != nil {
		return nil, err
	}
	l := &Lines{Meter: m, options: map[lineKey]metric.MeasurementOption{}}
	mt := m.provider.Meter("parsleyscale")
	if l.statements, err = mt.Int64Counter("parsleyscale.statements", metric.WithDescription("ends of statements and of attempts, by event, group and error kind")); err != nil {
		return nil, err
	}
	if l.duration, err = mt.Float64Histogram("parsleyscale.statement.duration", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(buckets...), metric.WithDescription("time from a statement's arrival to its end, by event, group and error kind")); err != nil {
		return nil, err
	}
	if l.calls, err = mt.Int64Counter("parsleyscale.platform.calls", metric.WithDescription("calls to the platform, by call and outcome")); err != nil {
		return nil, err
	}
	if l.sessions, err = mt.Int64Counter("parsleyscale.sessions.ended", metric.WithDescription("sessions that ended, by reason")); err != nil {
		return nil, err
	}
	for _, g := range gauges {
		if _, err := mt.Int64ObservableGauge(g.Name, metric.WithDescription(g.Help), metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			g.Read(func(n int64, instance string) {
				o.Observe(n, metric.WithAttributes(attribute.String("instance", instance)))
			})
			return nil
		})); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// Statement counts the end of a statement or of an attempt.
func (l *Lines) Statement(event, group, kind string, took time.Duration) {
	ctx := context.Background()
	k := lineKey{event, group, kind}
	l.mu.Lock()
	o, ok := l.options[k]
	if !ok {
		if len(l.options) >= maxLineKeys {
			k.group = ""
		}
		o = metric.WithAttributeSet(attribute.NewSet(attribute.String("event", k.event), attribute.String("group", k.group), attribute.String("kind", k.kind)))
		l.options[k] = o
	}
	l.mu.Unlock()
	l.statements.Add(ctx, 1, o)
	l.duration.Record(ctx, took.Seconds(), o)
}

// Call counts a call to the platform.
func (l *Lines) Call(call, outcome string) {
	l.calls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call), attribute.String("outcome", outcome)))
}

// Session counts the end of a session.
func (l *Lines) Session(reason string) {
	l.sessions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}
