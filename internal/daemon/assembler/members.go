package assembler

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/operator/inspector"
	"parsleyscale/internal/platform/follower"
)

const (
	// initialVMCount is the least number of VMs that is assumed until all VMs have had time to add themselves to the
	// table.
	initialVMCount = 8
	// settlePeriod is the time after the start in which VMs that start together may still be adding themselves to the
	// table.
	settlePeriod    = 1500 * time.Millisecond
	refreshInterval = 20 * time.Second
	// largeRefreshInterval replaces refreshInterval in a large deployment, to limit the calls to the store.
	largeRefreshInterval = time.Minute
	refreshTimeout       = 2 * time.Second
	refreshRetryInterval = time.Second
)

// member is a VM in the store's table of VMs.
type member = inspector.VM

// members is this VM's copy of the store's table of VMs. It also generates fencing tokens: a token is the version of a
// write of the VM's own row, which is unique and higher than all before.
type members struct {
	cfg          loader.LineSettings
	store        Store
	source       tableReader
	mu           sync.Mutex
	vms          []member  // including this VM; empty until the table has been read
	isListed     bool      // the table has the row of this VM
	settledAt    time.Time // until then, VMs that started together may be missing in the table
	isSettled    bool      // the table has been read since settledAt
	refreshedAt  time.Time // when the latest successful read began
	writtenAt    time.Time // when this VM last wrote its row; zero: not since the start
	keptUntil    time.Time // until then, VMs that are missing in the table stay in the list
	gatewayLists map[gatewayQuery][]member
	ranks        map[string]int // by group
	silences     silences
}

// gatewayQuery is the key of a cached list of gateways.
type gatewayQuery struct {
	instance, dataCentre string
	maxGateways          int
}

// tableReader reads the list of VMs. Read calls the store right after a start; ReadAgain asks the readers first in a large
// deployment.
type tableReader interface {
	Read(ctx context.Context, table string) (follower.Page, error)
	ReadAgain(ctx context.Context, table string) (follower.Page, error)
}

func newMembers(cfg loader.LineSettings, s Store, source tableReader) *members {
	return &members{cfg: cfg, store: s, source: source, gatewayLists: map[gatewayQuery][]member{}, ranks: map[string]int{}, silences: silences{}, settledAt: time.Now().Add(settlePeriod)}
}

func (m *members) self() member {
	return member{ID: m.cfg.ID, DataCentre: m.cfg.DataCentre, LinkAddress: m.cfg.LinkAddress, PeerAddress: m.cfg.PeerAddress, CoreShare: m.cfg.CoreShare}
}

// Next implements replacer.TokenSource.
func (m *members) Next(ctx context.Context) (uint64, error) {
	b, err := json.Marshal(m.self())
	if err != nil {
		return 0, err
	}
	version, err := m.store.Put(ctx, inspector.VMTable, m.cfg.ID, b)
	if err == nil {
		m.mu.Lock()
		m.isListed, m.writtenAt = true, time.Now()
		m.mu.Unlock()
	}
	return version, err
}

// recordRestore records that the store was restored, so that rows of VMs may be missing until these have written them again.
func (m *members) recordRestore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keptUntil = time.Now().Add(3 * rewriteJitter)
}

