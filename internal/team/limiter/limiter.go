// Package limiter admits the operations of teams on an entry VM, with tokens that it requests from the holders of the shards of
// the teams' limits.
package limiter

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/team/messenger"
	"parsleyscale/internal/team/sharder"
)

const (
	// maxTokenLifetime is how long a token may be used at most after the request for it was sent. It is several round trips to a
	// far holder. The longer it is, the less of the permitted overage is left for operations.
	maxTokenLifetime = 100 * time.Millisecond
	// minTokenLifetime is the least lifetime, which a round trip to a far holder needs also where no overage is permitted.
	minTokenLifetime = 50 * time.Millisecond
	// prefetchPeriod is how long tokens that are requested in advance should last.
	prefetchPeriod = 100 * time.Millisecond
	// minPrefetchRate is the operations per second of a team on this VM above which tokens are requested in advance. Below it,
	// more of them would expire than are used.
	minPrefetchRate = 20
	// maxPrefetch bounds the tokens that are requested in advance.
	maxPrefetch = 32
	// noPrefetchPeriod is how long no tokens are requested in advance after a holder granted fewer than were asked for.
	noPrefetchPeriod = time.Second
	// maxRequests is the number of requests of one team that may be under way at once.
	maxRequests = 4
	// maxCalls is the number of calls to one holder that may be under way at once. Further requests share the next call.
	maxCalls = 2
	// failedBackoff is how long a VM is not asked again after it did not answer.
	failedBackoff = time.Second
	// absentBackoff is how long a team's requests pass over a VM that holds none of its shards.
	absentBackoff = 100 * time.Millisecond
	// maxRefusedBackoff bounds how long a team's requests pass over a holder without tokens, so that tokens which other VMs did
	// not ask for are found soon.
	maxRefusedBackoff = 250 * time.Millisecond
	// minRetryAfter is the least time after which a refused client is told to return.
	minRetryAfter = 20 * time.Millisecond
	// maxCandidates is the number of VMs that are asked for a shard whose holder is not known.
	maxCandidates = 3
)

// Config holds what a Limiter needs.
type Config struct {
	Self    sharder.VM
	Sharder sharder.Sharder
	Clock   func() time.Duration // monotonic, and includes the time during which the VM was suspended
	// TokenLifetime is how long a token may be used after the request for it was sent.
	TokenLifetime time.Duration
	VMs           func() []sharder.VM
	// Send sends a request to a VM, which may be this one.
	Send func(ctx context.Context, address string, q messenger.Request) (messenger.Response, error)
	// Observe is called for each decision: with the time that an operation waited for its token, or with the error.
	Observe func(team string, waited time.Duration, err error)
}

// Limiter admits operations.
type Limiter struct {
	cfg Config

	mu       sync.Mutex
	teams    map[string]*state
	holders  map[int]string           // address by shard, as the VMs there said
	hints    map[int]string           // address by shard, as other VMs said
	failedAt map[string]time.Duration // when an address last did not answer
	callers  map[string]*caller       // by address
	ranks    map[int][]string         // addresses of the first VMs of a shard
	ranked   []sharder.VM             // list that ranks was computed from
}

// state is the state of one team.
type state struct {
	name     string
	division sharder.Division
	limit    cataloger.Team // that division was computed from
	hand     []tokens       // tokens that were granted and not used, in the order of their expiry
	waiting  []*waiter
	covered  int                      // operations that the requests under way are for
	requests int                      // under way
	until    map[string]time.Duration // time before which an address is not asked again
	retryAt  time.Duration            // before this time, every holder has refused

	rate        float64 // of operations, exponentially averaged over a second
	rateAt      time.Duration
	shortageAt  time.Duration // when a holder last granted fewer tokens than were asked for
	hadShortage bool
}

// tokens are tokens of one grant.
type tokens struct {
	count     int
	expiresAt time.Duration
}

// waiter is an operation that waits for a token.
type waiter struct {
	since  time.Duration // when it began to wait
	result chan error
}

// New returns a Limiter.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, teams: map[string]*state{}, holders: map[int]string{}, hints: map[int]string{}, failedAt: map[string]time.Duration{},
		callers: map[string]*caller{}, ranks: map[int][]string{},
	}
}

