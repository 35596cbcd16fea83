// Package verifier proves that a primary has not been replaced, for a platform on which a replaced primary goes on
// answering until it is demoted or learns of its successor. There, an answer that only a primary gives does not show that
// the primary still leads.
//
// A round starts when a statement that needs the proof is sent to the primary, and asks the other instances. The primary,
// which has accepted the begin of a transaction after the start of the round, had not been replaced by an acknowledged
// commit at that start if
//
//   - each other instance refuses a begin, so that none of them is a primary, and no entry or report of a term later than
//     that of the primary is known. A successor that has been demoted refuses a begin, too, but its log and that of a
//     replica hold the entries of its term; or
//   - of the other instances, all but as many as a commit waits for report that they are no primary of a later term
//     and have received no entry of one. A commit of a later primary would have to be received by as many instances as
//     it waits for, besides that primary. The old primary is none of them, and too few are left.
//
// The second way works while an instance cannot be reached, but each of its questions occupies a slot of an instance.
// Package sampler needs a majority instead, because its groups acknowledge a commit once a majority holds it. An
// acknowledged write needs no round, because a replica that has been released by a promotion does not receive the
// entries of the old primary any more.
package verifier

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/statement/carrier"
)

const (
	// beginTimeout bounds the wait for the answers to the begins of a round.
	beginTimeout = 80 * time.Millisecond
	// statusTimeout bounds the wait for the reported states of a round.
	statusTimeout = 300 * time.Millisecond
	// busyRetryDelay is the pause before an instance that refused a command as overloaded is asked again.
	busyRetryDelay = 10 * time.Millisecond
	// failedRetryInterval is the least time between two begins on an instance that has failed.
	failedRetryInterval = 200 * time.Millisecond
	// retryAfter is the retry hint for requests while the lead of the primary cannot be verified.
	retryAfter = 500 * time.Millisecond
)

// Config holds the ways to ask instances.
type Config struct {
	// Begin begins a transaction on an instance and rolls it back, and records the answer in the group. It returns an
	// error of kind notPrimary if the instance refuses, and an error soon if the instance does not answer.
	Begin func(ctx context.Context, g *registrar.Group, v registrar.View) error
	// Status asks an instance for its state.
	Status func(ctx context.Context, t carrier.Target) (carrier.InstanceStatus, error)
	// SyncReplicas returns how many replicas must have received a commit of a group before it is acknowledged.
	SyncReplicas func(group string) int
}

// Verifier verifies the leads of the primaries of all groups.
type Verifier struct {
	cfg Config

	mu      sync.Mutex
	leads   map[lead]*rounds
	triedAt map[string]time.Time // when a failed instance was last tried
}

// lead is what a round verifies: that an instance leads a group.
type lead struct{ group, primary string }

// rounds holds the rounds for a lead: at most one runs, and at most one waits for its end.
type rounds struct {
	running, next *Round
	isInDoubt     bool // the latest round failed
}

// Round is one verification of a primary's lead.
type Round struct {
	done      chan struct{} // closed when the other fields are set
	startedAt time.Duration // on the registrar's clock
	err       error
}

// New returns a Verifier.
func New(cfg Config) *Verifier {
	return &Verifier{cfg: cfg, leads: map[lead]*rounds{}, triedAt: map[string]time.Time{}}
}

// Start returns a round that starts after the call and verifies that an instance leads a group. Calls share a round that
// has not started yet.
func (v *Verifier) Start(g *registrar.Group, primary string) *Round {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := lead{g.Name(), primary}
	rs, ok := v.leads[l]
	if !ok {
		rs = &rounds{}
		v.leads[l] = rs
	}
	if rs.running == nil {
		rs.running = &Round{done: make(chan struct{})}
		go v.run(g, primary, rs)
		return rs.running
	}
	if rs.next == nil {
		rs.next = &Round{done: make(chan struct{})}
	}
	return rs.next
}

// Forget drops the state for an instance that has left its group.
func (v *Verifier) Forget(instance string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.triedAt, instance)
	for l := range v.leads {
		if l.primary == instance {
			delete(v.leads, l)
		}
	}
}

