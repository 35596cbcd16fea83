package replacer

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/claimer"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/statement/carrier"
)

const (
	// fenceAttempts is how often the platform is shown a token in vain before an attempt fails.
	fenceAttempts = 3
	// promotionTime is longer than a promotion takes from its request to its effect, which is up to 1 s.
	promotionTime = 1500 * time.Millisecond
	// EntriesBackTime is the time after a restore until the instances have written their registry entries again, about 2 s.
	EntriesBackTime = 2200 * time.Millisecond
	// promotionInterval is the time between two searches for an instance that has been promoted.
	promotionInterval = 100 * time.Millisecond
)

// fenceLateRequests shows the platform the token of an attempt before a primary that has led for a short time only is demoted. A
// request for its own promotion may be carried out late, or be repeated by a VM that does not reach it, and make it lead again
// after its demotion. The platform refuses these once it has seen the token. Without an answer, the primary is not demoted.
func (r *Replacer) fenceLateRequests(ctx context.Context, e ending) error {
	if r.cfg.IsUnfenced || time.Since(e.old.Since) > registrar.OrderLifetime {
		return nil
	}
	return r.fence(ctx, e.group.Name(), e.token)
}

// fence shows the platform a token, so that it refuses lower ones.
func (r *Replacer) fence(ctx context.Context, group string, token uint64) error {
	if r.cfg.Fence == nil {
		return nil
	}
	var err error
	for range fenceAttempts {
		callCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
		err = r.cfg.Fence(callCtx, group, token)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}

// awaitedRestore is a restore whose lost choices a VM has waited for, for the end of one term of a group.
type awaitedRestore struct {
	term       uint64
	restoredAt time.Time
}

// errOrdersAwaited ends an attempt after its wait for promotions that may have been accepted. By then, the primary may have recovered.
var errOrdersAwaited = classifier.New(classifier.NotReady, "earlier promote requests have had time to take effect")

// awaitLostChoice lets a promotion take effect whose choice the restored store may have lost. Once the platform has seen the token,
// it accepts no further request for it. The wait lasts at least until the registry lists all replicas again, which are compared
// afterwards. It takes place once for a term, and then returns errOrdersAwaited, or earlier once the group has a new primary.
func (r *Replacer) awaitLostChoice(ctx context.Context, g *registrar.Group, old registrar.Primary, c claimer.ClaimResult) error {
	restore := awaitedRestore{old.Term, c.RestoredAt}
	r.mu.Lock()
	isAwaited := r.awaited[g.Name()] == restore
	r.mu.Unlock()
	if isAwaited {
		return nil
	}
	if err := r.fence(ctx, g.Name(), fencingToken(old.Term, c.FencingToken, true)); err != nil {
		return err
	}
	end := time.Now().Add(promotionTime)
	if entriesBackAt := c.RestoredAt.Add(EntriesBackTime); entriesBackAt.After(end) {
		end = entriesBackAt
	}
	if isReplaced, err := r.awaitPromotions(ctx, g, old, end); isReplaced || err != nil {
		return cmp.Or(err, errOrdersAwaited)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaited[g.Name()] = restore
	return errOrdersAwaited
}

// awaitPromotions waits until a time, or until the group has a new primary.
func (r *Replacer) awaitPromotions(ctx context.Context, g *registrar.Group, old registrar.Primary, end time.Time) (isReplaced bool, err error) {
	for time.Now().Before(end) {
		if !sleeper.Sleep(ctx, promotionInterval) {
			return false, ctx.Err()
		}
		if isReplaced, _ := r.probeOthers(g, old); isReplaced {
			return true, nil
		}
	}
	return false, nil
}

// voidedOrders are the promote requests at the end of a term with tokens up to one that the platform has seen. It refuses them, and those that
// it had accepted before have had time to take effect.
type voidedOrders struct {
	term, token uint64
}

// earlierOrders returns the promote requests at the end of a term that may still be carried out, as far as this VM knows, the claim tells
// or other VMs have reported.
func earlierOrders(g *registrar.Group, e ending, c claimer.ClaimResult, reported []registrar.Order) []registrar.Order {
	orders := append(g.OpenOrders(e.old.Term), reported...)
	if _, isPresent := g.View(c.ChosenInstance); isPresent {
		orders = append(orders, registrar.Order{Instance: c.ChosenInstance, Token: fencingToken(e.old.Term, c.ChoiceNumber, true)})
	}
	return orders
}

// checkEarlierOrders returns an error while a promote request of an earlier attempt may be carried out that is for another instance than the
// chosen one: the platform may carry out both, one after the other, and the second one would drop the commits of the first one's term. If the
// token of this attempt is higher, and the VM that sent the request does not go on, the platform is shown the token first.
func (r *Replacer) checkEarlierOrders(ctx context.Context, e ending, target string, orders []registrar.Order) error {
	g, term := e.group, e.old.Term
	r.mu.Lock()
	void := r.voided[g.Name()]
	r.mu.Unlock()
	k := slices.IndexFunc(orders, func(o registrar.Order) bool {
		return o.Instance != target && (void.term != term || o.Token > void.token)
	})
	if k < 0 {
		return nil
	}
	isLater := slices.ContainsFunc(orders, func(o registrar.Order) bool { return o.Instance != target && o.Token > e.token })
	if isLater || r.cfg.IsUnfenced || r.cfg.Fence == nil || g.IsSealedByOther(r.cfg.Self, term) {
		return classifier.New(classifier.Conflict, "instance %s may still be promoted by an earlier attempt, and this one has chosen instance %s", orders[k].Instance, target)
	}
	return r.voidOrders(ctx, e)
}

// voidOrders shows the platform the token of an attempt, so that it refuses earlier promote requests at the end of the term, waits until one
// that it had accepted has taken effect, and checks that none did: at most one instance may lead the next term unseen, for which no commit can be
// acknowledged without another one. It returns errOrdersAwaited then.
func (r *Replacer) voidOrders(ctx context.Context, e ending) error {
	if err := r.fence(ctx, e.group.Name(), e.token); err != nil {
		return err
	}
	if isReplaced, err := r.awaitPromotions(ctx, e.group, e.old, time.Now().Add(promotionTime)); isReplaced || err != nil {
		return cmp.Or(err, errOrdersAwaited)
	}
	statuses, failed := r.statusOfAll(ctx, e.group)
	for id, s := range statuses {
		if isInLaterTerm(s, e.old.Term+1) {
			return r.recordLaterTerm(ctx, e.group, id, s)
		}
	}
	if len(failed) > 1 {
		return classifier.Wrap(classifier.Conflict, errors.Join(slices.Collect(maps.Values(failed))...), "an earlier promote request at the end of term %d of group %s may have been carried out: %d instances do not answer", e.old.Term, e.group.Name(), len(failed))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.voided[e.group.Name()] = voidedOrders{e.old.Term, e.token}
	return errOrdersAwaited
}

// endAbandonedOrders ends the seals of a term whose VMs have stopped working at its end, once their promote requests cannot be carried out any more.
// The primary goes on.
func (r *Replacer) endAbandonedOrders(ctx context.Context, e ending, number uint64, isSpare bool) error {
	g, term := e.group, e.old.Term
	if isSpare {
		r.returnSpareToken(number)
	}
	if isSpare || r.cfg.IsUnfenced || r.cfg.Fence == nil {
		return classifier.New(classifier.PlatformUnavailable, "a promote request at the end of term %d of group %s may still be carried out", term, g.Name())
	}
	err := r.voidOrders(ctx, e)
	r.mu.Lock()
	isVoid := r.voided[g.Name()] == voidedOrders{term, e.token}
	r.mu.Unlock()
	if !isVoid {
		return err
	}
	r.forgetRequest(g.Name())
	_ = r.cfg.Claims.Withdraw(ctx, g.Name(), term, number) // otherwise the choice stands, which only delays
	for _, s := range g.OpenSeals(term) {
		r.unseal(ctx, g, s)
	}
	return err
}

// begunTimeout bounds the wait for the states of the replicas before a term is ended.
const begunTimeout = 50 * time.Millisecond

// hasBegun reports whether another VM has begun to end a term, since a replica is held. If no VM had claimed the term, that one has a spare token,
// so that its choice is not recorded, and a promotion that it has requested may be about to take effect.
func (r *Replacer) hasBegun(ctx context.Context, e ending) bool {
	if r.cfg.IsUnfenced || r.cfg.Fence == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, begunTimeout)
	defer cancel()
	views := e.group.Views()
	answers := make(chan bool, len(views))
	for _, v := range views {
		r.wg.Go(func() {
			s, err := r.cfg.Controller.Status(ctx, registrar.NewTarget(v.Instance))
			answers <- err == nil && s.Term == e.old.Term && s.HoldTerm > e.old.Term
		})
	}
	for range views {
		select {
		case hasBegun := <-answers:
			if hasBegun {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// isDemoted reports whether another VM has demoted the primary of a term, which tells the same as hasBegun.
func (r *Replacer) isDemoted(ctx context.Context, e ending, v registrar.View, status func(context.Context, carrier.Target) (carrier.InstanceStatus, error)) bool {
	if r.cfg.IsUnfenced || r.cfg.Fence == nil {
		return false
	}
	s, err := r.callWithRetry(ctx, v, status)
	return err == nil && s.Term == e.old.Term && !s.IsPrimary
}
