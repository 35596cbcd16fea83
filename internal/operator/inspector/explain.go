package inspector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"parsleyscale/internal/failure/classifier"
)

// ExplainPath is the HTTP path at which a VM serves explanations of requests on its peer address.
const ExplainPath = "/explain"

// maxErrorBytes limits the error text that QueryExplanation reads.
const maxErrorBytes = 4 << 10

// Request describes the request to be explained: a single statement, outside a transaction, of a session that has not written.
type Request struct {
	Database string
	Team     string         // empty: a caller without a known key
	IsWrite  bool           // otherwise a read
	Age      *time.Duration // staleness that the read accepts, in place of that of the route; nil: that of the route
}

// values returns the request as the parameters of a URL.
func (r Request) values() url.Values {
	v := url.Values{"database": {r.Database}}
	if r.Team != "" {
		v.Set("team", r.Team)
	}
	if r.IsWrite {
		v.Set("write", "true")
	}
	if r.Age != nil {
		v.Set("ageMillis", strconv.FormatInt(r.Age.Milliseconds(), 10))
	}
	return v
}

// parseRequest returns the request that the parameters of a URL describe.
func parseRequest(v url.Values) (Request, error) {
	r := Request{Database: v.Get("database"), Team: v.Get("team"), IsWrite: v.Get("write") == "true"}
	if r.Database == "" {
		return r, classifier.New(classifier.Invalid, "database is not given")
	}
	if !v.Has("ageMillis") {
		return r, nil
	}
	ms, err := strconv.ParseInt(v.Get("ageMillis"), 10, 32)
	if err != nil || ms < 0 {
		return r, classifier.New(classifier.Invalid, "age is not a number of milliseconds")
	}
	age := time.Duration(ms) * time.Millisecond
	r.Age = &age
	return r, nil
}

// Explanation states where a request would be routed if it arrived now, and why. Durations are in milliseconds.
type Explanation struct {
	VM            string               `json:"vm"`
	DataCentre    string               `json:"dataCentre"`
	Configuration uint64               `json:"configuration"` // version; 0 if the VM has none yet
	Route         *ExplainedRoute      `json:"route,omitempty"`
	Team          *ExplainedTeam       `json:"team,omitempty"`
	Statement     string               `json:"statement"` // read or write
	Primary       string               `json:"primary"`   // empty if not known
	IsLeadInDoubt bool                 `json:"leadInDoubt,omitempty"`
	Floor         *ExplainedFloor      `json:"floor,omitempty"` // of reads that replicas may serve
	Candidates    []ExplainedCandidate `json:"candidates"`      // those that would be tried, in this order, then the excluded ones
	Instance      string               `json:"instance"`        // that would get the request; empty if it would be refused
	WaitMillis    float64              `json:"waitMillis"`      // expected wait for a connection to Instance
	LongestMillis float64              `json:"longestMillis"`   // longest wait for it
	Refusal       *ExplainedRefusal    `json:"refusal,omitempty"`
}

// ExplainedRoute is the route of the database.
type ExplainedRoute struct {
	Database           string  `json:"database"`
	Group              string  `json:"group"`
	ReadKind           string  `json:"readKind"`
	MaxStalenessMillis float64 `json:"maxStalenessMillis,omitempty"`
	TimeoutMillis      float64 `json:"timeoutMillis"`
	ObjectiveMillis    float64 `json:"objectiveMillis,omitempty"`
	Priority           int     `json:"priority"`
	IsPublic           bool    `json:"public,omitempty"`
}

// ExplainedTeam is the team of the caller and what this VM knows of its limit.
type ExplainedTeam struct {
	Name       string            `json:"name"`
	Rate       float64           `json:"ratePerSecond,omitempty"` // over all VMs; 0: not limited
	Burst      float64           `json:"burst,omitempty"`
	InHand     int               `json:"tokensInHand"`         // operations that this VM may admit without asking a holder
	WaitMillis float64           `json:"waitMillis,omitempty"` // until holders are asked again, because all have refused
	Holders    []ExplainedHolder `json:"holders,omitempty"`
}

// ExplainedHolder is the holder of a part of a team's limit.
type ExplainedHolder struct {
	Shard      int     `json:"shard"`
	Address    string  `json:"address"`              // empty if the holder is not known
	WaitMillis float64 `json:"waitMillis,omitempty"` // until it is asked again, because it last had too few tokens
	HasFailed  bool    `json:"failed,omitempty"`     // it did not answer recently
}

// ExplainedFloor is the position that an instance must have applied.
type ExplainedFloor struct {
	IsKnown   bool    `json:"known"` // otherwise the primary would be asked for its position first
	Position  string  `json:"position,omitempty"`
	AgeMillis float64 `json:"ageMillis,omitempty"` // upper limit of the time since the primary reached the position
}

