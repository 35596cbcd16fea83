package listener

import (
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	writeBytes = 16 << 10 // buffered before a write
	keptBytes  = 32 << 10 // larger buffers are left to the garbage collector
)

var writePool = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// writer buffers messages to a caller. A caller that reads slowly blocks it,
// so that an answer of any size needs little memory.
type writer struct {
	conn net.Conn
	buf  *[]byte
	err  error // of the last write; a message may be cut, so that nothing can follow it
}

// send buffers a message and writes the buffer when it is full.
func (w *writer) send(m pgproto3.BackendMessage) error {
	if w.err != nil {
		return w.err
	}
	if w.buf == nil {
		w.buf = writePool.Get().(*[]byte)
	}
	b, err := m.Encode(*w.buf)
	if err != nil {
		return err
	}
	*w.buf = b
	if len(b) < writeBytes {
		return nil
	}
	return w.flush()
}

// flush writes the buffered messages.
func (w *writer) flush() error {
	if w.err != nil || w.buf == nil || len(*w.buf) == 0 {
		return w.err
	}
	_, w.err = w.conn.Write(*w.buf)
	*w.buf = (*w.buf)[:0]
	if cap(*w.buf) > keptBytes {
		w.buf = nil
	}
	return w.err
}

// release gives the buffer back to the pool.
func (w *writer) release() {
	if w.buf == nil || len(*w.buf) > 0 {
		return
	}
	writePool.Put(w.buf)
	w.buf = nil
}
