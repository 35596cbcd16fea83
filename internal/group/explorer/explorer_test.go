package explorer

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	firstSeed = flag.Uint64("seed", 1, "seed of the first history")
	seedCount = flag.Int("histories", 24, "number of histories")
	exclude   = flag.String("exclude", "", "kinds of events to leave out, separated by commas")
	lasting   = flag.Bool("lastingDemotions", false, "a demoted primary that restarts is a replica in all histories")
	shrinks   = flag.Bool("shrink", false, "leave out the events without which a failing history still fails")
	outFile   = flag.String("timelines", "", "file to which the timelines of failing histories are appended")
	savesAll  = flag.Bool("all", false, "append the timelines of all histories")
)

func excludedKinds() []kind {
	var kinds []kind
	for _, k := range strings.Split(*exclude, ",") {
		kinds = append(kinds, kind(k))
	}
	return kinds
}

// Guards against the promotion of an instance that lacks an acknowledged commit, whatever the order of faults.
func TestRandomHistories(t *testing.T) {
	explore(t, func(h history) history { return h })
}

// Guards against the same, and against a token of two VMs, while the store is restored from an older copy.
func TestRandomHistoriesWithRestores(t *testing.T) {
	explore(t, withRestores)
}

// Guards against the same if callers of a VM only read, and a replica without a registry entry receives.
func TestRandomHistoriesWithReader(t *testing.T) {
	explore(t, withReader)
}

// Guards against the same after an outage of the store during which the entries of the instances lapse.
func TestRandomHistoriesWithLapses(t *testing.T) {
	explore(t, withLapses)
}

// Guards against the same if VMs are suspended or do not hear each other, and promotions are carried out late.
func TestRandomHistoriesWithSuspensions(t *testing.T) {
	explore(t, withSuspensions)
}

// Guards against the same if two VMs replace a primary that is soon back.
func TestRandomHistoriesWithRivals(t *testing.T) {
	explore(t, withRivals)
}

// Guards against the same if instances do not learn of promotions, and commands and entries are late.
func TestRandomHistoriesWithLateNews(t *testing.T) {
	explore(t, withLateNews)
}

// explore plays the histories of the seeds, each as change returns it.
func explore(t *testing.T, change func(history) history) {
	t.Helper()
	start := time.Now()
	var mu sync.Mutex
	promotions, commits, failures, otherLosses, lossless := 0, 0, 0, 0, 0
	next := *firstSeed
	t.Run("histories", func(t *testing.T) {
		for worker := range 3 {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				for {
					mu.Lock()
					seed := next
					next++
					mu.Unlock()
					if seed >= *firstSeed+uint64(*seedCount) {
						return
					}
					h := change(newHistory(seed, excludedKinds()))
					h.opts.demotionEndsWithRestart = h.opts.demotionEndsWithRestart && !*lasting
					o := play(t, h)
					mu.Lock()
					promotions += o.promotions
					commits += o.commits
					switch {
					case o.isFailure():
						failures++
					case len(o.losses) > 0:
						otherLosses++
					default:
						lossless++
					}
					mu.Unlock()
					if o.isFailure() {
						if *shrinks {
							h, o = shrink(t, h, o)
						}
						t.Errorf("seed %d: %s", seed, o.summary(h))
						save(t, h, o)
					}
				}
			})
		}
	})
	t.Logf("%d histories in %s: %d lost commits that a living replica had, %d others lost commits, %d lost nothing; %d promotions, %d commits", *seedCount, time.Since(start).Round(time.Millisecond), failures, otherLosses, lossless, promotions, commits)
}

// maxRuns is how often a shortened history is played before it counts as not failing: the replacer's pauses are random.
const maxRuns = 3

// shrink leaves out events, one at a time, while the history still fails.
func shrink(t *testing.T, h history, o outcome) (history, outcome) {
	t.Helper()
	for k := 0; k < len(h.events); {
		shorter := h
		shorter.events = append(append([]event(nil), h.events[:k]...), h.events[k+1:]...)
		isFailing := false
		for range maxRuns {
			if next := play(t, shorter); next.isFailure() {
				h, o, isFailing = shorter, next, true
				break
			}
		}
		if !isFailing {
			k++
		}
	}
	return h, o
}

// summary names the kinds of the events and what received the lost commits.
func (o outcome) summary(h history) string {
	var kinds []string
	for _, e := range h.events {
		kinds = append(kinds, strings.TrimSpace(string(e.kind)+" "+e.a+" "+e.b))
	}
	slices.Sort(kinds)
	receivers := map[string]int{}
	for _, l := range o.losses {
		receivers[fmt.Sprintf("%s %s known %t", l.entry.receivedBy, l.state, l.isKnown)]++
	}
	return fmt.Sprintf("%d commits lost, received by %v; doubles %v; %s", len(o.losses), receivers, o.doubles, strings.Join(kinds, ", "))
}

// Guards against the loss of an acknowledged commit that a living replica of the registry has. Each file of testdata
// says in its first lines how it comes about.
func TestHistories(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d histories, %v", len(files), err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			h, err := parseHistory(string(text))
			if err != nil {
				t.Fatal(err)
			}
			if o := play(t, h); o.isFailure() {
				t.Errorf("%s", o.summary(h))
				save(t, h, o)
			} else if *savesAll {
				save(t, h, o)
			}
		})
	}
}

var saveMu sync.Mutex

func save(t *testing.T, h history, o outcome) {
	t.Helper()
	text := fmt.Sprintf("==== %s\n%s\n\n", h, o.timeline)
	if *outFile == "" {
		t.Log(text)
		return
	}
	saveMu.Lock()
	defer saveMu.Unlock()
	f, err := os.OpenFile(*outFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if _, err := f.WriteString(text); err != nil {
		t.Fatal(err)
	}
}
