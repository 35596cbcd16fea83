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

// Limits of the waits during routing.
const (
	maxViewWait     = 250 * time.Millisecond // longest wait for a new view before routing is tried again
	minViewInterval = 5 * time.Millisecond   // shortest time between two checks of the view
	// maxCommitRecordWait is the longest wait for commit records of other
	// gateways. The one-way delay between regions is 8 ms.
	maxCommitRecordWait = 25 * time.Millisecond
	// initialPrimaryBackoff is the first wait for a new primary after a failed
	// write, and so the delay when a connection closes without a failover.
	initialPrimaryBackoff = 10 * time.Millisecond
)

// prepareRead sets the priority of a read, the floor (the position that its instance must have applied) and the
// staleness bound.
func (u *unit) prepareRead(ctx context.Context) error {
	u.query = u.baseQuery()
	q := &u.query
	// ArrivedAt stays the same for all routing attempts: it is the earliest start of a round that confirms the primary,
	// and the router limits its waits from it.
	q.ArrivedAt = u.arrivedAt
	needsConfirmedFloor := u.request.Session != "" && !u.request.FloorCoversSession
	q.HasMaxStaleness, q.MaxStaleness = true, u.executor.cfg.MaxStaleness
	if u.request.ReadKind != "" {
		k, ok := u.executor.cfg.ReadKind(u.request.ReadKind)
		if !ok {
			return classifier.New(classifier.UnknownReadKind, "read kind %q is not defined in the current settings", u.request.ReadKind)
		}
		q.MaxStaleness = time.Duration(k.MaxStaleness)
	}
	if q.MaxStaleness == 0 {
		// A staleness bound of zero cannot be met. Instead, the log position in a confirmed round that starts now
		// becomes the floor, which makes the read exact.
		needsConfirmedFloor, q.HasMaxStaleness = true, false
	}
	u.priority = admitter.OtherRead
	if needsConfirmedFloor || u.request.FloorCoversSession || q.MaxStaleness <= u.executor.cfg.PriorityMaxStaleness {
		u.priority = admitter.FreshRead
	}
	q.Floor = u.request.Floor
	if needsConfirmedFloor {
		v, err := u.confirmedView(ctx)
		if err != nil {
			return err
		}
		q.Floor = q.Floor.Max(u.currentFloor(ctx, v))
	}
	u.floor = q.Floor
	return nil
}

// currentFloor returns the floor of a read that must see all writes before it
// (if no staleness is allowed) or all writes of its session (otherwise).
func (u *unit) currentFloor(ctx context.Context, v sampler.View) tokenizer.Position {
	if !u.query.HasMaxStaleness || u.executor.cfg.CommitTracker == nil {
		return v.Confirmed
	}
	ctx, cancel := context.WithTimeout(ctx, maxCommitRecordWait)
	defer cancel()
	return u.executor.cfg.CommitTracker.Floor(ctx, u.request.Session, v.Confirmed, maxAppliedIndex(v))
}

// maxAppliedIndex returns the highest index of the confirmed term that any reachable replica has applied.
func maxAppliedIndex(v sampler.View) uint64 {
	var index uint64
	for k := range v.Instances {
		instance := &v.Instances[k]
		if instance.Reachable && instance.Instance.Name != v.Primary && instance.Status.Applied.Term == v.Confirmed.Term {
			index = max(index, instance.Status.Applied.Index)
		}
	}
	return index
}

func (u *unit) prepareWrite() {
	u.query = u.baseQuery()
	u.priority = admitter.Write
}

func (u *unit) baseQuery() router.Query {
	c := u.executor.cfg
	return router.Query{Class: u.request.Class, DataCentre: c.DataCentre, Region: c.Region, RegionOf: c.RegionOf}
}

// confirmedView waits for a confirmed round that did not start before u.arrivedAt.
func (u *unit) confirmedView(ctx context.Context) (sampler.View, error) {
	for {
		v, err := u.executor.cfg.Sampler.NextRound(ctx)
		if err == nil && !v.ConfirmedAt.Before(u.arrivedAt) {
			return v, nil
		}
		if !sleeper.Sleep(ctx, minViewInterval) {
			return v, classifier.Wrap(classifier.StaleBound, ctx.Err(), "no status round confirmed the primary after the unit arrived")
		}
	}
}

