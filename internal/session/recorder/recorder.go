package recorder

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/session/tokenizer"
)

const (
	// maxEntries bounds the records of a database; older ones are dropped.
	maxEntries = 4096
	// wantedFor is the time after a read without a token in which this gateway asks the others for their records.
	wantedFor = 30 * time.Second
)

// Write is the record of one commit.
type Write struct {
	Index   uint64
	Session uint64 // hash of the session's identity; zero for none
}

// HashOf returns the hash under which a session is recorded. Two sessions with
// the same hash get a floor that is too high, never one that is too low.
func HashOf(session string) uint64 {
	if session == "" {
		return 0
	}
	return max(xxhash.Sum64String(session), 1)
}

// Recorder holds the records of one database.
type Recorder struct {
	mu      sync.Mutex
	term    uint64
	writers map[uint64][]uint64 // hashes of the sessions that wrote an entry, by index
	order   []uint64            // indexes in order of arrival
	own     feed
	changed chan struct{}
	wanted  time.Time // latest call of Floor
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{writers: map[uint64][]uint64{}, changed: make(chan struct{}), own: newFeed()}
}

// Add records a commit of this gateway. It must be called before the commit is acknowledged.
func (r *Recorder) Add(p tokenizer.Position, session string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.enterLocked(p.Term) {
		return
	}
	w := Write{Index: p.Index, Session: HashOf(session)}
	r.own.add(w)
	r.addLocked(w)
	r.notifyLocked()
}

// Merge adds the records of another gateway.
func (r *Recorder) Merge(term uint64, writes []Write) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.enterLocked(term) {
		return
	}
	for _, w := range writes {
		r.addLocked(w)
	}
	r.notifyLocked()
}

// enterLocked reports whether records of a term are kept. A higher term drops those of lower ones.
func (r *Recorder) enterLocked(term uint64) bool {
	if term < r.term {
		return false
	}
	if term > r.term {
		r.term = term
		r.writers, r.order = map[uint64][]uint64{}, nil
		r.own.reset()
	}
	return true
}

func (r *Recorder) addLocked(w Write) {
	list, known := r.writers[w.Index]
	for _, s := range list {
		if s == w.Session {
			return
		}
	}
	r.writers[w.Index] = append(list, w.Session)
	if known {
		return
	}
	r.order = append(r.order, w.Index)
	if len(r.order) > maxEntries {
		delete(r.writers, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *Recorder) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// IsWanted reports whether a read asked for a floor lately.
func (r *Recorder) IsWanted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.wanted) < wantedFor
}

// Floor returns the position that an instance must have applied to show a
// session all its writes that were acknowledged before the confirmed position
// was sampled. Entries up to enough are not looked at, because some replica has applied them.
// It waits until ctx ends for records that are still on their way.
func (r *Recorder) Floor(ctx context.Context, session string, confirmed tokenizer.Position, enough uint64) tokenizer.Position {
	hash := HashOf(session)
	for {
		index, isGap, changed := r.latest(hash, confirmed, enough)
		if !isGap {
			return tokenizer.Position{Term: confirmed.Term, Index: index}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return tokenizer.Position{Term: confirmed.Term, Index: index}
		}
	}
}

// latest returns the latest entry up to confirmed that the session wrote or may have written.
func (r *Recorder) latest(hash uint64, confirmed tokenizer.Position, enough uint64) (index uint64, isGap bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted = time.Now()
	if confirmed.Term != r.term {
		return confirmed.Index, confirmed.Term > r.term, r.changed
	}
	for i := confirmed.Index; i > enough; i-- {
		list, known := r.writers[i]
		if !known {
			return i, true, r.changed
		}
		for _, s := range list {
			if s == hash {
				return i, false, nil
			}
		}
	}
	return min(enough, confirmed.Index), false, nil
}
