package contracttest

import (
	"errors"
	"slices"
	"time"

	"github.com/jackc/pgx/v5"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
)

// stateReadOnly refuses a write on a replica.
const stateReadOnly = "25006"

// cases guard against one failure each, which its comment names.
var cases = []struct {
	name  string
	check func(g *group)
}{
	// Two promoters that both believe they fenced a majority at one term.
	{"FenceOnlyRises", checkFenceOnlyRises},
	// A replaced primary that acknowledges a write.
	{"WriteAfterFence", checkWriteAfterFence},
	// A transaction that was open during the fence and commits afterwards.
	{"CommitAfterFence", checkCommitAfterFence},
	// A replica that was counted for a new term and still takes entries of the old one.
	{"FencedReplicaTakesNoEntries", checkFencedReplica},
	// A promotion that its promoter has not fenced, or that a newer one has overtaken.
	{"PromotionAtWrongTerm", checkPromotionAtWrongTerm},
	// Two primaries of one term.
	{"TwoPromotersAtOneTerm", checkTwoPromoters},
	// A new primary whose older entries get confirmed before its term is established.
	{"FirstEntryOfTerm", checkFirstEntry},
	// A new primary that serves reads without entries it holds.
	{"PromotionAppliesHeldEntries", checkPromotionApplies},
	// A repeated promotion, after a lost answer, that writes a second first entry.
	{"PromotionIsIdempotent", checkPromotionIdempotent},
	// Rows of a replaced primary that no other instance has.
	{"TailDroppedOnRejoin", checkTailDropped},
	// An order to follow from a promoter that was overtaken.
	{"FollowBelowFence", checkFollowBelowFence},
	// A replica of a new term that takes entries of a replaced primary.
	{"FollowReplacedPrimary", checkFollowReplaced},
	// A primary that gives its own term up.
	{"FollowAtOwnTerm", checkFollowAtOwnTerm},
	// A replica that accepts writes.
	{"WriteOnReplica", checkWriteOnReplica},
	// An instance that forgets a fence, a promotion or an entry.
	{"StatusAfterRestart", checkRestart},
	// A status that counts entries as applied before reads see them.
	{"Lag", checkLag},
	// A status that counts entries as held that a crash of the primary would lose.
	{"ReceiveLag", checkReceiveLag},
}

func checkFenceOnlyRises(g *group) {
	g.fence(5, 1)
	for _, term := range []uint64{0, 4, 5} {
		if _, err := g.clients[1].Fence(g.Context(), term); !errors.Is(err, connector.ErrFenced) {
			g.Errorf("fence at %d after 5: got %v, want %v", term, err, connector.ErrFenced)
		}
	}
	if s := g.status(1); s.FenceTerm != 5 || s.Role != connector.RoleReplica {
		g.Errorf("status after refused fences: %+v", s)
	}
	g.fence(6, 1)
}

func checkWriteAfterFence(g *group) {
	last := g.insert(0, 1)
	g.fence(2, 0)
	if _, err := g.tryExec(0, "INSERT INTO contract VALUES (2)"); sqlState(err) != connector.StateFenced {
		g.Errorf("write after fence: got %v, want SQLSTATE %s", err, connector.StateFenced)
	}
	if s := g.status(0); s.Last != last || s.Applied != last {
		g.Errorf("refused write moved the log: %+v, want %s", s, last)
	}
	if ids := g.ids(0); !slices.Equal(ids, []int64{1}) {
		g.Errorf("rows after refused write: %v", ids)
	}
}

func checkCommitAfterFence(g *group) {
	c := g.connect(0)
	tx, err := c.Begin(g.Context())
	if err != nil {
		g.Fatal(err)
	}
	if _, err := tx.Exec(g.Context(), "INSERT INTO contract VALUES (1)"); err != nil {
		g.Fatal(err)
	}
	before := g.status(0).Last
	g.fence(2, 0)
	if err := tx.Commit(g.Context()); sqlState(err) != connector.StateFenced {
		g.Errorf("commit after fence: got %v, want SQLSTATE %s", err, connector.StateFenced)
	}
	if s := g.status(0); s.Last != before {
		g.Errorf("refused commit moved the log from %s to %s", before, s.Last)
	}
	if ids := g.ids(0); len(ids) != 0 {
		g.Errorf("rows after refused commit: %v", ids)
	}
}

func checkFencedReplica(g *group) {
	p := g.insert(0, 1)
	g.awaitApplied(1, p)
	g.awaitApplied(2, p)
	g.fence(2, 1)
	last := g.insert(0, 2)
	g.awaitApplied(2, last)
	time.Sleep(300 * time.Millisecond) // several pulls
	if s := g.status(1); s.Last != p || s.Connected {
		g.Errorf("fenced replica: %+v, want last %s and not connected", s, p)
	}
}

