package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// Row is one row of a table. Versions of a row start at 1 and rise by 1 with each write.
type Row struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Write sets a row whose version must be Expected; 0 stands for an absent row.
type Write struct {
	Table    string          `json:"table"`
	Key      string          `json:"key"`
	Expected uint64          `json:"expected"`
	Value    json.RawMessage `json:"value"`
}

// Transaction applies all of its writes or none.
type Transaction struct {
	Writes []Write `json:"writes"`
}

// UnmarshalJSON decodes and checks a transaction.
func (t *Transaction) UnmarshalJSON(b []byte) error {
	type plain Transaction
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	seen := map[[2]string]bool{}
	for _, w := range p.Writes {
		if w.Table == "" || w.Key == "" || seen[[2]string{w.Table, w.Key}] {
			return fmt.Errorf("transaction: row %q/%q is empty or named twice", w.Table, w.Key)
		}
		seen[[2]string{w.Table, w.Key}] = true
	}
	if len(p.Writes) == 0 {
		return errors.New("transaction: has no write")
	}
	*t = Transaction(p)
	return nil
}

// Rows is the answer to a list of rows. More tells that the range holds further rows.
type Rows struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more,omitempty"`
}

// Range selects rows of a table with From <= key < To; an empty To has no upper limit.
type Range struct {
	Table string
	From  string
	To    string
	Limit int
}

// Object is a value of the object store with its ETag.
type Object struct {
	Body []byte
	ETag string
}

// Condition limits an operation on an object. "*" in IfNoneMatch stands for any object.
type Condition struct {
	IfMatch     string
	IfNoneMatch string
}

// VM states in the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
}

// UnmarshalJSON decodes and checks an entry.
func (v *VM) UnmarshalJSON(b []byte) error {
	type plain VM
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.ID == "" || p.DataCentre == "" {
		return fmt.Errorf("vm %q: id or data centre is empty", p.ID)
	}
	if _, err := netip.ParseAddrPort(p.Address); err != nil {
		return fmt.Errorf("vm %q: address %q is not an IP number and port", p.ID, p.Address)
	}
	if p.State != VMLive && p.State != VMLeaving {
		return fmt.Errorf("vm %q: unknown state %q", p.ID, p.State)
	}
	*v = VM(p)
	return nil
}

// VMChanges holds the entries of the VM list that changed after a version.
// Whole tells that VMs is the full list, whatever version was asked for.
type VMChanges struct {
	Version uint64   `json:"version"`
	Whole   bool     `json:"whole,omitempty"`
	VMs     []VM     `json:"vms,omitempty"`
	Removed []string `json:"removed,omitempty"`

	Malformed int `json:"-"` // entries left out because they fail their check
}

// UnmarshalJSON decodes the changes. A malformed entry is counted and left out,
// because one wrong entry must not hide the others.
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
	for _, e := range p.VMs {
		var v VM
		if err := json.Unmarshal(e, &v); err != nil {
			c.Malformed++
			continue
		}
		c.VMs = append(c.VMs, v)
	}
	return nil
}

// Refusal is the body of an answer that is not a success.
type Refusal struct {
	Message string `json:"message"`
	Rows    []Row  `json:"rows,omitempty"` // rows of other versions, without values
}
