package carrier

import (
	"context"
	"time"

	"parsleyscale/internal/session/tokenizer"
)

// Command is a statement together with the position that the instance must have
// applied to run it; the zero position asks for nothing.
type Command struct {
	Statement
	After tokenizer.Position
}

// Target names an instance and where it listens.
type Target struct {
	Instance string
	Group    string
	Address  string
}

// Link is an open connection to an instance. One goroutine uses it at a time.
type Link interface {
	// Send writes commands in one go.
	Send(cmds ...Command) error
	// Receive returns the reply to the oldest command without one.
	Receive() (Reply, error)
	// SetDeadline bounds all sends and receives.
	SetDeadline(t time.Time)
	// IsBroken reports whether the other end has closed an idle link or has sent something unasked.
	IsBroken() bool
	// Close closes the connection; the instance rolls back what is open.
	Close()
}

// Dialer opens links. The position is the instance's newest log entry at the start.
type Dialer interface {
	Dial(ctx context.Context, t Target) (Link, tokenizer.Position, error)
}

// Controller gives orders to instances on links of their own.
type Controller interface {
	Status(ctx context.Context, t Target) (Condition, error)
	// Hold stops a replica from receiving entries of terms below term.
	Hold(ctx context.Context, t Target, term uint64) (Condition, error)
	// Demote makes a primary of a lower term a replica.
	Demote(ctx context.Context, t Target, term uint64) (Condition, error)
}
