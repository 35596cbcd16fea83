package sampler

import (
	"context"
	"fmt"
	"io"
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/sheet/parser"
)

// worker polls one instance, with at most one outstanding call. Its fields are guarded by the sampler's mutex, except
// conn, which only the worker's goroutine uses, and fields that never change.
type worker struct {
	sampler  *Sampler
	name     string
	ctx      context.Context
	cancel   context.CancelFunc
	instance parser.Instance
	wakeup   chan struct{}
	conn     connector.Instance

	callSeq       uint64 // number of the latest call, set at its start
	callStart     time.Time
	completedSeq  uint64 // number of the latest call that was answered or failed on a new connection
	answeredSeq   uint64 // number of the latest answered call
	answeredStart time.Time
	status        connector.Status

	callImmediately   bool // the next call is due without delay
	redial            bool // the next call uses a new connection
	redialRequestedAt time.Time
	suspectAt         time.Time
	failures          int
	failedAt          time.Time
	lag               time.Duration
}

func newWorker(s *Sampler, instance parser.Instance) *worker {
	w := &worker{sampler: s, name: instance.Name, instance: instance, wakeup: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(s.ctx)
	return w
}

func (w *worker) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// requestRedial makes the next call due immediately on a new connection, unless this was requested less than
// minRedialInterval ago.
func (w *worker) requestRedial(now time.Time) {
	if now.Sub(w.redialRequestedAt) < minRedialInterval {
		return
	}
	w.redialRequestedAt = now
	w.redial = true
	w.markSuspect(now)
	w.wake()
}

// markSuspect makes the next call due immediately and publishes the failure of the connection in the view.
func (w *worker) markSuspect(now time.Time) {
	w.callImmediately = true
	if w.suspectAt.IsZero() {
		w.suspectAt = now
	}
	w.sampler.publishView()
}

func (w *worker) run() {
	defer w.closeConn()
	for w.waitForNextCall() {
		w.call()
	}
}

// waitForNextCall waits until the next call is due. It returns false when the worker must end.
func (w *worker) waitForNextCall() bool {
	for {
		delay, needed := w.untilNextCall(time.Now())
		if needed && delay <= 0 {
			return w.ctx.Err() == nil
		}
		if !w.waitForWakeup(delay, needed) {
			return false
		}
	}
}

// waitForWakeup waits for a wake-up, at most for d if isLimited. It returns false when the worker must end.
func (w *worker) waitForWakeup(d time.Duration, isLimited bool) bool {
	var expired <-chan time.Time
	if isLimited {
		t := time.NewTimer(d)
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-w.ctx.Done():
		return false
	case <-w.wakeup:
	case <-expired:
	}
	return true
}

// untilNextCall returns the time until the next call is due, and whether one is needed before the next wake-up.
func (w *worker) untilNextCall(now time.Time) (time.Duration, bool) {
	w.sampler.mu.Lock()
	defer w.sampler.mu.Unlock()
	switch {
	case w.callImmediately:
		return 0, true
	case w.callSeq > w.sampler.roundSeq:
		return 0, false
	case w.failures > 0:
		return w.callStart.Add(failedCallInterval).Sub(now), true
	}
	return w.callStart.Add(minCallInterval).Sub(now), true
}

func (w *worker) call() {
	isNewConn := w.startCall()
	timeout := w.sampler.cfg.CallTimeout
	if !isNewConn {
		// The time-out is shorter on an open connection, because a false positive costs only a reconnection.
		timeout /= 2
	}
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	status, err := w.conn.Status(ctx)
	cancel()
	if err == nil && status.Name != "" && status.Name != w.name {
		// An instance that is counted under two names could make up a false majority.
		err = fmt.Errorf("instance %q: the server at its address reports the name %q", w.name, status.Name)
	}
	if err != nil {
		w.closeConn()
	}
	if w.ctx.Err() == nil {
		w.finishCall(status, err, isNewConn)
	}
}

// startCall numbers the call, connects if necessary and reports whether the call uses a new connection.
func (w *worker) startCall() bool {
	w.sampler.mu.Lock()
	redial, instance := w.redial, w.instance
	w.callImmediately, w.redial = false, false
	w.sampler.seq++
	w.callSeq = w.sampler.seq
	w.callStart = time.Now()
	w.sampler.mu.Unlock()
	if redial {
		w.closeConn()
	}
	if w.conn != nil {
		return false
	}
	w.conn = w.sampler.cfg.Dial(instance)
	return true
}

func (w *worker) closeConn() {
	if c, ok := w.conn.(io.Closer); ok {
		_ = c.Close()
	}
	w.conn = nil
}

// finishCall records the result of a call. A failure on an open connection only makes the instance suspect: the call is
// repeated on a new connection before it counts as failed.
func (w *worker) finishCall(status connector.Status, err error, isNewConn bool) {
	w.sampler.mu.Lock()
	defer w.sampler.mu.Unlock()
	switch {
	case err == nil:
		w.recordAnswer(status)
	case isNewConn:
		w.completedSeq = w.callSeq
		w.failedAt = w.callStart
		w.failures++
	default:
		w.markSuspect(time.Now())
		return
	}
	w.sampler.handleCallResult()
}

func (w *worker) recordAnswer(status connector.Status) {
	w.completedSeq, w.answeredSeq, w.answeredStart = w.callSeq, w.callSeq, w.callStart
	w.failures, w.failedAt = 0, time.Time{}
	if !w.redial {
		w.suspectAt = time.Time{}
	}
	w.updateLag(status)
	w.status = status
}

// updateLag estimates the time from the first confirmed round with a position until this instance has applied it. When
// the group is idle, rounds are far apart and samples too long, so a shorter sample replaces the estimate immediately,
// whereas a longer one is averaged in with a weight of 1/4.
func (w *worker) updateLag(status connector.Status) {
	h := &w.sampler.history
	if notApplied, ok := h.earliestAfter(status.Applied); ok {
		w.lag = max(w.lag, w.callStart.Sub(notApplied.FirstStart))
	}
	covered, ok := h.latestCoveredBy(status.Applied)
	if !ok || w.status.Applied.Covers(covered.Position) {
		return
	}
	sample := max(w.callStart.Sub(covered.FirstStart), 0)
	if sample < w.lag {
		w.lag = sample
		return
	}
	w.lag += (sample - w.lag) / 4
}

func (w *worker) view(h *history) InstanceView {
	v := InstanceView{
		Instance:   w.instance,
		Reachable:  w.answeredSeq > 0 && w.failures == 0,
		Status:     w.status,
		AnsweredAt: w.answeredStart,
		SuspectAt:  w.suspectAt,
		Failures:   w.failures,
		FailedAt:   w.failedAt,
		Lag:        w.lag,
	}
	if r, ok := h.latestCoveredBy(w.status.Applied); ok && w.answeredSeq > 0 {
		v.FreshAsOf = r.LastStart
	}
	return v
}
