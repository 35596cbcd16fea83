package promoter

import (
	"context"
	"sync"
	"time"
)

// Holder keeps new write units of a gateway back during a planned switch and
// counts the running ones.
type Holder struct {
	mu      sync.Mutex
	running int
	term    uint64        // of the hold
	until   time.Time     // end of the hold
	open    chan struct{} // closed when the hold ends early; nil when none
	idle    chan struct{} // closed when no unit is running; nil when nobody waits
}

// NewHolder returns a Holder without a hold.
func NewHolder() *Holder { return &Holder{} }

// Wait is called before a write unit starts. It returns nil once there is no
// hold and counts the unit as running; the caller then calls Done once.
func (h *Holder) Wait(ctx context.Context) error {
	for {
		open, left := h.start()
		if open == nil {
			return nil
		}
		if err := sleep(ctx, open, left); err != nil {
			return err
		}
	}
}

// start counts a unit as running, or returns what ends the hold.
func (h *Holder) start() (<-chan struct{}, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if left := time.Until(h.until); h.open != nil && left > 0 {
		return h.open, left
	}
	h.open = nil
	h.running++
	return nil, 0
}

// sleep waits for a channel, a time or the context's end, which is an error.
func sleep(ctx context.Context, done <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-done:
	case <-t.C:
	}
	return nil
}

// Done ends a write unit.
func (h *Holder) Done() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	if h.running == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}

// Running returns the number of running write units.
func (h *Holder) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// Hold keeps new write units back for at most d or until Release of the term,
// which is that of the primary that is replaced. It returns true once no write
// unit is running, and false when d or the context ends first.
func (h *Holder) Hold(ctx context.Context, term uint64, d time.Duration) bool {
	end := time.Now().Add(d)
	h.mu.Lock()
	if h.open == nil {
		h.open = make(chan struct{})
	}
	h.term = max(h.term, term)
	h.until = later(h.until, end)
	h.mu.Unlock()
	for {
		idle := h.whenIdle()
		if idle == nil {
			return true
		}
		left := time.Until(end)
		if left <= 0 || sleep(ctx, idle, left) != nil {
			return false
		}
	}
}

// whenIdle returns a channel that is closed when no unit is running; nil when none is.
func (h *Holder) whenIdle() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == 0 {
		return nil
	}
	if h.idle == nil {
		h.idle = make(chan struct{})
	}
	return h.idle
}

// Release ends a hold of the term or of a lower one.
func (h *Holder) Release(term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == nil || term < h.term {
		return
	}
	close(h.open)
	h.open, h.until = nil, time.Time{}
}
