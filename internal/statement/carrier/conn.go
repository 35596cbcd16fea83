package carrier

import (
	"context"
	"time"

	"parsleyscale/internal/session/tokenizer"
)

// Command is a statement to be sent to an instance. The instance refuses it unless it has
// applied the log up to After; the zero position sets no requirement.
type Command struct {
	Statement
	After tokenizer.Position
	Team  string // that the statement runs for; empty: for the VM itself, or for a client without a team
}

// Target identifies an instance, the network address of its listener and the team for which a connection to it is used.
type Target struct {
	Instance string
	Group    string
	Address  string
	Team     string // for which the connection is opened; empty: for the VM itself
	AnyTeam  bool   // an open connection of any team will do; for commands of the VM itself
	Gateway  string // link address of the VM through which statements of several teams pass to the instance; empty: the dialer decides
	IsLink   bool   // Address is that of a gateway of the instance
}

// WithTeam returns a copy of the target for connections of a team.
func (t Target) WithTeam(team string) Target {
	t.Team, t.AnyTeam = team, false
	return t
}

// WithAnyTeam returns a copy of the target for commands of the VM itself.
func (t Target) WithAnyTeam() Target {
	t.Team, t.AnyTeam = "", true
	return t
}

// WithGateway returns a copy of the target for connections through the VM with the given link address.
func (t Target) WithGateway(address string) Target {
	t.Gateway = address
	return t
}

// Conn is an open connection to an instance. It must not be used concurrently.
type Conn interface {
	// Send writes all commands without waiting for replies.
	Send(cmds ...Command) error
	// Receive returns the reply to the oldest command that has none yet.
	Receive() (Reply, error)
	// SetDeadline sets the deadline of all further sends and receives; the zero time means none.
	SetDeadline(t time.Time)
	// IsBroken reports whether the other end has closed an idle connection or has sent unexpected data on it.
	IsBroken() bool
	// Close closes the connection. The instance rolls back an open transaction.
	Close()
}

// Link is a connection that may lead to a gateway in place of the instance.
type Link interface {
	// IsLink reports whether the other end is a gateway, which answers the commands of gateways.
	IsLink() bool
}

// IsLink reports whether c leads to a gateway.
func IsLink(c Conn) bool {
	l, ok := c.(Link)
	return ok && l.IsLink()
}

// Dialer opens connections to instances. The position that Dial returns is the instance's
// newest log entry at that time.
type Dialer interface {
	Dial(ctx context.Context, t Target) (Conn, tokenizer.Position, error)
}

// Controller sends control commands to instances. Each method returns the instance's
// state after the command.
type Controller interface {
	Status(ctx context.Context, t Target) (InstanceStatus, error)
	// Hold makes a replica accept no log entries of terms below term.
	Hold(ctx context.Context, t Target, term uint64) (InstanceStatus, error)
	// Demote makes a primary of a term below term a replica.
	Demote(ctx context.Context, t Target, term uint64) (InstanceStatus, error)
}
