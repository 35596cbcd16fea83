// Package commander sends control commands to instances over the VM's pooled connections. A new
// connection for each command could be refused by an instance whose connections
// are all in use, which is likely when the command matters most.
package commander

import (
	"context"
	"strconv"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/statement/carrier"
)

// defaultTimeout bounds the exchange of a command whose context has no deadline, not the wait for a connection.
const defaultTimeout = time.Second

// Controller sends control commands. It implements carrier.Controller.
type Controller struct {
	Pool  *allotter.Allotter
	Parse func(row string) (carrier.InstanceStatus, error) // decodes the row that answers a command
}

var _ carrier.Controller = Controller{}

// Status implements carrier.Controller.
func (c Controller) Status(ctx context.Context, t carrier.Target) (carrier.InstanceStatus, error) {
	return c.execute(ctx, t, carrier.Internal(carrier.Status))
}

// Hold implements carrier.Controller.
func (c Controller) Hold(ctx context.Context, t carrier.Target, term uint64) (carrier.InstanceStatus, error) {
	return c.execute(ctx, t, termCommand(carrier.Hold, term))
}

// Demote implements carrier.Controller.
func (c Controller) Demote(ctx context.Context, t carrier.Target, term uint64) (carrier.InstanceStatus, error) {
	return c.execute(ctx, t, termCommand(carrier.Demote, term))
}

// termCommand returns the command with the given verb and a term as its argument.
func termCommand(v carrier.Verb, term uint64) carrier.Statement {
	s := carrier.Internal(v)
	s.Args = strconv.FormatUint(term, 10)
	return s
}

// execute sends a command over a pooled connection, which it acquires ahead of waiting statements, and returns the
// status in the instance's answer. It closes the connection if the exchange fails.
func (c Controller) execute(ctx context.Context, t carrier.Target, s carrier.Statement) (carrier.InstanceStatus, error) {
	lease, err := c.Pool.Acquire(ctx, t.WithAnyTeam(), allotter.ControlPriority)
	if err != nil {
		return carrier.InstanceStatus{}, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	lease.Conn().SetDeadline(deadline)
	replies, err := lease.Exchange(carrier.Command{Statement: s})
	if err != nil {
		lease.Discard()
		return carrier.InstanceStatus{}, err
	}
	lease.Release()
	return parseStatus(t, s, replies[0], c.Parse)
}

// parseStatus returns the status in an instance's answer to a command.
func parseStatus(t carrier.Target, s carrier.Statement, reply carrier.Reply, parse func(string) (carrier.InstanceStatus, error)) (carrier.InstanceStatus, error) {
	if !reply.OK() {
		return carrier.InstanceStatus{}, classifier.New(reply.Kind, "instance %s: command %s failed: %s", t.Instance, s.Verb, reply.Detail)
	}
	if len(reply.Rows) != 1 {
		return carrier.InstanceStatus{}, classifier.New(classifier.BadMessage, "instance %s answered command %s with %d rows, want 1", t.Instance, s.Verb, len(reply.Rows))
	}
	return parse(reply.Rows[0])
}
