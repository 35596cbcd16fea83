package executor

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
)

// Limits of sending and buffering.
const (
	// maxDirectSendBytes is the most that is sent before responses are read when a batch executes several
	// statements. It fits into the smallest common socket buffers, so that the write does not block.
	maxDirectSendBytes = 8 << 10
	// maxBufferedResponseBytes is the part of a response that is held back. A failure within it leaves the unit
	// retryable, because the client has received nothing.
	maxBufferedResponseBytes = 16 << 10
	// maxBufferedCommitBytes replaces maxBufferedResponseBytes after the first CommandComplete of a write.
	maxBufferedCommitBytes = 256 << 10
)

// maxAbandonedAttempts is the number of attempts that are abandoned when the
// instance sends nothing. Later attempts wait until the deadline.
const maxAbandonedAttempts = 2

// readDeadlineMargin puts the read deadline after the deadline of the context,
// so that the context has ended when a read fails at the deadline.
const readDeadlineMargin = 10 * time.Millisecond

// pastDeadline makes pending reads and writes on a connection fail at once.
var pastDeadline = time.Unix(1, 0)

// messageHandler processes one message of a response.
type messageHandler func(ctx context.Context, m pgproto3.BackendMessage) error

// exchangeBatch runs the client's batch on the connection up to ReadyForQuery.
// On return, the last part of the response is still buffered.
func (u *unit) exchangeBatch(ctx context.Context) error {
	u.resetResponse()
	for {
		u.partialBatch = !u.clientBatch.complete
		err := u.exchange(ctx, u.clientBatch.encoded, u.bufferOrStream)
		if err != nil || u.clientBatch.complete {
			return err
		}
		// The client may wait for these responses before it sends the rest of the batch.
		if err := u.sendBuffered(ctx); err != nil {
			return err
		}
		u.clientBatch.startPart()
		if err := u.clientBatch.receive(u.stream, false); err != nil {
			return &attemptError{kind: failureClientGone, err: err}
		}
	}
}

// sendBuffered waits until the last commit, if any, is confirmed, and then sends the buffered messages to the client.
func (u *unit) sendBuffered(ctx context.Context) error {
	if err := u.confirmCommit(ctx); err != nil {
		return err
	}
	u.responseStarted = true
	if err := u.buffered.sendTo(u.stream); err != nil {
		return &attemptError{kind: failureClientGone, err: err}
	}
	return u.flush()
}

// exchange sends encoded messages and passes the responses to the handlers, one
// handler for the messages up to each ReadyForQuery. For a partial batch, the
// exchange ends with the last expected response instead.
func (u *unit) exchange(ctx context.Context, messages []byte, handlers ...messageHandler) error {
	stop := u.startDeadlines(ctx)
	var err error
	if len(messages) <= maxDirectSendBytes || u.clientBatch.executeCount <= 1 {
		err = u.sendThenReceive(ctx, messages, handlers)
	} else {
		err = u.sendWhileReceiving(ctx, messages, handlers)
	}
	if !stop() {
		// The AfterFunc of the context may still set the deadline, so the connection must not be reused.
		return u.connectionError(ctx, errors.Join(ctx.Err(), err))
	}
	return err
}

func (u *unit) sendThenReceive(ctx context.Context, messages []byte, handlers []messageHandler) error {
	if err := u.send(messages); err != nil {
		return err
	}
	return u.receiveResponses(ctx, handlers)
}

// sendWhileReceiving sends a batch of many statements and reads the responses
// at the same time. The instance may stop reading the batch until its first
// responses are read, so sending everything first could deadlock.
func (u *unit) sendWhileReceiving(ctx context.Context, messages []byte, handlers []messageHandler) error {
	sent := make(chan error, 1)
	go func() { sent <- u.send(messages) }()
	err := u.receiveResponses(ctx, handlers)
	if err != nil {
		u.conn.SetDeadline(pastDeadline) // unblocks the write
		<-sent
		return err
	}
	return <-sent
}

func (u *unit) receiveResponses(ctx context.Context, handlers []messageHandler) error {
	for _, handler := range handlers {
		if err := u.receiveResponse(ctx, handler); err != nil {
			return err
		}
	}
	return nil
}

// startDeadlines sets the deadline of the connection for an exchange and interrupts the exchange when ctx ends. The
// returned stop function reports false if the interruption has already begun.
func (u *unit) startDeadlines(ctx context.Context) (stop func() bool) {
	c := u.conn
	u.readDeadline = u.responseDeadline(ctx)
	c.SetDeadline(u.readDeadline)
	return context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
}

