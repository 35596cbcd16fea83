package runner

import (
	"fmt"
	"time"
)

// Scenario is one experiment.
type Scenario struct {
	Name    string
	Title   string
	writers int // for each database, besides the clerks
	run     func(r *run) error
}

// scenarios is the table of all scenarios.
var scenarios = []Scenario{
	{"steady", "no faults", 0, func(*run) error { return nil }},
	{"primaryKill", "primaries are killed one after the other and started again", failoverWriters, primaryKill},
}

// Scenarios returns a copy of the table.
func Scenarios() []Scenario { return append([]Scenario(nil), scenarios...) }

// Find returns the scenario with a name.
func Find(name string) (Scenario, error) {
	for _, s := range scenarios {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("no scenario %q", name)
}

const (
	// failurePeriod is the time that one failure and the recovery from it get.
	failurePeriod = 3 * time.Second
	// switchTimeout bounds the wait for another primary.
	switchTimeout = 8 * time.Second
)

// eachPrimary makes a primary fail and recover, database after database, while there is time.
func (r *run) eachPrimary(fail func(name string) error, recover func(name string) error) error {
	for first := true; first || r.left() > failurePeriod; first = false {
		db := r.service.Databases[r.next%len(r.service.Databases)].Name
		r.next++
		i, err := r.sys.Primary(db)
		if err != nil {
			return err
		}
		before := r.sys.Terms()[db].Number
		if err := fail(i.Name); err != nil {
			return err
		}
		r.awaitTerm(db, before)
		if !r.sleep(time.Duration(300+r.rng.IntN(400)) * time.Millisecond) {
			return nil
		}
		if err := recover(i.Name); err != nil {
			return err
		}
		if !r.sleep(time.Duration(300+r.rng.IntN(400)) * time.Millisecond) {
			return nil
		}
	}
	return nil
}

// awaitTerm waits until a database has a primary of a later term.
func (r *run) awaitTerm(database string, before uint64) {
	for end := time.Now().Add(switchTimeout); time.Now().Before(end); {
		if r.sys.Terms()[database].Number > before || !r.sleep(pollInterval) {
			return
		}
	}
}

func (r *run) kill(name string) error {
	i, err := r.sys.Instance(name)
	if err != nil {
		return err
	}
	return r.sys.KillInstance(i)
}

func primaryKill(r *run) error { return r.eachPrimary(r.kill, r.restore) }
