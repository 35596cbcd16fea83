package explorer

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

const (
	groupName = "g"
	// replicationInterval is the time between two rounds in which replicas receive entries.
	replicationInterval = 3 * time.Millisecond
	// entryLifetime is how long an entry of the registry stays after its instance fell silent.
	entryLifetime = 3600 * time.Millisecond
	// statementTimeout bounds how long the primary waits for a replica to receive a commit.
	statementTimeout = time.Second
)

// entry is an entry of an instance's log. Entries are compared by pointer.
type entry struct {
	term   uint64
	number int
	at     time.Duration // of the commit

	acknowledgedAt time.Duration // when a VM got the answer; zero: none has
	answeredBy     string        // instance that acknowledged it
	receivedBy     string        // replica whose receipt it was acknowledged for
	missingFrom    *promotion    // the promotion that dropped it, if any
	isReported     bool
}

// promotion is a promotion that took effect.
type promotion struct {
	at       time.Duration
	instance string
	term     uint64
	call     string // VM and token of the request
	holders  map[*entry][]string
	states   map[string]string // of the instances
}

// instance is a model of an instance, as the protocol describes it.
type instance struct {
	id        string
	startedAt time.Duration
	isUp      bool
	isPrimary bool
	isLeaving bool
	isDeaf    bool   // it receives no entries
	term      uint64 // newest term that it knows
	holdTerm  uint64
	log       []*entry
	delay     time.Duration // of replication
	learnsAt  time.Duration // when it learns of the latest promotion
	catchesUp time.Duration // when it has received the first copy of the log
	crashes   int           // number of its crashes; connections break at each
	cutOffs   int           // number of events that cut it off from the platform
	hasMissed bool          // it was cut off from the platform at the latest promotion
	shown     int           // entries that a replica has received, or that it held at its promotion

	entry    *cataloger.Instance // its entry in the registry; nil: it has none
	silentAt time.Duration
	writesAt time.Duration // when it writes its entry after a restore of the store; zero: it has
}

func (i *instance) describe() string {
	switch {
	case !i.isUp:
		return "down"
	case i.entry == nil:
		return "unregistered"
	case i.holdTerm > 0:
		return "held"
	case i.crashes > 0:
		return "restarted"
	}
	return "not held"
}

func (i *instance) position() tokenizer.Position {
	if len(i.log) == 0 {
		return tokenizer.Position{}
	}
	return tokenizer.Position{Term: i.log[len(i.log)-1].term, Index: uint64(len(i.log))}
}

// reported returns the position that an instance reports.
func (w *world) reported(i *instance) tokenizer.Position {
	if !w.opts.hidesUnreceived || !i.isPrimary || i.shown >= len(i.log) {
		return i.position()
	}
	if i.shown == 0 {
		return tokenizer.Position{}
	}
	return tokenizer.Position{Term: i.log[i.shown-1].term, Index: uint64(i.shown)}
}

func (w *world) status(i *instance) carrier.InstanceStatus {
	return carrier.InstanceStatus{IsPrimary: i.isPrimary, Term: i.term, Received: w.reported(i), HoldTerm: i.holdTerm}
}

// options are the choices that the protocol leaves open.
type options struct {
	demotedSends            bool // a demoted primary goes on sending the entries that it holds
	demotionEndsWithRestart bool // a demoted primary that restarts leads again, unless another instance was promoted
	promoteTime             time.Duration
	slowReplica             string // instance that receives entries later than the others; "": none
	slowBy                  time.Duration
	learnDelay              time.Duration // at most, until a replica knows its new primary
	registryDelay           time.Duration // at most, until a VM knows a new entry
	reader                  string        // VM whose callers only read; "": none
	promoteSpread           time.Duration // at most, by which a promotion takes longer than promoteTime
	passDelay               time.Duration // at most, from a VM's decision to pass on an acknowledgement until it has
	hidesUnreceived         bool          // a primary reports no entry of its term before a replica has received it
	holdsOutlastTerm        bool          // a hold that comes after a promotion stops its replica from receiving in the new term, too
	replacedGoesOn          bool          // a replaced primary that is cut off from the platform goes on
}

