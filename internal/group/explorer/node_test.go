package explorer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/claimer"
	"parsleyscale/internal/group/confirmer"
	"parsleyscale/internal/group/enroller"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/group/replacer"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/platform/reconciler"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

const (
	storeService    = "store"
	platformService = "platform"
	// probeTimeout bounds a probe, as in the performer.
	probeTimeout = 250 * time.Millisecond
	// writeInterval is the time between two writes of a VM, and maxWrites the number of those that wait for an answer.
	writeInterval = 25 * time.Millisecond
	maxWrites     = 6
	// confirmTimeout bounds a read of the registry.
	confirmTimeout = 400 * time.Millisecond
	// refreshTimeout bounds a request to another VM to read the registry.
	refreshTimeout = 800 * time.Millisecond
	// sealTimeout bounds the requests to seal a term.
	sealTimeout  = 100 * time.Millisecond
	writeTimeout = 1200 * time.Millisecond
)

// node is a VM: the product's replacer, registrar and claimer, and writers that stand for its callers.
type node struct {
	id        string
	rank      int
	w         *world
	ctx       context.Context
	cancel    context.CancelFunc
	groups    *registrar.Registrar
	replacer  *replacer.Replacer
	enroller  *enroller.Enroller
	claims    *claimer.Claimer
	confirmer *confirmer.Confirmer

	mu         sync.Mutex
	feed       []feedItem
	feedWake   chan struct{}
	version    uint64 // of the registry
	entries    []reconciler.Entry
	registry   reconciler.Registry
	era        uint64 // latest known one of the store
	restoredAt time.Time
	writes     int
}

type feedItem struct {
	entries []reconciler.Entry
	at      time.Time
	version uint64
}

// startNode starts a VM that has read the registry.
func startNode(w *world, id string, rank int) *node {
	ctx, cancel := context.WithCancel(w.ctx)
	n := &node{id: id, rank: rank, w: w, ctx: ctx, cancel: cancel, feedWake: make(chan struct{}, 1)}
	n.groups = registrar.New(func() time.Duration { return time.Since(w.start) + time.Hour })
	n.groups.AssumeDepartures()
	n.claims = claimer.New(table{n}, id, 0)
	n.confirmer = confirmer.New(confirmer.Config{Status: controller{n}.Status})
	w.mu.Lock()
	n.era = w.era
	n.apply(w.reached(), w.entries())
	restoredEra := uint64(0)
	for _, o := range w.subs { // asked at the start
		if !w.isCut(id, o.id) && o.hasRecentRestore() {
			restoredEra = max(restoredEra, o.knownEra())
		}
		if !w.isCut(id, o.id) {
			for _, s := range o.groups.Group(groupName).OpenSeals(0) {
				_ = n.groups.Group(groupName).Seal(s)
			}
		}
	}
	w.subs[id] = n
	w.mu.Unlock()
	if restoredEra > 0 {
		n.claims.RecordRestore(restoredEra)
		n.restoredAt = time.Now()
	}
	n.replacer = replacer.Start(replacer.Config{
		Groups: n.groups, Controller: controller{n}, Tokens: tokens{n}, Claims: n.claims, Promote: n.promote, Fence: n.fence, Probe: n.probe,
		Sample:           func(ctx context.Context, g *registrar.Group) error { return n.sample(ctx, g) },
		Peers:            peers{n},
		DemoteAt:         n.demoteAt,
		Self:             id,
		Sealer:           sealer{n},
		RefreshInstances: n.refresh,
		Rank:             func(string) int { return rank },
		Roster: func(ctx context.Context, group string) (registrar.Roster, error) {
			return enroller.Read(ctx, table{n}, group)
		},
		OnInstanceRemoved: func(string) {},
		Observe:           n.observe,
	})
	n.enroller = enroller.Start(enroller.Config{
		Groups: n.groups, Store: table{n}, Rank: func(string) int { return rank }, IsReady: n.isRegistryComplete, IsConfigured: func(string) bool { return true },
		RegistryVersion: n.registryVersion, Sample: n.sample,
	})
	w.wg.Go(n.follow)
	if id == w.opts.reader {
		w.wg.Go(n.read)
	} else {
		w.wg.Go(n.write)
	}
	return n
}

func (n *node) stop() {
	n.w.mu.Lock()
	delete(n.w.subs, n.id)
	n.w.mu.Unlock()
	n.cancel()
	n.replacer.Close()
	n.enroller.Close()
	n.confirmer.Close()
}

