package forwarder

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/namer"
)

// teamInstance is a fake instance that records the team of the connection on which each statement arrives.
type teamInstance struct {
	dials int
	ran   []string // verb and team of the connection
}

func (i *teamInstance) Dial(_ context.Context, t carrier.Target) (carrier.Conn, tokenizer.Position, error) {
	i.dials++
	return &instanceConn{instance: i, team: t.Team}, tokenizer.Position{}, nil
}

type instanceConn struct {
	instance *teamInstance
	team     string
	state    carrier.State
}

func (c *instanceConn) Send(cmds ...carrier.Command) error {
	for _, cmd := range cmds {
		c.instance.ran = append(c.instance.ran, cmd.Verb.String()+" "+c.team)
		switch cmd.Verb {
		case carrier.Begin:
			c.state = carrier.InTransaction
		case carrier.Commit, carrier.Rollback:
			c.state = carrier.Idle
		}
	}
	return nil
}
func (c *instanceConn) Receive() (carrier.Reply, error) { return carrier.Reply{State: c.state}, nil }
func (*instanceConn) SetDeadline(time.Time)             {}
func (*instanceConn) IsBroken() bool                    { return false }
func (*instanceConn) Close()                            {}

// scriptedConn is a connection of a VM that sends fixed commands.
type scriptedConn struct {
	commands []carrier.Command
	replies  []carrier.Reply
}

func (*scriptedConn) ReceiveStart() (group, instance string, err error)  { return "g", "i", nil }
func (*scriptedConn) ReplyToStart(_ tokenizer.Position, err error) error { return err }
func (*scriptedConn) Close()                                             {}
func (c *scriptedConn) Send(r carrier.Reply) error                       { c.replies = append(c.replies, r); return nil }
func (c *scriptedConn) Receive() (carrier.Command, error) {
	if len(c.commands) == 0 {
		return carrier.Command{}, errors.New("end of the script")
	}
	cmd := c.commands[0]
	c.commands = c.commands[1:]
	return cmd, nil
}

// Guards against a gateway that runs a statement on the connection of another team, in or outside a transaction, and against a
// control command that waits for a connection of its own.
func TestTeamsShareLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		command := func(v carrier.Verb, team string) carrier.Command {
			return carrier.Command{Statement: carrier.Internal(v), Team: team}
		}
		conn := &scriptedConn{commands: []carrier.Command{
			command(carrier.Begin, "a"), command(carrier.Write, "b"), command(carrier.Write, ""), command(carrier.Write, "a"), command(carrier.Commit, "a"),
			command(carrier.Read, "b"), command(carrier.Read, ""), command(carrier.Read, "a"), command(carrier.Status, ""),
		}}
		i := &teamInstance{}
		pool := allotter.New(allotter.Config{
			Dialer: i, Limits: func(carrier.Target) allotter.Limits { return allotter.Limits{Open: 9} },
			Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {},
		})
		defer pool.Close()
		l := fakeListener{make(chan net.Conn, 1)}
		s := NewServer(Config{
			Listener: l, Pool: pool, Names: &namer.Namer{}, Accept: func(net.Conn) Conn { return conn },
			Find: func(group, instance string) (carrier.Target, tokenizer.Position, bool) {
				return carrier.Target{Group: group, Instance: instance}, tokenizer.Position{}, true
			},
			IsUnreachable: func(carrier.Target) bool { return false },
		})
		go s.Serve()
		l.conns <- nil
		synctest.Wait()
		close(l.conns)
		s.Close()
		want := []string{"begin a", "write a", "commit a", "read b", "read ", "read a", "status a"}
		if len(i.ran) != len(want) || i.dials != 3 {
			t.Fatalf("instance ran %q on %d connections, want %q on 3", i.ran, i.dials, want)
		}
		for k := range want {
			if i.ran[k] != want[k] {
				t.Errorf("statement %d ran as %q, want %q", k, i.ran[k], want[k])
			}
		}
		for _, k := range []int{1, 2} {
			if r := conn.replies[k]; r.Kind != classifier.BadMessage || r.State != carrier.InTransaction {
				t.Errorf("statement of another team in the transaction: %+v, want kind badMessage and the transaction still open", r)
			}
		}
	})
}
