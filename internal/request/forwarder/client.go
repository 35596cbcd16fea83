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

// answerMargin is how much earlier the other VM's deadline is, so that its
// answer arrives before this VM gives up and has to call the outcome unknown.
const answerMargin = 100 * time.Millisecond

// Client forwards units to other VMs.
type Client struct {
	transport http.RoundTripper
	scheme    string
}

// NewClient returns a client over h, which messenger.NewClient has made. With isTLS it connects with TLS.
func NewClient(h *http.Client, isTLS bool) *Client {
	c := &Client{transport: h.Transport, scheme: "http"}
	if isTLS {
		c.scheme = "https"
	}
	return c
}

// Runner returns a Runner that runs units on the VM with a peer address.
func (c *Client) Runner(address string) exchanger.Runner {
	return &remote{client: c, address: address, url: &url.URL{Scheme: c.scheme, Host: address, Path: Path}}
}

// remote is the Runner of another VM.
type remote struct {
	client  *Client
	address string
	url     *url.URL
}

// Run carries one unit.
func (r *remote) Run(ctx context.Context, req exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	u := &unit{remote: r, req: req.Forwarded(), s: s, body: newBody()}
	if err := u.req.Check(); err != nil {
		return exchanger.Result{}, &nothingSent{err}
	}
	if err := u.collect(); err != nil {
		return exchanger.Result{}, err
	}
	resp, err := u.open(ctx)
	if err != nil {
		return exchanger.Result{}, u.broken(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		// The other VM's server is closed and has not called its handler.
		return exchanger.Result{}, &nothingSent{classifier.New(classifier.NotRun, "forward to %s: status %s", r.address, resp.Status)}
	}
	if err := u.checkHead(resp); err != nil {
		return exchanger.Result{}, u.broken(ctx, err)
	}
	return u.answer(ctx, resp)
}

// unit is one forwarded unit on the side of the sender.
type unit struct {
	remote  *remote
	req     exchanger.Request
	s       exchanger.Stream
	body    *body
	scratch []byte
	pending int  // answers to extended messages that are still to come
	isFlush bool // the last message was Flush, so that no ReadyForQuery follows
	hasRows bool // part of an answer was passed on
	status  byte // of the last ReadyForQuery
}

// collect takes the caller's messages up to the next one that asks for an answer.
func (u *unit) collect() error {
	u.scratch, u.isFlush = u.scratch[:0], false
	for {
		m, err := u.s.Receive()
		if err != nil {
			return err
		}
		if u.scratch, err = m.Encode(u.scratch); err != nil {
			return classifier.Wrap(classifier.BadMessage, err, "encode %T", m)
		}
		switch m.(type) {
		case *pgproto3.Query, *pgproto3.Sync:
			return u.body.append(u.scratch)
		case *pgproto3.Flush:
			u.isFlush = true
			return u.body.append(u.scratch)
		}
		u.pending++
	}
}

// open sends the request header and the first messages. It uses the transport
// itself, because an http.Client copies the header for redirects, which a VM never sends.
func (u *unit) open(ctx context.Context) (*http.Response, error) {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		u.req.Timeout = max(left-min(left/10, answerMargin), time.Millisecond)
	}
	text, err := encodeHeader(u.req)
	if err != nil {
		return nil, err
	}
	h := &http.Request{
		Method:        http.MethodPost,
		URL:           u.remote.url,
		Host:          u.remote.address,
		Header:        http.Header{requestHeader: {text}, "Content-Type": {contentType}, "User-Agent": {""}},
		Body:          u.body.reader,
		GetBody:       u.body.again,
		ContentLength: -1,
	}
	if u.isWhole() {
		h.ContentLength = int64(len(u.scratch))
		u.body.end()
	}
	return u.remote.client.transport.RoundTrip(h.WithContext(ctx))
}

