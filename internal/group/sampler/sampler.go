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
	// DefaultIdleInterval is the time between rounds while no wait is pending.
	DefaultIdleInterval = 500 * time.Millisecond
	// DefaultCallTimeout bounds a status call on a new connection.
	DefaultCallTimeout = 400 * time.Millisecond

	// jitterFraction is the maximum random change of the idle interval in either direction, as a fraction of it.
	jitterFraction = 0.1

	// minCallInterval is the minimum time between the starts of two calls to an instance. A call that repeats one that
	// failed on an open connection is exempt.
	minCallInterval = time.Millisecond
	// maxPollInterval is the maximum time between the rounds for a pending wait, provided that a majority has completed
	// its calls of the current round.
	maxPollInterval = 10 * time.Millisecond
	// minUnconfirmedInterval is the minimum time between the rounds for pending waits while no primary is confirmed.
	minUnconfirmedInterval = 10 * time.Millisecond
	// waitToIntervalRatio bounds the time that polling adds to a Confirm: after a wait of w, rounds are at most
	// w/waitToIntervalRatio apart, but not less than minCallInterval.
	waitToIntervalRatio = 20
	// failedCallInterval is the minimum time between calls to an instance whose latest call failed.
	failedCallInterval = 50 * time.Millisecond
	// minRedialInterval is the minimum time between reconnections to an instance that calls of ReportConnectionFailure request.
	minRedialInterval = 100 * time.Millisecond
)

// Config holds the settings of a Sampler.
type Config struct {
	Database     parser.Database
	Dial         func(parser.Instance) connector.Instance // an instance that is an io.Closer is closed after use
	IdleInterval time.Duration                            // between rounds while no wait is pending; 0 means DefaultIdleInterval
	CallTimeout  time.Duration                            // of a call on a new connection, half as long on an open one; 0 means DefaultCallTimeout
	Seed         uint64                                   // of the jitter; 0 means a random seed
}

func (c Config) withDefaults() Config {
	if c.IdleInterval == 0 {
		c.IdleInterval = DefaultIdleInterval
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}

// Sampler polls the instances of one group and maintains the view of the group.
type Sampler struct {
	cfg  Config
	view atomic.Pointer[View]

	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	schedulerWake chan struct{} // wakes scheduleRounds

	mu             sync.Mutex
	jitterRand     *rand.Rand
	database       string
	workers        []*worker
	changed        chan struct{}
	waiters        map[*waiter]struct{}
	newestWaiterAt time.Time // start of the latest call of NextRound or Confirm

	// seq numbers the starts of rounds, calls and waits. It orders events that have the same clock time.
	seq               uint64
	roundSeq          uint64 // number of the start of the current round
	roundStart        time.Time
	nextIdleRound     time.Time
	history           history
	confirmedTerm     uint64
	confirmedPrimary  string
	confirmedPosition tokenizer.Position
	confirmedSeq      uint64 // number of the oldest call of the last confirmed round
	confirmedStart    time.Time
}

// New returns a running sampler.
func New(cfg Config) *Sampler {
	cfg = cfg.withDefaults()
	s := &Sampler{
		cfg:           cfg,
		schedulerWake: make(chan struct{}, 1),
		jitterRand:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		changed:       make(chan struct{}),
		waiters:       map[*waiter]struct{}{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.SetDatabase(cfg.Database)
	s.wg.Go(s.scheduleRounds)
	return s
}

// View returns the current view.
func (s *Sampler) View() View { return *s.view.Load() }

// Changed returns a channel that is closed when the view is next replaced.
func (s *Sampler) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetDatabase replaces the instances of the group. An instance whose name and address are unchanged keeps its worker
// and its observed state.
func (s *Sampler) SetDatabase(d parser.Database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.database = d.Name
	previous := s.workers
	s.workers = make([]*worker, 0, len(d.Instances))
	for _, instance := range d.Instances {
		s.workers = append(s.workers, s.reuseOrStartWorker(previous, instance))
	}
	for _, w := range previous {
		if s.workerOf(w.instance.Name) != w {
			w.cancel()
		}
	}
	s.startRound(time.Now())
	s.publishView()
}

// reuseOrStartWorker returns the previous worker of an instance with the same name and address, or starts a new one.
func (s *Sampler) reuseOrStartWorker(previous []*worker, instance parser.Instance) *worker {
	for _, w := range previous {
		if w.instance.Name == instance.Name && w.instance.Address == instance.Address {
			w.instance = instance
			return w
		}
	}
	w := newWorker(s, instance)
	s.wg.Go(w.run)
	return w
}

// workerOf returns the worker of the named instance, or nil.
func (s *Sampler) workerOf(name string) *worker {
	for _, w := range s.workers {
		if w.instance.Name == name {
			return w
		}
	}
	return nil
}

// ReportConnectionFailure records that a connection to an instance failed with err. The sampler then polls the instance immediately on a
// new connection. It ignores a nil error and reports within minRedialInterval of the last redial request.
func (s *Sampler) ReportConnectionFailure(instance string, err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.workerOf(instance); w != nil {
		w.requestRedial(time.Now())
	}
}

// Close cancels all status calls, waits for the sampler's goroutines and fails the pending waits with kind
// shuttingDown.
func (s *Sampler) Close() {
	s.cancel()
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.waiters {
		s.complete(w, classifier.New(classifier.ShuttingDown, "database %q: sampler is closed", s.database))
	}
}

// scheduleRounds starts rounds until the sampler is closed.
func (s *Sampler) scheduleRounds() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.schedulerWake:
		}
		timer.Reset(s.startRoundIfDue())
	}
}