// world is the state of the platform and the group.
type world struct {
	seed  uint64
	start time.Time
	opts  options

	mu         sync.Mutex
	counters   map[string]uint64
	instances  map[string]*instance
	primary    string // the latest promoted instance
	lineage    *promotion
	term       uint64
	maxToken   uint64
	holderOf   map[uint64]string // VM by token
	cuts       map[string]int    // number of cuts in force, by pair
	lossy      map[string]int    // VMs whose answers from a service get lost, by pair
	late       map[string]int    // VMs whose calls to a service are carried out late, by pair
	version    uint64
	rows       map[string]follower.Row
	registry   map[string]registryRow
	era        uint64        // of the store
	marked     uint64        // latest era in which a row was written conditionally
	states     []storeState  // of the store, oldest first
	away       int           // restores that are under way
	restoredAt time.Duration // zero: never
	lateness
	subs       map[string]*node
	waiters    []*waiter
	timeline   []string
	commits    []*entry
	losses     []loss
	doubles    []string
	promotions int
	ctx        context.Context
	wg         sync.WaitGroup
}

// loss is an acknowledged commit that the log of a promoted instance lacks.
type loss struct {
	entry     *entry
	promotion *promotion
	holders   []string // living instances of the registry that had it
	isKnown   bool     // one of the holders was a replica
	state     string   // of the replica that received it, when the promotion took effect
}

type waiter struct {
	e        *entry
	primary  *instance
	crashes  int
	term     uint64
	deadline time.Duration
	received string
	done     chan commitResult
}

type commitResult struct {
	kind classifier.Kind // "": acknowledged
	pos  tokenizer.Position
	by   string
}

func newWorld(ctx context.Context, seed uint64, o options) *world {
	w := &world{seed: seed, start: time.Now(), opts: o, ctx: ctx, counters: map[string]uint64{}, instances: map[string]*instance{}, holderOf: map[uint64]string{}, cuts: map[string]int{}, lossy: map[string]int{}, late: map[string]int{}, rows: map[string]follower.Row{}, registry: map[string]registryRow{}, subs: map[string]*node{}, term: 1, lateness: newLateness()}
	for _, id := range []string{"a", "b", "c"} {
		w.instances[id] = &instance{id: id, isUp: true, term: 1, delay: w.drawLocked("delay "+id, 0, 8*time.Millisecond)}
	}
	if i, ok := w.instances[o.slowReplica]; ok {
		i.delay += o.slowBy
	}
	w.primary = "a"
	w.instances["a"].isPrimary = true
	w.keep()
	w.expire()
	return w
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// draw returns a duration that depends on the seed, the key and the number of draws with the key.
func (w *world) draw(key string, least, most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.drawLocked(key, least, most)
}

func (w *world) drawLocked(key string, least, most time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	w.counters[key]++
	r := rand.New(rand.NewPCG(w.seed^h.Sum64(), w.counters[key]))
	if most <= least {
		return least
	}
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	w.timeline = append(w.timeline, fmt.Sprintf("%8.3f  ", w.now().Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) sortedInstances() []*instance {
	list := make([]*instance, 0, len(w.instances))
	for _, i := range w.instances {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b *instance) int { return strings.Compare(a.id, b.id) })
	return list
}

func (w *world) positions() string {
	var b strings.Builder
	for _, i := range w.sortedInstances() {
		role := "replica"
		switch {
		case !i.isUp:
			role = "down"
		case i.isPrimary:
			role = "primary"
		}
		fmt.Fprintf(&b, " %s=%s(%s term %d", i.id, i.position(), role, i.term)
		if i.holdTerm > 0 {
			fmt.Fprintf(&b, " held %d", i.holdTerm)
		}
		b.WriteString(")")
	}
	return b.String()
}

func pair(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + " " + b
}

func (w *world) isCut(a, b string) bool {
	return w.cuts[pair(a, b)] > 0 || w.away > 0 && (a == storeService || b == storeService)
}

func (w *world) cut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isCut(a, b)
}

// run carries out replication and the expiry of entries until ctx ends.
func (w *world) run() {
	t := time.NewTicker(replicationInterval)
	defer t.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-t.C:
			w.mu.Lock()
			w.replicate()
			w.expire()
			w.mu.Unlock()
		}
	}
}

