package emulator

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
)

// Transaction states of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// transaction is the state between the first statement and the commit. Without BEGIN it
// lasts for one simple query or one extended batch.
//
// A READ COMMITTED transaction opens a SQLite transaction with its first
// write; its earlier reads are SQLite transactions of their own.
type transaction struct {
	explicit   bool
	readOnly   bool
	snapshot   bool
	failed     bool
	open       bool   // a SQLite transaction is open
	writing    bool   // the write lock is held
	store      *store // set while open
	term       uint64 // term in which a writing transaction has to commit
	now        string
	records    []record
	savepoints []savepoint
	schema     bool // a statement changed the schema
}

// savepoint notes the number of records to keep when the transaction returns to it.
type savepoint struct {
	name    string
	records int
}

func (x *session) txStatus() byte {
	switch {
	case x.tx == nil || !x.tx.explicit:
		return statusIdle
	case x.tx.failed:
		return statusFailed
	}
	return statusOpen
}

// begin returns the current transaction and starts an implicit one if there is none.
func (x *session) begin() *transaction {
	if x.tx == nil {
		x.tx = &transaction{now: time.Now().UTC().Format(timeLayout)}
	}
	return x.tx
}

// openRead opens the SQLite transaction of a snapshot.
func (x *session) openRead(ctx context.Context) error {
	tx := x.begin()
	if tx.open || !tx.snapshot {
		return nil
	}
	h, err := x.currentHandle()
	if err != nil {
		return err
	}
	if err := h.run(ctx, "BEGIN"); err != nil {
		return err
	}
	tx.open, tx.store = true, h.store
	return nil
}

// openWrite takes the write lock and opens a SQLite write transaction. A
// snapshot that another transaction has overtaken fails at its first write.
func (x *session) openWrite(ctx context.Context) error {
	tx := x.begin()
	switch {
	case tx.writing:
		return nil
	case tx.readOnly:
		return refuse(stateReadOnly, "cannot write in a read-only transaction")
	}
	if _, err := x.server.group.beginWrite(); err != nil {
		return err
	}
	h, err := x.currentHandle()
	if err != nil {
		return err
	}
	x.writing.Store(true) // before the wait, so that endWriters finds this session
	if err := h.store.lock(ctx); err != nil {
		x.writing.Store(false)
		return err
	}
	tx.writing, tx.store = true, h.store
	if tx.term, err = x.server.group.beginWrite(); err != nil {
		return err
	}
	if tx.open {
		return nil
	}
	if err := h.run(ctx, "BEGIN IMMEDIATE"); err != nil {
		return err
	}
	tx.open = true
	return nil
}

// commit commits the current transaction and reports the position of its entry.
func (x *session) commit() error {
	tx := x.tx
	if tx == nil {
		return nil
	}
	x.closePortals()
	if len(tx.records) == 0 {
		x.rollback() // nothing to commit, the end of a read
		return nil
	}
	e := entry{Term: tx.term, Now: tx.now, Statements: tx.records}
	p, err := x.server.group.commit(tx.store, e, x.commitRows)
	if err != nil {
		x.rollback()
		return err
	}
	if tx.schema {
		tx.store.schema.Add(1)
	}
	tx.open = false
	x.endTransaction()
	x.backend.Send(&pgproto3.ParameterStatus{Name: connector.ParameterPosition, Value: p.String()})
	return nil
}

// commitRows commits the SQLite transaction together with the applied position.
func (x *session) commitRows(p tokenizer.Position) error {
	ctx := context.Background() // a commit that has begun is not canceled
	if err := x.handle.setApplied(ctx, p); err != nil {
		return err
	}
	return x.handle.run(ctx, "COMMIT")
}

// rollback ends the current transaction without effect.
func (x *session) rollback() {
	if x.tx == nil {
		return
	}
	x.closePortals()
	x.rollbackRows()
	x.endTransaction()
}

// rollbackRows rolls the SQLite transaction back and frees the write lock.
func (x *session) rollbackRows() {
	if x.tx.open {
		_ = x.handle.run(context.Background(), "ROLLBACK") // SQLite has already rolled back after some errors
		x.tx.open = false
	}
	if x.tx.schema {
		x.handle.dropCache()
	}
	x.unlock()
	x.tx.records = nil
}

