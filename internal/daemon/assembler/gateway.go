package assembler

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/forwarder"
)

const (
	// minConnectionsPerVM is the number of connections to an instance that an even division must leave to each VM.
	// If it leaves fewer, VMs use gateways. See minConnections for configurations with teams.
	minConnectionsPerVM = 2
	// maxVMsPerSlot is the number of VMs for each slot of an instance above which VMs use gateways. With a
	// connection from each VM, the instance's own queue would overflow before any single VM sees it grow.
	maxVMsPerSlot = 8
	// minConnectionsPerGateway is the number of connections to an instance that each of its gateways should have at
	// least, which bounds the number of gateways. A gateway's limit of connections in use is never below it.
	minConnectionsPerGateway = 8
	maxGatewaysPerInstance   = 4
	// maxConnectionsToGateways is how many connections a VM may have to all gateways of one instance.
	maxConnectionsToGateways = 3
	// failedGatewayBackoff is how long a gateway is skipped after a dial failed to reach it.
	failedGatewayBackoff = 2 * time.Second
)

// gatewayDialer decides whether this VM connects to an instance itself or through a gateway, and dials accordingly. A
// gateway is a VM that shares its connections to an instance with other VMs.
type gatewayDialer struct {
	vm      *VM
	mu      sync.Mutex
	failed  map[string]time.Time // time of the last failed dial, by gateway address
	probing map[string]bool      // addresses of the gateways that are being probed
}

// gatewaysOf returns the gateways of an instance. If there are none, each VM connects to the instance itself.
func (d *gatewayDialer) gatewaysOf(t carrier.Target) []member {
	limit, n := d.vm.maxConnections(t.Group), d.vm.members.count()
	i, ok := d.vm.groups.Group(t.Group).View(t.Instance)
	if !ok || limit == 0 || n <= 1 {
		return nil
	}
	if limit/n >= d.minConnections() && n <= maxVMsPerSlot*max(1, i.Slots) {
		return nil
	}
	return d.vm.members.gateways(t.Instance, i.DataCentre, min(maxGatewaysPerInstance, max(1, limit/minConnectionsPerGateway)))
}

// minConnections returns the number of connections to an instance that an even division must leave to each VM. With teams it
// is higher, because a VM with few connections would close and open one for almost each statement.
func (d *gatewayDialer) minConnections() int {
	c := d.vm.configuration.Load()
	if c == nil {
		return minConnectionsPerVM
	}
	return max(minConnectionsPerVM, min(len(c.Teams), minConnectionsPerGateway))
}

// isBehindGateway reports whether this VM connects to an instance through a gateway.
func (d *gatewayDialer) isBehindGateway(t carrier.Target) bool {
	list := d.gatewaysOf(t)
	return len(list) > 0 && !d.isSelf(list)
}

// connectionLimits returns the limits of this VM's connections to an instance. The VMs that connect to the instance
// divide its connections among them. They also divide its slots among their concurrent handshakes, since a handshake
// occupies a slot for several times as long as a statement.
//
// The limit of a gateway's connections in use is higher than the number of slots, because commits that wait for
// replicas also hold connections. With a still higher limit, requests would queue at the instance instead of at the
// gateways.
func (d *gatewayDialer) connectionLimits(t carrier.Target) allotter.Limits {
	return d.limitsWithout(t, d.hasFailed)
}

// peekLimits is connectionLimits, but dials no failed gateway again.
func (d *gatewayDialer) peekLimits(t carrier.Target) allotter.Limits {
	return d.limitsWithout(t, d.isMarkedFailed)
}

// limitsWithout returns the limits of connections to an instance whose gateways are usable unless hasFailed returns true.
func (d *gatewayDialer) limitsWithout(t carrier.Target, hasFailed failedFunc) allotter.Limits {
	list := d.gatewaysOf(t)
	if len(list) > 0 && !d.isSelf(list) {
		// While all gateways have failed, the connections lead to the instance itself, which could not accept one for each team
		// from each VM.
		if !d.vm.hasTeams() || !hasUsable(t, list, hasFailed) {
			return allotter.Limits{Open: maxConnectionsToGateways}
		}
		// Open links of each gateway, and of those without a team; no more in use than without teams.
		return allotter.Limits{Open: maxConnectionsToGateways * (len(list) + 1), InUse: maxConnectionsToGateways}
	}
	n := len(list)
	if n == 0 {
		n = max(1, d.vm.members.count())
	}
	i, _ := d.vm.groups.Group(t.Group).View(t.Instance)
	l := allotter.Limits{Open: max(1, d.vm.maxConnections(t.Group)/n)}
	l.Instance = pacer.Instance{Slots: i.Slots, Pools: n, IsPrimary: i.ID != "" && d.vm.groups.Group(t.Group).Primary().Instance == i.ID, StartedAtMs: i.StartedAtMs, WarmUp: i.WarmUpRemaining}
	if i.Slots > 0 {
		l.Dialing = max(1, i.Slots/n)
	}
	if i.Slots > 0 && len(list) > 0 {
		l.InUse = gatewayInUse(i.Slots)
	}
	return l
}

