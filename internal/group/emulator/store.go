package emulator

import (
	"context"
	"database/sql/driver"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"

	"modernc.org/sqlite"

	"parsleyscale/internal/session/tokenizer"
)

// maxCachedStatements bounds the prepared statements that a handle keeps.
const maxCachedStatements = 100

// store is one generation of the rows: a SQLite file in WAL mode. Dropping
// applied entries starts a new generation, because SQLite cannot undo a committed transaction.
type store struct {
	path   string
	writer chan struct{} // holds a token while no transaction writes
	schema atomic.Uint64 // rises with each change of the schema

	applier *handle // runs the entries of the log; guarded by the write lock
}

// storeParameters: synchronous is off because the log and the rows only have
// to survive the end of the process; the busy timeout covers checkpoints, as
// writers are serialised by store.writer.
const storeParameters = "_pragma=busy_timeout(5000)&_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)&_pragma=foreign_keys(ON)&_dqs=0"

func storePath(dir string, generation uint64) string {
	return filepath.Join(dir, fmt.Sprintf("data-%d.db", generation))
}

// openStore opens or creates a generation and returns the last entry applied to it.
func openStore(dir string, generation uint64) (*store, tokenizer.Position, error) {
	st := &store{path: storePath(dir, generation), writer: make(chan struct{}, 1)}
	st.writer <- struct{}{}
	h, err := st.open()
	if err != nil {
		return nil, tokenizer.Position{}, err
	}
	defer h.close()
	p, err := h.initApplied()
	if err != nil {
		return nil, tokenizer.Position{}, fmt.Errorf("read applied position of %s: %w", st.path, err)
	}
	return st, p, nil
}

// remove deletes the files of a generation. Open handles keep working until they are closed.
func (st *store) remove() {
	for _, suffix := range []string{"", "-wal", "-shm"} {
		os.Remove(st.path + suffix)
	}
}

// closeApplier closes the handle of the applier, which must not be in use.
func (st *store) closeApplier() {
	if st.applier != nil {
		st.applier.close()
		st.applier = nil
	}
}

// apply runs entries on the applier's handle. The caller holds the write lock.
func (st *store) apply(ctx context.Context, entries []entry) error {
	if st.applier == nil {
		h, err := st.open()
		if err != nil {
			return err
		}
		st.applier = h
	}
	return st.applier.apply(ctx, entries)
}