func checkPromotionAtWrongTerm(g *group) {
	g.fence(3, 1)
	for _, c := range []struct {
		term uint64
		want error
	}{{1, connector.ErrFenced}, {2, connector.ErrFenced}, {4, connector.ErrNotFenced}} {
		if _, err := g.clients[1].Promote(g.Context(), c.term); !errors.Is(err, c.want) {
			g.Errorf("promote at %d with fence term 3: got %v, want %v", c.term, err, c.want)
		}
	}
	if s := g.status(1); s.Role != connector.RoleReplica || s.FenceTerm != 3 {
		g.Errorf("status after refused promotions: %+v", s)
	}
}

func checkTwoPromoters(g *group) {
	g.awaitApplied(1, g.status(0).Last)
	g.fence(2, 0, 1)
	if _, err := g.clients[1].Fence(g.Context(), 2); !errors.Is(err, connector.ErrFenced) {
		g.Errorf("second promoter's fence: got %v, want %v", err, connector.ErrFenced)
	}
	g.promote(1, 2)
	g.follow(2, 2, 1)
	if _, err := g.clients[2].Promote(g.Context(), 2); !errors.Is(err, connector.ErrTermTaken) {
		g.Errorf("promotion of a follower at its own term: got %v, want %v", err, connector.ErrTermTaken)
	}
	if s := g.status(2); s.Role != connector.RoleReplica {
		g.Errorf("status after refused promotion: %+v", s)
	}
}

func checkFirstEntry(g *group) {
	p := g.insert(0, 1)
	g.awaitApplied(1, p)
	g.fence(2, 0, 1)
	want := tokenizer.Position{Term: 2, Index: p.Index + 1}
	s := g.promote(1, 2)
	if s.Role != connector.RolePrimary || s.Last != want || s.Applied != want || s.FenceTerm != 2 {
		g.Errorf("status after promotion: %+v, want primary at %s", s, want)
	}
	if got := g.insert(1, 2); got != (tokenizer.Position{Term: 2, Index: want.Index + 1}) {
		g.Errorf("first write of the term is at %s after %s", got, want)
	}
}

func checkPromotionApplies(g *group) {
	g.members[1].SetDelays(0, time.Minute)
	p := g.insert(0, 1)
	g.await(1, "last entry", func(s connector.Status) bool { return s.Last == p })
	g.fence(2, 0, 1)
	g.promote(1, 2)
	if ids := g.ids(1); !slices.Equal(ids, []int64{1}) {
		g.Errorf("rows after promotion: %v", ids)
	}
}

func checkPromotionIdempotent(g *group) {
	g.fence(2, 0, 1)
	first := g.promote(1, 2)
	if again := g.promote(1, 2); again.Last != first.Last {
		g.Errorf("repeated promotion moved the log from %s to %s", first.Last, again.Last)
	}
	g.fence(3, 1)
	if _, err := g.clients[1].Promote(g.Context(), 2); !errors.Is(err, connector.ErrFenced) {
		g.Errorf("repeated promotion after a higher fence: got %v, want %v", err, connector.ErrFenced)
	}
}

func checkTailDropped(g *group) {
	p := g.insert(0, 1)
	g.awaitApplied(1, p)
	g.awaitApplied(2, p)
	g.fence(2, 1, 2) // the primary of term 1 is cut off and goes on
	for id := range int64(20) {
		g.insert(0, 100+id)
	}
	if s := g.status(0); s.Last.Index != p.Index+20 {
		g.Fatalf("tail of the replaced primary: %+v", s)
	}
	open := g.openWrite(0)
	g.promote(1, 2)
	g.follow(2, 2, 1)
	last := g.insert(1, 2)
	if s := g.follow(0, 2, 1); s.Role != connector.RoleReplica || s.FenceTerm != 2 || s.Upstream != g.members[1].Address {
		g.Errorf("status after follow: %+v", s)
	}
	for i := range g.members {
		g.awaitApplied(i, last)
		if ids := g.ids(i); !slices.Equal(ids, []int64{1, 2}) {
			g.Errorf("rows of member %d: %v, want 1 and 2", i, ids)
		}
	}
	g.await(0, "connection", func(s connector.Status) bool { return s.Connected })
	if _, err := open.Exec(g.Context(), "COMMIT"); err == nil {
		g.Error("a transaction that was open during the demotion committed")
	}
	g.awaitApplied(0, g.insert(1, 3))
}

