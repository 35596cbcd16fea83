package replicator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"parsleyscale/internal/platform/follower"
)

// refreshTimeout bounds a read of a table by a Refresher.
const refreshTimeout = 400 * time.Millisecond

// Refresher brings a VM's copy of a table up to date without waiting for the feed, which may bring changes late.
type Refresher struct {
	Store    follower.Source
	Table    string
	Copy     *TableCopy
	Follower *follower.Follower // of the table; it applies its changes to Copy
}

// Refresh reads the table from the store and passes on what is new. Afterwards, the copy has each change that preceded the call.
func (r *Refresher) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	p, err := r.Store.Read(ctx, r.Table)
	if err == nil {
		r.Follower.MergeTable(p, r.Copy.changesTo)
	}
	return err
}

// changesTo returns the changes that turn the copy into a table, by version. Unlike Replace, changes leave the history of the
// copy to the VMs that follow it.
func (c *TableCopy) changesTo(table follower.Page) []follower.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []follower.Row
	isPresent := make(map[string]bool, len(table.Rows))
	for _, row := range table.Rows {
		isPresent[row.Key] = true
		if old, ok := c.rows[row.Key]; !ok || old.Version != row.Version {
			changes = append(changes, row)
		}
	}
	for key := range c.rows {
		if !isPresent[key] {
			changes = append(changes, follower.Row{Key: key, Version: table.Version, IsRemoved: true})
		}
	}
	slices.SortFunc(changes, func(a, b follower.Row) int { return cmp.Compare(a.Version, b.Version) })
	return changes
}
