package emulator_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/emulator"
)

// TestProtocol guards against messages that are missing or out of order. The cases are in testdata/protocol.txt.
func TestProtocol(t *testing.T) {
	script, err := os.ReadFile("testdata/protocol.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range strings.Split(string(script), "\ncase ")[1:] {
		name, lines, _ := strings.Cut(c, "\n")
		t.Run(name, func(t *testing.T) {
			address := startOne(t, emulator.Config{}).server.Addr()
			setup := connect(t, address, "app")
			mustExec(t, setup, `CREATE TABLE t (id BIGINT PRIMARY KEY, name TEXT)`)
			mustExec(t, setup, `INSERT INTO t VALUES (1, 'a'), (2, 'b'), (3, 'c'), (4, 'd'), (5, 'e')`)
			f := startFrontend(t, address)
			for _, line := range strings.Split(strings.TrimSpace(lines), "\n") {
				if text, ok := strings.CutPrefix(line, "> "); ok {
					f.Send(frontendMessage(t, text))
				} else if want, ok := strings.CutPrefix(line, "< "); ok {
					expect(t, f, want)
				}
			}
		})
	}
}

// TestCommitBeforeEnd guards against a session that ends with an error and
// hides that a commit, whose batch was not complete, has succeeded.
func TestCommitBeforeEnd(t *testing.T) {
	r := startOne(t, emulator.Config{})
	mustExec(t, connect(t, r.server.Addr(), "app"), `CREATE TABLE t (id BIGINT PRIMARY KEY)`)
	f := startFrontend(t, r.server.Addr())
	f.Send(frontendMessage(t, "query BEGIN; INSERT INTO t VALUES (1)"))
	expect(t, f, "Complete(BEGIN) Complete(INSERT_0_1) Ready(T)")
	before := r.server.Status().Last
	for _, line := range []string{"parse - COMMIT", "bind - -", "execute - 0"} {
		f.Send(frontendMessage(t, line))
	}
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); r.server.Status().Last == before; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no commit")
		}
	}
	go r.server.Close()
	expect(t, f, "ParseComplete BindComplete Position Complete(COMMIT) Error(57P01)")
}

func startFrontend(t *testing.T, address string) *pgproto3.Frontend {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "app"}})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return f
		}
	}
}

func expect(t *testing.T, f *pgproto3.Frontend, want string) {
	t.Helper()
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for range strings.Fields(want) {
		m, err := f.Receive()
		if err != nil {
			t.Fatalf("got %v, then %v, want %s", got, err, want)
		}
		got = append(got, render(m))
	}
	if g := strings.Join(got, " "); g != want {
		t.Fatalf("got  %s\nwant %s", g, want)
	}
}

func frontendMessage(t *testing.T, line string) pgproto3.FrontendMessage {
	verb, rest, _ := strings.Cut(line, " ")
	name, text, _ := strings.Cut(rest, " ")
	name = strings.TrimPrefix(name, "-")
	switch verb {
	case "query":
		return &pgproto3.Query{String: rest}
	case "parse":
		return &pgproto3.Parse{Name: name, Query: text}
	case "bind":
		words := strings.Fields(text)
		m := &pgproto3.Bind{DestinationPortal: name, PreparedStatement: strings.TrimPrefix(words[0], "-")}
		for _, w := range words[1:] {
			m.Parameters = append(m.Parameters, []byte(w))
		}
		return m
	case "describe-statement":
		return &pgproto3.Describe{ObjectType: 'S', Name: name}
	case "describe-portal":
		return &pgproto3.Describe{ObjectType: 'P', Name: name}
	case "close-statement":
		return &pgproto3.Close{ObjectType: 'S', Name: name}
	case "execute":
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		return &pgproto3.Execute{Portal: name, MaxRows: uint32(n)}
	case "flush":
		return &pgproto3.Flush{}
	case "sync":
		return &pgproto3.Sync{}
	}
	t.Fatalf("unknown verb %q", verb)
	return nil
}

func render(m pgproto3.BackendMessage) string {
	switch m := m.(type) {
	case *pgproto3.DataRow:
		return "Row(" + string(bytes.Join(m.Values, []byte("|"))) + ")"
	case *pgproto3.CommandComplete:
		return "Complete(" + strings.ReplaceAll(string(m.CommandTag), " ", "_") + ")"
	case *pgproto3.ErrorResponse:
		return "Error(" + m.Code + ")"
	case *pgproto3.ReadyForQuery:
		return "Ready(" + string(m.TxStatus) + ")"
	case *pgproto3.ParameterStatus:
		if m.Name == connector.ParameterPosition {
			return "Position"
		}
		return m.Name
	case *pgproto3.RowDescription:
		var columns []string
		for _, f := range m.Fields {
			columns = append(columns, fmt.Sprintf("%s:%d", f.Name, f.DataTypeOID))
		}
		return "Columns(" + strings.Join(columns, ",") + ")"
	case *pgproto3.ParameterDescription:
		return "Parameters(" + strings.ReplaceAll(strings.Trim(fmt.Sprint(m.ParameterOIDs), "[]"), " ", ",") + ")"
	case *pgproto3.PortalSuspended:
		return "Suspended"
	case *pgproto3.EmptyQueryResponse:
		return "Empty"
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.")
}
