package executor

import (
	"context"
	"errors"
	"fmt"

	"parsleyscale/internal/failure/classifier"
)

// failureKind tells why an attempt failed and so whether the instance can have executed any of it.
type failureKind int

const (
	failureNotSent        failureKind = iota // no byte was sent to the instance
	failureRefused                           // the instance rejected the statement without committing it
	failureConnectionLost                    // the connection failed or timed out; the statement may have been executed
	failureClientGone                        // the client disconnected or canceled the unit
)

// attemptError is the failure of an attempt on one connection.
type attemptError struct {
	kind failureKind
	err  error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

func newAttemptError(k failureKind, format string, args ...any) error {
	return &attemptError{kind: k, err: fmt.Errorf(format, args...)}
}

// failureKindOf returns the kind of an attemptError in err's chain. Any other error leaves the state of the connection
// unknown and counts as failureConnectionLost.
func failureKindOf(err error) failureKind {
	var attempt *attemptError
	if errors.As(err, &attempt) {
		return attempt.kind
	}
	return failureConnectionLost
}

// contextError returns an error of kind timeout or canceled when ctx has ended, and nil otherwise. The unit must not
// have committed anything, since both kinds tell the client that the request did not run.
func contextError(ctx context.Context, cause error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return classifier.Wrap(classifier.Timeout, cause, "deadline passed before the unit took effect")
	case ctx.Err() != nil:
		return classifier.Wrap(classifier.Canceled, cause, "canceled before the unit took effect")
	}
	return nil
}

func outcomeUnknownError(err error) error {
	return classifier.Wrap(classifier.OutcomeUnknown, err, "it is unknown whether the write committed")
}

func notRunError(err error) error {
	return classifier.Wrap(classifier.NotRun, err, "nothing was committed")
}
