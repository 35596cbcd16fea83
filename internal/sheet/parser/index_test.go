package parser

import "testing"

// TestIndexIsAHint guards against a database that is found in the place of
// another one, when a sheet was changed after its index was made.
func TestIndexIsAHint(t *testing.T) {
	sheet := func(names ...string) Sheet {
		v := Service{Name: "ledger"}
		for _, n := range names {
			v.Databases = append(v.Databases, Database{Name: n})
		}
		return Sheet{Services: []Service{v}}
	}
	s := sheet("a", "b", "c").Indexed()
	s.Services = sheet("b", "c", "d").Services
	for name, want := range map[string]bool{"a": false, "b": true, "c": true, "d": true} {
		db, _, ok := s.Database(name)
		if ok != want || (ok && db.Name != name) {
			t.Errorf("%s: found %t %q", name, ok, db.Name)
		}
	}
}
