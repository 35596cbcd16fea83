package replacer

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
)

// candidate is an instance that may be promoted: it no longer receives or acknowledges entries of the old term.
type candidate struct {
	id           string
	isLeaving    bool
	isOldPrimary bool               // the demoted primary of the old term
	received     tokenizer.Position // the newest entry that it holds
}

// ending is what the end of a term depends on.
type ending struct {
	group         *registrar.Group
	action        Action
	old           registrar.Primary
	path          <-chan carrier.Target // gets the path to an unreachable primary, if there is one
	earlierChoice string
	token         uint64   // of the promote request, or a lower one of the same attempt
	isFirstClaim  bool     // no VM has claimed the term before
	sealing       *sealing // nil: the acknowledgements of the term are not stopped before the replicas are compared
}

// isStalled reports whether the primary is replaced because its writes have stalled.
func (e ending) isStalled() bool { return e.action.Reason == WritesStalled }

// endTerm ends the old term and returns the candidates for the new one. A planned switchover
// demotes the primary first and then lets a replica catch up with it. So does the replacement of a
// primary that only other VMs reach. Otherwise, the replicas are held.
func (r *Replacer) endTerm(ctx context.Context, e ending, seal *registrar.Seal, b *Basis) (candidates []candidate, areHeld bool, err error) {
	b.Known, b.EndedBy = len(e.group.Views()), EndedByDemotion
	status, demote := r.cfg.Controller.Status, r.cfg.Controller.Demote
	isReached := e.action.Kind == Switch
	if !isReached {
		var t carrier.Target
		if t, isReached = awaitPath(e.path); isReached {
			b.EndedBy, b.Via = EndedByPeer, t.Address
			status = func(ctx context.Context, _ carrier.Target) (carrier.InstanceStatus, error) {
				return r.cfg.Peers.Status(ctx, t)
			}
			demote = func(ctx context.Context, _ carrier.Target, term uint64) (carrier.InstanceStatus, error) {
				return r.cfg.Peers.Demote(ctx, t, term)
			}
		}
	}
	if isReached {
		if _, err := r.sealTerm(ctx, e.group, *seal); err != nil {
			return nil, false, err
		}
		candidates, err = r.demoteAndCatchUp(ctx, e, b, status, demote)
		return candidates, false, err
	}
	// A stalled primary is reachable, so holdAll awaits the answer to its demotion.
	if e.isFirstClaim && r.hasBegun(ctx, e) {
		return nil, true, r.voidOrders(ctx, e)
	}
	if err := r.fenceLateRequests(ctx, e); err != nil { // before the holds, which would only stop a primary that is back
		return nil, true, err
	}
	b.EndedBy, seal.StopsAcks = EndedByHold, true
	candidates, err = r.holdAllRegistered(ctx, e, *seal, b)
	return candidates, true, err
}

// discoverTerm returns the highest term that any instance has reported, after it has asked all of them again.
func (r *Replacer) discoverTerm(ctx context.Context, g *registrar.Group) uint64 {
	statuses, _ := r.statusOfAll(ctx, g)
	for _, s := range statuses {
		g.RecordTerm(max(s.Term, s.Received.Term))
	}
	return g.Primary().Term
}

// statusOfAll asks all instances concurrently for their status. It returns the answers and the errors, each by instance.
func (r *Replacer) statusOfAll(ctx context.Context, g *registrar.Group) (statuses map[string]carrier.InstanceStatus, failed map[string]error) {
	statuses, failed = map[string]carrier.InstanceStatus{}, map[string]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, v := range g.Views() {
		wg.Go(func() {
			s, err := r.callWithRetry(ctx, v, r.cfg.Controller.Status)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed[v.ID] = err
				return
			}
			statuses[v.ID] = s
		})
	}
	wg.Wait()
	return statuses, failed
}

