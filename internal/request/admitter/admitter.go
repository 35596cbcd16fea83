// Package admitter limits how many units of work run on each instance concurrently.
//
// Excess units wait in a bounded priority queue in front of the connection pool:
// writes first, then reads with a small staleness bound, then other reads. A unit
// that is not expected to start before its deadline is refused immediately with a
// hint when to retry, because it would only lengthen the queue for others.
package admitter

import (
	"context"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
)

// Priority is the queue priority of a unit; a lower value is served first.
type Priority int

// The priorities, the highest first.
const (
	Write         Priority = iota
	FreshRead              // session reads and reads with a small staleness bound
	OtherRead              // all other reads
	numPriorities int      = iota
)

// DefaultMaxWaiting is the default limit of the units that wait for one instance.
const DefaultMaxWaiting = 256

// initialRunTime is the initial value of the moving average of the run time.
const initialRunTime = 2 * time.Millisecond

// runTimeWeight is the weight of the latest run time in the exponential moving average.
const runTimeWeight = 0.1

// Config holds the settings of an Admitter.
type Config struct {
	MaxWaiting int                       // limit of the units that wait for one instance; zero or less means DefaultMaxWaiting
	MaxRunning func(instance string) int // limit of the units that run on an instance concurrently
}

// Admitter admits units to instances. It holds one queue for each instance.
type Admitter struct {
	cfg    Config
	mu     sync.Mutex
	queues map[string]*queue
}

// New returns an Admitter with the given settings.
func New(cfg Config) *Admitter {
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	return &Admitter{cfg: cfg, queues: map[string]*queue{}}
}

// Stats holds the state of the queue of one instance.
type Stats struct {
	Running        int
	Waiting        int
	Shed           uint64        // units refused since the start of the process
	AverageRunTime time.Duration // moving average of the run time of a unit
}

// Stats returns the state of each queue, keyed by instance name.
func (a *Admitter) Stats() map[string]Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := make(map[string]Stats, len(a.queues))
	for name, q := range a.queues {
		m[name] = Stats{Running: q.running, Waiting: q.length(), Shed: q.shed, AverageRunTime: q.averageRunTime}
	}
	return m
}

// Ticket permits one unit to run. The holder calls Done when the unit has ended.
type Ticket struct {
	a     *Admitter
	q     *queue
	start time.Time
}

// Admit waits until a unit may run on an instance. It returns an error of kind
// Overloaded if the queue is full, if the unit is not expected to start before the
// deadline of ctx, if a unit of a higher priority evicts it, or if ctx ends during the wait.
func (a *Admitter) Admit(ctx context.Context, instance string, p Priority) (Ticket, error) {
	a.mu.Lock()
	q := a.queueLocked(instance)
	q.limit = max(1, a.cfg.MaxRunning(instance))
	if q.running < q.limit && q.length() == 0 {
		q.running++
		a.mu.Unlock()
		return a.newTicket(q), nil
	}
	w, err := q.enqueue(ctx, p, a.cfg.MaxWaiting)
	a.mu.Unlock()
	if err != nil {
		return Ticket{}, err
	}
	return a.await(ctx, q, w)
}

// Done records the end of the unit and admits waiting units.
func (t Ticket) Done() {
	t.a.mu.Lock()
	defer t.a.mu.Unlock()
	t.q.recordRunTime(time.Since(t.start))
	t.q.release()
}

// queueLocked returns the queue of an instance and creates it if necessary; a.mu is held.
func (a *Admitter) queueLocked(instance string) *queue {
	q, ok := a.queues[instance]
	if !ok {
		q = &queue{instance: instance, averageRunTime: initialRunTime}
		a.queues[instance] = q
	}
	return q
}

func (a *Admitter) newTicket(q *queue) Ticket { return Ticket{a: a, q: q, start: time.Now()} }

// await returns a ticket once the waiter is admitted, or an error if it is evicted
// or ctx ends first. A unit that is admitted just as ctx ends gives its place back.
func (a *Admitter) await(ctx context.Context, q *queue, w *waiter) (Ticket, error) {
	select {
	case err := <-w.result:
		return a.newTicket(q), err
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.remove(w) {
		q.shed++
		return Ticket{}, overloadedError(q.instance, q.estimateWait(w.priority))
	}
	if err := <-w.result; err != nil {
		return Ticket{}, err
	}
	q.release()
	return Ticket{}, overloadedError(q.instance, q.estimateWait(w.priority))
}

// overloadedError returns the error of a unit that is refused. Its text tells the
// client after which time to retry.
func overloadedError(instance string, retryAfter time.Duration) error {
	return classifier.New(classifier.Overloaded, "%s is overloaded, repeat after %d ms", instance, max(1, retryAfter.Milliseconds()))
}
