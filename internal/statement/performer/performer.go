// Package performer executes client statements on the instances of a database group.
//
// Three rules govern it:
//
//   - A read of the current state runs inside a transaction that only a primary
//     opens, so that a replaced primary cannot serve it. Where a replaced primary
//     may still open one, the read is served only if its lead is verified, too.
//   - A read that accepts bounded staleness, or that must see the session's own
//     writes, states the log position that the instance must have applied. An
//     instance that lacks it refuses the read, which is then sent to another one.
//   - A statement is retried only if the first execution certainly had no lasting
//     effect: reads, statements that an instance refused, and statements of a
//     transaction whose commit was not sent.
package performer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"golang.org/x/sync/singleflight"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/group/verifier"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/request/ranker"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// Timeouts and retry delays.
const (
	// DefaultTimeout applies to statements whose route sets no timeout.
	DefaultTimeout = time.Second
	// initialRetryDelay is the mean delay before the next round over the instances. It
	// doubles, up to maxRetryDelay, with each round in which an instance shed load.
	initialRetryDelay = 15 * time.Millisecond
	maxRetryDelay     = 120 * time.Millisecond
	// leavingPrimaryGrace is how long a primary that is shutting down still gets requests.
	leavingPrimaryGrace = 5 * time.Second
	// lateReplyTimeout bounds the wait for the late replies to a request, which meanwhile may have been retried elsewhere.
	lateReplyTimeout = 2 * time.Second
	// minReplyTimeout is the lower bound of the reply timeout of a read or a begin, and the timeout of a probe.
	minReplyTimeout = 250 * time.Millisecond
	// replyTimeoutFactor is the reply timeout of a read or a begin as a multiple of the instance's average latency.
	replyTimeoutFactor = 5
	// rollbackTimeout bounds a rollback, whose reply no client waits for.
	rollbackTimeout = time.Second
	// noPrimaryRetryAfter is the retry hint to clients while there is no primary. A
	// replacement of the primary usually takes this long.
	noPrimaryRetryAfter = 500 * time.Millisecond
	// writeReplyGrace is how long after the statement's deadline the reply to a write or a
	// commit is still awaited.
	writeReplyGrace = 200 * time.Millisecond
)

// Texts of refusals.
const (
	textNoPrimary      = "no primary is available"
	textNoFloor        = "staleness of the replicas is unknown: no primary could be asked for its log position"
	textReadNotServed  = "no instance served the read in time"
	textPrimaryReadNot = "primary did not serve the read in time"
	textWriteNot       = "primary did not accept the write in time"
)

// Config holds the dependencies of a Performer and the location of its VM.
type Config struct {
	DataCentre  string
	Region      string
	RegionOf    func(dataCentre string) string
	Groups      *registrar.Registrar
	Pool        *allotter.Allotter
	RetryBudget *admitter.RetryBudget
	// Unfenced is set where a replaced primary goes on answering, so that the lead of a primary has to be verified.
	Unfenced *Unfenced
	// Acknowledge reports whether the acknowledgement of a commit may be passed on, and records it if so. The position is that of the primary
	// at the acknowledgement. Nil stands for Acknowledge of the group.
	Acknowledge func(g *registrar.Group, p tokenizer.Position) bool
	Observe     func(Event) // may be nil
}

// Unfenced holds what the verification of a primary's lead needs.
type Unfenced struct {
	Status       func(ctx context.Context, t carrier.Target) (carrier.InstanceStatus, error) // asks an instance for its state
	SyncReplicas func(group string) int                                                      // that must have received a commit before it is acknowledged
}

// Event describes the outcome of a statement, or of one attempt to run it, for logs and metrics.
type Event struct {
	Name          string
	ID            string
	Group         string
	Instance      string
	Kind          classifier.Kind
	Floor         tokenizer.Position // lowest log position that the instance must have applied
	ReplyPosition tokenizer.Position // log position of the instance in its latest reply to the read
	Took          time.Duration      // since the statement arrived
	Attempt       int

	Primary    string // instance believed to be the primary
	Candidates int    // instances left to try; set only for reads that replicas may serve
	Waiting    int    // requests that wait for a connection to the best candidate
}

