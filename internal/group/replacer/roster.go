package replacer

import (
	"context"
	"time"

	"parsleyscale/internal/group/registrar"
)

const (
	// rosterTimeout bounds the read of a roster.
	rosterTimeout = 300 * time.Millisecond
	// minRosterPause is the least pause between two reads of a roster ahead of a replacement. After some of them, it is half of the time
	// since the roster has been needed.
	minRosterPause = time.Second
)

// rosterRead is the next read of a group's roster.
type rosterRead struct {
	neededAt time.Time // since when the roster is needed
	dueAt    time.Time
}

// readRosterAhead reads the roster of a group in which a departure is assumed, so that a replacement needs no answer of the store for that
// later. Only the VMs that act first do so.
func (r *Replacer) readRosterAhead(ctx context.Context, g *registrar.Group) {
	if r.cfg.Roster == nil || !g.NeedsRoster() || r.cfg.Rank(g.Name()) > maxDelayedRank {
		delete(r.rosterReads, g.Name())
		return
	}
	now := time.Now()
	next, ok := r.rosterReads[g.Name()]
	if !ok {
		r.rosterReads[g.Name()] = rosterRead{neededAt: now, dueAt: now.Add(minRosterPause)}
		return
	}
	if now.Before(next.dueAt) {
		return
	}
	next.dueAt = now.Add(max(minRosterPause, now.Sub(next.neededAt)/2))
	r.rosterReads[g.Name()] = next
	r.wg.Go(func() { _ = r.applyRoster(ctx, g) })
}

// applyRoster reads the roster of a group and records it if it shows that no replica left without this VM seeing it.
func (r *Replacer) applyRoster(ctx context.Context, g *registrar.Group) error {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	roster, err := r.cfg.Roster(ctx, g.Name())
	if err == nil {
		err = g.ApplyRoster(roster)
	}
	r.cfg.Observe(Event{Name: EventRosterApplied, Group: g.Name(), Err: err})
	return err
}
