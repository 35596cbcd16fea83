package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

// CopyPath is the URL path at which readers serve their table copies.
const CopyPath = "/copy"

// readerTimeout bounds how long a reader may take to answer, beyond the wait that a feed request asked for.
const readerTimeout = 700 * time.Millisecond

// storeTimeoutMargin bounds how long the store may take to answer, beyond the wait that a feed call asked for.
const storeTimeoutMargin = time.Second

const (
	// failedReaderBackoff is how long a reader is skipped after a request to it failed.
	failedReaderBackoff = 2 * time.Second
	// refusingReaderBackoff is how long a reader is skipped after it refused with status 503, either because the
	// store does not answer it or because it has not read the table yet.
	refusingReaderBackoff = 300 * time.Millisecond
	// storeRetryInterval is the minimum time between two feed calls to a failing store by a VM that prefers
	// readers. The readers retry more often, on behalf of all VMs.
	storeRetryInterval = 1500 * time.Millisecond
	// startingReaderDelay is the mean pause before the readers are asked again while they may be starting.
	startingReaderDelay = 100 * time.Millisecond
	// readerTimeoutBackoff is how long all readers are skipped after a request to one of them timed out.
	// They may all be behind the same network partition, and each would cost a full timeout.
	readerTimeoutBackoff = 6 * time.Second
)

// Source reads tables on behalf of a VM. In a small deployment it calls the store; in a large one it asks the
// readers and falls back to the store. It implements follower.Source.
type Source struct {
	Store         follower.Source
	Readers       func() []string // addresses of the readers, nearest first
	Client        *http.Client
	PreferReaders func() bool // reports whether readers are asked before the store
	// IsVMCountKnown reports whether the number of VMs is known; nil stands for always. Until it is known, whole tables
	// are read from the store, because readers may not be running yet right after a start.
	IsVMCountKnown func() bool
	// IsLinkSlow is set if a whole table may take long to arrive over this VM's network link. The answers of
	// readers are compressed, so such a VM asks them in parallel with the store even right after its start.
	IsLinkSlow bool
	Exchange   Exchange

	mu           sync.Mutex
	skippedUntil map[string]time.Time // by reader address

	readerTimeoutAt time.Time // when the context of a request to a reader last ended before the answer
	storeErr        error     // result of the latest feed call to the store
	storeCallAt     time.Time // when the latest feed call to the store returned
}

// Read implements follower.Source.
func (s *Source) Read(ctx context.Context, table string) (follower.Page, error) {
	switch prefersReaders := s.PreferReaders(); {
	case prefersReaders && s.isVMCountKnown():
		return s.ReadAgain(ctx, table)
	case prefersReaders && s.IsLinkSlow:
		return s.readFastest(ctx, table)
	}
	return s.readStore(ctx, table)
}

// ReadAgain reads a table that this VM has read before, so that it can wait for an answer of the readers. It calls the store
// if readers are not preferred or do not answer.
func (s *Source) ReadAgain(ctx context.Context, table string) (follower.Page, error) {
	if s.PreferReaders() {
		if p, err := s.queryReaders(ctx, s.query(table), readerTimeout); err == nil {
			return p, nil
		}
	}
	return s.readStore(ctx, table)
}

func (s *Source) readStore(ctx context.Context, table string) (follower.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeoutMargin)
	defer cancel()
	return s.Store.Read(ctx, table)
}

// readFastest reads a table from the store and from the readers in parallel, and returns the page that arrives
// first. It fails if the store fails and no reader answers.
func (s *Source) readFastest(ctx context.Context, table string) (follower.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var readerPage follower.Page
	var wg errgroup.Group
	wg.Go(func() (err error) {
		if readerPage, err = s.readAnyReader(ctx, table); err == nil {
			cancel() // ends the call to the store
		}
		return err
	})
	p, err := s.readStore(ctx, table)
	if err != nil && wg.Wait() == nil {
		return readerPage, nil
	}
	return p, err
}

