package sampler

import (
	"context"
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
)

// waiter is a pending Next or Confirm.
type waiter struct {
	seq       uint64
	isConfirm bool
	position  tokenizer.Position
	done      chan error // buffered
}

// Next returns the view after a confirmed round that started after the call;
// all waiters share it. When all instances were asked after the call and no
// round is confirmed, it returns the view and an error of kind noPrimary.
func (s *Sampler) Next(ctx context.Context) (View, error) {
	err := s.wait(ctx, &waiter{done: make(chan error, 1)})
	return s.View(), err
}

// Confirm returns nil once a majority of the instances, the primary included,
// reported the term of p as their fence term while holding p. It returns kind
// primaryReplaced once that cannot happen any more, or the context's error.
//
// Each report counts whenever it was made: a later promotion must fence one of
// the reporting instances, which then holds p already.
func (s *Sampler) Confirm(ctx context.Context, p tokenizer.Position) error {
	return s.wait(ctx, &waiter{isConfirm: true, position: p, done: make(chan error, 1)})
}

func (s *Sampler) wait(ctx context.Context, w *waiter) error {
	s.add(w)
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.waiters, w)
		s.mu.Unlock()
		return ctx.Err()
	}
}

func (s *Sampler) add(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		w.done <- classifier.New(classifier.ShuttingDown, "database %q: sampler is closed", s.name)
		return
	}
	s.seq++
	w.seq = s.seq
	s.newest = time.Now()
	s.waiters[w] = struct{}{}
	s.check(w)
	s.pokePacer()
}

// update takes a finished call into account.
func (s *Sampler) update() {
	s.confirmRound()
	s.publish()
	for w := range s.waiters {
		s.check(w)
	}
	if len(s.waiters) > 0 {
		s.pokePacer()
	}
}

// confirmRound looks for a confirmed round that started after the last one.
func (s *Sampler) confirmRound() {
	p := s.newestPrimary()
	if p == nil {
		return
	}
	seq, at, ok := s.roundOf(p)
	last := p.status.Last
	if !ok || seq <= s.startSeq || !last.Covers(s.position) {
		return
	}
	s.startSeq, s.startAt = seq, at
	s.term, s.primary, s.position = last.Term, p.instance.Name, last
	s.history.add(last, at)
}

func (s *Sampler) newestPrimary() *worker {
	var best *worker
	for _, w := range s.workers {
		if !IsVoter(w.instance) || !IsPrimaryOf(w.status, w.status.FenceTerm) {
			continue
		}
		if best == nil || w.status.FenceTerm > best.status.FenceTerm {
			best = w
		}
	}
	return best
}

// roundOf returns the start of the latest round that confirms a primary: the
// oldest call among the primary's and the latest of enough other instances to
// make a majority.
func (s *Sampler) roundOf(p *worker) (uint64, time.Time, bool) {
	var room [8]*worker
	others, voters := room[:0], 0
	for _, w := range s.workers {
		if !IsVoter(w.instance) {
			continue
		}
		voters++
		if w != p && w.okSeq > 0 && w.status.FenceTerm == p.status.FenceTerm {
			others = append(others, w)
		}
	}
	need := Majority(voters) - 1
	if len(others) < need {
		return 0, time.Time{}, false
	}
	slices.SortFunc(others, func(a, b *worker) int {
		if a.okSeq > b.okSeq {
			return -1
		}
		return 1
	})
	oldest := p
	for _, w := range others[:need] {
		if w.okSeq < oldest.okSeq {
			oldest = w
		}
	}
	return oldest.okSeq, oldest.okAt, true
}

// isConfirmed reports whether the primary of the last confirmed round is, as
// far as known, still the primary.
func (s *Sampler) isConfirmed() bool {
	p := s.worker(s.primary)
	if p == nil || p.failures > 0 || !IsPrimaryOf(p.status, s.term) {
		return false
	}
	if s.isFencedAbove(s.term) {
		return false
	}
	for _, w := range s.workers {
		if w.doneSeq <= s.startSeq {
			return true
		}
	}
	return false // all were asked since, and confirmed no newer round
}

// isFencedAbove reports whether so many instances have a higher fence term that the others are no majority.
func (s *Sampler) isFencedAbove(term uint64) bool {
	voters, above := 0, 0
	for _, w := range s.workers {
		if !IsVoter(w.instance) {
			continue
		}
		voters++
		if w.status.FenceTerm > term {
			above++
		}
	}
	return voters-above < Majority(voters)
}

// check ends a wait that is over.
func (s *Sampler) check(w *waiter) {
	if w.isConfirm {
		s.checkConfirm(w)
		return
	}
	if s.startSeq > w.seq {
		s.finish(w, nil)
		return
	}
	for _, k := range s.workers {
		if k.doneSeq <= w.seq {
			return
		}
	}
	s.finish(w, classifier.New(classifier.NoPrimary, "database %q: no round is confirmed", s.name))
}

func (s *Sampler) checkConfirm(w *waiter) {
	switch p := w.position; {
	case s.isHeld(p):
		s.finish(w, nil)
	case s.term > p.Term || s.isFencedAbove(p.Term):
		s.finish(w, classifier.New(classifier.PrimaryReplaced, "database %q: position %s: term %d ended", s.name, p, p.Term))
	}
}

// isHeld reports whether a majority, the primary included, holds p in its term.
func (s *Sampler) isHeld(p tokenizer.Position) bool {
	voters, holders, primary := 0, 0, false
	for _, w := range s.workers {
		if !IsVoter(w.instance) {
			continue
		}
		voters++
		if st := w.status; st.FenceTerm == p.Term && st.Last.Term == p.Term && st.Last.Index >= p.Index {
			holders++
			primary = primary || IsPrimaryOf(st, p.Term)
		}
	}
	return primary && holders >= Majority(voters)
}

func (s *Sampler) finish(w *waiter, err error) {
	delete(s.waiters, w)
	w.done <- err
}

// publish replaces the view.
func (s *Sampler) publish() {
	v := &View{
		Database:       s.name,
		Term:           s.term,
		Confirmed:      s.position,
		ConfirmedAt:    s.startAt,
		ConfirmedSince: s.history.newest.First,
		Instances:      make([]InstanceView, 0, len(s.workers)),
		Rounds:         s.history.old,
	}
	if s.isConfirmed() {
		v.Primary = s.primary
	}
	for _, w := range s.workers {
		v.Instances = append(v.Instances, w.view(&s.history))
	}
	s.view.Store(v)
	close(s.changed)
	s.changed = make(chan struct{})
}