// isWhole reports whether the collected messages are all that the unit can have.
func (u *unit) isWhole() bool {
	return !u.isFlush && (u.req.Class == exchanger.Read || u.req.Class == exchanger.Write)
}

func (u *unit) checkHead(resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	if id := resp.Header.Get(idHeader); id != u.req.ID {
		return fmt.Errorf("answer to request %q", id)
	}
	return nil
}

// answer passes the answers on, and the caller's next messages in between.
func (u *unit) answer(ctx context.Context, resp *http.Response) (exchanger.Result, error) {
	f := frontends.get(resp.Body)
	for {
		m, err := f.Receive()
		if err != nil {
			return u.finish(ctx, resp, f, err)
		}
		if err := u.pass(m); err != nil {
			return exchanger.Result{}, err
		}
		if f.ReadBufferLen() > 0 || u.status == statusIdle {
			continue
		}
		if err := u.s.Flush(); err != nil {
			return exchanger.Result{}, err
		}
	}
}

// statusIdle is the transaction state that ends a unit.
const statusIdle = 'I'

// pass gives one message to the caller.
func (u *unit) pass(m pgproto3.BackendMessage) error {
	if err := u.s.Send(m); err != nil {
		return err
	}
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		return u.passReady(m.TxStatus)
	case *pgproto3.ErrorResponse:
		u.pending = 0
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData,
		*pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		u.pending--
	case *pgproto3.RowDescription:
		u.pending--
		u.hasRows = true
	case *pgproto3.DataRow:
		u.hasRows = true
	}
	if u.isFlush && u.pending <= 0 {
		return u.next()
	}
	return nil
}

// passReady ends the unit, or fetches the caller's next messages.
func (u *unit) passReady(status byte) error {
	u.pending, u.status = 0, status
	if status == statusIdle {
		u.body.end()
		return nil
	}
	if u.isWhole() {
		return classifier.New(classifier.Internal, "unit of class %s left transaction state %q", u.req.Class, status)
	}
	return u.next()
}

// next sends the caller's next messages.
func (u *unit) next() error {
	if err := u.s.Flush(); err != nil {
		return err
	}
	return u.collect()
}

// finish reads the trailer after the last message.
func (u *unit) finish(ctx context.Context, resp *http.Response, f *frontend, err error) (exchanger.Result, error) {
	text := resp.Trailer.Get(endTrailer)
	if text == "" {
		return exchanger.Result{}, u.broken(ctx, err)
	}
	frontends.put(f)
	var e end
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		return exchanger.Result{}, u.broken(ctx, err)
	}
	if e.ID != u.req.ID {
		return exchanger.Result{}, u.broken(ctx, fmt.Errorf("end of request %q", e.ID))
	}
	if e.Kind == "" && u.status != statusIdle {
		return exchanger.Result{}, u.broken(ctx, io.ErrUnexpectedEOF)
	}
	return e.Result, e.err()
}

// broken returns the error of a unit whose stream ended without a result.
func (u *unit) broken(ctx context.Context, err error) error {
	wasRead := u.body.seal()
	isEnded := ctx.Err() != nil
	switch {
	case !wasRead && isEnded:
		return &nothingSent{classifier.Wrap(classifier.KindOf(ctx.Err()), err, "forward to %s", u.remote.address)}
	case !wasRead:
		return &nothingSent{classifier.Wrap(classifier.NotRun, err, "forward to %s", u.remote.address)}
	case !u.req.Class.IsRead():
		return classifier.Wrap(classifier.OutcomeUnknown, err, "stream to %s", u.remote.address)
	case isEnded:
		// The front knows why the context ended, and says so to the caller.
		return fmt.Errorf("stream to %s: %w", u.remote.address, ctx.Err())
	case u.hasRows:
		return classifier.Wrap(classifier.AnswerIncomplete, err, "stream to %s", u.remote.address)
	}
	return classifier.Wrap(classifier.NotRun, err, "stream to %s broke before the answer", u.remote.address)
}