// checkStallCanEnd returns an error if a replacement cannot end a stall of writes. While one replica
// does not answer or has left, and the others lack entries of the primary, only the primary itself could be chosen.
// Its demotion and promotion would interrupt the reads as well, and the writes would still wait for a replica.
// A replacement does help if a replica is held, because a promotion ends holds. The report is that of the VMs.
func (r *Replacer) checkStallCanEnd(ctx context.Context, g *registrar.Group, primary string, report registrar.Report) error {
	statuses, failed := r.statusOfAll(ctx, g)
	old, hasAnswered := statuses[primary]
	if !hasAnswered {
		return nil
	}
	var furthest tokenizer.Position
	for id, s := range statuses {
		if id != primary && (s.HoldTerm > 0 || s.Received.Covers(old.Received)) {
			return nil
		}
		if id != primary {
			furthest = furthest.Max(s.Received)
		}
	}
	if len(failed) == 0 && r.isCovered(ctx, g, furthest, report, nil) {
		return nil
	}
	return classifier.Wrap(classifier.NoInstance, errors.Join(slices.Collect(maps.Values(failed))...), "a replacement cannot end the stall of primary %s: a replica does not answer or has left, and no other one holds all entries of the primary", primary)
}

const (
	// pathTimeout bounds the search for a VM that reaches the primary. It runs beside the first steps of an attempt.
	pathTimeout = 400 * time.Millisecond
	// pathGrace is how long an attempt waits for the search after these steps.
	pathGrace = 50 * time.Millisecond
)

// startPathSearch looks for a VM that reaches a primary which this VM does not reach. It returns a channel that gets
// the path, if there is one, and is closed then, or nil if there is nothing to look for.
func (r *Replacer) startPathSearch(ctx context.Context, g *registrar.Group, a Action, old registrar.Primary) <-chan carrier.Target {
	v, ok := g.View(old.Instance)
	if !ok || r.cfg.Peers == nil || a.Reason != PrimaryUnreachable {
		return nil
	}
	path := make(chan carrier.Target, 1)
	r.wg.Go(func() {
		defer close(path)
		ctx, cancel := context.WithTimeout(ctx, pathTimeout)
		defer cancel()
		if t, err := r.cfg.Peers.FindPath(ctx, registrar.NewTarget(v.Instance)); err == nil {
			path <- t
		}
	})
	return path
}

// awaitPath returns the result of startPathSearch. It waits for it for at most pathGrace.
func awaitPath(path <-chan carrier.Target) (carrier.Target, bool) {
	if path == nil {
		return carrier.Target{}, false
	}
	select {
	case t, ok := <-path:
		return t, ok
	case <-time.After(pathGrace):
		return carrier.Target{}, false
	}
}

// demoteAndCatchUp demotes a working primary and waits until a replica that is not leaving has received
// all entries of the primary. If none has within catchUpTimeout, only the demoted primary itself may be promoted: any
// other instance may lack a commit that was acknowledged with the help of one that is not known here.
func (r *Replacer) demoteAndCatchUp(ctx context.Context, e ending, b *Basis, status func(context.Context, carrier.Target) (carrier.InstanceStatus, error), demote func(context.Context, carrier.Target, uint64) (carrier.InstanceStatus, error)) ([]candidate, error) {
	g, old, earlierChoice, views := e.group, e.old, e.earlierChoice, e.group.Views()
	v, ok := g.View(old.Instance)
	if !ok {
		return nil, classifier.New(classifier.NoPrimary, "cannot demote the primary of group %s: its instance is no longer known", g.Name())
	}
	if !hasSuccessor(views, old.Instance) {
		return nil, classifier.New(classifier.NoInstance, "cannot demote the primary of group %s: no reachable replica remains that is not leaving", g.Name())
	}
	if err := r.checkLeads(ctx, g, v, old, status); err != nil {
		return nil, err
	}
	nextTerm := old.Term + 1
	// A demotion while no replica receives entries would only interrupt the service, unless one is held: a promotion ends holds.
	receives := func(s carrier.InstanceStatus) bool {
		return s.HoldTerm > 0 || s.Received.Covers(g.Samples.Newest().Position)
	}
	if _, ok, err := r.awaitReplica(ctx, g, views, old, earlierChoice, receives); err != nil {
		return nil, err
	} else if !ok {
		return nil, classifier.New(classifier.NoInstance, "cannot demote the primary of group %s: no replica that stays has received the entries that the primary held a moment ago", g.Name())
	}
	if err := r.fenceLateRequests(ctx, e); err != nil {
		return nil, err
	}
	if e.isFirstClaim && (r.isDemoted(ctx, e, v, status) || r.hasBegun(ctx, e)) {
		return nil, r.voidOrders(ctx, e)
	}
	r.recordEnd(g)
	demoted, err := r.callWithRetry(ctx, v, func(ctx context.Context, t carrier.Target) (carrier.InstanceStatus, error) {
		return demote(ctx, t, nextTerm)
	})
	r.cfg.Observe(Event{Name: EventDemoted, Group: g.Name(), Instance: v.ID, Term: old.Term, Command: CommandDemote, Via: b.Via, Status: demoted, Err: err})
	if err != nil {
		// The primary may still acknowledge commits, perhaps with the help of a replica that is not in
		// the registry yet and would therefore not be held.
		return nil, err
	}
	if isInLaterTerm(demoted, nextTerm) {
		return nil, r.recordLaterTerm(ctx, g, v.ID, demoted)
	}
	if err := checkDemoted(v.ID, demoted, nextTerm); err != nil {
		r.cfg.Observe(Event{Name: EventNotInEffect, Group: g.Name(), Instance: v.ID, Term: old.Term, Command: CommandDemote, Status: demoted, Err: err})
		return nil, err
	}
	if _, known := g.FormerPrimary(old.Term); !demoted.Received.Covers(known) {
		return r.holdAll(ctx, e, views, b) // it has lost its log
	}
	b.Demoted = demoted.Received
	hasCaughtUp := func(s carrier.InstanceStatus) bool { return s.Received.Covers(demoted.Received) }
	if c, ok, err := r.awaitReplica(ctx, g, views, old, earlierChoice, hasCaughtUp); err != nil {
		return nil, err
	} else if ok {
		return []candidate{c}, nil
	}
	return []candidate{{id: v.ID, isLeaving: v.IsLeaving, isOldPrimary: true, received: demoted.Received}}, nil
}

