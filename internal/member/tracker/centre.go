package tracker

import (
	"slices"
	"sync"
)

// rankedVMs is the number of VMs of a data centre that a ranking holds. Two
// are gateways of a database and three poll the store. A ranking of all VMs for
// each database would take hundreds of MB with 7,100 VMs and 8,300 databases.
const rankedVMs = 3

// centre holds the live VMs of one data centre and their rankings. Views share it until one of its VMs changes.
type centre struct {
	live []Member

	mu     sync.Mutex
	ranked map[string][]Member // by name, derived at the first need
}

// centresOf sorts the live VMs by data centre and keeps the centres that did not change.
func centresOf(members []Member, old map[string]*centre) map[string]*centre {
	centres := map[string]*centre{}
	for _, m := range members {
		if m.State != Live {
			continue
		}
		c := centres[m.DataCentre]
		if c == nil {
			c = &centre{ranked: map[string][]Member{}}
			centres[m.DataCentre] = c
		}
		c.live = append(c.live, m)
	}
	for name, c := range centres {
		if o := old[name]; o != nil && slices.Equal(o.live, c.live) {
			centres[name] = o
		}
	}
	return centres
}

func (c *centre) rank(name string) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.ranked[name]
	if !ok {
		r = rank(name, c.live)
		c.ranked[name] = r
	}
	return r
}

// rank returns the first VMs by rendezvous hashing of a name, best first. VMs
// of equal weight keep their order, which is that of their identities.
func rank(name string, list []Member) []Member {
	var best []int
	var weights [rankedVMs]uint64 // of best
	for i, m := range list {
		w := hash(name, m.ID)
		at := len(best)
		for at > 0 && weights[at-1] < w {
			at--
		}
		if at == rankedVMs {
			continue
		}
		best = slices.Insert(best, at, i)[:min(len(best)+1, rankedVMs)]
		copy(weights[at+1:], weights[at:])
		weights[at] = w
	}
	ranked := make([]Member, len(best))
	for n, i := range best {
		ranked[n] = list[i]
	}
	return ranked
}
