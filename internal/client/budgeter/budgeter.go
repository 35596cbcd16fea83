package budgeter

import (
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/failure/classifier"
)

// Event is a connection that was closed, or a request or connection that was refused, because a resource was used up.
type Event struct {
	Resource    Resource
	IsRefusal   bool
	Used, Limit int64         // of the process
	Amount      int64         // what the connection had, or asked for
	Age         time.Duration // time that a closed connection made no progress
}

// Budget is the accounting of a process. A nil Budget accepts everything.
type Budget struct {
	limits  Limits
	observe func(Event)
	started time.Time

	used            Amounts // accessed atomically
	closed, refused Amounts // numbers of events; accessed atomically

	mu       sync.Mutex
	accounts map[*Account]bool
	scanAt   [ResourceCount]time.Time // when connections to close may be searched again
	texts    map[string]*sharedText
}

// New returns a budget with limits. observe receives the events; it may be nil.
func New(l Limits, observe func(Event)) *Budget {
	if observe == nil {
		observe = func(Event) {}
	}
	return &Budget{limits: l, observe: observe, started: time.Now(), accounts: map[*Account]bool{}, texts: map[string]*sharedText{}}
}

// Used returns the amount of a resource that is in use, and Limit its budget.
func (b *Budget) Used(r Resource) int64 { return atomic.LoadInt64(&b.used[r]) }

// Limit returns the budget of a resource.
func (b *Budget) Limit(r Resource) int64 { return b.limits.Process[r] }

// Closed returns how many connections were closed for a resource.
func (b *Budget) Closed(r Resource) int64 { return atomic.LoadInt64(&b.closed[r]) }

// Refused returns how many requests and connections were refused for a resource.
func (b *Budget) Refused(r Resource) int64 { return atomic.LoadInt64(&b.refused[r]) }

// Conn is the part of a network connection that the budget needs to end a session.
type Conn interface {
	Close() error
	SetReadDeadline(t time.Time) error
}

// Open accounts for a new connection of a client. It returns an error if there is no descriptor left for it.
func (b *Budget) Open(c Conn) (*Account, error) { return b.open(c, false) }

// OpenPeer accounts for a new connection of another VM.
func (b *Budget) OpenPeer(c Conn) (*Account, error) { return b.open(c, true) }

// OpenInstance accounts for what arrives on a connection to an instance. Such a connection is never closed for others.
func (b *Budget) OpenInstance() *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, hasStarted: true}
}

func (b *Budget) open(c Conn, isPeer bool) (*Account, error) {
	if b == nil {
		return nil, nil
	}
	a := &Account{budget: b, conn: c, isPeer: isPeer}
	a.Enter(AwaitingStart)
	b.mu.Lock()
	b.accounts[a] = true
	b.mu.Unlock()
	if err := a.Reserve(Connections, 1); err != nil {
		a.Close()
		return nil, err
	}
	// Above the number, connections only have less time to start: many clients connect at once after a VM has failed.
	a.add(Starting, 1)
	if b.Used(Starting) > b.Limit(Starting) {
		b.makeRoom(a, Starting, 1)
	}
	return a, nil
}

// makeRoom closes connections until the use of a resource, of which n were added last, is within its budget. It reports
// whether it succeeded, not counting what the closed connections have yet to release.
func (b *Budget) makeRoom(requester *Account, r Resource, n int64) bool {
	limit := b.limits.Process[r]
	if r == Connections && requester.isPeer {
		limit += b.limits.ExtraForPeer
	}
	now := time.Now()
	b.mu.Lock()
	used := b.Used(r)
	if used <= limit {
		b.mu.Unlock()
		return true
	}
	if n > limit || now.Before(b.scanAt[r]) {
		b.mu.Unlock()
		return false
	}
	accounts, usages, ending := b.snapshot(now, r)
	excess := used - limit - ending
	var chosen []*Account
	isEnough := excess <= 0
	if !isEnough {
		for _, i := range Choose(r, excess, usages) {
			if accounts[i] == requester {
				break // it is refused instead
			}
			accounts[i].isEnding = true
			chosen = append(chosen, accounts[i])
			excess -= usages[i].Amounts[r]
		}
		if isEnough = excess <= 0; !isEnough {
			b.scanAt[r] = now.Add(scanPause)
		}
	}
	b.mu.Unlock()
	for _, a := range chosen {
		u := a.usage(now)
		a.end()
		atomic.AddInt64(&b.closed[r], 1)
		b.observe(Event{Resource: r, Used: used, Limit: limit, Amount: u.Amounts[r], Age: u.Age})
	}
	return isEnough && used <= limit+overshoot(r, limit)
}

// snapshot returns the accounts that can be closed with their usages, and the amount that closed ones have yet to release.
// It wakes the latter again, since a session that was about to wait may have missed it. The caller holds mu.
func (b *Budget) snapshot(now time.Time, r Resource) (accounts []*Account, usages []Usage, ending int64) {
	for a := range b.accounts {
		u := a.usage(now)
		if a.isEnding {
			ending += u.Amounts[r]
			a.end()
			continue
		}
		accounts, usages = append(accounts, a), append(usages, u)
	}
	return accounts, usages, ending
}

// sharedText is a text that several sessions keep.
type sharedText struct {
	text string
	refs int
}

// refusal returns the error for a request that is refused because a resource is used up.
func (b *Budget) refusal(r Resource, n int64) error {
	atomic.AddInt64(&b.refused[r], 1)
	b.observe(Event{Resource: r, IsRefusal: true, Used: b.Used(r), Limit: b.Limit(r), Amount: n})
	return classifier.WithRetryAfter(classifier.New(classifier.Overloaded, "VM has no room for more of the resource %s of its clients", r), retryDelay)
}