// Follow implements follower.Source.
func (s *Source) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (follower.Page, error) {
	if s.PreferReaders() {
		readerWait := min(wait, PeerWait)
		q := s.query(table)
		q.Set("after", strconv.FormatUint(follower.NumberOf(after), 10))
		q.Set("waitMs", strconv.FormatInt(readerWait.Milliseconds(), 10))
		if era := follower.EraOf(after); era > 0 {
			q.Set("era", strconv.FormatUint(era, 10))
		}
		p, err := s.queryReaders(ctx, q, readerWait+readerTimeout)
		for err != nil && s.areReadersStarting() && sleeper.Sleep(ctx, startingReaderDelay/2+rand.N(startingReaderDelay)) {
			p, err = s.queryReaders(ctx, q, readerWait+readerTimeout)
		}
		if err == nil || errors.Is(err, errRestored) {
			return p, err
		}
		// The store may still have changes that a reader lacks because the reader read the table after them.
		wait = min(wait, ReaderWait)
		if err := s.storeBackoffErr(); err != nil {
			return follower.Page{}, err
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+storeTimeoutMargin)
	defer cancel()
	p, err := s.Store.Follow(callCtx, table, after, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeErr, s.storeCallAt = err, time.Now()
	return p, err
}

// query returns a query to a reader for a whole table.
func (s *Source) query(table string) url.Values {
	q := url.Values{"table": {table}}
	s.Exchange.addTo(q, table)
	return q
}

// areReadersStarting reports whether the readers may be starting at the same time as this VM, so that they do not accept
// connections yet. If all VMs called the store until then, each change of a table would cost a call from each VM.
func (s *Source) areReadersStarting() bool {
	if s.isVMCountKnown() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.readerTimeoutAt) >= readerTimeoutBackoff
}

func (s *Source) isVMCountKnown() bool { return s.IsVMCountKnown == nil || s.IsVMCountKnown() }

// storeBackoffErr returns the error of the latest feed call to the store if it is too early for the next one,
// and nil otherwise. An error of kind conflict does not delay the next call.
func (s *Source) storeBackoffErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeErr == nil || classifier.Is(s.storeErr, classifier.Conflict) || time.Since(s.storeCallAt) >= storeRetryInterval {
		return nil
	}
	return s.storeErr
}

// errRestored is the error for changes after a version of before the store was restored. The store doesn't have them either.
var errRestored = classifier.New(classifier.Conflict, "store was restored since the version of this VM's table copy")

// eraParam returns the era of the version in a query.
func eraParam(q url.Values) uint64 {
	era, _ := strconv.ParseUint(q.Get("era"), 10, 64) // missing in era 0
	return era
}

var errNoReader = classifier.New(classifier.PlatformUnavailable, "no reader answered with a table copy")

// queryReaders sends a query to one reader after the other until one answers, each with the given timeout. It makes
// at most as many requests as there are readers, so that failing readers do not keep the VM from the store for longer
// than their answers take. An error of kind conflict means that a reader no longer keeps the requested history.
func (s *Source) queryReaders(ctx context.Context, q url.Values, timeout time.Duration) (follower.Page, error) {
	readers := s.Readers()
	for range readers {
		address, ok := s.nearestUsable(readers)
		if !ok {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		p, err := s.fetch(callCtx, address, q)
		isTimeout := callCtx.Err() != nil || isDialTimeout(err) && s.isVMCountKnown()
		cancel()
		if err == nil || classifier.Is(err, classifier.Conflict) {
			return p, err
		}
		s.skip(address, isTimeout, classifier.Is(err, classifier.NotReady))
	}
	return follower.Page{}, errNoReader
}

// isDialTimeout reports whether a connection to a reader was not accepted in time. While the VMs start, this only means that
// the reader has no power yet.
func isDialTimeout(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial" && opErr.Timeout()
}

// NewClient returns an HTTP client for requests to other VMs. It gives up a connection that is not accepted soon: the first
// packet to a VM without power is lost, and is sent again only after a second.
func NewClient() *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
}

// dialTimeout bounds the wait for a connection to another VM.
const dialTimeout = 250 * time.Millisecond

