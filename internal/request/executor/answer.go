package executor

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/request/exchanger"
)

// answer keeps encoded messages that the caller may not see yet.
type answer struct {
	buf []byte
	src bytes.Reader
	dec *pgproto3.Frontend
}

func (a *answer) reset() {
	if cap(a.buf) > keptBytes {
		a.buf = nil
	}
	a.buf = a.buf[:0]
}

func (a *answer) add(m pgproto3.BackendMessage) error {
	buf, err := m.Encode(a.buf)
	if err != nil {
		return fmt.Errorf("keep %T: %w", m, err)
	}
	a.buf = buf
	return nil
}

// pass sends the kept messages to the caller.
func (a *answer) pass(s exchanger.Stream) error {
	err := a.decode(a.buf, s)
	a.reset()
	return err
}

// decode sends encoded messages to the caller.
func (a *answer) decode(b []byte, s exchanger.Stream) error {
	if a.dec == nil {
		a.dec = pgproto3.NewFrontend(&a.src, nil)
	}
	a.src.Reset(b)
	for a.src.Len() > 0 || a.dec.ReadBufferLen() > 0 {
		m, err := a.dec.Receive()
		if err == nil {
			err = s.Send(m)
		}
		if err != nil {
			a.dec = nil // it may hold a part of a message
			return err
		}
	}
	return nil
}