// openWrite leaves a transaction with a write open on member i.
func (g *group) openWrite(i int) *pgx.Conn {
	g.Helper()
	c := g.connect(i)
	for _, sql := range []string{"BEGIN", "INSERT INTO contract VALUES (999)"} {
		if _, err := c.Exec(g.Context(), sql); err != nil {
			g.Fatal(err)
		}
	}
	return c
}

func checkFollowBelowFence(g *group) {
	g.fence(3, 2)
	if _, err := g.clients[2].Follow(g.Context(), 2, g.members[1].Address); !errors.Is(err, connector.ErrFenced) {
		g.Errorf("follow at 2 with fence term 3: got %v, want %v", err, connector.ErrFenced)
	}
	if s := g.follow(2, 4, 1); s.FenceTerm != 4 {
		g.Errorf("follow at 4 leaves fence term %d", s.FenceTerm)
	}
	if _, err := g.clients[2].Fence(g.Context(), 4); !errors.Is(err, connector.ErrFenced) {
		g.Errorf("fence at 4 after follow at 4: got %v, want %v", err, connector.ErrFenced)
	}
}

func checkFollowReplaced(g *group) {
	p := g.insert(0, 1)
	g.awaitApplied(2, p)
	g.follow(2, 2, 0)
	g.insert(0, 2)
	time.Sleep(300 * time.Millisecond) // several pulls
	if s := g.status(2); s.Last != p || s.Connected {
		g.Errorf("follower at term 2 of a primary of term 1: %+v, want last %s and not connected", s, p)
	}
}

func checkFollowAtOwnTerm(g *group) {
	if _, err := g.clients[0].Follow(g.Context(), 1, g.members[1].Address); !errors.Is(err, connector.ErrTermTaken) {
		g.Errorf("primary of term 1 follows at term 1: got %v, want %v", err, connector.ErrTermTaken)
	}
	g.insert(0, 1)
}

func checkWriteOnReplica(g *group) {
	g.awaitApplied(1, g.status(0).Last)
	if _, err := g.tryExec(1, "INSERT INTO contract VALUES (1)"); sqlState(err) != stateReadOnly {
		g.Errorf("write on a replica: got %v, want SQLSTATE %s", err, stateReadOnly)
	}
}

func checkRestart(g *group) {
	p := g.insert(0, 1)
	g.awaitApplied(1, p)
	g.awaitApplied(2, p)
	g.fence(2, 0, 1)
	g.promote(1, 2)
	last := g.insert(1, 2)
	g.fence(7, 2)
	var before [3]connector.Status
	for i := range g.members {
		before[i] = g.status(i)
	}
	for i, m := range g.members {
		m.Restart(g.T)
		_, _ = g.clients[i].Status(g.Context()) // fails on the connection that the restart has closed
		after := g.status(i)
		if after.Role != before[i].Role || after.FenceTerm != before[i].FenceTerm || after.Last != before[i].Last || after.Applied != before[i].Applied {
			g.Errorf("member %d after restart: %+v, before %+v", i, after, before[i])
		}
	}
	if s := g.status(1); s.Last != last {
		g.Errorf("last entry after restart: %s, want %s", s.Last, last)
	}
	g.insert(1, 3)
	if _, err := g.tryExec(0, "INSERT INTO contract VALUES (4)"); sqlState(err) != connector.StateFenced {
		g.Errorf("write on a fenced primary after restart: got %v, want SQLSTATE %s", err, connector.StateFenced)
	}
}

func checkLag(g *group) {
	const delay = 400 * time.Millisecond
	g.awaitApplied(1, g.status(0).Last)
	g.members[1].SetDelays(0, delay)
	start := time.Now()
	p := g.insert(0, 1)
	s := g.await(1, "last entry", func(s connector.Status) bool { return s.Last == p })
	if s.Applied == p && time.Since(start) < delay {
		g.Errorf("entry applied %v after the write, before the delay of %v", time.Since(start), delay)
	}
	if ids := g.ids(1); len(ids) != 0 && time.Since(start) < delay {
		g.Errorf("reads see %v before the delay", ids)
	}
	g.awaitApplied(1, p)
	if d := time.Since(start); d < delay {
		g.Errorf("applied after %v, delay %v", d, delay)
	}
	if ids := g.ids(1); !slices.Equal(ids, []int64{1}) {
		g.Errorf("rows after the delay: %v", ids)
	}
}

func checkReceiveLag(g *group) {
	const delay = 400 * time.Millisecond
	g.awaitApplied(1, g.status(0).Last)
	g.members[1].SetDelays(delay, 0)
	start := time.Now()
	p := g.insert(0, 1)
	g.awaitApplied(1, p)
	if d := time.Since(start); d < delay {
		g.Errorf("held after %v, delay %v", d, delay)
	}
}
