// Package exchanger defines the types that the stages of request processing share.
//
// A unit of work, or unit, is one simple query, one batch of extended-protocol
// messages up to Sync, or a whole transaction from BEGIN until the session is idle
// again. Each unit goes to the dispatcher, which runs it on the executor of this VM or
// sends it through the forwarder to a gateway.
package exchanger

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
)

// Class states what a unit may do: read or write, as a single batch or as a transaction.
type Class string

// The classes of units.
const (
	Read                Class = "read"
	Write               Class = "write"
	Transaction         Class = "transaction"
	ReadOnlyTransaction Class = "readOnlyTransaction"
)

// IsRead reports whether a replica may run the unit.
func (c Class) IsRead() bool { return c == Read || c == ReadOnlyTransaction }

// MaxHops limits how often one unit may be forwarded: from the VM that received it to
// a gateway, and once more when the VMs have different views of the live VMs.
const MaxHops = 2

// Request describes a unit. A VM sends it to a gateway before the messages of the unit.
type Request struct {
	ID                 string             `json:"id"`
	Database           string             `json:"database"`
	Session            string             `json:"session,omitempty"`  // identity of the session; empty if it has none
	Floor              tokenizer.Position `json:"floor"`              // lowest position that a read may be served from
	FloorCoversSession bool               `json:"hasToken,omitempty"` // Floor covers all earlier writes of the session, because it sent a session token or has no identity
	ReadKind           string             `json:"readKind,omitempty"` // name of a read kind in the sheet
	Key                string             `json:"key,omitempty"`      // idempotency key; empty if there is none
	Class              Class              `json:"class"`
	Timeout            time.Duration      `json:"timeoutNs"`
	Hops               int                `json:"hops,omitempty"` // how often the unit has been forwarded
}

// Validate returns an error for the first invalid field of a decoded request, or nil if the request is valid.
func (r Request) Validate() error {
	switch {
	case r.Database == "":
		return classifier.New(classifier.UnknownDatabase, "request %q names no database", r.ID)
	case r.Timeout <= 0:
		return classifier.New(classifier.BadMessage, "request %q has timeout %s, want more than 0", r.ID, r.Timeout)
	case r.Hops < 0 || r.Hops > MaxHops:
		return classifier.New(classifier.BadMessage, "request %q has hop count %d, want 0 to %d", r.ID, r.Hops, MaxHops)
	}
	switch r.Class {
	case Read, Write, Transaction, ReadOnlyTransaction:
		return nil
	}
	return classifier.New(classifier.BadMessage, "request %q has unknown class %q", r.ID, r.Class)
}

// Forwarded returns the request to send to the next VM, with one more hop.
func (r Request) Forwarded() Request {
	r.Hops++
	return r
}

// Result describes how a unit was served.
type Result struct {
	Position tokenizer.Position `json:"position"` // session floor after the unit
	ServedBy string             `json:"servedBy"` // name of the instance
	Role     string             `json:"role"`     // role of the instance: primary or replica
	Reason   string             `json:"reason"`   // reason code of the routing decision
}

// Stream carries the messages of one unit between the client and a Runner.
type Stream interface {
	// Receive returns the client's next message, or io.EOF after the client has
	// disconnected. The message is valid until the next call of Receive.
	Receive() (pgproto3.FrontendMessage, error)
	// Send buffers a message to the client.
	Send(m pgproto3.BackendMessage) error
	// Flush writes the buffered messages.
	Flush() error
}

// Runner runs units of work.
type Runner interface {
	// Run runs one unit. It sends ReadyForQuery after each batch; the transaction
	// status 'I' (idle) ends the unit. It returns an error if it could not send a
	// complete answer. The caller of Run then sends that error and ReadyForQuery.
	Run(ctx context.Context, r Request, s Stream) (Result, error)
}
