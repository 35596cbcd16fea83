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
	// ObserveTimeout bounds the wait for the peers' observations.
	ObserveTimeout = 200 * time.Millisecond
	// HoldTime bounds a hold of write units.
	HoldTime = time.Second

	decideGap   = 5 * time.Millisecond   // between two decisions
	repairGap   = 300 * time.Millisecond // between two Follow calls to an instance
	backOffBase = 200 * time.Millisecond // of a failed attempt, doubled with each
	backOffMax  = 2 * time.Second
)

// Peers reaches the other gateways of a database.
type Peers interface {
	// Observe returns the answers that arrive before the context ends.
	Observe(ctx context.Context, database string) []Observation
	// Hold keeps new write units back on the other gateways for HoldTime. It
	// returns nil once none of them runs a write unit.
	Hold(ctx context.Context, database string, term uint64) error
	// Release ends a Hold.
	Release(ctx context.Context, database string, term uint64) error
}

// Config holds the settings of a Promoter.
type Config struct {
	Sampler     *sampler.Sampler
	Dial        func(parser.Instance) connector.Instance // a returned io.Closer is closed after use
	Peers       Peers                                    // nil: no other gateway
	Holder      *Holder                                  // of this gateway; nil: none
	Rank        func() int                               // of this VM among the gateways, 0 first; nil: 0
	OtherGroups func() (dead, total int)                 // other groups without a primary, and all others; nil: none
	Log         func(Event)                              // called by several goroutines; nil: none
	Seed        uint64                                   // of the back-off; zero: random
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
	if c.Holder == nil {
		c.Holder = NewHolder()
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}

// Promoter keeps a group with a working primary.
type Promoter struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// The loop's goroutine owns these.
	tracker  tracker
	random   *rand.Rand
	attempts int // that failed in a row
	repaired map[string]time.Time
	logged   Reason
}

// New returns a running Promoter.
func New(cfg Config) *Promoter {
	cfg = cfg.withDefaults()
	p := &Promoter{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 2)), repaired: map[string]time.Time{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Go(p.run)
	return p
}

// Close ends the loop and its calls and waits for them.
func (p *Promoter) Close() {
	p.cancel()
	p.wg.Wait()
}

func (p *Promoter) run() {
	for p.ctx.Err() == nil {
		changed := p.cfg.Sampler.Changed()
		a := p.decide()
		p.act(a)
		p.rest(a, changed)
	}
}

func (p *Promoter) decide() Action {
	p.tracker.observe(p.cfg.Sampler.View(), time.Now())
	e := p.tracker.e
	e.Rank = p.cfg.Rank()
	e.OtherDead, e.OtherTotal = p.cfg.OtherGroups()
	return Decide(e)
}

// rest waits until the next decision may differ from a.
func (p *Promoter) rest(a Action, changed <-chan struct{}) {
	if sleep(p.ctx, nil, decideGap) != nil || a.Kind == Ask || a.Kind == Failover || a.Kind == Switch {
		return
	}
	d := time.Hour
	if a.Kind == Wait {
		d = a.After
	}
	_ = sleep(p.ctx, changed, d)
}

func (p *Promoter) act(a Action) {
	p.logChange(a)
	p.repair(a.Follow)
	switch a.Kind {
	case Ask:
		p.ask()
	case Failover:
		p.finish(p.replace(a))
	case Switch:
		p.finish(p.switchPlanned(a))
	}
}

// ask takes the other gateways' observations into the evidence. A round of this
// gateway runs at the same time.
func (p *Promoter) ask() {
	ctx, cancel := context.WithTimeout(p.ctx, ObserveTimeout)
	defer cancel()
	p.wg.Go(p.startRound)
	p.tracker.e.Peers = nil
	if p.cfg.Peers != nil {
		p.tracker.e.Peers = p.cfg.Peers.Observe(ctx, p.tracker.e.View.Database)
	}
	p.tracker.e.ObservedAt = time.Now()
}

func (p *Promoter) startRound() {
	ctx, cancel := context.WithTimeout(p.ctx, ObserveTimeout)
	defer cancel()
	_, _ = p.cfg.Sampler.Next(ctx) // the view shows the outcome
}

// finish sets the back-off after an attempt. The random part parts promoters
// that race with each other.
func (p *Promoter) finish(err error) {
	if err == nil {
		p.attempts = 0
		p.tracker.e.RetryAt = time.Time{}
		return
	}
	d := min(backOffBase<<p.attempts, backOffMax)
	p.attempts = min(p.attempts+1, 8)
	d += time.Duration(p.random.Int64N(int64(d)))
	p.tracker.e.RetryAt = time.Now().Add(d)
}

func (p *Promoter) logChange(a Action) {
	if a.Reason == p.logged {
		return
	}
	p.logged = a.Reason
	v := p.tracker.e.View
	p.cfg.Log(Event{Name: EventDecision, Database: v.Database, Term: v.Term, Instance: v.Primary, Reason: a.Reason})
}
