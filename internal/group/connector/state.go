package connector

import "errors"

// SQLSTATEs of an instance's refusals, in the project's own class PS.
const (
	// StateFenced refuses a write or a commit on a primary whose term was
	// fenced or that was replaced. The transaction is certainly not committed.
	StateFenced = "PS101"
	// StateTermTooLow refuses an operation at a term that the fence already excludes.
	StateTermTooLow = "PS102"
	// StateNotFenced refuses a promotion at a term the instance was not fenced at.
	StateNotFenced = "PS103"
	// StateTermTaken refuses an operation at a term that has another primary.
	StateTermTaken = "PS104"
)

// Errors of refused operations. The instance answered, so its state is known to be unchanged.
var (
	ErrFenced    = errors.New("term is excluded by the fence")
	ErrNotFenced = errors.New("instance was not fenced at this term")
	ErrTermTaken = errors.New("term has another primary")
)
