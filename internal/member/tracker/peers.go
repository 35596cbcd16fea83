package tracker

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxLocalPeers   = 8 // per round, in the same data centre
	maxRemotePeers  = 2 // per round, in other data centres
	probesPerDeadVM = 3 // average number of VMs that probe a dead VM in one round
)

// hash returns the hash of parts, each terminated by a zero byte so that their boundaries count.
func hash(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, p := range parts {
		_, _ = digest.WriteString(p)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// ringOrder returns the VMs in the order of a hash ring, starting at the position of self.
func ringOrder(self string, members []Member) []Member {
	origin := hash(self)
	distance := make(map[string]uint64, len(members))
	for _, m := range members {
		distance[m.ID] = hash(m.ID) - origin // unsigned overflow makes the distance wrap around the ring
	}
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(distance[a.ID], distance[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

// choosePeers returns the VMs to exchange reports with, separately for the data centre of self and for the others.
func choosePeers(self Member, members []Member) (local, remote []Member) {
	for _, m := range members {
		switch {
		case m.ID == self.ID || m.State == Dead:
		case m.DataCentre == self.DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	return pickLocalPeers(ringOrder(self.ID, local)), pickRemotePeers(ringOrder(self.ID, remote))
}

// choosePeersOnce returns the result of choosePeers for the view, which it computes on first use. The caller owns the
// returned slices.
func (v *view) choosePeersOnce(self Member) (local, remote []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.peersChosen {
		v.local, v.remote = choosePeers(self, v.members)
		v.peersChosen = true
	}
	return slices.Clone(v.local), slices.Clone(v.remote)
}

// pickLocalPeers returns up to maxLocalPeers VMs at distances on the ring that are powers of two, as in a Chord finger
// table, so that the number of rounds until a report has reached all VMs of the data centre grows with the logarithm of
// their number. Any remaining places go to the nearest other VMs.
func pickLocalPeers(ordered []Member) []Member {
	if len(ordered) <= maxLocalPeers {
		return ordered
	}
	var peers []Member
	for distance := 1; distance <= len(ordered) && len(peers) < maxLocalPeers; distance *= 2 {
		peers = append(peers, ordered[distance-1])
	}
	for distance := 3; len(peers) < maxLocalPeers; distance++ {
		if distance&(distance-1) != 0 {
			peers = append(peers, ordered[distance-1])
		}
	}
	return peers
}

// pickRemotePeers returns up to maxRemotePeers of the nearest VMs on the ring, from different data centres if possible.
func pickRemotePeers(ordered []Member) []Member {
	var peers []Member
	for _, m := range ordered {
		if len(peers) == maxRemotePeers {
			break
		}
		if !slices.ContainsFunc(peers, func(peer Member) bool { return peer.DataCentre == m.DataCentre }) {
			peers = append(peers, m)
		}
	}
	for _, m := range ordered {
		if len(peers) < maxRemotePeers && !slices.Contains(peers, m) {
			peers = append(peers, m)
		}
	}
	return peers
}

// addProbe adds a random dead VM to the remote peers with a probability of probesPerDeadVM*len(dead)/vmCount, replacing
// the last one if there are already maxRemotePeers. Without such probes, the two sides of a healed partition would
// continue to regard each other as dead.
func addProbe(remote, dead []Member, vmCount int) []Member {
	if len(dead) == 0 || rand.IntN(vmCount) >= probesPerDeadVM*len(dead) {
		return remote
	}
	return append(remote[:min(len(remote), maxRemotePeers-1)], dead[rand.IntN(len(dead))])
}
