// Package framer reads messages of the PostgreSQL protocol, version 3, with
// little memory.
//
// A pgproto3.Backend holds an 8 KB buffer for as long as it exists, and a VM
// has thousands of idle client connections. A Reader instead takes its buffer
// from a pool and returns it while its client is idle. It also keeps a partly
// read message when a read deadline expires. The message types and their
// decoding come from pgproto3.
package framer

import (
	"encoding/binary"
	"io"
	"slices"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/failure/classifier"
)

const (
	bufferBytes = 8 << 10 // size of a pooled buffer
	headerBytes = 5       // the message type and the length field
	lengthBytes = 4       // the length field, which counts itself and the body
)

var bufferPool = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Reader reads messages from a connection. It must not be copied.
type Reader struct {
	r                 io.Reader
	pooledBuf         *[bufferBytes]byte // the array of buf if it is from bufferPool
	buf               []byte             // nil while the reader has no buffer
	readPos, writePos int                // the unread bytes are buf[readPos:writePos]
	maxBodyBytes      int
	waitBuf           [headerBytes]byte // holds the bytes that Wait reads without a buffer
	account           *budgeter.Account // may be nil
	accountedBytes    int               // size of buf if it is not from bufferPool
}

// NewReader returns a Reader that rejects messages whose body is longer than maxBodyBytes.
func NewReader(r io.Reader, maxBodyBytes int) *Reader {
	return &Reader{r: r, maxBodyBytes: maxBodyBytes}
}

// WithAccount makes the reader account in a for buffers that are larger than those of the pool, and returns the reader.
func (r *Reader) WithAccount(a *budgeter.Account) *Reader {
	r.account = a
	return r
}

// Reset discards the buffered bytes and makes the reader read from src.
func (r *Reader) Reset(src io.Reader) {
	r.readPos, r.writePos = 0, 0
	r.ReleaseBuffer()
	r.r = src
}

// SetMaxBodyBytes sets the maximum length of the body of a message.
func (r *Reader) SetMaxBodyBytes(maxBodyBytes int) { r.maxBodyBytes = maxBodyBytes }

// Buffered returns the number of bytes that were read from the connection but not yet returned by Next.
func (r *Reader) Buffered() int { return r.writePos - r.readPos }

// ReleaseBuffer drops the buffer and returns it to the pool if it is from there. It does nothing while bytes are buffered.
func (r *Reader) ReleaseBuffer() {
	if r.Buffered() > 0 {
		return
	}
	if r.pooledBuf != nil {
		bufferPool.Put(r.pooledBuf)
	}
	r.pooledBuf, r.buf, r.readPos, r.writePos = nil, nil, 0, 0
	r.account.Release(budgeter.Received, int64(r.accountedBytes))
	r.accountedBytes = 0
}

// Wait blocks until at least one byte is buffered. After ReleaseBuffer it takes a buffer only once bytes have arrived.
func (r *Reader) Wait() error {
	if r.buf != nil {
		_, err := r.peek(1)
		return err
	}
	n, err := r.r.Read(r.waitBuf[:])
	if n > 0 {
		if err := r.reserve(n); err != nil {
			return err
		}
		r.writePos = copy(r.buf, r.waitBuf[:n])
		return nil
	}
	return err
}

// Next returns the type and the body of the next message. The body is valid
// until the next call of a method that reads or releases the buffer. If a read
// deadline expires, Next can be called again and continues with the same message.
func (r *Reader) Next() (byte, []byte, error) {
	header, err := r.peek(headerBytes)
	if err != nil {
		return 0, nil, err
	}
	msgType := header[0]
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if length < lengthBytes {
		return 0, nil, classifier.New(classifier.BadMessage, "message of type %q has length %d, the minimum is %d",
			msgType, length, lengthBytes)
	}
	if length-lengthBytes > r.maxBodyBytes {
		return 0, nil, classifier.New(classifier.MessageTooLarge, "message of type %q has a body of %d bytes, the limit is %d",
			msgType, length-lengthBytes, r.maxBodyBytes)
	}
	frame, err := r.peek(1 + length)
	if err != nil {
		return 0, nil, err
	}
	r.readPos += len(frame)
	return msgType, frame[headerBytes:], nil
}

// peek returns the next n bytes without consuming them, and reads from the connection until they are buffered.
func (r *Reader) peek(n int) ([]byte, error) {
	isWaiting := false
	for r.Buffered() < n {
		if err := r.reserve(n); err != nil {
			return nil, err
		}
		if r.Buffered() > 0 && !isWaiting {
			isWaiting = true
			r.account.Enter(budgeter.Receiving)
		}
		m, err := r.r.Read(r.buf[r.writePos:])
		r.writePos += m
		if err != nil && r.Buffered() < n {
			if err == io.EOF && r.Buffered() > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	if isWaiting {
		r.account.Enter(budgeter.Idle)
	}
	return r.buf[r.readPos : r.readPos+n : r.readPos+n], nil
}

// reserve makes room for at least one more byte of the n that the reader needs.
// The buffer grows as bytes arrive and not to the length that a message claims
// to have, so that a client cannot make a VM allocate memory without sending data.
// It fails if there is no memory for it.
func (r *Reader) reserve(n int) error {
	switch {
	case r.buf == nil:
		r.pooledBuf = bufferPool.Get().(*[bufferBytes]byte)
		r.buf, r.readPos, r.writePos = r.pooledBuf[:], 0, 0
	case r.Buffered() == 0 && r.pooledBuf == nil:
		r.ReleaseBuffer()
		return r.reserve(n)
	case r.Buffered() == 0:
		r.readPos, r.writePos = 0, 0
	case r.writePos < len(r.buf) && len(r.buf)-r.readPos >= n:
	case r.readPos > 0:
		r.writePos = copy(r.buf, r.buf[r.readPos:r.writePos])
		r.readPos = 0
	case r.writePos == len(r.buf):
		return r.grow(n)
	}
	return nil
}

// grow moves the unread bytes to a buffer of twice the size, but of at most n bytes.
func (r *Reader) grow(n int) error {
	size := min(n, 2*len(r.buf))
	if err := r.account.Reserve(budgeter.Received, int64(size-r.accountedBytes)); err != nil {
		return err
	}
	r.accountedBytes = size
	grown := make([]byte, size)
	r.writePos = copy(grown, r.buf[r.readPos:r.writePos])
	if r.pooledBuf != nil {
		bufferPool.Put(r.pooledBuf)
	}
	r.pooledBuf, r.buf, r.readPos = nil, grown, 0
	return nil
}

// Decode returns the message with the given type and body. The message stays
// valid when the next one is read: pgproto3 makes Bind, CopyData and
// FunctionCall refer to the body, so Decode gives them a copy of it.
func Decode(msgType byte, body []byte) (pgproto3.FrontendMessage, error) {
	m := newMessage(msgType)
	if m == nil {
		return nil, classifier.New(classifier.BadMessage, "unknown message type %q", msgType)
	}
	if msgType == 'B' || msgType == 'd' || msgType == 'F' {
		body = slices.Clone(body)
	}
	if err := m.Decode(body); err != nil {
		return nil, classifier.Wrap(classifier.BadMessage, err, "decode message of type %q", msgType)
	}
	return m, nil
}

// newMessage returns an empty message of the given type, or nil if the type is unknown.
func newMessage(msgType byte) pgproto3.FrontendMessage {
	switch msgType {
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
