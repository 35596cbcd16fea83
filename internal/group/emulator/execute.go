package emulator

import (
	"context"
	"database/sql/driver"
	"errors"
	"io"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// portal is a bound statement and its open cursor.
type portal struct {
	statement *statement
	args      []arg
	formats   []int16
	columns   []column
	prepared  *prepared
	rows      driver.Rows
	values    []driver.Value
	sent      int
	done      bool
}

// completion is a CommandComplete that is sent after the commit.
type completion struct{ tag string }

// currentHandle returns a SQLite connection to the current rows.
func (x *session) currentHandle() (*handle, error) {
	st, err := x.server.group.current()
	if err != nil {
		return nil, err
	}
	if x.handle != nil && x.handle.store == st {
		return x.handle, nil
	}
	if x.tx != nil && x.tx.open {
		return nil, refuse(stateSerialization, "rows were rebuilt during the transaction")
	}
	if x.handle != nil {
		x.closePortals()
		x.handle.close()
		x.handle = nil
	}
	x.handle, err = st.open()
	return x.handle, err
}

// execute runs a portal, or continues it, and sends up to maxRows rows; 0 means all.
func (x *session) execute(ctx context.Context, p *portal, maxRows int) error {
	s := p.statement
	if x.tx != nil && x.tx.failed {
		switch s.class {
		case classCommit, classRollback, classRollbackTo:
		default:
			return refuse(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
		}
	}
	switch s.class {
	case classRead, classWrite:
		return x.executeSQL(ctx, p, maxRows)
	case classGroup:
		return x.executeGroup(ctx, p)
	case classSet, classShow, classDiscard:
		return x.executeSetting(p)
	}
	tag, err := x.controlTransaction(ctx, s)
	if err != nil {
		return err
	}
	x.complete(tag)
	return nil
}

func (x *session) executeSQL(ctx context.Context, p *portal, maxRows int) error {
	if p.done {
		x.complete(p.tag())
		return nil
	}
	if p.rows == nil {
		if err := x.prepareTransaction(ctx, p); err != nil {
			return err
		}
	}
	if !x.control {
		if err := x.server.takeSlot(ctx); err != nil {
			return err
		}
		defer x.server.freeSlot()
	}
	if p.statement.returns() {
		return x.stream(ctx, p, maxRows)
	}
	return x.executeWrite(ctx, p)
}

// prepareTransaction opens what the statement needs. The write lock comes
// before the slot: waiting for it with a slot would keep its holder, which
// needs a slot to go on, from ever finishing.
func (x *session) prepareTransaction(ctx context.Context, p *portal) error {
	x.begin()
	if p.statement.class == classWrite {
		return x.openWrite(ctx)
	}
	return x.openRead(ctx)
}

// executeWrite runs a statement without a result.
func (x *session) executeWrite(ctx context.Context, p *portal) error {
	h, err := x.currentHandle()
	if err != nil {
		return err
	}
	q, err := h.prepare(ctx, p.statement.sql)
	if err != nil {
		return err
	}
	defer q.release()
	res, err := q.exec(ctx, namedArgs(p.args, x.tx.now))
	if err != nil {
		return err
	}
	x.recordWrite(p)
	if p.statement.schema {
		h.dropCache()
	}
	if n, err := res.RowsAffected(); err == nil {
		p.sent = int(n)
	}
	p.done = true
	x.complete(p.tag())
	return nil
}

// recordWrite adds the statement to the entry of the transaction.
func (x *session) recordWrite(p *portal) {
	if p.statement.tag == "SELECT" {
		return // FOR UPDATE
	}
	x.tx.records = append(x.tx.records, record{SQL: p.statement.sql, Args: p.args})
	x.tx.schema = x.tx.schema || p.statement.schema
}

// openRows starts the cursor of a portal.
func (x *session) openRows(ctx context.Context, p *portal) error {
	h, err := x.currentHandle()
	if err != nil {
		return err
	}
	if p.columns == nil {
		if p.columns, err = h.describe(p.statement); err != nil {
			return err
		}
	}
	q, err := h.prepare(ctx, p.statement.sql)
	if err != nil {
		return err
	}
	rows, err := q.query(ctx, namedArgs(p.args, x.tx.now))
	if err != nil {
		q.release()
		return err
	}
	p.prepared, p.rows = q, rows
	p.values = make([]driver.Value, len(rows.Columns()))
	if len(p.values) != len(p.columns) {
		p.close()
		return refuse(stateFeatureNotSupported, "cached plan must not change result type")
	}
	if p.statement.class == classWrite {
		x.recordWrite(p)
	}
	return nil
}

// stream sends the rows of a portal. The socket's buffer is the only queue, so a slow
// client slows the cursor.
func (x *session) stream(ctx context.Context, p *portal, maxRows int) error {
	if p.rows == nil {
		if err := x.openRows(ctx, p); err != nil {
			return err
		}
	}
	if p.statement.tag == "SELECT" {
		p.sent = 0 // its tag counts the rows of one Execute
	}
	for n := 0; maxRows == 0 || n < maxRows; n++ {
		if err := ctx.Err(); err != nil {
			return err
		}
		err := p.rows.Next(p.values)
		if errors.Is(err, io.EOF) {
			p.close()
			x.complete(p.tag())
			return nil
		}
		if err != nil {
			return err
		}
		if err := x.sendRow(p); err != nil {
			return err
		}
	}
	x.backend.Send(&pgproto3.PortalSuspended{})
	return nil
}

func (x *session) sendRow(p *portal) error {
	row := pgproto3.DataRow{Values: make([][]byte, len(p.values))}
	for i, v := range p.values {
		if v == nil {
			continue
		}
		b, err := appendValue([]byte{}, v, p.columns[i].oid, p.format(i))
		if err != nil {
			return err
		}
		row.Values[i] = b
		x.buffered += len(b)
	}
	x.backend.Send(&row)
	x.buffered += 16
	p.sent++
	if x.buffered < flushBytes {
		return nil
	}
	if err := x.flush(); err != nil {
		return fatal(stateInternal, "write to client: %s", err)
	}
	return nil
}

// format returns the format of a result column.
func (p *portal) format(i int) int16 {
	switch len(p.formats) {
	case 0:
		return formatText
	case 1:
		return p.formats[0]
	}
	if i < len(p.formats) {
		return p.formats[i]
	}
	return formatText
}

// tag returns the command tag with its count.
func (p *portal) tag() string {
	s := p.statement
	switch {
	case !s.counts:
		return s.tag
	case s.tag == "INSERT" || s.tag == "REPLACE":
		return "INSERT 0 " + strconv.Itoa(p.sent)
	}
	return s.tag + " " + strconv.Itoa(p.sent)
}

// close ends the cursor.
func (p *portal) close() {
	if p.rows != nil {
		_ = p.rows.Close() // the result was already read or is given up
		p.rows = nil
		p.prepared.release()
	}
	p.done = true
}

func (x *session) closePortals() {
	for name, p := range x.portals {
		p.close()
		delete(x.portals, name)
	}
}

// complete notes the end of a command. It is sent later, because a commit
// reports its position before CommandComplete.
func (x *session) complete(tag string) {
	x.sendPending()
	x.pending = &completion{tag}
}

func (x *session) sendPending() {
	if x.pending != nil {
		x.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(x.pending.tag)})
		x.pending = nil
	}
}
