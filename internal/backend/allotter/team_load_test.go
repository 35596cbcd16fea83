package allotter

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

// The instance of the load tests is one of deployment tfl.
const (
	loadSlots         = 5
	loadGateways      = 4
	loadConnections   = 72
	loadHandshakeTime = 12 * time.Millisecond
	loadStatementTime = 10 * time.Millisecond
	loadWait          = 150 * time.Millisecond // acquireTimeout of package forwarder
	loadSmallTeams    = 70
	loadLargeTeams    = 5
)

// teamLoad is a load of several teams on one instance.
type teamLoad struct {
	name                 string
	smallRate, largeRate float64       // statements/s of each small and each large team
	hotRate              float64       // of large team 0 between 4 s and 9 s
	restartAt            time.Duration // when the instance closes all connections; 0: never
	gatewayFailsAt       time.Duration // when the teams of gateway 0 move to the others; 0: never
	maxRefused           float64       // share of the requests of small and large teams
	maxMeanWait          time.Duration // of the requests of small and large teams that were served
	maxHandshakes        float64       // per statement
}

// teamInstance is a fake instance that knows the team of each connection.
type teamInstance struct {
	slotDialer
	mu         sync.Mutex
	conns      map[*teamFakeConn]bool
	handshakes int
	maxOpen    int
}

type teamFakeConn struct {
	instance *teamInstance
	team     string
	isClosed bool
}

func (s *teamInstance) Dial(_ context.Context, t carrier.Target) (carrier.Conn, tokenizer.Position, error) {
	s.run(s.handshakeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &teamFakeConn{instance: s, team: t.Team}
	s.conns[c] = true
	s.handshakes++
	s.maxOpen = max(s.maxOpen, len(s.conns))
	return c, tokenizer.Position{}, nil
}

func (c *teamFakeConn) Send(...carrier.Command) error   { return nil }
func (c *teamFakeConn) Receive() (carrier.Reply, error) { return carrier.Reply{}, nil }
func (c *teamFakeConn) SetDeadline(time.Time)           {}
func (c *teamFakeConn) IsBroken() bool {
	c.instance.mu.Lock()
	defer c.instance.mu.Unlock()
	return c.isClosed
}
func (c *teamFakeConn) Close() {
	c.instance.mu.Lock()
	defer c.instance.mu.Unlock()
	c.isClosed = true
	delete(c.instance.conns, c)
}

// teamResult counts the requests of one kind of team.
type teamResult struct {
	waits   []time.Duration
	refused int
}

func (r *teamResult) refusedShare() float64 {
	return float64(r.refused) / float64(max(1, r.refused+len(r.waits)))
}

func (r *teamResult) meanWait() time.Duration {
	sum := time.Duration(0)
	for _, w := range r.waits {
		sum += w
	}
	return sum / time.Duration(max(1, len(r.waits)))
}

// Guards against connections that are opened and closed again and again because teams displace each other, against a
// team with high load that keeps others from their connections, and against a statement on a connection of another team.
func TestLoadOfTeams(t *testing.T) {
	const small, large, hot = "small", "large", "hot"
	for _, l := range []teamLoad{
		{name: "skewed", smallRate: 0.5, largeRate: 50, maxRefused: 0.01, maxMeanWait: 10 * time.Millisecond, maxHandshakes: 0.1},
		{name: "all small teams at once", smallRate: 4, maxRefused: 0.01, maxMeanWait: 10 * time.Millisecond, maxHandshakes: 0.35},
		{name: "one team at seven times its load", smallRate: 0.5, largeRate: 50, hotRate: 350, maxRefused: 0.02, maxMeanWait: 20 * time.Millisecond, maxHandshakes: 0.1},
		{name: "instance returns without connections", smallRate: 0.5, largeRate: 50, restartAt: 5 * time.Second, maxRefused: 0.01, maxMeanWait: 10 * time.Millisecond, maxHandshakes: 0.15},
		{name: "gateway fails", smallRate: 0.5, largeRate: 50, gatewayFailsAt: 5 * time.Second, maxRefused: 0.01, maxMeanWait: 10 * time.Millisecond, maxHandshakes: 0.15},
	} {
		t.Run(l.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &teamInstance{slotDialer: slotDialer{usedSlots: make(chan struct{}, loadSlots), handshakeTime: loadHandshakeTime}, conns: map[*teamFakeConn]bool{}}
				results, served := runTeams(t, s, l), 0
				for _, kind := range []string{small, large, hot} {
					r := results[kind]
					if r == nil {
						continue
					}
					served += len(r.waits)
					slices.Sort(r.waits)
					p99 := time.Duration(0)
					if len(r.waits) > 0 {
						p99 = r.waits[len(r.waits)*99/100]
					}
					t.Logf("%s teams: %d served, %.1f %% refused, waited %v on average, 99th percentile %v", kind, len(r.waits), 100*r.refusedShare(), r.meanWait(), p99)
					if kind != hot && (r.refusedShare() > l.maxRefused || r.meanWait() > l.maxMeanWait) {
						t.Errorf("%s teams: %.3f of the requests refused, mean wait %v; want at most %.3f and %v", kind, r.refusedShare(), r.meanWait(), l.maxRefused, l.maxMeanWait)
					}
				}
				perStatement := float64(s.handshakes) / float64(served)
				t.Logf("%.3f handshakes per statement, %d connections open at most", perStatement, s.maxOpen)
				if perStatement > l.maxHandshakes || s.maxOpen > loadConnections {
					t.Errorf("%.3f handshakes per statement, %d connections; want at most %.3f and %d", perStatement, s.maxOpen, l.maxHandshakes, loadConnections)
				}
			})
		})
	}
}

