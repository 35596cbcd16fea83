package forwarder

import (
	"io"
	"sync"
)

// body is the request body of a forwarded unit. It keeps the first batch, so
// that the transport can read it again when the other VM refused the stream
// before it processed anything. It never blocks a writer: answers are read by
// the same goroutine, and an instance that waits for its answers to be read
// would otherwise never read the rest of the batch. The listener bounds a batch.
type body struct {
	mu       sync.Mutex
	change   *sync.Cond
	buf      []byte
	isEnded  bool // the unit sends nothing more
	isSealed bool // no reader gets content any more
	reader   *reader
}

// reader is one attempt of the transport to send a body.
type reader struct {
	b        *body
	off      int
	isRead   bool // content may have been sent
	isClosed bool // the transport is finished with the body
}

func newBody() *body {
	b := &body{}
	b.change = sync.NewCond(&b.mu)
	b.reader = &reader{b: b}
	return b
}

// again returns the body for another attempt. The transport asks for it only
// when the other VM has processed nothing of the previous one.
func (b *body) again() (io.ReadCloser, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = &reader{b: b}
	return b.reader, nil
}

// append adds encoded messages.
func (b *body) append(p []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader.isClosed {
		return io.ErrClosedPipe
	}
	if b.reader.off == len(b.buf) {
		b.buf, b.reader.off = b.buf[:0], 0
	}
	b.buf = append(b.buf, p...)
	b.change.Broadcast()
	return nil
}

// end marks the end of the caller's messages.
func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isEnded = true
	b.change.Broadcast()
}

// seal keeps the transport from reading on and reports whether content may
// have been sent. Without it, the transport could send the messages after the
// sender has concluded that nothing was sent, and the unit could run twice.
func (b *body) seal() (wasRead bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isSealed = true
	b.change.Broadcast()
	return b.reader.isRead
}

// Read gives the next bytes to the transport.
func (r *reader) Read(p []byte) (int, error) {
	b := r.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isSealed {
		return 0, io.ErrClosedPipe
	}
	r.isRead = true
	for r.off == len(b.buf) && !b.isEnded && !r.isClosed && !b.isSealed {
		b.change.Wait()
	}
	switch {
	case r.isClosed, b.isSealed:
		return 0, io.ErrClosedPipe
	case r.off == len(b.buf):
		return 0, io.EOF
	}
	n := copy(p, b.buf[r.off:])
	r.off += n
	return n, nil
}

// Close is called by the transport when the stream has ended.
func (r *reader) Close() error {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.isClosed = true
	r.b.change.Broadcast()
	return nil
}
