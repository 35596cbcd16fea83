package checker

import "time"

func (c *check) checkRead(op *Operation) {
	switch op.Kind {
	case ReadPage:
		c.checkPage(op)
	case ReadName:
		c.checkValue(op, c.index.names[rowID{op.Database, op.Row}], nameAfter)
	case ReadCounter:
		c.checkValue(op, c.index.counters[rowID{op.Database, op.Row}], counterAfter)
	}
}

// nameAfter returns the value that a name has at least after writes.
func nameAfter(list []*request) int64 {
	var v int64
	for _, r := range list {
		v = max(v, r.op.Value)
	}
	return v
}

// counterAfter returns the value that a counter has at least after writes.
func counterAfter(list []*request) int64 { return int64(len(list)) }

func (c *check) stale(op *Operation, isOwn bool, format string, args ...any) {
	if isOwn {
		c.count(&c.result.StaleSessionReads, "staleSessionReads", 1, op, format, args...)
		return
	}
	c.count(&c.result.OverStaleReads, "overStaleReads", 1, op, format, args...)
}

// checkValue compares the answer with the writes that it must show.
func (c *check) checkValue(op *Operation, w *writes, after func([]*request) int64) {
	if op.GotRow != "" && op.GotRow != op.Row {
		c.mixed(op, "row %s was read", op.GotRow)
		return
	}
	if w == nil {
		return
	}
	if own := after(ofSession(w.endedBefore(op.Start), op.Session)); op.Got < own {
		c.stale(op, true, "read %d, the session had written %d", op.Got, own)
	}
	if old := after(w.endedBefore(op.Start - op.Bound)); op.Got < old {
		c.stale(op, false, "read %d, %d was older than the bound", op.Got, old)
	}
}

func ofSession(list []*request, session string) []*request {
	if session == "" {
		return nil
	}
	var own []*request
	for _, r := range list {
		if r.op.Session == session {
			own = append(own, r)
		}
	}
	return own
}

func (c *check) checkPage(op *Operation) {
	parts := c.partsOf(op)
	if len(op.Entries) != op.Total {
		c.short(op, "%d entries of %d", len(op.Entries), op.Total)
		return
	}
	latest := c.latestStart(op, parts)
	for _, r := range c.index.pages[rowID{op.Database, op.Row}] {
		n := len(parts[r.id.request])
		if n > 0 && n < r.op.parts() {
			c.mixed(op, "%d of %d entries of %s", n, r.op.parts(), r.id.request)
		}
		if n == 0 && r.acknowledged {
			c.checkMissing(op, r, latest)
		}
	}
}

// checkMissing judges an acknowledged request that a page lacks. When the page
// shows a request that started later, the page is not old but incomplete.
func (c *check) checkMissing(op *Operation, r *request, latest time.Duration) {
	isOwn := op.Session != "" && r.op.Session == op.Session && r.acknowledgedAt < op.Start
	isOld := r.acknowledgedAt < op.Start-op.Bound
	switch {
	case r.acknowledgedAt < latest:
		c.short(op, "%s is missing before a later entry", r.id.request)
	case isOwn:
		c.stale(op, true, "%s of the session is missing", r.id.request)
	case isOld:
		c.stale(op, false, "%s is missing and older than the bound", r.id.request)
	}
}

func (c *check) short(op *Operation, format string, args ...any) {
	c.count(&c.result.ShortAnswers, "shortAnswers", 1, op, format, args...)
}

// partsOf counts the entries of an answer and finds those that do not belong to it.
func (c *check) partsOf(op *Operation) map[string]map[int]int {
	parts := map[string]map[int]int{}
	for _, e := range op.Entries {
		if e.Page != op.Row {
			c.mixed(op, "entry %+v was read", e)
			continue
		}
		if parts[e.Request] == nil {
			parts[e.Request] = map[int]int{}
		}
		parts[e.Request][e.Part]++
		if parts[e.Request][e.Part] == 2 {
			c.doubled(1, op, "entry %+v was read twice", e)
		}
	}
	return parts
}

// latestStart returns the latest start among the requests that an answer shows.
func (c *check) latestStart(op *Operation, parts map[string]map[int]int) time.Duration {
	var t time.Duration
	for id := range parts {
		if r := c.index.requests[requestID{op.Database, id}]; r != nil {
			t = max(t, r.start)
		}
	}
	return t
}
