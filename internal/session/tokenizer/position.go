package tokenizer

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Position identifies an entry in the log of a database group.
type Position struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Compare compares two positions by term, then by index. It returns -1, 0 or 1.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Index, q.Index)
}

// Covers reports whether p is at or after floor, so that an instance that has applied
// p may serve a read with that floor.
func (p Position) Covers(floor Position) bool { return p.Compare(floor) >= 0 }

// IsZero reports whether p is the zero position, which precedes every log entry.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of two positions.
func (p Position) Max(q Position) Position {
	if p.Covers(q) {
		return p
	}
	return q
}

// String returns p in the form term/index.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Index, 10)
}

// ParsePosition parses a position in the form term/index.
func ParsePosition(s string) (Position, error) {
	term, index, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("parse position %q: slash missing, want the form term/index", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("parse position %q: term: %w", s, err)
	}
	i, err := strconv.ParseUint(index, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("parse position %q: index: %w", s, err)
	}
	return Position{Term: t, Index: i}, nil
}