// ExplainedCandidate is an instance of the group.
type ExplainedCandidate struct {
	ID            string  `json:"id"`
	DataCentre    string  `json:"dataCentre"`
	Exclusion     string  `json:"excluded,omitempty"`  // reason why it is not tried now
	Rejection     string  `json:"rejection,omitempty"` // why this VM would refuse the request a connection to it
	Health        string  `json:"health"`
	Fault         string  `json:"fault,omitempty"`    // by comparison with the other instances
	IsProbeDue    bool    `json:"probeDue,omitempty"` // the fault does not lower Health now, so that a read shows whether it has passed
	CostMillis    float64 `json:"costMillis"`
	LatencyMillis float64 `json:"latencyMillis"` // mean; 0 if not known
	LagMillis     float64 `json:"lagMillis"`
	Position      string  `json:"position"` // newest that it has reported
	Failures      int     `json:"failures,omitempty"`
	Link          Link    `json:"link"`
	Pace          Pace    `json:"pace"`
	WaitMillis    float64 `json:"waitMillis"`
	LongestMillis float64 `json:"longestMillis"`
}

// Link describes this VM's connections to an instance.
type Link struct {
	Gateway        string `json:"gateway,omitempty"` // VM through which the request would pass; empty: none
	GatewayAddress string `json:"gatewayAddress,omitempty"`
	Usable         int    `json:"usable"` // open connections that can carry the request
	Open           int    `json:"open"`
	Idle           int    `json:"idle"`
	InUse          int    `json:"inUse"`
	MaxInUse       int    `json:"maxInUse"`
	Waiting        int    `json:"waiting"` // requests in the queue
	Ahead          int    `json:"ahead"`   // those that would be served before the request
}

// Pace is the limit of this VM's connections in use at an instance.
type Pace struct {
	Limit int    `json:"limit"`          // after a start, a recovery or overload; at most Usual
	Usual int    `json:"usual"`          // limit that applies otherwise
	Ramp  string `json:"ramp,omitempty"` // reason of the ramp that is under way
}

// ExplainedRefusal is the refusal that the client would receive.
type ExplainedRefusal struct {
	By               string  `json:"by"` // configuration, identity, limit or instances
	Kind             string  `json:"kind"`
	Text             string  `json:"text"`        // line that the client would receive
	AfterMillis      float64 `json:"afterMillis"` // time that the request would wait before, unless the group changes; 0: none
	RetryAfterMillis float64 `json:"retryAfterMillis,omitempty"`
}

// Millis returns a duration in milliseconds, to the microsecond.
func Millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// ExplainHandler serves explanations. A panic ends only the explanation.
type ExplainHandler struct {
	// Explain returns an error of kind invalid for a request that cannot be explained. The text must not repeat the team.
	Explain func(Request) (Explanation, error)
	OnPanic func(error)
}

// ServeHTTP implements http.Handler.
func (h ExplainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
		return
	}
	q, err := parseRequest(r.URL.Query())
	var e Explanation
	if err == nil {
		e, err = h.explain(q)
	}
	switch {
	case classifier.Is(err, classifier.Invalid):
		http.Error(w, classifier.Message(err), http.StatusBadRequest)
		return
	case err != nil:
		http.Error(w, classifier.Message(err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e)
}

func (h ExplainHandler) explain(q Request) (e Explanation, err error) {
	defer func() {
		if p := recover(); p != nil {
			h.OnPanic(fmt.Errorf("%v: %s", p, debug.Stack()))
			err = classifier.New(classifier.Internal, "explanation failed, see the log of the VM")
		}
	}()
	return h.Explain(q)
}

// QueryExplanation asks the VM at a peer address for an explanation.
func QueryExplanation(ctx context.Context, c *http.Client, address string, q Request) (Explanation, error) {
	var e Explanation
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ExplainPath+"?"+q.values().Encode(), http.NoBody)
	if err != nil {
		return e, classifier.Wrap(classifier.Invalid, withoutURL(err), "address of the VM")
	}
	resp, err := c.Do(req)
	if err != nil {
		return e, classifier.Wrap(classifier.NotReady, withoutURL(err), "VM %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return e, json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&e)
	case http.StatusBadRequest:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return e, classifier.New(classifier.Invalid, "VM %s: %s", address, strings.TrimSpace(string(text)))
	}
	return e, classifier.New(classifier.Internal, "VM %s answered with HTTP status %d", address, resp.StatusCode)
}

// withoutURL returns the cause of a failed request without its URL, whose parameters may be a key by mistake.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}
