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
	defaultTimeout  = 2 * time.Second // one attempt
	defaultDeadline = 8 * time.Second // one call with its repeats
	defaultTries    = 5
	firstDelay      = 50 * time.Millisecond
	longestDelay    = 2 * time.Second
	maxBody         = 64 << 20 // bytes
	maxIdle         = 8        // connections
)

// Config holds the settings of a client. Zero fields get defaults.
type Config struct {
	URL      string        // such as http://127.0.0.1:7000
	Timeout  time.Duration // of one attempt
	Deadline time.Duration // of one call with its repeats
	Tries    uint
	HTTP     *http.Client
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	cfg Config
}

// New returns a client.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, classifier.New(classifier.Invalid, "platform: %q is not a URL of http or https", cfg.URL)
	}
	cfg.URL = u.Scheme + "://" + u.Host
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Deadline <= 0 {
		cfg.Deadline = defaultDeadline
	}
	if cfg.Tries == 0 {
		cfg.Tries = defaultTries
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: time.Minute}}
	}
	return &Client{cfg: cfg}, nil
}

// WithTries returns a client that makes at most n attempts for each call.
func (c *Client) WithTries(n uint) *Client {
	d := *c
	d.cfg.Tries = n
	return &d
}

// Close closes idle connections.
func (c *Client) Close() { c.cfg.HTTP.CloseIdleConnections() }

// Read returns a row; an absent row has version 0.
func (c *Client) Read(ctx context.Context, table, key string) (Row, error) {
	row := Row{Table: table, Key: key}
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/tables/" + url.PathEscape(table) + "/" + url.PathEscape(key)})
	if err != nil || r.status == http.StatusNotFound {
		return row, err
	}
	return row, r.decode(&row)
}

// List returns rows of a range in key order.
func (c *Client) List(ctx context.Context, rg Range) (Rows, error) {
	q := url.Values{"from": {rg.From}, "to": {rg.To}, "limit": {strconv.Itoa(rg.Limit)}}
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/tables/" + url.PathEscape(rg.Table) + "?" + q.Encode()})
	if err != nil {
		return Rows{}, err
	}
	var rows Rows
	return rows, r.decode(&rows)
}

// Apply applies a transaction and returns its rows with their new versions.
// The error is of kind conflict when a row had another version, and of kind
// platformUnavailable when it is unknown whether the transaction took effect.
func (c *Client) Apply(ctx context.Context, t Transaction) (Rows, error) {
	b, err := json.Marshal(t)
	if err != nil {
		return Rows{}, classifier.Wrap(classifier.Invalid, err, "transaction")
	}
	r, err := c.call(ctx, request{method: http.MethodPost, path: "/transactions", body: b, write: true})
	if err != nil {
		return Rows{}, err
	}
	var rows Rows
	return rows, r.decode(&rows)
}

// Put stores an object on a condition and returns its ETag.
func (c *Client) Put(ctx context.Context, key string, body []byte, cond Condition) (string, error) {
	r, err := c.call(ctx, request{method: http.MethodPut, path: "/objects/" + url.PathEscape(key), body: body, cond: cond, write: true})
	if err != nil {
		return "", err
	}
	return r.etag, nil
}

// Get returns an object. The result is false when the object is absent, or
// when its ETag equals the one of cond.IfNoneMatch.
func (c *Client) Get(ctx context.Context, key string, cond Condition) (Object, bool, error) {
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/objects/" + url.PathEscape(key), cond: cond})
	if err != nil {
		return Object{}, false, err
	}
	return Object{Body: r.body, ETag: r.etag}, r.status == http.StatusOK, nil
}

// VMs returns the changes of the VM list after a version; 0 asks for the whole list.
func (c *Client) VMs(ctx context.Context, since uint64) (VMChanges, error) {
	r, err := c.call(ctx, request{method: http.MethodGet, path: "/vms?since=" + strconv.FormatUint(since, 10)})
	if err != nil {
		return VMChanges{}, err
	}
	var v VMChanges
	return v, r.decode(&v)
}

type request struct {
	method string
	path   string
	body   []byte
	cond   Condition
	write  bool
}

type response struct {
	status int
	etag   string
	body   []byte
}

func (r response) decode(v any) error {
	if err := json.Unmarshal(r.body, v); err != nil {
		return classifier.Wrap(classifier.PlatformUnavailable, err, "platform: answer cannot be decoded")
	}
	return nil
}

// call repeats attempts until one succeeds, is final, or the deadline passes.
func (c *Client) call(ctx context.Context, q request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Deadline)
	defer cancel()
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstDelay
	b.MaxInterval = longestDelay
	op := func() (response, error) { return c.attempt(ctx, q) }
	r, err := backoff.Retry(ctx, op, backoff.WithBackOff(b), backoff.WithMaxTries(c.cfg.Tries), backoff.WithMaxElapsedTime(c.cfg.Deadline))
	if err != nil && classifier.KindOf(err) != classifier.Conflict && classifier.KindOf(err) != classifier.Invalid {
		err = classifier.Wrap(classifier.PlatformUnavailable, err, "platform: %s %s", q.method, q.path)
	}
	return r, err
}

// attempt makes one HTTP request. Its error is permanent when a repeat cannot
// help, and for a write that may have taken effect.
func (c *Client) attempt(ctx context.Context, q request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, q.method, c.cfg.URL+q.path, bytes.NewReader(q.body))
	if err != nil {
		return response{}, backoff.Permanent(classifier.Wrap(classifier.Invalid, err, "platform: %s", q.path))
	}
	setCondition(h.Header, q.cond)
	a, err := c.cfg.HTTP.Do(h)
	if err != nil {
		return response{}, uncertain(q, err)
	}
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBody))
	if err != nil {
		return response{}, uncertain(q, err)
	}
	r := response{status: a.StatusCode, etag: a.Header.Get("ETag"), body: body}
	return r, verdict(q, r)
}

func setCondition(h http.Header, cond Condition) {
	if cond.IfMatch != "" {
		h.Set("If-Match", cond.IfMatch)
	}
	if cond.IfNoneMatch != "" {
		h.Set("If-None-Match", cond.IfNoneMatch)
	}
}

func uncertain(q request, err error) error {
	if q.write {
		return backoff.Permanent(fmt.Errorf("answer lost: %w", err))
	}
	return err
}

// verdict turns the status of an answer into an error. The platform answers
// 429 and 503 only before it acts, so that even a write may be repeated then.
func verdict(q request, r response) error {
	var f Refusal
	if r.status >= http.StatusBadRequest {
		_ = json.Unmarshal(r.body, &f)
	}
	switch r.status {
	case http.StatusOK, http.StatusNotModified:
		return nil
	case http.StatusNotFound:
		if !q.write {
			return nil
		}
	case http.StatusConflict, http.StatusPreconditionFailed:
		return backoff.Permanent(classifier.New(classifier.Conflict, "platform: %s", f.Message))
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("status %d: %s", r.status, f.Message)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return backoff.Permanent(classifier.New(classifier.Invalid, "platform: %s", f.Message))
	}
	return uncertain(q, fmt.Errorf("status %d: %s", r.status, f.Message))
}