// responseDeadline returns the time by which the instance must send its next bytes.
func (u *unit) responseDeadline(ctx context.Context) time.Time {
	limit, _ := ctx.Deadline()
	limit = limit.Add(readDeadlineMargin)
	if u.canAbandonAttempt() {
		if attemptDeadline := time.Now().Add(u.responseTimeout()); attemptDeadline.Before(limit) {
			return attemptDeadline
		}
	}
	return limit
}

// responseTimeout returns how long the instance may send nothing in this attempt. It grows fourfold with each attempt,
// because the statement itself may be slow.
func (u *unit) responseTimeout() time.Duration {
	return u.executor.cfg.ResponseTimeout << (2 * min(u.attempt, maxAbandonedAttempts))
}

// mustKeepWaiting reports whether an attempt that reached its response timeout
// has to continue because the retry budget is exhausted. A slow statement must
// not fail only because no retry is available.
func (u *unit) mustKeepWaiting(ctx context.Context, err error) bool {
	if !isTimeout(err) || ctx.Err() != nil || !u.canAbandonAttempt() {
		return false
	}
	u.retryCharged = u.executor.cfg.Budget.AllowRetry()
	u.waitsUntilDeadline = !u.retryCharged
	return u.waitsUntilDeadline
}

// extendReadDeadline moves the read deadline forward before a read. It skips
// small extensions, because setting a deadline takes longer than decoding a row.
func (u *unit) extendReadDeadline(ctx context.Context) {
	limit := u.responseDeadline(ctx)
	if limit.Sub(u.readDeadline) <= u.responseTimeout()/8 {
		return
	}
	u.readDeadline = limit
	u.conn.SetDeadline(limit)
	if ctx.Err() != nil {
		u.conn.SetDeadline(pastDeadline)
	}
}

// canAbandonAttempt reports whether an attempt on an instance that sends nothing
// can be replaced by another attempt without leaving the outcome unknown.
func (u *unit) canAbandonAttempt() bool {
	if u.waitsUntilDeadline || u.attempt >= maxAbandonedAttempts {
		return false
	}
	if u.keyInTransaction {
		return u.resolving || isSingleCommit(u.clientBatch.lastSQL)
	}
	return !u.responseStarted && !u.laterBatch && (u.isRead() || u.request.Key != "")
}

func (u *unit) send(messages []byte) error {
	n, err := u.conn.Write(messages)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return newAttemptError(failureNotSent, "send to %s: %w", u.instance.Name, err)
	}
	return newAttemptError(failureConnectionLost, "send to %s: %w", u.instance.Name, err)
}

func (u *unit) receiveResponse(ctx context.Context, handler messageHandler) error {
	if u.isPartialBatchAnswered() {
		return nil
	}
	for {
		u.extendReadDeadline(ctx)
		m, err := u.conn.Frontend().Receive()
		if err != nil && u.mustKeepWaiting(ctx, err) {
			continue
		}
		if err != nil {
			return u.connectionError(ctx, err)
		}
		done, err := u.handleMessage(ctx, m, handler)
		if done || err != nil {
			return err
		}
	}
}

func (u *unit) connectionError(ctx context.Context, err error) error {
	if ctx.Err() == context.Canceled {
		return newAttemptError(failureClientGone, "canceled during the exchange with %s: %w", u.instance.Name, err)
	}
	return newAttemptError(failureConnectionLost, "connection to %s failed: %w", u.instance.Name, err)
}

// handleMessage processes one message of the instance and reports whether it ends the response.
func (u *unit) handleMessage(ctx context.Context, m pgproto3.BackendMessage, handler messageHandler) (bool, error) {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		u.txStatus = m.TxStatus
		return true, nil
	case *pgproto3.ParameterStatus:
		if m.Name == connector.ParameterPosition {
			return false, u.recordCommitPosition(m.Value)
		}
		u.sessionModified = true
	case *pgproto3.NotificationResponse:
		return false, nil // dropped, since a LISTEN does not outlast its unit
	case *pgproto3.ErrorResponse:
		if err := u.checkErrorResponse(m); err != nil {
			return false, err
		}
	case *pgproto3.CommandComplete:
		u.recordCommandTag(string(m.CommandTag))
	case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
		return false, u.copyIn(ctx, m, handler)
	}
	if err := handler(ctx, m); err != nil {
		return false, err
	}
	u.countResponse(m)
	return u.isPartialBatchAnswered(), nil
}

