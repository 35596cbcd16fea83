package checker

import (
	"sort"
	"time"
)

type requestID struct{ database, request string }

type rowID struct{ database, row string }

// request is all attempts of one request.
type request struct {
	id             requestID
	op             *Operation // the first attempt, or the first acknowledged one
	acknowledged   bool
	acknowledgedAt time.Duration // end of the first acknowledged attempt
	mayRun         bool
	start          time.Duration
}

// writes are the writes of one name or counter.
type writes struct {
	all          []*Operation // first attempts
	ends         []*request   // acknowledged requests by end
	acknowledged int
	mayRun       int
	refused      int
	highest      int64
}

type index struct {
	requests map[requestID]*request
	order    []*request
	names    map[rowID]*writes
	counters map[rowID]*writes
	pages    map[rowID][]*request
}

func newIndex(h History) *index {
	x := &index{
		requests: map[requestID]*request{}, names: map[rowID]*writes{},
		counters: map[rowID]*writes{}, pages: map[rowID][]*request{},
	}
	for n := range h {
		if !h[n].Kind.IsRead() && h[n].Request != "" { // without a request: no connection
			x.addAttempt(&h[n])
		}
	}
	for _, r := range x.order {
		x.addRequest(r)
	}
	for _, m := range []map[rowID]*writes{x.names, x.counters} {
		for _, w := range m {
			sort.Slice(w.ends, func(i, j int) bool { return w.ends[i].acknowledgedAt < w.ends[j].acknowledgedAt })
		}
	}
	return x
}

func (x *index) addAttempt(op *Operation) {
	id := requestID{op.Database, op.Request}
	r := x.requests[id]
	if r == nil {
		r = &request{id: id, op: op, start: op.Start}
		x.requests[id] = r
		x.order = append(x.order, r)
	}
	r.start = min(r.start, op.Start)
	r.mayRun = r.mayRun || op.Outcome != Refused
	if op.Outcome == Acknowledged && (!r.acknowledged || op.End < r.acknowledgedAt) {
		r.op, r.acknowledged, r.acknowledgedAt = op, true, op.End
	}
}

func (x *index) addRequest(r *request) {
	id := rowID{r.op.Database, r.op.Row}
	switch r.op.Kind {
	case Insert, Transaction:
		x.pages[id] = append(x.pages[id], r)
	case Correction:
		add(x.names, id, r)
	case Increment:
		add(x.counters, id, r)
	}
}

func add(m map[rowID]*writes, id rowID, r *request) {
	w := m[id]
	if w == nil {
		w = &writes{}
		m[id] = w
	}
	w.all = append(w.all, r.op)
	switch {
	case r.acknowledged:
		w.acknowledged++
		w.ends = append(w.ends, r)
	case !r.mayRun:
		w.refused++
	}
	if r.mayRun {
		w.mayRun++
		w.highest = max(w.highest, r.op.Value)
	}
}

func (w *writes) highestThatMayRun() int64 { return w.highest }

func (w *writes) lastAcknowledged() *Operation {
	if len(w.ends) == 0 {
		return nil
	}
	last := w.ends[0].op
	for _, r := range w.ends {
		if r.op.Value >= last.Value {
			last = r.op
		}
	}
	return last
}

func (w *writes) withValue(v int64) *Operation {
	for _, op := range w.all {
		if op.Value == v {
			return op
		}
	}
	return nil
}

// endedBefore returns the acknowledged requests that ended before t.
func (w *writes) endedBefore(t time.Duration) []*request {
	n := sort.Search(len(w.ends), func(i int) bool { return w.ends[i].acknowledgedAt >= t })
	return w.ends[:n]
}

// parts returns the number of entries that the request inserts.
func (op *Operation) parts() int { return max(1, op.Parts) }
