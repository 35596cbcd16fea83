package replicator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/platform/follower"
)

// ChangesPath is the URL path at which a VM serves the changes that another VM lacks. The query has a parameter for
// each table, whose value is the version that the other VM has reached.
const ChangesPath = "/news"

const (
	// pullInterval is the pause between two rounds of pulls. With peersPerRound, it determines how late a change
	// reaches a VM that the store does not answer.
	pullInterval = time.Second
	// peersPerRound is the number of VMs that are asked in a round.
	peersPerRound = 2
	// urgentPeersPerRound is the number of VMs that are asked in an urgent round. Two such rounds find a VM that answers with
	// a probability of about 95 % if a sixth of the VMs, as many as one of six data centres has, can be reached.
	urgentPeersPerRound = 8
	// pullTimeout bounds the pull from one VM.
	pullTimeout = 400 * time.Millisecond
)

// ServeChanges answers with the changes that the requesting VM lacks, even if the copies of this VM may be stale.
func (h *Handler) ServeChanges(w http.ResponseWriter, r *http.Request) {
	if h.RecentRestore != nil {
		if era := h.RecentRestore(); era > 0 {
			w.Header().Set(restoredHeader, strconv.FormatUint(era, 10))
		}
	}
	pages := map[string]page{}
	for table, values := range r.URL.Query() {
		version, err := strconv.ParseUint(values[0], 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c, ok := h.Copies[table]
		if !ok {
			continue
		}
		p, ok := c.delta(version)
		if p = c.withInForce(p, table, r.URL.Query()); ok || len(p.InForce) > 0 {
			pages[table] = p
		}
	}
	if len(pages) == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	b, err := encode(pages)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b)
}

// restoredHeader names the era of a store that was restored a short time ago, in answers with changes.
const restoredHeader = "Restored-Era"

// PullerConfig holds the dependencies of a Puller.
type PullerConfig struct {
	Followers map[string]*follower.Follower // by table
	Peers     func() []string               // addresses of other VMs, which are asked round-robin
	Client    *http.Client
	Exchange  Exchange
	// OnMerge is called for each table to which a peer contributed a new change; may be nil.
	OnMerge func(peer, table string, version uint64)
	// OnAnswer is called when a peer has answered, before anything is merged; may be nil.
	OnAnswer func()
	// OnPull is called with the result of each pull; may be nil.
	OnPull func(peer string, err error)
	// IsUrgent reports whether more peers than usual are asked in the next round; may be nil.
	IsUrgent func() bool
}

// Puller periodically pulls missing changes from other VMs and merges them into the followers of this VM.
type Puller struct {
	cfg      PullerConfig
	nextPeer int // index into the peers, modulo their number
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// StartPuller starts a Puller, which runs until Close is called.
func StartPuller(cfg PullerConfig) *Puller {
	if cfg.OnMerge == nil {
		cfg.OnMerge = func(string, string, uint64) {}
	}
	if cfg.OnAnswer == nil {
		cfg.OnAnswer = func() {}
	}
	if cfg.OnPull == nil {
		cfg.OnPull = func(string, error) {}
	}
	if cfg.IsUrgent == nil {
		cfg.IsUrgent = func() bool { return false }
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Puller{cfg: cfg, cancel: cancel}
	a.wg.Go(func() {
		for sleeper.Sleep(ctx, pullInterval) {
			a.pullRound(ctx)
		}
	})
	return a
}

// Close stops the Puller and waits until it has ended.
func (a *Puller) Close() {
	a.cancel()
	a.wg.Wait()
}

// pullRound pulls from the next peers in round-robin order, so that within a few rounds it reaches one that the
// store answers.
func (a *Puller) pullRound(ctx context.Context) {
	peers := a.cfg.Peers()
	n := peersPerRound
	if a.cfg.IsUrgent() {
		n = urgentPeersPerRound
	}
	var wg sync.WaitGroup
	for i := range min(n, len(peers)) {
		address := peers[(a.nextPeer+i)%len(peers)]
		wg.Go(func() { a.cfg.OnPull(address, a.pull(ctx, address)) })
	}
	a.nextPeer += n
	wg.Wait()
}

// pull fetches the missing changes of all tables from one peer and merges them.
func (a *Puller) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	q := url.Values{}
	for table, f := range a.cfg.Followers {
		q.Set(table, strconv.FormatUint(f.Version(), 10))
		a.cfg.Exchange.addTo(q, table)
	}
	pages, _, err := fetchChanges(ctx, a.cfg.Client, address, q)
	if err == nil {
		a.cfg.OnAnswer()
	}
	if err != nil {
		return err
	}
	for table, p := range pages {
		a.cfg.Exchange.receive(table, p)
		if f, ok := a.cfg.Followers[table]; ok && f.Merge(p.followerPage(), p.IsWhole) {
			a.cfg.OnMerge(address, table, p.followerPage().Version)
		}
	}
	return nil
}

// fetchChanges requests the changes of tables from another VM. It returns none for status 204, with which the other VM says that it
// has nothing newer. It also returns the era of a store that was restored a short time ago, as the other VM knows, or 0.
func fetchChanges(ctx context.Context, client *http.Client, address string, q url.Values) (pages map[string]page, restoredEra uint64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ChangesPath+"?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	restoredEra, _ = strconv.ParseUint(res.Header.Get(restoredHeader), 10, 64) // usually missing
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return nil, restoredEra, nil
	default:
		return nil, 0, fmt.Errorf("pull changes from %s: HTTP status %d", address, res.StatusCode)
	}
	if err := decode(res.Body, &pages); err != nil {
		return nil, 0, fmt.Errorf("pull changes from %s: %w", address, err)
	}
	return pages, restoredEra, nil
}
