package loader

import "time"

// LineSettings holds the settings of an entry VM on the users' platform: its clients and instances use a line protocol,
// and its configuration and registry are in the platform's store. The reference page is generated from the doc tags.
type LineSettings struct {
	ID            string            `json:"id" doc:"identity of the VM"`
	Region        string            `json:"region" doc:"region of the VM"`
	DataCentre    string            `json:"dataCentre" doc:"data centre of the VM"`
	DataCentres   map[string]string `json:"dataCentres" doc:"region of each data centre"`
	CallerAddress string            `json:"callerAddress" doc:"IP address and port for client connections"`
	ReadyAddress  string            `json:"readyAddress" doc:"IP address and port for /ready"`
	PeerAddress   string            `json:"peerAddress" doc:"IP address and port for other VMs"`
	AdminAddress  string            `json:"adminAddress" doc:"IP address and port for /metrics; if empty, metrics are not served"`
	LinkAddress   string            `json:"linkAddress" doc:"IP address and port for links of other VMs to instances; if empty, this VM is not a gateway"`
	LinkMbps      float64           `json:"linkMbps" doc:"speed of the VM's network link in Mbit/s, or 0 if it is not known; over a slow link the VM reads tables from other VMs, which compress them"`
	CoreShare     float64           `json:"coreShare" doc:"fraction of a CPU core that the VM has; larger VMs become gateways first"`
	Seeds         []string          `json:"seeds" doc:"peer addresses of some VMs"`
	Store         string            `json:"store" doc:"IP address and port of the platform's store"`
	Orders        string            `json:"orders" doc:"IP address and port for control requests to the platform"`
	Fencing       bool              `json:"fencing" doc:"whether the platform checks the fencing tokens of promote requests, so that a promotion ends the lead of the old primary; if false, each VM verifies the lead of a primary with a replica"`
	FailClosed    bool              `json:"failClosed" doc:"whether a VM that reaches neither the store nor another VM refuses the operations of all callers after keyRevocation; only where the configuration has teams"`
	KeyRevocation Duration          `json:"keyRevocation" doc:"time after which the removal of a key must be in force on all VMs"`
	StopGrace     Duration          `json:"stopGrace" doc:"time from the stop signal to the end of the process"`
	StopNotice    Duration          `json:"stopNotice" doc:"time from reporting not ready to closing idle sessions"`
	Callers       int               `json:"callers" doc:"limit of concurrent client connections"`
	LimitWindow   Duration          `json:"limitWindow" doc:"window in which the operations of a team are counted against its limit; it must be the same on all VMs"`
	LimitOverage  float64           `json:"limitOverage" doc:"fraction of a team's limit that may be exceeded in a window; it must be the same on all VMs"`
	LimitSlack    float64           `json:"limitSlack" doc:"operations that a team may run above its limit in a window, in addition to the overage; it must be the same on all VMs"`
	MemoryMB      int               `json:"memoryMB" doc:"memory of the VM in MB, from which the budgets for what clients occupy are derived; if 0, they are those of a large VM and the garbage collector has no limit"`

	MaxDescriptors int `json:"maxDescriptors" doc:"file descriptors that the process may have open, from which the limit of connections is derived; if 0, that of a large VM applies"`
}

// DefaultLine returns the default values of the settings.
func DefaultLine() LineSettings {
	return LineSettings{Fencing: true, KeyRevocation: Duration(5 * time.Second), StopGrace: Duration(6 * time.Second), StopNotice: Duration(2300 * time.Millisecond), Callers: 20000, LimitWindow: Duration(5 * time.Second), LimitOverage: 0.1, LimitSlack: 20}
}

// LoadLine reads and validates the settings in a file.
func LoadLine(file string) (LineSettings, error) {
	s := DefaultLine()
	err := loadFile(file, &s, func() *fieldError { return s.validate() })
	return s, err
}

// validate returns the first invalid field, or nil.
func (s LineSettings) validate() *fieldError {
	for _, f := range []*fieldError{
		checkNotEmpty("/id", s.ID),
		checkNotEmpty("/region", s.Region),
		checkNotEmpty("/dataCentre", s.DataCentre),
		checkAddress("/callerAddress", s.CallerAddress),
		checkAddress("/readyAddress", s.ReadyAddress),
		checkAddress("/peerAddress", s.PeerAddress),
		checkAddress("/store", s.Store),
		checkAddress("/orders", s.Orders),
		checkIfSet("/linkAddress", s.LinkAddress, checkAddress),
		checkIfSet("/adminAddress", s.AdminAddress, checkAddress),
		checkSeeds(s.Seeds, checkAddress),
		checkNotNegative("/linkMbps", s.LinkMbps),
		checkNotNegative("/coreShare", s.CoreShare),
		checkNotNegative("/limitOverage", s.LimitOverage),
		checkNotNegative("/limitSlack", s.LimitSlack),
		s.checkKeyRevocation(),
		checkNotNegative("/memoryMB", float64(s.MemoryMB)),
		checkNotNegative("/maxDescriptors", float64(s.MaxDescriptors)),
		s.checkStop(),
	} {
		if f != nil {
			return f
		}
	}
	return nil
}

func checkNotNegative(pointer string, v float64) *fieldError {
	if v < 0 {
		return &fieldError{pointer, "must not be negative"}
	}
	return nil
}

// minKeyRevocation is the least time for the removal of a key. Within a third of it, an unchanged configuration must be
// confirmed, which takes a call of each VM.
const minKeyRevocation = 300 * time.Millisecond

func (s LineSettings) checkKeyRevocation() *fieldError {
	if s.KeyRevocation.Std() < minKeyRevocation {
		return &fieldError{"/keyRevocation", "must be at least " + minKeyRevocation.String()}
	}
	return nil
}

// checkStop checks the durations of a stop, the limit of client connections and the window of the teams' limits.
func (s LineSettings) checkStop() *fieldError {
	switch {
	case s.StopGrace <= 0:
		return &fieldError{"/stopGrace", "must be greater than zero"}
	case s.StopNotice < 0 || s.StopNotice >= s.StopGrace:
		return &fieldError{"/stopNotice", "must be shorter than stopGrace"}
	case s.Callers <= 0:
		return &fieldError{"/callers", "must be greater than zero"}
	case s.LimitWindow <= 0:
		return &fieldError{"/limitWindow", "must be greater than zero"}
	}
	return nil
}