// awaitReplica waits for up to catchUpTimeout until the state of a replica that is not leaving fulfils a condition. It prefers
// the choice of an earlier attempt, then the first one by identity. It fails if a replica is in a later term than old.
func (r *Replacer) awaitReplica(ctx context.Context, g *registrar.Group, views []registrar.View, old registrar.Primary, earlierChoice string, condition func(carrier.InstanceStatus) bool) (candidate, bool, error) {
	slices.SortFunc(views, func(a, b registrar.View) int {
		return cmp.Or(compareBool(b.ID == earlierChoice, a.ID == earlierChoice), cmp.Compare(a.ID, b.ID))
	})
	start := time.Now()
	for time.Since(start) < catchUpTimeout && ctx.Err() == nil {
		for _, replica := range views {
			if replica.ID == old.Instance || replica.IsLeaving {
				continue
			}
			status, err := r.callWithRetry(ctx, replica, r.cfg.Controller.Status)
			switch {
			case err == nil && isInLaterTerm(status, old.Term+1):
				return candidate{}, false, r.recordLaterTerm(ctx, g, replica.ID, status)
			case err == nil && condition(status):
				return candidate{id: replica.ID, received: status.Received}, true, nil
			}
			if time.Since(start) < firstReplicaOnly {
				break // consider only the first replica, so that different VMs make the same choice
			}
		}
		sleeper.Sleep(ctx, 10*time.Millisecond)
	}
	return candidate{}, false, nil
}

const (
	// catchUpTimeout bounds the wait for a replica to receive the entries of the primary.
	catchUpTimeout = time.Second
	// firstReplicaOnly is the part of catchUpTimeout in which only the first replica by identity is considered.
	firstReplicaOnly = 200 * time.Millisecond
)

// hasSuccessor reports whether there is a replica that is not leaving and has not failed since its last answer.
func hasSuccessor(views []registrar.View, primary string) bool {
	return slices.ContainsFunc(views, func(v registrar.View) bool { return v.ID != primary && !v.IsLeaving && v.Failures == 0 })
}

// haltAnswer is an instance's answer to a hold or a demotion, and the instance as a candidate.
type haltAnswer struct {
	candidate
	status carrier.InstanceStatus
	err    error
}