// startRoundIfDue starts a round if it is due and returns the time until the next one.
func (s *Sampler) startRoundIfDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	next := s.nextRound(now)
	if next.After(now) {
		return next.Sub(now)
	}
	s.startRound(now)
	return s.nextRound(now).Sub(now)
}

// nextRound returns the time at which the next round is due.
func (s *Sampler) nextRound(now time.Time) time.Time {
	interval, ok := s.pollInterval(now)
	if !ok {
		return s.nextIdleRound
	}
	if next := s.roundStart.Add(interval); next.Before(s.nextIdleRound) {
		return next
	}
	return s.nextIdleRound
}

// pollInterval returns the time from the start of the current round to the next one, and whether the pending waits need
// a further round. A wait that began after the start of the current round always does; an earlier one does once a
// majority has completed its calls of the current round.
func (s *Sampler) pollInterval(now time.Time) (time.Duration, bool) {
	majorityCompleted, needed := s.hasMajorityCompleted(), false
	interval := maxPollInterval
	for w := range s.waiters {
		switch {
		case w.seq > s.roundSeq:
			needed, interval = true, minCallInterval
		case majorityCompleted && w.isConfirm:
			needed = true
			interval = min(interval, max(now.Sub(s.newestWaiterAt)/waitToIntervalRatio, minCallInterval))
		case majorityCompleted:
			needed = true
		}
	}
	if !s.isPrimaryCurrent() {
		interval = max(interval, minUnconfirmedInterval)
	}
	return interval, needed
}

// hasMajorityCompleted reports whether a majority of the voters completed their calls of the current round, in success
// or failure.
func (s *Sampler) hasMajorityCompleted() bool {
	voters, completed := 0, 0
	for _, w := range s.workers {
		if !IsVoter(w.instance) {
			continue
		}
		voters++
		if w.completedSeq > s.roundSeq {
			completed++
		}
	}
	return completed >= Majority(voters)
}

// startRound starts a round by waking all workers, and sets the time of the next idle round.
func (s *Sampler) startRound(now time.Time) {
	s.seq++
	s.roundSeq = s.seq
	s.roundStart = now
	factor := 1 + jitterFraction*(2*s.jitterRand.Float64()-1)
	s.nextIdleRound = now.Add(time.Duration(float64(s.cfg.IdleInterval) * factor))
	for _, w := range s.workers {
		w.wake()
	}
}

// wakeScheduler makes scheduleRounds compute the time of the next round again.
func (s *Sampler) wakeScheduler() {
	select {
	case s.schedulerWake <- struct{}{}:
	default:
	}
}
