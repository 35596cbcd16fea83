package tracker

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/peer/messenger"
)

// maxReports bounds the VMs in one message, so that a failed data centre does
// not take the traffic over its budget.
const maxReports = 32

// Exchange takes a peer's reports and answers with the own ones. It is the
// server side of the twirp method. The first report is the sender's of itself.
func (t *Tracker) Exchange(_ context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(r.Vms, now)
	if r.Whole {
		return &messenger.ExchangeResponse{Vms: t.all()}, nil
	}
	return &messenger.ExchangeResponse{Vms: t.reports(now)}, nil
}

// Leave announces to peers that this VM is leaving. The error tells that no peer was reached.
func (t *Tracker) Leave(ctx context.Context) error {
	t.mu.Lock()
	t.self.State = Leaving
	t.refresh(time.Now())
	t.mu.Unlock()
	peers := t.peers()
	errs := t.exchangeWith(ctx, peers)
	if len(peers) > 0 && !slices.Contains(errs, nil) {
		return errors.Join(errs...)
	}
	return nil
}

// round exchanges reports with the selected peers.
func (t *Tracker) round(ctx context.Context) time.Duration {
	t.exchangeWith(ctx, t.peers())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	return exchangeInterval
}

// peers returns the VMs of this round, or the seeds while no other VM is known.
func (t *Tracker) peers() []Member {
	if v := t.current(); len(v.members) > 1 {
		l, r := v.peersOf(t.cfg.Self)
		return append(l, withProbe(r, t.listedDead(v), len(v.members))...)
	}
	var list []Member
	for _, a := range t.cfg.Seeds {
		if a != t.cfg.Self.Address {
			list = append(list, Member{Address: a})
		}
	}
	return list
}

// listedDead returns the dead VMs that the list names. Others are not probed:
// the failed probes would keep a VM that is gone for good known for ever.
func (t *Tracker) listedDead(v *view) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dead []Member
	for _, m := range v.members {
		if m.State != Dead {
			continue
		}
		if e, ok := t.vms[m.ID]; ok && e.listed != "" {
			dead = append(dead, m)
		}
	}
	return dead
}

func (t *Tracker) exchangeWith(ctx context.Context, list []Member) []error {
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, m := range list {
		wg.Go(func() { errs[i] = t.exchange(ctx, m) })
	}
	wg.Wait()
	return errs
}

func (t *Tracker) exchange(ctx context.Context, m Member) error {
	c, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	q := t.request(time.Now())
	r, err := t.cfg.Dial(m.Address).Exchange(c, q)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	t.Report(m.ID, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		if q.Whole {
			t.wholeAt = time.Time{}
		}
		return err
	}
	t.take(r.Vms, time.Now())
	if q.Whole && t.listVersion == 0 {
		t.takeAll(r.Vms)
	}
	return nil
}

// request makes a message. It asks for all VMs while the platform's list was never read.
func (t *Tracker) request(now time.Time) *messenger.ExchangeRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := &messenger.ExchangeRequest{Vms: t.reports(now)}
	if t.listVersion == 0 && now.Sub(t.wholeAt) >= wholeInterval {
		q.Whole = true
		t.wholeAt = now
	}
	return q
}

// take merges the reports of a peer; the first one is of the peer itself.
func (t *Tracker) take(list []*messenger.VM, now time.Time) {
	for i, v := range list {
		m, state, ok := decode(v)
		if !ok || m.ID == t.self.ID {
			continue
		}
		if i == 0 && state != Dead {
			e := t.entryOf(m)
			t.update(e, now, func() { e.said, e.saidAt = state, now })
			continue
		}
		e, known := t.vms[m.ID]
		if !known {
			e = t.entryOf(m)
		}
		at := now.Add(-time.Duration(v.AgeMs) * time.Millisecond)
		t.update(e, now, func() { e.hear(state, at) })
	}
	t.flush(now)
}

// hear notes a peer's report if it is newer than the known one of its sort.
func (e *evidence) hear(state State, at time.Time) {
	switch {
	case state == Dead && at.After(e.deadAt):
		e.deadAt = at
	case state != Dead && at.After(e.peerAt):
		e.peer, e.peerAt = state, at
	}
}

// takeAll uses a peer's knowledge in place of the platform's list.
func (t *Tracker) takeAll(list []*messenger.VM) {
	for _, v := range list {
		if m, state, ok := decode(v); ok && m.ID != t.self.ID && state != Dead {
			t.takeListed(m, state)
		}
	}
	t.refresh(time.Now())
}

// reports returns self and the contested VMs, the latest observations first.
func (t *Tracker) reports(now time.Time) []*messenger.VM {
	list := []*messenger.VM{encode(t.self, t.self.State, 0)}
	for _, e := range t.contested {
		if !e.contested(now) {
			continue
		}
		if state, at := e.report(now); within(now, at, relayWindow) {
			list = append(list, encode(e.member, state, now.Sub(at)))
		}
	}
	slices.SortStableFunc(list[1:], func(a, b *messenger.VM) int { return int(int64(a.AgeMs) - int64(b.AgeMs)) })
	return list[:min(len(list), maxReports)]
}

// all returns self and every known VM.
func (t *Tracker) all() []*messenger.VM {
	list := []*messenger.VM{encode(t.self, t.self.State, 0)}
	for _, m := range t.current().members {
		if m.ID != t.self.ID {
			// The age keeps the entry from counting as a fresh observation.
			list = append(list, encode(m, m.State, relayWindow+time.Second))
		}
	}
	return list
}

// encode rounds the age up, so that a report that goes in circles grows old.
func encode(m Member, state State, age time.Duration) *messenger.VM {
	v := &messenger.VM{Id: m.ID, Address: m.Address, Region: m.Region, DataCentre: m.DataCentre, State: string(state)}
	if age > 0 {
		v.AgeMs = uint64(age.Milliseconds()) + 1
	}
	return v
}

func decode(v *messenger.VM) (Member, State, bool) {
	m := Member{ID: v.GetId(), Address: v.GetAddress(), Region: v.GetRegion(), DataCentre: v.GetDataCentre()}
	s := State(v.GetState())
	return m, s, m.ID != "" && m.Address != "" && (s == Live || s == Leaving || s == Dead)
}
