package emulator_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/emulator"
)

func startOne(t *testing.T, cfg emulator.Config) *running {
	t.Helper()
	cfg.Primary, cfg.Dir = true, t.TempDir()
	r := &running{cfg: cfg}
	r.start(t)
	return r
}

func connect(t *testing.T, address, user string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), "postgres://"+user+"@"+address+"/db?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func mustExec(t *testing.T, c *pgx.Conn, sql string, args ...any) pgconn.CommandTag {
	t.Helper()
	tag, err := c.Exec(t.Context(), sql, args...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return tag
}

func wantState(t *testing.T, what string, err error, state string) {
	t.Helper()
	var p *pgconn.PgError
	if !errors.As(err, &p) || p.Code != state {
		t.Errorf("%s: got %v, want SQLSTATE %s", what, err, state)
	}
}

const createTypes = `CREATE TABLE types (id BIGINT PRIMARY KEY, name TEXT, f DOUBLE PRECISION, b BYTEA, ok BOOLEAN, at TIMESTAMPTZ)`

// TestTypes guards against values that change on their way through parameters and results.
func TestTypes(t *testing.T) {
	type row struct {
		ID   int64
		Name *string
		F    *float64
		B    []byte
		OK   *bool
		At   *time.Time
	}
	name, f, ok, at := "Ñandú 'x' $1", 1.25, true, time.Date(2026, 12, 4, 5, 6, 7, 89000, time.UTC)
	rows := []row{{1, &name, &f, []byte{0, 1, 255}, &ok, &at}, {ID: 2}}
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			c := connect(t, startOne(t, emulator.Config{}).server.Addr(), "app")
			mustExec(t, c, createTypes)
			for _, r := range rows {
				mustExec(t, c, `INSERT INTO types VALUES ($1, $2, $3, $4, $5, $6)`, mode, r.ID, r.Name, r.F, r.B, r.OK, r.At)
			}
			got, err := c.Query(t.Context(), `SELECT * FROM types ORDER BY id`, mode)
			if err != nil {
				t.Fatal(err)
			}
			list, err := pgx.CollectRows(got, pgx.RowToStructByPos[row])
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(rows, list); d != "" {
				t.Error(d)
			}
		})
	}
}

// TestExpressions guards against expressions that pgx cannot scan in its default mode.
func TestExpressions(t *testing.T) {
	c := connect(t, startOne(t, emulator.Config{}).server.Addr(), "app")
	mustExec(t, c, createTypes)
	mustExec(t, c, `INSERT INTO types (id, name, f, ok) VALUES (1, 'a', 1.5, true), (2, 'b', 2.5, false)`)
	cases := []struct {
		sql  string
		args []any
		want any
	}{
		{`SELECT count(*) FROM types`, nil, int64(2)},
		{`SELECT count(*) AS n FROM types WHERE name = $1`, []any{"a"}, int64(1)},
		{`SELECT coalesce(max(id), 0) + 1 FROM types`, nil, int64(3)},
		{`SELECT sum(id) FROM types`, nil, int64(3)},
		{`SELECT sum(t.f) total FROM types t`, nil, 4.0},
		{`SELECT (SELECT max(id) FROM types)`, nil, int64(2)},
		{`SELECT EXISTS (SELECT 1 FROM types WHERE id = $1)`, []any{2}, true},
		{`SELECT id > 1 FROM types WHERE id = 2`, nil, true},
		{`SELECT 1`, nil, int64(1)},
		{`SELECT 'x' || name FROM types WHERE id = 1`, nil, "xa"},
		{`SELECT $1::bigint`, []any{7}, int64(7)},
		{`SELECT $1::text`, []any{"7"}, "7"},
		{`SELECT $1::double precision`, []any{2.5}, 2.5},
		{`SELECT $1::numeric(10, 2) + 1`, []any{2.5}, 3.5},
		{`SELECT $1::bool`, []any{true}, true},
		{`SELECT count(*)::int FROM types`, nil, int64(2)},
		{`SELECT max(f)::double precision FROM types`, nil, 2.5},
		{`SELECT $1::uuid`, []any{"018f2e65-0000-7000-8000-000000000001"}, "018f2e65-0000-7000-8000-000000000001"},
		{`SELECT length($1::bytea)`, []any{[]byte{0, 1, 2}}, int64(3)},
		{`SELECT $1::timestamptz = $2::timestamptz`, []any{time.Unix(1, 0), time.Unix(1, 0).UTC()}, true},
		{`SELECT CASE WHEN ok THEN 1 ELSE 2 END FROM types WHERE id = 2`, nil, int64(2)},
		{`UPDATE types SET f = f * 2 WHERE id = 1 RETURNING f`, nil, 3.0},
		{`WITH big AS (SELECT id FROM types WHERE f > 2) SELECT count(*) FROM big`, nil, int64(2)},
		{`SELECT count(*) FROM types WHERE f + id >= $1`, []any{4.5}, int64(1)},
		{`SELECT name FROM types ORDER BY id LIMIT $1 OFFSET $2`, []any{1, 1}, "b"},
		{`SELECT id FROM types WHERE ok = $1`, []any{true}, int64(1)},
	}
	for _, tc := range cases {
		rows, err := c.Query(t.Context(), tc.sql, tc.args...)
		if err != nil {
			t.Errorf("%s: %v", tc.sql, err)
			continue
		}
		got, err := pgx.CollectExactlyOneRow(rows, pgx.RowTo[any])
		if err != nil || got != tc.want {
			t.Errorf("%s: got %T %v, %v, want %T %v", tc.sql, got, got, err, tc.want, tc.want)
		}
	}
}

