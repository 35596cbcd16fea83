package verifier

import (
	"context"
	"encoding/json"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tailscale/hujson"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// instance is what an instance answers.
type instance struct {
	Role    string `json:"role"`
	Term    uint64 `json:"term"`
	Entry   uint64 `json:"entry"`
	DelayMs int    `json:"delayMs"`
	Busy    int    `json:"busy"` // number of questions for its state that it refuses
}

func (i instance) position() tokenizer.Position { return tokenizer.Position{Term: i.Entry, Index: 7} }

// leadCase is a case of testdata/lead.hujson.
type leadCase struct {
	Name  string          `json:"name"`
	Sync  int             `json:"sync"`
	Known uint64          `json:"known"` // a term that the VM has seen, after which the registry names a as the primary; 0: none
	Want  classifier.Kind `json:"want"`  // of the round's error; "": none
	A     instance        `json:"a"`
	B     instance        `json:"b"`
	C     instance        `json:"c"`
}

// fakeGroup is a group of the instances a, b and c.
type fakeGroup struct {
	group     *registrar.Group
	sync      int
	mu        sync.Mutex
	instances map[string]instance
	begins    int
	states    int
}

func newFakeGroup(c leadCase) *fakeGroup {
	start := time.Now()
	r := registrar.New(func() time.Duration { return time.Since(start) })
	reg := cataloger.Registry{}
	for _, id := range []string{"a", "b", "c"} {
		reg[id] = cataloger.Instance{ID: id, Group: "g", Address: id, IsPrimary: id == "a"}
	}
	r.Update(reg)
	g := r.Group("g")
	if c.A.Role == "primary" && c.A.Entry > 0 {
		g.RecordRole(registrar.Proof{Instance: "a", Position: c.A.position()})
	}
	if c.Known > 0 {
		g.RecordTerm(c.Known)
		g.SuggestPrimary("a")
	}
	return &fakeGroup{group: g, sync: c.Sync, instances: map[string]instance{"a": c.A, "b": c.B, "c": c.C}}
}

func (f *fakeGroup) verifier() *Verifier {
	return New(Config{Begin: f.begin, Status: f.status, SyncReplicas: func(string) int { return f.sync }})
}

func (f *fakeGroup) begin(ctx context.Context, g *registrar.Group, v registrar.View) error {
	ctx, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
	defer cancel()
	f.mu.Lock()
	f.begins++
	i := f.instances[v.ID]
	f.mu.Unlock()
	time.Sleep(time.Duration(i.DelayMs) * time.Millisecond)
	switch {
	case i.Role == "down":
		<-ctx.Done()
		return ctx.Err()
	}
	if i.Entry > 0 {
		g.RecordAnswer(v.ID, i.position(), 0)
	}
	if i.Role == "replica" {
		return classifier.New(classifier.NotPrimary, "%s", v.ID)
	}
	return nil
}

func (f *fakeGroup) status(ctx context.Context, t carrier.Target) (carrier.InstanceStatus, error) {
	f.mu.Lock()
	f.states++
	i := f.instances[t.Instance]
	if i.Busy > 0 {
		i.Busy--
		f.instances[t.Instance] = i
		f.mu.Unlock()
		return carrier.InstanceStatus{}, classifier.New(classifier.Overloaded, "%s", t.Instance)
	}
	f.mu.Unlock()
	time.Sleep(time.Duration(i.DelayMs) * time.Millisecond)
	if i.Role == "down" {
		<-ctx.Done()
		return carrier.InstanceStatus{}, ctx.Err()
	}
	return carrier.InstanceStatus{IsPrimary: i.Role == "primary", Term: i.Term, Received: i.position()}, nil
}

// Guards against reads at a primary that has been replaced, and against a healthy primary that is not used because an
// instance is down, slow or busy.
func TestLead(t *testing.T) {
	b, err := os.ReadFile("testdata/lead.hujson")
	if err != nil {
		t.Fatal(err)
	}
	if b, err = hujson.Standardize(b); err != nil {
		t.Fatal(err)
	}
	var cases []leadCase
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeGroup(c)
				_, err := f.verifier().Start(f.group, "a").Wait(t.Context())
				if c.Want == "" && err != nil || c.Want != "" && !classifier.Is(err, c.Want) {
					t.Errorf("round ended with %v, want kind %q", err, c.Want)
				}
				if isHealthy := c.Want == "" && c.B.Role == "replica" && c.C.Role == "replica" && c.C.DelayMs == 0; isHealthy && f.states > 0 {
					t.Errorf("%d questions for states although all others refused a begin, want none", f.states)
				}
				time.Sleep(time.Second) // until no goroutine of the round is left
			})
		})
	}
}

// Guards against a statement that relies on a round which began before the statement arrived, and against a round for
// each of many statements.
func TestRoundsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeGroup(leadCase{Sync: 1, A: instance{Role: "primary", Term: 1}, B: instance{Role: "replica", Term: 1, DelayMs: 20}, C: instance{Role: "replica", Term: 1, DelayMs: 20}})
		v := f.verifier()
		var wg sync.WaitGroup
		for range 100 {
			arrivedAt := f.group.Now()
			r := v.Start(f.group, "a")
			wg.Go(func() {
				if startedAt, err := r.Wait(t.Context()); err != nil || startedAt < arrivedAt {
					t.Errorf("round started at %v and ended with %v, want one from %v on", startedAt, err, arrivedAt)
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		if maxBegins := 2 * (100/20 + 2); f.begins > maxBegins {
			t.Errorf("%d begins for 100 statements in 100 ms, want at most %d", f.begins, maxBegins)
		}
	})
}

// Guards against an instance that is left out for good after a failure, so that each round occupies slots of the others.
func TestFailedInstanceReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := instance{Role: "replica", Term: 1, Entry: 1}
		f := newFakeGroup(leadCase{Sync: 1, A: instance{Role: "primary", Term: 1, Entry: 1}, B: replica, C: replica})
		v := f.verifier()
		f.group.RecordFailure("c")
		for range 50 {
			if _, err := v.Start(f.group, "a").Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if f.states > 2 {
			t.Errorf("%d questions for states in 50 rounds after one failure, want at most 2", f.states)
		}
	})
}
