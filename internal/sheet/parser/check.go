package parser

import (
	"fmt"
	"net/netip"

	"parsleyscale/internal/failure/classifier"
)

// fieldError describes the first invalid field of a sheet. Its pointer is the JSON pointer of the field.
type fieldError struct {
	pointer string
	message string
	offset  int // in the document, set if the pointer is ambiguous because the field is a duplicate; 0 otherwise
}

func fieldErrorf(pointer, format string, args ...any) *fieldError {
	return &fieldError{pointer: pointer, message: fmt.Sprintf(format, args...)}
}

// inList prefixes the pointer, which is relative to a list item, with the list and the index of the item.
func (f *fieldError) inList(list string, index int) *fieldError {
	if f == nil {
		return nil
	}
	return &fieldError{pointer: fmt.Sprintf("/%s/%d%s", list, index, f.pointer), message: f.message}
}

// Check returns an error that names the first invalid field of the sheet, or nil if all are valid.
func (s Sheet) Check() error {
	if f := s.validate(); f != nil {
		return invalidf("%s: %s", f.pointer, f.message)
	}
	return nil
}

// validate returns the error of the first invalid field, or nil.
func (s Sheet) validate() *fieldError {
	if s.Deployment == "" {
		return fieldErrorf("/deployment", "must not be empty")
	}
	regions, dataCentres := map[string]bool{}, map[string]bool{}
	for i, r := range s.Regions {
		if f := r.validate(regions, dataCentres).inList("regions", i); f != nil {
			return f
		}
	}
	services, databaseAndInstanceNames := map[string]bool{}, map[string]bool{}
	for i, v := range s.Services {
		if f := v.validate(services, databaseAndInstanceNames, dataCentres).inList("services", i); f != nil {
			return f
		}
	}
	return nil
}

// addUnique adds a name to a set. It returns an error if the name is empty or in the set already.
func addUnique(set map[string]bool, pointer, name string) *fieldError {
	if name == "" {
		return fieldErrorf(pointer, "must not be empty")
	}
	if set[name] {
		return fieldErrorf(pointer, "%q is a duplicate name", name)
	}
	set[name] = true
	return nil
}

func (r Region) validate(regions, dataCentres map[string]bool) *fieldError {
	if f := addUnique(regions, "/name", r.Name); f != nil {
		return f
	}
	for i, d := range r.DataCentres {
		if f := addUnique(dataCentres, "", d).inList("dataCentres", i); f != nil {
			return f
		}
	}
	return nil
}

// validate checks a service. Names of databases and instances must be unique among both
// and across all services, because operators refer to them without the service.
func (v Service) validate(services, databaseAndInstanceNames, dataCentres map[string]bool) *fieldError {
	if f := addUnique(services, "/name", v.Name); f != nil {
		return f
	}
	kinds := map[string]bool{}
	for i, k := range v.ReadKinds {
		if f := k.validate(kinds).inList("readKinds", i); f != nil {
			return f
		}
	}
	for i, d := range v.Databases {
		if f := d.validate(databaseAndInstanceNames, dataCentres).inList("databases", i); f != nil {
			return f
		}
	}
	return nil
}

func (k ReadKind) validate(kinds map[string]bool) *fieldError {
	if f := addUnique(kinds, "/name", k.Name); f != nil {
		return f
	}
	if k.MaxStaleness < 0 {
		return fieldErrorf("/maxStaleness", "%s of read kind %q is negative", k.MaxStaleness.Std(), k.Name)
	}
	return nil
}

func (d Database) validate(databaseAndInstanceNames, dataCentres map[string]bool) *fieldError {
	if f := addUnique(databaseAndInstanceNames, "/name", d.Name); f != nil {
		return f
	}
	if len(d.Instances) == 0 {
		return fieldErrorf("/instances", "database %q has no instances", d.Name)
	}
	for i, n := range d.Instances {
		if f := n.validate(databaseAndInstanceNames, dataCentres).inList("instances", i); f != nil {
			return f
		}
	}
	return nil
}

func (i Instance) validate(databaseAndInstanceNames, dataCentres map[string]bool) *fieldError {
	if f := addUnique(databaseAndInstanceNames, "/name", i.Name); f != nil {
		return f
	}
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		return fieldErrorf("/address", "%q of instance %q is not an IP address and port", i.Address, i.Name)
	}
	if !dataCentres[i.DataCentre] {
		return fieldErrorf("/dataCentre", "%q of instance %q is not listed in any region", i.DataCentre, i.Name)
	}
	if i.Slots < 1 {
		return fieldErrorf("/slots", "%d of instance %q is below the minimum of 1", i.Slots, i.Name)
	}
	if i.Connections < i.Slots {
		return fieldErrorf("/connections", "%d of instance %q is below its %d slots", i.Connections, i.Name, i.Slots)
	}
	switch i.State {
	case Joining, Serving, Leaving:
		return nil
	}
	return fieldErrorf("/state", "%q of instance %q is not joining, serving or leaving", i.State, i.Name)
}

func invalidf(format string, args ...any) error {
	return classifier.New(classifier.Invalid, "sheet: "+format, args...)
}
