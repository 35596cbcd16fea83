package registrar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

// departure records that replicas have left the group, or have restarted and may have lost their logs. The commits that
// only such a replica had received, and thereby allowed the primary to acknowledge, may now be on the primary alone.
type departure struct {
	isSet bool               // for a replica that is not silent
	at    time.Duration      // when the latest one was noticed, on the registrar's clock
	floor tokenizer.Position // covers every commit acknowledged before at; zero while it is not known

	silent map[Member]silence // at most maxSilent
}

// maxSilent bounds the silent replicas of a group. Beyond that, the one that has been silent for the longest time counts as gone.
const maxSilent = MaxMembers

// silence is that of a replica that has gone missing and may go on receiving entries. If it comes back without a restart, it has not
// departed.
type silence struct {
	at       time.Duration // when it was noticed, on the registrar's clock
	until    time.Time     // until when the replica may receive entries; zero: without a limit
	instance instanceState // what was known of the replica
	// floor covers every commit acknowledged before at; zero while it is not known. Until the silence ends, it rises with each commit that this
	// VM passes on. What other VMs passed on until then is covered once a primary has proved its position after that time.
	floor tokenizer.Position
	// provedFloor is the floor before it rose.
	provedFloor tokenizer.Position
}

// isLogKept reports whether a replica that holds the log up to p has not lost its log meanwhile.
func (s silence) isLogKept(p tokenizer.Position) bool {
	return !s.provedFloor.IsZero() && p.Covers(s.provedFloor.Max(s.instance.received).Max(s.instance.Position))
}

// mayReceive reports whether the replica may go on receiving entries.
func (s silence) mayReceive() bool { return s.until.IsZero() || time.Now().Before(s.until) }

// withFloor raises a floor that is known.
func (s silence) withFloor(p tokenizer.Position) silence {
	if !s.floor.IsZero() {
		s.floor = s.floor.Max(p)
	}
	return s
}

// maxStopTime is how long after the notice of its stop an instance may go on receiving entries. Its registry entry may have
// expired long before, if it is cut off from the store.
const maxStopTime = 30 * time.Second

// firstEntryTime is the longest time until a new replica holds its first entry.
const firstEntryTime = 10 * time.Second

// recordDeparture records that an instance has restarted or lost its log. A primary is not a replica: each of its commits was
// acknowledged by one.
func (g *Group) recordDeparture(s *instanceState) {
	if s.ID == g.latestPrimary {
		g.latestTerm = 0
		return
	}
	d := &g.departure
	d.isSet, d.at, d.floor = true, g.clock(), tokenizer.Position{}
}

// recordSilence records that an instance has gone missing.
func (g *Group) recordSilence(s *instanceState) {
	if s.ID == g.latestPrimary {
		g.latestTerm = 0
		return
	}
	silent := silence{at: g.clock(), instance: *s}
	if s.IsLeaving {
		silent.until = s.LeavingAt.Add(maxStopTime)
	}
	d := &g.departure
	if d.silent == nil {
		d.silent = map[Member]silence{}
	}
	if len(d.silent) == maxSilent {
		d.endLongestSilence()
	}
	d.silent[Member{ID: s.ID, StartedAtMs: s.StartedAtMs}] = silent
}

// recordArrival records that an instance is in the registry. If it was silent and has not restarted, it is asked like all others, and
// recordArrival returns what was known of it. If it has restarted, it received nothing afterwards that counts for its earlier log.
func (g *Group) recordArrival(i cataloger.Instance) *instanceState {
	var returned *instanceState
	for m, s := range g.departure.silent {
		switch {
		case m.ID != i.ID:
		case m.StartedAtMs == i.StartedAtMs:
			returned = &s.instance
			delete(g.departure.silent, m)
		case s.mayReceive():
			s.until = time.Now()
			g.departure.silent[m] = s
		}
	}
	return returned
}

// endLongestSilence ends the silence of the replica that has been silent for the longest time.
func (d *departure) endLongestSilence() {
	members := slices.Collect(maps.Keys(d.silent))
	longest := slices.MinFunc(members, func(a, b Member) int { return cmp.Compare(d.silent[a].at, d.silent[b].at) })
	d.add(d.silent[longest])
	delete(d.silent, longest)
}

// add adds the departure of a replica whose silence has ended.
func (d *departure) add(s silence) {
	if !d.isSet || !d.floor.IsZero() {
		d.floor = d.floor.Max(s.floor)
	}
	d.isSet, d.at = true, max(d.at, s.at)
}

// RecordReceived records the newest entry that a replica holds by its own report, before the end of a term. Within a term,
// no replica gives up an entry, unless it restarts without its log. Its registry entry shows that only once it is written. If
// the VM does not know its earlier position, it has lost its log if it holds nothing firstEntryTime after it was first seen.
func (g *Group) RecordReceived(id string, p tokenizer.Position, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.instances[id]
	if !ok {
		return
	}
	known := s.received.Max(s.Position)
	hasLess := known.Term == term && !p.Covers(known)
	isEmpty := p.Index == 0 && g.Samples.Newest().Position.Index > 0 && time.Since(s.seenAt) > firstEntryTime
	if hasLess || isEmpty {
		g.recordDeparture(s)
		s.Position, s.seenAt = p, time.Now()
	}
	s.received = p
}

