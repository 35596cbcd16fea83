package emulator

import (
	"slices"
	"sync"

	"parsleyscale/internal/platform/client"
)

// maxListRows is the largest number of rows that a list returns.
const maxListRows = 1000

// tables holds the rows of all tables.
type tables struct {
	mu   sync.Mutex
	rows map[string]map[string]client.Row // by table and key
	keys map[string][]string              // by table, in ascending order
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

// list returns the rows of a range in key order, up to its limit.
func (t *tables) list(rg client.Range) client.Rows {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rg.Limit <= 0 || rg.Limit > maxListRows {
		rg.Limit = maxListRows
	}
	keys := t.keys[rg.Table]
	first, _ := slices.BinarySearch(keys, rg.From)
	result := client.Rows{Rows: []client.Row{}}
	for _, k := range keys[first:] {
		if rg.To != "" && k >= rg.To {
			break
		}
		if len(result.Rows) == rg.Limit {
			result.More = true
			break
		}
		result.Rows = append(result.Rows, t.rows[rg.Table][k])
	}
	return result
}

// apply writes all rows, or none if a row does not have the expected version. It returns the written rows, or the rows
// in conflict with their present versions, both without values.
func (t *tables) apply(tx client.Transaction) (written, conflicts []client.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range tx.Writes {
		if version := t.rows[w.Table][w.Key].Version; version != w.ExpectedVersion {
			conflicts = append(conflicts, client.Row{Table: w.Table, Key: w.Key, Version: version})
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	for _, w := range tx.Writes {
		r := client.Row{Table: w.Table, Key: w.Key, Version: w.ExpectedVersion + 1, Value: w.Value}
		t.setRow(r)
		r.Value = nil
		written = append(written, r)
	}
	return written, nil
}

// setRow stores a row and adds its key if it is new. The caller holds t.mu.
func (t *tables) setRow(r client.Row) {
	if t.rows[r.Table] == nil {
		t.rows[r.Table] = map[string]client.Row{}
	}
	if index, found := slices.BinarySearch(t.keys[r.Table], r.Key); !found {
		t.keys[r.Table] = slices.Insert(t.keys[r.Table], index, r.Key)
	}
	t.rows[r.Table][r.Key] = r
}
