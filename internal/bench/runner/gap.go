package runner

import (
	"slices"
	"strings"
	"time"

	"parsleyscale/internal/bench/checker"
	"parsleyscale/internal/request/router"
)

const (
	gapBefore = 8 * time.Second // a failure is that long before the change of primary at most
	gapAfter  = 3 * time.Second
)

func isReplica(reason string) bool {
	return strings.HasPrefix(reason, "replica") && reason != string(router.PrimaryAfterWait)
}

// acknowledgements returns the ends of acknowledged writes by database, in order.
func acknowledgements(h checker.History) map[string][]time.Duration {
	m := map[string][]time.Duration{}
	for n := range h {
		if op := &h[n]; !op.Kind.IsRead() && op.Outcome == checker.Acknowledged {
			m[op.Database] = append(m[op.Database], op.End)
		}
	}
	for _, list := range m {
		slices.Sort(list)
	}
	return m
}

// longestGap returns the longest time between two successive times that touches the window.
func longestGap(times []time.Duration, from, to time.Duration) (start, end time.Duration) {
	for n := 1; n < len(times); n++ {
		if times[n] < from || times[n-1] > to {
			continue
		}
		if times[n]-times[n-1] > end-start {
			start, end = times[n-1], times[n]
		}
	}
	return start, end
}

// measureGaps sets the failover gap of each change of primary. The window of a
// change begins where that of the previous one of its database ends.
func (r *Result) measureGaps(end time.Duration) {
	acks := acknowledgements(r.History)
	r.LongestGapMs = map[string]float64{}
	for db, times := range acks {
		start, stop := longestGap(times, 0, end)
		r.LongestGapMs[db] = milliseconds(stop - start)
	}
	previous := map[string]time.Duration{}
	var gaps []time.Duration
	for n := range r.Changes {
		c := &r.Changes[n]
		times := acks[c.Database]
		if len(times) > 0 && times[len(times)-1] < c.At {
			times = append(times, end) // no write after the change
		}
		c.GapStart, c.GapEnd = longestGap(times, max(previous[c.Database], c.At-gapBefore), c.At+gapAfter)
		previous[c.Database] = c.GapEnd
		c.GapMs, c.AtMs = milliseconds(c.GapEnd-c.GapStart), c.At.Milliseconds()
		gaps = append(gaps, c.GapEnd-c.GapStart)
	}
	r.Failovers = len(gaps)
	if len(gaps) > 0 {
		slices.Sort(gaps)
		r.FailoverGapMs = Gap{P50: milliseconds(gaps[(len(gaps)-1)/2]), Max: milliseconds(gaps[len(gaps)-1])}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
