// Package verifier proves that a primary has not been replaced, for a platform on which a replaced primary goes on
// answering until it is demoted or learns of its successor. There, an answer that only a primary gives does not show that
// the primary still leads.
//
// A round starts when a statement that needs the proof is sent to the primary, and asks the other instances. The primary,
// which has accepted the begin of a transaction after the start of the round, had not been replaced by an acknowledged
// commit at that start if
//
//   - each other instance refuses a begin, so that none of them is a primary; or
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
	// retryAfter is the retry hint for requests while the lead of the primary cannot be verified.
	retryAfter = 500 * time.Millisecond
)

// Config holds the ways to ask instances.
type Config struct {
	// Begin begins a transaction on an instance and rolls it back, and records the answer in the group. It returns an
	// error of kind notPrimary if the instance refuses.
	Begin func(ctx context.Context, g *registrar.Group, v registrar.View) error
	// Status asks an instance for its state.
	Status func(ctx context.Context, t carrier.Target) (carrier.InstanceStatus, error)
	// SyncReplicas returns how many replicas must have received a commit of a group before it is acknowledged.
	SyncReplicas func(group string) int
}

// Verifier verifies the leads of the primaries of all groups.
type Verifier struct {
	cfg Config

	mu    sync.Mutex
	leads map[lead]*rounds
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
func New(cfg Config) *Verifier { return &Verifier{cfg: cfg, leads: map[lead]*rounds{}} }

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
	views := g.Views()
	refused, accepted := v.beginOnOthers(g, views, primary)
	if refused == len(views)-1 {
		return nil
	}
	err := v.compareStates(g, views, primary, accepted)
	if err != nil {
		return classifier.WithRetryAfter(err, retryAfter)
	}
	return nil
}

// beginOnOthers tries to begin a transaction on each instance other than the primary. It returns how many have refused, and
// those that have accepted. If one of them failed lately, it tries none.
func (v *Verifier) beginOnOthers(g *registrar.Group, views []registrar.View, primary string) (refused int, accepted []string) {
	if slices.ContainsFunc(views, func(view registrar.View) bool { return view.ID != primary && view.Failures > 0 }) {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), beginTimeout)
	defer cancel()
	type answer struct {
		instance string
		err      error
	}
	answers, others := make(chan answer, len(views)), 0
	for _, view := range views {
		if view.ID == primary {
			continue
		}
		others++
		go func() { answers <- answer{view.ID, v.cfg.Begin(ctx, g, view)} }()
	}
	for range others {
		select {
		case a := <-answers:
			switch {
			case a.err == nil:
				accepted = append(accepted, a.instance)
			case classifier.Is(a.err, classifier.NotPrimary):
				refused++
			}
		case <-ctx.Done():
			return refused, accepted
		}
	}
	return refused, accepted
}

// state is the state that an instance reported.
type state struct {
	instance string
	status   carrier.InstanceStatus
	err      error
}

// compareStates returns nil if the reported states of enough instances show that the primary leads. Instances that have
// accepted a begin, and are probably its successors, are waited for. The primary is asked only after enough others have
// answered.
func (v *Verifier) compareStates(g *registrar.Group, views []registrar.View, primary string, accepted []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	needed := len(views) - 1 - v.cfg.SyncReplicas(g.Name())
	states, outstanding := make(chan state, len(views)), 0
	ask := func(view registrar.View) {
		outstanding++
		go func() { states <- v.stateOf(ctx, view) }()
	}
	for _, view := range views {
		if view.ID != primary {
			ask(view)
		}
	}
	reported, answered, isPrimaryAsked := make([]state, 0, len(views)), 0, false
	for {
		if answered >= needed && !isPrimaryAsked {
			isPrimaryAsked = true
			if view, ok := g.View(primary); ok {
				ask(view)
			}
		}
		if outstanding == 0 {
			return checkLead(reported, primary, needed)
		}
		s := <-states
		outstanding--
		reported = append(reported, s)
		accepted = slices.DeleteFunc(accepted, func(id string) bool { return id == s.instance })
		if s.err != nil {
			continue
		}
		answered++
		g.RecordStatus(s.instance, s.status)
		if err := checkLead(reported, primary, needed); err == nil && len(accepted) == 0 || classifier.Is(err, classifier.NoPrimary) {
			return err
		}
	}
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

// checkLead returns nil if the reported states, with those of at least needed other instances, show that a primary leads.
// Otherwise it returns an error of kind noPrimary if an instance reports a later term, or of kind noInstance if too few
// instances have reported.
func checkLead(reported []state, primary string, needed int) error {
	var term uint64
	var failed error
	for _, s := range reported {
		switch {
		case s.err != nil:
			failed = s.err
		case s.instance == primary && !s.status.IsPrimary:
			return classifier.New(classifier.NoPrimary, "instance %s is not the primary any more", primary)
		case s.instance == primary:
			term = s.status.Term
		}
	}
	if term == 0 {
		return unverified(failed, "the lead of primary %s cannot be verified: too few instances have reported their state", primary)
	}
	clean := 0
	for _, s := range reported {
		switch {
		case s.err != nil || s.instance == primary:
		case s.status.Term > term || s.status.Received.Term > term:
			return classifier.New(classifier.NoPrimary, "primary %s of term %d has been replaced: instance %s reports term %d", primary, term, s.instance, max(s.status.Term, s.status.Received.Term))
		default:
			clean++
		}
	}
	if clean < needed {
		return unverified(failed, "the lead of primary %s cannot be verified: %d other instances have reported their state, want %d", primary, clean, needed)
	}
	return nil
}

// unverified returns an error of kind noInstance with a cause that may be nil.
func unverified(cause error, format string, args ...any) error {
	if cause == nil {
		return classifier.New(classifier.NoInstance, format, args...)
	}
	return classifier.Wrap(classifier.NoInstance, cause, format, args...)
}
