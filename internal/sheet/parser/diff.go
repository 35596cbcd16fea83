package parser

// Diff returns the change that leads from a to b.
func Diff(a, b Sheet) Change {
	var c Change
	if a.Deployment != b.Deployment {
		c.Deployment = &TextEdit{Was: a.Deployment, Now: b.Deployment}
	}
	c.Regions, c.RegionOrder = diffRegions(a.Regions, b.Regions)
	var pairs []pair
	pairs, c.ServiceOrder = match(serviceNames(a.Services), serviceNames(b.Services))
	for _, p := range pairs {
		var was, now Service
		if p.was >= 0 {
			was = a.Services[p.was]
		}
		if p.now >= 0 {
			now = b.Services[p.now]
		}
		if e := diffService(was, now, opOf(p.was >= 0, p.now >= 0)); e.Op != Modify || !e.empty() {
			c.Services = append(c.Services, e)
		}
	}
	return c
}

func (e ServiceEdit) empty() bool {
	return len(e.ReadKinds) == 0 && e.ReadKindOrder == nil && len(e.Databases) == 0 && e.DatabaseOrder == nil
}

func diffService(was, now Service, op Op) ServiceEdit {
	e := ServiceEdit{Name: was.Name, Op: op}
	if op == Add {
		e.Name = now.Name
	}
	e.ReadKinds, e.ReadKindOrder = diffReadKinds(was.ReadKinds, now.ReadKinds)
	var pairs []pair
	pairs, e.DatabaseOrder = match(databaseNames(was.Databases), databaseNames(now.Databases))
	for _, p := range pairs {
		var a, b Database
		if p.was >= 0 {
			a = was.Databases[p.was]
		}
		if p.now >= 0 {
			b = now.Databases[p.now]
		}
		d := diffDatabase(a, b, opOf(p.was >= 0, p.now >= 0))
		if d.Op != Modify || len(d.Instances) > 0 || d.InstanceOrder != nil {
			e.Databases = append(e.Databases, d)
		}
	}
	return e
}

func diffDatabase(was, now Database, op Op) DatabaseEdit {
	e := DatabaseEdit{Name: was.Name, Op: op}
	if op == Add {
		e.Name = now.Name
	}
	var pairs []pair
	pairs, e.InstanceOrder = match(instanceNames(was.Instances), instanceNames(now.Instances))
	for _, p := range pairs {
		var i InstanceEdit
		if p.was >= 0 {
			i.Was = &was.Instances[p.was]
		}
		if p.now >= 0 {
			i.Now = &now.Instances[p.now]
		}
		if i.Was == nil || i.Now == nil || *i.Was != *i.Now {
			e.Instances = append(e.Instances, i)
		}
	}
	return e
}

func diffRegions(was, now []Region) (edits []RegionEdit, order []string) {
	pairs, order := match(regionNames(was), regionNames(now))
	for _, p := range pairs {
		var e RegionEdit
		if p.was >= 0 {
			e.Was = &was[p.was]
		}
		if p.now >= 0 {
			e.Now = &now[p.now]
		}
		if e.Was == nil || e.Now == nil || !e.Was.equal(*e.Now) {
			edits = append(edits, e)
		}
	}
	return edits, order
}

func diffReadKinds(was, now []ReadKind) (edits []ReadKindEdit, order []string) {
	pairs, order := match(readKindNames(was), readKindNames(now))
	for _, p := range pairs {
		var e ReadKindEdit
		if p.was >= 0 {
			e.Was = &was[p.was]
		}
		if p.now >= 0 {
			e.Now = &now[p.now]
		}
		if e.Was == nil || e.Now == nil || *e.Was != *e.Now {
			edits = append(edits, e)
		}
	}
	return edits, order
}
