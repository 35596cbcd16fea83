package replicator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

// ConfirmPath is the URL path at which a VM refreshes its copy of a table on behalf of a VM that the store does not answer,
// and serves what that one lacks. The query has the parameters table and after.
const ConfirmPath = "/confirm"

const (
	// refreshTimeout bounds a refresh.
	refreshTimeout = 800 * time.Millisecond
	// confirmTimeout bounds the read from the store on behalf of another VM.
	confirmTimeout = 500 * time.Millisecond
	// feedGrace is how long a refresh waits for the feed after the store has sent the table.
	feedGrace = 50 * time.Millisecond
	// peersDelay gives the store time to answer before other VMs are asked.
	peersDelay = 150 * time.Millisecond
)

// Refresher brings a VM's copy of a table up to date without waiting for the feed, which may bring changes late.
type Refresher struct {
	Store    follower.Source
	Table    string
	Copy     *TableCopy
	Follower *follower.Follower // of the table; it applies its changes to Copy
	Peers    func() []string    // addresses of all other VMs
	// ArePeersKnown reports whether Peers returns all of them. Shortly after the start, some may be missing.
	ArePeersKnown func() bool
	// IsComplete reports whether the table in the store has all rows that its owners keep there; nil stands for always. After the store
	// was restored from an older copy, some are missing until they were written again.
	IsComplete func() bool
	Client     *http.Client
}

// errIncomplete is the error of a refresh shortly after the store was restored.
var errIncomplete = classifier.New(classifier.NotReady, "the store was restored, and rows of the table may not have been written again yet")

// Refresh reads the table from the store and passes on what is new. Afterwards, the copy has each change that preceded the
// call. If the store does not answer, the other VMs are asked to read it, and to send what they know. If the store
// answers none of them either, it is assumed to be down for all, so that nothing has entered the table which none of the VMs
// knows. It takes more than half of all VMs, including this one, to conclude that.
func (r *Refresher) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	byStore, byPeers := make(chan error, 1), make(chan peerAnswers, 1)
	go func() { byStore <- r.readStore(ctx) }()
	delay := time.NewTimer(peersDelay)
	defer delay.Stop()
	select {
	case err := <-byStore:
		if err == nil || errors.Is(err, errIncomplete) {
			return err
		}
		byStore <- err
	case <-delay.C:
	}
	go func() { byPeers <- r.askPeers(ctx) }()
	peers := peerAnswers{}
	for range 2 {
		select {
		case err := <-byStore:
			if err == nil || errors.Is(err, errIncomplete) {
				return err
			}
		case peers = <-byPeers:
			if peers.isConfirmed {
				return nil
			}
		}
	}
	if peers.isIncomplete {
		return errIncomplete
	}
	if r.ArePeersKnown() && 2*(peers.silent+1) > peers.asked+1 {
		return nil
	}
	return classifier.New(classifier.PlatformUnavailable, "table %s may be out of date: the store answers neither this VM nor one of %d others, and only %d of %d have said so", r.Table, peers.asked, peers.silent, peers.asked)
}

// peerAnswers sums up what other VMs have answered.
type peerAnswers struct {
	asked       int
	isConfirmed bool // the store has answered one of them
	silent      int  // the store has not answered so many of them
	// isIncomplete is set if the store has answered one of them, but was restored just before.
	isIncomplete bool
}

// readStore reads the table, and the changes since the version that this VM has reached: the table does not show rows that were written and
// removed again.
func (r *Refresher) readStore(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type changes struct {
		page follower.Page
		err  error
	}
	feed := make(chan changes, 1)
	go func() {
		p, err := r.Store.Follow(ctx, r.Table, r.Follower.Version(), 0)
		feed <- changes{p, err}
	}()
	p, err := r.Store.Read(ctx, r.Table)
	if err != nil {
		return err
	}
	feedTimeout := time.NewTimer(feedGrace)
	defer feedTimeout.Stop()
	p.Gap = p.Version
	select {
	case c := <-feed:
		if c.err == nil {
			r.Follower.Merge(c.page, false)
			p.Gap = 0
		}
	case <-feedTimeout.C:
	}
	r.Follower.MergeTable(p, r.Copy.changesTo)
	if r.IsComplete != nil && !r.IsComplete() {
		return errIncomplete
	}
	return nil
}

// askPeers asks all other VMs until the store has answered one of them, and merges what they know.
func (r *Refresher) askPeers(ctx context.Context) peerAnswers {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := r.Peers()
	sum := peerAnswers{asked: len(peers)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, address := range peers {
		wg.Go(func() {
			p, err := r.askPeer(ctx, address)
			if err != nil {
				return
			}
			r.Follower.Merge(p.followerPage(), p.IsWhole)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case p.IsConfirmed:
				sum.isConfirmed = true
				cancel()
			case p.IsIncomplete:
				sum.isIncomplete = true
			default:
				sum.silent++
			}
		})
	}
	wg.Wait()
	return sum
}

func (r *Refresher) askPeer(ctx context.Context, address string) (page, error) {
	after := r.Follower.Version()
	q := url.Values{"table": {r.Table}, "after": {strconv.FormatUint(after, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ConfirmPath+"?"+q.Encode(), nil)
	if err != nil {
		return page{}, err
	}
	res, err := r.Client.Do(req)
	if err != nil {
		return page{}, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return page{}, fmt.Errorf("confirm table %s at %s: HTTP status %d", r.Table, address, res.StatusCode)
	}
	var p page
	if err := decode(res.Body, &p); err != nil {
		return page{}, err
	}
	if p.Era < follower.EraOf(after) {
		return page{}, fmt.Errorf("confirm table %s at %s: answer is of era %d, before era %d of this VM's copy", r.Table, address, p.Era, follower.EraOf(after))
	}
	return p, nil
}

// ServeHTTP implements http.Handler for ConfirmPath.
func (r *Refresher) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	if err != nil || req.URL.Query().Get("table") != r.Table {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), confirmTimeout)
	defer cancel()
	err = r.readStore(ctx)
	p, ok := r.Copy.delta(after)
	if !ok {
		p = newPage(follower.Page{Version: r.Follower.Version()})
	}
	p.IsConfirmed, p.IsIncomplete = err == nil, errors.Is(err, errIncomplete)
	b, err := encode(p)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b)
}

// changesTo returns the changes that turn the copy into a table, by version. Unlike Replace, changes leave the history of the
// copy to the VMs that follow it.
func (c *TableCopy) changesTo(table follower.Page) []follower.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []follower.Row
	isPresent := make(map[string]bool, len(table.Rows))
	for _, row := range table.Rows {
		isPresent[row.Key] = true
		if old, ok := c.rows[row.Key]; !ok || old.Version != row.Version {
			changes = append(changes, row)
		}
	}
	for key := range c.rows {
		if !isPresent[key] {
			changes = append(changes, follower.Row{Key: key, Version: table.Version, IsRemoved: true})
		}
	}
	slices.SortFunc(changes, func(a, b follower.Row) int { return cmp.Compare(a.Version, b.Version) })
	return changes
}
