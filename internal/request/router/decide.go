package router

import (
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/sheet/parser"
)

// replicaReasons holds the reason for choosing a replica in each locality tier, indexed by tier; see localityTier.
var replicaReasons = [...]Reason{ReplicaDataCentre, ReplicaRegion, ReplicaRemote}

// Decide chooses the instance for a unit of work. If there is none yet, it
// returns a wait or an error with a kind (package classifier) instead.
func Decide(view sampler.View, query Query) Decision {
	v, q := &view, &query
	q.setDefaults()
	if !q.Class.IsRead() {
		return decideWrite(v, q)
	}
	if d, ok := chooseReplica(v, q); ok {
		return d
	}
	if wait := replicaWait(v, q); wait > 0 {
		return Decision{Reason: WaitReplica, Wait: wait}
	}
	return decidePrimary(v, q)
}

// decideWrite sends a write to the confirmed primary, unless the primary has already failed this unit.
func decideWrite(v *sampler.View, q *Query) Decision {
	if v.Primary == "" || slices.Contains(q.Exclude, v.Primary) {
		return Decision{Reason: NoPrimary, Err: classifier.New(classifier.NoPrimary, "database %q: no confirmed primary is available for the write", v.Database)}
	}
	return Decision{Instance: v.Primary, Role: connector.RolePrimary, Reason: WritePrimary}
}

// chooseReplica returns a decision for one of the qualifying replicas in the
// nearest locality tier that has any. The query's hash selects among them.
func chooseReplica(v *sampler.View, q *Query) (Decision, bool) {
	var counts [len(replicaReasons)]int
	for k := range v.Instances {
		if i := &v.Instances[k]; isReadCandidate(v, q, i) && qualifies(q, i) {
			counts[localityTier(q, i)]++
		}
	}
	for tier, n := range counts {
		if n > 0 {
			i := qualifyingReplica(v, q, tier, q.Hash%uint64(n))
			return Decision{Instance: i.Instance.Name, Role: i.Status.Role, Reason: replicaReasons[tier]}, true
		}
	}
	return Decision{}, false
}

// qualifyingReplica returns the qualifying replica with index n, counted from zero, in a locality tier.
func qualifyingReplica(v *sampler.View, q *Query, tier int, n uint64) *sampler.InstanceView {
	for k := range v.Instances {
		i := &v.Instances[k]
		if !isReadCandidate(v, q, i) || !qualifies(q, i) || localityTier(q, i) != tier {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return nil
}

// isReadCandidate reports whether an instance other than the confirmed primary
// may serve reads. A primary that is not confirmed may have been replaced. It may
// still serve reads that accept staleness, because its staleness is bounded in the
// same way as that of a replica: by the position that it had applied in a confirmed round.
func isReadCandidate(v *sampler.View, q *Query, i *sampler.InstanceView) bool {
	if i.Instance.Name == v.Primary || !isUsable(q, i) {
		return false
	}
	return i.Status.Role == connector.RoleReplica || q.HasMaxStaleness && q.MaxStaleness > 0
}

// isUsable reports whether an instance is reachable, is not leaving the group and has not failed this unit.
func isUsable(q *Query, i *sampler.InstanceView) bool {
	return i.Reachable && i.Instance.State != parser.Leaving && !slices.Contains(q.Exclude, i.Instance.Name)
}

// qualifies reports whether an instance has applied the floor and, for a read with a staleness bound, is fresh enough.
func qualifies(q *Query, i *sampler.InstanceView) bool {
	return i.Status.Applied.Covers(q.Floor) && (!q.HasMaxStaleness || !i.FreshAsOf.Before(freshnessCutoff(q)))
}

// freshnessCutoff returns the earliest FreshAsOf time of an instance that satisfies a
// read with a staleness bound. It is never later than the arrival of the read: data that is fresh as
// of the arrival contains every write that was acknowledged before it, which is all
// that a staleness bound of zero requires.
func freshnessCutoff(q *Query) time.Time {
	cutoff := q.Now.Add(-q.MaxStaleness)
	if cutoff.After(q.ArrivedAt) {
		return q.ArrivedAt
	}
	return cutoff
}

// localityTier returns 0 for an instance in the query's data centre, 1 for one
// elsewhere in its region and 2 for one in another region.
func localityTier(q *Query, i *sampler.InstanceView) int {
	switch {
	case i.Instance.DataCentre == q.DataCentre:
		return 0
	case q.RegionOf != nil && q.RegionOf(i.Instance.DataCentre) == q.Region:
		return 1
	}
	return 2
}

// decidePrimary handles a read that no replica can serve: it goes to the primary. A primary
// that is leaving the group is accepted too, because it serves writes until it is replaced.
func decidePrimary(v *sampler.View, q *Query) Decision {
	p := primaryView(v)
	if p != nil && slices.Contains(q.Exclude, v.Primary) {
		return refuse(v, q)
	}
	if p == nil || !p.Reachable {
		return awaitPrimary(v, q)
	}
	if !isConfirmedFor(v, q) || !p.Status.Applied.Covers(q.Floor) {
		if remaining := MaxRoundWait - q.Now.Sub(q.ArrivedAt); remaining > 0 {
			return Decision{Reason: WaitRound, Wait: remaining}
		}
		return refuse(v, q)
	}
	reason := PrimaryOnly
	if q.MaxWait > 0 && q.Now.Sub(q.ArrivedAt) >= q.MaxWait {
		reason = PrimaryAfterWait
	}
	return Decision{Instance: v.Primary, Role: connector.RolePrimary, Reason: reason}
}

// awaitPrimary waits up to MaxPrimaryWait for the next primary, or for a replica that a
// round of the next primary shows to be fresh enough, and then returns an error. Most failovers
// end sooner than the client could repeat its read. A read that has failed on an
// instance is refused without a wait.
func awaitPrimary(v *sampler.View, q *Query) Decision {
	if remaining := MaxPrimaryWait - q.Now.Sub(q.ArrivedAt); remaining > 0 && len(q.Exclude) == 0 {
		return Decision{Reason: WaitPrimary, Wait: remaining}
	}
	return refuse(v, q)
}

// primaryView returns the view of the confirmed primary, or nil if there is none.
func primaryView(v *sampler.View) *sampler.InstanceView {
	for k := range v.Instances {
		if v.Primary != "" && v.Instances[k].Instance.Name == v.Primary {
			return &v.Instances[k]
		}
	}
	return nil
}

// isConfirmedFor reports whether the last confirmed round is recent enough for the
// primary to serve the read. The check is needed because a replaced primary in an
// isolated data centre still answers.
func isConfirmedFor(v *sampler.View, q *Query) bool {
	if q.HasMaxStaleness {
		return !v.ConfirmedAt.Before(freshnessCutoff(q))
	}
	return !v.ConfirmedAt.Before(q.ArrivedAt)
}

// refuse returns the error of a read that no instance may serve.
func refuse(v *sampler.View, q *Query) Decision {
	if q.HasMaxStaleness {
		return Decision{Reason: TooStale, Err: classifier.New(classifier.StaleBound, "database %q: no instance is within the staleness limit of %s", v.Database, q.MaxStaleness)}
	}
	return Decision{Reason: NoInstance, Err: classifier.New(classifier.NoInstance, "database %q: no instance can serve the read with floor %s", v.Database, q.Floor)}
}
