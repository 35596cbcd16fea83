// Package commander gives orders to instances over the links that the VM has
// already: a new connection for an order may be refused by an instance whose
// connections are all in use, just when the order matters most.
package commander

import (
	"context"
	"strconv"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/statement/carrier"
)

// defaultLimit bounds an order whose context has no deadline.
const defaultLimit = time.Second

// Commander implements carrier.Controller.
type Commander struct {
	Links *allotter.Allotter
	Parse func(row string) (carrier.Condition, error)
}

var _ carrier.Controller = Commander{}

// Status implements carrier.Controller.
func (c Commander) Status(ctx context.Context, t carrier.Target) (carrier.Condition, error) {
	return c.order(ctx, t, carrier.Own(carrier.Status))
}

// Hold implements carrier.Controller.
func (c Commander) Hold(ctx context.Context, t carrier.Target, term uint64) (carrier.Condition, error) {
	return c.order(ctx, t, withTerm(carrier.Hold, term))
}

// Demote implements carrier.Controller.
func (c Commander) Demote(ctx context.Context, t carrier.Target, term uint64) (carrier.Condition, error) {
	return c.order(ctx, t, withTerm(carrier.Demote, term))
}

func withTerm(v carrier.Verb, term uint64) carrier.Statement {
	s := carrier.Own(v)
	s.Args = strconv.FormatUint(term, 10)
	return s
}

func (c Commander) order(ctx context.Context, t carrier.Target, s carrier.Statement) (carrier.Condition, error) {
	l, err := c.Links.Acquire(ctx, t, allotter.OrderPriority)
	if err != nil {
		return carrier.Condition{}, err
	}
	limit, ok := ctx.Deadline()
	if !ok {
		limit = time.Now().Add(defaultLimit)
	}
	l.Link().SetDeadline(limit)
	rs, err := l.Exchange(carrier.Command{Statement: s})
	if err != nil {
		l.Discard()
		return carrier.Condition{}, err
	}
	l.Release()
	r := rs[0]
	if !r.OK() {
		return carrier.Condition{}, classifier.New(r.Kind, "%s: %s: %s", t.Instance, s.Verb, r.Detail)
	}
	if len(r.Rows) != 1 {
		return carrier.Condition{}, classifier.New(classifier.BadMessage, "%s: %s: %d rows", t.Instance, s.Verb, len(r.Rows))
	}
	return c.Parse(r.Rows[0])
}
