package dispatcher

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/sheet/parser"
)

// GatewaysPerDataCentre is the number of VMs of a data centre that connect to a
// database. With two, one can fail while the other already has open connections.
const GatewaysPerDataCentre = 2

// Ranking returns the live VMs of a data centre in rendezvous-hash order for a database.
type Ranking func(database, dataCentre string) []tracker.Member

// Gateways returns the gateways of a database in one data centre.
func Gateways(rank Ranking, database, dataCentre string) []tracker.Member {
	members := rank(database, dataCentre)
	return members[:min(len(members), GatewaysPerDataCentre)]
}

// AllGateways returns the gateways of a database in all data centres: the
// first-ranked of each data centre, then the second-ranked of each. The order is
// also their order of precedence for starting a failover.
func AllGateways(rank Ranking, db parser.Database) []tracker.Member {
	var all []tracker.Member
	for n := range GatewaysPerDataCentre {
		for _, dataCentre := range dataCentresOf(db) {
			if gateways := Gateways(rank, db.Name, dataCentre); n < len(gateways) {
				all = append(all, gateways[n])
			}
		}
	}
	return all
}

// location identifies a VM and where it runs.
type location struct {
	id         string
	dataCentre string
	region     string
}

// isGateway reports whether a VM is a gateway of a database. It ranks only the VMs
// of its own data centre, whereas planTargets ranks those of every data centre.
func isGateway(self location, db parser.Database, rank Ranking) bool {
	hasInstance := slices.ContainsFunc(db.Instances, func(i parser.Instance) bool { return i.DataCentre == self.dataCentre })
	return hasInstance && indexOf(Gateways(rank, db.Name, self.dataCentre), self.id) >= 0
}

// planTargets returns the VMs to try, in order: gateways in the same data centre,
// then in the same region, then in other regions. This VM comes first if it is a
// gateway. Otherwise it comes last, because a direct connection to the instance is
// better than a refusal when no gateway can be reached.
func planTargets(self location, sheet parser.Sheet, db parser.Database, rank Ranking, spreadKey string) []tracker.Member {
	var sameDataCentre, sameRegion, otherRegions []tracker.Member
	for _, dataCentre := range dataCentresOf(db) {
		gateways := rotate(Gateways(rank, db.Name, dataCentre), spreadKey)
		switch {
		case dataCentre == self.dataCentre:
			sameDataCentre = append(sameDataCentre, gateways...)
		case sheet.RegionOf(dataCentre) == self.region:
			sameRegion = append(sameRegion, gateways...)
		default:
			otherRegions = append(otherRegions, gateways...)
		}
	}
	targets := slices.Concat(sameDataCentre, sameRegion, otherRegions)
	thisVM := tracker.Member{ID: self.id, DataCentre: self.dataCentre, Region: self.region, State: tracker.Live}
	if i := indexOf(targets, self.id); i >= 0 {
		targets = slices.Delete(targets, i, i+1)
		return slices.Insert(targets, 0, thisVM)
	}
	return append(targets, thisVM)
}

// rotate returns the gateways of one data centre, rotated by a hash of the key, so
// that the first place is spread evenly over them.
func rotate(gateways []tracker.Member, spreadKey string) []tracker.Member {
	if len(gateways) < 2 {
		return gateways
	}
	n := int(xxhash.Sum64String(spreadKey) % uint64(len(gateways)))
	return slices.Concat(gateways[n:], gateways[:n])
}

// indexOf returns the index of the member with an ID, or -1 if there is none.
func indexOf(list []tracker.Member, id string) int {
	return slices.IndexFunc(list, func(m tracker.Member) bool { return m.ID == id })
}

// dataCentresOf returns the data centres that have an instance of a database.
func dataCentresOf(db parser.Database) []string {
	var list []string
	for _, i := range db.Instances {
		if !slices.Contains(list, i.DataCentre) {
			list = append(list, i.DataCentre)
		}
	}
	return list
}
