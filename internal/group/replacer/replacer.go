// Package replacer replaces the primary of a group that acknowledges a commit once
// a number of replicas has received it, and whose new primary is appointed by a
// single fenced promote request to the platform.
//
// Eleven rules make the promotion safe.
//   - An attempt takes its fencing token before it holds, demotes or compares any
//     instance. An attempt that begins later has a higher token, and once the
//     platform has seen that token, it refuses the lower one. A spare token is fetched
//     in advance for use while the store is unavailable. It may have been taken after
//     a claim, so it ranks below the tokens of all claims for the same term.
//   - A primary that any VM reaches is demoted, through that VM if necessary. From
//     then on, it acknowledges nothing, whichever instances join or restart, and only
//     an instance that holds all of its entries is promoted. The replicas are held then, in
//     case the primary restarts and leads again.
//   - If no VM reaches the primary, every replica is held, that is, told to stop receiving
//     entries, before the positions of the replicas are compared. From then on, the old
//     primary acknowledges commits only with the help of an instance that joins or
//     restarts, and no VM passes these acknowledgements on. If the primary is back before
//     the promotion takes effect, it is demoted.
//   - The term is sealed: no VM that can be reached passes on the acknowledgement of a commit once the replicas are
//     compared, or of one after the position of a demoted primary. What was compared need not stand until the
//     promotion takes effect. A VM with a spare token excludes other VMs by its seal.
//   - The replicas are those that the store lists once the token has been taken. A VM's copy of the registry may lack the
//     one that registered last, and that may be the only one with an acknowledged commit. Without an answer of the store, other
//     VMs read the list. If the store answers none of them, it is taken to be down for the instances as well, and what the VMs
//     know together to be complete. A VM to which most others do not say so replaces nobody.
//   - A hold or a demotion counts only if the answer shows its effect: the term held, or the role of a replica,
//     and in both cases the old term. Only an instance that led the old term is demoted in place of a hold.
//   - All replicas must have answered, since the one that did not may be the only
//     one with an acknowledged commit. The demoted old primary can stand in for a
//     missing replica, because its log holds every commit that it acknowledged. A
//     replica that has left the group, or lost its log, counts as missing until another one
//     holds everything that was acknowledged before this was noticed. A VM assumes that one left before
//     the VM started, unless the store's roster of the group shows the opposite.
//   - A new primary was a replica, and counted for commits of the term before. Until another instance holds what it had received by then, or an
//     entry of its own term, it is the one that does not answer if it fails, and is not given up if its writes stall. VMs that know no entry of its
//     term count it in the term before.
//   - The chosen instance is recorded with the claim before the promote request is
//     sent, and other VMs are told. A later attempt at the same term, which may have reached other
//     instances, keeps that choice as long as no instance holds more than the chosen
//     one. It chooses otherwise only once the platform has seen its higher token, and a promotion
//     that was accepted before has had time to take effect. A hold is
//     never undone: a promote request that got no answer may still be carried out
//     later, and until then nothing may be acknowledged that the chosen replica lacks. So the VMs
//     stop the acknowledgements of the term for as long as that is possible. If the VM that sent the
//     request does not go on, another one makes sure that the platform refuses it.
//   - After a restore of the store, which may have lost a claim with its choice, the platform is shown the token of the new claim, and
//     any promotion that it accepted before takes effect first. By then, the instances have written their registry entries again.
//   - The claim is renewed before each repeated promote request, so that none is sent after another VM has claimed the
//     group: by then, the instance may have led and been demoted again. A primary that has led for a short time only is demoted after the
//     platform has seen the token, so that it refuses late requests for it.
//
// On a platform that does not check the tokens, two more rules take the place of the refusal.
//   - Spare tokens are not used: a VM that cannot claim the group leaves it alone.
//   - An attempt that finds the choice of an earlier one does not choose otherwise, and
//     the next term cannot be claimed while a request of this one may be outstanding.
package replacer

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/claimer"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

