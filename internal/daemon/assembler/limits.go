package assembler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/replicator"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/team/holder"
	"parsleyscale/internal/team/limiter"
	"parsleyscale/internal/team/messenger"
	"parsleyscale/internal/team/sharder"
	"parsleyscale/internal/telemetry/logger"
)

// limits admits the operations of teams, and holds shards of the teams' limits for all VMs. Nothing is sent while no team in the
// configuration has a limit.
type limits struct {
	vm      *VM
	client  messenger.Client
	holder  *holder.Holder
	limiter *limiter.Limiter

	mu     sync.Mutex
	vms    []sharder.VM // converted from the list of VMs that was read at readAt
	readAt time.Time
}

// startLimits starts to admit operations and to hold shards.
func (v *VM) startLimits() {
	excess := sharder.Excess{Window: v.cfg.LimitWindow.Std(), Overage: v.cfg.LimitOverage, Slack: v.cfg.LimitSlack}
	lifetime := limiter.TokenLifetime(excess.Window, excess.Overage)
	s := sharder.New(v.cfg.DataCentres, excess, lifetime)
	self := v.shardVM(v.members.self())
	l := &limits{vm: v, client: messenger.Client{HTTP: replicator.NewClient()}}
	v.limits = l
	l.holder = holder.Start(holder.Config{
		Store: v.platform.Limits, Self: self, Start: uuid.NewString(), Sharder: s, Clock: v.platform.Clock, VMs: l.list,
		AreVMsKnown: v.members.isCountKnown, Configuration: v.configuration.Load, Send: l.send, OnChange: l.recordShard,
	})
	l.limiter = limiter.New(limiter.Config{
		Self: self, Sharder: s, Clock: v.platform.Clock, TokenLifetime: lifetime,
		VMs: l.list, Send: l.send, Observe: l.recordOperation,
	})
}

// Admit returns nil if an operation of a team may run, and an error of kind overloaded if the team is above its limit.
func (l *limits) Admit(ctx context.Context, t cataloger.Team) error { return l.limiter.Admit(ctx, t) }

// releaseTimeout bounds the time in which a VM that stops hands its shards over.
const releaseTimeout = 500 * time.Millisecond

// close hands the shards of this VM over. It waits until the store has answered, or for releaseTimeout.
func (l *limits) close() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	l.holder.Close(ctx)
}

// send sends a request to a VM. A request to this VM is not sent over the network.
func (l *limits) send(ctx context.Context, address string, q messenger.Request) (messenger.Response, error) {
	if address == l.vm.cfg.PeerAddress {
		return l.holder.Serve(q), nil
	}
	return l.client.Send(ctx, address, q)
}

// list returns all known VMs with their regions.
func (l *limits) list() []sharder.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.vm.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.vms != nil && l.readAt.Equal(m.refreshedAt) {
		return l.vms
	}
	l.readAt, l.vms = m.refreshedAt, make([]sharder.VM, 0, len(m.vms)+1)
	for _, vm := range m.vms {
		if vm.PeerAddress != "" {
			l.vms = append(l.vms, l.vm.shardVM(vm))
		}
	}
	if self := l.vm.shardVM(m.self()); !slices.Contains(l.vms, self) {
		l.vms = append(l.vms, self)
	}
	slices.SortFunc(l.vms, sharder.CompareID)
	return l.vms
}

// shardVM returns a VM with its region.
func (v *VM) shardVM(vm member) sharder.VM {
	return sharder.VM{ID: vm.ID, Region: v.cfg.DataCentres[vm.DataCentre], Address: vm.PeerAddress, CoreShare: vm.CoreShare}
}

func (l *limits) recordShard(shard int, isHeld bool, reason string) {
	event := logger.ShardReleased
	if isHeld {
		event = logger.ShardHeld
	}
	l.vm.log.Info(event, logger.Int("shard", int64(shard)), logger.String("reason", reason))
}

func (l *limits) recordOperation(team string, waited time.Duration, err error) {
	outcome := "granted"
	switch {
	case classifier.Is(err, classifier.Overloaded):
		outcome = "refused"
		l.vm.log.Sample(logger.TeamOverLimit, team, logger.String("team", team), logger.Millis("retryAfter", classifier.RetryAfter(err)))
	case err != nil:
		outcome = "canceled"
	}
	l.vm.meter.TeamOperation(team, outcome, waited)
}

// readShardsHeld is the gauge of the shards that this VM holds.
func (v *VM) readShardsHeld(observe func(int64, string)) {
	if v.limits != nil {
		observe(int64(len(v.limits.holder.Held())), "")
	}
}