// holdAll holds all replicas, so that they stop receiving entries, and demotes the old primary. If another VM has demoted
// it already, only the instances that hold all of its entries are candidates. Otherwise, it waits
// for the old primary's answer if that of a replica is missing or if its writes have stalled. With a
// replica missing, or after one has left with entries that the others may lack, only the instances that
// hold all entries of the old primary are candidates. Replicas without a registry entry are held, too, if they answer, so that what they have
// received is known, but they are no candidates.
func (r *Replacer) holdAll(ctx context.Context, e ending, views []registrar.View, b *Basis) ([]candidate, error) {
	g, old, nextTerm := e.group, e.old, e.old.Term+1
	b.Known, b.Unanswered, b.Demoted = len(views), 0, tokenizer.Position{}
	replicaAnswers, primaryAnswer := make(chan haltAnswer, len(views)), make(chan haltAnswer, 1)
	replicas := 0
	for _, v := range views {
		if v.ID == old.Instance {
			r.wg.Go(func() {
				if err := r.checkLeads(ctx, g, v, old, r.cfg.Controller.Status); err != nil {
					primaryAnswer <- haltAnswer{err: err}
					return
				}
				primaryAnswer <- r.holdOrDemote(ctx, g, v, true, nextTerm)
			})
			continue
		}
		replicas++
		r.wg.Go(func() { replicaAnswers <- r.holdOrDemote(ctx, g, v, false, nextTerm) })
	}
	silentReplicas := g.SilentReplicas()
	silentAnswers := make(chan haltAnswer, len(silentReplicas))
	for _, v := range silentReplicas {
		r.wg.Go(func() { silentAnswers <- r.holdOrDemote(ctx, g, v, false, nextTerm) })
	}
	// A primary that has been demoted, and is not known as the primary any more, is held like a replica.
	former, knownPosition := g.FormerPrimary(old.Term)
	var formerPosition tokenizer.Position
	var candidates []candidate
	var replicaErr error
	for range replicas {
		a := <-replicaAnswers
		switch {
		case a.err != nil:
			replicaErr = a.err
			b.Unanswered++
		case isInLaterTerm(a.status, nextTerm):
			return nil, r.recordLaterTerm(ctx, g, a.id, a.status)
		case a.status.IsPrimary:
			g.RecordStatus(a.id, a.status)
			return nil, classifier.New(classifier.Conflict, "instance %s is the primary of term %d", a.id, a.status.Term)
		default:
			g.RecordReceived(a.id, a.received, old.Term)
			a.isOldPrimary = a.id == former
			candidates = append(candidates, a.candidate)
			if a.id == former && a.received.Covers(knownPosition) {
				formerPosition = a.received
			}
		}
	}
	if !formerPosition.IsZero() {
		b.EndedBy = EndedByFormerPrimary
		return covering(candidates, formerPosition), nil
	}
	report := e.sealing.await()
	b.Unsealed, b.OpenOrders = report.Unanswered, report.Orders
	if id, ok := unknownReplica(report, slices.Concat(views, silentReplicas), old.Instance); replicaErr == nil && ok {
		replicaErr = classifier.New(classifier.NoInstance, "replica %s of group %s is known to another VM only, and may hold entries that the others lack", id, g.Name())
	}
	held := g.KeptLogs(awaitHeld(silentAnswers, silentReplicas))
	for _, v := range views { // another VM may not know yet that a replica is back
		for _, c := range candidates {
			if c.id == v.ID {
				held[registrar.Member{ID: v.ID, StartedAtMs: v.StartedAtMs}] = c.received
			}
		}
	}
	e.sealing.recordHeld(held)
	if replicaErr == nil && report.IsOfMinority() && g.MayReceiveUnheld(held) {
		replicaErr = classifier.New(classifier.NoInstance, "a replica of group %s without a registry entry does not answer, nor do %d of %d other VMs, which may pass on what it has received", g.Name(), report.Unanswered, report.Unanswered+report.Answered)
	}
	if replicaErr == nil && !r.isCovered(ctx, g, furthestReceived(candidates), report, held) {
		replicaErr = classifier.New(classifier.NoInstance, "a replica of group %s has left, or may have left without this VM seeing it, or has become the primary, and the others may lack entries that it had received", g.Name())
	}
	awaitsOldPrimary := e.isStalled() || former != old.Instance // it may turn out to be a replica
	if replicaErr == nil && (!awaitsOldPrimary || replicas == len(views)) {
		select {
		case a := <-primaryAnswer:
			if a.err == nil && !isInLaterTerm(a.status, nextTerm) && !furthestReceived(candidates).Covers(a.received) {
				b.EndedBy = EndedByHoldAndDemotion // a replica that is not known here may have been counted for what it holds beyond the others
				return covering(append(candidates, a.candidate), a.received), nil
			}
		default:
		}
		return candidates, nil
	}
	if replicas == len(views) { // the old primary is not known here
		return nil, replicaErr
	}
	a := <-primaryAnswer
	if replicaErr == nil && a.err == nil && !holdsInherited(furthestReceived(candidates), a) {
		replicaErr = classifier.New(classifier.NoInstance, "no replica of group %s holds all entries that primary %s had received before its term", g.Name(), a.id)
	}
	switch {
	case classifier.Is(a.err, classifier.Conflict):
		return nil, a.err
	case a.err == nil && isInLaterTerm(a.status, nextTerm):
		return nil, r.recordLaterTerm(ctx, g, a.id, a.status)
	case replicaErr == nil && (a.err == nil || !e.isStalled()):
		b.Demoted = a.received
		return candidates, nil
	case a.err != nil: // a stalled primary that does not answer may be reached through another VM
		return nil, cmp.Or(replicaErr, a.err)
	}
	if lostEntries := !a.received.Covers(furthestReceived(candidates)) || former == a.id && !a.received.Covers(knownPosition); lostEntries {
		return nil, replicaErr
	}
	b.EndedBy = EndedByHoldAndDemotion
	return covering(append(candidates, a.candidate), a.received), nil
}

