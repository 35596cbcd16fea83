package promoter

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/fake"
	"parsleyscale/internal/session/tokenizer"
)

var schedules = flag.Int("schedules", 5, "number of random fault schedules")

const all = math.MaxInt32 // positions to check

// ledger records confirmed positions and checks them against the group.
type ledger struct {
	mu        sync.Mutex
	confirmed []tokenizer.Position
	byIndex   map[uint64]uint64
	replaced  int
}

// add returns an error when a confirmation contradicts an earlier one.
func (l *ledger) add(p tokenizer.Position) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.byIndex[p.Index]; ok && t != p.Term {
		return fmt.Errorf("index %d is confirmed in term %d and in term %d", p.Index, t, p.Term)
	}
	for _, q := range l.tail(200) {
		if q.Term < p.Term && q.Index >= p.Index || q.Term > p.Term && q.Index <= p.Index {
			return fmt.Errorf("%s and %s are both confirmed", q, p)
		}
	}
	l.byIndex[p.Index] = p.Term
	l.confirmed = append(l.confirmed, p)
	return nil
}

func (l *ledger) tail(n int) []tokenizer.Position { return l.confirmed[max(0, len(l.confirmed)-n):] }

// check returns an error when a primary lacks one of the last n positions that
// were confirmed in its term or a lower one.
func (l *ledger) check(g *fake.Group, n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range g.Database().Instances {
		s := g.Peek(i.Name)
		if s.Role != connector.RolePrimary || s.Last.Term != s.FenceTerm {
			continue
		}
		for _, p := range l.tail(n) {
			if p.Term <= s.FenceTerm && !g.Holds(i.Name, p) {
				return fmt.Errorf("primary %s of term %d lacks the confirmed %s", i.Name, s.FenceTerm, p)
			}
		}
	}
	return nil
}

// writeUntil writes to the primary that a gateway knows and records what is confirmed.
func (c *cluster) writeUntil(ctx context.Context, w *gateway, l *ledger, r *rand.Rand) {
	for ctx.Err() == nil {
		c.writeOne(ctx, w, l)
		_ = sleep(ctx, nil, time.Duration(5+r.IntN(45))*time.Millisecond)
	}
}

func (c *cluster) writeOne(ctx context.Context, w *gateway, l *ledger) {
	v := w.sampler.View()
	if v.Primary == "" {
		_, _ = w.sampler.Next(ctx)
		return
	}
	p, err := c.g.Write(v.Primary)
	if err != nil {
		w.sampler.Report(v.Primary, err)
		return
	}
	wait, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	err = w.sampler.Confirm(wait, p)
	if err == nil {
		err = l.add(p)
	} else if classifier.Is(err, classifier.PrimaryReplaced) {
		l.mu.Lock()
		l.replaced++
		l.mu.Unlock()
		return
	} else {
		return
	}
	if err == nil {
		err = l.check(c.g, 20)
	}
	if err != nil {
		c.t.Error(err)
	}
}

// disturb injects one random fault, and sometimes ends all.
func (c *cluster) disturb(r *rand.Rand) {
	all := c.g.Database().Instances
	name := all[r.IntN(len(all))].Name
	w := c.gateways[r.IntN(len(c.gateways))]
	switch r.IntN(15) {
	case 0, 1:
		c.g.Kill(name)
	case 2, 3:
		c.g.Pause(name)
	case 4:
		c.g.Silence(name)
	case 5:
		c.g.Isolate(name, c.gateways[0].name)
	case 6:
		c.g.Cut(name, w.name)
	case 7:
		c.g.Lose(name, []string{fake.Fence, fake.Promote, fake.Follow}[r.IntN(3)], 1+r.IntN(2))
	case 8, 9:
		time.AfterFunc(time.Duration(r.IntN(4000))*time.Millisecond, w.block(fake.Promote))
	case 10:
		if names := c.g.Primaries(); len(names) > 0 {
			c.g.Isolate(names[0])
		}
	case 11, 12, 13: // one replica falls behind
		if names := c.g.Primaries(); len(names) > 0 && names[0] != name {
			c.g.Cut(names[0], name)
		}
	case 14:
		if names := c.g.Primaries(); len(names) > 0 {
			c.g.Kill(names[0])
		}
	}
	if r.IntN(3) == 0 {
		c.healAll()
	}
}

func (c *cluster) healAll() {
	c.g.HealAll()
	for _, i := range c.g.Database().Instances {
		c.g.Restart(i.Name)
		c.g.Resume(i.Name)
	}
}

// Guards against the loss of a confirmed write, two contradicting confirmations
// and a group that does not recover, over random schedules of kills, pauses,
// cuts, silent connections, lost answers and promoters that pause before Promote.
func TestSchedules(t *testing.T) {
	total, replaced, terms := 0, 0, uint64(0)
	for seed := range *schedules {
		n := 3 + 2*(seed%4/3)
		inBubble(t, func() *fake.Group { return fake.NewServing(n) }, 3, func(c *cluster) {
			r := rand.New(rand.NewPCG(uint64(seed), 3))
			c.g.SetDelays(fake.Delays{Call: time.Millisecond, Receive: time.Duration(r.IntN(30)) * time.Millisecond})
			l := &ledger{byIndex: map[uint64]uint64{}}
			ctx, cancel := context.WithCancel(c.t.Context())
			var wg sync.WaitGroup
			for k, w := range c.gateways {
				wg.Go(func() { c.writeUntil(ctx, w, l, rand.New(rand.NewPCG(uint64(seed), uint64(10+k)))) })
			}
			for range 60 {
				c.disturb(r)
				time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
				if err := l.check(c.g, all); err != nil {
					c.t.Error(err)
				}
			}
			c.healAll()
			time.Sleep(5 * time.Second)
			cancel()
			wg.Wait()
			c.isWhole(12 * time.Second)
			if err := l.check(c.g, all); err != nil {
				c.t.Error(err)
			}
			total += len(l.confirmed)
			replaced += l.replaced
			terms += c.maxTerm()
			if c.t.Failed() {
				c.t.Logf("seed %d", seed)
			}
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d schedules: %d confirmed writes, %d of replaced primaries, %d terms", *schedules, total, replaced, terms)
}
