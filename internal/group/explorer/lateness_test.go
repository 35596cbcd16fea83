package explorer

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/statement/carrier"
)

const (
	suspend      kind = "suspend"      // VM a is stopped, at once or when it reaches point b next, and then goes on where it was
	splitVMs     kind = "splitVMs"     // VM a and the other VMs do not hear each other; without a, no VM hears another one
	lateOrders   kind = "lateOrders"   // promote requests of VM a are carried out up to extra after their call
	lateCommands kind = "lateCommands" // instance a reads commands up to extra after they were sent, even if the caller has given up
	unaware      kind = "unaware"      // instance a is cut off from the platform and learns of no promotion
	busy         kind = "busy"         // instance a refuses control commands
	loseStore    kind = "loseStore"    // the store is cut off from VM a when it has claimed the group next
)

// The points at which a VM may be suspended.
const (
	atRecord = "record" // its choice is in the store, and the promote request is not sent yet
	atAck    = "ack"    // it has decided to pass on an acknowledgement
	atClaim  = "claim"  // its claim is in the store, for loseStore
)

// armTime is how long a VM is to be suspended, or cut off, when it reaches a point.
const armTime = 4 * time.Second

// lateness is what is late in a world, besides the pairs of latePaths. Its maps are guarded by the world's mutex.
type lateness struct {
	suspended map[string]chan struct{} // closed when the VM goes on, by VM
	armed     map[string]time.Duration // suspensions that begin when a VM reaches a point, by both
	orders    map[string]time.Duration // at most, of promote requests, by VM
	commands  map[string]time.Duration // at most, of commands, by instance
	busy      map[string]int           // by instance
}

func newLateness() lateness {
	return lateness{suspended: map[string]chan struct{}{}, armed: map[string]time.Duration{}, orders: map[string]time.Duration{}, commands: map[string]time.Duration{}, busy: map[string]int{}}
}

// suspension returns a channel that is closed when a VM goes on, or nil if it runs.
func (w *world) suspension(vm string) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspended[vm]
}

// awaitRun waits until a VM is not suspended, whatever time limits it has.
func (w *world) awaitRun(vm string) { _ = w.awaitRunFor(w.ctx, vm) }

// awaitRunFor is awaitRun for another process that does not wait longer than ctx.
func (w *world) awaitRunFor(ctx context.Context, vm string) error {
	for c := w.suspension(vm); c != nil; c = w.suspension(vm) {
		select {
		case <-c:
		case <-ctx.Done():
			return classifier.Wrap(classifier.NoInstance, ctx.Err(), "%s is suspended", vm)
		}
	}
	return nil
}

// receive lets a VM take up an answer once it is not suspended. If the time limit of the call has passed meanwhile, the VM may find
// either first.
func (w *world) receive(ctx context.Context, vm string, err error) error {
	if w.suspension(vm) == nil {
		return err
	}
	w.awaitRun(vm)
	if err == nil && ctx.Err() != nil && w.draw("receive "+vm, 0, 2) == 0 {
		return classifier.Wrap(classifier.OutcomeUnknown, ctx.Err(), "%s was suspended", vm)
	}
	return err
}

// suspend stops a VM for a time, and returns at once.
func (w *world) suspend(vm string, lasts time.Duration) {
	w.mu.Lock()
	if w.suspended[vm] != nil {
		w.mu.Unlock()
		return
	}
	c := make(chan struct{})
	w.suspended[vm] = c
	w.mu.Unlock()
	w.wg.Go(func() {
		w.sleep(lasts)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.suspended, vm)
		close(c)
		w.logLocked("%s goes on", vm)
	})
}

// arm lets a VM be suspended when it reaches a point.
func (w *world) arm(vm, point string, lasts time.Duration) {
	key := vm + " " + point
	w.mu.Lock()
	w.armed[key] = lasts
	w.mu.Unlock()
	w.sleep(armTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.armed, key)
}

// reach lets a VM reach a point.
func (w *world) reach(vm, point string) {
	key := vm + " " + point
	w.mu.Lock()
	lasts := w.armed[key]
	delete(w.armed, key)
	w.mu.Unlock()
	switch {
	case lasts > 0 && point == atClaim:
		w.logf("%s loses the store for %s", vm, lasts)
		w.cutStore(vm, lasts)
	case lasts > 0:
		w.logf("%s is suspended at point %s for %s", vm, point, lasts)
		w.suspend(vm, lasts)
	}
	w.awaitRun(vm)
}

// cutStore cuts a VM off from the store for a time, and returns at once.
func (w *world) cutStore(vm string, lasts time.Duration) {
	add := func(n int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cuts[pair(vm, storeService)] += n
	}
	add(1)
	w.wg.Go(func() {
		w.sleep(lasts)
		add(-1)
	})
}

