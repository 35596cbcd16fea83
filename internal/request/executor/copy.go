package executor

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
)

// copyBytes is the size of the pieces in which copied data is sent.
const copyBytes = 64 << 10

// copyIn passes the answer that asks for data to the caller and the caller's
// data to the instance. Only a simple query can copy: its caller sends nothing
// else before the data ends.
func (u *unit) copyIn(ctx context.Context, m pgproto3.BackendMessage, to sink) error {
	if _, ok := m.(*pgproto3.CopyInResponse); !ok || !u.b.simple || u.r.Key != "" {
		return classifier.New(classifier.Unsupported, "copy in this form")
	}
	if err := to(ctx, m); err != nil {
		return err
	}
	if err := u.passPiece(ctx); err != nil {
		return err
	}
	var buf []byte
	for {
		m, err := u.s.Receive()
		if err != nil {
			return &fault{kind: faultGone, err: err}
		}
		if buf, err = m.Encode(buf); err != nil {
			return newFault(faultLost, "copy data: %w", err)
		}
		end := isCopyEnd(m)
		if !end && len(buf) < copyBytes {
			continue
		}
		if err := u.send(buf); err != nil {
			return newFault(faultLost, "copy data: %w", err)
		}
		if end {
			return nil
		}
		buf = buf[:0]
	}
}

func isCopyEnd(m pgproto3.FrontendMessage) bool {
	switch m.(type) {
	case *pgproto3.CopyDone, *pgproto3.CopyFail:
		return true
	}
	return false
}
