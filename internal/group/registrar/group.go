package registrar

import (
	"sync"
	"time"

	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/witness"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// latencyWeight is the weight of the latest latency in the moving average.
const latencyWeight = 0.15

// Group is a set of instances with one primary.
type Group struct {
	name          string
	clock         Clock
	firstUpdateAt time.Duration // on clock; zero: no instance is known yet
	observe       func(PrimaryChange)
	Samples       *witness.Witness // positions of proven primaries and their times

	mu               sync.Mutex
	instances        map[string]*instanceState // by identity
	primary          Primary
	latestPrimary    string                // the known primary, or else the one that was known last
	latestTerm       uint64                // highest term in which latestPrimary proved to be the primary; zero: it did not, or restarted since
	lead             lead                  // the latest one that a primary has proved
	departure        departure             // the latest departure of a replica
	assumption       assumption            // that a replica left without this VM seeing it
	passedOn         tokenizer.Position    // newest one of the primary at an acknowledgement that this VM passed on, and that no known replica had received; zero: none
	seals            map[string]activeSeal // the latest of each VM
	latestAck        acknowledgement       // with the newest position among those that this VM passed on
	firstProof       tokenizer.Position    // the first position that a primary has proved; zero: none yet
	registryPrimary  string                // instance that the registry names instead of the known primary; "": none
	noPrimarySince   time.Time             // when the last primary became unknown; zero: a primary is known or there was none yet
	unansweredWrites int                   // unanswered writes since the last answered one, or since the primary or its term changed
	stalledAt        time.Time             // when the first of them was recorded
	restoredAt       time.Time             // when the VM read the registry of a restored store; zero: it didn't
	changed          chan struct{}         // closed and replaced at each change of the instances or the primary
}

type instanceState struct {
	View
	missingAt   time.Time // when the registry entry was first found missing; zero: it is present
	primaryTerm uint64    // highest term of which it has reported to be the primary

	seenAt   time.Time          // when its start was first seen
	received tokenizer.Position // newest entry that it has reported to hold, applied or not
}

// View is what a VM knows about an instance.
type View struct {
	cataloger.Instance
	LeavingAt time.Time // when the VM learned that the instance is leaving

	Position   tokenizer.Position // newest position that it has reported
	Latency    time.Duration      // moving average over statements; zero before the first one
	AnsweredAt time.Time          // when it last answered
	Lag        time.Duration      // lower bound of its lag behind the primary at its last answer with a position
	ReadSentAt time.Time          // when the last read was sent to it

	Failures     int       // failed dials, unanswered requests and broken connections since the last answer
	FailedAt     time.Time // time of the first of them
	LastFailedAt time.Time // time of the last failure

	RefusedFloor tokenizer.Position // lowest floor that it refused since BehindSince, because it had not applied it
	RefusedAt    time.Time          // time of the latest such refusal
	BehindSince  time.Time          // time of the first such refusal; zero: none, or it has reached RefusedFloor since
	OverloadedAt time.Time          // when it last refused a request because of overload

	Outcomes pacer.Window // recent outcomes of statements, with those that this VM passed on for others as a gateway
	ProbedAt time.Time    // when a gateway last let a read of another VM pass although it avoids the instance
}

// Name returns the group's name.
func (g *Group) Name() string { return g.name }

// Primary returns the primary as far as it is known.
func (g *Group) Primary() Primary {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// FormerPrimary returns the instance that was the primary of a term and is not known to have restarted since, and the newest
// position that it has reported. It returns "" if there is none. Unless it has lost its log, that holds every commit that
// was acknowledged in the term.
func (g *Group) FormerPrimary(term uint64) (id string, p tokenizer.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.instances[g.latestPrimary]
	if !ok || term == 0 || g.latestTerm != term {
		return "", tokenizer.Position{}
	}
	return g.latestPrimary, s.Position
}

// Changed returns a channel that is closed at the next change of the instances or the primary.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Views returns all known instances, in no particular order.
func (g *Group) Views() []View {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]View, 0, len(g.instances))
	for _, s := range g.instances {
		list = append(list, s.View)
	}
	return list
}

// View returns an instance and reports whether it is known.
func (g *Group) View(id string) (View, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.instances[id]
	if !ok {
		return View{}, false
	}
	return s.View, true
}

// update applies the group's registry entries. Instances without an entry stay known until RemoveMissing removes them.
func (g *Group) update(entries []cataloger.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.firstUpdateAt == 0 {
		g.firstUpdateAt = g.clock()
		g.assumption.since = g.firstUpdateAt
	}
	present := map[string]bool{}
	isChanged := false
	for _, i := range entries {
		present[i.ID] = true
		isChanged = g.applyEntry(i) || isChanged
	}
	now := time.Now()
	for id, s := range g.instances {
		if present[id] {
			continue
		}
		if s.missingAt.IsZero() {
			s.missingAt = now
		}
	}
	if isChanged {
		g.notifyChange()
	}
}

