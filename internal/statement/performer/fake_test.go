package performer

import (
	"context"
	"errors"
	"sync"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// fakeGroup is an in-memory database group of the instances p, q and r. Each
// instance runs one statement per slot at a time and queues a bounded number.
type fakeGroup struct {
	mu            sync.Mutex
	primary       string
	lastIndex     uint64                   // log index of the primary's newest entry
	missing       map[string]uint64        // number of newest entries that an instance lacks
	slots         map[string]chan struct{} // by instance
	pending       map[string]int           // statements running or queued, by instance
	refusesDials  map[string]bool
	isUnreachable map[string]bool // dials get no reply
	maxQueued     int             // statements queued at one instance
	statementTime time.Duration
	replies       map[classifier.Kind]int // number of replies by error kind
	dials         int
	verbs         []carrier.Verb // of all commands, in the order in which they were carried out
	loses         carrier.Verb   // of the commands whose replies are lost
	refuses       carrier.Verb   // of the commands that the instances refuse
	gatewaySample uint64         // newest entries that the gateways' sample, which is 100 ms old, lacks; 0: the instances are reached without gateways
}

func newFakeGroup(slots int, statementTime time.Duration) *fakeGroup {
	f := &fakeGroup{
		primary: "p", lastIndex: 100, missing: map[string]uint64{}, slots: map[string]chan struct{}{}, pending: map[string]int{},
		refusesDials: map[string]bool{}, isUnreachable: map[string]bool{}, maxQueued: 24, statementTime: statementTime, replies: map[classifier.Kind]int{},
	}
	for _, id := range []string{"p", "q", "r"} {
		f.slots[id] = make(chan struct{}, slots)
	}
	return f
}

// Dial implements carrier.Dialer.
func (f *fakeGroup) Dial(ctx context.Context, t carrier.Target) (carrier.Conn, tokenizer.Position, error) {
	time.Sleep(10 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dials++
	if f.isUnreachable[t.Instance] {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, tokenizer.Position{}, ctx.Err()
	}
	if f.refusesDials[t.Instance] {
		return nil, tokenizer.Position{}, classifier.New(classifier.TooManyConnections, "instance %s has too many connections", t.Instance)
	}
	return &fakeConn{group: f, instance: t.Instance}, f.position(t.Instance), nil
}

func (f *fakeGroup) position(instance string) tokenizer.Position {
	return tokenizer.Position{Term: 1, Index: f.lastIndex - f.missing[instance]}
}

// count returns the number of replies of an error kind, for all instances.
func (f *fakeGroup) count(k classifier.Kind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replies[k]
}

// fakeConn is a connection to an instance of a fakeGroup. It implements carrier.Conn.
type fakeConn struct {
	group         *fakeGroup
	instance      string
	cmds          []carrier.Command // sent and not answered yet
	inTransaction bool
}

func (c *fakeConn) Send(cmds ...carrier.Command) error {
	c.cmds = append(c.cmds, cmds...)
	return nil
}

func (c *fakeConn) Receive() (carrier.Reply, error) {
	cmd := c.cmds[0]
	c.cmds = c.cmds[1:]
	r := c.execute(cmd)
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.group.loses != carrier.Unknown && c.group.loses == cmd.Verb {
		return r, errors.New("connection reset")
	}
	c.group.replies[r.Kind]++
	r.Position = c.group.position(c.instance)
	if cmd.Verb == carrier.Sample {
		r.Position.Index = c.group.lastIndex - c.group.gatewaySample
	}
	if c.inTransaction {
		r.State = carrier.InTransaction
	}
	return r, nil
}

func (c *fakeConn) execute(cmd carrier.Command) carrier.Reply {
	c.group.mu.Lock()
	c.group.verbs = append(c.group.verbs, cmd.Verb)
	isBehind := !c.group.position(c.instance).Covers(cmd.After)
	isPrimary := c.instance == c.group.primary
	c.group.mu.Unlock()
	switch {
	case cmd.Verb == c.group.refuses && cmd.Verb != carrier.Unknown:
		return carrier.ErrorReply(classifier.StatementFailed, "")
	case isBehind:
		return carrier.ErrorReply(classifier.ReplicaBehind, "")
	case cmd.Verb == carrier.Begin && !isPrimary:
		return carrier.ErrorReply(classifier.NotPrimary, "")
	case cmd.Verb == carrier.Begin, cmd.Verb == carrier.BeginRead:
		c.inTransaction = true
	case cmd.Verb == carrier.Rollback, cmd.Verb == carrier.Commit:
		c.inTransaction = false
	case cmd.Verb == carrier.Read, cmd.Verb == carrier.Write:
		return c.runInSlot()
	case cmd.Verb == carrier.Sample:
		return carrier.Reply{Rows: []string{"100"}}
	}
	return carrier.Reply{}
}

// runInSlot waits for a slot and occupies it for the duration of a statement. It
// refuses the statement if the queue of the instance is full.
func (c *fakeConn) runInSlot() carrier.Reply {
	c.group.mu.Lock()
	slots := c.group.slots[c.instance]
	if c.group.pending[c.instance] >= c.group.maxQueued+cap(slots) {
		c.group.mu.Unlock()
		return carrier.ErrorReply(classifier.Overloaded, "")
	}
	c.group.pending[c.instance]++
	c.group.mu.Unlock()
	slots <- struct{}{}
	time.Sleep(c.group.statementTime)
	<-slots
	c.group.mu.Lock()
	c.group.pending[c.instance]--
	c.group.mu.Unlock()
	return carrier.Reply{Signature: c.instance}
}

func (c *fakeConn) IsLink() bool        { return c.group.gatewaySample > 0 }
func (*fakeConn) SetDeadline(time.Time) {}
func (*fakeConn) IsBroken() bool        { return false }
func (*fakeConn) Close()                {}

// fakeVM is the Performer of one VM in front of a fakeGroup.
type fakeVM struct {
	*Performer
	pool  *allotter.Allotter
	group *registrar.Group
	start time.Time
}

// newFakeVM returns a VM that opens at most maxConns connections to each instance.
func newFakeVM(f *fakeGroup, maxConns int) *fakeVM {
	v := &fakeVM{start: time.Now()}
	groups := registrar.New(func() time.Duration { return time.Since(v.start) })
	reg := cataloger.Registry{}
	for _, id := range []string{"p", "q", "r"} {
		reg[id] = cataloger.Instance{ID: id, Group: "g", Address: id, DataCentre: "d-" + id, Slots: cap(f.slots[id]), IsPrimary: id == "p"}
	}
	groups.Update(reg)
	v.group = groups.Group("g")
	v.pool = allotter.New(allotter.Config{
		Dialer: f, Limits: func(carrier.Target) allotter.Limits { return allotter.Limits{Open: maxConns} },
		Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {},
	})
	v.Performer = New(Config{
		DataCentre: "d-q", Region: "r", RegionOf: func(string) string { return "r" }, Groups: groups, Pool: v.pool, RetryBudget: admitter.NewRetryBudget(),
	})
	return v
}

// request returns a request that has just arrived, with a timeout of 800 ms and an objective of 500 ms.
func (v *fakeVM) request(kind cataloger.ReadKind, verb carrier.Verb) Request {
	return Request{
		Route:     cataloger.Route{Group: "g", ReadKind: kind, MaxStaleness: 500 * time.Millisecond, StatementTimeout: 800 * time.Millisecond, LatencyObjective: 500 * time.Millisecond, Priority: 2},
		Statement: carrier.Statement{ID: "x", Verb: verb, Args: "k v"},
		ArrivedAt: time.Now(), ArrivedClock: time.Since(v.start),
	}
}
