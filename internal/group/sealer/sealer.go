// Package sealer tells other VMs that a VM is about to end a term of a group, to replace its primary.
//
// A promotion takes effect some time after the replicas were compared. Until then, the primary may acknowledge a commit with
// the help of an instance that joined or restarted after the comparison, to any VM that reaches it. Demoting the primary
// prevents that only if it can be reached. A VM that has sealed the term tells its clients that the outcome is unknown.
//
// Claims exclude each other in the store. A VM that the store does not answer is excluded by the seals of others, and excludes them,
// as far as they reach each other or a third VM.
package sealer

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
)

// Path is the URL path at which a VM seals a term. The query has the fields of the seal, or its term and holder for its end. Without a query, a VM
// that starts reads the open seals.
const Path = "/seal"

// timeout bounds a request to one VM. A VM that does not answer is likely to be down, and a replacement must not wait for
// it for long.
const timeout = 100 * time.Millisecond

// Sealer sends requests to other VMs.
type Sealer struct {
	Client    *http.Client
	Addresses func(group string) []string // of the other VMs that have connections to instances of a group
	// RefreshAddresses brings Addresses up to date, so that a VM which has just been added is asked as well.
	RefreshAddresses func(ctx context.Context) error
	// AreAddressesKnown reports whether Addresses returns all of them. Shortly after the start, some may be missing.
	AreAddressesKnown func() bool
}

// Seal asks the other VMs to seal a term of a group and waits for their answers. It returns what they report. It fails with kind conflict
// if one of them knows of another VM that is ending the term, and with another kind if some did not answer, which may be down.
func (s *Sealer) Seal(ctx context.Context, group string, seal registrar.Seal) (registrar.Report, error) {
	q := url.Values{"group": {group}, "term": {strconv.FormatUint(seal.Term, 10)}, "holder": {seal.Holder}}
	q.Set("spare", strconv.FormatBool(seal.IsSpare))
	q.Set("stopsAcks", strconv.FormatBool(seal.StopsAcks))
	q.Set("after", seal.After.String())
	if seal.Order.Instance != "" {
		q.Set("order", seal.Order.Instance)
		q.Set("token", strconv.FormatUint(seal.Order.Token, 10))
	}
	refreshed := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		refreshed <- s.RefreshAddresses(ctx)
	}()
	known := s.Addresses(group)
	report, err := s.sendAll(ctx, http.MethodPost, known, q)
	if classifier.Is(err, classifier.Conflict) {
		return registrar.Report{}, err
	}
	refreshErr := <-refreshed
	added := slices.DeleteFunc(s.Addresses(group), func(a string) bool { return slices.Contains(known, a) })
	reportOfAdded, addedErr := s.sendAll(ctx, http.MethodPost, added, q)
	report = report.With(reportOfAdded)
	report.IsComplete = report.IsComplete && refreshErr == nil && s.AreAddressesKnown()
	return report, cmp.Or(addedErr, err, refreshErr)
}

// Unseal ends the seal on the other VMs that can be reached.
func (s *Sealer) Unseal(ctx context.Context, group string, seal registrar.Seal) {
	q := url.Values{"group": {group}, "term": {strconv.FormatUint(seal.Term, 10)}, "holder": {seal.Holder}}
	_, _ = s.sendAll(ctx, http.MethodDelete, s.Addresses(group), q)
}

// OpenSeal is a seal of a group whose promote request may still be carried out.
type OpenSeal struct {
	Group string         `json:"group"`
	Seal  registrar.Seal `json:"seal"`
}

const (
	// maxOpenSeals bounds the seals in the answer of a VM, and maxOpenBytes its size.
	maxOpenSeals = 256
	maxOpenBytes = 128 << 10
)

// ReadOpen returns the open seals that other VMs know, for a VM that starts.
func (s *Sealer) ReadOpen(ctx context.Context, addresses []string) []OpenSeal {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan []OpenSeal, len(addresses))
	for _, address := range addresses {
		go func() {
			list, _ := s.readOpenFrom(ctx, "http://"+address+Path) // a VM that does not answer is likely to be down
			answers <- list
		}()
	}
	var sum []OpenSeal
	for range addresses {
		sum = append(sum, <-answers...)
	}
	return sum
}

func (s *Sealer) readOpenFrom(ctx context.Context, target string) ([]OpenSeal, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	response, err := s.Client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var list []OpenSeal
	if err := json.NewDecoder(io.LimitReader(response.Body, maxOpenBytes)).Decode(&list); err != nil {
		return nil, err
	}
	return list, nil
}

// answer is that of a VM to a request.
type answer struct {
	report registrar.Report
	err    error
}

// sendAll sends a request to other VMs and returns what they report and the error of one. It returns as soon as there is one of
// kind conflict.
func (s *Sealer) sendAll(ctx context.Context, method string, addresses []string, q url.Values) (registrar.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() { answers <- s.send(ctx, method, "http://"+address+Path+"?"+q.Encode()) }()
	}
	report := registrar.Report{IsComplete: true}
	var err error
	for range addresses {
		a := <-answers
		if classifier.Is(a.err, classifier.Conflict) {
			return registrar.Report{}, a.err
		}
		if a.report.Answered = 1; a.err != nil {
			a.report.Answered, a.report.Unanswered = 0, 1
		}
		report, err = report.With(a.report), cmp.Or(err, a.err)
	}
	return report, err
}

