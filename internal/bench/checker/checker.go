package checker

import (
	"fmt"
	"slices"
)

// Result is the counts with the findings behind them.
type Result struct {
	Counts
	Findings []Finding
}

// Check compares a history with what each database holds in the end.
func Check(h History, final map[string]Final) Result {
	c := &check{final: final, index: newIndex(h)}
	c.checkRequests()
	c.checkNames()
	c.checkCounters()
	c.checkStrangers()
	c.checkTerms(h)
	for n := range h {
		if h[n].Kind.IsRead() && h[n].Outcome == Acknowledged {
			c.checkRead(&h[n])
		}
	}
	return c.result
}

type check struct {
	final  map[string]Final
	index  *index
	result Result
}

// count adds n to a count of the result and keeps the operation that shows it.
func (c *check) count(counter *int, name string, n int, op *Operation, format string, args ...any) {
	*counter += n
	c.result.Findings = append(c.result.Findings, Finding{Count: name, Reason: fmt.Sprintf(format, args...), Operation: *op})
}

func (c *check) lost(n int, op *Operation, format string, args ...any) {
	c.count(&c.result.Lost, "lost", n, op, format, args...)
	if op.Term > 0 && op.Term < c.final[op.Database].Term {
		c.count(&c.result.AcknowledgedByReplaced, "acknowledgedByReplaced", n, op, "lost, term %d of %d", op.Term, c.final[op.Database].Term)
	}
}

func (c *check) doubled(n int, op *Operation, format string, args ...any) {
	c.count(&c.result.Doubled, "doubled", n, op, format, args...)
}

func (c *check) falseNotRun(n int, op *Operation, format string, args ...any) {
	c.count(&c.result.FalseNotRun, "falseNotRun", n, op, format, args...)
}

func (c *check) mixed(op *Operation, format string, args ...any) {
	c.count(&c.result.Mixed, "mixed", 1, op, format, args...)
}

// checkRequests compares the final entries with the requests that insert entries.
func (c *check) checkRequests() {
	present := c.presentParts()
	for _, r := range c.index.order {
		op := r.op
		if op.Kind != Insert && op.Kind != Transaction {
			continue
		}
		parts := present[r.id]
		for part, n := range parts {
			if n > 1 {
				c.doubled(1, op, "part %d is present %d times", part, n)
			}
		}
		switch {
		case r.acknowledged && len(parts) < op.parts():
			c.lost(1, op, "%d of %d entries are present", len(parts), op.parts())
		case !r.mayRun && len(parts) > 0:
			c.falseNotRun(1, op, "%d entries are present", len(parts))
		}
		if len(parts) > 0 && len(parts) < op.parts() {
			c.mixed(op, "%d of %d entries are present", len(parts), op.parts())
		}
	}
}

// presentParts counts the final entries of each request by part.
func (c *check) presentParts() map[requestID]map[int]int {
	m := map[requestID]map[int]int{}
	for database, f := range c.final {
		for _, e := range f.Entries {
			id := requestID{database, e.Request}
			if m[id] == nil {
				m[id] = map[int]int{}
			}
			m[id][e.Part]++
		}
	}
	return m
}

func (c *check) checkNames() {
	for id, w := range c.index.names {
		got := c.final[id.database].Names[id.row]
		last := w.lastAcknowledged()
		if last != nil && got < last.Value {
			c.lost(1, last, "the name is at %d", got)
		}
		if got <= w.highestThatMayRun() {
			continue
		}
		if op := w.withValue(got); op != nil {
			c.falseNotRun(1, op, "the name is at %d", got)
			continue
		}
		c.mixed(w.all[0], "the name is at %d, which nobody wrote", got)
	}
}

// checkCounters cannot tell which increment is missing or was applied twice, only how many.
func (c *check) checkCounters() {
	for id, w := range c.index.counters {
		got := int(c.final[id.database].Counters[id.row])
		if got < w.acknowledged {
			c.lost(w.acknowledged-got, w.lastAcknowledged(), "counter at %d after %d acknowledged increments", got, w.acknowledged)
		}
		over := got - w.mayRun
		if over <= 0 {
			continue
		}
		refused := min(over, w.refused)
		if refused > 0 {
			c.falseNotRun(refused, w.all[0], "counter at %d after at most %d increments", got, w.mayRun)
		}
		if over > refused {
			c.doubled(over-refused, w.all[0], "counter at %d after at most %d increments", got, w.mayRun)
		}
	}
}

// checkStrangers finds final entries that nobody inserted or that are in the page of another request.
func (c *check) checkStrangers() {
	for database, f := range c.final {
		for _, e := range f.Entries {
			r := c.index.requests[requestID{database, e.Request}]
			switch {
			case r == nil:
				c.mixed(&Operation{Database: database, Request: e.Request}, "nobody inserted entry %+v", e)
			case r.op.Row != e.Page:
				c.mixed(r.op, "entry is in page %s", e.Page)
			}
		}
	}
}

// checkTerms finds writes that began after another write had been acknowledged
// in a later term and that were nevertheless acknowledged in an earlier term.
func (c *check) checkTerms(h History) {
	byDatabase := map[string][]*Operation{}
	for n := range h {
		if op := &h[n]; !op.Kind.IsRead() && op.Outcome == Acknowledged && op.Term > 0 {
			byDatabase[op.Database] = append(byDatabase[op.Database], op)
		}
	}
	for _, ops := range byDatabase {
		byEnd := slices.Clone(ops)
		slices.SortFunc(byEnd, func(a, b *Operation) int { return int(a.End - b.End) })
		slices.SortFunc(ops, func(a, b *Operation) int { return int(a.Start - b.Start) })
		var highest uint64
		next := 0
		for _, op := range ops {
			for next < len(byEnd) && byEnd[next].End < op.Start {
				highest = max(highest, byEnd[next].Term)
				next++
			}
			// A repeat may be answered by the record of an earlier term.
			if op.Term < highest && !op.Repeat {
				c.count(&c.result.AcknowledgedByReplaced, "acknowledgedByReplaced", 1, op, "term %d was acknowledged before the start", highest)
			}
		}
	}
}
