package executor

import (
	"context"
	"errors"
	"fmt"

	"parsleyscale/internal/failure/classifier"
)

// faultKind tells how far an attempt came before it failed.
type faultKind int

const (
	faultNotSent faultKind = iota // nothing reached the instance
	faultRefused                  // the instance answered that nothing was committed
	faultLost                     // the connection failed, or the instance was silent
	faultGone                     // the caller is gone
)

// fault is the failure of an attempt on one connection.
type fault struct {
	kind faultKind
	err  error
}

func (f *fault) Error() string { return f.err.Error() }
func (f *fault) Unwrap() error { return f.err }

func newFault(k faultKind, format string, args ...any) error {
	return &fault{kind: k, err: fmt.Errorf(format, args...)}
}

// faultOf returns the kind of a failed attempt. Any other error means that the state of the connection is unknown.
func faultOf(err error) faultKind {
	var f *fault
	if errors.As(err, &f) {
		return f.kind
	}
	return faultLost
}

// ended returns the classified error for a unit whose context ended while nothing of it can have been committed, or nil.
func ended(ctx context.Context, cause error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return classifier.Wrap(classifier.Timeout, cause, "deadline passed")
	case ctx.Err() != nil:
		return classifier.Wrap(classifier.Canceled, cause, "caller is gone")
	}
	return nil
}

func unknownOutcome(err error) error {
	return classifier.Wrap(classifier.OutcomeUnknown, err, "the write was sent and its outcome is not known")
}

func notRun(err error) error {
	return classifier.Wrap(classifier.NotRun, err, "nothing was committed")
}
