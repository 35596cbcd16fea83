package sampler

import (
	"time"

	"parsleyscale/internal/session/tokenizer"
)

const (
	// minRoundSpacing is the minimum time between two retained rounds.
	minRoundSpacing = 5 * time.Millisecond
	// ageToSpacingRatio bounds the number of retained rounds: a round of age a is dropped when its neighbours are less
	// than a/ageToSpacingRatio apart. This understates the freshness of a replica by less
	// than that time.
	ageToSpacingRatio = 32
	// maxRoundAge is the age at which a round is dropped. The freshness of a replica with a longer lag is unknown.
	maxRoundAge = 2 * time.Minute
	// roundsPerCompaction is the number of appended rounds after which the history is compacted.
	roundsPerCompaction = 64
)

// history holds the confirmed rounds in ascending order. Views share the slice of earlier rounds, so its elements are
// never changed: rounds are appended, and compaction replaces the whole slice.
type history struct {
	earlier  []Round
	newest   Round
	appended int
}

// add records a round that was confirmed at p and began at start.
func (h *history) add(p tokenizer.Position, start time.Time) {
	if h.newest.Position == p {
		h.newest.LastStart = start
		return
	}
	if !h.newest.Position.IsZero() && h.isNewestSpaced() {
		h.earlier = append(h.earlier, h.newest)
		if h.appended++; h.appended%roundsPerCompaction == 0 {
			h.compact(start)
		}
	}
	h.newest = Round{Position: p, FirstStart: start, LastStart: start}
}

// isNewestSpaced reports whether the newest round is far enough from the last earlier one to be retained.
func (h *history) isNewestSpaced() bool {
	n := len(h.earlier)
	return n == 0 || h.newest.LastStart.Sub(h.earlier[n-1].LastStart) >= minRoundSpacing
}

// compact drops the rounds that are too old or too close to their neighbours for their age.
func (h *history) compact(now time.Time) {
	kept := make([]Round, 0, len(h.earlier)+roundsPerCompaction)
	for i, r := range h.earlier {
		age := now.Sub(r.LastStart)
		if age > maxRoundAge {
			continue
		}
		n := len(kept)
		if n > 0 && i+1 < len(h.earlier) && h.earlier[i+1].LastStart.Sub(kept[n-1].LastStart) < age/ageToSpacingRatio {
			continue
		}
		kept = append(kept, r)
	}
	h.earlier = kept
}

// latestCoveredBy returns the latest round whose position is at or before the applied position of an instance.
func (h *history) latestCoveredBy(applied tokenizer.Position) (Round, bool) {
	if h.newest.Position.IsZero() {
		return Round{}, false
	}
	if applied.Covers(h.newest.Position) {
		return h.newest, true
	}
	for i := len(h.earlier) - 1; i >= 0; i-- {
		if applied.Covers(h.earlier[i].Position) {
			return h.earlier[i], true
		}
	}
	return Round{}, false
}

// earliestAfter returns the earliest retained round whose position is after applied.
func (h *history) earliestAfter(applied tokenizer.Position) (Round, bool) {
	if applied.Covers(h.newest.Position) {
		return Round{}, false
	}
	earliest := h.newest
	for i := len(h.earlier) - 1; i >= 0 && !applied.Covers(h.earlier[i].Position); i-- {
		earliest = h.earlier[i]
	}
	return earliest, true
}
