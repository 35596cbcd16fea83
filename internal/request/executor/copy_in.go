package executor

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
)

// copyChunkBytes is the size at which buffered copy data is sent to the instance.
const copyChunkBytes = 64 << 10

// copyIn forwards the CopyInResponse to the client and the client's copy data
// to the instance. Only a simple query may copy, because its client sends
// nothing but copy data until CopyDone or CopyFail.
func (u *unit) copyIn(ctx context.Context, m pgproto3.BackendMessage, handler messageHandler) error {
	if _, ok := m.(*pgproto3.CopyInResponse); !ok || !u.clientBatch.simpleQuery || u.request.Key != "" {
		return classifier.New(classifier.Unsupported, "sending copy data requires COPY FROM STDIN in a simple query without a request key")
	}
	if err := handler(ctx, m); err != nil {
		return err
	}
	if err := u.sendBuffered(ctx); err != nil {
		return err
	}
	var buf []byte
	for {
		m, err := u.stream.Receive()
		if err != nil {
			return &attemptError{kind: failureClientGone, err: err}
		}
		if buf, err = m.Encode(buf); err != nil {
			return newAttemptError(failureConnectionLost, "encode copy data: %w", err)
		}
		isEnd := isCopyEnd(m)
		if !isEnd && len(buf) < copyChunkBytes {
			continue
		}
		if err := u.send(buf); err != nil {
			return newAttemptError(failureConnectionLost, "send copy data: %w", err)
		}
		if isEnd {
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
