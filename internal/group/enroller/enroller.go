// Package enroller keeps a roster of each group in the store: the instances that may hold commits which no other one
// holds, and a floor that covers all other acknowledged commits. VMs keep in memory which replicas have left, so a VM that starts would
// take those that are left for all, and promote one that lacks what only a departed replica and the primary had. It compares the
// registry with the roster instead. The history of the registry's table would not do, as the store keeps it for a time only.
//
// The roster is a superset, so nothing has to be written before an instance leaves. An instance that joins is added within
// checkInterval and the time of a write; one that joins and leaves in between is not on it. An absent instance is taken off some
// time later, see Decide.
//
// The VM of rank 0 for a group writes its roster, and the VM of rank 1 if the first one has not done so after a delay. Both write
// on the condition that the row has not changed.
package enroller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/platform/follower"
)

const (
	// table is the store's table with one row per group.
	table = "rosters"
	// checkInterval is the time between two comparisons of the groups with their rosters.
	checkInterval = 250 * time.Millisecond
	// maxRank is the highest rank of a VM that writes the roster of a group.
	maxRank = 1
	// rankDelay is how long a VM waits for each VM of a lower rank before it writes.
	rankDelay = 3 * time.Second
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// minRetryPause is the pause after a failed call. It doubles with each further one, up to maxRetryPause.
	minRetryPause = time.Second
	maxRetryPause = 8 * time.Second
	// sampleInterval is the least time between two requests for the position of a primary.
	sampleInterval = time.Second
)

// Store reads and conditionally writes rows.
type Store interface {
	// Swap writes a row if its present version is the given one, where zero stands for no row, and returns the
	// version of the write. Otherwise it returns the present row and an error of kind conflict.
	Swap(ctx context.Context, table, key string, value []byte, version uint64) (uint64, follower.Row, error)
	// ReadFrom returns the rows of a table by key from one on, at most limit, and reports whether these are all.
	ReadFrom(ctx context.Context, table, key string, limit int) (follower.Page, bool, error)
}

// Config holds the dependencies of an Enroller.
type Config struct {
	Groups *registrar.Registrar
	Store  Store
	Rank   func(group string) int // of this VM for the group
	// IsReady reports whether the ranks are known and the registry has been read.
	IsReady func() bool
	// IsConfigured reports whether the configuration has a group.
	IsConfigured func(group string) bool
	// RegistryVersion returns the version of the store up to which the registry is known.
	RegistryVersion func() uint64
	// Sample asks the primary for its position and records it in the group.
	Sample func(ctx context.Context, g *registrar.Group) error
	// OnWrite is called after each attempt to write a roster; may be nil.
	OnWrite func(group string, r registrar.Roster, err error)
}

// Enroller keeps the rosters of the groups for which its VM has a low rank.
type Enroller struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup
	states map[string]state // by group; accessed by run only
}

// state is what the Enroller knows about the roster of a group.
type state struct {
	roster    registrar.Roster // stored, as far as is known
	version   uint64           // of its row
	absences  map[registrar.Member]time.Duration
	dueAt     time.Time // since when the roster differs from the group; zero: it does not
	retryAt   time.Time
	pause     time.Duration
	sampledAt time.Time
}

// Start starts an Enroller, which runs until Close is called.
func Start(cfg Config) *Enroller {
	if cfg.OnWrite == nil {
		cfg.OnWrite = func(string, registrar.Roster, error) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Enroller{cfg: cfg, cancel: cancel, states: map[string]state{}}
	e.wg.Go(func() { e.run(ctx) })
	return e
}

// Close stops the Enroller and waits until it has ended.
func (e *Enroller) Close() {
	e.cancel()
	e.wg.Wait()
}

func (e *Enroller) run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !e.cfg.IsReady() {
			continue
		}
		for _, g := range e.cfg.Groups.Groups() {
			rank := e.cfg.Rank(g.Name())
			if rank > maxRank || !e.cfg.IsConfigured(g.Name()) {
				delete(e.states, g.Name())
				continue
			}
			e.states[g.Name()] = e.check(ctx, g, rank, e.states[g.Name()])
		}
	}
}

// check compares a group with its roster, and writes the roster if this VM has to. It returns the new state.
func (e *Enroller) check(ctx context.Context, g *registrar.Group, rank int, s state) state {
	now := time.Now()
	d := Decide(s.roster, g.RosterView(), s.absences, e.cfg.RegistryVersion())
	s.absences = d.Absences
	if d.NeedsProof && rank == 0 && now.Sub(s.sampledAt) >= sampleInterval {
		s.sampledAt = now
		e.wg.Go(func() { _ = e.cfg.Sample(ctx, g) })
	}
	switch {
	case !d.IsDue:
		s.dueAt = time.Time{}
		return s
	case s.dueAt.IsZero():
		s.dueAt = now
	}
	if now.Sub(s.dueAt) < time.Duration(rank)*rankDelay || now.Before(s.retryAt) {
		return s
	}
	return e.write(ctx, g.Name(), d.Roster, s)
}

// write writes a roster and returns the new state. If another VM has written it since, the state has that roster.
func (e *Enroller) write(ctx context.Context, group string, r registrar.Roster, s state) state {
	value, err := json.Marshal(r)
	if err != nil {
		return s
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, row, err := e.cfg.Store.Swap(ctx, table, group, value, s.version)
	e.cfg.OnWrite(group, r, err)
	isConflict := classifier.Is(err, classifier.Conflict)
	if isConflict && row.Version == 0 {
		if row, err = readRow(ctx, e.cfg.Store, group); err != nil { // the store did not send the row
			isConflict = false
		}
	}
	switch {
	case isConflict:
		s.roster, s.version = decode(row), row.Version
	case err == nil:
		s.roster, s.version = r, version
	default:
		s.pause = min(max(2*s.pause, minRetryPause), maxRetryPause)
		s.retryAt = time.Now().Add(s.pause)
		return s
	}
	s.pause, s.dueAt = 0, time.Time{}
	return s
}

// Read returns the roster of a group, the zero value if there is none. One that was written before the store was restored from an
// older copy counts as none: the copy may lack later ones.
func Read(ctx context.Context, s Store, group string) (registrar.Roster, error) {
	row, err := readRow(ctx, s, group)
	if err != nil {
		return registrar.Roster{}, err
	}
	r := decode(row)
	if follower.EraOf(r.RegistryVersion) != follower.EraOf(row.Version) {
		return registrar.Roster{}, nil
	}
	return r, nil
}

// readRow returns the row of a group, or one without a version if there is none.
func readRow(ctx context.Context, s Store, group string) (follower.Row, error) {
	p, _, err := s.ReadFrom(ctx, table, group, 1)
	if err != nil || len(p.Rows) == 0 || p.Rows[0].Key != group {
		return follower.Row{}, err
	}
	return p.Rows[0], nil
}

// decode returns the roster in a row, the zero value if there is none or it cannot be decoded.
func decode(row follower.Row) registrar.Roster {
	var r registrar.Roster
	if json.Unmarshal(row.Value, &r) != nil {
		return registrar.Roster{}
	}
	return r
}
