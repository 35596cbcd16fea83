package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/namer"
)

const (
	// acquireTimeout bounds the wait for a connection to the instance for a command without an urgency. It is shorter than the
	// time after which the other VM considers the instance unresponsive and tries another one.
	acquireTimeout = 150 * time.Millisecond
	// overloadAcquireTimeout replaces acquireTimeout under sustained overload of the instance.
	overloadAcquireTimeout = 60 * time.Millisecond
	// replyTimeout bounds the wait for a reply of the instance. The other VM usually gives up earlier.
	replyTimeout = 10 * time.Second
	// maxAcquireTimeout bounds the wait that another VM asks for.
	maxAcquireTimeout = time.Second
	// overloadWaitDivisor divides the wait that another VM asks for under sustained overload of the instance. It leaves refused
	// clients enough time to retry within their objective.
	overloadWaitDivisor = 4
	// maxUncountedReplyBytes is the size of replies up to which their memory is not accounted for.
	maxUncountedReplyBytes = 4096
	// replyCopies is how many times a reply is in memory: its rows, and the message with them.
	replyCopies = 2
	// statementPriority is the priority of statements without an urgency, except control commands.
	statementPriority = 1
)

// Conn is a connection from another VM.
type Conn interface {
	// ReceiveStart returns the group and the instance that the VM wants to connect to.
	ReceiveStart() (group, instance string, err error)
	// ReplyToStart replies to a start message with the log position of the instance, or with an error.
	ReplyToStart(p tokenizer.Position, err error) error
	Receive() (carrier.Command, error)
	Send(r carrier.Reply) error
	Close()
}

// Config holds the dependencies of a Server.
type Config struct {
	Listener net.Listener
	Accept   func(c net.Conn, a *budgeter.Account) Conn
	Budget   *budgeter.Budget // of the process; nil for no limits
	Pool     *allotter.Allotter
	Names    *namer.Namer // names of prepared statements on all connections of the VM
	// IsUnreachable reports whether the latest attempts of this VM to reach an instance failed.
	IsUnreachable func(t carrier.Target) bool
	// Find returns the address of an instance and its newest known log position. It
	// returns false if the instance is unknown.
	Find func(group, instance string) (carrier.Target, tokenizer.Position, bool)
	// Acknowledge reports whether the acknowledgement of a commit of a group may be passed on, and records it if so; nil stands for always.
	Acknowledge func(group string, p tokenizer.Position) bool
	// Sample returns a position that the primary of a group held at most maxAge ago, and its age.
	Sample func(ctx context.Context, group string, maxAge time.Duration) (p tokenizer.Position, age time.Duration, err error)
	// OnBegin is called when an instance has accepted the begin of a read-write transaction, with the time on Now at which
	// it was sent and the position in the reply; may be nil.
	OnBegin func(t carrier.Target, sentAt time.Duration, p tokenizer.Position)
	Now     func() time.Duration // on a clock that counts suspension
	// Avoid returns nil, or the error with which a read of another VM is refused because this instance has a fault, so that it runs
	// on another instance of the group; may be nil. It is called only for reads that any instance may serve and that are younger than
	// maxAvoidedAge.
	Avoid func(t carrier.Target) error
	// OnOutcome is called with each reply to a statement of another VM, and with an error if there was none; may be nil.
	OnOutcome func(t carrier.Target, r carrier.Reply, err error)
	// OnPanic is called with the value and the stack of a panic that has ended a connection; may be nil.
	OnPanic func(err error)
}

// Server accepts connections from other VMs.
type Server struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	conns map[Conn]bool // open connections
}

