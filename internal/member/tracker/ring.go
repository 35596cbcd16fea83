package tracker

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	localPeers  = 8 // of the own data centre, at most
	remotePeers = 2 // of other data centres, at most
	probesOfOne = 3 // VMs of all that probe a dead VM in one round, on average
)

func hash(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// ring orders VMs by hash, beginning after self.
func ring(self string, list []Member) []Member {
	start := hash(self)
	distance := make(map[string]uint64, len(list))
	for _, m := range list {
		distance[m.ID] = hash(m.ID) - start // wraps, so that the order begins at self
	}
	ordered := slices.Clone(list)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(distance[a.ID], distance[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

// peersOf selects the VMs to exchange reports with, those of the own data
// centre and the others.
func peersOf(self Member, list []Member) (local, remote []Member) {
	for _, m := range list {
		switch {
		case m.ID == self.ID || m.State == Dead:
		case m.DataCentre == self.DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	return fingers(ring(self.ID, local)), spread(ring(self.ID, remote))
}

// peersOf returns the VMs to exchange reports with. The caller may append to the lists.
func (v *view) peersOf(self Member) (local, remote []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.selected {
		v.local, v.remote = peersOf(self, v.members)
		v.selected = true
	}
	return slices.Clone(v.local), slices.Clone(v.remote)
}

// fingers takes VMs at distances that are powers of two, so that reports cross
// the ring in a number of rounds that grows with its logarithm, and fills up
// with the nearest others.
func fingers(ordered []Member) []Member {
	if len(ordered) <= localPeers {
		return ordered
	}
	var list []Member
	for d := 1; d <= len(ordered) && len(list) < localPeers; d *= 2 {
		list = append(list, ordered[d-1])
	}
	for d := 3; len(list) < localPeers; d++ {
		if d&(d-1) != 0 {
			list = append(list, ordered[d-1])
		}
	}
	return list
}

// spread takes the nearest VMs of different data centres.
func spread(ordered []Member) []Member {
	var list []Member
	for _, m := range ordered {
		if len(list) == remotePeers {
			break
		}
		if !slices.ContainsFunc(list, func(o Member) bool { return o.DataCentre == m.DataCentre }) {
			list = append(list, m)
		}
	}
	for _, m := range ordered {
		if len(list) < remotePeers && !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	return list
}

// withProbe now and then adds a dead VM, in place of the last one when there
// is no room. A dead VM would otherwise not be found alive again after a
// partition in which both sides believe each other dead.
func withProbe(remote, dead []Member, all int) []Member {
	if len(dead) == 0 || rand.IntN(all) >= probesOfOne*len(dead) {
		return remote
	}
	return append(remote[:min(len(remote), remotePeers-1)], dead[rand.IntN(len(dead))])
}
