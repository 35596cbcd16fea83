package recorder

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/session/tokenizer"
)

const (
	// maxEntries limits the log entries of a database whose writers are kept, and the
	// records of a feed. The oldest ones are dropped.
	maxEntries = 4096
	// pollDuration is how long this gateway keeps polling the others for their records after a call of Floor.
	pollDuration = 30 * time.Second
)

// Write is the record of one commit.
type Write struct {
	Index   uint64 // log index of the commit
	Session uint64 // hash of the session ID; zero if it has none
}

// SessionHash returns the hash under which a session is recorded. If two sessions have the
// same hash, their floors may be too high but never too low.
func SessionHash(session string) uint64 {
	if session == "" {
		return 0
	}
	return max(xxhash.Sum64String(session), 1)
}

// Recorder holds the records of one database. Only those of the highest term seen are kept.
type Recorder struct {
	mu          sync.Mutex
	term        uint64              // term of all records
	writers     map[uint64][]uint64 // hashes of the sessions that wrote an entry, by log index
	order       []uint64            // keys of writers in the order in which they were added
	own         feed                // records of this gateway's own commits
	changed     chan struct{}       // closed and replaced when records are added
	lastFloorAt time.Time           // time of the latest call of Floor
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{writers: map[uint64][]uint64{}, changed: make(chan struct{}), own: newFeed()}
}

// RecordCommit records a commit of this gateway. The caller must not acknowledge the commit before RecordCommit returns.
func (r *Recorder) RecordCommit(p tokenizer.Position, session string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.acceptTermLocked(p.Term) {
		return
	}
	w := Write{Index: p.Index, Session: SessionHash(session)}
	r.own.add(w)
	r.addLocked(w)
	r.notifyLocked()
}

// Merge adds records of another gateway.
func (r *Recorder) Merge(term uint64, writes []Write) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.acceptTermLocked(term) {
		return
	}
	for _, w := range writes {
		r.addLocked(w)
	}
	r.notifyLocked()
}

// acceptTermLocked reports whether records of a term are accepted. Records of a lower
// term than the current one are not; a higher term drops all existing records. r.mu is held.
func (r *Recorder) acceptTermLocked(term uint64) bool {
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

// addLocked adds a record unless it is already there, and drops the oldest entry
// beyond maxEntries. r.mu is held.
func (r *Recorder) addLocked(w Write) {
	sessions, isKnown := r.writers[w.Index]
	for _, s := range sessions {
		if s == w.Session {
			return
		}
	}
	r.writers[w.Index] = append(sessions, w.Session)
	if isKnown {
		return
	}
	r.order = append(r.order, w.Index)
	if len(r.order) > maxEntries {
		delete(r.writers, r.order[0])
		r.order = r.order[1:]
	}
}

// notifyLocked wakes all calls that wait for records. r.mu is held.
func (r *Recorder) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// WasFloorRequested reports whether Floor was called within pollDuration, so that the records of
// the other gateways are needed.
func (r *Recorder) WasFloorRequested() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastFloorAt) < pollDuration
}

// Floor returns the position that an instance must have applied to show a session all
// its writes that were acknowledged before the confirmed position was sampled. It does
// not check entries up to appliedIndex, because a replica has already applied them.
// If the record of an entry is missing, it waits for the record until ctx ends and
// then returns the position of that entry.
func (r *Recorder) Floor(ctx context.Context, session string, confirmed tokenizer.Position, appliedIndex uint64) tokenizer.Position {
	hash := SessionHash(session)
	for {
		index, isMissing, changed := r.latestWrite(hash, confirmed, appliedIndex)
		if !isMissing {
			return tokenizer.Position{Term: confirmed.Term, Index: index}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return tokenizer.Position{Term: confirmed.Term, Index: index}
		}
	}
}

// latestWrite returns the index of the latest entry in (appliedIndex, confirmed] that
// the session wrote or may have written, or min(appliedIndex, confirmed.Index) if there is
// none. isMissing reports that the entry has no record yet; changed is then closed when
// records are added. If the records are of another term than confirmed, the index is
// confirmed.Index, and isMissing reports whether the term of confirmed is the newer one.
func (r *Recorder) latestWrite(hash uint64, confirmed tokenizer.Position, appliedIndex uint64) (index uint64, isMissing bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFloorAt = time.Now()
	if confirmed.Term != r.term {
		return confirmed.Index, confirmed.Term > r.term, r.changed
	}
	for i := confirmed.Index; i > appliedIndex; i-- {
		sessions, isKnown := r.writers[i]
		if !isKnown {
			return i, true, r.changed
		}
		for _, s := range sessions {
			if s == hash {
				return i, false, nil
			}
		}
	}
	return min(appliedIndex, confirmed.Index), false, nil
}
