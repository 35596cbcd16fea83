package allotter

import (
	"slices"
	"time"

	"parsleyscale/internal/statement/carrier"
)

// scope identifies the requests that a connection can serve: those of one team, or, on a
// connection to a gateway, those that pass through this gateway. Both fields are empty for
// requests without a team that leave the choice of a gateway to the dialer.
type scope struct {
	team    string // empty if gateway is set
	gateway string
}

// scopeOf returns the scope of a connection that is opened for t.
func scopeOf(t carrier.Target) scope {
	if t.Gateway != "" {
		return scope{gateway: t.Gateway}
	}
	return scope{team: t.Team}
}

// request describes a request for a connection.
type request struct {
	team             string
	scope            scope // of the connections that can serve it
	anyTeam          bool  // a connection of any scope can serve it
	isControl        bool
	priority         int
	effectiveArrival time.Time // time of arrival, shifted by the priority
}

// canUse reports whether a connection of scope s can serve the request.
func (r request) canUse(s scope) bool { return r.anyTeam || r.scope == s }

// idleConn describes an idle connection.
type idleConn struct {
	scope      scope
	lastUsedAt time.Time
}

// snapshot is the state of a pool on which a decision is based.
type snapshot struct {
	waiters      []request  // ordered by effectiveArrival
	idle         []idleConn // the most recently used one is last
	scopes       map[scope]*scopeUse
	teams        map[string]*teamUse
	now          time.Time
	meanHoldTime time.Duration

	inUse      int // connections in use, without those idle in a transaction
	dialing    int
	open       int // in use, idle, idle in a transaction or being dialed
	maxInUse   int // limit of inUse for requests other than control commands
	maxOpen    int
	maxDialing int
	mayDial    bool
}

// actionKind is the type of an action.
type actionKind uint8

const (
	noAction  actionKind = iota
	giveIdle             // give idle connection action.idle to request action.waiter
	closeIdle            // close idle connection action.idle, which makes room for a dial for another scope
	dial                 // open a connection for request action.waiter
)

// action is the next step that a pool takes for the requests in its queue.
type action struct {
	kind   actionKind
	waiter int // index in snapshot.waiters
	idle   int // index in snapshot.idle
}

// decide returns the next action for the requests in the queue. The caller carries it out and calls decide again with the
// new state, until there is no action.
//
// The requests are considered in fair order. A request that needs a dial does not keep the requests behind it from idle
// connections that it cannot use itself.
func decide(s snapshot) action {
	claimed := map[scope]int{} // dials in progress that requests considered so far wait for
	claimedTotal := 0
	for _, k := range fairOrder(s) {
		w := s.waiters[k]
		maxInUse := s.maxInUse
		if w.isControl {
			maxInUse = s.maxOpen
		}
		if s.inUse >= maxInUse || hasMaxLeased(s.teams, w, s.maxOpen) {
			continue
		}
		if i := s.findIdle(w); i >= 0 {
			// A handshake for another scope occupies a slot of the instance, too.
			if s.inUse+s.dialing-s.dialingFor(w) < maxInUse {
				return action{kind: giveIdle, waiter: k, idle: i}
			}
			continue
		}
		if claimed[w.scope] < s.dialingFor(w) && claimedTotal < s.dialing {
			claimed[w.scope]++
			claimedTotal++
			continue
		}
		if !s.mayDial || s.dialing >= s.maxDialing || s.inUse+s.dialing >= maxInUse || s.isDialPaused(w.scope) {
			continue
		}
		victim := s.chooseVictim(w)
		if victim >= 0 && s.open >= s.maxOpen-spareConnections(s.maxOpen) {
			return action{kind: closeIdle, waiter: k, idle: victim}
		}
		if s.open < s.maxOpen {
			return action{kind: dial, waiter: k}
		}
	}
	return action{}
}

// maxLeasedShare is the share of the open connections that one team may hold while other teams use the instance, too. The
// limit of connections in use does not cover those that its clients leave idle in transactions.
const maxLeasedShare = 0.75

// hasMaxLeased reports whether the team of a request holds as many connections as it may.
func hasMaxLeased(teams map[string]*teamUse, r request, maxOpen int) bool {
	u := teams[r.team]
	return u != nil && !r.anyTeam && u.leased >= max(1, int(maxLeasedShare*float64(maxOpen))) && hasOtherTeam(teams, r.team)
}

// hasOtherTeam reports whether another team uses the instance, too.
func hasOtherTeam(teams map[string]*teamUse, team string) bool {
	for name, u := range teams {
		if name != team && !u.isOwn {
			return true
		}
	}
	return false
}

