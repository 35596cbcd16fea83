package executor

import (
	"context"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/request/router"
	"parsleyscale/internal/session/tokenizer"
)

// Waits of the route.
const (
	viewWait    = 250 * time.Millisecond // longest wait for a new view before the route is tried again
	viewSpacing = 5 * time.Millisecond   // least time between two looks at the view
	// recordWait is the longest wait for another gateway's records of commits; one way between regions takes 8 ms.
	recordWait = 25 * time.Millisecond
	// firstBackoff is the first wait after a failed write; a connection that was closed by chance costs no more.
	firstBackoff = 10 * time.Millisecond
)

// prepareRead sets what the instance of a read must have applied and how stale it may be.
func (u *unit) prepareRead(ctx context.Context) error {
	u.query = u.baseQuery()
	q := &u.query
	q.Arrived = u.arrived // fixed: a round that confirms the primary must have started after it, and waits end
	needsCurrent := u.r.Session != "" && !u.r.HasToken
	q.Bounded, q.MaxStaleness = true, u.e.cfg.MaxStaleness
	if u.r.ReadKind != "" {
		k, ok := u.e.cfg.ReadKind(u.r.ReadKind)
		if !ok {
			return classifier.New(classifier.UnknownReadKind, "read kind %q is not in the sheet", u.r.ReadKind)
		}
		q.MaxStaleness = time.Duration(k.MaxStaleness)
	}
	if q.MaxStaleness == 0 {
		// The floor of a confirmed round that starts now is exact where a bound of zero cannot be met.
		needsCurrent, q.Bounded = true, false
	}
	u.priority = admitter.Rest
	if needsCurrent || u.r.HasToken || q.MaxStaleness <= u.e.cfg.CurrentBound {
		u.priority = admitter.Current
	}
	q.Floor = u.r.Floor
	if needsCurrent {
		v, err := u.confirmedView(ctx)
		if err != nil {
			return err
		}
		q.Floor = q.Floor.Max(u.currentFloor(ctx, v))
	}
	u.floor = q.Floor
	return nil
}

// currentFloor returns the floor of a read that has to see the latest writes:
// all of them when no staleness is allowed, else those of its session.
func (u *unit) currentFloor(ctx context.Context, v sampler.View) tokenizer.Position {
	if !u.query.Bounded || u.e.cfg.Writes == nil {
		return v.Confirmed
	}
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	return u.e.cfg.Writes.Floor(ctx, u.r.Session, v.Confirmed, mostApplied(v))
}

// mostApplied returns the latest index of the confirmed term that a replica has applied.
func mostApplied(v sampler.View) uint64 {
	var index uint64
	for k := range v.Instances {
		i := &v.Instances[k]
		if i.Reachable && i.Instance.Name != v.Primary && i.Status.Applied.Term == v.Confirmed.Term {
			index = max(index, i.Status.Applied.Index)
		}
	}
	return index
}

func (u *unit) prepareWrite() {
	u.query = u.baseQuery()
	u.priority = admitter.Write
}

func (u *unit) baseQuery() router.Query {
	c := u.e.cfg
	return router.Query{Class: u.r.Class, DataCentre: c.DataCentre, Region: c.Region, RegionOf: c.RegionOf}
}

// confirmedView waits for a confirmed round that started after the unit arrived.
func (u *unit) confirmedView(ctx context.Context) (sampler.View, error) {
	for {
		v, err := u.e.cfg.Sampler.Next(ctx)
		if err == nil && !v.ConfirmedAt.Before(u.arrived) {
			return v, nil
		}
		if !sleeper.Sleep(ctx, viewSpacing) {
			return v, classifier.Wrap(classifier.StaleBound, ctx.Err(), "no confirmed round since the read arrived")
		}
	}
}

// acquire routes the unit and gets a connection. A read moves on from an
// instance that cannot be reached; a write waits for a primary until the deadline.
func (u *unit) acquire(ctx context.Context) error {
	for {
		if err := u.route(ctx); err != nil {
			return err
		}
		ok, err := u.connect(ctx)
		if err != nil || ok {
			return err
		}
		if u.isRead() && !u.retryRead(ctx) {
			return classifier.New(classifier.NoInstance, "no instance can be reached, the last tried was %s", u.instance.Name)
		}
		if !u.isRead() {
			u.awaitPrimary(ctx)
		}
	}
}

func (u *unit) route(ctx context.Context) error {
	if u.isRead() {
		return u.routeRead(ctx)
	}
	return u.routeWrite(ctx)
}

// routeWrite waits until there is a primary.
func (u *unit) routeWrite(ctx context.Context) error {
	for {
		if err := u.e.cfg.Hold.Wait(ctx); err != nil {
			return noPrimary(ctx, err)
		}
		v := u.e.cfg.Sampler.View()
		d := u.decide(v)
		if d.Instance != "" && u.choose(v, d) {
			return nil
		}
		if d.Err != nil && !isAbsence(d.Err) {
			return d.Err
		}
		if u.awaitView(ctx, viewWait); ctx.Err() != nil {
			return noPrimary(ctx, d.Err)
		}
	}
}

