package listener

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/forwarder"
	"parsleyscale/internal/request/parser"
	"parsleyscale/internal/session/tokenizer"
)

// fakeRunner answers as an instance would: one row for each query, tags for
// other statements, an error for text with "fail". It records what it got.
type fakeRunner struct {
	mu       sync.Mutex
	requests []exchanger.Request
	messages []string
	position tokenizer.Position
	hook     func(ctx context.Context, sql string) error // runs before a statement; its error ends the unit
}

func (f *fakeRunner) Run(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	f.mu.Lock()
	f.requests = append(f.requests, r)
	f.mu.Unlock()
	u := fakeUnit{f: f, s: s, class: r.Class, status: 'I', portals: map[string]string{}}
	for {
		m, err := s.Receive()
		if err != nil {
			return exchanger.Result{}, err
		}
		if err := u.answer(ctx, m); err != nil {
			return exchanger.Result{}, err
		}
		if u.isDone {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !r.Class.IsRead() {
				f.position.Index++
			}
			return exchanger.Result{Position: f.position, ServedBy: "fake"}, nil
		}
	}
}

func (f *fakeRunner) last() exchanger.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.requests) == 0 {
		return exchanger.Request{}
	}
	return f.requests[len(f.requests)-1]
}

func (f *fakeRunner) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

type fakeUnit struct {
	f       *fakeRunner
	s       exchanger.Stream
	class   exchanger.Class
	status  byte
	unnamed string
	portals map[string]string
	isBad   bool // an error was sent in this batch
	isDone  bool
}

func (u *fakeUnit) answer(ctx context.Context, m pgproto3.FrontendMessage) error {
	u.note(m)
	switch m := m.(type) {
	case *pgproto3.Query:
		for _, st := range parser.Parse(m.String) {
			if err := u.run(ctx, st, true); err != nil {
				return err
			}
		}
		return u.ready()
	case *pgproto3.Sync:
		return u.ready()
	}
	if u.isBad {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Parse:
		u.unnamed = m.Query
		if strings.Contains(m.Query, "syntax") {
			return u.fail("42601")
		}
		return u.s.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		u.portals[m.DestinationPortal] = u.unnamed
		return u.s.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			if m.Name != "" {
				return u.fail("26000")
			}
			u.s.Send(&pgproto3.ParameterDescription{ParameterOIDs: u.oids()})
			return u.describe(u.unnamed)
		}
		return u.describe(u.portals[m.Name])
	case *pgproto3.Execute:
		sql, isKnown := u.portals[m.Portal]
		list := parser.Parse(sql)
		switch {
		case !isKnown:
			return u.fail("34000")
		case len(list) == 0:
			return u.s.Send(&pgproto3.EmptyQueryResponse{})
		}
		return u.run(ctx, list[0], false)
	case *pgproto3.Close:
		return u.s.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return u.s.Flush()
	}
	return errors.New("fake runner: unexpected message")
}

func (u *fakeUnit) oids() []uint32 { return make([]uint32, strings.Count(u.unnamed, "$")) }

func (u *fakeUnit) note(m pgproto3.FrontendMessage) {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	text := strings.TrimPrefix(strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."), "*")
	switch m := m.(type) {
	case *pgproto3.Query:
		text += " " + m.String
	case *pgproto3.Parse:
		text += " " + m.Name + ":" + m.Query
	}
	u.f.messages = append(u.f.messages, text)
}

func (u *fakeUnit) describe(sql string) error {
	if strings.HasPrefix(strings.ToLower(sql), "select") {
		return u.s.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
			{Name: []byte("answer"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}})
	}
	return u.s.Send(&pgproto3.NoData{})
}

func (u *fakeUnit) run(ctx context.Context, st parser.Statement, isSimple bool) error {
	if u.isBad {
		return nil
	}
	if u.class == exchanger.Read && st.Class != exchanger.Read || isLocal(st) || st.Action == parser.Refuse {
		panic(fmt.Sprintf("unit of class %s got %q", u.class, st.Text))
	}
	if u.f.hook != nil {
		if err := u.f.hook(ctx, st.Text); err != nil {
			return err
		}
	}
	if kind, isLost := strings.CutPrefix(st.Text, "lose "); isLost {
		return classifier.New(classifier.Kind(kind), "lost")
	}
	switch {
	case strings.Contains(st.Text, "fail"), st.Text == refusedName:
		return u.fail("42601")
	case u.status == 'E' && st.Action != parser.End:
		return u.fail("25P02")
	case st.Action == parser.Begin:
		u.status = 'T'
	case st.Action == parser.End:
		u.status = 'I'
	case st.Keyword == "select":
		if isSimple {
			u.describe(st.Text)
		}
		u.s.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(st.Text)}})
	}
	return u.s.Send(&pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(st.Keyword))})
}

func (u *fakeUnit) fail(code string) error {
	u.isBad = true
	if u.status == 'T' {
		u.status = 'E'
	}
	return u.s.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "fake"})
}

func (u *fakeUnit) ready() error {
	u.isBad = false
	u.isDone = u.status == 'I'
	u.s.Send(&pgproto3.ReadyForQuery{TxStatus: u.status})
	return u.s.Flush()
}

// through returns a Runner that reaches r over the forwarder and loopback.
func through(t testing.TB, r exchanger.Runner) exchanger.Runner {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(forwarder.Path, forwarder.NewHandler(r, 0))
	server, err := messenger.NewServer("127.0.0.1:0", nil, mux)
	if err != nil {
		t.Fatal(err)
	}
	client := messenger.NewClient(nil)
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.Close()
	})
	return forwarder.NewClient(client, false).Runner(server.Addr().String())
}

// direct returns r itself.
func direct(_ testing.TB, r exchanger.Runner) exchanger.Runner { return r }

// bothWays runs a test with a Runner of this VM and with one of another VM.
func bothWays(t *testing.T, test func(t *testing.T, f *fakeRunner, l *Listener)) {
	for name, way := range map[string]func(testing.TB, exchanger.Runner) exchanger.Runner{"local": direct, "forwarded": through} {
		t.Run(name, func(t *testing.T) {
			f := &fakeRunner{}
			test(t, f, startListener(t, newTestConfig(t, way(t, f))))
		})
	}
}

// newTestConfig returns settings that trust loopback callers.
func newTestConfig(t testing.TB, r exchanger.Runner) Config {
	t.Helper()
	tokens, err := tokenizer.NewCodec([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	return Config{
		Address:       "127.0.0.1:0",
		VM:            "vm-1",
		TrustLoopback: true,
		Runner:        r,
		Tokens:        tokens,
		Ready:         func() error { return nil },
		Check: func(database, readKind string) error {
			switch {
			case database != "orders":
				return classifier.New(classifier.UnknownDatabase, "database %q", database)
			case readKind != "" && readKind != "stock":
				return classifier.New(classifier.UnknownReadKind, "read kind %q", readKind)
			}
			return nil
		},
		Limits: Limits{Statement: 5 * time.Second},
	}
}

// startListener serves cfg until the test ends.
func startListener(t testing.TB, cfg Config) *Listener {
	t.Helper()
	l, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	go l.Serve()
	t.Cleanup(func() { l.Close() })
	return l
}
