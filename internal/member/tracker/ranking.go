package tracker

import (
	"slices"
	"sync"
)

// maxRanked is the maximum number of VMs of a data centre in a ranking. The gateways of a database are the first two
// VMs of its ranking, and three VMs poll the store. Rankings of all VMs for each database would take hundreds of MB
// with 7,100 VMs and 8,300 databases.
const maxRanked = 3

// dataCentreVMs holds the live VMs of one data centre and their rankings. Successive views share it until one of these
// VMs changes.
type dataCentreVMs struct {
	live []Member // by ID

	mu       sync.Mutex          // guards rankings
	rankings map[string][]Member // by the key passed to topRanked, computed on first use
}

// groupByDataCentre groups the live VMs by data centre. A data centre whose live VMs are unchanged keeps its previous
// value and thus its rankings.
func groupByDataCentre(members []Member, previous map[string]*dataCentreVMs) map[string]*dataCentreVMs {
	dataCentres := map[string]*dataCentreVMs{}
	for _, m := range members {
		if m.State != Live {
			continue
		}
		dc := dataCentres[m.DataCentre]
		if dc == nil {
			dc = &dataCentreVMs{rankings: map[string][]Member{}}
			dataCentres[m.DataCentre] = dc
		}
		dc.live = append(dc.live, m)
	}
	for name, dc := range dataCentres {
		if unchanged := previous[name]; unchanged != nil && slices.Equal(unchanged.live, dc.live) {
			dataCentres[name] = unchanged
		}
	}
	return dataCentres
}

// topRanked returns the ranking of the data centre's live VMs for name.
func (d *dataCentreVMs) topRanked(name string) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	ranking, ok := d.rankings[name]
	if !ok {
		ranking = topRanked(name, d.live)
		d.rankings[name] = ranking
	}
	return ranking
}

// topRanked returns up to maxRanked VMs with the highest weights by rendezvous hashing of name, highest first. VMs of
// equal weight keep their order in members, which is by ID.
func topRanked(name string, members []Member) []Member {
	var bestIndices []int
	var weights [maxRanked]uint64 // parallel to bestIndices
	for i, m := range members {
		weight := hash(name, m.ID)
		place := len(bestIndices)
		for place > 0 && weights[place-1] < weight {
			place--
		}
		if place == maxRanked {
			continue
		}
		bestIndices = slices.Insert(bestIndices, place, i)[:min(len(bestIndices)+1, maxRanked)]
		copy(weights[place+1:], weights[place:])
		weights[place] = weight
	}
	ranked := make([]Member, len(bestIndices))
	for n, i := range bestIndices {
		ranked[n] = members[i]
	}
	return ranked
}