// TestErrors guards against SQLSTATEs that make callers repeat, or give up, wrongly.
func TestErrors(t *testing.T) {
	r := startOne(t, emulator.Config{Connections: 1, ControlConnections: 1})
	c := connect(t, r.server.Addr(), "app")
	mustExec(t, c, createTypes)
	mustExec(t, c, `CREATE TABLE strict (id BIGINT PRIMARY KEY, n BIGINT NOT NULL CHECK (n > 0))`)
	mustExec(t, c, `INSERT INTO types (id) VALUES (1)`)
	for _, tc := range []struct{ sql, state string }{
		{`INSERT INTO types (id) VALUES (1)`, "23505"},
		{`SELEC 1`, "42601"},
		{`SELECT FROM WHERE`, "42601"},
		{`SELECT 'open`, "42601"},
		{`SELECT * FROM absent`, "42P01"},
		{`SELECT absent FROM types`, "42703"},
		{`SELECT absent(1)`, "42883"},
		{`CREATE TABLE types (id BIGINT)`, "42P07"},
		{`INSERT INTO strict VALUES (1, NULL)`, "23502"},
		{`INSERT INTO strict VALUES (1, 0)`, "23514"},
		{`PRAGMA journal_mode`, "42601"},
		{`SELECT group_status()`, "42501"},
	} {
		_, err := c.Exec(t.Context(), tc.sql, pgx.QueryExecModeDescribeExec)
		wantState(t, tc.sql, err, tc.state)
		_, err = c.Exec(t.Context(), tc.sql, pgx.QueryExecModeSimpleProtocol)
		wantState(t, tc.sql+" (simple)", err, tc.state)
	}
	_, err := pgx.Connect(t.Context(), "postgres://app@"+r.server.Addr()+"/db?sslmode=disable")
	wantState(t, "second connection", err, "53300")
	connect(t, r.server.Addr(), connector.ControlUser) // has its own limit
	_, err = pgx.Connect(t.Context(), "postgres://control@"+r.server.Addr()+"/db?sslmode=disable")
	wantState(t, "second control connection", err, "53300")
	go r.server.Close()
	for err = nil; err == nil; _, err = c.Exec(t.Context(), `SELECT 1`) {
	}
	wantState(t, "statement during a stop", err, "57P01")
}