// Event names.
const (
	EventServed  = "statementServed"
	EventRefused = "statementRefused"
	EventRetried = "statementRepeated"
	EventUnknown = "outcomeUnknown"
)

// Performer executes statements on the instances of the database groups.
type Performer struct {
	cfg            Config
	verifier       *verifier.Verifier // nil if a begin proves the primary
	primarySamples singleflight.Group // by group name
}

// New returns a Performer with the given configuration.
func New(cfg Config) *Performer {
	if cfg.Observe == nil {
		cfg.Observe = func(Event) {}
	}
	if cfg.Acknowledge == nil {
		cfg.Acknowledge = (*registrar.Group).Acknowledge
	}
	p := &Performer{cfg: cfg}
	if u := cfg.Unfenced; u != nil {
		p.verifier = verifier.New(verifier.Config{Begin: p.probeAhead, Status: u.Status, SyncReplicas: u.SyncReplicas})
	}
	return p
}

// Forget drops what is known about an instance that has left its group.
func (p *Performer) Forget(instance string) {
	p.cfg.Pool.Forget(instance)
	if p.verifier != nil {
		p.verifier.Forget(instance)
	}
}

// Request is a statement together with its route and the state of its session.
type Request struct {
	Route         cataloger.Route
	Team          string // that the statement runs for; empty if the caller has none
	Statement     carrier.Statement
	Prepared      *carrier.Statement // the prepared statement that Statement executes; nil for other statements
	SessionValues map[string]string
	Floor         tokenizer.Position // log position of the session's latest commit
	ArrivedAt     time.Time
	ArrivedClock  time.Duration // arrival time on the clock that keeps counting while the VM is suspended
}

// IsWrite reports whether the statement may write.
func (r Request) IsWrite() bool {
	if r.Statement.Verb == carrier.Execute {
		return r.Prepared != nil && r.Prepared.PreparedVerb == carrier.Write
	}
	return r.Statement.Verb == carrier.Write
}

// Timeout returns the time for the statement.
func (r Request) Timeout() time.Duration {
	if r.Route.StatementTimeout > 0 {
		return r.Route.StatementTimeout
	}
	return DefaultTimeout
}

// MaxDuration returns how long a statement may take until it is answered.
func MaxDuration(r Request) time.Duration { return r.Timeout() + writeReplyGrace }

// execution is the state of one request across its attempts. An attempt sends the
// request to one instance; a round tries each candidate instance at most once.
type execution struct {
	performer       *Performer
	request         Request
	group           *registrar.Group
	floor           tokenizer.Position // lowest log position that the instance must have applied
	tried           []string           // instances tried in this round
	attempts        int
	lastUnavailable time.Time          // when there was last no primary, or no connection to an instance could be opened
	shedRounds      int                // rounds in which an instance shed load
	hasShed         bool               // an instance shed load in this round
	candidateCount  int                // candidates when they were last ranked
	waiting         int                // requests waiting for a connection to the first of these candidates
	lastReply       carrier.Reply      // reply to the latest failed attempt at a read
	replyPosition   tokenizer.Position // log position in the latest reply to a read
	acquireErr      error              // why no connection could be acquired in time; nil otherwise
	acquireDeadline time.Time          // until when the request may wait for a connection; zero without an objective
}

func (p *Performer) newExecution(r Request) *execution {
	return &execution{performer: p, request: r, group: p.cfg.Groups.Group(r.Route.Group)}
}

// refuse ends a request that was not served in time. A failure that an instance
// reported, or the reason why no connection was available, takes precedence over kind k.
func (e *execution) refuse(k classifier.Kind, text string) carrier.Reply {
	r := e.refusal(k, text)
	e.report(EventRefused, "", r.Kind)
	return r
}

// refusal returns the reply of refuse and reports nothing.
func (e *execution) refusal(k classifier.Kind, text string) carrier.Reply {
	r := carrier.ErrorReply(k, text).WithRetryAfter(noPrimaryRetryAfter)
	switch {
	case e.lastReply.Kind == classifier.StatementFailed || e.lastReply.Kind == classifier.StatementTimeout:
		r = carrier.ErrorReply(e.lastReply.Kind, e.lastReply.Detail)
	case e.acquireErr != nil:
		r = carrier.ErrorReplyFor(e.acquireErr)
	case k == classifier.Overloaded:
		r.RetryAfter = maxRetryDelay
	}
	return r
}