// acquireConn routes the unit and gets a connection. When an instance cannot be
// reached, a read tries another one within the retry budget, and a write waits
// for a primary until the deadline.
func (u *unit) acquireConn(ctx context.Context) error {
	for {
		if err := u.route(ctx); err != nil {
			return err
		}
		ok, err := u.connect(ctx)
		if err != nil || ok {
			return err
		}
		if u.isRead() && !u.retryRead(ctx) {
			return classifier.New(classifier.NoInstance, "no reachable instance for the read after %d attempts, last tried %s", u.attempt, u.instance.Name)
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

// routeWrite waits until writes are not paused and there is a primary.
func (u *unit) routeWrite(ctx context.Context) error {
	for {
		if err := u.executor.cfg.WriteGate.Wait(ctx); err != nil {
			return noPrimaryError(ctx, err)
		}
		v := u.executor.cfg.Sampler.View()
		d := u.decide(v)
		if d.Instance != "" && u.setRoute(v, d) {
			return nil
		}
		if d.Err != nil && !isUnavailable(d.Err) {
			return d.Err
		}
		if u.awaitView(ctx, maxViewWait); ctx.Err() != nil {
			return noPrimaryError(ctx, d.Err)
		}
	}
}

// routeRead asks the router until it selects an instance. When the router asks to wait for a replica to catch up and
// the wait expires, the replicas are excluded, which leaves the primary.
func (u *unit) routeRead(ctx context.Context) error {
	var fallbackAt time.Time
	v := u.executor.cfg.Sampler.View()
	for ctx.Err() == nil {
		d := u.decide(v)
		switch {
		case d.Err != nil && len(u.excluded) == 0 && !isUnavailable(d.Err):
			return d.Err
		case d.Err != nil:
			u.excluded = u.excluded[:0]
			v = u.awaitView(ctx, maxViewWait)
		case d.Instance != "" && u.needsConfirmedView(v, d):
			var err error
			if v, err = u.confirmedView(ctx); err != nil {
				return err
			}
		case d.Instance != "" && u.setRoute(v, d):
			return nil
		case d.Wait > 0 && fallbackAt.IsZero():
			fallbackAt = time.Now().Add(d.Wait)
			v = u.awaitView(ctx, d.Wait)
		case d.Wait > 0 && time.Now().Before(fallbackAt):
			v = u.awaitView(ctx, time.Until(fallbackAt))
		case d.Wait > 0:
			u.excludeAllReplicas(v)
			v = u.awaitView(ctx, minViewInterval)
		default:
			return classifier.New(classifier.NoInstance, "router returned neither an instance nor a wait for the read")
		}
	}
	return classifier.Wrap(classifier.NoInstance, ctx.Err(), "no suitable instance for the read before the deadline")
}

// needsConfirmedView reports whether the primary may serve the read only after
// a confirmed round that started after the read arrived. A primary that has
// been replaced still responds while its data centre is partitioned.
func (u *unit) needsConfirmedView(v sampler.View, d router.Decision) bool {
	needsExactRead := !u.query.Floor.IsZero() || !u.query.HasMaxStaleness
	return needsExactRead && d.Role == connector.RolePrimary && v.ConfirmedAt.Before(u.arrivedAt)
}

func (u *unit) excludeAllReplicas(v sampler.View) {
	for _, i := range v.Instances {
		if i.Instance.Name != v.Primary {
			u.excluded = append(u.excluded, i.Instance.Name)
		}
	}
}

func (u *unit) decide(v sampler.View) router.Decision {
	u.query.Now = time.Now()
	u.query.Exclude = nil
	if u.isRead() {
		u.query.Exclude = u.excluded
	}
	return u.executor.cfg.Route(v, u.query)
}

// setRoute records the instance that the router selected and reports whether the view contains it.
func (u *unit) setRoute(v sampler.View, d router.Decision) bool {
	i, ok := v.Instance(d.Instance)
	u.view, u.instance, u.role, u.reason = v, i.Instance, d.Role, d.Reason
	return ok
}

// connect waits for admission and gets a connection. It returns false without an
// error when the instance cannot be reached or, for a write, is no longer the primary.
func (u *unit) connect(ctx context.Context) (bool, error) {
	t, err := u.executor.cfg.Admitter.Admit(ctx, u.instance.Name, u.priority)
	if err != nil {
		return false, err
	}
	if !u.isRead() {
		// A planned switchover may have begun while the unit waited for
		// admission. The unit is marked as running before it checks the view, so
		// that either the switchover waits for the unit or the unit sees it.
		if err = u.executor.cfg.WriteGate.Wait(ctx); err == nil {
			u.beginWrite()
		}
		if err != nil || u.executor.cfg.Sampler.View().Primary != u.view.Primary {
			t.Done()
			u.endWrite()
			return false, err
		}
	}
	c, err := u.executor.cfg.Pool.Get(ctx, u.instance)
	if err == nil {
		u.conn, u.ticket = c, t
		return true, nil
	}
	t.Done()
	u.endWrite()
	return false, u.handleConnectError(ctx, err)
}

// handleConnectError returns the error for the client if the unit must not try another instance. Otherwise it reports
// the failure to the sampler, excludes the instance and returns nil.
func (u *unit) handleConnectError(ctx context.Context, err error) error {
	if classifier.Is(err, classifier.Overloaded) || classifier.Is(err, classifier.ShuttingDown) {
		return err
	}
	if e := contextError(ctx, err); e != nil {
		return e
	}
	u.executor.cfg.Sampler.ReportConnectionFailure(u.instance.Name, err)
	u.excluded = append(u.excluded, u.instance.Name)
	return nil
}

// awaitView waits until the view changes, a new round ends or limit has passed, and returns the latest view. It takes
// at least minViewInterval if NextRound returns early, so that callers do not spin.
func (u *unit) awaitView(ctx context.Context, limit time.Duration) sampler.View {
	viewSource := u.executor.cfg.Sampler
	waitCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	changed := viewSource.Changed()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-waitCtx.Done():
		}
	}()
	start := time.Now()
	_, err := viewSource.NextRound(waitCtx)
	if d := minViewInterval - time.Since(start); d > 0 || err != nil && waitCtx.Err() == nil {
		sleeper.Sleep(ctx, max(d, minViewInterval))
	}
	return viewSource.View()
}

// awaitPrimary waits for a new term. The limit of the wait doubles with each call up to maxViewWait; the shift is
// capped to avoid overflow.
func (u *unit) awaitPrimary(ctx context.Context) {
	deadline := time.Now().Add(min(initialPrimaryBackoff<<min(u.primaryWaits, 8), maxViewWait))
	u.primaryWaits++
	for u.executor.cfg.Sampler.View().Term == u.view.Term && ctx.Err() == nil {
		d := time.Until(deadline)
		if d <= 0 {
			return
		}
		u.awaitView(ctx, d)
	}
}

func isUnavailable(err error) bool {
	return classifier.Is(err, classifier.NoPrimary) || classifier.Is(err, classifier.NoInstance)
}

func noPrimaryError(ctx context.Context, cause error) error {
	if ctx.Err() == context.Canceled {
		return classifier.Wrap(classifier.Canceled, ctx.Err(), "canceled while waiting for a primary")
	}
	if cause == nil {
		cause = ctx.Err()
	}
	return classifier.Wrap(classifier.NoPrimary, cause, "no primary available before the deadline")
}

// confirmReads waits until a majority holds everything that this unit has read
// on its primary, and returns a position that covers it. It returns an error of
// kind primaryReplaced when the instance is no longer the primary of that term.
func (u *unit) confirmReads(ctx context.Context) (tokenizer.Position, error) {
	p, err := u.confirmedPosition(ctx)
	if err != nil {
		return p, err
	}
	return p, u.executor.cfg.Sampler.Confirm(ctx, p)
}

// confirmedPosition returns the log position of the primary from a confirmed
// round that starts now. It returns an error of kind primaryReplaced when the
// instance of the unit is no longer the primary of the term in which it was selected.
func (u *unit) confirmedPosition(ctx context.Context) (tokenizer.Position, error) {
	u.arrivedAt = time.Now()
	v, err := u.confirmedView(ctx)
	if err != nil {
		return tokenizer.Position{}, err
	}
	if v.Primary != u.instance.Name || v.Term != u.view.Term || v.Confirmed.Term != v.Term {
		return tokenizer.Position{}, classifier.New(classifier.PrimaryReplaced, "instance %s is no longer the primary of term %d", u.instance.Name, u.view.Term)
	}
	return v.Confirmed, nil
}
