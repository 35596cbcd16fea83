package driver

import (
	"fmt"
	"time"
)

// Shape is the load of one customer: what it calls its rows and read kinds, and how often it does what.
type Shape struct {
	Entries  string // table of bookings or tickets
	Names    string // table of corrected names
	Counters string // table of stock or balances
	OldRead  string // read kind that accepts age
	NewRead  string // read kind that accepts none
	Clerks   int    // number of callers with mixed work
	Think    time.Duration
	Weights  []Weight
}

// Action is something a clerk does.
type Action string

// The actions.
const (
	Book          Action = "book"          // insert one entry with a key
	BookTwo       Action = "bookTwo"       // insert two entries in a transaction with a key
	BookUnkeyed   Action = "bookUnkeyed"   // insert one entry without a key
	Correct       Action = "correct"       // correct a name, then read it through another VM
	Count         Action = "count"         // raise a counter
	LookUpPage    Action = "lookUpPage"    // read any page, some age accepted
	LookUpName    Action = "lookUpName"    // read any name, some age accepted
	LookUpOwnPage Action = "lookUpOwnPage" // read the page that the clerk is filling
	LookUpCounter Action = "lookUpCounter" // read any counter, no age accepted
)

// Weight is the relative frequency of an action.
type Weight struct {
	Action Action
	Weight int
}

// ShapeOf returns the load of a deployment.
func ShapeOf(deployment string) (Shape, error) {
	switch deployment {
	case "arrieta":
		return Shape{
			Entries: "bookings", Names: "undertakers", Counters: "stock", OldRead: "catalogue", NewRead: "stock",
			Clerks: 96, Think: 120 * time.Millisecond,
			Weights: []Weight{{Book, 6}, {BookTwo, 2}, {BookUnkeyed, 2}, {Correct, 3}, {Count, 3}, {LookUpPage, 22}, {LookUpName, 50}, {LookUpOwnPage, 4}, {LookUpCounter, 8}},
		}, nil
	case "kavango":
		return Shape{
			Entries: "tickets", Names: "members", Counters: "balances", OldRead: "tallies", NewRead: "balances",
			Clerks: 160, Think: 200 * time.Millisecond,
			Weights: []Weight{{Book, 20}, {BookTwo, 5}, {BookUnkeyed, 3}, {Correct, 5}, {Count, 5}, {LookUpPage, 400}, {LookUpName, 500}, {LookUpOwnPage, 25}, {LookUpCounter, 37}},
		}, nil
	}
	return Shape{}, fmt.Errorf("no load for deployment %q", deployment)
}

func (s Shape) tables() []string {
	return []string{
		"CREATE TABLE IF NOT EXISTS " + s.Entries + " (id integer PRIMARY KEY, request text NOT NULL, part integer NOT NULL, page text NOT NULL, content text NOT NULL)",
		"CREATE INDEX IF NOT EXISTS " + s.Entries + "_page ON " + s.Entries + " (page)",
		"CREATE TABLE IF NOT EXISTS " + s.Names + " (id text PRIMARY KEY, revision integer NOT NULL)",
		"CREATE TABLE IF NOT EXISTS " + s.Counters + " (id text PRIMARY KEY, n integer NOT NULL)",
	}
}

func (s Shape) insert() string {
	return "INSERT INTO " + s.Entries + " (request, part, page, content) VALUES ($1, $2, $3, $4)"
}

func (s Shape) correct() string {
	return "INSERT INTO " + s.Names + " (id, revision) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET revision = excluded.revision"
}

func (s Shape) count() string {
	return "INSERT INTO " + s.Counters + " (id, n) VALUES ($1, 1) ON CONFLICT (id) DO UPDATE SET n = n + 1"
}

func (s Shape) readPage() string {
	return "SELECT request, part, page, (SELECT count(*) FROM " + s.Entries + " WHERE page = $1) FROM " + s.Entries + " WHERE page = $1 ORDER BY id"
}

func (s Shape) readName() string { return "SELECT id, revision FROM " + s.Names + " WHERE id = $1" }

func (s Shape) readCounter() string { return "SELECT id, n FROM " + s.Counters + " WHERE id = $1" }