// writeAgain writes the VM's own row again if the restored store may have lost it.
func (m *members) writeAgain(ctx context.Context) error {
	m.mu.Lock()
	mayBeLost := !m.writtenAt.IsZero() && time.Since(m.writtenAt) < lossWindow
	m.mu.Unlock()
	if !mayBeLost {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	_, err := m.Next(ctx)
	return err
}

// maxSpareTokenRank is the highest rank of a VM in a group for which it keeps a spare token.
const maxSpareTokenRank = 7

// IsNeeded implements replacer.TokenSource. A VM that is not in the table needs a token, since Next enters it. A VM that is
// listed already, as after a restart, waits until the VMs that start with it have read their tables.
func (m *members) IsNeeded(groups []string) bool {
	m.mu.Lock()
	isRead, isListed := len(m.vms) > 0, m.isListed
	isStarting := !m.isSettled
	m.mu.Unlock()
	switch {
	case isStarting && (!isRead || isListed):
		return false
	case !isListed:
		return true
	}
	return slices.ContainsFunc(groups, func(g string) bool { return m.rank(g) <= maxSpareTokenRank })
}

// refreshLoop reads the table at the start, again after settlePeriod, and then at intervals. In a large deployment, it
// reads the table once more soon after the start, because the store takes in the rows of VMs that start together one
// after the other.
func (m *members) refreshLoop(ctx context.Context) {
	for n := 0; ; n++ {
		pause, retry := refreshInterval, refreshRetryInterval
		switch isLarge := m.count() > largeDeploymentVMs; {
		case n == 0:
			pause = 0
		case n == 1:
			pause = settlePeriod
		case n == 2 && isLarge:
			pause = 2 * settlePeriod
		case isLarge:
			pause, retry = largeRefreshInterval, 5*refreshRetryInterval
		}
		if !sleeper.Sleep(ctx, pause) {
			return
		}
		for m.refresh(ctx) != nil && sleeper.Sleep(ctx, retry) {
		}
	}
}

// firstRows is how many rows a VM reads at its start. They are all of a small deployment, and include the summaries of a
// large one.
const firstRows = 40

// minRefreshInterval is the age below which refreshIfOld takes the list for up to date.
const minRefreshInterval = time.Second

// refreshIfOld reads the table unless it has just been read. In a large deployment it does nothing, since the list is long.
func (m *members) refreshIfOld(ctx context.Context) error {
	m.mu.Lock()
	isRecent := time.Since(m.refreshedAt) < minRefreshInterval
	m.mu.Unlock()
	if isRecent || m.count() > largeDeploymentVMs {
		return nil
	}
	return m.refresh(ctx)
}

func (m *members) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	startedAt := time.Now()
	m.mu.Lock()
	isFirst, isSettled := len(m.vms) == 0, m.isSettled || !time.Now().Before(m.settledAt)
	m.mu.Unlock()
	var vms map[string]member
	var err error
	if isFirst {
		vms, err = m.readFirst(ctx)
	} else {
		vms, err = readVMs(m.source.ReadAgain(ctx, inspector.VMTable))
	}
	if err != nil {
		return err
	}
	isListed := vms[m.cfg.ID] == m.self()
	vms[m.cfg.ID] = m.self()
	m.mu.Lock()
	if time.Now().Before(m.keptUntil) {
		for _, vm := range m.vms {
			if _, ok := vms[vm.ID]; !ok {
				vms[vm.ID] = vm
			}
		}
	}
	m.isListed, m.isSettled, m.refreshedAt = m.isListed || isListed, isSettled, startedAt
	m.vms, m.gatewayLists, m.ranks = slices.Collect(maps.Values(vms)), map[gatewayQuery][]member{}, map[string]int{}
	m.silences.retain(m.vms)
	m.mu.Unlock()
	return nil
}

// readFirst reads the list at the start: from the summaries if there are any, or else from all rows. If the store refuses or
// does not answer this VM, it asks the readers.
func (m *members) readFirst(ctx context.Context) (map[string]member, error) {
	storeCtx, cancel := context.WithTimeout(ctx, refreshTimeout/2)
	defer cancel()
	p, isComplete, err := m.store.ReadFrom(storeCtx, inspector.VMTable, "", firstRows)
	switch {
	case err != nil:
		return readVMs(m.source.ReadAgain(ctx, inspector.VMTable))
	case isComplete:
		return readVMs(p, nil)
	}
	vms := map[string]member{}
	for _, r := range p.Rows {
		if !inspector.IsSummary(r.Key) {
			continue
		}
		summary, err := inspector.ParseSummary(r.Value)
		if err != nil {
			continue
		}
		for _, vm := range summary {
			vms[vm.ID] = vm
		}
	}
	if len(vms) > 0 {
		return vms, nil
	}
	return readVMs(m.source.Read(ctx, inspector.VMTable))
}

// readVMs returns the VMs in the rows of a page by ID. Rows that cannot be read are left out.
func readVMs(p follower.Page, err error) (map[string]member, error) {
	if err != nil {
		return nil, err
	}
	vms := make(map[string]member, len(p.Rows))
	for _, r := range p.Rows {
		if vm, err := inspector.ParseVM(r.Key, r.Value); err == nil && !inspector.IsSummary(r.Key) {
			vms[vm.ID] = vm
		}
	}
	return vms, nil
}

