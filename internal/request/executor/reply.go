package executor

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// reply is the answer to a statement of the executor's own.
type reply struct {
	tag     string
	row     []string // first row
	code    string   // SQLSTATE of an error
	message string
}

func (r *reply) take(_ context.Context, m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.CommandComplete:
		r.tag = string(m.CommandTag)
	case *pgproto3.ErrorResponse:
		r.code, r.message = m.Code, m.Message
	case *pgproto3.DataRow:
		if r.row == nil {
			for _, v := range m.Values {
				r.row = append(r.row, string(v))
			}
		}
	}
	return nil
}

func (r *reply) err() error {
	if r.code == "" {
		return nil
	}
	return fmt.Errorf("statement failed with %s: %s", r.code, r.message)
}

// own runs statements of the executor's own in one round trip.
func (u *unit) own(ctx context.Context, statements ...string) ([]reply, error) {
	u.piece = false
	replies := make([]reply, len(statements))
	sinks := make([]sink, len(statements))
	var buf []byte
	for i, sql := range statements {
		buf = appendQuery(buf, sql)
		sinks[i] = replies[i].take
	}
	return replies, u.exchange(ctx, buf, sinks...)
}

func appendQuery(buf []byte, sql string) []byte {
	// Encode fails only for a message over 1 GB.
	buf, _ = (&pgproto3.Query{String: sql}).Encode(buf)
	return buf
}