// gatewayInUse returns how many connections to an instance with the given number of slots a gateway may have in use.
func gatewayInUse(slots int) int { return max(minConnectionsPerGateway, 2*slots) }

func (d *gatewayDialer) isSelf(list []member) bool {
	return slices.ContainsFunc(list, func(m member) bool { return m.ID == d.vm.cfg.ID })
}

// Dial implements carrier.Dialer. For a team, it dials t.Gateway, which route has chosen, or the instance itself. Without a
// team, it dials the instance, or one of its gateways if it has any. If the dials of all
// gateways failed recently, it dials the instance itself. A failure to reach a gateway shows nothing about the
// instance, so it is returned as classifier.Overloaded, which does not count as a failed dial of the instance.
func (d *gatewayDialer) Dial(ctx context.Context, t carrier.Target) (carrier.Conn, tokenizer.Position, error) {
	if t.Gateway != "" {
		return d.dialGateway(ctx, t)
	}
	g, ok := d.gatewayAtDial(t)
	if !ok {
		return d.vm.platform.Dialer.Dial(ctx, t)
	}
	via := t
	via.Address, via.IsLink = g.LinkAddress, true
	conn, position, err := d.vm.platform.Dialer.Dial(ctx, via)
	if err != nil && !isRefusal(err) {
		d.recordFailedGateway(g.LinkAddress)
		err = classifier.Wrap(classifier.Overloaded, err, "gateway %s cannot be reached", g.ID)
	}
	return conn, position, err
}

// gatewayAtDial returns the gateway that Dial chooses for a target without one, or false if it dials the instance itself.
func (d *gatewayDialer) gatewayAtDial(t carrier.Target) (member, bool) {
	if t.Team != "" {
		return member{}, false
	}
	list := d.gatewaysOf(t)
	if len(list) == 0 || d.isSelf(list) {
		return member{}, false
	}
	return d.pickGateway(list)
}

func (d *gatewayDialer) recordFailedGateway(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[address] = time.Now()
}

// directDialTimeout bounds the direct dial with which a VM checks an instance that it usually reaches through gateways.
const directDialTimeout = 300 * time.Millisecond

// answersDirectly reports whether an instance that this VM reaches through gateways answers a direct dial, be it to
// accept or to refuse the connection. It returns false for an instance that this VM does not reach through gateways.
func (d *gatewayDialer) answersDirectly(ctx context.Context, v registrar.View) bool {
	t := registrar.NewTarget(v.Instance)
	if !d.isBehindGateway(t) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, directDialTimeout)
	defer cancel()
	conn, _, err := d.vm.platform.Dialer.Dial(ctx, t)
	if err == nil {
		conn.Close()
	}
	return err == nil || isRefusal(err)
}

// maxPaths bounds the number of VMs through which an instance is sought that this VM does not reach.
const maxPaths = 12

// linkAddresses returns the link addresses of other VMs that may reach an instance: its gateways, then others, in an
// order that differs from instance to instance.
func (d *gatewayDialer) linkAddresses(t carrier.Target) []string {
	var addresses []string
	for _, list := range [][]member{d.gatewaysOf(t), d.vm.members.gateways(t.Instance, "", maxPaths)} {
		for _, m := range list {
			if m.ID != d.vm.cfg.ID && len(addresses) < maxPaths && !slices.Contains(addresses, m.LinkAddress) {
				addresses = append(addresses, m.LinkAddress)
			}
		}
	}
	return addresses
}

// pickGateway returns a gateway from list that has not failed recently, or false if all have. Different VMs begin at
// different gateways, to spread the load.
func (d *gatewayDialer) pickGateway(list []member) (member, bool) {
	first := int(rendezvousWeight(d.vm.cfg.ID, list[0].ID) % uint64(len(list)))
	d.mu.Lock()
	defer d.mu.Unlock()
	for k := range list {
		if g := list[(first+k)%len(list)]; time.Since(d.failed[g.LinkAddress]) >= failedGatewayBackoff {
			return g, true
		}
	}
	return member{}, false
}

