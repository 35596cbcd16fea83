package parser

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"parsleyscale/internal/request/exchanger"
)

// rows reads a table of expected results and SQL texts.
func rows(t testing.TB, path string) [][2]string {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var list [][2]string
	for s := bufio.NewScanner(f); s.Scan(); {
		if strings.HasPrefix(s.Text(), "#") {
			continue
		}
		want, sql, ok := strings.Cut(s.Text(), "|")
		if !ok {
			t.Fatalf("%s: %q has no separator", path, s.Text())
		}
		sql = strings.TrimSpace(sql)
		if text, err := strconv.Unquote(sql); err == nil && sql[0] == '"' {
			sql = text
		}
		list = append(list, [2]string{strings.TrimSpace(want), sql})
	}
	return list
}

// TestClassify guards against a write that is taken for a read, which a replica or an unconfirmed primary would run.
func TestClassify(t *testing.T) {
	for _, row := range rows(t, "testdata/classify.txt") {
		list := Parse(row[1])
		var actions []string
		for _, s := range list {
			actions = append(actions, string(s.Action))
		}
		got := string(ClassOf(list)) + " " + strings.Join(actions, ",")
		if strings.TrimSpace(got) != row[0] {
			t.Errorf("%q: got %s, want %s", row[1], got, row[0])
		}
	}
}

// TestSettings guards against a parameter whose name or value is read wrongly.
func TestSettings(t *testing.T) {
	for _, row := range rows(t, "testdata/settings.txt") {
		list := Parse(row[1])
		if len(list) != 1 {
			t.Errorf("%q: %d statements", row[1], len(list))
			continue
		}
		s := list[0]
		var flags []string
		for _, f := range []struct {
			is   bool
			name string
		}{{s.IsOwn(), "own"}, {s.Local, "local"}, {s.Default, "default"}} {
			if f.is {
				flags = append(flags, f.name)
			}
		}
		if flags == nil {
			flags = []string{"-"}
		}
		got := strings.Join([]string{string(s.Action), s.Name, strconv.Quote(s.Value), strings.Join(flags, ",")}, " ")
		if diff := cmp.Diff(row[0], got); diff != "" {
			t.Errorf("%q: %s", row[1], diff)
		}
	}
}

// TestStrictest guards against a mixed unit that gets a weaker class than one of its parts.
func TestStrictest(t *testing.T) {
	all := []exchanger.Class{exchanger.Read, exchanger.ReadOnlyTransaction, exchanger.Write, exchanger.Transaction}
	for i, a := range all {
		for j, b := range all {
			got := Strictest(a, b)
			if got != Strictest(b, a) || strictness(got) < max(i, j) {
				t.Errorf("%s with %s: got %s", a, b, got)
			}
		}
	}
	if got := Strictest(exchanger.ReadOnlyTransaction, exchanger.Write); got != exchanger.Transaction {
		t.Errorf("read-only transaction with write: got %s", got)
	}
}

// FuzzParse guards against panics, endless loops, and statement texts that are not part of the source. It also
// checks that a literal or comment in front of a write never hides the write.
func FuzzParse(f *testing.F) {
	for _, row := range rows(f, "testdata/classify.txt") {
		f.Add(row[1])
	}
	f.Fuzz(func(t *testing.T, sql string) {
		list := Parse(sql)
		for _, s := range list {
			if !strings.Contains(sql, s.Text) || s.Text == "" {
				t.Errorf("statement %q is no part of %q", s.Text, sql)
			}
		}
		class := ClassOf(Parse("DELETE FROM t; " + sql))
		if class.IsRead() {
			t.Errorf("write before %q is classified as %s", sql, class)
		}
	})
}