// NewServer returns a server with the given configuration. Call Serve to run it.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, conns: map[Conn]bool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() {
	for {
		conn, err := s.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		account, err := s.cfg.Budget.OpenPeer(conn)
		if err != nil {
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() {
			defer account.Close()
			s.run(s.cfg.Accept(conn, account), account)
		})
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// Close closes the listener and all connections, and waits until their goroutines have ended.
func (s *Server) Close() {
	_ = s.cfg.Listener.Close()
	s.cancel()
	s.mu.Lock()
	for p := range s.conns {
		p.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) run(conn Conn, account *budgeter.Account) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		p := recover() // a fault ends only the connection that triggered it
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		if p != nil && s.cfg.OnPanic != nil {
			s.cfg.OnPanic(fmt.Errorf("%v: %s", p, debug.Stack()))
		}
	}()
	group, instance, err := conn.ReceiveStart()
	if err != nil {
		return
	}
	target, position, ok := s.cfg.Find(group, instance)
	if !ok {
		_ = conn.ReplyToStart(position, classifier.New(classifier.WrongInstance, "group %s: unknown instance %s", group, instance))
		return
	}
	if conn.ReplyToStart(position, nil) != nil {
		return
	}
	account.Started()
	c := &proxyConn{server: s, conn: conn, account: account, target: target, values: map[string]string{}, prepared: map[string]carrier.Statement{}}
	defer func() {
		c.reset()
		if c.lease != nil {
			c.lease.Discard()
		}
	}()
	c.run()
}

// proxyConn is a connection of another VM, which uses it like one to the instance itself.
type proxyConn struct {
	server   *Server
	conn     Conn
	account  *budgeter.Account
	target   carrier.Target
	values   map[string]string            // session values
	prepared map[string]carrier.Statement // by the other VM's name for the statement
	lease    *allotter.Lease              // connection to the instance that the open transaction holds; nil outside one
	team     string                       // for which the lease was acquired

	isRefusing bool // a command was refused that may have been to set a session value or prepare a statement; so are all others
}

func (c *proxyConn) run() {
	for {
		cmd, err := c.conn.Receive()
		var reply carrier.Reply
		switch {
		case err == nil:
			if reply, err = c.handle(cmd); err != nil {
				return // closing the connection makes the other VM treat it as a lost connection to the instance
			}
		case classifier.Is(err, classifier.Overloaded):
			reply = c.refuseFromNowOn(err)
		default:
			return
		}
		if size := reply.Size(); size > maxUncountedReplyBytes && c.account.Reserve(budgeter.Answers, int64(replyCopies*size)) != nil {
			return
		}
		if c.conn.Send(reply) != nil {
			return
		}
		c.account.ReleaseAll(budgeter.Received)
		c.account.ReleaseAll(budgeter.Answers)
	}
}

// handle answers a command from the state of the connection, or forwards it to the instance. It
// returns an error if the connection to the instance failed.
func (c *proxyConn) handle(cmd carrier.Command) (carrier.Reply, error) {
	if c.isRefusing {
		return c.refuseFromNowOn(errRefusing), nil
	}
	switch cmd.Verb {
	case carrier.Set, carrier.Prepare:
		return c.changeState(cmd.Statement), nil
	case carrier.Reset:
		c.reset()
		return c.localReply(), nil
	case carrier.Rollback:
		if c.lease == nil {
			return carrier.Reply{}, nil
		}
	case carrier.Sample:
		return c.sample(cmd), nil
	}
	if c.lease != nil && cmd.Team != c.team {
		return carrier.ErrorReply(classifier.BadMessage, "statement of another team than the open transaction").WithState(carrier.InTransaction), nil
	}
	if _, ok := c.prepared[cmd.Name]; !ok && cmd.Verb == carrier.Execute {
		return carrier.ErrorReply(classifier.UnknownStatement, "unknown prepared statement").WithState(c.localReply().State), nil
	}
	if c.lease == nil {
		if err := c.avoid(cmd); err != nil {
			return carrier.ErrorReplyFor(err), nil
		}
		lease, err := c.acquire(cmd)
		if err != nil {
			return c.refuse(err), nil
		}
		c.lease, c.team = lease, cmd.Team
	}
	return c.forward(cmd)
}

// sampleTimeout bounds the wait for a position of the primary, for which another VM waits with a read.
const sampleTimeout = 200 * time.Millisecond

