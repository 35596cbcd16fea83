package soak

import (
	"fmt"
	"strings"

	"parsleyscale/platform/emulator"
)

// verdict is what a run has shown.
type verdict struct {
	lost       []string // acknowledged commits that a promoted instance lacked, although a living registered replica had them
	lostAlone  []string // the same, which no living registered replica had; the pages make no difference
	kept       []string // writes that were promised not to be kept
	twice      []string
	stale      []string
	vanished   []string // acknowledged commits that are gone without a promotion: a fault of the emulator
	promotions int
	acked      int
	unknown    int
	promised   int
	reads      int
}

func (v *verdict) isClean() bool {
	return len(v.lost)+len(v.lostAlone)+len(v.kept)+len(v.twice)+len(v.stale)+len(v.vanished) == 0
}

func (v *verdict) String() string {
	return fmt.Sprintf("lost %d, lost without a living registered replica %d, kept despite a promise %d, twice %d, stale %d, vanished %d; %d promotions, %d writes acknowledged, %d promised not kept, %d unknown, %d reads",
		len(v.lost), len(v.lostAlone), len(v.kept), len(v.twice), len(v.stale), len(v.vanished), v.promotions, v.acked, v.promised, v.unknown, v.reads)
}

// findings returns the texts of all findings.
func (v *verdict) findings() []string {
	var list []string
	for _, f := range []struct {
		kind  string
		texts []string
	}{{"LOST", v.lost}, {"LOST without a living registered replica", v.lostAlone}, {"KEPT despite a promise", v.kept}, {"TWICE", v.twice}, {"STALE", v.stale}, {"VANISHED", v.vanished}} {
		for _, t := range f.texts {
			list = append(list, f.kind+": "+t)
		}
	}
	return list
}

// judge compares what the clients were told with the logs. The clients must have ended.
func judge(s *system, l *ledger) *verdict {
	v := &verdict{acked: len(l.acked), unknown: l.unknown, promised: len(l.promised), reads: l.reads}
	isLost := map[string]bool{}
	for k, g := range s.groups {
		v.judgeGroup(s, g, l, k, isLost)
	}
	for _, r := range l.stale {
		if !isLost[r.data] { // a commit that a promotion has rolled back cannot be read
			v.stale = append(v.stale, r.text)
		}
	}
	return v
}

func (v *verdict) judgeGroup(s *system, g *emulator.Group, l *ledger, group int, isLost map[string]bool) {
	promotions, entries, final := g.Promotions(), map[string]emulator.Entry{}, map[string]int{}
	v.promotions += len(promotions)
	for _, e := range g.Writes() {
		if old, ok := entries[e.Data]; ok {
			s.timeline.addAt(e.At, "check", fmt.Sprintf("%s was written to a log again, first at %s as %d.%d", e.Data, clock(old.At), old.Term, old.Index))
		}
		entries[e.Data] = e
	}
	for _, e := range g.Log(g.Primary()) {
		if final[e.Data]++; final[e.Data] == 2 {
			v.twice = append(v.twice, fmt.Sprintf("%s, the second time as %d.%d", e.Data, e.Term, e.Index))
		}
	}
	for _, p := range promotions {
		v.judgePromotion(s, p, l, group, entries, isLost)
	}
	for _, a := range l.acked {
		if a.group == group && final[a.data] == 0 && !isLost[a.data] {
			v.vanished = append(v.vanished, describe(a, entries[a.data]))
		}
	}
	for _, a := range l.promised {
		if a.group == group && final[a.data] > 0 {
			v.kept = append(v.kept, describe(a, entries[a.data]))
		}
	}
}

// judgePromotion finds the acknowledged commits of earlier terms that the promoted instance lacked.
func (v *verdict) judgePromotion(s *system, p emulator.Promotion, l *ledger, group int, entries map[string]emulator.Entry, isLost map[string]bool) {
	held := map[string]map[string]bool{}
	for _, state := range p.States {
		held[state.Instance] = state.Data()
	}
	for _, a := range l.acked {
		e := entries[a.data]
		if a.group != group || isLost[a.data] || e.Term >= p.Term || held[p.Instance][a.data] {
			continue
		}
		isLost[a.data] = true
		var holders []string
		isPreventable := false
		for _, state := range p.States {
			if held[state.Instance][a.data] {
				role := "replica"
				if state.Instance == p.Old {
					role = "primary until then"
				}
				holders = append(holders, fmt.Sprintf("%s (%s, down=%v registered=%v)", state.Instance, role, state.IsDown, state.IsRegistered))
				isPreventable = isPreventable || !state.IsDown && state.IsRegistered && state.Instance != p.Old
			}
		}
		text := fmt.Sprintf("%s; not held by %s, promoted at %s for term %d; held by %s", describe(a, e), p.Instance, clock(p.At), p.Term, strings.Join(holders, ", "))
		s.timeline.addAt(a.doneAt, "check", "LOST "+text)
		if isPreventable {
			v.lost = append(v.lost, text)
		} else {
			v.lostAlone = append(v.lostAlone, text)
		}
	}
}

func describe(a attempt, e emulator.Entry) string {
	return fmt.Sprintf("%s as %d.%d by %s at %s; sent through %s at %s, answered %q at %s", a.data, e.Term, e.Index, e.Instance, clock(e.At), a.vm, clock(a.sentAt), a.code, clock(a.doneAt))
}