// applyEntry applies a registry entry. It reports whether the instance is new, has restarted, or differs in address,
// role or leaving state.
func (g *Group) applyEntry(i cataloger.Instance) bool {
	returned := g.recordArrival(i)
	s, ok := g.instances[i.ID]
	if !ok || s.StartedAtMs != i.StartedAtMs || s.Address != i.Address {
		if ok {
			g.recordDeparture(s)
		}
		s = &instanceState{View: View{Instance: i}, seenAt: time.Now()}
		if returned != nil {
			s.received, s.Position = returned.received, returned.Position
		}
		g.instances[i.ID] = s
		if i.IsPrimary {
			g.recordRegistryPrimary(i.ID)
		}
		g.updateLeavingAt(s)
		return true
	}
	s.missingAt = time.Time{}
	old := s.Instance
	s.Instance = i
	if i.IsPrimary && !old.IsPrimary {
		g.recordRegistryPrimary(i.ID)
	}
	g.updateLeavingAt(s)
	return old.IsPrimary != i.IsPrimary || old.IsLeaving != i.IsLeaving
}

// updateLeavingAt records when an instance was first seen as leaving, and clears the time if it is not leaving.
func (g *Group) updateLeavingAt(s *instanceState) {
	switch {
	case !s.IsLeaving:
		s.LeavingAt = time.Time{}
	case s.LeavingAt.IsZero():
		s.LeavingAt = time.Now()
	}
}

// recordRegistryPrimary handles the registry's claim that an instance is the primary. While another primary
// is known, the claim may be out of date, so the instance is only noted to be probed.
func (g *Group) recordRegistryPrimary(id string) {
	switch g.primary.Instance {
	case id:
	case "":
		g.setPrimary(id)
	default:
		g.registryPrimary = id
	}
}

// setPrimary sets the primary, "" if it is unknown. It discards the registry primary and the count of unanswered writes.
func (g *Group) setPrimary(id string) {
	g.primary.Instance = id
	if id != "" && id != g.latestPrimary {
		g.latestPrimary, g.latestTerm = id, 0
	}
	g.registryPrimary = ""
	g.primary.Since = time.Now()
	g.unansweredWrites = 0
	g.noPrimarySince = time.Time{}
	if id == "" {
		g.noPrimarySince = g.primary.Since
	}
	g.notifyChange()
}

// losePrimary makes the known primary unknown.
func (g *Group) losePrimary(reason LossReason) {
	g.observe(PrimaryChange{Group: g.name, Instance: g.primary.Instance, LastTerm: g.latestTerm, Term: g.primary.Term, Reason: reason})
	g.setPrimary("")
}

func (g *Group) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// RemoveMissing removes the instances whose registry entries have been missing for missingRetention, and returns their identities.
func (g *Group) RemoveMissing() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var removed []string
	if !g.restoredAt.IsZero() && time.Since(g.restoredAt) < restoredRetention {
		return nil
	}
	for id, s := range g.instances {
		if s.missingAt.IsZero() || time.Since(s.missingAt) < missingRetention {
			continue
		}
		delete(g.instances, id)
		g.recordSilence(s)
		removed = append(removed, id)
		if g.primary.Instance == id {
			g.losePrimary(LossRemoved)
		}
	}
	return removed
}

// LeadTerm returns the highest term in which an instance has proved to be the primary, and zero if it has not, has restarted
// since, or is not the latest instance that did.
func (g *Group) LeadTerm(id string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.latestPrimary != id {
		return 0
	}
	return g.latestTerm
}

// NewestTerm returns the highest term that any instance has reported, or of which it has reported an entry.
func (g *Group) NewestTerm() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	term := g.primary.Term
	for _, s := range g.instances {
		term = max(term, s.Position.Term, s.received.Term)
	}
	return term
}

// RecordProof records a proof that an instance is the primary. It ignores proofs of unknown instances and of
// terms below the highest seen one, and returns false for them.
func (g *Group) RecordProof(p Proof) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.recordRole(p) {
		return false
	}
	g.recordAssumedSample(p)
	g.recordDepartureSample(p)
	g.Samples.Add(p.SentAt, g.clock(), p.Position)
	return true
}

// RecordSample records a position that another VM has a proof for: the primary held it at sentAt, on the registrar's clock, or
// later.
func (g *Group) RecordSample(sentAt time.Duration, p tokenizer.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordAssumedSample(Proof{SentAt: sentAt, Position: p})
	g.recordDepartureSample(Proof{SentAt: sentAt, Position: p})
	g.Samples.Add(sentAt, g.clock(), p)
}

