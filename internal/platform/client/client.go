package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"parsleyscale/internal/failure/classifier"
)

const (
	defaultAttemptTimeout = 2 * time.Second
	defaultCallTimeout    = 8 * time.Second // of one call with all of its attempts
	defaultMaxAttempts    = 5               // of one call
	initialRetryDelay     = 50 * time.Millisecond
	maxRetryDelay         = 2 * time.Second
	maxResponseBytes      = 64 << 20 // longer response bodies are truncated
	maxIdleConns          = 8        // to the host of the platform
)

// Config holds the settings of a Client. All fields but URL have defaults, which replace their zero values.
type Config struct {
	URL            string        // scheme and host of the platform, such as http://127.0.0.1:7000
	AttemptTimeout time.Duration // of one attempt
	CallTimeout    time.Duration // of one call with all of its attempts
	MaxAttempts    uint          // maximum number of attempts of one call
	HTTP           *http.Client
}

// Client is an HTTP client of the platform. It is safe for concurrent use.
type Client struct {
	cfg Config
}

// New returns a Client. It fails with kind invalid if the URL is not an http or https URL with a host.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, classifier.New(classifier.Invalid, "platform: URL %q is not an http or https URL with a host", cfg.URL)
	}
	cfg.URL = u.Scheme + "://" + u.Host
	if cfg.AttemptTimeout <= 0 {
		cfg.AttemptTimeout = defaultAttemptTimeout
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}}
	}
	return &Client{cfg: cfg}, nil
}

// WithMaxAttempts returns a copy of the client that makes at most maxAttempts attempts for each call.
func (c *Client) WithMaxAttempts(maxAttempts uint) *Client {
	limited := *c
	limited.cfg.MaxAttempts = maxAttempts
	return &limited
}

// Close closes idle connections.
func (c *Client) Close() { c.cfg.HTTP.CloseIdleConnections() }

// Read returns a row. An absent row is returned with version 0 and without an error.
func (c *Client) Read(ctx context.Context, table, key string) (Row, error) {
	row := Row{Table: table, Key: key}
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/tables/" + url.PathEscape(table) + "/" + url.PathEscape(key)})
	if err != nil || r.status == http.StatusNotFound {
		return row, err
	}
	return row, r.decode(&row)
}

// List returns the rows of a range in key order, up to its limit or that of the platform.
func (c *Client) List(ctx context.Context, rg Range) (Rows, error) {
	q := url.Values{"from": {rg.From}, "to": {rg.To}, "limit": {strconv.Itoa(rg.Limit)}}
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/tables/" + url.PathEscape(rg.Table) + "?" + q.Encode()})
	if err != nil {
		return Rows{}, err
	}
	var rows Rows
	return rows, r.decode(&rows)
}

// Apply applies a transaction and returns its rows with their new versions. The error is of kind conflict if a row does
// not have the expected version, and of kind platformUnavailable if the transaction may or may not have taken effect.
func (c *Client) Apply(ctx context.Context, t Transaction) (Rows, error) {
	b, err := json.Marshal(t)
	if err != nil {
		return Rows{}, classifier.Wrap(classifier.Invalid, err, "encode transaction")
	}
	r, err := c.call(ctx, request{method: http.MethodPost, path: "/transactions", body: b, isWrite: true})
	if err != nil {
		return Rows{}, err
	}
	var rows Rows
	return rows, r.decode(&rows)
}

// Put stores an object and returns its new ETag. It fails with kind conflict if the object does not meet the condition.
func (c *Client) Put(ctx context.Context, key string, body []byte, cond Precondition) (string, error) {
	r, err := c.call(ctx, request{method: http.MethodPut, path: "/objects/" + url.PathEscape(key), body: body, cond: cond, isWrite: true})
	if err != nil {
		return "", err
	}
	return r.etag, nil
}

// Get returns an object. It reports false if the object is absent, or if its ETag equals cond.IfNoneMatch. It fails with
// kind conflict if the ETag differs from cond.IfMatch.
func (c *Client) Get(ctx context.Context, key string, cond Precondition) (Object, bool, error) {
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/objects/" + url.PathEscape(key), cond: cond})
	if err != nil {
		return Object{}, false, err
	}
	return Object{Body: r.body, ETag: r.etag}, r.status == http.StatusOK, nil
}

