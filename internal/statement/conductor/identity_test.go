package conductor

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/namer"
	"parsleyscale/internal/statement/performer"
	"parsleyscale/internal/team/authenticator"
)

// textClient is a connection on which each line is a verb. The first line has the key.
type textClient struct {
	conn      net.Conn
	r         *bufio.Reader
	waitDelay time.Duration // before the deadline of a wait is set
}

var verbs = map[string]carrier.Verb{"begin": carrier.Begin, "commit": carrier.Commit, "rollback": carrier.Rollback, "read": carrier.Read, "write": carrier.Write, "set": carrier.Set}

func (c *textClient) Start() (string, string, error) {
	line, err := c.r.ReadString('\n')
	database, key, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
	return database, key, err
}

func (c *textClient) Wait(deadline time.Time) error {
	time.Sleep(c.waitDelay)
	_ = c.conn.SetReadDeadline(deadline)
	_, err := c.r.Peek(1)
	return err
}

func (c *textClient) Receive() (carrier.Statement, error) {
	_ = c.conn.SetReadDeadline(time.Time{})
	line, err := c.r.ReadString('\n')
	return carrier.Statement{Verb: verbs[strings.TrimSuffix(line, "\n")]}, err
}

func (c *textClient) Send(r carrier.Reply) error {
	_, err := fmt.Fprintf(c.conn, "%s %d %s\n", r.Kind, r.State, r.Detail)
	return err
}

func (c *textClient) Close() { _ = c.conn.Close() }

// teamPerformer records the teams of the requests. Its transactions have no instance, so that only their begin and end work.
type teamPerformer struct {
	*performer.Performer
	teams   []string
	running chan struct{} // a write waits until it can receive; nil: it does not wait
}

func (p *teamPerformer) Read(_ context.Context, r performer.Request) carrier.Reply {
	p.teams = append(p.teams, r.Team)
	return carrier.Reply{}
}

func (p *teamPerformer) Write(ctx context.Context, r performer.Request) carrier.Reply {
	if p.running != nil {
		<-p.running
	}
	return p.Read(ctx, r)
}

// admitAll admits all operations but those of the team over, and counts the calls.
type admitAll struct{ calls []string }

func (a *admitAll) Admit(_ context.Context, t cataloger.Team) error {
	a.calls = append(a.calls, t.Name)
	if t.Name == "over" {
		return classifier.WithRetryAfter(classifier.New(classifier.Overloaded, "team over is above its limit"), time.Second)
	}
	return nil
}

// identityTest is a server with clients, in a bubble of synctest.
type identityTest struct {
	*testing.T
	server    *Server
	waitDelay time.Duration // of each client
	listener  pipeListener
	performer *teamPerformer
	admitter  *admitAll
	cfg       atomic.Pointer[cataloger.Configuration]
	silentFor atomic.Int64 // nanoseconds

	mu       sync.Mutex
	ends     []string
	refusals []authenticator.Reason
}

// runIdentityTest runs a test in which key k1 is of team jsb, k2 of team hh and k3 of team over.
func runIdentityTest(t *testing.T, rule authenticator.Rule, f func(it *identityTest)) {
	synctest.Test(t, func(t *testing.T) {
		it := &identityTest{T: t, listener: pipeListener{make(chan net.Conn)}, admitter: &admitAll{}}
		it.performer = &teamPerformer{Performer: performer.New(performer.Config{Groups: registrar.New(func() time.Duration { return 0 })})}
		it.configure(1, map[string]string{"k1": "jsb", "k2": "hh", "k3": "over"})
		it.server = NewServer(Config{
			Listener: it.listener, Clock: func() time.Duration { return 0 }, Names: &namer.Namer{}, Configuration: it.cfg.Load, Performer: it.performer,
			Accept: func(c net.Conn, _ *budgeter.Account) ClientConn {
				return &textClient{conn: c, r: bufio.NewReader(c), waitDelay: it.waitDelay}
			},
			Authentication: rule, SilentFor: func() time.Duration { return time.Duration(it.silentFor.Load()) }, Admitter: it.admitter,
			OnEnd: func(reason string) {
				it.mu.Lock()
				defer it.mu.Unlock()
				it.ends = append(it.ends, reason)
			},
			OnRefuse: func(r authenticator.Reason, _ string) {
				it.mu.Lock()
				defer it.mu.Unlock()
				it.refusals = append(it.refusals, r)
			},
		})
		go func() { _ = it.server.Serve() }()
		f(it)
		close(it.listener.conns)
		it.server.cancel()
	})
}

