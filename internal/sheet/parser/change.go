package parser

import "slices"

// Op is what an edit does to an item.
type Op string

// Operations of an edit.
const (
	Add    Op = "add"
	Remove Op = "remove"
	Modify Op = "modify"
)

// Change is the difference of two sheets. An edit carries the old and the new
// value: the old one shows whether the change fits a sheet, and lets an audit
// record be read without the sheet it was made for. An order is present only
// when removing and appending does not lead to it.
type Change struct {
	Deployment   *TextEdit     `json:"deployment,omitempty"`
	Regions      []RegionEdit  `json:"regions,omitempty"`
	RegionOrder  []string      `json:"regionOrder,omitempty"`
	Services     []ServiceEdit `json:"services,omitempty"`
	ServiceOrder []string      `json:"serviceOrder,omitempty"`
}

// TextEdit replaces a text.
type TextEdit struct {
	Was string `json:"was"`
	Now string `json:"now"`
}

// RegionEdit adds, removes or replaces a region.
type RegionEdit struct {
	Was *Region `json:"was,omitempty"`
	Now *Region `json:"now,omitempty"`
}

// ServiceEdit edits a service.
type ServiceEdit struct {
	Name          string         `json:"name"`
	Op            Op             `json:"op"`
	ReadKinds     []ReadKindEdit `json:"readKinds,omitempty"`
	ReadKindOrder []string       `json:"readKindOrder,omitempty"`
	Databases     []DatabaseEdit `json:"databases,omitempty"`
	DatabaseOrder []string       `json:"databaseOrder,omitempty"`
}

// ReadKindEdit adds, removes or replaces a read kind.
type ReadKindEdit struct {
	Was *ReadKind `json:"was,omitempty"`
	Now *ReadKind `json:"now,omitempty"`
}

// DatabaseEdit edits a database.
type DatabaseEdit struct {
	Name          string         `json:"name"`
	Op            Op             `json:"op"`
	Instances     []InstanceEdit `json:"instances,omitempty"`
	InstanceOrder []string       `json:"instanceOrder,omitempty"`
}

// InstanceEdit adds, removes or replaces an instance.
type InstanceEdit struct {
	Was *Instance `json:"was,omitempty"`
	Now *Instance `json:"now,omitempty"`
}

// Empty reports whether the change changes nothing.
func (c Change) Empty() bool {
	return c.Deployment == nil && len(c.Regions) == 0 && c.RegionOrder == nil && len(c.Services) == 0 && c.ServiceOrder == nil
}

func opOf(was, now bool) Op {
	switch {
	case !was:
		return Add
	case !now:
		return Remove
	}
	return Modify
}

func (e RegionEdit) step() step {
	if e.Was != nil {
		return step{e.Was.Name, opOf(true, e.Now != nil)}
	}
	return step{e.Now.Name, Add}
}

func (e ReadKindEdit) step() step {
	if e.Was != nil {
		return step{e.Was.Name, opOf(true, e.Now != nil)}
	}
	return step{e.Now.Name, Add}
}

func (e InstanceEdit) step() step {
	if e.Was != nil {
		return step{e.Was.Name, opOf(true, e.Now != nil)}
	}
	return step{e.Now.Name, Add}
}

func (r Region) equal(o Region) bool {
	return r.Name == o.Name && slices.Equal(r.DataCentres, o.DataCentres)
}

func regionNames(l []Region) []string {
	return namesOf(len(l), func(i int) string { return l[i].Name })
}

func serviceNames(l []Service) []string {
	return namesOf(len(l), func(i int) string { return l[i].Name })
}

func readKindNames(l []ReadKind) []string {
	return namesOf(len(l), func(i int) string { return l[i].Name })
}

func databaseNames(l []Database) []string {
	return namesOf(len(l), func(i int) string { return l[i].Name })
}

func instanceNames(l []Instance) []string {
	return namesOf(len(l), func(i int) string { return l[i].Name })
}
