// Package messenger carries requests for tokens between VMs: an HTTP POST of JSON on the peer address.
package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"parsleyscale/internal/failure/classifier"
)

// Path is the URL path at which a VM grants tokens.
const Path = "/tokens"

const (
	// Timeout bounds a request. A VM that does not answer is likely to be down, and the next holder must be asked while the
	// client still waits.
	Timeout = 150 * time.Millisecond
	// maxBodyBytes bounds a message. A request names each team of a VM at most once.
	maxBodyBytes = 256 << 10
)

// Ask is a request for tokens of one team.
type Ask struct {
	Team  string `json:"team"`
	Count int    `json:"count"`
}

// Grant is the answer to an Ask.
type Grant struct {
	Count      int   `json:"count,omitempty"`
	WaitMillis int64 `json:"waitMs,omitempty"` // if Count is less than was asked for, the time after which to ask again
	IsAbsent   bool  `json:"absent,omitempty"` // the VM holds no shard of the team, or does not know the team
}

// Request is a message to a VM that may hold shards. Without Asks, it only asks which shards the VM holds.
type Request struct {
	Asks []Ask `json:"asks,omitempty"`
	// IsRelease tells the VM that a row of the store now names it as the holder.
	IsRelease bool `json:"release,omitempty"`
}

// Response is the answer to a Request.
type Response struct {
	Grants []Grant `json:"grants,omitempty"` // in the order of the asks
	Held   []int   `json:"held"`             // shards that the VM holds
	// Holders has the address of the holder of each shard as far as the VM knows. It is left out if all asks were granted.
	Holders map[int]string `json:"holders,omitempty"`
}

// Client sends requests.
type Client struct{ HTTP *http.Client }

// Send sends a request to the VM with a peer address.
func (c Client) Send(ctx context.Context, address string, q Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	b, err := json.Marshal(q)
	if err != nil {
		return Response{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(b))
	if err != nil {
		return Response{}, err
	}
	r.Header = http.Header{"User-Agent": nil} // a header costs more bytes between data centres than the request itself
	res, err := c.HTTP.Do(r)
	if err != nil {
		return Response{}, classifier.Wrap(classifier.NotReady, err, "request tokens from %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Response{}, classifier.New(classifier.NotReady, "request tokens from %s: status %d", address, res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return Response{}, classifier.Wrap(classifier.NotReady, err, "request tokens from %s", address)
	}
	var a Response
	if err := json.Unmarshal(body, &a); err != nil || len(a.Grants) != len(q.Asks) {
		return Response{}, classifier.New(classifier.BadMessage, "request tokens from %s: unreadable answer of %d bytes", address, len(body))
	}
	return a, nil
}

// Handler serves the requests of other VMs.
type Handler func(Request) Response

func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q Request
	if r.Method != http.MethodPost || json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b, err := json.Marshal(h(q))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Type"], w.Header()["Date"] = nil, nil
	_, _ = w.Write(b)
}
