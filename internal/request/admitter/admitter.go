// Package admitter limits the units of work that run on each instance at once.
//
// Excess units wait in a bounded queue in front of the connection pool: writes
// first, then reads with a small staleness bound, then the rest. A unit that
// could not start before its deadline is refused at once, with a hint when to
// repeat, because waiting in vain would only lengthen the queue for others.
package admitter

import (
	"context"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
)

// Priority orders the units that wait.
type Priority int

// Priorities, the most urgent first.
const (
	Write   Priority = iota
	Current          // session reads and reads with a small staleness bound
	Rest
	priorities int = iota
)

// DefaultQueue is the number of units that may wait for one instance.
const DefaultQueue = 256

// firstEstimate is the assumed run time of a unit before any was measured.
const firstEstimate = 2 * time.Millisecond

// smoothing is the weight of the latest run time in the moving average.
const smoothing = 0.1

// Config holds the settings of an Admitter.
type Config struct {
	Queue int                       // units that may wait for one instance
	Limit func(instance string) int // units that may run on it at once
}

// Admitter holds the queues of all instances.
type Admitter struct {
	cfg    Config
	mu     sync.Mutex
	queues map[string]*queue
}

// New returns an admitter.
func New(cfg Config) *Admitter {
	if cfg.Queue <= 0 {
		cfg.Queue = DefaultQueue
	}
	return &Admitter{cfg: cfg, queues: map[string]*queue{}}
}

// Stats counts the units of one instance.
type Stats struct {
	Running  int
	Waiting  int
	Shed     uint64
	Estimate time.Duration // average run time
}

// Stats returns the counts of each instance.
func (a *Admitter) Stats() map[string]Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := make(map[string]Stats, len(a.queues))
	for name, q := range a.queues {
		m[name] = Stats{Running: q.running, Waiting: q.length(), Shed: q.shed, Estimate: q.estimate}
	}
	return m
}

// Ticket is the permission to run one unit. Done gives it back.
type Ticket struct {
	a     *Admitter
	q     *queue
	start time.Time
}

// Admit waits until a unit may run on an instance. It fails with kind
// overloaded when the queue is full or the deadline of ctx is too near.
func (a *Admitter) Admit(ctx context.Context, instance string, p Priority) (Ticket, error) {
	a.mu.Lock()
	q := a.queue(instance)
	q.limit = max(1, a.cfg.Limit(instance))
	if q.running < q.limit && q.length() == 0 {
		q.running++
		a.mu.Unlock()
		return a.ticket(q), nil
	}
	w, err := q.enter(ctx, p, a.cfg.Queue)
	a.mu.Unlock()
	if err != nil {
		return Ticket{}, err
	}
	return a.wait(ctx, q, w)
}

// Done ends the unit and lets the next one run.
func (t Ticket) Done() {
	t.a.mu.Lock()
	defer t.a.mu.Unlock()
	t.q.measure(time.Since(t.start))
	t.q.leave()
}

func (a *Admitter) queue(instance string) *queue {
	q, ok := a.queues[instance]
	if !ok {
		q = &queue{instance: instance, estimate: firstEstimate}
		a.queues[instance] = q
	}
	return q
}

func (a *Admitter) ticket(q *queue) Ticket { return Ticket{a: a, q: q, start: time.Now()} }

func (a *Admitter) wait(ctx context.Context, q *queue, w *waiter) (Ticket, error) {
	select {
	case err := <-w.ready:
		return a.ticket(q), err
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.remove(w) {
		q.shed++
		return Ticket{}, overloaded(q.instance, q.waitOf(w.priority))
	}
	if err := <-w.ready; err != nil {
		return Ticket{}, err
	}
	q.leave()
	return Ticket{}, overloaded(q.instance, q.waitOf(w.priority))
}

func overloaded(instance string, wait time.Duration) error {
	return classifier.New(classifier.Overloaded, "%s is overloaded, repeat after %d ms", instance, max(1, wait.Milliseconds()))
}