// deliver queues a state of the registry. The caller holds the world's mutex.
func (n *node) deliver(version uint64, entries []reconciler.Entry, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.feed = append(n.feed, feedItem{entries: entries, version: version, at: time.Now().Add(delay)})
	select {
	case n.feedWake <- struct{}{}:
	default:
	}
}

// follow applies the states of the registry in order, unless the store is cut off.
func (n *node) follow() {
	for {
		n.mu.Lock()
		var next *feedItem
		if len(n.feed) > 0 {
			next = &n.feed[0]
		}
		n.mu.Unlock()
		if next == nil {
			select {
			case <-n.feedWake:
				continue
			case <-n.ctx.Done():
				return
			}
		}
		if !sleep(n.ctx, time.Until(next.at)) {
			return
		}
		for n.w.cut(n.id, storeService) {
			if !sleep(n.ctx, 20*time.Millisecond) {
				return
			}
		}
		n.mu.Lock()
		latest := n.feed[0] // after a cut, the feed brings all changes at once
		for len(n.feed) > 0 && !time.Now().Before(n.feed[0].at) {
			latest, n.feed = n.feed[0], n.feed[1:]
		}
		n.mu.Unlock()
		n.w.awaitRun(n.id)
		n.apply(latest.version, latest.entries)
		n.recordEra(follower.EraOf(latest.version))
	}
}

// apply applies a state of the registry unless the VM has a later one.
func (n *node) apply(version uint64, entries []reconciler.Entry) {
	hasGap := n.w.hides(n.registryVersion(), version)
	n.mu.Lock()
	defer n.mu.Unlock()
	if version < n.version {
		return
	}
	if n.registry.IsRestoredAt(version) {
		n.groups.RecordRestore()
	}
	if hasGap {
		n.groups.RecordGap()
	}
	n.version, n.entries, n.registry = version, entries, n.registry.WithTable(entries, version)
	n.groups.Update(n.registry.Instances())
}

// known returns the latest state of the registry that the VM has applied.
func (n *node) known() (version uint64, entries []reconciler.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.entries
}

func (n *node) registryVersion() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version
}

// readRegistry reads the registry from the store.
func (n *node) readRegistry(ctx context.Context) (version uint64, entries []reconciler.Entry, err error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err = n.store(ctx, func() error {
		version, entries = n.w.reached(), n.w.entries()
		return nil
	})
	if err == nil {
		n.recordEra(follower.EraOf(version))
	}
	return version, entries, err
}

var errIncomplete = classifier.New(classifier.NotReady, "the store was restored")

// refresh is Refresh of the replicator: it reads the registry, or lets other VMs read it, or concludes that the store is down for
// all from the answers of most.
func (n *node) refresh(ctx context.Context) error {
	version, entries, err := n.readRegistry(ctx)
	if err == nil {
		n.apply(version, entries)
		if !n.isRegistryComplete() {
			return errIncomplete
		}
		return nil
	}
	others := peers{n}.nodes()
	silent, isIncomplete := 1, false
	for _, o := range others {
		version, entries, answered, err := n.confirmAt(ctx, o)
		if !answered {
			continue
		}
		if err == nil {
			if !o.isRegistryComplete() {
				isIncomplete = true
				continue
			}
			n.apply(version, entries)
			return nil
		}
		silent++
		n.apply(o.known()) // it sends what it knows
	}
	if isIncomplete {
		return errIncomplete
	}
	if 2*silent > len(others)+1 {
		return nil
	}
	return err
}

// confirmAt lets another VM read the registry, and reports whether that one answers in time.
func (n *node) confirmAt(ctx context.Context, o *node) (version uint64, entries []reconciler.Entry, answered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	defer n.w.awaitRun(n.id)
	if n.w.travel(ctx, n.id, o.id, "confirm") != nil {
		return 0, nil, false, nil
	}
	version, entries, err = o.readRegistry(ctx)
	return version, entries, n.w.travel(ctx, o.id, n.id, "confirm") == nil, err
}

// demoteAt demotes whatever instance listens at an address, which is its identity here.
func (n *node) demoteAt(ctx context.Context, t carrier.Target, term uint64) (carrier.InstanceStatus, error) {
	return n.own(ctx, func() (carrier.InstanceStatus, error) { return n.w.demote(ctx, n.id, t.Address, term) })
}