const (
	// checkInterval is the time between two health checks of all groups.
	checkInterval = 50 * time.Millisecond
	// commandTimeout bounds one control command (status, hold or demote) to an instance.
	commandTimeout = 400 * time.Millisecond
	// claimTimeout bounds a claim; after it the spare token is used.
	claimTimeout = 400 * time.Millisecond
	// promoteTimeout bounds the wait for the answer to a promote request.
	promoteTimeout = 400 * time.Millisecond
	// minRetryDelay is the mean pause after the first failed attempt. It doubles with each further one, up to maxRetryDelay.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// replaceTimeout bounds a replacement with all its attempts.
	replaceTimeout = 6 * time.Second
	// searchInterval is the least time between two probes of a possible primary: of each instance
	// while no primary is known, and of the instance that the registry names instead of the known one.
	searchInterval = 100 * time.Millisecond
	// refillInterval is the time between two checks whether a spare token is missing.
	refillInterval = time.Second
	// firstRefillInterval is the same for the first firstRefillChecks checks, so that a VM that starts is listed soon.
	firstRefillInterval = 200 * time.Millisecond
	firstRefillChecks   = 10
	// recheckInterval is the least time between two probes of a known primary that has failed.
	recheckInterval = 250 * time.Millisecond
)

// TokenSource issues spare fencing tokens, each higher than all that were issued before.
type TokenSource interface {
	Next(ctx context.Context) (uint64, error)
	// IsNeeded reports whether the VM should have a spare token for one of the groups. In a large deployment, the
	// VMs that act first have one.
	IsNeeded(groups []string) bool
}

// Claims gives one VM at a time the exclusive right to replace a group's primary, and issues its tokens.
type Claims interface {
	Claim(ctx context.Context, group string, term uint64) (claimer.ClaimResult, error)
	// Record stores the chosen instance before the promote request is sent, and returns the token of that
	// request. It fails with kind conflict when another VM has claimed the group in the meantime.
	Record(ctx context.Context, group string, term, token uint64, chosenInstance string) (uint64, error)
	// Withdraw records that the instance chosen with the given token will not be promoted.
	Withdraw(ctx context.Context, group string, term, token uint64) error
	// Settle records that each promote request of the claim with the given token was answered.
	Settle(ctx context.Context, group string, term, token uint64, chosenInstance string) error
}

// Promote asks the platform to make an instance the primary of its group. An error of kind conflict
// means that the platform has seen a higher token, or that the instance is not running.
type Promote func(ctx context.Context, group, instance string, token uint64) error

// PeerCommander sends commands to instances through other VMs.
type PeerCommander interface {
	// FindPath returns the target through which another VM reaches an instance, once the instance has answered on it.
	FindPath(ctx context.Context, t carrier.Target) (carrier.Target, error)
	// Status and Demote are those of carrier.Controller for a target that FindPath returned.
	Status(ctx context.Context, path carrier.Target) (carrier.InstanceStatus, error)
	Demote(ctx context.Context, path carrier.Target, term uint64) (carrier.InstanceStatus, error)
}

// Config holds the dependencies of a Replacer.
type Config struct {
	Groups     *registrar.Registrar
	Controller carrier.Controller
	Tokens     TokenSource
	Claims     Claims
	Promote    Promote
	// Fence shows the platform a token without a promotion, so that it refuses lower ones; nil if it cannot.
	Fence func(ctx context.Context, group string, token uint64) error
	// IsUnfenced states that the platform does not check the tokens of promote requests, and that a replaced primary goes
	// on answering until it is demoted or learns of its successor.
	IsUnfenced bool
	// Probe asks an instance whether it is the primary and records the answer in the group.
	Probe func(g *registrar.Group, v registrar.View) error
	// Sample asks the primary for its position and records it in the group.
	Sample func(ctx context.Context, g *registrar.Group) error
	// RefreshInstances brings the instances of Groups up to date. After it has returned without an error, they include each one
	// that registered before the call. It is nil if nothing else than the registrar knows the instances.
	RefreshInstances func(ctx context.Context) error
	// Self identifies this VM to others.
	Self string
	// Sealer reaches the VMs that may pass on acknowledgements of a primary which is being replaced, or replace it as well; nil if
	// there are none.
	Sealer Sealer
	// Peers reaches instances through other VMs; nil if there are none.
	Peers PeerCommander
	// DemoteAt is Demote of carrier.Controller over a connection of its own, to the address of an instance whose identity may have
	// changed; nil stands for Controller.
	DemoteAt func(ctx context.Context, t carrier.Target, term uint64) (carrier.InstanceStatus, error)
	// AnswersDirectly reports whether an instance that this VM usually reaches through gateways answers
	// a direct connection. It is nil if there are no gateways.
	AnswersDirectly func(ctx context.Context, v registrar.View) bool
	Rank            func(group string) int // of this VM for the group; the VM of rank 0 acts first
	// Roster returns the roster of a group from the store. It is read if the group assumes that a replica left without this VM seeing
	// it; nil if there are no rosters.
	Roster func(ctx context.Context, group string) (registrar.Roster, error)
	// IsConfigured reports whether the configuration has a group. Instances of other groups are not probed, since nobody
	// asks for them; nil stands for all groups.
	IsConfigured func(group string) bool
	// RegistryState returns the version of the store up to which the registry is known, and the time since the store or
	// a reader last answered; nil if it is not known.
	RegistryState     func() (version uint64, age time.Duration)
	OnInstanceRemoved func(instance string) // called for each instance that was removed from its group
	Observe           func(Event)           // may be nil
}