// replicate lets replicas receive entries and answers the commits that enough replicas have received.
func (w *world) replicate() {
	w.answerCommits(w.now())
	w.replicateUnaware()
	p := w.instances[w.primary]
	if p == nil || !p.isUp || !p.isPrimary && !w.opts.demotedSends {
		return
	}
	for _, r := range w.sortedInstances() {
		if r != p && !r.hasMissed && w.canReceive(r, p) {
			w.receiveFrom(r, p)
		}
	}
}

// canReceive reports whether a replica receives the entries of a primary at present.
func (w *world) canReceive(r, p *instance) bool {
	now := w.now()
	isHeld := r.holdTerm > p.term || r.holdTerm > 0 && w.opts.holdsOutlastTerm
	return r.isUp && !r.isDeaf && !isHeld && now >= r.learnsAt && now >= r.catchesUp && !w.isCut(p.id, r.id)
}

// receiveFrom lets a replica receive the entries of a primary.
func (w *world) receiveFrom(r, p *instance) {
	r.term = max(r.term, p.term)
	n := 0
	for n < len(r.log) && n < len(p.log) && r.log[n] == p.log[n] {
		n++
	}
	if n < len(r.log) && !p.isPrimary {
		return
	}
	r.log = r.log[:n:n]
	for k := n; k < len(p.log) && w.now()-p.log[k].at >= r.delay; k++ {
		r.log = append(r.log, p.log[k])
	}
	p.shown = max(p.shown, len(r.log))
}

func (w *world) answerCommits(now time.Duration) {
	rest := w.waiters[:0]
	for _, x := range w.waiters {
		p := x.primary
		result, isDone := commitResult{}, true
		switch {
		case !p.isUp || p.crashes != x.crashes || !p.isPrimary || p.term != x.term:
			result.kind = classifier.OutcomeUnknown
		case w.hasReceipt(x):
			result.pos, result.by = w.reported(p), x.received
		case now >= x.deadline:
			result.kind = classifier.StatementTimeout
		default:
			isDone = false
		}
		if isDone {
			x.done <- result
			continue
		}
		rest = append(rest, x)
	}
	w.waiters = rest
}

func (w *world) hasReceipt(x *waiter) bool {
	for _, r := range w.sortedInstances() {
		if r != x.primary && r.isUp && len(r.log) >= x.e.number && r.log[x.e.number-1] == x.e && !w.isCut(r.id, x.primary.id) {
			x.received = r.id
			return true
		}
	}
	return false
}

// expire removes the registry entries of silent instances, and writes those of the others where they differ.
func (w *world) expire() {
	now := w.now()
	for _, i := range w.sortedInstances() {
		if !i.isUp || w.isCut(i.id, storeService) {
			switch {
			case i.silentAt == 0:
				i.silentAt = now
			case i.entry != nil && now-i.silentAt > entryLifetime:
				w.logLocked("store: entry of %s expires", i.id)
				w.setEntry(i, nil)
			}
			continue
		}
		i.silentAt = 0
		if now < i.writesAt {
			continue
		}
		if next := i.newEntry(); i.startedAt >= 0 && (i.writesAt > 0 || i.entry == nil || *i.entry != next) {
			i.writesAt = 0
			w.setEntry(i, &next)
		}
	}
	if w.away == 0 {
		w.expireLeft()
	}
}

// lapse removes the registry entries of all instances, which write them again one after the other. The caller holds w.mu.
func (w *world) lapse() {
	w.logLocked("store: is back without entries")
	for _, i := range w.sortedInstances() {
		if i.startedAt < 0 {
			continue // it registers later, for the first time
		}
		i.writesAt = w.now() + w.drawLocked("rewrite "+i.id, 20*time.Millisecond, rewriteTime)
		if i.entry != nil {
			w.setEntry(i, nil)
		}
	}
}

func (i *instance) newEntry() cataloger.Instance {
	return cataloger.Instance{ID: i.id, Group: groupName, Address: i.id, IsPrimary: i.isPrimary, IsLeaving: i.isLeaving, StartedAtMs: i.startedAt.Milliseconds()}
}

