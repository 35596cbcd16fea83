package holder

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/team/granter"
	"parsleyscale/internal/team/messenger"
	"parsleyscale/internal/team/sharder"
)

const (
	// Table is the store's table with one row for each shard.
	Table = "limits"
	// The time between two decisions is startInterval for startPeriod after the start, when shards are claimed, stepInterval later,
	// and idleInterval while no team has a limit.
	startInterval = 50 * time.Millisecond
	startPeriod   = 10 * time.Second
	stepInterval  = 500 * time.Millisecond
	idleInterval  = 300 * time.Millisecond
	storeTimeout  = 2 * time.Second
	// checkInterval is the time between two requests by which a VM notices that the holder of a shard is gone. It grows with the
	// rank of the VM for the shard, so that a shard costs only some requests a second in a large deployment.
	checkInterval = 5 * time.Second
	// freeCheckInterval is the time between two requests to the VM that ranks first for a shard whose row was free when it was read.
	freeCheckInterval = time.Second
	// readInterval is the time between two reads of the table while the holder of a shard does not answer.
	readInterval = 10 * time.Second
	// readRetryInterval is the time between two attempts to read the table for the first time.
	readRetryInterval = 500 * time.Millisecond
	// handOverAge is how long a shard is held before it is handed over to the VM that ranks first, and the time between two
	// such hand-overs.
	handOverAge = 30 * time.Second
)

// Store has a row for each shard.
type Store interface {
	Read(ctx context.Context, table string) (follower.Page, error)
	// SwapRows writes rows of one table in one transaction if the version of each is still the one given in the row, where zero
	// stands for no row. Otherwise it returns the current rows with an error of kind conflict.
	SwapRows(ctx context.Context, table string, rows []follower.Row) (uint64, []follower.Row, error)
}

// Config holds what a Holder needs.
type Config struct {
	Store         Store
	Self          sharder.VM
	Start         string // identifies this process
	Sharder       sharder.Sharder
	Clock         func() time.Duration // monotonic, and includes the time during which the VM was suspended
	VMs           func() []sharder.VM  // all known VMs, with this one
	AreVMsKnown   func() bool          // whether VMs that started together are in VMs
	Configuration func() *cataloger.Configuration
	Send          func(ctx context.Context, address string, q messenger.Request) (messenger.Response, error)
	// OnChange is called when this VM begins or ends to hold a shard.
	OnChange func(shard int, isHeld bool, reason string)
}

// Holder holds shards for one VM.
type Holder struct {
	cfg     Config
	granter *granter.Granter
	cancel  context.CancelFunc
	done    chan struct{}
	wake    chan struct{} // has an element when the table must be read

	mu         sync.Mutex
	leaseUntil [sharder.Count]time.Duration // grants end at this time; 0: not held
	heldSince  [sharder.Count]time.Duration
	view       View // Now, Ranks, AreRanksKnown and HasLease are filled in for each decision
	isRead     bool
	era        uint64 // latest known era of the store
	mustRead   bool
	ranked     []sharder.VM // list that the ranks were computed from
	first      [sharder.Count]sharder.VM
	startedAt  time.Duration // when the first team with a limit was seen

	checkedAt     [sharder.Count]time.Duration
	silentSince   [sharder.Count]time.Duration // 0: the holder answers
	readTriedAt   time.Duration
	handedOverAt  time.Duration
	evictedAt     time.Duration
	firstVMAnswer time.Duration // since when the VM that ranks first for a shard of this one answers; 0: it does not
}

// Start starts to hold shards. Nothing is read or written before the configuration has a team with a limit.
func Start(cfg Config) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{cfg: cfg, granter: granter.New(), cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	h.view.Self, h.view.Start = cfg.Self.ID, cfg.Start
	go h.run(ctx)
	return h
}

