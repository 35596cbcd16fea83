package pooler

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/sheet/parser"
)

// Conn is one connection to an instance. It belongs to one request at a time,
// which ends with exactly one call of Release or Discard.
type Conn struct {
	pool     *Pool
	line     *line
	instance parser.Instance
	net      net.Conn
	raw      syscall.RawConn // nil: no socket
	frontend *pgproto3.Frontend
	hijacked *pgconn.HijackedConn
	usedAt   time.Time // last time the instance answered on it
}

// Instance returns the instance that the connection leads to.
func (c *Conn) Instance() parser.Instance { return c.instance }

// Frontend returns the protocol state of the connection.
func (c *Conn) Frontend() *pgproto3.Frontend { return c.frontend }

// Write sends encoded messages.
func (c *Conn) Write(b []byte) (int, error) { return c.net.Write(b) }

// SetDeadline bounds all reads and writes.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Release returns the connection to the pool. The caller must know that it is
// idle and outside a transaction: the last message was ReadyForQuery with status 'I'.
func (c *Conn) Release() {
	_ = c.net.SetDeadline(time.Time{})
	c.usedAt = time.Now()
	c.pool.putIdle(c)
}

// Abort closes the network connection from any goroutine. The request still ends with Discard.
func (c *Conn) Abort() { c.close() }

// Discard closes the connection. The instance rolls its transaction back.
func (c *Conn) Discard() {
	c.close()
	c.pool.mu.Lock()
	c.line.stats.Discarded++
	c.pool.mu.Unlock()
	c.pool.closedOne(c.line)
}

// discardSilent closes a connection that failed its check, and the other idle
// ones with it: they most likely share its fault, and each would cost a request
// the time of a check.
func (c *Conn) discardSilent() {
	c.pool.mu.Lock()
	c.line.closeIdle(0)
	c.pool.mu.Unlock()
	c.Discard()
}

// Cancel asks the instance, on a connection of its own, to cancel the
// statement that runs on c, and discards c. It does not wait for the answer.
func (c *Conn) Cancel() {
	p := c.pool
	p.mu.Lock()
	if !p.closed {
		p.wg.Go(c.sendCancel)
	}
	p.mu.Unlock()
	c.Discard()
}

func (c *Conn) sendCancel() {
	ctx, cancel := context.WithTimeout(context.Background(), c.pool.cfg.DialTimeout)
	defer cancel()
	// A PgConn made of the hijacked parts serves only as the sender of the cancel request.
	pc, err := pgconn.Construct(c.hijacked)
	if err == nil {
		_ = pc.CancelRequest(ctx)
	}
}

func (c *Conn) close() { _ = c.net.Close() }