// Sample returns a position that a primary has proved to hold at most maxAge ago, and its age. It returns false if none is
// known. The oldest such position is the one that replicas are the most likely to have applied.
func (g *Group) Sample(maxAge time.Duration) (p tokenizer.Position, age time.Duration, ok bool) {
	now := g.clock()
	s, ok := g.Samples.OldestSince(now - maxAge)
	return s.Position, now - s.SentAt, ok
}

// RecordRole records an answer that only a primary gives, on a platform where a replaced primary may give it, too. Unlike
// a proof, it yields no sample of the primary's position.
func (g *Group) RecordRole(p Proof) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordRole(p)
}

// recordRole makes an instance the known primary, and reports whether its answer is of the highest seen term. A primary
// without an entry of its term yet has a position of an earlier one, but may have reported its term.
func (g *Group) recordRole(p Proof) bool {
	s, ok := g.instances[p.Instance]
	if !ok {
		return false
	}
	term := max(p.Position.Term, s.primaryTerm)
	if term < g.primary.Term {
		return false
	}
	if term > g.primary.Term {
		g.unansweredWrites = 0 // unanswered writes of an earlier term do not indicate a stall in this one
	}
	g.primary.Term = term
	s.Position = s.Position.Max(p.Position)
	g.lead = g.lead.withProof(p.Instance, term, s.primaryTerm, p.Position)
	isNew := g.primary.Instance != p.Instance || g.latestTerm != term
	if isNew {
		g.lowerFloors(term, p.Position)
	}
	if g.primary.Instance != p.Instance {
		g.setPrimary(p.Instance)
	}
	if isNew {
		c := PrimaryChange{Group: g.name, Instance: p.Instance, LastTerm: g.latestTerm, Term: term, Position: p.Position}
		g.observe(c.withAcknowledgement(g.latestAck))
	}
	g.latestTerm = term
	return true
}

// lowerFloors lowers the floors that the primary of a later term does not hold to its position. The promotion has rolled back what is
// beyond that, so that no instance will reach them.
func (g *Group) lowerFloors(term uint64, p tokenizer.Position) {
	lower := func(floor tokenizer.Position) tokenizer.Position {
		if floor.Term < term && !p.IsZero() && !p.Covers(floor) {
			return p
		}
		return floor
	}
	for _, floor := range []*tokenizer.Position{&g.firstProof, &g.assumption.floor, &g.assumption.rosterFloor, &g.departure.floor, &g.passedOn} {
		*floor = lower(*floor)
	}
	for m, s := range g.departure.silent {
		s.floor, s.provedFloor = lower(s.floor), lower(s.provedFloor)
		g.departure.silent[m] = s
	}
}

// SuggestPrimary makes an instance the known primary while none is known. Like that of the registry, the suggestion proves
// nothing.
func (g *Group) SuggestPrimary(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.instances[id]; ok && g.primary.Instance == "" {
		g.setPrimary(id)
	}
}

// RecordDenial records that an instance has denied being the primary.
func (g *Group) RecordDenial(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registryPrimary == id {
		g.registryPrimary = ""
	}
	if g.primary.Instance == id {
		g.losePrimary(LossDenied)
	}
}

// RecordStatus records the state that an instance reported. The primary of the highest term is the known primary, even if
// it has no entry of that term yet.
func (g *Group) RecordStatus(id string, status carrier.InstanceStatus) {
	g.RecordTerm(max(status.Term, status.Received.Term))
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.instances[id]
	if !ok || !status.IsPrimary {
		return
	}
	s.primaryTerm = max(s.primaryTerm, status.Term)
	g.recordRole(Proof{Instance: id, Position: status.Received})
}

// RecordTerm records a term that an instance reported. A known primary of a lower term has been replaced
// and is dropped, even if its successor is not known yet. A primary whose term is not known yet is kept.
func (g *Group) RecordTerm(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term <= g.primary.Term {
		return
	}
	isReplaced := g.primary.Term > 0 && g.primary.IsKnown()
	g.primary.Term = term
	if isReplaced {
		g.losePrimary(LossLaterTerm)
	}
}

// RecordAnswer records that an instance at position p answered, and how long the answer took. A zero p or took means
// that the value is unknown.
func (g *Group) RecordAnswer(id string, p tokenizer.Position, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.instances[id]
	if !ok {
		return
	}
	s.Position = s.Position.Max(p)
	if !p.IsZero() {
		s.Lag = g.lagOf(id, p)
	}
	if s.Position.Covers(s.RefusedFloor) {
		s.BehindSince, s.RefusedAt = time.Time{}, time.Time{}
	}
	s.Failures = 0
	s.FailedAt = time.Time{}
	s.AnsweredAt = time.Now()
	if took <= 0 {
		return
	}
	if s.Latency == 0 {
		s.Latency = took
		return
	}
	s.Latency += time.Duration(latencyWeight * float64(took-s.Latency))
}

