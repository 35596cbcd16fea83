package pooler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/parser"
)

// sqlstateTooManyConnections is the SQLSTATE too_many_connections of PostgreSQL.
const sqlstateTooManyConnections = "53300"

// keepAlive detects that the instance has vanished while a statement waits for its reply: after
// 2 s of silence and three unanswered probes, one a second.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// newBaseConfig returns the settings common to all connections.
func newBaseConfig(cfg Config) (*pgconn.Config, error) {
	// The string sets these parameters because ParseConfig would otherwise take them from the environment.
	base, err := pgconn.ParseConfig("host=127.0.0.1 port=5432 user=parsleyscale sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("parse connection settings: %w", err)
	}
	base.User, base.Password, base.TLSConfig = cfg.User, cfg.Password, cfg.TLS
	base.Fallbacks = nil
	base.RuntimeParams = map[string]string{"application_name": "parsleyscale"}
	if ms := cfg.IdleInTransactionTimeout.Milliseconds(); ms > 0 {
		// Otherwise, the locks of a transaction would stay if its VM lost the network.
		base.RuntimeParams["idle_in_transaction_session_timeout"] = strconv.FormatInt(ms, 10)
	}
	base.ConnectTimeout = cfg.DialTimeout
	base.DialFunc = cfg.Dial
	if base.DialFunc == nil {
		base.DialFunc = (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext
	}
	return base, nil
}

// open opens a connection, which takeOrReserve has already counted as open. It returns nil
// without an error when the instance refused the connection and the request has to call
// takeOrReserve again.
func (p *Pool) open(ctx context.Context, i parser.Instance) (*Conn, error) {
	p.mu.Lock()
	ipool := p.poolOf(i)
	p.mu.Unlock()
	c, err := p.dial(ctx, ipool, i)
	if err == nil {
		return c, nil
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Code != sqlstateTooManyConnections {
		p.recordClosed(ipool)
		return nil, fmt.Errorf("connect to %s: %w", i.Name, err)
	}
	if p.recordRefusal(ipool) > 0 {
		return nil, nil
	}
	select {
	case <-time.After(refusalRetryDelay):
		return nil, nil
	case <-ctx.Done():
		return nil, classifier.Wrap(classifier.Overloaded, err, "connect to %s", i.Name)
	}
}

// dial establishes a connection with the PostgreSQL handshake.
func (p *Pool) dial(ctx context.Context, ipool *instancePool, i parser.Instance) (*Conn, error) {
	addr, err := netip.ParseAddrPort(i.Address)
	if err != nil {
		return nil, fmt.Errorf("parse address %q: %w", i.Address, err)
	}
	cfg := p.base.Copy()
	cfg.Host, cfg.Port, cfg.Database = addr.Addr().String(), addr.Port(), ipool.database
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	hijacked, err := pc.Hijack()
	if err != nil {
		_ = pc.Close(ctx)
		return nil, err
	}
	return p.newConn(ipool, i, hijacked), nil
}

// newConn returns a Conn on a connection taken over from pgconn.
func (p *Pool) newConn(ipool *instancePool, i parser.Instance, hijacked *pgconn.HijackedConn) *Conn {
	c := &Conn{pool: p, ipool: ipool, instance: i, netConn: hijacked.Conn, raw: rawConn(hijacked.Conn), frontend: hijacked.Frontend, hijacked: hijacked, lastUsedAt: time.Now()}
	if hijacked.Frontend.ReadBufferLen() == 0 {
		// A frontend directly on the network connection avoids the locking of pgconn's background
		// reader. It may replace pgconn's only if that one has no unread data in its buffer.
		c.frontend = pgproto3.NewFrontend(hijacked.Conn, hijacked.Conn)
	}
	p.mu.Lock()
	ipool.stats.Opened++
	p.mu.Unlock()
	return c
}