// Event describes a step of a replacement, for logs and the audit trail.
type Event struct {
	Name     string
	Group    string
	Instance string
	Reason   Reason
	Term     uint64 // that the replacement ends; zero: not known
	Token    uint64
	Command  Command // that Status answers, or Err if it failed
	Via      string  // address of the VM that passed the command on; "": none
	Status   carrier.InstanceStatus
	Report   registrar.Report // of the VMs that have sealed the term (EventTermSealed)
	Basis    *Basis           // of the choice (EventPromoteRequested)
	Took     time.Duration    // time since the replacement began, with all its attempts (EventReplaced, EventFailed)
	Err      error
}

// Command is a control command that ends a term on an instance.
type Command string

// The commands.
const (
	CommandHold   Command = "hold"
	CommandDemote Command = "demote"
)

// Names of events.
const (
	EventReplacementBegun = "replacementBegun"
	EventHeld             = "replicaHeld"
	EventDemoted          = "primaryDemoted"
	EventTermSealed       = "termSealed"         // other VMs were asked to pass on no acknowledgements of the term
	EventNotInEffect      = "commandNotInEffect" // the answer to a command shows that it has not ended the term
	EventPromoteRequested = "promoteOrdered"     // named promoteOrdered outside the process
	EventPromoteSettled   = "promoteSettled"     // the attempt sends no more promote requests
	EventRosterApplied    = "rosterApplied"      // the roster shows that no replica left before this VM knew the group, or Err tells why not
	EventReplaced         = "primaryReplaced"
	EventFailed           = "replacementFailed"
)

// Replacer monitors the groups known to a VM and replaces their primaries when necessary.
type Replacer struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	isReplacing map[string]bool           // by group
	failures    map[string]int            // failed attempts since the group last had no reason for a replacement
	lastProbe   map[string]time.Time      // by instance
	requested   map[string]uint64         // latest term for whose end a promote request was sent, by group
	awaited     map[string]awaitedRestore // by group
	voided      map[string]voidedOrders   // the latest of each group
	endedAt     map[string]time.Duration  // latest time of recordEnd on the registrar's clock, by group
	spareToken  uint64                    // for a replacement while the store is unavailable; zero: none

	rosterReads map[string]rosterRead // by group; accessed by run only
}

// Start returns a running Replacer.
func Start(cfg Config) *Replacer {
	if cfg.Observe == nil {
		cfg.Observe = func(Event) {}
	}
	if cfg.IsConfigured == nil {
		cfg.IsConfigured = func(string) bool { return true }
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replacer{cfg: cfg, cancel: cancel, isReplacing: map[string]bool{}, failures: map[string]int{}, requested: map[string]uint64{}, lastProbe: map[string]time.Time{}, awaited: map[string]awaitedRestore{}, voided: map[string]voidedOrders{}, endedAt: map[string]time.Duration{}, rosterReads: map[string]rosterRead{}}
	r.wg.Go(func() { r.run(ctx) })
	r.wg.Go(func() { r.refillSpareToken(ctx) })
	return r
}

// Close stops the replacer and waits for its goroutines to end.
func (r *Replacer) Close() {
	r.cancel()
	r.wg.Wait()
}

func (r *Replacer) run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, g := range r.cfg.Groups.Groups() {
			for _, id := range g.RemoveMissing() {
				r.cfg.OnInstanceRemoved(id)
			}
			if r.cfg.IsConfigured(g.Name()) {
				r.checkGroup(ctx, g)
			}
		}
	}
}

