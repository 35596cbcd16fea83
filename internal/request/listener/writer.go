package listener

import (
	"net"
	"slices"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/client/budgeter"
)

const (
	flushThresholdBytes = 16 << 10 // buffered bytes that trigger a write
	maxRetainedBytes    = 32 << 10 // larger buffers are left to the garbage collector and accounted for while they are written
	responseCopies      = 2        // a large message is in memory as the instance sent it and as it is written
)

// bufferPool recycles the write buffers that idle sessions release.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// writer buffers messages to a client. Writes to a client that reads slowly block, so that a response of any size
// needs little memory.
type writer struct {
	conn    net.Conn
	account *budgeter.Account // may be nil
	buf     *[]byte
	err     error // of the last write; the client may have received part of a message, so no other can follow
}

// send buffers a message, and writes the buffer once it reaches flushThresholdBytes.
func (w *writer) send(m pgproto3.BackendMessage) error {
	if w.err != nil {
		return w.err
	}
	if w.buf == nil {
		w.buf = bufferPool.Get().(*[]byte)
	}
	if row, ok := m.(*pgproto3.DataRow); ok {
		if w.err = w.reserveRow(row); w.err != nil {
			return w.err
		}
	}
	b, err := m.Encode(*w.buf)
	if err != nil {
		return err
	}
	*w.buf = b
	if len(b) < flushThresholdBytes {
		return nil
	}
	return w.flush()
}

// reserveRow accounts for a large row before it is copied into the buffer, until the buffer has been written.
func (w *writer) reserveRow(row *pgproto3.DataRow) error {
	size := 0
	for _, v := range row.Values {
		size += len(v)
	}
	if size <= maxRetainedBytes {
		return nil
	}
	if err := w.account.Reserve(budgeter.Answers, int64(responseCopies*size)); err != nil {
		return err
	}
	*w.buf = slices.Grow(*w.buf, size+flushThresholdBytes) // without copies of parts of the row, which growing by append would make
	return nil
}

// flush writes the buffered messages to the client.
func (w *writer) flush() error {
	if w.err != nil || w.buf == nil || len(*w.buf) == 0 {
		return w.err
	}
	w.account.Enter(budgeter.Sending)
	_, w.err = w.conn.Write(*w.buf)
	w.account.Enter(budgeter.Idle)
	w.account.ReleaseAll(budgeter.Answers)
	*w.buf = (*w.buf)[:0]
	if cap(*w.buf) > maxRetainedBytes {
		w.buf = nil
	}
	return w.err
}

// release returns an empty buffer to the pool.
func (w *writer) release() {
	if w.buf == nil || len(*w.buf) > 0 {
		return
	}
	bufferPool.Put(w.buf)
	w.buf = nil
}