// configure puts a configuration with the teams of some keys into force.
func (it *identityTest) configure(version uint64, teamByKey map[string]string) {
	var teams []cataloger.Team
	for key, team := range teamByKey {
		teams = append(teams, cataloger.Team{Name: team, Keys: []string{key}})
	}
	c := cataloger.Configuration{Version: version, IdleTransactionTimeout: time.Minute, Routes: map[string]cataloger.Route{
		"d": {Database: "d", Group: "g"}, "open": {Database: "open", Group: "g", IsPublic: true},
	}}.WithTeams(teams)
	if teamByKey == nil {
		c.Teams = nil
	}
	it.cfg.Store(c)
	if it.server != nil {
		it.server.CloseRemoved()
		synctest.Wait()
	}
}

// dial starts a session and returns its client and the reply.
func (it *identityTest) dial(start string) (*textClient, string) {
	a, b := net.Pipe()
	it.listener.conns <- b
	c := &textClient{conn: a, r: bufio.NewReader(a)}
	it.Cleanup(func() { _ = a.Close() })
	return c, c.query(start)
}

// query sends a line and returns the kind and the state of the reply, or "closed".
func (c *textClient) query(line string) string {
	if _, err := c.conn.Write([]byte(line + "\n")); err != nil {
		return "closed"
	}
	return c.reply()
}

func (c *textClient) reply() string {
	reply, err := c.r.ReadString('\n')
	if err != nil {
		return "closed"
	}
	f := strings.SplitN(reply, " ", 3)
	if strings.Contains(f[2], "k1") {
		return "reply with the key: " + reply
	}
	return f[0] + " " + f[1]
}

// isOpen reports whether the session is open, after its server has had time to close it.
func (c *textClient) isOpen() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err := c.r.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	return err != nil && !strings.Contains(err.Error(), "EOF")
}

func (it *identityTest) want(what, got, want string) {
	it.Helper()
	if got != want {
		it.Errorf("%s: %q, want %q", what, got, want)
	}
}

// beginOperation makes the open transaction of the only session look as after its first statement, which needs an instance.
func (it *identityTest) beginOperation(team string) {
	for sess := range it.server.sessions {
		sess.txTeam = &cataloger.Team{Name: team}
	}
}

// wantEnds checks for which reasons sessions have ended and operations were refused.
func (it *identityTest) wantEnds(ends string, refusals authenticator.Reason) {
	it.Helper()
	synctest.Wait()
	it.mu.Lock()
	defer it.mu.Unlock()
	got := ""
	for _, r := range it.refusals {
		got += string(r)
	}
	if strings.Join(it.ends, ",") != ends || got != string(refusals) {
		it.Errorf("sessions ended with %q, refusals %q; want %q, %q", it.ends, got, ends, refusals)
	}
}

// Replies as textClient returns them: kind and transaction state.
const (
	done          = " 0"
	inTransaction = " 1"
	failed        = " 2"
	noAuth        = "authenticationFailed 0"
)

