package supervisor

import (
	"context"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/session/recorder"
)

const (
	// gatewayCheckInterval is the time between two checks of which gateways have to be polled.
	gatewayCheckInterval = 200 * time.Millisecond
	// longPollWait is how long a gateway may wait for new records before it answers a long poll.
	longPollWait = 5 * time.Second
	// longPollMargin is the time after longPollWait at which a poll without an answer fails.
	longPollMargin = time.Second
	// pollRetryDelay is the pause after a poll that failed or was answered by a VM that does not run the group.
	pollRetryDelay = 500 * time.Millisecond
)

// writeWatcher fetches the commit records of the other gateways of a database while reads without a session token
// need them.
type writeWatcher struct {
	peers    *peers
	database string
	commits  *recorder.Recorder
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

func newWriteWatcher(p *peers, database string, r *recorder.Recorder) *writeWatcher {
	w := &writeWatcher{peers: p, database: database, commits: r}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.wg.Go(w.run)
	return w
}

func (w *writeWatcher) close() {
	w.cancel()
	w.wg.Wait()
}

// run keeps one long poll open to each other gateway while the records are needed.
func (w *writeWatcher) run() {
	polls := map[string]context.CancelFunc{}
	for sleeper.Sleep(w.ctx, gatewayCheckInterval) {
		var gateways []tracker.Member
		if w.commits.WasFloorRequested() {
			gateways = w.peers.otherGateways(w.database)
		}
		for id, cancel := range polls {
			if memberIndex(gateways, id) < 0 {
				cancel()
				delete(polls, id)
			}
		}
		for _, m := range gateways {
			if polls[m.ID] == nil {
				ctx, cancel := context.WithCancel(w.ctx)
				polls[m.ID] = cancel
				w.wg.Go(func() { w.poll(ctx, m.Address) })
			}
		}
	}
	for _, cancel := range polls {
		cancel()
	}
}

// poll fetches the commit records of the gateway at address until ctx ends.
func (w *writeWatcher) poll(ctx context.Context, address string) {
	req := &messenger.WatchWritesRequest{Database: w.database, WaitMs: uint64(longPollWait.Milliseconds())}
	peer := w.peers.s.cfg.Peer(address)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, longPollWait+longPollMargin)
		resp, err := peer.WatchWrites(callCtx, req)
		cancel()
		if err != nil {
			sleeper.Sleep(ctx, pollRetryDelay)
			continue
		}
		req.Epoch, req.After = resp.GetEpoch(), resp.GetNext()
		w.commits.Merge(resp.GetTerm(), recordsOf(resp))
		if resp.GetEpoch() == 0 { // the group is not running on the peer
			sleeper.Sleep(ctx, pollRetryDelay)
		}
	}
}

// recordsOf converts the commit records of a response.
func recordsOf(r *messenger.WatchWritesResponse) []recorder.Write {
	list := make([]recorder.Write, 0, len(r.GetWrites()))
	for _, w := range r.GetWrites() {
		list = append(list, recorder.Write{Index: w.GetIndex(), Session: w.GetSession()})
	}
	return list
}

// WatchWrites answers the long poll of another gateway with the commits that this VM has recorded. The response is
// empty if the group is not running on this VM.
func (s *Supervisor) WatchWrites(ctx context.Context, r *messenger.WatchWritesRequest) *messenger.WatchWritesResponse {
	g := s.runningGroup(r.GetDatabase())
	if g == nil {
		return &messenger.WatchWritesResponse{}
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(r.GetWaitMs())*time.Millisecond, longPollWait))
	defer cancel()
	stop := context.AfterFunc(g.writeWatcher.ctx, cancel) // a group that closes does not wait for the poll to time out
	defer stop()
	batch := g.commits.Watch(ctx, r.GetEpoch(), r.GetAfter())
	resp := &messenger.WatchWritesResponse{Epoch: batch.Epoch, Next: batch.NextNumber, Term: batch.Term}
	for _, w := range batch.Writes {
		resp.Writes = append(resp.Writes, &messenger.Write{Index: w.Index, Session: w.Session})
	}
	return resp
}
