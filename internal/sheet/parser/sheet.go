// Package parser defines the sheet, the configuration of a deployment, and decodes,
// checks, compares and changes it. Operators state in it which regions, services,
// databases and instances exist, how much staleness each kind of read accepts, and
// which instances are joining or leaving.
package parser

import (
	"slices"

	"parsleyscale/internal/wire/decoder"
)

// State is the state in which the operators want an instance to be.
type State string

// States of an instance.
const (
	Joining State = "joining" // serves reads, but is never promoted
	Serving State = "serving"
	Leaving State = "leaving" // gets no new units of work, except as the primary until it is replaced
)

// Duration is a time.Duration that is a string such as "2s" in JSON.
type Duration = decoder.Duration

// Sheet is the configuration of a deployment.
type Sheet struct {
	Deployment string    `json:"deployment"`
	Regions    []Region  `json:"regions"`
	Services   []Service `json:"services"`

	// Index maps the name of each database to its place. It is nil unless set by Indexed.
	Index map[string]DatabaseIndex `json:"-"`
}

// DatabaseIndex holds the indexes of a service in Sheet.Services and of a database in Service.Databases.
type DatabaseIndex struct {
	Service, Database int
}

// Region is a set of data centres with fast links between them.
type Region struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"dataCentres"`
}

// Service is a set of databases with the same read kinds.
type Service struct {
	Name      string     `json:"name"`
	ReadKinds []ReadKind `json:"readKinds"`
	Databases []Database `json:"databases"`
}

// ReadKind limits the staleness of a kind of read. With a limit of zero, a read sees
// every write acknowledged before the read arrived.
type ReadKind struct {
	Name         string   `json:"name"`
	MaxStaleness Duration `json:"maxStaleness"`
}

// Database is a database with the group of instances that hold copies of it.
type Database struct {
	Name      string     `json:"name"`
	Instances []Instance `json:"instances"`
}

// Instance is one backend server's copy of a database.
type Instance struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Slots       int    `json:"slots"`       // limit of statements that run at once
	Connections int    `json:"connections"` // limit of connections from all VMs together
	State       State  `json:"state"`
}

// Indexed returns the sheet with an index of its databases. A VM looks up a database for
// each unit of work, and a linear search through 8,300 databases takes 17 µs.
func (s Sheet) Indexed() Sheet {
	s.Index = map[string]DatabaseIndex{}
	for n, v := range s.Services {
		for k, d := range v.Databases {
			s.Index[d.Name] = DatabaseIndex{Service: n, Database: k}
		}
	}
	return s
}

// Database returns a database and its service by the name of the database, and reports
// whether it exists. The index may be from before a change of the sheet: if its entry
// is missing or wrong, Database searches the whole sheet.
func (s Sheet) Database(name string) (Database, Service, bool) {
	if p, ok := s.Index[name]; ok && p.refersTo(s, name) {
		v := s.Services[p.Service]
		return v.Databases[p.Database], v, true
	}
	for _, v := range s.Services {
		for _, d := range v.Databases {
			if d.Name == name {
				return d, v, true
			}
		}
	}
	return Database{}, Service{}, false
}

// refersTo reports whether the database of this name is at p in s.
func (p DatabaseIndex) refersTo(s Sheet, name string) bool {
	return p.Service < len(s.Services) && p.Database < len(s.Services[p.Service].Databases) &&
		s.Services[p.Service].Databases[p.Database].Name == name
}

// RegionOf returns the name of the region of a data centre, or "" if no region lists it.
func (s Sheet) RegionOf(dataCentre string) string {
	for _, r := range s.Regions {
		for _, d := range r.DataCentres {
			if d == dataCentre {
				return r.Name
			}
		}
	}
	return ""
}

// ReadKind returns the read kind of this name and reports whether it exists.
func (v Service) ReadKind(name string) (ReadKind, bool) {
	for _, k := range v.ReadKinds {
		if k.Name == name {
			return k, true
		}
	}
	return ReadKind{}, false
}

// Instance returns the instance of this name and reports whether it exists.
func (d Database) Instance(name string) (Instance, bool) {
	for _, i := range d.Instances {
		if i.Name == name {
			return i, true
		}
	}
	return Instance{}, false
}

// WithInstanceState returns a copy of the sheet in which the named instance has the given state.
func (s Sheet) WithInstanceState(name string, state State) Sheet {
	s.Services = slices.Clone(s.Services)
	for i, v := range s.Services {
		s.Services[i].Databases = slices.Clone(v.Databases)
		for j, d := range v.Databases {
			if index := slices.IndexFunc(d.Instances, func(n Instance) bool { return n.Name == name }); index >= 0 {
				instances := slices.Clone(d.Instances)
				instances[index].State = state
				s.Services[i].Databases[j].Instances = instances
			}
		}
	}
	return s
}
