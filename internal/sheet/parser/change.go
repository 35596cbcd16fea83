package parser

import "slices"

// Op is the operation of an edit on an item of a list.
type Op string

// Operations on an item.
const (
	Add    Op = "add"
	Remove Op = "remove"
	Modify Op = "modify"
)

// Change is the difference between two sheets. Edits contain the old and the new value.
// Apply compares the old values with the sheet and fails if the change was made for a
// different sheet. The old values also let a reader of an audit record understand the
// change without the old sheet. An order lists all names after the change; it is nil unless
// the order differs from the one that results from removing items and appending the added ones.
type Change struct {
	Deployment   *StringEdit   `json:"deployment,omitempty"`
	Regions      []RegionEdit  `json:"regions,omitempty"`
	RegionOrder  []string      `json:"regionOrder,omitempty"`
	Services     []ServiceEdit `json:"services,omitempty"`
	ServiceOrder []string      `json:"serviceOrder,omitempty"`
}

// StringEdit replaces a string.
type StringEdit struct {
	Old string `json:"was"`
	New string `json:"now"`
}

// RegionEdit adds a region (Old is nil), removes one (New is nil) or replaces one.
type RegionEdit struct {
	Old *Region `json:"was,omitempty"`
	New *Region `json:"now,omitempty"`
}

// ServiceEdit adds or removes a service, or modifies its read kinds and databases.
type ServiceEdit struct {
	Name          string         `json:"name"`
	Op            Op             `json:"op"`
	ReadKinds     []ReadKindEdit `json:"readKinds,omitempty"`
	ReadKindOrder []string       `json:"readKindOrder,omitempty"`
	Databases     []DatabaseEdit `json:"databases,omitempty"`
	DatabaseOrder []string       `json:"databaseOrder,omitempty"`
}

// ReadKindEdit adds a read kind (Old is nil), removes one (New is nil) or replaces one.
type ReadKindEdit struct {
	Old *ReadKind `json:"was,omitempty"`
	New *ReadKind `json:"now,omitempty"`
}

// DatabaseEdit adds or removes a database, or modifies its instances.
type DatabaseEdit struct {
	Name          string         `json:"name"`
	Op            Op             `json:"op"`
	Instances     []InstanceEdit `json:"instances,omitempty"`
	InstanceOrder []string       `json:"instanceOrder,omitempty"`
}

// InstanceEdit adds an instance (Old is nil), removes one (New is nil) or replaces one.
type InstanceEdit struct {
	Old *Instance `json:"was,omitempty"`
	New *Instance `json:"now,omitempty"`
}

// Empty reports whether the change contains no edits.
func (c Change) Empty() bool {
	return c.Deployment == nil && len(c.Regions) == 0 && c.RegionOrder == nil && len(c.Services) == 0 && c.ServiceOrder == nil
}

// opFor returns the operation that leads from the old presence of an item to the new one.
func opFor(existed, exists bool) Op {
	switch {
	case !existed:
		return Add
	case !exists:
		return Remove
	}
	return Modify
}

func (e RegionEdit) itemEdit() itemEdit {
	if e.Old != nil {
		return itemEdit{e.Old.Name, opFor(true, e.New != nil)}
	}
	return itemEdit{e.New.Name, Add}
}

func (e ReadKindEdit) itemEdit() itemEdit {
	if e.Old != nil {
		return itemEdit{e.Old.Name, opFor(true, e.New != nil)}
	}
	return itemEdit{e.New.Name, Add}
}

func (e InstanceEdit) itemEdit() itemEdit {
	if e.Old != nil {
		return itemEdit{e.Old.Name, opFor(true, e.New != nil)}
	}
	return itemEdit{e.New.Name, Add}
}

func (r Region) equal(other Region) bool {
	return r.Name == other.Name && slices.Equal(r.DataCentres, other.DataCentres)
}

func regionNames(l []Region) []string {
	return collectNames(len(l), func(i int) string { return l[i].Name })
}

func serviceNames(l []Service) []string {
	return collectNames(len(l), func(i int) string { return l[i].Name })
}

func readKindNames(l []ReadKind) []string {
	return collectNames(len(l), func(i int) string { return l[i].Name })
}

func databaseNames(l []Database) []string {
	return collectNames(len(l), func(i int) string { return l[i].Name })
}

func instanceNames(l []Instance) []string {
	return collectNames(len(l), func(i int) string { return l[i].Name })
}
