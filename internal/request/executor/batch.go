package executor

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
)

// Sizes of a batch.
const (
	segmentBytes  = 1 << 20 // a batch of many statements is run in pieces of this size
	maxBatchBytes = 16 << 20
	keptBytes     = 64 << 10 // larger buffers are not kept for reuse
)

// batch is the part of the caller's messages after which the instance has to
// answer: a simple query, an extended batch up to Sync, or a piece of one that
// ends with Flush.
type batch struct {
	buf      []byte        // encoded messages, kept for a second attempt
	shape    []byte        // type of each message
	hash     xxhash.Digest // over the text and the parameters
	replies  int           // answers to expect before ReadyForQuery
	complete bool          // ends with Query or Sync
	gone     bool          // the caller is gone
	executes bool          // runs something
	simple   bool
	executed int
	text     string // SQL text of the last Query or Parse
	commits  bool   // may commit, judged from the text
	controls bool   // may begin or end a transaction, judged from the text
}

func (b *batch) reset() {
	if cap(b.buf) > keptBytes {
		b.buf = nil
	}
	b.commits, b.controls = false, false
	b.text = ""
	b.next()
}

// next starts the next piece of the same batch.
func (b *batch) next() {
	b.buf, b.shape = b.buf[:0], b.shape[:0]
	b.hash.Reset()
	b.replies, b.executed = 0, 0
	b.complete, b.executes, b.simple, b.gone = false, false, false, false
}

// receive reads a batch, or a piece of it unless whole is set.
func (b *batch) receive(s exchanger.Stream, whole bool) error {
	for {
		m, err := s.Receive()
		if err != nil {
			b.gone = true
			return classifier.Wrap(classifier.Canceled, err, "caller is gone")
		}
		end, err := b.add(m)
		if err != nil || b.complete {
			return err
		}
		if end && whole {
			return classifier.New(classifier.Unsupported, "flush inside a batch with a request key")
		}
		if end {
			return nil
		}
		if !whole && b.executed > 1 && len(b.buf) >= segmentBytes {
			_, err := b.add(&pgproto3.Flush{})
			return err
		}
	}
}

// add appends a message and reports whether the instance has to answer after it.
func (b *batch) add(m pgproto3.FrontendMessage) (bool, error) {
	start := len(b.buf)
	buf, err := m.Encode(b.buf)
	if err != nil {
		return false, classifier.Wrap(classifier.BadMessage, err, "message %T", m)
	}
	b.buf = buf
	b.shape = append(b.shape, buf[start])
	end, err := b.note(m, buf[start:])
	if err == nil && len(buf) > maxBatchBytes {
		err = classifier.New(classifier.MessageTooLarge, "batch is over %d bytes", maxBatchBytes)
	}
	return end, err
}

// note records what a message means for the unit. Text and parameters enter
// the fingerprint; names of statements and portals, which a client may number, do not.
func (b *batch) note(m pgproto3.FrontendMessage, raw []byte) (bool, error) {
	switch m := m.(type) {
	case *pgproto3.Query:
		b.noteText(m.String)
		b.simple, b.executes, b.complete = true, true, true
	case *pgproto3.Parse:
		b.noteText(m.Query)
		b.replies++
	case *pgproto3.Bind:
		b.noteParameters(m)
		b.replies++
	case *pgproto3.Execute:
		// The text of a statement that was parsed earlier is not known here.
		b.commits = b.commits || b.text == ""
		b.executes = true
		b.executed++
		b.replies++
	case *pgproto3.Describe, *pgproto3.Close:
		b.replies++
	case *pgproto3.Sync:
		b.complete = true
	case *pgproto3.Flush:
		return true, nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		b.unread(raw) // the rest of a copy that the instance has ended with an error
	default:
		b.unread(raw)
		b.complete = true // no Sync follows
		return false, classifier.New(classifier.Unsupported, "message %T in a unit of work", m)
	}
	return b.complete, nil
}

// unread removes the last message.
func (b *batch) unread(raw []byte) {
	b.buf = b.buf[:len(b.buf)-len(raw)]
	b.shape = b.shape[:len(b.shape)-1]
}

func (b *batch) noteText(sql string) {
	b.text = sql
	b.commits = b.commits || mayCommit(sql)
	b.controls = b.controls || controlsTransaction(sql)
	b.noteField([]byte(sql))
}

func (b *batch) noteParameters(m *pgproto3.Bind) {
	for _, f := range m.ParameterFormatCodes {
		b.noteField([]byte{byte(f)})
	}
	for _, p := range m.Parameters {
		if p == nil {
			_, _ = b.hash.Write([]byte{0xff})
			continue
		}
		b.noteField(p)
	}
}

// noteField writes the length before the content, so that two lists of fields with the same joined text differ.
func (b *batch) noteField(p []byte) {
	var n [9]byte
	binary.BigEndian.PutUint64(n[1:], uint64(len(p)))
	_, _ = b.hash.Write(n[:])
	_, _ = b.hash.Write(p)
}
