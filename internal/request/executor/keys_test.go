package executor

import (
	"database/sql"
	"encoding/binary"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	_ "modernc.org/sqlite"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
)

// keyAt returns a UUID version 7 of a time.
func keyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli())<<16)
	copy(id[:6], ms[:6])
	return id.String()
}

// A key that is no fresh UUID version 7 must be refused before anything runs.
func TestKeyCheck(t *testing.T) {
	g := newGroup(t, "a")
	e := newExecutor(t, g, nil)
	cases := map[string]classifier.Kind{
		"x":                                       classifier.BadKey,
		uuid.NewString():                          classifier.BadKey,
		keyAt(time.Now().Add(6 * time.Minute)):    classifier.BadKey,
		keyAt(time.Now().Add(-25 * time.Hour)):    classifier.KeyExpired,
		keyAt(time.Now().Add(4 * time.Minute)):    "",
		keyAt(time.Now().Add(-23 * time.Hour)):    "",
		"urn:uuid:" + keyAt(time.Now()):           "",
		strings.ToUpper(keyAt(time.Now())):        "",
		keyAt(time.Now())[:35] + "'":              classifier.BadKey,
		keyAt(time.Now()) + "'); DROP TABLE x;--": classifier.BadKey,
	}
	for key, want := range cases {
		r := exchanger.Request{Database: "db", Class: exchanger.Write, Key: key, Timeout: time.Second}
		if _, err := e.Run(t.Context(), r, &fakeStream{in: queries("WRITE x")}); kindOf(err) != want {
			t.Errorf("key %q: got %v, want kind %q", key, err, want)
		}
	}
	checkRuns(t, g, map[string]int{"x": 4})
}

// A key must not return the answer of a request with another text or other parameters.
func TestKeyReuse(t *testing.T) {
	g := newGroup(t, "a")
	e := newExecutor(t, g, nil)
	r := exchanger.Request{Database: "db", Class: exchanger.Write, Key: keyAt(time.Now()), Timeout: time.Second}
	for i, c := range []struct {
		params []string
		want   classifier.Kind
	}{{[]string{"1", "2"}, ""}, {[]string{"12"}, classifier.KeyReuse}, {[]string{"1", "3"}, classifier.KeyReuse}, {[]string{"1", "2"}, ""}} {
		if _, err := e.Run(t.Context(), r, &fakeStream{in: extended("WRITE x", c.params...)}); kindOf(err) != c.want {
			t.Errorf("request %d: got %v, want kind %q", i, err, c.want)
		}
	}
	checkRuns(t, g, map[string]int{"x": 1})
}

// Repeats that arrive together, through two gateways, must share one run.
func TestConcurrentRepeats(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	gateways := []*Executor{newExecutor(t, g, nil), newExecutor(t, g, nil)}
	r := exchanger.Request{Database: "db", Class: exchanger.Write, Key: keyAt(time.Now()), Timeout: 5 * time.Second}
	answers := make([]string, 16)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			s := &fakeStream{in: queries("WRITE x RETURNING 2")}
			if _, err := gateways[i%2].Run(t.Context(), r, s); err != nil {
				t.Errorf("repeat %d: %v", i, err)
			}
			answers[i] = string(s.out)
		})
	}
	wg.Wait()
	for i, a := range answers {
		if a != answers[0] {
			t.Errorf("answer %d differs: %q, want %q", i, a, answers[0])
		}
	}
	checkRuns(t, g, map[string]int{"x": 1})
}

// A repeat of a transaction that is still open elsewhere must not be told that it did not run.
func TestRepeatOfOpenTransaction(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	first, second := newExecutor(t, g, nil), newExecutor(t, g, nil)
	r := exchanger.Request{Database: "db", Class: exchanger.Transaction, Key: keyAt(time.Now()), Timeout: time.Second}
	open := &fakeStream{in: queries("BEGIN", "WRITE x"), block: make(chan struct{})}
	ended := make(chan error)
	go func() {
		_, err := first.Run(t.Context(), r, open)
		ended <- err
	}()
	for open.count() < 2 {
		time.Sleep(time.Millisecond)
	}
	if _, err := second.Run(t.Context(), r, &fakeStream{in: queries("BEGIN", "WRITE x", "COMMIT")}); !classifier.Is(err, classifier.OutcomeUnknown) {
		t.Errorf("repeat: got %v", err)
	}
	close(open.block)
	if err := <-ended; !classifier.Is(err, classifier.Canceled) {
		t.Errorf("first: got %v", err)
	}
}

// The statements of the key table must be valid and have the tags that the
// executor relies on: the fake instance only looks at their text.
func TestKeyStatements(t *testing.T) {
	db, err := sql.Open("sqlite", ":memory:")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	db.SetMaxOpenConns(1)
	k := requestKey{id: keyAt(time.Now()), created: time.Now(), fingerprint: "f"}
	for _, step := range []struct {
		sql  string
		rows int64
	}{
		{sqlCreateTable, 0}, {sqlCreateIndex, 0}, {sqlCreateTable, 0},
		{k.insert(stateDone), 1}, {k.insert(stateCancelled), 0}, {k.update(record{shape: []byte("Q"), answers: []byte{0, 1}}), 1},
	} {
		res, err := db.Exec(step.sql)
		if err != nil {
			t.Fatalf("%s: %v", step.sql, err)
		}
		if n, _ := res.RowsAffected(); step.rows > 0 && n != step.rows || strings.Contains(step.sql, stateCancelled) && n != 0 {
			t.Errorf("%s: %d rows, want %d", step.sql, n, step.rows)
		}
	}
	var state, fingerprint, answer string
	if err := db.QueryRow(k.lookup()).Scan(&state, &fingerprint, &answer); err != nil {
		t.Fatal(err)
	}
	r, err := parseRecord(answer)
	if err != nil || state != stateDone || fingerprint != "f" || !r.fits([]byte("Q")) || string(r.answers) != "\x00\x01" {
		t.Errorf("got %q %q %q %v", state, fingerprint, answer, err)
	}
}
