package forwarder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/framer"
)

const (
	// DefaultMaxMessageBytes is the default limit for the body of one message of a forwarded unit. It is above the
	// default limit of the listener, because messages grow by a few bytes between the listener and the Handler.
	DefaultMaxMessageBytes = 32 << 20
	// sendBufferBytes is the number of buffered bytes at which Send writes to the other VM without waiting for Flush.
	sendBufferBytes = 16 << 10
)

// Handler runs the units of work that other VMs forward to this VM.
type Handler struct {
	runner          exchanger.Runner
	maxMessageBytes int
}

// NewHandler returns a Handler, to be registered at Path, that runs units on r. It rejects messages whose body is longer
// than maxMessageBytes; zero means DefaultMaxMessageBytes.
func NewHandler(r exchanger.Runner, maxMessageBytes int) *Handler {
	if maxMessageBytes <= 0 {
		maxMessageBytes = DefaultMaxMessageBytes
	}
	return &Handler{runner: r, maxMessageBytes: maxMessageBytes}
}

// ServeHTTP runs one unit and reports its result or its error in the response trailer.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.ProtoMajor < 2 {
		http.Error(w, "units are accepted only by POST over HTTP/2", http.StatusMethodNotAllowed)
		return
	}
	req, err := decodeRequest(r)
	header := w.Header()
	header[requestIDHeader] = []string{req.ID}
	header["Trailer"] = []string{resultTrailer}
	header["Content-Type"] = []string{contentType}
	header["Date"] = nil // omits one header field from every response
	var res exchanger.Result
	if err == nil {
		res, err = h.run(w, r, req)
	}
	encodedTrailer, encodeErr := encodeHeader(newTrailer(req.ID, res, err))
	if encodeErr != nil {
		panic(http.ErrAbortHandler) // resets the stream, so that the sender sees a failure
	}
	header[resultTrailer] = []string{encodedTrailer}
}

// decodeRequest decodes and checks the exchanger.Request in the header of r.
func decodeRequest(r *http.Request) (exchanger.Request, error) {
	var req exchanger.Request
	if err := json.Unmarshal([]byte(r.Header.Get(requestHeader)), &req); err != nil {
		return req, classifier.Wrap(classifier.BadMessage, err, "decode header field %s", requestHeader)
	}
	return req, req.Validate()
}

// run runs the unit on the local Runner and writes its remaining messages to the response.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, req exchanger.Request) (exchanger.Result, error) {
	ctx, cancel := context.WithTimeout(r.Context(), req.Timeout)
	defer cancel()
	s := serverStreams.Get().(*serverStream)
	s.reset(w, r.Body, h.maxMessageBytes)
	defer s.release()
	res, err := h.runner.Run(ctx, req, s)
	if writeErr := s.write(); err == nil {
		err = writeErr
	}
	return res, err
}

var serverStreams = sync.Pool{New: func() any { return &serverStream{in: framer.NewReader(nil, 0)} }}

// serverStream is the exchanger.Stream of a unit that another VM forwards to this VM.
type serverStream struct {
	w           http.ResponseWriter
	in          *framer.Reader
	buf         []byte // encoded messages that are not yet written to w
	isUnitEnded bool   // the ReadyForQuery that ends the unit is buffered or written
}

// reset prepares a pooled stream for the next unit.
func (s *serverStream) reset(w http.ResponseWriter, r io.Reader, maxMessageBytes int) {
	s.w, s.isUnitEnded = w, false
	s.in.Reset(r)
	s.in.SetMaxBodyBytes(maxMessageBytes)
}

// release returns the stream to the pool, unless large messages have grown its send buffer beyond four times
// sendBufferBytes. The garbage collector then frees the buffer.
func (s *serverStream) release() {
	s.in.Reset(nil)
	s.w, s.buf = nil, s.buf[:0]
	if cap(s.buf) <= 4*sendBufferBytes {
		serverStreams.Put(s)
	}
}

// Receive returns the next message of the database client, or io.EOF after the other VM has ended the stream or the
// stream has failed.
func (s *serverStream) Receive() (pgproto3.FrontendMessage, error) {
	msgType, body, err := s.in.Next()
	switch {
	case err == nil:
		return framer.Decode(msgType, body)
	case classifier.Is(err, classifier.BadMessage), classifier.Is(err, classifier.MessageTooLarge):
		return nil, err
	}
	return nil, io.EOF
}

// Send buffers a message to the database client and writes the buffer once it has reached sendBufferBytes.
func (s *serverStream) Send(m pgproto3.BackendMessage) error {
	b, err := m.Encode(s.buf)
	if err != nil {
		return err
	}
	s.buf = b
	if r, ok := m.(*pgproto3.ReadyForQuery); ok {
		s.isUnitEnded = r.TxStatus == txIdle
	}
	if len(b) < sendBufferBytes {
		return nil
	}
	return s.write()
}

// Flush sends the buffered messages to the other VM. After the end of the unit it does nothing, because the last
// messages are sent together with the trailer.
func (s *serverStream) Flush() error {
	if s.isUnitEnded {
		return nil
	}
	if err := s.write(); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// write moves the buffered messages to the response writer, which has a buffer of its own.
func (s *serverStream) write() error {
	if len(s.buf) == 0 {
		return nil
	}
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	return err
}
