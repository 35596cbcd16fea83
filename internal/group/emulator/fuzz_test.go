package emulator

import "testing"

// FuzzDescribe guards against SQL text that makes the translation or the
// inference of types panic, which would end the whole instance.
func FuzzDescribe(f *testing.F) {
	for _, sql := range []string{
		`SELECT id, count(*) AS n, $1::numeric(10, 2)[] FROM t WHERE name = $2 FOR UPDATE`,
		`INSERT INTO t (id, name) VALUES ($1, $2) RETURNING *, id + 1.5`,
		`WITH a AS (SELECT CASE WHEN id THEN now() ELSE 2 END x FROM t) SELECT DISTINCT a.x || 'y' FROM a; TABLE t`,
		`SET SESSION a.b TO 'c'`, `SELECT group_follow(1,'a')`, `ROLLBACK TO SAVEPOINT "x"`, `SELECT (`, `SELECT $1::`,
		`CREATE TRIGGER x AFTER INSERT ON t BEGIN DELETE FROM t; END; SELECT 1`, `VALUES (1, 'a'), ($1, x'00')`,
	} {
		f.Add(sql)
	}
	st, _, err := openStore(f.TempDir(), 0)
	if err != nil {
		f.Fatal(err)
	}
	h, err := st.open()
	if err != nil {
		f.Fatal(err)
	}
	defer h.close()
	if err := h.run(f.Context(), `CREATE TABLE t (id BIGINT PRIMARY KEY, name TEXT)`); err != nil {
		f.Fatal(err)
	}
	x := &session{handle: h, server: &Server{group: &group{store: st}}}
	f.Fuzz(func(_ *testing.T, sql string) {
		list, err := parseStatements(sql)
		if err != nil {
			return
		}
		for _, s := range list {
			for i := range s.params {
				x.parameterType(s, i, []byte("true"))
			}
			if s.returns() {
				_, _ = x.describe(s) // only a panic is a fault
			}
		}
	})
}
