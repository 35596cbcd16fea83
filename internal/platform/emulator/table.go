package emulator

import (
	"slices"
	"sync"

	"parsleyscale/internal/platform/client"
)

const maxRows = 1000 // rows in one answer

// tables holds the rows of all tables.
type tables struct {
	mu   sync.Mutex
	rows map[string]map[string]client.Row
	keys map[string][]string // sorted keys of each table
}

func newTables() *tables {
	return &tables{rows: map[string]map[string]client.Row{}, keys: map[string][]string{}}
}

func (t *tables) read(table, key string) (client.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[table][key]
	return r, ok
}

func (t *tables) list(rg client.Range) client.Rows {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rg.Limit <= 0 || rg.Limit > maxRows {
		rg.Limit = maxRows
	}
	keys := t.keys[rg.Table]
	first, _ := slices.BinarySearch(keys, rg.From)
	answer := client.Rows{Rows: []client.Row{}}
	for _, k := range keys[first:] {
		if rg.To != "" && k >= rg.To {
			break
		}
		if len(answer.Rows) == rg.Limit {
			answer.More = true
			break
		}
		answer.Rows = append(answer.Rows, t.rows[rg.Table][k])
	}
	return answer
}

// apply writes all rows, or none when a row has another version than expected.
// It returns the written rows, or the rows in conflict, both without values.
func (t *tables) apply(tx client.Transaction) (written, conflicts []client.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range tx.Writes {
		if v := t.rows[w.Table][w.Key].Version; v != w.Expected {
			conflicts = append(conflicts, client.Row{Table: w.Table, Key: w.Key, Version: v})
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	for _, w := range tx.Writes {
		r := client.Row{Table: w.Table, Key: w.Key, Version: w.Expected + 1, Value: w.Value}
		t.store(r)
		r.Value = nil
		written = append(written, r)
	}
	return written, nil
}

func (t *tables) store(r client.Row) {
	if t.rows[r.Table] == nil {
		t.rows[r.Table] = map[string]client.Row{}
	}
	if at, found := slices.BinarySearch(t.keys[r.Table], r.Key); !found {
		t.keys[r.Table] = slices.Insert(t.keys[r.Table], at, r.Key)
	}
	t.rows[r.Table][r.Key] = r
}