// TokenLifetime returns how long a token may be used after the request for it was sent, if the operations in a window may exceed the
// limit by a fraction. Tokens granted in a window and one lifetime may be used in one window, so that a lifetime of 0.6 times the
// permitted excess leaves the rest for the time between the admission of an operation and its arrival at an instance.
func TokenLifetime(window time.Duration, overage float64) time.Duration {
	return min(maxTokenLifetime, max(minTokenLifetime, time.Duration(0.6*overage*float64(window))))
}

// Admit returns nil if an operation of a team may run, and an error of kind overloaded if the team is above its limit. A team
// without a limit is always admitted.
func (l *Limiter) Admit(ctx context.Context, t cataloger.Team) error {
	if t.Rate <= 0 {
		return nil
	}
	startedAt := l.cfg.Clock()
	err := l.admit(ctx, t, startedAt)
	l.cfg.Observe(t.Name, l.cfg.Clock()-startedAt, err)
	return err
}

func (l *Limiter) admit(ctx context.Context, t cataloger.Team, now time.Duration) error {
	l.mu.Lock()
	s := l.team(t)
	s.countOperation(now)
	isGranted, err := s.answer(now)
	if isGranted && s.take(now) {
		if s.inHand(now) < s.prefetch(now)/2 {
			l.request(s, now)
		}
		l.mu.Unlock()
		return nil
	}
	if err != nil {
		l.mu.Unlock()
		return err
	}
	w := &waiter{since: now, result: make(chan error, 1)}
	s.waiting = append(s.waiting, w)
	l.request(s, now)
	l.mu.Unlock()
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		l.mu.Lock()
		s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
		l.mu.Unlock()
		return ctx.Err()
	}
}

// answer returns whether an operation that arrives now is admitted at once, or the error with which it is refused at once. If
// neither, a holder is asked first.
func (s *state) answer(now time.Duration) (isGranted bool, err error) {
	switch {
	case len(s.waiting) == 0 && s.inHand(now) > 0:
		return true, nil
	case now < s.retryAt:
		return false, refusal(s.name, s.retryAt-now)
	}
	return false, nil
}

func refusal(team string, wait time.Duration) error {
	return classifier.WithRetryAfter(classifier.New(classifier.Overloaded, "team %s is at its limit of operations", team), max(wait, minRetryAfter))
}

// team returns the state of a team under its present limit. The caller holds l.mu.
func (l *Limiter) team(t cataloger.Team) *state {
	s := l.teams[t.Name]
	if s == nil {
		s = &state{name: t.Name, until: map[string]time.Duration{}}
		l.teams[t.Name] = s
	}
	if s.limit.Rate != t.Rate || s.limit.Burst != t.Burst {
		s.limit = cataloger.Team{Rate: t.Rate, Burst: t.Burst}
		s.division = l.cfg.Sharder.Divide(t)
	}
	return s
}

// take takes a token that has not expired.
func (s *state) take(now time.Duration) bool {
	s.hand = slices.DeleteFunc(s.hand, func(k tokens) bool { return now >= k.expiresAt })
	if len(s.hand) == 0 {
		return false
	}
	if s.hand[0].count--; s.hand[0].count == 0 {
		s.hand = s.hand[1:]
	}
	return true
}

// inHand returns the number of tokens in hand.
func (s *state) inHand(now time.Duration) int {
	n := 0
	for _, k := range s.hand {
		if now < k.expiresAt {
			n += k.count
		}
	}
	return n
}

// countOperation updates the estimate of the team's operations per second on this VM.
func (s *state) countOperation(now time.Duration) {
	s.rate = s.rate*max(0, 1-(now-s.rateAt).Seconds()) + 1
	s.rateAt = now
}

// prefetch returns the number of tokens to have in hand.
func (s *state) prefetch(now time.Duration) int {
	if s.rate < minPrefetchRate || s.hadShortage && now-s.shortageAt < noPrefetchPeriod {
		return 0
	}
	return min(int(s.rate*prefetchPeriod.Seconds()), maxPrefetch)
}

