package registrar

import (
	"testing"

	"parsleyscale/internal/session/tokenizer"
)

// Guards against a new primary that is taken for one whose entries are all on a replica, and against a group that waits for entries which the
// primary has written itself.
func TestInherited(t *testing.T) {
	at := func(term, index uint64) tokenizer.Position { return tokenizer.Position{Term: term, Index: index} }
	type proof struct {
		instance string
		term     uint64 // the higher one of those of the proof and of the report
		p        tokenizer.Position
		reported uint64
	}
	for _, c := range []struct {
		name   string
		proofs []proof
		want   tokenizer.Position
	}{
		{"first primary", []proof{{"a", 3, at(3, 7), 0}, {"a", 3, at(3, 8), 0}}, at(0, 0)},
		{"successor without an entry", []proof{{"a", 3, at(3, 7), 0}, {"b", 3, at(3, 9), 0}}, at(3, 9)},
		{"the same, proved again", []proof{{"a", 3, at(3, 7), 0}, {"b", 3, at(3, 9), 0}, {"b", 3, at(3, 9), 0}}, at(3, 9)},
		{"the same, after its status", []proof{{"a", 3, at(3, 7), 0}, {"b", 3, at(3, 9), 0}, {"b", 4, at(3, 9), 4}}, at(3, 9)},
		{"successor that has written since", []proof{{"a", 3, at(3, 7), 0}, {"b", 3, at(3, 9), 0}, {"b", 4, at(4, 10), 0}}, at(4, 10)},
		{"the same, which has reported its term", []proof{{"a", 3, at(3, 7), 0}, {"b", 3, at(3, 9), 0}, {"b", 4, at(4, 10), 4}}, at(3, 9)},
		{"successor with an entry", []proof{{"a", 3, at(3, 7), 0}, {"b", 4, at(4, 12), 0}}, at(4, 12)},
		{"successor with an entry, which has reported its term", []proof{{"a", 3, at(3, 7), 0}, {"b", 4, at(4, 12), 4}}, at(4, 0)},
		{"successor of that without an entry", []proof{{"a", 3, at(3, 7), 0}, {"b", 4, at(4, 12), 0}, {"a", 4, at(4, 13), 0}}, at(4, 13)},
		{"successor without an entry, of a primary that was not seen", []proof{{"a", 3, at(3, 7), 0}, {"b", 5, at(4, 90), 5}}, at(4, 90)},
		{"the same primary again, after one that was not seen", []proof{{"a", 3, at(3, 7), 0}, {"a", 5, at(4, 90), 5}}, at(4, 90)},
		{"the same primary later", []proof{{"a", 3, at(3, 7), 0}, {"b", 4, at(4, 12), 0}, {"b", 4, at(4, 90), 0}}, at(4, 12)},
	} {
		var l lead
		for _, p := range c.proofs {
			l = l.withProof(p.instance, p.term, p.reported, p.p)
		}
		if l.inherited != c.want {
			t.Errorf("%s: inherited entries up to %s, want %s", c.name, l.inherited, c.want)
		}
	}
}
