package replacer

import (
	"context"
	"time"
)

const (
	// lateRequestLifetime is how long after its call a promote request without an answer may still be carried out.
	lateRequestLifetime = 15 * time.Second
	// fenceAttempts is how often the platform is shown a token in vain before an attempt fails.
	fenceAttempts = 3
)

// fenceLateRequests shows the platform the token of an attempt before a primary that has led for a short time only is demoted. A
// request for its own promotion may be carried out late, or be repeated by a VM that does not reach it, and make it lead again
// after its demotion. The platform refuses these once it has seen the token. Without an answer, the primary is not demoted.
func (r *Replacer) fenceLateRequests(ctx context.Context, e ending) error {
	if r.cfg.Fence == nil || r.cfg.IsUnfenced || time.Since(e.old.Since) > lateRequestLifetime {
		return nil
	}
	var err error
	for range fenceAttempts {
		callCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
		err = r.cfg.Fence(callCtx, e.group.Name(), e.token)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}
