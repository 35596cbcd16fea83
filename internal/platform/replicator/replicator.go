// Package replicator distributes the tables of the platform's store among the VMs. A few VMs, the readers, follow
// the change feed of the store and serve their table copies to the other VMs, so that the number of calls to the
// store does not grow with the number of VMs. A reader that the store has not answered for a short time refuses
// to serve, since its copy may be stale. A VM that no reader serves follows the store itself.
//
// The store may stop answering some VMs while it still answers others. So each VM that follows the store also
// pulls, once a second, the changes that it lacks from other VMs. Copies of any age can be used for this, because
// a VM merges only what is newer than its own copy.
package replicator

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

const (
	// maxKeptChanges and maxKeptBytes bound the changes that a copy keeps. A VM that lacks older ones reads the whole table.
	maxKeptChanges = 4000
	maxKeptBytes   = 1 << 20
	// rowOverheadBytes is what a row occupies besides its key and value.
	rowOverheadBytes = 80
	// DefaultFreshness is how long a reader serves its copy after the store last answered. It is longer than
	// ReaderWait, so that a feed call that waits for a change does not make the copy stale.
	DefaultFreshness = 2200 * time.Millisecond
	// ReaderWait is the longest wait of feed calls to the store by readers, and by VMs that fall back to the store.
	// The shorter it is, the sooner a reader that is cut off from the store is noticed.
	ReaderWait = 1500 * time.Millisecond
	// PeerWait is the longest wait of a request to a reader.
	PeerWait = 2 * time.Second
)

// TableCopy is a VM's copy of a table, with the latest changes of the table.
type TableCopy struct {
	mu            sync.Mutex
	rows          map[string]follower.Row // by key; nil before the first Replace
	changes       []follower.Row          // latest changes, oldest first
	historyStart  uint64                  // changes up to this version are not in changes
	gap           uint64                  // like that of follower.Page
	version       uint64                  // of the table
	freshness     time.Duration           // how long the copy is served after the store last answered
	storeAnswerAt time.Time               // when the store last answered; zero after MarkStale
	changed       chan struct{}           // closed and replaced by notify
	inForce       InForce                 // zero: none

	lastResponse encodedResponse // reused, because many VMs send the same request at the same time
}

// encodedResponse is a response in its wire format, with the versions that it is valid for.
type encodedResponse struct {
	after   uint64 // version that the requesting VM has; zero for the whole table
	version uint64 // of the table
	body    []byte
}

// NewTableCopy returns an empty copy, which is served for the given time after the store last answered.
func NewTableCopy(freshness time.Duration) *TableCopy {
	return &TableCopy{freshness: freshness, changed: make(chan struct{})}
}

// Replace replaces the copy by all rows of the table at a version. If the copy was of an earlier version of the same era, the
// differences are kept as changes, so that the VMs that follow the copy need not read the table when the store forgets its
// history.
func (c *TableCopy) Replace(rows []follower.Row, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.rows
	c.rows = make(map[string]follower.Row, len(rows))
	for _, r := range rows {
		c.rows[r.Key] = r
	}
	if old != nil && version >= c.version && follower.EraOf(version) == follower.EraOf(c.version) {
		c.appendChanges(differences(old, c.rows, version))
		c.gap = version
	} else {
		c.changes, c.historyStart, c.gap = nil, version, 0
	}
	c.version = version
	c.notify()
}