// recordDepartureSample completes the floors of departures from the position of a proven primary, and ends the silence of the replicas
// that could no longer receive entries when it was proved: it covers all that they received.
func (g *Group) recordDepartureSample(p Proof) {
	d := &g.departure
	if d.isSet && d.floor.IsZero() && p.SentAt >= d.at {
		d.floor = p.Position
	}
	sentAt := time.Now().Add(p.SentAt - g.clock())
	for m, s := range d.silent {
		if p.SentAt < s.at {
			continue
		}
		if s.floor.IsZero() {
			s.floor, s.provedFloor = p.Position, p.Position
		}
		d.silent[m] = s
		if !s.until.IsZero() && !sentAt.Before(s.until) {
			delete(d.silent, m)
			d.add(s.withFloor(p.Position))
		}
	}
}

// needsSample reports whether the primary has to prove its position to complete a floor, or to end a silence.
func (d *departure) needsSample() bool {
	for _, s := range d.silent {
		if s.floor.IsZero() || !s.mayReceive() {
			return true
		}
	}
	return d.isSet && d.floor.IsZero()
}

// highestFloor returns the position that a new primary must hold, or the zero position if none is known. It reports whether all floors are
// known. That of a silent replica which is held is its newest entry.
func (d *departure) highestFloor(held map[Member]tokenizer.Position) (p tokenizer.Position, areKnown bool) {
	p, areKnown = d.floor, !d.isSet || !d.floor.IsZero()
	for m, s := range d.silent {
		if received, ok := held[m]; ok {
			p = p.Max(received)
			continue
		}
		p, areKnown = p.Max(s.floor), areKnown && !s.floor.IsZero()
	}
	return p, areKnown
}

// mayReceive reports whether a silent replica may go on receiving entries.
func (d *departure) mayReceive() bool {
	for _, s := range d.silent {
		if s.mayReceive() {
			return true
		}
	}
	return false
}

// raiseFloors raises the floors of departures after which a replica may go on receiving entries to the position of the primary at an
// acknowledgement that this VM passes on now. The caller holds g.mu.
func (g *Group) raiseFloors(p tokenizer.Position) {
	g.assumption.raiseFloor(p, g.clock())
	for m, s := range g.departure.silent {
		if s.mayReceive() {
			g.departure.silent[m] = s.withFloor(p)
		}
	}
}

// SilentReplicas returns the replicas that have gone missing and may go on receiving entries, as they were known last.
func (g *Group) SilentReplicas() []View {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []View
	for _, s := range g.departure.silent {
		if s.mayReceive() {
			list = append(list, s.instance.View)
		}
	}
	return list
}

// MayReceiveUnheld reports whether a replica that has gone missing may go on receiving entries and is not held.
func (g *Group) MayReceiveUnheld(held map[Member]tokenizer.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for m, s := range g.departure.silent {
		if _, ok := held[m]; !ok && s.mayReceive() {
			return true
		}
	}
	return false
}

// KeptLogs returns those of the silent replicas that have not lost their logs, of some that are held and thus receive no more, with their newest
// entries.
func (g *Group) KeptLogs(held map[Member]tokenizer.Position) map[Member]tokenizer.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := map[Member]tokenizer.Position{}
	for m, p := range held {
		if s, ok := g.departure.silent[m]; ok && s.isLogKept(p) {
			kept[m] = p
		}
	}
	return kept
}

// IsCoveredDespiteDepartures reports whether a replica that has received the log up to p holds every commit for which a
// primary may have counted a replica that has left since, or has become the primary itself. areAllTold states that RecordReport was called with a complete report.
// Held is as returned by KeptLogs.
func (g *Group) IsCoveredDespiteDepartures(p tokenizer.Position, areAllTold bool, held map[Member]tokenizer.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	floor, areKnown := g.departure.highestFloor(held)
	return areKnown && p.Covers(floor) && p.Covers(g.lead.inherited) && g.assumption.isMet(p, areAllTold)
}

// Departure reports whether a replica has left, and returns the position that a new primary must hold therefore, zero while it is not
// known, and the number of replicas that have gone missing and may go on receiving entries.
func (g *Group) Departure() (floor tokenizer.Position, silent int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	floor, areKnown := g.departure.highestFloor(nil)
	if !areKnown {
		floor = tokenizer.Position{}
	}
	silent = len(g.departure.silent)
	return floor, silent, g.departure.isSet || silent > 0
}

// NeedsDepartureSample reports whether the primary has to prove its position to complete the floor of a departure.
func (g *Group) NeedsDepartureSample() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.departure.needsSample() || g.assumption.needsFinalFloor(g.clock())
}