func (h *Holder) run(ctx context.Context) {
	defer close(h.done)
	startedAt := h.cfg.Clock()
	for {
		pause := stepInterval
		if h.cfg.Clock()-startedAt < startPeriod {
			pause = startInterval
		}
		if !HasLimit(h.cfg.Configuration()) {
			pause = min(pause, idleInterval)
		} else {
			h.step(ctx)
		}
		timer := time.NewTimer(pause)
		select {
		case <-h.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// HasLimit reports whether a configuration has a team with a limit.
func HasLimit(c *cataloger.Configuration) bool {
	if c == nil {
		return false
	}
	for _, t := range c.Teams {
		if t.Rate > 0 {
			return true
		}
	}
	return false
}

// Close stops granting, and hands the shards over. It returns when the store has answered, or after ctx.
func (h *Holder) Close(ctx context.Context) {
	h.cancel()
	<-h.done
	held := h.Held()
	if len(held) == 0 {
		return
	}
	h.release(ctx, held, "stop")
}

// Held returns the shards that this VM may grant tokens of now.
func (h *Holder) Held() []int {
	now := h.cfg.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	held := []int{}
	for shard, until := range h.leaseUntil {
		if now < until {
			held = append(held, shard)
		}
	}
	return held
}

// Holders returns the address of the holder of each shard as far as this VM knows.
func (h *Holder) Holders() map[int]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	holders := map[int]string{}
	for shard, r := range h.view.Rows {
		if r.Address != "" {
			holders[shard] = r.Address
		}
	}
	return holders
}

// Serve answers a request of this or another VM.
func (h *Holder) Serve(q messenger.Request) messenger.Response {
	held := h.Held()
	a := messenger.Response{Held: held}
	c := h.cfg.Configuration()
	isShort := false
	for _, ask := range q.Asks {
		g := h.serve(c, ask, held)
		isShort = isShort || g.Count < ask.Count
		a.Grants = append(a.Grants, g)
	}
	if isShort || len(q.Asks) == 0 {
		a.Holders = h.Holders()
	}
	if q.IsRelease {
		h.mu.Lock()
		h.mustRead = true
		h.mu.Unlock()
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
	return a
}

func (h *Holder) serve(c *cataloger.Configuration, ask messenger.Ask, held []int) messenger.Grant {
	if c == nil || c.Teams[ask.Team].Rate <= 0 {
		return messenger.Grant{IsAbsent: true}
	}
	g, wait := messenger.Grant{IsAbsent: true}, time.Duration(0)
	division := h.cfg.Sharder.Divide(c.Teams[ask.Team])
	for _, shard := range division.Shards {
		if !slices.Contains(held, shard) || g.Count == ask.Count {
			continue
		}
		n, w := h.grant(ask.Team, shard, division.Share, ask.Count-g.Count)
		if w > 0 && (wait == 0 || w < wait) {
			wait = w
		}
		g.Count, g.IsAbsent = g.Count+n, false
	}
	if g.Count < ask.Count {
		g.WaitMillis = (wait + time.Millisecond - 1).Milliseconds()
	}
	return g
}

// grant takes tokens if the lease is valid at the time of the grant.
func (h *Holder) grant(team string, shard int, share sharder.Share, count int) (int, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock()
	if now >= h.leaseUntil[shard] {
		return 0, 0
	}
	return h.granter.Grant(now, team, shard, share, count)
}

// Available returns the tokens of a team in the shards that this VM holds, without taking any, and the number of these shards.
func (h *Holder) Available(t cataloger.Team) (tokens, shards int) {
	division := h.cfg.Sharder.Divide(t)
	now := h.cfg.Clock()
	for _, shard := range h.Held() {
		if slices.Contains(division.Shards, shard) {
			tokens += h.granter.Available(now, t.Name, shard, division.Share)
			shards++
		}
	}
	return tokens, shards
}

// step makes the calls that are due.
func (h *Holder) step(ctx context.Context) {
	now := h.cfg.Clock()
	areKnown := h.cfg.AreVMsKnown()
	h.mu.Lock()
	if h.startedAt == 0 {
		h.startedAt = now
	}
	h.rank(h.cfg.VMs())
	first := h.first
	h.view.AreRanksKnown = areKnown
	mustRead := h.mustRead || !h.isRead
	isReadDue := mustRead && (h.readTriedAt == 0 || now-h.readTriedAt >= readRetryInterval)
	h.mu.Unlock()
	if isReadDue {
		h.read(ctx)
	}
	h.mu.Lock()
	isRead := h.isRead
	h.mu.Unlock()
	if !isRead {
		return
	}
	if areKnown {
		h.check(ctx) // a shard that is held by now needs no read of the table
	}
	if d := h.decide(); len(d.Claim)+len(d.Renew) > 0 {
		h.write(ctx, d)
	} else if d.Read {
		h.readAtMostEvery(ctx, time.Second)
	}
	if areKnown {
		h.handOver(ctx, first)
	}
	if now := h.cfg.Clock(); now-h.evictedAt > time.Minute {
		h.evictedAt = now
		h.granter.Evict(now)
	}
}

// rank brings the ranks up to date if the list of VMs has changed. The caller holds h.mu.
func (h *Holder) rank(vms []sharder.VM) {
	if h.ranked != nil && slices.Equal(vms, h.ranked) {
		return
	}
	h.ranked = vms
	for shard := range sharder.Count {
		list := h.cfg.Sharder.Rank(shard, vms)
		h.view.Ranks[shard] = slices.IndexFunc(list, func(vm sharder.VM) bool { return vm.ID == h.cfg.Self.ID })
		if len(list) > 0 {
			h.first[shard] = list[0]
		}
	}
}

func (h *Holder) decide() Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.Now = h.cfg.Clock()
	for shard, until := range h.leaseUntil {
		h.view.HasLease[shard], h.view.IsSilent[shard] = h.view.Now < until, h.silentSince[shard] != 0
	}
	return Decide(h.view)
}

// read reads the table.
func (h *Holder) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	startedAt := h.cfg.Clock()
	h.mu.Lock()
	h.readTriedAt = startedAt
	h.mu.Unlock()
	p, err := h.cfg.Store.Read(ctx, Table)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.ReadAt, h.isRead, h.mustRead = startedAt, true, false
	h.era = max(h.era, follower.EraOf(p.Version))
	shards := make([]int, sharder.Count)
	for k := range shards {
		shards[k] = k
	}
	h.merge(shards, p.Rows)
}

func (h *Holder) readAtMostEvery(ctx context.Context, interval time.Duration) {
	h.mu.Lock()
	isDue := h.cfg.Clock()-h.readTriedAt >= interval
	h.mu.Unlock()
	if isDue {
		h.read(ctx)
	}
}

// merge takes in the current rows of some shards. A shard that another process holds now is no longer granted. The caller holds
// h.mu.
func (h *Holder) merge(shards []int, rows []follower.Row) {
	now := h.cfg.Clock()
	for _, shard := range shards {
		var row *follower.Row
		if k := slices.IndexFunc(rows, func(r follower.Row) bool { return r.Key == strconv.Itoa(shard) }); k >= 0 {
			row = &rows[k]
		}
		old := h.view.Rows[shard]
		next := old.With(row, now)
		isOwn := next.Holder == h.cfg.Self.ID && next.Start == h.cfg.Start
		if hasLease := now < h.leaseUntil[shard]; hasLease && next.IsOlder {
			next.Row, isOwn = old.Row, true // the store has lost the lease; the row is written again at once
		}
		h.era = max(h.era, follower.EraOf(next.Version))
		if next.Version != old.Version && !isOwn {
			h.silentSince[shard] = 0 // the new holder is asked first
			h.drop(shard, "claimed by another VM")
		}
		h.view.Rows[shard] = next
	}
}

// drop ends holding a shard. The caller holds h.mu.
func (h *Holder) drop(shard int, reason string) {
	h.granter.Stop(shard)
	if h.leaseUntil[shard] == 0 {
		return
	}
	h.leaseUntil[shard] = 0
	h.cfg.OnChange(shard, false, reason)
}

// write renews and claims shards in one transaction.
func (h *Holder) write(ctx context.Context, d Decision) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	shards := slices.Concat(d.Renew, d.Claim)
	own := Row{Holder: h.cfg.Self.ID, Address: h.cfg.Self.Address, Start: h.cfg.Start}
	startedAt := h.cfg.Clock()
	rows := h.rowsToWrite(shards, own)
	h.mu.Lock()
	h.view.AttemptedAt = startedAt
	h.mu.Unlock()
	version, current, err := h.cfg.Store.SwapRows(ctx, Table, rows)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock()
	switch {
	case err == nil:
		h.view.RenewedAt = startedAt
		for _, shard := range shards {
			h.view.Rows[shard] = SeenRow{Row: own, Version: version, SeenAt: now}
			if slices.Contains(d.Claim, shard) {
				h.granter.Start(shard, now)
				h.heldSince[shard] = now
				h.cfg.OnChange(shard, true, "claimed")
			} else if h.leaseUntil[shard] == 0 {
				h.granter.Start(shard, now) // the answer to the claim was lost
				h.heldSince[shard] = now
				h.cfg.OnChange(shard, true, "claimed")
			}
			h.leaseUntil[shard] = startedAt + Lease
		}
	case classifier.Is(err, classifier.Conflict) && len(current) == 0:
		h.mustRead = true // the store sent no rows, which does not show that it has none
	case classifier.Is(err, classifier.Conflict):
		h.view.AttemptedAt = h.view.RenewedAt // a refused write is repeated at once, with the current versions
		h.merge(shards, current)
	}
}

