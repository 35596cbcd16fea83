package router

import (
	"time"

	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/session/tokenizer"
)

// minCatchUp is the lower limit of a catch-up estimate. It applies to a replica that
// should have caught up already or that lacks only a more recent confirmed round.
const minCatchUp = time.Millisecond

// replicaWait returns the time that is left to wait for a replica if one is
// expected to qualify within that time, and zero otherwise.
func replicaWait(v *sampler.View, q *Query) time.Duration {
	remaining := q.MaxWait - q.Now.Sub(q.ArrivedAt)
	if remaining <= 0 || v.Primary == "" {
		return 0
	}
	required, since := requiredPosition(v, q)
	for k := range v.Instances {
		i := &v.Instances[k]
		if isReadCandidate(v, q, i) && isReplicating(v, i) && estimateCatchUp(q, i, required, since) <= remaining {
			return remaining
		}
	}
	return 0
}

// isReplicating reports whether a replica receives new log entries: it is connected
// to its upstream and its fence term is the confirmed term.
func isReplicating(v *sampler.View, i *sampler.InstanceView) bool {
	return i.Status.Connected && i.Status.FenceTerm == v.Term
}

// estimateCatchUp estimates how long a replica still needs to apply a position that
// was first seen at since, on the assumption that it does so one lag after since.
func estimateCatchUp(q *Query, i *sampler.InstanceView, required tokenizer.Position, since time.Time) time.Duration {
	if i.Status.Applied.Covers(required) {
		return minCatchUp // only a more recent confirmed round is missing
	}
	return max(since.Add(i.Lag).Sub(q.Now), minCatchUp)
}

// requiredPosition returns the lowest known position that makes a replica qualify,
// and the start of the first confirmed round that showed it. A floor that no
// confirmed round has reached was set by another gateway. It may be as recent as
// the query itself, so its age is counted from the arrival of the query.
func requiredPosition(v *sampler.View, q *Query) (tokenizer.Position, time.Time) {
	if !v.Confirmed.Covers(q.Floor) {
		return q.Floor, q.ArrivedAt
	}
	p, since := v.Confirmed, v.ConfirmedSince
	cutoff := freshnessCutoff(q)
	for k := len(v.EarlierRounds) - 1; k >= 0; k-- {
		r := &v.EarlierRounds[k]
		if !r.Position.Covers(q.Floor) || (q.HasMaxStaleness && r.LastStart.Before(cutoff)) {
			break
		}
		p, since = r.Position, r.FirstStart
	}
	return p, since
}
