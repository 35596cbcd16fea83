package executor

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/backend/pooler"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/request/router"
	"parsleyscale/internal/sheet/parser"
)

// fakeStream plays a caller that sends its messages batch by batch.
type fakeStream struct {
	mu     sync.Mutex
	in     []pgproto3.FrontendMessage
	out    []byte // encoded answer without ReadyForQuery
	types  string
	status byte
	block  chan struct{}              // if set, Receive waits for it at the end
	late   []pgproto3.FrontendMessage // received after it
}

func (s *fakeStream) Receive() (pgproto3.FrontendMessage, error) {
	if len(s.in) == 0 {
		if s.block == nil {
			return nil, io.EOF
		}
		if <-s.block; len(s.late) == 0 {
			return nil, io.EOF
		}
		s.in, s.late = s.late, nil
	}
	m := s.in[0]
	s.in = s.in[1:]
	return m, nil
}

func (s *fakeStream) Send(m pgproto3.BackendMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := m.(*pgproto3.ReadyForQuery); ok {
		s.status = r.TxStatus
		return nil
	}
	n := len(s.out)
	var err error
	s.out, err = m.Encode(s.out)
	s.types += string(s.out[n])
	return err
}

func (s *fakeStream) Flush() error { return nil }

// count returns the number of messages that the caller got.
func (s *fakeStream) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.types)
}

func queries(texts ...string) []pgproto3.FrontendMessage {
	var m []pgproto3.FrontendMessage
	for _, t := range texts {
		m = append(m, &pgproto3.Query{String: t})
	}
	return m
}

func extended(sql string, params ...string) []pgproto3.FrontendMessage {
	var p [][]byte
	for _, v := range params {
		p = append(p, []byte(v))
	}
	return []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: sql}, &pgproto3.Bind{Parameters: p}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{},
	}
}

// decide sends reads to the first replica that is not excluded and has the floor, everything else to the primary.
func decide(v sampler.View, q router.Query) router.Decision {
	excluded := func(n string) bool {
		for _, e := range q.Exclude {
			if e == n {
				return true
			}
		}
		return false
	}
	for _, i := range v.Instances {
		if q.Class.IsRead() && i.Instance.Name != v.Primary && !excluded(i.Instance.Name) && i.Status.Applied.Covers(q.Floor) {
			return router.Decision{Instance: i.Instance.Name, Role: connector.RoleReplica, Reason: "replica"}
		}
	}
	if v.Primary != "" && !excluded(v.Primary) {
		return router.Decision{Instance: v.Primary, Role: connector.RolePrimary, Reason: "primary"}
	}
	return router.Decision{Err: classifier.New(classifier.NoPrimary, "none")}
}

func (g *group) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err == nil && g.small.Load() {
		shrinkBuffers(c)
	}
	return c, err
}

func newExecutor(t testing.TB, g *group, change func(*Config)) *Executor {
	p, err := pooler.New(pooler.Config{User: "u", DatabaseOf: func(string) string { return "db" }, Dial: g.dial})
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{
		Database: "db", Sampler: g, Decide: decide, Pool: p,
		Admitter:     admitter.New(admitter.Config{Limit: func(string) int { return 8 }}),
		ReadKind:     readKind,
		NotCommitted: []string{fenceCode},
		Silence:      100 * time.Millisecond,
	}
	if change != nil {
		change(&cfg)
	}
	e := New(cfg)
	t.Cleanup(func() {
		e.Close()
		p.Close()
	})
	return e
}

func readKind(name string) (parser.ReadKind, bool) {
	k, ok := map[string]time.Duration{"exact": 0, "recent": time.Second}[name]
	return parser.ReadKind{Name: name, MaxStaleness: parser.Duration(k)}, ok
}
