package executor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
)

// Sizes of TestRandomFaults.
const (
	randomWriters = 12
	randomWrites  = 25
)

// sentWrite is one write of TestRandomFaults and what its caller was told.
type sentWrite struct {
	id    string
	class exchanger.Class
	keyed bool
	err   error
	maybe bool // an earlier attempt ended with an unknown outcome
}

// Whatever fails and in whatever order, an acknowledged write is there once, a
// write that was refused as not run is not there, and no write is there twice.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, "a", "b", "c")
			gateways := []*Executor{newExecutor(t, g, nil), newExecutor(t, g, nil)}
			writes := sendWrites(t.Context(), g, gateways, seed)
			g.settle()
			checkWrites(t, g, writes)
		})
	}
}

func sendWrites(ctx context.Context, g *group, gateways []*Executor, seed uint64) []sentWrite {
	writes := make([]sentWrite, randomWriters*randomWrites)
	var wg sync.WaitGroup
	for w := range randomWriters {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(w)))
			for n := range randomWrites {
				if r.IntN(4) == 0 {
					g.disturb(r)
				}
				i := w*randomWrites + n
				writes[i] = sendWrite(ctx, gateways, r, fmt.Sprintf("w%d", i))
			}
		})
	}
	wg.Wait()
	return writes
}

// sendWrite sends one write, and repeats a keyed one through the other gateway
// as a caller does that was told to repeat.
func sendWrite(ctx context.Context, gateways []*Executor, r *rand.Rand, id string) sentWrite {
	w := sentWrite{id: id, class: exchanger.Write, keyed: r.IntN(4) > 0}
	texts := []string{"WRITE " + id + " RETURNING 2"}
	if r.IntN(3) == 0 {
		w.class, texts = exchanger.Transaction, []string{"BEGIN", "WRITE " + id, "COMMIT"}
	}
	q := exchanger.Request{Database: "db", Class: w.class, Timeout: 800 * time.Millisecond}
	if w.keyed {
		q.Key = uuid.Must(uuid.NewV7()).String()
	}
	for n := range 3 {
		_, w.err = gateways[(n+r.IntN(2))%2].Run(ctx, q, &fakeStream{in: queries(texts...)})
		if !w.keyed || w.err == nil || classifier.AnswerTo(classifier.KindOf(w.err)).Ran != classifier.RanUnknown {
			break
		}
		w.maybe = true
	}
	return w
}

// settle ends the faults and a loss of replication.
func (g *group) settle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = nil
	if g.lose {
		g.promote(map[string]string{"a": "b", "b": "c", "c": "a"}[g.primary])
	}
}

// disturb adds a random fault or changes the primary.
func (g *group) disturb(r *rand.Rand) {
	pick := func(s ...string) string { return s[r.IntN(len(s))] }
	g.mu.Lock()
	defer g.mu.Unlock()
	f := scriptedFault{
		Instance: g.primary,
		On:       pick("BEGIN", "INSERT", "WRITE", "UPDATE", "COMMIT", "COMMIT", "SELECT", "ROLLBACK"),
		Act:      pick("closeBefore", "closeAfter", "closeBefore", "closeAfter", "silent", "silentAfter", "locked"),
	}
	switch r.IntN(12) {
	case 0:
		f.Lose, f.Promote = true, other(g.primary, r)
	case 1:
		f.Promote = other(g.primary, r)
	case 2:
		g.promote(other(g.primary, r))
		return
	}
	if f.Act == "locked" {
		f.On = "INSERT INTO"
	}
	g.faults = append(g.faults, f)
}

func other(primary string, r *rand.Rand) string {
	for {
		if n := string("abc"[r.IntN(3)]); n != primary {
			return n
		}
	}
}

func checkWrites(t *testing.T, g *group, writes []sentWrite) {
	runs := g.runs()
	count := map[classifier.Kind]int{}
	for _, w := range writes {
		k := kindOf(w.err)
		count[k]++
		ran := classifier.AnswerTo(k).Ran
		if w.maybe && k != classifier.NotRun && ran == classifier.RanNo {
			// The repeat did not run; only notRun speaks for the key.
			ran = classifier.RanUnknown
		}
		n := runs[w.id]
		switch {
		case w.err == nil && n != 1, ran == classifier.RanYes && n != 1, w.err != nil && ran == classifier.RanNo && n != 0, n > 1:
			t.Errorf("%s %s, keyed %t: committed %d times, told %v", w.class, w.id, w.keyed, n, w.err)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t.Logf("answers %v, term %d", count, g.term)
	for _, v := range g.violations {
		t.Error(v)
	}
}
