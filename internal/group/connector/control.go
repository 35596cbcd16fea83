package connector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"parsleyscale/internal/network/dialer"
)

// ControlConn is a connection of ControlUser to an instance. It is not safe for concurrent use.
type ControlConn struct {
	conn *pgconn.PgConn
	raw  net.Conn // network connection of conn
}

// errNoCancelRequest rejects the second connection, which pgconn opens to send
// a cancel request after a failed call. The instance is then likely to be
// unresponsive or gone, and the attempt would outlive the call.
var errNoCancelRequest = errors.New("control connection sends no cancel requests")

// OpenControl opens a control connection to address, which has the form
// host:port. If dial is nil, the system chooses the local address.
func OpenControl(ctx context.Context, address string, dial dialer.Func) (*ControlConn, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("instance address %q: %w", address, err)
	}
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s user=%s dbname=%s sslmode=disable", host, port, ControlUser, ControlUser))
	if err != nil {
		return nil, fmt.Errorf("instance address %q: %w", address, err)
	}
	c := &ControlConn{}
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	cfg.ConnectTimeout = 0 // ctx limits the time to connect
	cfg.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		if c.raw != nil {
			return nil, errNoCancelRequest
		}
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c.raw = raw
		return raw, nil
	}
	c.conn, err = pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Query runs a query with one result column and returns its values, one for each row.
func (c *ControlConn) Query(ctx context.Context, query string) ([][]byte, error) {
	results, err := c.conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, fmt.Errorf("query %q has %d results, want 1", query, len(results))
	}
	values := make([][]byte, 0, len(results[0].Rows))
	for _, row := range results[0].Rows {
		if len(row) != 1 {
			return nil, fmt.Errorf("query %q returns %d columns, want 1", query, len(row))
		}
		values = append(values, row[0])
	}
	return values, nil
}

// IsClosed reports whether the connection is closed, as after a failed query.
func (c *ControlConn) IsClosed() bool { return c.conn.IsClosed() }

// Close closes the connection and waits for its goroutines. It does not wait
// for the instance, which may be unresponsive.
func (c *ControlConn) Close() {
	_ = c.raw.SetDeadline(time.Now())
	c.raw.Close()
	if c.conn.IsClosed() {
		<-c.conn.CleanupDone()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.conn.Close(ctx) // the network connection is closed already
}
