package sampler

import (
	"context"
	"fmt"
	"io"
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/sheet/parser"
)

// worker asks one instance, one call at a time. Its fields are guarded by the
// sampler's mutex, except conn, which only the worker's goroutine uses, and
// those that never change.
type worker struct {
	s        *Sampler
	name     string
	ctx      context.Context
	cancel   context.CancelFunc
	instance parser.Instance
	awake    chan struct{}
	conn     connector.Instance

	askedSeq uint64 // number of the latest call
	askedAt  time.Time
	doneSeq  uint64 // number of the latest call that was answered or failed on a new connection
	okSeq    uint64 // number of the latest call that was answered
	okAt     time.Time
	status   connector.Status

	retry      bool // ask at once
	redial     bool // on a new connection
	redialedAt time.Time
	suspectAt  time.Time
	failures   int
	failedAt   time.Time
	lag        time.Duration
}

func newWorker(s *Sampler, i parser.Instance) *worker {
	w := &worker{s: s, name: i.Name, instance: i, awake: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(s.ctx)
	return w
}

func (w *worker) wake() {
	select {
	case w.awake <- struct{}{}:
	default:
	}
}

// suspect makes the worker ask on a new connection, unless it did so lately.
func (w *worker) suspect(now time.Time) {
	if now.Sub(w.redialedAt) < reportSpacing {
		return
	}
	w.redialedAt = now
	w.redial = true
	w.doubt(now)
	w.wake()
}

// doubt makes the next call due at once and shows the failure in the view.
func (w *worker) doubt(now time.Time) {
	w.retry = true
	if w.suspectAt.IsZero() {
		w.suspectAt = now
	}
	w.s.publish()
}

func (w *worker) run() {
	defer w.hangUp()
	for w.waitTurn() {
		w.ask()
	}
}

// waitTurn waits until the next call is due; false means that the worker ends.
func (w *worker) waitTurn() bool {
	for {
		delay, ok := w.due(time.Now())
		if ok && delay <= 0 {
			return w.ctx.Err() == nil
		}
		if !w.sleep(delay, ok) {
			return false
		}
	}
}

func (w *worker) sleep(d time.Duration, limited bool) bool {
	var expired <-chan time.Time
	if limited {
		t := time.NewTimer(d)
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-w.ctx.Done():
		return false
	case <-w.awake:
	case <-expired:
	}
	return true
}

// due returns the time until the next call; false means that none is needed.
func (w *worker) due(now time.Time) (time.Duration, bool) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	switch {
	case w.retry:
		return 0, true
	case w.askedSeq > w.s.roundSeq:
		return 0, false
	case w.failures > 0:
		return w.askedAt.Add(failedGap).Sub(now), true
	}
	return w.askedAt.Add(minGap).Sub(now), true
}

func (w *worker) ask() {
	fresh := w.begin()
	timeout := w.s.cfg.CallTimeout
	if !fresh {
		// A call on an open connection fails sooner, because a false alarm
		// costs no more than a new connection.
		timeout /= 2
	}
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	st, err := w.conn.Status(ctx)
	cancel()
	if err == nil && st.Name != "" && st.Name != w.name {
		// Counting one instance under two names would fake a majority.
		err = fmt.Errorf("instance %q: its address answers as %q", w.name, st.Name)
	}
	if err != nil {
		w.hangUp()
	}
	if w.ctx.Err() == nil {
		w.end(st, err, fresh)
	}
}

// begin numbers the call and reports whether it uses a new connection.
func (w *worker) begin() bool {
	w.s.mu.Lock()
	redial, i := w.redial, w.instance
	w.retry, w.redial = false, false
	w.s.seq++
	w.askedSeq = w.s.seq
	w.askedAt = time.Now()
	w.s.mu.Unlock()
	if redial {
		w.hangUp()
	}
	if w.conn != nil {
		return false
	}
	w.conn = w.s.cfg.Dial(i)
	return true
}

func (w *worker) hangUp() {
	if c, ok := w.conn.(io.Closer); ok {
		_ = c.Close()
	}
	w.conn = nil
}

// end records the outcome of a call.
func (w *worker) end(st connector.Status, err error, fresh bool) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	switch {
	case err == nil:
		w.answered(st)
	case fresh:
		w.doneSeq = w.askedSeq
		w.failedAt = w.askedAt
		w.failures++
	default:
		w.doubt(time.Now())
		return
	}
	w.s.update()
}

func (w *worker) answered(st connector.Status) {
	w.doneSeq, w.okSeq, w.okAt = w.askedSeq, w.askedSeq, w.askedAt
	w.failures, w.failedAt = 0, time.Time{}
	if !w.redial {
		w.suspectAt = time.Time{}
	}
	w.measureLag(st)
	w.status = st
}

// measureLag estimates how long a position takes from its first confirmed round
// until this instance has applied it. Rounds without traffic are far apart and
// make samples too long, so a shorter sample counts at once.
func (w *worker) measureLag(st connector.Status) {
	h := &w.s.history
	if waiting, ok := h.firstAfter(st.Applied); ok {
		w.lag = max(w.lag, w.askedAt.Sub(waiting.First))
	}
	r, ok := h.covered(st.Applied)
	if !ok || w.status.Applied.Covers(r.Position) {
		return
	}
	sample := max(w.askedAt.Sub(r.First), 0)
	if sample < w.lag {
		w.lag = sample
		return
	}
	w.lag += (sample - w.lag) / 4
}

func (w *worker) view(h *history) InstanceView {
	v := InstanceView{
		Instance:   w.instance,
		Reachable:  w.okSeq > 0 && w.failures == 0,
		Status:     w.status,
		AnsweredAt: w.okAt,
		SuspectAt:  w.suspectAt,
		Failures:   w.failures,
		FailedAt:   w.failedAt,
		Lag:        w.lag,
	}
	if r, ok := h.covered(w.status.Applied); ok && w.okSeq > 0 {
		v.FreshAsOf = r.Last
	}
	return v
}
