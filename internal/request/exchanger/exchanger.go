// Package exchanger holds the types that the stages of a request hand to each other.
//
// A unit of work is one simple query, one extended batch up to Sync, or a whole
// transaction from BEGIN until the session is idle again. The front of a VM opens
// a unit on a Runner. The Runner is either the executor of this VM, when it is a
// gateway of the database, or the forwarder, which carries the same unit to a gateway.
package exchanger

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
)

// Class tells what a unit may do to the database.
type Class string

// The classes.
const (
	Read                Class = "read"
	Write               Class = "write"
	Transaction         Class = "transaction"
	ReadOnlyTransaction Class = "readOnlyTransaction"
)

// IsRead reports whether a replica may run the unit.
func (c Class) IsRead() bool { return c == Read || c == ReadOnlyTransaction }

// MaxHops bounds how many VMs may forward one unit: entry VM to gateway, and once more when views differ.
const MaxHops = 2

// Request describes a unit before its first message.
type Request struct {
	ID       string             `json:"id"`
	Database string             `json:"database"`
	Session  string             `json:"session,omitempty"`
	Floor    tokenizer.Position `json:"floor"`
	HasToken bool               `json:"hasToken,omitempty"`
	ReadKind string             `json:"readKind,omitempty"`
	Key      string             `json:"key,omitempty"`
	Class    Class              `json:"class"`
	Timeout  time.Duration      `json:"timeoutNs"`
	Hops     int                `json:"hops,omitempty"`
}

// Check reports the first invalid field of a decoded request.
func (r Request) Check() error {
	switch {
	case r.Database == "":
		return classifier.New(classifier.UnknownDatabase, "request without a database")
	case r.Timeout <= 0:
		return classifier.New(classifier.BadMessage, "request without a timeout")
	case r.Hops < 0 || r.Hops > MaxHops:
		return classifier.New(classifier.BadMessage, "request has passed %d VMs", r.Hops)
	}
	switch r.Class {
	case Read, Write, Transaction, ReadOnlyTransaction:
		return nil
	}
	return classifier.New(classifier.BadMessage, "unknown class %q", r.Class)
}

// Forwarded returns the request as the next VM gets it.
func (r Request) Forwarded() Request {
	r.Hops++
	return r
}

// Result tells what served a unit.
type Result struct {
	Position tokenizer.Position `json:"position"` // floor of the session after the unit
	ServedBy string             `json:"servedBy"` // instance
	Role     string             `json:"role"`     // primary or replica
	Reason   string             `json:"reason"`   // reason code of the route
}

// Stream carries the messages of one unit between the caller and a Runner.
type Stream interface {
	// Receive returns the caller's next message, or io.EOF once the caller is gone.
	// The message is valid until the next call.
	Receive() (pgproto3.FrontendMessage, error)
	// Send buffers a message to the caller.
	Send(m pgproto3.BackendMessage) error
	// Flush writes the buffered messages.
	Flush() error
}

// Runner runs one unit of work. It sends ReadyForQuery after each batch; the
// status 'I' ends the unit. It returns an error when it could not send a
// complete answer; the caller of Run then answers with that error and
// ReadyForQuery.
type Runner interface {
	Run(ctx context.Context, r Request, s Stream) (Result, error)
}
