package dispatcher

import (
	"bytes"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/request/exchanger"
)

// maxRecordedBytes bounds the copy of a unit's messages; a longer unit is not repeated.
const maxRecordedBytes = 256 << 10

// recorder is a Stream that keeps the caller's messages, so that a unit can be
// sent again to another gateway as long as nothing of an answer was passed on.
type recorder struct {
	exchanger.Stream

	mu       sync.Mutex // Receive and Send may run at the same time
	buf      []byte
	overflow bool
	passedOn bool
	replay   *pgproto3.Backend
}

func newRecorder(s exchanger.Stream) *recorder { return &recorder{Stream: s} }

// Receive returns a recorded message while replaying, otherwise the caller's next one.
func (r *recorder) Receive() (pgproto3.FrontendMessage, error) {
	if m := r.replayed(); m != nil {
		return m, nil
	}
	m, err := r.Stream.Receive()
	if err != nil {
		return nil, err
	}
	return m, r.record(m)
}

func (r *recorder) replayed() pgproto3.FrontendMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replay == nil {
		return nil
	}
	m, err := r.replay.Receive()
	if err != nil { // the recorded messages are used up
		r.replay = nil
		return nil
	}
	return m
}

func (r *recorder) record(m pgproto3.FrontendMessage) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.overflow || r.passedOn {
		return nil
	}
	buf, err := m.Encode(r.buf)
	if err != nil {
		return err
	}
	if len(buf) > maxRecordedBytes {
		r.overflow, r.buf = true, nil
		return nil
	}
	r.buf = buf
	return nil
}

// Send passes a message on; from then on the unit is not repeated.
func (r *recorder) Send(m pgproto3.BackendMessage) error {
	r.mu.Lock()
	r.passedOn, r.buf = true, nil
	r.mu.Unlock()
	return r.Stream.Send(m)
}

// mayReplay reports whether the unit can be sent again from its start.
func (r *recorder) mayReplay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.overflow && !r.passedOn
}

// rewind makes Receive start again at the first message.
func (r *recorder) rewind() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replay = pgproto3.NewBackend(bytes.NewReader(bytes.Clone(r.buf)), nil)
}