// Delays of the requests of readAnyReader.
const (
	// firstReaderDelay gives the store time to answer with a small table before any reader sends it in vain.
	firstReaderDelay = 80 * time.Millisecond
	// readerStagger is the delay between the first requests to two successive readers.
	readerStagger = 60 * time.Millisecond
	// readerRetryDelay is the pause before a reader that failed is asked again.
	readerRetryDelay = 30 * time.Millisecond
)

// readAnyReader requests a table from all readers, with staggered starts, and returns the first answer that arrives
// within readerTimeout. A reader that has not read the table yet answers once it has; a reader that is not running
// yet is asked again.
func (s *Source) readAnyReader(ctx context.Context, table string) (follower.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	q := s.query(table)
	q.Set("waitMs", strconv.FormatInt(readerTimeout.Milliseconds(), 10))
	readers := s.Readers()
	pages := make(chan follower.Page, len(readers))
	for i, address := range readers {
		go func() {
			for delay := firstReaderDelay + time.Duration(i)*readerStagger; sleeper.Sleep(ctx, delay); delay = readerRetryDelay {
				if p, err := s.fetch(ctx, address, q); err == nil {
					pages <- p
					return
				}
			}
		}()
	}
	select {
	case p := <-pages:
		return p, nil
	case <-ctx.Done():
		return follower.Page{}, errNoReader
	}
}

// nearestUsable returns the first of the readers that is not being skipped. It reports false if there is none.
func (s *Source) nearestUsable(readers []string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.readerTimeoutAt) < readerTimeoutBackoff {
		return "", false
	}
	for _, address := range readers {
		if !time.Now().Before(s.skippedUntil[address]) {
			return address, true
		}
	}
	return "", false
}

// skip excludes a reader from requests for the backoff time of its failure. After a timeout, it excludes all readers.
func (s *Source) skip(address string, isTimeout, isRefusal bool) {
	isStarting := !s.isVMCountKnown()
	s.mu.Lock()
	defer s.mu.Unlock()
	if isTimeout {
		s.readerTimeoutAt = time.Now()
	}
	if s.skippedUntil == nil {
		s.skippedUntil = map[string]time.Time{}
	}
	backoff := failedReaderBackoff
	switch {
	case isStarting:
		backoff = startingReaderDelay / 2
	case isRefusal:
		backoff = refusingReaderBackoff
	}
	s.skippedUntil[address] = time.Now().Add(backoff)
}

// fetch sends a query to one reader. Its error is of kind conflict if the reader no longer keeps the requested
// history, and of kind notReady if the reader refuses to serve its copy.
func (s *Source) fetch(ctx context.Context, address string, q url.Values) (follower.Page, error) {
	table := q.Get("table")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+CopyPath+"?"+q.Encode(), nil)
	if err != nil {
		return follower.Page{}, err
	}
	res, err := s.Client.Do(req)
	if err != nil {
		return follower.Page{}, classifier.Wrap(classifier.PlatformUnavailable, err, "request table %s from reader %s", q.Get("table"), address)
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		if era, err := strconv.ParseUint(res.Header.Get(eraHeader), 10, 64); err == nil && era > eraParam(q) {
			return follower.Page{}, errRestored
		}
		return follower.Page{}, classifier.New(classifier.Conflict, "reader %s no longer keeps all changes of table %s after version %s", address, q.Get("table"), q.Get("after"))
	case http.StatusServiceUnavailable:
		return follower.Page{}, classifier.New(classifier.NotReady, "reader %s has no fresh copy of table %s", address, q.Get("table"))
	default:
		return follower.Page{}, classifier.New(classifier.PlatformUnavailable, "reader %s: unexpected HTTP status %d for table %s", address, res.StatusCode, q.Get("table"))
	}
	var decoded page
	if err := decode(res.Body, &decoded); err != nil {
		return follower.Page{}, classifier.Wrap(classifier.PlatformUnavailable, err, "decode table %s from reader %s", q.Get("table"), address)
	}
	s.Exchange.receive(table, decoded)
	if era := eraParam(q); decoded.Era < era {
		return follower.Page{}, classifier.New(classifier.NotReady, "reader %s has table %s of era %d, before era %d of this VM", address, table, decoded.Era, era)
	}
	return decoded.followerPage(), nil
}
