package explorer

import (
	"bufio"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// play runs a history.
func play(r rules, history []string) *model {
	m := newModel(r)
	for _, e := range history {
		m.apply(e)
	}
	return m
}

// prefix leads to the state in which the search begins: VM a holds the shard, its bucket is full, and VM b knows the row.
var prefix = []string{"write a", "read b", "wait 11s"}

// shortestViolation returns a shortest history after prefix that violates the bound, of at most depth events, or nil, and the
// number of states that were visited. Events whose name begins with one of the skipped ones do not happen.
func shortestViolation(r rules, depth int, skipped ...string) ([]string, int) {
	known := map[string]bool{play(r, prefix).key(): true}
	level := [][]string{prefix}
	for range depth {
		var next [][]string
		for _, history := range level {
			for _, e := range play(r, history).events() {
				if slices.ContainsFunc(skipped, func(s string) bool { return strings.HasPrefix(e, s) }) {
					continue
				}
				longer := append(slices.Clone(history), e)
				m := play(r, longer)
				if !m.isBounded() {
					return longer, len(known)
				}
				if k := m.key(); !known[k] {
					known[k] = true
					next = append(next, longer)
				}
			}
		}
		level = next
	}
	return nil, len(known)
}

// exploredDepth is the length up to which all histories are explored with all rules. The violations without a rule are not longer
// than maxViolation.
const (
	exploredDepth = 6
	maxViolation  = 8
)

// Explores all short histories of requests, losses, duplicates, delays, restarts, take-overs and freezes. No history may violate the
// bound on the operations in a window.
func TestBoundHolds(t *testing.T) {
	history, states := shortestViolation(allRules, exploredDepth)
	if history != nil {
		t.Errorf("the bound is violated by: %s", strings.Join(history, "; "))
	}
	t.Logf("%d states", states)
}

// Guards against a rule that nothing depends on, and against a model that cannot show a violation. Without each rule, there must
// be a history that violates the bound; it is printed.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, c := range []struct {
		name    string
		remove  func(r *rules)
		skipped []string // events left out to keep a search of eight events short
	}{
		{"buckets are empty when a holder starts", func(r *rules) { r.emptyAtStart = false }, nil},
		{"tokens expire a time after the request was sent", func(r *rules) { r.expiryFromSending = false }, nil},
		{"a holder grants only within its lease", func(r *rules) { r.leaseEnds = false }, nil},
		{"a row is taken over only after a whole lease without a change", func(r *rules) { r.wholeLeaseWait = false }, nil},
		{"a lease counts from the start of the write", func(r *rules) { r.leaseFromStart = false }, []string{"freeze", "duplicate", "lose", "wait 200ms", "ask"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := allRules
			c.remove(&r)
			history, states := shortestViolation(r, maxViolation, c.skipped...)
			if history == nil {
				t.Fatalf("no history of %d events violates the bound without this rule (%d states)", maxViolation, states)
			}
			if m := play(allRules, history); !m.isBounded() {
				t.Errorf("the history violates the bound with the rule as well")
			}
			t.Logf("%d events, %d states: %s", len(history), states, strings.Join(history, "; "))
		})
	}
}

// seeds reads the seeds of random histories.
func seeds(t *testing.T, file string) []uint64 {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var list []uint64
	for s := bufio.NewScanner(f); s.Scan(); {
		seed, err := strconv.ParseUint(strings.TrimSpace(s.Text()), 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, seed)
	}
	return list
}

// Explores long random histories with all rules.
func TestRandomHistories(t *testing.T) {
	for _, seed := range seeds(t, "testdata/histories.txt") {
		r := rand.New(rand.NewPCG(seed, 0))
		m := newModel(allRules)
		var history []string
		for range 2000 {
			events := m.events()
			e := events[r.IntN(len(events))]
			history = append(history, e)
			if m.apply(e); !m.isBounded() {
				t.Fatalf("seed %d: the bound is violated by: %s", seed, strings.Join(history[max(0, len(history)-40):], "; "))
			}
		}
	}
}
