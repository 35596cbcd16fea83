package sampler

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

const (
	// DefaultInterval is the time between rounds without waiters.
	DefaultInterval = 500 * time.Millisecond
	// DefaultCallTimeout bounds a status call on a new connection.
	DefaultCallTimeout = 400 * time.Millisecond

	jitterShare = 0.1 // of the interval, in both directions

	minGap        = time.Millisecond      // between two calls to an instance
	maxGap        = 10 * time.Millisecond // between rounds that do not end a wait
	unconfirmed   = 10 * time.Millisecond // between rounds while no round is confirmed
	gapPerWait    = 20                    // a wait of w is prolonged by at most w/gapPerWait
	failedGap     = 50 * time.Millisecond // between calls to an instance that fails
	reportSpacing = 100 * time.Millisecond
)

// Config holds the settings of a Sampler.
type Config struct {
	Database    parser.Database
	Dial        func(parser.Instance) connector.Instance // a returned io.Closer is closed after use
	Interval    time.Duration                            // between idle rounds; zero: DefaultInterval
	CallTimeout time.Duration                            // zero: DefaultCallTimeout
	Seed        uint64                                   // of the jitter; zero: random
}

func (c Config) withDefaults() Config {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}

// Sampler keeps the view of one group.
type Sampler struct {
	cfg  Config
	view atomic.Pointer[View]

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	poke   chan struct{} // wakes the pacer

	mu      sync.Mutex
	jitter  *rand.Rand
	name    string
	workers []*worker
	changed chan struct{}
	waiters map[*waiter]struct{}
	newest  time.Time // arrival of the newest waiter

	// seq numbers round starts, calls and waiters. It orders events that the
	// clock shows at the same instant.
	seq      uint64
	roundSeq uint64
	roundAt  time.Time
	idleDue  time.Time
	history  history
	term     uint64
	primary  string
	position tokenizer.Position
	startSeq uint64 // of the last confirmed round
	startAt  time.Time
}

// New returns a running Sampler.
func New(cfg Config) *Sampler {
	cfg = cfg.withDefaults()
	s := &Sampler{
		cfg:     cfg,
		poke:    make(chan struct{}, 1),
		jitter:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		changed: make(chan struct{}),
		waiters: map[*waiter]struct{}{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.SetDatabase(cfg.Database)
	s.wg.Go(s.pace)
	return s
}

// View returns the current snapshot.
func (s *Sampler) View() View { return *s.view.Load() }

// Changed returns a channel that is closed at the next new view.
func (s *Sampler) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetDatabase changes the instances of the group. Instances whose name and
// address stay the same keep what is known of them.
func (s *Sampler) SetDatabase(d parser.Database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.name = d.Name
	old := s.workers
	s.workers = make([]*worker, 0, len(d.Instances))
	for _, i := range d.Instances {
		s.workers = append(s.workers, s.keepOrStart(old, i))
	}
	for _, w := range old {
		if s.worker(w.instance.Name) != w {
			w.cancel()
		}
	}
	s.startRound(time.Now())
	s.publish()
}

func (s *Sampler) keepOrStart(old []*worker, i parser.Instance) *worker {
	for _, w := range old {
		if w.instance.Name == i.Name && w.instance.Address == i.Address {
			w.instance = i
			return w
		}
	}
	w := newWorker(s, i)
	s.wg.Go(w.run)
	return w
}

func (s *Sampler) worker(name string) *worker {
	for _, w := range s.workers {
		if w.instance.Name == name {
			return w
		}
	}
	return nil
}

// Report tells the sampler of an error on a connection to an instance. It
// asks the instance at once on a new connection.
func (s *Sampler) Report(instance string, err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.worker(instance); w != nil {
		w.suspect(time.Now())
	}
}

// Close ends all calls and waits for the sampler's goroutines.
func (s *Sampler) Close() {
	s.cancel()
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.waiters {
		s.finish(w, classifier.New(classifier.ShuttingDown, "database %q: sampler is closed", s.name))
	}
}

// pace starts rounds until the sampler is closed.
func (s *Sampler) pace() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.poke:
		}
		timer.Reset(s.startIfDue())
	}
}

// startIfDue starts a round when it is time and returns the time until the next one.
func (s *Sampler) startIfDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	due := s.due(now)
	if due.After(now) {
		return due.Sub(now)
	}
	s.startRound(now)
	return s.due(now).Sub(now)
}

// due returns when the next round starts.
func (s *Sampler) due(now time.Time) time.Time {
	gap, ok := s.gap(now)
	if !ok {
		return s.idleDue
	}
	if due := s.roundAt.Add(gap); due.Before(s.idleDue) {
		return due
	}
	return s.idleDue
}

// gap returns the time from the current round to the next one when the current
// round cannot end all waits.
func (s *Sampler) gap(now time.Time) (time.Duration, bool) {
	polls, needed := s.isMajorityDone(), false
	gap := maxGap
	for w := range s.waiters {
		switch {
		case w.seq > s.roundSeq:
			needed, gap = true, minGap
		case polls && w.isConfirm:
			needed = true
			gap = min(gap, max(now.Sub(s.newest)/gapPerWait, minGap))
		case polls:
			needed = true
		}
	}
	if !s.isConfirmed() {
		gap = max(gap, unconfirmed)
	}
	return gap, needed
}

// isMajorityDone reports whether a majority finished its call of the current round.
func (s *Sampler) isMajorityDone() bool {
	voters, done := 0, 0
	for _, w := range s.workers {
		if !IsVoter(w.instance) {
			continue
		}
		voters++
		if w.doneSeq > s.roundSeq {
			done++
		}
	}
	return done >= Majority(voters)
}

func (s *Sampler) startRound(now time.Time) {
	s.seq++
	s.roundSeq = s.seq
	s.roundAt = now
	share := 1 + jitterShare*(2*s.jitter.Float64()-1)
	s.idleDue = now.Add(time.Duration(float64(s.cfg.Interval) * share))
	for _, w := range s.workers {
		w.wake()
	}
}

func (s *Sampler) pokePacer() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}
