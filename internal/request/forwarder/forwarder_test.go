package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/session/tokenizer"
)

// runFunc is a Runner made of a function.
type runFunc func(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error)

func (f runFunc) Run(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	return f(ctx, r, s)
}

// caller is a Stream with canned messages.
type caller struct {
	in  []pgproto3.FrontendMessage
	got []string
}

func (c *caller) Receive() (pgproto3.FrontendMessage, error) {
	if len(c.in) == 0 {
		return nil, io.EOF
	}
	m := c.in[0]
	c.in = c.in[1:]
	return m, nil
}

func (c *caller) Send(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.DataRow:
		c.got = append(c.got, string(m.Values[0]))
	case *pgproto3.ReadyForQuery:
		c.got = append(c.got, string(m.TxStatus))
	}
	return nil
}

func (c *caller) Flush() error { return nil }

func query(sql string) *pgproto3.Query { return &pgproto3.Query{String: sql} }

func row(text string) *pgproto3.DataRow { return &pgproto3.DataRow{Values: [][]byte{[]byte(text)}} }

func ready(status byte) *pgproto3.ReadyForQuery { return &pgproto3.ReadyForQuery{TxStatus: status} }

func request(class exchanger.Class) exchanger.Request {
	return exchanger.Request{ID: "vm-1-1", Database: "orders", Session: "Zoë\x7f😀", Class: class, Timeout: 10 * time.Second}
}

// serve returns a Runner that reaches h over loopback.
func serve(t *testing.T, h http.Handler) (exchanger.Runner, *messenger.Server) {
	t.Helper()
	server, err := messenger.NewServer("127.0.0.1:0", nil, h)
	if err != nil {
		t.Fatal(err)
	}
	client := messenger.NewClient(nil)
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.Close()
	})
	return NewClient(client, false).Runner(server.Addr().String()), server
}

// TestTransaction guards against units that lose messages, the request or the result on the way.
func TestTransaction(t *testing.T) {
	want := exchanger.Result{Position: tokenizer.Position{Term: 3, Index: 9}, ServedBy: "a", Role: "primary", Reason: "x"}
	var got exchanger.Request
	r, _ := serve(t, NewHandler(runFunc(func(_ context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
		got = r
		for status := byte('T'); ; {
			m, err := s.Receive()
			if err != nil {
				return exchanger.Result{}, err
			}
			if m.(*pgproto3.Query).String == "commit" {
				status = 'I'
			}
			s.Send(row(m.(*pgproto3.Query).String))
			s.Send(ready(status))
			s.Flush()
			if status == 'I' {
				return want, nil
			}
		}
	}), 0))
	c := &caller{in: []pgproto3.FrontendMessage{query("begin"), query("insert"), query("commit"), query("next unit")}}
	res, err := r.Run(t.Context(), request(exchanger.Transaction), c)
	if err != nil || res != want {
		t.Errorf("result %+v, %v", res, err)
	}
	if s := strings.Join(c.got, " "); s != "begin T insert T commit I" {
		t.Errorf("caller got %q", s)
	}
	if len(c.in) != 1 {
		t.Errorf("%d messages are left, want the one of the next unit", len(c.in))
	}
	if got.Hops != 1 || got.Session != request("").Session || got.ID != "vm-1-1" || got.Timeout != 10*time.Second {
		t.Errorf("request arrived as %+v", got)
	}
}

// TestErrorKinds guards against a kind that changes on the way between VMs.
func TestErrorKinds(t *testing.T) {
	var next classifier.Kind
	r, _ := serve(t, NewHandler(runFunc(func(_ context.Context, _ exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
		s.Receive()
		return exchanger.Result{}, classifier.New(next, "reason %d", 1)
	}), 0))
	for _, a := range classifier.Table() {
		next = a.Kind
		_, err := r.Run(t.Context(), request(exchanger.Write), &caller{in: []pgproto3.FrontendMessage{query("insert")}})
		if classifier.KindOf(err) != a.Kind || classifier.Message(err) != "reason 1" || IsNothingSent(err) {
			t.Errorf("%s arrived as %s: %v", a.Kind, classifier.KindOf(err), err)
		}
	}
}