// lock waits for the write lock.
func (st *store) lock(ctx context.Context) error {
	select {
	case <-st.writer:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (st *store) unlock() { st.writer <- struct{}{} }

// handle is one SQLite connection with its prepared statements. It serves one goroutine.
type handle struct {
	store   *store
	conn    driver.Conn
	cache   map[string]*prepared
	columns map[string][]column
	schema  uint64 // version of the schema that cache and columns belong to
}

// prepared is a SQLite statement. A busy one has an open cursor.
type prepared struct {
	stmt   driver.Stmt
	busy   bool
	cached bool
}

func (st *store) open() (*handle, error) {
	u := url.URL{Scheme: "file", Opaque: (&url.URL{Path: st.path}).EscapedPath(), RawQuery: storeParameters}
	c, err := new(sqlite.Driver).Open(u.String())
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", st.path, err)
	}
	return &handle{store: st, conn: c, cache: make(map[string]*prepared), columns: make(map[string][]column), schema: st.schema.Load()}, nil
}

func (h *handle) close() {
	h.dropCache()
	h.conn.Close()
}

func (h *handle) dropCache() {
	for text, p := range h.cache {
		p.cached = false
		if !p.busy {
			p.stmt.Close()
		}
		delete(h.cache, text)
	}
	clear(h.columns)
}

// checkSchema drops the cache after a change of the schema, because the result
// columns of its statements may have changed.
func (h *handle) checkSchema() {
	if v := h.store.schema.Load(); v != h.schema {
		h.dropCache()
		h.schema = v
	}
}

// prepare returns a statement from the cache or a new one. A statement whose
// cursor is open is not shared.
func (h *handle) prepare(ctx context.Context, text string) (*prepared, error) {
	h.checkSchema()
	p, ok := h.cache[text]
	if ok && !p.busy {
		p.busy = true
		return p, nil
	}
	s, err := h.conn.(driver.ConnPrepareContext).PrepareContext(ctx, text)
	if err != nil {
		return nil, err
	}
	p = &prepared{stmt: s, busy: true, cached: !ok}
	if p.cached {
		if len(h.cache) >= maxCachedStatements {
			h.dropCache()
		}
		h.cache[text] = p
	}
	return p, nil
}

// release makes a statement available again.
func (p *prepared) release() {
	p.busy = false
	if !p.cached {
		p.stmt.Close()
	}
}

func (p *prepared) exec(ctx context.Context, args []driver.NamedValue) (driver.Result, error) {
	return p.stmt.(driver.StmtExecContext).ExecContext(ctx, args)
}

func (p *prepared) query(ctx context.Context, args []driver.NamedValue) (driver.Rows, error) {
	return p.stmt.(driver.StmtQueryContext).QueryContext(ctx, args)
}

// run executes a text without a result.
func (h *handle) run(ctx context.Context, text string, args ...any) error {
	p, err := h.prepare(ctx, text)
	if err != nil {
		return err
	}
	defer p.release()
	named := make([]driver.NamedValue, len(args))
	for i, a := range args {
		named[i] = driver.NamedValue{Ordinal: i + 1, Value: a}
	}
	_, err = p.exec(ctx, named)
	return err
}

const (
	createApplied = `CREATE TABLE IF NOT EXISTS parsleystub_applied (id INTEGER PRIMARY KEY, term INTEGER NOT NULL, idx INTEGER NOT NULL)`
	insertApplied = `INSERT INTO parsleystub_applied VALUES (1, 0, 0) ON CONFLICT DO NOTHING`
	selectApplied = `SELECT term, idx FROM parsleystub_applied WHERE id = 1`
	updateApplied = `UPDATE parsleystub_applied SET term = ?1, idx = ?2 WHERE id = 1`
)

// initApplied returns the position of the last applied entry, which is kept with the rows.
func (h *handle) initApplied() (tokenizer.Position, error) {
	ctx := context.Background()
	for _, text := range []string{createApplied, insertApplied} {
		if err := h.run(ctx, text); err != nil {
			return tokenizer.Position{}, err
		}
	}
	p, err := h.prepare(ctx, selectApplied)
	if err != nil {
		return tokenizer.Position{}, err
	}
	defer p.release()
	rows, err := p.query(ctx, nil)
	if err != nil {
		return tokenizer.Position{}, err
	}
	defer rows.Close()
	v := make([]driver.Value, 2)
	if err := rows.Next(v); err != nil {
		return tokenizer.Position{}, err
	}
	return tokenizer.Position{Term: uint64(v[0].(int64)), Index: uint64(v[1].(int64))}, nil
}

// setApplied records the position of the last applied entry in the open transaction.
func (h *handle) setApplied(ctx context.Context, p tokenizer.Position) error {
	return h.run(ctx, updateApplied, int64(p.Term), int64(p.Index))
}

// apply runs entries in one transaction. The caller holds the write lock.
func (h *handle) apply(ctx context.Context, entries []entry) error {
	if err := h.run(ctx, "BEGIN IMMEDIATE"); err != nil {
		return err
	}
	if err := h.applyOpen(ctx, entries); err != nil {
		_ = h.run(context.Background(), "ROLLBACK") // the transaction is already over after some errors
		return err
	}
	if err := h.run(ctx, "COMMIT"); err != nil {
		return err
	}
	if slices.ContainsFunc(entries, entry.changesSchema) {
		h.store.schema.Add(1)
	}
	return nil
}

func (h *handle) applyOpen(ctx context.Context, entries []entry) error {
	for _, e := range entries {
		for _, r := range e.Statements {
			if err := h.replay(ctx, r, e.Now); err != nil {
				return fmt.Errorf("apply entry %s: %w", e.position(), err)
			}
		}
	}
	return h.setApplied(ctx, entries[len(entries)-1].position())
}

func (h *handle) replay(ctx context.Context, r record, now string) error {
	p, err := h.prepare(ctx, r.SQL)
	if err != nil {
		return err
	}
	defer p.release()
	_, err = p.exec(ctx, namedArgs(r.Args, now))
	return err
}