// runTeams sends the load of all teams through the gateways of an instance and returns the results by kind of team.
func runTeams(t *testing.T, s *teamInstance, l teamLoad) map[string]*teamResult {
	var gateways []*Allotter
	for range loadGateways {
		a := New(Config{
			Dialer: s, Limits: func(carrier.Target) Limits {
				return Limits{Open: loadConnections / loadGateways, InUse: 2 * loadSlots, Dialing: max(1, loadSlots/loadGateways)}
			},
			Observe: func(carrier.Target, tokenizer.Position, time.Duration, error) {},
		})
		defer a.Close()
		gateways = append(gateways, a)
	}
	results := map[string]*teamResult{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	start := time.Now()
	send := func(team, kind string) {
		h := fnv.New32a()
		_, _ = h.Write([]byte(team))
		g := h.Sum32() % loadGateways
		if g == 0 && l.gatewayFailsAt > 0 && time.Since(start) >= l.gatewayFailsAt {
			g = 1 + h.Sum32()/loadGateways%(loadGateways-1)
		}
		acquireCtx, cancel := context.WithTimeout(context.Background(), loadWait)
		defer cancel()
		sentAt := time.Now()
		lease, err := gateways[g].Acquire(acquireCtx, target.WithTeam(team), 1)
		mu.Lock()
		r := results[kind]
		if r == nil {
			r = &teamResult{}
			results[kind] = r
		}
		if err != nil {
			r.refused++
			mu.Unlock()
			return
		}
		r.waits = append(r.waits, time.Since(sentAt))
		mu.Unlock()
		if got := lease.conn.(*teamFakeConn).team; got != team {
			t.Errorf("statement of %s on a connection of %s", team, got)
		}
		s.run(loadStatementTime)
		lease.Release()
	}
	for k := range loadSmallTeams + loadLargeTeams {
		team, kind, rate := fmt.Sprintf("team%d", k), "small", l.smallRate
		if k < loadLargeTeams {
			kind, rate = "large", l.largeRate
		}
		if rate == 0 {
			continue
		}
		random := rand.New(rand.NewPCG(1, uint64(k)))
		wg.Go(func() {
			for ctx.Err() == nil {
				r, sinceStart := rate, time.Since(start)
				isHot := k == 0 && l.hotRate > 0 && sinceStart > 4*time.Second && sinceStart < 9*time.Second
				kindNow := kind
				if isHot {
					r, kindNow = l.hotRate, "hot"
				}
				time.Sleep(time.Duration(random.ExpFloat64() / r * float64(time.Second)))
				wg.Go(func() { send(team, kindNow) })
			}
		})
	}
	if l.restartAt > 0 {
		time.Sleep(l.restartAt)
		s.mu.Lock()
		for c := range s.conns {
			c.isClosed = true
			delete(s.conns, c)
		}
		s.mu.Unlock()
	}
	<-ctx.Done()
	wg.Wait()
	return results
}
