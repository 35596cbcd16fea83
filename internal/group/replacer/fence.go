package replacer

import (
	"context"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/claimer"
	"parsleyscale/internal/group/registrar"
)

const (
	// lateRequestLifetime is how long after its call a promote request without an answer may still be carried out.
	lateRequestLifetime = 15 * time.Second
	// fenceAttempts is how often the platform is shown a token in vain before an attempt fails.
	fenceAttempts = 3
	// lostChoiceWait is longer than a promotion takes from its request to its effect, which is up to 1 s.
	lostChoiceWait = 1500 * time.Millisecond
	// EntriesBackTime is the time after a restore until the instances have written their registry entries again, about 2 s.
	EntriesBackTime = 2200 * time.Millisecond
	// lostChoiceInterval is the time between two searches for the instance of a lost choice.
	lostChoiceInterval = 100 * time.Millisecond
)

// fenceLateRequests shows the platform the token of an attempt before a primary that has led for a short time only is demoted. A
// request for its own promotion may be carried out late, or be repeated by a VM that does not reach it, and make it lead again
// after its demotion. The platform refuses these once it has seen the token. Without an answer, the primary is not demoted.
func (r *Replacer) fenceLateRequests(ctx context.Context, e ending) error {
	if r.cfg.IsUnfenced || time.Since(e.old.Since) > lateRequestLifetime {
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

// errRestoreAwaited ends an attempt after its wait for a lost choice. By then, the primary may have recovered.
var errRestoreAwaited = classifier.New(classifier.NotReady, "the store was restored; promotions from before have had time to take effect")

// awaitLostChoice lets a promotion take effect whose choice the restored store may have lost. Once the platform has seen the token,
// it accepts no further request for it. The wait lasts at least until the registry lists all replicas again, which are compared
// afterwards. It takes place once for a term, and then returns errRestoreAwaited, or earlier once the group has a new primary.
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
	end := time.Now().Add(lostChoiceWait)
	if entriesBackAt := c.RestoredAt.Add(EntriesBackTime); entriesBackAt.After(end) {
		end = entriesBackAt
	}
	for time.Now().Before(end) {
		if !sleeper.Sleep(ctx, lostChoiceInterval) {
			return ctx.Err()
		}
		if isReplaced, _ := r.probeOthers(g, old); isReplaced {
			return errRestoreAwaited
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaited[g.Name()] = restore
	return errRestoreAwaited
}
