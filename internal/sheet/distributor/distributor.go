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
	pollers       = 3 // VMs of a data centre that poll the store
	pollInterval  = time.Second
	pollTimeout   = 3 * time.Second
	watchWait     = 4 * time.Second // of one long poll
	watchMargin   = time.Second     // after which a silent peer counts as failed
	wholeMargin   = 5 * time.Second // the same while a whole sheet may be on its way
	watchPause    = 500 * time.Millisecond
	maxWatchWait  = 10 * time.Second // that a peer may ask for
	outFirstDelay = time.Second
	outMaxDelay   = 8 * time.Second // jitter makes it at most 12 s
	askLocal      = 8               // peers asked while the store is out
	askRemote     = 2
	rankName      = "sheet"    // under which VMs are ranked as pollers
	versionOnly   = ^uint64(0) // as a version, asks a peer for its version alone
	jitterShare   = 0.25       // of an interval, either way
)

// Members is what the distributor needs to know of the VMs.
type Members interface {
	Members() []tracker.Member
	Ranked(name, dataCentre string) []tracker.Member
	Report(id string, err error)
}

// Watcher is the call to a peer that the distributor needs.
type Watcher interface {
	WatchSheet(ctx context.Context, r *messenger.WatchSheetRequest) (*messenger.WatchSheetResponse, error)
}

// Config holds the settings of a distributor.
type Config struct {
	Self    tracker.Member
	Store   Source // makes one attempt for each call; the distributor spaces its own repeats
	Members Members
	Dial    func(address string) Watcher
}

// Distributor keeps the sheet in force on a VM up to date.
type Distributor struct {
	cfg    Config
	state  *state
	out    *backoff.ExponentialBackOff
	first  int // poller that the long polls begin with
	cancel context.CancelFunc
	ctx    context.Context
	done   chan struct{}

	mu       sync.Mutex
	storeErr error
	peerErr  error
}

// New returns a running distributor.
func New(cfg Config) *Distributor {
	d := &Distributor{cfg: cfg, state: &state{changed: make(chan struct{})}, done: make(chan struct{})}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.first = int(xxhash.Sum64String(cfg.Self.ID) % pollers)
	d.out = backoff.NewExponentialBackOff()
	d.out.InitialInterval = outFirstDelay
	d.out.MaxInterval = outMaxDelay
	go d.run()
	return d
}

// Close stops the distributor and waits for it. Waiting peers get an answer at once.
func (d *Distributor) Close() {
	d.cancel()
	<-d.done
}

// Current returns the sheet in force; ok is false before the first one.
func (d *Distributor) Current() (version uint64, sheet parser.Sheet, ok bool) {
	version, sheet, _ = d.state.current()
	return version, sheet, version > 0
}

// Changed returns a channel that is closed at the next change of the sheet in force.
func (d *Distributor) Changed() <-chan struct{} {
	_, _, c := d.state.current()
	return c
}

// Fault returns why the latest question for the sheet to the store or to a peer
// failed, nil when both were answered.
func (d *Distributor) Fault() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Join(d.storeErr, d.peerErr)
}

// Ready returns nil once a sheet is in force, and otherwise why there is none.
func (d *Distributor) Ready() error {
	if _, _, ok := d.Current(); ok {
		return nil
	}
	if err := d.Fault(); err != nil {
		return classifier.Wrap(classifier.NotReady, err, "no sheet yet")
	}
	return classifier.New(classifier.NotReady, "no sheet yet: the store and the peers are being asked")
}

func (d *Distributor) replace(version uint64, sheet parser.Sheet) { d.state.replace(version, sheet) }

// change applies the difference that leads to a version.
func (d *Distributor) change(version uint64, c parser.Change) error {
	at, sheet, _ := d.state.current()
	if version != at+1 {
		return nil // another source was faster
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
		sleeper.Sleep(d.ctx, d.step(d.ctx))
	}
}

