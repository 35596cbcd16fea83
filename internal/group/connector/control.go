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

// ControlConn is a connection of the control user. It serves one goroutine.
type ControlConn struct {
	conn *pgconn.PgConn
	raw  net.Conn
}

// errOneConnection refuses the second connection that pgconn opens to send a
// cancel request after a failed call. It would go to an instance that is
// silent or gone, and would outlive the call.
var errOneConnection = errors.New("control connection sends no cancel requests")

// OpenControl opens a control connection to address, which is host:port, with
// dial; a nil dial lets the system choose the local address.
func OpenControl(ctx context.Context, address string, dial dialer.Func) (*ControlConn, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("address of an instance: %w", err)
	}
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s user=%s dbname=%s sslmode=disable", host, port, ControlUser, ControlUser))
	if err != nil {
		return nil, fmt.Errorf("address of an instance %q: %w", address, err)
	}
	c := &ControlConn{}
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	cfg.ConnectTimeout = 0 // ctx bounds the call
	cfg.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		if c.raw != nil {
			return nil, errOneConnection
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

// Query runs a query and returns the first column of its rows.
func (c *ControlConn) Query(ctx context.Context, query string) ([][]byte, error) {
	results, err := c.conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, fmt.Errorf("query %q has %d results", query, len(results))
	}
	column := make([][]byte, 0, len(results[0].Rows))
	for _, row := range results[0].Rows {
		if len(row) != 1 {
			return nil, fmt.Errorf("query %q returns %d columns", query, len(row))
		}
		column = append(column, row[0])
	}
	return column, nil
}

// IsClosed reports whether a failed call has closed the connection.
func (c *ControlConn) IsClosed() bool { return c.conn.IsClosed() }

// Close closes the connection and waits for its goroutines. It does not wait
// for the instance, which may be silent.
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
