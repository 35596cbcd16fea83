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
	// DefaultMessageBytes bounds one message of a forwarded unit. It leaves room above the limit of the
	// listener, whose messages grow by a few bytes on the way.
	DefaultMessageBytes = 32 << 20
	// answerBytes is buffered before a write to the other VM.
	answerBytes = 16 << 10
)

// Handler runs the units that other VMs forward.
type Handler struct {
	runner       exchanger.Runner
	messageBytes int
}

// NewHandler returns a handler of Path that runs units on r. Zero messageBytes means DefaultMessageBytes.
func NewHandler(r exchanger.Runner, messageBytes int) *Handler {
	if messageBytes <= 0 {
		messageBytes = DefaultMessageBytes
	}
	return &Handler{runner: r, messageBytes: messageBytes}
}

// ServeHTTP runs one unit.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.ProtoMajor < 2 {
		http.Error(w, "want an HTTP/2 POST", http.StatusMethodNotAllowed)
		return
	}
	req, err := decodeRequest(r)
	header := w.Header()
	header[idHeader] = []string{req.ID}
	header["Trailer"] = []string{endTrailer}
	header["Content-Type"] = []string{contentType}
	header["Date"] = nil // a header less for each unit
	var res exchanger.Result
	if err == nil {
		res, err = h.run(w, r, req)
	}
	text, encodeErr := encodeHeader(newEnd(req.ID, res, err))
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	header[endTrailer] = []string{text}
}

func decodeRequest(r *http.Request) (exchanger.Request, error) {
	var req exchanger.Request
	if err := json.Unmarshal([]byte(r.Header.Get(requestHeader)), &req); err != nil {
		return req, classifier.Wrap(classifier.BadMessage, err, "header %s", requestHeader)
	}
	return req, req.Check()
}

// run runs the unit on the local Runner and passes on what it has sent.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, req exchanger.Request) (exchanger.Result, error) {
	ctx, cancel := context.WithTimeout(r.Context(), req.Timeout)
	defer cancel()
	s := streams.Get().(*stream)
	s.begin(w, r.Body, h.messageBytes)
	defer s.release()
	res, err := h.runner.Run(ctx, req, s)
	if writeErr := s.write(); err == nil {
		err = writeErr
	}
	return res, err
}

var streams = sync.Pool{New: func() any { return &stream{in: framer.NewReader(nil, 0)} }}

// stream is the exchanger.Stream of a unit that another VM forwards.
type stream struct {
	w      http.ResponseWriter
	in     *framer.Reader
	buf    []byte
	isDone bool // the last ReadyForQuery is buffered
}

func (s *stream) begin(w http.ResponseWriter, r io.Reader, messageBytes int) {
	s.w, s.isDone = w, false
	s.in.Reset(r)
	s.in.SetLimit(messageBytes)
}

// release gives the buffers back. A large one is left to the garbage collector.
func (s *stream) release() {
	s.in.Reset(nil)
	s.w, s.buf = nil, s.buf[:0]
	if cap(s.buf) <= 4*answerBytes {
		streams.Put(s)
	}
}

// Receive returns the next message of the caller, or io.EOF when the other VM has ended or lost the stream.
func (s *stream) Receive() (pgproto3.FrontendMessage, error) {
	kind, body, err := s.in.Next()
	switch {
	case err == nil:
		return framer.Decode(kind, body)
	case classifier.Is(err, classifier.BadMessage), classifier.Is(err, classifier.MessageTooLarge):
		return nil, err
	}
	return nil, io.EOF
}

// Send buffers a message to the caller.
func (s *stream) Send(m pgproto3.BackendMessage) error {
	b, err := m.Encode(s.buf)
	if err != nil {
		return err
	}
	s.buf = b
	if r, ok := m.(*pgproto3.ReadyForQuery); ok {
		s.isDone = r.TxStatus == statusIdle
	}
	if len(b) < answerBytes {
		return nil
	}
	return s.write()
}

// Flush sends the buffered messages. The last ones of a unit go out together with the trailer.
func (s *stream) Flush() error {
	if s.isDone {
		return nil
	}
	if err := s.write(); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *stream) write() error {
	if len(s.buf) == 0 {
		return nil
	}
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	return err
}