// request starts a request if the requests under way are for fewer operations than wait. The caller holds l.mu.
func (l *Limiter) request(s *state, now time.Duration) {
	ahead := max(0, s.prefetch(now)-s.inHand(now))
	if len(s.waiting)+ahead <= s.covered || s.requests >= maxRequests {
		return
	}
	count := len(s.waiting) + ahead - s.covered
	s.covered += count
	s.requests++
	go l.run(s, count, len(s.waiting) > 0)
}

// run asks the holders of a team's shards in turn for count tokens. If none has enough, it refuses the operations that wait.
func (l *Limiter) run(s *state, count int, isAwaited bool) {
	remaining, asked := count, map[string]bool{}
	for remaining > 0 {
		l.mu.Lock()
		now := l.cfg.Clock()
		address := l.next(s, asked, now)
		l.mu.Unlock()
		if address == "" {
			break
		}
		asked[address] = true
		sentAt := l.cfg.Clock()
		g, err := l.call(address, messenger.Ask{Team: s.name, Count: remaining})
		l.mu.Lock()
		remaining -= l.recordGrant(s, address, sentAt, g, remaining, err)
		l.mu.Unlock()
		if !isAwaited {
			break // tokens in advance are not worth a request to another holder
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock()
	s.covered -= count
	s.requests--
	if isAwaited && remaining > 0 {
		l.refuse(s, min(remaining, len(s.waiting)-s.covered), now)
	}
	if len(s.waiting) > s.covered { // tokens in advance are requested by the next operation, so that a failing request is not repeated
		l.request(s, now)
	}
}

// recordGrant takes in the answer of a holder to a request for count tokens and returns how many it granted. An answer that arrives
// after the lifetime of its tokens, but within the delay that operations may have, serves only those that waited when the request
// was sent. The caller holds l.mu.
func (l *Limiter) recordGrant(s *state, address string, sentAt time.Duration, g messenger.Grant, count int, err error) int {
	now := l.cfg.Clock()
	if err != nil || now >= sentAt+max(l.cfg.TokenLifetime, sharder.MaxArrivalDelay) {
		return 0 // tokens that arrive too late are lost
	}
	granted := min(max(g.Count, 0), count)
	if now >= sentAt+l.cfg.TokenLifetime {
		for k := 0; k < granted && len(s.waiting) > 0 && s.waiting[0].since <= sentAt; k++ {
			s.waiting[0].result <- nil
			s.waiting = s.waiting[1:]
		}
	} else if granted > 0 {
		s.hand = append(s.hand, tokens{count: granted, expiresAt: sentAt + l.cfg.TokenLifetime})
		for len(s.waiting) > 0 && s.take(now) {
			s.waiting[0].result <- nil
			s.waiting = s.waiting[1:]
		}
	}
	if granted == count {
		return granted
	}
	backoff := min(time.Duration(g.WaitMillis)*time.Millisecond, maxRefusedBackoff)
	if g.IsAbsent {
		backoff = absentBackoff
	} else {
		s.shortageAt, s.hadShortage = now, true
	}
	s.until[address] = now + max(backoff, time.Millisecond)
	return granted
}

// refuse refuses the first n operations that wait. The caller holds l.mu.
func (l *Limiter) refuse(s *state, n int, now time.Duration) {
	next := now + maxRefusedBackoff
	for address, t := range s.until {
		if t <= now {
			delete(s.until, address)
			continue
		}
		next = min(next, t)
	}
	s.retryAt = next
	for range min(max(n, 0), len(s.waiting)) {
		s.waiting[0].result <- refusal(s.name, next-now)
		s.waiting = s.waiting[1:]
	}
}

// next returns the address to ask next for tokens of a team, or "" if all have been asked or have refused. Holders come first, near
// ones before far ones, then VMs that may hold a shard whose holder is not known. VMs that did not answer recently are left out.
// The caller holds l.mu.
func (l *Limiter) next(s *state, asked map[string]bool, now time.Duration) string {
	l.rank()
	best, bestCost := "", 0.0
	consider := func(address string, cost float64) {
		if address == "" || asked[address] || now < s.until[address] {
			return
		}
		if at, ok := l.failedAt[address]; ok && now-at < failedBackoff {
			return
		}
		if best == "" || cost < bestCost {
			best, bestCost = address, cost
		}
	}
	for _, shard := range s.division.Shards {
		distance := 0.0
		if l.cfg.Sharder.Region(shard) != l.cfg.Self.Region {
			distance = 1
		}
		consider(l.holders[shard], distance+rand.Float64()/2)
		if l.holders[shard] != "" && l.isUsable(l.holders[shard], now) {
			continue
		}
		consider(l.hints[shard], 2+distance)
		for k, address := range l.ranks[shard] {
			consider(address, 4+float64(k))
		}
	}
	return best
}

// isUsable reports whether an address has not failed recently.
func (l *Limiter) isUsable(address string, now time.Duration) bool {
	at, ok := l.failedAt[address]
	return !ok || now-at >= failedBackoff
}

// rank brings the addresses of the first VMs of each shard up to date. The caller holds l.mu.
func (l *Limiter) rank() {
	vms := l.cfg.VMs()
	if l.ranked != nil && slices.Equal(vms, l.ranked) {
		return
	}
	l.ranked = vms
	for shard := range sharder.Count {
		list := l.cfg.Sharder.Rank(shard, vms)
		list = list[:min(len(list), maxCandidates)]
		l.ranks[shard] = nil
		for _, vm := range list {
			l.ranks[shard] = append(l.ranks[shard], vm.Address)
		}
	}
}

// recordAnswer takes in which shards a VM holds and which holders it knows.
func (l *Limiter) recordAnswer(address string, a messenger.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.failedAt, address)
	for shard, holder := range l.holders {
		if holder == address && !slices.Contains(a.Held, shard) {
			delete(l.holders, shard)
		}
	}
	for _, shard := range a.Held {
		if shard >= 0 && shard < sharder.Count {
			l.holders[shard] = address
		}
	}
	for shard, holder := range a.Holders {
		if shard >= 0 && shard < sharder.Count && holder != address {
			l.hints[shard] = holder
		}
	}
}

// recordFailure records that a VM did not answer.
func (l *Limiter) recordFailure(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt[address] = l.cfg.Clock()
}

// Remaining returns the tokens of a team in hand on this VM, and the time until requests are made again, which is 0 unless all
// holders have refused. It takes nothing.
func (l *Limiter) Remaining(name string) (inHand int, wait time.Duration) {
	v := l.Explain(cataloger.Team{Name: name})
	return v.InHand, v.Wait
}

// View is what this VM knows of the limit of a team.
type View struct {
	InHand    int           // tokens that can be used now
	Wait      time.Duration // until holders are asked again; 0 unless all have refused
	IsGranted bool          // an operation that arrives now would be admitted at once
	Err       error         // with which it would be refused at once; if it is nil and IsGranted is false, a holder would be asked
	Holders   []HolderView  // by shard
}

// HolderView is what this VM knows of the holder of one shard of a limit.
type HolderView struct {
	Shard     int
	Address   string        // as the holder itself has said; empty if it is not known
	Wait      time.Duration // until the holder is asked again, because it had too few tokens; 0: it can be asked
	HasFailed bool          // it did not answer recently
}

// Explain returns what is known of a team's limit. It takes no token and asks no holder.
func (l *Limiter) Explain(t cataloger.Team) View {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.teams[t.Name], l.cfg.Clock()
	if s == nil {
		s = &state{name: t.Name}
	}
	v := View{InHand: s.inHand(now), Wait: max(0, s.retryAt-now)}
	v.IsGranted, v.Err = s.answer(now)
	if t.Rate <= 0 {
		return v
	}
	for _, shard := range l.cfg.Sharder.Divide(t).Shards {
		h := HolderView{Shard: shard, Address: l.holders[shard]}
		if h.Address != "" {
			h.Wait, h.HasFailed = max(0, s.until[h.Address]-now), !l.isUsable(h.Address, now)
		}
		v.Holders = append(v.Holders, h)
	}
	return v
}