// sample returns the reply to a request for a position of the primary. The row holds the age of the position in milliseconds,
// rounded up, at a time after the request was sent.
func (c *proxyConn) sample(cmd carrier.Command) carrier.Reply {
	ms, err := strconv.ParseInt(cmd.Args, 10, 32)
	if err != nil || ms < 0 || c.server.cfg.Sample == nil {
		return carrier.ErrorReply(classifier.BadMessage, "sample needs a maximum age in milliseconds")
	}
	ctx, cancel := context.WithTimeout(c.server.ctx, sampleTimeout)
	defer cancel()
	p, age, err := c.server.cfg.Sample(ctx, c.target.Group, time.Duration(ms)*time.Millisecond)
	if err != nil {
		return carrier.ErrorReplyFor(err)
	}
	return carrier.Reply{Rows: []string{strconv.FormatInt(age.Milliseconds()+1, 10)}, Position: p}
}

// errRefusing is the error of the commands that follow a refused one.
var errRefusing = classifier.New(classifier.Overloaded, "not run, since a command before it was refused")

// refuseFromNowOn refuses a command and all that follow: the other VM sends statements without waiting for the answers to the commands that
// set their session values and prepare them. The state in the reply makes it close the connection.
func (c *proxyConn) refuseFromNowOn(err error) carrier.Reply {
	c.isRefusing = true
	return carrier.ErrorReplyFor(err).WithState(carrier.Failed)
}

// changeState sets a session value or prepares a statement.
func (c *proxyConn) changeState(st carrier.Statement) carrier.Reply {
	change := c.setValue
	if st.Verb == carrier.Prepare {
		change = c.prepare
	}
	if err := change(st); err != nil {
		return c.refuseFromNowOn(err)
	}
	return c.localReply()
}

// setValue sets a session value. It returns an error if there is no memory for it.
func (c *proxyConn) setValue(st carrier.Statement) error {
	if err := c.account.Keep(len(st.Name) + len(st.Args)); err != nil {
		return err
	}
	if old, ok := c.values[st.Name]; ok {
		c.account.Unkeep(len(st.Name) + len(old))
	}
	c.values[strings.Clone(st.Name)] = st.Args // a part of the name's text would keep all of the message
	return nil
}

// prepare keeps a prepared statement. It returns an error like setValue.
func (c *proxyConn) prepare(st carrier.Statement) error {
	text, err := c.account.KeepText(st.Args)
	if err != nil {
		return err
	}
	if old, ok := c.prepared[st.Name]; ok {
		c.account.UnkeepText(old.Args)
	}
	st.Args, st.ID = text, ""
	c.prepared[strings.Clone(st.Name)] = st.WithName(c.server.cfg.Names.Name(st))
	return nil
}

// reset gives up the session values and the prepared statements.
func (c *proxyConn) reset() {
	for name, value := range c.values {
		c.account.Unkeep(len(name) + len(value))
	}
	for _, st := range c.prepared {
		c.account.UnkeepText(st.Args)
	}
	clear(c.values)
	clear(c.prepared)
}

// localReply returns the reply to a command that changes only the state of the connection.
func (c *proxyConn) localReply() carrier.Reply {
	if c.lease != nil {
		return carrier.Reply{State: carrier.InTransaction}
	}
	return carrier.Reply{}
}

// maxAvoidedAge is the age of a read from which it is not refused for a fault of the instance. A read that gets older was
// refused elsewhere, too, or has waited: no read is refused by the gateways of all instances for longer than this.
const maxAvoidedAge = 60 * time.Millisecond

// avoid returns the error with which a command is refused for a fault of the instance, or nil. A command without a position that the
// instance must have applied may need the primary.
func (c *proxyConn) avoid(cmd carrier.Command) error {
	if c.server.cfg.Avoid == nil || cmd.After.IsZero() || cmd.Urgency.Wait == 0 || cmd.Urgency.Age >= maxAvoidedAge {
		return nil
	}
	return c.server.cfg.Avoid(c.target)
}

// refuse returns the refusal of a command for which no connection to the instance was available. Its
// kind makes the other VM retry elsewhere or later, or tells it that the instance is unreachable.
func (c *proxyConn) refuse(err error) carrier.Reply {
	k := classifier.Overloaded
	switch {
	case classifier.Is(err, classifier.WrongInstance):
		k = classifier.NotPrimary
	case c.server.cfg.IsUnreachable(c.target):
		k = classifier.NoInstance
	}
	return carrier.ErrorReply(k, classifier.Message(err))
}

