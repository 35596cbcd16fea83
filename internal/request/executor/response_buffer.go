package executor

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/request/exchanger"
)

// responseBuffer holds encoded messages of an instance that may not be sent to the client yet.
type responseBuffer struct {
	encoded []byte
	reader  bytes.Reader
	decoder *pgproto3.Frontend
}

func (b *responseBuffer) reset() {
	if cap(b.encoded) > maxReusedBufferBytes {
		b.encoded = nil
	}
	b.encoded = b.encoded[:0]
}

func (b *responseBuffer) add(m pgproto3.BackendMessage) error {
	buf, err := m.Encode(b.encoded)
	if err != nil {
		return fmt.Errorf("encode %T for the response buffer: %w", m, err)
	}
	b.encoded = buf
	return nil
}

// sendTo sends the buffered messages to the client and empties the buffer.
func (b *responseBuffer) sendTo(s exchanger.Stream) error {
	err := b.decodeTo(b.encoded, s)
	b.reset()
	return err
}

// decodeTo decodes messages and sends them to the client.
func (b *responseBuffer) decodeTo(encoded []byte, s exchanger.Stream) error {
	if b.decoder == nil {
		b.decoder = pgproto3.NewFrontend(&b.reader, nil)
	}
	b.reader.Reset(encoded)
	for b.reader.Len() > 0 || b.decoder.ReadBufferLen() > 0 {
		m, err := b.decoder.Receive()
		if err == nil {
			err = s.Send(m)
		}
		if err != nil {
			b.decoder = nil // it may hold part of a message, which would corrupt the next use
			return err
		}
	}
	return nil
}