// own lets a VM make a call, which neither begins nor ends while the VM is suspended.
func (n *node) own(ctx context.Context, call func() (carrier.InstanceStatus, error)) (carrier.InstanceStatus, error) {
	n.w.awaitRun(n.id)
	s, err := call()
	if err = n.w.receive(ctx, n.id, err); err != nil {
		return carrier.InstanceStatus{}, err
	}
	return s, nil
}

// refuseIfBusy returns the error with which an instance refuses a control command, if it does.
func (w *world) refuseIfBusy(id, command string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[id] == 0 || command == "begin" {
		return nil
	}
	if w.drawLocked("refuse "+id, 0, 2) == 0 {
		return classifier.New(classifier.Overloaded, "%s is busy", id)
	}
	return classifier.New(classifier.TooManyConnections, "%s has too many connections", id)
}

// sendLate lets an instance carry out a command after a time, whether or not the caller still waits for the answer then. It reports whether
// the command is late.
func (w *world) sendLate(id, command string, execute func(i *instance) (carrier.InstanceStatus, error)) bool {
	w.mu.Lock()
	most := w.commands[id]
	isLate := most > 0 && command != "begin" && w.drawLocked("isLate "+id, 0, 2) == 0
	w.mu.Unlock()
	if !isLate {
		return false
	}
	delay := w.draw("command "+id, 0, most)
	w.wg.Go(func() {
		if !w.sleep(delay) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if i := w.instances[id]; i != nil && i.isUp {
			w.logLocked("%s reads a late command", id)
			_, _ = execute(i)
		}
	})
	return true
}

// cutOff cuts an instance off from the platform for a time. It then learns of the latest promotion.
func (w *world) cutOff(id string, lasts time.Duration) {
	w.mu.Lock()
	i := w.instances[id]
	if i == nil {
		w.mu.Unlock()
		return
	}
	i.cutOffs++
	w.mu.Unlock()
	w.sleep(lasts)
	w.mu.Lock()
	defer w.mu.Unlock()
	if i.cutOffs--; i.cutOffs == 0 && i.hasMissed {
		w.logLocked("%s learns that %s leads", id, w.primary)
		i.hasMissed, i.isPrimary, i.holdTerm = false, false, 0
		i.learnsAt = w.now()
	}
}

// replicateUnaware lets a replaced primary that goes on send its entries to replicas that have not heard of its successor either.
func (w *world) replicateUnaware() {
	for _, p := range w.sortedInstances() {
		if !p.isUp || !p.isPrimary || !p.hasMissed {
			continue
		}
		for _, r := range w.sortedInstances() {
			if r != p && r.hasMissed && w.canReceive(r, p) {
				w.receiveFrom(r, p)
			}
		}
	}
}

// playLateness carries out an event of lateness, and reports whether it is one.
func (p *player) playLateness(e event, a string) bool {
	w := p.w
	switch e.kind {
	case suspend:
		if e.b != "" {
			w.arm(a, e.b, e.lasts)
			return true
		}
		w.suspend(a, e.lasts)
	case loseStore:
		w.arm(a, atClaim, e.lasts)
	case splitVMs:
		p.during(e, w.cuts, p.pairsOfVMs(a)...)
	case lateOrders:
		p.set(e, w.orders, a)
	case lateCommands:
		p.set(e, w.commands, a)
	case unaware:
		w.cutOff(a, e.lasts)
	case busy:
		p.during(e, w.busy, a)
	default:
		return false
	}
	return true
}

// pairsOfVMs returns the pairs of a VM and each other one, or of all VMs.
func (p *player) pairsOfVMs(vm string) []string {
	var pairs []string
	for a := range p.h.vms {
		for b := range a {
			if va, vb := vmName(a), vmName(b); vm == "" || vm == va || vm == vb {
				pairs = append(pairs, pair(va, vb))
			}
		}
	}
	return pairs
}

// set sets the greatest delay of a process for the duration of an event.
func (p *player) set(e event, delays map[string]time.Duration, id string) {
	add := func(d time.Duration) {
		p.w.mu.Lock()
		defer p.w.mu.Unlock()
		delays[id] += d
	}
	add(e.extra)
	p.w.sleep(e.lasts)
	add(-e.extra)
	p.w.logf("event: %s %s has ended", e.kind, id)
}

// lateness returns the options of lateness in the form that parseHistory reads.
func (o options) lateness() string {
	var b strings.Builder
	if o.promoteSpread > 0 {
		fmt.Fprintf(&b, "promoteSpread %s\n", o.promoteSpread)
	}
	if o.passDelay > 0 {
		fmt.Fprintf(&b, "passDelay %s\n", o.passDelay)
	}
	if o.hidesUnreceived {
		fmt.Fprintln(&b, "hidesUnreceived")
	}
	if o.holdsOutlastTerm {
		fmt.Fprintln(&b, "holdsOutlastTerm")
	}
	if o.replacedGoesOn {
		fmt.Fprintln(&b, "replacedGoesOn")
	}
	return b.String()
}

