package promoter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/sheet/parser"
)

const (
	// ObserveTimeout limits the wait for the peers' observations.
	ObserveTimeout = 200 * time.Millisecond
	// HoldTime limits how long write units are blocked for one attempt of a planned switchover.
	HoldTime = time.Second

	minDecisionInterval = 5 * time.Millisecond   // between two decisions
	minRepairInterval   = 300 * time.Millisecond // between two Follow calls to the same instance
	baseBackoff         = 200 * time.Millisecond // after the first failed attempt; doubles with each further one
	maxBackoff          = 2 * time.Second        // before the random share is added
	maxBackoffDoublings = 8                      // keeps the shift of baseBackoff from overflowing
)

// Peers reaches the other gateways of a database.
type Peers interface {
	// Observe asks the other gateways and returns the answers that arrive before the context ends.
	Observe(ctx context.Context, database string) []Observation
	// Hold blocks new write units on the other gateways for HoldTime. It returns nil once none of them runs a
	// write unit. The term is that of the primary being replaced.
	Hold(ctx context.Context, database string, term uint64) error
	// Release ends a Hold of the same term on the other gateways.
	Release(ctx context.Context, database string, term uint64) error
}

// Config holds the settings of a Promoter.
type Config struct {
	Sampler     *sampler.Sampler
	Dial        func(parser.Instance) connector.Instance // a returned io.Closer is closed after use
	Peers       Peers                                    // nil: there is no other gateway
	WriteGate   *WriteGate                               // blocks the write units of this gateway; nil: a new one
	Rank        func() int                               // of this VM among the gateways; 0 acts first; nil: 0
	OtherGroups func() (withoutPrimary, total int)       // other groups without a primary, and all other groups; nil: none
	Log         func(Event)                              // called concurrently; nil: events are dropped
	Seed        uint64                                   // of the random share of the back-off; zero: random
}

func (c Config) withDefaults() Config {
	if c.Rank == nil {
		c.Rank = func() int { return 0 }
	}
	if c.OtherGroups == nil {
		c.OtherGroups = func() (int, int) { return 0, 0 }
	}
	if c.Log == nil {
		c.Log = func(Event) {}
	}
	if c.WriteGate == nil {
		c.WriteGate = NewWriteGate()
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}

// Promoter replaces the primary of one group when it fails or leaves.
type Promoter struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// The fields below are used by the goroutine of run only.
	tracker        tracker
	random         *rand.Rand
	failedAttempts int                  // in a row, at most maxBackoffDoublings
	lastRepair     map[string]time.Time // time of the last Follow call, by instance name
	loggedReason   Reason               // of the last logged decision
}

// New starts a Promoter. The caller must call Close.
func New(cfg Config) *Promoter {
	cfg = cfg.withDefaults()
	p := &Promoter{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 2)), lastRepair: map[string]time.Time{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Go(p.run)
	return p
}

// Close stops the promoter, cancels its calls and waits until they have ended.
func (p *Promoter) Close() {
	p.cancel()
	p.wg.Wait()
}

func (p *Promoter) run() {
	for p.ctx.Err() == nil {
		changed := p.cfg.Sampler.Changed()
		a := p.decide()
		p.perform(a)
		p.waitForNextDecision(a, changed)
	}
}

func (p *Promoter) decide() Action {
	p.tracker.update(p.cfg.Sampler.View(), time.Now())
	e := p.tracker.evidence
	e.Rank = p.cfg.Rank()
	e.OtherGroupsWithoutPrimary, e.OtherGroups = p.cfg.OtherGroups()
	return Decide(e)
}

// waitForNextDecision waits until the next decision may differ from a. After an action that changes the
// evidence or the group, that is as soon as minDecisionInterval has passed.
func (p *Promoter) waitForNextDecision(a Action, changed <-chan struct{}) {
	if sleep(p.ctx, nil, minDecisionInterval) != nil || a.Kind == AskPeers || a.Kind == Failover || a.Kind == Switchover {
		return
	}
	maxWait := time.Hour // any new view ends the wait
	if a.Kind == Wait {
		maxWait = a.Delay
	}
	_ = sleep(p.ctx, changed, maxWait)
}

func (p *Promoter) perform(a Action) {
	p.logReasonChange(a)
	p.repairFollowers(a.WrongFollowers)
	switch a.Kind {
	case AskPeers:
		p.askPeers()
	case Failover:
		p.updateBackoff(p.replacePrimary(a))
	case Switchover:
		p.updateBackoff(p.switchOver(a))
	}
}

// askPeers stores the other gateways' observations in the evidence. Meanwhile this gateway samples the group, too.
func (p *Promoter) askPeers() {
	ctx, cancel := context.WithTimeout(p.ctx, ObserveTimeout)
	defer cancel()
	p.wg.Go(p.waitForRound)
	p.tracker.evidence.Peers = nil
	if p.cfg.Peers != nil {
		p.tracker.evidence.Peers = p.cfg.Peers.Observe(ctx, p.tracker.evidence.View.Database)
	}
	p.tracker.evidence.ObservedAt = time.Now()
}

func (p *Promoter) waitForRound() {
	ctx, cancel := context.WithTimeout(p.ctx, ObserveTimeout)
	defer cancel()
	_, _ = p.cfg.Sampler.NextRound(ctx) // the next decision reads the outcome from the view
}

// updateBackoff sets the back-off from the outcome of an attempt. Its random share keeps the promoters of
// several gateways from failing against each other again and again.
func (p *Promoter) updateBackoff(err error) {
	if err == nil {
		p.failedAttempts = 0
		p.tracker.evidence.RetryAt = time.Time{}
		return
	}
	backoff := min(baseBackoff<<p.failedAttempts, maxBackoff)
	p.failedAttempts = min(p.failedAttempts+1, maxBackoffDoublings)
	backoff += time.Duration(p.random.Int64N(int64(backoff)))
	p.tracker.evidence.RetryAt = time.Now().Add(backoff)
}

func (p *Promoter) logReasonChange(a Action) {
	if a.Reason == p.loggedReason {
		return
	}
	p.loggedReason = a.Reason
	v := p.tracker.evidence.View
	p.cfg.Log(Event{Name: EventDecision, Database: v.Database, Term: v.Term, Instance: v.Primary, Reason: a.Reason})
}
