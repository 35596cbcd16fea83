package forwarder

import (
	"io"
	"sync"
)

// requestBody is the request body of a forwarded unit. It retains the first
// batch until the next one is appended, so that the transport can send it again
// if the other VM refused the stream before it processed any part of it.
//
// Appending never blocks. The goroutine that appends also reads the response,
// and a backend server that waits for its response to be read does not read the
// rest of the batch, so a blocked append would be a deadlock. The buffer has no
// limit of its own, because the listener limits the size of a batch.
type requestBody struct {
	mu            sync.Mutex
	changed       *sync.Cond
	buf           []byte
	isWriteClosed bool // no more messages will be appended
	isAborted     bool // every further read fails
	reader        *bodyReader
}

// bodyReader reads a requestBody for one attempt of the transport to send it.
type bodyReader struct {
	body      *requestBody
	off       int
	maybeSent bool // the transport has called Read, so that content may have been sent
	isClosed  bool // the transport has called Close
}

func newRequestBody() *requestBody {
	b := &requestBody{}
	b.changed = sync.NewCond(&b.mu)
	b.reader = &bodyReader{body: b}
	return b
}

// reopen returns a reader for another attempt to send the body. The transport
// calls it only if the other VM processed nothing of the previous attempt.
func (b *requestBody) reopen() (io.ReadCloser, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = &bodyReader{body: b}
	return b.reader, nil
}

// append adds encoded messages to the body. It returns io.ErrClosedPipe after the transport has closed the body.
func (b *requestBody) append(p []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader.isClosed {
		return io.ErrClosedPipe
	}
	if b.reader.off == len(b.buf) {
		b.buf, b.reader.off = b.buf[:0], 0
	}
	b.buf = append(b.buf, p...)
	b.changed.Broadcast()
	return nil
}

// closeWrite marks the end of the body. Readers get io.EOF after the content appended so far.
func (b *requestBody) closeWrite() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isWriteClosed = true
	b.changed.Broadcast()
}

// abort makes all further reads fail and reports whether content may have been
// sent. Without it, the transport could send the messages after the sender has
// concluded that nothing was sent, and the unit could run twice.
func (b *requestBody) abort() (maybeSent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isAborted = true
	b.changed.Broadcast()
	return b.reader.maybeSent
}

// Read returns the next bytes of the body. It blocks until there are some, or until the body ends, is aborted or is
// closed.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isAborted {
		return 0, io.ErrClosedPipe
	}
	r.maybeSent = true
	for r.off == len(b.buf) && !b.isWriteClosed && !r.isClosed && !b.isAborted {
		b.changed.Wait()
	}
	switch {
	case r.isClosed, b.isAborted:
		return 0, io.ErrClosedPipe
	case r.off == len(b.buf):
		return 0, io.EOF
	}
	n := copy(p, b.buf[r.off:])
	r.off += n
	return n, nil
}

// Close makes pending and further reads fail. The transport calls it when the stream has ended.
func (r *bodyReader) Close() error {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	r.isClosed = true
	r.body.changed.Broadcast()
	return nil
}