func (e *execution) report(event, instance string, k classifier.Kind) {
	e.performer.cfg.Observe(Event{
		Name: event, ID: e.request.Statement.ID, Group: e.request.Route.Group, Instance: instance, Kind: k,
		Floor: e.floor, ReplyPosition: e.replyPosition, Took: time.Since(e.request.ArrivedAt), Attempt: e.attempts,
		Primary: e.group.Primary().Instance, Candidates: e.candidateCount, Waiting: e.waiting,
	})
}

// backOff waits before the next round, at most until the group changes. The delay grows with
// each round in which an instance shed load, since retries would only add to its load. It
// returns false if ctx ends first, or if an instance shed load and acquireDeadline has passed.
func (e *execution) backOff(ctx context.Context) bool {
	d := initialRetryDelay
	if e.hasShed {
		if !e.acquireDeadline.IsZero() && time.Now().After(e.acquireDeadline) {
			return false
		}
		d = min(initialRetryDelay<<min(e.shedRounds, 3), maxRetryDelay)
		e.shedRounds++
		e.hasShed = false
	}
	return e.waitForChange(ctx, e.group.Changed(), d/2+rand.N(d))
}

// waitForChange waits until the group changes or d has passed. It returns false if ctx ends first.
func (e *execution) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-t.C:
		return true
	}
}

// awaitPrimary waits for a primary that accepts requests. It returns false if ctx ends first.
func (e *execution) awaitPrimary(ctx context.Context) (registrar.View, bool) {
	for {
		changed := e.group.Changed()
		if v, ok := e.primary(); ok {
			return v, true
		}
		e.lastUnavailable = time.Now()
		if !e.waitForChange(ctx, changed, time.Second) {
			return registrar.View{}, false
		}
	}
}

// primary returns the primary, or false if none is known that accepts requests.
func (e *execution) primary() (registrar.View, bool) {
	v, ok := e.group.View(e.group.Primary().Instance)
	return v, ok && acceptsRequests(v)
}

// acceptsRequests reports whether a primary may still get requests, although it may be shutting down.
func acceptsRequests(v registrar.View) bool {
	return !v.IsLeaving || time.Since(v.LeavingAt) < leavingPrimaryGrace
}

// setFloor determines the log position that a replica must have applied to serve the
// request. It returns false if no primary could be asked for its position in time.
func (e *execution) setFloor(ctx context.Context) bool {
	for {
		if f, ok := e.knownFloor(); ok {
			e.floor = f
			return true
		}
		changed := e.group.Changed()
		if _, ok := e.awaitPrimary(ctx); !ok {
			return false
		}
		err := e.performer.shareSample(ctx, e.group, e.request.Route.MaxStaleness/sharedSampleAgeDivisor)
		if err == nil {
			continue
		}
		if allotter.IsUnreachable(err) {
			e.acquireErr = err
			return false
		}
		if !e.waitForChange(ctx, changed, initialRetryDelay) {
			return false
		}
	}
}

// knownFloor returns the log position that a replica must have applied to serve the request, or false if the primary has to be
// asked for its position first.
func (e *execution) knownFloor() (tokenizer.Position, bool) {
	f, ok := e.group.Samples.Floor(e.request.ArrivedClock - e.request.Route.MaxStaleness)
	if ok && e.request.Route.ReadKind == cataloger.Session {
		f = f.Max(e.request.Floor)
	}
	return f, ok
}

// SamplePrimaryPosition asks the primary for its log position in a transaction that only a primary
// opens and that occupies none of its execution slots. Concurrent calls for a group share one request.
func (p *Performer) SamplePrimaryPosition(ctx context.Context, g *registrar.Group) error {
	done := p.primarySamples.DoChan(g.Name(), func() (any, error) { return nil, p.samplePrimary(g) })
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Performer) samplePrimary(g *registrar.Group) error {
	v, ok := g.View(g.Primary().Instance)
	if !ok {
		return classifier.New(classifier.NoPrimary, "group %s: no primary is known", g.Name())
	}
	lead := p.startLeadCheck(g, v.ID)
	sentAt := g.Now()
	ctx, cancel := context.WithTimeout(context.Background(), minReplyTimeout)
	defer cancel()
	reply, err := p.exchangeBegin(ctx, g, v, 0)
	if err != nil {
		return err
	}
	if !reply.OK() {
		return classifier.New(reply.Kind, "%s: %s", v.ID, reply.Detail)
	}
	return lead.wait(ctx, sentAt, reply.Position)
}