// sealer implements replacer.Sealer.
type sealer struct{ n *node }

func (s sealer) Seal(ctx context.Context, group string, seal registrar.Seal) (registrar.Report, error) {
	return s.each(ctx, func(o *node) (registrar.Report, error) {
		g := o.groups.Group(group)
		if err := g.Seal(seal); err != nil {
			return registrar.Report{}, err
		}
		return g.Report().WithOrders(g.OpenOrders(seal.Term)), nil
	})
}

func (s sealer) Unseal(ctx context.Context, group string, seal registrar.Seal) {
	_, _ = s.each(ctx, func(o *node) (registrar.Report, error) {
		o.groups.Group(group).Unseal(seal)
		return registrar.Report{}, nil
	})
}

// sealAnswer is that of a VM to a request to seal a term.
type sealAnswer struct {
	report registrar.Report
	err    error
}

// each calls f on all VMs that can be reached. It returns the sum of the answers, and an error of kind conflict if there is one.
func (s sealer) each(ctx context.Context, f func(o *node) (registrar.Report, error)) (registrar.Report, error) {
	s.n.w.awaitRun(s.n.id)
	defer s.n.w.awaitRun(s.n.id)
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	others := peers{s.n}.nodes()
	answers := make(chan sealAnswer, len(others))
	for _, o := range others {
		s.n.w.wg.Go(func() {
			if err := s.n.w.travel(ctx, s.n.id, o.id, "seal"); err != nil {
				answers <- sealAnswer{err: err}
				if s.n.w.suspension(o.id) != nil && !s.n.w.cut(s.n.id, o.id) { // it reads the request later
					s.n.w.awaitRun(o.id)
					_, _ = f(o)
				}
				return
			}
			report, err := f(o)
			if travelErr := s.n.w.travel(ctx, o.id, s.n.id, "seal"); travelErr != nil {
				report, err = registrar.Report{}, travelErr
			}
			answers <- sealAnswer{report, err}
		})
	}
	sum := registrar.Report{IsComplete: true}
	var result error
	for range others {
		a := <-answers
		if a.report.Answered = 1; a.err != nil {
			a.report.Answered, a.report.Unanswered = 0, 1
		}
		sum = sum.With(a.report)
		if a.err != nil && !classifier.Is(result, classifier.Conflict) {
			result = a.err
		}
	}
	return sum, result
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *node) observe(e replacer.Event) {
	switch e.Name {
	case replacer.EventHeld, replacer.EventDemoted:
		if e.Err != nil {
			n.w.logf("%s: %s %s: %v", n.id, e.Name, e.Instance, e.Err)
			return
		}
		n.w.logf("%s: %s %s: %+v", n.id, e.Name, e.Instance, e.Status)
	case replacer.EventPromoteRequested:
		n.w.logf("%s: %s %s (%s): %v", n.id, e.Name, e.Instance, e.Reason, e.Err)
	default:
		n.w.logf("%s: %s %s %s %v", n.id, e.Name, e.Instance, e.Reason, e.Err)
	}
}

// probe is Probe of the performer.
func (n *node) probe(g *registrar.Group, v registrar.View) error {
	n.w.awaitRun(n.id)
	ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
	defer cancel()
	sentAt := g.Now()
	p, err := n.w.begin(ctx, n.id, v.ID)
	err = n.w.receive(ctx, n.id, err)
	switch {
	case err == nil:
		g.RecordProof(registrar.Proof{Instance: v.ID, SentAt: sentAt, Position: p})
		g.RecordAnswer(v.ID, p, 0)
	case classifier.Is(err, classifier.NotPrimary):
		g.RecordDenial(v.ID)
		g.RecordAnswer(v.ID, p, 0)
	default:
		g.RecordFailure(v.ID)
	}
	return err
}

// sample is SamplePrimaryPosition of the performer.
func (n *node) sample(_ context.Context, g *registrar.Group) error {
	v, ok := g.View(g.Primary().Instance)
	if !ok {
		return classifier.New(classifier.NoPrimary, "no primary is known")
	}
	return n.probe(g, v)
}

