package allotter

import (
	"math"
	"time"
)

const (
	// heldDecay is the time constant with which the time for which a team held connections is forgotten. It covers the
	// longest time for which requests usually wait, so that a team is not preferred again during the same overload.
	heldDecay = time.Second
	// returnDecay is the time constant with which the uses of a scope's connections are forgotten. It is half of
	// DefaultIdleTimeout.
	returnDecay = 10 * time.Second
	// loadDecay is the time constant of the mean number of connections that a team has in use. Over a shorter time, a
	// single slow statement would count as high load.
	loadDecay = 10 * time.Second
	// minReturnsPerSecond is the rate below which a scope counts as unused.
	minReturnsPerSecond = 0.01
	// minHeld is the time in seconds below which a team counts as not having held connections.
	minHeld = 1e-2
)

// scopeUse describes the connections of a scope and how often they are used.
type scopeUse struct {
	open    int // in use, idle, idle in a transaction or being dialed
	dialing int
	// noDialUntil is the end of a pause after a failed dial, in which other scopes can dial. The connections of this scope
	// that are open serve its requests meanwhile.
	noDialUntil time.Time

	returns   float64 // uses, decayed with returnDecay since returnsAt
	returnsAt time.Time
}

// recordReturn records that a request got a connection of the scope.
func (u *scopeUse) recordReturn(now time.Time) {
	u.returns = u.returns*decay(now.Sub(u.returnsAt), returnDecay) + 1
	u.returnsAt = now
}

// returnsPerSecond returns the rate at which requests get connections of the scope.
func (u *scopeUse) returnsPerSecond(now time.Time) float64 {
	return u.returns * decay(now.Sub(u.returnsAt), returnDecay) / returnDecay.Seconds()
}

// teamUse describes how much a team uses the connections to an instance.
type teamUse struct {
	inUse  int  // connections in use for the team, without those idle in a transaction
	leased int  // connections in use or idle in a transaction
	isOwn  bool // only commands of the VM itself used the instance, so that this is no other team

	held     float64 // seconds for which it held connections, decayed with heldDecay since heldAt
	heldLong float64 // the same, decayed with loadDecay
	heldAt   time.Time
}

// recordHold records that the team held a connection for d.
func (u *teamUse) recordHold(now time.Time, d time.Duration) {
	u.held = u.heldRecently(now) + d.Seconds()
	u.heldLong = u.heldLong*decay(now.Sub(u.heldAt), loadDecay) + d.Seconds()
	u.heldAt = now
}

// heldRecently returns for how many seconds the team held connections recently.
func (u *teamUse) heldRecently(now time.Time) float64 {
	return u.held * decay(now.Sub(u.heldAt), heldDecay)
}

// meanInUse returns how many connections the team had in use on average.
func (u *teamUse) meanInUse(now time.Time) float64 {
	return u.heldLong * decay(now.Sub(u.heldAt), loadDecay) / loadDecay.Seconds()
}

// decay returns the factor by which a value with the given time constant has decayed after d.
func decay(d, constant time.Duration) float64 {
	return math.Exp(-d.Seconds() / constant.Seconds())
}
