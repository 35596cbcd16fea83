package pacer

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// The model of an instance and of the pools that connect to it. Time is simulated: no goroutine and no clock is involved.

const (
	modelSlots     = 5
	modelQueue     = 40
	modelService   = 10 * time.Millisecond
	modelHandshake = 12 * time.Millisecond
	modelCold      = 1.6 // how much slower a cold instance is
	modelTrip      = time.Millisecond
	modelBucket    = 100 * time.Millisecond
)

// limiter is a strategy that limits the connections that a pool has in use.
type limiter interface {
	limit(now time.Time) int
	connected(now time.Time)
	answered(now time.Time, took time.Duration, inUse int)
	refused(now time.Time)
	lost(now time.Time) // the instance closed all connections and answers again
}

// event is a change of the model at a time.
type event struct {
	at  time.Time
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }
func (h eventHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// pool is one gateway or VM. Its queue always has requests while hasLoad is set.
type pool struct {
	limiter limiter
	hasLoad bool
	share   int // connections that it may open
	open    int
	inUse   int
	paused  time.Time // until when it sends nothing after a refusal
}

// model is an instance with its pools.
type model struct {
	now       time.Time
	start     time.Time
	events    eventHeap
	rand      *rand.Rand
	pools     []*pool
	coldUntil time.Time
	isDown    bool
	crashes   int // number of crashes so far

	busy  int // used slots
	queue []func()

	served        []int         // statements by modelBucket
	refusals      []int         // refused statements by modelBucket
	timeInside    time.Duration // of all served statements, in the queue and the slots
	maxInside     int           // highest number of statements and handshakes in the instance
	firstRequests int           // before the first response
	hasAnswered   bool
}

func newModel(pools []*pool, cold time.Duration) *model {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &model{now: now, start: now, rand: rand.New(rand.NewPCG(1, 2)), pools: pools, coldUntil: now.Add(cold)}
}

func (m *model) after(d time.Duration, run func()) {
	heap.Push(&m.events, event{m.now.Add(d), run})
}

// run simulates the given time.
func (m *model) run(d time.Duration) {
	end := m.now.Add(d)
	m.sendAll()
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
		m.sendAll()
	}
	m.now = end
}

func (m *model) count(buckets *[]int) {
	k := int(m.now.Sub(m.start) / modelBucket)
	for len(*buckets) <= k {
		*buckets = append(*buckets, 0)
	}
	(*buckets)[k]++
}

func (m *model) sendAll() {
	if m.isDown {
		return
	}
	for _, p := range m.pools {
		for p.hasLoad && p.inUse < p.limiter.limit(m.now) && !m.now.Before(p.paused) {
			switch {
			case p.inUse < p.open:
				m.send(p)
			case p.open < p.share:
				m.dial(p)
			default:
				return
			}
		}
	}
}

// enter runs work of a duration in a slot, or queues it. It returns false if the queue is full.
func (m *model) enter(d time.Duration, done func()) bool {
	run := func() {
		m.busy++
		took := d
		if m.now.Before(m.coldUntil) {
			took = time.Duration(modelCold * float64(d))
		}
		crashes := m.crashes
		m.after(took, func() {
			if m.crashes != crashes {
				return
			}
			m.busy--
			if len(m.queue) > 0 {
				next := m.queue[0]
				m.queue = m.queue[1:]
				next()
			}
			done()
		})
	}
	switch {
	case m.busy < modelSlots:
		run()
	case len(m.queue) < modelQueue:
		m.queue = append(m.queue, run)
	default:
		return false
	}
	m.maxInside = max(m.maxInside, m.busy+len(m.queue))
	if !m.hasAnswered {
		m.firstRequests++
	}
	return true
}

func (m *model) dial(p *pool) {
	p.open++
	p.inUse++
	crashes := m.crashes
	if !m.enter(modelHandshake, func() {
		m.hasAnswered = true
		p.inUse--
		p.limiter.connected(m.now)
	}) {
		p.open--
		m.refuse(p, crashes)
	}
}

func (m *model) send(p *pool) {
	p.inUse++
	sentAt, crashes := m.now, m.crashes
	service := time.Duration((0.5 + m.rand.Float64()) * float64(modelService))
	m.after(modelTrip/2, func() {
		if m.crashes != crashes {
			return
		}
		enteredAt := m.now
		if m.enter(service, func() {
			m.hasAnswered = true
			m.count(&m.served)
			m.timeInside += m.now.Sub(enteredAt)
			m.after(modelTrip/2, func() {
				if m.crashes == crashes {
					p.limiter.answered(m.now, m.now.Sub(sentAt), p.inUse)
					p.inUse--
				}
			})
		}) {
			return
		}
		m.refuse(p, crashes)
	})
}

func (m *model) refuse(p *pool, crashes int) {
	m.count(&m.refusals)
	m.after(modelTrip/2, func() {
		if m.crashes == crashes {
			p.inUse--
			p.paused = m.now.Add(15 * time.Millisecond)
			m.after(15*time.Millisecond, func() {})
			p.limiter.refused(m.now)
		}
	})
}

// crash closes all connections. The instance is back after a time, cold for another.
func (m *model) crash(down, cold time.Duration) {
	m.isDown = true
	m.crashes++
	m.busy, m.queue = 0, nil
	for _, p := range m.pools {
		p.open, p.inUse = 0, 0
	}
	m.after(down, func() {
		m.isDown = false
		m.coldUntil = m.now.Add(cold)
		for _, p := range m.pools {
			p.limiter.lost(m.now)
		}
	})
}

// capacity returns how many statements the instance can serve in a bucket.
func (m *model) capacity(bucket int) float64 {
	c := modelSlots * float64(modelBucket) / float64(modelService)
	if m.start.Add(time.Duration(bucket) * modelBucket).Before(m.coldUntil) {
		c /= modelCold
	}
	return c
}

// reached returns the time after from until three buckets in a row, on average, had the given share of the throughput.
func (m *model) reached(from time.Duration, share float64) time.Duration {
	first := int(from / modelBucket)
	for k := first; k+3 <= len(m.served); k++ {
		if float64(m.served[k]+m.served[k+1]+m.served[k+2]) >= share*(m.capacity(k)+m.capacity(k+1)+m.capacity(k+2)) {
			return time.Duration(k-first) * modelBucket
		}
	}
	return time.Hour
}

// worstRefusals returns the highest number of refusals in a bucket.
func (m *model) worstRefusals() int {
	worst := 0
	for _, n := range m.refusals {
		worst = max(worst, n)
	}
	return worst
}

// total returns the sum of all buckets.
func total(buckets []int) int {
	n := 0
	for _, k := range buckets {
		n += k
	}
	return n
}
