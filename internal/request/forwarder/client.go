package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
)

// maxResponseMargin limits how much shorter the timeout of the other VM is than the time that remains on this VM. The
// margin, otherwise a tenth of that time, lets the response of the other VM arrive before this VM times out and must
// report an unknown outcome.
const maxResponseMargin = 100 * time.Millisecond

// Client forwards units of work to other VMs.
type Client struct {
	transport http.RoundTripper
	scheme    string
}

// NewClient returns a Client that sends its requests through the transport of httpClient, which must have been created
// by package messenger. It connects with TLS if useTLS is set.
func NewClient(httpClient *http.Client, useTLS bool) *Client {
	c := &Client{transport: httpClient.Transport, scheme: "http"}
	if useTLS {
		c.scheme = "https"
	}
	return c
}

// Runner returns a Runner that runs units of work on the VM with the given peer address.
func (c *Client) Runner(address string) exchanger.Runner {
	return &peerRunner{client: c, address: address, url: &url.URL{Scheme: c.scheme, Host: address, Path: Path}}
}

// peerRunner runs units of work on another VM.
type peerRunner struct {
	client  *Client
	address string
	url     *url.URL
}

// Run forwards one unit of work to the other VM and relays its messages in both directions.
func (r *peerRunner) Run(ctx context.Context, req exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	u := &forwardedUnit{runner: r, req: req.Forwarded(), stream: s, body: newRequestBody()}
	if err := u.req.Validate(); err != nil {
		return exchanger.Result{}, &notProcessedError{err}
	}
	if err := u.readBatch(); err != nil {
		return exchanger.Result{}, err
	}
	resp, err := u.roundTrip(ctx)
	if err != nil {
		return exchanger.Result{}, u.classifyFailure(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		// The server of the other VM is closed and did not call its handler.
		return exchanger.Result{}, &notProcessedError{classifier.New(classifier.NotRun, "forward unit to %s: server refused it with HTTP status %s", r.address, resp.Status)}
	}
	if err := u.checkResponseHeader(resp); err != nil {
		return exchanger.Result{}, u.classifyFailure(ctx, err)
	}
	return u.relayResponse(ctx, resp)
}

// forwardedUnit is a unit of work that this VM forwards to another VM.
type forwardedUnit struct {
	runner         *peerRunner
	req            exchanger.Request
	stream         exchanger.Stream // messages from and to the database client
	body           *requestBody
	batch          []byte // encoded messages of the current batch
	pendingReplies int    // outstanding replies to extended protocol messages
	endsWithFlush  bool   // the current batch ends with Flush, so no ReadyForQuery follows its replies
	resultStarted  bool   // a RowDescription or a DataRow was passed to the database client
	txStatus       byte   // transaction status of the last ReadyForQuery
}

// readBatch reads messages of the database client up to and including the next Query, Sync or Flush, and appends them
// to the request body.
func (u *forwardedUnit) readBatch() error {
	u.batch, u.endsWithFlush = u.batch[:0], false
	for {
		m, err := u.stream.Receive()
		if err != nil {
			return err
		}
		if u.batch, err = m.Encode(u.batch); err != nil {
			return classifier.Wrap(classifier.BadMessage, err, "encode client message %T", m)
		}
		switch m.(type) {
		case *pgproto3.Query, *pgproto3.Sync:
			return u.body.append(u.batch)
		case *pgproto3.Flush:
			u.endsWithFlush = true
			return u.body.append(u.batch)
		}
		u.pendingReplies++
	}
}

// roundTrip sends the request header and the first batch, and returns the response once its header has arrived. It
// calls the transport directly, because http.Client copies the header for redirects, which a VM never sends.
func (u *forwardedUnit) roundTrip(ctx context.Context) (*http.Response, error) {
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		// The receiver rejects a timeout that is not positive.
		u.req.Timeout = max(remaining-min(remaining/10, maxResponseMargin), time.Millisecond)
	}
	encodedRequest, err := encodeHeader(u.req)
	if err != nil {
		return nil, err
	}
	httpReq := &http.Request{
		Method:        http.MethodPost,
		URL:           u.runner.url,
		Host:          u.runner.address,
		Header:        http.Header{requestHeader: {encodedRequest}, "Content-Type": {contentType}, "User-Agent": {""}},
		Body:          u.body.reader,
		GetBody:       u.body.reopen,
		ContentLength: -1,
	}
	if u.isLastBatch() {
		httpReq.ContentLength = int64(len(u.batch))
		u.body.closeWrite()
	}
	return u.runner.client.transport.RoundTrip(httpReq.WithContext(ctx))
}

// isLastBatch reports whether no batch of the unit can follow the current one. A transaction may continue after any
// batch, and a batch that ends with Flush is followed by the messages up to Sync.
func (u *forwardedUnit) isLastBatch() bool {
	return !u.endsWithFlush && (u.req.Class == exchanger.Read || u.req.Class == exchanger.Write)
}