// write sends writes to the known primary and records their outcomes as the performer does.
func (n *node) write() {
	g := n.groups.Group(groupName)
	for sleep(n.ctx, n.w.draw("write "+n.id, writeInterval/2, writeInterval*3/2)) {
		v, ok := g.View(g.Primary().Instance)
		n.mu.Lock()
		isFull := n.writes >= maxWrites
		if ok && !isFull {
			n.writes++
		}
		n.mu.Unlock()
		if !ok || isFull {
			continue
		}
		n.w.wg.Go(func() {
			n.writeTo(g, v.ID)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.writes--
		})
	}
}

// read reads at the known primary, which proves that it leads.
func (n *node) read() {
	g := n.groups.Group(groupName)
	for sleep(n.ctx, n.w.draw("read "+n.id, writeInterval/2, writeInterval*3/2)) {
		if v, ok := g.View(g.Primary().Instance); ok {
			_ = n.probe(g, v)
		}
	}
}

func (n *node) writeTo(g *registrar.Group, id string) {
	n.w.awaitRun(n.id)
	ctx, cancel := context.WithTimeout(n.ctx, writeTimeout)
	defer cancel()
	sentAt := g.Now()
	r, e, err := n.w.commit(ctx, n.id, id)
	err = n.w.receive(ctx, n.id, err)
	switch {
	case err == nil:
		g.RecordAnswer(id, r.pos, 0)
		g.RecordProof(registrar.Proof{Instance: id, SentAt: sentAt, Position: r.pos})
		if n.confirmer.Acknowledge(g, r.pos) {
			n.w.reach(n.id, atAck)
			if n.w.opts.passDelay > 0 {
				n.w.sleep(n.w.draw("pass "+n.id, 0, n.w.opts.passDelay))
				n.w.awaitRun(n.id)
			}
			n.w.acknowledge(e, id, r)
		}
		g.RecordAnsweredWrite()
	case classifier.Is(err, classifier.NotPrimary):
		g.RecordAnswer(id, tokenizer.Position{}, 0)
		g.RecordDenial(id)
	case classifier.Is(err, classifier.StatementTimeout):
		g.RecordAnswer(id, tokenizer.Position{}, 0)
		g.RecordUnansweredWrite()
	default:
		g.RecordFailure(id)
		if e != nil {
			g.RecordUnansweredWrite()
		}
	}
}

// promote sends a promote request to the platform.
func (n *node) promote(ctx context.Context, _, id string, token uint64) error {
	w := n.w
	w.awaitRun(n.id)
	defer w.awaitRun(n.id)
	if ctx.Err() != nil {
		return classifier.Wrap(classifier.PlatformUnavailable, ctx.Err(), "not sent")
	}
	if w.cut(n.id, platformService) {
		<-ctx.Done()
		return classifier.Wrap(classifier.PlatformUnavailable, ctx.Err(), "platform is cut off")
	}
	w.logf("%s: sends promote request for %s", n.id, id)
	most := 5 * time.Millisecond
	if w.isLate(n.id, platformService) {
		most = 2500 * time.Millisecond
	}
	w.mu.Lock()
	most = max(most, w.orders[n.id])
	w.mu.Unlock()
	delay := w.draw("order "+n.id, time.Millisecond, most)
	done := make(chan error, 1)
	w.wg.Go(func() { // the request is carried out even if the VM stops waiting for the answer, or ends
		if w.sleep(delay) {
			done <- w.order(n.id, id, token)
		}
	})
	select {
	case err := <-done:
		if w.isLossy(n.id, platformService) {
			<-ctx.Done()
			return classifier.Wrap(classifier.PlatformUnavailable, ctx.Err(), "answer lost")
		}
		return err
	case <-ctx.Done():
		return classifier.Wrap(classifier.PlatformUnavailable, ctx.Err(), "no answer")
	}
}

// controller implements carrier.Controller.
type controller struct{ n *node }

func (c controller) Status(ctx context.Context, t carrier.Target) (carrier.InstanceStatus, error) {
	return c.n.own(ctx, func() (carrier.InstanceStatus, error) { return c.n.w.statusOf(ctx, c.n.id, t.Instance) })
}

func (c controller) Hold(ctx context.Context, t carrier.Target, term uint64) (carrier.InstanceStatus, error) {
	return c.n.own(ctx, func() (carrier.InstanceStatus, error) { return c.n.w.hold(ctx, c.n.id, t.Instance, term) })
}

func (c controller) Demote(ctx context.Context, t carrier.Target, term uint64) (carrier.InstanceStatus, error) {
	return c.n.own(ctx, func() (carrier.InstanceStatus, error) { return c.n.w.demote(ctx, c.n.id, t.Instance, term) })
}

