package registrar

import "parsleyscale/internal/session/tokenizer"

// lead is the time in which an instance is the primary.
type lead struct {
	instance string // "": no primary has proved itself
	term     uint64 // highest one in which it is known to lead
	// inherited covers the entries that the primary held before it became the primary, as far as this VM can tell. As a replica, it may have been
	// counted for their commits, and be the only one that is left with them. An instance that holds an entry of the primary's own
	// term has received all that went before.
	inherited tokenizer.Position
}

// withProof returns the lead after an instance has proved to be the primary of a term, with its newest entry. Until a primary has an entry of
// its own, it may be counted in the term before, or in one that this VM has not seen. Reported is the term that it has reported to lead, zero if it
// has not.
func (l lead) withProof(instance string, term, reported uint64, p tokenizer.Position) lead {
	if instance == l.instance && term <= l.term {
		return l
	}
	next := lead{instance: instance, term: max(term, l.term), inherited: p}
	switch isOwn := reported == p.Term; {
	case l.instance == "":
		next.inherited = tokenizer.Position{}
	case isOwn && instance == l.instance && term == l.term+1:
		next.inherited = l.inherited
	case isOwn:
		next.inherited = tokenizer.Position{Term: p.Term}
	}
	return next
}