// TestTransactions guards against wrong transaction states and writes that escape a rollback.
func TestTransactions(t *testing.T) {
	c := connect(t, startOne(t, emulator.Config{}).server.Addr(), "app")
	mustExec(t, c, createTypes)
	step := func(sql string, status byte, state string) {
		t.Helper()
		_, err := c.Exec(t.Context(), sql)
		if state != "" {
			wantState(t, sql, err, state)
		} else if err != nil {
			t.Errorf("%s: %v", sql, err)
		}
		if got := c.PgConn().TxStatus(); got != status {
			t.Errorf("%s: status %c, want %c", sql, got, status)
		}
	}
	step(`BEGIN`, 'T', "")
	step(`INSERT INTO types (id) VALUES (1)`, 'T', "")
	step(`INSERT INTO types (id) VALUES (1)`, 'E', "23505")
	step(`SELECT 1`, 'E', "25P02")
	step(`COMMIT`, 'I', "")
	step(`BEGIN READ ONLY`, 'T', "")
	step(`INSERT INTO types (id) VALUES (2)`, 'E', "25006")
	step(`ROLLBACK`, 'I', "")
	step(`BEGIN`, 'T', "")
	step(`INSERT INTO types (id) VALUES (3)`, 'T', "")
	step(`SAVEPOINT a`, 'T', "")
	step(`INSERT INTO types (id) VALUES (3)`, 'E', "23505")
	step(`ROLLBACK TO SAVEPOINT a`, 'T', "")
	step(`INSERT INTO types (id) VALUES (4)`, 'T', "")
	step(`COMMIT`, 'I', "")
	_, err := c.Prepare(t.Context(), "two", `SELECT 1; SELECT 2`)
	wantState(t, "two statements in one Parse", err, "42601")
	_, err = c.Exec(t.Context(), `INSERT INTO types (id) VALUES (5); INSERT INTO types (id) VALUES (5)`, pgx.QueryExecModeSimpleProtocol)
	wantState(t, "two statements as one transaction", err, "23505")
	b := &pgx.Batch{}
	b.Queue(`INSERT INTO types (id) VALUES (6)`)
	b.Queue(`INSERT INTO types (id) VALUES (6)`)
	wantState(t, "batch as one transaction", c.SendBatch(t.Context(), b).Close(), "23505")
	rows, _ := c.Query(t.Context(), `SELECT id FROM types ORDER BY id`)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	if err != nil || !slices.Equal(ids, []int64{3, 4}) {
		t.Errorf("rows %v, %v, want 3 and 4", ids, err)
	}
}

// TestPositions guards against a commit without a position, or a position without a commit.
func TestPositions(t *testing.T) {
	c := connect(t, startOne(t, emulator.Config{Term: 4}).server.Addr(), "app")
	position := func() string { return c.PgConn().ParameterStatus(connector.ParameterPosition) }
	mustExec(t, c, createTypes)
	if got := position(); got != "4/2" {
		t.Errorf("position %q after the first write, want 4/2", got)
	}
	for _, sql := range []string{`SELECT 1`, `BEGIN`, `INSERT INTO types (id) VALUES (1)`, `ROLLBACK`, `BEGIN`, `SELECT id FROM types FOR UPDATE`, `COMMIT`} {
		mustExec(t, c, sql)
	}
	if got := position(); got != "4/2" {
		t.Errorf("position %q without a commit of a write, want 4/2", got)
	}
	mustExec(t, c, `INSERT INTO types (id) VALUES (1)`)
	if got := position(); got != "4/3" {
		t.Errorf("position %q, want 4/3", got)
	}
}

// TestCancel guards against statements that go on, or sessions that break, after a cancel request.
func TestCancel(t *testing.T) {
	c := connect(t, startOne(t, emulator.Config{}).server.Addr(), "app")
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(t.Context(), `WITH RECURSIVE n(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM n) SELECT count(*) FROM n`)
		done <- err
	}()
	for {
		time.Sleep(20 * time.Millisecond) // the statement may not have begun
		if err := c.PgConn().CancelRequest(t.Context()); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-done:
			wantState(t, "canceled statement", err, "57014")
			mustExec(t, c, `SELECT 1`)
			return
		default:
		}
	}
}

