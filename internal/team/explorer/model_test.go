package explorer

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/team/granter"
	"parsleyscale/internal/team/holder"
	"parsleyscale/internal/team/sharder"
)

// rules are the rules that bound the operations of a team. The explorer takes out one at a time.
type rules struct {
	emptyAtStart, expiryFromSending, leaseEnds, wholeLeaseWait, leaseFromStart bool
}

var allRules = rules{true, true, true, true, true}

// share is the part of the limit that the one shard of the model grants, and lifetime how long its tokens may be used. All
// operations that arrive in a window used tokens that were granted in the window or one lifetime before.
var share = sharder.Share{Rate: 1, Capacity: 10}

const (
	lifetime   = 300 * time.Millisecond
	modelStart = time.Hour
)

var modelBound = share.Capacity + share.Rate*(window+lifetime).Seconds()

// Time steps of a history: longer than a token's lifetime, longer than it takes to fill a bucket, and longer than a lease.
var waits = map[string]time.Duration{"wait 200ms": 200 * time.Millisecond, "wait 11s": 11 * time.Second, "wait 32s": 32 * time.Second}

// modelVM is a VM that may hold the shard.
type modelVM struct {
	id         string
	starts     int
	view       holder.View
	leaseUntil time.Duration
	granter    *granter.Granter
	isFrozen   bool
	queue      []time.Duration // when the requests were sent that a frozen VM has not handled
	pending    *write          // that the store has carried out, but not answered
}

// write is a write that the store has carried out.
type write struct {
	startedAt time.Duration
	version   uint64
	isClaim   bool
}

// grant is an answer under way, or tokens in hand.
type grant struct {
	count int
	at    time.Duration // when the request was sent; of tokens in hand: when they expire
}

// model runs one history: two VMs that may hold the one shard, the row of the store, and a requester.
type model struct {
	rules   rules
	now     time.Duration
	row     *follower.Row
	version uint64
	vms     []*modelVM
	answers []grant
	hand    []grant
	used    []grant // operations that ran, and when
}

func newModel(r rules) *model {
	m := &model{rules: r, now: modelStart}
	for _, id := range []string{"a", "b"} {
		m.vms = append(m.vms, m.boot(id, 1))
	}
	return m
}

// boot returns a VM that has just started.
func (m *model) boot(id string, starts int) *modelVM {
	v := &modelVM{id: id, starts: starts, granter: granter.New()}
	v.view = holder.View{Self: id, Start: fmt.Sprint(id, starts), AreRanksKnown: true}
	for shard := range sharder.Count {
		v.view.Ranks[shard] = -1
	}
	v.view.Ranks[0], v.view.IsSilent[0] = 0, true
	m.read(v)
	return v
}

func (m *model) read(v *modelVM) {
	v.view.ReadAt = m.now
	v.view.Rows[0] = v.view.Rows[0].With(m.row, m.now)
}

// events returns the events that can happen next.
func (m *model) events() []string {
	events := []string{"wait 200ms", "wait 11s", "wait 32s"}
	for _, v := range m.vms {
		names := []string{"restart"}
		switch {
		case v.isFrozen:
			names = append(names, "thaw", "ask")
		case v.pending != nil:
			names = append(names, "answered", "freeze", "ask", "serve", "duplicate")
		default:
			names = append(names, "read", "write", "writeSlowly", "freeze", "ask", "serve", "duplicate")
		}
		for _, n := range names {
			events = append(events, n+" "+v.id)
		}
	}
	if len(m.answers) > 0 {
		events = append(events, "receive", "lose")
	}
	if len(m.hand) > 0 {
		events = append(events, "use")
	}
	return events
}

// apply lets an event happen.
func (m *model) apply(event string) {
	if d, ok := waits[event]; ok {
		m.now += d
		return
	}
	name, id, _ := strings.Cut(event, " ")
	switch name {
	case "receive":
		m.receive()
		return
	case "lose":
		m.answers = m.answers[1:]
		return
	case "use":
		m.use()
		return
	}
	k := int(id[0] - 'a')
	v := m.vms[k]
	switch name {
	case "restart":
		m.vms[k] = m.boot(v.id, v.starts+1)
	case "freeze":
		v.isFrozen = true
	case "thaw":
		v.isFrozen = false
		for _, sentAt := range v.queue {
			m.handle(v, sentAt)
		}
		v.queue = nil
	case "read":
		m.read(v)
	case "write", "writeSlowly":
		m.write(v)
		if name == "write" {
			m.answered(v)
		}
	case "answered":
		m.answered(v)
	case "ask":
		if v.isFrozen {
			v.queue = append(v.queue, m.now)
			return
		}
		m.handle(v, m.now)
	case "duplicate": // the request arrives twice, and one answer is used
		m.handle(v, m.now)
		if n := len(m.answers); n > 0 {
			m.handle(v, m.now)
			m.answers = m.answers[:n]
		}
	case "serve": // a request, its answer and the operations without delay
		n := len(m.answers)
		m.handle(v, m.now)
		if len(m.answers) > n {
			m.answers[0], m.answers[n] = m.answers[n], m.answers[0]
			m.receive()
		}
		m.use()
	}
}