// checkGroup probes a group whose primary is in doubt, and replaces the primary if this VM has to.
func (r *Replacer) checkGroup(ctx context.Context, g *registrar.Group) {
	h := g.Health()
	r.probePossiblePrimaries(ctx, g, h)
	r.readRosterAhead(ctx, g)
	a := Decide(Evidence{Health: h, Now: time.Now(), Rank: r.cfg.Rank(g.Name())})
	if a.Reason == Healthy {
		r.clearFailures(g.Name())
	}
	if a.Kind == None || !r.beginReplacement(g.Name()) {
		return
	}
	r.wg.Go(func() {
		defer r.endReplacement(g.Name())
		r.replace(ctx, g, a)
	})
}

// probePossiblePrimaries probes all instances while no primary is known, a known primary that has failed,
// and the instance that the registry names instead of the known primary. After the departure of a replica,
// the VMs that replace the primary first learn its position, because they need it if the primary fails next.
func (r *Replacer) probePossiblePrimaries(ctx context.Context, g *registrar.Group, h registrar.Health) {
	switch {
	case !h.Primary.IsKnown():
		for _, v := range g.Views() {
			r.probeIfDue(g, v, searchInterval)
		}
	case h.PrimaryView.Failures > 0:
		r.probeIfDue(g, h.PrimaryView, recheckInterval)
	case g.NeedsDepartureSample() && r.cfg.Rank(g.Name()) <= maxDelayedRank && r.isProbeDue(h.PrimaryView, searchInterval):
		r.wg.Go(func() { _ = r.cfg.Sample(ctx, g) })
	}
	if v, ok := g.View(h.RegistryPrimary); ok {
		r.probeIfDue(g, v, searchInterval)
	}
}

// probeIfDue probes an instance in the background unless its last probe began less than interval ago.
func (r *Replacer) probeIfDue(g *registrar.Group, v registrar.View, interval time.Duration) {
	if r.isProbeDue(v, interval) {
		r.wg.Go(func() { _ = r.cfg.Probe(g, v) })
	}
}

// isProbeDue reports whether the last probe of an instance began at least interval ago. If so, the next one begins now.
func (r *Replacer) isProbeDue(v registrar.View, interval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastProbe[v.ID]) < interval {
		return false
	}
	r.lastProbe[v.ID] = time.Now()
	return true
}

// beginReplacement reports whether no replacement was running for the group, and marks one as running.
func (r *Replacer) beginReplacement(group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReplacing[group] {
		return false
	}
	r.isReplacing[group] = true
	return true
}

func (r *Replacer) endReplacement(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isReplacing[group] = false
}

// replace repeats attempts until the group has another primary, the primary has recovered or replaceTimeout has passed.
func (r *Replacer) replace(ctx context.Context, g *registrar.Group, a Action) {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	start := time.Now()
	old := g.Primary()
	if a.Reason == PrimaryUnreachable && r.answersDirectly(ctx, g, old.Instance) {
		return
	}
	r.cfg.Observe(Event{Name: EventReplacementBegun, Group: g.Name(), Instance: old.Instance, Reason: a.Reason, Term: old.Term})
	for isRetry := false; ctx.Err() == nil; isRetry = true {
		current := g.Primary()
		if current.IsKnown() && (current.Instance != old.Instance || current.Term > old.Term) {
			r.cfg.Observe(Event{Name: EventReplaced, Group: g.Name(), Instance: current.Instance, Reason: a.Reason, Term: old.Term, Took: time.Since(start)})
			return
		}
		if current.Term > old.Term || a.Kind == Replace && Decide(Evidence{Health: g.Health(), Now: time.Now()}).Kind == None {
			return // another VM has replaced the primary, or the primary has recovered
		}
		if a.Reason == OrderAbandoned && Decide(Evidence{Health: g.Health(), Now: time.Now()}).Reason != OrderAbandoned {
			return // settled, or the primary has failed: a replacement for that reason begins
		}
		if _, ok := g.View(old.Instance); !ok && a.Kind == Switch {
			return // the leaving primary has left before it was demoted: a replacement for that reason begins
		}
		if v, ok := g.View(old.Instance); ok && isRetry && (a.Reason == PrimaryUnreachable || a.Reason == WritesStalled) {
			err := r.cfg.Probe(g, v)
			switch {
			case err == nil && a.Reason == PrimaryUnreachable:
				return // reachable again, e.g. after a network partition: a replacement would only interrupt service
			case classifier.Is(err, classifier.NoInstance):
				a.Reason = PrimaryUnreachable // so that other VMs are asked for a path to it
			}
		}
		if err := r.attempt(ctx, g, a, old); err != nil && !errors.Is(err, errOrdersAwaited) {
			r.cfg.Observe(Event{Name: EventFailed, Group: g.Name(), Instance: old.Instance, Reason: a.Reason, Term: old.Term, Err: err, Took: time.Since(start)})
			r.backOff(ctx, g)
		}
	}
}

