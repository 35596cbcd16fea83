// Package pooler is the connection pool of a gateway for the database instances.
//
// The gateways of a database share the connections that its instances accept, so each
// gateway opens at most its share. A request gets an idle connection, or opens a
// new one while fewer than the share are open, or waits in a queue. A connection
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

// Defaults of the durations in Config.
const (
	DefaultDialTimeout       = 400 * time.Millisecond
	DefaultIdleTimeout       = 30 * time.Second
	DefaultCheckAfter        = time.Second
	DefaultShareGrowInterval = time.Second
)

// refusalRetryDelay is the time between attempts while the instance refuses the only connection of this gateway.
const refusalRetryDelay = 50 * time.Millisecond

// Config holds the settings of a Pool.
type Config struct {
	User       string
	Password   string
	TLS        *tls.Config                                                          // nil: no TLS
	DatabaseOf func(instance string) string                                         // returns the database of an instance; nil: the empty name
	Dial       func(ctx context.Context, network, address string) (net.Conn, error) // nil: TCP with keep-alive

	// IdleInTransactionTimeout is the time after which the instance ends a connection that
	// is idle in a transaction, and rolls the transaction back. Zero means the limit that is set
	// at the instance.
	IdleInTransactionTimeout time.Duration

	DialTimeout       time.Duration // limit of a connection attempt with its handshake, of a check and of a cancel request
	IdleTimeout       time.Duration // an idle connection is closed after this time; one for each instance stays open
	CheckAfter        time.Duration // a connection that was idle for this long is checked by a round trip before use
	ShareGrowInterval time.Duration // interval at which a share reduced by a refusal grows back by one connection
}

func (c Config) withDefaults() Config {
	c.DialTimeout = orDefault(c.DialTimeout, DefaultDialTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, DefaultIdleTimeout)
	c.CheckAfter = orDefault(c.CheckAfter, DefaultCheckAfter)
	c.ShareGrowInterval = orDefault(c.ShareGrowInterval, DefaultShareGrowInterval)
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

// Stats describes the connections to one instance.
type Stats struct {
	Open      int    // connections in use, idle or being opened
	Idle      int    // idle connections
	Waiting   int    // requests in the queue for a connection
	Share     int    // current limit of open connections
	Opened    uint64 // connections opened since the start
	Discarded uint64 // connections closed in an uncertain state, or found broken, since the start
	Refused   uint64 // connections that the instance refused with SQLSTATE 53300 since the start
}

// Pool is the connection pool of this gateway for all instances.
type Pool struct {
	cfg  Config
	base *pgconn.Config // settings common to all connections

	mu            sync.Mutex
	pools         map[string]*instancePool // by instance name
	gatewayCounts map[string]int           // by database name
	closed        bool

	stop chan struct{} // closed by Close
	wg   sync.WaitGroup
}

// New returns a pool and starts to check its idle connections and to close those idle for too long. Close stops both.
func New(cfg Config) (*Pool, error) {
	cfg = cfg.withDefaults()
	base, err := newBaseConfig(cfg)
	if err != nil {
		return nil, err
	}
	p := &Pool{
		cfg:           cfg,
		base:          base,
		pools:         map[string]*instancePool{},
		gatewayCounts: map[string]int{},
		stop:          make(chan struct{}),
	}
	p.wg.Go(p.maintain)
	return p, nil
}

// SetGatewayCount sets how many gateways share the connections to the instances of a database.
// Zero means that this VM is not a gateway of the database: its idle connections are
// closed, and until the next request so are those that are released.
func (p *Pool) SetGatewayCount(database string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatewayCounts[database] = n
	for _, ipool := range p.pools {
		if ipool.database == database && n == 0 {
			ipool.drain()
		}
		p.grantDials(ipool)
	}
}

// Share returns how many connections this gateway may currently have to an instance.
func (p *Pool) Share(i parser.Instance) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share(p.poolOf(i))
}

// Stats returns the statistics of all instances, by instance name.
func (p *Pool) Stats() map[string]Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := make(map[string]Stats, len(p.pools))
	for name, ipool := range p.pools {
		s := ipool.stats
		s.Open, s.Idle, s.Waiting, s.Share = ipool.open, len(ipool.idle), len(ipool.waiters), p.share(ipool)
		m[name] = s
	}
	return m
}

// Get returns a connection to an instance; no transaction is open on it. The connection is
// new, or was used less than Config.CheckAfter ago and is not closed, or has just been
// checked. Get fails with kind overloaded when ctx ends during a wait or a check, with kind
// shuttingDown after Close, or with the error of opening a connection.
func (p *Pool) Get(ctx context.Context, i parser.Instance) (*Conn, error) {
	for {
		c, err := p.takeOrReserve(ctx, i)
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
		if c != nil && isDone(ctx) {
			c.Discard()
			return nil, classifier.Wrap(classifier.Overloaded, context.DeadlineExceeded, "no working connection to %s before the deadline", i.Name)
		}
		if c != nil {
			c.discardWithIdle()
		}
	}
}

// isDone reports whether a context has ended or is past its deadline. The context's timer may fire
// slightly after the deadline.
func isDone(ctx context.Context) bool {
	d, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(d)
}

// Close closes the idle connections, fails the requests in the queue, and waits for
// maintenance, checks and cancel requests to end. Connections in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.stop)
	for _, ipool := range p.pools {
		ipool.drain()
		ipool.failWaiters()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// newClosedError returns the error of requests to a closed pool.
func newClosedError() error {
	return classifier.New(classifier.ShuttingDown, "connection pool is closed")
}
