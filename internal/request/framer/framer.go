// Package framer reads protocol 3 messages with little memory.
//
// pgproto3.Backend keeps an 8 KB buffer for as long as it exists, and a VM
// holds thousands of idle callers. A Reader takes its buffer from a pool, gives
// it back while its caller is idle, and keeps a partly read message across a
// read deadline. The messages themselves are pgproto3's.
package framer

import (
	"encoding/binary"
	"io"
	"slices"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
)

const (
	bufferBytes = 8 << 10
	headerBytes = 5
	lengthBytes = 4
)

var pool = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Reader reads messages from a connection. It must not be copied.
type Reader struct {
	r       io.Reader
	pooled  *[bufferBytes]byte // the buffer when it is of the usual size
	buf     []byte
	rp, wp  int
	maxBody int
	first   [headerBytes]byte // receives the start of a message while there is no buffer
}

// NewReader returns a reader that refuses messages whose body is longer than maxBody bytes.
func NewReader(r io.Reader, maxBody int) *Reader { return &Reader{r: r, maxBody: maxBody} }

// Reset makes the reader read from r and forget what it has buffered.
func (r *Reader) Reset(src io.Reader) {
	r.rp, r.wp = 0, 0
	r.Release()
	r.r = src
}

// SetLimit changes the limit of a message's body.
func (r *Reader) SetLimit(maxBody int) { r.maxBody = maxBody }

// Buffered returns the number of bytes that are read but not yet returned.
func (r *Reader) Buffered() int { return r.wp - r.rp }

// Release gives the buffer back to the pool. It does nothing while bytes are buffered.
func (r *Reader) Release() {
	if r.Buffered() > 0 {
		return
	}
	if r.pooled != nil {
		pool.Put(r.pooled)
	}
	r.pooled, r.buf, r.rp, r.wp = nil, nil, 0, 0
}

// Wait blocks until bytes arrive, without a buffer when it was released.
func (r *Reader) Wait() error {
	if r.buf != nil {
		_, err := r.peek(1)
		return err
	}
	n, err := r.r.Read(r.first[:])
	if n > 0 {
		r.reserve(n)
		r.wp = copy(r.buf, r.first[:n])
		return nil
	}
	return err
}

// Next returns the type and the body of the next message. The body is valid
// until the next call. After an expired read deadline, Next can be called again.
func (r *Reader) Next() (byte, []byte, error) {
	header, err := r.peek(headerBytes)
	if err != nil {
		return 0, nil, err
	}
	kind := header[0]
	size := int(int32(binary.BigEndian.Uint32(header[1:])))
	if size < lengthBytes {
		return 0, nil, classifier.New(classifier.BadMessage, "message %q has length %d", kind, size)
	}
	if size-lengthBytes > r.maxBody {
		return 0, nil, classifier.New(classifier.MessageTooLarge, "message %q has %d bytes, the limit is %d",
			kind, size-lengthBytes, r.maxBody)
	}
	frame, err := r.peek(1 + size)
	if err != nil {
		return 0, nil, err
	}
	r.rp += len(frame)
	return kind, frame[headerBytes:], nil
}

// peek returns the next n bytes without consuming them.
func (r *Reader) peek(n int) ([]byte, error) {
	for r.Buffered() < n {
		r.reserve(n)
		m, err := r.r.Read(r.buf[r.wp:])
		r.wp += m
		if err != nil && r.Buffered() < n {
			if err == io.EOF && r.Buffered() > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return r.buf[r.rp : r.rp+n : r.rp+n], nil
}

// reserve makes room for at least one more byte of the n that are wanted. The
// buffer grows with the bytes that arrive, not with the length that a caller claims.
func (r *Reader) reserve(n int) {
	switch {
	case r.buf == nil:
		r.pooled = pool.Get().(*[bufferBytes]byte)
		r.buf, r.rp, r.wp = r.pooled[:], 0, 0
	case r.Buffered() == 0 && r.pooled == nil:
		r.Release()
		r.reserve(n)
	case r.Buffered() == 0:
		r.rp, r.wp = 0, 0
	case r.wp < len(r.buf) && len(r.buf)-r.rp >= n:
	case r.rp > 0:
		r.wp = copy(r.buf, r.buf[r.rp:r.wp])
		r.rp = 0
	case r.wp == len(r.buf):
		r.grow(n)
	}
}

func (r *Reader) grow(n int) {
	bigger := make([]byte, min(n, 2*len(r.buf)))
	r.wp = copy(bigger, r.buf[r.rp:r.wp])
	if r.pooled != nil {
		pool.Put(r.pooled)
	}
	r.pooled, r.buf, r.rp = nil, bigger, 0
}

// Decode returns the message of a type. A Bind keeps its own copy of the
// body, so that a message stays valid when the next one is read.
func Decode(kind byte, body []byte) (pgproto3.FrontendMessage, error) {
	m := newMessage(kind)
	if m == nil {
		return nil, classifier.New(classifier.BadMessage, "unknown message type %q", kind)
	}
	if kind == 'B' || kind == 'd' || kind == 'F' {
		body = slices.Clone(body)
	}
	if err := m.Decode(body); err != nil {
		return nil, classifier.Wrap(classifier.BadMessage, err, "message %q", kind)
	}
	return m, nil
}

func newMessage(kind byte) pgproto3.FrontendMessage {
	switch kind {
	case 'B':
		return &pgproto3.Bind{}
	case 'C':
		return &pgproto3.Close{}
	case 'D':
		return &pgproto3.Describe{}
	case 'E':
		return &pgproto3.Execute{}
	case 'F':
		return &pgproto3.FunctionCall{}
	case 'H':
		return &pgproto3.Flush{}
	case 'P':
		return &pgproto3.Parse{}
	case 'Q':
		return &pgproto3.Query{}
	case 'S':
		return &pgproto3.Sync{}
	case 'X':
		return &pgproto3.Terminate{}
	case 'c':
		return &pgproto3.CopyDone{}
	case 'd':
		return &pgproto3.CopyData{}
	case 'f':
		return &pgproto3.CopyFail{}
	case 'p':
		return &pgproto3.PasswordMessage{}
	}
	return nil
}
