package supervisor

import (
	"slices"

	"parsleyscale/internal/sheet/parser"
)

// layout is what the supervisor derives from one version of the sheet. It is
// derived once for each version, because that takes milliseconds with thousands of databases.
type layout struct {
	version   uint64
	owner     map[string]located         // by instance
	databases map[string]parser.Database // by name
	near      []parser.Database          // with an instance in this VM's data centre
}

// located is an instance and its database.
type located struct {
	database string
	instance parser.Instance
}

func layoutOf(version uint64, sheet parser.Sheet, dataCentre string) *layout {
	l := &layout{version: version, owner: map[string]located{}, databases: map[string]parser.Database{}}
	for _, v := range sheet.Services {
		for _, db := range v.Databases {
			l.add(db, dataCentre)
		}
	}
	return l
}

func (l *layout) add(db parser.Database, dataCentre string) {
	l.databases[db.Name] = db
	for _, i := range db.Instances {
		l.owner[i.Name] = located{database: db.Name, instance: i}
	}
	isNear := func(i parser.Instance) bool { return i.DataCentre == dataCentre }
	if slices.ContainsFunc(db.Instances, isNear) {
		l.near = append(l.near, db)
	}
}
