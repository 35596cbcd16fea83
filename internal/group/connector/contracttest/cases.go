package contracttest

import (
	"errors"
	"slices"
	"time"

	"github.com/jackc/pgx/v5"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
)

// stateReadOnly is the SQLSTATE with which a replica refuses a write, read_only_sql_transaction.
const stateReadOnly = "25006"

// cases holds one check for each failure that an instance must prevent. The comment above a case names the failure.
var cases = []struct {
	name  string
	check func(g *group)
}{
	// Two promoters both believe that they fenced a majority at the same term.
	{"FenceNeedsHigherTerm", checkFenceNeedsHigherTerm},
	// A replaced primary acknowledges a write.
	{"WriteAfterFence", checkWriteAfterFence},
	// A transaction that was open when the primary was fenced commits afterwards.
	{"CommitAfterFence", checkCommitAfterFence},
	// A replica that was fenced for a new term, and counts towards its majority, still stores entries of the old term.
	{"FencedReplicaStoresNoEntries", checkFencedReplica},
	// An instance is promoted at a term that it was not fenced at, or after it was fenced at a higher term.
	{"PromotionAtWrongTerm", checkPromotionAtWrongTerm},
	// Two instances become primary of the same term.
	{"TwoPromotersAtOneTerm", checkTwoPromotersAtOneTerm},
	// Entries of older terms are confirmed on a new primary before an entry of its own term is replicated.
	{"FirstEntryOfTerm", checkFirstEntryOfTerm},
	// A new primary serves reads that do not see entries in its own log.
	{"PromotionAppliesStoredEntries", checkPromotionAppliesStoredEntries},
	// A promotion that is repeated after a lost answer writes the first entry of the term again.
	{"PromotionIsIdempotent", checkPromotionIdempotent},
	// A replaced primary keeps rows that no other instance has when it rejoins as a replica.
	{"UnreplicatedEntriesDiscardedOnRejoin", checkUnreplicatedEntriesDiscarded},
	// An instance follows the primary of a promoter that has been superseded by a higher term.
	{"FollowBelowFence", checkFollowBelowFence},
	// A replica of a new term stores entries of a replaced primary.
	{"FollowReplacedPrimary", checkFollowReplacedPrimary},
	// A primary becomes a replica within its own term.
	{"FollowAtOwnTerm", checkFollowAtOwnTerm},
	// A replica accepts a write.
	{"WriteOnReplica", checkWriteOnReplica},
	// An instance loses a fence, a promotion or a log entry by a restart.
	{"StatusAfterRestart", checkStatusAfterRestart},
	// A status reports entries as applied before reads see them.
	{"ApplyDelay", checkApplyDelay},
	// A status reports entries as stored that the replica has not received, which a crash of the primary would lose.
	{"ReceiveDelay", checkReceiveDelay},
}

