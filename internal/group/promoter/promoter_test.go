package promoter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/fake"
	"parsleyscale/internal/sheet/parser"
)

// Guards against a group that never gets its first primary, whatever its size.
func TestFirstStart(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5} {
		inBubble(t, func() *fake.Group { return fake.New(n) }, 3, func(c *cluster) {
			c.newPrimary(0, 3*time.Second)
			c.isWhole(3 * time.Second)
		})
	}
}

// Guards against a failover that takes too long, loses a confirmed write, or
// leaves an instance behind. The figures of the log are the failover times.
func TestFailover(t *testing.T) {
	cases := map[string]struct {
		fail  func(c *cluster)
		limit time.Duration
	}{
		"kill":  {func(c *cluster) { c.g.Kill("a") }, 200 * time.Millisecond},
		"pause": {func(c *cluster) { c.g.Pause("a") }, 1200 * time.Millisecond},
		"cut":   {func(c *cluster) { c.g.Isolate("a", "g0", "g1", "g2") }, 1200 * time.Millisecond},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, serving, 3, func(c *cluster) {
				t := c.t
				p := c.writeConfirmed("a")
				k.fail(c)
				v, took := c.newPrimary(1, 5*time.Second)
				t.Logf("%s with waiting writes: confirmed round of the new term after %s", name, took)
				if took > k.limit {
					t.Errorf("took %s, want at most %s", took, k.limit)
				}
				if !c.g.Holds(v.Primary, p) {
					t.Errorf("the new primary %s lacks %s", v.Primary, p)
				}
				c.g.Resume("a")
				c.g.Restart("a")
				c.g.HealAll()
				c.isWhole(2 * time.Second)
			})
		})
	}
}

// Guards against a slow detection when no request is waiting.
func TestFailoverWhenIdle(t *testing.T) {
	var worst [2]time.Duration
	for n := range 20 {
		for k, fail := range []func(*fake.Group, string){(*fake.Group).Kill, (*fake.Group).Pause} {
			inBubble(t, serving, 3, func(c *cluster) {
				time.Sleep(time.Duration(n) * 27 * time.Millisecond)
				fail(c.g, "a")
				start := time.Now()
				for c.maxTerm() < 2 && time.Since(start) < 5*time.Second {
					time.Sleep(time.Millisecond)
				}
				worst[k] = max(worst[k], time.Since(start))
			})
		}
	}
	t.Logf("without requests, worst of 20: kill %s, pause %s", worst[0], worst[1])
	if worst[0] > 700*time.Millisecond || worst[1] > 1500*time.Millisecond {
		t.Errorf("too slow: kill %s, pause %s", worst[0], worst[1])
	}
}

// Guards against two primaries of one term and against an endless race.
func TestRace(t *testing.T) {
	inBubble(t, serving, 3, func(c *cluster) {
		t := c.t
		for _, w := range c.gateways {
			w.setRank(0)
		}
		for _, name := range []string{"a", "b"} {
			p := c.writeConfirmed(name)
			term := c.gateways[0].sampler.View().Term
			c.g.Kill(name)
			v, _ := c.newPrimary(term, 5*time.Second)
			if !c.g.Holds(v.Primary, p) {
				t.Errorf("%s lacks %s", v.Primary, p)
			}
			c.g.Restart(name)
			c.isWhole(5 * time.Second)
			if v.Primary != "b" {
				break
			}
		}
	})
}

// Guards against a promotion by a promoter that was paused after it fenced and
// wakes up when another one has finished: at once after its instance returned,
// or when that instance follows the new primary already.
func TestPausedPromoter(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * time.Second} {
		inBubble(t, serving, 2, func(c *cluster) {
			t := c.t
			p := c.writeConfirmed("a")
			time.Sleep(100 * time.Millisecond)
			wake := c.gateways[0].block(fake.Promote)
			c.g.Kill("a")
			c.gateways[0].sampler.Report("a", fake.ErrLost)
			time.Sleep(100 * time.Millisecond)
			if n := c.g.Peek("b").FenceTerm; n != 2 {
				t.Fatalf("fence term of b = %d, want 2 of the paused promoter", n)
			}
			c.g.Kill("b")
			c.g.Restart("a")
			v, _ := c.newPrimary(2, 5*time.Second)
			q := c.writeConfirmed(v.Primary)
			c.g.Restart("b")
			time.Sleep(delay)
			wake()
			time.Sleep(800 * time.Microsecond) // the call takes effect after half of its 1 ms
			if names := c.g.Primaries(); delay > 0 && len(names) != 1 {
				t.Errorf("primaries = %v after the late Promote", names)
			}
			time.Sleep(2 * time.Second)
			c.isWhole(time.Second)
			if names := c.g.Primaries(); len(names) != 1 || names[0] != v.Primary {
				t.Errorf("primaries = %v, want %s", names, v.Primary)
			}
			for _, i := range []string{"a", "b", "c"} {
				if !c.g.Holds(i, p) || !c.g.Holds(i, q) {
					t.Errorf("%s lacks %s or %s", i, p, q)
				}
			}
		})
	}
}

