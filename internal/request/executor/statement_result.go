package executor

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// statementResult is the response to a statement that the executor itself issued.
type statementResult struct {
	tag      string   // command tag
	firstRow []string // values of the first row
	sqlstate string   // of an ErrorResponse, else empty
	message  string   // of an ErrorResponse
}

func (r *statementResult) handle(_ context.Context, m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.CommandComplete:
		r.tag = string(m.CommandTag)
	case *pgproto3.ErrorResponse:
		r.sqlstate, r.message = m.Code, m.Message
	case *pgproto3.DataRow:
		if r.firstRow == nil {
			for _, v := range m.Values {
				r.firstRow = append(r.firstRow, string(v))
			}
		}
	}
	return nil
}

func (r *statementResult) err() error {
	if r.sqlstate == "" {
		return nil
	}
	return fmt.Errorf("statement of the executor failed with SQLSTATE %s: %s", r.sqlstate, r.message)
}

// runStatements runs statements of the executor itself, each as a simple query, in one round trip.
func (u *unit) runStatements(ctx context.Context, statements ...string) ([]statementResult, error) {
	u.partialBatch = false
	results := make([]statementResult, len(statements))
	handlers := make([]messageHandler, len(statements))
	var buf []byte
	for i, sql := range statements {
		buf = appendQuery(buf, sql)
		handlers[i] = results[i].handle
	}
	return results, u.exchange(ctx, buf, handlers...)
}

func appendQuery(buf []byte, sql string) []byte {
	// Encode fails only for messages over 1 GB.
	buf, _ = (&pgproto3.Query{String: sql}).Encode(buf)
	return buf
}
