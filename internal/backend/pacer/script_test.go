package pacer

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// script is one case of a data file.
type script struct {
	name  string
	lines [][]string // fields
}

// readScripts reads the cases of a data file.
func readScripts(t *testing.T, path string) []script {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var scripts []script
	for line := range strings.Lines(string(b)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "case "); ok {
			scripts = append(scripts, script{name: name})
		} else if line != "" && !strings.HasPrefix(line, "#") {
			s := &scripts[len(scripts)-1]
			s.lines = append(s.lines, strings.Fields(line))
		}
	}
	return scripts
}

// number returns a field as a number.
func number(t *testing.T, field string) int {
	t.Helper()
	n, err := strconv.Atoi(field)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestPaceScript runs testdata/pace.txt. Each case names the failure that it guards against.
func TestPaceScript(t *testing.T) {
	const usual = 10
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, s := range readScripts(t, "testdata/pace.txt") {
		t.Run(s.name, func(t *testing.T) {
			var p Pace
			for _, f := range s.lines {
				n := func(k int) int { return number(t, f[k]) }
				now := start.Add(time.Duration(n(0)) * time.Millisecond)
				switch f[1] {
				case "instance":
					p = p.WithInstance(now, Instance{Slots: n(2), Pools: n(3), IsPrimary: f[4] == "yes", StartedAtMs: int64(n(5)), WarmUp: time.Duration(n(6)) * time.Millisecond}, usual)
				case "connection":
					p = p.WithConnection(usual)
				case "responses":
					for range n(2) {
						p = p.WithResponse(now, time.Duration(n(3))*time.Millisecond, n(4), usual)
					}
				case "refusal":
					p = p.WithRefusal(now, usual)
				case "ramp":
					p = p.WithRamp(now, Recovered, usual)
				default:
					t.Fatalf("unknown event %q", f[1])
				}
				ramp := string(p.Ramp())
				if ramp == "" {
					ramp = "-"
				}
				want := strings.Join(f[len(f)-2:], " ")
				if got := fmt.Sprint(p.Limit(usual), " ", ramp); got != want {
					t.Errorf("%s: got %s, want %s", strings.Join(f, " "), got, want)
				}
			}
		})
	}
}

// TestJudge runs testdata/judge.txt. Each case names the failure that it guards against.
func TestJudge(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, s := range readScripts(t, "testdata/judge.txt") {
		t.Run(s.name, func(t *testing.T) {
			var group []Observation
			for _, f := range s.lines {
				n := func(k int) int { return number(t, f[k]) }
				o := Observation{ID: f[0], Silence: ms(n(3)), Latency: ms(n(4)), Failures: n(5), LastFailedAt: now.Add(-ms(n(6))), ProbedAt: now.Add(-ms(n(7)))}
				for range n(2) {
					o.Window = o.Window.WithOutcome(now, false)
					o.Window.failedInRow = 0 // answers to other statements came between
				}
				for range n(1) {
					o.Window = o.Window.WithOutcome(now, true)
				}
				group = append(group, o)
			}
			for k, v := range Judge(group, now) {
				got := string(v.Fault)
				if got == "" {
					got = "-"
				}
				if v.IsExcluded {
					got += " excluded"
				}
				if v.MayProbe {
					got += " probe"
				}
				if want := strings.Join(s.lines[k][9:], " "); got != want {
					t.Errorf("%s: got %s, want %s", v.ID, got, want)
				}
			}
		})
	}
}

// TestReadmission guards against an instance that stays excluded long after its fault has passed. It answers one probe for each probe
// interval from the beginning on, or once it is back.
func TestReadmission(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcomes string // f: failed, a: answered
		back     time.Duration
		min, max time.Duration
	}{
		{"half of 20 statements failed", strings.Repeat("fa", 10), 0, 2 * time.Second, 8 * time.Second},
		{"a crash failed 10 statements at once", strings.Repeat("a", 10) + strings.Repeat("f", 10), time.Second, time.Second, 2500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			faulty, peer := Observation{ID: "a", LastFailedAt: now, ProbedAt: now}, Observation{ID: "b"}
			for _, o := range c.outcomes {
				faulty.Window, peer.Window = faulty.Window.WithOutcome(now, o == 'a'), peer.Window.WithOutcome(now, true)
			}
			probes, elapsed := 0, time.Duration(0)
			for ; elapsed < 20*time.Second; elapsed += 10 * time.Millisecond {
				at := now.Add(elapsed)
				v := Judge([]Observation{faulty, peer}, at)[0]
				if v.Fault == "" {
					break
				}
				if v.MayProbe {
					probes++
					faulty.ProbedAt, faulty.Window = at, faulty.Window.WithOutcome(at, elapsed >= c.back)
				}
			}
			t.Logf("readmitted after %v and %d probes", elapsed, probes)
			if elapsed < c.min || elapsed > c.max || probes > 16 {
				t.Errorf("readmitted after %v and %d probes, want %v to %v and at most 16", elapsed, probes, c.min, c.max)
			}
		})
	}
}