// serveForwarding accepts connections of other VMs, for which this VM is a gateway, on the link address, if the settings
// have one.
func (v *VM) serveForwarding() error {
	if v.cfg.LinkAddress == "" {
		return nil
	}
	ln, err := net.Listen("tcp", v.cfg.LinkAddress)
	if err != nil {
		return err
	}
	v.forwardServer = forwarder.NewServer(forwarder.Config{Listener: ln, Accept: v.platform.AcceptPort, Budget: v.budget, Pool: v.pool, Names: &v.statementNames, Find: v.findInstance, IsUnreachable: v.hasFailedAttempts, Acknowledge: v.acknowledgeForwarded, Now: v.platform.Clock, OnBegin: v.recordForwardedBegin, Sample: v.samplePosition, Avoid: v.avoid, OnOutcome: v.recordForwardedOutcome, OnPanic: v.logPanic})
	go v.forwardServer.Serve()
	return nil
}

// recordForwardedBegin records that an instance has accepted a begin, which proves the primary unless it has to be verified.
func (v *VM) recordForwardedBegin(t carrier.Target, sentAt time.Duration, p tokenizer.Position) {
	if v.cfg.Fencing {
		v.groups.Group(t.Group).RecordProof(registrar.Proof{Instance: t.Instance, SentAt: sentAt, Position: p})
	}
}

// samplePosition returns a position that the primary of a group held at most maxAge ago, and its age. It asks the primary if
// it knows of none.
func (v *VM) samplePosition(ctx context.Context, group string, maxAge time.Duration) (tokenizer.Position, time.Duration, error) {
	g := v.groups.Group(group)
	if p, age, ok := g.Sample(maxAge); ok {
		return p, age, nil
	}
	if err := v.performer.SamplePrimaryPosition(ctx, g); err != nil {
		return tokenizer.Position{}, 0, err
	}
	p, age, ok := g.Sample(maxAge)
	if !ok {
		return p, age, classifier.New(classifier.NoPrimary, "group %s: no position of the primary is known", group)
	}
	return p, age, nil
}

// registryWait bounds how long a gateway that has just started lets other VMs wait for its registry. A refusal would make
// them skip the gateway for failedGatewayBackoff.
const registryWait = 300 * time.Millisecond

// findInstance returns the address of an instance and its newest known log position, or false if the instance is not in
// the registry.
func (v *VM) findInstance(group, instance string) (carrier.Target, tokenizer.Position, bool) {
	select {
	case <-v.registryLoaded:
	case <-time.After(registryWait):
	}
	i, ok := v.groups.Group(group).View(instance)
	return registrar.NewTarget(i.Instance), i.Position, ok
}

// hasFailedAttempts reports whether attempts to reach an instance have failed since its last answer.
func (v *VM) hasFailedAttempts(t carrier.Target) bool {
	i, ok := v.groups.Group(t.Group).View(t.Instance)
	return ok && i.Failures > 0
}

// maxConnections returns how many connections each instance of a group accepts, or 0 while there is no configuration.
func (v *VM) maxConnections(group string) int {
	return v.groupConfiguration(group).MaxConnectionsPerInstance
}

// groupConfiguration returns the configuration of a group, or the zero value while there is none.
func (v *VM) groupConfiguration(group string) cataloger.Group {
	c := v.configuration.Load()
	if c == nil {
		return cataloger.Group{}
	}
	return c.Groups[group]
}

// configuredGroup returns a group, or nil if the configuration lacks it.
func (v *VM) configuredGroup(group string) *registrar.Group {
	if !v.isConfigured(group) {
		return nil
	}
	return v.groups.Group(group)
}

// acknowledgeForwarded is acknowledge for a VM that this one is a gateway for.
func (v *VM) acknowledgeForwarded(group string, p tokenizer.Position) bool {
	return v.acknowledge(v.groups.Group(group), p)
}

// writerAddresses returns the peer addresses of the other VMs through which the writes to a group pass: its gateways, or else
// all VMs.
func (v *VM) writerAddresses(group string) []string {
	var addresses []string
	for _, i := range v.groups.Group(group).Views() {
		for _, m := range v.gateways.gatewaysOf(registrar.NewTarget(i.Instance)) {
			if m.ID != v.cfg.ID && !slices.Contains(addresses, m.PeerAddress) {
				addresses = append(addresses, m.PeerAddress)
			}
		}
	}
	if len(addresses) == 0 || !v.isLarge() {
		return v.members.peerAddresses()
	}
	return addresses
}

// hasTeams reports whether the configuration has teams.
func (v *VM) hasTeams() bool {
	c := v.configuration.Load()
	return c != nil && len(c.Teams) > 0
}

// isConfigured reports whether the configuration has a group.
func (v *VM) isConfigured(group string) bool {
	c := v.configuration.Load()
	if c == nil {
		return false
	}
	_, ok := c.Groups[group]
	return ok
}
