package contracttest

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
)

// Bounds of the waits. A write or an operation that takes effect at once fails
// after opTimeout; what the group does by itself is awaited for settleTimeout.
const (
	opTimeout     = 5 * time.Second
	settleTimeout = 10 * time.Second
	pollInterval  = 5 * time.Millisecond
)

// Member is one instance under test.
type Member struct {
	Address   string                             // host:port, the same after a restart
	Restart   func(t *testing.T)                 // stops the instance and starts it with its durable state
	SetDelays func(receive, apply time.Duration) // changes the replication delays
}

// Factory starts a group: a primary of term 1, then two replicas that follow it.
type Factory func(t *testing.T) [3]Member

// Run checks the contract with a fresh group for each case.
func Run(t *testing.T, start Factory) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, start(t))
			c.check(g)
		})
	}
}

// group is a started group with a client for each member.
type group struct {
	*testing.T
	members [3]Member
	clients [3]*connector.Client
}

func newGroup(t *testing.T, members [3]Member) *group {
	g := &group{T: t, members: members}
	for i, m := range members {
		g.clients[i] = connector.Dial(connector.Config{Address: m.Address, Timeout: opTimeout})
		t.Cleanup(func() { g.clients[i].Close() })
	}
	g.exec(0, "CREATE TABLE contract (id BIGINT PRIMARY KEY)")
	return g
}

// status returns the status of member i.
func (g *group) status(i int) connector.Status {
	g.Helper()
	s, err := g.clients[i].Status(g.Context())
	if err != nil {
		g.Fatalf("status of member %d: %v", i, err)
	}
	return s
}

func (g *group) fence(term uint64, members ...int) {
	g.Helper()
	for _, i := range members {
		if _, err := g.clients[i].Fence(g.Context(), term); err != nil {
			g.Fatalf("fence member %d at %d: %v", i, term, err)
		}
	}
}

func (g *group) promote(i int, term uint64) connector.Status {
	g.Helper()
	s, err := g.clients[i].Promote(g.Context(), term)
	if err != nil {
		g.Fatalf("promote member %d at %d: %v", i, term, err)
	}
	return s
}

func (g *group) follow(i int, term uint64, upstream int) connector.Status {
	g.Helper()
	s, err := g.clients[i].Follow(g.Context(), term, g.members[upstream].Address)
	if err != nil {
		g.Fatalf("let member %d follow member %d at %d: %v", i, upstream, term, err)
	}
	return s
}

// connect opens an ordinary connection to member i. Its parameter statuses
// show the position of the last commit.
func (g *group) connect(i int) *pgx.Conn {
	g.Helper()
	ctx, cancel := context.WithTimeout(g.Context(), opTimeout)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://contract@"+g.members[i].Address+"/contract?sslmode=disable")
	if err != nil {
		g.Fatalf("connect to member %d: %v", i, err)
	}
	g.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), opTimeout)
		defer cancel()
		c.Close(ctx)
	})
	return c
}

// tryExec runs a statement on member i and returns the position that its commit reported.
func (g *group) tryExec(i int, sql string, args ...any) (tokenizer.Position, error) {
	g.Helper()
	ctx, cancel := context.WithTimeout(g.Context(), opTimeout)
	defer cancel()
	c := g.connect(i)
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, sql, args...); err != nil {
		return tokenizer.Position{}, err
	}
	return position(c)
}

func position(c *pgx.Conn) (tokenizer.Position, error) {
	return tokenizer.ParsePosition(c.PgConn().ParameterStatus(connector.ParameterPosition))
}

func (g *group) exec(i int, sql string, args ...any) tokenizer.Position {
	g.Helper()
	p, err := g.tryExec(i, sql, args...)
	if err != nil {
		g.Fatalf("%s on member %d: %v", sql, i, err)
	}
	return p
}

func (g *group) insert(i int, id int64) tokenizer.Position {
	g.Helper()
	return g.exec(i, "INSERT INTO contract VALUES ($1)", id)
}

// ids returns the rows that reads of member i see.
func (g *group) ids(i int) []int64 {
	g.Helper()
	ctx, cancel := context.WithTimeout(g.Context(), opTimeout)
	defer cancel()
	c := g.connect(i)
	defer c.Close(ctx)
	rows, _ := c.Query(ctx, "SELECT id FROM contract ORDER BY id")
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	if err != nil {
		g.Fatalf("read rows of member %d: %v", i, err)
	}
	return ids
}

// await polls member i until its status fulfils a condition.
func (g *group) await(i int, what string, ok func(connector.Status) bool) connector.Status {
	g.Helper()
	deadline := time.Now().Add(settleTimeout)
	for {
		s := g.status(i)
		if ok(s) {
			return s
		}
		if time.Now().After(deadline) {
			g.Fatalf("member %d: no %s within %v, status %+v", i, what, settleTimeout, s)
		}
		time.Sleep(pollInterval)
	}
}

func (g *group) awaitApplied(i int, p tokenizer.Position) {
	g.Helper()
	g.await(i, "applied "+p.String(), func(s connector.Status) bool { return s.Applied == p && s.Last == p })
}

// sqlState returns the SQLSTATE of an error, "" for none.
func sqlState(err error) string {
	if p, ok := err.(*pgconn.PgError); ok {
		return p.Code
	}
	return ""
}
