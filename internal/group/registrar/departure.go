package registrar

import (
	"time"

	"parsleyscale/internal/session/tokenizer"
)

// departure records that a replica has left the group, or has restarted and may have lost its log. The commits that
// only this replica had received, and thereby allowed the primary to acknowledge, may now be on the primary alone.
type departure struct {
	isSet bool
	at    time.Duration      // when the latest one was noticed, on the registrar's clock
	floor tokenizer.Position // covers every commit acknowledged before at; zero while it is not known

	// silent holds the replicas that have gone missing and may go on receiving entries, each with the time until which it
	// may, or the zero time without a limit. Until then, the floor rises with each commit that this VM passes on. What other VMs passed on
	// until then is covered once a primary has proved its position after that time.
	silent map[string]time.Time
}

// maxStopTime is how long after the notice of its stop an instance may go on receiving entries. Its registry entry may have
// expired long before, if it is cut off from the store.
const maxStopTime = 30 * time.Second

// firstEntryTime is the longest time until a new replica holds its first entry.
const firstEntryTime = 10 * time.Second

// recordDeparture records that an instance has left or restarted. A primary is not a replica: each of its commits was
// acknowledged by one.
func (g *Group) recordDeparture(s *instanceState) {
	if s.ID == g.latestPrimary {
		g.latestTerm = 0
		return
	}
	silent := g.departure.silent
	if !s.missingAt.IsZero() {
		if silent == nil {
			silent = map[string]time.Time{}
		}
		silent[s.ID] = time.Time{}
		if s.IsLeaving {
			silent[s.ID] = s.LeavingAt.Add(maxStopTime)
		}
	}
	g.departure = departure{isSet: true, at: g.clock(), silent: silent}
}

// recordArrival records that an instance is in the registry. A silent replica that is back is asked like all others.
func (g *Group) recordArrival(id string) { delete(g.departure.silent, id) }

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

// recordDepartureSample completes the floor of the latest departure from the position of a proven primary, and ends the silence of the replicas
// that could no longer receive entries when it was proved: it covers all that they received.
func (g *Group) recordDepartureSample(p Proof) {
	d := &g.departure
	if !d.isSet || p.SentAt < d.at {
		return
	}
	if d.floor.IsZero() {
		d.floor = p.Position
	}
	sentAt := time.Now().Add(p.SentAt - g.clock())
	for id, until := range d.silent {
		if !until.IsZero() && !sentAt.Before(until) {
			d.floor = d.floor.Max(p.Position)
			delete(d.silent, id)
		}
	}
}

// hasSilenceEnded reports whether there is a silent replica that can no longer receive entries.
func (d *departure) hasSilenceEnded() bool {
	for _, until := range d.silent {
		if !until.IsZero() && !time.Now().Before(until) {
			return true
		}
	}
	return false
}

// raiseFloors raises the floors of departures after which a replica may go on receiving entries to the position of the primary at an
// acknowledgement that this VM passes on now. The caller holds g.mu.
func (g *Group) raiseFloors(p tokenizer.Position) {
	g.assumption.raiseFloor(p, g.clock())
	if d := &g.departure; d.mayReceive() && !d.floor.IsZero() {
		d.floor = d.floor.Max(p)
	}
}

// mayReceive reports whether a missing replica may go on receiving entries.
func (d *departure) mayReceive() bool {
	for _, until := range d.silent {
		if until.IsZero() || time.Now().Before(until) {
			return true
		}
	}
	return false
}

// IsCoveredDespiteDepartures reports whether a replica that has received the log up to p holds every commit for which the
// primary may have counted a replica that has left since. areAllTold states that RecordReport was called with a complete report.
func (g *Group) IsCoveredDespiteDepartures(p tokenizer.Position, areAllTold bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	isDepartureMet := !g.departure.isSet || !g.departure.floor.IsZero() && p.Covers(g.departure.floor)
	return isDepartureMet && g.assumption.isMet(p, areAllTold)
}

// Departure reports whether a replica has left, and returns the floor of the latest departure, zero while it is not known,
// and the number of replicas that have gone missing without a notice.
func (g *Group) Departure() (floor tokenizer.Position, silent int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.departure.floor, len(g.departure.silent), g.departure.isSet
}

// NeedsDepartureSample reports whether the primary has to prove its position to complete the floor of a departure.
func (g *Group) NeedsDepartureSample() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	isOpen := g.departure.isSet && g.departure.floor.IsZero() || g.departure.hasSilenceEnded()
	return isOpen || g.assumption.needsFinalFloor(g.clock())
}
