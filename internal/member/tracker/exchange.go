package tracker

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/peer/messenger"
)

// maxReportsPerMessage is the maximum number of VMs in a message other than a full report. It keeps the traffic within
// its budget when a whole data centre fails.
const maxReportsPerMessage = 32

// Exchange merges the reports of a peer and returns the reports of this VM, or all VMs known to it if the peer asks for
// them. The first report in each direction is the sender's report of itself. Exchange implements the Twirp method of
// the same name on the server side.
func (t *Tracker) Exchange(_ context.Context, request *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeReports(request.Vms, now)
	if request.Whole {
		return &messenger.ExchangeResponse{Vms: t.fullReport()}, nil
	}
	return &messenger.ExchangeResponse{Vms: t.reportsToSend(now)}, nil
}

// Leave announces to peers that this VM is leaving. It returns an error if there are peers and none of them could be
// reached.
func (t *Tracker) Leave(ctx context.Context) error {
	t.mu.Lock()
	t.self.State = Leaving
	t.rebuildView(time.Now())
	t.mu.Unlock()
	peers := t.selectPeers()
	errs := t.exchangeWithAll(ctx, peers)
	if len(peers) > 0 && !slices.Contains(errs, nil) {
		return errors.Join(errs...)
	}
	return nil
}

// exchangeRound exchanges reports with the selected peers and returns the interval until the next round.
func (t *Tracker) exchangeRound(ctx context.Context) time.Duration {
	t.exchangeWithAll(ctx, t.selectPeers())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireEntries(time.Now())
	return exchangeInterval
}

// selectPeers returns the VMs to exchange reports with in this round: the chosen peers and sometimes a dead VM, or the
// seeds while no other VM is known.
func (t *Tracker) selectPeers() []Member {
	if v := t.currentView(); len(v.members) > 1 {
		local, remote := v.choosePeersOnce(t.cfg.Self)
		return append(local, addProbe(remote, t.listedDeadVMs(v), len(v.members))...)
	}
	var seeds []Member
	for _, address := range t.cfg.Seeds {
		if address != t.cfg.Self.Address {
			seeds = append(seeds, Member{Address: address})
		}
	}
	return seeds
}

// listedDeadVMs returns the dead VMs in the platform's list, which are the ones to probe. Unlisted VMs are not probed,
// because the failed probes would count as observations and a VM that no longer exists would never be forgotten.
func (t *Tracker) listedDeadVMs(v *view) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dead []Member
	for _, m := range v.members {
		if m.State != Dead {
			continue
		}
		if e, ok := t.entries[m.ID]; ok && e.listedState != "" {
			dead = append(dead, m)
		}
	}
	return dead
}

// exchangeWithAll exchanges reports with all peers concurrently and returns an error or nil for each of them.
func (t *Tracker) exchangeWithAll(ctx context.Context, peers []Member) []error {
	errs := make([]error, len(peers))
	var wg sync.WaitGroup
	for i, m := range peers {
		wg.Go(func() { errs[i] = t.exchangeWith(ctx, m) })
	}
	wg.Wait()
	return errs
}

// exchangeWith exchanges reports with one peer and records whether the call succeeded.
func (t *Tracker) exchangeWith(ctx context.Context, peer Member) error {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := t.newRequest(time.Now())
	response, err := t.cfg.Dial(peer.Address).Exchange(callCtx, request)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	t.RecordCall(peer.ID, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		if request.Whole {
			t.fullRequestAt = time.Time{}
		}
		return err
	}
	t.mergeReports(response.Vms, time.Now())
	if request.Whole && t.listVersion == 0 {
		t.mergeFullReport(response.Vms)
	}
	return nil
}

// newRequest returns the message for a peer. Until the platform's list has been read for the first time, it also
// requests all VMs once per fullRequestInterval, and again after a failed request.
func (t *Tracker) newRequest(now time.Time) *messenger.ExchangeRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	request := &messenger.ExchangeRequest{Vms: t.reportsToSend(now)}
	if t.listVersion == 0 && now.Sub(t.fullRequestAt) >= fullRequestInterval {
		request.Whole = true
		t.fullRequestAt = now
	}
	return request
}

