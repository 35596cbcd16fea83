package emulator

import (
	"context"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/telemetry/logger"
)

// applyRetry is the pause after entries could not be applied.
const applyRetry = 100 * time.Millisecond

// applyLoop applies held entries on a replica until ctx is done.
func (g *group) applyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		changed := g.changed
		wait := g.nextDue(time.Now())
		g.mu.Unlock()
		if wait == 0 {
			if err := g.applyDue(ctx); err != nil && ctx.Err() == nil {
				g.events.Warn(logger.ApplyFailed, logger.Err(err))
				sleeper.Sleep(ctx, applyRetry)
			}
			continue
		}
		g.waitChange(ctx, changed, wait)
	}
}

// noEntryDue is the wait when nothing is left to apply.
const noEntryDue = time.Hour

// nextDue returns the time until the next entry has to be applied. The caller holds mu.
func (g *group) nextDue(now time.Time) time.Duration {
	next := g.applied.Index + 1
	if g.meta.Role != connector.RoleReplica || next > g.log.last().Index {
		return noEntryDue
	}
	held, ok := g.heldAt[next]
	if !ok || next <= g.rebuildTo {
		return 0
	}
	return max(0, held.Add(g.applyDelay).Sub(now))
}

func (g *group) waitChange(ctx context.Context, changed chan struct{}, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// applyDue applies one batch of due entries.
func (g *group) applyDue(ctx context.Context) error {
	g.applying.Lock()
	defer g.applying.Unlock()
	g.mu.Lock()
	if g.nextDue(time.Now()) > 0 {
		g.mu.Unlock()
		return nil
	}
	n := g.countDue(time.Now())
	g.mu.Unlock()
	return g.applyBatch(ctx, n)
}

// countDue returns the number of due entries, at least 1. The caller holds mu and has found one.
func (g *group) countDue(now time.Time) int {
	n := 1
	for n < maxApplyBatch && g.applied.Index+uint64(n) < g.log.last().Index {
		held, ok := g.heldAt[g.applied.Index+uint64(n)+1]
		if ok && held.Add(g.applyDelay).After(now) {
			break
		}
		n++
	}
	return n
}

// applyRest applies everything that the log holds. The caller holds applying or is alone.
func (g *group) applyRest(ctx context.Context) error {
	for {
		g.mu.Lock()
		done := g.applied.Index == g.log.last().Index
		g.mu.Unlock()
		if done {
			return nil
		}
		if err := g.applyBatch(ctx, maxApplyBatch); err != nil {
			return err
		}
	}
}

// applyBatch applies up to n entries. The caller holds applying, so neither
// the store nor the entries up to the last one change meanwhile.
func (g *group) applyBatch(ctx context.Context, n int) error {
	g.mu.Lock()
	st, from := g.store, g.applied.Index
	lines, err := g.log.read(from, n)
	g.mu.Unlock()
	if err != nil {
		return err
	}
	entries, err := decodeLines(lines)
	if err != nil {
		return err
	}
	if err := st.lock(ctx); err != nil {
		return err
	}
	err = st.apply(ctx, entries)
	st.unlock()
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := from + 1; i <= from+uint64(len(entries)); i++ {
		delete(g.heldAt, i)
	}
	g.applied = entries[len(entries)-1].position()
	g.notify()
	return nil
}

// drop removes the entries after p, which the upstream lacks. When some of
// them were applied, the rows are rebuilt from the log in a new generation.
func (g *group) drop(term uint64, p tokenizer.Position) error {
	g.applying.Lock()
	defer g.applying.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.accepts(term) || !g.log.holds(p) || g.log.last() == p {
		return nil
	}
	g.events.Info(logger.TailDropped, logger.String("from", g.log.last().String()), logger.String("to", p.String()))
	if g.applied.Index > p.Index {
		if err := g.newGeneration(p.Index); err != nil {
			return err
		}
	}
	if err := g.log.cut(p.Index); err != nil {
		return err
	}
	for i := range g.heldAt {
		if i > p.Index {
			delete(g.heldAt, i)
		}
	}
	g.notify()
	return nil
}

// newGeneration starts empty rows. The caller holds applying and mu.
func (g *group) newGeneration(rebuildTo uint64) error {
	m := g.meta
	m.Generation++
	(&store{path: storePath(g.dir, m.Generation)}).remove() // left over from an end in the middle of this function
	st, applied, err := openStore(g.dir, m.Generation)
	if err != nil {
		return err
	}
	old := g.store
	if err := g.setMeta(m); err != nil {
		return err
	}
	g.store, g.applied, g.rebuildTo = st, applied, rebuildTo
	old.closeApplier()
	old.remove()
	return nil
}

// accepts reports whether entries of a primary of term may be taken. The caller holds mu.
func (g *group) accepts(term uint64) bool {
	return g.meta.Role == connector.RoleReplica && g.meta.FenceTerm == term && g.meta.Term == term
}

// hold appends entries that follow prev and reports whether they were accepted.
func (g *group) hold(term uint64, prev tokenizer.Position, lines [][]byte, entries []entry) (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.accepts(term) || g.log.last() != prev {
		return false, nil
	}
	if err := g.log.append(entries, lines); err != nil {
		return false, err
	}
	now := time.Now()
	for _, e := range entries {
		g.heldAt[e.Index] = now
	}
	g.notify()
	return true, nil
}
