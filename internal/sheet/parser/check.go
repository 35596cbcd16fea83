package parser

import (
	"net/netip"

	"parsleyscale/internal/failure/classifier"
)

// Check reports the first fault of a sheet and names its field.
func (s Sheet) Check() error {
	if s.Deployment == "" {
		return invalid("deployment: is empty")
	}
	seen := map[string]bool{}
	for _, r := range s.Regions {
		for _, d := range r.DataCentres {
			if r.Name == "" || d == "" || seen[d] {
				return invalid("regions: %q: data centre %q is empty or named twice", r.Name, d)
			}
			seen[d] = true
		}
	}
	names := map[string]bool{}
	for _, v := range s.Services {
		if err := v.check(s, names); err != nil {
			return err
		}
	}
	return nil
}

func (v Service) check(s Sheet, names map[string]bool) error {
	if v.Name == "" {
		return invalid("services: name is empty")
	}
	kinds := map[string]bool{}
	for _, k := range v.ReadKinds {
		if k.Name == "" || kinds[k.Name] {
			return invalid("services: %s: readKinds: %q is empty or named twice", v.Name, k.Name)
		}
		if k.MaxStaleness < 0 {
			return invalid("services: %s: readKinds: %s: maxStaleness is negative", v.Name, k.Name)
		}
		kinds[k.Name] = true
	}
	for _, d := range v.Databases {
		if d.Name == "" || names[d.Name] {
			return invalid("services: %s: databases: %q is empty or named twice", v.Name, d.Name)
		}
		names[d.Name] = true
		if err := d.check(s, names); err != nil {
			return err
		}
	}
	return nil
}

func (d Database) check(s Sheet, names map[string]bool) error {
	if len(d.Instances) == 0 {
		return invalid("databases: %s: has no instance", d.Name)
	}
	for _, i := range d.Instances {
		if i.Name == "" || names[i.Name] {
			return invalid("databases: %s: instances: %q is empty or named twice", d.Name, i.Name)
		}
		names[i.Name] = true
		if _, err := netip.ParseAddrPort(i.Address); err != nil {
			return invalid("databases: %s: %s: address %q is not an IP number and port", d.Name, i.Name, i.Address)
		}
		if s.RegionOf(i.DataCentre) == "" {
			return invalid("databases: %s: %s: unknown data centre %q", d.Name, i.Name, i.DataCentre)
		}
		if i.Slots < 1 || i.Connections < i.Slots {
			return invalid("databases: %s: %s: needs at least one slot and a connection for each", d.Name, i.Name)
		}
		switch i.State {
		case Joining, Serving, Leaving:
		default:
			return invalid("databases: %s: %s: unknown state %q", d.Name, i.Name, i.State)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return classifier.New(classifier.Invalid, "sheet: "+format, args...)
}
