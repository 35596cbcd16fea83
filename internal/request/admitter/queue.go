package admitter

import (
	"context"
	"slices"
	"time"
)

// queue holds the units of one instance. The admitter's mutex guards it.
type queue struct {
	instance string
	limit    int
	running  int
	waiting  [priorities][]*waiter
	estimate time.Duration
	shed     uint64
}

type waiter struct {
	priority Priority
	ready    chan error // nil: may run
}

func (q *queue) length() int {
	n := 0
	for _, l := range q.waiting {
		n += len(l)
	}
	return n
}

// waitOf estimates how long a new unit of a priority waits: all units of the
// same or a higher priority and the running ones come first.
func (q *queue) waitOf(p Priority) time.Duration {
	ahead := 1
	for _, l := range q.waiting[:p+1] {
		ahead += len(l)
	}
	return q.estimate * time.Duration(ahead) / time.Duration(max(1, q.limit))
}

// enter puts a unit in line, or refuses it.
func (q *queue) enter(ctx context.Context, p Priority, bound int) (*waiter, error) {
	wait := q.waitOf(p)
	if d, ok := ctx.Deadline(); ok && time.Until(d) < wait {
		q.shed++
		return nil, overloaded(q.instance, wait)
	}
	if q.length() >= bound && !q.evict(p) {
		q.shed++
		return nil, overloaded(q.instance, wait)
	}
	w := &waiter{priority: p, ready: make(chan error, 1)}
	q.waiting[p] = append(q.waiting[p], w)
	return w, nil
}

// evict refuses the newest waiting unit of a lower priority than p to make room.
func (q *queue) evict(p Priority) bool {
	for lower := Priority(priorities - 1); lower > p; lower-- {
		if n := len(q.waiting[lower]); n > 0 {
			w := q.waiting[lower][n-1]
			q.waiting[lower] = q.waiting[lower][:n-1]
			q.shed++
			w.ready <- overloaded(q.instance, q.waitOf(lower))
			return true
		}
	}
	return false
}

func (q *queue) remove(w *waiter) bool {
	k := slices.Index(q.waiting[w.priority], w)
	if k < 0 {
		return false
	}
	q.waiting[w.priority] = slices.Delete(q.waiting[w.priority], k, k+1)
	return true
}

// leave ends a running unit and starts as many waiting ones as the limit allows.
func (q *queue) leave() {
	q.running--
	for p := range q.waiting {
		for len(q.waiting[p]) > 0 && q.running < q.limit {
			w := q.waiting[p][0]
			q.waiting[p] = slices.Delete(q.waiting[p], 0, 1)
			q.running++
			w.ready <- nil
		}
	}
}

func (q *queue) measure(d time.Duration) {
	q.estimate += time.Duration(smoothing * float64(d-q.estimate))
}