// backOff waits after a failed attempt, at most until the instances or the primary of the group change.
func (r *Replacer) backOff(ctx context.Context, g *registrar.Group) {
	r.mu.Lock()
	delay := retryDelay(r.failures[g.Name()])
	r.failures[g.Name()]++
	r.mu.Unlock()
	t := time.NewTimer(delay/2 + rand.N(delay))
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.Changed():
	case <-ctx.Done():
	}
}

// retryDelay returns the mean pause after an attempt that follows a number of failed ones.
func retryDelay(failures int) time.Duration {
	const maxDoublings = 10 // keeps the shift from overflowing
	return min(minRetryDelay<<min(failures, maxDoublings), maxRetryDelay)
}

func (r *Replacer) clearFailures(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failures, group)
}

// answersDirectly reports whether the primary answers a connection that does not lead through a
// gateway. If so, the failures recorded against the primary are cleared.
func (r *Replacer) answersDirectly(ctx context.Context, g *registrar.Group, id string) bool {
	v, ok := g.View(id)
	if !ok || r.cfg.AnswersDirectly == nil || !r.cfg.AnswersDirectly(ctx, v) {
		return false
	}
	g.RecordAnswer(id, tokenizer.Position{}, 0)
	return true
}

// attempt takes a token, ends the old term on the instances, chooses a candidate and requests its promotion.
func (r *Replacer) attempt(ctx context.Context, g *registrar.Group, a Action, old registrar.Primary) error {
	path := r.startPathSearch(ctx, g, a, old)
	isReplaced, err := r.prepare(ctx, g, a, &old)
	if isReplaced || err != nil {
		return err
	}
	claim, isSpare, err := r.acquireToken(ctx, g.Name(), old.Term)
	if err != nil {
		return err
	}
	if claim.MayHaveLostChoice {
		if err := r.awaitLostChoice(ctx, g, old, claim); err != nil {
			return err
		}
	}
	e := ending{group: g, action: a, old: old, path: path, earlierChoice: claim.ChosenInstance, token: fencingToken(old.Term, claim.FencingToken, !isSpare), isFirstClaim: claim.IsFirst}
	if a.Reason == OrderAbandoned {
		return r.endAbandonedOrders(ctx, e, claim.FencingToken, isSpare)
	}
	b := r.newBasis(isSpare, claim.ChosenInstance)
	seal := registrar.Seal{Term: old.Term, Holder: r.cfg.Self, IsSpare: isSpare}
	isOrdered := false
	defer func() {
		if !r.hasRequested(g.Name(), old.Term) {
			r.unseal(ctx, g, seal)
		}
		if isSpare && !isOrdered {
			r.returnSpareToken(claim.FencingToken)
		}
	}()
	candidates, areHeld, err := r.endTerm(ctx, e, &seal, &b)
	if err != nil {
		if g.Primary().Term == old.Term+1 {
			g.SuggestPrimary(claim.ChosenInstance) // it may have crashed before any VM saw it lead
		}
		return err
	}
	target, err := choose(candidates, claim.ChosenInstance)
	if err != nil {
		return err
	}
	if isSpare {
		if err := r.checkStoreIsOut(ctx, g.Name(), old.Term); err != nil {
			return err
		}
	}
	if err := r.checkEarlierOrders(ctx, e, target, earlierOrders(g, e, claim, b.OpenOrders)); err != nil {
		return err
	}
	b.recordChoice(g, candidates, target)
	p := promotion{group: g, action: a, basis: b, term: old.Term, target: target, received: furthestReceived(candidates), number: claim.FencingToken, isClaimed: !isSpare, isFirstChoice: claim.ChosenInstance == "", isFirstOrder: !r.hasRequested(g.Name(), old.Term)}
	if p.oldPrimary = old.Instance; p.oldPrimary == "" {
		p.oldPrimary, _ = g.FormerPrimary(old.Term)
	}
	if !areHeld {
		seal.StopsAcks, seal.After = true, b.Demoted
	}
	seal.Order = registrar.Order{Instance: target, Token: e.token}
	if err := r.settleChoice(ctx, e, &p, areHeld, seal); err != nil {
		return err
	}
	isOrdered = true
	r.recordRequest(g.Name(), old.Term)
	return r.requestPromotion(ctx, p, seal)
}