// sharedSampleAgeDivisor sets the maximum age of a position that a gateway is asked for, as a fraction of the staleness that a
// read accepts. A fresher position than necessary makes replicas refuse the read; an older one could not serve the next reads.
const sharedSampleAgeDivisor = 2

// minSharedSampleAge is the least maximum age, and the unit, in which a gateway is asked for a position. It has none that was
// held at the time of the request.
const minSharedSampleAge = time.Millisecond

// shareSample obtains a position of the primary from one of its gateways, which answers from the statements of all VMs that it
// forwards. A VM on its own has too few statements in a large deployment: it would take most positions at the time of the
// read, and replicas would refuse them. Without a gateway, the primary is asked.
func (p *Performer) shareSample(ctx context.Context, g *registrar.Group, maxAge time.Duration) error {
	if maxAge < minSharedSampleAge {
		return p.SamplePrimaryPosition(ctx, g)
	}
	done := p.primarySamples.DoChan(g.Name()+" "+maxAge.String(), func() (any, error) {
		if isShared, err := p.sampleFromGateway(g, maxAge); isShared || err != nil {
			return nil, err
		}
		return nil, p.samplePrimary(g)
	})
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sampleFromGateway asks a gateway of the primary for a position that the primary held. It returns false if the primary is not
// reached through a gateway, or if that knows of no position.
func (p *Performer) sampleFromGateway(g *registrar.Group, maxAge time.Duration) (bool, error) {
	v, ok := g.View(g.Primary().Instance)
	if !ok {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), minReplyTimeout)
	defer cancel()
	lease, err := p.cfg.Pool.Acquire(ctx, registrar.NewTarget(v.Instance).WithAnyTeam(), 0)
	if err != nil {
		return false, err
	}
	if !carrier.IsLink(lease.Conn()) {
		lease.Release()
		return false, nil
	}
	command := carrier.Internal(carrier.Sample)
	command.Args = strconv.FormatInt(maxAge.Milliseconds(), 10)
	lease.Conn().SetDeadline(time.Now().Add(minReplyTimeout))
	sentAt := g.Now()
	replies, err := lease.Exchange(carrier.Command{Statement: command})
	if err != nil {
		p.discardFailed(g, lease)
		return false, err
	}
	releaseOrDiscard(lease, replies[0])
	if !replies[0].OK() || len(replies[0].Rows) != 1 || replies[0].Position.IsZero() {
		return false, nil
	}
	ms, err := strconv.ParseInt(replies[0].Rows[0], 10, 32)
	if err != nil || ms > maxAge.Milliseconds()+1 {
		return false, nil // too old to serve the read, which would ask again at once
	}
	// The gateway computed the age after the request was sent, so that the position was held at this time or later.
	g.RecordSample(sentAt-time.Duration(ms)*time.Millisecond, replies[0].Position)
	return true, nil
}

// Probe asks an instance whether it acts as the primary and records the answer. It returns
// an error if the instance does not or could not be asked.
func (p *Performer) Probe(g *registrar.Group, v registrar.View) error {
	return p.probe(context.Background(), g, v, 0)
}

// probeAhead is Probe ahead of all waiting statements. A begin that is rolled back takes no slot of the instance.
func (p *Performer) probeAhead(ctx context.Context, g *registrar.Group, v registrar.View) error {
	return p.probe(ctx, g, v, allotter.ControlPriority)
}

func (p *Performer) probe(ctx context.Context, g *registrar.Group, v registrar.View, priority int) error {
	ctx, cancel := context.WithTimeout(ctx, minReplyTimeout)
	defer cancel()
	reply, err := p.exchangeBegin(ctx, g, v, priority)
	if err == nil && !reply.OK() {
		err = classifier.New(reply.Kind, "%s: %s", v.ID, reply.Detail)
	}
	return err
}