// differences returns the changes that lead from one state of a table to another at a version, oldest first.
func differences(old, present map[string]follower.Row, version uint64) []follower.Row {
	var changes []follower.Row
	for key, r := range present {
		if before, ok := old[key]; !ok || before.Version != r.Version {
			changes = append(changes, r)
		}
	}
	for key := range old {
		if _, ok := present[key]; !ok {
			changes = append(changes, follower.Row{Key: key, Version: version, IsRemoved: true})
		}
	}
	slices.SortFunc(changes, func(a, b follower.Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

// appendChanges adds the latest changes to the kept ones. The caller holds c.mu.
func (c *TableCopy) appendChanges(rows []follower.Row) {
	c.changes = append(c.changes, rows...)
	c.trimChanges()
}

// trimChanges drops the oldest changes beyond maxKeptChanges or maxKeptBytes. The caller holds c.mu.
func (c *TableCopy) trimChanges() {
	kept, size := 0, 0
	for _, r := range slices.Backward(c.changes) {
		if size += rowSize(r); size > maxKeptBytes || kept == maxKeptChanges {
			break
		}
		kept++
	}
	if excess := len(c.changes) - kept; excess > 0 {
		c.historyStart = c.changes[excess-1].Version
		c.changes = append([]follower.Row(nil), c.changes[excess:]...)
	}
}

// rowSize returns about how much memory a row occupies.
func rowSize(r follower.Row) int { return len(r.Key) + len(r.Value) + rowOverheadBytes }

// Apply applies changes that bring the table to a version. Replace must have been called before.
func (c *TableCopy) Apply(rows []follower.Row, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range rows {
		if r.IsRemoved {
			delete(c.rows, r.Key)
		} else {
			c.rows[r.Key] = r
		}
	}
	c.appendChanges(rows)
	c.version = max(c.version, version)
	if len(rows) > 0 {
		c.notify()
	}
}

// RecordGap records that the changes which are applied next may not be all up to a version.
func (c *TableCopy) RecordGap(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gap = max(c.gap, version)
}

// ExtendHistory adds changes that precede the kept ones: all changes after a version. VMs that have read the table at that
// version or later can then follow this copy, although it was read after them.
func (c *TableCopy) ExtendHistory(after uint64, rows []follower.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after >= c.historyStart || follower.EraOf(after) != follower.EraOf(c.historyStart) {
		return // in the second case, the store was restored during the call for these changes
	}
	earlier := slices.DeleteFunc(slices.Clone(rows), func(r follower.Row) bool { return r.Version > c.historyStart })
	c.changes = append(earlier, c.changes...)
	c.historyStart = after
	c.trimChanges()
}

// ConfirmFresh records that the store answered, which makes the copy fresh for a while.
func (c *TableCopy) ConfirmFresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasFresh := c.isFresh()
	c.storeAnswerAt = time.Now()
	if !wasFresh && c.isFresh() {
		c.notify()
	}
}

// MarkStale records that a call to the store failed: the copy counts as stale until the next call of ConfirmFresh.
func (c *TableCopy) MarkStale() {
	c.mu.Lock()
	c.storeAnswerAt = time.Time{}
	c.notify()
	c.mu.Unlock()
}

// notify wakes all requests that wait on the copy. The caller holds c.mu.
func (c *TableCopy) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// isFresh reports whether the copy may be served as current. The caller holds c.mu.
func (c *TableCopy) isFresh() bool {
	return c.rows != nil && time.Since(c.storeAnswerAt) < c.freshness
}

// wholeTable returns all rows. If the copy is stale, it returns an error and a channel that is closed on the next
// change of the copy.
func (c *TableCopy) wholeTable() (follower.Page, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isFresh() {
		return follower.Page{}, c.changed, errStale
	}
	return c.allRows(), nil, nil
}

// awaitWholeTable returns all rows, and waits up to a limit for the copy to become fresh. The wait is needed when
// all VMs start at once: the other VMs then send requests before the reader has read the table.
func (c *TableCopy) awaitWholeTable(ctx context.Context, limit time.Duration) (follower.Page, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		p, changed, err := c.wholeTable()
		if err == nil {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p, err
		case <-timer.C:
			return p, err
		}
	}
}

// allRows returns all rows, whatever the age of the copy. The caller holds c.mu.
func (c *TableCopy) allRows() follower.Page {
	p := follower.Page{Version: c.version}
	for _, r := range c.rows {
		p.Rows = append(p.Rows, r)
	}
	return p
}

// delta returns what a VM lacks that has all changes up to a version, whatever the age of the copy: the later
// changes, or all rows if these changes are no longer kept or the VM has no rows, which is version 0. It reports
// false if the copy has nothing newer.
func (c *TableCopy) delta(version uint64) (page, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows == nil || c.version <= version {
		return page{}, false
	}
	if version < c.historyStart || version == 0 {
		p := newPage(c.allRows())
		p.IsWhole = true
		return p, true
	}
	p := follower.Page{Version: c.version, Rows: c.changesAfter(version), Gap: c.gapAfter(version)}
	return newPage(p), len(p.Rows) > 0
}

// changesAfter returns the kept changes after a version. The caller holds c.mu.
func (c *TableCopy) changesAfter(version uint64) []follower.Row {
	var later []follower.Row
	for _, r := range c.changes {
		if r.Version > version {
			later = append(later, r)
		}
	}
	return later
}

// gapAfter returns the gap as far as it concerns the changes after a version. The caller holds c.mu.
func (c *TableCopy) gapAfter(version uint64) uint64 {
	if c.gap <= version {
		return 0
	}
	return c.gap
}

var errStale = classifier.New(classifier.PlatformUnavailable, "table copy of the reader is missing or may be stale")

// freshChanges returns the changes after a version, which may be none, and a channel that is closed on the next
// change of the copy. It fails if the copy is stale or no longer keeps all of these changes.
func (c *TableCopy) freshChanges(version uint64) (follower.Page, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.isFresh(), follower.EraOf(version) > follower.EraOf(c.version):
		return follower.Page{}, nil, errStale
	case version < c.historyStart:
		return follower.Page{}, nil, classifier.New(classifier.Conflict, "changes after version %d are requested, but only those after version %d are kept", version, c.historyStart)
	}
	return follower.Page{Version: max(version, c.version), Rows: c.changesAfter(version), Gap: c.gapAfter(version)}, c.changed, nil
}

