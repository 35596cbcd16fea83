package tracker

import "time"

const (
	directWindow = 10 * time.Second // in which a direct observation counts
	relayWindow  = 30 * time.Second // in which a report of peers counts
	leaveWindow  = time.Minute      // in which a VM's own announcement to leave counts
	aliveSlack   = 5 * time.Second  // by which a report of death must be newer than one of life
	deadAfter    = 2                // failed calls in succession
	forgetAfter  = 2 * leaveWindow  // without any evidence
)

// evidence is what is known about a VM. Times are local; zero stands for never.
type evidence struct {
	said     State // by the VM itself, Live or Leaving
	saidAt   time.Time
	goodAt   time.Time // last good call
	failedAt time.Time // last failed call
	failures int       // since the last good call
	peer     State     // Live or Leaving, as peers report it
	peerAt   time.Time // when a peer last heard the VM itself
	deadAt   time.Time // when a peer last failed to reach the VM
	listed   State     // in the platform's list; "" when not in it
}

func within(now, t time.Time, window time.Duration) bool {
	return !t.IsZero() && now.Sub(t) <= window
}

// failing reports whether calls to the VM fail. A message from the VM does not
// end this, because it may reach us without being reachable; only a good call does.
func (e evidence) failing(now time.Time) bool {
	return e.failures >= deadAfter && within(now, e.failedAt, directWindow)
}

// believe derives the state of a VM from the evidence; "" stands for unknown.
// Direct observation within its window comes first, then peers, then the list.
func believe(e evidence, now time.Time) State {
	switch {
	case e.failing(now):
		return Dead
	case within(now, e.heardAt(), directWindow):
		return e.aliveState(now)
	}
	alive, dead := within(now, e.peerAt, relayWindow), within(now, e.deadAt, relayWindow)
	switch {
	// A VM that only some peers cannot reach is alive, so a report of life
	// loses only to a clearly newer one of death.
	case alive && (!dead || e.deadAt.Sub(e.peerAt) < aliveSlack):
		return e.peer
	case dead:
		return Dead
	}
	if e.listed == Live && e.leaving(now) {
		return Leaving
	}
	return e.listed
}

// heardAt is when the VM last answered or sent a message.
func (e evidence) heardAt() time.Time {
	if e.saidAt.After(e.goodAt) {
		return e.saidAt
	}
	return e.goodAt
}

func (e evidence) leaving(now time.Time) bool {
	return e.said == Leaving && within(now, e.saidAt, leaveWindow)
}

// aliveState is the state of a VM that answers. An answer alone does not tell
// whether the VM is leaving.
func (e evidence) aliveState(now time.Time) State {
	switch {
	case e.leaving(now):
		return Leaving
	case within(now, e.saidAt, directWindow):
		return e.said
	case within(now, e.peerAt, relayWindow):
		return e.peer
	case e.listed == Leaving:
		return Leaving
	}
	return Live
}

// contested reports whether other VMs must hear of this VM, because the list
// alone would mislead them.
func (e evidence) contested(now time.Time) bool {
	return believe(e, now) != e.listed || within(now, e.deadAt, relayWindow) || within(now, e.failedAt, relayWindow)
}

// stale reports whether nothing is left that speaks of the VM.
func (e evidence) stale(now time.Time) bool {
	for _, t := range []time.Time{e.saidAt, e.goodAt, e.failedAt, e.peerAt, e.deadAt} {
		if within(now, t, forgetAfter) {
			return false
		}
	}
	return e.listed == ""
}

// report is the state to tell peers, with the time when it was observed.
func (e evidence) report(now time.Time) (State, time.Time) {
	state := believe(e, now)
	switch {
	case state == Dead && e.failing(now):
		return state, e.failedAt
	case state == Dead:
		return state, e.deadAt
	case within(now, e.heardAt(), directWindow):
		return state, e.heardAt()
	}
	return state, e.peerAt
}
