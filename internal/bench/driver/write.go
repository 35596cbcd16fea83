package driver

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"

	"parsleyscale/internal/bench/checker"
	"parsleyscale/internal/failure/classifier"
)

// content makes an entry about as long as a booking or a ticket.
var content = strings.Repeat("plume order, two ostrich and one egret; ", 3)

// act does one action of a clerk.
func (c *caller) act(a Action) {
	switch a {
	case Book:
		c.book(1, true)
	case BookTwo:
		c.book(2, true)
	case BookUnkeyed:
		c.book(1, false)
	case Correct:
		c.correct()
	case Count:
		c.count()
	default:
		c.lookUp(a)
	}
}

// request is a write that may take several attempts.
type request struct {
	op  checker.Operation
	run func(ctx context.Context) error
}

// newRequest starts a request; only its caller uses its identity.
func (c *caller) newRequest(k checker.Kind, row string, isKeyed bool) *request {
	c.requests++
	r := &request{op: checker.Operation{Kind: k, Row: row, Database: c.database, Request: fmt.Sprintf("%s-%d", c.name, c.requests)}}
	if isKeyed {
		r.op.Key = uuid.Must(uuid.NewV7()).String()
	}
	return r
}

// book inserts entries into the caller's page.
func (c *caller) book(parts int, isKeyed bool) bool {
	n := c.entries[c.database]
	c.entries[c.database]++
	page := fmt.Sprintf("%s/%s/%d", c.name, c.database, n/pageRequests)
	if n%pageRequests == 0 {
		c.d.rows.add(c.database, c.d.cfg.Shape.Entries, page)
	}
	kind := checker.Insert
	if parts > 1 {
		kind = checker.Transaction
	}
	r := c.newRequest(kind, page, isKeyed)
	r.op.Parts = parts
	r.run = func(ctx context.Context) error { return c.insert(ctx, r) }
	return c.send(r)
}

func (c *caller) insert(ctx context.Context, r *request) error {
	sql := c.d.cfg.Shape.insert()
	if r.op.Kind == checker.Insert {
		return c.exec(ctx, r.op.Key, sql, r.op.Request, 0, r.op.Row, content)
	}
	if err := c.exec(ctx, r.op.Key, "BEGIN"); err != nil {
		return err
	}
	for n := range r.op.Parts {
		if err := c.exec(ctx, "", sql, r.op.Request, n, r.op.Row, content); err != nil {
			return c.rollBack(ctx, err)
		}
	}
	return c.exec(ctx, "", "COMMIT")
}

// rollBack ends a transaction in which a statement failed. Nothing of it lasts,
// whatever the failed statement says of itself.
func (c *caller) rollBack(ctx context.Context, err error) error {
	if c.conn.IsClosed() {
		return err
	}
	if _, e := c.conn.Exec(ctx, "ROLLBACK"); e != nil {
		c.disconnect()
	}
	return err
}

// exec runs a statement under a key; "" is none.
func (c *caller) exec(ctx context.Context, key, sql string, args ...any) error {
	if c.isSimple {
		if key != "" {
			sql = "SET parsleyscale.key = '" + key + "'; " + sql
		}
		_, err := c.conn.Exec(ctx, sql, append([]any{pgx.QueryExecModeSimpleProtocol}, args...)...)
		return err
	}
	if key != "" {
		if _, err := c.conn.Exec(ctx, "SET parsleyscale.key = '"+key+"'", pgx.QueryExecModeSimpleProtocol); err != nil {
			return errors.Join(errNotSent, err)
		}
	}
	_, err := c.conn.Exec(ctx, sql, args...)
	return err
}

// errNotSent marks a failure before the request itself was sent.
var errNotSent = errors.New("request was not sent")

// correct sets the caller's name to its next revision and reads it through another VM.
func (c *caller) correct() {
	own := c.names[c.database]
	if own == nil {
		own = &ownName{row: fmt.Sprintf("%s/%d", c.name, c.requests)}
		c.names[c.database] = own
		c.d.rows.add(c.database, c.d.cfg.Shape.Names, own.row)
	}
	own.revision++
	r := c.newRequest(checker.Correction, own.row, true)
	r.op.Value = own.revision
	r.run = func(ctx context.Context) error {
		return c.exec(ctx, r.op.Key, c.d.cfg.Shape.correct(), own.row, own.revision)
	}
	if !c.send(r) {
		delete(c.names, c.database) // a late attempt could still change the row
		return
	}
	c.disconnect()
	c.readName(own.row)
}

// count raises the caller's counter.
func (c *caller) count() {
	row := c.name
	if !c.counters[c.database] {
		c.counters[c.database] = true
		c.d.rows.add(c.database, c.d.cfg.Shape.Counters, row)
	}
	r := c.newRequest(checker.Increment, row, true)
	r.run = func(ctx context.Context) error { return c.exec(ctx, r.op.Key, c.d.cfg.Shape.count(), row) }
	c.send(r)
}

// send makes attempts until a keyed request is settled. It reports whether the request was acknowledged.
func (c *caller) send(r *request) bool {
	end := time.Now().Add(settleTimeout)
	wait := backoff
	for {
		v := c.attempt(r)
		switch {
		case v.outcome == checker.Acknowledged:
			if r.op.Key != "" && c.percent(chanceRepeat) {
				c.attempt(r)
			}
			return true
		case r.op.Key == "" || !v.repeat || time.Now().After(end):
			return false
		}
		if v.kind == string(classifier.NotRun) {
			return false // the key is final, a new attempt needs a new one
		}
		time.Sleep(wait)
		wait = min(2*wait, 10*backoff)
	}
}

// attempt sends a request once.
func (c *caller) attempt(r *request) verdict {
	if err := c.connect(); err != nil {
		return c.failConnect(r.op.Kind, r.op.Row)
	}
	op := c.operation(r.op.Kind, r.op.Row)
	op.Request, op.Key, op.Value, op.Parts, op.Repeat = r.op.Request, r.op.Key, r.op.Value, r.op.Parts, r.op.Repeat
	r.op.Repeat = true
	ctx, cancel := context.WithTimeout(c.d.ctx, requestTimeout)
	defer cancel()
	return c.finish(op, r.run(ctx))
}
