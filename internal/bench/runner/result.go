package runner

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"parsleyscale/internal/bench/checker"
)

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Gap is the distribution of failover gaps in milliseconds.
type Gap struct {
	P50 float64 `json:"p50"`
	Max float64 `json:"max"`
}

// Change is a change of primary with its failover gap, which is the longest
// time between two successive acknowledged writes to the database around it.
type Change struct {
	Database string        `json:"database"`
	Primary  string        `json:"primary"`
	Term     uint64        `json:"term"`
	At       time.Duration `json:"-"` // since the start of the history
	AtMs     int64         `json:"atMs"`
	GapMs    float64       `json:"gapMs"`
	GapStart time.Duration `json:"-"`
	GapEnd   time.Duration `json:"-"`
}

// Result is what a run measured.
type Result struct {
	Scenario     string  `json:"scenario"`
	Deployment   string  `json:"deployment"`
	Seed         uint64  `json:"seed"`
	Seconds      float64 `json:"seconds"`
	Acknowledged int     `json:"acknowledged"` // write requests
	checker.Counts
	Reads            int                `json:"reads"` // answered
	ReplicaReadShare float64            `json:"replicaReadShare"`
	SampledReads     int                `json:"sampledReads"` // behind replicaReadShare
	ReadReasons      map[string]int     `json:"readReasons"`  // sampled
	Failovers        int                `json:"failovers"`
	FailoverGapMs    Gap                `json:"failoverGapMs"`
	LongestGapMs     map[string]float64 `json:"longestGapMs"` // without acknowledged writes, by database
	Changes          []Change           `json:"changes,omitempty"`
	LatencyMs        Quantiles          `json:"latencyMs"`
	ReadLatencyMs    Quantiles          `json:"readLatencyMs"`
	WriteLatencyMs   Quantiles          `json:"writeLatencyMs"`
	RegionLinkBytes  int64              `json:"regionLinkBytes"`
	Errors           map[string]int     `json:"errors"`                   // attempts that failed, by kind
	SheetInForceMs   float64            `json:"sheetInForceMs,omitempty"` // longest time until a change was in force on all VMs
	ServedByLeaving  int                `json:"servedByLeaving"`          // sampled reads that an instance served long after it began to leave
	FaultErrors      []string           `json:"faultErrors,omitempty"`    // of the experiment itself
	Findings         []checker.Finding  `json:"findings,omitempty"`
	History          checker.History    `json:"-"`
}

// maxFindings bounds the findings that a result shows.
const maxFindings = 20

// Limits of the latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

type latencies struct{ all, reads, writes *hdrhistogram.Histogram }

func newLatencies() latencies {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits) }
	return latencies{h(), h(), h()}
}

func (l latencies) record(op *checker.Operation) {
	us := max(lowestLatency, min((op.End-op.Start).Microseconds(), highestLatency))
	one := l.writes
	if op.Kind.IsRead() {
		one = l.reads
	}
	_, _ = l.all.RecordValue(us), one.RecordValue(us)
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// summarize computes the measures of a history.
func (r *Result) summarize(h checker.History) {
	r.History, r.Errors, r.ReadReasons = h, map[string]int{}, map[string]int{}
	l := newLatencies()
	requests := map[string]bool{}
	replicas := 0
	for n := range h {
		op := &h[n]
		if op.Outcome != checker.Acknowledged {
			r.Errors[op.ErrorKind]++
			continue
		}
		l.record(op)
		if !op.Kind.IsRead() {
			requests[op.Database+"/"+op.Request] = true
			continue
		}
		r.Reads++
		if op.Reason != "" {
			r.SampledReads++
			r.ReadReasons[op.Reason]++
			if isReplica(op.Reason) {
				replicas++
			}
		}
	}
	r.Acknowledged = len(requests)
	if r.SampledReads > 0 {
		r.ReplicaReadShare = float64(replicas) / float64(r.SampledReads)
	}
	r.LatencyMs, r.ReadLatencyMs, r.WriteLatencyMs = quantilesOf(l.all), quantilesOf(l.reads), quantilesOf(l.writes)
}

// leavingGrace is the time after which a leaving instance must get no new work.
const leavingGrace = 3 * time.Second

// leave is the time in which an instance was leaving.
type leave struct {
	instance string
	from, to time.Duration
}

// addSheets adds the measures of changes of the sheet.
func (r *Result) addSheets(inForce []time.Duration, leaving []leave) {
	for _, d := range inForce {
		r.SheetInForceMs = max(r.SheetInForceMs, milliseconds(d))
	}
	for _, l := range leaving {
		for n := range r.History {
			if op := &r.History[n]; op.ServedBy == l.instance && op.Start > l.from+leavingGrace && op.Start < l.to {
				r.ServedByLeaving++
			}
		}
	}
}
