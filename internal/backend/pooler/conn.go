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

// Conn is a connection to an instance. One request uses it at a time, and ends this use by
// exactly one call of Release, Discard or Cancel.
type Conn struct {
	pool       *Pool
	ipool      *instancePool
	instance   parser.Instance
	netConn    net.Conn
	raw        syscall.RawConn // socket of netConn; nil if it has none
	frontend   *pgproto3.Frontend
	hijacked   *pgconn.HijackedConn
	lastUsedAt time.Time // latest release or successful check
}

// Instance returns the instance that the connection leads to.
func (c *Conn) Instance() parser.Instance { return c.instance }

// Frontend returns the encoder and decoder of the connection's protocol messages.
func (c *Conn) Frontend() *pgproto3.Frontend { return c.frontend }

// Write sends messages that are already encoded.
func (c *Conn) Write(b []byte) (int, error) { return c.netConn.Write(b) }

// SetDeadline sets the deadline of all reads and writes.
func (c *Conn) SetDeadline(t time.Time) { _ = c.netConn.SetDeadline(t) }

// Release returns the connection to the pool. The connection must be idle and outside a
// transaction: the last message received was ReadyForQuery with status 'I'.
func (c *Conn) Release() {
	_ = c.netConn.SetDeadline(time.Time{})
	c.lastUsedAt = time.Now()
	c.pool.put(c)
}

// Abort closes the network connection. Unlike the other methods, it may be called from any
// goroutine. The request must still call Discard.
func (c *Conn) Abort() { c.close() }

// Discard closes the connection. The instance rolls back its open transaction, if any.
func (c *Conn) Discard() {
	c.close()
	c.pool.mu.Lock()
	c.ipool.stats.Discarded++
	c.pool.mu.Unlock()
	c.pool.recordClosed(c.ipool)
}

// discardWithIdle closes a connection that failed its check, and all idle connections to
// the same instance: they most likely have the same fault, and each would delay a
// request by the time of a failed check.
func (c *Conn) discardWithIdle() {
	c.pool.mu.Lock()
	c.ipool.trimIdle(0)
	c.pool.mu.Unlock()
	c.Discard()
}

// Cancel sends the instance a cancel request for the statement that runs on c, in the
// background and on a separate connection, and discards c.
func (c *Conn) Cancel() {
	p := c.pool
	p.mu.Lock()
	if !p.closed {
		p.wg.Go(c.sendCancel)
	}
	p.mu.Unlock()
	c.Discard()
}

// sendCancel sends the cancel request. A failure is ignored, because the connection is discarded in any case.
func (c *Conn) sendCancel() {
	ctx, cancel := context.WithTimeout(context.Background(), c.pool.cfg.DialTimeout)
	defer cancel()
	// The PgConn is constructed from the hijacked connection only to send the cancel request.
	pc, err := pgconn.Construct(c.hijacked)
	if err == nil {
		_ = pc.CancelRequest(ctx)
	}
}

func (c *Conn) close() { _ = c.netConn.Close() }
