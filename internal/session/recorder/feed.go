package recorder

import (
	"context"
	"math/rand/v2"
	"time"

	"parsleyscale/internal/clock/sleeper"
)

// batchTime is the least time between two answers to one gateway, so that a busy database costs few calls.
const batchTime = 3 * time.Millisecond

// feed holds this gateway's own records for the other gateways.
type feed struct {
	epoch uint64 // of this process; a gateway that restarted counts from the start
	next  uint64 // number of the record after the last
	log   []Write
}

func newFeed() feed { return feed{epoch: max(rand.Uint64(), 1)} }

func (f *feed) add(w Write) {
	f.log = append(f.log, w)
	f.next++
	if len(f.log) > maxEntries {
		f.log = f.log[len(f.log)-maxEntries:]
	}
}

// reset drops the records of an older term; their numbers are not used again.
func (f *feed) reset() { f.log = nil }

// since returns the records from a number on.
func (f *feed) since(epoch, after uint64) []Write {
	first := f.next - uint64(len(f.log))
	if epoch != f.epoch || after < first {
		after = first
	}
	if after >= f.next {
		return nil
	}
	return append([]Write(nil), f.log[after-first:]...)
}

// Batch is a part of a gateway's own records.
type Batch struct {
	Epoch  uint64
	Next   uint64 // number of the next record
	Term   uint64
	Writes []Write
}

// Watch returns this gateway's own records from a number on, as soon as there are any, or an empty batch when ctx ends.
func (r *Recorder) Watch(ctx context.Context, epoch, after uint64) Batch {
	for {
		b, changed := r.batch(epoch, after)
		if len(b.Writes) > 0 || epoch != b.Epoch {
			return b
		}
		select {
		case <-ctx.Done():
			return b
		case <-changed:
		}
		sleeper.Sleep(ctx, batchTime)
	}
}

func (r *Recorder) batch(epoch, after uint64) (Batch, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Batch{Epoch: r.own.epoch, Next: r.own.next, Term: r.term, Writes: r.own.since(epoch, after)}, r.changed
}