// mergeReports records the reports sent by a peer. The first report is the peer's report of itself.
func (t *Tracker) mergeReports(reports []*messenger.VM, now time.Time) {
	for i, report := range reports {
		m, state, ok := decodeVM(report)
		if !ok || m.ID == t.self.ID {
			continue
		}
		if i == 0 && state != Dead {
			e := t.upsertEntry(m)
			t.updateEntry(e, now, func() { e.selfState, e.selfReportedAt = state, now })
			continue
		}
		e, known := t.entries[m.ID]
		if !known {
			e = t.upsertEntry(m)
		}
		observedAt := now.Add(-time.Duration(report.AgeMs) * time.Millisecond)
		t.updateEntry(e, now, func() { e.recordPeerReport(state, observedAt) })
	}
	t.rebuildViewIfStale(now)
}

// recordPeerReport records a peer's observation of a VM if it is later than the recorded one of the same kind: either
// that the VM could not be reached, or that it was heard.
func (o *observations) recordPeerReport(state State, at time.Time) {
	switch {
	case state == Dead && at.After(o.peerFailedAt):
		o.peerFailedAt = at
	case state != Dead && at.After(o.peerHeardAt):
		o.peerState, o.peerHeardAt = state, at
	}
}

// mergeFullReport records every VM in the report that is not dead as if the platform's list contained it.
func (t *Tracker) mergeFullReport(reports []*messenger.VM) {
	for _, report := range reports {
		if m, state, ok := decodeVM(report); ok && m.ID != t.self.ID && state != Dead {
			t.mergeListedVM(m, state)
		}
	}
	t.rebuildView(time.Now())
}

// reportsToSend returns the report of this VM, followed by those of the reportable VMs with the latest observations
// first.
func (t *Tracker) reportsToSend(now time.Time) []*messenger.VM {
	reports := []*messenger.VM{encodeVM(t.self, t.self.State, 0)}
	for _, e := range t.reportable {
		if !e.reportable(now) {
			continue
		}
		if state, observedAt := e.stateToReport(now); isRecent(now, observedAt, peerReportMaxAge) {
			reports = append(reports, encodeVM(e.member, state, now.Sub(observedAt)))
		}
	}
	slices.SortStableFunc(reports[1:], func(a, b *messenger.VM) int { return int(int64(a.AgeMs) - int64(b.AgeMs)) })
	return reports[:min(len(reports), maxReportsPerMessage)]
}

// fullReport returns the report of this VM, followed by those of all other VMs in the view.
func (t *Tracker) fullReport() []*messenger.VM {
	reports := []*messenger.VM{encodeVM(t.self, t.self.State, 0)}
	for _, m := range t.currentView().members {
		if m.ID != t.self.ID {
			// An age above peerReportMaxAge keeps the receiver from treating the entry as a recent observation.
			reports = append(reports, encodeVM(m, m.State, peerReportMaxAge+time.Second))
		}
	}
	return reports
}

// encodeVM encodes a report. It rounds the age up, so that a report that peers pass on to each other always gets older.
func encodeVM(m Member, state State, age time.Duration) *messenger.VM {
	v := &messenger.VM{Id: m.ID, Address: m.Address, Region: m.Region, DataCentre: m.DataCentre, State: string(state)}
	if age > 0 {
		v.AgeMs = uint64(age.Milliseconds()) + 1
	}
	return v
}

// decodeVM decodes a report. It returns false if the identity, the address or the state is invalid.
func decodeVM(v *messenger.VM) (Member, State, bool) {
	m := Member{ID: v.GetId(), Address: v.GetAddress(), Region: v.GetRegion(), DataCentre: v.GetDataCentre()}
	state := State(v.GetState())
	return m, state, m.ID != "" && m.Address != "" && (state == Live || state == Leaving || state == Dead)
}
