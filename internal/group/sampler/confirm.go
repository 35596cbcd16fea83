package sampler

import (
	"context"
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
)

// waiter is a pending call of NextRound or Confirm.
type waiter struct {
	seq       uint64 // value of Sampler.seq at the start of the wait
	isConfirm bool
	position  tokenizer.Position
	result    chan error // buffered, so that completing the wait does not block
}

// NextRound waits for a confirmed round that started after the call of NextRound and returns the view. One round serves
// all pending calls of NextRound. When every instance has been polled after the call and no such round is confirmed,
// NextRound returns the view and an error of kind noPrimary.
func (s *Sampler) NextRound(ctx context.Context) (View, error) {
	err := s.waitFor(ctx, &waiter{result: make(chan error, 1)})
	return s.View(), err
}

// Confirm returns nil once a majority of the voters, the primary included, have reported the term of p as their fence
// term and a log that contains p. It returns an error of kind primaryReplaced when this has become impossible, or the
// context's error.
//
// Reports count regardless of their age, because any later promotion must fence at least one of the reporting
// instances, and that instance already holds p.
func (s *Sampler) Confirm(ctx context.Context, p tokenizer.Position) error {
	return s.waitFor(ctx, &waiter{isConfirm: true, position: p, result: make(chan error, 1)})
}

func (s *Sampler) waitFor(ctx context.Context, w *waiter) error {
	s.addWaiter(w)
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.waiters, w)
		s.mu.Unlock()
		return ctx.Err()
	}
}

func (s *Sampler) addWaiter(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		w.result <- classifier.New(classifier.ShuttingDown, "database %q: sampler is closed", s.database)
		return
	}
	s.seq++
	w.seq = s.seq
	s.newestWaiterAt = time.Now()
	s.waiters[w] = struct{}{}
	s.completeIfDecided(w)
	s.wakeScheduler()
}

// handleCallResult updates the confirmed round, the view and the pending waits after a call was answered or failed.
func (s *Sampler) handleCallResult() {
	s.updateConfirmedRound()
	s.publishView()
	for w := range s.waiters {
		s.completeIfDecided(w)
	}
	if len(s.waiters) > 0 {
		s.wakeScheduler()
	}
}

// updateConfirmedRound records the latest confirmed round if it started after the one on record.
func (s *Sampler) updateConfirmedRound() {
	primary := s.highestTermPrimary()
	if primary == nil {
		return
	}
	seq, start, ok := s.latestRoundOf(primary)
	position := primary.status.Last
	if !ok || seq <= s.confirmedSeq || !position.Covers(s.confirmedPosition) {
		return
	}
	s.confirmedSeq, s.confirmedStart = seq, start
	s.confirmedTerm, s.confirmedPrimary, s.confirmedPosition = position.Term, primary.instance.Name, position
	s.history.add(position, start)
}

// highestTermPrimary returns the worker of the unfenced primary with the highest term, or nil.
func (s *Sampler) highestTermPrimary() *worker {
	var highest *worker
	for _, w := range s.workers {
		if !IsVoter(w.instance) || !IsPrimaryOf(w.status, w.status.FenceTerm) {
			continue
		}
		if highest == nil || w.status.FenceTerm > highest.status.FenceTerm {
			highest = w
		}
	}
	return highest
}

// latestRoundOf returns the start of the latest round that confirms primary, as call number and time. The round
// consists of the latest answered calls of the primary and of enough other voters with the same fence term for a
// majority, those with the latest calls first. It starts with the oldest of these calls.
func (s *Sampler) latestRoundOf(primary *worker) (uint64, time.Time, bool) {
	var buffer [8]*worker // avoids a heap allocation for up to 8 other voters
	others, voters := buffer[:0], 0
	for _, w := range s.workers {
		if !IsVoter(w.instance) {
			continue
		}
		voters++
		if w != primary && w.answeredSeq > 0 && w.status.FenceTerm == primary.status.FenceTerm {
			others = append(others, w)
		}
	}
	needed := Majority(voters) - 1
	if len(others) < needed {
		return 0, time.Time{}, false
	}
	slices.SortFunc(others, func(a, b *worker) int {
		if a.answeredSeq > b.answeredSeq {
			return -1
		}
		return 1
	})
	oldest := primary
	for _, w := range others[:needed] {
		if w.answeredSeq < oldest.answeredSeq {
			oldest = w
		}
	}
	return oldest.answeredSeq, oldest.answeredStart, true
}

