package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/sheet/parser"
)

const (
	pollersPerDataCentre = 3       // VMs of a data centre that poll the store; the others long-poll these
	pollerRankKey        = "sheet" // key by which the VMs of a data centre are ranked to choose the pollers

	pollInterval = time.Second     // between polls of the store, before jitter
	pollTimeout  = 3 * time.Second // of one poll of the store, a fetch of the full sheet included

	longPollWait     = 4 * time.Second        // requested from the peer
	longPollInterval = 500 * time.Millisecond // minimum between the starts of long polls, before jitter
	maxLongPollWait  = 10 * time.Second       // limit on the wait that a peer may request

	// A call to a peer fails when the response takes longer than the requested wait plus this margin.
	responseMargin = time.Second
	// fullSheetMargin replaces responseMargin on a VM without a sheet, as the response then holds the full sheet.
	fullSheetMargin = 5 * time.Second

	// Backoff between polls while polls of the store fail. The backoff's own
	// randomization of 50 % extends the longest interval to 12 s.
	outageInitialBackoff = time.Second
	outageMaxBackoff     = 8 * time.Second

	// Limits on the peers that fetchFromPeers asks in the VM's own data centre and in others.
	sampledLocalPeers  = 8
	sampledRemotePeers = 2

	// versionOnly, sent as the requesting VM's version, makes a peer respond with its version only.
	versionOnly = ^uint64(0)

	jitterFraction = 0.25 // largest deviation from an interval, in both directions
)

// Membership provides the membership and ranking of VMs.
type Membership interface {
	Members() []tracker.Member
	TopRanked(key, dataCentre string) []tracker.Member
	RecordCall(id string, err error)
}

// PeerClient is the client side of the call by which a peer is asked for newer versions.
type PeerClient interface {
	WatchSheet(ctx context.Context, r *messenger.WatchSheetRequest) (*messenger.WatchSheetResponse, error)
}

// Config holds the settings of a distributor.
type Config struct {
	Self    tracker.Member // the VM that the distributor runs on
	Store   StoreReader    // must not retry by itself: the distributor retries with its own backoff
	Members Membership
	Dial    func(address string) PeerClient // returns a client of the peer at the address
}

// Distributor keeps the sheet of one VM up to date and serves it to peers.
type Distributor struct {
	cfg           Config
	state         *state
	outageBackoff *backoff.ExponentialBackOff
	nextPoller    int // index, modulo the number of pollers, of the poller to try first
	cancel        context.CancelFunc
	ctx           context.Context
	done          chan struct{}

	mu       sync.Mutex
	storeErr error // of the latest request to the store
	peerErr  error // of the latest request to peers
}

// New starts a distributor, which runs until Close.
func New(cfg Config) *Distributor {
	d := &Distributor{cfg: cfg, state: &state{changed: make(chan struct{})}, done: make(chan struct{})}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.nextPoller = int(xxhash.Sum64String(cfg.Self.ID) % pollersPerDataCentre)
	d.outageBackoff = backoff.NewExponentialBackOff()
	d.outageBackoff.InitialInterval = outageInitialBackoff
	d.outageBackoff.MaxInterval = outageMaxBackoff
	go d.run()
	return d
}

// Close stops the distributor and waits until it has ended. Long polls of peers are answered at once.
func (d *Distributor) Close() {
	d.cancel()
	<-d.done
}

// Current returns the current sheet and its version; ok is false until the first sheet has been received.
func (d *Distributor) Current() (version uint64, sheet parser.Sheet, ok bool) {
	version, sheet, _ = d.state.current()
	return version, sheet, version > 0
}

// Changed returns a channel that is closed when the current sheet next changes.
func (d *Distributor) Changed() <-chan struct{} {
	_, _, c := d.state.current()
	return c
}

// LastError returns the errors of the latest requests to the store and to peers, or nil
// if both succeeded.
func (d *Distributor) LastError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Join(d.storeErr, d.peerErr)
}

// Ready returns nil once the VM has a sheet, and otherwise an error of kind notReady with the reason.
func (d *Distributor) Ready() error {
	if _, _, ok := d.Current(); ok {
		return nil
	}
	if err := d.LastError(); err != nil {
		return classifier.Wrap(classifier.NotReady, err, "no sheet yet")
	}
	return classifier.New(classifier.NotReady, "no sheet yet: waiting for the first response of the store or a peer")
}

// replace installs a full sheet unless the VM already has this version or a newer one.
func (d *Distributor) replace(version uint64, sheet parser.Sheet) { d.state.replace(version, sheet) }

// applyChange applies the change that leads to the given version. It ignores a change
// that does not follow the current version.
func (d *Distributor) applyChange(version uint64, c parser.Change) error {
	current, sheet, _ := d.state.current()
	if version != current+1 {
		return nil // received from another source before, or changes between are missing
	}
	next, err := c.Apply(sheet)
	if err != nil {
		return err
	}
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	d.state.advance(version, next, b)
	return nil
}

func (d *Distributor) run() {
	defer close(d.done)
	for d.ctx.Err() == nil {
		sleeper.Sleep(d.ctx, d.syncOnce(d.ctx))
	}
}

