package connector

import "errors"

// SQLSTATEs with which an instance refuses operations. PS is a class of this project's own.
const (
	// SQLStateFenced refuses a write or a commit on a primary that was fenced at a
	// higher term or replaced. The transaction is guaranteed not to be committed.
	SQLStateFenced = "PS101"
	// SQLStateTermTooLow refuses an operation at a term that the instance's fence term already excludes.
	SQLStateTermTooLow = "PS102"
	// SQLStateNotFenced refuses a promotion at a term higher than the instance's fence term.
	SQLStateNotFenced = "PS103"
	// SQLStateTermTaken refuses an operation that would give a term a second or a different primary.
	SQLStateTermTaken = "PS104"
)

// Errors of refused operations. The instance answered, so its state is known to be unchanged.
var (
	ErrFenced    = errors.New("term is excluded by the instance's fence term")
	ErrNotFenced = errors.New("instance was not fenced at this term")
	ErrTermTaken = errors.New("term already has a primary")
)
