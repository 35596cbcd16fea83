// Package sealer asks other VMs to pass on no more acknowledgements of a term of a group, because its primary is being
// replaced.
//
// A promotion takes effect some time after the replicas were compared. Until then, the primary may acknowledge a commit with
// the help of an instance that joined or restarted after the comparison, to any VM that reaches it. Demoting the primary
// prevents that only if it can be reached. A VM that has sealed the term tells its clients that the outcome is unknown.
package sealer

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
)

// Path is the URL path at which a VM seals a term. The query has the group and the term.
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
}

// Seal asks the other VMs to seal a term of a group and waits for their answers. The error joins those of the VMs that did not
// answer, which may be down.
func (s *Sealer) Seal(ctx context.Context, group string, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q := url.Values{"group": {group}, "term": {strconv.FormatUint(term, 10)}}
	target := func(address string) string { return "http://" + address + Path + "?" + q.Encode() }
	refreshed := make(chan error, 1)
	go func() { refreshed <- s.RefreshAddresses(ctx) }()
	known := s.Addresses(group)
	err := s.sendAll(ctx, known, target)
	refreshErr := <-refreshed
	added := slices.DeleteFunc(s.Addresses(group), func(a string) bool { return slices.Contains(known, a) })
	return errors.Join(err, refreshErr, s.sendAll(ctx, added, target))
}

func (s *Sealer) sendAll(ctx context.Context, addresses []string, target func(address string) string) error {
	errs := make([]error, len(addresses))
	var wg sync.WaitGroup
	for k, a := range addresses {
		wg.Go(func() { errs[k] = s.send(ctx, target(a)) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (s *Sealer) send(ctx context.Context, target string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return err
	}
	response, err := s.Client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return classifier.New(classifier.BadMessage, "request to seal a term: status %d, want %d", response.StatusCode, http.StatusNoContent)
	}
	return nil
}

// Handler serves the requests of other VMs. Seal seals a term of a group of this VM, and returns false if it does not know
// the group.
type Handler struct {
	Seal func(group string, term uint64) bool
}

func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	term, err := strconv.ParseUint(q.Get("term"), 10, 64)
	switch {
	case r.Method != http.MethodPost:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	case !h.Seal(q.Get("group"), term):
		w.WriteHeader(http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
