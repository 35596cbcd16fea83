// Package granter keeps the token buckets of a VM that holds shards of teams' limits. It makes no calls and reads no clock.
package granter

import (
	"sync"
	"time"

	"parsleyscale/internal/team/sharder"
)

// maxWait bounds the time after which a refused VM is told to ask again, so that it soon notices the end of an overload.
const maxWait = 2 * time.Second

// key identifies a bucket.
type key struct {
	team  string
	shard int
}

// bucket is a token bucket.
type bucket struct {
	share   sharder.Share
	tokens  float64
	refused float64 // tokens that refused requests asked for, less what was refilled since
	at      time.Duration
}

// Granter grants tokens of the shards that it holds.
type Granter struct {
	mu        sync.Mutex
	heldSince map[int]time.Duration // by shard
	buckets   map[key]*bucket
}

// New returns a Granter that holds no shard.
func New() *Granter {
	return &Granter{heldSince: map[int]time.Duration{}, buckets: map[key]*bucket{}}
}

// Start begins to hold a shard. All its buckets are empty: the holder before may have granted whatever they contained.
func (g *Granter) Start(shard int, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop(shard)
	g.heldSince[shard] = now
}

// Stop ends holding a shard.
func (g *Granter) Stop(shard int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop(shard)
}

func (g *Granter) stop(shard int) {
	delete(g.heldSince, shard)
	for k := range g.buckets {
		if k.shard == shard {
			delete(g.buckets, k)
		}
	}
}

// Grant takes up to count tokens from a team's bucket. It returns how many it took and, if these are fewer, the time after which
// to ask again. The share is that of the configuration in force: tokens above a reduced capacity are dropped.
func (g *Granter) Grant(now time.Duration, team string, shard int, share sharder.Share, count int) (int, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, ok := g.heldSince[shard]
	if !ok || count <= 0 || share.Rate <= 0 {
		return 0, maxWait
	}
	k := key{team, shard}
	b := g.buckets[k]
	if b == nil {
		b = &bucket{share: share, at: since}
		g.buckets[k] = b
	}
	b.refill(now)
	b.share, b.tokens = share, min(b.tokens, share.Capacity)
	// The tolerance covers the rounding of a refill that is due exactly now.
	granted := min(count, int(b.tokens+1e-9))
	b.tokens -= float64(granted)
	if granted == count {
		return granted, 0
	}
	// Refused VMs are told to return one after the other, at the rate of the refill.
	wait := time.Duration((1 - b.tokens + b.refused) / share.Rate * float64(time.Second))
	b.refused = min(b.refused+1, share.Rate*maxWait.Seconds())
	return granted, min(max(wait, time.Millisecond), maxWait)
}

// refill adds the tokens that have become due.
func (b *bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	due := b.share.Rate * (now - b.at).Seconds()
	b.tokens, b.refused, b.at = min(b.share.Capacity, b.tokens+due), max(0, b.refused-due), now
}

// Available returns the whole tokens in a team's bucket without taking any.
func (g *Granter) Available(now time.Duration, team string, shard int, share sharder.Share) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, ok := g.heldSince[shard]
	if !ok {
		return 0
	}
	b := bucket{share: share, at: since}
	if known := g.buckets[key{team, shard}]; known != nil {
		b = *known
	}
	b.refill(now)
	return int(min(b.tokens, share.Capacity))
}

// Evict removes the buckets that are full. A bucket that is created later is full as well, because it is refilled from the time
// at which the shard has been held.
func (g *Granter) Evict(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, b := range g.buckets {
		since := g.heldSince[k.shard]
		if b.refill(now); b.tokens >= b.share.Capacity && b.share.Rate*(now-since).Seconds() >= b.share.Capacity {
			delete(g.buckets, k)
		}
	}
}

// Buckets returns the number of buckets.
func (g *Granter) Buckets() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.buckets)
}