func (s *Sealer) send(ctx context.Context, method, target string) answer {
	r, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return answer{err: err}
	}
	response, err := s.Client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent:
		return answer{report: readReport(response.Header)}
	case http.StatusConflict:
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxTextBytes))
		return answer{err: classifier.New(classifier.Conflict, "%s", text)}
	}
	return answer{err: classifier.New(classifier.BadMessage, "request to seal a term: status %d, want %d", response.StatusCode, http.StatusNoContent)}
}

// The headers of an answer that hold the report of the VM.
const (
	passedOnHeader       = "Passed-On" // missing if the VM knows no position that covers all commits which it has passed on
	departureFloorHeader = "Departure-Floor"
	missingHeader        = "Missing-Instance" // one for each
	silentFloorHeader    = "Silent-Floor"     // one for each: the position, the start in ms and the identity
	openOrderHeader      = "Open-Order"       // one for each: the token and the instance
)

// maxMissing bounds the missing instances, and the silent floors, in the report of a VM.
const maxMissing = registrar.MaxMembers

func writeReport(h http.Header, r registrar.Report) {
	if r.IsComplete {
		h.Set(passedOnHeader, r.PassedOn.String())
	}
	if !r.DepartureFloor.IsZero() {
		h.Set(departureFloorHeader, r.DepartureFloor.String())
	}
	for _, id := range r.Missing[:min(len(r.Missing), maxMissing)] {
		h.Add(missingHeader, id)
	}
	for _, o := range r.Orders[:min(len(r.Orders), maxMissing)] {
		h.Add(openOrderHeader, fmt.Sprintf("%d %s", o.Token, o.Instance))
	}
	if len(r.SilentFloors) > maxMissing {
		h.Set(departureFloorHeader, r.WithoutHolds().DepartureFloor.String())
		return
	}
	for m, p := range r.SilentFloors {
		h.Add(silentFloorHeader, fmt.Sprintf("%s %d %s", p, m.StartedAtMs, m.ID))
	}
}

// readReport returns a report. Positions that are missing or cannot be parsed are zero.
func readReport(h http.Header) registrar.Report {
	passedOn, err := tokenizer.ParsePosition(h.Get(passedOnHeader))
	floor, _ := tokenizer.ParsePosition(h.Get(departureFloorHeader))
	r := registrar.Report{PassedOn: passedOn, IsComplete: err == nil, DepartureFloor: floor, Missing: h.Values(missingHeader)}
	for _, value := range h.Values(silentFloorHeader) {
		fields := strings.SplitN(value, " ", 3)
		if len(fields) < 3 {
			continue
		}
		p, _ := tokenizer.ParsePosition(fields[0])
		startedAtMs, _ := strconv.ParseInt(fields[1], 10, 64)
		m := registrar.Member{ID: fields[2], StartedAtMs: startedAtMs}
		r = r.With(registrar.Report{IsComplete: r.IsComplete, SilentFloors: map[registrar.Member]tokenizer.Position{m: p}})
	}
	for _, value := range h.Values(openOrderHeader) {
		token, instance, _ := strings.Cut(value, " ")
		if n, err := strconv.ParseUint(token, 10, 64); err == nil {
			r.Orders = append(r.Orders, registrar.Order{Instance: instance, Token: n})
		}
	}
	return r
}

// maxTextBytes bounds the text of an error that another VM sends.
const maxTextBytes = 500

// Handler serves the requests of other VMs. Group returns a group of this VM, or nil if it does not know the group.
type Handler struct {
	Group  func(name string) *registrar.Group
	Groups func() []*registrar.Group
}

// serveOpen sends the open seals of all groups.
func (h Handler) serveOpen(w http.ResponseWriter) {
	list := []OpenSeal{}
	for _, g := range h.Groups() {
		for _, s := range g.OpenSeals(0) {
			if len(list) < maxOpenSeals {
				list = append(list, OpenSeal{g.Name(), s})
			}
		}
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.Method == http.MethodGet && !q.Has("group") && h.Groups != nil {
		h.serveOpen(w)
		return
	}
	seal := registrar.Seal{Holder: q.Get("holder"), IsSpare: q.Get("spare") == "true", StopsAcks: q.Get("stopsAcks") == "true"}
	var err, afterErr, orderErr error
	seal.Term, err = strconv.ParseUint(q.Get("term"), 10, 64)
	if q.Has("after") {
		seal.After, afterErr = tokenizer.ParsePosition(q.Get("after"))
	}
	if seal.Order.Instance = q.Get("order"); seal.Order.Instance != "" {
		seal.Order.Token, orderErr = strconv.ParseUint(q.Get("token"), 10, 64)
	}
	if err != nil || afterErr != nil || orderErr != nil || seal.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := h.Group(q.Get("group"))
	if g == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch r.Method {
	case http.MethodDelete:
		g.Unseal(seal)
	case http.MethodPost:
		if err := g.Seal(seal); err != nil {
			http.Error(w, classifier.Message(err), http.StatusConflict)
			return
		}
		writeReport(w.Header(), g.Report().WithOrders(g.OpenOrders(seal.Term)))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
