// Package fake provides an in-memory database group for the tests of packages
// sampler and promoter. Its instances implement connector.Instance and can be
// stopped, paused and cut off; connections can become silent and answers be lost.
package fake

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// Names of the operations of connector.Instance, for LoseAnswers and Calls.
const (
	Status  = "status"
	Fence   = "fence"
	Promote = "promote"
	Follow  = "follow"
)

// stepInterval is the time between two replication steps of a group.
const stepInterval = time.Millisecond

// Errors of calls that fail on the way to or from an instance.
var (
	ErrRefused = errors.New("connection refused")
	ErrLost    = errors.New("connection lost before the answer")
)

// entry is one log entry.
type entry struct {
	term        uint64
	committedAt time.Time
}

// server is the state of one instance.
type server struct {
	instance  parser.Instance
	role      string
	fenceTerm uint64
	log       []entry
	applied   int // number of log entries applied
	upstream  string
	connected bool // the upstream was reachable at the last replication step

	down, paused  bool
	epoch         int            // connections opened in an earlier epoch are silent
	answersToLose map[string]int // by operation
	resumed       chan struct{}  // closed at the end of a pause
	pending       []func() error // operations that arrived during a pause and whose caller has given up
}

// position returns the position of the n-th log entry, counted from 1.
func (s *server) position(n int) tokenizer.Position {
	if n == 0 {
		return tokenizer.Position{}
	}
	return tokenizer.Position{Term: s.log[n-1].term, Index: uint64(n)}
}

func (s *server) last() tokenizer.Position { return s.position(len(s.log)) }

// isPrimary reports whether the instance is a primary that was not fenced after its promotion.
func (s *server) isPrimary() bool {
	return s.role == connector.RolePrimary && s.fenceTerm > 0 && s.last().Term == s.fenceTerm
}

func (s *server) status() connector.Status {
	return connector.Status{
		Name: s.instance.Name, Role: s.role, FenceTerm: s.fenceTerm,
		Last: s.last(), Applied: s.position(s.applied),
		Upstream: s.upstream, Connected: s.connected, Limit: s.instance.Connections,
	}
}

// Delays are the delays that a group simulates.
type Delays struct {
	RoundTrip time.Duration // round trip of a call
	Receive   time.Duration // from a commit until a replica has stored the entry
	Apply     time.Duration // from a commit until a replica has applied the entry
}

// Group is a database group.
type Group struct {
	mu      sync.Mutex
	delays  Delays
	db      parser.Database
	servers []*server
	cuts    map[[2]string]bool // by sender and receiver, instances or gateways
	calls   map[string]int     // by instance name followed by operation
	wg      sync.WaitGroup
	cancel  context.CancelFunc
}

// New returns a running group of n instances, named a, b, c and so on, which are replicas with empty logs.
func New(n int) *Group {
	g := &Group{
		delays: Delays{RoundTrip: time.Millisecond},
		db:     parser.Database{Name: "db"},
		cuts:   map[[2]string]bool{},
		calls:  map[string]int{},
	}
	for i := range n {
		in := parser.Instance{
			Name: string(rune('a' + i)), Address: fmt.Sprintf("127.0.0.1:%d", 5001+i),
			DataCentre: fmt.Sprintf("dc%d", i), Slots: 2, Connections: 16, State: parser.Serving,
		}
		g.db.Instances = append(g.db.Instances, in)
		g.servers = append(g.servers, &server{
			instance: in, role: connector.RoleReplica, answersToLose: map[string]int{}, resumed: make(chan struct{}),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.wg.Go(func() { g.replicate(ctx) })
	return g
}

// NewServing returns a running group of n instances. The first is the primary of term 1, the others follow it.
func NewServing(n int) *Group {
	g := New(n)
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, s := range g.servers {
		s.fenceTerm = 1
		s.log = []entry{{1, time.Now()}}
		s.applied = 1
		if i == 0 {
			s.role = connector.RolePrimary
			continue
		}
		s.upstream, s.connected = g.servers[0].instance.Address, true
	}
	return g
}

// Close stops replication.
func (g *Group) Close() {
	g.cancel()
	g.wg.Wait()
}

// Database returns the group's entry in the sheet.
func (g *Group) Database() parser.Database { return g.db }

// SetDelays changes the simulated delays.
func (g *Group) SetDelays(d Delays) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delays = d
}

func (g *Group) callDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delays.RoundTrip
}

// server returns the instance of a name and panics if there is none.
func (g *Group) server(name string) *server {
	for _, s := range g.servers {
		if s.instance.Name == name {
			return s
		}
	}
	panic("fake group has no instance " + name)
}

// Dialer returns a function that opens connections from the named gateway to instances.
func (g *Group) Dialer(gateway string) func(parser.Instance) connector.Instance {
	return func(in parser.Instance) connector.Instance {
		g.mu.Lock()
		defer g.mu.Unlock()
		s := g.server(in.Name)
		return &conn{g: g, s: s, gateway: gateway, epoch: s.epoch}
	}
}

// Kill stops an instance. Calls to it fail with ErrRefused.
func (g *Group) Kill(name string) { g.update(name, func(s *server) { s.down = true }) }

// Restart starts a killed instance, which has kept its state.
func (g *Group) Restart(name string) { g.update(name, func(s *server) { s.down = false }) }

// Pause makes calls to an instance block and stops its replication.
func (g *Group) Pause(name string) { g.update(name, func(s *server) { s.paused = true }) }

// Resume ends a pause. Calls that arrived meanwhile then take effect, including those whose caller has given up.
func (g *Group) Resume(name string) {
	g.update(name, func(s *server) {
		s.paused = false
		for _, run := range s.pending {
			_ = run()
		}
		s.pending = nil
		close(s.resumed)
		s.resumed = make(chan struct{})
	})
}

// Silence makes calls on all open connections to an instance block until their context ends. New connections work.
func (g *Group) Silence(name string) { g.update(name, func(s *server) { s.epoch++ }) }

// LoseAnswers makes the next n calls of an operation take effect on an instance but fail with ErrLost.
func (g *Group) LoseAnswers(name, op string, n int) {
	g.update(name, func(s *server) { s.answersToLose[op] = n })
}

// Demote makes a primary a replica without an upstream, as after a restart.
func (g *Group) Demote(name string) {
	g.update(name, func(s *server) { s.role = connector.RoleReplica })
}

// Detach makes a replica follow an address at which there is no instance.
func (g *Group) Detach(name string) { g.update(name, func(s *server) { s.upstream = "127.0.0.1:1" }) }

// update changes the state of an instance.
func (g *Group) update(name string, f func(*server)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.server(name))
}