// Guards against sessions of a removed key that stay open while idle, and against the loss of a session whose key is valid,
// that is on a public route, or that waits for its reply.
func TestKeyRemovedWhileIdle(t *testing.T) {
	runIdentityTest(t, authenticator.Rule{}, func(it *identityTest) {
		idle, _ := it.dial("d k1")
		used, _ := it.dial("d k1")
		it.want("read", used.query("read"), done)
		other, _ := it.dial("d k2")
		public, _ := it.dial("open k1")
		it.performer.running = make(chan struct{})
		running, _ := it.dial("d k1")
		if _, err := running.conn.Write([]byte("write\n")); err != nil {
			it.Fatal(err)
		}
		synctest.Wait()
		it.configure(2, map[string]string{"k2": "hh"})
		if idle.isOpen() || used.isOpen() {
			it.Error("an idle session of a removed key stayed open")
		}
		it.performer.running <- struct{}{}
		it.want("write that had been sent", running.reply(), done)
		if running.isOpen() {
			it.Error("a session of a removed key stayed open after its reply")
		}
		it.want("read with another key", other.query("read"), done)
		it.want("read on a public route", public.query("read"), done)
		if got := strings.Join(it.performer.teams, ","); got != "jsb,jsb,hh," {
			it.Errorf("operations ran for %q; want the removed key on the public route without a team", got)
		}
		it.wantEnds("keyRemoved,keyRemoved,keyRemoved", "")
	})
}

// Guards against an idle session of a removed key that stays open because it begins to wait for its client while the
// configuration comes into force.
func TestKeyRemovedWhileWaitBegins(t *testing.T) {
	runIdentityTest(t, authenticator.Rule{}, func(it *identityTest) {
		it.waitDelay = 30 * time.Millisecond
		c, _ := it.dial("d k1")
		synctest.Wait()
		it.configure(2, nil)
		it.configure(3, map[string]string{"k2": "hh"})
		if c.isOpen() {
			it.Error("the session stayed open")
		}
	})
}

// Guards against a statement of a removed key that is served, or not answered, because it arrives when the configuration comes
// into force or is on its way then.
func TestKeyRemovedBetweenStatements(t *testing.T) {
	for k, statement := range []string{"read", "write", "begin", "commit", "rollback", "set"} {
		runIdentityTest(t, authenticator.Rule{}, func(it *identityTest) {
			c, _ := it.dial("d k1")
			it.want("read", c.query("read"), done)
			it.cfg.Store(cataloger.Configuration{Version: 2, Routes: it.cfg.Load().Routes}.WithTeams(nil))
			go it.server.CloseRemoved()
			time.Sleep(time.Duration(k%2) * 30 * time.Millisecond)
			it.want(statement, c.query(statement), noAuth)
			if c.isOpen() || len(it.performer.teams) != 1 {
				it.Errorf("%s: the session is open, or operations ran for %q", statement, it.performer.teams)
			}
		})
	}
}

// Guards against a transaction of a removed key that goes on, that is committed, or whose client is not told.
func TestKeyRemovedInTransaction(t *testing.T) {
	for _, statement := range []string{"read", "commit", "rollback"} {
		for _, start := range []string{"d k1", "open k1"} {
			runIdentityTest(t, authenticator.Rule{}, func(it *identityTest) {
				c, _ := it.dial(start)
				it.want("begin", c.query("begin"), inTransaction)
				it.beginOperation("jsb")
				it.configure(2, map[string]string{"k2": "hh"})
				time.Sleep(10 * time.Second)
				it.want(start+" "+statement, c.query(statement), noAuth)
				if c.isOpen() || len(it.admitter.calls) > 0 {
					it.Errorf("%s: session is open, or operations were admitted for %q", statement, it.admitter.calls)
				}
				it.wantEnds("keyRefused", authenticator.KeyRemoved)
			})
		}
	}
}

