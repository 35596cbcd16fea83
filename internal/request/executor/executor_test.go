package executor

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
)

// outcomeCase is one row of testdata/outcomes.json: a unit, what fails, and
// what the caller must get.
type outcomeCase struct {
	Name     string           `json:"name"`
	Guards   string           `json:"guards"` // failure that the case guards against
	Class    exchanger.Class  `json:"class"`
	Keyed    bool             `json:"keyed"`
	Kind     string           `json:"readKind"`
	Session  string           `json:"session"`
	Texts    []string         `json:"texts"`
	Extended bool             `json:"extended"`
	Timeout  int              `json:"timeoutMs"`
	Faults   []scriptedFault  `json:"faults"`
	Refuse   int              `json:"refuse"`
	Want     classifier.Kind  `json:"want"`   // kind of the error, empty: none
	Types    string           `json:"types"`  // types of the messages that the caller gets
	Served   string           `json:"served"` // instance in the result
	Runs     map[string]int   `json:"runs"`   // committed writes
	Repeat   *classifier.Kind `json:"repeat"` // the unit is sent again with the same key; empty: the same answer
}

func (c outcomeCase) messages() []pgproto3.FrontendMessage {
	if !c.Extended {
		return queries(c.Texts...)
	}
	var m []pgproto3.FrontendMessage
	for _, t := range c.Texts {
		m = append(m, extended(t)...)
	}
	return m
}

func TestOutcomes(t *testing.T) {
	b, err := os.ReadFile("testdata/outcomes.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []outcomeCase
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			runOutcome(t, c)
		})
	}
}

func runOutcome(t *testing.T, c outcomeCase) {
	g := newGroup(t, "a", "b", "c")
	g.faults, g.refuse = c.Faults, c.Refuse
	e := newExecutor(t, g, nil)
	r := exchanger.Request{Database: "db", Class: c.Class, ReadKind: c.Kind, Session: c.Session, Timeout: 3 * time.Second}
	if c.Timeout > 0 {
		r.Timeout = time.Duration(c.Timeout) * time.Millisecond
	}
	if c.Keyed {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	s := &fakeStream{in: c.messages()}
	res, err := e.Run(t.Context(), r, s)
	if got := kindOf(err); got != c.Want {
		t.Errorf("error kind %q, want %q (%v)", got, c.Want, err)
	}
	if !matchesTypes(s.types, c.Types) {
		t.Errorf("caller got messages %q, want %q", s.types, c.Types)
	}
	if c.Served != "" && res.ServedBy != c.Served {
		t.Errorf("served by %q, want %q", res.ServedBy, c.Served)
	}
	checkRuns(t, g, c.Runs)
	checkConnections(t, e, g)
	if c.Repeat != nil {
		again := &fakeStream{in: c.messages()}
		_, err := e.Run(t.Context(), r, again)
		if got := kindOf(err); got != *c.Repeat {
			t.Errorf("repeat: error kind %q, want %q (%v)", got, *c.Repeat, err)
		}
		if err == nil && string(again.out) != string(s.out) {
			t.Errorf("repeat: answer differs:\n%q\n%q", again.out, s.out)
		}
		checkRuns(t, g, c.Runs)
	}
}

// matchesTypes compares message types. A star at the end stands for further rows.
func matchesTypes(got, want string) bool {
	head, cut := strings.CutSuffix(want, "*")
	if !cut {
		return got == want
	}
	rest, ok := strings.CutPrefix(got, head)
	return ok && strings.Trim(rest, "D") == ""
}

// checkConnections sends a transaction over every idle connection. None may be
// one that the script left in an uncertain state, or inside a transaction.
func checkConnections(t *testing.T, e *Executor, g *group) {
	t.Helper()
	for range 4 {
		s := &fakeStream{in: queries("BEGIN", "SHOW", "ROLLBACK")}
		r := exchanger.Request{Database: "db", Class: exchanger.Transaction, Timeout: 5 * time.Second}
		if _, err := e.Run(t.Context(), r, s); err != nil {
			t.Errorf("unit after the case: %v", err)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.violations {
		t.Error(v)
	}
}

func checkRuns(t *testing.T, g *group, want map[string]int) {
	t.Helper()
	if want == nil {
		want = map[string]int{}
	}
	if d := cmp.Diff(want, g.runs()); d != "" {
		t.Errorf("committed writes (-want +got):\n%s", d)
	}
}

func kindOf(err error) classifier.Kind {
	if err == nil {
		return ""
	}
	return classifier.KindOf(err)
}

// A write must not be acknowledged before a majority holds it.
func TestAcknowledgesAfterConfirmation(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.lose = true
	e := newExecutor(t, g, nil)
	s := &fakeStream{in: queries("WRITE x")}
	_, err := e.Run(t.Context(), exchanger.Request{Database: "db", Class: exchanger.Write, Timeout: 200 * time.Millisecond}, s)
	if !classifier.Is(err, classifier.OutcomeUnknown) || strings.Contains(s.types, "C") {
		t.Fatalf("got messages %q and error %v", s.types, err)
	}
}

func TestCanceledCaller(t *testing.T) {
	g := newGroup(t, "a")
	g.faults = []scriptedFault{{Instance: "a", On: "READ", Act: "silent"}}
	e := newExecutor(t, g, func(c *Config) { c.Silence = time.Minute })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := e.Run(ctx, exchanger.Request{Database: "db", Class: exchanger.Read, Timeout: time.Minute}, &fakeStream{in: queries("READ 1")})
	if !classifier.Is(err, classifier.Canceled) {
		t.Fatalf("got %v", err)
	}
	e.cfg.Pool.Close() // waits for the cancel request
	time.Sleep(20 * time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.canceled != 1 {
		t.Errorf("instance got %d cancel requests, want 1", g.canceled)
	}
}
