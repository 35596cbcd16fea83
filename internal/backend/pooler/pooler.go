// Package pooler keeps the connections of a gateway to the database instances.
//
// The connections of an instance are scarce and belong to all gateways of its
// database together, so each gateway opens at most its share. A request gets an
// idle connection, or a new one below the share, or waits in line. A connection
// whose state is uncertain is closed and never reused.
package pooler

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/parser"
)

// Defaults of Config.
const (
	DefaultDialTimeout = 400 * time.Millisecond
	DefaultIdleTimeout = 30 * time.Second
	DefaultCheckAfter  = time.Second
	DefaultGrowEvery   = time.Second
)

// refusalPause is the wait before a new attempt when the instance refuses the only connection of this gateway.
const refusalPause = 50 * time.Millisecond

// Config holds the settings of a Pool.
type Config struct {
	User       string
	Password   string
	TLS        *tls.Config                                                          // nil: no TLS
	DatabaseOf func(instance string) string                                         // database of an instance
	Dial       func(ctx context.Context, network, address string) (net.Conn, error) // nil: TCP

	// IdleInTransaction is the longest silence of this VM inside a transaction,
	// after which the instance rolls it back; zero: the instance's own limit.
	IdleInTransaction time.Duration

	DialTimeout time.Duration // for the whole start-up of a connection and for a check of an idle one
	IdleTimeout time.Duration // an idle connection is closed after it
	CheckAfter  time.Duration // a connection that was idle longer is checked with a round trip before use
	GrowEvery   time.Duration // after a refusal the share grows back by one connection in this time
}

func (c Config) withDefaults() Config {
	c.DialTimeout = orDefault(c.DialTimeout, DefaultDialTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, DefaultIdleTimeout)
	c.CheckAfter = orDefault(c.CheckAfter, DefaultCheckAfter)
	c.GrowEvery = orDefault(c.GrowEvery, DefaultGrowEvery)
	if c.DatabaseOf == nil {
		c.DatabaseOf = func(string) string { return "" }
	}
	return c
}

func orDefault(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

// Stats counts the connections to one instance.
type Stats struct {
	Open      int // includes connections that are being opened
	Idle      int
	Waiting   int
	Share     int
	Opened    uint64 // since the start
	Discarded uint64 // closed in an uncertain state, or found broken
	Refused   uint64 // refusals by the instance with SQLSTATE 53300
}

// Pool holds the connections of this gateway.
type Pool struct {
	cfg  Config
	base *pgconn.Config

	mu       sync.Mutex
	lines    map[string]*line // by instance
	gateways map[string]int   // by database
	closed   bool

	stop chan struct{}
	wg   sync.WaitGroup
}

// New returns a pool and starts its upkeep. Close ends it.
func New(cfg Config) (*Pool, error) {
	cfg = cfg.withDefaults()
	base, err := baseConfig(cfg)
	if err != nil {
		return nil, err
	}
	p := &Pool{
		cfg:      cfg,
		base:     base,
		lines:    map[string]*line{},
		gateways: map[string]int{},
		stop:     make(chan struct{}),
	}
	p.wg.Go(p.upkeep)
	return p, nil
}

// SetGateways sets how many gateways share the connections of a database's
// instances. Zero means that this VM is none of them: its idle connections are closed.
func (p *Pool) SetGateways(database string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways[database] = n
	for _, l := range p.lines {
		if l.database == database && n == 0 {
			l.retire()
		}
		p.admitWaiters(l)
	}
}

// Share returns how many connections this gateway may have to an instance at the moment.
func (p *Pool) Share(i parser.Instance) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share(p.line(i))
}

// Stats returns the counts of each instance.
func (p *Pool) Stats() map[string]Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := make(map[string]Stats, len(p.lines))
	for name, l := range p.lines {
		s := l.stats
		s.Open, s.Idle, s.Waiting, s.Share = l.open, len(l.idle), len(l.waiters), p.share(l)
		m[name] = s
	}
	return m
}

// Get returns a connection to an instance that is outside a transaction and
// was found working: used within Config.CheckAfter, or checked just now.
func (p *Pool) Get(ctx context.Context, i parser.Instance) (*Conn, error) {
	for {
		c, err := p.take(ctx, i)
		if err != nil {
			return nil, err
		}
		if c == nil {
			c, err = p.open(ctx, i)
		}
		if err != nil {
			return nil, err
		}
		if c != nil && c.isUsable(ctx) {
			return c, nil
		}
		if c != nil && hasEnded(ctx) {
			c.Discard()
			return nil, classifier.Wrap(classifier.Overloaded, context.DeadlineExceeded, "no checked connection to %s", i.Name)
		}
		if c != nil {
			c.discardSilent()
		}
	}
}

// hasEnded reports whether a context is over, also when its timer is about to fire.
func hasEnded(ctx context.Context) bool {
	d, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(d)
}

// Close closes the idle connections and waits for the upkeep and for cancel
// requests. Connections in use are closed when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.stop)
	for _, l := range p.lines {
		l.retire()
		l.failWaiters()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func errClosed() error { return classifier.New(classifier.ShuttingDown, "connection pool is closed") }
