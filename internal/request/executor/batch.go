package executor

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
)

// Limits of a batch.
const (
	partialBatchBytes    = 1 << 20  // a batch of several statements is sent in parts of about this size
	maxBatchBytes        = 16 << 20 // larger parts are rejected
	maxReusedBufferBytes = 64 << 10 // larger buffers are not kept for reuse
)

// batch holds messages of the client up to one that requires responses from the
// instance: a simple query, an extended-protocol batch up to Sync, or a part of
// such a batch that ends with Flush.
type batch struct {
	encoded             []byte        // the messages, kept for another attempt
	messageTypes        []byte        // type byte of each message
	hash                xxhash.Digest // over the SQL texts and the parameters
	expectedResponses   int           // responses outstanding before ReadyForQuery
	complete            bool          // ends with Query or Sync
	clientGone          bool          // the client disconnected
	hasExecute          bool          // contains a Query or an Execute
	simpleQuery         bool          // consists of a Query
	executeCount        int           // number of Execute messages
	lastSQL             string        // SQL text of the last Query or Parse
	mayCommit           bool          // the SQL texts may commit
	controlsTransaction bool          // the SQL texts may begin or end a transaction
}

func (b *batch) reset() {
	if cap(b.encoded) > maxReusedBufferBytes {
		b.encoded = nil
	}
	b.mayCommit, b.controlsTransaction = false, false
	b.lastSQL = ""
	b.startPart()
}

// startPart prepares for the next part of the same batch. What is known of the SQL texts is kept, because a later part
// may execute a statement of an earlier one.
func (b *batch) startPart() {
	b.encoded, b.messageTypes = b.encoded[:0], b.messageTypes[:0]
	b.hash.Reset()
	b.expectedResponses, b.executeCount = 0, 0
	b.complete, b.hasExecute, b.simpleQuery, b.clientGone = false, false, false, false
}

// receive reads messages up to the end of the batch. Unless whole is set, it
// also returns at a Flush, or when a part of partialBatchBytes is complete.
func (b *batch) receive(s exchanger.Stream, whole bool) error {
	for {
		m, err := s.Receive()
		if err != nil {
			b.clientGone = true
			return classifier.Wrap(classifier.Canceled, err, "client disconnected before the end of the batch")
		}
		mustRespond, err := b.add(m)
		if err != nil || b.complete {
			return err
		}
		if mustRespond && whole {
			return classifier.New(classifier.Unsupported, "Flush is not supported within a batch with a request key")
		}
		if mustRespond {
			return nil
		}
		if !whole && b.executeCount > 1 && len(b.encoded) >= partialBatchBytes {
			_, err := b.add(&pgproto3.Flush{})
			return err
		}
	}
}

// add appends a message and reports whether the instance must respond before the next one.
func (b *batch) add(m pgproto3.FrontendMessage) (bool, error) {
	start := len(b.encoded)
	buf, err := m.Encode(b.encoded)
	if err != nil {
		return false, classifier.Wrap(classifier.BadMessage, err, "encode message %T of the client", m)
	}
	b.encoded = buf
	b.messageTypes = append(b.messageTypes, buf[start])
	mustRespond, err := b.addMessage(m, buf[start:])
	if err == nil && len(buf) > maxBatchBytes {
		err = classifier.New(classifier.MessageTooLarge, "batch of %d bytes exceeds the limit of %d bytes", len(buf), maxBatchBytes)
	}
	return mustRespond, err
}

// addMessage updates the properties of the batch for a message. The hash covers
// SQL texts and parameters, but not the names of statements and portals, since
// a client may number these and so use other names in a repeat. addMessage reports whether
// the instance must respond before the next message.
func (b *batch) addMessage(m pgproto3.FrontendMessage, raw []byte) (bool, error) {
	switch m := m.(type) {
	case *pgproto3.Query:
		b.addSQL(m.String)
		b.simpleQuery, b.hasExecute, b.complete = true, true, true
	case *pgproto3.Parse:
		b.addSQL(m.Query)
		b.expectedResponses++
	case *pgproto3.Bind:
		b.hashParameters(m)
		b.expectedResponses++
	case *pgproto3.Execute:
		// The statement was parsed in an earlier batch, so its SQL text is unknown here and it may be a commit.
		b.mayCommit = b.mayCommit || b.lastSQL == ""
		b.hasExecute = true
		b.executeCount++
		b.expectedResponses++
	case *pgproto3.Describe, *pgproto3.Close:
		b.expectedResponses++
	case *pgproto3.Sync:
		b.complete = true
	case *pgproto3.Flush:
		return true, nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		b.removeLast(raw) // leftover of a copy that the instance ended with an error
	default:
		b.removeLast(raw)
		b.complete = true // no Sync follows such a message
		return false, classifier.New(classifier.Unsupported, "message %T is not supported in a unit of work", m)
	}
	return b.complete, nil
}

// removeLast removes the last message, whose encoded form is raw.
func (b *batch) removeLast(raw []byte) {
	b.encoded = b.encoded[:len(b.encoded)-len(raw)]
	b.messageTypes = b.messageTypes[:len(b.messageTypes)-1]
}

func (b *batch) addSQL(sql string) {
	b.lastSQL = sql
	b.mayCommit = b.mayCommit || mayCommit(sql)
	b.controlsTransaction = b.controlsTransaction || controlsTransaction(sql)
	b.hashField([]byte(sql))
}

func (b *batch) hashParameters(m *pgproto3.Bind) {
	for _, f := range m.ParameterFormatCodes {
		b.hashField([]byte{byte(f)})
	}
	for _, p := range m.Parameters {
		if p == nil {
			_, _ = b.hash.Write([]byte{0xff})
			continue
		}
		b.hashField(p)
	}
}

// hashField adds the length and the content of a field to the hash. The length distinguishes lists of fields whose
// contents concatenate to the same bytes.
func (b *batch) hashField(p []byte) {
	var n [9]byte
	binary.BigEndian.PutUint64(n[1:], uint64(len(p)))
	_, _ = b.hash.Write(n[:])
	_, _ = b.hash.Write(p)
}