// exchangeBegin begins a transaction on an instance and rolls it back. It records and returns the reply to the begin.
func (p *Performer) exchangeBegin(ctx context.Context, g *registrar.Group, v registrar.View, priority int) (carrier.Reply, error) {
	lease, err := p.cfg.Pool.Acquire(ctx, registrar.NewTarget(v.Instance).WithAnyTeam(), priority)
	if err != nil {
		return carrier.Reply{}, err
	}
	lease.Conn().SetDeadline(time.Now().Add(minReplyTimeout))
	sentAt := g.Now()
	replies, err := lease.Exchange(carrier.Command{Statement: carrier.Internal(carrier.Begin)}, carrier.Command{Statement: carrier.Internal(carrier.Rollback)})
	if err != nil {
		p.discardFailed(g, lease)
		return carrier.Reply{}, err
	}
	releaseOrDiscard(lease, replies[1])
	p.recordBeginReply(g, v.ID, sentAt, replies[0])
	recordReply(g, v.ID, replies[0], 0)
	return replies[0], nil
}

// recordBeginReply records what the reply to the begin of a read-write transaction shows about whether the
// instance is the primary.
func (p *Performer) recordBeginReply(g *registrar.Group, id string, sentAt time.Duration, r carrier.Reply) {
	proof := registrar.Proof{Instance: id, SentAt: sentAt, Position: r.Position}
	switch {
	case r.OK() && p.verifier == nil:
		g.RecordProof(proof)
	case r.OK():
		g.RecordRole(proof)
	case r.Kind == classifier.NotPrimary:
		g.RecordDenial(id)
	}
}

// recordCommitReply records what the reply to a write or to the commit of one shows about whether the instance is the
// primary. A commit that waited for a replica proves the lead also where a replaced primary still answers. The result is the
// reply for the client, to whom the acknowledgement of a sealed term is not passed on.
func (p *Performer) recordCommitReply(g *registrar.Group, id string, sentAt time.Duration, r carrier.Reply, syncReplicas int) carrier.Reply {
	if r.OK() && syncReplicas > 0 {
		g.RecordProof(registrar.Proof{Instance: id, SentAt: sentAt, Position: r.Position})
	} else {
		p.recordBeginReply(g, id, sentAt, r)
	}
	if r.OK() && !p.cfg.Acknowledge(g, r.Position) {
		return carrier.ErrorReply(classifier.OutcomeUnknown, "the primary "+id+" is being replaced, and its successor may lack the commit")
	}
	return r
}

// recordReply records a reply for the instance that sent it. A latency of zero is not counted.
// A reply of kind NoInstance, by which a gateway says that it cannot reach the instance, is
// recorded as a failure of the instance.
func recordReply(g *registrar.Group, id string, r carrier.Reply, latency time.Duration) {
	if r.Kind == classifier.NoInstance {
		g.RecordFailure(id)
		return
	}
	g.RecordAnswer(id, r.Position, latency)
	if latency > 0 {
		g.RecordOutcome(id, IsExecuted(r))
	}
}

// IsExecuted reports whether the instance executed the statement that it answered, or refused it by a rule of the protocol. It
// may have failed the statement for a fault of its own otherwise.
func IsExecuted(r carrier.Reply) bool {
	return r.Kind != classifier.StatementFailed && r.Kind != classifier.StatementTimeout
}

// releaseOrDiscard ends a lease after its last reply. It discards a connection that is inside a
// transaction, or that lacks a prepared statement recorded for it.
func releaseOrDiscard(lease *allotter.Lease, last carrier.Reply) {
	if last.State != carrier.Idle || last.Kind == classifier.UnknownStatement {
		lease.Discard()
		return
	}
	lease.Release()
}

// discardFailed discards a connection that failed and records the failure for its instance.
func (p *Performer) discardFailed(g *registrar.Group, lease *allotter.Lease) {
	g.RecordFailure(lease.Target().Instance)
	lease.Discard()
}

// candidates returns the instances that may serve the read, the best one first, without
// those tried in this round.
func (e *execution) candidates() []ranker.Candidate {
	ranked := ranker.Rank(e.rankerInput(e.performer.cfg.Pool.Load))
	if e.candidateCount = len(ranked); e.candidateCount > 0 {
		e.waiting = ranked[0].Load.Waiting
	}
	return ranked
}