// prepare checks that a replacement is needed and may succeed, and learns the term that it ends. It changes nothing on the
// instances.
func (r *Replacer) prepare(ctx context.Context, g *registrar.Group, a Action, old *registrar.Primary) (isReplaced bool, err error) {
	isReplaced, unreachableErr := r.probeOthers(g, *old)
	if isReplaced {
		return true, nil
	}
	if v, ok := g.View(old.Instance); a.Kind == Replace && unreachableErr != nil && ok && classifier.Is(r.cfg.Probe(g, v), classifier.NoInstance) {
		return false, unreachableErr // endTerm would fail after it had held the reachable replicas to no purpose
	}
	if old.Term == 0 {
		if old.Term = r.discoverTerm(ctx, g); old.Term == 0 {
			return false, classifier.New(classifier.NoPrimary, "cannot replace the primary of group %s: no instance has reported a term", g.Name())
		}
	}
	if a.Reason == OrderAbandoned {
		statuses, _ := r.statusOfAll(ctx, g) // the promotion may have taken effect
		for id, s := range statuses {
			g.RecordStatus(id, s)
		}
		if g.Primary().Term > old.Term {
			return true, nil
		}
	}
	if a.Reason == WritesStalled {
		return false, r.checkStallCanEnd(ctx, g, old.Instance, registrar.Report{IsComplete: true}) // what the VMs report is checked after the seal
	}
	return false, nil
}

// maxSealAge is the age of a seal, or of a demotion, up to which a promote request is sent. It is less than the time for which a seal lasts: a VM that is
// suspended after it has compared the instances must not go on.
const maxSealAge = 1700 * time.Millisecond

// recordEnd records that a term has just been sealed, or its primary demoted.
func (r *Replacer) recordEnd(g *registrar.Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedAt[g.Name()] = g.Now()
}

// endAge returns the time since recordEnd, also if the VM was suspended meanwhile.
func (r *Replacer) endAge(g *registrar.Group) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return g.Now() - r.endedAt[g.Name()]
}

// settleChoice records the choice, and tells other VMs of the promote request that follows. After a demotion, it meanwhile holds the replicas
// and stops the acknowledgements of later commits, in case the demoted primary leads again before the promotion is carried out.
func (r *Replacer) settleChoice(ctx context.Context, e ending, p *promotion, areHeld bool, seal registrar.Seal) error {
	awaitSeal, awaitHolds := r.startSeal(ctx, p.group, seal), noWait
	if !areHeld && p.target != p.oldPrimary {
		awaitHolds = r.holdOthers(ctx, *p)
	}
	if p.isClaimed {
		if err := r.record(ctx, p); err != nil {
			_, _ = awaitSeal() // it must not arrive after its end
			return err
		}
	}
	err := awaitHolds()
	report, sealErr := awaitSeal()
	if err = cmp.Or(err, sealErr); err == nil {
		err = r.checkEarlierOrders(ctx, e, p.target, report.Orders)
	}
	if age := r.endAge(p.group); err == nil && age > maxSealAge {
		err = classifier.New(classifier.NotReady, "the instances were compared %s ago: the VM was suspended, or the store was slow", age)
	}
	if err != nil && p.isClaimed && p.isFirstChoice {
		_ = r.cfg.Claims.Withdraw(ctx, p.group.Name(), p.term, p.number) // no request was sent; otherwise the choice stands, which only delays
	}
	return err
}

func (r *Replacer) recordRequest(group string, term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requested[group] = term
}