// Guards against an operation that runs for the team that a key has left, and against a transaction that changes its team.
func TestKeyMovedToAnotherTeam(t *testing.T) {
	runIdentityTest(t, authenticator.Rule{}, func(it *identityTest) {
		c, _ := it.dial("d k1")
		it.want("read", c.query("read"), done)
		it.configure(2, map[string]string{"k1": "min"})
		it.want("write", c.query("write"), done)
		it.want("begin", c.query("begin"), inTransaction)
		it.configure(3, map[string]string{"k1": "tfl"})
		it.want("commit of an empty transaction", c.query("commit"), "noPrimary 0") // no instance is known
		it.want("read", c.query("read"), done)
		if got := strings.Join(it.performer.teams, ","); got != "jsb,min,tfl" {
			it.Errorf("operations ran for %q", got)
		}
		if got := strings.Join(it.admitter.calls, ","); got != "jsb,min,tfl,tfl" {
			it.Errorf("admitted %q; want the transaction once, for the team at its first statement", got)
		}
	})
}

// Guards against a start that is answered without regard to the key.
func TestStartWithUnknownKey(t *testing.T) {
	runIdentityTest(t, authenticator.Rule{}, func(it *identityTest) {
		for start, want := range map[string]string{"d k9": noAuth, "d": noAuth, "d k1": done, "open k9": done, "open": done, "nowhere k9": "unknownDatabase 0"} {
			c, reply := it.dial(start)
			it.want(start, reply, want)
			if c.isOpen() != (want == done) {
				it.Errorf("%s: session is open: %t", start, c.isOpen())
			}
		}
		it.configure(2, nil)
		_, reply := it.dial("d k9")
		it.want("start without teams", reply, done)
	})
}

// Guards against a VM without any source that goes on with keys that may have been removed, or, where it may go on, refuses.
func TestNoSource(t *testing.T) {
	for _, failClosed := range []bool{true, false} {
		runIdentityTest(t, authenticator.Rule{FailClosed: failClosed, KeyRevocation: 5 * time.Second}, func(it *identityTest) {
			c, _ := it.dial("d k1")
			it.silentFor.Store(int64(5 * time.Second))
			it.want("read in time", c.query("read"), done)
			it.silentFor.Store(int64(6 * time.Second))
			want := map[bool]string{true: noAuth, false: done}[failClosed]
			_, reply := it.dial("open")
			it.want("start", reply, want)
			it.want("read", c.query("read"), want)
			if c.isOpen() == failClosed {
				it.Errorf("failClosed %t: session is open: %t", failClosed, c.isOpen())
			}
		})
	}
}

// Guards against an operation above a team's limit that runs, that ends its session, or that is counted several times.
func TestOperationsAboveLimit(t *testing.T) {
	runIdentityTest(t, authenticator.Rule{}, func(it *identityTest) {
		c, _ := it.dial("d k3")
		for _, s := range []struct{ statement, want string }{
			{"read", "overloaded 0"}, {"set", done}, {"begin", inTransaction}, {"read", "overloaded 2"}, {"read", "badMessage 2"}, {"commit", "notRun 0"},
			{"begin", inTransaction}, {"commit", "overloaded 0"}, {"begin", inTransaction}, {"rollback", done}, {"begin", inTransaction},
		} {
			it.want(s.statement, c.query(s.statement), s.want)
		}
		it.beginOperation("over")
		it.want("second statement of a transaction", c.query("read"), "noPrimary 2") // no instance is known
		if len(it.performer.teams) > 0 || len(it.admitter.calls) != 3 {
			it.Errorf("operations ran for %q, %d asked for admission; want none and 3", it.performer.teams, len(it.admitter.calls))
		}
	})
}

// Guards against work for each session, or a wait, in a change of the configuration while no session is due.
func TestCloseRemovedReturns(t *testing.T) {
	runIdentityTest(t, authenticator.Rule{}, func(it *identityTest) {
		c, _ := it.dial("d k1")
		start := time.Now()
		it.configure(2, map[string]string{"k1": "jsb"})
		if took := time.Since(start); took > 0 {
			it.Errorf("took %s", took)
		}
		it.want("read", c.query("read"), done)
	})
}
