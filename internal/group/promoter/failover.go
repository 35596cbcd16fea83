package promoter

import (
	"context"
	"fmt"
	"io"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

const (
	fenceTimeout   = 900 * time.Millisecond // three round trips on a new connection between far regions
	fenceGrace     = 50 * time.Millisecond  // for instances that answered the sampler but not yet Fence, after a majority did
	promoteTimeout = 400 * time.Millisecond
	checkTimeout   = 700 * time.Millisecond // for a round that shows a promotion whose answer was lost
	followTimeout  = 400 * time.Millisecond
	confirmTimeout = time.Second
)

// replacement is one attempt to install a primary of a new term.
type replacement struct {
	p       *Promoter
	action  Action
	view    sampler.View
	term    uint64
	members []*member
}

// member is an instance during a replacement.
type member struct {
	view sampler.InstanceView
	conn connector.Instance // that answered Fence; nil if none did
	last tokenizer.Position // as answered to Fence
}

func (m *member) name() string { return m.view.Instance.Name }

func hangUp(c connector.Instance) {
	if c, ok := c.(io.Closer); ok {
		_ = c.Close()
	}
}

// replace installs a primary of a new term and confirms its first entry.
func (p *Promoter) replace(a Action) error {
	start := time.Now()
	r := p.newReplacement(a)
	defer r.close()
	name, err := r.run()
	e := Event{Name: EventReplaced, Database: r.view.Database, Term: r.term, Instance: name, Reason: a.Reason, Took: time.Since(start), Err: err}
	if err != nil {
		e.Name = EventFailed
	}
	p.cfg.Log(e)
	return err
}

func (p *Promoter) newReplacement(a Action) *replacement {
	v := p.cfg.Sampler.View()
	r := &replacement{p: p, action: a, view: v, term: maxFence(v) + 1}
	for _, o := range p.tracker.e.Peers {
		for _, i := range o.Instances {
			r.term = max(r.term, i.FenceTerm+1)
		}
	}
	for _, i := range v.Instances {
		r.members = append(r.members, &member{view: i})
	}
	return r
}

// run returns the name of the new primary.
func (r *replacement) run() (string, error) {
	if err := r.fence(); err != nil {
		return "", err
	}
	m := r.choose()
	r.p.cfg.Log(Event{Name: EventFenced, Database: r.view.Database, Term: r.term, Instance: m.name()})
	first, err := r.promote(m)
	if err != nil {
		return m.name(), err
	}
	r.p.cfg.Log(Event{Name: EventPromoted, Database: r.view.Database, Term: r.term, Instance: m.name()})
	r.follow(m)
	ctx, cancel := context.WithTimeout(r.p.ctx, confirmTimeout)
	defer cancel()
	if err := r.p.cfg.Sampler.Confirm(ctx, first); err != nil {
		return m.name(), fmt.Errorf("confirm %s of %q: %w", first, m.name(), err)
	}
	return m.name(), nil
}

// close closes the connections that are not in use any more.
func (r *replacement) close() {
	for _, m := range r.members {
		hangUp(m.conn)
	}
}

type fenceResult struct {
	m    *member
	conn connector.Instance
	st   connector.Status
	err  error
}

// fence fences a majority. A lost answer does not count, because the term may
// have been fenced by another promoter.
func (r *replacement) fence() error {
	results := make(chan fenceResult, len(r.members))
	sent, expected := 0, 0
	for _, m := range r.members {
		if !sampler.IsVoter(m.view.Instance) || m.name() == r.action.Avoid {
			continue
		}
		sent++
		if m.view.Reachable {
			expected++
		}
		r.p.wg.Go(func() { results <- r.fenceOne(m) })
	}
	left, ok := r.collect(results, sent, expected)
	r.p.wg.Go(func() { drain(results, left) })
	if !ok {
		return classifier.New(classifier.NoPrimary, "database %q: fence term %d is not set on a majority", r.view.Database, r.term)
	}
	return nil
}

// drain closes the connections of late answers.
func drain(results <-chan fenceResult, n int) {
	for range n {
		hangUp((<-results).conn)
	}
}

func (r *replacement) fenceOne(m *member) fenceResult {
	ctx, cancel := context.WithTimeout(r.p.ctx, fenceTimeout)
	defer cancel()
	c := r.p.cfg.Dial(m.view.Instance)
	st, err := c.Fence(ctx, r.term)
	if err == nil && (st.FenceTerm != r.term || (st.Name != "" && st.Name != m.name())) {
		err = fmt.Errorf("fence %q: answered as %q with term %d", m.name(), st.Name, st.FenceTerm)
	}
	return fenceResult{m, c, st, err}
}

// collect waits for the answers of all instances that are expected to answer,
// but not long once a majority has. It returns the number of answers that are
// left, and whether a majority is fenced.
func (r *replacement) collect(results <-chan fenceResult, left, expected int) (int, bool) {
	need := sampler.Majority(r.view.Voters())
	fenced := 0
	var grace <-chan time.Time
	for left > 0 && (fenced < need || expected > 0) {
		select {
		case <-grace:
			return left, true
		case f := <-results:
			left--
			if f.m.view.Reachable {
				expected--
			}
			if f.err != nil {
				hangUp(f.conn)
				continue
			}
			f.m.conn, f.m.last = f.conn, f.st.Last
			if fenced++; fenced == need {
				grace = time.After(fenceGrace)
			}
		}
	}
	return left, fenced >= need
}

// choose picks the fenced instance with the greatest last entry: it holds every
// confirmed one. Among equal ones the target of a switch comes first, and a
// leaving instance last.
func (r *replacement) choose() *member {
	var best *member
	for _, m := range r.members {
		if m.conn == nil {
			continue
		}
		if best == nil || r.isBetter(m, best) {
			best = m
		}
	}
	return best
}

func (r *replacement) isBetter(m, best *member) bool {
	if c := m.last.Compare(best.last); c != 0 {
		return c > 0
	}
	return r.preference(m) > r.preference(best)
}

func (r *replacement) preference(m *member) int {
	switch {
	case m.name() == r.action.Target:
		return 2
	case m.view.Instance.State == parser.Leaving:
		return 0
	}
	return 1
}

// promote returns the first entry of the new term. It is called once for a
// term; when the answer is lost, the next round shows whether it took effect.
func (r *replacement) promote(m *member) (tokenizer.Position, error) {
	ctx, cancel := context.WithTimeout(r.p.ctx, promoteTimeout)
	defer cancel()
	st, err := m.conn.Promote(ctx, r.term)
	if err == nil && sampler.IsPrimaryOf(st, r.term) {
		return st.Last, nil
	}
	if last, ok := r.isPromoted(m.name()); ok {
		return last, nil
	}
	return tokenizer.Position{}, fmt.Errorf("promote %q in term %d: role %q: %w", m.name(), r.term, st.Role, err)
}

func (r *replacement) isPromoted(name string) (tokenizer.Position, bool) {
	ctx, cancel := context.WithTimeout(r.p.ctx, checkTimeout)
	defer cancel()
	v, _ := r.p.cfg.Sampler.Next(ctx)
	i, _ := v.Instance(name)
	return i.Status.Last, sampler.IsPrimaryOf(i.Status, r.term)
}

// follow tells the other instances to follow the new primary. Instances that
// cannot be reached now are repaired when they return.
func (r *replacement) follow(primary *member) {
	for _, m := range r.members {
		if m == primary {
			continue
		}
		c := m.conn
		m.conn = nil
		r.p.wg.Go(func() { r.p.follow(c, m.view.Instance, r.term, primary.view.Instance.Address) })
	}
}

// follow sends Follow on a connection, which it closes, or on a new one when c is nil.
func (p *Promoter) follow(c connector.Instance, i parser.Instance, term uint64, upstream string) {
	if c == nil {
		c = p.cfg.Dial(i)
	}
	defer hangUp(c)
	ctx, cancel := context.WithTimeout(p.ctx, followTimeout)
	defer cancel()
	_, err := c.Follow(ctx, term, upstream)
	p.cfg.Log(Event{Name: EventFollow, Database: p.cfg.Sampler.View().Database, Term: term, Instance: i.Name, Err: err})
}

// repair tells instances to follow the confirmed primary.
func (p *Promoter) repair(names []string) {
	v := p.tracker.e.View
	primary, _ := v.Instance(v.Primary)
	now := time.Now()
	for _, n := range names {
		i, ok := v.Instance(n)
		if !ok || now.Sub(p.repaired[n]) < repairGap {
			continue
		}
		p.repaired[n] = now
		p.wg.Go(func() { p.follow(nil, i.Instance, v.Term, primary.Instance.Address) })
	}
}