// rowsToWrite returns the rows of shards with their known versions and a new value.
func (h *Holder) rowsToWrite(shards []int, value Row) []follower.Row {
	h.mu.Lock()
	defer h.mu.Unlock()
	value.Era = h.era
	b, _ := json.Marshal(value) // cannot fail for strings and a number
	rows := make([]follower.Row, len(shards))
	for k, shard := range shards {
		rows[k] = follower.Row{Key: strconv.Itoa(shard), Value: b, Version: h.view.Rows[shard].Version}
	}
	return rows
}

// check asks the holders of other shards whether they still hold them, and reads the table while one does not.
func (h *Holder) check(ctx context.Context) {
	now := h.cfg.Clock()
	due := map[string][]int{} // shards by address of the holder
	isReadDue := false
	h.mu.Lock()
	for shard, r := range h.view.Rows {
		rank := time.Duration(max(h.view.Ranks[shard], 0))
		isOwn := r.Holder == h.cfg.Self.ID && r.Start == h.cfg.Start
		if r.isFree() && rank > 0 && now-h.checkedAt[shard] >= freeCheckInterval {
			h.checkedAt[shard] = now
			due[h.first[shard].Address] = append(due[h.first[shard].Address], shard)
		}
		if isOwn || r.Holder == "" {
			continue
		}
		if now-h.checkedAt[shard] >= checkInterval+rank*time.Second {
			h.checkedAt[shard] = now
			due[r.Address] = append(due[r.Address], shard)
		}
		pause := readInterval + min(rank, 50)*time.Second
		if s := h.silentSince[shard]; s != 0 && now-s >= min(rank, 50)*2*time.Second && now-h.readTriedAt >= pause {
			isReadDue = true
		}
	}
	h.mu.Unlock()
	for address, shards := range due {
		a, err := h.cfg.Send(ctx, address, messenger.Request{})
		h.mu.Lock()
		for _, shard := range shards {
			holder := a.Holders[shard] // as the other VM knows
			isHeld := err == nil && slices.Contains(a.Held, shard)
			if isHeld {
				holder = address
			}
			switch {
			case h.view.Rows[shard].isFree() && holder != "":
				// The row has not been read since it was free, which is not needed as long as the holder answers.
				h.view.Rows[shard] = SeenRow{Row: Row{Holder: holder, Address: holder}, SeenAt: now}
			case isHeld:
				h.silentSince[shard] = 0
			case h.view.Rows[shard].isFree():
			case h.silentSince[shard] == 0:
				h.silentSince[shard] = now
			}
		}
		h.mu.Unlock()
	}
	if isReadDue {
		h.read(ctx)
	}
}

