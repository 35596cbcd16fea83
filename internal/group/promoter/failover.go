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
	// fenceTimeout limits a Fence call. It leaves time for three round trips on a new connection between
	// distant regions.
	fenceTimeout = 900 * time.Millisecond
	// fenceGrace is how long reachable instances may still answer Fence after a majority has.
	fenceGrace = 50 * time.Millisecond
	// promoteTimeout limits the Promote call.
	promoteTimeout = 400 * time.Millisecond
	// promotionCheckTimeout limits the sampling round that shows whether a Promote call without an answer took effect.
	promotionCheckTimeout = 700 * time.Millisecond
	// followTimeout limits a Follow call.
	followTimeout = 400 * time.Millisecond
	// confirmTimeout limits the wait until the new primary's first entry is confirmed.
	confirmTimeout = time.Second
)

// promotionAttempt is one attempt to promote an instance in a new term.
type promotionAttempt struct {
	p       *Promoter
	action  Action
	view    sampler.View
	term    uint64
	members []*member
}

// member is an instance of the group during a replacement.
type member struct {
	view sampler.InstanceView
	conn connector.Instance // connection on which the instance acknowledged Fence; nil if it did not
	last tokenizer.Position // last log entry, as reported in answer to Fence
}

func (m *member) name() string { return m.view.Instance.Name }

// closeConn closes c if it is an io.Closer.
func closeConn(c connector.Instance) {
	if c, ok := c.(io.Closer); ok {
		_ = c.Close()
	}
}

