package listener

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"

	"parsleyscale/internal/failure/classifier"
)

// SQLSTATE codes for protocol errors that the listener detects itself.
const (
	sqlstateInFailedTransaction  = "25P02"
	sqlstateInvalidStatementName = "26000"
	sqlstateDuplicateStatement   = "42P05"
)

// sqlstateError is an error with a SQLSTATE of its own, because drivers act on the codes that PostgreSQL uses.
type sqlstateError struct {
	code string
	err  error
}

// Error returns the text of the classified error.
func (e *sqlstateError) Error() string { return e.err.Error() }

// Unwrap returns the classified error.
func (e *sqlstateError) Unwrap() error { return e.err }

func newSQLStateError(code, format string, args ...any) error {
	return &sqlstateError{code: code, err: classifier.New(classifier.BadMessage, format, args...)}
}

// errFailedTransaction refuses a statement while session.inFailedTransaction is set. The text is that of PostgreSQL.
var errFailedTransaction = newSQLStateError(sqlstateInFailedTransaction,
	"current transaction is aborted, commands ignored until end of transaction block")

// errorResponse returns the ErrorResponse for err. Its Detail field tells client programs whether the request was
// executed and whether it may be repeated.
func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	a := classifier.AnswerFor(classifier.KindOf(err))
	code := a.SQLSTATE
	var state *sqlstateError
	if errors.As(err, &state) {
		code = state.code
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                code,
		Message:             classifier.Message(err),
		Detail:              fmt.Sprintf("kind=%s ran=%s repeat=%s", a.Kind, a.Ran, a.Retry),
		Hint:                a.Action,
	}
}

// classifyUnitError gives the error of a unit a kind that states the outcome correctly. An error without a kind can
// come from any stage, so a unit that writes may have been executed and its outcome is unknown, unless hasNoEffect is
// set. If hasNoEffect is set, the outcome is known even after the stream to another VM breaks. cause is the reason why
// the context of the unit ended, or nil.
func classifyUnitError(err, cause error, hasNoEffect bool) error {
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
	return classifier.Wrap(classifier.OutcomeUnknown, err, "unit failed before its outcome was known")
}
