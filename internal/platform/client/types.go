package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// Row is a row of a table. The version of a row is 1 after its creation and rises by 1 with each write.
type Row struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Write sets the value of a row. ExpectedVersion is the version that the row must have before; 0 means that it must be
// absent.
type Write struct {
	Table           string          `json:"table"`
	Key             string          `json:"key"`
	ExpectedVersion uint64          `json:"expected"`
	Value           json.RawMessage `json:"value"`
}

// Transaction is a list of writes that are applied atomically.
type Transaction struct {
	Writes []Write `json:"writes"`
}

// UnmarshalJSON decodes a transaction. It fails if there is no write, a table or key is empty, or a row occurs twice.
func (t *Transaction) UnmarshalJSON(b []byte) error {
	type plain Transaction // without this method
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	seen := map[[2]string]bool{} // by table and key
	for _, w := range p.Writes {
		if w.Table == "" || w.Key == "" || seen[[2]string{w.Table, w.Key}] {
			return fmt.Errorf("transaction: row %q/%q has an empty table or key, or occurs twice", w.Table, w.Key)
		}
		seen[[2]string{w.Table, w.Key}] = true
	}
	if len(p.Writes) == 0 {
		return errors.New("transaction has no writes")
	}
	*t = Transaction(p)
	return nil
}

// Rows is a list of rows. More reports whether the requested range has further rows after them.
type Rows struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more,omitempty"`
}

// Range selects the rows of a table with From <= key < To. If To is empty, the range has no upper bound.
type Range struct {
	Table string
	From  string
	To    string
	Limit int // maximum number of rows to return; 0 stands for the limit of the platform
}

// Object is an object of the object store.
type Object struct {
	Body []byte
	ETag string
}

// Precondition is the precondition of an operation on an object, as in HTTP. Each field holds an ETag, or "*" for any
// existing object; an empty field sets no condition.
type Precondition struct {
	IfMatch     string
	IfNoneMatch string
}

// States of a VM in the platform's list of VMs.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
}

// UnmarshalJSON decodes an entry and validates its fields, except the region.
func (v *VM) UnmarshalJSON(b []byte) error {
	type plain VM // without this method
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.ID == "" || p.DataCentre == "" {
		return fmt.Errorf("vm %q in data centre %q: id or data centre is empty", p.ID, p.DataCentre)
	}
	if _, err := netip.ParseAddrPort(p.Address); err != nil {
		return fmt.Errorf("vm %q: address %q is not an IP address with a port", p.ID, p.Address)
	}
	if p.State != VMLive && p.State != VMLeaving {
		return fmt.Errorf("vm %q: unknown state %q, want live or leaving", p.ID, p.State)
	}
	*v = VM(p)
	return nil
}

// VMChanges holds the entries of the list of VMs that changed after a version. Whole reports whether VMs is the whole
// list instead, whatever version was requested.
type VMChanges struct {
	Version uint64   `json:"version"`
	Whole   bool     `json:"whole,omitempty"`
	VMs     []VM     `json:"vms,omitempty"`
	Removed []string `json:"removed,omitempty"`

	Malformed int `json:"-"` // number of entries left out because they are invalid
}

// UnmarshalJSON decodes the changes. An invalid entry is left out and counted, so that it does not hide the others.
func (c *VMChanges) UnmarshalJSON(b []byte) error {
	var p struct {
		Version uint64            `json:"version"`
		Whole   bool              `json:"whole"`
		VMs     []json.RawMessage `json:"vms"`
		Removed []string          `json:"removed"`
	}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*c = VMChanges{Version: p.Version, Whole: p.Whole, Removed: p.Removed}
	for _, entry := range p.VMs {
		var v VM
		if err := json.Unmarshal(entry, &v); err != nil {
			c.Malformed++
			continue
		}
		c.VMs = append(c.VMs, v)
	}
	return nil
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Message string `json:"message"`
	Rows    []Row  `json:"rows,omitempty"` // after a conflict: rows that lack the expected version, without values
}
