package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/tailscale/hujson"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/performer"
)

// routedSession is a session whose route moves between groups. It is the session's client, its configuration and its performer.
type routedSession struct {
	steps []string
	mu    sync.Mutex
	group string
	reads []string // the floor of each read, or primary
	wants []string
}

func (s *routedSession) Start() (string, string, error) { return "d", "", nil }
func (s *routedSession) Wait(time.Time) error           { return nil }
func (s *routedSession) Send(carrier.Reply) error       { return nil }
func (s *routedSession) Close()                         {}

// Receive carries out the steps up to the next statement, and returns that.
func (s *routedSession) Receive() (carrier.Statement, error) {
	for len(s.steps) > 0 {
		verb, arg, _ := strings.Cut(s.steps[0], " ")
		s.steps = s.steps[1:]
		switch verb {
		case "route":
			s.mu.Lock()
			s.group = arg
			s.mu.Unlock()
		case "writes":
			n, err := strconv.Atoi(arg)
			if err != nil {
				return carrier.Statement{}, err
			}
			for k := range n {
				s.steps = append([]string{fmt.Sprintf("route other-%d", k), "write 1/1"}, s.steps...)
			}
		case "write":
			return carrier.Statement{Verb: carrier.Write, Args: arg}, nil
		case "read":
			s.wants = append(s.wants, arg)
			return carrier.Statement{Verb: carrier.Read}, nil
		default:
			return carrier.Statement{}, fmt.Errorf("unknown step %q", verb)
		}
	}
	return carrier.Statement{}, io.EOF
}

func (s *routedSession) configuration() *cataloger.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &cataloger.Configuration{Routes: map[string]cataloger.Route{"d": {Database: "d", Group: s.group, ReadKind: cataloger.Session}}}
}

func (s *routedSession) Write(_ context.Context, r performer.Request) carrier.Reply {
	p, err := tokenizer.ParsePosition(r.Statement.Args)
	if err != nil {
		return carrier.ErrorReplyFor(err)
	}
	return carrier.Reply{Position: p}
}

func (s *routedSession) Read(_ context.Context, r performer.Request) carrier.Reply {
	got := r.Floor.String()
	if r.Route.ReadKind == cataloger.Current {
		got = "primary"
	}
	s.reads = append(s.reads, got)
	return carrier.Reply{}
}

func (s *routedSession) Begin(performer.Request, bool) *performer.Transaction { return nil }

// Guards against reads of a session that miss its own commit, because the route of its database has led to another group and back
// since.
func TestFloorsOfRoutedSession(t *testing.T) {
	b, err := os.ReadFile("testdata/floors.hujson")
	if err != nil {
		t.Fatal(err)
	}
	if b, err = hujson.Standardize(b); err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name  string   `json:"name"`
		Steps []string `json:"steps"`
	}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			rs := &routedSession{steps: c.Steps, group: "a"}
			l := pipeListener{make(chan net.Conn)}
			ended := make(chan string, 1)
			s := NewServer(Config{
				Listener: l, Clock: func() time.Duration { return 0 }, Accept: func(net.Conn, *budgeter.Account) ClientConn { return rs },
				Configuration: rs.configuration, Performer: rs, OnEnd: func(reason string) { ended <- reason },
			})
			go func() { _ = s.Serve() }()
			client, server := net.Pipe()
			defer func() { _ = client.Close() }()
			l.conns <- server
			reason := <-ended
			close(l.conns)
			if reason != "callerLeft" {
				t.Errorf("the session ended with %q", reason)
			}
			if diff := cmp.Diff(rs.wants, rs.reads); diff != "" {
				t.Errorf("reads (-want +got):\n%s", diff)
			}
		})
	}
}