// Cut cuts the link between a and b in both directions. Each is the name of an instance or of a gateway.
func (g *Group) Cut(a, b string) { g.setCut(a, b, true) }

// Heal ends the cut between a and b.
func (g *Group) Heal(a, b string) { g.setCut(a, b, false) }

// Isolate cuts an instance off from all other instances and from the given gateways.
func (g *Group) Isolate(name string, gateways ...string) {
	for _, s := range g.servers {
		if s.instance.Name != name {
			g.Cut(name, s.instance.Name)
		}
	}
	for _, gateway := range gateways {
		g.Cut(name, gateway)
	}
}

// HealAll ends all cuts.
func (g *Group) HealAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.cuts)
}

func (g *Group) setCut(a, b string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts[[2]string{a, b}] = cut
	g.cuts[[2]string{b, a}] = cut
}

// Write commits an entry on an instance and returns its log position. It fails unless the instance is a running primary.
func (g *Group) Write(name string) (tokenizer.Position, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(name)
	if s.down || s.paused || !s.isPrimary() {
		return tokenizer.Position{}, fmt.Errorf("write on instance %q refused: not a running primary", name)
	}
	s.append()
	return s.last(), nil
}

// append commits an entry at the fence term.
func (s *server) append() {
	s.log = append(s.log, entry{s.fenceTerm, time.Now()})
	s.applied = len(s.log)
}

// Primaries returns the names of the instances that would accept a write.
func (g *Group) Primaries() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for _, s := range g.servers {
		if !s.down && !s.paused && s.isPrimary() {
			names = append(names, s.instance.Name)
		}
	}
	return names
}

// Status returns an instance's status without a call, also while it is stopped, paused or cut off.
func (g *Group) Status(name string) connector.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server(name).status()
}

// HasEntry reports whether an instance's log contains the entry with position p.
func (g *Group) HasEntry(name string, p tokenizer.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(name)
	return p.Index <= uint64(len(s.log)) && s.position(int(p.Index)) == p
}

// Calls returns the number of calls of an operation that took effect on an instance, including those whose answer was
// lost. Operations that Resume runs for callers that have given up are not counted.
func (g *Group) Calls(name, op string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls[name+op]
}

// replicate runs replication steps until ctx ends.
func (g *Group) replicate(ctx context.Context) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.step(time.Now())
		}
	}
}

// step replicates and applies entries on each running replica once.
func (g *Group) step(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.down || s.paused || s.role != connector.RoleReplica {
			continue
		}
		u := g.byAddress(s.upstream)
		s.connected = u != nil && !u.down && !u.paused && !g.cuts[[2]string{s.instance.Name, u.instance.Name}]
		if s.connected && u.isPrimary() && u.fenceTerm == s.fenceTerm {
			s.pull(u, now.Add(-g.delays.Receive))
		}
		s.apply(now.Add(-g.delays.Apply))
	}
}

