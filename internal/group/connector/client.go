package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"parsleyscale/internal/network/dialer"
)

// defaultTimeout bounds a call of a client whose Config sets no timeout.
const defaultTimeout = time.Second

// Config holds the settings of a client.
type Config struct {
	Name    string        // instance name in errors; empty: Address
	Address string        // of the instance, as host:port
	Timeout time.Duration // limit of a call whose context has no earlier deadline; 0: one second
	Dial    dialer.Func   // opens connections; nil: from any local address
}

// Client is an Instance that is reached over one persistent control
// connection. Calls run one at a time. A call that times out, or fails in any
// other way than by a refusal of the instance, closes the connection, because
// its answer might still arrive and be taken for that of the next call. The
// next call opens a new connection.
type Client struct {
	cfg    Config
	ctx    context.Context // canceled by Close
	cancel context.CancelFunc
	idle   chan struct{} // semaphore of one token, which the running call takes
	conn   *ControlConn  // nil: not connected; only the holder of the token uses it
}

var _ Instance = (*Client)(nil)

// ErrClosed is returned by calls on a closed client.
var ErrClosed = errors.New("client of the instance is closed")

// NewClient returns a client. The first call opens the connection.
func NewClient(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Name == "" {
		cfg.Name = cfg.Address
	}
	c := &Client{cfg: cfg, idle: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.idle <- struct{}{}
	return c
}

// Status returns the instance's replication state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return c.call(ctx, "SELECT group_status()")
}

// Fence raises the fence term to term.
func (c *Client) Fence(ctx context.Context, term uint64) (Status, error) {
	return c.call(ctx, fmt.Sprintf("SELECT group_fence(%d)", term))
}

// Promote makes the instance the primary of term.
func (c *Client) Promote(ctx context.Context, term uint64) (Status, error) {
	return c.call(ctx, fmt.Sprintf("SELECT group_promote(%d)", term))
}

// Follow makes the instance a replica of upstream at term.
func (c *Client) Follow(ctx context.Context, term uint64, upstream string) (Status, error) {
	if strings.ContainsAny(upstream, "'\\") {
		return Status{}, fmt.Errorf("follow: invalid upstream address %q", upstream)
	}
	return c.call(ctx, fmt.Sprintf("SELECT group_follow(%d,'%s')", term, upstream))
}

// Close cancels the running call, waits until it has returned, and closes the connection.
func (c *Client) Close() error {
	c.cancel()
	<-c.idle
	defer func() { c.idle <- struct{}{} }()
	c.disconnect()
	return nil
}

// call waits until no other call runs, runs an operation and returns the instance's status after it.
func (c *Client) call(ctx context.Context, query string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	select {
	case <-c.idle:
	case <-ctx.Done():
		return Status{}, c.wrapError(ctx.Err())
	}
	defer func() { c.idle <- struct{}{} }()
	s, err := c.callLocked(ctx, query)
	if err == nil {
		return s, nil
	}
	if !isRefusal(err) {
		c.disconnect()
	}
	return Status{}, c.wrapError(err)
}

// callLocked runs an operation. The caller holds the token of idle.
func (c *Client) callLocked(ctx context.Context, query string) (Status, error) {
	if err := ctx.Err(); err != nil {
		return Status{}, err
	}
	if err := c.connect(ctx); err != nil {
		return Status{}, err
	}
	rows, err := c.conn.Query(ctx, query)
	if err != nil {
		return Status{}, err
	}
	if len(rows) != 1 {
		return Status{}, fmt.Errorf("answer to %q has %d rows, want 1", query, len(rows))
	}
	var s Status
	if err := json.Unmarshal(rows[0], &s); err != nil {
		return Status{}, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}

// connect opens a connection unless one is open.
func (c *Client) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	c.disconnect()
	conn, err := OpenControl(ctx, c.cfg.Address, c.cfg.Dial)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// disconnect closes the connection, if there is one.
func (c *Client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// refusals maps the SQLSTATEs of refused operations to the errors that calls return.
var refusals = map[string]error{
	SQLStateTermTooLow: ErrFenced,
	SQLStateNotFenced:  ErrNotFenced,
	SQLStateTermTaken:  ErrTermTaken,
}

// isRefusal reports whether the instance refused the operation, which leaves the connection usable.
func isRefusal(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && refusals[pgErr.Code] != nil
}

// wrapError adds the instance's name to an error, and to a refusal the error that it stands for.
func (c *Client) wrapError(err error) error {
	if c.ctx.Err() != nil {
		err = ErrClosed
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && refusals[pgErr.Code] != nil {
		return fmt.Errorf("instance %s: %w: %s", c.cfg.Name, refusals[pgErr.Code], pgErr.Message)
	}
	return fmt.Errorf("instance %s: %w", c.cfg.Name, err)
}