// eraHeader names the era of a reader's copy in an answer with status 410.
const eraHeader = "Table-Era"

// reached returns the version of the copy.
func (c *TableCopy) reached() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Handler serves table copies to other VMs.
type Handler struct {
	Copies map[string]*TableCopy // by table
	// RecentRestore returns the era of the store if this VM has learned a short time ago that it was restored, and 0 otherwise. It is
	// served with changes; nil stands for 0.
	RecentRestore func() uint64
}

// ServeHTTP implements http.Handler. The query parameters are table, after, era and waitMs. With after, the answer
// holds the changes after that number of the era, and waitMs bounds the wait for the first one. Without after, the answer
// holds the whole table, and waitMs bounds the wait for the copy to become fresh. The status is 404 for an
// unknown table, 410 if the changes are no longer kept, and 503 if the copy is stale or a parameter is malformed.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	c, ok := h.Copies[q.Get("table")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	req, err := parseCopyRequest(q)
	var p follower.Page
	if err == nil {
		p, err = awaitPage(r.Context(), c, req)
	}
	switch {
	case classifier.Is(err, classifier.Conflict):
		w.Header().Set(eraHeader, strconv.FormatUint(follower.EraOf(c.reached()), 10))
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var b []byte
	if encoded := c.withInForce(newPage(p), q.Get("table"), q); len(encoded.InForce) > 0 {
		b, err = encode(encoded)
	} else {
		b, err = c.encodeCached(req.after, p)
	}
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b)
}

// encodeCached returns the wire format of the response to a VM that has all changes up to a version. It reuses the
// latest response if that one is for the same versions.
func (c *TableCopy) encodeCached(after uint64, p follower.Page) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.lastResponse; cached.body != nil && cached.after == after && cached.version == p.Version {
		return cached.body, nil
	}
	b, err := encode(newPage(p))
	if err == nil && len(p.Rows) > 0 {
		c.lastResponse = encodedResponse{after: after, version: p.Version, body: b}
	}
	return b, err
}

// copyRequest is the parsed query of another VM.
type copyRequest struct {
	isWhole bool   // the whole table is requested
	after   uint64 // otherwise: the changes after this version
	wait    time.Duration
	inForce uint64 // version that the requesting VM has in force; math.MaxUint64: it doesn't ask for a later one
}

func parseCopyRequest(q url.Values) (copyRequest, error) {
	req := copyRequest{isWhole: !q.Has("after"), inForce: math.MaxUint64}
	waitMs, err := strconv.Atoi(cmp.Or(q.Get("waitMs"), "0"))
	if err != nil {
		return req, classifier.Wrap(classifier.BadMessage, err, "query parameter waitMs")
	}
	req.wait = min(time.Duration(waitMs)*time.Millisecond, PeerWait)
	if req.isWhole {
		return req, nil
	}
	if req.after, err = strconv.ParseUint(q.Get("after"), 10, 64); err != nil {
		return req, classifier.Wrap(classifier.BadMessage, err, "query parameter after")
	}
	era, err := strconv.ParseUint(cmp.Or(q.Get("era"), "0"), 10, 64)
	if err != nil {
		return req, classifier.Wrap(classifier.BadMessage, err, "query parameter era")
	}
	req.after = follower.VersionAt(era, req.after)
	if known, err := strconv.ParseUint(q.Get(inForceParam+q.Get("table")), 10, 64); err == nil {
		req.inForce = known
	}
	return req, nil
}

// awaitPage returns the page that a request asks for. For changes, it waits until there is one or the wait is over;
// the page is then empty.
func awaitPage(ctx context.Context, c *TableCopy, req copyRequest) (follower.Page, error) {
	if req.isWhole {
		return c.awaitWholeTable(ctx, req.wait)
	}
	timer := time.NewTimer(req.wait)
	defer timer.Stop()
	for {
		p, changed, err := c.freshChanges(req.after)
		if err != nil || len(p.Rows) > 0 || c.hasLaterInForce(req.inForce) {
			return p, err
		}
		select {
		case <-changed: // new rows, or the copy has become stale
		case <-ctx.Done():
			return p, nil
		case <-timer.C:
			_, _, err := c.freshChanges(req.after) // the copy may have become stale during the wait
			return p, err
		}
	}
}
