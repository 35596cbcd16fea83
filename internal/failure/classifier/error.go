package classifier

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace  = errorx.NewNamespace("parsleyscale")
	errorTypes = newErrorTypes()
)

// newErrorTypes returns an error type for each kind.
func newErrorTypes() map[Kind]*errorx.Type {
	m := make(map[Kind]*errorx.Type, len(answers))
	for _, a := range answers {
		m[a.Kind] = namespace.NewType(string(a.Kind))
	}
	return m
}

// New returns an error of a kind. An unknown kind becomes Internal.
func New(k Kind, format string, args ...any) error {
	return typeOf(k).New(format, args...)
}

// Wrap returns an error of a kind with err as its cause. An unknown kind becomes Internal.
func Wrap(k Kind, err error, format string, args ...any) error {
	return typeOf(k).Wrap(err, format, args...)
}

// retryAfterProperty is the error property that holds the recommended wait before a repeat of the request.
var retryAfterProperty = errorx.RegisterProperty("repeatAfter")

// WithRetryAfter adds the recommended wait before a repeat of the request to a
// classified error. It returns err unchanged if err is not classified.
func WithRetryAfter(err error, d time.Duration) error {
	var e *errorx.Error
	if !errors.As(err, &e) {
		return err
	}
	return e.WithProperty(retryAfterProperty, d)
}

// RetryAfter returns the recommended wait before a repeat of the request, or zero if the error has none.
func RetryAfter(err error) time.Duration {
	var e *errorx.Error
	if !errors.As(err, &e) {
		return 0
	}
	if v, ok := e.Property(retryAfterProperty); ok {
		return v.(time.Duration)
	}
	return 0
}

// KindOf returns the kind of the outermost classified error in the chain of err. If
// there is none, context errors map to Timeout and Canceled, and other errors to Internal.
func KindOf(err error) Kind {
	var e *errorx.Error
	if errors.As(err, &e) {
		for k, t := range errorTypes {
			if e.Type() == t {
				return k
			}
		}
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return Timeout
	case errors.Is(err, context.Canceled):
		return Canceled
	}
	return Internal
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }

// Message returns the text of err, including its cause, without the name of its kind.
func Message(err error) string {
	var e *errorx.Error
	if !errors.As(err, &e) || e.Message() == "" {
		return err.Error()
	}
	if c := e.Cause(); c != nil {
		return e.Message() + ": " + c.Error()
	}
	return e.Message()
}

// typeOf returns the error type of a kind, or that of Internal for an unknown kind.
func typeOf(k Kind) *errorx.Type {
	if t, ok := errorTypes[k]; ok {
		return t
	}
	return errorTypes[Internal]
}
