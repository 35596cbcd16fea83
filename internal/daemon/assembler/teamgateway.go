package assembler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

// route returns the target with the gateway that this VM uses for the statements of a team at present. Statements without
// a team leave the choice to Dial, because VMs of a version without teams accept them, too.
func (d *gatewayDialer) route(t carrier.Target, load float64) carrier.Target {
	return d.routeWithout(t, load, d.hasFailed)
}

// peekRoute is route, but dials no failed gateway again.
func (d *gatewayDialer) peekRoute(t carrier.Target, load float64) carrier.Target {
	return d.routeWithout(t, load, d.isMarkedFailed)
}

// failedFunc reports whether a gateway of a target is to be skipped. It is hasFailed or isMarkedFailed.
type failedFunc func(t carrier.Target, address string) bool

// isMarkedFailed is hasFailed, but does not dial the gateway again.
func (d *gatewayDialer) isMarkedFailed(_ carrier.Target, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.failed[address]
	return ok
}

// routeWithout returns the target with the gateway of a team, without those for which hasFailed returns true.
func (d *gatewayDialer) routeWithout(t carrier.Target, load float64, hasFailed failedFunc) carrier.Target {
	if t.Team == "" {
		return t
	}
	list := d.gatewaysOf(t)
	if len(list) == 0 || d.isSelf(list) {
		return t
	}
	i, _ := d.vm.groups.Group(t.Group).View(t.Instance)
	n := gatewaysForLoad(load*float64(d.vm.members.count()), gatewayInUse(i.Slots))
	g, ok := chooseTeamGateway(list, t.Team, d.vm.cfg.ID, n, func(g member) bool { return hasFailed(t, g.LinkAddress) })
	if !ok {
		return t
	}
	return t.WithGateway(g.LinkAddress)
}

// gatewayLoadShare is the share of a gateway's connections in use that the statements of one team may have before the team
// uses one more gateway. The rest is left to the other teams that prefer the gateway.
const gatewayLoadShare = 0.75

// gatewaysForLoad returns how many gateways a team uses whose statements have load connections to an instance in use on
// average, if a gateway may have inUse of them in use. The load of all VMs is estimated from that of one.
func gatewaysForLoad(load float64, inUse int) int {
	return 1 + int(load/(gatewayLoadShare*float64(inUse)))
}

// chooseTeamGateway returns the gateway from list that a VM uses for a team, or false if all have failed. The statements of
// a team from all VMs meet at the first n gateways, by rendezvous hashing, that have not failed. Each VM uses one of them.
func chooseTeamGateway(list []member, team, vmID string, n int, hasFailed func(member) bool) (member, bool) {
	usable := slices.DeleteFunc(slices.Clone(list), hasFailed)
	if len(usable) == 0 {
		return member{}, false
	}
	slices.SortFunc(usable, func(a, b member) int {
		return cmp.Compare(rendezvousWeight(b.ID, team), rendezvousWeight(a.ID, team))
	})
	n = min(n, len(usable))
	return usable[rendezvousWeight(vmID, team)%uint64(n)], true
}

// dialGateway opens a connection to the gateway t.Gateway.
func (d *gatewayDialer) dialGateway(ctx context.Context, t carrier.Target) (carrier.Conn, tokenizer.Position, error) {
	conn, position, err := d.vm.platform.Dialer.Dial(ctx, t)
	if err != nil && !isRefusal(err) {
		d.recordFailedGateway(t.Gateway)
		err = classifier.Wrap(classifier.Overloaded, err, "gateway %s cannot be used", t.Gateway)
	}
	return conn, position, err
}

// hasFailed reports whether a gateway is to be skipped, because the latest dial of it failed. After failedGatewayBackoff, the
// gateway is dialed again in the background, so that no statement waits for one that does not answer.
func (d *gatewayDialer) hasFailed(t carrier.Target, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	failedAt, ok := d.failed[address]
	if !ok {
		return false
	}
	if time.Since(failedAt) >= failedGatewayBackoff && !d.probing[address] {
		d.probing[address] = true
		go d.probe(t.WithTeam("").WithGateway(address))
	}
	return true
}

// hasUsable reports whether the latest dial of a gateway in list has not failed.
func hasUsable(t carrier.Target, list []member, hasFailed failedFunc) bool {
	return slices.ContainsFunc(list, func(g member) bool { return !hasFailed(t, g.LinkAddress) })
}

// probe dials a gateway that has failed.
func (d *gatewayDialer) probe(t carrier.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), allotter.DefaultDialTimeout)
	defer cancel()
	conn, _, err := d.vm.platform.Dialer.Dial(ctx, t)
	if err == nil {
		conn.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.probing, t.Gateway)
	if err == nil || isRefusal(err) {
		delete(d.failed, t.Gateway)
		return
	}
	d.failed[t.Gateway] = time.Now()
}
