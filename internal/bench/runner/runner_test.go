package runner

import (
	"path/filepath"
	"testing"
	"time"

	"parsleyscale/internal/bench/checker"
	"parsleyscale/internal/bench/plotter"
)

const (
	testDuration = 4 * time.Second
	testCallers  = 24
	maxGapMs     = 5000 // stated bound of a change of primary
)

// failures names the scenarios in which a primary is certain to be replaced.
var failures = map[string]bool{
	"primaryKill": true, "primaryCut": true, "primaryPause": true, "storeOutPrimaryKill": true,
	"leavingServer": true, "dataCentreCut": true,
}

// TestScenarios guards against acknowledged writes that are lost, doubled or
// mixed, against stale reads, and against slow changes of primary, under each sort of fault.
func TestScenarios(t *testing.T) {
	slots := make(chan struct{}, 2) // more deployments at once would distort the times
	for n, sc := range scenarios {
		t.Run(sc.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			cfg := Config{Scenario: sc.Name, Deployment: []string{"arrieta", "kavango"}[n%2], Seed: uint64(n) + 1, Duration: testDuration, Callers: testCallers}
			res, err := Run(t.Context(), cfg)
			if err != nil {
				t.Fatal(err)
			}
			checkResult(t, res)
		})
	}
}

func checkResult(t *testing.T, r *Result) {
	t.Helper()
	t.Logf("%s seed %d: %d writes, %d reads, share %.2f, %d failovers, gap %+v, errors %v", r.Deployment, r.Seed, r.Acknowledged, r.Reads, r.ReplicaReadShare, r.Failovers, r.FailoverGapMs, r.Errors)
	if !r.IsClean() || r.ServedByLeaving > 0 {
		t.Errorf("counts %+v, %d served by leaving, findings %+v", r.Counts, r.ServedByLeaving, r.Findings)
	}
	if r.Acknowledged == 0 || r.Reads == 0 || len(r.FaultErrors) > 0 {
		t.Errorf("%d writes, %d reads, errors of the experiment %v", r.Acknowledged, r.Reads, r.FaultErrors)
	}
	if failures[r.Scenario] && r.Failovers == 0 {
		t.Error("no primary was replaced")
	}
	if r.FailoverGapMs.Max > maxGapMs {
		t.Errorf("failover gap %v ms", r.FailoverGapMs.Max)
	}
	if r.Scenario == "rollingStop" {
		checkStops(t, r.History)
	}
}

// checkStops guards against planned stops that interrupt a request in progress.
func checkStops(t *testing.T, h checker.History) {
	t.Helper()
	for n := range h {
		if h[n].Outcome == checker.Unknown {
			t.Errorf("interrupted: %+v", h[n])
		}
	}
}

// TestGaps guards against a gap that is attributed to the wrong change of primary.
func TestGaps(t *testing.T) {
	r := Result{Seconds: 10, Changes: []Change{{Database: "d", At: 3 * time.Second}, {Database: "d", At: 7 * time.Second}}}
	for _, ms := range []int{1000, 2000, 2100, 3400, 3500, 6500, 6600, 9300, 9800} {
		r.History = append(r.History, checker.Operation{Database: "d", Kind: checker.Insert, Outcome: checker.Acknowledged, End: time.Duration(ms) * time.Millisecond})
	}
	r.measureGaps(10 * time.Second)
	if r.Changes[0].GapMs != 1300 || r.Changes[1].GapMs != 2700 || r.LongestGapMs["d"] != 3000 {
		t.Errorf("changes %+v, longest %v", r.Changes, r.LongestGapMs)
	}
	if err := plotter.Write(filepath.Join(t.TempDir(), "gaps.svg"), r.plot()); err != nil {
		t.Error(err)
	}
}