// TestStreaming guards against an instance that collects a large result, or a portal that loses its place.
func TestStreaming(t *testing.T) {
	c := connect(t, startOne(t, emulator.Config{}).server.Addr(), "app")
	const endless = `WITH RECURSIVE n(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM n) SELECT x, '%s' FROM n`
	rr := c.PgConn().ExecParams(t.Context(), fmt.Sprintf(endless, strings.Repeat("y", 1000)), nil, nil, nil, nil)
	for i := 1; i <= 1000; i++ {
		if !rr.NextRow() || string(rr.Values()[0]) != fmt.Sprint(i) {
			t.Fatalf("row %d is missing", i)
		}
	}
	c.PgConn().Conn().Close()
}

// TestWriteLockNeedsNoSlot guards against a deadlock: statements that wait for
// the write lock must leave the slots to its holder.
func TestWriteLockNeedsNoSlot(t *testing.T) {
	r := startOne(t, emulator.Config{Slots: 1})
	holder := connect(t, r.server.Addr(), "app")
	mustExec(t, holder, createTypes)
	mustExec(t, holder, `BEGIN`)
	mustExec(t, holder, `INSERT INTO types (id) VALUES (1)`)
	waiter := connect(t, r.server.Addr(), "app")
	done := make(chan error, 1)
	go func() {
		_, err := waiter.Exec(t.Context(), `INSERT INTO types (id) VALUES (2)`)
		done <- err
	}()
	time.Sleep(50 * time.Millisecond) // the waiter waits for the lock
	mustExec(t, holder, `INSERT INTO types (id) VALUES (3)`)
	mustExec(t, holder, `COMMIT`)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestStubSet guards against delays that cannot be changed from outside the process.
func TestStubSet(t *testing.T) {
	r := startOne(t, emulator.Config{})
	control := connect(t, r.server.Addr(), connector.ControlUser)
	mustExec(t, control, `SELECT stub_set('openDelay','150ms')`)
	start := time.Now()
	connect(t, r.server.Addr(), "app")
	if d := time.Since(start); d < 150*time.Millisecond {
		t.Errorf("connection opened after %v, delay 150ms", d)
	}
	start = time.Now()
	connect(t, r.server.Addr(), connector.ControlUser)
	if d := time.Since(start); d >= 150*time.Millisecond {
		t.Errorf("control connection opened after %v, it has no delay", d)
	}
	_, err := control.Exec(t.Context(), `SELECT stub_set('sleep','1s')`)
	wantState(t, "unknown name", err, "22P02")
}

// TestNow guards against replicas whose now() differs from the primary's.
func TestNow(t *testing.T) {
	members := startGroup(t)
	p := connect(t, members[0].Address, "app")
	mustExec(t, p, createTypes)
	mustExec(t, p, `INSERT INTO types (id, at) VALUES (1, now())`)
	read := func(c *pgx.Conn) (at time.Time, err error) {
		return at, c.QueryRow(t.Context(), `SELECT at FROM types`).Scan(&at)
	}
	want, err := read(p)
	if err != nil {
		t.Fatal(err)
	}
	replica := connect(t, members[1].Address, "app")
	got, err := read(replica)
	for deadline := time.Now().Add(5 * time.Second); err != nil && time.Now().Before(deadline); got, err = read(replica) {
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil || !got.Equal(want) {
		t.Errorf("replica reads %v, %v, want %v", got, err, want)
	}
}

// TestIdleInTransaction guards against a client that is cut off in a transaction
// and keeps all other writers waiting for longer than the limit that it set.
func TestIdleInTransaction(t *testing.T) {
	c := connect(t, startOne(t, emulator.Config{}).server.Addr(), "app")
	mustExec(t, c, createTypes)
	cfg := c.Config().Copy()
	cfg.RuntimeParams["idle_in_transaction_session_timeout"] = "200"
	idle, err := pgx.ConnectConfig(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	mustExec(t, idle, "BEGIN")
	mustExec(t, idle, "INSERT INTO types (id) VALUES (1)")
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if _, err := c.Exec(ctx, "INSERT INTO types (id) VALUES (1)"); err != nil {
		t.Errorf("writer after an idle transaction: %v", err)
	}
}
