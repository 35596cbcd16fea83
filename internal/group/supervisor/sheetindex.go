package supervisor

import (
	"slices"

	"parsleyscale/internal/sheet/parser"
)

// sheetIndex indexes one version of the sheet. It is built once for each version,
// because that takes milliseconds with thousands of databases.
type sheetIndex struct {
	version   uint64
	instances map[string]instanceEntry   // by name
	databases map[string]parser.Database // by name
	local     []parser.Database          // with an instance in this VM's data centre
}

// instanceEntry is an instance and the name of its database.
type instanceEntry struct {
	database string
	instance parser.Instance
}

func newSheetIndex(version uint64, sheet parser.Sheet, dataCentre string) *sheetIndex {
	x := &sheetIndex{version: version, instances: map[string]instanceEntry{}, databases: map[string]parser.Database{}}
	for _, v := range sheet.Services {
		for _, db := range v.Databases {
			x.add(db, dataCentre)
		}
	}
	return x
}

func (x *sheetIndex) add(db parser.Database, dataCentre string) {
	x.databases[db.Name] = db
	for _, i := range db.Instances {
		x.instances[i.Name] = instanceEntry{database: db.Name, instance: i}
	}
	isLocal := func(i parser.Instance) bool { return i.DataCentre == dataCentre }
	if slices.ContainsFunc(db.Instances, isLocal) {
		x.local = append(x.local, db)
	}
}
