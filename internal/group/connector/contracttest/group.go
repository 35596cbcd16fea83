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

const (
	opTimeout    = 5 * time.Second      // limit of a statement or of an operation on an instance
	awaitTimeout = 10 * time.Second     // limit of a wait for replication to reach a state
	pollInterval = 5 * time.Millisecond // between status calls of such a wait
)

// Member is one instance under test.
type Member struct {
	Address   string                             // host:port; a restart keeps it
	Restart   func(t *testing.T)                 // stops the instance and starts it from its durable state
	SetDelays func(receive, apply time.Duration) // sets the delays until a replica stores and applies an entry
}

// Factory starts a group. The first member is the primary of term 1, the others are replicas that follow it.
type Factory func(t *testing.T) [3]Member

// Run checks the contract and starts a new group for each case.
func Run(t *testing.T, start Factory) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, start(t))
			c.check(g)
		})
	}
}

// group is a running group under test with a client for each member.
type group struct {
	*testing.T
	members [3]Member
	clients [3]*connector.Client
}

func newGroup(t *testing.T, members [3]Member) *group {
	g := &group{T: t, members: members}
	for i, m := range members {
		g.clients[i] = connector.NewClient(connector.Config{Address: m.Address, Timeout: opTimeout})
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
			g.Fatalf("fence member %d at term %d: %v", i, term, err)
		}
	}
}

func (g *group) promote(i int, term uint64) connector.Status {
	g.Helper()
	s, err := g.clients[i].Promote(g.Context(), term)
	if err != nil {
		g.Fatalf("promote member %d at term %d: %v", i, term, err)
	}
	return s
}

func (g *group) follow(i int, term uint64, upstream int) connector.Status {
	g.Helper()
	s, err := g.clients[i].Follow(g.Context(), term, g.members[upstream].Address)
	if err != nil {
		g.Fatalf("make member %d follow member %d at term %d: %v", i, upstream, term, err)
	}
	return s
}

// connect opens a connection to member i that is not a control connection.
// Its run-time parameters show the position of its last commit.
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

// tryExec runs a statement on member i and returns the log position that the member reported for its commit.
func (g *group) tryExec(i int, sql string, args ...any) (tokenizer.Position, error) {
	g.Helper()
	ctx, cancel := context.WithTimeout(g.Context(), opTimeout)
	defer cancel()
	c := g.connect(i)
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, sql, args...); err != nil {
		return tokenizer.Position{}, err
	}
	return commitPosition(c)
}

// commitPosition returns the log position of the last commit on a connection.
func commitPosition(c *pgx.Conn) (tokenizer.Position, error) {
	return tokenizer.ParsePosition(c.PgConn().ParameterStatus(connector.ParameterPosition))
}

// exec is tryExec for a statement that must succeed.
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

// ids returns the ids of the rows that are visible to reads on member i.
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

// await polls member i until its status fulfils a condition, which what names in the failure text.
func (g *group) await(i int, what string, ok func(connector.Status) bool) connector.Status {
	g.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for {
		s := g.status(i)
		if ok(s) {
			return s
		}
		if time.Now().After(deadline) {
			g.Fatalf("member %d: %s not reached within %v, status %+v", i, what, awaitTimeout, s)
		}
		time.Sleep(pollInterval)
	}
}

// awaitApplied waits until p is the last log entry that member i has stored and applied.
func (g *group) awaitApplied(i int, p tokenizer.Position) {
	g.Helper()
	g.await(i, "applied "+p.String(), func(s connector.Status) bool { return s.Applied == p && s.Last == p })
}

// sqlState returns the SQLSTATE of an error, or "" if it has none.
func sqlState(err error) string {
	if p, ok := err.(*pgconn.PgError); ok {
		return p.Code
	}
	return ""
}
