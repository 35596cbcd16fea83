package parser

import (
	"fmt"
	"strings"
	"time"
)

var signs = map[Op]string{Add: "+", Remove: "-", Modify: "~"}

// Text returns a readable form of the change, one line for each edit: + adds, - removes, ~ modifies.
func (c Change) Text() string {
	var b strings.Builder
	if c.Deployment != nil {
		fmt.Fprintf(&b, "~ deployment: %s\n", arrow(c.Deployment.Was, c.Deployment.Now))
	}
	for _, e := range c.Regions {
		s := e.step()
		fmt.Fprintf(&b, "%s region %s: %s\n", signs[s.op], s.name, arrow(e.Was.text(), e.Now.text()))
	}
	writeOrder(&b, "regions", c.RegionOrder)
	for _, e := range c.Services {
		e.write(&b)
	}
	writeOrder(&b, "services", c.ServiceOrder)
	return b.String()
}

// arrow shows an old and a new text; an empty one is left out.
func arrow(was, now string) string {
	switch {
	case was == "":
		return now
	case now == "":
		return was
	}
	return was + " -> " + now
}

func writeOrder(b *strings.Builder, list string, order []string) {
	if order != nil {
		fmt.Fprintf(b, "~ order of %s: %s\n", list, strings.Join(order, ", "))
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

func (e ServiceEdit) write(b *strings.Builder) {
	if e.Op != Modify {
		fmt.Fprintf(b, "%s service %s\n", signs[e.Op], e.Name)
	}
	for _, k := range e.ReadKinds {
		s := k.step()
		fmt.Fprintf(b, "%s read kind %s of service %s: %s\n", signs[s.op], s.name, e.Name, arrow(k.Was.text(), k.Now.text()))
	}
	writeOrder(b, "read kinds of service "+e.Name, e.ReadKindOrder)
	for _, d := range e.Databases {
		d.write(b, e.Name)
	}
	writeOrder(b, "databases of service "+e.Name, e.DatabaseOrder)
}

func (e DatabaseEdit) write(b *strings.Builder, service string) {
	if e.Op != Modify {
		fmt.Fprintf(b, "%s database %s of service %s\n", signs[e.Op], e.Name, service)
	}
	for _, i := range e.Instances {
		s := i.step()
		fmt.Fprintf(b, "%s instance %s of database %s: %s\n", signs[s.op], s.name, e.Name, i.text())
	}
	writeOrder(b, "instances of database "+e.Name, e.InstanceOrder)
}

// text names all fields of an added or removed instance, and the changed ones otherwise.
func (e InstanceEdit) text() string {
	was, now := e.Was.fields(), e.Now.fields()
	var parts []string
	for i, f := range instanceFields {
		if e.Was == nil || e.Now == nil || was[i] != now[i] {
			parts = append(parts, f+" "+arrow(was[i], now[i]))
		}
	}
	return strings.Join(parts, ", ")
}

var instanceFields = [...]string{"address", "dataCentre", "slots", "connections", "state"}

func (i *Instance) fields() [len(instanceFields)]string {
	if i == nil {
		return [len(instanceFields)]string{}
	}
	return [...]string{i.Address, i.DataCentre, fmt.Sprint(i.Slots), fmt.Sprint(i.Connections), string(i.State)}
}
