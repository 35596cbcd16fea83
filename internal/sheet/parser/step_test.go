package parser

import "testing"

// TestCheckStep guards against two sheets in force at the same time whose
// majorities share no instance: each could confirm a write or a promotion without the other.
func TestCheckStep(t *testing.T) {
	db := func(states ...State) Sheet {
		d := Database{Name: "orders"}
		for n, s := range states {
			if s != "" {
				d.Instances = append(d.Instances, Instance{Name: string(rune('a' + n)), State: s})
			}
		}
		return Sheet{Services: []Service{{Databases: []Database{d}}}}
	}
	three := db(Serving, Serving, Serving)
	cases := map[string]struct {
		from, to Sheet
		ok       bool
	}{
		"no change":            {three, three, true},
		"one joins":            {three, db(Serving, Serving, Serving, Joining), true},
		"joined one serves":    {db(Serving, Serving, Serving, Joining), db(Serving, Serving, Serving, Serving), true},
		"two serve at once":    {db(Serving, Serving, Serving, Joining, Joining), db(Serving, Serving, Serving, Serving, Serving), false},
		"one leaves":           {three, db(Leaving, Serving, Serving), true},
		"one is removed":       {db(Leaving, Serving, Serving), db("", Serving, Serving), true},
		"replaced in one step": {three, db(Serving, Serving, "", Serving), false},
		"new database":         {Sheet{}, three, true},
		"back to joining":      {three, db(Joining, Joining, Serving), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if err := c.from.CheckStep(c.to); (err == nil) != c.ok {
				t.Errorf("got %v, want ok %t", err, c.ok)
			}
		})
	}
}
