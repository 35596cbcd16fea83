package driver

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5"

	"parsleyscale/internal/bench/checker"
)

// lookUp does one of the reading actions.
func (c *caller) lookUp(a Action) {
	s := c.d.cfg.Shape
	switch a {
	case LookUpPage:
		c.readPage(c.d.rows.pick(c.rng, c.database, s.Entries))
	case LookUpOwnPage:
		if n := c.entries[c.database]; n > 0 {
			c.readPage(fmt.Sprintf("%s/%s/%d", c.name, c.database, (n-1)/pageRequests))
		}
	case LookUpName:
		c.readName(c.d.rows.pick(c.rng, c.database, s.Names))
	case LookUpCounter:
		c.readCounter(c.d.rows.pick(c.rng, c.database, s.Counters))
	}
}

func (c *caller) readPage(page string) {
	c.read(checker.ReadPage, page, c.d.cfg.Shape.OldRead, func(ctx context.Context, op *checker.Operation) error {
		rows, err := c.query(ctx, c.d.cfg.Shape.readPage(), page)
		if err != nil {
			return err
		}
		defer rows.Close()
		for rows.Next() {
			var e checker.Entry
			if err := rows.Scan(&e.Request, &e.Part, &e.Page, &op.Total); err != nil {
				return err
			}
			op.Entries = append(op.Entries, e)
		}
		return rows.Err()
	})
}

func (c *caller) readName(row string) {
	c.read(checker.ReadName, row, c.d.cfg.Shape.OldRead, c.value(c.d.cfg.Shape.readName(), row))
}

func (c *caller) readCounter(row string) {
	c.read(checker.ReadCounter, row, c.d.cfg.Shape.NewRead, c.value(c.d.cfg.Shape.readCounter(), row))
}

// value returns a function that reads one row with its identity and its number.
func (c *caller) value(sql, row string) func(context.Context, *checker.Operation) error {
	return func(ctx context.Context, op *checker.Operation) error {
		rows, err := c.query(ctx, sql, row)
		if err != nil {
			return err
		}
		defer rows.Close()
		for rows.Next() {
			if err := rows.Scan(&op.GotRow, &op.Got); err != nil {
				return err
			}
		}
		return rows.Err()
	}
}

func (c *caller) query(ctx context.Context, sql string, args ...any) (pgx.Rows, error) {
	if c.isSimple {
		args = append([]any{pgx.QueryExecModeSimpleProtocol}, args...)
	}
	return c.conn.Query(ctx, sql, args...)
}

// read makes one read of a read kind; an empty row is a row that nobody has written yet.
func (c *caller) read(k checker.Kind, row, readKind string, run func(context.Context, *checker.Operation) error) {
	if row == "" {
		return
	}
	if c.connect() != nil {
		c.failConnect(k, row)
		return
	}
	ctx, cancel := context.WithTimeout(c.d.ctx, requestTimeout)
	defer cancel()
	if c.readKind != readKind {
		if _, err := c.conn.Exec(ctx, "SET parsleyscale.read = '"+readKind+"'", pgx.QueryExecModeSimpleProtocol); err != nil {
			c.finish(c.operation(k, row), err)
			return
		}
		c.readKind = readKind
	}
	op := c.operation(k, row)
	err := run(ctx, &op)
	op.End = c.d.Now()
	if err == nil && c.percent(chanceSample) {
		c.sample(ctx, &op)
	}
	c.finish(op, err)
}

// sample asks what served the last read. A failure is left to the next request.
func (c *caller) sample(ctx context.Context, op *checker.Operation) {
	for _, q := range []struct {
		name string
		to   *string
	}{{"served_by", &op.ServedBy}, {"reason", &op.Reason}} {
		if c.conn.QueryRow(ctx, "SHOW parsleyscale."+q.name, pgx.QueryExecModeSimpleProtocol).Scan(q.to) != nil {
			return
		}
	}
}

// failConnect writes a failed connection down as an operation that was never sent.
func (c *caller) failConnect(k checker.Kind, row string) verdict {
	op := c.operation(k, row)
	op.End, op.Outcome, op.ErrorKind = op.Start, checker.Refused, kindConnect
	c.d.record(op)
	c.disconnect()
	return verdict{outcome: checker.Refused, kind: kindConnect, repeat: true, isLost: true}
}
