package forwarder

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/request/exchanger"
)

// Rewinder is a Stream that can return the messages of the database client
// again, so that a unit that did not run on one VM can be run on the next. It
// retains the received messages until the first message is sent to the client.
// The underlying stream must therefore return messages that stay valid after
// later calls of Receive, as the streams of the listener and of Handler do.
type Rewinder struct {
	exchanger.Stream
	messages        []pgproto3.FrontendMessage
	next            int  // index in messages of the next message to return
	responseStarted bool // a message was sent to the database client
}

// NewRewinder returns a Rewinder that reads from and writes to s.
func NewRewinder(s exchanger.Stream) *Rewinder { return &Rewinder{Stream: s} }

// Receive returns the next retained message, or else the next message of the underlying stream.
func (r *Rewinder) Receive() (pgproto3.FrontendMessage, error) {
	if r.next < len(r.messages) {
		r.next++
		return r.messages[r.next-1], nil
	}
	m, err := r.Stream.Receive()
	if err == nil && !r.responseStarted {
		r.messages = append(r.messages, m)
		r.next++
	}
	return m, err
}

// Send buffers a message to the database client and stops retaining messages.
func (r *Rewinder) Send(m pgproto3.BackendMessage) error {
	if !r.responseStarted {
		r.responseStarted = true
		r.messages = r.messages[r.next:]
		r.next = 0
	}
	return r.Stream.Send(m)
}

// Rewind makes Receive start again with the first message. It does nothing and
// returns false after a message was sent to the database client.
func (r *Rewinder) Rewind() bool {
	if r.responseStarted {
		return false
	}
	r.next = 0
	return true
}