// VMs returns the changes of the list of VMs after a version. For version 0, it returns the whole list.
func (c *Client) VMs(ctx context.Context, since uint64) (VMChanges, error) {
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/vms?since=" + strconv.FormatUint(since, 10)})
	if err != nil {
		return VMChanges{}, err
	}
	var v VMChanges
	return v, r.decode(&v)
}

type request struct {
	method  string
	path    string // with the query
	body    []byte
	cond    Precondition
	isWrite bool
}

type response struct {
	status int
	etag   string
	body   []byte
}

func (r response) decode(v any) error {
	if err := json.Unmarshal(r.body, v); err != nil {
		return classifier.Wrap(classifier.PlatformUnavailable, err, "platform: decode response body")
	}
	return nil
}

// call makes attempts with backoff until one succeeds or fails permanently, or until the limit of attempts or the
// deadline of the call is reached.
func (c *Client) call(ctx context.Context, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval = initialRetryDelay
	retryDelays.MaxInterval = maxRetryDelay
	operation := func() (response, error) { return c.attempt(ctx, req) }
	r, err := backoff.Retry(ctx, operation, backoff.WithBackOff(retryDelays), backoff.WithMaxTries(c.cfg.MaxAttempts), backoff.WithMaxElapsedTime(c.cfg.CallTimeout))
	if err != nil && classifier.KindOf(err) != classifier.Conflict && classifier.KindOf(err) != classifier.Invalid {
		err = classifier.Wrap(classifier.PlatformUnavailable, err, "platform: %s %s", req.method, req.path)
	}
	return r, err
}

// attempt makes one HTTP request. Its error is permanent if a retry would fail as well, and for a write that may have
// taken effect.
func (c *Client) attempt(ctx context.Context, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, req.method, c.cfg.URL+req.path, bytes.NewReader(req.body))
	if err != nil {
		return response{}, backoff.Permanent(classifier.Wrap(classifier.Invalid, err, "platform: create request for %s", req.path))
	}
	setPreconditions(httpReq.Header, req.cond)
	httpRes, err := c.cfg.HTTP.Do(httpReq)
	if err != nil {
		return response{}, markUncertain(req, err)
	}
	defer httpRes.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpRes.Body, maxResponseBytes))
	if err != nil {
		return response{}, markUncertain(req, err)
	}
	r := response{status: httpRes.StatusCode, etag: httpRes.Header.Get("ETag"), body: body}
	return r, checkStatus(req, r)
}

// setPreconditions sets the header fields of a conditional request.
func setPreconditions(header http.Header, cond Precondition) {
	if cond.IfMatch != "" {
		header.Set("If-Match", cond.IfMatch)
	}
	if cond.IfNoneMatch != "" {
		header.Set("If-None-Match", cond.IfNoneMatch)
	}
}

// markUncertain makes the error of a write permanent, because it is unknown whether the write took effect.
func markUncertain(req request, err error) error {
	if req.isWrite {
		return backoff.Permanent(fmt.Errorf("outcome of the write is unknown: %w", err))
	}
	return err
}

// checkStatus returns the error for the status of a response, and nil for a success. A read of an absent row or object
// is a success. The platform sends 429 and 503 only before it acts, so after these even a write can be retried.
func checkStatus(req request, r response) error {
	var refusal ErrorResponse
	if r.status >= http.StatusBadRequest {
		_ = json.Unmarshal(r.body, &refusal)
	}
	switch r.status {
	case http.StatusOK, http.StatusNotModified:
		return nil
	case http.StatusNotFound:
		if !req.isWrite {
			return nil
		}
	case http.StatusConflict, http.StatusPreconditionFailed:
		return backoff.Permanent(classifier.New(classifier.Conflict, "platform: %s", refusal.Message))
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("HTTP status %d: %s", r.status, refusal.Message)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return backoff.Permanent(classifier.New(classifier.Invalid, "platform: %s", refusal.Message))
	}
	return markUncertain(req, fmt.Errorf("HTTP status %d: %s", r.status, refusal.Message))
}
