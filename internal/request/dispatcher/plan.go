package dispatcher

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/sheet/parser"
)

// GatewaysPerDataCentre is the number of VMs of a data centre that connect to
// a database: one may fail without a new VM having to open connections first.
const GatewaysPerDataCentre = 2

// Ranking lists the live VMs of a data centre in rendezvous order for a database.
type Ranking func(database, dataCentre string) []tracker.Member

// Gateways returns the gateways of a database in one data centre.
func Gateways(rank Ranking, database, dataCentre string) []tracker.Member {
	m := rank(database, dataCentre)
	return m[:min(len(m), GatewaysPerDataCentre)]
}

// AllGateways returns the gateways of a database: first the best of each data
// centre, then the second of each. The order is the rank for failover.
func AllGateways(rank Ranking, db parser.Database) []tracker.Member {
	var all []tracker.Member
	for n := range GatewaysPerDataCentre {
		for _, dc := range dataCentresOf(db) {
			if g := Gateways(rank, db.Name, dc); n < len(g) {
				all = append(all, g[n])
			}
		}
	}
	return all
}

// place is where a VM stands; the plan prefers near gateways.
type place struct {
	id         string
	dataCentre string
	region     string
}

// isGateway reports whether a VM is a gateway of a database in its own data
// centre. It needs one ranking, while a plan needs one for each data centre.
func isGateway(self place, db parser.Database, rank Ranking) bool {
	hasInstance := slices.ContainsFunc(db.Instances, func(i parser.Instance) bool { return i.DataCentre == self.dataCentre })
	return hasInstance && indexOf(Gateways(rank, db.Name, self.dataCentre), self.id) >= 0
}

// plan returns the VMs to try in order. A VM that is a gateway itself comes
// first. It also comes last when it is none: with no gateway in reach, a direct connection is
// better than a refusal.
func plan(self place, sheet parser.Sheet, db parser.Database, rank Ranking, spread string) []tracker.Member {
	var near, region, far []tracker.Member
	for _, dc := range dataCentresOf(db) {
		g := rotate(Gateways(rank, db.Name, dc), spread)
		switch {
		case dc == self.dataCentre:
			near = append(near, g...)
		case sheet.RegionOf(dc) == self.region:
			region = append(region, g...)
		default:
			far = append(far, g...)
		}
	}
	list := slices.Concat(near, region, far)
	me := tracker.Member{ID: self.id, DataCentre: self.dataCentre, Region: self.region, State: tracker.Live}
	if i := indexOf(list, self.id); i >= 0 {
		list = slices.Delete(list, i, i+1)
		return slices.Insert(list, 0, me)
	}
	return append(list, me)
}

// rotate spreads sessions over the gateways of one data centre.
func rotate(g []tracker.Member, spread string) []tracker.Member {
	if len(g) < 2 {
		return g
	}
	n := int(xxhash.Sum64String(spread) % uint64(len(g)))
	return slices.Concat(g[n:], g[:n])
}

func indexOf(list []tracker.Member, id string) int {
	return slices.IndexFunc(list, func(m tracker.Member) bool { return m.ID == id })
}

func dataCentresOf(db parser.Database) []string {
	var list []string
	for _, i := range db.Instances {
		if !slices.Contains(list, i.DataCentre) {
			list = append(list, i.DataCentre)
		}
	}
	return list
}