// handOver gives one shard to the VM that ranks first for it, if this VM has held it for some time and the other answers.
func (h *Holder) handOver(ctx context.Context, first [sharder.Count]sharder.VM) {
	now := h.cfg.Clock()
	h.mu.Lock()
	shard := -1
	for k := range sharder.Count {
		if now < h.leaseUntil[k] && now-h.heldSince[k] >= handOverAge && h.view.Ranks[k] > 0 {
			shard = k
			break
		}
	}
	isDue := shard >= 0 && now-h.handedOverAt >= handOverAge
	if isDue {
		h.handedOverAt = now
	}
	h.mu.Unlock()
	if !isDue {
		return
	}
	if _, err := h.cfg.Send(ctx, first[shard].Address, messenger.Request{}); err != nil {
		h.mu.Lock()
		h.firstVMAnswer = 0
		h.mu.Unlock()
		return
	}
	h.mu.Lock()
	isStable := h.firstVMAnswer != 0
	h.firstVMAnswer = now
	h.mu.Unlock()
	if isStable { // it also answered handOverAge earlier
		h.release(ctx, []int{shard}, "handed over")
	}
}

// release ends holding shards and writes the successor of each into its row, which the successor then claims without waiting for
// the end of the lease.
func (h *Holder) release(ctx context.Context, shards []int, reason string) {
	h.mu.Lock()
	for _, shard := range shards {
		h.drop(shard, reason)
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, shard := range shards {
		successor := Row{}
		for _, vm := range h.cfg.Sharder.Rank(shard, h.cfg.VMs()) {
			if vm.ID == h.cfg.Self.ID || vm.Address == "" {
				continue
			}
			if _, err := h.cfg.Send(ctx, vm.Address, messenger.Request{}); err == nil {
				successor = Row{Holder: vm.ID, Address: vm.Address}
				break
			}
			if ctx.Err() != nil {
				break
			}
		}
		rows := h.rowsToWrite([]int{shard}, successor)
		version, current, err := h.cfg.Store.SwapRows(ctx, Table, rows)
		h.mu.Lock()
		switch now := h.cfg.Clock(); {
		case err == nil:
			h.view.Rows[shard] = SeenRow{Row: successor, Version: version, SeenAt: now}
		case classifier.Is(err, classifier.Conflict) && len(current) == 0:
			h.mustRead = true
		case classifier.Is(err, classifier.Conflict):
			h.merge([]int{shard}, current)
		}
		h.mu.Unlock()
		if err == nil && successor.Address != "" {
			_, _ = h.cfg.Send(ctx, successor.Address, messenger.Request{IsRelease: true})
		}
	}
}