func (c *proxyConn) acquire(cmd carrier.Command) (*allotter.Lease, error) {
	timeout := acquireWait(cmd.Urgency, c.server.cfg.Pool.Load(c.target).HasSustainedOverload)
	u := carrier.Urgency{Priority: statementPriority}
	if cmd.Urgency.Wait > 0 {
		u = cmd.Urgency
	}
	ctx, cancel := context.WithTimeout(c.server.ctx, timeout)
	defer cancel()
	if cmd.IsControl() {
		return c.server.cfg.Pool.Acquire(ctx, c.target.WithAnyTeam(), allotter.ControlPriority)
	}
	return c.server.cfg.Pool.AcquireUrgent(ctx, c.target.WithTeam(cmd.Team), u)
}

// acquireWait returns how long a command may wait for a connection to the instance. Overload shortens the wait.
func acquireWait(u carrier.Urgency, isOverloaded bool) time.Duration {
	switch {
	case u.Wait <= 0 && isOverloaded:
		return overloadAcquireTimeout
	case u.Wait <= 0:
		return acquireTimeout
	}
	wait := min(u.Wait, maxAcquireTimeout)
	if isOverloaded {
		wait = min(wait, max(wait/overloadWaitDivisor, overloadAcquireTimeout))
	}
	return wait
}

// forward executes a command on the leased connection. It releases the connection once it is
// outside a transaction, and discards it on an error.
func (c *proxyConn) forward(cmd carrier.Command) (carrier.Reply, error) {
	lease := c.lease
	lease.MarkActive()
	var prepared *carrier.Statement
	if st, ok := c.prepared[cmd.Name]; ok && cmd.Verb == carrier.Execute {
		prepared = &st
		cmd.Statement = cmd.WithName(st.Name)
	}
	lease.Conn().SetDeadline(time.Now().Add(replyTimeout))
	var sentAt time.Duration
	if c.server.cfg.OnBegin != nil && cmd.Verb == carrier.Begin {
		sentAt = c.server.cfg.Now()
	}
	var replies []carrier.Reply
	var err error
	if cmd.IsControl() || cmd.Verb == carrier.Rollback {
		replies, err = lease.Exchange(cmd)
	} else {
		replies, _, err = lease.ExchangeInSession(c.values, prepared, cmd)
	}
	c.recordOutcome(cmd, replies, err)
	if err != nil {
		lease.Discard()
		c.lease = nil
		return carrier.Reply{}, err
	}
	reply := replies[len(replies)-1]
	if lease.HasUnknownState() {
		lease.Discard()
		c.lease = nil
		return reply, nil
	}
	if c.server.cfg.OnBegin != nil && cmd.Verb == carrier.Begin && reply.OK() {
		c.server.cfg.OnBegin(c.target, sentAt, reply.Position)
	}
	if reply.State == carrier.Idle {
		c.lease = nil
		lease.Release()
		return c.withSeal(cmd, prepared, reply), nil
	}
	lease.MarkIdleInTx()
	return reply, nil
}

// recordOutcome reports the outcome of a command that runs a statement on the instance.
func (c *proxyConn) recordOutcome(cmd carrier.Command, replies []carrier.Reply, err error) {
	if c.server.cfg.OnOutcome == nil || cmd.IsControl() {
		return
	}
	switch cmd.Verb {
	case carrier.Begin, carrier.BeginRead, carrier.Rollback:
		if err == nil {
			return
		}
	}
	var last carrier.Reply
	if len(replies) > 0 {
		last = replies[len(replies)-1]
	}
	c.server.cfg.OnOutcome(c.target, last, err)
}

// withSeal returns the reply for the other VM, to which the acknowledgement of a sealed term is not passed on.
func (c *proxyConn) withSeal(cmd carrier.Command, prepared *carrier.Statement, r carrier.Reply) carrier.Reply {
	isCommit := cmd.Verb == carrier.Commit || cmd.Verb == carrier.Write || prepared != nil && prepared.PreparedVerb == carrier.Write
	if !isCommit || !r.OK() || c.server.cfg.Acknowledge == nil || c.server.cfg.Acknowledge(c.target.Group, r.Position) {
		return r
	}
	return carrier.ErrorReply(classifier.OutcomeUnknown, "the primary "+c.target.Instance+" is being replaced, and its successor may lack the commit")
}
