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

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = time.Second

// Config holds the settings of a client.
type Config struct {
	Name    string        // of the instance, for errors
	Address string        // host:port
	Timeout time.Duration // bounds calls whose context has no earlier deadline; 0 means one second
	Dial    dialer.Func   // nil: from any local address
}

// Client is an Instance reached over one kept control connection. Calls run
// one after the other. A call that fails or times out closes the connection,
// because a later answer on it would belong to the failed call; the next call opens a new one.
type Client struct {
	cfg    Config
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	turn   chan struct{} // holds a token while no call runs
	conn   *ControlConn
}

var _ Instance = (*Client)(nil)

// ErrClosed is the error of calls on a closed client.
var ErrClosed = errors.New("client of the instance is closed")

// Dial returns a client. It connects with the first call.
func Dial(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Name == "" {
		cfg.Name = cfg.Address
	}
	c := &Client{cfg: cfg, turn: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.turn <- struct{}{}
	return c
}

// Status returns the instance's state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return c.call(ctx, "SELECT group_status()")
}

// Fence raises the fence term.
func (c *Client) Fence(ctx context.Context, term uint64) (Status, error) {
	return c.call(ctx, fmt.Sprintf("SELECT group_fence(%d)", term))
}

// Promote makes the instance primary of term.
func (c *Client) Promote(ctx context.Context, term uint64) (Status, error) {
	return c.call(ctx, fmt.Sprintf("SELECT group_promote(%d)", term))
}

// Follow makes the instance a replica of upstream at term.
func (c *Client) Follow(ctx context.Context, term uint64, upstream string) (Status, error) {
	if strings.ContainsAny(upstream, "'\\") {
		return Status{}, fmt.Errorf("follow: invalid address %q", upstream)
	}
	return c.call(ctx, fmt.Sprintf("SELECT group_follow(%d,'%s')", term, upstream))
}

// Close ends the running call, closes the connection and waits for both.
func (c *Client) Close() error {
	c.cancel()
	<-c.turn
	defer func() { c.turn <- struct{}{} }()
	c.drop()
	return nil
}

// call runs one operation and decodes its status.
func (c *Client) call(ctx context.Context, query string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	select {
	case <-c.turn:
	case <-ctx.Done():
		return Status{}, c.failure(ctx.Err())
	}
	defer func() { c.turn <- struct{}{} }()
	s, err := c.callNow(ctx, query)
	if err == nil {
		return s, nil
	}
	if !isRefusal(err) {
		c.drop()
	}
	return Status{}, c.failure(err)
}

func (c *Client) callNow(ctx context.Context, query string) (Status, error) {
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
		return Status{}, fmt.Errorf("answer has %d rows", len(rows))
	}
	var s Status
	if err := json.Unmarshal(rows[0], &s); err != nil {
		return Status{}, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}

func (c *Client) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	c.drop()
	conn, err := OpenControl(ctx, c.cfg.Address, c.cfg.Dial)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// drop closes the connection, if there is one.
func (c *Client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// refusals maps the SQLSTATEs of refused operations to their errors.
var refusals = map[string]error{
	StateTermTooLow: ErrFenced,
	StateNotFenced:  ErrNotFenced,
	StateTermTaken:  ErrTermTaken,
}

// isRefusal reports whether the instance answered and the connection can be kept.
func isRefusal(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && refusals[p.Code] != nil
}

// failure adds the instance and the kind of refusal to an error.
func (c *Client) failure(err error) error {
	if c.ctx.Err() != nil {
		err = ErrClosed
	}
	var p *pgconn.PgError
	if errors.As(err, &p) && refusals[p.Code] != nil {
		return fmt.Errorf("instance %s: %w: %s", c.cfg.Name, refusals[p.Code], p.Message)
	}
	return fmt.Errorf("instance %s: %w", c.cfg.Name, err)
}