// syncOnce asks for newer versions once: a poller asks the store, any other VM one of
// the pollers, or the store if no poller answers. If the poll of the store fails or
// finds no sheet, it asks other peers. It returns the time to wait before the next round.
func (d *Distributor) syncOnce(ctx context.Context) time.Duration {
	ranked := d.cfg.Members.TopRanked(pollerRankKey, d.cfg.Self.DataCentre)
	pollers := ranked[:min(pollersPerDataCentre, len(ranked))]
	isPoller := slices.ContainsFunc(pollers, func(m tracker.Member) bool { return m.ID == d.cfg.Self.ID })
	if !isPoller {
		start := time.Now()
		if d.longPoll(ctx, pollers) {
			return max(0, jitter(longPollInterval)-time.Since(start))
		}
	}
	err := d.poll(ctx)
	d.recordError(&d.storeErr, "store", err)
	if err == nil {
		d.outageBackoff.Reset()
		return jitter(pollInterval)
	}
	d.fetchFromPeers(ctx)
	if classifier.Is(err, classifier.NotReady) { // the store answers, but holds no sheet
		return jitter(pollInterval)
	}
	return d.outageBackoff.NextBackOff()
}

// recordError sets storeErr or peerErr to the outcome of the latest request; a nil err clears it.
func (d *Distributor) recordError(dest *error, source string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*dest = nil
	if err != nil {
		*dest = fmt.Errorf("%s: %s", source, classifier.Message(err))
	}
}

// longPoll asks the pollers in turn until one answers, and reports whether one did or
// ctx ended. VMs begin with different pollers to spread the load. After a failure, the
// VM begins with the next poller from then on, because each long poll of an
// unresponsive poller costs the full timeout.
func (d *Distributor) longPoll(ctx context.Context, pollers []tracker.Member) bool {
	for range pollers {
		poller := pollers[d.nextPoller%len(pollers)]
		version, _, hasSheet := d.Current()
		r, err := d.watchPeer(ctx, poller, version, longPollWait)
		if err == nil {
			err = d.applyResponse(r)
		}
		d.recordError(&d.peerErr, "peer "+poller.ID, err)
		if ctx.Err() != nil {
			return true
		}
		if err == nil {
			if !hasSheet && r.Version == 0 {
				d.fetchFromPeers(ctx)
			}
			return true
		}
		d.nextPoller++
	}
	return false
}

// watchPeer calls WatchSheet on a peer and reports the outcome to the membership,
// unless ctx ended.
func (d *Distributor) watchPeer(ctx context.Context, peer tracker.Member, version uint64, wait time.Duration) (*messenger.WatchSheetResponse, error) {
	margin := responseMargin
	if version == 0 {
		margin = fullSheetMargin
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	r, err := d.cfg.Dial(peer.Address).WatchSheet(callCtx, &messenger.WatchSheetRequest{Version: version, WaitMs: uint64(wait.Milliseconds())})
	if ctx.Err() == nil {
		d.cfg.Members.RecordCall(peer.ID, err)
	}
	return r, err
}

// applyResponse installs the full sheet or the changes of a peer's response.
func (d *Distributor) applyResponse(r *messenger.WatchSheetResponse) error {
	if len(r.Whole) > 0 {
		s, err := decodeSheet(r.Whole)
		if err != nil {
			return err
		}
		d.replace(r.Version, s)
		return nil
	}
	firstVersion := r.Version - uint64(len(r.Changes)) + 1
	for i, b := range r.Changes {
		var c parser.Change
		if err := json.Unmarshal(b, &c); err != nil {
			return err
		}
		if err := d.applyChange(firstVersion+uint64(i), c); err != nil {
			return err
		}
	}
	return nil
}

// fetchFromPeers asks a sample of peers for their versions and then fetches the sheet
// or the changes from one that has the highest. It is used when a poll of the store
// failed or found no sheet, and when neither this VM nor the poller it asked has one.
func (d *Distributor) fetchFromPeers(ctx context.Context) {
	peers := d.samplePeers()
	versions := make([]uint64, len(peers))
	errs := make([]error, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() {
			r, err := d.watchPeer(ctx, peer, versionOnly, 0)
			versions[i], errs[i] = r.GetVersion(), err
		})
	}
	wg.Wait()
	version, _, _ := d.Current()
	latest := slices.Max(append(versions, 0))
	if latest <= version {
		d.recordError(&d.peerErr, "peers", noSheetError(version, peers, errs))
		return
	}
	peer := peers[slices.Index(versions, latest)]
	r, err := d.watchPeer(ctx, peer, version, 0)
	if err == nil {
		err = d.applyResponse(r)
	}
	d.recordError(&d.peerErr, "peer "+peer.ID, err)
}

// noSheetError returns the reason why a VM without a sheet got none from peers, or nil if
// version shows that the VM has a sheet.
func noSheetError(version uint64, peers []tracker.Member, errs []error) error {
	if version > 0 {
		return nil
	}
	failed := 0
	for _, err := range errs {
		if err != nil {
			failed++
		}
	}
	return fmt.Errorf("%d asked, %d failed, none has a sheet", len(peers), failed)
}

// samplePeers returns random peers that are not dead, most of them of the same data centre.
func (d *Distributor) samplePeers() []tracker.Member {
	var local, remote []tracker.Member
	for _, m := range d.cfg.Members.Members() {
		switch {
		case m.ID == d.cfg.Self.ID || m.State == tracker.Dead:
		case m.DataCentre == d.cfg.Self.DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	shuffle(local)
	shuffle(remote)
	return append(local[:min(sampledLocalPeers, len(local))], remote[:min(sampledRemotePeers, len(remote))]...)
}

func shuffle(members []tracker.Member) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// WatchSheet responds to a peer as soon as this VM has a newer version than the peer,
// and at the latest after the requested wait. It implements the Twirp method.
func (d *Distributor) WatchSheet(ctx context.Context, r *messenger.WatchSheetRequest) (*messenger.WatchSheetResponse, error) {
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxLongPollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for wait > 0 {
		version, _, changed := d.state.current()
		if version > r.Version {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-d.ctx.Done():
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		break
	}
	return d.state.response(r.Version)
}

// jitter returns d changed at random by up to jitterFraction.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction + 2*jitterFraction*rand.Float64()))
}
