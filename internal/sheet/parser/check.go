package parser

import (
	"fmt"
	"net/netip"

	"parsleyscale/internal/failure/classifier"
)

// fault is the first thing wrong with a sheet. Its pointer is a JSON pointer to the field.
type fault struct {
	pointer string
	message string
	offset  int // in the document, when the pointer alone does not tell; 0 otherwise
}

func faultf(pointer, format string, args ...any) *fault {
	return &fault{pointer: pointer, message: fmt.Sprintf(format, args...)}
}

// in puts the fault of a list's item under the list.
func (f *fault) in(list string, index int) *fault {
	if f == nil {
		return nil
	}
	return &fault{pointer: fmt.Sprintf("/%s/%d%s", list, index, f.pointer), message: f.message}
}

// Check reports the first fault of a sheet and names its field.
func (s Sheet) Check() error {
	if f := s.fault(); f != nil {
		return invalid("%s: %s", f.pointer, f.message)
	}
	return nil
}

func (s Sheet) fault() *fault {
	if s.Deployment == "" {
		return faultf("/deployment", "is empty")
	}
	regions, centres := map[string]bool{}, map[string]bool{}
	for i, r := range s.Regions {
		if f := r.fault(regions, centres).in("regions", i); f != nil {
			return f
		}
	}
	services, names := map[string]bool{}, map[string]bool{}
	for i, v := range s.Services {
		if f := v.fault(services, names, centres).in("services", i); f != nil {
			return f
		}
	}
	return nil
}

// take adds a name to a set; it is a fault when the name is empty or already there.
func take(set map[string]bool, pointer, name string) *fault {
	if name == "" {
		return faultf(pointer, "is empty")
	}
	if set[name] {
		return faultf(pointer, "%q is named twice", name)
	}
	set[name] = true
	return nil
}

func (r Region) fault(regions, centres map[string]bool) *fault {
	if f := take(regions, "/name", r.Name); f != nil {
		return f
	}
	for i, d := range r.DataCentres {
		if f := take(centres, "", d).in("dataCentres", i); f != nil {
			return f
		}
	}
	return nil
}

// fault checks a service. Databases and instances share one set of names over
// all services, because operators name them without their service.
func (v Service) fault(services, names, centres map[string]bool) *fault {
	if f := take(services, "/name", v.Name); f != nil {
		return f
	}
	kinds := map[string]bool{}
	for i, k := range v.ReadKinds {
		if f := k.fault(kinds).in("readKinds", i); f != nil {
			return f
		}
	}
	for i, d := range v.Databases {
		if f := d.fault(names, centres).in("databases", i); f != nil {
			return f
		}
	}
	return nil
}

func (k ReadKind) fault(kinds map[string]bool) *fault {
	if f := take(kinds, "/name", k.Name); f != nil {
		return f
	}
	if k.MaxStaleness < 0 {
		return faultf("/maxStaleness", "of read kind %q is negative", k.Name)
	}
	return nil
}

func (d Database) fault(names, centres map[string]bool) *fault {
	if f := take(names, "/name", d.Name); f != nil {
		return f
	}
	if len(d.Instances) == 0 {
		return faultf("/instances", "database %q has no instance", d.Name)
	}
	for i, n := range d.Instances {
		if f := n.fault(names, centres).in("instances", i); f != nil {
			return f
		}
	}
	return nil
}

func (i Instance) fault(names, centres map[string]bool) *fault {
	if f := take(names, "/name", i.Name); f != nil {
		return f
	}
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		return faultf("/address", "%q of instance %q is not an IP number and port", i.Address, i.Name)
	}
	if !centres[i.DataCentre] {
		return faultf("/dataCentre", "%q of instance %q is in no region", i.DataCentre, i.Name)
	}
	if i.Slots < 1 {
		return faultf("/slots", "of instance %q is below 1", i.Name)
	}
	if i.Connections < i.Slots {
		return faultf("/connections", "of instance %q is below its slots", i.Name)
	}
	switch i.State {
	case Joining, Serving, Leaving:
		return nil
	}
	return faultf("/state", "%q of instance %q is not joining, serving or leaving", i.State, i.Name)
}

func invalid(format string, args ...any) error {
	return classifier.New(classifier.Invalid, "sheet: "+format, args...)
}