// holdsInherited reports whether a replica that has received the log up to p holds all entries that a primary held before its term. It does if it
// holds one of that term.
func holdsInherited(p tokenizer.Position, primary haltAnswer) bool {
	return p.Term >= primary.status.Term || p.Covers(primary.received)
}

// unknownReplica returns a replica of a report that this VM does not know.
func unknownReplica(report registrar.Report, views []registrar.View, oldPrimary string) (id string, ok bool) {
	for _, id := range report.Missing {
		if id != oldPrimary && !slices.ContainsFunc(views, func(v registrar.View) bool { return v.ID == id }) {
			return id, true
		}
	}
	return "", false
}

// isCovered reports whether a replica that has received the log up to p holds every commit for which the primary may have counted a
// replica that has left, as far as this VM knows and the other VMs report. Held are replicas that are held, with their newest entries.
// If that fails because of the assumption that one left without this VM seeing it, it reads the roster.
func (r *Replacer) isCovered(ctx context.Context, g *registrar.Group, p tokenizer.Position, report registrar.Report, held map[registrar.Member]tokenizer.Position) bool {
	g.RecordReport(report)
	if !report.IsMet(p, held) {
		return false
	}
	if g.IsCoveredDespiteDepartures(p, report.IsComplete, held) {
		return true
	}
	if r.cfg.Roster == nil || !g.AssumesDeparture() {
		return false
	}
	return r.applyRoster(ctx, g) == nil && g.IsCoveredDespiteDepartures(p, report.IsComplete, held)
}

// silentGrace is how long an attempt waits for the answers of replicas without a registry entry after those of the others.
const silentGrace = 50 * time.Millisecond

// awaitHeld returns the newest entries of those of the silent replicas that are held.
func awaitHeld(answers <-chan haltAnswer, replicas []registrar.View) map[registrar.Member]tokenizer.Position {
	held := map[registrar.Member]tokenizer.Position{}
	timeout := time.NewTimer(silentGrace)
	defer timeout.Stop()
	for range replicas {
		select {
		case a := <-answers:
			k := slices.IndexFunc(replicas, func(v registrar.View) bool { return v.ID == a.id })
			if a.err == nil && k >= 0 && !a.status.IsPrimary {
				held[registrar.Member{ID: a.id, StartedAtMs: replicas[k].StartedAtMs}] = a.received
			}
		case <-timeout.C:
			return held
		}
	}
	return held
}

