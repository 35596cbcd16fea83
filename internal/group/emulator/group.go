package emulator

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/network/dialer"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/telemetry/logger"
)

// maxApplyBatch bounds the entries that one transaction applies.
const maxApplyBatch = 1000

// group is the instance's part in its group: role, fence, log and applied rows.
//
// applying serialises everything that applies, drops or rebuilds rows and is
// taken before mu. mu guards the fields below it; a commit holds it from the
// check of the fence to the end, so that no entry appears after a fence was answered.
type group struct {
	name   string
	dir    string
	dial   dialer.Func // to the upstream
	events *logger.Logger

	applying sync.Mutex

	mu         sync.Mutex
	meta       meta
	log        *entryLog
	store      *store
	applied    tokenizer.Position
	heldAt     map[uint64]time.Time // time at which a replica took an entry; missing means due at once
	rebuildTo  uint64               // reads are refused until this index is applied
	connected  bool
	applyDelay time.Duration
	changed    chan struct{} // closed and replaced when an entry, a role or a delay changes
	demoted    func()        // ends the open write transactions of a demoted primary
}

// openGroup loads the state in dir, or creates it from cfg, and applies the rest of the log.
func openGroup(cfg Config) (*group, error) {
	dial, err := dialer.FromListenAddress(cfg.Listen)
	if err != nil {
		return nil, err
	}
	m, found, err := loadMeta(cfg.Dir)
	if err != nil {
		return nil, err
	}
	if !found {
		m = firstMeta(cfg)
		if err := m.save(cfg.Dir); err != nil {
			return nil, err
		}
	}
	l, err := openLog(filepath.Join(cfg.Dir, "log.jsonl"))
	if err != nil {
		return nil, err
	}
	g := &group{
		name: cfg.Name, dir: cfg.Dir, dial: dial, events: cfg.Log, meta: m, log: l, applyDelay: cfg.ApplyDelay,
		heldAt: make(map[uint64]time.Time), changed: make(chan struct{}), demoted: func() {},
	}
	if err := g.recover(); err != nil {
		l.close()
		return nil, err
	}
	return g, nil
}

func firstMeta(cfg Config) meta {
	m := meta{Role: connector.RoleReplica, FenceTerm: cfg.Term, Term: cfg.Term, Upstream: cfg.Upstream}
	if cfg.Primary {
		m.Role, m.Upstream = connector.RolePrimary, ""
	}
	return m
}

// recover applies the rest of the log. A primary whose log lacks an entry of its
// own term was promoted just before the process ended and writes that entry now.
func (g *group) recover() error {
	var err error
	if g.store, g.applied, err = openStore(g.dir, g.meta.Generation); err != nil {
		return err
	}
	if !g.log.holds(g.applied) {
		return fmt.Errorf("rows of %s have applied %s, which its log lacks", g.name, g.applied)
	}
	if err := g.applyRest(context.Background()); err != nil {
		return err
	}
	if g.meta.Role == connector.RolePrimary && g.log.last().Term != g.meta.Term {
		return g.startTerm()
	}
	return nil
}

func (g *group) close() error { return g.log.close() }

// notify wakes everyone who waits for a change. The caller holds mu.
func (g *group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *group) status() connector.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statusLocked()
}

func (g *group) statusLocked() connector.Status {
	s := connector.Status{
		Name: g.name, Role: g.meta.Role, FenceTerm: g.meta.FenceTerm,
		Last: g.log.last(), Applied: g.applied,
	}
	if s.Role == connector.RoleReplica {
		s.Upstream, s.Connected = g.meta.Upstream, g.connected
	}
	return s
}

// setMeta saves m and then makes it the state. The caller holds mu.
func (g *group) setMeta(m meta) error {
	if err := m.save(g.dir); err != nil {
		return err
	}
	g.meta = m
	g.notify()
	return nil
}

// fence raises the fence term. A replica stops taking entries of its upstream.
func (g *group) fence(term uint64) (connector.Status, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term <= g.meta.FenceTerm {
		return connector.Status{}, refuse(connector.SQLStateTermTooLow, "fence at term %d: fence term is %d", term, g.meta.FenceTerm)
	}
	m := g.meta
	m.FenceTerm = term
	if err := g.setMeta(m); err != nil {
		return connector.Status{}, err
	}
	g.connected = false
	return g.statusLocked(), nil
}

// promote makes the instance primary of term: it applies its whole log and
// writes one entry of the new term. A repeat on the primary of term changes nothing.
func (g *group) promote(ctx context.Context, term uint64) (connector.Status, error) {
	g.applying.Lock()
	defer g.applying.Unlock()
	g.mu.Lock()
	done, err := g.checkPromote(term)
	g.mu.Unlock()
	if err != nil {
		return connector.Status{}, err
	}
	if done {
		return g.status(), nil
	}
	g.demoted()
	if err := g.applyRest(ctx); err != nil {
		return connector.Status{}, err
	}
	st := g.store // only changes under applying
	if err := st.lock(ctx); err != nil {
		return connector.Status{}, err
	}
	defer st.unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, err := g.checkPromote(term); err != nil {
		return connector.Status{}, err
	}
	m := g.meta
	m.Role, m.Term, m.Upstream = connector.RolePrimary, term, ""
	if err := g.setMeta(m); err != nil {
		return connector.Status{}, err
	}
	if err := g.startTerm(); err != nil {
		return connector.Status{}, err
	}
	return g.statusLocked(), nil
}

