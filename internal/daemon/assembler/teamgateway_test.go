package assembler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// Guards against VMs that use different gateways for a small team, against a team whose load stays on one gateway although it
// exceeds it, and against teams that change their gateway although it has not failed.
func TestTeamGateway(t *testing.T) {
	list := []member{{ID: "g1"}, {ID: "g2"}, {ID: "g3"}, {ID: "g4"}}
	teamsOf, none := map[string]int{}, func(member) bool { return false }
	for k := range 75 {
		team := fmt.Sprintf("team%d", k)
		first, _ := chooseTeamGateway(list, team, "vm0", 1, none)
		teamsOf[first.ID]++
		used := map[string]int{}
		for v := range 60 {
			vm := fmt.Sprintf("vm%d", v)
			if g, _ := chooseTeamGateway(list, team, vm, 1, none); g.ID != first.ID {
				t.Fatalf("%s: %s uses %s, vm0 %s", team, vm, g.ID, first.ID)
			}
			g, _ := chooseTeamGateway(list, team, vm, 2, none)
			used[g.ID]++
			hasFailed := func(g member) bool { return g.ID != first.ID }
			if g, _ := chooseTeamGateway(list, team, vm, 4, hasFailed); g.ID != first.ID {
				t.Errorf("%s: %s uses %s, which has failed", team, vm, g.ID)
			}
			other := list[(k+v)%4]
			if g, _ := chooseTeamGateway(list, team, vm, 1, func(g member) bool { return g == other }); other.ID != first.ID && g.ID != first.ID {
				t.Errorf("%s: %s changes from %s to %s, although %s has failed", team, vm, first.ID, g.ID, other.ID)
			}
		}
		if len(used) != 2 || used[first.ID] < 15 || used[first.ID] > 45 {
			t.Errorf("%s with high load: %v statements' VMs by gateway, want about half on each of two", team, used)
		}
	}
	for id, n := range teamsOf {
		if n < 8 || n > 30 {
			t.Errorf("gateway %s has %d teams of 75, want about a quarter", id, n)
		}
	}
	if _, ok := chooseTeamGateway(list, "a", "vm0", 1, func(member) bool { return true }); ok {
		t.Error("chose a gateway although all have failed")
	}
	for load, want := range map[float64]int{0: 1, 5: 1, 8: 2, 16: 3} {
		if n := gatewaysForLoad(load, 10); n != want {
			t.Errorf("load of %v connections in use: %d gateways, want %d", load, n, want)
		}
	}
}

// gatewayPlatformDialer dials a gateway that does not answer until isUp is set.
type gatewayPlatformDialer struct {
	mu    sync.Mutex
	dials int
	isUp  bool
}

func (f *gatewayPlatformDialer) Dial(ctx context.Context, _ carrier.Target) (carrier.Conn, tokenizer.Position, error) {
	f.mu.Lock()
	f.dials++
	isUp := f.isUp
	f.mu.Unlock()
	if !isUp {
		<-ctx.Done()
		return nil, tokenizer.Position{}, errors.New("no answer")
	}
	return closedConn{}, tokenizer.Position{}, nil
}

type closedConn struct{ carrier.Conn }

func (closedConn) Close() {}

// Guards against statements that wait for a gateway which does not answer each time failedGatewayBackoff has passed, and against
// a gateway that is not used again.
func TestFailedGatewayIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &gatewayPlatformDialer{}
		d := &gatewayDialer{vm: &VM{platform: Platform{Dialer: f}}, failed: map[string]time.Time{}, probing: map[string]bool{}}
		d.recordFailedGateway("x")
		for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
			if !d.hasFailed(carrier.Target{}, "x") {
				t.Fatalf("gateway is used %s after it failed, although it does not answer", time.Since(start))
			}
		}
		if f.dials < 3 || f.dials > 5 {
			t.Errorf("%d dials within 10 s, want one each 2 s", f.dials)
		}
		f.mu.Lock()
		f.isUp = true
		f.mu.Unlock()
		for range 2 {
			d.hasFailed(carrier.Target{}, "x")
			time.Sleep(failedGatewayBackoff + time.Second)
		}
		if d.hasFailed(carrier.Target{}, "x") {
			t.Error("gateway that answers again is not used")
		}
		synctest.Wait()
	})
}

