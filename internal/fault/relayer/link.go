package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/clock/sleeper"
)

// link holds the faults of one direction between two data centres or two hosts, or of all data to and from one host.
type link struct {
	extraDelayNanos atomic.Int64 // added one-way delay
	epoch           atomic.Int64 // number of silence calls; connections opened in an earlier epoch carry no data

	mu   sync.Mutex
	open chan struct{} // closed while the link is not cut
}

func newLink() *link {
	l := &link{open: make(chan struct{})}
	close(l.open)
	return l
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.isCutLocked() {
		return
	}
	if cut {
		l.open = make(chan struct{})
		return
	}
	close(l.open)
}

// isCutLocked reports whether the link is cut. The caller holds mu.
func (l *link) isCutLocked() bool {
	select {
	case <-l.open:
		return false
	default:
		return true
	}
}

// silence makes the connections that are open now carry no more data.
func (l *link) silence() { l.epoch.Add(1) }

// wait blocks while the link is cut. It returns false if ctx ends first.
func (l *link) wait(ctx context.Context) bool {
	for {
		l.mu.Lock()
		open := l.open
		l.mu.Unlock()
		select {
		case <-open:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// wait blocks while the path's links are cut, one link after the other. It returns false if ctx ends first.
func (p *path) wait(ctx context.Context) bool {
	for _, l := range p.links {
		if !l.wait(ctx) {
			return false
		}
	}
	return true
}

// epoch returns the sum of the links' epochs. A connection is silent once it is higher than when it was opened.
func (p *path) epoch() int64 {
	var n int64
	for _, l := range p.links {
		n += l.epoch.Load()
	}
	return n
}

// oneWayDelay returns the path's delay including the added delays of its links.
func (p *path) oneWayDelay() time.Duration {
	d := p.delay
	for _, l := range p.links {
		d += time.Duration(l.extraDelayNanos.Load())
	}
	return d
}

// traverse blocks until n bytes that were read from the sender at readAt have crossed the path. It returns false if ctx
// ends first.
func (p *path) traverse(ctx context.Context, n int, readAt time.Time) bool {
	if !sleeper.Until(ctx, readAt.Add(p.oneWayDelay())) || !p.wait(ctx) {
		return false
	}
	if p.crossesRegions {
		p.network.regionBytes.Add(int64(n))
	}
	return p.limiter == nil || p.limiter.WaitN(ctx, n) == nil
}
