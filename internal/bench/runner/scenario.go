package runner

import (
	"fmt"
)

// Scenario is one experiment.
type Scenario struct {
	Name    string
	Title   string
	writers int // for each database, besides the clerks
	run     func(r *run) error
}

// scenarios is the table of all scenarios.
var scenarios = []Scenario{
	{"steady", "no faults", 0, func(*run) error { return nil }},
	{"primaryKill", "primaries are killed one after the other and started again", failoverWriters, primaryKill},
	{"primaryCut", "primaries are cut off from their replicas, every other time also from VMs elsewhere", failoverWriters, primaryCut},
	{"primaryPause", "all traffic of primaries is held back for a while", failoverWriters, primaryPause},
	{"storeOut", "the platform's store refuses everything most of the time", steadyWriters, storeOut},
	{"storeOutPrimaryKill", "primaries are killed while the store refuses everything", failoverWriters, storeOutPrimaryKill},
	{"lostAnswers", "sheets change while the store loses answers of writes", steadyWriters, lostAnswers},
	{"vmKill", "VMs are killed one after the other and started again", steadyWriters, vmKill},
	{"vmPause", "all traffic of VMs is held back for a while", steadyWriters, vmPause},
	{"silentConnections", "open connections of hosts and links go silent for good, new ones work", failoverWriters, silentConnections},
	{"leavingServer", "primaries leave by a change of the sheet and come back", failoverWriters, leavingServer},
	{"rollingStop", "VMs are stopped as planned one after the other and started again", steadyWriters, rollingStop},
	{"dataCentreCut", "the data centre with the primaries and the store is cut off", failoverWriters, dataCentreCut},
	{"regionCut", "the link between the regions is cut", failoverWriters, regionCut},
	{"lagSpike", "replicas lag by seconds", steadyWriters, lagSpike},
	{"everything", "faults of all sorts overlap", failoverWriters, everything},
}

// Scenarios returns a copy of the table.
func Scenarios() []Scenario { return append([]Scenario(nil), scenarios...) }

// Find returns the scenario with a name.
func Find(name string) (Scenario, error) {
	for _, s := range scenarios {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("no scenario %q", name)
}
