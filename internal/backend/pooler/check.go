package pooler

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// isUsable reports whether an idle connection still works. Peeking at the socket detects a
// closed connection. Only a round trip detects an instance that no longer answers. Because it
// delays the request, it is made only after Config.CheckAfter of idle time, or when the socket
// is closed or has unexpected data.
func (c *Conn) isUsable(ctx context.Context) bool {
	if time.Since(c.lastUsedAt) < c.pool.cfg.CheckAfter && peek(c.raw) == peekEmpty {
		return true
	}
	return c.check(ctx) == nil
}

// check makes a round trip by a Sync message, which executes nothing.
func (c *Conn) check(ctx context.Context) error {
	deadline := time.Now().Add(c.pool.cfg.DialTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	c.SetDeadline(deadline)
	c.frontend.Send(&pgproto3.Sync{})
	if err := c.frontend.Flush(); err != nil {
		return err
	}
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			return fmt.Errorf("instance %s ended an idle connection: %s", c.instance.Name, m.Message)
		case *pgproto3.ReadyForQuery:
			return c.finishCheck(m.TxStatus)
		}
	}
}

// finishCheck verifies the transaction status that the round trip returned, and clears the deadline.
func (c *Conn) finishCheck(status byte) error {
	if status != 'I' {
		return fmt.Errorf("idle connection to %s has transaction status %q, want 'I'", c.instance.Name, status)
	}
	c.lastUsedAt = time.Now()
	c.SetDeadline(time.Time{})
	return nil
}

// peekResult is the state of a socket.
type peekResult int

const (
	peekEmpty  peekResult = iota // open, no data to read
	peekData                     // data to read
	peekClosed                   // closed by the peer, or failed
)

// rawConn returns the socket of a network connection, through TLS if necessary. It returns nil when there is none.
func rawConn(n net.Conn) syscall.RawConn {
	if t, ok := n.(*tls.Conn); ok {
		n = t.NetConn()
	}
	s, ok := n.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// peek returns the state of a socket without consuming data. A connection without a
// socket counts as open and without data. RawConn.Read would wait for another reader:
// pgconn starts one when a write of the handshake is slow, and that reads until data arrive.
func peek(raw syscall.RawConn) peekResult {
	if raw == nil {
		return peekEmpty
	}
	result := peekClosed
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		k, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			result = peekEmpty
		case k > 0:
			result = peekData
		}
	})
	if err != nil {
		return peekClosed
	}
	return result
}