// Guards against the promotion of an instance that lacks a confirmed write.
func TestGreatestLast(t *testing.T) {
	for behind, want := range map[string]string{"b": "c", "c": "b"} {
		inBubble(t, serving, 2, func(c *cluster) {
			t := c.t
			c.g.Cut("a", behind)
			p := c.writeConfirmed("a")
			c.g.Kill("a")
			if v, _ := c.newPrimary(1, 3*time.Second); v.Primary != want || !c.g.Holds(v.Primary, p) {
				t.Errorf("primary = %s, want %s", v.Primary, want)
			}
		})
	}
}

// Guards against a second promotion, in the same term or in a new one, when the
// answer to the first is lost.
func TestLostPromoteAnswer(t *testing.T) {
	inBubble(t, serving, 3, func(c *cluster) {
		t := c.t
		c.g.Lose("b", fake.Promote, 1)
		c.g.Lose("c", fake.Promote, 1)
		c.g.Kill("a")
		c.newPrimary(1, 3*time.Second)
		time.Sleep(2 * time.Second)
		if n := c.g.Calls("b", fake.Promote) + c.g.Calls("c", fake.Promote); n != 1 {
			t.Errorf("%d promotions, want 1", n)
		}
		if n := c.gateways[0].count(EventReplaced); n != 1 {
			t.Errorf("the promoter counts %d replaced primaries, want 1", n)
		}
		c.g.Restart("a")
		c.isWhole(2 * time.Second)
	})
}

// Guards against a term that two promoters believe to own because a Fence
// answer was lost and the instance's fence term looks right, and against a
// promotion after fencing less than a majority.
func TestLostFenceAnswers(t *testing.T) {
	for _, names := range [][]string{{"b", "c"}, {"b"}, {"c"}} {
		inBubble(t, serving, 1, func(c *cluster) {
			t := c.t
			for _, n := range names {
				c.g.Lose(n, fake.Fence, 1)
			}
			c.g.Kill("a")
			if v, _ := c.newPrimary(1, 5*time.Second); v.Term < 3 {
				t.Errorf("promoted in term %d, whose Fence answers of %v were lost", v.Term, names)
			}
		})
	}
}

// Guards against a replaced primary that keeps its unconfirmed tail.
func TestOldPrimaryReturns(t *testing.T) {
	inBubble(t, serving, 3, func(c *cluster) {
		t := c.t
		c.g.Isolate("a", "g0", "g1", "g2")
		tail := c.write("a")
		for range 5 {
			tail = c.write("a")
		}
		v, _ := c.newPrimary(1, 5*time.Second)
		q := c.writeConfirmed(v.Primary)
		c.g.HealAll()
		c.isWhole(3 * time.Second)
		if c.g.Holds("a", tail) || !c.g.Holds("a", q) {
			t.Errorf("the old primary holds %s: %v, %s: %v", tail, c.g.Holds("a", tail), q, c.g.Holds("a", q))
		}
		if err := c.gateways[1].sampler.Confirm(t.Context(), tail); !classifier.Is(err, classifier.PrimaryReplaced) {
			t.Errorf("Confirm of the tail = %v", err)
		}
	})
}

// Guards against a group that needs all instances, for writes or for a
// failover, and against a promotion when a second one fails.
func TestOneOfThreeUnreachable(t *testing.T) {
	inBubble(t, serving, 3, func(c *cluster) {
		t := c.t
		c.g.Pause("c")
		time.Sleep(2 * time.Second)
		p := c.writeConfirmed("a")
		if n := c.g.Peek("b").FenceTerm; n != 1 {
			t.Errorf("fence term of b = %d after a replica failed", n)
		}
		c.g.Kill("a")
		time.Sleep(5 * time.Second)
		if names := c.g.Primaries(); len(names) != 0 {
			t.Errorf("primaries = %v with one instance of three", names)
		}
		c.g.Resume("c")
		if v, _ := c.newPrimary(1, 3*time.Second); v.Primary != "b" || !c.g.Holds("b", p) {
			t.Errorf("primary = %s; b holds %s: %v", v.Primary, p, c.g.Holds("b", p))
		}
	})
}

