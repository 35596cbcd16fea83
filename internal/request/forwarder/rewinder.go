package forwarder

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/request/exchanger"
)

// Rewinder is a Stream that can give the caller's messages once more. A unit
// that was not sent to one VM can so be given to the next. It keeps messages
// until the first answer, so it only fits streams whose messages stay valid,
// as those of the listener and of the Handler do.
type Rewinder struct {
	exchanger.Stream
	messages []pgproto3.FrontendMessage
	next     int
	isFixed  bool // an answer was sent
}

// NewRewinder returns a Rewinder over s.
func NewRewinder(s exchanger.Stream) *Rewinder { return &Rewinder{Stream: s} }

// Receive returns the next message.
func (r *Rewinder) Receive() (pgproto3.FrontendMessage, error) {
	if r.next < len(r.messages) {
		r.next++
		return r.messages[r.next-1], nil
	}
	m, err := r.Stream.Receive()
	if err == nil && !r.isFixed {
		r.messages = append(r.messages, m)
		r.next++
	}
	return m, err
}

// Send buffers a message to the caller.
func (r *Rewinder) Send(m pgproto3.BackendMessage) error {
	if !r.isFixed {
		r.isFixed = true
		r.messages = r.messages[r.next:]
		r.next = 0
	}
	return r.Stream.Send(m)
}

// Rewind makes Receive start again with the first message. It reports false once an answer was sent.
func (r *Rewinder) Rewind() bool {
	if r.isFixed {
		return false
	}
	r.next = 0
	return true
}