func (x *session) unlock() {
	if x.tx.writing {
		x.tx.writing = false
		x.tx.store.unlock()
	}
	x.writing.Store(false)
}

func (x *session) endTransaction() {
	x.unlock()
	x.tx = nil
	x.localIdleLimit = 0
}

// failTransaction reacts to an error of a statement. Savepoints keep the
// SQLite transaction, which ROLLBACK TO may continue.
func (x *session) failTransaction() {
	tx := x.tx
	switch {
	case tx == nil:
	case !tx.explicit:
		x.rollback()
	default:
		tx.failed = true
		if len(tx.savepoints) == 0 {
			x.closePortals()
			x.rollbackRows()
		}
	}
}

// control runs a transaction control statement and returns its tag.
func (x *session) controlTransaction(ctx context.Context, s *statement) (string, error) {
	switch s.class {
	case classBegin:
		return s.tag, x.beginExplicit(s)
	case classCommit:
		if x.tx != nil && x.tx.failed {
			x.rollback()
			return "ROLLBACK", nil
		}
		return s.tag, x.commit()
	case classRollback:
		x.rollback()
		return s.tag, nil
	case classSavepoint:
		return s.tag, x.setSavepoint(ctx, s.name)
	case classRollbackTo:
		return s.tag, x.rollbackTo(ctx, s.name)
	}
	return s.tag, x.releaseSavepoint(ctx, s.name)
}

func (x *session) beginExplicit(s *statement) error {
	if x.tx != nil && x.tx.explicit {
		return nil // PostgreSQL only warns
	}
	tx := x.begin()
	tx.explicit = true
	tx.readOnly = s.readOnly
	tx.snapshot = s.snapshot
	return nil
}

// savepointName keeps the names of clients apart from SQLite's syntax.
func savepointName(name string) string { return `"sp_` + name + `"` }

func (x *session) setSavepoint(ctx context.Context, name string) error {
	tx := x.tx
	if tx == nil || !tx.explicit {
		return refuse(stateActiveTransaction, "SAVEPOINT can only be used in transaction blocks")
	}
	if err := x.openForSavepoint(ctx); err != nil {
		return err
	}
	if err := x.handle.run(ctx, "SAVEPOINT "+savepointName(name)); err != nil {
		return err
	}
	tx.savepoints = append(tx.savepoints, savepoint{name, len(tx.records)})
	return nil
}

// openForSavepoint opens the SQLite transaction that a savepoint needs. A
// replica and a read-only transaction get a read transaction.
func (x *session) openForSavepoint(ctx context.Context) error {
	tx := x.tx
	if _, err := x.server.group.beginWrite(); err == nil && !tx.readOnly {
		return x.openWrite(ctx)
	}
	tx.snapshot = true
	return x.openRead(ctx)
}

func (x *session) findSavepoint(name string) (int, error) {
	if x.tx != nil {
		for i, s := range slices.Backward(x.tx.savepoints) {
			if s.name == name {
				return i, nil
			}
		}
	}
	return 0, refuse(stateInvalidSavepoint, "savepoint %q does not exist", name)
}

func (x *session) rollbackTo(ctx context.Context, name string) error {
	i, err := x.findSavepoint(name)
	if err != nil {
		return err
	}
	x.closePortals()
	if err := x.handle.run(ctx, "ROLLBACK TO "+savepointName(name)); err != nil {
		return err
	}
	tx := x.tx
	tx.records = tx.records[:tx.savepoints[i].records]
	tx.savepoints = tx.savepoints[:i+1]
	tx.failed = false
	return nil
}

func (x *session) releaseSavepoint(ctx context.Context, name string) error {
	i, err := x.findSavepoint(name)
	if err != nil {
		return err
	}
	x.closePortals()
	if err := x.handle.run(ctx, "RELEASE "+savepointName(name)); err != nil {
		return err
	}
	x.tx.savepoints = x.tx.savepoints[:i]
	return nil
}
