package sampler

import (
	"time"

	"parsleyscale/internal/session/tokenizer"
)

const (
	// roundSpacing is the least time between two rounds that are kept.
	roundSpacing = 5 * time.Millisecond
	// agePerSpacing bounds the number of kept rounds: a round of age a is
	// dropped when its neighbours are less than a/agePerSpacing apart, which
	// costs at most that share of a replica's freshness.
	agePerSpacing = 32
	// roundMaxAge is the lag up to which a replica's freshness is known.
	roundMaxAge = 2 * time.Minute
	// compactEvery is the number of added rounds after which old ones are dropped.
	compactEvery = 64
)

// history holds confirmed rounds in ascending order. Views share the slice of
// old rounds: it is only appended to, and replaced as a whole when compacted.
type history struct {
	old    []Round
	newest Round
	added  int
}

// add records a confirmed round.
func (h *history) add(p tokenizer.Position, start time.Time) {
	if h.newest.Position == p {
		h.newest.Last = start
		return
	}
	if !h.newest.Position.IsZero() && h.isSpaced() {
		h.old = append(h.old, h.newest)
		if h.added++; h.added%compactEvery == 0 {
			h.compact(start)
		}
	}
	h.newest = Round{Position: p, First: start, Last: start}
}

func (h *history) isSpaced() bool {
	n := len(h.old)
	return n == 0 || h.newest.Last.Sub(h.old[n-1].Last) >= roundSpacing
}

func (h *history) compact(now time.Time) {
	kept := make([]Round, 0, len(h.old)+compactEvery)
	for i, r := range h.old {
		age := now.Sub(r.Last)
		if age > roundMaxAge {
			continue
		}
		n := len(kept)
		if n > 0 && i+1 < len(h.old) && h.old[i+1].Last.Sub(kept[n-1].Last) < age/agePerSpacing {
			continue
		}
		kept = append(kept, r)
	}
	h.old = kept
}

// covered returns the latest round whose position an instance with the given applied position holds.
func (h *history) covered(applied tokenizer.Position) (Round, bool) {
	if h.newest.Position.IsZero() {
		return Round{}, false
	}
	if applied.Covers(h.newest.Position) {
		return h.newest, true
	}
	for i := len(h.old) - 1; i >= 0; i-- {
		if applied.Covers(h.old[i].Position) {
			return h.old[i], true
		}
	}
	return Round{}, false
}

// firstAfter returns the earliest kept round whose position is after applied.
func (h *history) firstAfter(applied tokenizer.Position) (Round, bool) {
	if applied.Covers(h.newest.Position) {
		return Round{}, false
	}
	first := h.newest
	for i := len(h.old) - 1; i >= 0 && !applied.Covers(h.old[i].Position); i-- {
		first = h.old[i]
	}
	return first, true
}
