package router

import (
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/sheet/parser"
)

// Distances of an instance, nearest first, with the reason for a replica there.
var distances = [...]Reason{ReplicaDataCentre, ReplicaRegion, ReplicaRemote}

// Decide chooses an instance for a unit of work.
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

func decideWrite(v *sampler.View, q *Query) Decision {
	if v.Primary == "" || slices.Contains(q.Exclude, v.Primary) {
		return Decision{Reason: NoPrimary, Err: classifier.New(classifier.NoPrimary, "database %q: no primary is confirmed", v.Database)}
	}
	return Decision{Instance: v.Primary, Role: connector.RolePrimary, Reason: WritePrimary}
}

// chooseReplica picks one of the nearest replicas that qualify.
func chooseReplica(v *sampler.View, q *Query) (Decision, bool) {
	var counts [len(distances)]int
	for k := range v.Instances {
		if i := &v.Instances[k]; isUsableReplica(v, q, i) && qualifies(q, i) {
			counts[distance(q, i)]++
		}
	}
	for at, n := range counts {
		if n > 0 {
			i := pick(v, q, at, q.Hash%uint64(n))
			return Decision{Instance: i.Instance.Name, Role: i.Status.Role, Reason: distances[at]}, true
		}
	}
	return Decision{}, false
}

// pick returns the n-th replica at a distance that qualifies.
func pick(v *sampler.View, q *Query, at int, n uint64) *sampler.InstanceView {
	for k := range v.Instances {
		i := &v.Instances[k]
		if !isUsableReplica(v, q, i) || !qualifies(q, i) || distance(q, i) != at {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return nil
}

// isUsableReplica reports whether reads may go to an instance that is no
// confirmed primary. A primary that is not confirmed may have been replaced.
// It still serves reads that accept staleness, since what it had applied in the
// last confirmed round bounds its staleness as that of any replica.
func isUsableReplica(v *sampler.View, q *Query, i *sampler.InstanceView) bool {
	if i.Instance.Name == v.Primary || !isUsable(q, i) {
		return false
	}
	return i.Status.Role == connector.RoleReplica || q.Bounded && q.MaxStaleness > 0
}

func isUsable(q *Query, i *sampler.InstanceView) bool {
	return i.Reachable && i.Instance.State != parser.Leaving && !slices.Contains(q.Exclude, i.Instance.Name)
}

// qualifies reports whether an instance covers the floor and is fresh enough.
func qualifies(q *Query, i *sampler.InstanceView) bool {
	return i.Status.Applied.Covers(q.Floor) && (!q.Bounded || !i.FreshAsOf.Before(freshLimit(q)))
}

// freshLimit returns the time as of which a bounded read must be fresh. Data as
// fresh as the read's arrival always does: it contains all that was
// acknowledged before, which is what a bound of zero asks for.
func freshLimit(q *Query) time.Time {
	limit := q.Now.Add(-q.MaxStaleness)
	if limit.After(q.Arrived) {
		return q.Arrived
	}
	return limit
}

func distance(q *Query, i *sampler.InstanceView) int {
	switch {
	case i.Instance.DataCentre == q.DataCentre:
		return 0
	case q.RegionOf != nil && q.RegionOf(i.Instance.DataCentre) == q.Region:
		return 1
	}
	return 2
}

// decidePrimary sends a read that no replica may serve to the primary, also to
// a leaving one, which takes the writes until it is replaced.
func decidePrimary(v *sampler.View, q *Query) Decision {
	p := primary(v)
	if p != nil && slices.Contains(q.Exclude, v.Primary) {
		return refuse(v, q)
	}
	if p == nil || !p.Reachable {
		return awaitPrimary(v, q)
	}
	if !isProven(v, q) || !p.Status.Applied.Covers(q.Floor) {
		if left := RoundWait - q.Now.Sub(q.Arrived); left > 0 {
			return Decision{Reason: WaitRound, Wait: left}
		}
		return refuse(v, q)
	}
	reason := PrimaryOnly
	if q.MaxWait > 0 && q.Now.Sub(q.Arrived) >= q.MaxWait {
		reason = PrimaryAfterWait
	}
	return Decision{Instance: v.Primary, Role: connector.RolePrimary, Reason: reason}
}

// awaitPrimary waits for the next primary, or for a replica that becomes fresh
// through it, before it refuses: most failovers end sooner than a caller could repeat its read.
func awaitPrimary(v *sampler.View, q *Query) Decision {
	if left := PrimaryWait - q.Now.Sub(q.Arrived); left > 0 && len(q.Exclude) == 0 {
		return Decision{Reason: WaitPrimary, Wait: left}
	}
	return refuse(v, q)
}

func primary(v *sampler.View) *sampler.InstanceView {
	for k := range v.Instances {
		if v.Primary != "" && v.Instances[k].Instance.Name == v.Primary {
			return &v.Instances[k]
		}
	}
	return nil
}

// isProven reports whether the last confirmed round allows the primary to serve
// the read: a replaced primary in a cut-off data centre still answers.
func isProven(v *sampler.View, q *Query) bool {
	if q.Bounded {
		return !v.ConfirmedAt.Before(freshLimit(q))
	}
	return !v.ConfirmedAt.Before(q.Arrived)
}

func refuse(v *sampler.View, q *Query) Decision {
	if q.Bounded {
		return Decision{Reason: TooStale, Err: classifier.New(classifier.StaleBound, "database %q: no instance is fresh within %s", v.Database, q.MaxStaleness)}
	}
	return Decision{Reason: NoInstance, Err: classifier.New(classifier.NoInstance, "database %q: no instance may serve the read", v.Database)}
}