// forgetRequest records that the platform has refused the only promote request that ends a term.
func (r *Replacer) forgetRequest(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requested, group)
}

// hasRequested reports whether this VM has sent a promote request that ends a term. It may still be carried out.
func (r *Replacer) hasRequested(group string, term uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requested[group] == term
}

// promotion is the promotion of an instance in place of the primary of a term.
type promotion struct {
	group     *registrar.Group
	action    Action
	basis     Basis
	term      uint64
	target    string
	received  tokenizer.Position // the newest entry that the target holds
	number    uint64             // of the claim or of the spare token
	isClaimed bool

	oldPrimary    string // "" if it is not known
	isFirstChoice bool   // no earlier attempt at the term chose an instance
	isFirstOrder  bool   // this VM has sent no promote request at the end of the term before
}

// record records the choice with the claim, which gives the claim a new number. Where tokens are checked, only a
// conflict is an error: without the store, no other VM can learn of the choice or claim the group.
func (r *Replacer) record(ctx context.Context, p *promotion) error {
	number, err := r.cfg.Claims.Record(ctx, p.group.Name(), p.term, p.number, p.target)
	switch {
	case err == nil:
		p.number = number
	case r.cfg.IsUnfenced || classifier.Is(err, classifier.Conflict):
		return err
	}
	return nil
}

// renewClaim records the choice again. A store that does not answer must not keep the promote request from being repeated.
func (r *Replacer) renewClaim(ctx context.Context, p *promotion) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return r.record(ctx, p)
}

// probeOthers probes the instances other than the old primary and reports whether one of them is the
// primary already, as after a replacement by another VM: holding its replicas would block the new
// primary's writes. The error is that of an instance that is unreachable, if there is one.
func (r *Replacer) probeOthers(g *registrar.Group, old registrar.Primary) (isReplaced bool, unreachableErr error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, v := range g.Views() {
		if v.ID == old.Instance {
			continue
		}
		wg.Go(func() {
			if err := r.cfg.Probe(g, v); classifier.Is(err, classifier.NoInstance) {
				mu.Lock()
				defer mu.Unlock()
				unreachableErr = err
			}
		})
	}
	wg.Wait()
	l := g.Primary()
	return l.IsKnown() && (l.Instance != old.Instance || l.Term > old.Term), unreachableErr
}

// requestPromotion sends the promote request that ends a term, and repeats it until the group has a new
// primary, the platform refuses the request or ctx ends.
func (r *Replacer) requestPromotion(ctx context.Context, p promotion, seal registrar.Seal) error {
	g := p.group
	settled := func(err error) error {
		r.cfg.Observe(Event{Name: EventPromoteSettled, Group: g.Name(), Instance: p.target, Reason: p.action.Reason, Token: p.token(), Err: err})
		return err
	}
	sentCtx, stop := context.WithCancel(ctx)
	defer stop()
	if p.oldPrimary != p.target {
		r.wg.Go(func() { r.demoteOnReturn(sentCtx, p) })
	}
	r.wg.Go(func() { r.keepSealed(sentCtx, g, seal) })
	isUnanswered, mayTakeEffect := false, false
	for isRetry := false; ctx.Err() == nil; isRetry = true {
		if isRetry && p.isClaimed {
			if err := r.renewClaim(ctx, &p); err != nil {
				return settled(err)
			}
		}
		err := r.promote(ctx, g.Name(), p.target, p.token())
		r.cfg.Observe(Event{Name: EventPromoteRequested, Group: g.Name(), Instance: p.target, Reason: p.action.Reason, Term: p.term, Token: p.token(), Basis: &p.basis, Err: err})
		if classifier.Is(err, classifier.Conflict) {
			if mayTakeEffect {
				return settled(err)
			}
			if p.isClaimed && p.isFirstChoice && !r.cfg.IsUnfenced {
				_ = r.cfg.Claims.Withdraw(ctx, g.Name(), p.term, p.number) // otherwise the choice stands, which only delays
			}
			if p.isFirstOrder {
				r.forgetRequest(g.Name())
			}
			return settled(err)
		}
		isUnanswered, mayTakeEffect = isUnanswered || err != nil, true
		if r.awaitNewPrimary(ctx, g, p.target, p.term, err == nil) {
			if l := g.Primary(); isUnanswered && l.Instance != p.target {
				r.voidOwnRequest(ctx, p)
			}
			if !isUnanswered {
				_ = r.cfg.Claims.Settle(ctx, g.Name(), p.term, p.number, p.target) // otherwise the claim stays open, which only delays
			}
			return settled(nil)
		}
	}
	return settled(ctx.Err())
}

