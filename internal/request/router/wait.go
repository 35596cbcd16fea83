package router

import (
	"time"

	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/session/tokenizer"
)

// minWait is the shortest wait, for a replica that is overdue.
const minWait = time.Millisecond

// replicaWait returns how long to wait for the replica that is expected to
// qualify first; zero when none is expected to in time.
func replicaWait(v *sampler.View, q *Query) time.Duration {
	left := q.MaxWait - q.Now.Sub(q.Arrived)
	if left <= 0 || v.Primary == "" {
		return 0
	}
	target, since := target(v, q)
	for k := range v.Instances {
		i := &v.Instances[k]
		if isUsableReplica(v, q, i) && isFollowing(v, i) && expected(q, i, target, since) <= left {
			return left
		}
	}
	return 0
}

// isFollowing reports whether a replica receives the entries of the confirmed term.
func isFollowing(v *sampler.View, i *sampler.InstanceView) bool {
	return i.Status.Connected && i.Status.FenceTerm == v.Term
}

// expected estimates the time until a replica has applied a position that was
// first seen at since: one lag after that.
func expected(q *Query, i *sampler.InstanceView, target tokenizer.Position, since time.Time) time.Duration {
	if i.Status.Applied.Covers(target) {
		return minWait // only the next round is missing
	}
	return max(since.Add(i.Lag).Sub(q.Now), minWait)
}

// target returns the position that a replica must have applied to qualify, and
// the start of the first confirmed round that shows it. A floor that no round
// covers yet comes from another gateway and may be as new as the query.
func target(v *sampler.View, q *Query) (tokenizer.Position, time.Time) {
	if !v.Confirmed.Covers(q.Floor) {
		return q.Floor, q.Arrived
	}
	p, since := v.Confirmed, v.ConfirmedSince
	limit := freshLimit(q)
	for k := len(v.Rounds) - 1; k >= 0; k-- {
		r := &v.Rounds[k]
		if !r.Position.Covers(q.Floor) || (q.Bounded && r.Last.Before(limit)) {
			break
		}
		p, since = r.Position, r.First
	}
	return p, since
}
