package emulator

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
	sqlite3 "modernc.org/sqlite/lib"
)

// SQLSTATEs that the instance answers with, by their PostgreSQL names.
const (
	stateProtocolViolation     = "08P01"
	stateFeatureNotSupported   = "0A000"
	stateInvalidText           = "22P02"
	stateNotInRepertoire       = "22021"
	stateIntegrity             = "23000"
	stateNotNull               = "23502"
	stateForeignKey            = "23503"
	stateUnique                = "23505"
	stateCheck                 = "23514"
	stateActiveTransaction     = "25001"
	stateReadOnly              = "25006"
	stateFailedTransaction     = "25P02"
	stateIdleInTransaction     = "25P03"
	stateInvalidStatementName  = "26000"
	stateInvalidPortalName     = "34000"
	stateInvalidSavepoint      = "3B001"
	stateSerialization         = "40001"
	stateSyntax                = "42601"
	stateUndefinedColumn       = "42703"
	stateUndefinedFunction     = "42883"
	stateUndefinedTable        = "42P01"
	stateDuplicateTable        = "42P07"
	stateDuplicateStatement    = "42P05"
	stateUndefinedParameter    = "42704"
	stateTooManyConnections    = "53300"
	stateTooLarge              = "54000"
	stateLockNotAvailable      = "55P03"
	stateQueryCanceled         = "57014"
	stateAdminShutdown         = "57P01"
	stateCannotConnectNow      = "57P03"
	stateInternal              = "XX000"
	severityError, severityEnd = "ERROR", "FATAL"
)

// pgError is an error with the SQLSTATE that the client gets.
type pgError struct {
	state   string
	message string
	fatal   bool // the connection ends after the answer
}

// Error returns the message with its SQLSTATE.
func (e *pgError) Error() string { return e.message + " (SQLSTATE " + e.state + ")" }

func refuse(state, format string, args ...any) *pgError {
	return &pgError{state: state, message: fmt.Sprintf(format, args...)}
}

func fatal(state, format string, args ...any) *pgError {
	return &pgError{state: state, message: fmt.Sprintf(format, args...), fatal: true}
}

func (e *pgError) response() *pgproto3.ErrorResponse {
	severity := severityError
	if e.fatal {
		severity = severityEnd
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.state,
		Message:             e.message,
	}
}

// stateOfCode maps the extended result codes of SQLite that have their own SQLSTATE.
var stateOfCode = map[int]string{
	sqlite3.SQLITE_CONSTRAINT_UNIQUE:     stateUnique,
	sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY: stateUnique,
	sqlite3.SQLITE_CONSTRAINT_ROWID:      stateUnique,
	sqlite3.SQLITE_CONSTRAINT_NOTNULL:    stateNotNull,
	sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY: stateForeignKey,
	sqlite3.SQLITE_CONSTRAINT_CHECK:      stateCheck,
	sqlite3.SQLITE_BUSY_SNAPSHOT:         stateSerialization,
}

// stateOfPrimaryCode maps the primary result codes of SQLite.
var stateOfPrimaryCode = map[int]string{
	sqlite3.SQLITE_CONSTRAINT: stateIntegrity,
	sqlite3.SQLITE_BUSY:       stateLockNotAvailable,
	sqlite3.SQLITE_LOCKED:     stateLockNotAvailable,
	sqlite3.SQLITE_INTERRUPT:  stateQueryCanceled,
	sqlite3.SQLITE_READONLY:   stateReadOnly,
	sqlite3.SQLITE_MISMATCH:   stateInvalidText,
	sqlite3.SQLITE_TOOBIG:     stateTooLarge,
	sqlite3.SQLITE_RANGE:      stateProtocolViolation,
}

// stateOfMessage maps texts of SQLite's generic error, which has one code for all of them.
var stateOfMessage = []struct{ text, state string }{
	{"no such table", stateUndefinedTable},
	{"no such column", stateUndefinedColumn},
	{"has no column named", stateUndefinedColumn},
	{"no such function", stateUndefinedFunction},
	{"already exists", stateDuplicateTable},
	{"missing argument", stateProtocolViolation},
}

// classify returns the pgError of any error that running a statement gave.
func classify(err error) *pgError {
	var p *pgError
	if errors.As(err, &p) {
		return p
	}
	if errors.Is(err, context.Canceled) {
		return refuse(stateQueryCanceled, "canceling statement due to user request")
	}
	var e *sqlite.Error
	if !errors.As(err, &e) {
		return refuse(stateByMessage(err, stateInternal), "%s", err)
	}
	if s, ok := stateOfCode[e.Code()]; ok {
		return refuse(s, "%s", e)
	}
	if s, ok := stateOfPrimaryCode[e.Code()&0xff]; ok {
		return refuse(s, "%s", e)
	}
	if e.Code()&0xff == sqlite3.SQLITE_ERROR {
		return refuse(stateByMessage(e, stateSyntax), "%s", e)
	}
	return refuse(stateInternal, "%s", e)
}

func stateByMessage(err error, otherwise string) string {
	for _, m := range stateOfMessage {
		if strings.Contains(err.Error(), m.text) {
			return m.state
		}
	}
	return otherwise
}