// byAddress returns the instance at an address, or nil.
func (g *Group) byAddress(address string) *server {
	for _, s := range g.servers {
		if s.instance.Address == address {
			return s
		}
	}
	return nil
}

// pull discards the entries that the upstream does not have and copies those that it committed at or before until.
func (s *server) pull(u *server, until time.Time) {
	n := len(s.log)
	for n > len(u.log) || s.position(n) != u.position(n) {
		n--
	}
	s.log = s.log[:n]
	s.applied = min(s.applied, n)
	for _, e := range u.log[n:] {
		if e.committedAt.After(until) {
			break
		}
		s.log = append(s.log, e)
	}
}

// apply applies the entries that were committed at or before until.
func (s *server) apply(until time.Time) {
	for s.applied < len(s.log) && !s.log[s.applied].committedAt.After(until) {
		s.applied++
	}
}

// conn is a gateway's connection to an instance. It implements connector.Instance.
type conn struct {
	g       *Group
	s       *server
	gateway string
	epoch   int // of the instance when the connection was opened
}

func (c *conn) Status(ctx context.Context) (connector.Status, error) {
	return c.call(ctx, Status, func() error { return nil })
}

func (c *conn) Fence(ctx context.Context, term uint64) (connector.Status, error) {
	return c.call(ctx, Fence, func() error {
		if term <= c.s.fenceTerm {
			return fmt.Errorf("fence at term %d: fence term is %d", term, c.s.fenceTerm)
		}
		c.s.fenceTerm = term
		return nil
	})
}

func (c *conn) Promote(ctx context.Context, term uint64) (connector.Status, error) {
	return c.call(ctx, Promote, func() error {
		if term != c.s.fenceTerm {
			return fmt.Errorf("promote at term %d: fence term is %d", term, c.s.fenceTerm)
		}
		c.s.role, c.s.upstream, c.s.connected = connector.RolePrimary, "", false
		c.s.append()
		return nil
	})
}

func (c *conn) Follow(ctx context.Context, term uint64, upstream string) (connector.Status, error) {
	return c.call(ctx, Follow, func() error {
		if term < c.s.fenceTerm {
			return fmt.Errorf("follow at term %d: fence term is %d", term, c.s.fenceTerm)
		}
		c.s.fenceTerm, c.s.role, c.s.upstream = term, connector.RoleReplica, upstream
		return nil
	})
}

// call runs an operation on the instance with the delays and faults of the way there and back.
func (c *conn) call(ctx context.Context, op string, run func() error) (connector.Status, error) {
	if err := c.transmit(ctx); err != nil {
		c.queueAbandoned(run)
		return connector.Status{}, err
	}
	status, lost, err := c.perform(op, run)
	if lost {
		return connector.Status{}, ErrLost
	}
	if err != nil {
		return connector.Status{}, err
	}
	return status, c.transmit(ctx)
}

// queueAbandoned queues the operation of a caller that gave up while the instance was paused; Resume runs it.
func (c *conn) queueAbandoned(run func() error) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if c.s.paused && !c.isUnreachable() {
		c.s.pending = append(c.s.pending, run)
	}
}

// isUnreachable reports whether the connection is silent or its link is cut.
func (c *conn) isUnreachable() bool {
	return c.epoch < c.s.epoch || c.g.cuts[[2]string{c.gateway, c.s.instance.Name}]
}

// perform applies an operation to the instance. It returns the status after it and whether the answer is lost.
func (c *conn) perform(op string, run func() error) (connector.Status, bool, error) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if err := run(); err != nil {
		return connector.Status{}, false, err
	}
	c.g.calls[c.s.instance.Name+op]++
	if c.s.answersToLose[op] > 0 {
		c.s.answersToLose[op]--
		return connector.Status{}, true, nil
	}
	return c.s.status(), false, nil
}

// transmit takes half the round trip and then blocks while the instance is paused or the connection cut.
func (c *conn) transmit(ctx context.Context) error {
	t := time.NewTimer(c.g.callDelay() / 2)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	}
	for {
		blocked, resumed, err := c.blocked()
		if err != nil || !blocked {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-resumed:
		}
	}
}

// blocked returns whether calls block and, during a pause, a channel that is closed at its end. The error is
// ErrRefused if the instance is stopped.
func (c *conn) blocked() (bool, <-chan struct{}, error) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	switch {
	case c.isUnreachable():
		return true, nil, nil
	case c.s.down:
		return false, nil, ErrRefused
	}
	return c.s.paused, c.s.resumed, nil
}

// SetState changes an instance's state in the group's entry in the sheet and returns the new entry.
func (g *Group) SetState(name string, st parser.State) parser.Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.db
	d.Instances = slices.Clone(d.Instances)
	for i := range d.Instances {
		if d.Instances[i].Name == name {
			d.Instances[i].State = st
		}
	}
	g.db = d
	return d
}