// isPrimaryCurrent reports whether the primary of the last confirmed round is still the primary according to the
// answers received since. It also returns false once all instances were polled after that round without a newer
// confirmed one.
func (s *Sampler) isPrimaryCurrent() bool {
	primary := s.workerOf(s.confirmedPrimary)
	if primary == nil || primary.failures > 0 || !IsPrimaryOf(primary.status, s.confirmedTerm) {
		return false
	}
	if s.isTermFenced(s.confirmedTerm) {
		return false
	}
	for _, w := range s.workers {
		if w.completedSeq <= s.confirmedSeq {
			return true
		}
	}
	return false // all instances were polled after that round started, and no newer round is confirmed
}

// isTermFenced reports whether so many voters have a higher fence term that the other voters are not a majority.
func (s *Sampler) isTermFenced(term uint64) bool {
	voters, fenced := 0, 0
	for _, w := range s.workers {
		if !IsVoter(w.instance) {
			continue
		}
		voters++
		if w.status.FenceTerm > term {
			fenced++
		}
	}
	return voters-fenced < Majority(voters)
}

// completeIfDecided completes the wait of w if its outcome is known.
func (s *Sampler) completeIfDecided(w *waiter) {
	if w.isConfirm {
		s.completeConfirmIfDone(w)
		return
	}
	if s.confirmedSeq > w.seq {
		s.complete(w, nil)
		return
	}
	for _, polled := range s.workers {
		if polled.completedSeq <= w.seq {
			return
		}
	}
	s.complete(w, classifier.New(classifier.NoPrimary,
		"database %q: no majority confirmed a primary after %d instances were polled", s.database, len(s.workers)))
}

// completeConfirmIfDone completes a wait of Confirm if the position is held by a majority or its term has ended.
func (s *Sampler) completeConfirmIfDone(w *waiter) {
	switch p := w.position; {
	case s.isHeldByMajority(p):
		s.complete(w, nil)
	case s.confirmedTerm > p.Term || s.isTermFenced(p.Term):
		s.complete(w, classifier.New(classifier.PrimaryReplaced,
			"database %q: position %s cannot be confirmed: term %d was replaced or fenced (last confirmed term %d)",
			s.database, p, p.Term, s.confirmedTerm))
	}
}

// isHeldByMajority reports whether a majority of the voters, the primary included, hold p and have its term as fence
// term.
func (s *Sampler) isHeldByMajority(p tokenizer.Position) bool {
	voters, holders, primaryHolds := 0, 0, false
	for _, w := range s.workers {
		if !IsVoter(w.instance) {
			continue
		}
		voters++
		if status := w.status; status.FenceTerm == p.Term && status.Last.Term == p.Term && status.Last.Index >= p.Index {
			holders++
			primaryHolds = primaryHolds || IsPrimaryOf(status, p.Term)
		}
	}
	return primaryHolds && holders >= Majority(voters)
}

// complete ends the wait of w with the result err.
func (s *Sampler) complete(w *waiter, err error) {
	delete(s.waiters, w)
	w.result <- err
}

// publishView replaces the view and closes the channel that Changed has returned.
func (s *Sampler) publishView() {
	v := &View{
		Database:       s.database,
		Term:           s.confirmedTerm,
		Confirmed:      s.confirmedPosition,
		ConfirmedAt:    s.confirmedStart,
		ConfirmedSince: s.history.newest.FirstStart,
		Instances:      make([]InstanceView, 0, len(s.workers)),
		EarlierRounds:  s.history.earlier,
	}
	if s.isPrimaryCurrent() {
		v.Primary = s.confirmedPrimary
	}
	for _, w := range s.workers {
		v.Instances = append(v.Instances, w.view(&s.history))
	}
	s.view.Store(v)
	close(s.changed)
	s.changed = make(chan struct{})
}
