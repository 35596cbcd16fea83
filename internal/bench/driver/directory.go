package driver

import (
	"math/rand/v2"
	"sync"
)

// shelf names one sort of rows of a database.
type shelf struct {
	database string
	table    string
}

// directory lists the rows that callers have written, so that others can read them.
type directory struct {
	mu   sync.Mutex
	rows map[shelf][]string
}

func newDirectory() *directory { return &directory{rows: map[shelf][]string{}} }

func (d *directory) add(database, table, row string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := shelf{database, table}
	d.rows[s] = append(d.rows[s], row)
}

// pick returns a row, or "" when there is none.
func (d *directory) pick(rng *rand.Rand, database, table string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.rows[shelf{database, table}]
	if len(list) == 0 {
		return ""
	}
	return list[rng.IntN(len(list))]
}
