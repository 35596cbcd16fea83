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

// isUsable reports whether an idle connection still works. A look at the
// socket finds a closed one. A round trip finds a silent one; it is only made
// after some idle time, because it costs a request one network delay.
func (c *Conn) isUsable(ctx context.Context) bool {
	if time.Since(c.usedAt) < c.pool.cfg.CheckAfter && peek(c.raw) == peekQuiet {
		return true
	}
	return c.check(ctx) == nil
}

// check makes a round trip that runs nothing.
func (c *Conn) check(ctx context.Context) error {
	limit := time.Now().Add(c.pool.cfg.DialTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		limit = d
	}
	c.SetDeadline(limit)
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
			return fmt.Errorf("idle connection to %s ended: %s", c.instance.Name, m.Message)
		case *pgproto3.ReadyForQuery:
			return c.checked(m.TxStatus)
		}
	}
}

func (c *Conn) checked(status byte) error {
	if status != 'I' {
		return fmt.Errorf("idle connection to %s is in transaction status %q", c.instance.Name, status)
	}
	c.usedAt = time.Now()
	c.SetDeadline(time.Time{})
	return nil
}

type peekResult int

const (
	peekQuiet  peekResult = iota // open, nothing to read
	peekData                     // something to read
	peekClosed                   // closed by the peer
)

// rawConn returns the socket below a connection, or nil when it has none.
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

// peek looks at a socket without reading from it. A connection without one counts as quiet.
func peek(raw syscall.RawConn) peekResult {
	if raw == nil {
		return peekQuiet
	}
	result := peekClosed
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		k, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			result = peekQuiet
		case k > 0:
			result = peekData
		}
		return true
	})
	if err != nil {
		return peekClosed
	}
	return result
}
