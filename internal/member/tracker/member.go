// Package tracker maintains the state of all VMs as seen by one VM. It combines the results of calls to other VMs, the
// reports that VMs exchange with each other and the platform's list of VMs.
package tracker

// State is the state of a VM as seen by another VM.
type State string

// States of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving" // about to stop; must not get new work
	Dead    State = "dead"
)

// Member is a VM of the system.
type Member struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // for calls from peers; IP address and port
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	State      State  `json:"state"`
}
