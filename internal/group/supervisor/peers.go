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

// peers calls the other gateways of a database over Twirp. It implements promoter.Peers.
type peers struct {
	s *Supervisor
}

// otherGateways returns the gateways of a database without this VM.
func (p *peers) otherGateways(database string) []tracker.Member {
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

// Observe asks all other gateways concurrently for their observations, and returns those of the gateways that
// answered before ctx ended.
func (p *peers) Observe(ctx context.Context, database string) []promoter.Observation {
	var mu sync.Mutex
	var list []promoter.Observation
	var wg sync.WaitGroup
	for _, m := range p.otherGateways(database) {
		wg.Go(func() {
			r, err := p.s.cfg.Peer(m.Address).Observe(ctx, &messenger.ObserveRequest{Database: database})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			list = append(list, newObservation(m.ID, r))
		})
	}
	wg.Wait()
	return list
}

// Hold keeps new write units back on all other gateways. It returns nil once all of them have answered,
// even if write units are still running on one of them.
func (p *peers) Hold(ctx context.Context, database string, term uint64) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, m := range p.otherGateways(database) {
		eg.Go(func() error {
			_, err := p.s.cfg.Peer(m.Address).Hold(ctx, &messenger.HoldRequest{Database: database, Term: term, HoldMs: uint64(promoter.HoldTime.Milliseconds())})
			return err
		})
	}
	return eg.Wait()
}

// Release ends a hold on all other gateways.
func (p *peers) Release(ctx context.Context, database string, term uint64) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, m := range p.otherGateways(database) {
		eg.Go(func() error {
			_, err := p.s.cfg.Peer(m.Address).Release(ctx, &messenger.ReleaseRequest{Database: database, Term: term})
			return err
		})
	}
	return eg.Wait()
}

// newObservation converts the answer of a gateway.
func newObservation(gateway string, r *messenger.ObserveResponse) promoter.Observation {
	o := promoter.Observation{Gateway: gateway}
	for _, i := range r.GetInstances() {
		o.Instances = append(o.Instances, promoter.InstanceObservation{
			Instance:  i.GetInstance(),
			Reachable: i.GetReachable(),
			Role:      i.GetRole(),
			FenceTerm: i.GetFenceTerm(),
			Last:      tokenizer.Position{Term: i.GetLastTerm(), Index: i.GetLastIndex()},
			AnswerAge: time.Duration(i.GetAgeMs()) * time.Millisecond,
		})
	}
	return o
}

// Observe returns this VM's observations of the instances of a database, for another gateway. There are none if
// the group is not running on this VM.
func (s *Supervisor) Observe(ctx context.Context, database string) *messenger.ObserveResponse {
	g := s.runningGroup(database)
	if g == nil {
		return &messenger.ObserveResponse{}
	}
	return &messenger.ObserveResponse{Instances: instanceMessages(promoter.Observe(ctx, g.sampler))}
}

// instanceMessages converts observations of instances to their wire format.
func instanceMessages(observed []promoter.InstanceObservation) []*messenger.InstanceObservation {
	list := make([]*messenger.InstanceObservation, 0, len(observed))
	for _, o := range observed {
		list = append(list, &messenger.InstanceObservation{
			Instance:  o.Instance,
			Reachable: o.Reachable,
			Role:      o.Role,
			FenceTerm: o.FenceTerm,
			LastTerm:  o.Last.Term,
			LastIndex: o.Last.Index,
			AgeMs:     uint64(max(o.AnswerAge, 0).Milliseconds()),
		})
	}
	return list
}

// ageMs returns the time since t in milliseconds. For a zero t, which stands for an event that has not
// happened, it returns a value of about 146 years.
func ageMs(t time.Time) uint64 {
	if t.IsZero() {
		return uint64(time.Duration(1<<62) / time.Millisecond)
	}
	return uint64(max(time.Since(t), 0).Milliseconds())
}

// Hold keeps new write units of a database back on this VM for d, at most promoter.HoldTime, and waits for the
// running ones. It reports whether none was running any more before the hold or ctx ended.
func (s *Supervisor) Hold(ctx context.Context, database string, term uint64, d time.Duration) bool {
	g := s.runningGroup(database)
	if g == nil {
		return true
	}
	return g.writeGate.Hold(ctx, term, min(d, promoter.HoldTime))
}

// Release ends a hold for the term or a lower one.
func (s *Supervisor) Release(database string, term uint64) {
	if g := s.runningGroup(database); g != nil {
		g.writeGate.Release(term)
	}
}

// Describe returns the state of all groups that run on this VM, for operators.
func (s *Supervisor) Describe() []*messenger.GroupStatus {
	groups := s.runningGroups()
	list := make([]*messenger.GroupStatus, 0, len(groups))
	for _, g := range groups {
		v := g.sampler.View()
		list = append(list, &messenger.GroupStatus{
			Database:       g.database,
			Term:           v.Term,
			Primary:        v.Primary,
			Confirmed:      v.Confirmed.String(),
			ConfirmedAgeMs: ageMs(v.ConfirmedAt),
			Instances:      instanceMessages(promoter.Observations(v)),
		})
	}
	return list
}
