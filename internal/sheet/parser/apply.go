package parser

import "encoding/json"

// UnmarshalJSON decodes and checks a change.
func (c *Change) UnmarshalJSON(b []byte) error {
	type plain Change
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	for _, e := range p.Regions {
		if e.Was == nil && e.Now == nil || e.Was != nil && e.Now != nil && e.Was.Name != e.Now.Name {
			return invalid("change: an edit of a region is empty or renames it")
		}
	}
	for _, s := range p.Services {
		if err := s.check(); err != nil {
			return err
		}
	}
	*c = Change(p)
	return nil
}

func (e ServiceEdit) check() error {
	if err := e.Op.check(e.Name); err != nil {
		return err
	}
	for _, k := range e.ReadKinds {
		if k.Was == nil && k.Now == nil || k.Was != nil && k.Now != nil && k.Was.Name != k.Now.Name {
			return invalid("change: service %q: an edit of a read kind is empty or renames it", e.Name)
		}
	}
	for _, d := range e.Databases {
		if err := d.Op.check(d.Name); err != nil {
			return err
		}
		for _, i := range d.Instances {
			if i.Was == nil && i.Now == nil || i.Was != nil && i.Now != nil && i.Was.Name != i.Now.Name {
				return invalid("change: database %q: an edit of an instance is empty or renames it", d.Name)
			}
		}
	}
	return nil
}

func (o Op) check(name string) error {
	switch o {
	case Add, Remove, Modify:
		return nil
	}
	return invalid("change: %q: unknown operation %q", name, o)
}

// Apply returns the sheet that the change leads to. The error is of kind
// invalid when the change was not made for this sheet, or leads to a sheet that
// fails its check. The given sheet stays as it is.
func (c Change) Apply(s Sheet) (Sheet, error) {
	if c.Deployment != nil {
		if s.Deployment != c.Deployment.Was {
			return Sheet{}, mismatch("deployment", s.Deployment)
		}
		s.Deployment = c.Deployment.Now
	}
	var err error
	if s.Regions, err = applyRegions(s.Regions, c.Regions, c.RegionOrder); err != nil {
		return Sheet{}, err
	}
	if s.Services, err = applyServices(s.Services, c.Services, c.ServiceOrder); err != nil {
		return Sheet{}, err
	}
	return s, s.Check()
}

func mismatch(what, name string) error {
	return invalid("change: %s %q differs from the one that the change was made for", what, name)
}

func applyServices(list []Service, edits []ServiceEdit, order []string) ([]Service, error) {
	steps := make([]step, len(edits))
	for i, e := range edits {
		steps[i] = step{e.Name, e.Op}
	}
	pairs, err := arrange("services", serviceNames(list), steps, order)
	if err != nil {
		return nil, err
	}
	var out []Service
	for _, p := range pairs {
		v := Service{}
		if p.was >= 0 {
			v = list[p.was]
		}
		if p.now >= 0 {
			if v, err = edits[p.now].apply(v); err != nil {
				return nil, err
			}
		}
		out = append(out, v)
	}
	return out, nil
}

func (e ServiceEdit) apply(v Service) (Service, error) {
	v.Name = e.Name
	var err error
	if v.ReadKinds, err = applyReadKinds(v.ReadKinds, e.ReadKinds, e.ReadKindOrder); err != nil {
		return v, err
	}
	v.Databases, err = applyDatabases(v.Databases, e.Databases, e.DatabaseOrder)
	return v, err
}

func applyDatabases(list []Database, edits []DatabaseEdit, order []string) ([]Database, error) {
	steps := make([]step, len(edits))
	for i, e := range edits {
		steps[i] = step{e.Name, e.Op}
	}
	pairs, err := arrange("databases", databaseNames(list), steps, order)
	if err != nil {
		return nil, err
	}
	var out []Database
	for _, p := range pairs {
		d := Database{}
		if p.was >= 0 {
			d = list[p.was]
		}
		if p.now >= 0 {
			e := edits[p.now]
			d.Name = e.Name
			if d.Instances, err = applyInstances(d.Instances, e.Instances, e.InstanceOrder); err != nil {
				return nil, err
			}
		}
		out = append(out, d)
	}
	return out, nil
}

func applyInstances(list []Instance, edits []InstanceEdit, order []string) ([]Instance, error) {
	steps := make([]step, len(edits))
	places := indexOf(instanceNames(list))
	for i, e := range edits {
		steps[i] = e.step()
		if at, ok := places[steps[i].name]; ok && e.Was != nil && list[at] != *e.Was {
			return nil, mismatch("instance", e.Was.Name)
		}
	}
	pairs, err := arrange("instances", instanceNames(list), steps, order)
	if err != nil {
		return nil, err
	}
	var out []Instance
	for _, p := range pairs {
		if p.now >= 0 {
			out = append(out, *edits[p.now].Now)
		} else {
			out = append(out, list[p.was])
		}
	}
	return out, nil
}

func applyRegions(list []Region, edits []RegionEdit, order []string) ([]Region, error) {
	steps := make([]step, len(edits))
	places := indexOf(regionNames(list))
	for i, e := range edits {
		steps[i] = e.step()
		if at, ok := places[steps[i].name]; ok && e.Was != nil && !list[at].equal(*e.Was) {
			return nil, mismatch("region", e.Was.Name)
		}
	}
	pairs, err := arrange("regions", regionNames(list), steps, order)
	if err != nil {
		return nil, err
	}
	var out []Region
	for _, p := range pairs {
		if p.now >= 0 {
			out = append(out, *edits[p.now].Now)
		} else {
			out = append(out, list[p.was])
		}
	}
	return out, nil
}

func applyReadKinds(list []ReadKind, edits []ReadKindEdit, order []string) ([]ReadKind, error) {
	steps := make([]step, len(edits))
	places := indexOf(readKindNames(list))
	for i, e := range edits {
		steps[i] = e.step()
		if at, ok := places[steps[i].name]; ok && e.Was != nil && list[at] != *e.Was {
			return nil, mismatch("read kind", e.Was.Name)
		}
	}
	pairs, err := arrange("readKinds", readKindNames(list), steps, order)
	if err != nil {
		return nil, err
	}
	var out []ReadKind
	for _, p := range pairs {
		if p.now >= 0 {
			out = append(out, *edits[p.now].Now)
		} else {
			out = append(out, list[p.was])
		}
	}
	return out, nil
}
