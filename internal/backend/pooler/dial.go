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

// tooManyConnections is PostgreSQL's SQLSTATE too_many_connections.
const tooManyConnections = "53300"

// keepAlive finds a connection whose peer is gone while a statement waits for its answer.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

func baseConfig(cfg Config) (*pgconn.Config, error) {
	// The text names every setting that the environment could otherwise supply.
	base, err := pgconn.ParseConfig("host=127.0.0.1 port=5432 user=parsleyscale sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("connection settings: %w", err)
	}
	base.User, base.Password, base.TLSConfig = cfg.User, cfg.Password, cfg.TLS
	base.Fallbacks = nil
	base.RuntimeParams = map[string]string{"application_name": "parsleyscale"}
	if ms := cfg.IdleInTransaction.Milliseconds(); ms > 0 {
		// A VM that is cut off in the middle of a transaction leaves its locks behind.
		base.RuntimeParams["idle_in_transaction_session_timeout"] = strconv.FormatInt(ms, 10)
	}
	base.ConnectTimeout = cfg.DialTimeout
	base.DialFunc = cfg.Dial
	if base.DialFunc == nil {
		base.DialFunc = (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext
	}
	return base, nil
}

// open opens a connection for a request that has the permission to. It returns
// nil without an error when the instance refused and the request has to line up again.
func (p *Pool) open(ctx context.Context, i parser.Instance) (*Conn, error) {
	p.mu.Lock()
	l := p.line(i)
	p.mu.Unlock()
	c, err := p.dial(ctx, l, i)
	if err == nil {
		return c, nil
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != tooManyConnections {
		p.closedOne(l)
		return nil, fmt.Errorf("connect to %s: %w", i.Name, err)
	}
	if p.refused(l) > 0 {
		return nil, nil
	}
	select {
	case <-time.After(refusalPause):
		return nil, nil
	case <-ctx.Done():
		return nil, classifier.Wrap(classifier.Overloaded, err, "connect to %s", i.Name)
	}
}

func (p *Pool) dial(ctx context.Context, l *line, i parser.Instance) (*Conn, error) {
	addr, err := netip.ParseAddrPort(i.Address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", i.Address, err)
	}
	cfg := p.base.Copy()
	cfg.Host, cfg.Port, cfg.Database = addr.Addr().String(), addr.Port(), l.database
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		_ = pc.Close(ctx)
		return nil, err
	}
	return p.newConn(l, i, h), nil
}

func (p *Pool) newConn(l *line, i parser.Instance, h *pgconn.HijackedConn) *Conn {
	c := &Conn{pool: p, line: l, instance: i, net: h.Conn, raw: rawConn(h.Conn), frontend: h.Frontend, hijacked: h, usedAt: time.Now()}
	if h.Frontend.ReadBufferLen() == 0 {
		// A frontend on the bare connection saves the locking of pgconn's background reader.
		c.frontend = pgproto3.NewFrontend(h.Conn, h.Conn)
	}
	p.mu.Lock()
	l.stats.Opened++
	p.mu.Unlock()
	return c
}