// step asks one source for news and returns the pause until the next step.
func (d *Distributor) step(ctx context.Context) time.Duration {
	ranked := d.cfg.Members.Ranked(rankName, d.cfg.Self.DataCentre)
	first := ranked[:min(pollers, len(ranked))]
	polls := slices.ContainsFunc(first, func(m tracker.Member) bool { return m.ID == d.cfg.Self.ID })
	if !polls {
		begin := time.Now()
		if d.watch(ctx, first) {
			return max(0, jitter(watchPause)-time.Since(begin))
		}
	}
	err := d.poll(ctx)
	d.note(&d.storeErr, "store", err)
	if err == nil {
		d.out.Reset()
		return jitter(pollInterval)
	}
	d.ask(ctx)
	if classifier.Is(err, classifier.NotReady) { // the store answers, but holds no sheet
		return jitter(pollInterval)
	}
	return d.out.NextBackOff()
}

func (d *Distributor) note(at *error, source string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*at = nil
	if err != nil {
		*at = fmt.Errorf("%s: %s", source, classifier.Message(err))
	}
}

// watch holds a long poll on the first poller that answers. VMs start at
// different pollers, so that these share the load, and stay away from one that
// failed, because a silent one costs the deadline of a long poll each time.
func (d *Distributor) watch(ctx context.Context, list []tracker.Member) bool {
	for range list {
		p := list[d.first%len(list)]
		version, _, ok := d.Current()
		r, err := d.call(ctx, p, version, watchWait)
		if err == nil {
			err = d.take(r)
		}
		d.note(&d.peerErr, "peer "+p.ID, err)
		if ctx.Err() != nil {
			return true
		}
		if err == nil {
			if !ok && r.Version == 0 {
				d.ask(ctx)
			}
			return true
		}
		d.first++
	}
	return false
}

func (d *Distributor) call(ctx context.Context, p tracker.Member, version uint64, wait time.Duration) (*messenger.WatchSheetResponse, error) {
	margin := watchMargin
	if version == 0 {
		margin = wholeMargin
	}
	c, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	r, err := d.cfg.Dial(p.Address).WatchSheet(c, &messenger.WatchSheetRequest{Version: version, WaitMs: uint64(wait.Milliseconds())})
	if ctx.Err() == nil {
		d.cfg.Members.Report(p.ID, err)
	}
	return r, err
}

// take puts a peer's answer in force.
func (d *Distributor) take(r *messenger.WatchSheetResponse) error {
	if len(r.Whole) > 0 {
		s, err := decodeWhole(r.Whole)
		if err != nil {
			return err
		}
		d.replace(r.Version, s)
		return nil
	}
	first := r.Version - uint64(len(r.Changes)) + 1
	for i, b := range r.Changes {
		var c parser.Change
		if err := json.Unmarshal(b, &c); err != nil {
			return err
		}
		if err := d.change(first+uint64(i), c); err != nil {
			return err
		}
	}
	return nil
}

// ask takes the highest version among some peers. It is used while the store
// cannot be reached, and asks for the versions before it asks for a sheet.
func (d *Distributor) ask(ctx context.Context) {
	list := d.sample()
	versions := make([]uint64, len(list))
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, p := range list {
		wg.Go(func() {
			r, err := d.call(ctx, p, versionOnly, 0)
			versions[i], errs[i] = r.GetVersion(), err
		})
	}
	wg.Wait()
	version, _, _ := d.Current()
	best := slices.Max(append(versions, 0))
	if best <= version {
		d.note(&d.peerErr, "peers", noneHas(version, list, errs))
		return
	}
	p := list[slices.Index(versions, best)]
	r, err := d.call(ctx, p, version, 0)
	if err == nil {
		err = d.take(r)
	}
	d.note(&d.peerErr, "peer "+p.ID, err)
}

// noneHas says why asking peers gave no sheet; nil when there is one already.
func noneHas(version uint64, list []tracker.Member, errs []error) error {
	if version > 0 {
		return nil
	}
	failed := 0
	for _, err := range errs {
		if err != nil {
			failed++
		}
	}
	return fmt.Errorf("%d asked, %d failed, none has a sheet", len(list), failed)
}

// sample returns live peers to ask, most of them of this data centre.
func (d *Distributor) sample() []tracker.Member {
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
	return append(local[:min(askLocal, len(local))], remote[:min(askRemote, len(remote))]...)
}

func shuffle(l []tracker.Member) {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
}

// WatchSheet answers a peer once there is a version after the given one, or
// after the wait. It is the server side of the twirp method.
func (d *Distributor) WatchSheet(ctx context.Context, r *messenger.WatchSheetRequest) (*messenger.WatchSheetResponse, error) {
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxWatchWait)
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
	return d.state.answer(r.Version)
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}