// lagOf returns a lower bound of the time for which the primary has held entries that an instance at p
// lacks. It is zero when no missing entry is known.
func (g *Group) lagOf(id string, p tokenizer.Position) time.Duration {
	if id == g.primary.Instance {
		return 0
	}
	passedAt, ok := g.Samples.PassedAt(p)
	if !ok {
		return 0
	}
	return max(0, g.clock()-passedAt)
}

// RecordReadSent records that a read is being sent to an instance.
func (g *Group) RecordReadSent(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.instances[id]; ok {
		s.ReadSentAt = time.Now()
	}
}

// FloorAge returns an upper bound of the time for which the primary has held a position. It is zero when no sample
// covers the position.
func (g *Group) FloorAge(p tokenizer.Position) time.Duration {
	reachedAt, ok := g.Samples.ReachedAt(p)
	if !ok {
		return 0
	}
	return g.clock() - reachedAt
}

// RecordFailure records that an instance could not be reached, did not answer a request or broke a connection.
func (g *Group) RecordFailure(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.instances[id]
	if !ok {
		return
	}
	s.LastFailedAt = time.Now()
	if s.Failures == 0 {
		s.FailedAt = s.LastFailedAt
	}
	s.Failures++
	s.Outcomes = s.Outcomes.WithOutcome(s.LastFailedAt, false)
}

// RecordOutcome records whether an instance executed a statement that it answered. It is used only to compare the instances
// of the group, not to replace a primary.
func (g *Group) RecordOutcome(id string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, known := g.instances[id]; known {
		s.Outcomes = s.Outcomes.WithOutcome(time.Now(), ok)
	}
}

// RecordProbe records that a read of another VM is let pass to an instance that is avoided. It returns false if another one was
// let pass less than interval ago.
func (g *Group) RecordProbe(id string, interval time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := g.instances[id]
	if !known || time.Since(s.ProbedAt) < interval {
		return false
	}
	s.ProbedAt = time.Now()
	return true
}

// RecordRefusal records that an instance refused a request with an error of kind k. Only the kinds replicaBehind, for
// which floor is the position that the read required, and overloaded have an effect.
func (g *Group) RecordRefusal(id string, k classifier.Kind, floor tokenizer.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.instances[id]
	if !ok {
		return
	}
	now := time.Now()
	switch k {
	case classifier.ReplicaBehind:
		if s.BehindSince.IsZero() {
			s.BehindSince, s.RefusedFloor = now, floor
		}
		if !floor.Covers(s.RefusedFloor) {
			s.RefusedFloor = floor
		}
		s.RefusedAt = now
	case classifier.Overloaded:
		s.OverloadedAt = now
	}
}

// RecordUnansweredWrite records that the primary did not answer a write.
func (g *Group) RecordUnansweredWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unansweredWrites == 0 {
		g.stalledAt = time.Now()
	}
	g.unansweredWrites++
}

// RecordAnsweredWrite records that the primary answered a write.
func (g *Group) RecordAnsweredWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unansweredWrites = 0
}

// Health is the state of a group on which a decision to replace its primary is based.
type Health struct {
	Primary          Primary
	NoPrimarySince   time.Time // when the last primary became unknown; zero: a primary is known or there was none yet
	PrimaryView      View      // zero while no primary is known
	UnansweredWrites int       // unanswered writes since the last answered one, or since the primary or its term changed
	StalledAt        time.Time // when the first of them was recorded
	AbandonedSince   time.Time // since when no VM has worked at the end of the term although a promote request may be carried out; zero: there is none
	Instances        int       // number of known instances
	RegistryPrimary  string    // instance that the registry names instead of the known primary; "": none
}

// Health returns the present state of the group and its primary.
func (g *Group) Health() Health {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := Health{Primary: g.primary, NoPrimarySince: g.noPrimarySince, UnansweredWrites: g.unansweredWrites, StalledAt: g.stalledAt, AbandonedSince: g.abandonedSince(), Instances: len(g.instances), RegistryPrimary: g.registryPrimary}
	if s, ok := g.instances[g.primary.Instance]; ok {
		h.PrimaryView = s.View
	}
	return h
}

// Now returns the time on the registrar's clock, which continues to run while the VM is suspended.
func (g *Group) Now() time.Duration { return g.clock() }

// ProofAge returns the time since the request for the newest proof of a primary was sent, and
// reports whether there is a proof.
func (g *Group) ProofAge() (time.Duration, bool) {
	s := g.Samples.Newest()
	return g.clock() - s.SentAt, s.SentAt > 0
}