// Guards against a promotion without a majority, and against a failover of a
// healthy primary once the majority returns.
func TestMajorityUnreachable(t *testing.T) {
	inBubble(t, serving, 3, func(c *cluster) {
		t := c.t
		for _, i := range []string{"a", "b"} {
			for _, w := range c.gateways {
				c.g.Cut(i, w.name)
			}
		}
		c.staysIn(1, 10*time.Second)
		c.g.HealAll()
		c.staysIn(1, 5*time.Second)
		c.g.Kill("a")
		c.g.Kill("b")
		time.Sleep(10 * time.Second)
		if n := c.g.Peek("c").FenceTerm; n != 1 {
			t.Errorf("the only instance was fenced at term %d", n)
		}
		c.g.Restart("b")
		c.newPrimary(1, 3*time.Second)
	})
}

// Guards against a failover because open connections to a healthy primary went
// silent, also without a peer that sees the primary.
func TestSilentConnection(t *testing.T) {
	for _, gateways := range []int{1, 3} {
		inBubble(t, serving, gateways, func(c *cluster) {
			for range 5 {
				c.g.Silence("a")
				c.staysIn(1, 2*time.Second)
			}
		})
	}
}

// Guards against a failover of a healthy primary when the gateway's links
// return and the replicas answer before the primary.
func TestLinksReturn(t *testing.T) {
	for n := range 10 {
		inBubble(t, serving, 1, func(c *cluster) {
			c.g.Cut("b", "g0")
			c.g.Cut("c", "g0")
			time.Sleep(time.Duration(n) * 45 * time.Millisecond)
			c.g.Cut("a", "g0")
			time.Sleep(3 * time.Second)
			c.g.HealAll()
			c.staysIn(1, 3*time.Second)
		})
	}
}

// Guards against a failover by a gateway whose own link to the primary is cut
// while another gateway sees the primary.
func TestPeerSeesPrimary(t *testing.T) {
	inBubble(t, serving, 2, func(c *cluster) {
		c.g.Cut("a", "g0")
		c.staysIn(1, 5*time.Second)
		c.g.Cut("a", "g1")
		c.newPrimary(1, 3*time.Second)
	})
}

// Guards against failovers by a VM whose own link is the likely cause: most
// groups look dead from it and no peer answers.
func TestBreaker(t *testing.T) {
	inBubble(t, serving, 2, func(c *cluster) {
		c.apart["g1"] = true
		w := c.gateways[0]
		w.mu.Lock()
		w.dead = 9
		w.mu.Unlock()
		c.g.Cut("a", "g0")
		c.staysIn(1, 5*time.Second)
		c.mu.Lock()
		c.apart["g1"] = false
		c.mu.Unlock()
		c.g.Kill("a")
		c.newPrimary(1, 3*time.Second) // a peer that reaches a majority agrees
	})
}

// Guards against writes that wait for good because the primary is cut off from
// its replicas and still answers the gateways.
func TestStalledPrimary(t *testing.T) {
	inBubble(t, serving, 3, func(c *cluster) {
		t := c.t
		c.g.Isolate("a")
		c.staysIn(1, 5*time.Second) // nothing is unconfirmed
		c.write("a")
		v, took := c.newPrimary(1, 5*time.Second)
		t.Logf("primary cut off from its replicas: confirmed round of the new term after %s", took)
		if v.Primary == "a" || took > 3*time.Second {
			t.Errorf("primary %s after %s", v.Primary, took)
		}
	})
}

// Guards against a group without writes for as long as a gateway beside the
// primary still reaches it, although its replicas and the other gateways do not
// and nobody writes there.
func TestSeveredPrimary(t *testing.T) {
	inBubble(t, serving, 3, func(c *cluster) {
		t := c.t
		c.g.Isolate("a", "g1", "g2")
		v, took := c.newPrimary(1, 5*time.Second)
		t.Logf("primary cut off from its replicas and two of three gateways: confirmed round of the new term after %s", took)
		if v.Primary == "a" || took > 2*time.Second {
			t.Errorf("primary %s after %s", v.Primary, took)
		}
	})
}

// Guards against a replica that is behind, but connected, being taken for a stall.
func TestSlowReplicasAreNoStall(t *testing.T) {
	inBubble(t, serving, 3, func(c *cluster) {
		c.g.SetDelays(fake.Delays{Call: time.Millisecond, Receive: 3 * time.Second})
		for range 20 {
			c.write("a")
			c.staysIn(1, 500*time.Millisecond)
		}
	})
}

// Guards against instances that stay behind a wrong upstream or without a role.
func TestRepair(t *testing.T) {
	inBubble(t, serving, 2, func(c *cluster) {
		c.g.Detach("b")
		c.isWhole(2 * time.Second)
		c.writeConfirmed("a")
		c.g.Demote("a")
		c.newPrimary(1, 3*time.Second)
		c.isWhole(2 * time.Second)
	})
}

