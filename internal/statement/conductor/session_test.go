package conductor

import (
	"net"
	"strings"
	"testing"
	"time"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/performer"
)

// Guards against a transaction that is committed although one of its statements was refused for overload, which promises that nothing of
// the transaction is kept.
func TestRefusalEndsTransaction(t *testing.T) {
	p := performer.New(performer.Config{Groups: registrar.New(func() time.Duration { return 0 })})
	noMemory := classifier.New(classifier.Overloaded, "no memory")
	for _, c := range []struct {
		name   string
		refuse func(s *session) carrier.Reply
		kind   classifier.Kind
		want   carrier.State
	}{
		{"statement that does not fit", func(s *session) carrier.Reply { return s.handleInvalid(noMemory) }, classifier.Overloaded, carrier.Failed},
		{"statement that cannot be parsed", func(s *session) carrier.Reply { return s.handleInvalid(classifier.New(classifier.BadMessage, "?")) }, classifier.BadMessage, carrier.InTransaction},
		{"answer that does not fit", func(s *session) carrier.Reply {
			r, err := s.accountForAnswer(carrier.Statement{Verb: carrier.Read}, carrier.Reply{Rows: []string{strings.Repeat("x", 2*maxUncountedAnswerBytes)}, State: carrier.InTransaction})
			if err != nil {
				t.Error(err)
			}
			return r
		}, classifier.Overloaded, carrier.Failed},
		{"value that does not fit", func(s *session) carrier.Reply {
			return s.setValue(carrier.Statement{Verb: carrier.Set, Name: "n", Args: "v"})
		}, classifier.Overloaded, carrier.Failed},
		{"prepared statement that does not fit", func(s *session) carrier.Reply {
			return s.prepare(carrier.Statement{Verb: carrier.Prepare, Name: "n", Args: "q"})
		}, classifier.Overloaded, carrier.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			clientEnd, serverEnd := net.Pipe()
			defer func() { _ = clientEnd.Close() }()
			account, err := budgeter.New(budgeter.Limits{Process: budgeter.Amounts{budgeter.Starting: 1, budgeter.Connections: 1}, KeptBySession: 1000}, nil).Open(serverEnd)
			if err != nil {
				t.Fatal(err)
			}
			s := &session{server: NewServer(Config{Performer: p, Configuration: func() *cataloger.Configuration { return nil }}), account: account, tx: p.Begin(performer.Request{}, false)}
			if r := c.refuse(s); r.Kind != c.kind || r.State != c.want || s.state() != c.want {
				t.Errorf("%+v, then state %d; want kind %s and state %d", r, s.state(), c.kind, c.want)
			}
		})
	}
}
