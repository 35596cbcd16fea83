// Package fake holds an in-memory database group for the tests of the sampler
// and the promoter. It keeps the contract of connector.Instance and injects
// faults: kills, pauses, cuts, silent connections and lost answers.
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

// Operations of connector.Instance.
const (
	Status  = "status"
	Fence   = "fence"
	Promote = "promote"
	Follow  = "follow"
)

const tick = time.Millisecond

// Errors of calls.
var (
	ErrRefused = errors.New("connection refused")
	ErrLost    = errors.New("connection lost before the answer")
)

type entry struct {
	term uint64
	at   time.Time
}

type server struct {
	instance  parser.Instance
	role      string
	fence     uint64
	log       []entry
	applied   int
	upstream  string
	connected bool

	down, paused bool
	epoch        int // connections of earlier epochs are silent
	lose         map[string]int
	resumed      chan struct{}
	pending      []func() error // calls that reached the instance during a pause
}

func (s *server) position(n int) tokenizer.Position {
	if n == 0 {
		return tokenizer.Position{}
	}
	return tokenizer.Position{Term: s.log[n-1].term, Index: uint64(n)}
}

func (s *server) last() tokenizer.Position { return s.position(len(s.log)) }

func (s *server) isPrimary() bool {
	return s.role == connector.RolePrimary && s.fence > 0 && s.last().Term == s.fence
}

func (s *server) status() connector.Status {
	return connector.Status{
		Name: s.instance.Name, Role: s.role, FenceTerm: s.fence,
		Last: s.last(), Applied: s.position(s.applied),
		Upstream: s.upstream, Connected: s.connected, Limit: s.instance.Connections,
	}
}

// Delays are the times that a group's work takes.
type Delays struct {
	Call    time.Duration // both ways together
	Receive time.Duration // from a commit until a replica holds it
	Apply   time.Duration // from a commit until a replica has applied it
}

// Group is a database group.
type Group struct {
	mu      sync.Mutex
	delays  Delays
	db      parser.Database
	servers []*server
	cuts    map[[2]string]bool
	calls   map[string]int
	wg      sync.WaitGroup
	cancel  context.CancelFunc
}

// New returns a running group whose instances a, b, c and so on are replicas of an empty log.
func New(n int) *Group {
	g := &Group{
		delays: Delays{Call: time.Millisecond},
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
			instance: in, role: connector.RoleReplica, lose: map[string]int{}, resumed: make(chan struct{}),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.wg.Go(func() { g.replicate(ctx) })
	return g
}

// NewServing returns a running group whose first instance is primary of term 1.
func NewServing(n int) *Group {
	g := New(n)
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, s := range g.servers {
		s.fence = 1
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

// Close ends the group's goroutine.
func (g *Group) Close() {
	g.cancel()
	g.wg.Wait()
}

// Database returns the sheet's entry of the group.
func (g *Group) Database() parser.Database { return g.db }

// SetDelays changes the delays.
func (g *Group) SetDelays(d Delays) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delays = d
}

func (g *Group) callDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delays.Call
}

func (g *Group) server(name string) *server {
	for _, s := range g.servers {
		if s.instance.Name == name {
			return s
		}
	}
	panic("no instance " + name)
}

// Dialer returns a dial function for the gateway of the given name.
func (g *Group) Dialer(gateway string) func(parser.Instance) connector.Instance {
	return func(i parser.Instance) connector.Instance {
		g.mu.Lock()
		defer g.mu.Unlock()
		s := g.server(i.Name)
		return &conn{g: g, s: s, gateway: gateway, epoch: s.epoch}
	}
}

// Kill stops an instance: calls fail at once.
func (g *Group) Kill(name string) { g.set(name, func(s *server) { s.down = true }) }

// Restart starts a killed instance with its log.
func (g *Group) Restart(name string) { g.set(name, func(s *server) { s.down = false }) }

// Pause makes calls to an instance block.
func (g *Group) Pause(name string) { g.set(name, func(s *server) { s.paused = true }) }

// Resume ends a pause; blocked calls then take effect, also those whose caller is gone.
func (g *Group) Resume(name string) {
	g.set(name, func(s *server) {
		s.paused = false
		for _, f := range s.pending {
			_ = f()
		}
		s.pending = nil
		close(s.resumed)
		s.resumed = make(chan struct{})
	})
}

// Silence makes all open connections to an instance silent for good.
func (g *Group) Silence(name string) { g.set(name, func(s *server) { s.epoch++ }) }

// Lose makes the next n calls of an operation take effect and lose their answer.
func (g *Group) Lose(name, op string, n int) { g.set(name, func(s *server) { s.lose[op] = n }) }

// Demote makes an instance a replica without an upstream, as after a restart.
func (g *Group) Demote(name string) {
	g.set(name, func(s *server) { s.role = connector.RoleReplica })
}

// Detach makes a replica follow a wrong address.
func (g *Group) Detach(name string) { g.set(name, func(s *server) { s.upstream = "127.0.0.1:1" }) }

func (g *Group) set(name string, f func(*server)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.server(name))
}

// Cut cuts the link between two parties, instances or gateways, in both directions.
func (g *Group) Cut(a, b string) { g.setCut(a, b, true) }

// Heal ends a cut.
func (g *Group) Heal(a, b string) { g.setCut(a, b, false) }