// lateKind draws an event of lateness of one of the kinds.
func (d drawer) lateKind(at time.Duration, kinds ...kind) event {
	r := d.Rand
	e := event{at: at, kind: pick(r, kinds...), lasts: between(r, 300*time.Millisecond, 5*time.Second)}
	switch e.kind {
	case suspend:
		e.a, e.b = d.vm(), pick(r, "", atRecord, atRecord, atAck)
	case loseStore:
		e.a = d.vm()
	case splitVMs:
		e.a = pick(r, "", d.vm())
	case lateOrders:
		e.a, e.extra = d.vm(), between(r, 500*time.Millisecond, 7*time.Second)
	case lateCommands:
		e.a, e.extra = d.someInstance(), between(r, 200*time.Millisecond, 3*time.Second)
	case unaware:
		e.a = d.someInstance()
	case busy:
		e.a, e.lasts = d.someInstance(), between(r, 200*time.Millisecond, 2*time.Second)
	case latePaths:
		e.a, e.b = d.vm(), pick(r, d.someInstance(), storeService)
	case cutPaths:
		e.a, e.b = d.vm(), pick(r, storeService, platformService, d.someInstance())
	}
	return e
}

// withSuspensions returns the same history with VMs that are suspended in the middle of what they do, or do not hear each other, while
// promotions are carried out late.
func withSuspensions(h history) history {
	return withLateness(h, 19, suspend, suspend, suspend, splitVMs, splitVMs, lateOrders, lateOrders, cutPaths)
}

// withLateNews returns the same history with instances that do not learn of promotions, and with commands and entries that are late.
func withLateNews(h history) history {
	h = withLateness(h, 23, suspend, suspend, splitVMs, lateOrders, unaware, unaware, busy, lateCommands, lateCommands, latePaths)
	r := rand.New(rand.NewPCG(h.seed, 29))
	h.opts.learnDelay = pick(r, h.opts.learnDelay, time.Second, 4*time.Second)
	h.opts.hidesUnreceived = r.IntN(2) == 0
	h.opts.holdsOutlastTerm = r.IntN(2) == 0
	return h
}

// withRivals returns a history in which a primary that crashed is back soon, and the first VM that replaces it is kept from it while a second
// one may begin.
func withRivals(h history) history {
	r := rand.New(rand.NewPCG(h.seed, 31))
	d := drawer{Rand: r, vms: h.vms}
	crashAt := between(r, 1500*time.Millisecond, 2*time.Second)
	h.opts.promoteSpread = between(r, 0, 800*time.Millisecond)
	h.opts.passDelay = pick(r, 0, 20*time.Millisecond)
	h.opts.slowReplica, h.opts.slowBy = pick(r, "b", "c"), between(r, 0, 400*time.Millisecond)
	events := []event{
		{at: crashAt, kind: crash, a: "P", lasts: between(r, 300*time.Millisecond, 3*time.Second)},
		{at: crashAt + between(r, -time.Second, time.Second), kind: splitVMs, a: pick(r, "", d.vm()), lasts: between(r, 2*time.Second, 6*time.Second)},
	}
	for range 1 + r.IntN(4) {
		events = append(events, d.lateKind(crashAt+between(r, -time.Second, 2*time.Second), suspend, loseStore, loseStore, lateOrders, lateOrders, cutPaths, cutPaths))
	}
	if r.IntN(3) == 0 {
		events = append(events, event{at: crashAt + between(r, 0, 3*time.Second), kind: crash, a: pick(r, "R1", "R2"), lasts: between(r, 20*time.Millisecond, 400*time.Millisecond)})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	h.events, h.length = events, 14*time.Second
	return h
}

// withLateness returns the same history with some events of the kinds, each close to another event.
func withLateness(h history, stream uint64, kinds ...kind) history {
	r := rand.New(rand.NewPCG(h.seed, stream))
	d := drawer{Rand: r, vms: h.vms}
	h.opts.promoteSpread = between(r, 0, 800*time.Millisecond)
	h.opts.passDelay = pick(r, 0, 20*time.Millisecond)
	events := slices.Clone(h.events)
	for range 2 + r.IntN(5) {
		at := pick(r, h.events...).at + between(r, -500*time.Millisecond, 2500*time.Millisecond)
		events = append(events, d.lateKind(max(at, 200*time.Millisecond), kinds...))
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	h.events, h.length = events, h.length+3*time.Second
	return h
}