// TestBroken guards against wrong claims about a unit whose stream broke: a
// write that may have run must not be called not run, and a cut answer must not look complete.
func TestBroken(t *testing.T) {
	cut := func(w http.ResponseWriter, rows int) {
		c := http.NewResponseController(w)
		w.Header().Set(idHeader, "vm-1-1")
		w.WriteHeader(http.StatusOK)
		b, _ := (&pgproto3.RowDescription{}).Encode(nil)
		for range rows {
			b, _ = row("x").Encode(b)
		}
		if rows > 0 {
			w.Write(b)
		}
		c.Flush()
		panic(http.ErrAbortHandler)
	}
	handlers := map[string]http.HandlerFunc{
		"before": func(w http.ResponseWriter, _ *http.Request) { cut(w, 0) },
		"rows":   func(w http.ResponseWriter, _ *http.Request) { cut(w, 2) },
		"status": func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusNotFound) },
		"otherID": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(idHeader, "vm-1-0")
			b, _ := row("of another request").Encode(nil)
			w.Write(b)
		},
		"otherEnd": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(idHeader, "vm-1-1")
			w.Header().Set("Trailer", endTrailer)
			b, _ := ready('I').Encode(nil)
			w.Write(b)
			w.Header().Set(endTrailer, `{"id":"vm-1-0"}`)
		},
		"noReady": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(idHeader, "vm-1-1")
			w.Header().Set("Trailer", endTrailer)
			b, _ := row("x").Encode(nil)
			w.Write(b)
			w.Header().Set(endTrailer, `{"id":"vm-1-1"}`)
		},
	}
	for _, c := range []struct {
		handler string
		class   exchanger.Class
		want    classifier.Kind
	}{
		{"before", exchanger.Read, classifier.NotRun},
		{"before", exchanger.Write, classifier.OutcomeUnknown},
		{"before", exchanger.Transaction, classifier.OutcomeUnknown},
		{"rows", exchanger.Read, classifier.AnswerIncomplete},
		{"rows", exchanger.Write, classifier.OutcomeUnknown},
		{"status", exchanger.Write, classifier.OutcomeUnknown},
		{"otherID", exchanger.Read, classifier.NotRun},
		{"otherID", exchanger.Write, classifier.OutcomeUnknown},
		{"otherEnd", exchanger.Write, classifier.OutcomeUnknown},
		{"noReady", exchanger.Read, classifier.AnswerIncomplete},
		{"noReady", exchanger.Write, classifier.OutcomeUnknown},
	} {
		r, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.ReadFull(r.Body, make([]byte, 1)) // the messages have been sent
			handlers[c.handler](w, r)
		}))
		s := &caller{in: []pgproto3.FrontendMessage{query("select")}}
		_, err := r.Run(t.Context(), request(c.class), s)
		if classifier.KindOf(err) != c.want || err == nil || IsNothingSent(err) {
			t.Errorf("%s, %s: %v", c.handler, c.class, err)
		}
		if c.handler == "otherID" && len(s.got) > 0 {
			t.Errorf("caller got %q of another request", s.got)
		}
	}
}

// TestNothingSent guards against an unkeyed write that is refused as unknown
// although the other VM was never reached, and against a unit that cannot be given to the next VM.
func TestNothingSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	client := messenger.NewClient(nil)
	defer client.CloseIdleConnections()
	s := NewRewinder(&caller{in: []pgproto3.FrontendMessage{query("insert")}})
	_, err = NewClient(client, false).Runner(ln.Addr().String()).Run(t.Context(), request(exchanger.Write), s)
	if !IsNothingSent(err) || !classifier.Is(err, classifier.NotRun) {
		t.Errorf("unreachable VM: %v", err)
	}
	if !s.Rewind() {
		t.Error("stream cannot be rewound")
	}
	r, _ := serve(t, NewHandler(runFunc(func(_ context.Context, _ exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
		m, err := s.Receive()
		if err != nil {
			return exchanger.Result{}, err
		}
		s.Send(row(m.(*pgproto3.Query).String))
		s.Send(ready('I'))
		return exchanger.Result{}, nil
	}), 0))
	if _, err := r.Run(t.Context(), request(exchanger.Write), s); err != nil {
		t.Error(err)
	}
	if s.Rewind() {
		t.Error("stream can be rewound after an answer")
	}
}