// Guards against an explanation that dials a gateway which has failed.
func TestPeekRouteDialsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &gatewayPlatformDialer{}
		cfg := loader.LineSettings{ID: "vm"}
		m := newMembers(cfg, nil, nil)
		m.vms, m.isSettled = []member{{ID: "vm"}, {ID: "g", LinkAddress: "x"}}, true
		vm := &VM{cfg: cfg, platform: Platform{Dialer: f}, members: m, groups: registrar.New(func() time.Duration { return 0 })}
		c := cataloger.Configuration{Groups: map[string]cataloger.Group{"grp": {MaxConnectionsPerInstance: 1}}}
		vm.configuration.Store(c.WithTeams([]cataloger.Team{{Name: "t"}}))
		vm.groups.Update(cataloger.Registry{"i": {ID: "i", Group: "grp"}})
		d := &gatewayDialer{vm: vm, failed: map[string]time.Time{}, probing: map[string]bool{}}
		target := carrier.Target{Instance: "i", Group: "grp", Team: "t"}
		if got := d.peekRoute(target, 0); got.Gateway != "x" || got != d.route(target, 0) {
			t.Fatalf("gateway %q, want x as for a request", got.Gateway)
		}
		d.recordFailedGateway("x")
		time.Sleep(2 * failedGatewayBackoff)
		for range 1000 {
			if got := d.peekRoute(target, 0); got.Gateway != "" {
				t.Fatalf("gateway %q, which has failed", got.Gateway)
			}
			if got := d.peekLimits(target); got.Open != maxConnectionsToGateways {
				t.Fatalf("limits %+v without a usable gateway", got)
			}
		}
		synctest.Wait()
		if f.dials != 0 || len(d.probing) != 0 {
			t.Errorf("%d dials, want none", f.dials)
		}
	})
}

// Guards against VMs that open a connection to the instance itself for each of many teams while no gateway answers, so that it
// refuses those of other VMs, and later those of its gateways.
func TestLimitWithoutUsableGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &gatewayPlatformDialer{}
		v := &VM{cfg: loader.LineSettings{ID: "vm0"}, platform: Platform{Dialer: f}, groups: registrar.New(func() time.Duration { return time.Second })}
		v.members = newMembers(v.cfg, nil, nil)
		v.members.isSettled = true
		for k := range 60 {
			v.members.vms = append(v.members.vms, member{ID: fmt.Sprintf("vm%d", k), DataCentre: "other", LinkAddress: fmt.Sprintf("link%d", k)})
		}
		v.members.vms[0].LinkAddress = "" // so that vm0 is not a gateway
		c := cataloger.Configuration{Groups: map[string]cataloger.Group{"g": {MaxConnectionsPerInstance: 72}}}
		v.configuration.Store(c.WithTeams([]cataloger.Team{{Name: "a"}, {Name: "b"}}))
		v.groups.Update(cataloger.Registry{"i": {ID: "i", Group: "g", Address: "a", DataCentre: "d", Slots: 5}})
		d := &gatewayDialer{vm: v, failed: map[string]time.Time{}, probing: map[string]bool{}}
		target := carrier.Target{Instance: "i", Group: "g", Address: "a"}
		list := d.gatewaysOf(target)
		if l := d.connectionLimits(target); len(list) != maxGatewaysPerInstance || l.Open != maxConnectionsToGateways*(maxGatewaysPerInstance+1) {
			t.Fatalf("%d gateways, limits %+v; want open links for each of %d gateways", len(list), l, maxGatewaysPerInstance)
		}
		for k, g := range list {
			if l := d.connectionLimits(target); l.Open <= maxConnectionsToGateways {
				t.Errorf("%d of %d gateways failed: limits %+v, want open links for each gateway", k, len(list), l)
			}
			d.recordFailedGateway(g.LinkAddress)
		}
		if l := d.connectionLimits(target); l.Open != maxConnectionsToGateways {
			t.Errorf("all gateways failed: limits %+v, want at most %d connections", l, maxConnectionsToGateways)
		}
	})
}
