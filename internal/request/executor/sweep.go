package executor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/request/exchanger"
)

// Limits of the removal of old keys.
const (
	sweepRows    = 200             // keys removed by one statement, to keep its lock short
	sweepBatches = 10              // statements of one removal
	sweepTimeout = 5 * time.Second // for one removal
	sweepMargin  = time.Hour       // a key stays this long after its retention, for gateways whose clock or process lags
	sweepPause   = 50 * time.Millisecond
)

// sweeper removes keys whose retention is over. It runs after keyed writes, so
// that a database without any has no such load.
type sweeper struct {
	mu     sync.Mutex
	last   time.Time
	closed bool
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func (s *sweeper) init() { s.ctx, s.cancel = context.WithCancel(context.Background()) }

// start begins a removal in the background unless one was begun a short time ago.
func (s *sweeper) start(e *Executor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || time.Since(s.last) < e.cfg.SweepEvery {
		return
	}
	s.last = time.Now()
	s.wg.Go(func() { e.sweep(s.ctx) })
}

func (s *sweeper) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
}

// sweep removes old keys in small batches. A failure leaves them for the next time.
func (e *Executor) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	u := newUnit()
	u.reset(e, exchanger.Request{Class: exchanger.Write, Timeout: sweepTimeout}, nil)
	u.b.complete = true
	defer u.drop()
	limit := time.Now().Add(-e.cfg.Retention - sweepMargin).UnixMilli()
	sql := fmt.Sprintf(sqlSweep, limit, sweepRows)
	for range sweepBatches {
		u.prepareWrite()
		u.priority = admitter.Rest
		if u.acquire(ctx) != nil {
			return
		}
		u.startAnswer()
		replies, err := u.own(ctx, sql)
		if err != nil {
			u.fail(ctx, err)
			return
		}
		u.putBack()
		u.end()
		if replies[0].tag != fmt.Sprintf("DELETE %d", sweepRows) || !sleeper.Sleep(ctx, sweepPause) {
			return
		}
	}
}