// write carries out what a VM decides.
func (m *model) write(v *modelVM) {
	view := v.view
	view.Now, view.HasLease[0] = m.now, m.now < v.leaseUntil
	if !m.rules.wholeLeaseWait {
		view.Rows[0].SeenAt -= 2 * holder.Lease
	}
	view.RenewedAt, view.AttemptedAt = 0, 0 // a renewal may come at any time
	d := holder.Decide(view)
	if len(d.Claim)+len(d.Renew) == 0 {
		return
	}
	current := uint64(0)
	if m.row != nil {
		current = m.row.Version
	}
	if v.view.Rows[0].Version != current {
		m.read(v)
		if m.row.Version != 0 && v.view.Rows[0].Start != v.view.Start {
			v.leaseUntil = 0
			v.granter.Stop(0)
		}
		return
	}
	m.version++
	b, err := json.Marshal(holder.Row{Holder: v.id, Start: v.view.Start})
	if err != nil {
		panic(err)
	}
	m.row = &follower.Row{Key: "0", Value: b, Version: m.version}
	v.pending = &write{startedAt: m.now, version: m.version, isClaim: len(d.Claim) > 0}
}

// answered lets a VM receive the answer to its write.
func (m *model) answered(v *modelVM) {
	w := v.pending
	if w == nil {
		return
	}
	v.pending = nil
	v.view.Rows[0] = holder.SeenRow{Row: holder.Row{Holder: v.id, Start: v.view.Start}, Version: w.version, SeenAt: m.now}
	if w.isClaim || v.leaseUntil == 0 {
		since := m.now
		if !m.rules.emptyAtStart {
			since -= time.Hour
		}
		v.granter.Start(0, since)
	}
	v.leaseUntil = w.startedAt + holder.Lease
	if !m.rules.leaseFromStart {
		v.leaseUntil = m.now + holder.Lease
	}
}

// handle lets a VM handle a request for all tokens of a full bucket.
func (m *model) handle(v *modelVM, sentAt time.Duration) {
	if v.leaseUntil == 0 || m.rules.leaseEnds && m.now >= v.leaseUntil {
		return
	}
	if n, _ := v.granter.Grant(m.now, "t", 0, share, int(share.Capacity)); n > 0 {
		m.answers = append(m.answers, grant{n, sentAt})
	}
}

// receive lets the requester receive the oldest answer.
func (m *model) receive() {
	a := m.answers[0]
	m.answers = m.answers[1:]
	if !m.rules.expiryFromSending {
		a.at = m.now
	}
	if m.now < a.at+lifetime {
		m.hand = append(m.hand, grant{a.count, a.at + lifetime})
	}
}

// use lets operations run with all tokens in hand.
func (m *model) use() {
	for _, h := range m.hand {
		if m.now < h.at {
			m.used = append(m.used, grant{h.count, m.now})
		}
	}
	m.hand = nil
}

// isBounded reports whether the operations that ran in the latest window are within the bound.
func (m *model) isBounded() bool {
	n := 0
	for _, u := range m.used {
		if u.at > m.now-window {
			n += u.count
		}
	}
	return float64(n) <= modelBound
}

// key describes the state by what its future depends on, so that equivalent states are explored once.
func (m *model) key() string {
	var b strings.Builder
	age := func(t time.Duration) time.Duration { return max(t-m.now, -2*holder.Lease) }
	var row holder.Row
	if m.row != nil {
		if err := json.Unmarshal(m.row.Value, &row); err != nil {
			panic(err)
		}
	}
	for _, v := range m.vms {
		r := v.view.Rows[0]
		isCurrent := m.row == nil && r.Version == 0 || m.row != nil && r.Version == m.row.Version
		fmt.Fprintf(&b, "|%t %t %t %t", row.Holder == v.id, row.Start == v.view.Start, isCurrent, v.isFrozen)
		if isCurrent && m.row != nil {
			fmt.Fprint(&b, " ", age(r.SeenAt))
		}
		if v.leaseUntil != 0 {
			until := max(v.leaseUntil-m.now, 0)
			if !m.rules.leaseEnds {
				until = 1
			}
			fmt.Fprint(&b, " ", until, v.granter.Available(m.now, "t", 0, share))
		}
		if v.pending != nil {
			fmt.Fprint(&b, " ", age(v.pending.startedAt), v.pending.isClaim, m.row.Version == v.pending.version)
		}
		for _, sentAt := range v.queue {
			fmt.Fprint(&b, age(sentAt), ",")
		}
	}
	for _, list := range [][]grant{m.answers, m.hand, m.used} {
		b.WriteString("|")
		for _, g := range list {
			if g.at > m.now-window-lifetime {
				fmt.Fprint(&b, g.count, age(g.at), ",")
			}
		}
	}
	if !m.rules.expiryFromSending {
		fmt.Fprint(&b, len(m.answers))
	}
	return b.String()
}
