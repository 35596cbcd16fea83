// Package tracker holds what a VM believes about the other VMs.
package tracker

// State is the belief about a VM.
type State string

// States of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving" // stops soon, gets no new work
	Dead    State = "dead"
)

// Member is one VM of the system.
type Member struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // peer address, IP number and port
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	State      State  `json:"state"`
}