// Isolate cuts an instance from the other instances and the given gateways.
func (g *Group) Isolate(name string, gateways ...string) {
	for _, s := range g.servers {
		if s.instance.Name != name {
			g.Cut(name, s.instance.Name)
		}
	}
	for _, w := range gateways {
		g.Cut(name, w)
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

// Write commits an entry on an instance and returns its position.
func (g *Group) Write(name string) (tokenizer.Position, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(name)
	if s.down || s.paused || !s.isPrimary() {
		return tokenizer.Position{}, fmt.Errorf("instance %q refuses the write", name)
	}
	s.append()
	return s.last(), nil
}

func (s *server) append() {
	s.log = append(s.log, entry{s.fence, time.Now()})
	s.applied = len(s.log)
}

// Primaries returns the instances that would accept a write.
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

// Peek returns an instance's status, whatever its state.
func (g *Group) Peek(name string) connector.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server(name).status()
}

// Holds reports whether an instance's log contains the entry at p.
func (g *Group) Holds(name string, p tokenizer.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(name)
	return p.Index <= uint64(len(s.log)) && s.position(int(p.Index)) == p
}

// Calls returns how many calls of an operation took effect on an instance.
func (g *Group) Calls(name, op string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls[name+op]
}

func (g *Group) replicate(ctx context.Context) {
	t := time.NewTicker(tick)
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

func (g *Group) step(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.down || s.paused || s.role != connector.RoleReplica {
			continue
		}
		u := g.byAddress(s.upstream)
		s.connected = u != nil && !u.down && !u.paused && !g.cuts[[2]string{s.instance.Name, u.instance.Name}]
		if s.connected && u.isPrimary() && u.fence == s.fence {
			s.pull(u, now.Add(-g.delays.Receive))
		}
		s.apply(now.Add(-g.delays.Apply))
	}
}

func (g *Group) byAddress(a string) *server {
	for _, s := range g.servers {
		if s.instance.Address == a {
			return s
		}
	}
	return nil
}

// pull drops the tail that the upstream lacks and takes the upstream's entries up to a time.
func (s *server) pull(u *server, until time.Time) {
	n := len(s.log)
	for n > len(u.log) || s.position(n) != u.position(n) {
		n--
	}
	s.log = s.log[:n]
	s.applied = min(s.applied, n)
	for _, e := range u.log[n:] {
		if e.at.After(until) {
			break
		}
		s.log = append(s.log, e)
	}
}

func (s *server) apply(until time.Time) {
	for s.applied < len(s.log) && !s.log[s.applied].at.After(until) {
		s.applied++
	}
}

// conn is a gateway's connection to an instance.
type conn struct {
	g       *Group
	s       *server
	gateway string
	epoch   int
}

func (c *conn) Status(ctx context.Context) (connector.Status, error) {
	return c.call(ctx, Status, func() error { return nil })
}

func (c *conn) Fence(ctx context.Context, term uint64) (connector.Status, error) {
	return c.call(ctx, Fence, func() error {
		if term <= c.s.fence {
			return fmt.Errorf("fence %d: fence term is %d", term, c.s.fence)
		}
		c.s.fence = term
		return nil
	})
}

func (c *conn) Promote(ctx context.Context, term uint64) (connector.Status, error) {
	return c.call(ctx, Promote, func() error {
		if term != c.s.fence {
			return fmt.Errorf("promote %d: fence term is %d", term, c.s.fence)
		}
		c.s.role, c.s.upstream, c.s.connected = connector.RolePrimary, "", false
		c.s.append()
		return nil
	})
}

func (c *conn) Follow(ctx context.Context, term uint64, upstream string) (connector.Status, error) {
	return c.call(ctx, Follow, func() error {
		if term < c.s.fence {
			return fmt.Errorf("follow %d: fence term is %d", term, c.s.fence)
		}
		c.s.fence, c.s.role, c.s.upstream = term, connector.RoleReplica, upstream
		return nil
	})
}

// call travels to the instance, takes effect and travels back.
func (c *conn) call(ctx context.Context, op string, f func() error) (connector.Status, error) {
	if err := c.travel(ctx); err != nil {
		c.leave(f)
		return connector.Status{}, err
	}
	st, lost, err := c.perform(op, f)
	if lost {
		return connector.Status{}, ErrLost
	}
	if err != nil {
		return connector.Status{}, err
	}
	return st, c.travel(ctx)
}

// leave queues a call that reached a paused instance and whose caller is gone.
func (c *conn) leave(f func() error) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if c.s.paused && !c.isCut() {
		c.s.pending = append(c.s.pending, f)
	}
}

func (c *conn) isCut() bool {
	return c.epoch < c.s.epoch || c.g.cuts[[2]string{c.gateway, c.s.instance.Name}]
}

func (c *conn) perform(op string, f func() error) (connector.Status, bool, error) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if err := f(); err != nil {
		return connector.Status{}, false, err
	}
	c.g.calls[c.s.instance.Name+op]++
	if c.s.lose[op] > 0 {
		c.s.lose[op]--
		return connector.Status{}, true, nil
	}
	return c.s.status(), false, nil
}

// travel spends half the latency and waits until the instance can be reached.
func (c *conn) travel(ctx context.Context) error {
	t := time.NewTimer(c.g.callDelay() / 2)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	}
	for {
		blocked, resumed, err := c.state()
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

// state returns whether calls block, and a channel that is closed when a pause ends.
func (c *conn) state() (bool, <-chan struct{}, error) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	switch {
	case c.isCut():
		return true, nil, nil
	case c.s.down:
		return false, nil, ErrRefused
	}
	return c.s.paused, c.s.resumed, nil
}

// SetState changes the state of an instance in the sheet's entry and returns the entry.
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
