package recorder

import (
	"context"
	"math/rand/v2"
	"time"

	"parsleyscale/internal/clock/sleeper"
)

// batchDelay is how long Watch waits after new records, so that a busy database sends
// its records in few calls.
const batchDelay = 3 * time.Millisecond

// feed holds the records of this gateway's own commits, numbered from zero, for the
// other gateways.
type feed struct {
	epoch   uint64 // random ID of this feed, never zero; record numbers are only comparable within one epoch
	next    uint64 // number of the next record
	records []Write
}

// newFeed returns an empty feed with a new epoch.
func newFeed() feed { return feed{epoch: max(rand.Uint64(), 1)} }

// add appends a record and drops the oldest one beyond maxEntries.
func (f *feed) add(w Write) {
	f.records = append(f.records, w)
	f.next++
	if len(f.records) > maxEntries {
		f.records = f.records[len(f.records)-maxEntries:]
	}
}

// reset drops all records when a new term begins. Their numbers are not reused.
func (f *feed) reset() { f.records = nil }

// since returns the records from number start on. It returns all records if epoch is
// not the feed's epoch or if the record with that number has been dropped.
func (f *feed) since(epoch, start uint64) []Write {
	first := f.next - uint64(len(f.records))
	if epoch != f.epoch || start < first {
		start = first
	}
	if start >= f.next {
		return nil
	}
	return append([]Write(nil), f.records[start-first:]...)
}

// Batch is a sequence of records of one gateway's own commits.
type Batch struct {
	Epoch      uint64 // epoch of the gateway's feed; see Watch
	NextNumber uint64 // number of the record after the last of Writes
	Term       uint64 // term of all records
	Writes     []Write
}

// Watch returns the records of this gateway's own commits from number start on. It
// waits until there are any, and returns an empty batch when ctx ends. The caller
// passes Epoch and NextNumber of the last batch, or zeros at first. If the epoch is not the
// current one, as after a restart of this gateway, Watch returns all records at once.
func (r *Recorder) Watch(ctx context.Context, epoch, start uint64) Batch {
	for {
		b, changed := r.batch(epoch, start)
		if len(b.Writes) > 0 || epoch != b.Epoch {
			return b
		}
		select {
		case <-ctx.Done():
			return b
		case <-changed:
		}
		sleeper.Sleep(ctx, batchDelay)
	}
}

// batch returns the records from number start on and a channel that is closed when
// records are added.
func (r *Recorder) batch(epoch, start uint64) (Batch, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Batch{Epoch: r.own.epoch, NextNumber: r.own.next, Term: r.term, Writes: r.own.since(epoch, start)}, r.changed
}
