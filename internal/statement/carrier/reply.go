package carrier

import (
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
)

// State is the transaction state of a connection after a reply.
type State uint8

// Transaction states.
const (
	Idle State = iota
	InTransaction
	Failed // the transaction has failed, and only its end is accepted
)

// Reply is the complete reply to one statement.
type Reply struct {
	Rows      []string
	Signature string             // the instance's proof that it ran the statement; empty in replies of the VM itself
	Kind      classifier.Kind    // error kind; empty on success
	Detail    string             // error text
	State     State              // transaction state after the statement
	Position  tokenizer.Position // newest log entry of the instance; zero if unknown

	RetryAfter time.Duration // when to retry a statement that did not run; zero for no hint
}

// OK reports whether the statement succeeded.
func (r Reply) OK() bool { return r.Kind == "" }

// Size returns the approximate number of bytes of the reply.
func (r Reply) Size() int {
	n := len(r.Signature) + len(r.Detail)
	for _, row := range r.Rows {
		n += len(row)
	}
	return n
}

// WithState returns a copy of the reply with the transaction state s.
func (r Reply) WithState(s State) Reply {
	r.State = s
	return r
}

// WithRetryAfter returns a copy of the reply with the hint to retry after d.
func (r Reply) WithRetryAfter(d time.Duration) Reply {
	r.RetryAfter = d
	return r
}

// ErrorReplyFor returns the reply that reports an error of the VM itself.
func ErrorReplyFor(err error) Reply {
	return ErrorReply(classifier.KindOf(err), classifier.Message(err)).WithRetryAfter(classifier.RetryAfter(err))
}

// ErrorReply returns an error reply with the given kind and text.
func ErrorReply(k classifier.Kind, detail string) Reply { return Reply{Kind: k, Detail: detail} }

// InstanceStatus is the state that an instance reports of itself.
type InstanceStatus struct {
	IsPrimary   bool
	Term        uint64
	Received    tokenizer.Position // newest log entry that it has received
	HoldTerm    uint64             // term below which a replica accepts no log entries; zero if not set by Hold
	Busy        int
	Connections int // number of connections
}