// rankerInput returns the instances of the group with their loads, and the read as the ranker sees it.
func (e *execution) rankerInput(load func(carrier.Target) allotter.Load) ([]ranker.Candidate, ranker.Query) {
	views := e.group.Views()
	list := make([]ranker.Candidate, len(views))
	for i, v := range views {
		list[i] = ranker.Candidate{View: v, Load: load(registrar.NewTarget(v.Instance))}
	}
	return list, ranker.Query{
		Floor: e.floor, FloorAge: e.group.FloorAge(e.floor), DataCentre: e.performer.cfg.DataCentre, Region: e.performer.cfg.Region, RegionOf: e.performer.cfg.RegionOf,
		Primary: e.group.Primary().Instance, Now: time.Now(), Exclude: e.tried,
	}
}

// acquire waits for a connection to an instance. With a latency objective, it gives up when the
// statement could no longer be served within the objective, so that the queue is left to
// requests that can be. Time without a primary or without a reachable instance does not count towards the wait.
func (e *execution) acquire(ctx context.Context, v registrar.View) (*allotter.Lease, error) {
	target := registrar.NewTarget(v.Instance)
	if objective := e.request.Route.LatencyObjective; objective > 0 {
		wait := acquireWait(objective, v.Latency, e.performer.cfg.Pool.Load(target).HasSustainedOverload)
		e.acquireDeadline = later(e.request.ArrivedAt, e.lastUnavailable).Add(wait)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, e.acquireDeadline)
		defer cancel()
	}
	lease, err := e.performer.cfg.Pool.Acquire(ctx, target.WithTeam(e.request.Team), e.request.Route.Priority)
	switch {
	case allotter.IsRejected(err):
		e.acquireErr = err
	case err != nil:
		e.lastUnavailable = time.Now()
	}
	return lease, err
}

// acquireWait returns how long a request with a latency objective may wait for a connection to an instance with a mean latency.
func acquireWait(objective, latency time.Duration, hasSustainedOverload bool) time.Duration {
	if hasSustainedOverload {
		return objective / overloadAcquireWaitDivisor
	}
	return max(objective/minAcquireWaitDivisor, objective-latency*5/4)
}

// urgency returns the urgency of the request for a gateway, which orders the requests of all VMs for the instance. It is zero
// for a request without a latency objective, and on a connection that leads to the instance itself.
func (e *execution) urgency(lease *allotter.Lease) carrier.Urgency {
	if e.acquireDeadline.IsZero() || !carrier.IsLink(lease.Conn()) {
		return carrier.Urgency{}
	}
	wait := min(max(time.Until(e.acquireDeadline), minGatewayWait), maxGatewayWait)
	return carrier.Urgency{Priority: e.request.Route.Priority, Age: time.Since(e.request.ArrivedAt), Wait: wait}
}

// Bounds of the wait for a connection that a gateway is asked for. It comes on top of the time after which the gateway counts
// as silent, so that a longer one would delay the attempt through another gateway.
const (
	minGatewayWait = 20 * time.Millisecond
	maxGatewayWait = 250 * time.Millisecond
)

const (
	// minAcquireWaitDivisor sets the least time that a request may wait for a connection, as a
	// fraction of its latency objective.
	minAcquireWaitDivisor = 4
	// overloadAcquireWaitDivisor sets the time that a request may wait for a connection to an instance
	// under sustained overload, as a fraction of its latency objective. It leaves served requests
	// within their objective, and refused clients enough time to retry within theirs.
	overloadAcquireWaitDivisor = 5
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordRefusal records that an instance refused the statement, which may now run elsewhere.
func (e *execution) recordRefusal(v registrar.View, k classifier.Kind) {
	e.group.RecordRefusal(v.ID, k, e.floor)
	if k == classifier.Overloaded {
		e.hasShed = true
		e.performer.cfg.Pool.RecordOverload(registrar.NewTarget(v.Instance))
	}
	e.report(EventRetried, v.ID, k)
}

// replyTimeout returns how long to wait for an instance's reply to a read or a begin before another instance is tried.
func replyTimeout(v registrar.View) time.Duration {
	return max(minReplyTimeout, replyTimeoutFactor*v.Latency)
}