// IsInDoubt reports whether the latest round for an instance failed.
func (v *Verifier) IsInDoubt(group, primary string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	rs, ok := v.leads[lead{group, primary}]
	return ok && rs.isInDoubt
}

// Wait returns when the round started if the instance led at that time, provided that it has accepted a begin since. It
// returns an error of kind noPrimary if the instance has been replaced, of kind noInstance if too few instances answer,
// or the context's error.
func (r *Round) Wait(ctx context.Context) (startedAt time.Duration, err error) {
	select {
	case <-r.done:
		return r.startedAt, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// run runs the rounds for a lead until none is waiting.
func (v *Verifier) run(g *registrar.Group, primary string, rs *rounds) {
	for {
		v.mu.Lock()
		r := rs.running
		v.mu.Unlock()
		r.startedAt = g.Now()
		r.err = v.verify(g, primary)
		close(r.done)
		v.mu.Lock()
		rs.isInDoubt = r.err != nil
		rs.running, rs.next = rs.next, nil
		isIdle := rs.running == nil
		v.mu.Unlock()
		if isIdle {
			return
		}
	}
}

func (v *Verifier) verify(g *registrar.Group, primary string) error {
	others := slices.DeleteFunc(g.Views(), func(view registrar.View) bool { return view.ID == primary })
	answers := v.beginOn(g, others)
	if countOf(answers, refused) == len(others) && g.NewestTerm() <= g.LeadTerm(primary) {
		return nil
	}
	if err := v.compareStates(g, primary, others, answers); err != nil {
		return classifier.WithRetryAfter(err, retryAfter)
	}
	return nil
}

// answer is how an instance answered a begin.
type answer uint8

// Answers to a begin, in the order in which the instances are asked for their states.
const (
	accepted answer = iota // the instance acts as a primary
	refused
	missing
)

func countOf(answers map[string]answer, want answer) int {
	n := 0
	for _, a := range answers {
		if a == want {
			n++
		}
	}
	return n
}

// beginOn tries to begin a transaction on each instance, and returns the answers by instance. It does not wait for an
// instance that has failed since its last answer, but tries it from time to time, so that its next answer is noticed.
func (v *Verifier) beginOn(g *registrar.Group, views []registrar.View) map[string]answer {
	ctx, cancel := context.WithTimeout(context.Background(), beginTimeout)
	defer cancel()
	type result struct {
		instance string
		err      error
	}
	answers, results, outstanding := make(map[string]answer, len(views)), make(chan result, len(views)), 0
	for _, view := range views {
		answers[view.ID] = missing
		if view.Failures > 0 {
			if v.isRetryDue(view.ID) {
				go func() { _ = v.cfg.Begin(context.Background(), g, view) }()
			}
			continue
		}
		outstanding++
		go func() { results <- result{view.ID, v.cfg.Begin(ctx, g, view)} }()
	}
	for range outstanding {
		select {
		case r := <-results:
			switch {
			case r.err == nil:
				answers[r.instance] = accepted
			case classifier.Is(r.err, classifier.NotPrimary):
				answers[r.instance] = refused
			}
		case <-ctx.Done():
			return answers
		}
	}
	return answers
}

// isRetryDue reports whether a failed instance was last tried at least failedRetryInterval ago. If so, it is tried now.
func (v *Verifier) isRetryDue(instance string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Since(v.triedAt[instance]) < failedRetryInterval {
		return false
	}
	v.triedAt[instance] = time.Now()
	return true
}

// state is the state that an instance reported.
type state struct {
	instance string
	status   carrier.InstanceStatus
	err      error
}

// compareStates returns nil if the reported states of enough instances show that the primary leads. It asks no more
// instances than it needs: those that accepted a begin, and are probably successors, then those that refused it. The
// primary is asked only if its term is in doubt.
func (v *Verifier) compareStates(g *registrar.Group, primary string, others []registrar.View, answers map[string]answer) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	slices.SortFunc(others, func(a, b registrar.View) int {
		return cmp.Or(cmp.Compare(answers[a.ID], answers[b.ID]), cmp.Compare(a.Failures, b.Failures), cmp.Compare(a.Latency, b.Latency), cmp.Compare(a.ID, b.ID))
	})
	c := comparison{
		primary: primary, term: g.LeadTerm(primary), newest: g.NewestTerm(),
		needed: len(others) - v.cfg.SyncReplicas(g.Name()), acceptedLeft: countOf(answers, accepted),
	}
	states, outstanding := make(chan state, len(others)+1), 0
	ask := func(view registrar.View) {
		outstanding++
		go func() { states <- v.stateOf(ctx, view) }()
	}
	isPrimaryAsked := false
	for {
		for len(others) > 0 && outstanding < max(c.needed-c.clean, c.acceptedLeft) {
			ask(others[0])
			others = others[1:]
		}
		if view, ok := g.View(primary); ok && !isPrimaryAsked && (c.term == 0 || c.newest > c.term) && c.clean+outstanding >= c.needed {
			isPrimaryAsked = true
			ask(view)
		}
		if outstanding == 0 {
			return c.result()
		}
		s := <-states
		outstanding--
		if s.err == nil {
			g.RecordStatus(s.instance, s.status)
		}
		c.add(s, answers[s.instance] == accepted && s.instance != primary)
		if c.isDecided() {
			return c.result()
		}
	}
}

// comparison compares the states that instances have reported with the term of the primary.
type comparison struct {
	primary      string
	term         uint64 // of the primary, by its own answers; zero while it is unknown
	isReported   bool   // the primary has reported its term
	isDeposed    bool   // the primary has reported not to be one
	needed       int    // other instances that must have reported a state
	clean        int    // other instances that have reported one
	acceptedLeft int    // instances that accepted a begin and have not been heard since
	newest       uint64 // highest term that is known
	failed       error  // of an instance that has not reported a state
}

// add adds a reported state, or the failure to obtain one.
func (c *comparison) add(s state, hasAccepted bool) {
	if hasAccepted {
		c.acceptedLeft--
	}
	switch {
	case s.err != nil:
		c.failed = s.err
	case s.instance != c.primary:
		c.clean++
		c.newest = max(c.newest, s.status.Term, s.status.Received.Term)
	case !s.status.IsPrimary:
		c.isDeposed = true
	default:
		c.term, c.isReported = s.status.Term, true
	}
}

// isDecided reports whether further states cannot change the result.
func (c *comparison) isDecided() bool {
	isTermSure := c.isReported || c.term > 0 && c.newest <= c.term
	return c.isDeposed || c.isReported && c.newest > c.term || isTermSure && c.clean >= c.needed && c.acceptedLeft == 0
}

// result returns nil if the primary leads, an error of kind noPrimary if it has been replaced, or one of kind noInstance if
// too few instances have reported their state.
func (c *comparison) result() error {
	switch {
	case c.isDeposed:
		return classifier.New(classifier.NoPrimary, "instance %s is not the primary any more", c.primary)
	case c.term > 0 && c.newest > c.term:
		return classifier.New(classifier.NoPrimary, "primary %s of term %d has been replaced in term %d", c.primary, c.term, c.newest)
	case c.term > 0 && c.clean >= c.needed:
		return nil
	case c.failed != nil:
		return classifier.Wrap(classifier.NoInstance, c.failed, "the lead of primary %s cannot be verified: %d other instances have reported their state, want %d", c.primary, c.clean, c.needed)
	}
	return classifier.New(classifier.NoInstance, "the lead of primary %s cannot be verified: %d other instances have reported their state, want %d", c.primary, c.clean, c.needed)
}

// stateOf asks an instance for its state, and repeats that while the instance is overloaded.
func (v *Verifier) stateOf(ctx context.Context, view registrar.View) state {
	for {
		s, err := v.cfg.Status(ctx, registrar.NewTarget(view.Instance))
		isBusy := classifier.Is(err, classifier.Overloaded) || classifier.Is(err, classifier.TooManyConnections)
		if !isBusy || !sleeper.Sleep(ctx, busyRetryDelay) {
			return state{view.ID, s, err}
		}
	}
}