// Guards against an instance that refuses the primary's entries for good
// because a promoter fenced it and stopped.
func TestFenceAhead(t *testing.T) {
	inBubble(t, serving, 2, func(c *cluster) {
		t := c.t
		i, _ := c.g.Database().Instance("c")
		if _, err := c.g.Dialer("x")(i).Fence(t.Context(), 7); err != nil {
			t.Fatal(err)
		}
		v, _ := c.newPrimary(1, 10*time.Second)
		if v.Term != 8 {
			t.Errorf("term = %d, want 8", v.Term)
		}
		c.isWhole(2 * time.Second)
	})
}

// Guards against a failed or lost write during a planned switch and against a
// switch that takes too long or chooses a joining instance.
func TestPlannedSwitch(t *testing.T) {
	inBubble(t, serving, 3, func(c *cluster) {
		t := c.t
		c.g.SetDelays(fake.Delays{Call: time.Millisecond, Receive: 20 * time.Millisecond})
		c.g.SetState("b", parser.Joining)
		d := c.g.SetState("a", parser.Leaving)
		w := c.gateways[2]
		if err := w.holder.Wait(t.Context()); err != nil { // a running write unit
			t.Fatal(err)
		}
		for _, w := range c.gateways {
			w.sampler.SetDatabase(d)
		}
		time.Sleep(100 * time.Millisecond)
		p := c.write("a") // the unit still runs
		w.holder.Done()
		start := time.Now()
		if err := w.holder.Wait(t.Context()); err != nil { // a held one
			t.Fatal(err)
		}
		took := time.Since(start)
		v := w.sampler.View()
		if len(c.g.Primaries()) != 1 || c.g.Primaries()[0] != "c" || !c.g.Holds("c", p) {
			t.Errorf("primaries %v, view %s; holds %s: %v", c.g.Primaries(), v.Primary, p, c.g.Holds("c", p))
		}
		t.Logf("planned switch: writes held for %s after the last unit ended", took)
		if took > 300*time.Millisecond {
			t.Errorf("writes were held for %s", took)
		}
	})
}

// Guards against a switch that interrupts a write unit.
func TestPlannedSwitchWaitsForUnits(t *testing.T) {
	inBubble(t, serving, 2, func(c *cluster) {
		t := c.t
		w := c.gateways[1]
		if err := w.holder.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, k := range c.gateways {
			k.sampler.SetDatabase(c.g.SetState("a", parser.Leaving))
		}
		c.staysIn(1, 2*time.Second)
		w.holder.Done()
		c.newPrimary(1, 5*time.Second)
	})
}

// Guards against the promotion of a leaving instance while another has the same log.
func TestLeavingInstanceIsLast(t *testing.T) {
	inBubble(t, serving, 2, func(c *cluster) {
		t := c.t
		c.writeConfirmed("a")
		time.Sleep(100 * time.Millisecond)
		for _, k := range c.gateways {
			k.sampler.SetDatabase(c.g.SetState("b", parser.Leaving))
		}
		c.g.Kill("a")
		if v, _ := c.newPrimary(1, 3*time.Second); v.Primary != "c" {
			t.Errorf("primary = %s", v.Primary)
		}
	})
}

// Guards against a failover of a group that has a single instance.
func TestSingleInstance(t *testing.T) {
	inBubble(t, func() *fake.Group { return fake.NewServing(1) }, 2, func(c *cluster) {
		c.g.Pause("a")
		time.Sleep(5 * time.Second)
		c.g.Resume("a")
		c.staysIn(1, 2*time.Second)
	})
}

// Guards against units that start during a hold, holds without an end, and a
// release by the promoter of an older term.
func TestHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHolder()
		if err := h.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if h.Hold(t.Context(), 3, 100*time.Millisecond) {
			t.Error("Hold is idle with a running unit")
		}
		h.Done()
		if !h.Hold(t.Context(), 3, 100*time.Millisecond) {
			t.Error("Hold is not idle without a running unit")
		}
		h.Release(2)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
		defer cancel()
		if err := h.Wait(ctx); err == nil {
			t.Error("a unit started during a hold")
		}
		if err := h.Wait(t.Context()); err != nil || time.Since(start) != 100*time.Millisecond {
			t.Errorf("Wait = %v after %s", err, time.Since(start))
		}
		h.Done()
		h.Hold(t.Context(), 3, time.Second)
		h.Release(3)
		if err := h.Wait(t.Context()); err != nil || h.Running() != 1 {
			t.Errorf("Wait after Release = %v, %d running", err, h.Running())
		}
	})
}
