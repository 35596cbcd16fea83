package explorer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// kind is a kind of fault or operation.
type kind string

const (
	cutPaths     kind = "cut"          // no messages pass between a and b
	latePaths    kind = "late"         // messages between a and b are late
	lossyAnswers kind = "lossy"        // answers from b to a get lost
	crash        kind = "crash"        // instance a is down for a time
	deaf         kind = "deaf"         // instance a receives no entries
	slow         kind = "slow"         // instance a receives entries late
	join         kind = "join"         // a newcomer starts
	leave        kind = "leave"        // instance a drains
	restartVM    kind = "restartVM"    // VM a starts anew
	isolate      kind = "isolate"      // instance a is cut from all VMs but b
	outage       kind = "outage"       // service a is cut from all VMs but b
	silence      kind = "silence"      // instance a is cut off from the store
	splitPrimary kind = "splitPrimary" // instance a is cut from the other instances but b
	lapse        kind = "lapse"        // the store is down, and the entries of the instances are gone until each writes its own again
)

// event is a fault or an operation. Instances are named by their role at the time of the event: P for the primary,
// R1 and so on for the others by identity, and N for the latest newcomer.
type event struct {
	at    time.Duration
	kind  kind
	a, b  string
	lasts time.Duration
	extra time.Duration // join: until it registers
}

func (e event) String() string {
	return fmt.Sprintf("event %s %s %s %s %s %s", e.at, e.kind, cmp.Or(e.a, "-"), cmp.Or(e.b, "-"), e.lasts, e.extra)
}

// history is a sequence of events and the options of its world.
type history struct {
	seed   uint64
	vms    int
	opts   options
	events []event
	length time.Duration
	// isLossless states that no acknowledged commit may be lost, since the primary that holds them can be reached.
	isLossless bool
}

// String returns the history in the form that parseHistory reads.
func (h history) String() string {
	var b strings.Builder
	o := h.opts
	fmt.Fprintf(&b, "seed %d\nvms %d\nlength %s\ndemotedSends %t\ndemotionEndsWithRestart %t\npromoteTime %s\nlearnDelay %s\nregistryDelay %s\n",
		h.seed, h.vms, h.length, o.demotedSends, o.demotionEndsWithRestart, o.promoteTime, o.learnDelay, o.registryDelay)
	if o.slowReplica != "" {
		fmt.Fprintf(&b, "slowReplica %s %s\n", o.slowReplica, o.slowBy)
	}
	if h.isLossless {
		fmt.Fprintln(&b, "lossless")
	}
	if o.reader != "" {
		fmt.Fprintf(&b, "reader %s\n", o.reader)
	}
	b.WriteString(o.lateness())
	for _, e := range h.events {
		fmt.Fprintln(&b, e)
	}
	return b.String()
}

// parseHistory reads a history. Lines that begin with # are comments.
func parseHistory(text string) (history, error) {
	var h history
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		var err error
		switch fields[0] {
		case "seed":
			_, err = fmt.Sscan(fields[1], &h.seed)
		case "vms":
			_, err = fmt.Sscan(fields[1], &h.vms)
		case "length":
			h.length, err = time.ParseDuration(fields[1])
		case "demotedSends":
			_, err = fmt.Sscan(fields[1], &h.opts.demotedSends)
		case "demotionEndsWithRestart":
			_, err = fmt.Sscan(fields[1], &h.opts.demotionEndsWithRestart)
		case "promoteTime":
			h.opts.promoteTime, err = time.ParseDuration(fields[1])
		case "learnDelay":
			h.opts.learnDelay, err = time.ParseDuration(fields[1])
		case "registryDelay":
			h.opts.registryDelay, err = time.ParseDuration(fields[1])
		case "slowReplica":
			h.opts.slowReplica = fields[1]
			h.opts.slowBy, err = time.ParseDuration(fields[2])
		case "lossless":
			h.isLossless = true
		case "reader":
			h.opts.reader = fields[1]
		case "promoteSpread":
			h.opts.promoteSpread, err = time.ParseDuration(fields[1])
		case "passDelay":
			h.opts.passDelay, err = time.ParseDuration(fields[1])
		case "hidesUnreceived":
			h.opts.hidesUnreceived = true
		case "holdsOutlastTerm":
			h.opts.holdsOutlastTerm = true
		case "replacedGoesOn":
			h.opts.replacedGoesOn = true
		case "event":
			var e event
			e, err = parseEvent(fields[1:])
			h.events = append(h.events, e)
		default:
			err = errors.New("unknown word")
		}
		if err != nil {
			return h, fmt.Errorf("line %q: %w", strings.TrimSpace(line), err)
		}
	}
	return h, nil
}