// furthestReceived returns the newest position among candidates, or the zero position if there are none.
func furthestReceived(candidates []candidate) tokenizer.Position {
	var p tokenizer.Position
	for _, c := range candidates {
		p = p.Max(c.received)
	}
	return p
}

// holdOrDemote holds a replica, or demotes the old primary, for the term that follows the old one.
func (r *Replacer) holdOrDemote(ctx context.Context, g *registrar.Group, v registrar.View, isOldPrimary bool, nextTerm uint64) haltAnswer {
	s, err := r.callWithRetry(ctx, v, func(ctx context.Context, t carrier.Target) (carrier.InstanceStatus, error) {
		if isOldPrimary {
			return r.cfg.Controller.Demote(ctx, t, nextTerm)
		}
		return r.hold(ctx, t, nextTerm)
	})
	command := CommandHold
	if isOldPrimary {
		command = CommandDemote
	}
	r.cfg.Observe(Event{Name: EventHeld, Group: g.Name(), Instance: v.ID, Term: nextTerm - 1, Command: command, Status: s, Err: err})
	a := haltAnswer{candidate: candidate{id: v.ID, isLeaving: v.IsLeaving, isOldPrimary: isOldPrimary, received: s.Received}, status: s, err: err}
	switch {
	case err != nil || isInLaterTerm(s, nextTerm):
	case isOldPrimary:
		a.err = checkDemoted(v.ID, s, nextTerm)
	case !s.IsPrimary:
		a.err = checkHeld(v.ID, s, nextTerm)
	}
	if err == nil && a.err != nil {
		r.cfg.Observe(Event{Name: EventNotInEffect, Group: g.Name(), Instance: v.ID, Term: nextTerm - 1, Command: command, Status: s, Err: a.err})
	}
	return a
}

// hold holds a replica for a term. An instance that has been replaced and still acts as the primary of an earlier term
// has to be demoted first.
func (r *Replacer) hold(ctx context.Context, t carrier.Target, term uint64) (carrier.InstanceStatus, error) {
	s, err := r.cfg.Controller.Hold(ctx, t, term)
	if err != nil || !s.IsPrimary || s.Term+1 >= term {
		return s, err
	}
	if s, err = r.cfg.Controller.Demote(ctx, t, term); err != nil {
		return s, err
	}
	return r.cfg.Controller.Hold(ctx, t, term)
}

// covering returns the candidates that hold all entries of the old primary up to its position, and
// therefore every commit that it acknowledged. The old primary itself is one of them.
func covering(candidates []candidate, oldPrimary tokenizer.Position) []candidate {
	return slices.DeleteFunc(candidates, func(c candidate) bool { return !c.received.Covers(oldPrimary) })
}

// callWithRetry sends a control command to an instance, and repeats it for up to twice commandTimeout while
// the instance refuses it as overloaded.
func (r *Replacer) callWithRetry(ctx context.Context, v registrar.View, command func(context.Context, carrier.Target) (carrier.InstanceStatus, error)) (carrier.InstanceStatus, error) {
	deadline := time.Now().Add(2 * commandTimeout)
	for {
		callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
		s, err := command(callCtx, registrar.NewTarget(v.Instance))
		cancel()
		isBusy := classifier.Is(err, classifier.Overloaded) || classifier.Is(err, classifier.TooManyConnections)
		if !isBusy || time.Now().After(deadline) || !sleeper.Sleep(ctx, 10*time.Millisecond) {
			return s, err
		}
	}
}

// choose returns the candidate with the newest position. Among equal ones it prefers the choice of an
// earlier attempt, then an instance that is not leaving, then a replica over the old primary, then the
// first by identity, so that VMs with the same answers make the same choice.
func choose(candidates []candidate, earlierChoice string) (string, error) {
	if len(candidates) == 0 {
		return "", classifier.New(classifier.NoInstance, "no instance to promote: the group has no replica")
	}
	best := slices.MaxFunc(candidates, func(a, b candidate) int {
		return cmp.Or(a.received.Compare(b.received), compareBool(a.id == earlierChoice, b.id == earlierChoice), compareBool(b.isLeaving, a.isLeaving), compareBool(b.isOldPrimary, a.isOldPrimary), cmp.Compare(b.id, a.id))
	})
	return best.id, nil
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
