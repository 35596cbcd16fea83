package parser

import (
	"fmt"
	"strings"
	"time"
)

var opSigns = map[Op]string{Add: "+", Remove: "-", Modify: "~"}

// Text describes the change for operators, one line per edit. The sign at the start of a
// line tells the operation: + adds, - removes, ~ modifies.
func (c Change) Text() string {
	var b strings.Builder
	if c.Deployment != nil {
		fmt.Fprintf(&b, "~ deployment: %s\n", formatChange(c.Deployment.Old, c.Deployment.New))
	}
	for _, e := range c.Regions {
		edit := e.itemEdit()
		fmt.Fprintf(&b, "%s region %s: %s\n", opSigns[edit.op], edit.name, formatChange(e.Old.text(), e.New.text()))
	}
	writeOrder(&b, "regions", c.RegionOrder)
	for _, e := range c.Services {
		e.writeText(&b)
	}
	writeOrder(&b, "services", c.ServiceOrder)
	return b.String()
}

// formatChange joins an old and a new value by an arrow. If one of them is empty, it
// returns the other.
func formatChange(before, after string) string {
	switch {
	case before == "":
		return after
	case after == "":
		return before
	}
	return before + " -> " + after
}

// writeOrder writes the line for a new order, if there is one.
func writeOrder(b *strings.Builder, listName string, order []string) {
	if order != nil {
		fmt.Fprintf(b, "~ order of %s: %s\n", listName, strings.Join(order, ", "))
	}
}

func (r *Region) text() string {
	if r == nil {
		return ""
	}
	return strings.Join(r.DataCentres, ", ")
}

func (k *ReadKind) text() string {
	if k == nil {
		return ""
	}
	return "at most " + time.Duration(k.MaxStaleness).String() + " stale"
}

func (e ServiceEdit) writeText(b *strings.Builder) {
	if e.Op != Modify {
		fmt.Fprintf(b, "%s service %s\n", opSigns[e.Op], e.Name)
	}
	for _, k := range e.ReadKinds {
		edit := k.itemEdit()
		fmt.Fprintf(b, "%s read kind %s of service %s: %s\n", opSigns[edit.op], edit.name, e.Name, formatChange(k.Old.text(), k.New.text()))
	}
	writeOrder(b, "read kinds of service "+e.Name, e.ReadKindOrder)
	for _, d := range e.Databases {
		d.writeText(b, e.Name)
	}
	writeOrder(b, "databases of service "+e.Name, e.DatabaseOrder)
}

func (e DatabaseEdit) writeText(b *strings.Builder, service string) {
	if e.Op != Modify {
		fmt.Fprintf(b, "%s database %s of service %s\n", opSigns[e.Op], e.Name, service)
	}
	for _, i := range e.Instances {
		edit := i.itemEdit()
		fmt.Fprintf(b, "%s instance %s of database %s: %s\n", opSigns[edit.op], edit.name, e.Name, i.text())
	}
	writeOrder(b, "instances of database "+e.Name, e.InstanceOrder)
}

// text lists all fields of an added or removed instance, and otherwise the fields that differ.
func (e InstanceEdit) text() string {
	before, after := e.Old.fields(), e.New.fields()
	var parts []string
	for i, f := range instanceFields {
		if e.Old == nil || e.New == nil || before[i] != after[i] {
			parts = append(parts, f+" "+formatChange(before[i], after[i]))
		}
	}
	return strings.Join(parts, ", ")
}

// instanceFields are the labels of the values that fields returns.
var instanceFields = [...]string{"address", "dataCentre", "slots", "connections", "state"}

func (i *Instance) fields() [len(instanceFields)]string {
	if i == nil {
		return [len(instanceFields)]string{}
	}
	return [...]string{i.Address, i.DataCentre, fmt.Sprint(i.Slots), fmt.Sprint(i.Connections), string(i.State)}
}
