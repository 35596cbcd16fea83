package listener

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"

	"parsleyscale/internal/failure/classifier"
)

// SQLSTATEs of PostgreSQL for errors that the front finds in a caller's use of the protocol.
const (
	codeFailedTransaction  = "25P02"
	codeUnknownStatement   = "26000"
	codeDuplicateStatement = "42P05"
)

// stateError is a refusal with PostgreSQL's own SQLSTATE, which drivers look at.
type stateError struct {
	code string
	err  error
}

// Error returns the text of the refusal.
func (e *stateError) Error() string { return e.err.Error() }

// Unwrap returns the classified error.
func (e *stateError) Unwrap() error { return e.err }

func newStateError(code, format string, args ...any) error {
	return &stateError{code: code, err: classifier.New(classifier.BadMessage, format, args...)}
}

// errFailedTransaction refuses a statement of a transaction that a Runner has lost.
var errFailedTransaction = newStateError(codeFailedTransaction,
	"current transaction is aborted, commands ignored until end of transaction block")

// errorResponse returns the answer to an error. The Detail field lets a
// program tell whether the request ran and whether it may be repeated.
func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	a := classifier.AnswerTo(classifier.KindOf(err))
	code := a.SQLSTATE
	var state *stateError
	if errors.As(err, &state) {
		code = state.code
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                code,
		Message:             classifier.Message(err),
		Detail:              fmt.Sprintf("kind=%s ran=%s repeat=%s", a.Kind, a.Ran, a.Repeat),
		Hint:                a.Action,
	}
}

// classified makes sure that the error of a unit tells the truth about its
// outcome. An error without a kind can come from any stage, so that a unit that
// changes data may have run, unless hasNoEffect is set. In that case a break of
// the stream to another VM leaves nothing unknown either. The cause is why the
// unit's context ended, if it did.
func classified(err, cause error, hasNoEffect bool) error {
	var e *errorx.Error
	hasKind := errors.As(err, &e)
	switch {
	case hasKind && hasNoEffect && cause != nil && classifier.Is(err, classifier.OutcomeUnknown):
		return cause
	case hasKind && hasNoEffect && classifier.Is(err, classifier.OutcomeUnknown):
		return classifier.Wrap(classifier.NotRun, err, "transaction is rolled back")
	case hasKind:
		return err
	case errors.Is(err, context.Canceled) && cause != nil:
		err = cause
	}
	if hasNoEffect {
		return err
	}
	return classifier.Wrap(classifier.OutcomeUnknown, err, "unit ended")
}