// TestSeal guards against messages that are sent after their unit was called not sent.
func TestSeal(t *testing.T) {
	b := newBody()
	b.append([]byte("insert"))
	first := b.reader
	if b.seal() {
		t.Error("body was read before anyone read it")
	}
	again, _ := b.again()
	for _, r := range []io.Reader{first, again} {
		if n, err := r.Read(make([]byte, 10)); n > 0 || !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("read %d bytes of a sealed body, %v", n, err)
		}
	}
	b = newBody()
	b.append([]byte("insert"))
	b.reader.Read(make([]byte, 1))
	if !b.seal() {
		t.Error("body was not read")
	}
}

// TestRefused guards against an unknown outcome although the other VM's server refused the unit.
func TestRefused(t *testing.T) {
	r, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "server is closed", http.StatusServiceUnavailable)
	}))
	_, err := r.Run(t.Context(), request(exchanger.Write), &caller{in: []pgproto3.FrontendMessage{query("insert")}})
	if !IsNothingSent(err) || !classifier.Is(err, classifier.NotRun) {
		t.Errorf("closed server: %v", err)
	}
}

// TestGracefulStop guards against units that fail because the other VM closes its connections in order.
func TestGracefulStop(t *testing.T) {
	r, server := serve(t, NewHandler(runFunc(func(_ context.Context, _ exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
		s.Receive()
		time.Sleep(5 * time.Millisecond)
		s.Send(ready('I'))
		return exchanger.Result{}, nil
	}), 0))
	stop := time.AfterFunc(50*time.Millisecond, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		server.Drain(ctx)
	})
	defer stop.Stop()
	for {
		_, err := r.Run(t.Context(), request(exchanger.Write), &caller{in: []pgproto3.FrontendMessage{query("insert")}})
		if err == nil {
			continue
		}
		if !IsNothingSent(err) {
			t.Errorf("stopping VM: %v", err)
		}
		return
	}
}

// TestCallerGone guards against a unit that goes on at the gateway after the caller or the entry VM has given it up.
func TestCallerGone(t *testing.T) {
	started, ended := make(chan struct{}), make(chan error, 1)
	r, _ := serve(t, NewHandler(runFunc(func(ctx context.Context, _ exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
		s.Receive()
		close(started)
		<-ctx.Done()
		_, err := s.Receive()
		ended <- err
		return exchanger.Result{}, ctx.Err()
	}), 0))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := r.Run(ctx, request(exchanger.Transaction), &caller{in: []pgproto3.FrontendMessage{query("begin")}})
	if !classifier.Is(err, classifier.OutcomeUnknown) {
		t.Errorf("canceled transaction: %v", err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, io.EOF) {
			t.Errorf("receive after the end: %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("unit goes on")
	}
}

// TestBadRequests guards against a handler that runs what it cannot understand.
func TestBadRequests(t *testing.T) {
	ran := false
	h := NewHandler(runFunc(func(context.Context, exchanger.Request, exchanger.Stream) (exchanger.Result, error) {
		ran = true
		return exchanger.Result{}, nil
	}), 0)
	_, server := serve(t, h)
	client := messenger.NewClient(nil)
	defer client.CloseIdleConnections()
	for _, header := range []string{"", "{", `{"database":"orders","class":"read","timeoutNs":1,"hops":9}`, `{"class":"read"}`} {
		r, _ := http.NewRequest(http.MethodPost, "http://"+server.Addr().String()+Path, nil)
		r.Header.Set(requestHeader, header)
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if text := resp.Trailer.Get(endTrailer); !strings.Contains(text, `"kind":"`) || ran {
			t.Errorf("header %q: trailer %q, ran %v", header, text, ran)
		}
	}
}
