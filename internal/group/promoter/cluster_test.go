package promoter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/fake"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// gateway is a VM with a sampler and a promoter of the group.
type gateway struct {
	name     string
	sampler  *sampler.Sampler
	promoter *Promoter
	holder   *Holder

	mu     sync.Mutex
	events []Event
	gates  map[string]chan struct{} // operation: blocks its calls until closed
	dead   int                      // other groups of ten
	rank   int
}

func (w *gateway) setRank(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rank = n
}

func (w *gateway) getRank() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rank
}

func (w *gateway) log(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

func (w *gateway) count(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.events {
		if e.Name == name && e.Err == nil {
			n++
		}
	}
	return n
}

func (w *gateway) others() (int, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead, 10
}

// block makes the gateway's calls of an operation wait until the returned function is called.
func (w *gateway) block(op string) func() {
	c := make(chan struct{})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gates[op] = c
	return func() { close(c) }
}

func (w *gateway) pass(op string) {
	w.mu.Lock()
	c := w.gates[op]
	w.mu.Unlock()
	if c != nil {
		<-c
	}
}

// gatedConn models a promoter that is paused before a call: a pause does not end the call's context.
type gatedConn struct {
	connector.Instance
	w *gateway
}

func (c gatedConn) Promote(ctx context.Context, term uint64) (connector.Status, error) {
	c.w.pass(fake.Promote)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), promoteTimeout)
	defer cancel()
	return c.Instance.Promote(ctx, term)
}

// cluster is a group with its gateways.
type cluster struct {
	t        *testing.T
	g        *fake.Group
	gateways []*gateway

	mu    sync.Mutex
	apart map[string]bool // gateways that reach no other gateway
}

// peersOf reaches the other gateways of a cluster.
type peersOf struct {
	c    *cluster
	self string
}

func (p peersOf) others() []*gateway {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.c.gateways), func(w *gateway) bool {
		return w.name == p.self || p.c.apart[w.name] || p.c.apart[p.self]
	})
}

func (p peersOf) Observe(ctx context.Context, _ string) []Observation {
	others := p.others()
	answers := make([]Observation, len(others))
	var wg sync.WaitGroup
	for k, w := range others {
		wg.Go(func() { answers[k] = Observation{Gateway: w.name, Instances: Observe(ctx, w.sampler)} })
	}
	wg.Wait()
	return answers
}

func (p peersOf) Hold(ctx context.Context, _ string, term uint64) error {
	for _, w := range p.others() {
		if !w.holder.Hold(ctx, term, HoldTime) {
			return fmt.Errorf("%s is not idle", w.name)
		}
	}
	return nil
}

func (p peersOf) Release(_ context.Context, _ string, term uint64) error {
	for _, w := range p.others() {
		w.holder.Release(term)
	}
	return nil
}

// inBubble runs f with a group and its gateways g0, g1 and so on.
func inBubble(t *testing.T, g func() *fake.Group, gateways int, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, g: g(), apart: map[string]bool{}}
		defer c.g.Close()
		for k := range gateways {
			w := c.newGateway(k)
			defer w.sampler.Close()
		}
		c.mu.Lock()
		for k, w := range c.gateways {
			w.promoter = New(Config{
				Sampler: w.sampler, Dial: c.dialer(w), Peers: peersOf{c, w.name}, Holder: w.holder,
				Rank: w.getRank, OtherGroups: w.others, Log: w.log, Seed: uint64(k + 1),
			})
			defer w.promoter.Close()
		}
		c.mu.Unlock()
		time.Sleep(time.Second)
		f(c)
	})
}

func (c *cluster) newGateway(k int) *gateway {
	w := &gateway{name: fmt.Sprintf("g%d", k), rank: k, holder: NewHolder(), gates: map[string]chan struct{}{}}
	w.sampler = sampler.New(sampler.Config{Database: c.g.Database(), Dial: c.g.Dialer(w.name), Seed: uint64(k + 1)})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateways = append(c.gateways, w)
	return w
}

func (c *cluster) dialer(w *gateway) func(parser.Instance) connector.Instance {
	dial := c.g.Dialer(w.name)
	return func(i parser.Instance) connector.Instance { return gatedConn{dial(i), w} }
}

func serving() *fake.Group { return fake.NewServing(3) }

// newPrimary waits until a gateway confirms a round of a term above the given one.
func (c *cluster) newPrimary(above uint64, limit time.Duration) (sampler.View, time.Duration) {
	c.t.Helper()
	start := time.Now()
	s := c.gateways[len(c.gateways)-1].sampler
	ctx, cancel := context.WithTimeout(c.t.Context(), limit)
	defer cancel()
	for ctx.Err() == nil {
		if v, err := s.Next(ctx); err == nil && v.Term > above {
			return v, time.Since(start)
		}
	}
	c.t.Fatalf("no primary of a term above %d within %s; instances %+v, events %+v", above, limit, s.View().Instances, c.gateways[0].events)
	return sampler.View{}, 0
}

// maxTerm returns the highest term that a gateway has confirmed.
func (c *cluster) maxTerm() uint64 {
	top := uint64(0)
	for _, w := range c.gateways {
		top = max(top, w.sampler.View().Term)
	}
	return top
}

// staysIn fails the test when the group leaves a term within a time.
func (c *cluster) staysIn(term uint64, d time.Duration) {
	c.t.Helper()
	time.Sleep(d)
	for _, i := range c.g.Database().Instances {
		if f := c.g.Peek(i.Name).FenceTerm; f != term {
			c.t.Errorf("fence term of %s = %d, want %d", i.Name, f, term)
		}
	}
}

// isWhole fails the test unless all instances follow the primary within a time.
func (c *cluster) isWhole(limit time.Duration) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		if c.whole() {
			return
		}
		if time.Now().After(deadline) {
			break
		}
	}
	for _, i := range c.g.Database().Instances {
		c.t.Errorf("not whole: %+v", c.g.Peek(i.Name))
	}
}

func (c *cluster) whole() bool {
	names := c.g.Primaries()
	if len(names) != 1 {
		return false
	}
	p := c.g.Peek(names[0])
	d, _ := c.g.Database().Instance(p.Name)
	for _, i := range c.g.Database().Instances {
		s := c.g.Peek(i.Name)
		if i.Name != p.Name && (s.FenceTerm != p.FenceTerm || s.Upstream != d.Address || s.Last != p.Last) {
			return false
		}
	}
	return true
}

func (c *cluster) write(name string) tokenizer.Position {
	c.t.Helper()
	p, err := c.g.Write(name)
	if err != nil {
		c.t.Fatal(err)
	}
	return p
}

// writeConfirmed writes to an instance and waits for the confirmation.
func (c *cluster) writeConfirmed(name string) tokenizer.Position {
	c.t.Helper()
	p := c.write(name)
	if err := c.gateways[0].sampler.Confirm(c.t.Context(), p); err != nil {
		c.t.Fatal(err)
	}
	return p
}
