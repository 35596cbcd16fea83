package meter

import (
	"cmp"
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// LineMeter records the metrics of a VM on the users' platform.
type LineMeter struct {
	*Meter
	statements        metric.Int64Counter
	statementDuration metric.Float64Histogram
	platformCalls     metric.Int64Counter
	endedSessions     metric.Int64Counter
	replacements      metric.Int64Counter
	promoteRequests   metric.Int64Counter
	ineffective       metric.Int64Counter
	lackingPrimaries  metric.Int64Counter
	teamOperations    metric.Int64Counter
	teamWait          metric.Float64Histogram
	teamRefusals      metric.Int64Counter

	mu      sync.Mutex
	options map[statementKey]metric.MeasurementOption
}

// statementKey holds the attributes of a statement. The numbers of events and kinds are fixed, and a VM serves few
// groups.
type statementKey struct{ event, group, kind string }

// maxStatementKeys limits the attribute sets with a group that are kept. Beyond it, statements with further
// attributes are counted without their group.
const maxStatementKeys = 2000

// Gauge is a metric whose values are read at each scrape. Read calls observe with the value of each instance.
type Gauge struct {
	Name, Help string
	Read       func(observe func(n int64, instance string))
	Label      string // name of the label that tells the values apart; "instance" if empty
}

// NewLineMeter returns a LineMeter that also exports gauges.
func NewLineMeter(gauges ...Gauge) (*LineMeter, error) {
	m, err := New()
	if err != nil {
		return nil, err
	}
	l := &LineMeter{Meter: m, options: map[statementKey]metric.MeasurementOption{}}
	otelMeter := m.provider.Meter("parsleyscale")
	if l.statements, err = otelMeter.Int64Counter("parsleyscale.statements", metric.WithDescription("completed statements and attempts, by event, group and error kind")); err != nil {
		return nil, err
	}
	if l.statementDuration, err = otelMeter.Float64Histogram("parsleyscale.statement.duration", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBucketsSeconds...), metric.WithDescription("time from the arrival of a statement to its completion, by event, group and error kind")); err != nil {
		return nil, err
	}
	if l.platformCalls, err = otelMeter.Int64Counter("parsleyscale.platform.calls", metric.WithDescription("calls to the platform, by call and outcome")); err != nil {
		return nil, err
	}
	if l.endedSessions, err = otelMeter.Int64Counter("parsleyscale.sessions.ended", metric.WithDescription("ended sessions, by reason")); err != nil {
		return nil, err
	}
	for _, c := range []struct {
		counter     *metric.Int64Counter
		name, title string
	}{
		{&l.replacements, "parsleyscale.replacements", "replacements begun by this VM that ended with a new primary, and failed attempts, by reason and outcome"},
		{&l.promoteRequests, "parsleyscale.promote.requests", "promote requests that this VM sent, by kind of the token and outcome"},
		{&l.teamOperations, "parsleyscale.team.operations", "operations of teams with a limit, by team and outcome"},
		{&l.ineffective, "parsleyscale.commands.ineffective", "holds and demotions whose answer shows that they are not in effect, by command"},
		{&l.lackingPrimaries, "parsleyscale.primaries.lacking_entries", "new primaries whose log ends before the position of their predecessor at an acknowledgement that this VM passed on, by group"},
		{&l.teamRefusals, "parsleyscale.team.refusals", "operations refused for the caller's key, by reason"},
	} {
		if *c.counter, err = otelMeter.Int64Counter(c.name, metric.WithDescription(c.title)); err != nil {
			return nil, err
		}
	}
	if l.teamWait, err = otelMeter.Float64Histogram("parsleyscale.team.wait", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBucketsSeconds...), metric.WithDescription("time that an operation of a team waited for its token, by outcome")); err != nil {
		return nil, err
	}
	for _, g := range gauges {
		label := cmp.Or(g.Label, "instance")
		if _, err := otelMeter.Int64ObservableGauge(g.Name, metric.WithDescription(g.Help), metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			g.Read(func(n int64, instance string) {
				observer.Observe(n, metric.WithAttributes(attribute.String(label, instance)))
			})
			return nil
		})); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// Statement counts the end of a statement, or of an attempt on one instance, and records the time it took.
func (l *LineMeter) Statement(event, group, kind string, took time.Duration) {
	ctx := context.Background()
	k := statementKey{event, group, kind}
	l.mu.Lock()
	o, ok := l.options[k]
	if !ok {
		if len(l.options) >= maxStatementKeys {
			k.group = ""
		}
		o = metric.WithAttributeSet(attribute.NewSet(attribute.String("event", k.event), attribute.String("group", k.group), attribute.String("kind", k.kind)))
		l.options[k] = o
	}
	l.mu.Unlock()
	l.statements.Add(ctx, 1, o)
	l.statementDuration.Record(ctx, took.Seconds(), o)
}

// TeamOperation counts an operation of a team with a limit by its outcome, and records how long it waited for a token.
func (l *LineMeter) TeamOperation(team, outcome string, waited time.Duration) {
	ctx := context.Background()
	l.teamOperations.Add(ctx, 1, metric.WithAttributes(attribute.String("team", team), attribute.String("outcome", outcome)))
	l.teamWait.Record(ctx, waited.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// Call counts a call to the platform by its name and outcome.
func (l *LineMeter) Call(call, outcome string) {
	l.platformCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call), attribute.String("outcome", outcome)))
}

// Session counts the end of a session by its reason.
func (l *LineMeter) Session(reason string) {
	l.endedSessions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Replacement counts a completed replacement of a primary, or a failed attempt, by reason and outcome.
func (l *LineMeter) Replacement(reason, outcome string) {
	l.replacements.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason), attribute.String("outcome", outcome)))
}

// LackingPrimary counts a new primary of a group whose log ends before what this VM has passed on.
func (l *LineMeter) LackingPrimary(group string) {
	l.lackingPrimaries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("group", group)))
}

// PromoteRequest counts a promote request by the kind of its token and its outcome.
func (l *LineMeter) PromoteRequest(tokenKind, outcome string) {
	l.promoteRequests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("token", tokenKind), attribute.String("outcome", outcome)))
}

// CommandNotInEffect counts a command to an instance whose answer shows that it is not in effect.
func (l *LineMeter) CommandNotInEffect(command string) {
	l.ineffective.Add(context.Background(), 1, metric.WithAttributes(attribute.String("command", command)))
}

// TeamRefusal counts an operation that was refused for the caller's key.
func (l *LineMeter) TeamRefusal(reason string) {
	l.teamRefusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}