// dialingFor returns the number of dials in progress whose connection can serve r.
func (s snapshot) dialingFor(r request) int {
	if r.anyTeam {
		return s.dialing
	}
	if u := s.scopes[r.scope]; u != nil {
		return u.dialing
	}
	return 0
}

// isDialPaused reports whether no connection of a scope is to be dialed for now.
func (s snapshot) isDialPaused(of scope) bool {
	u := s.scopes[of]
	return u != nil && u.open > 0 && s.now.Before(u.noDialUntil)
}

// findIdle returns the index of the most recently used idle connection that can serve r, or -1 if there is none.
func (s snapshot) findIdle(r request) int {
	for k := len(s.idle) - 1; k >= 0; k-- {
		if r.canUse(s.idle[k].scope) {
			return k
		}
	}
	return -1
}

// spareConnectionsDivisor sets the share of the open connections that are closed before others are dialed in their place.
const spareConnectionsDivisor = 6

// spareConnections returns how many places for connections stay free when idle connections of one scope are closed for
// another. The instance may count a closed connection for a moment longer than this VM. A VM that takes over
// from a failed gateway also finds room by them.
func spareConnections(maxOpen int) int { return max(1, maxOpen/spareConnectionsDivisor) }

// chooseVictim returns the index of the idle connection to be closed for request r, or -1 if there is none of another scope.
// It is the one whose scope is expected to need it last: the time since its last use, weighted by the mean interval between
// the uses of a connection of its scope. A connection that another request waits for is chosen only if there is no other.
func (s snapshot) chooseVictim(r request) int {
	if r.anyTeam {
		return -1
	}
	best, bestScore, isBestAwaited := -1, 0.0, false
	for k, c := range s.idle {
		if c.scope == r.scope {
			continue
		}
		isAwaited := slices.ContainsFunc(s.waiters, func(w request) bool { return !w.anyTeam && w.scope == c.scope })
		score := s.victimScore(c)
		if best < 0 || isBestAwaited && !isAwaited || isBestAwaited == isAwaited && score > bestScore {
			best, bestScore, isBestAwaited = k, score, isAwaited
		}
	}
	return best
}

// victimScore returns how little an idle connection is expected to be needed. It grows with the idle time and falls
// with the rate at which a connection of its scope is used.
func (s snapshot) victimScore(c idleConn) float64 {
	rate := 0.0
	if u := s.scopes[c.scope]; u != nil {
		rate = u.returnsPerSecond(s.now) / float64(max(1, u.open))
	}
	return (s.now.Sub(c.lastUsedAt) + time.Millisecond).Seconds() / (rate + minReturnsPerSecond)
}

// fairOrder returns the indices of the waiting requests in the order in which they are to be served. The sequence of their
// priorities is that of the queue, by effective arrival. Within each priority, requests of teams that have recently held
// connections for less time come first. Requests of the same team keep their order.
func fairOrder(s snapshot) []int {
	order := make([]int, len(s.waiters))
	hasTeams := false
	for k := range s.waiters {
		order[k] = k
		hasTeams = hasTeams || s.waiters[k].team != s.waiters[0].team
	}
	if !hasTeams {
		return order
	}
	byPriority := map[int][]int{}
	for k, w := range s.waiters {
		byPriority[w.priority] = append(byPriority[w.priority], k)
	}
	for _, places := range byPriority {
		for n, k := range s.sortByUse(places) {
			order[places[n]] = k
		}
	}
	return order
}

// sortByUse returns the requests at the given indices, which have the same priority, ordered by the time for which their
// teams have recently held connections. The n-th request of a team counts as if those before it had been served.
func (s snapshot) sortByUse(indices []int) []int {
	type place struct {
		index int
		held  float64
	}
	held := map[string]float64{}
	places := make([]place, len(indices))
	for n, k := range indices {
		team := s.waiters[k].team
		h, ok := held[team]
		if u := s.teams[team]; u != nil && !ok {
			h = u.heldRecently(s.now) + float64(u.inUse)*s.meanHoldTime.Seconds()
		}
		places[n] = place{k, h}
		held[team] = h + s.meanHoldTime.Seconds()
	}
	slices.SortStableFunc(places, func(a, b place) int {
		switch {
		case a.held < b.held:
			return -1
		case a.held > b.held:
			return 1
		}
		return 0
	})
	sorted := make([]int, len(places))
	for n, p := range places {
		sorted[n] = p.index
	}
	return sorted
}