// setEntry writes or removes the registry entry of an instance.
func (w *world) setEntry(i *instance, e *cataloger.Instance) {
	w.version++
	if i.entry != nil && e == nil {
	}
	i.entry = e
	delete(w.registry, i.id)
	if e != nil {
		w.registry[i.id] = registryRow{instance: *e, version: w.version}
	}
	w.keep()
	w.announce()
}

// announce delivers the registry to each VM, some time later and in order.
func (w *world) announce() {
	for _, n := range w.subs {
		n.deliver(w.reached(), w.entries(), w.drawLocked("feed "+n.id, time.Millisecond, w.opts.registryDelay))
	}
}

// call carries a command of a VM to an instance and returns the answer to it.
func (w *world) call(ctx context.Context, vm, id, command string, execute func(i *instance) (carrier.InstanceStatus, error)) (carrier.InstanceStatus, error) {
	if err := w.travel(ctx, vm, id, command); err != nil {
		return carrier.InstanceStatus{}, err
	}
	if w.sendLate(id, command, execute) {
		<-ctx.Done()
		return carrier.InstanceStatus{}, classifier.Wrap(classifier.NoInstance, ctx.Err(), "%s does not answer", id)
	}
	if err := w.refuseIfBusy(id, command); err != nil {
		return carrier.InstanceStatus{}, cmp.Or(w.travel(ctx, id, vm, command), err)
	}
	w.mu.Lock()
	i := w.instances[id]
	if i == nil || !i.isUp {
		w.mu.Unlock()
		return carrier.InstanceStatus{}, classifier.New(classifier.NoInstance, "%s refused the connection", id)
	}
	s, err := execute(i)
	crashes := i.crashes
	w.mu.Unlock()
	if travelErr := w.travel(ctx, id, vm, command); travelErr != nil {
		return carrier.InstanceStatus{}, travelErr
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if i.crashes != crashes {
		return carrier.InstanceStatus{}, classifier.New(classifier.AnswerIncomplete, "%s broke the connection", id)
	}
	return s, err
}

// travel lets a message pass between a VM and an instance. A message on a path that is cut gets lost.
func (w *world) travel(ctx context.Context, from, to, what string) error {
	if err := w.awaitRunFor(ctx, from); err != nil {
		return err
	}
	most := 4 * time.Millisecond
	if w.isLate(from, to) {
		most = 300 * time.Millisecond
	}
	t := time.NewTimer(w.draw("travel "+from+" "+to+" "+what, 200*time.Microsecond, most))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return classifier.Wrap(classifier.NoInstance, ctx.Err(), "%s to %s", from, to)
	}
	if w.cut(from, to) {
		<-ctx.Done()
		return classifier.Wrap(classifier.NoInstance, ctx.Err(), "%s to %s is cut", from, to)
	}
	if !strings.HasPrefix(from, "vm") {
		return nil // an answer, which waits until the VM takes it up
	}
	return w.awaitRunFor(ctx, to)
}

func (w *world) isLate(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late[pair(a, b)] > 0
}

func (w *world) isLossy(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lossy[pair(a, b)] > 0
}

func (w *world) statusOf(ctx context.Context, vm, id string) (carrier.InstanceStatus, error) {
	return w.call(ctx, vm, id, "status", func(i *instance) (carrier.InstanceStatus, error) { return w.status(i), nil })
}

func (w *world) hold(ctx context.Context, vm, id string, term uint64) (carrier.InstanceStatus, error) {
	return w.call(ctx, vm, id, "hold", func(i *instance) (carrier.InstanceStatus, error) {
		if !i.isPrimary && term > i.term {
			i.holdTerm = max(i.holdTerm, term)
		}
		w.logLocked("%s: HOLD %d at %s: %+v", vm, term, id, w.status(i))
		return w.status(i), nil
	})
}

func (w *world) demote(ctx context.Context, vm, id string, term uint64) (carrier.InstanceStatus, error) {
	return w.call(ctx, vm, id, "demote", func(i *instance) (carrier.InstanceStatus, error) {
		if i.isPrimary && i.term < term {
			i.isPrimary = false
		}
		w.logLocked("%s: DEMOTE %d at %s: %+v", vm, term, id, w.status(i))
		return w.status(i), nil
	})
}

