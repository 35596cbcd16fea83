package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/clock/sleeper"
)

// link holds the faults of one direction between two data centres, or of one host.
type link struct {
	extra    atomic.Int64 // added delay in ns
	silences atomic.Int64 // connections opened before the latest one carry nothing

	mu   sync.Mutex
	open chan struct{} // closed while the link is not cut
}

func newLink() *link {
	l := &link{open: make(chan struct{})}
	close(l.open)
	return l
}

func (l *link) setCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isCut == l.isCutLocked() {
		return
	}
	if isCut {
		l.open = make(chan struct{})
		return
	}
	close(l.open)
}

func (l *link) isCutLocked() bool {
	select {
	case <-l.open:
		return false
	default:
		return true
	}
}

func (l *link) silence() { l.silences.Add(1) }

// wait returns when the link is not cut, or false when ctx ends first.
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

// wait returns when no link of the path is cut, or false when ctx ends first.
func (p *path) wait(ctx context.Context) bool {
	for _, l := range p.links {
		if !l.wait(ctx) {
			return false
		}
	}
	return true
}

// epoch counts the silences so far; a connection is silent once it has risen.
func (p *path) epoch() int64 {
	var n int64
	for _, l := range p.links {
		n += l.silences.Load()
	}
	return n
}

func (p *path) oneWay() time.Duration {
	d := p.delay
	for _, l := range p.links {
		d += time.Duration(l.extra.Load())
	}
	return d
}

// carry waits until n bytes that were read at a time have crossed the path.
func (p *path) carry(ctx context.Context, n int, read time.Time) bool {
	if !sleeper.Until(ctx, read.Add(p.oneWay())) || !p.wait(ctx) {
		return false
	}
	if p.isRegion {
		p.n.regionBytes.Add(int64(n))
	}
	return p.pipe == nil || p.pipe.WaitN(ctx, n) == nil
}