// checkResponseHeader returns an error unless resp is the response to the request of this unit.
func (u *forwardedUnit) checkResponseHeader(resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected HTTP status %s", resp.Status)
	}
	if id := resp.Header.Get(requestIDHeader); id != u.req.ID {
		return fmt.Errorf("response header has request ID %q, want %q", id, u.req.ID)
	}
	return nil
}

// relayResponse passes the response messages to the database client and sends the client's further batches.
func (u *forwardedUnit) relayResponse(ctx context.Context, resp *http.Response) (exchanger.Result, error) {
	f := frontends.get(resp.Body)
	for {
		m, err := f.Receive()
		if err != nil {
			return u.finish(ctx, resp, f, err)
		}
		if err := u.relayMessage(m); err != nil {
			return exchanger.Result{}, err
		}
		// Flush only before a read that may block, and not after the last message of the unit.
		if f.ReadBufferLen() > 0 || u.txStatus == txIdle {
			continue
		}
		if err := u.stream.Flush(); err != nil {
			return exchanger.Result{}, err
		}
	}
}

// txIdle is the transaction status in ReadyForQuery outside a transaction. It ends a unit.
const txIdle = 'I'

// relayMessage passes one message to the database client. After the last message of the response to a batch, it ends
// the unit or sends the next batch.
func (u *forwardedUnit) relayMessage(m pgproto3.BackendMessage) error {
	if err := u.stream.Send(m); err != nil {
		return err
	}
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		return u.handleReadyForQuery(m.TxStatus)
	case *pgproto3.ErrorResponse:
		u.pendingReplies = 0
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData,
		*pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		u.pendingReplies--
	case *pgproto3.RowDescription:
		u.pendingReplies--
		u.resultStarted = true
	case *pgproto3.DataRow:
		u.resultStarted = true
	}
	if u.endsWithFlush && u.pendingReplies <= 0 {
		return u.sendNextBatch()
	}
	return nil
}

// handleReadyForQuery ends the unit if the transaction status is idle, and otherwise sends the next batch.
func (u *forwardedUnit) handleReadyForQuery(txStatus byte) error {
	u.pendingReplies, u.txStatus = 0, txStatus
	if txStatus == txIdle {
		u.body.closeWrite()
		return nil
	}
	if u.isLastBatch() {
		return classifier.New(classifier.Internal, "unit of class %s ended with transaction status %q, want %q", u.req.Class, txStatus, txIdle)
	}
	return u.sendNextBatch()
}

// sendNextBatch flushes the response to the database client, which may wait for it before it sends its next batch, and
// forwards that batch.
func (u *forwardedUnit) sendNextBatch() error {
	if err := u.stream.Flush(); err != nil {
		return err
	}
	return u.readBatch()
}

// finish returns the result or the error in the response trailer. readErr is the error that ended the response body.
func (u *forwardedUnit) finish(ctx context.Context, resp *http.Response, f *reusableFrontend, readErr error) (exchanger.Result, error) {
	encodedTrailer := resp.Trailer.Get(resultTrailer)
	if encodedTrailer == "" {
		return exchanger.Result{}, u.classifyFailure(ctx, readErr)
	}
	frontends.put(f)
	var t trailer
	if err := json.Unmarshal([]byte(encodedTrailer), &t); err != nil {
		return exchanger.Result{}, u.classifyFailure(ctx, err)
	}
	if t.ID != u.req.ID {
		return exchanger.Result{}, u.classifyFailure(ctx, fmt.Errorf("response trailer has request ID %q, want %q", t.ID, u.req.ID))
	}
	if t.Kind == "" && u.txStatus != txIdle {
		return exchanger.Result{}, u.classifyFailure(ctx, io.ErrUnexpectedEOF)
	}
	return t.Result, t.err()
}

// classifyFailure returns the classified error of a unit whose stream failed with err before it gave a valid result.
// It aborts the request body, so that no message can be sent after the decision whether the unit may have run.
func (u *forwardedUnit) classifyFailure(ctx context.Context, err error) error {
	maybeSent := u.body.abort()
	isCtxDone := ctx.Err() != nil
	switch {
	case !maybeSent && isCtxDone:
		return &notProcessedError{classifier.Wrap(classifier.KindOf(ctx.Err()), err, "forward unit to %s", u.runner.address)}
	case !maybeSent:
		return &notProcessedError{classifier.Wrap(classifier.NotRun, err, "forward unit to %s", u.runner.address)}
	case !u.req.Class.IsRead():
		return classifier.Wrap(classifier.OutcomeUnknown, err, "stream to %s failed after the unit may have run", u.runner.address)
	case isCtxDone:
		// The listener knows why the context ended and reports that to the database client.
		return fmt.Errorf("stream to %s: %w", u.runner.address, ctx.Err())
	case u.resultStarted:
		return classifier.Wrap(classifier.AnswerIncomplete, err, "stream to %s failed within the result", u.runner.address)
	}
	return classifier.Wrap(classifier.NotRun, err, "stream to %s failed before the result", u.runner.address)
}
