package supervisor

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"parsleyscale/internal/group/promoter"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/request/dispatcher"
	"parsleyscale/internal/session/tokenizer"
)

// peers reaches the other gateways of a database over twirp. It implements promoter.Peers.
type peers struct {
	s *Supervisor
}

func (p *peers) others(database string) []tracker.Member {
	_, sheet, _ := p.s.cfg.Sheets.Current()
	db, _, _ := sheet.Database(database)
	var list []tracker.Member
	for _, m := range dispatcher.AllGateways(p.s.cfg.Rank, db) {
		if m.ID != p.s.cfg.Self.ID {
			list = append(list, m)
		}
	}
	return list
}

// Observe asks all other gateways at once and returns what has arrived when the context ends.
func (p *peers) Observe(ctx context.Context, database string) []promoter.Observation {
	var mu sync.Mutex
	var list []promoter.Observation
	var wg sync.WaitGroup
	for _, m := range p.others(database) {
		wg.Go(func() {
			r, err := p.s.cfg.Peer(m.Address).Observe(ctx, &messenger.ObserveRequest{Database: database})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			list = append(list, observation(m.ID, r))
		})
	}
	wg.Wait()
	return list
}

// Hold holds the write units of all other gateways.
func (p *peers) Hold(ctx context.Context, database string, term uint64) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, m := range p.others(database) {
		eg.Go(func() error {
			_, err := p.s.cfg.Peer(m.Address).Hold(ctx, &messenger.HoldRequest{Database: database, Term: term, HoldMs: uint64(promoter.HoldTime.Milliseconds())})
			return err
		})
	}
	return eg.Wait()
}

// Release ends a Hold on all other gateways.
func (p *peers) Release(ctx context.Context, database string, term uint64) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, m := range p.others(database) {
		eg.Go(func() error {
			_, err := p.s.cfg.Peer(m.Address).Release(ctx, &messenger.ReleaseRequest{Database: database, Term: term})
			return err
		})
	}
	return eg.Wait()
}

func observation(id string, r *messenger.ObserveResponse) promoter.Observation {
	o := promoter.Observation{Gateway: id}
	for _, i := range r.GetInstances() {
		o.Instances = append(o.Instances, promoter.InstanceObservation{
			Instance:  i.GetInstance(),
			Reachable: i.GetReachable(),
			Role:      i.GetRole(),
			FenceTerm: i.GetFenceTerm(),
			Last:      tokenizer.Position{Term: i.GetLastTerm(), Index: i.GetLastIndex()},
			Age:       time.Duration(i.GetAgeMs()) * time.Millisecond,
		})
	}
	return o
}

// Observe answers another gateway's question.
func (s *Supervisor) Observe(ctx context.Context, database string) *messenger.ObserveResponse {
	g := s.find(database)
	if g == nil {
		return &messenger.ObserveResponse{}
	}
	return &messenger.ObserveResponse{Instances: messages(promoter.Observe(ctx, g.sampler))}
}

func messages(observed []promoter.InstanceObservation) []*messenger.InstanceObservation {
	list := make([]*messenger.InstanceObservation, 0, len(observed))
	for _, o := range observed {
		list = append(list, &messenger.InstanceObservation{
			Instance:  o.Instance,
			Reachable: o.Reachable,
			Role:      o.Role,
			FenceTerm: o.FenceTerm,
			LastTerm:  o.Last.Term,
			LastIndex: o.Last.Index,
			AgeMs:     uint64(max(o.Age, 0).Milliseconds()),
		})
	}
	return list
}

// ageMs returns the age of an event; an event that never was is as old as possible.
func ageMs(t time.Time) uint64 {
	if t.IsZero() {
		return uint64(time.Duration(1<<62) / time.Millisecond)
	}
	return uint64(max(time.Since(t), 0).Milliseconds())
}

// Hold keeps new write units of a database back; it reports whether none is running any more.
func (s *Supervisor) Hold(ctx context.Context, database string, term uint64, d time.Duration) bool {
	g := s.find(database)
	if g == nil {
		return true
	}
	return g.holder.Hold(ctx, term, min(d, promoter.HoldTime))
}

// Release ends a Hold.
func (s *Supervisor) Release(database string, term uint64) {
	if g := s.find(database); g != nil {
		g.holder.Release(term)
	}
}

// Describe returns the state of all groups of this VM for operators.
func (s *Supervisor) Describe() []*messenger.GroupStatus {
	groups := s.all()
	list := make([]*messenger.GroupStatus, 0, len(groups))
	for _, g := range groups {
		v := g.sampler.View()
		list = append(list, &messenger.GroupStatus{
			Database:       g.database,
			Term:           v.Term,
			Primary:        v.Primary,
			Confirmed:      v.Confirmed.String(),
			ConfirmedAgeMs: ageMs(v.ConfirmedAt),
			Instances:      messages(promoter.Observations(v)),
		})
	}
	return list
}