// peers implements replacer.PeerCommander.
type peers struct{ n *node }

// nodes returns the other VMs that run, by identity.
func (p peers) nodes() []*node {
	p.n.w.mu.Lock()
	defer p.n.w.mu.Unlock()
	var list []*node
	for id, o := range p.n.w.subs {
		if id != p.n.id {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *node) int { return cmp.Compare(a.id, b.id) })
	return list
}

func (p peers) others() []string {
	var ids []string
	for _, o := range p.nodes() {
		ids = append(ids, o.id)
	}
	return ids
}

func (p peers) Status(ctx context.Context, path carrier.Target) (carrier.InstanceStatus, error) {
	return p.through(ctx, path.Address, func() (carrier.InstanceStatus, error) {
		return p.n.w.statusOf(ctx, path.Address, path.Instance)
	})
}

func (p peers) FindPath(ctx context.Context, t carrier.Target) (carrier.Target, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	others := p.others()
	paths := make(chan string, len(others))
	for _, vm := range others {
		p.n.w.wg.Go(func() {
			if p.n.w.travel(ctx, p.n.id, vm, "path") != nil {
				paths <- ""
				return
			}
			if _, err := p.n.w.statusOf(ctx, vm, t.Instance); err != nil {
				paths <- ""
				return
			}
			paths <- vm
		})
	}
	for range others {
		if vm := <-paths; vm != "" {
			t.Address = vm
			return t, nil
		}
	}
	return carrier.Target{}, classifier.New(classifier.NoInstance, "no path to %s", t.Instance)
}

func (p peers) Demote(ctx context.Context, path carrier.Target, term uint64) (carrier.InstanceStatus, error) {
	return p.through(ctx, path.Address, func() (carrier.InstanceStatus, error) {
		return p.n.w.demote(ctx, path.Address, path.Instance, term)
	})
}

// through lets another VM make a call.
func (p peers) through(ctx context.Context, vm string, call func() (carrier.InstanceStatus, error)) (carrier.InstanceStatus, error) {
	return p.n.own(ctx, func() (carrier.InstanceStatus, error) {
		if err := p.n.w.travel(ctx, p.n.id, vm, "path"); err != nil {
			return carrier.InstanceStatus{}, err
		}
		s, err := call()
		if waitErr := p.n.w.awaitRunFor(ctx, vm); waitErr != nil {
			return carrier.InstanceStatus{}, waitErr
		}
		return s, err
	})
}

// tokens implements replacer.TokenSource.
type tokens struct{ n *node }

func (t tokens) IsNeeded([]string) bool { return true }

func (t tokens) Next(ctx context.Context) (uint64, error) {
	var v uint64
	if err := t.n.store(ctx, func() error {
		t.n.w.version++
		t.n.w.keep()
		v = t.n.w.reached()
		return nil
	}); err != nil {
		return 0, err
	}
	t.n.recordEra(follower.EraOf(v))
	return v, nil
}

// store carries out a call of the store.
func (n *node) store(ctx context.Context, execute func() error) (err error) {
	w := n.w
	w.awaitRun(n.id)
	defer func() { err = w.receive(ctx, n.id, err) }()
	if w.cut(n.id, storeService) {
		if w.draw("refuse "+n.id, 0, 2) == 0 {
			return classifier.New(classifier.PlatformUnavailable, "store refuses")
		}
		<-ctx.Done()
		return classifier.Wrap(classifier.PlatformUnavailable, ctx.Err(), "store is cut off")
	}
	most := 20 * time.Millisecond
	if w.isLate(n.id, storeService) {
		most = 1500 * time.Millisecond
	}
	delay := w.draw("store "+n.id, 2*time.Millisecond, most)
	done := make(chan error, 1)
	w.wg.Go(func() {
		if w.sleep(delay) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.away > 0 {
				done <- classifier.New(classifier.PlatformUnavailable, "store is away")
				return
			}
			done <- execute()
		}
	})
	select {
	case err := <-done:
		if w.isLossy(n.id, storeService) {
			return classifier.New(classifier.PlatformUnavailable, "answer lost")
		}
		return err
	case <-ctx.Done():
		return classifier.Wrap(classifier.PlatformUnavailable, ctx.Err(), "no answer")
	}
}

// table implements claimer.Store.
type table struct{ n *node }
