// Package sharder divides the limits of teams into shards, and ranks the VMs for each shard. All its functions depend only on
// the configuration and the settings that all VMs share, so that VMs agree without exchanging messages.
package sharder

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/sheet/cataloger"
)

const (
	// Count is the number of shards of the deployment. Each is held by one VM at a time.
	Count = 8
	// maxTeamShards is the number of shards that a team's limit is divided among, so that the loss of one holder costs a quarter.
	maxTeamShards = 4
)

// Share is the part of a team's limit that one shard grants.
type Share struct {
	Rate     float64 // tokens per second
	Capacity float64 // tokens that a full bucket holds; at least 1
}

// Division is a team's limit, divided among shards.
type Division struct {
	Shards []int
	Share  Share // of each of the shards
}

// Sharder divides limits. It is immutable.
type Sharder struct {
	regions  []string // sorted
	overage  float64
	slack    float64
	window   time.Duration
	lifetime time.Duration
}

// Excess is what may run above a team's limit in a window.
type Excess struct {
	Window  time.Duration
	Overage float64 // as a fraction of the limit
	Slack   float64 // operations, in addition to the overage
}

// MaxArrivalDelay is the time within which an operation that has its token is expected to arrive at an instance. Operations
// that are delayed for longer were sent by their clients before the window in which they arrive.
const MaxArrivalDelay = 200 * time.Millisecond

// New returns a Sharder for a deployment with the given region of each data centre, the permitted excess, and the time for which
// a token may be used.
func New(regionOf map[string]string, e Excess, lifetime time.Duration) Sharder {
	regions := slices.Sorted(maps.Values(regionOf))
	regions = slices.Compact(regions)
	if len(regions) == 0 {
		regions = []string{""}
	}
	return Sharder{regions: regions, overage: e.Overage, slack: e.Slack, window: e.Window, lifetime: lifetime}
}

// Region returns the region whose VMs hold a shard first.
func (s Sharder) Region(shard int) string { return s.regions[shard%len(s.regions)] }

// Divide returns the division of a team's limit.
//
// Operations that arrive in a window took their tokens in the window, or in a token's lifetime and an arrival delay before it.
// The rate therefore is the limit with its overage, less the part that such a longer window adds. A bucket below one token
// never grants, and a refill of a full bucket is lost although another bucket of the team has room. So the capacities add up to the
// burst with its overage and two fifths of the slack, at most two tokens for each shard, and the rates take a quarter of the slack
// for each window. If the capacities are below one token, there are fewer shards.
func (s Sharder) Divide(t cataloger.Team) Division {
	capacity := t.Burst*(1+s.overage) + min(2*maxTeamShards, s.slack*2/5)
	stretch := float64(s.window) / float64(s.window+s.lifetime+MaxArrivalDelay)
	rate := t.Rate*(1+s.overage)*stretch + s.slack/4/s.window.Seconds()
	n := min(max(int(math.Floor(capacity)), 1), maxTeamShards)
	return Division{
		Shards: s.shardsOf(t.Name, n),
		Share:  Share{Rate: rate / float64(n), Capacity: max(1, capacity/float64(n))},
	}
}

// shardsOf chooses n shards for a team by rendezvous hash, taking turns between the regions.
func (s Sharder) shardsOf(team string, n int) []int {
	order := make([]int, Count)
	for k := range order {
		order[k] = k
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weight(team, strconv.Itoa(b)), weight(team, strconv.Itoa(a))) })
	byRegion := make([][]int, min(len(s.regions), Count))
	for _, shard := range order {
		r := shard % len(byRegion)
		byRegion[r] = append(byRegion[r], shard)
	}
	first := int(weight(team, "") % uint64(len(byRegion)))
	var shards []int
	for k := 0; len(shards) < n; k++ {
		if list := byRegion[(first+k)%len(byRegion)]; k/len(byRegion) < len(list) {
			shards = append(shards, list[k/len(byRegion)])
		}
	}
	return shards
}

// VM is a VM as the list of VMs describes it.
type VM struct {
	ID, Region, Address string
	CoreShare           float64
}

// CompareID orders VMs by their identity.
func CompareID(a, b VM) int { return cmp.Compare(a.ID, b.ID) }

// Rank returns the VMs in the order in which they should hold a shard. VMs of the shard's region come first. In a region, the n
// shards go to the n largest VMs, one each, and the next n VMs are their successors, so that VMs of one size that fail one by one
// take one shard with them each.
func (s Sharder) Rank(shard int, vms []VM) []VM {
	list := slices.Clone(vms)
	region := s.Region(shard)
	slices.SortFunc(list, func(a, b VM) int {
		return cmp.Or(
			compareBool(a.Region == region, b.Region == region), cmp.Compare(b.CoreShare, a.CoreShare),
			cmp.Compare(weight(b.ID, ""), weight(a.ID, "")), cmp.Compare(a.ID, b.ID),
		)
	})
	local := slices.IndexFunc(list, func(vm VM) bool { return vm.Region != region })
	if local < 0 {
		local = len(list)
	}
	n := (Count - shard%len(s.regions) + len(s.regions) - 1) / len(s.regions) // shards of the region
	return slices.Concat(rotate(list[:local], shard/len(s.regions), n), rotate(list[local:], shard, Count))
}

// rotate returns the VMs for shard k of n: every n-th one from k, then every n-th one from k+1, and so on.
func rotate(list []VM, k, n int) []VM {
	n = min(n, len(list))
	result := make([]VM, 0, len(list))
	for class := range n {
		for p := (k + class) % n; p < len(list); p += n {
			result = append(result, list[p])
		}
	}
	return result
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// weight returns the rendezvous hash of a pair.
func weight(id, key string) uint64 { return xxhash.Sum64String(id + " " + key) }

// Fraction returns a number of [0, 1) that depends only on a key.
func Fraction(key string) float64 { return float64(xxhash.Sum64String(key)>>11) / (1 << 53) }