// isCountKnown reports whether the number of VMs is known, since the table has been read after settlePeriod, or is not to be
// waited for any longer.
func (m *members) isCountKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isSettled || time.Since(m.settledAt) > settlePeriod
}

// areAllRead reports whether the table has been read since settledAt.
func (m *members) areAllRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isSettled
}

// count returns the number of VMs, or an estimate of at least initialVMCount while it is not known.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isSettled {
		return max(initialVMCount, len(m.vms))
	}
	return len(m.vms)
}

// recordPull records whether another VM has answered a pull.
func (m *members) recordPull(address string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.silences.record(address, err == nil, time.Now()) {
		m.ranks = map[string]int{}
	}
}

// rank returns the position of this VM, from 0, in an order of all VMs that differs from group to group. Nothing removes the row of a VM that is
// gone for good, so those that have been silent for long are left out, unless most are silent: then it is this VM that is cut off.
func (m *members) rank(group string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.ranks[group]
	if ok {
		return n
	}
	own, now := rendezvousWeight(m.cfg.ID, group), time.Now()
	leavesOutSilent := 2*m.silences.count(now) < len(m.vms)
	for _, vm := range m.vms {
		if rendezvousWeight(vm.ID, group) > own && !(leavesOutSilent && m.silences.isLong(vm.PeerAddress, now)) {
			n++
		}
	}
	m.ranks[group] = n
	return n
}

// peerAddresses returns the peer addresses of the other VMs, in an order that differs from VM to VM. Until it knows any
// other VM, it returns the seeds.
func (m *members) peerAddresses() []string {
	m.mu.Lock()
	list := slices.Clone(m.vms)
	m.mu.Unlock()
	list = slices.DeleteFunc(list, func(vm member) bool { return vm.PeerAddress == "" || vm.ID == m.cfg.ID })
	if len(list) == 0 {
		return slices.DeleteFunc(slices.Clone(m.cfg.Seeds), func(a string) bool { return a == m.cfg.PeerAddress })
	}
	slices.SortFunc(list, func(a, b member) int {
		return cmp.Compare(rendezvousWeight(a.ID, m.cfg.ID), rendezvousWeight(b.ID, m.cfg.ID))
	})
	addresses := make([]string, len(list))
	for k, vm := range list {
		addresses[k] = vm.PeerAddress
	}
	return addresses
}

// dataCentresOf returns the data centre of each known VM that has one of the given peer addresses, by address.
func (m *members) dataCentresOf(addresses []string) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	dataCentres := map[string]string{}
	for _, vm := range m.vms {
		if slices.Contains(addresses, vm.PeerAddress) {
			dataCentres[vm.PeerAddress] = vm.DataCentre
		}
	}
	return dataCentres
}

// gateways returns the VMs that are the gateways of an instance, at most maxGateways. VMs of the data centre of the
// instance with a large core share come first; the order of equally large ones differs from instance to instance. The
// caller must not change the list.
func (m *members) gateways(instance, dataCentre string, maxGateways int) []member {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := gatewayQuery{instance, dataCentre, maxGateways}
	list, ok := m.gatewayLists[q]
	if !ok {
		list = chooseGateways(m.vms, q)
		m.gatewayLists[q] = list
	}
	return list
}

func chooseGateways(list []member, q gatewayQuery) []member {
	candidates := slices.DeleteFunc(slices.Clone(list), func(vm member) bool { return vm.LinkAddress == "" })
	local := slices.DeleteFunc(slices.Clone(candidates), func(vm member) bool { return vm.DataCentre != q.dataCentre })
	if len(local) == 0 {
		local = candidates
	}
	slices.SortFunc(local, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.CoreShare, a.CoreShare), cmp.Compare(rendezvousWeight(b.ID, q.instance), rendezvousWeight(a.ID, q.instance)))
	})
	return slices.Clone(local[:min(q.maxGateways, len(local))]) // cloned so that the cache does not retain the whole list
}

// rendezvousWeight returns the hash of a pair, by which rendezvous hashing orders the VMs with id for a key.
func rendezvousWeight(id, key string) uint64 { return xxhash.Sum64String(id + " " + key) }
