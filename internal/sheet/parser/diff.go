package parser

// Diff returns the change that turns a into b.
func Diff(a, b Sheet) Change {
	var c Change
	if a.Deployment != b.Deployment {
		c.Deployment = &StringEdit{Old: a.Deployment, New: b.Deployment}
	}
	c.Regions, c.RegionOrder = diffRegions(a.Regions, b.Regions)
	var pairs []pair
	pairs, c.ServiceOrder = matchNames(serviceNames(a.Services), serviceNames(b.Services))
	for _, p := range pairs {
		var before, after Service
		if p.old >= 0 {
			before = a.Services[p.old]
		}
		if p.new >= 0 {
			after = b.Services[p.new]
		}
		if e := diffService(before, after, opFor(p.old >= 0, p.new >= 0)); e.Op != Modify || !e.empty() {
			c.Services = append(c.Services, e)
		}
	}
	return c
}

// empty reports whether the edit changes neither the read kinds nor the databases of the service.
func (e ServiceEdit) empty() bool {
	return len(e.ReadKinds) == 0 && e.ReadKindOrder == nil && len(e.Databases) == 0 && e.DatabaseOrder == nil
}

func diffService(before, after Service, op Op) ServiceEdit {
	e := ServiceEdit{Name: before.Name, Op: op}
	if op == Add {
		e.Name = after.Name
	}
	e.ReadKinds, e.ReadKindOrder = diffReadKinds(before.ReadKinds, after.ReadKinds)
	var pairs []pair
	pairs, e.DatabaseOrder = matchNames(databaseNames(before.Databases), databaseNames(after.Databases))
	for _, p := range pairs {
		var a, b Database
		if p.old >= 0 {
			a = before.Databases[p.old]
		}
		if p.new >= 0 {
			b = after.Databases[p.new]
		}
		d := diffDatabase(a, b, opFor(p.old >= 0, p.new >= 0))
		if d.Op != Modify || len(d.Instances) > 0 || d.InstanceOrder != nil {
			e.Databases = append(e.Databases, d)
		}
	}
	return e
}

func diffDatabase(before, after Database, op Op) DatabaseEdit {
	e := DatabaseEdit{Name: before.Name, Op: op}
	if op == Add {
		e.Name = after.Name
	}
	var pairs []pair
	pairs, e.InstanceOrder = matchNames(instanceNames(before.Instances), instanceNames(after.Instances))
	for _, p := range pairs {
		var i InstanceEdit
		if p.old >= 0 {
			i.Old = &before.Instances[p.old]
		}
		if p.new >= 0 {
			i.New = &after.Instances[p.new]
		}
		if i.Old == nil || i.New == nil || *i.Old != *i.New {
			e.Instances = append(e.Instances, i)
		}
	}
	return e
}

func diffRegions(before, after []Region) (edits []RegionEdit, order []string) {
	pairs, order := matchNames(regionNames(before), regionNames(after))
	for _, p := range pairs {
		var e RegionEdit
		if p.old >= 0 {
			e.Old = &before[p.old]
		}
		if p.new >= 0 {
			e.New = &after[p.new]
		}
		if e.Old == nil || e.New == nil || !e.Old.equal(*e.New) {
			edits = append(edits, e)
		}
	}
	return edits, order
}

func diffReadKinds(before, after []ReadKind) (edits []ReadKindEdit, order []string) {
	pairs, order := matchNames(readKindNames(before), readKindNames(after))
	for _, p := range pairs {
		var e ReadKindEdit
		if p.old >= 0 {
			e.Old = &before[p.old]
		}
		if p.new >= 0 {
			e.New = &after[p.new]
		}
		if e.Old == nil || e.New == nil || *e.Old != *e.New {
			edits = append(edits, e)
		}
	}
	return edits, order
}
