package promoter

import (
	"context"
	"sync"
	"time"
)

// WriteGate blocks new write units of a gateway during a planned switchover and counts the running ones.
type WriteGate struct {
	mu       sync.Mutex
	running  int           // write units
	term     uint64        // highest term of any hold so far
	until    time.Time     // when the hold expires
	released chan struct{} // closed by Release; nil without a hold
	idle     chan struct{} // closed when no write unit is running; nil when nobody waits for that
}

// NewWriteGate returns a WriteGate that blocks nothing.
func NewWriteGate() *WriteGate { return &WriteGate{} }

// BeginUnit must be called before a write unit starts. It blocks during a hold, then counts the unit as running
// and returns nil. After that, the caller must call EndUnit once. If ctx ends first, it returns ctx's error.
func (w *WriteGate) BeginUnit(ctx context.Context) error {
	for {
		released, remaining := w.tryStart()
		if released == nil {
			return nil
		}
		if err := sleep(ctx, released, remaining); err != nil {
			return err
		}
	}
}

// tryStart counts a write unit as running and returns nil. During a hold it returns the channel that is
// closed when the hold is released, and the time until the hold expires.
func (w *WriteGate) tryStart() (<-chan struct{}, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if remaining := time.Until(w.until); w.released != nil && remaining > 0 {
		return w.released, remaining
	}
	w.released = nil
	w.running++
	return nil, 0
}

// sleep returns nil after d or as soon as wake is closed, and the context's error if ctx ends before that.
func sleep(ctx context.Context, wake <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wake:
	case <-t.C:
	}
	return nil
}

// EndUnit marks a write unit as ended.
func (w *WriteGate) EndUnit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if w.running == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

// Running returns the number of running write units.
func (w *WriteGate) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// Hold blocks new write units for d, or until Release is called with the same or a higher term. The term is
// that of the primary being replaced. Hold reports whether all running write units ended before d or the
// context did; the hold stays in force either way.
func (w *WriteGate) Hold(ctx context.Context, term uint64, d time.Duration) bool {
	deadline := time.Now().Add(d)
	w.mu.Lock()
	if w.released == nil {
		w.released = make(chan struct{})
	}
	w.term = max(w.term, term)
	w.until = later(w.until, deadline)
	w.mu.Unlock()
	for {
		idle := w.idleChan()
		if idle == nil {
			return true
		}
		remaining := time.Until(deadline)
		if remaining <= 0 || sleep(ctx, idle, remaining) != nil {
			return false
		}
	}
}

// idleChan returns a channel that is closed when the last running write unit ends, or nil if none is running.
func (w *WriteGate) idleChan() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running == 0 {
		return nil
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	return w.idle
}

// Release ends the hold, unless a hold of a higher term was requested.
func (w *WriteGate) Release(term uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.released == nil || term < w.term {
		return
	}
	close(w.released)
	w.released, w.until = nil, time.Time{}
}