// begin opens a transaction that only a primary opens.
func (w *world) begin(ctx context.Context, vm, id string) (tokenizer.Position, error) {
	s, err := w.call(ctx, vm, id, "begin", func(i *instance) (carrier.InstanceStatus, error) {
		if !i.isPrimary {
			return w.status(i), classifier.New(classifier.NotPrimary, "%s", id)
		}
		return w.status(i), nil
	})
	return s.Received, err
}

// commit sends a write. It returns the result of the commit at the instance.
func (w *world) commit(ctx context.Context, vm, id string) (commitResult, *entry, error) {
	if err := w.travel(ctx, vm, id, "write"); err != nil {
		return commitResult{}, nil, err
	}
	w.mu.Lock()
	i := w.instances[id]
	if i == nil || !i.isUp {
		w.mu.Unlock()
		return commitResult{}, nil, classifier.New(classifier.NoInstance, "%s refused the connection", id)
	}
	if !i.isPrimary {
		w.mu.Unlock()
		if err := w.travel(ctx, id, vm, "write"); err != nil {
			return commitResult{}, nil, err
		}
		return commitResult{}, nil, classifier.New(classifier.NotPrimary, "%s", id)
	}
	e := &entry{term: i.term, number: len(i.log) + 1, at: w.now()}
	i.log = append(i.log, e)
	w.commits = append(w.commits, e)
	x := &waiter{e: e, primary: i, crashes: i.crashes, term: i.term, deadline: w.now() + statementTimeout, done: make(chan commitResult, 1)}
	w.waiters = append(w.waiters, x)
	w.mu.Unlock()
	var r commitResult
	select {
	case r = <-x.done:
	case <-ctx.Done():
		return commitResult{}, e, classifier.Wrap(classifier.OutcomeUnknown, ctx.Err(), "%s", id)
	}
	if err := w.travel(ctx, id, vm, "write"); err != nil {
		return commitResult{}, e, err
	}
	if r.kind != "" {
		return commitResult{}, e, classifier.New(r.kind, "%s", id)
	}
	return r, e, nil
}

// acknowledge records that a VM has passed the acknowledgement of a commit on to its client.
func (w *world) acknowledge(e *entry, id string, r commitResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.acknowledgedAt, e.answeredBy, e.receivedBy = w.now(), id, r.by
	w.checkLost(e)
}

// checkLost records the loss of an acknowledged commit that a promotion has dropped.
func (w *world) checkLost(e *entry) {
	p := e.missingFrom
	if p == nil || e.acknowledgedAt == 0 || e.isReported {
		return
	}
	e.isReported = true
	l := loss{entry: e, promotion: p, holders: p.holders[e]}
	for _, h := range l.holders {
		l.isKnown = l.isKnown || h != e.answeredBy
	}
	l.state = p.states[e.receivedBy]
	w.losses = append(w.losses, l)
	w.logLocked("LOST commit %d/%d of %s (received by %s), acknowledged at %.3f: missing from %s; living instances of the registry with it: %v", e.term, e.number, e.answeredBy, e.receivedBy, e.acknowledgedAt.Seconds(), p.instance, l.holders)
}

// order carries out a promote request after it has reached the platform.
func (w *world) order(vm, id string, token uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := fmt.Sprintf("%s token term %d claimed %t number %d", vm, token>>36, token>>35&1 == 1, token&(1<<35-1))
	if token < w.maxToken {
		w.logLocked("platform: refuses %s for %s: lower token", id, name)
		return classifier.New(classifier.Conflict, "lower token")
	}
	w.maxToken = token
	if h, ok := w.holderOf[token]; ok && h != vm {
		w.doubles = append(w.doubles, fmt.Sprintf("token %d of %s and %s", token, h, vm))
	}
	w.holderOf[token] = vm
	i := w.instances[id]
	if i == nil || !i.isUp {
		w.logLocked("platform: refuses %s for %s: not running", id, name)
		return classifier.New(classifier.Conflict, "%s is not running", id)
	}
	if w.primary == id && i.isPrimary {
		return nil
	}
	w.logLocked("platform: promotes %s for %s;%s", id, name, w.positions())
	crashes := i.crashes
	takes := w.opts.promoteTime
	if w.opts.promoteSpread > 0 {
		takes += w.drawLocked("promote", 0, w.opts.promoteSpread)
	}
	w.wg.Go(func() {
		if !w.sleep(takes) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !i.isUp || i.crashes != crashes || w.primary == id && i.isPrimary || i.cutOffs > 0 {
			w.logLocked("platform: promotion of %s for %s has no effect", id, name)
			return
		}
		w.lead(i, name)
	})
	return nil
}