func checkFenceNeedsHigherTerm(g *group) {
	g.fence(5, 1)
	for _, term := range []uint64{0, 4, 5} {
		if _, err := g.clients[1].Fence(g.Context(), term); !errors.Is(err, connector.ErrFenced) {
			g.Errorf("fence at term %d after term 5: got %v, want %v", term, err, connector.ErrFenced)
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
	if _, err := g.tryExec(0, "INSERT INTO contract VALUES (2)"); sqlState(err) != connector.SQLStateFenced {
		g.Errorf("write after fence: got %v, want SQLSTATE %s", err, connector.SQLStateFenced)
	}
	if s := g.status(0); s.Last != last || s.Applied != last {
		g.Errorf("refused write changed the log: status %+v, want last entry %s", s, last)
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
	if err := tx.Commit(g.Context()); sqlState(err) != connector.SQLStateFenced {
		g.Errorf("commit after fence: got %v, want SQLSTATE %s", err, connector.SQLStateFenced)
	}
	if s := g.status(0); s.Last != before {
		g.Errorf("refused commit moved the end of the log from %s to %s", before, s.Last)
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
	time.Sleep(300 * time.Millisecond) // long enough for several pulls
	if s := g.status(1); s.Last != p || s.Connected {
		g.Errorf("status of fenced replica: %+v, want last entry %s and not connected", s, p)
	}
}

func checkPromotionAtWrongTerm(g *group) {
	g.fence(3, 1)
	for _, c := range []struct {
		term uint64
		want error
	}{{1, connector.ErrFenced}, {2, connector.ErrFenced}, {4, connector.ErrNotFenced}} {
		if _, err := g.clients[1].Promote(g.Context(), c.term); !errors.Is(err, c.want) {
			g.Errorf("promotion at term %d with fence term 3: got %v, want %v", c.term, err, c.want)
		}
	}
	if s := g.status(1); s.Role != connector.RoleReplica || s.FenceTerm != 3 {
		g.Errorf("status after refused promotions: %+v", s)
	}
}

func checkTwoPromotersAtOneTerm(g *group) {
	g.awaitApplied(1, g.status(0).Last)
	g.fence(2, 0, 1)
	if _, err := g.clients[1].Fence(g.Context(), 2); !errors.Is(err, connector.ErrFenced) {
		g.Errorf("fence by a second promoter at the same term: got %v, want %v", err, connector.ErrFenced)
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

func checkFirstEntryOfTerm(g *group) {
	p := g.insert(0, 1)
	g.awaitApplied(1, p)
	g.fence(2, 0, 1)
	want := tokenizer.Position{Term: 2, Index: p.Index + 1}
	s := g.promote(1, 2)
	if s.Role != connector.RolePrimary || s.Last != want || s.Applied != want || s.FenceTerm != 2 {
		g.Errorf("status after promotion: %+v, want primary of term 2 with last and applied entry %s", s, want)
	}
	if got := g.insert(1, 2); got != (tokenizer.Position{Term: 2, Index: want.Index + 1}) {
		g.Errorf("first write of the term is at %s, want the position after %s", got, want)
	}
}

func checkPromotionAppliesStoredEntries(g *group) {
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
		g.Errorf("repeated promotion moved the end of the log from %s to %s", first.Last, again.Last)
	}
	g.fence(3, 1)
	if _, err := g.clients[1].Promote(g.Context(), 2); !errors.Is(err, connector.ErrFenced) {
		g.Errorf("repeated promotion after a higher fence: got %v, want %v", err, connector.ErrFenced)
	}
}

func checkUnreplicatedEntriesDiscarded(g *group) {
	p := g.insert(0, 1)
	g.awaitApplied(1, p)
	g.awaitApplied(2, p)
	g.fence(2, 1, 2) // the primary of term 1 is not fenced and continues to accept writes
	for id := range int64(20) {
		g.insert(0, 100+id)
	}
	if s := g.status(0); s.Last.Index != p.Index+20 {
		g.Fatalf("replaced primary after 20 unreplicated writes: status %+v", s)
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
			g.Errorf("rows of member %d: %v, want [1 2]", i, ids)
		}
	}
	g.await(0, "connection", func(s connector.Status) bool { return s.Connected })
	if _, err := open.Exec(g.Context(), "COMMIT"); err == nil {
		g.Error("transaction that was open during the demotion committed")
	}
	g.awaitApplied(0, g.insert(1, 3))
}

// openWrite starts a transaction on member i, writes a row in it and leaves it open.
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
		g.Errorf("follow at term 2 with fence term 3: got %v, want %v", err, connector.ErrFenced)
	}
	if s := g.follow(2, 4, 1); s.FenceTerm != 4 {
		g.Errorf("fence term after follow at term 4 is %d, want 4", s.FenceTerm)
	}
	if _, err := g.clients[2].Fence(g.Context(), 4); !errors.Is(err, connector.ErrFenced) {
		g.Errorf("fence at term 4 after follow at term 4: got %v, want %v", err, connector.ErrFenced)
	}
}

func checkFollowReplacedPrimary(g *group) {
	p := g.insert(0, 1)
	g.awaitApplied(2, p)
	g.follow(2, 2, 0)
	g.insert(0, 2)
	time.Sleep(300 * time.Millisecond) // long enough for several pulls
	if s := g.status(2); s.Last != p || s.Connected {
		g.Errorf("status of replica that follows a primary of term 1 at term 2: %+v, want last entry %s and not connected", s, p)
	}
}

func checkFollowAtOwnTerm(g *group) {
	if _, err := g.clients[0].Follow(g.Context(), 1, g.members[1].Address); !errors.Is(err, connector.ErrTermTaken) {
		g.Errorf("follow at term 1 on the primary of term 1: got %v, want %v", err, connector.ErrTermTaken)
	}
	g.insert(0, 1)
}

func checkWriteOnReplica(g *group) {
	g.awaitApplied(1, g.status(0).Last)
	if _, err := g.tryExec(1, "INSERT INTO contract VALUES (1)"); sqlState(err) != stateReadOnly {
		g.Errorf("write on a replica: got %v, want SQLSTATE %s", err, stateReadOnly)
	}
}

func checkStatusAfterRestart(g *group) {
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
		_, _ = g.clients[i].Status(g.Context()) // fails, because the restart closed the connection, and disconnects
		after := g.status(i)
		if after.Role != before[i].Role || after.FenceTerm != before[i].FenceTerm || after.Last != before[i].Last || after.Applied != before[i].Applied {
			g.Errorf("status of member %d after restart: %+v, before: %+v", i, after, before[i])
		}
	}
	if s := g.status(1); s.Last != last {
		g.Errorf("last entry after restart: %s, want %s", s.Last, last)
	}
	g.insert(1, 3)
	if _, err := g.tryExec(0, "INSERT INTO contract VALUES (4)"); sqlState(err) != connector.SQLStateFenced {
		g.Errorf("write on a fenced primary after restart: got %v, want SQLSTATE %s", err, connector.SQLStateFenced)
	}
}

func checkApplyDelay(g *group) {
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
		g.Errorf("reads see rows %v before the apply delay has passed", ids)
	}
	g.awaitApplied(1, p)
	if d := time.Since(start); d < delay {
		g.Errorf("entry applied after %v, want at least the apply delay of %v", d, delay)
	}
	if ids := g.ids(1); !slices.Equal(ids, []int64{1}) {
		g.Errorf("rows after the apply delay: %v, want [1]", ids)
	}
}

func checkReceiveDelay(g *group) {
	const delay = 400 * time.Millisecond
	g.awaitApplied(1, g.status(0).Last)
	g.members[1].SetDelays(delay, 0)
	start := time.Now()
	p := g.insert(0, 1)
	g.awaitApplied(1, p)
	if d := time.Since(start); d < delay {
		g.Errorf("entry stored and applied after %v, want at least the receive delay of %v", d, delay)
	}
}