// voidOwnRequest shows the platform a higher token than that of a promote request that got no answer, since another instance leads the next term.
func (r *Replacer) voidOwnRequest(ctx context.Context, p promotion) {
	if !p.isClaimed || r.cfg.IsUnfenced || r.renewClaim(ctx, &p) != nil {
		return
	}
	_ = r.fence(ctx, p.group.Name(), p.token()) // otherwise the request may be carried out for a while
}

// token returns the fencing token of the promote request.
func (p promotion) token() uint64 { return fencingToken(p.term, p.number, p.isClaimed) }

func (r *Replacer) promote(ctx context.Context, group, target string, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	return r.cfg.Promote(ctx, group, target, token)
}

// awaitNewPrimary probes the target until the group has a known primary of a later term, and reports
// whether it has. It waits longer if the platform accepted the promote request.
func (r *Replacer) awaitNewPrimary(ctx context.Context, g *registrar.Group, target string, term uint64, isAccepted bool) bool {
	deadline := time.Now().Add(200 * time.Millisecond)
	if isAccepted {
		deadline = time.Now().Add(2 * time.Second)
	}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if l := g.Primary(); l.Term > term && l.IsKnown() {
			return true
		}
		if v, ok := g.View(target); ok {
			_ = r.cfg.Probe(g, v)
		}
		sleeper.Sleep(ctx, 25*time.Millisecond)
	}
	return false
}

// acquireToken claims the group. If the claim fails for another reason than a conflict, as while the
// store is unavailable, it returns the spare token instead, which can be used only once and only where tokens are checked.
func (r *Replacer) acquireToken(ctx context.Context, group string, term uint64) (t claimer.ClaimResult, isSpare bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	t, err = r.cfg.Claims.Claim(ctx, group, term)
	if err == nil || classifier.Is(err, classifier.Conflict) {
		return t, false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.IsUnfenced || r.spareToken == 0 {
		return t, false, err
	}
	t, r.spareToken = claimer.ClaimResult{FencingToken: r.spareToken}, 0
	return t, true, nil
}

// lastClaimTimeout bounds the claim before a promote request with a spare token.
const lastClaimTimeout = 100 * time.Millisecond

// checkStoreIsOut returns an error if the store answers by now, before a promote request with a spare token: either another VM has claimed the term
// meanwhile, or the next attempt of this one has the claim, with which its choice is recorded.
func (r *Replacer) checkStoreIsOut(ctx context.Context, group string, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, lastClaimTimeout)
	defer cancel()
	_, err := r.cfg.Claims.Claim(ctx, group, term)
	switch {
	case err == nil:
		return classifier.New(classifier.NotReady, "group %s: the store answers again, so that no spare token is used", group)
	case classifier.Is(err, classifier.Conflict):
		return err
	}
	return nil
}

// returnSpareToken keeps a spare token for which no promote request was sent, unless there is another one by now.
func (r *Replacer) returnSpareToken(token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spareToken == 0 {
		r.spareToken = token
	}
}

func (r *Replacer) groupNames() []string {
	groups := r.cfg.Groups.Groups()
	names := make([]string, len(groups))
	for i, g := range groups {
		names[i] = g.Name()
	}
	return names
}

// refillSpareToken fetches a spare token whenever there is none, so that one is at hand when the store fails. The first one
// may also enter the VM in the list of VMs.
func (r *Replacer) refillSpareToken(ctx context.Context) {
	pause := time.Duration(0)
	for n := 0; sleeper.Sleep(ctx, pause); n++ {
		if pause = refillInterval; n < firstRefillChecks {
			pause = firstRefillInterval
		}
		r.mu.Lock()
		isMissing := r.spareToken == 0
		r.mu.Unlock()
		if !isMissing || !r.cfg.Tokens.IsNeeded(r.groupNames()) {
			continue
		}
		t, err := r.cfg.Tokens.Next(ctx)
		if err != nil {
			pause = refillInterval
			continue
		}
		r.mu.Lock()
		r.spareToken = t
		r.mu.Unlock()
	}
}
