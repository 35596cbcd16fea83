package admitter

import (
	"context"
	"slices"
	"time"
)

// queue holds the running and waiting units of one instance. Admitter.mu guards it.
type queue struct {
	instance       string
	limit          int // maximum of running
	running        int
	waiting        [numPriorities][]*waiter // by priority, the oldest first
	averageRunTime time.Duration            // exponential moving average
	shed           uint64                   // units refused since the start of the process
}

// waiter is a unit in a queue.
type waiter struct {
	priority Priority
	result   chan error // buffered; receives nil on admission, or an error on eviction
}

// length returns the number of waiting units.
func (q *queue) length() int {
	n := 0
	for _, l := range q.waiting {
		n += len(l)
	}
	return n
}

// estimateWait estimates how long a new unit of a priority waits. Waiting units of
// the same or a higher priority start before it. Units start as running ones end,
// on average one every averageRunTime / limit.
func (q *queue) estimateWait(p Priority) time.Duration {
	endsBefore := 1 // units that end before the new one starts
	for _, l := range q.waiting[:p+1] {
		endsBefore += len(l)
	}
	return q.averageRunTime * time.Duration(endsBefore) / time.Duration(max(1, q.limit))
}

// enqueue adds a unit to the queue. It refuses the unit if it is not expected to start
// before the deadline of ctx, or if maxWaiting units wait and none has a lower priority.
func (q *queue) enqueue(ctx context.Context, p Priority, maxWaiting int) (*waiter, error) {
	wait := q.estimateWait(p)
	if d, ok := ctx.Deadline(); ok && time.Until(d) < wait {
		q.shed++
		return nil, overloadedError(q.instance, wait)
	}
	if q.length() >= maxWaiting && !q.evict(p) {
		q.shed++
		return nil, overloadedError(q.instance, wait)
	}
	w := &waiter{priority: p, result: make(chan error, 1)}
	q.waiting[p] = append(q.waiting[p], w)
	return w, nil
}

// evict refuses the newest waiting unit of the lowest priority to make room for a unit
// of priority p. It reports whether a unit of a lower priority than p was waiting.
func (q *queue) evict(p Priority) bool {
	for lower := Priority(numPriorities - 1); lower > p; lower-- {
		if n := len(q.waiting[lower]); n > 0 {
			w := q.waiting[lower][n-1]
			q.waiting[lower] = q.waiting[lower][:n-1]
			q.shed++
			w.result <- overloadedError(q.instance, q.estimateWait(lower))
			return true
		}
	}
	return false
}

// remove removes a waiting unit. It reports false if the unit has been admitted or evicted.
func (q *queue) remove(w *waiter) bool {
	k := slices.Index(q.waiting[w.priority], w)
	if k < 0 {
		return false
	}
	q.waiting[w.priority] = slices.Delete(q.waiting[w.priority], k, k+1)
	return true
}

// release records the end of a running unit and admits as many waiting units as the limit allows.
func (q *queue) release() {
	q.running--
	for p := range q.waiting {
		for len(q.waiting[p]) > 0 && q.running < q.limit {
			w := q.waiting[p][0]
			q.waiting[p] = slices.Delete(q.waiting[p], 0, 1)
			q.running++
			w.result <- nil
		}
	}
}

// recordRunTime updates the average with the run time of a unit.
func (q *queue) recordRunTime(d time.Duration) {
	q.averageRunTime += time.Duration(runTimeWeight * float64(d-q.averageRunTime))
}
