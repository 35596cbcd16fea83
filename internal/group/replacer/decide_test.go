package replacer

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/tailscale/hujson"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// decideCase is a case of testdata/decide.hujson. Lost, Leaving, Failed, Stalled and Abandoned are times in
// milliseconds before the decision.
type decideCase struct {
	Name         string `json:"name"`
	Instances    int    `json:"instances"`
	LostMsAgo    int    `json:"lost"`
	LeavingMsAgo int    `json:"leaving"`
	Failures     int    `json:"failures"`
	FailedMsAgo  int    `json:"failed"`
	Stalls       int    `json:"stalls"`
	StalledMsAgo int    `json:"stalled"`
	AbandonedMs  int    `json:"abandoned"`
	Rank         int    `json:"rank"`
	Want         Kind   `json:"want"`
	Reason       Reason `json:"reason"`
}

func msAgo(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }

func (c decideCase) evidence() Evidence {
	h := registrar.Health{Instances: c.Instances, Primary: registrar.Primary{Instance: "a", Term: 3}, UnansweredWrites: c.Stalls, StalledAt: msAgo(c.StalledMsAgo)}
	h.PrimaryView = registrar.View{Instance: cataloger.Instance{ID: "a", IsLeaving: c.LeavingMsAgo > 0}, LeavingAt: msAgo(c.LeavingMsAgo), Failures: c.Failures, FailedAt: msAgo(c.FailedMsAgo)}
	if c.LostMsAgo > 0 {
		h.Primary.Instance, h.NoPrimarySince = "", msAgo(c.LostMsAgo)
	}
	if c.AbandonedMs > 0 {
		h.AbandonedSince = msAgo(c.AbandonedMs)
	}
	return Evidence{Health: h, Now: now, Rank: c.Rank}
}

// Guards against a replacement without a reason, and against one that is too early or too late for the VM's rank.
func TestDecide(t *testing.T) {
	b, err := os.ReadFile("testdata/decide.hujson")
	if err != nil {
		t.Fatal(err)
	}
	if b, err = hujson.Standardize(b); err != nil {
		t.Fatal(err)
	}
	var cases []decideCase
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		if got := Decide(c.evidence()); got.Kind != c.Want || got.Reason != c.Reason {
			t.Errorf("%s: got %+v, want %s %s", c.Name, got, c.Want, c.Reason)
		}
	}
}

func position(term, index uint64) tokenizer.Position {
	return tokenizer.Position{Term: term, Index: index}
}

// Guards against choosing an instance that may lack an acknowledged commit, and
// against two VMs that make different choices from the same answers.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name       string
		candidates []candidate
		want       string
	}{
		{"the newest position", []candidate{{id: "b", received: position(1, 9)}, {id: "c", received: position(1, 8)}}, "b"},
		{"a later term beats a higher index", []candidate{{id: "b", received: position(2, 1)}, {id: "c", received: position(1, 80)}}, "b"},
		{"among equal ones, the first by identity", []candidate{{id: "c", received: position(1, 9)}, {id: "b", received: position(1, 9)}}, "b"},
		{"among equal ones, one that is not leaving", []candidate{{id: "b", isLeaving: true, received: position(1, 9)}, {id: "c", received: position(1, 9)}}, "c"},
		{"a leaving one is the only one with the last commit", []candidate{{id: "b", isLeaving: true, received: position(1, 10)}, {id: "c", received: position(1, 9)}}, "b"},
	} {
		for range 2 {
			if got, err := choose(c.candidates, ""); err != nil || got != c.want {
				t.Errorf("%s: got %s, %v, want %s", c.name, got, err, c.want)
			}
			c.candidates[0], c.candidates[1] = c.candidates[1], c.candidates[0]
		}
	}
	if _, err := choose(nil, ""); err == nil {
		t.Error("choose returned no error without any candidate")
	}
}

// Guards against a candidate that may lack a commit that the old primary acknowledged, when one of the replicas
// did not answer.
func TestCovering(t *testing.T) {
	candidates := covering([]candidate{{id: "b", received: position(1, 8)}, {id: "a", isOldPrimary: true, received: position(1, 9)}}, position(1, 9))
	if len(candidates) != 1 || candidates[0].id != "a" {
		t.Errorf("candidates %+v, want only the old primary a", candidates)
	}
}
