package replicator

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"parsleyscale/internal/platform/follower"
)

// inForceParam prefixes the name of a table in the query of a request. The value is the operator's own version of the row of
// that table that the requesting VM has in force.
const inForceParam = "inForce:"

// InForce is a row whose value has a version of its own, which decides over the versions of the store: after the store was
// restored from an older copy, its table may have an older value than the VMs.
type InForce struct {
	Key     string
	Value   []byte
	Version uint64 // in the value, by the operator
}

// SetInForce sets the row that is served, besides the table, to VMs that have an older one in force.
func (c *TableCopy) SetInForce(r InForce) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Version > c.inForce.Version {
		c.inForce = r
		c.notify()
	}
}

// withInForce adds the row in force to a page if the requesting VM has an older one and doesn't find it in the page.
func (c *TableCopy) withInForce(p page, table string, q url.Values) page {
	known, err := strconv.ParseUint(q.Get(inForceParam+table), 10, 64)
	if err != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.inForce
	isInPage := slices.ContainsFunc(p.Rows, func(o follower.Row) bool { return o.Key == r.Key && bytes.Equal(o.Value, r.Value) })
	if r.Version > known && !isInPage {
		p.InForce = []follower.Row{{Key: r.Key, Value: r.Value}}
	}
	return p
}

// hasLaterInForce reports whether the row in force is later than a version.
func (c *TableCopy) hasLaterInForce(known uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce.Version > known
}

// Exchange tells other VMs which version of a row is in force on this one, and passes on a later row of theirs. The zero value
// does nothing.
type Exchange struct {
	Table   string
	Version func() uint64 // in force on this VM, by the operator
	// OnRow is called with a row that another VM has in force.
	OnRow func(follower.Row)
}

// addTo adds the version in force to a query for the table.
func (e Exchange) addTo(q url.Values, table string) {
	if e.Table == table && e.Version != nil {
		q.Set(inForceParam+table, strconv.FormatUint(e.Version(), 10))
	}
}

// receive passes on the row in force of another VM's page.
func (e Exchange) receive(table string, p page) {
	if e.Table == table && e.OnRow != nil {
		for _, r := range p.InForce {
			e.OnRow(r)
		}
	}
}

// maxAskedVMs is the number of VMs that a VM asks at its start.
const maxAskedVMs = 4

// Ask asks other VMs, at the same time, for what they have later than a version of the table and in force later than this VM. It
// passes on the rows in force, and those of their tables, until one of them has answered or the timeout is over. A VM that starts
// may read a restored store before the operator has written again.
func (e Exchange) Ask(ctx context.Context, client *http.Client, peers []string, version uint64, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peers = peers[:min(len(peers), maxAskedVMs)]
	answers := make(chan map[string]page, len(peers))
	for _, address := range peers {
		go func() {
			q := url.Values{e.Table: {strconv.FormatUint(version, 10)}}
			e.addTo(q, e.Table)
			pages, _ := fetchChanges(ctx, client, address, q)
			answers <- pages
		}()
	}
	for range peers {
		pages := <-answers
		if p, ok := pages[e.Table]; ok {
			e.receive(e.Table, p)
			for _, r := range p.Rows {
				e.OnRow(r)
			}
		}
		if pages != nil {
			return
		}
	}
}
