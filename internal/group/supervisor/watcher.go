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
	watchCheck  = 200 * time.Millisecond // between two looks at who has to be watched
	watchWait   = 5 * time.Second        // of one long poll
	watchMargin = time.Second            // after which a silent gateway counts as failed
	watchRetry  = 500 * time.Millisecond
)

// watcher fetches the other gateways' records of commits while reads without a token need them.
type watcher struct {
	peers    *peers
	database string
	writes   *recorder.Recorder
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

func newWatcher(p *peers, database string, r *recorder.Recorder) *watcher {
	w := &watcher{peers: p, database: database, writes: r}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.wg.Go(w.run)
	return w
}

func (w *watcher) close() {
	w.cancel()
	w.wg.Wait()
}

// run keeps one long poll at each other gateway while the records are wanted.
func (w *watcher) run() {
	polls := map[string]context.CancelFunc{}
	for sleeper.Sleep(w.ctx, watchCheck) {
		var gateways []tracker.Member
		if w.writes.IsWanted() {
			gateways = w.peers.others(w.database)
		}
		for id, cancel := range polls {
			if indexOf(gateways, id) < 0 {
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

// poll fetches the records of one gateway until ctx ends.
func (w *watcher) poll(ctx context.Context, address string) {
	r := &messenger.WatchWritesRequest{Database: w.database, WaitMs: uint64(watchWait.Milliseconds())}
	peer := w.peers.s.cfg.Peer(address)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
		got, err := peer.WatchWrites(call, r)
		cancel()
		if err != nil {
			sleeper.Sleep(ctx, watchRetry)
			continue
		}
		r.Epoch, r.After = got.GetEpoch(), got.GetNext()
		w.writes.Merge(got.GetTerm(), writesOf(got))
		if got.GetEpoch() == 0 { // the peer is no gateway yet
			sleeper.Sleep(ctx, watchRetry)
		}
	}
}

func writesOf(r *messenger.WatchWritesResponse) []recorder.Write {
	list := make([]recorder.Write, 0, len(r.GetWrites()))
	for _, w := range r.GetWrites() {
		list = append(list, recorder.Write{Index: w.GetIndex(), Session: w.GetSession()})
	}
	return list
}

// WatchWrites answers another gateway's long poll.
func (s *Supervisor) WatchWrites(ctx context.Context, r *messenger.WatchWritesRequest) *messenger.WatchWritesResponse {
	g := s.find(r.GetDatabase())
	if g == nil {
		return &messenger.WatchWritesResponse{}
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(r.GetWaitMs())*time.Millisecond, watchWait))
	defer cancel()
	stop := context.AfterFunc(g.watcher.ctx, cancel) // a closing group does not wait for the poll
	defer stop()
	b := g.writes.Watch(ctx, r.GetEpoch(), r.GetAfter())
	a := &messenger.WatchWritesResponse{Epoch: b.Epoch, Next: b.Next, Term: b.Term}
	for _, w := range b.Writes {
		a.Writes = append(a.Writes, &messenger.Write{Index: w.Index, Session: w.Session})
	}
	return a
}