// checkPromote reports whether the instance is already primary of term. An
// instance that follows at its fence term knows another primary of that term.
func (g *group) checkPromote(term uint64) (done bool, err error) {
	switch m := g.meta; {
	case term < m.FenceTerm:
		return false, refuse(connector.SQLStateTermTooLow, "promote at term %d: fence term is %d", term, m.FenceTerm)
	case term > m.FenceTerm:
		return false, refuse(connector.SQLStateNotFenced, "promote at term %d: fence term is %d", term, m.FenceTerm)
	case m.Role == connector.RolePrimary && m.Term == term:
		return true, nil
	case m.Term == term:
		return false, refuse(connector.SQLStateTermTaken, "promote at term %d: instance follows %q at this term", term, m.Upstream)
	}
	return false, nil
}

// startTerm writes the first entry of the instance's own term. The caller
// holds applying, the write lock and mu, or is alone.
func (g *group) startTerm() error {
	e := entry{Term: g.meta.Term, Index: g.log.last().Index + 1}
	line, err := encodeLine(e)
	if err != nil {
		return err
	}
	if err := g.log.append([]entry{e}, [][]byte{line}); err != nil {
		return err
	}
	if err := g.store.apply(context.Background(), []entry{e}); err != nil {
		return err
	}
	g.applied = e.position()
	g.notify()
	return nil
}

// follow makes the instance a replica of upstream at term.
func (g *group) follow(term uint64, upstream string) (connector.Status, error) {
	g.applying.Lock()
	defer g.applying.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.meta
	switch {
	case upstream == "":
		return connector.Status{}, refuse(stateInvalidText, "follow at term %d: upstream is empty", term)
	case term < m.FenceTerm:
		return connector.Status{}, refuse(connector.SQLStateTermTooLow, "follow at term %d: fence term is %d", term, m.FenceTerm)
	case term == m.Term && m.Role == connector.RolePrimary:
		return connector.Status{}, refuse(connector.SQLStateTermTaken, "follow at term %d: instance is the primary of this term", term)
	case term == m.Term && m.Upstream == upstream:
		return g.statusLocked(), nil
	}
	wasPrimary := m.Role == connector.RolePrimary
	m.Role, m.FenceTerm, m.Term, m.Upstream = connector.RoleReplica, term, term, upstream
	if err := g.setMeta(m); err != nil {
		return connector.Status{}, err
	}
	g.connected = false
	if wasPrimary {
		g.demoted()
	}
	return g.statusLocked(), nil
}

// checkWritable refuses writes on a replica and on a fenced primary. The caller holds mu.
func (g *group) checkWritable() error {
	switch m := g.meta; {
	case m.Role != connector.RolePrimary:
		return refuse(stateReadOnly, "cannot write on a replica")
	case m.FenceTerm > m.Term:
		return refuse(connector.SQLStateFenced, "primary of term %d is fenced at term %d", m.Term, m.FenceTerm)
	}
	return nil
}

// beginWrite refuses a write that could not be committed and returns the term
// in which the transaction has to commit.
func (g *group) beginWrite() (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meta.Term, g.checkWritable()
}

// commit appends the entry of a write transaction to the log and then calls
// finish, which commits the rows. The entry is withdrawn when finish fails.
func (g *group) commit(st *store, e entry, finish func(tokenizer.Position) error) (tokenizer.Position, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.meta.Role != connector.RolePrimary || g.meta.Term != e.Term || g.meta.FenceTerm > e.Term || g.store != st {
		return tokenizer.Position{}, refuse(connector.SQLStateFenced,
			"transaction of term %d is not committed: fence term is %d", e.Term, g.meta.FenceTerm)
	}
	e.Index = g.log.last().Index + 1
	line, err := encodeLine(e)
	if err != nil {
		return tokenizer.Position{}, err
	}
	if err := g.log.append([]entry{e}, [][]byte{line}); err != nil {
		return tokenizer.Position{}, err
	}
	if err := finish(e.position()); err != nil {
		return tokenizer.Position{}, errors.Join(err, g.log.cut(e.Index-1))
	}
	g.applied = e.position()
	g.notify()
	return g.applied, nil
}

// current returns the rows to read; it refuses while dropped entries are being undone.
func (g *group) current() (*store, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.applied.Index < g.rebuildTo {
		return nil, refuse(stateCannotConnectNow, "instance %s rebuilds its rows after it dropped a log tail", g.name)
	}
	return g.store, nil
}