// replacePrimary promotes an instance in a new term and waits until its first entry is confirmed.
func (p *Promoter) replacePrimary(a Action) error {
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

// newReplacement prepares an attempt in a term above all fence terms that this gateway or a peer has seen.
func (p *Promoter) newReplacement(a Action) *promotionAttempt {
	v := p.cfg.Sampler.View()
	r := &promotionAttempt{p: p, action: a, view: v, term: highestFenceTerm(v) + 1}
	for _, o := range p.tracker.evidence.Peers {
		for _, i := range o.Instances {
			r.term = max(r.term, i.FenceTerm+1)
		}
	}
	for _, i := range v.Instances {
		r.members = append(r.members, &member{view: i})
	}
	return r
}

// run returns the name of the new primary. If it fails after choosing an instance, it returns the name of that.
func (r *promotionAttempt) run() (string, error) {
	if err := r.fence(); err != nil {
		return "", err
	}
	m := r.chooseTarget()
	r.p.cfg.Log(Event{Name: EventFenced, Database: r.view.Database, Term: r.term, Instance: m.name()})
	first, err := r.promote(m)
	if err != nil {
		return m.name(), err
	}
	r.p.cfg.Log(Event{Name: EventPromoted, Database: r.view.Database, Term: r.term, Instance: m.name()})
	r.redirectOthers(m)
	ctx, cancel := context.WithTimeout(r.p.ctx, confirmTimeout)
	defer cancel()
	if err := r.p.cfg.Sampler.Confirm(ctx, first); err != nil {
		return m.name(), fmt.Errorf("confirm first entry %s of new primary %q: %w", first, m.name(), err)
	}
	return m.name(), nil
}

// close closes the connections that no Follow call has taken over.
func (r *promotionAttempt) close() {
	for _, m := range r.members {
		closeConn(m.conn)
	}
}

type fenceResult struct {
	from   *member
	conn   connector.Instance
	status connector.Status
	err    error
}

// fence sends Fence to all voters except the one to avoid, and fails unless a majority acknowledges it. A
// lost answer does not count, because another promoter may have fenced the same term.
func (r *promotionAttempt) fence() error {
	results := make(chan fenceResult, len(r.members))
	sent, expected := 0, 0
	for _, m := range r.members {
		if !sampler.IsVoter(m.view.Instance) || m.name() == r.action.ExcludedPrimary {
			continue
		}
		sent++
		if m.view.Reachable {
			expected++
		}
		r.p.wg.Go(func() { results <- r.fenceOne(m) })
	}
	pending, ok := r.collectFenceResults(results, sent, expected)
	r.p.wg.Go(func() { closePending(results, pending) })
	if !ok {
		return classifier.New(classifier.NoPrimary, "database %q: no majority of the %d voters acknowledged the fence of term %d", r.view.Database, r.view.Voters(), r.term)
	}
	return nil
}

// closePending receives the n pending results and closes their connections.
func closePending(results <-chan fenceResult, n int) {
	for range n {
		closeConn((<-results).conn)
	}
}

// fenceOne sends Fence on a new connection. An answer with another term or another instance's name is an error.
func (r *promotionAttempt) fenceOne(m *member) fenceResult {
	ctx, cancel := context.WithTimeout(r.p.ctx, fenceTimeout)
	defer cancel()
	c := r.p.cfg.Dial(m.view.Instance)
	st, err := c.Fence(ctx, r.term)
	if err == nil && (st.FenceTerm != r.term || (st.Name != "" && st.Name != m.name())) {
		err = fmt.Errorf("fence %q in term %d: answered as %q with fence term %d", m.name(), r.term, st.Name, st.FenceTerm)
	}
	return fenceResult{m, c, st, err}
}

// collectFenceResults waits for a majority, and then at most fenceGrace for the remaining instances that are
// expected to answer. It returns the number of pending results, and whether a majority is fenced.
func (r *promotionAttempt) collectFenceResults(results <-chan fenceResult, pending, expected int) (int, bool) {
	majority := sampler.Majority(r.view.Voters())
	fenced := 0
	var graceOver <-chan time.Time
	for pending > 0 && (fenced < majority || expected > 0) {
		select {
		case <-graceOver:
			return pending, true
		case result := <-results:
			pending--
			if result.from.view.Reachable {
				expected--
			}
			if result.err != nil {
				closeConn(result.conn)
				continue
			}
			result.from.conn, result.from.last = result.conn, result.status.Last
			if fenced++; fenced == majority {
				graceOver = time.After(fenceGrace)
			}
		}
	}
	return pending, fenced >= majority
}

// chooseTarget returns the fenced instance with the greatest last entry, which holds every confirmed entry.
// Among equal ones it prefers the target of a switchover, and takes a leaving instance last.
func (r *promotionAttempt) chooseTarget() *member {
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

// isBetter reports whether m is to be promoted rather than best.
func (r *promotionAttempt) isBetter(m, best *member) bool {
	if c := m.last.Compare(best.last); c != 0 {
		return c > 0
	}
	return r.preference(m) > r.preference(best)
}

// preference ranks members with equal last entries; the highest value is promoted.
func (r *promotionAttempt) preference(m *member) int {
	switch {
	case m.name() == r.action.Target:
		return 2
	case m.view.Instance.State == parser.Leaving:
		return 0
	}
	return 1
}

// promote returns the position of the first entry of the new term. It is called once in a term. When the
// answer is lost, the next sampling round shows whether the call took effect.
func (r *promotionAttempt) promote(m *member) (tokenizer.Position, error) {
	ctx, cancel := context.WithTimeout(r.p.ctx, promoteTimeout)
	defer cancel()
	st, err := m.conn.Promote(ctx, r.term)
	if err == nil && sampler.IsPrimaryOf(st, r.term) {
		return st.Last, nil
	}
	if last, ok := r.checkPromotion(m.name()); ok {
		return last, nil
	}
	return tokenizer.Position{}, fmt.Errorf("promote %q in term %d: answered with role %q: %w", m.name(), r.term, st.Role, err)
}

// checkPromotion samples the group and reports whether an instance is primary of the new term, together with
// its last entry.
func (r *promotionAttempt) checkPromotion(name string) (tokenizer.Position, bool) {
	ctx, cancel := context.WithTimeout(r.p.ctx, promotionCheckTimeout)
	defer cancel()
	v, _ := r.p.cfg.Sampler.NextRound(ctx)
	i, _ := v.Instance(name)
	return i.Status.Last, sampler.IsPrimaryOf(i.Status, r.term)
}

// redirectOthers tells the other instances to follow the new primary. Instances that are unreachable now are
// told by repairFollowers once they are reachable again.
func (r *promotionAttempt) redirectOthers(primary *member) {
	for _, m := range r.members {
		if m == primary {
			continue
		}
		c := m.conn
		m.conn = nil
		r.p.wg.Go(func() { r.p.sendFollow(c, m.view.Instance, r.term, primary.view.Instance.Address) })
	}
}

// sendFollow calls Follow on c, or on a new connection if c is nil, and closes the connection.
func (p *Promoter) sendFollow(c connector.Instance, i parser.Instance, term uint64, upstream string) {
	if c == nil {
		c = p.cfg.Dial(i)
	}
	defer closeConn(c)
	ctx, cancel := context.WithTimeout(p.ctx, followTimeout)
	defer cancel()
	_, err := c.Follow(ctx, term, upstream)
	p.cfg.Log(Event{Name: EventFollow, Database: p.cfg.Sampler.View().Database, Term: term, Instance: i.Name, Err: err})
}

// repairFollowers tells instances to follow the confirmed primary, each at most once in minRepairInterval.
func (p *Promoter) repairFollowers(names []string) {
	v := p.tracker.evidence.View
	primary, _ := v.Instance(v.Primary)
	now := time.Now()
	for _, name := range names {
		i, ok := v.Instance(name)
		if !ok || now.Sub(p.lastRepair[name]) < minRepairInterval {
			continue
		}
		p.lastRepair[name] = now
		p.wg.Go(func() { p.sendFollow(nil, i.Instance, v.Term, primary.Instance.Address) })
	}
}
