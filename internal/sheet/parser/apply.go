package parser

import "encoding/json"

// UnmarshalJSON decodes a change and rejects malformed edits.
func (c *Change) UnmarshalJSON(b []byte) error {
	type plain Change
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	for _, e := range p.Regions {
		if e.Old == nil && e.New == nil || e.Old != nil && e.New != nil && e.Old.Name != e.New.Name {
			return invalidf("change: an edit of a region has neither an old nor a new value, or renames it")
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
		if k.Old == nil && k.New == nil || k.Old != nil && k.New != nil && k.Old.Name != k.New.Name {
			return invalidf("change: service %q: an edit of a read kind has neither an old nor a new value, or renames it", e.Name)
		}
	}
	for _, d := range e.Databases {
		if err := d.Op.check(d.Name); err != nil {
			return err
		}
		for _, i := range d.Instances {
			if i.Old == nil && i.New == nil || i.Old != nil && i.New != nil && i.Old.Name != i.New.Name {
				return invalidf("change: database %q: an edit of an instance has neither an old nor a new value, or renames it", d.Name)
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
	return invalidf("change: %q: unknown operation %q", name, o)
}

// Apply returns the sheet that results from applying the change to s, which is not
// modified. The error is of kind invalid if the change was made for another sheet or
// the result fails Check.
func (c Change) Apply(s Sheet) (Sheet, error) {
	if c.Deployment != nil {
		if s.Deployment != c.Deployment.Old {
			return Sheet{}, mismatchError("deployment", s.Deployment)
		}
		s.Deployment = c.Deployment.New
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

// mismatchError returns the error for a change whose old value differs from the sheet.
func mismatchError(what, name string) error {
	return invalidf("change: %s %q differs from the old value in the change", what, name)
}

func applyServices(list []Service, edits []ServiceEdit, order []string) ([]Service, error) {
	itemEdits := make([]itemEdit, len(edits))
	for i, e := range edits {
		itemEdits[i] = itemEdit{e.Name, e.Op}
	}
	pairs, err := mergeEdits("services", serviceNames(list), itemEdits, order)
	if err != nil {
		return nil, err
	}
	var out []Service
	for _, p := range pairs {
		v := Service{}
		if p.old >= 0 {
			v = list[p.old]
		}
		if p.new >= 0 {
			if v, err = edits[p.new].apply(v); err != nil {
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
	itemEdits := make([]itemEdit, len(edits))
	for i, e := range edits {
		itemEdits[i] = itemEdit{e.Name, e.Op}
	}
	pairs, err := mergeEdits("databases", databaseNames(list), itemEdits, order)
	if err != nil {
		return nil, err
	}
	var out []Database
	for _, p := range pairs {
		d := Database{}
		if p.old >= 0 {
			d = list[p.old]
		}
		if p.new >= 0 {
			e := edits[p.new]
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
	itemEdits := make([]itemEdit, len(edits))
	indexes := indexOf(instanceNames(list))
	for i, e := range edits {
		itemEdits[i] = e.itemEdit()
		if index, ok := indexes[itemEdits[i].name]; ok && e.Old != nil && list[index] != *e.Old {
			return nil, mismatchError("instance", e.Old.Name)
		}
	}
	pairs, err := mergeEdits("instances", instanceNames(list), itemEdits, order)
	if err != nil {
		return nil, err
	}
	var out []Instance
	for _, p := range pairs {
		if p.new >= 0 {
			out = append(out, *edits[p.new].New)
		} else {
			out = append(out, list[p.old])
		}
	}
	return out, nil
}

func applyRegions(list []Region, edits []RegionEdit, order []string) ([]Region, error) {
	itemEdits := make([]itemEdit, len(edits))
	indexes := indexOf(regionNames(list))
	for i, e := range edits {
		itemEdits[i] = e.itemEdit()
		if index, ok := indexes[itemEdits[i].name]; ok && e.Old != nil && !list[index].equal(*e.Old) {
			return nil, mismatchError("region", e.Old.Name)
		}
	}
	pairs, err := mergeEdits("regions", regionNames(list), itemEdits, order)
	if err != nil {
		return nil, err
	}
	var out []Region
	for _, p := range pairs {
		if p.new >= 0 {
			out = append(out, *edits[p.new].New)
		} else {
			out = append(out, list[p.old])
		}
	}
	return out, nil
}

func applyReadKinds(list []ReadKind, edits []ReadKindEdit, order []string) ([]ReadKind, error) {
	itemEdits := make([]itemEdit, len(edits))
	indexes := indexOf(readKindNames(list))
	for i, e := range edits {
		itemEdits[i] = e.itemEdit()
		if index, ok := indexes[itemEdits[i].name]; ok && e.Old != nil && list[index] != *e.Old {
			return nil, mismatchError("read kind", e.Old.Name)
		}
	}
	pairs, err := mergeEdits("readKinds", readKindNames(list), itemEdits, order)
	if err != nil {
		return nil, err
	}
	var out []ReadKind
	for _, p := range pairs {
		if p.new >= 0 {
			out = append(out, *edits[p.new].New)
		} else {
			out = append(out, list[p.old])
		}
	}
	return out, nil
}