// lead makes an instance the primary of the next term.
func (w *world) lead(i *instance, call string) {
	w.logLocked("platform: promotion of %s for %s takes effect;%s", i.id, call, w.positions())
	w.term++
	w.promotions++
	p := &promotion{at: w.now(), instance: i.id, term: w.term, call: call, holders: map[*entry][]string{}, states: map[string]string{}}
	for _, r := range w.instances {
		p.states[r.id] = r.describe()
	}
	has := map[*entry]bool{}
	for _, e := range i.log {
		has[e] = true
	}
	for _, e := range w.commits {
		if has[e] || e.missingFrom != nil {
			continue
		}
		e.missingFrom = p
		for _, r := range w.sortedInstances() {
			if r != i && r.isUp && r.entry != nil && len(r.log) >= e.number && r.log[e.number-1] == e {
				p.holders[e] = append(p.holders[e], r.id)
			}
		}
		w.checkLost(e)
	}
	w.primary, w.lineage = i.id, p
	for _, r := range w.instances {
		if r != i && r.cutOffs > 0 {
			r.hasMissed, r.isPrimary = true, r.isPrimary && w.opts.replacedGoesOn
			continue
		}
		r.learnsAt = w.now() + w.drawLocked("learn "+r.id, time.Millisecond, w.opts.learnDelay)
		r.isPrimary = r == i
		r.holdTerm = 0
	}
	i.term, i.learnsAt, i.hasMissed, i.shown = w.term, 0, false, len(i.log)
}

func (w *world) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// crash stops an instance. It restarts with its log, without a hold, and as the primary if it was and no other one was promoted.
func (w *world) crash(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.instances[id]
	if i == nil || !i.isUp {
		return
	}
	w.logLocked("%s crashes;%s", id, w.positions())
	i.isUp = false
	i.crashes++
}

func (w *world) restart(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.instances[id]
	if i == nil || i.isUp {
		return
	}
	i.isUp, i.holdTerm, i.startedAt = true, 0, w.now()
	if w.primary == id && w.opts.demotionEndsWithRestart {
		i.isPrimary = true
	}
	w.logLocked("%s restarts;%s", id, w.positions())
}

// join starts a newcomer, which receives entries before it has a registry entry.
func (w *world) join(id string, catchUp, registers time.Duration) {
	w.mu.Lock()
	i := &instance{id: id, isUp: true, startedAt: -1, term: w.term, delay: w.drawLocked("delay "+id, 0, 4*time.Millisecond), catchesUp: w.now() + catchUp}
	w.instances[id] = i
	w.logLocked("%s joins", id)
	w.mu.Unlock()
	w.wg.Go(func() {
		if !w.sleep(registers) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		i.startedAt = w.now()
		w.logLocked("%s registers", id)
	})
}

// leave makes an instance drain and then end.
func (w *world) leave(id string, drain time.Duration) {
	w.mu.Lock()
	i := w.instances[id]
	if i == nil || !i.isUp || i.isLeaving {
		w.mu.Unlock()
		return
	}
	i.isLeaving = true
	w.logLocked("%s is leaving", id)
	w.mu.Unlock()
	w.wg.Go(func() {
		if !w.sleep(drain) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.logLocked("%s has left;%s", id, w.positions())
		i.isUp = false
		i.crashes++
		w.setEntry(i, nil)
		delete(w.instances, id)
	})
}

func (w *world) report() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.timeline, "\n")
}

func (w *world) sortLosses() []loss {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := slices.Clone(w.losses)
	sort.SliceStable(list, func(a, b int) bool { return list[a].entry.at < list[b].entry.at })
	return list
}