func parseEvent(fields []string) (event, error) {
	if len(fields) != 6 {
		return event{}, fmt.Errorf("%d fields, want 6", len(fields))
	}
	e := event{kind: kind(fields[1]), a: strings.Trim(fields[2], "-"), b: strings.Trim(fields[3], "-")}
	var errs [3]error
	e.at, errs[0] = time.ParseDuration(fields[0])
	e.lasts, errs[1] = time.ParseDuration(fields[4])
	e.extra, errs[2] = time.ParseDuration(fields[5])
	return e, errors.Join(errs[:]...)
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func pick[T any](r *rand.Rand, list ...T) T { return list[r.IntN(len(list))] }

// drawer draws the events of a history.
type drawer struct {
	*rand.Rand
	vms int
}

func (d drawer) vm() string           { return fmt.Sprintf("vm%d", d.IntN(d.vms)) }
func (d drawer) someInstance() string { return pick(d.Rand, "P", "P", "R1", "R2", "N") }
func (d drawer) replica() string      { return pick(d.Rand, "R1", "R2", "N") }

// doubt draws an event that puts the primary in doubt.
func (d drawer) doubt(at time.Duration) event {
	e := event{at: at, a: "P", lasts: between(d.Rand, 600*time.Millisecond, 5*time.Second)}
	switch e.kind = pick(d.Rand, isolate, isolate, crash, leave, splitPrimary, cutPaths); e.kind {
	case isolate:
		e.b = pick(d.Rand, "", d.vm())
	case cutPaths:
		e.b = d.vm()
	}
	return e
}

// any draws an event of any kind.
func (d drawer) any(at time.Duration) event {
	r := d.Rand
	e := event{at: at, lasts: between(r, 600*time.Millisecond, 5*time.Second)}
	if r.IntN(2) > 0 {
		e.lasts = between(r, 50*time.Millisecond, 800*time.Millisecond)
	}
	switch e.kind = pick(r, cutPaths, cutPaths, cutPaths, latePaths, lossyAnswers, crash, crash, crash, deaf, slow, join, join, leave, restartVM, isolate, isolate, outage, outage, silence, splitPrimary); e.kind {
	case cutPaths, latePaths:
		e.a, e.b = d.vm(), pick(r, d.someInstance(), d.someInstance(), storeService, platformService, d.vm())
	case lossyAnswers:
		e.a, e.b = d.vm(), pick(r, storeService, platformService)
	case crash, leave:
		e.a = d.someInstance()
	case silence, deaf:
		e.a = d.replica()
	case slow:
		e.a, e.extra = d.replica(), between(r, 20*time.Millisecond, time.Second)
	case join:
		e.lasts, e.extra = between(r, 20*time.Millisecond, 400*time.Millisecond), between(r, 10*time.Millisecond, 1500*time.Millisecond)
	case restartVM:
		e.a, e.lasts = d.vm(), between(r, 10*time.Millisecond, 500*time.Millisecond)
	case isolate:
		e.a, e.b = d.someInstance(), pick(r, "", "", d.vm())
	case outage:
		e.a, e.b = pick(r, storeService, storeService, platformService), pick(r, "", d.vm())
	case splitPrimary:
		e.a, e.b = "P", pick(r, "", d.replica())
	}
	return e
}

// view draws an event after which the VMs differ in what they know.
func (d drawer) view(at time.Duration) event {
	r := d.Rand
	e := event{at: at, lasts: between(r, time.Second, 9*time.Second)}
	switch e.kind = pick(r, cutPaths, cutPaths, cutPaths, latePaths, join, leave, crash, silence, restartVM); e.kind {
	case cutPaths, latePaths:
		e.a, e.b = d.vm(), pick(r, storeService, storeService, platformService, d.vm(), "R1", "R2")
	case join:
		e.lasts, e.extra = between(r, 20*time.Millisecond, 400*time.Millisecond), between(r, 10*time.Millisecond, 500*time.Millisecond)
	case leave, crash, silence:
		e.a = pick(r, "R1", "R2")
	case restartVM:
		e.a, e.lasts = d.vm(), between(r, 10*time.Millisecond, 500*time.Millisecond)
	}
	return e
}

// newHistory draws a history from a seed. Those of even seeds have one replacement or a few close ones. In those of odd
// seeds, the views of the VMs differ before two replacements.
func newHistory(seed uint64, excluded []kind) history {
	r := rand.New(rand.NewPCG(seed, 7))
	d := drawer{Rand: r, vms: 2 + r.IntN(2)}
	h := history{seed: seed, vms: d.vms, length: 9 * time.Second}
	h.opts = options{demotedSends: r.IntN(2) == 0, demotionEndsWithRestart: r.IntN(2) == 0, promoteTime: between(r, 100*time.Millisecond, 900*time.Millisecond), learnDelay: pick(r, 10*time.Millisecond, 50*time.Millisecond, 200*time.Millisecond), registryDelay: pick(r, 20*time.Millisecond, 100*time.Millisecond, 600*time.Millisecond)}
	add := func(e event) bool {
		isValid := (e.a != e.b || e.a == "") && !slices.Contains(excluded, e.kind)
		if isValid {
			h.events = append(h.events, e)
		}
		return isValid
	}
	addSome := func(n int, draw func(at time.Duration) event, least, most time.Duration) {
		for n > 0 {
			if add(draw(between(r, least, most))) {
				n--
			}
		}
	}
	// The first event puts the primary in doubt; the others follow or precede it closely.
	first := between(r, 1500*time.Millisecond, 2*time.Second)
	if seed%2 == 1 {
		addSome(1+r.IntN(4), d.view, 300*time.Millisecond, 3*time.Second)
		first += between(r, time.Second, 3*time.Second)
		addSome(1, d.doubt, first+300*time.Millisecond, first+4*time.Second)
		h.length = 13 * time.Second
	}
	add(d.doubt(first))
	addSome(2+r.IntN(5), d.any, first-time.Second, first+pick(r, 700*time.Millisecond, 1500*time.Millisecond, 4*time.Second))
	if r.IntN(2) == 0 {
		h.opts.slowReplica, h.opts.slowBy = pick(r, "a", "b", "c"), between(r, 50*time.Millisecond, 800*time.Millisecond)
	}
	slices.SortFunc(h.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return h
}

// withReader returns the same history, some seconds later, with a VM whose callers only read and a replica that is cut off from the store
// for so long before and during the other events that its registry entry expires. The VM may start anew meanwhile, and the other replica
// may receive nothing for a time.
func withReader(h history) history {
	r := rand.New(rand.NewPCG(h.seed, 13))
	const later = 6 * time.Second
	silent, other := "R1", "R2"
	if r.IntN(2) == 0 {
		silent, other = other, silent
	}
	events := []event{{at: between(r, 300*time.Millisecond, time.Second), kind: silence, a: silent, lasts: between(r, later, 2*later)}}
	h.opts.reader = fmt.Sprintf("vm%d", r.IntN(h.vms))
	if r.IntN(2) == 0 {
		events = append(events, event{at: between(r, later-time.Second, later), kind: restartVM, a: h.opts.reader, lasts: between(r, 10*time.Millisecond, 500*time.Millisecond)})
	}
	if r.IntN(4) > 0 {
		events = append(events, event{at: between(r, later, later+2*time.Second), kind: deaf, a: other, lasts: between(r, time.Second, later)})
	}
	for _, e := range h.events {
		e.at += later
		events = append(events, e)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	h.events, h.length = events, h.length+later
	return h
}

// withLapses returns the same history, some seconds later, after an outage of the store during which the entries of all instances lapse.
// Around its end, VMs start anew, the replicas may receive nothing for a time, and a newcomer may join and leave.
func withLapses(h history) history {
	r := rand.New(rand.NewPCG(h.seed, 17))
	d := drawer{Rand: r, vms: h.vms}
	const later = 7 * time.Second
	down := event{at: between(r, 300*time.Millisecond, 2*time.Second), kind: lapse, lasts: between(r, 300*time.Millisecond, 4*time.Second)}
	upAt := down.at + down.lasts
	events := []event{down}
	if r.IntN(2) == 0 {
		h.opts.reader = d.vm()
	}
	for range r.IntN(3) {
		events = append(events, event{at: between(r, down.at, upAt+2*time.Second), kind: restartVM, a: d.vm(), lasts: between(r, 10*time.Millisecond, 500*time.Millisecond)})
	}
	for _, id := range []string{"R1", "R2"} {
		if r.IntN(2) == 0 {
			events = append(events, event{at: between(r, upAt, upAt+2*time.Second), kind: deaf, a: id, lasts: between(r, time.Second, later)})
		}
	}
	if r.IntN(2) == 0 {
		joinsAt := between(r, 100*time.Millisecond, upAt)
		events = append(events,
			event{at: joinsAt, kind: join, lasts: between(r, 20*time.Millisecond, 400*time.Millisecond), extra: between(r, 10*time.Millisecond, 500*time.Millisecond)},
			event{at: between(r, joinsAt+time.Second, joinsAt+5*time.Second), kind: leave, a: "N", lasts: between(r, 500*time.Millisecond, 5*time.Second)})
	}
	for _, e := range h.events {
		e.at += later - 3*time.Second
		events = append(events, e)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	h.events, h.length = events, h.length+later
	return h
}

// outcome is the result of a history.
type outcome struct {
	timeline   string
	losses     []loss
	doubles    []string
	promotions int
	commits    int // acknowledged
	isLossless bool
}

// isFailure reports whether an acknowledged commit was lost that a living replica of the registry had, or any one in a history that is to
// be lossless, or two VMs sent one token.
func (o outcome) isFailure() bool {
	return len(o.doubles) > 0 || o.isLossless && len(o.losses) > 0 || slices.ContainsFunc(o.losses, func(l loss) bool { return l.isKnown })
}

// play runs a history in a bubble.
func play(t *testing.T, h history) (o outcome) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, h.seed, h.opts)
		p := &player{w: w, nodes: map[string]*node{}, h: h}
		w.wg.Go(w.run)
		for k := range h.vms {
			p.startNode(k)
		}
		for _, e := range h.events {
			w.wg.Go(func() { p.playEvent(e) })
		}
		time.Sleep(h.length)
		cancel()
		p.close()
		w.wg.Wait()
		o = outcome{timeline: w.report(), losses: w.sortLosses(), doubles: w.doubles, promotions: w.promotions, isLossless: h.isLossless}
		for _, e := range w.commits {
			if e.acknowledgedAt > 0 {
				o.commits++
			}
		}
	})
	return o
}
