// Package witness keeps a history of the log positions that the primary of a group held, for reads with bounded
// staleness and for estimates of replication lag.
//
// A sample comes from a reply that itself proves that its sender is the primary. The position in a reply to a
// request sent at time t covers every commit that any VM has acknowledged before t. Therefore a read that may
// miss the commits of the last d needs the position of the oldest sample that was requested at most d ago. No
// other position may be added.
//
// Times are durations on a clock that also counts while the VM is suspended. On any other clock, a sample could
// look younger than it is.
package witness

import (
	"sort"
	"sync"
	"time"

	"parsleyscale/internal/session/tokenizer"
)

// minSpacing limits the number of samples: a new sample replaces the newest one if it was requested
// less than minSpacing after the second newest.
const minSpacing = 20 * time.Millisecond

// Sample is a position that the primary held.
type Sample struct {
	SentAt     time.Duration // when the request was sent
	ReceivedAt time.Duration // when its reply arrived
	Position   tokenizer.Position
}

// Witness holds the samples of one group. It is safe for concurrent use.
type Witness struct {
	mu        sync.Mutex
	retention time.Duration // maximum age of a sample, relative to the newest one
	samples   []Sample      // in ascending order of SentAt; positions never decrease
}

// New returns a Witness that drops samples older than retention.
func New(retention time.Duration) *Witness { return &Witness{retention: retention} }

// Add records that the primary held p when it replied to a request. The request was sent at sentAt, and the
// reply, which proved that its sender was the primary, arrived at receivedAt. Samples may be added in any order.
// A zero position is ignored.
func (w *Witness) Add(sentAt, receivedAt time.Duration, p tokenizer.Position) {
	if p.IsZero() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	k := sort.Search(len(w.samples), func(k int) bool { return w.samples[k].SentAt > sentAt })
	// A position that an earlier request proved is a lower bound for this one, too.
	if k > 0 {
		p = p.Max(w.samples[k-1].Position)
	}
	if k > 0 && k == len(w.samples) && k > 1 && sentAt-w.samples[k-2].SentAt < minSpacing {
		w.samples[k-1] = Sample{SentAt: sentAt, ReceivedAt: receivedAt, Position: p}
	} else {
		w.samples = append(w.samples, Sample{})
		copy(w.samples[k+1:], w.samples[k:])
		w.samples[k] = Sample{SentAt: sentAt, ReceivedAt: receivedAt, Position: p}
	}
	for j := k + 1; j < len(w.samples) && !w.samples[j].Position.Covers(p); j++ {
		w.samples[j].Position = p
	}
	w.expire()
}

// expire drops the samples that are older than the newest one by more than the retention.
func (w *Witness) expire() {
	newest := w.samples[len(w.samples)-1].SentAt
	n := 0
	for n < len(w.samples)-1 && newest-w.samples[n].SentAt > w.retention {
		n++
	}
	w.samples = w.samples[n:]
}

// Floor returns the lowest position that is known to cover every commit acknowledged before since. It returns
// false if no sample was requested at or after since.
func (w *Witness) Floor(since time.Duration) (tokenizer.Position, bool) {
	s, ok := w.OldestSince(since)
	return s.Position, ok
}

// OldestSince returns the oldest sample that was requested at or after since. It returns false if there is none.
func (w *Witness) OldestSince(since time.Duration) (Sample, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := sort.Search(len(w.samples), func(k int) bool { return w.samples[k].SentAt >= since })
	if k == len(w.samples) {
		return Sample{}, false
	}
	return w.samples[k], true
}

// ReachedAt returns when the request of the first sample that covers p was sent. It returns false if no sample covers p.
func (w *Witness) ReachedAt(p tokenizer.Position) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := sort.Search(len(w.samples), func(k int) bool { return w.samples[k].Position.Covers(p) })
	if k == len(w.samples) {
		return 0, false
	}
	return w.samples[k].SentAt, true
}

// PassedAt returns when the reply of the first sample with a position after p arrived; by then, the primary held
// entries after p. It returns false if there is no such sample.
func (w *Witness) PassedAt(p tokenizer.Position) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := sort.Search(len(w.samples), func(k int) bool { return !p.Covers(w.samples[k].Position) })
	if k == len(w.samples) {
		return 0, false
	}
	return w.samples[k].ReceivedAt, true
}

// Newest returns the sample that was requested last, or the zero Sample if there is none.
func (w *Witness) Newest() Sample {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.samples) == 0 {
		return Sample{}
	}
	return w.samples[len(w.samples)-1]
}