// routeRead follows the decision: it serves, waits for a replica to catch up, or falls back to the primary.
func (u *unit) routeRead(ctx context.Context) error {
	var fallback time.Time
	v := u.e.cfg.Sampler.View()
	for ctx.Err() == nil {
		d := u.decide(v)
		switch {
		case d.Err != nil && len(u.exclude) == 0 && !isAbsence(d.Err):
			return d.Err
		case d.Err != nil:
			u.exclude = u.exclude[:0]
			v = u.awaitView(ctx, viewWait)
		case d.Instance != "" && u.mustConfirm(v, d):
			var err error
			if v, err = u.confirmedView(ctx); err != nil {
				return err
			}
		case d.Instance != "" && u.choose(v, d):
			return nil
		case d.Wait > 0 && fallback.IsZero():
			fallback = time.Now().Add(d.Wait)
			v = u.awaitView(ctx, d.Wait)
		case d.Wait > 0 && time.Now().Before(fallback):
			v = u.awaitView(ctx, time.Until(fallback))
		case d.Wait > 0:
			u.excludeReplicas(v)
			v = u.awaitView(ctx, viewSpacing)
		default:
			return classifier.New(classifier.NoInstance, "no route for the read")
		}
	}
	return classifier.Wrap(classifier.NoInstance, ctx.Err(), "no instance for the read before the deadline")
}

// mustConfirm reports whether the primary may only serve the read after a
// confirmed round: a replaced primary in a cut-off data centre still answers.
func (u *unit) mustConfirm(v sampler.View, d router.Decision) bool {
	exact := !u.query.Floor.IsZero() || !u.query.Bounded
	return exact && d.Role == connector.RolePrimary && v.ConfirmedAt.Before(u.arrived)
}

func (u *unit) excludeReplicas(v sampler.View) {
	for _, i := range v.Instances {
		if i.Instance.Name != v.Primary {
			u.exclude = append(u.exclude, i.Instance.Name)
		}
	}
}

func (u *unit) decide(v sampler.View) router.Decision {
	u.query.Now = time.Now()
	u.query.Exclude = nil
	if u.isRead() {
		u.query.Exclude = u.exclude
	}
	return u.e.cfg.Decide(v, u.query)
}

func (u *unit) choose(v sampler.View, d router.Decision) bool {
	i, ok := v.Instance(d.Instance)
	u.view, u.instance, u.role, u.reason = v, i.Instance, d.Role, d.Reason
	return ok
}

// connect admits the unit and gets a connection. It returns false without an
// error when the instance cannot be reached or is no longer the primary.
func (u *unit) connect(ctx context.Context) (bool, error) {
	t, err := u.e.cfg.Admitter.Admit(ctx, u.instance.Name, u.priority)
	if err != nil {
		return false, err
	}
	if !u.isRead() {
		// A planned switch may have begun while the unit was in the queue. The
		// unit counts as running before the look at the view, so that a switch
		// either waits for it or is seen by it.
		if err = u.e.cfg.Hold.Wait(ctx); err == nil {
			u.begin()
		}
		if err != nil || u.e.cfg.Sampler.View().Primary != u.view.Primary {
			t.Done()
			u.end()
			return false, err
		}
	}
	c, err := u.e.cfg.Pool.Get(ctx, u.instance)
	if err == nil {
		u.conn, u.ticket = c, t
		return true, nil
	}
	t.Done()
	u.end()
	return false, u.unreachable(ctx, err)
}

func (u *unit) unreachable(ctx context.Context, err error) error {
	if classifier.Is(err, classifier.Overloaded) || classifier.Is(err, classifier.ShuttingDown) {
		return err
	}
	if e := ended(ctx, err); e != nil {
		return e
	}
	u.e.cfg.Sampler.Report(u.instance.Name, err)
	u.exclude = append(u.exclude, u.instance.Name)
	return nil
}

// awaitView waits until the view changes or a new round is over.
func (u *unit) awaitView(ctx context.Context, limit time.Duration) sampler.View {
	s := u.e.cfg.Sampler
	round, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	changed := s.Changed()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-round.Done():
		}
	}()
	start := time.Now()
	_, err := s.Next(round)
	if d := viewSpacing - time.Since(start); d > 0 || err != nil && round.Err() == nil {
		sleeper.Sleep(ctx, max(d, viewSpacing))
	}
	return s.View()
}

// awaitPrimary waits for a new term, but at most a time that grows with each call.
func (u *unit) awaitPrimary(ctx context.Context) {
	limit := time.Now().Add(min(firstBackoff<<min(u.misses, 8), viewWait))
	u.misses++
	for u.e.cfg.Sampler.View().Term == u.view.Term && ctx.Err() == nil {
		d := time.Until(limit)
		if d <= 0 {
			return
		}
		u.awaitView(ctx, d)
	}
}

func isAbsence(err error) bool {
	return classifier.Is(err, classifier.NoPrimary) || classifier.Is(err, classifier.NoInstance)
}

func noPrimary(ctx context.Context, cause error) error {
	if ctx.Err() == context.Canceled {
		return classifier.Wrap(classifier.Canceled, ctx.Err(), "caller is gone")
	}
	if cause == nil {
		cause = ctx.Err()
	}
	return classifier.Wrap(classifier.NoPrimary, cause, "no primary before the deadline")
}

// confirmSeen waits until everything that this unit read on its primary is
// held by a majority, and returns a position that covers it. It fails with
// kind primaryReplaced when the instance is no longer the primary of that term.
func (u *unit) confirmSeen(ctx context.Context) (tokenizer.Position, error) {
	p, err := u.currentPosition(ctx)
	if err != nil {
		return p, err
	}
	return p, u.e.cfg.Sampler.Confirm(ctx, p)
}

// currentPosition returns the primary's position after a check that the unit's
// instance is still the primary of the term that the route was chosen in.
func (u *unit) currentPosition(ctx context.Context) (tokenizer.Position, error) {
	u.arrived = time.Now()
	v, err := u.confirmedView(ctx)
	if err != nil {
		return tokenizer.Position{}, err
	}
	if v.Primary != u.instance.Name || v.Term != u.view.Term || v.Confirmed.Term != v.Term {
		return tokenizer.Position{}, classifier.New(classifier.PrimaryReplaced, "%s is no longer the primary of term %d", u.instance.Name, u.view.Term)
	}
	return v.Confirmed, nil
}
