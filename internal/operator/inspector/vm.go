package inspector

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"strings"
)

// VMTable is the name of the store table that has one row for each VM, and one summary row for each data centre in a large
// deployment.
const VMTable = "vms"

// VM is the row of a VM. The rows of VMs that no longer exist are kept.
type VM struct {
	ID          string  `json:"-"`
	DataCentre  string  `json:"dataCentre"`
	LinkAddress string  `json:"linkAddress"` // address for connections to the instances that the VM is a gateway of
	PeerAddress string  `json:"peerAddress"` // address for copies of tables and for Path
	CoreShare   float64 `json:"size"`        // fraction of a CPU core that the VM has
}

// ParseVM decodes the row of the VM with the identity id.
func ParseVM(id string, value []byte) (VM, error) {
	vm := VM{ID: id}
	err := json.Unmarshal(value, &vm)
	return vm, err
}

// summaryPrefix begins the keys of the summary rows. It sorts before letters and digits, so that the first rows of the
// table include them.
const summaryPrefix = "!summary/"

// SummaryKey returns the key of the summary row of a data centre.
func SummaryKey(dataCentre string) string { return summaryPrefix + dataCentre }

// IsSummary reports whether a key is that of a summary row.
func IsSummary(key string) bool { return strings.HasPrefix(key, summaryPrefix) }

// maxSummaryBytes bounds a decoded summary.
const maxSummaryBytes = 8 << 20

// EncodeSummary returns the value of a summary row: the compressed rows of VMs by ID.
func EncodeSummary(vms []VM) ([]byte, error) {
	byID := make(map[string]VM, len(vms))
	for _, vm := range vms {
		byID[vm.ID] = vm
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(byID); err != nil {
		return nil, err
	}
	err := w.Close()
	return b.Bytes(), err
}

// ParseSummary decodes the value of a summary row.
func ParseSummary(value []byte) ([]VM, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	var byID map[string]VM
	if err := json.NewDecoder(io.LimitReader(r, maxSummaryBytes)).Decode(&byID); err != nil {
		return nil, err
	}
	vms := make([]VM, 0, len(byID))
	for id, vm := range byID {
		vm.ID = id
		vms = append(vms, vm)
	}
	return vms, nil
}