func (u *unit) recordCommitPosition(text string) error {
	p, err := tokenizer.ParsePosition(text)
	if err != nil {
		return newAttemptError(failureConnectionLost, "instance %s reported an invalid commit position: %w", u.instance.Name, err)
	}
	u.commitPosition = u.commitPosition.Max(p)
	if w := u.executor.cfg.CommitTracker; w != nil {
		w.RecordCommit(p, u.request.Session)
	}
	return nil
}

// sqlstateCannotConnectNow is PostgreSQL's cannot_connect_now. An instance returns it while it starts or rebuilds its
// data; another instance may be able to serve the read.
const sqlstateCannotConnectNow = "57P03"

// checkErrorResponse returns an error if m ends the attempt, and nil if m belongs to the response for the client.
func (u *unit) checkErrorResponse(m *pgproto3.ErrorResponse) error {
	u.errorReceived = true
	// After a commit earlier in the batch, the batch must not be retried, so the error belongs to its response.
	repeatable := !u.responseStarted && !u.isRead() && u.commitPosition.IsZero()
	if u.executor.notCommitted[m.Code] && repeatable {
		return newAttemptError(failureRefused, "instance %s refused the write with SQLSTATE %s: %s", u.instance.Name, m.Code, m.Message)
	}
	if m.Code == sqlstateCannotConnectNow && u.isRead() && !u.responseStarted {
		return newAttemptError(failureRefused, "instance %s cannot serve reads yet, SQLSTATE %s: %s", u.instance.Name, m.Code, m.Message)
	}
	if isFatal(m.Severity) || isFatal(m.SeverityUnlocalized) {
		return newAttemptError(failureConnectionLost, "instance %s closed the connection with SQLSTATE %s: %s", u.instance.Name, m.Code, m.Message)
	}
	return nil
}

func isFatal(severity string) bool { return severity == "FATAL" || severity == "PANIC" }

// recordCommandTag records the tag of a completed statement. Statements that
// change the state of the database session make the connection unusable for
// other clients. In a write, buffering begins again after each statement, since
// the next message may acknowledge a commit.
func (u *unit) recordCommandTag(tag string) {
	u.commandTag = tag
	switch tag {
	case "SET", "RESET", "LISTEN", "PREPARE", "DECLARE CURSOR", "DISCARD ALL":
		u.sessionModified = true
	}
	if !u.isRead() {
		u.streaming = false
	}
}

// countResponse counts down the responses that are expected before a partial batch is answered.
func (u *unit) countResponse(m pgproto3.BackendMessage) {
	switch m.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete,
		*pgproto3.RowDescription, *pgproto3.NoData,
		*pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		u.clientBatch.expectedResponses--
	}
}

// isPartialBatchAnswered reports whether all responses to a partial batch have
// arrived. After an error the instance sends nothing more until Sync.
func (u *unit) isPartialBatchAnswered() bool {
	return u.partialBatch && (u.clientBatch.expectedResponses <= 0 || u.errorReceived)
}

// bufferOrStream buffers a message, or sends it to the client once the response is streamed.
func (u *unit) bufferOrStream(ctx context.Context, m pgproto3.BackendMessage) error {
	if u.streaming {
		return u.streamMessage(m)
	}
	limit := maxBufferedResponseBytes
	if !u.isRead() && u.commandTag != "" {
		limit = maxBufferedCommitBytes
	}
	if row, ok := m.(*pgproto3.DataRow); ok && u.isRead() && rowBytes(row) >= limit {
		// Buffering the row would end the buffering as well, but hold up to four further copies of it.
		if err := u.startStreaming(ctx); err != nil {
			return err
		}
		return u.streamMessage(m)
	}
	if err := u.buffered.add(m); err != nil {
		return err
	}
	if len(u.buffered.encoded) < limit {
		return nil
	}
	return u.startStreaming(ctx)
}

// rowBytes returns the number of bytes of the values of a row.
func rowBytes(row *pgproto3.DataRow) int {
	n := 0
	for _, v := range row.Values {
		n += len(v)
	}
	return n
}

// startStreaming sends the buffered messages to the client and lets later messages go to the client directly.
func (u *unit) startStreaming(ctx context.Context) error {
	if err := u.sendBuffered(ctx); err != nil {
		return err
	}
	u.streaming = true
	return nil
}

func (u *unit) streamMessage(m pgproto3.BackendMessage) error {
	if err := u.stream.Send(m); err != nil {
		return &attemptError{kind: failureClientGone, err: err}
	}
	if u.conn.Frontend().ReadBufferLen() > 0 {
		return nil
	}
	return u.flush()
}

func (u *unit) flush() error {
	if err := u.stream.Flush(); err != nil {
		return &attemptError{kind: failureClientGone, err: err}
	}
	return nil
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
